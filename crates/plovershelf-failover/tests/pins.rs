//! Pins the encoding of every message about zones for compatibility between builds.
//!
//! Each line of the fixture contains a value's name and its bytes in hex. The fixtures were written once
//! (`cargo test --test pins -- --ignored write_fixture`) and must not be rewritten: during an upgrade, updated members exchange
//! messages with members of the previous build.

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

/// Returns a plan of two zones in which a fifth of the first zone's lowest band goes to the second, excluded zone.
fn plan() -> TrafficPlan {
    let mut plan = TrafficPlan::all_near(2);
    let share = 13_107.0 / 65_535.0;
    plan.shares[0] = vec![1.0 - share, share, 0.0];
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

/// Returns the fixture line of a value.
fn line<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) -> String {
    let bytes = postcard::to_stdvec(value).expect("value can be encoded");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{name} {hex}")
}

/// Appends the fixture line of a value and asserts that the recorded bytes decode to the value.
fn pin<T: Serialize + DeserializeOwned + PartialEq + Debug>(lines: &mut Vec<String>, name: &str, value: T) {
    if let Some((_, hex)) = FIXTURE.lines().filter_map(|line| line.split_once(' ')).find(|(n, _)| *n == name)
    {
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex digits");
        let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
        assert_eq!(
            postcard::from_bytes::<T>(&bytes).expect("recorded bytes can be decoded"),
            value,
            "{name}"
        );
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
fn every_message_matches_the_recorded_bytes_when_encoded_and_decoded() {
    let recorded: Vec<&str> = FIXTURE.lines().collect();
    assert_eq!(lines(), recorded);
}

/// Returns the output of `plovershelf zones --json`. Operators' scripts depend on the names and the order of its keys.
fn json_lines() -> Vec<String> {
    let responses = [
        Response::Status(Box::new(status())),
        Response::Forecast(Box::new(forecast())),
        Response::Done("done".into()),
        Response::Refused("not here".into()),
    ];
    responses
        .iter()
        .map(|response| serde_json::to_string(response).expect("response can be encoded"))
        .collect()
}

#[test]
fn every_response_matches_the_recorded_json_when_encoded_and_decoded() {
    let recorded: Vec<&str> = JSON_FIXTURE.lines().collect();
    assert_eq!(json_lines(), recorded);
    for line in recorded {
        let response: Response = serde_json::from_str(line).expect("recorded JSON can be decoded");
        assert_eq!(serde_json::to_string(&response).expect("response can be encoded"), line);
    }
}

#[test]
#[ignore = "writes the fixtures, which must not be rewritten"]
fn write_fixture() {
    for (name, lines) in [("failover.txt", lines()), ("failover-json.txt", json_lines())] {
        let path = format!("{}/tests/fixtures/{name}", env!("CARGO_MANIFEST_DIR"));
        std::fs::write(path, lines.join("\n") + "\n").expect("fixture file is writable");
    }
}
