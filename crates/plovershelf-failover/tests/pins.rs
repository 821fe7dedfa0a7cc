//! The bytes of every message about zones, as members of another build write and read them.
//!
//! The fixture is one line a value: its name, then its bytes in hex. It was written once
//! (`cargo test --test pins -- --ignored write_fixture`) and is not written again: a member that is updated talks to members that are not.

use std::fmt::Debug;

use plovershelf_failover::load_reports::{Outside, Report};
use plovershelf_failover::messages::{Ask, Say, Status, Told};
use plovershelf_failover::planner::{Forecast, Wish};
use plovershelf_failover::traffic_plan::{Plan, Shift, Zone};
use serde::de::DeserializeOwned;
use serde::Serialize;

const FIXTURE: &str = include_str!("fixtures/failover.txt");
const JSON_FIXTURE: &str = include_str!("fixtures/failover-json.txt");

fn report() -> Report {
    Report { plan: 11, asked: [1.5, 2.5, 3.5], could: 4.5, in_time: 0.75, ledger_slow: true }
}

fn outside() -> Outside {
    Outside { origin: 1, away: [5.5, 6.5, 7.5], tried: vec![[8.0, 7.0], [6.0, 5.0]] }
}

/// Two zones: a fifth of the lowest band of the first goes to the second, which sends nothing and is off.
fn plan() -> Plan {
    let mut plan = Plan::near(2);
    let part = 13_107.0 / 65_535.0;
    plan.shares[0] = vec![1.0 - part, part, 0.0];
    plan.off = vec![false, true];
    plan.change = 21;
    plan.shifts = vec![Shift { zone: 1, left_ms: 22.5, why: "power".into(), by: "ana".into() }];
    plan.hold_left_ms = 23.5;
    plan.valid_ms = 24.5;
    plan.why = "east carries less".into();
    plan
}

fn forecast() -> Forecast {
    Forecast { plan: plan(), zones: vec![[31.0, 32.0, 33.0], [34.0, 35.0, 36.0]], cut: 37.0 }
}

fn status() -> Status {
    let zone = |name: &str, region: &str| Zone { name: name.into(), region: region.into() };
    Status {
        name: "n1".into(),
        zone: "east".into(),
        zones: vec![zone("east", "north"), zone("west", "south")],
        number: 41,
        acts: true,
        plan: plan(),
        left_ms: 42.5,
        leader: Some("n2".into()),
        forecast: Some(forecast()),
        history: vec![(43.5, "all near".into())],
    }
}

fn wish() -> Wish {
    Wish { zone: "west".into(), for_ms: 51.5, why: "cable".into(), by: "ben".into(), forced: true }
}

fn line<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) -> String {
    let bytes = postcard::to_stdvec(value).expect("it has a form in bytes");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{name} {hex}")
}

/// The value of each kind, as bytes; and that the bytes of the fixture come to that value.
fn pin<T: Serialize + DeserializeOwned + PartialEq + Debug>(lines: &mut Vec<String>, name: &str, value: T) {
    if let Some((_, hex)) = FIXTURE.lines().filter_map(|line| line.split_once(' ')).find(|(n, _)| *n == name)
    {
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
        let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
        assert_eq!(postcard::from_bytes::<T>(&bytes).expect("a message"), value, "{name}");
    }
    lines.push(line(name, &value));
}

fn lines() -> Vec<String> {
    let mut lines = Vec::new();
    let all = &mut lines;
    pin(all, "load_report", Say { zone: "east".into(), report: report(), outside: vec![(12, outside())] });
    pin(all, "plan", plan());
    pin(all, "ask_status", Ask::Status);
    pin(all, "ask_outside", Ask::Outside { caller: 61, outside: outside() });
    pin(all, "ask_forecast", Ask::Forecast { zones: vec!["east".into(), "west".into()] });
    pin(all, "ask_shift", Ask::Shift(wish()));
    pin(all, "ask_return", Ask::Return { zone: "west".into() });
    pin(all, "ask_hold", Ask::Hold { for_ms: 62.5 });
    pin(all, "told_status", Told::Status(Box::new(status())));
    pin(all, "told_forecast", Told::Forecast(Box::new(forecast())));
    pin(all, "told_done", Told::Done("done".into()));
    pin(all, "told_refused", Told::Refused("not here".into()));
    lines
}

#[test]
fn every_message_has_the_recorded_bytes_and_is_read_from_them() {
    let recorded: Vec<&str> = FIXTURE.lines().collect();
    assert_eq!(lines(), recorded);
}

/// What operators' scripts read of `plovershelf zones --json`: names and order of keys are theirs.
fn json_lines() -> Vec<String> {
    let told = [
        Told::Status(Box::new(status())),
        Told::Forecast(Box::new(forecast())),
        Told::Done("done".into()),
        Told::Refused("not here".into()),
    ];
    told.iter().map(|told| serde_json::to_string(told).expect("JSON")).collect()
}

#[test]
fn every_answer_has_the_recorded_json_and_is_read_from_it() {
    let recorded: Vec<&str> = JSON_FIXTURE.lines().collect();
    assert_eq!(json_lines(), recorded);
    for line in recorded {
        let told: Told = serde_json::from_str(line).expect("an answer");
        assert_eq!(serde_json::to_string(&told).expect("JSON"), line);
    }
}

#[test]
#[ignore = "writes the fixtures; done once"]
fn write_fixture() {
    for (name, lines) in [("failover.txt", lines()), ("failover-json.txt", json_lines())] {
        let path = format!("{}/tests/fixtures/{name}", env!("CARGO_MANIFEST_DIR"));
        std::fs::write(path, lines.join("\n") + "\n").expect("the fixture is written");
    }
}
