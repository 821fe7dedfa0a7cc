//! Case 3: three backends replicate their deduplication records; the cores of one are slow for a while. A caller whose
//! first try got no result in its time asks again at the same backend. What has begun to run must not be refused.

#[path = "common.rs"]
mod common;

use common::*;
use std::net::SocketAddr;
use std::path::Path;
use std::process::exit;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;

const MEMBERS: usize = 3;
/// `entry-submit` takes 150 to 260 ms of work; slow backends run 2.2 to 7.5 times slower.
const WORK_MS: u64 = 200;
const SLOW_PERCENT: u64 = 750;
const KEYS: usize = 12;
const BETWEEN_KEYS_MS: u64 = 900;
/// How long the sidecar waits for a try.
const WITHIN_MS: u64 = 600;

fn settings() -> &'static str {
    r#"{"classes": [{"name": "entry-submit", "aim_ms": 2300, "deadline_ms": 5700, "effect": "by_key",
        "dedup_window_ms": 16989, "gain": 3, "late_worth": 0.2}],
        "clients": {"marks_retry": true}, "group_size": 3,
        "family_info": {"cores": 2, "memory_kb": 40000, "run_factor": 8, "entry_kb": 60, "below": "silent",
            "halt": "silent", "signal": "silent", "senders": 4, "keepalive_max_ms": 30000, "cancel_seen": true,
            "passes_deadline": true, "just_started": false,
            "meters": ["cpu_busy", "runnable", "mem_used", "sockets"]},
        "policy_limits": {"retry_after": true, "max_retry_after_ms": 1000},
        "rules": {"tip_multiple": 5, "fall_ms": 3000, "drain_grace_ms": 2500, "cold_from": 0.3,
            "warm_within_ms": 1000, "answer_slack_ms": 80}}"#
}

fn main() {
    let record = Record::create(Path::new("review/3/record.txt"));
    let folder = Folder::create();
    let launches = Launches::default();
    let (run, registry) = (deploy_command("run"), start_registry());
    let group: Vec<SocketAddr> = (0..MEMBERS).map(|_| free_address()).collect();
    let slowness: Vec<Slowness> = (0..MEMBERS).map(|_| usual_speed()).collect();
    let mut members: Vec<(SocketAddr, Process)> = Vec::new();
    for index in 0..MEMBERS {
        let name = format!("n{}", index + 1);
        let agent = start_agent(&name, launches.clone(), slowness[index].clone(), record.clone());
        let address = free_address();
        let config = folder.file(
            &format!("{name}.json"),
            &format!(
                r#"{{"name": "{name}", "listen": "{address}", "agent": "{agent}", "registry": "{registry}",
                    "seed": "{:x}", "stop_ms": 3200,
                    "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 512}}, "settings": {}}}"#,
                unix_ms() as u64 + index as u64,
                settings()
            ),
        );
        let seeds: Vec<String> = group.iter().map(|address| address.to_string()).collect();
        let group_file = folder.file(
            &format!("{name}.ini"),
            &format!(
                "[group]\nname = fleet\nlisten = {}\nzone = z{}\nregion = r1\nseeds = {}\ncouncil = n1, n2, n3\n\
                 voters = 3\nfolder = {}\n\n[copies]\ncopies = 3\nleast = 2\n",
                group[index],
                index + 1,
                seeds.join(", "),
                folder.0.join(&name).display()
            ),
        );
        let environment: [(&str, &Path); 2] = [("RELAY_CONFIG", &config), ("PLOVERSHELF_GROUP", &group_file)];
        let log = folder.0.join(format!("{name}.log"));
        members.push((address, Process::start(&name, &run, &environment, &log)));
    }
    let serves = |address: SocketAddr| {
        let key = format!("warm-{}", attempt_id());
        let request = Request { class: "entry-submit", key: Some(&key), body: "warm;ms=5;", within_ms: 1000 };
        let connection = Connection::open(address);
        connection.is_some_and(|connection| matches!(connection.ask(&attempt_id(), &request), Answer::Served(_)))
    };
    if !members.iter().all(|(address, _)| wait_for(20_000, || serves(*address))) {
        record.line("the members did not come up: the case could not run");
        drop((members, folder));
        exit(2);
    }
    sleep_ms(1000);
    if !without_trouble() {
        record.line("the cores of n1 are 7.5 times slower from now on");
        slowness[0].store(SLOW_PERCENT, Ordering::SeqCst);
    }
    let to = members[0].0;
    let refused: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..KEYS {
        let (record, launches, refused) = (record.clone(), launches.clone(), refused.clone());
        callers.push(thread::spawn(move || {
            let key = format!("ticket-{}-{number}", std::process::id());
            let body = format!("key={key};ms={WORK_MS};");
            let request = Request { class: "entry-submit", key: Some(&key), body: &body, within_ms: WITHIN_MS };
            // Two tries at the same backend, one after the other, each for as long as the sidecar waits.
            for attempt in 1..=2 {
                let id = attempt_id();
                record.line(&format!("caller: {key}, try {attempt} as {id}, waits {WITHIN_MS} ms"));
                let answer = Connection::open(to).map_or(Answer::None, |connection| connection.ask(&id, &request));
                let runs = launches.lock().unwrap();
                let begun = runs.iter().find(|launch| launch.body == body).map(|launch| launch.at_ms);
                record.line(&format!("caller: {key}, try {attempt}: {answer:?}; its run began at {begun:?} ms"));
                match answer {
                    Answer::Served(_) => return,
                    Answer::Refused if begun.is_some() => refused.lock().unwrap().push(key.clone()),
                    _ => {}
                }
            }
        }));
        sleep_ms(BETWEEN_KEYS_MS);
    }
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    sleep_ms(2000);
    let launches = launches.lock().unwrap();
    let run = |key: &usize| {
        let body = format!("key=ticket-{}-{key};ms={WORK_MS};", std::process::id());
        launches.iter().any(|launch| launch.body == body)
    };
    let begun = (0..KEYS).filter(run).count();
    let refused = refused.lock().unwrap().len();
    let line = format!("{KEYS} keys: {begun} run, {refused} refused though their run had begun at that backend");
    record.line(&line);
    println!("{line}");
    drop(launches);
    drop((members, folder));
    exit(i32::from(refused > 0));
}
