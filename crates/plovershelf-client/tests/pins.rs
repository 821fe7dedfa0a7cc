//! Decisions of the caller's state machine under random events, held against a fixture: every action with its numbers, every time-out,
//! and its counters. A change of form changes none of them.
//!
//! `cargo test -p plovershelf-client --test pins -- --ignored write_missing_fixture` writes the fixture where there is none; one that is
//! there is left as it is.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use plovershelf_client::{
    Action, AttemptKind, BackpressureSignal, CallId, CallOutcome, CallSpec, Caller, ClientConfig,
    CloseReason, ConnectionId, Counters, EndpointList, Idempotency, NotSentReason,
};
use plovershelf_codec::front::client::Response;
use plovershelf_codec::front::ServerSignals;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SEEDS: u64 = 12;
const STEPS: usize = 2000;

fn fixture() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/decisions.txt")
}

/// Settings that reach different rules, by name.
fn scenarios() -> Vec<(&'static str, ClientConfig)> {
    [placement_scenarios(), fault_scenarios()].concat()
}

fn placement_scenarios() -> Vec<(&'static str, ClientConfig)> {
    let config = ClientConfig::default;
    vec![
        ("defaults", config()),
        (
            "hedged_in_a_subset",
            ClientConfig { hedge_percentile: Some(90.0), subset_size: 3, subset_index: Some(5), ..config() },
        ),
        (
            "by_subject_and_lowest_rank",
            ClientConfig {
                subject_affinity: true,
                backpressure: BackpressureSignal::MinimumPriority,
                retry_budget_fraction: 0.5,
                ..config()
            },
        ),
        (
            "outstanding_per_caller_on_narrow_connections",
            ClientConfig {
                backpressure: BackpressureSignal::ConcurrencyPerClient,
                max_connections_per_endpoint: 2,
                max_in_flight_per_connection: 2,
                max_connections: 4,
                retry_budget_fraction: 1.0,
                ..config()
            },
        ),
    ]
}

fn fault_scenarios() -> Vec<(&'static str, ClientConfig)> {
    let config = ClientConfig::default;
    vec![
        (
            "share_of_usual_with_a_quick_breaker",
            ClientConfig {
                backpressure: BackpressureSignal::RateFraction,
                ejection_min_failures: 1.0,
                ejection_failure_fraction: 0.1,
                base_ejection_ms: 50.0,
                slow_start_ms: 400.0,
                retry_budget_fraction: 1.0,
                ..config()
            },
        ),
        (
            "small_bounds",
            ClientConfig {
                max_open_calls: 12,
                max_open_bytes: 4096,
                max_request_classes: 2,
                max_connections: 2,
                max_endpoints: 4,
                throttle_ratio: 1.0,
                throttle_window_ms: 500.0,
                ..config()
            },
        ),
        (
            "short_spans",
            ClientConfig {
                idle_timeout_ms: 120.0,
                last_idle_timeout_ms: 400.0,
                probe_after_ms: 40.0,
                probe_timeout_ms: 80.0,
                connect_timeout_ms: 100.0,
                make_before_break_ms: 100.0,
                reconnect_spread_ms: 200.0,
                max_reconnect_backoff_ms: 600.0,
                reconnect_burst: 2.0,
                retry_budget_fraction: 1.0,
                hedge_percentile: Some(60.0),
                ..config()
            },
        ),
    ]
}

struct Played {
    caller: Caller,
    random: Pcg64,
    now: f64,
    asked: Vec<ConnectionId>,
    up: Vec<ConnectionId>,
    out: Vec<(ConnectionId, i32)>,
    calls: Vec<CallId>,
    overloaded: bool,
    trace: Trace,
}

/// Folds what is traced into a hash (FNV-1a), as the text of some thousand actions is long.
struct Trace {
    hash: u64,
    actions: usize,
    line: String,
}

impl Trace {
    fn fold(&mut self) {
        for byte in self.line.bytes() {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        self.line.clear();
    }
}

fn outcome_text(outcome: &CallOutcome) -> String {
    let time = |ms: &Option<f64>| ms.map_or("-".to_string(), |ms| format!("{ms:.3}"));
    match outcome {
        CallOutcome::Succeeded => "a".to_string(),
        CallOutcome::Rejected { retry_after_ms, retry_elsewhere } => {
            format!("b {} {}", time(retry_after_ms), !retry_elsewhere)
        }
        CallOutcome::Failed { may_have_run } => format!("c {may_have_run}"),
        CallOutcome::DeadlineExceeded { may_have_run } => format!("d {may_have_run}"),
        CallOutcome::NotSent { reason, retry_after_ms } => {
            let reason = match reason {
                NotSentReason::LimitReached => 0,
                NotSentReason::Throttled => 1,
                NotSentReason::Backpressure => 2,
                NotSentReason::NoEndpoint => 3,
                NotSentReason::Closed => 4,
            };
            format!("e {reason} {}", time(retry_after_ms))
        }
    }
}

fn totals(counters: &Counters) -> [u64; 18] {
    [
        counters.calls,
        counters.first_attempts,
        counters.retries,
        counters.hedges,
        counters.resent_unread,
        counters.succeeded,
        counters.rejected,
        counters.failed,
        counters.deadline_exceeded,
        counters.not_sent,
        counters.cancelled,
        counters.retries_over_budget,
        counters.throttled,
        counters.connects,
        counters.connects_failed,
        counters.connections_lost,
        counters.protocol_faults,
        counters.late_answers,
    ]
}

impl Played {
    fn poll_actions(&mut self) {
        loop {
            let actions = self.caller.poll_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.trace.actions += 1;
                self.carry_out(&action);
                self.trace.fold();
            }
        }
        let timeout = self.caller.poll_timeout().map_or("-".to_string(), |at| format!("{at:.3}"));
        let _ = write!(self.trace.line, "W {timeout};");
        self.trace.fold();
    }

    fn carry_out(&mut self, action: &Action) {
        if let Action::Close { connection } = action {
            self.forget(*connection);
        }
        let line = &mut self.trace.line;
        let _ = match action {
            Action::Connect { connection, address } => {
                self.asked.push(*connection);
                write!(line, "C {} {address};", connection.0)
            }
            Action::Send { connection, sequence, call, timeout_ms, kind } => {
                self.out.push((*connection, *sequence));
                let is_retry = *kind == AttemptKind::Retry;
                write!(line, "S {} {sequence} {} {timeout_ms:.3} {is_retry};", connection.0, call.0)
            }
            Action::Cancel { connection, sequence } => {
                // Half of what is cancelled is answered all the same.
                if sequence % 2 == 0 {
                    self.out.retain(|out| out != &(*connection, *sequence));
                }
                write!(line, "X {} {sequence};", connection.0)
            }
            Action::Probe { connection, sequence } => {
                if connection.0 % 5 != 0 {
                    self.out.push((*connection, -sequence));
                }
                write!(line, "P {} {sequence};", connection.0)
            }
            Action::Close { connection } => write!(line, "Z {};", connection.0),
            Action::Complete { call, outcome } => {
                self.calls.retain(|other| other != call);
                write!(line, "F {} {};", call.0, outcome_text(outcome))
            }
        };
    }

    fn forget(&mut self, connection: ConnectionId) {
        self.asked.retain(|other| *other != connection);
        self.up.retain(|other| *other != connection);
        self.out.retain(|(other, _)| *other != connection);
    }

    fn pick<T: Copy>(&mut self, of: fn(&Self) -> &Vec<T>) -> Option<T> {
        let count = of(self).len();
        (count > 0).then(|| self.random.random_range(0..count)).map(|place| of(self)[place])
    }

    /// Answers something that is out; health checks stand there by negative numbers.
    fn answer(&mut self) {
        let Some((connection, seqid)) = self.pick(|played| &played.out) else { return };
        self.out.retain(|out| out != &(connection, seqid));
        let signals = ServerSignals {
            backpressure: self.random.random_bool(0.3).then(|| self.random.random_range(0.0..1.5)),
            retry_after_ms: self.random.random_bool(0.2).then(|| self.random.random_range(1.0..300.0)),
            no_retry_elsewhere: self.random.random_bool(0.2),
        };
        let permanent = self.random.random_bool(0.5);
        let message = if seqid < 0 {
            Response::Health { seqid: -seqid, ready: self.random.random_bool(0.8), signals }
        } else {
            // Overloaded endpoints reject most; a stray answer is rare, as it ends its connection.
            let kind = self.random.random_range(0..60);
            match if self.overloaded && kind < 33 { 34 } else { kind } {
                0..33 => Response::Succeeded { seqid, result: b"", signals },
                33..47 => Response::Rejected { seqid, signals },
                47..56 => Response::Failed { seqid, signals },
                56..59 => Response::Exception { seqid, permanent, what: b"" },
                _ => Response::Succeeded { seqid: 1 << 20, result: b"", signals },
            }
        };
        self.caller.handle_message(self.now, connection, &message);
    }

    fn connect(&mut self) {
        let Some(connection) = self.pick(|played| &played.asked) else { return };
        self.asked.retain(|other| *other != connection);
        if self.random.random_bool(0.85) {
            self.up.push(connection);
            self.caller.handle_connected(self.now, connection);
        } else {
            self.caller.handle_connect_failed(self.now, connection);
        }
    }

    fn call(&mut self) {
        let idempotency = [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::NonIdempotent];
        let class = ["quote", "plan", "checkout"][self.random.random_range(0..3)];
        let spec = CallSpec {
            class: class.into(),
            idempotency: idempotency[self.random.random_range(0..3)],
            priority: self.random.random(),
            deadline_ms: self.now + self.random.random_range(5.0..1500.0),
            subject: self.random.random_range(0..4),
            bytes: self.random.random_range(1..600),
        };
        let id = self.caller.start_call(self.now, &spec);
        self.calls.push(id);
    }

    fn pass(&mut self, span_ms: f64) {
        let end = self.now + span_ms;
        while let Some(at) = self.caller.poll_timeout().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.caller.handle_timeout(self.now);
            self.poll_actions();
        }
        self.now = end;
    }

    fn update_endpoints(&mut self) {
        let from: u16 = self.random.random_range(0..4);
        let count: u16 = self.random.random_range(0..7);
        let all: Vec<SocketAddr> =
            (from..from + count).map(|n| SocketAddr::from(([127, 0, 0, 1], 9000 + n))).collect();
        self.caller.update_endpoints(self.now, &EndpointList::from_addresses(&all));
    }

    fn step(&mut self) {
        match self.random.random_range(0..1000) {
            0..200 => self.call(),
            200..520 => self.answer(),
            520..700 => self.connect(),
            700..960 => {
                let span_ms = self.random.random_range(0.0..40.0);
                self.pass(span_ms);
            }
            960..975 => {
                if let Some(id) = self.pick(|played| &played.calls) {
                    self.calls.retain(|other| *other != id);
                    self.caller.cancel_call(self.now, id);
                }
            }
            975..985 => {
                if let Some(connection) = self.pick(|played| &played.up) {
                    self.forget(connection);
                    let malformed = self.random.random_bool(0.3);
                    let reason = if malformed { CloseReason::Malformed } else { CloseReason::Ended };
                    self.caller.handle_connection_closed(self.now, connection, reason);
                }
            }
            985..992 => {
                if let Some(connection) = self.pick(|played| &played.up) {
                    self.caller.handle_message(self.now, connection, &Response::Closing);
                }
            }
            992..996 => self.pass(700.0),
            996..999 => self.update_endpoints(),
            _ => self.caller.handle_timeout(self.now - 500.0),
        }
        self.poll_actions();
    }
}

/// A line of the fixture: name, seed, actions, hash of the trace, counters.
fn play(name: &str, config: ClientConfig, seed: u64) -> String {
    let all: Vec<SocketAddr> = (0..5).map(|n| SocketAddr::from(([127, 0, 0, 1], 9000 + n))).collect();
    let mut caller = Caller::new(ClientConfig { seed, ..config }).expect("settings within their ranges");
    caller.update_endpoints(0.0, &EndpointList::from_addresses(&all));
    let mut played = Played {
        caller,
        random: Pcg64::seed_from_u64(seed + 1000),
        now: 1.0,
        asked: Vec::new(),
        up: Vec::new(),
        out: Vec::new(),
        calls: Vec::new(),
        overloaded: name == "small_bounds",
        trace: Trace { hash: 0xcbf2_9ce4_8422_2325, actions: 0, line: String::new() },
    };
    for _ in 0..STEPS {
        played.step();
    }
    let _ = write!(played.trace.line, "{} {};", played.caller.open_calls(), played.caller.connection_count());
    played.trace.fold();
    played.caller.close(played.now);
    played.poll_actions();
    let counters = totals(&played.caller.counters()).map(|count| count.to_string()).join(",");
    format!("{name} {seed} {} {:016x} {counters}", played.trace.actions, played.trace.hash)
}

fn all_lines() -> Vec<String> {
    let each = |(name, config): (&'static str, ClientConfig)| {
        (1..=SEEDS).map(move |seed| play(name, config.clone(), seed)).collect::<Vec<_>>()
    };
    scenarios().into_iter().flat_map(each).collect()
}

#[test]
fn decisions_under_random_events_are_the_pinned_ones() {
    let text = std::fs::read_to_string(fixture()).expect("the fixture is there");
    let pinned: Vec<&str> = text.lines().collect();
    let played = all_lines();
    for (pinned, played) in pinned.iter().zip(&played) {
        assert_eq!(pinned, played);
    }
    assert_eq!(pinned.len(), played.len());
}

#[test]
#[ignore = "writes the fixture where there is none"]
fn write_missing_fixture() {
    if !fixture().exists() {
        std::fs::write(fixture(), all_lines().join("\n") + "\n").expect("written");
    }
}
