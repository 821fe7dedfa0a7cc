//! Case 1: nine backends in three zones replicate their deduplication records; one zone is cut off from the others for
//! 6 s. While the cut lasts, callers in the zone ask its backends alone and nobody reaches across it. Once it has
//! healed, each caller asks for its key again, at a backend of another zone.

#[path = "common.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const MEMBERS: usize = 9;
const ZONES: usize = 3;
/// The zone that is cut off: members 3, 6 and 9.
const CUT_ZONE: usize = 2;
/// `split+mass`: "for 6 s a zone is partitioned".
const CUT_MS: u64 = 6000;
/// Time from the cut to the first key, the keys that are asked for, and the time between two of them.
const FIRST_KEY_MS: u64 = 1500;
const KEYS: usize = 60;
const BETWEEN_KEYS_MS: u64 = 55;
/// After the cut has healed, one caller asks again every so often.
const BETWEEN_RETRIES_MS: u64 = 4;

fn zone(member: usize) -> usize {
    member % ZONES
}

fn settings() -> &'static str {
    r#"{"classes": [{"name": "entry-submit", "aim_ms": 2300, "deadline_ms": 5700, "effect": "by_key",
        "dedup_window_ms": 16989, "gain": 3, "late_worth": 0.2}],
        "clients": {"marks_retry": true}, "group_size": 9,
        "family_info": {"cores": 2, "memory_kb": 40000, "run_factor": 8, "entry_kb": 60, "below": "silent",
            "halt": "silent", "signal": "silent", "senders": 4, "keepalive_max_ms": 30000, "cancel_seen": true,
            "passes_deadline": true, "just_started": false,
            "meters": ["cpu_busy", "runnable", "mem_used", "sockets"]},
        "policy_limits": {"retry_after": true, "max_retry_after_ms": 1000},
        "rules": {"tip_multiple": 5, "fall_ms": 3000, "drain_grace_ms": 2500, "cold_from": 0.3,
            "warm_within_ms": 1000, "answer_slack_ms": 80}}"#
}

struct Member {
    address: SocketAddr,
    _process: Process,
}

fn start_members(folder: &Folder, launches: &Launches, record: &Record, cut: &Arc<AtomicBool>) -> Vec<Member> {
    let run = deploy_command("run");
    let registry = start_registry();
    let group: Vec<SocketAddr> = (0..MEMBERS).map(|_| free_address()).collect();
    // The path that members of the other side take to a member; members of one side reach each other directly.
    let paths: Vec<PathTo> = group.iter().map(|address| start_path(*address, cut.clone())).collect();
    let is_cut_off = |member: usize| zone(member) == CUT_ZONE;
    let way = |from: usize, to: usize| {
        if is_cut_off(from) == is_cut_off(to) { group[to] } else { paths[to].address }
    };
    let mut members = Vec::new();
    for index in 0..MEMBERS {
        let name = format!("n{}", index + 1);
        let (address, agent) = (free_address(), start_agent(&name, launches.clone(), usual_speed(), record.clone()));
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
        let seeds: Vec<String> = (0..3).filter(|seed| *seed != index).map(|seed| way(index, seed).to_string()).collect();
        let ways: Vec<String> = (0..MEMBERS)
            .filter(|to| *to != index)
            .map(|to| format!("n{} = {}\n", to + 1, way(index, to)))
            .collect();
        let group_file = folder.file(
            &format!("{name}.ini"),
            &format!(
                "[group]\nname = fleet\nlisten = {}\nzone = z{}\nregion = r1\nseeds = {}\ncouncil = n1, n2, n3\n\
                 voters = 3\nfolder = {}\n\n[copies]\ncopies = 3\nleast = 2\n\n[ways]\n{}",
                group[index],
                zone(index) + 1,
                seeds.join(", "),
                folder.0.join(&name).display(),
                ways.concat()
            ),
        );
        let environment: [(&str, &Path); 2] = [("RELAY_CONFIG", &config), ("PLOVERSHELF_GROUP", &group_file)];
        let log = folder.0.join(format!("{name}.log"));
        members.push(Member { address, _process: Process::start(&name, &run, &environment, &log) });
    }
    members
}

/// Asks one member for a key and records what it answers.
fn ask(record: &Record, members: &[Member], member: usize, key: &str) -> Answer {
    let body = format!("key={key};ms=40;");
    let id = attempt_id();
    let name = format!("n{} (zone z{})", member + 1, zone(member) + 1);
    record.line(&format!("caller: {key} is sent to {name} as attempt {id}"));
    let request = Request { class: "entry-submit", key: Some(key), body: &body, within_ms: 1200 };
    let answer = match Connection::open(members[member].address) {
        Some(connection) => connection.ask(&id, &request),
        None => Answer::None,
    };
    record.line(&format!("caller: {key} at {name}, attempt {id}: {answer:?}"));
    answer
}

fn main() {
    let record = Record::create(Path::new("review/1/record.txt"));
    let folder = Folder::create();
    let (cut, launches) = (Arc::new(AtomicBool::new(false)), Launches::default());
    let members = Arc::new(start_members(&folder, &launches, &record, &cut));
    // Ready: all answer a health check, and each serves a keyed request, which takes a view with enough members.
    let ready = wait_for(20_000, || {
        members.iter().all(|member| Connection::open(member.address).is_some_and(|c| c.is_alive()))
    });
    let warm = ready
        && (0..MEMBERS).all(|member| {
            wait_for(20_000, || {
                let key = format!("warm-{}-{}", member + 1, record.ms());
                matches!(ask(&record, &members, member, &key), Answer::Served(_))
            })
        });
    if !warm {
        record.line("the members did not come up: the case could not run");
        drop((members, folder));
        exit(2);
    }
    sleep_ms(3000);
    if !without_trouble() {
        record.line("the links among members between zone z3 (n3, n6, n9) and the others are cut");
        cut.store(true, Ordering::SeqCst);
    }
    let healed = Arc::new(AtomicBool::new(false));
    let healing = {
        let (cut, healed, record) = (cut.clone(), healed.clone(), record.clone());
        thread::spawn(move || {
            sleep_ms(CUT_MS);
            cut.store(false, Ordering::SeqCst);
            record.line("all links pass again");
            healed.store(true, Ordering::SeqCst);
        })
    };
    sleep_ms(FIRST_KEY_MS);
    let answers: Arc<Mutex<BTreeMap<String, Vec<Answer>>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..KEYS {
        let (record, members, answers) = (record.clone(), members.clone(), answers.clone());
        let healed = healed.clone();
        callers.push(thread::spawn(move || {
            let key = format!("ticket-{}-{number}", std::process::id());
            // First at a backend of zone z3, during the cut; after it at one of another zone.
            let first = ask(&record, &members, [2, 5, 8][number % 3], &key);
            while !healed.load(Ordering::SeqCst) {
                sleep_ms(1);
            }
            sleep_ms(number as u64 * BETWEEN_RETRIES_MS);
            let second = ask(&record, &members, [0, 1, 3, 4, 6, 7][number % 6], &key);
            answers.lock().unwrap().insert(key, vec![first, second]);
        }));
        sleep_ms(BETWEEN_KEYS_MS);
    }
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    healing.join().unwrap();
    sleep_ms(1500);

    let launches = launches.lock().unwrap();
    let (mut twice, mut once) = (0, 0);
    for (key, answers) in answers.lock().unwrap().iter() {
        let body = format!("key={key};ms=40;");
        let runs: Vec<&Launch> = launches.iter().filter(|launch| launch.body == body).collect();
        let shown: Vec<String> = runs.iter().map(|run| format!("{} at {} ms", run.agent, run.at_ms)).collect();
        record.line(&format!("{key}: {} runs ({}), answers {answers:?}", runs.len(), shown.join(", ")));
        twice += usize::from(runs.len() > 1);
        once += usize::from(runs.len() == 1);
    }
    record.line(&format!("{KEYS} keys: {once} run once, {twice} run more than once"));
    println!("{KEYS} keys: {once} run once, {twice} run more than once");
    drop(launches);
    drop((members, folder));
    exit(if twice > 0 { 1 } else { 0 });
}
