//! Two backends are released in turn while callers of the client library send work that may run once only. Now and then a
//! caller's connection is reset as an answer comes. Does any of that work run twice?

#[path = "common.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const SETTINGS: &str = r#"{"classes":[
 {"name":"receipt-record","aim_ms":2600,"deadline_ms":6600,"effect":"once","gain":3,"late_worth":0}],
 "family":"server","family_info":{"below":"silent","cancel_seen":true,"cores":6,"memory_kb":26832,"run_factor":4,
  "entry_kb":2,"halt":"suspend","heeded_ms":1000,"just_started":false,"keepalive_max_ms":30000,"linger_ms":200,
  "meters":["cpu_busy","runnable","mem_used","sockets"],"passes_deadline":true,"readiness":false,"real_checks":false,
  "senders":4,"share_for_ms":0,"signal":"silent"},
 "clients":{"marks_retry":false},"group_size":2,"policy_limits":{"retry_after":true,"max_retry_after_ms":1000},
 "rules":{"answer_slack_ms":60,"cold_from":0.25,"drain_grace_ms":2000,"fall_ms":3000,"tip_multiple":8,"warm_within_ms":17000},
 "tenants":[]}"#;

const RUN_MS: f64 = 80.0;
const BETWEEN_CALLS_MS: f64 = 12.0;
const RELEASES: usize = 8;
/// One answer in so many is lost with its connection.
const RESET_ONE_IN: u64 = 5;

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Ends a connection by a reset (SO_LINGER of no time).
fn reset(stream: &TcpStream) {
    let linger = [1i32, 0];
    // SAFETY: SOL_SOCKET is 1 and SO_LINGER 13 on Linux; the value is two ints, as the call asks.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

/// The network between callers and one backend. While `resets` is on, it now and then resets a caller's connection in the
/// place of an answer.
fn start_path(to: SocketAddr, resets: Arc<AtomicBool>, count: Arc<AtomicU64>, log: Log) -> SocketAddr {
    let address = free_address();
    let Ok(listener) = TcpListener::bind(address) else { cannot_run("a path's listener") };
    let draw = Arc::new(Mutex::new(Draw::new(77 + u64::from(to.port()))));
    thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            let Ok(backend) = TcpStream::connect(to) else { continue };
            let _ = (caller.set_nodelay(true), backend.set_nodelay(true));
            let (Ok(mut from_caller), Ok(mut to_backend)) = (caller.try_clone(), backend.try_clone()) else { continue };
            thread::spawn(move || {
                let mut chunk = [0; 8 << 10];
                while let Ok(count) = from_caller.read(&mut chunk) {
                    if count == 0 || to_backend.write_all(&chunk[..count]).is_err() {
                        break;
                    }
                }
                let _ = to_backend.shutdown(Shutdown::Write);
            });
            let (resets, count, log, draw) = (resets.clone(), count.clone(), log.clone(), draw.clone());
            let (mut caller, mut backend) = (caller, backend);
            thread::spawn(move || {
                let mut bytes: Vec<u8> = Vec::new();
                let mut chunk = [0; 8 << 10];
                loop {
                    let read = backend.read(&mut chunk).unwrap_or(0);
                    if read == 0 {
                        break;
                    }
                    bytes.extend_from_slice(&chunk[..read]);
                    while bytes.len() >= 4 {
                        let length = 4 + i32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
                        if bytes.len() < length {
                            break;
                        }
                        let frame: Vec<u8> = bytes.drain(..length).collect();
                        let answer = decode_answer(&frame[4..]);
                        if answer.is_none() {
                            log.line(&format!("path to {to}: closing passes"));
                        }
                        let served = matches!(answer, Some((_, Answer::Served(_))));
                        let chosen = served && draw.lock().unwrap().next() % RESET_ONE_IN == 0;
                        if chosen && resets.load(Ordering::Relaxed) {
                            count.fetch_add(1, Ordering::Relaxed);
                            log.line(&format!("path to {to}: reset in the place of {answer:?}"));
                            reset(&caller);
                            let _ = backend.shutdown(Shutdown::Both);
                            // The other thread's duplicate is let go of as well, so that the socket is closed now.
                            let _ = caller.shutdown(Shutdown::Read);
                            drop(caller);
                            return;
                        }
                        if caller.write_all(&frame).is_err() {
                            let _ = backend.shutdown(Shutdown::Both);
                            return;
                        }
                    }
                }
                let _ = caller.shutdown(Shutdown::Both);
            });
        }
    });
    address
}

fn main() {
    let log = Log::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let registry = start_registry();
    let mut backends: Vec<Backend> = ["n1", "n2"]
        .iter()
        .map(|name| {
            let agent = Agent::start(name, 6.0, &[("receipt-record", RUN_MS)], &log);
            Backend::new(name, agent, registry, 3200, SETTINGS)
        })
        .collect();
    backends.iter_mut().for_each(Backend::start);
    backends.iter().for_each(Backend::wait_ready);
    let (resets, reset_count) = (Arc::new(AtomicBool::new(trouble())), Arc::new(AtomicU64::new(0)));
    let paths: Vec<SocketAddr> = backends
        .iter()
        .map(|backend| start_path(backend.listen, resets.clone(), reset_count.clone(), log.clone()))
        .collect();

    let calling = Arc::new(AtomicBool::new(true));
    let ends: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let caller = {
        let (calling, ends, log, paths) = (calling.clone(), ends.clone(), log.clone(), paths.clone());
        thread::spawn(move || {
            let mut waiting = Vec::new();
            let mut number = 0;
            while calling.load(Ordering::Relaxed) {
                number += 1;
                let (ends, log, paths) = (ends.clone(), log.clone(), paths.clone());
                waiting.push(thread::spawn(move || {
                    let body = format!("sale-{number}");
                    log.line(&format!("call {body}"));
                    let output = Command::new("target/release/plovershelf")
                        .args(["call", "--to", &paths[0].to_string(), "--to", &paths[1].to_string()])
                        .args(["receipt-record", &body, "--exclusive", "--within-ms", "6600", "--json"])
                        .stdin(Stdio::null())
                        .stderr(Stdio::null())
                        .output();
                    let text = output.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_string());
                    let text = text.unwrap_or_else(|error| cannot_run(&format!("plovershelf call: {error}")));
                    log.line(&format!("call {body} ended: {text}"));
                    let end = text.split("\"end\":\"").nth(1).and_then(|rest| rest.split('"').next());
                    *ends.lock().unwrap().entry(end.unwrap_or("?").to_string()).or_default() += 1;
                }));
                sleep_ms(BETWEEN_CALLS_MS);
            }
            waiting.into_iter().for_each(|thread| drop(thread.join()));
        })
    };
    sleep_ms(2000.0);
    for release in 0..RELEASES {
        let backend = &mut backends[release % 2];
        if trouble() {
            log.line(&format!("{}: SIGTERM", backend.name));
            backend.signal(SIGTERM);
            let ended = backend.process.as_mut().is_some_and(|process| process.wait_ended(3200.0));
            log.line(&format!("{}: ended by itself: {ended}", backend.name));
            backend.kill();
            backend.start();
            backend.wait_ready();
        } else {
            sleep_ms(2300.0);
        }
        sleep_ms(1500.0);
    }
    calling.store(false, Ordering::Relaxed);
    let _ = caller.join();

    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for backend in &backends {
        for run in backend.agent.runs() {
            runs.entry(run.body).or_default().push(format!("{} process {} id {}", backend.name, run.process, run.id));
        }
    }
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| runs.len() > 1).collect();
    for (body, runs) in &twice {
        log.say(&format!("{body} ran {} times: {}", runs.len(), runs.join("; ")));
    }
    let ends = ends.lock().unwrap().clone();
    log.say(&format!(
        "calls {}, ends {ends:?}, answers reset {}, ran {}, ran twice {}",
        ends.values().sum::<u32>(), reset_count.load(Ordering::Relaxed), runs.len(), twice.len()
    ));
    if ends.get("succeeded").copied().unwrap_or(0) < 300 {
        cannot_run("too few calls succeeded");
    }
    drop(backends);
    let status = if twice.is_empty() { HELD } else { BROKEN };
    log.say(if status == BROKEN { "BROKEN: work that may run once only ran twice" } else { "held" });
    std::process::exit(status);
}
