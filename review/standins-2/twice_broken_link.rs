//! The link between a backend and its agent breaks now and then, and what was written in the last 50 ms before a break is lost.
//! Afterwards the link stays up and the agent is idle: does the backend still run anything?

#[path = "common.rs"]
mod common;

use common::*;
use std::sync::{Arc, Mutex};
use std::thread;

/// Two cores; one class that may run once only, one that may run again; figures as at bratislava-records.
const SETTINGS: &str = r#"{"classes":[
 {"name":"code-check","aim_ms":1600,"deadline_ms":4000,"effect":"repeatable","gain":1,"late_worth":0},
 {"name":"receipt-record","aim_ms":2600,"deadline_ms":6600,"effect":"once","gain":3,"late_worth":0}],
 "family":"server","family_info":{"below":"silent","cancel_seen":true,"cores":2,"memory_kb":26832,"run_factor":4,
  "entry_kb":2,"halt":"suspend","heeded_ms":1000,"just_started":false,"keepalive_max_ms":30000,"linger_ms":200,
  "meters":["cpu_busy","runnable","mem_used","sockets"],"passes_deadline":true,"readiness":false,"real_checks":false,
  "senders":4,"share_for_ms":0,"signal":"silent"},
 "clients":{"marks_retry":false},"group_size":1,"policy_limits":{"retry_after":true,"max_retry_after_ms":1000},
 "rules":{"answer_slack_ms":60,"cold_from":0.25,"drain_grace_ms":2000,"fall_ms":3000,"tip_multiple":8,"warm_within_ms":17000},
 "tenants":[]}"#;

const RUN_MS: f64 = 8.0;
/// Each of four clients sends a request this often: 120 a second, which is half of what the two cores do.
const PERIOD_MS: f64 = 30.0;
const BREAKS: u32 = 8;
const BETWEEN_BREAKS_MS: f64 = 2200.0;
/// Service page: commands from the last 50 ms before the break may be lost with it; 5 ms are left for how late a sleep ends.
const LOST_MS: f64 = 45.0;
/// After the last break: the longest deadline with its slack, so that all before is answered.
const SETTLE_MS: f64 = 8000.0;
/// How long the backend is then watched.
const WATCHED_MS: f64 = 10_000.0;
/// After that, with no other request under way: so many single requests, each with a fresh pause and much patience.
const SINGLES: usize = 10;

#[derive(Default)]
struct Tally {
    sent: u32,
    served: u32,
    refused: u32,
    failed: u32,
    ended: u32,
}

fn main() {
    let log = Log::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let agent = Agent::start("n1", 2.0, &[("code-check", RUN_MS), ("receipt-record", RUN_MS)], &log);
    let mut backend = Backend::new("n1", agent.clone(), start_registry(), 3200, SETTINGS);
    backend.start();
    backend.wait_ready();
    let before_ms = 4000.0;
    let end_ms = unix_ms() + before_ms + f64::from(BREAKS) * BETWEEN_BREAKS_MS + SETTLE_MS + WATCHED_MS;
    let watched_from = end_ms - WATCHED_MS;
    let (early, late) = (Arc::new(Mutex::new(Tally::default())), Arc::new(Mutex::new(Tally::default())));
    let listen = backend.listen;
    let clients: Vec<_> = (0..4u32)
        .map(|client| {
            let (early, late, log) = (early.clone(), late.clone(), log.clone());
            thread::spawn(move || {
                sleep_ms(f64::from(client) * PERIOD_MS / 4.0);
                let mut waiting = Vec::new();
                let mut round = 0u32;
                while unix_ms() < end_ms {
                    let request = Try {
                        id: new_id(),
                        class: if (round + client) % 3 == 0 { "code-check" } else { "receipt-record" }.into(),
                        tenant: String::new(),
                        wait_ms: if (round + client) % 3 == 0 { 3000.0 } else { 6600.0 },
                        rank: 0.9,
                        key: None,
                        body: format!("{client}-{round}"),
                    };
                    round += 1;
                    let (tally, log) = (if unix_ms() < watched_from { early.clone() } else { late.clone() }, log.clone());
                    waiting.push(thread::spawn(move || {
                        let (id, class) = (request.id.clone(), request.class.clone());
                        log.line(&format!("sent {id} {class}"));
                        let answer = ask(listen, &request);
                        log.line(&format!("answered {id}: {answer:?}"));
                        let mut tally = tally.lock().unwrap();
                        tally.sent += 1;
                        match answer {
                            Answer::Served(_) => tally.served += 1,
                            Answer::Refused => tally.refused += 1,
                            Answer::Failed(_) => tally.failed += 1,
                            _ => tally.ended += 1,
                        }
                    }));
                    sleep_ms(PERIOD_MS + f64::from(round % 7));
                }
                waiting.into_iter().for_each(|thread| drop(thread.join()));
            })
        })
        .collect();
    sleep_ms(before_ms);
    let mut draw = Draw::new(5);
    for _ in 0..BREAKS {
        sleep_ms(BETWEEN_BREAKS_MS - LOST_MS - 100.0 + (draw.next() % 200) as f64);
        if trouble() {
            agent.break_link(LOST_MS);
            log.line("the agent's link breaks");
        } else {
            sleep_ms(LOST_MS);
        }
    }
    log.line("no more breaks");
    sleep_ms(watched_from - unix_ms());
    let (runs_before, in_agent) = (agent.runs().len(), agent.running());
    log.line(&format!("watched from here; at the agent {in_agent} run"));
    clients.into_iter().for_each(|client| drop(client.join()));
    let runs = agent.runs().len() - runs_before;
    let (early, late) = (early.lock().unwrap(), late.lock().unwrap());
    log.say(&format!(
        "before: sent {}, served {}, refused {}, failed {}, ended {}; commands lost with the link {}",
        early.sent, early.served, early.refused, early.failed, early.ended, agent.lost_commands()
    ));
    log.say(&format!(
        "the last {} s, link up and nothing else to do: sent {}, served {}, refused {}, failed {}, ended {}; runs begun {runs}",
        WATCHED_MS / 1000.0, late.sent, late.served, late.refused, late.failed, late.ended
    ));
    if early.served < 50 || late.sent < 20 {
        cannot_run("too few requests were served or sent");
    }
    // A slow machine refuses some while all ask at once. A single request beside nothing else is begun on any machine.
    sleep_ms(2000.0);
    let before_singles = agent.runs().len();
    let mut refused = 0;
    for number in 0..SINGLES {
        let class = if number % 2 == 0 { "code-check" } else { "receipt-record" };
        let (id, body) = (new_id(), format!("single-{number}"));
        let wait_ms = if number % 2 == 0 { 4000.0 } else { 6600.0 };
        let request =
            Try { id, class: class.into(), tenant: String::new(), wait_ms, rank: 0.9, key: None, body };
        log.line(&format!("sent {} {class}, single", request.id));
        let answer = ask(listen, &request);
        log.line(&format!("answered {}: {answer:?}", request.id));
        refused += usize::from(answer == Answer::Refused);
        sleep_ms(300.0);
    }
    let singles = agent.runs().len() - before_singles;
    log.say(&format!("then {SINGLES} single requests: refused {refused}, runs begun {singles}"));
    drop(backend);
    // A backend that hangs: it is well enough to refuse, and begins nothing that it is asked for, with both cores idle.
    let hangs = late.served == 0 && runs == 0 && singles == 0 && refused == SINGLES;
    let status = if hangs { BROKEN } else { HELD };
    log.say(if status == BROKEN { "BROKEN: the backend runs nothing any more" } else { "held" });
    std::process::exit(status);
}
