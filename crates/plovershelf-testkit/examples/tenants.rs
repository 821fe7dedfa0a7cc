//! What tenants cost a real backend: how long it takes from its start until it listens and its agent has heard of it, and
//! its resident memory a second later, with each of the numbers of tenants told, three starts each.
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

const STARTS: usize = 3;

fn kb(pid: u32, key: &str) -> Option<f64> {
    let status = std::fs::read_to_string(Path::new("/proc").join(pid.to_string()).join("status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(key))?;
    line.trim_start_matches(':').trim().trim_end_matches(" kB").parse().ok()
}

/// Milliseconds until it is up, resident memory then and at the most, in kB.
fn start(tenants: usize) -> Result<[f64; 3], String> {
    let mut settings: serde_json::Value =
        serde_json::from_str(scripted::SETTINGS).map_err(|error| error.to_string())?;
    settings["tenants"] = (0..tenants)
        .map(|n| serde_json::json!({"name": format!("tenant-{n:05}"), "quota_per_s": 10.0, "share": 1.0 / tenants as f64}))
        .collect();
    let plan = FleetConfig {
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
    let fleet = Fleet::start(&executor, clock, &plan).map_err(|error| format!("starting it: {error}"))?;
    let began = clock.now();
    let run = async {
        let up = fleet.up(clock, 20_000.0).await;
        let up_ms = clock.now() - began;
        Timer::after(Duration::from_secs(1)).await;
        up.then_some(up_ms)
    };
    let up_ms = async_io::block_on(executor.run(run)).ok_or(format!("not up with {tenants} tenants"))?;
    let pid = fleet.backends[0].process_id().ok_or("it has ended")?;
    let memory = |key| kb(pid, key).ok_or(format!("no {key}"));
    Ok([up_ms, memory("VmRSS")?, memory("VmHWM")?])
}

fn slope(points: &[(f64, f64)]) -> f64 {
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / points.len() as f64;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let (mut above, mut below) = (0.0, 0.0);
    points.iter().for_each(|p| (above, below) = (above + (p.0 - x) * (p.1 - y), below + (p.0 - x).powi(2)));
    above / below
}

fn run() -> Result<(), String> {
    let sizes: Result<Vec<usize>, _> = std::env::args().skip(1).map(|size| size.parse()).collect();
    let sizes = sizes.map_err(|error| format!("a number of tenants: {error}"))?;
    let (mut times, mut resident, mut most) = (Vec::new(), Vec::new(), Vec::new());
    println!("tenants, up after ms, resident kB, at the most kB");
    for tenants in sizes {
        for _ in 0..STARTS {
            let [up_ms, now_kb, most_kb] = start(tenants)?;
            println!("{tenants}, {up_ms:.0}, {now_kb}, {most_kb}");
            times.push((tenants as f64, up_ms));
            resident.push((tenants as f64, now_kb));
            most.push((tenants as f64, most_kb));
        }
    }
    if times.iter().any(|one| one.0 != times[0].0) {
        let bytes = |points: &[(f64, f64)]| slope(points) * 1024.0;
        println!("bytes a tenant: {:.0} resident, {:.0} at the most", bytes(&resident), bytes(&most));
        println!("ms until up, a 1,000 tenants: {:.2}", slope(&times) * 1000.0);
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
