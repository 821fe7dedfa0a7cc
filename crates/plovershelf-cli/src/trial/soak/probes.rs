//! Who else talks to the backends of a soak: health checks, bad clients, a crowd that fills descriptors, and a look at
//! what each process holds.

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

const PROBE_INTERVAL_MS: f64 = 200.0;
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
const BAD_CLIENT_INTERVAL_MS: f64 = 150.0;
/// A bad client waits this long for a word.
const WORD_TIMEOUT: Duration = Duration::from_secs(6);
const USAGE_INTERVAL_MS: f64 = 100.0;
/// Longest frame that a prober reads.
const MAX_FRAME_BYTES: usize = 1 << 16;

/// One health check: when it was sent, and what was heard when.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    pub backend: usize,
    pub at_ms: f64,
    /// Time of the answer, and whether it was that the backend is ready.
    pub heard: Option<(f64, bool)>,
}

/// What a bad client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadClient {
    Silent,
    /// Bytes that are no frame.
    Nonsense,
    /// A frame's length, then nothing.
    HalfFrame,
    /// A frame that comes a byte at a time and never ends.
    Slow,
}

/// How a bad client fared: what it did, from when on, and when it heard a word.
#[derive(Clone, Copy, Debug)]
pub struct BadClientRecord {
    pub kind: BadClient,
    pub backend: usize,
    pub at_ms: f64,
    pub word_ms: Option<f64>,
    /// Its connection ended with a reset before any word.
    pub was_reset: bool,
    /// When it gave up waiting or its connection ended.
    pub ended_ms: f64,
}

/// The most that a process held.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub descriptors: usize,
    pub memory_kb: u64,
}

/// All that probes saw.
#[derive(Default)]
pub struct Seen {
    pub probes: Vec<Probe>,
    pub bad_clients: Vec<BadClientRecord>,
    pub usage: Vec<Usage>,
}

pub type SharedSeen = Rc<RefCell<Seen>>;

/// Checks the health of each backend, time and again.
pub async fn check_health(executor: &Executor, clock: Clock, addresses: &[SocketAddr], seen: &SharedSeen) {
    loop {
        for (backend, address) in addresses.iter().copied().enumerate() {
            let seen = seen.clone();
            let check = async move {
                let at_ms = clock.now();
                let timeout = async {
                    Timer::after(PROBE_TIMEOUT).await;
                    None
                };
                let ready = future::or(health(address), timeout).await;
                let heard = ready.map(|ready| (clock.now(), ready));
                seen.borrow_mut().probes.push(Probe { backend, at_ms, heard });
            };
            executor.spawn(check).detach();
        }
        Timer::at(clock.at(clock.now() + PROBE_INTERVAL_MS)).await;
    }
}

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

/// Bad clients one after the other, and in a crowd many silent ones that fill the descriptors.
pub async fn misbehave(
    executor: &Executor,
    clock: Clock,
    plan: &Plan,
    addresses: &[SocketAddr],
    seen: &SharedSeen,
) {
    let mut random = Pcg64::seed_from_u64(plan.seed ^ 0xbad);
    let kinds = [BadClient::Silent, BadClient::Nonsense, BadClient::HalfFrame, BadClient::Slow];
    let crowd = if plan.is_crowded { 2 * plan.sockets as usize * addresses.len() } else { 0 };
    let crowd_per_tick = (crowd as f64 * 2.0 * BAD_CLIENT_INTERVAL_MS / plan.span_ms).ceil() as usize;
    loop {
        Timer::at(clock.at(clock.now() + BAD_CLIENT_INTERVAL_MS)).await;
        let kind = kinds[random.random_range(0..kinds.len())];
        let crowd = std::iter::repeat_n(BadClient::Silent, crowd_per_tick);
        for kind in std::iter::once(kind).chain(crowd) {
            let backend = random.random_range(0..addresses.len());
            let (address, seen) = (addresses[backend], seen.clone());
            let run = async move {
                let Ok(stream) = Async::<TcpStream>::connect(address).await else { return };
                let at_ms = clock.now();
                let (word_ms, was_reset) = hear_word(clock, stream, kind).await;
                let ended_ms = clock.now();
                let record = BadClientRecord { kind, backend, at_ms, word_ms, was_reset, ended_ms };
                seen.borrow_mut().bad_clients.push(record);
            };
            executor.spawn(run).detach();
        }
    }
}

/// When a word came, be it an end in order, and whether there was a reset instead.
async fn hear_word(clock: Clock, stream: Async<TcpStream>, kind: BadClient) -> (Option<f64>, bool) {
    let write = async {
        let mut stream = &stream;
        match kind {
            BadClient::Silent => {}
            BadClient::Nonsense => drop(stream.write_all(&[0, 0, 0, 9, 7, 7, 7, 7, 7, 7, 7, 7, 7]).await),
            BadClient::HalfFrame => drop(stream.write_all(&[0, 0, 0, 90, 0x80, 1]).await),
            BadClient::Slow => {
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
        Timer::after(WORD_TIMEOUT).await;
        (None, false)
    };
    future::or(future::or(read, timeout), write).await
}

/// Looks at what each process holds, time and again.
pub async fn watch_usage(clock: Clock, fleet: SharedFleet, seen: SharedSeen) {
    loop {
        record_usage(&fleet.borrow(), &mut seen.borrow_mut().usage);
        Timer::at(clock.at(clock.now() + USAGE_INTERVAL_MS)).await;
    }
}

fn record_usage(fleet: &Fleet, usage: &mut Vec<Usage>) {
    usage.resize(fleet.backends.len(), Usage::default());
    for (usage, backend) in usage.iter_mut().zip(&fleet.backends) {
        let Some(id) = backend.process_id() else { continue };
        let open = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        usage.descriptors = usage.descriptors.max(open);
        usage.memory_kb = usage.memory_kb.max(backend.peak_memory_kb().unwrap_or(0));
    }
}
