//! Case 2: callers that use the project's client send exclusive requests while one of two backends drains. One
//! connection is reset as its answer comes. An exclusive request must not run twice, and what has run must not be told
//! as dismissed (`Rejected`: "the request did not run").

#[path = "common.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::process::{exit, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const STOP_MS: u64 = 3200;
const GRACE_MS: u64 = 2000;
/// The backend says `closing` 0.15 s before the grace ends (docs/architecture.md, "Drain").
const CLOSING_AFTER_MS: u64 = GRACE_MS - 150;
const CALLS: usize = 8;
const BETWEEN_CALLS_MS: u64 = 4;
/// A request counts as one that may be taken for a crossing if it passed the path this long before `closing` at most.
const CROSSING_MS: u64 = 38;

fn settings() -> &'static str {
    r#"{"classes": [{"name": "receipt-record", "aim_ms": 2600, "deadline_ms": 6600, "effect": "once", "gain": 3,
        "late_worth": 0}],
        "clients": {"marks_retry": true}, "group_size": 2,
        "family_info": {"cores": 2, "memory_kb": 60000, "run_factor": 4, "entry_kb": 60, "below": "silent",
            "halt": "suspend", "signal": "window", "senders": 20, "keepalive_max_ms": 30000, "cancel_seen": true,
            "passes_deadline": true, "just_started": false,
            "meters": ["cpu_busy", "runnable", "mem_used", "sockets"]},
        "policy_limits": {"retry_after": true, "max_retry_after_ms": 1000},
        "rules": {"tip_multiple": 8, "fall_ms": 3000, "drain_grace_ms": 2000, "cold_from": 0.3, "warm_within_ms": 1000,
            "answer_slack_ms": 60}}"#
}

/// The one reset of a run: which connection it met, if any yet.
type Reset = Arc<Mutex<Option<u64>>>;

/// A path from callers to a backend that passes everything on, and once resets a connection as its answer comes: the
/// first one whose request passed shortly before the backend's `closing`.
fn start_front(to: SocketAddr, reset: Reset, is_on: bool, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (number, near) in listener.incoming().flatten().enumerate() {
            let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_millis(1000)) else { continue };
            let (_, _) = (near.set_nodelay(true), far.set_nodelay(true));
            let (near2, far2) = (near.try_clone().unwrap(), far.try_clone().unwrap());
            let sent_ms: Arc<Mutex<Option<u64>>> = Arc::default();
            let (sent, own) = (sent_ms.clone(), record.clone());
            thread::spawn(move || upstream(near, far, number as u64, &sent, &own));
            let (reset, own) = (reset.clone(), record.clone());
            thread::spawn(move || downstream(far2, near2, number as u64, &sent_ms, is_on.then_some(reset), &own));
        }
    });
    address
}

fn upstream(mut from: TcpStream, mut to: TcpStream, number: u64, sent: &Mutex<Option<u64>>, record: &Record) {
    let mut bytes = [0; 16 << 10];
    loop {
        let count = from.read(&mut bytes).unwrap_or(0);
        if has(&bytes[..count], b"dispatch") {
            *sent.lock().unwrap() = Some(record.ms());
            record.line(&format!("path to a, connection {number}: a request passes"));
        }
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}

fn downstream(
    mut from: TcpStream,
    mut to: TcpStream,
    number: u64,
    sent: &Mutex<Option<u64>>,
    reset: Option<Reset>,
    record: &Record,
) {
    let mut bytes = [0; 16 << 10];
    let mut crosses = false;
    loop {
        let count = from.read(&mut bytes).unwrap_or(0);
        if has(&bytes[..count], b"closing") {
            let before_ms = sent.lock().unwrap().map(|sent_ms| record.ms() - sent_ms);
            crosses = before_ms.is_some_and(|ms| ms <= CROSSING_MS);
            record.line(&format!("path to a, connection {number}: `closing` passes, {before_ms:?} ms after the request"));
        }
        if let Some(reset) = reset.as_ref().filter(|_| crosses && has(&bytes[..count], b"dispatch")) {
            let mut reset = reset.lock().unwrap();
            if reset.is_none() {
                *reset = Some(number);
                record.line(&format!("path to a, connection {number}: reset as the answer comes"));
                reset_now(&to);
                let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
                return;
            }
        }
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
    }
}

fn has(bytes: &[u8], word: &[u8]) -> bool {
    bytes.windows(word.len()).any(|part| part == word)
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

/// Has the end of a connection send a reset instead of an orderly end (SOL_SOCKET, SO_LINGER with no time).
fn reset_now(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, std::mem::size_of::<Linger>() as u32) };
}

fn main() {
    let record = Record::create(Path::new("review/2/record.txt"));
    let folder = Folder::create();
    let launches = Launches::default();
    let (run, registry) = (deploy_command("run"), start_registry());
    let mut backends: Vec<(SocketAddr, Process)> = Vec::new();
    for name in ["a", "b"] {
        let (address, agent) = (free_address(), start_agent(name, launches.clone(), usual_speed(), record.clone()));
        let config = folder.file(
            &format!("{name}.json"),
            &format!(
                r#"{{"name": "{name}", "listen": "{address}", "agent": "{agent}", "registry": "{registry}",
                    "seed": "{:x}", "stop_ms": {STOP_MS},
                    "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 512}}, "settings": {}}}"#,
                unix_ms() as u64,
                settings()
            ),
        );
        let log = folder.0.join(format!("{name}.log"));
        backends.push((address, Process::start(name, &run, &[("RELAY_CONFIG", &config)], &log)));
    }
    let is_up = |address| {
        let connection = Connection::open(address);
        connection.is_some_and(|connection| {
            let request = Request { class: "receipt-record", key: None, body: "warm;ms=5;", within_ms: 1000 };
            connection.is_alive() && matches!(connection.ask(&attempt_id(), &request), Answer::Served(_))
        })
    };
    if !backends.iter().all(|(address, _)| wait_for(15_000, || is_up(*address))) {
        record.line("the backends did not come up: the case could not run");
        drop((backends, folder));
        exit(2);
    }
    let reset: Reset = Arc::default();
    let front = start_front(backends[0].0, reset.clone(), !without_trouble(), record.clone());
    let b = backends[1].0;
    if !without_trouble() {
        record.line("a gets the notice to leave (SIGTERM)");
        backends[0].1.signal("TERM");
    }
    // The calls begin shortly before a says `closing`.
    sleep_ms(CLOSING_AFTER_MS - 40);
    let mut callers = Vec::new();
    for number in 0..CALLS {
        let record = record.clone();
        callers.push(thread::spawn(move || {
            let body = format!("sale={}-{number};ms=400;", std::process::id());
            record.line(&format!("caller {number}: plovershelf call --exclusive, body {body:?}"));
            let call = Command::new("target/release/plovershelf")
                .args(["call", "--to", &front.to_string(), "--to", &b.to_string()])
                .args(["--exclusive", "--within-ms", "6000", "--json", "receipt-record", &body])
                .stdin(Stdio::null())
                .output();
            let said = call.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_string());
            let said = said.unwrap_or_else(|error| error.to_string());
            record.line(&format!("caller {number}: {said}"));
            (body, said)
        }));
        sleep_ms(BETWEEN_CALLS_MS);
    }
    let calls: Vec<(String, String)> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    if !without_trouble() && !wait_for(2 * STOP_MS, || backends[0].1.ended().is_some()) {
        record.line("a has not ended");
    }
    let launches = launches.lock().unwrap();
    let (mut twice, mut begun, mut denied) = (0, 0, 0);
    for (body, said) in calls {
        let runs: Vec<&Launch> = launches.iter().filter(|launch| launch.body == body).collect();
        let shown: Vec<String> = runs.iter().map(|run| format!("{} at {} ms", run.agent, run.at_ms)).collect();
        record.line(&format!("{body}: {} runs ({})", runs.len(), shown.join(", ")));
        begun += usize::from(!runs.is_empty());
        twice += usize::from(runs.len() > 1);
        denied += usize::from(!runs.is_empty() && said.contains("\"dismissed\""));
    }
    let met = reset.lock().unwrap().is_some();
    let line = format!(
        "{CALLS} exclusive requests: {begun} run, {twice} run more than once, {denied} told as dismissed though run; \
         a reset met one: {met}"
    );
    record.line(&line);
    println!("{line}");
    drop(launches);
    drop((backends, folder));
    // Without a reset at the right moment the run has shown nothing.
    exit(if twice + denied > 0 { 1 } else if met || without_trouble() { 0 } else { 2 });
}
