//! Case 3: five backends replicate their deduplication records; one of them is lost after a number of keys were served.
//! Callers ask for each key again, some twice at once. A key that was answered `succeeded` must not be answered as
//! failed.

#[path = "common.rs"]
mod common;

use common::*;
use std::net::SocketAddr;
use std::path::Path;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;

const MEMBERS: usize = 5;
/// The member that is lost; it is no voter and runs none of the keys.
const LOST: usize = 4;
const WORK_MS: u64 = 20;
const KEYS: usize = 60;
/// Between the two tries of a key that come to one backend at about the same time.
const BETWEEN_TRIES_MS: u64 = 20;
const WITHIN_MS: u64 = 1500;

fn settings() -> &'static str {
    r#"{"classes": [{"name": "entry-submit", "aim_ms": 2300, "deadline_ms": 5700, "effect": "by_key",
        "dedup_window_ms": 16989, "gain": 3, "late_worth": 0.2}],
        "clients": {"marks_retry": true}, "group_size": 5,
        "family_info": {"cores": 2, "memory_kb": 40000, "run_factor": 8, "entry_kb": 60, "below": "silent",
            "halt": "silent", "signal": "silent", "senders": 4, "keepalive_max_ms": 30000, "cancel_seen": true,
            "passes_deadline": true, "just_started": false,
            "meters": ["cpu_busy", "runnable", "mem_used", "sockets"]},
        "policy_limits": {"retry_after": true, "max_retry_after_ms": 1000},
        "rules": {"tip_multiple": 5, "fall_ms": 3000, "drain_grace_ms": 2500, "cold_from": 0.3,
            "warm_within_ms": 1000, "answer_slack_ms": 80}}"#
}

/// Asks one backend for a key and records what it answers.
fn ask(record: &Record, addresses: &[SocketAddr], member: usize, key: &str, what: &str) -> Answer {
    let (id, body) = (attempt_id(), format!("key={key};ms={WORK_MS};"));
    record.line(&format!("caller: {key}, {what}, to n{} as attempt {id}", member + 1));
    let request = Request { class: "entry-submit", key: Some(key), body: &body, within_ms: WITHIN_MS };
    let answer = Connection::open(addresses[member]).map_or(Answer::None, |connection| connection.ask(&id, &request));
    record.line(&format!("caller: {key}, {what}, at n{}, attempt {id}: {answer:?}", member + 1));
    answer
}

fn main() {
    let record = Record::create(Path::new("review/3/record.txt"));
    let folder = Folder::create();
    let launches = Launches::default();
    let (run, registry) = (deploy_command("run"), start_registry());
    let group: Vec<SocketAddr> = (0..MEMBERS).map(|_| free_address()).collect();
    let addresses: Vec<SocketAddr> = (0..MEMBERS).map(|_| free_address()).collect();
    let mut members: Vec<Process> = Vec::new();
    for index in 0..MEMBERS {
        let name = format!("n{}", index + 1);
        let agent = start_agent(&name, launches.clone(), usual_speed(), record.clone());
        let config = folder.file(
            &format!("{name}.json"),
            &format!(
                r#"{{"name": "{name}", "listen": "{}", "agent": "{agent}", "registry": "{registry}",
                    "seed": "{:x}", "stop_ms": 3200,
                    "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 512}}, "settings": {}}}"#,
                addresses[index],
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
                index % 3 + 1,
                seeds.join(", "),
                folder.0.join(&name).display()
            ),
        );
        let environment: [(&str, &Path); 2] = [("RELAY_CONFIG", &config), ("PLOVERSHELF_GROUP", &group_file)];
        let log = folder.0.join(format!("{name}.log"));
        members.push(Process::start(&name, &run, &environment, &log));
    }
    let serves = |member: usize| {
        let key = format!("warm-{}", attempt_id());
        matches!(ask(&record, &addresses, member, &key, "first try"), Answer::Served(_))
    };
    if !(0..MEMBERS).all(|member| wait_for(20_000, || serves(member))) {
        record.line("the members did not come up: the case could not run");
        drop((members, folder));
        exit(2);
    }
    sleep_ms(1000);

    // Each key is served once, by a member that stays.
    let keys: Vec<String> = (0..KEYS).map(|number| format!("ticket-{}-{number}", std::process::id())).collect();
    let mut served = Vec::new();
    for (number, key) in keys.iter().enumerate() {
        if let Answer::Served(result) = ask(&record, &addresses, number % LOST, key, "first try") {
            served.push((number, key.clone(), result));
        }
    }
    if !without_trouble() {
        record.line("n5 is killed and stays away");
        members[LOST].kill();
    }
    // Each that was served is asked for again, twice at about the same time, at another member that stays.
    let wrong: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut callers = Vec::new();
    for (number, key, result) in served.clone() {
        let (record, wrong, addresses) = (record.clone(), wrong.clone(), addresses.clone());
        callers.push(thread::spawn(move || {
            let to = (number + 1) % LOST;
            let answers = thread::scope(|scope| {
                let second = scope.spawn(|| ask(&record, &addresses, to, &key, "second try"));
                sleep_ms(BETWEEN_TRIES_MS);
                let third = scope.spawn(|| ask(&record, &addresses, to, &key, "third try"));
                [second.join().unwrap(), third.join().unwrap()]
            });
            // A refusal is allowed while the key's primary is gone (docs/replication-operators.md).
            let is_wrong = |answer: &Answer| match answer {
                Answer::Served(other) => *other != result,
                Answer::Failed => true,
                Answer::Refused | Answer::None => false,
            };
            if answers.iter().any(is_wrong) {
                let line = format!("{key}: answered {result:?}, then {answers:?}");
                record.line(&line);
                wrong.lock().unwrap().push(line);
            }
        }));
        sleep_ms(5);
    }
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    let (served, wrong) = (served.len(), wrong.lock().unwrap().len());
    let line = format!("{served} keys were served; {wrong} of them were then answered as failed, or with another result");
    record.line(&line);
    println!("{line}");
    drop((members, folder));
    exit(if wrong > 0 { 1 } else if served > 0 { 0 } else { 2 });
}
