//! Five backends replicate the records of keyed work. Two machines are lost at once while another runs requests. Some of its clients
//! are told at their deadline that their request failed. Has it then failed for all who ask for the key?

#[path = "common.rs"]
mod common;
#[path = "group.rs"]
mod group;

use common::*;
use std::thread;

const SETTINGS: &str = r#"{"classes":[{"name":"entry-submit","aim_ms":2300,"deadline_ms":5700,"dedup_window_ms":16989,"effect":"by_key","gain":3,"late_worth":0.2}],
 "family":"server","family_info":{"below":"silent","cancel_seen":true,"cores":8,"memory_kb":80000,"run_factor":4,
  "entry_kb":2,"halt":"silent","heeded_ms":1000,"just_started":false,"keepalive_max_ms":30000,"linger_ms":200,
  "meters":["cpu_busy","runnable","mem_used","sockets"],"passes_deadline":true,"readiness":false,"real_checks":false,
  "senders":4,"share_for_ms":0,"signal":"silent"},
 "clients":{"marks_retry":false},"group_size":5,"policy_limits":{"retry_after":true,"max_retry_after_ms":1000},
 "rules":{"answer_slack_ms":80,"cold_from":0.25,"drain_grace_ms":2500,"fall_ms":3000,"tip_multiple":5,"warm_within_ms":17000},
 "tenants":[]}"#;

const NAMES: [&str; 5] = ["n1", "n2", "n3", "n4", "n5"];
const RUN_MS: f64 = 900.0;
const KEYS: usize = 14;
/// How long a client waits for its first try.
const WAIT_MS: f64 = 1600.0;
/// How long this program and the three that stay may wait for a core, in all, while the first tries run: half of the time between the
/// end of a run and its client's deadline.
const MOST_WAITED_MS: f64 = 350.0;
/// The two machines are lost this long after the last request was sent.
const LOST_AFTER_MS: f64 = 300.0;
/// When each key is asked for again, counted from the loss.
const AGAIN_AFTER_MS: f64 = 6000.0;

fn request(key: &str, wait_ms: f64) -> Try {
    Try {
        id: new_id(),
        class: "entry-submit".into(),
        tenant: String::new(),
        wait_ms,
        rank: 0.5,
        key: Some(key.into()),
        body: format!("body-of-{key}"),
    }
}

fn main() {
    let log = Log::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let registry = start_registry();
    let members = group::write_files(&NAMES, &["a", "b", "c", "a", "b"], "[copies]\ncopies = 3\nleast = 2\n");
    // The first three are voters; the others are members alone.
    for member in &members {
        let text = std::fs::read_to_string(&member.file).unwrap_or_default();
        let text = text.replace("council = n1, n2, n3, n4, n5", "council = n1, n2, n3");
        if std::fs::write(&member.file, text).is_err() {
            cannot_run("the operators' files");
        }
    }
    let mut backends: Vec<Backend> = NAMES
        .iter()
        .zip(&members)
        .map(|(name, member)| {
            let agent = Agent::start(name, 8.0, &[("entry-submit", RUN_MS)], &log);
            let mut backend = Backend::new(name, agent, registry, 3200, SETTINGS);
            backend.env.push(("PLOVERSHELF_GROUP", member.file.display().to_string()));
            backend
        })
        .collect();
    backends.iter_mut().for_each(Backend::start);
    backends.iter().for_each(Backend::wait_ready);
    for backend in &backends {
        let until = unix_ms() + 20_000.0;
        let mut number = 0;
        loop {
            number += 1;
            let key = format!("warm-{}-{number}", backend.name);
            if matches!(ask(backend.listen, &request(&key, 4000.0)), Answer::Served(_)) {
                break;
            }
            if unix_ms() > until {
                cannot_run(&format!("{} serves no keyed work", backend.name));
            }
            sleep_ms(200.0);
        }
    }
    sleep_ms(3000.0);

    // Those that stay.
    let pids: Vec<u32> = backends[..3].iter().filter_map(|backend| Some(backend.process.as_ref()?.pid())).collect();
    let waited_before = waited_in_all_ms(&pids);
    // All first tries at n3, which stays.
    let listen = backends[2].listen;
    let first: Vec<_> = (0..KEYS)
        .map(|number| {
            let log = log.clone();
            let key = format!("order-{number}");
            thread::spawn(move || {
                let request = request(&key, WAIT_MS);
                log.line(&format!("{key}: first try {} sent to n3", request.id));
                let answer = ask(listen, &request);
                log.line(&format!("{key}: first try {} answered {answer:?}", request.id));
                (key, answer)
            })
        })
        .collect();
    sleep_ms(LOST_AFTER_MS);
    let lost_at = unix_ms();
    if trouble() {
        for place in [3, 4] {
            backends[place].signal(SIGKILL);
        }
        for place in [3, 4] {
            backends[place].kill();
            backends[place].agent.new_process();
        }
        log.say("n4 and n5 are killed outright with their agents and stay away");
    }
    let first: Vec<(String, Answer)> = first.into_iter().map(|thread| thread.join().unwrap()).collect();
    let waited = waited_in_all_ms(&pids) - waited_before;
    log.say(&format!("this program, n1, n2 and n3 waited {waited:.1} ms for a core meanwhile"));
    sleep_ms(lost_at + AGAIN_AFTER_MS - unix_ms());
    let (mut failed, mut served, mut differ) = (0, 0, 0);
    for (key, answer) in &first {
        let again = request(key, 4000.0);
        log.line(&format!("{key}: second try {} sent to n1", again.id));
        let second = ask(backends[0].listen, &again);
        log.line(&format!("{key}: second try {} answered {second:?}", again.id));
        let runs: usize =
            backends.iter().map(|backend| backend.agent.runs().iter().filter(|run| run.body == again.body).count()).sum();
        log.say(&format!("{key}: first {answer:?}, later {second:?}; it ran {runs} times"));
        failed += usize::from(matches!(answer, Answer::Failed(_)));
        served += usize::from(matches!(answer, Answer::Served(_)));
        differ += usize::from(matches!((answer, &second), (Answer::Failed(_), Answer::Served(_))));
    }
    log.say(&format!("keys {KEYS}, first tries served {served}, failed {failed}; failed first and served later {differ}"));
    if failed + served < KEYS / 2 {
        cannot_run("too few keys ran");
    }
    drop(backends);
    // On a slow machine the result may be late on its way without any loss: then a failure tells nothing.
    if differ > 0 && waited > MOST_WAITED_MS {
        cannot_run("the machine is too slow");
    }
    let status = if differ > 0 { BROKEN } else { HELD };
    log.say(if status == BROKEN { "BROKEN: told `failed`, and the same run's result was told to another" } else { "held" });
    std::process::exit(status);
}
