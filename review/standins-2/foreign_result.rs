//! Three backends replicate the records of keyed work. Two tenants happen to use one key for requests with different bodies, each
//! at a backend of its own. Does each get the result of its own run, or none?

#[path = "common.rs"]
mod common;
#[path = "group.rs"]
mod group;

use common::*;

const SETTINGS: &str = r#"{"classes":[{"name":"track-publish","aim_ms":2300,"deadline_ms":9200,"dedup_window_ms":27627,"effect":"by_key","gain":1,"late_worth":0}],
 "family":"server","family_info":{"below":"silent","cancel_seen":true,"cores":2,"memory_kb":26832,"run_factor":4,
  "entry_kb":2,"halt":"suspend","heeded_ms":1000,"just_started":false,"keepalive_max_ms":30000,"linger_ms":200,
  "meters":["cpu_busy","runnable","mem_used","sockets"],"passes_deadline":true,"readiness":false,"real_checks":false,
  "senders":4,"share_for_ms":0,"signal":"silent"},
 "clients":{"marks_retry":false},"group_size":3,"policy_limits":{"retry_after":true,"max_retry_after_ms":1000},
 "rules":{"answer_slack_ms":80,"cold_from":0.25,"drain_grace_ms":2000,"fall_ms":1500,"tip_multiple":5,"warm_within_ms":16000},
 "tenants":[{"name":"savanna-tv","quota_per_s":60,"share":0.6},{"name":"jua-news","quota_per_s":40,"share":0.4}]}"#;

const RUN_MS: f64 = 120.0;
const ROUNDS: usize = 6;

fn request(tenant: &str, key: &str, body: &str) -> Try {
    Try {
        id: new_id(),
        class: "track-publish".into(),
        tenant: tenant.into(),
        wait_ms: 5000.0,
        rank: 0.5,
        key: Some(key.into()),
        body: body.into(),
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
            let agent = Agent::start(name, 2.0, &[("track-publish", RUN_MS)], &log);
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
            if matches!(ask(backend.listen, &request("jua-news", &key, "warm")), Answer::Served(_)) {
                break;
            }
            if unix_ms() > until {
                cannot_run(&format!("{} serves no keyed work", backend.name));
            }
            sleep_ms(200.0);
        }
    }
    sleep_ms(1000.0);

    let (mut foreign, mut own) = (0, 0);
    for round in 1..=ROUNDS {
        let key = format!("track-{round}");
        // Without the disruption the second tenant uses a key of its own.
        let other_key = if trouble() { key.clone() } else { format!("jua-{round}") };
        let one = request("savanna-tv", &key, &format!("savanna-tv publishes film {round}"));
        let two = request("jua-news", &other_key, &format!("jua-news publishes bulletin {round}"));
        for (backend, request) in [(&backends[round % 3], &one), (&backends[(round + 1) % 3], &two)] {
            let key = request.key.as_deref().unwrap_or_default();
            let (tenant, id, body) = (&request.tenant, &request.id, &request.body);
            log.say(&format!("{tenant} sends {id}, key {key}, body {body:?}, to {}", backend.name));
            let answer = ask(backend.listen, request);
            log.say(&format!("{tenant} is answered {answer:?}"));
            if let Answer::Served(result) = answer {
                if result == format!("done:{body}") {
                    own += 1;
                } else {
                    foreign += 1;
                }
            }
        }
        let ran = |body: &str| -> usize {
            backends.iter().map(|backend| backend.agent.runs().iter().filter(|run| run.body == body).count()).sum()
        };
        log.say(&format!("runs: {} of the first body, {} of the second", ran(&one.body), ran(&two.body)));
    }
    log.say(&format!("served with the result of their own run {own}, with another request's result {foreign}"));
    if own < ROUNDS {
        cannot_run("too few requests were served");
    }
    drop(backends);
    let status = if foreign > 0 { BROKEN } else { HELD };
    log.say(if status == BROKEN { "BROKEN: a caller was given the result of another's request" } else { "held" });
    std::process::exit(status);
}
