//! Probes of a soak run: health checks, misbehaving ("bad") clients, a flood of idle connections that exhausts
//! descriptors, and samples of each process's resource usage.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use plovershelf_codec::front::client::{alive, decode_first, decode_response, Response};
use plovershelf_testkit::fleet::Fleet;
use plovershelf_testkit::{Clock, Executor};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::faults::SharedFleet;
use super::plan::Plan;

/// Interval between health checks of each backend.
const PROBE_INTERVAL_MS: f64 = 200.0;
/// Timeout of a health check.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between bad clients.
const BAD_CLIENT_INTERVAL_MS: f64 = 150.0;
/// Time for which a bad client waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval between samples of resource usage.
const USAGE_INTERVAL_MS: f64 = 100.0;
/// Longest frame that a health check decodes.
const MAX_FRAME_BYTES: usize = 1 << 16;

/// Record of one health check.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// Index of the backend.
    pub backend: usize,
    /// Start time of the health check.
    pub at_ms: f64,
    /// Time of the answer and whether it reports the backend as ready; `None` without an answer.
    pub answer: Option<(f64, bool)>,
}

/// Behaviour of a bad client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadClient {
    /// Connects and sends nothing.
    Idle,
    /// Sends bytes that do not form a valid frame.
    MalformedFrame,
    /// Sends the beginning of a frame, then nothing.
    PartialFrame,
    /// Sends a frame one byte at a time until the connection ends.
    SlowFrame,
}

/// Record of one bad client.
#[derive(Clone, Copy, Debug)]
pub struct BadClientRecord {
    /// Behaviour of the client.
    pub kind: BadClient,
    /// Index of the backend.
    pub backend: usize,
    /// Time at which the client connected.
    pub at_ms: f64,
    /// Time at which the client read a response or an orderly end of the connection.
    pub response_ms: Option<f64>,
    /// Whether the connection was reset before any response.
    pub was_reset: bool,
    /// Time at which the response, the end of the connection or the timeout occurred.
    pub ended_ms: f64,
}

/// Peak resource usage of a backend's processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Highest number of open file descriptors.
    pub descriptors: usize,
    /// Peak resident memory, in kB.
    pub memory_kb: u64,
}

/// Results of all probes of a run.
#[derive(Default)]
pub struct ProbeResults {
    /// Health checks that have ended.
    pub probes: Vec<Probe>,
    /// Bad clients whose connection has ended.
    pub bad_clients: Vec<BadClientRecord>,
    /// Peak resource usage, by backend.
    pub usage: Vec<Usage>,
}

/// Results shared by all probes of a run.
pub type SharedProbeResults = Rc<RefCell<ProbeResults>>;

/// Checks the health of each backend periodically until the task is cancelled.
pub async fn check_health(
    executor: &Executor,
    clock: Clock,
    addresses: &[SocketAddr],
    probe_results: &SharedProbeResults,
) {
    loop {
        for (backend, address) in addresses.iter().copied().enumerate() {
            let probe_results = probe_results.clone();
            let check = async move {
                let at_ms = clock.now();
                let timeout = async {
                    Timer::after(PROBE_TIMEOUT).await;
                    None
                };
                let ready = future::or(health(address), timeout).await;
                let answer = ready.map(|ready| (clock.now(), ready));
                probe_results.borrow_mut().probes.push(Probe { backend, at_ms, answer });
            };
            executor.spawn(check).detach();
        }
        Timer::at(clock.at(clock.now() + PROBE_INTERVAL_MS)).await;
    }
}

/// Sends a health check; returns whether the backend reports that it is ready, or `None` without an answer.
async fn health(address: SocketAddr) -> Option<bool> {
    let mut stream = Async::<TcpStream>::connect(address).await.ok()?;
    stream.write_all(&alive(1)).await.ok()?;
    let (mut bytes, mut chunk) = (Vec::new(), [0; 512]);
    loop {
        let count = stream.read(&mut chunk).await.ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
        let mut used = 0;
        while let Ok(Some((frame, length))) = decode_first(&bytes[used..], MAX_FRAME_BYTES) {
            if let Ok(Response::Health { ready, .. }) = decode_response(frame) {
                return Some(ready);
            }
            used += length;
        }
        bytes.drain(..used);
    }
}

/// Starts a bad client periodically and, if the plan floods connections, many idle ones that exhaust descriptors.
pub async fn run_bad_clients(
    executor: &Executor,
    clock: Clock,
    plan: &Plan,
    addresses: &[SocketAddr],
    probe_results: &SharedProbeResults,
) {
    let mut random = Pcg64::seed_from_u64(plan.seed ^ 0xbad);
    let kinds = [BadClient::Idle, BadClient::MalformedFrame, BadClient::PartialFrame, BadClient::SlowFrame];
    let flood = if plan.floods_connections { 2 * plan.sockets as usize * addresses.len() } else { 0 };
    let flood_per_tick = (flood as f64 * 2.0 * BAD_CLIENT_INTERVAL_MS / plan.span_ms).ceil() as usize;
    loop {
        Timer::at(clock.at(clock.now() + BAD_CLIENT_INTERVAL_MS)).await;
        let kind = kinds[random.random_range(0..kinds.len())];
        let flood = std::iter::repeat_n(BadClient::Idle, flood_per_tick);
        for kind in std::iter::once(kind).chain(flood) {
            let backend = random.random_range(0..addresses.len());
            let (address, probe_results) = (addresses[backend], probe_results.clone());
            let run = async move {
                let Ok(stream) = Async::<TcpStream>::connect(address).await else { return };
                let at_ms = clock.now();
                let (response_ms, was_reset) = await_response(clock, stream, kind).await;
                let ended_ms = clock.now();
                let record = BadClientRecord { kind, backend, at_ms, response_ms, was_reset, ended_ms };
                probe_results.borrow_mut().bad_clients.push(record);
            };
            executor.spawn(run).detach();
        }
    }
}

/// Acts as the given kind of bad client; returns the time of a response or of an orderly end of the connection, and
/// whether the connection was reset instead.
async fn await_response(clock: Clock, stream: Async<TcpStream>, kind: BadClient) -> (Option<f64>, bool) {
    let write = async {
        let mut stream = &stream;
        match kind {
            BadClient::Idle => {}
            BadClient::MalformedFrame => {
                drop(stream.write_all(&[0, 0, 0, 9, 7, 7, 7, 7, 7, 7, 7, 7, 7]).await)
            }
            BadClient::PartialFrame => drop(stream.write_all(&[0, 0, 0, 90, 0x80, 1]).await),
            BadClient::SlowFrame => {
                let _ = stream.write_all(&[0, 0, 1, 0]).await;
                while stream.write_all(&[0x80]).await.is_ok() {
                    Timer::after(Duration::from_millis(150)).await;
                }
            }
        }
        future::pending().await
    };
    let read = async {
        let mut bytes = [0; 256];
        match (&mut &stream).read(&mut bytes).await {
            Ok(_) => (Some(clock.now()), false),
            Err(_) => (None, true),
        }
    };
    let timeout = async {
        Timer::after(RESPONSE_TIMEOUT).await;
        (None, false)
    };
    future::or(future::or(read, timeout), write).await
}

/// Samples the resource usage of each process periodically until the task is cancelled.
pub async fn monitor_usage(clock: Clock, fleet: SharedFleet, probe_results: SharedProbeResults) {
    loop {
        record_usage(&fleet.borrow(), &mut probe_results.borrow_mut().usage);
        Timer::at(clock.at(clock.now() + USAGE_INTERVAL_MS)).await;
    }
}

/// Raises each backend's peak usage to the current usage of its process.
fn record_usage(fleet: &Fleet, usage: &mut Vec<Usage>) {
    usage.resize(fleet.backends.len(), Usage::default());
    for (usage, backend) in usage.iter_mut().zip(&fleet.backends) {
        let Some(id) = backend.process_id() else { continue };
        let open_descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        usage.descriptors = usage.descriptors.max(open_descriptors);
        usage.memory_kb = usage.memory_kb.max(backend.peak_memory_kb().unwrap_or(0));
    }
}
