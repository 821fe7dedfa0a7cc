//! Measures the cost of tenants for a real backend: the time from its start until it accepts connections and has
//! subscribed to its agent, and its resident memory one second later. Each number of tenants given on the command line
//! is measured with three starts.
//!
//!     cargo run --release -p plovershelf-testkit --example tenants -- 100 10000 34000

use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use plovershelf_testkit::backend::server_program;
use plovershelf_testkit::fleet::{Fleet, FleetConfig};
use plovershelf_testkit::{cores, dependency, scripted, Clock, Executor};

/// Number of starts per number of tenants.
const STARTS: usize = 3;

/// Reads a value in kB from the status of a process.
fn status_kb(pid: u32, key: &str) -> Option<f64> {
    let status = std::fs::read_to_string(Path::new("/proc").join(pid.to_string()).join("status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(key))?;
    line.trim_start_matches(':').trim().trim_end_matches(" kB").parse().ok()
}

/// Starts a backend; returns the milliseconds until it is up, and its current and peak resident memory in kB one second
/// later.
fn measure_start(tenants: usize) -> Result<[f64; 3], String> {
    let mut settings: serde_json::Value =
        serde_json::from_str(scripted::SETTINGS).map_err(|error| error.to_string())?;
    settings["tenants"] = (0..tenants)
        .map(|n| serde_json::json!({"name": format!("tenant-{n:05}"), "quota_per_s": 10.0, "share": 1.0 / tenants as f64}))
        .collect();
    let config = FleetConfig {
        program: server_program().map_err(|error| error.to_string())?,
        backends: 1,
        cores: cores::CoresConfig {
            cores: 4.0,
            overload_factor: 8.0,
            initial_speed: 1.0,
            slow_start_ms: 1.0,
        },
        dependency: dependency::DependencyConfig {
            call_ms: 10.0,
            slots: 20,
            max_in_flight: 100,
            outage_ms: 100.0,
        },
        settings,
        memory_mb: 192.0,
        sockets: 512,
        stop_ms: 1500.0,
        logs: None,
        pools: None,
        cluster: None,
        peer_paths: false,
    };
    let executor: Executor = Rc::default();
    let clock = Clock::start();
    let fleet =
        Fleet::start(&executor, clock, &config).map_err(|error| format!("starting the backend: {error}"))?;
    let started_ms = clock.now();
    let run = async {
        let up = fleet.wait_until_up(clock, 20_000.0).await;
        let up_ms = clock.now() - started_ms;
        Timer::after(Duration::from_secs(1)).await;
        up.then_some(up_ms)
    };
    let up_ms = async_io::block_on(executor.run(run))
        .ok_or(format!("the backend with {tenants} tenants is not up within 20 s"))?;
    let pid = fleet.backends[0].process_id().ok_or("the backend has exited")?;
    let memory = |key| status_kb(pid, key).ok_or(format!("no {key} in the status of the backend's process"));
    Ok([up_ms, memory("VmRSS")?, memory("VmHWM")?])
}

/// Returns the slope of the least-squares line through the points.
fn slope(points: &[(f64, f64)]) -> f64 {
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / points.len() as f64;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let (mut covariance, mut variance) = (0.0, 0.0);
    points.iter().for_each(|p| {
        (covariance, variance) =
            (covariance + (p.0 - mean_x) * (p.1 - mean_y), variance + (p.0 - mean_x).powi(2));
    });
    covariance / variance
}

fn run() -> Result<(), String> {
    let counts: Result<Vec<usize>, _> = std::env::args().skip(1).map(|count| count.parse()).collect();
    let counts = counts.map_err(|error| format!("invalid number of tenants: {error}"))?;
    let (mut times, mut resident, mut peak) = (Vec::new(), Vec::new(), Vec::new());
    println!("tenants, up after ms, resident kB, peak kB");
    for tenants in counts {
        for _ in 0..STARTS {
            let [up_ms, resident_kb, peak_kb] = measure_start(tenants)?;
            println!("{tenants}, {up_ms:.0}, {resident_kb}, {peak_kb}");
            times.push((tenants as f64, up_ms));
            resident.push((tenants as f64, resident_kb));
            peak.push((tenants as f64, peak_kb));
        }
    }
    if times.iter().any(|point| point.0 != times[0].0) {
        let bytes = |points: &[(f64, f64)]| slope(points) * 1024.0;
        println!("bytes per tenant: {:.0} resident, {:.0} peak", bytes(&resident), bytes(&peak));
        println!("ms until up per 1,000 tenants: {:.2}", slope(&times) * 1000.0);
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
