//! Three backends replicate the records of keyed work. One is lost with its machine while it runs a request. A client asks again
//! for the same key within the key's window, the second time after more than a minute. Does the work run twice?

#[path = "common.rs"]
mod common;
#[path = "group.rs"]
mod group;

use common::*;

/// How long after its arrival a request may come again, as the settings tell.
const WINDOW_MS: f64 = 95_000.0;
const RUN_MS: f64 = 1500.0;
/// How long all processes together may wait for a core while the first try runs: far less than makes a member suspected.
const MOST_WAITED_MS: f64 = 500.0;
/// When the client asks again, counted from the arrival of its first try.
const AGAIN_MS: [f64; 2] = [8_000.0, 75_000.0];

fn settings() -> String {
    format!(
        r#"{{"classes":[{{"name":"entry-submit","aim_ms":3000,"deadline_ms":5000,"dedup_window_ms":{WINDOW_MS},"effect":"by_key","gain":1,"late_worth":0}}],
 "family":"server","family_info":{{"below":"silent","cancel_seen":true,"cores":2,"memory_kb":26832,"run_factor":4,
  "entry_kb":2,"halt":"suspend","heeded_ms":1000,"just_started":false,"keepalive_max_ms":30000,"linger_ms":200,
  "meters":["cpu_busy","runnable","mem_used","sockets"],"passes_deadline":true,"readiness":false,"real_checks":false,
  "senders":4,"share_for_ms":0,"signal":"silent"}},
 "clients":{{"marks_retry":false}},"group_size":3,"policy_limits":{{"retry_after":true,"max_retry_after_ms":1000}},
 "rules":{{"answer_slack_ms":80,"cold_from":0.25,"drain_grace_ms":2500,"fall_ms":3000,"tip_multiple":5,"warm_within_ms":17000}},
 "tenants":[]}}"#
    )
}

fn request(key: &str) -> Try {
    Try {
        id: new_id(),
        class: "entry-submit".into(),
        tenant: String::new(),
        wait_ms: 5000.0,
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
            let agent = Agent::start(name, 2.0, &[("entry-submit", RUN_MS)], &log);
            let mut backend = Backend::new(name, agent, registry, 3200, &settings());
            backend.env.push(("PLOVERSHELF_GROUP", member.file.display().to_string()));
            backend
        })
        .collect();
    backends.iter_mut().for_each(Backend::start);
    backends.iter().for_each(Backend::wait_ready);

    // The group is up once keyed work is served everywhere.
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
    sleep_ms(1000.0);

    let pids: Vec<u32> = backends.iter().filter_map(|backend| Some(backend.process.as_ref()?.pid())).collect();
    let waited_before = waited_in_all_ms(&pids);
    let key = "order-17";
    let first = request(key);
    log.say(&format!("first try {} of key {key} at n1", first.id));
    let arrived = unix_ms();
    let Some(mut connection) = Connection::open(backends[0].listen) else { cannot_run("no connection to n1") };
    let Some(number) = connection.send(&first) else { cannot_run("n1 takes no request") };
    let begins = |backend: &Backend| backend.agent.runs().iter().any(|run| run.body == first.body);
    while !begins(&backends[0]) {
        if unix_ms() > arrived + 4000.0 {
            cannot_run("the first try does not run at n1");
        }
        sleep_ms(2.0);
    }
    if trouble() {
        sleep_ms(200.0);
        backends[0].kill();
        backends[0].agent.new_process();
        log.say("n1 is killed outright with its agent, while the run goes on, and stays away");
    }
    let answer = connection.wait(number, 5500.0);
    // Where nothing is killed, a member that waits for a core for a second may be put out of the group all the same.
    if !trouble() && waited_in_all_ms(&pids) - waited_before > MOST_WAITED_MS {
        cannot_run("the machine is too slow");
    }
    log.say(&format!("first try answered: {answer:?}"));
    let mut answers = Vec::new();
    for (at_ms, backend) in AGAIN_MS.iter().zip(&backends[1..]) {
        sleep_ms(arrived + at_ms - unix_ms());
        let again = request(key);
        log.say(&format!("{:.0} ms after the first: try {} of key {key} at {}", unix_ms() - arrived, again.id, backend.name));
        let answer = ask(backend.listen, &again);
        log.say(&format!("answered: {answer:?}"));
        answers.push(answer);
    }
    let mut runs = Vec::new();
    for backend in &backends {
        for run in backend.agent.runs().iter().filter(|run| run.body == first.body) {
            runs.push(run.at_ms - arrived);
            log.say(&format!("ran at {} {:.0} ms after the arrival of the first try", backend.name, run.at_ms - arrived));
        }
    }
    drop(backends);
    let in_window = runs.iter().filter(|at_ms| **at_ms < WINDOW_MS).count();
    let status = if in_window > 1 { BROKEN } else { HELD };
    log.say(if status == BROKEN { "BROKEN: one key was launched twice within its window" } else { "held" });
    std::process::exit(status);
}
