//! Three backends replicate the records of keyed work, and clients are served for some keys at one of them. A machine is lost. In
//! the second that the group needs to notice, the same keys are asked for at another backend, and once more there while that try
//! is open. After a key was answered `served`, does any try of it get another verdict?

#[path = "common.rs"]
mod common;
#[path = "group.rs"]
mod group;

use common::*;
use std::thread;

const SETTINGS: &str = r#"{"classes":[{"name":"entry-submit","aim_ms":3000,"deadline_ms":5000,"dedup_window_ms":16989,"effect":"by_key","gain":1,"late_worth":0}],
 "family":"server","family_info":{"below":"silent","cancel_seen":true,"cores":4,"memory_kb":26832,"run_factor":4,
  "entry_kb":2,"halt":"suspend","heeded_ms":1000,"just_started":false,"keepalive_max_ms":30000,"linger_ms":200,
  "meters":["cpu_busy","runnable","mem_used","sockets"],"passes_deadline":true,"readiness":false,"real_checks":false,
  "senders":4,"share_for_ms":0,"signal":"silent"},
 "clients":{"marks_retry":false},"group_size":3,"policy_limits":{"retry_after":true,"max_retry_after_ms":1000},
 "rules":{"answer_slack_ms":80,"cold_from":0.25,"drain_grace_ms":2500,"fall_ms":3000,"tip_multiple":5,"warm_within_ms":17000},
 "tenants":[]}"#;

const KEYS: usize = 24;
const BETWEEN_KEYS_MS: f64 = 30.0;
/// The third try of a key comes this long after the second, which is still open.
const SECOND_AFTER_MS: f64 = 60.0;
/// When the keys are asked for again, after the answers to those.
const AGAIN_AFTER_MS: f64 = 6000.0;

fn request(key: &str) -> Try {
    Try {
        id: new_id(),
        class: "entry-submit".into(),
        tenant: String::new(),
        wait_ms: 4500.0,
        rank: 0.5,
        key: Some(key.into()),
        body: format!("body-of-{key}"),
    }
}

fn main() {
    let log = Log::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let registry = start_registry();
    let names = ["n1", "n2", "n3"];
    let members = group::write_files(&names, &["a", "b", "c"], "[copies]\ncopies = 3\nleast = 2\n");
    let mut backends: Vec<Backend> = names
        .iter()
        .zip(&members)
        .map(|(name, member)| {
            let agent = Agent::start(name, 4.0, &[("entry-submit", 40.0)], &log);
            let mut backend = Backend::new(name, agent, registry, 3200, SETTINGS);
            backend.env.push(("PLOVERSHELF_GROUP", member.file.display().to_string()));
            backend
        })
        .collect();
    backends.iter_mut().for_each(Backend::start);
    backends.iter().for_each(Backend::wait_ready);
    for backend in &backends {
        let until = unix_ms() + 15_000.0;
        let mut number = 0;
        loop {
            number += 1;
            let key = format!("warm-{}-{number}", backend.name);
            if matches!(ask(backend.listen, &request(&key)), Answer::Served(_)) {
                break;
            }
            if unix_ms() > until {
                cannot_run(&format!("{} serves no keyed work", backend.name));
            }
            sleep_ms(200.0);
        }
    }
    // Each key is served once, at n2.
    let keys: Vec<String> = (0..KEYS).map(|number| format!("order-{number}")).collect();
    for key in &keys {
        let request = request(key);
        let answer = ask(backends[1].listen, &request);
        log.line(&format!("{key}: try {} at n2 answered {answer:?}", request.id));
        if !matches!(answer, Answer::Served(_)) {
            cannot_run("a key is not served in the calm");
        }
    }
    sleep_ms(1000.0);
    if trouble() {
        backends[2].kill();
        backends[2].agent.new_process();
        log.say("n3 is killed outright with its agent and stays away");
    }
    let listen = backends[0].listen;
    let tries: Vec<_> = keys
        .iter()
        .cloned()
        .map(|key| {
            let log = log.clone();
            sleep_ms(BETWEEN_KEYS_MS);
            thread::spawn(move || {
                let ask_logged = |which: &'static str| {
                    let (key, log) = (key.clone(), log.clone());
                    thread::spawn(move || {
                        let request = request(&key);
                        log.line(&format!("{key}: {which} {} sent to n1", request.id));
                        let answer = ask(listen, &request);
                        log.line(&format!("{key}: {which} {} answered {answer:?}", request.id));
                        answer
                    })
                };
                let first = ask_logged("second try");
                sleep_ms(SECOND_AFTER_MS);
                let second = ask_logged("third try, beside the second,");
                let mut answers = vec![first.join().unwrap(), second.join().unwrap()];
                sleep_ms(AGAIN_AFTER_MS);
                answers.push(ask_logged("fourth try").join().unwrap());
                (key, answers)
            })
        })
        .collect();
    let (mut failed, mut other, mut served) = (0, 0, 0);
    for (key, answers) in tries.into_iter().map(|thread| thread.join().unwrap()) {
        let body = format!("body-of-{key}");
        let runs: usize =
            backends.iter().map(|backend| backend.agent.runs().iter().filter(|run| run.body == body).count()).sum();
        log.say(&format!("{key}: served at n2 before, then at n1 {answers:?}; it ran {runs} times"));
        let result = Answer::Served(format!("done:{body}"));
        served += usize::from(answers[2] == result);
        failed += answers.iter().filter(|answer| matches!(answer, Answer::Failed(_))).count();
        other += answers.iter().filter(|answer| matches!(answer, Answer::Served(_)) && **answer != result).count();
    }
    log.say(&format!(
        "keys {KEYS}, all served before; in the end served again {served}; meanwhile told `failed` {failed}, another result {other}"
    ));
    if served == 0 {
        cannot_run("the group did not come back");
    }
    drop(backends);
    let status = if failed + other > 0 { BROKEN } else { HELD };
    log.say(if status == BROKEN { "BROKEN: after `served`, a try of the same key was told another verdict" } else { "held" });
    std::process::exit(status);
}
