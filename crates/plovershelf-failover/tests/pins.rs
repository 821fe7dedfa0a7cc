//! The bytes of every message about zones, as members of another build write and read them.
//!
//! The fixture is one line a value: its name, then its bytes in hex. It was written once
//! (`cargo test --test pins -- --ignored write_fixture`) and is not written again: a member that is updated talks to members that are not.

use std::fmt::Debug;

use plovershelf_failover::{
    AttemptCounts, CallerReport, Forecast, LoadReport, MemberReport, Request, Response, ShiftRequest, Status,
    TrafficPlan, ZonalShift, Zone, ZoneForecast,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

const FIXTURE: &str = include_str!("fixtures/failover.txt");
const JSON_FIXTURE: &str = include_str!("fixtures/failover-json.txt");

fn report() -> LoadReport {
    LoadReport {
        plan_revision: 11,
        demand: [1.5, 2.5, 3.5],
        capacity: 4.5,
        in_time_fraction: 0.75,
        is_dependency_slow: true,
    }
}

fn caller_report() -> CallerReport {
    let counts = |attempts: f64, answered: f64| AttemptCounts { attempts, answered };
    let attempts = vec![counts(8.0, 7.0), counts(6.0, 5.0)];
    CallerReport { origin: 1, demand_elsewhere: [5.5, 6.5, 7.5], attempts }
}

/// Two zones: a fifth of the lowest band of the first goes to the second, which sends nothing and is off.
fn plan() -> TrafficPlan {
    let mut plan = TrafficPlan::all_near(2);
    let part = 13_107.0 / 65_535.0;
    plan.shares[0] = vec![1.0 - part, part, 0.0];
    plan.is_excluded = vec![false, true];
    plan.revision = 21;
    plan.shifts =
        vec![ZonalShift { zone: 1, remaining_ms: 22.5, reason: "power".into(), operator: "ana".into() }];
    plan.hold_remaining_ms = 23.5;
    plan.valid_ms = 24.5;
    plan.reason = "east carries less".into();
    plan
}

fn forecast() -> Forecast {
    let zones = vec![
        ZoneForecast { demand: 31.0, carried: 32.0, capacity: 33.0 },
        ZoneForecast { demand: 34.0, carried: 35.0, capacity: 36.0 },
    ];
    Forecast { plan: plan(), zones, rejected_fraction: 37.0 }
}

fn status() -> Status {
    let zone = |name: &str, region: &str| Zone { name: name.into(), region: region.into() };
    Status {
        name: "n1".into(),
        zone: "east".into(),
        zones: vec![zone("east", "north"), zone("west", "south")],
        version: 41,
        is_active: true,
        plan: plan(),
        remaining_ms: 42.5,
        leader: Some("n2".into()),
        forecast: Some(forecast()),
        history: vec![(43.5, "all near".into())],
    }
}

fn shift_request() -> ShiftRequest {
    ShiftRequest {
        zone: "west".into(),
        duration_ms: 51.5,
        reason: "cable".into(),
        operator: "ben".into(),
        is_forced: true,
    }
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
    pin(
        all,
        "load_report",
        MemberReport { zone: "east".into(), load: report(), callers: vec![(12, caller_report())] },
    );
    pin(all, "plan", plan());
    pin(all, "ask_status", Request::Status);
    pin(all, "ask_outside", Request::Advice { caller: 61, report: caller_report() });
    pin(all, "ask_forecast", Request::Forecast { zones: vec!["east".into(), "west".into()] });
    pin(all, "ask_shift", Request::Shift(shift_request()));
    pin(all, "ask_return", Request::EndShift { zone: "west".into() });
    pin(all, "ask_hold", Request::Hold { duration_ms: 62.5 });
    pin(all, "told_status", Response::Status(Box::new(status())));
    pin(all, "told_forecast", Response::Forecast(Box::new(forecast())));
    pin(all, "told_done", Response::Done("done".into()));
    pin(all, "told_refused", Response::Refused("not here".into()));
    lines
}

#[test]
fn every_message_has_the_recorded_bytes_and_is_read_from_them() {
    let recorded: Vec<&str> = FIXTURE.lines().collect();
    assert_eq!(lines(), recorded);
}

/// What operators' scripts read of `plovershelf zones --json`: names and order of keys are theirs.
fn json_lines() -> Vec<String> {
    let responses = [
        Response::Status(Box::new(status())),
        Response::Forecast(Box::new(forecast())),
        Response::Done("done".into()),
        Response::Refused("not here".into()),
    ];
    responses.iter().map(|response| serde_json::to_string(response).expect("JSON")).collect()
}

#[test]
fn every_answer_has_the_recorded_json_and_is_read_from_it() {
    let recorded: Vec<&str> = JSON_FIXTURE.lines().collect();
    assert_eq!(json_lines(), recorded);
    for line in recorded {
        let response: Response = serde_json::from_str(line).expect("an answer");
        assert_eq!(serde_json::to_string(&response).expect("JSON"), line);
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
