//! Compares the decisions of the client's state machine under random events with a fixture: every action with
//! its values, every timeout and the counters. Refactorings must not change any of them.
//!
//! `cargo test -p plovershelf-client --test pins -- --ignored write_missing_fixture` writes the fixture if it
//! does not exist. It never overwrites one.

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

/// Named settings that exercise different rules.
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

/// A run of the state machine with simulated endpoints.
struct Simulation {
    caller: Caller,
    random: Pcg64,
    now_ms: f64,
    connecting: Vec<ConnectionId>,
    established: Vec<ConnectionId>,
    /// Attempts and health checks without a response. Health checks have negative sequence numbers.
    unanswered: Vec<(ConnectionId, i32)>,
    calls: Vec<CallId>,
    overloaded: bool,
    trace: Trace,
}

/// Hash (FNV-1a) of the trace, since the text of thousands of actions would be too long for a fixture.
struct Trace {
    hash: u64,
    actions: usize,
    line: String,
}

impl Trace {
    /// Adds the current line to the hash and clears it.
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
        counters.late_responses,
    ]
}

impl Simulation {
    fn poll_actions(&mut self) {
        loop {
            let actions = self.caller.poll_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.trace.actions += 1;
                self.execute_action(&action);
                self.trace.fold();
            }
        }
        let timeout = self.caller.poll_timeout().map_or("-".to_string(), |at_ms| format!("{at_ms:.3}"));
        let _ = write!(self.trace.line, "W {timeout};");
        self.trace.fold();
    }

    fn execute_action(&mut self, action: &Action) {
        if let Action::Close { connection } = action {
            self.remove_connection(*connection);
        }
        let line = &mut self.trace.line;
        let _ = match action {
            Action::Connect { connection, address } => {
                self.connecting.push(*connection);
                write!(line, "C {} {address};", connection.0)
            }
            Action::Send { connection, sequence, call, timeout_ms, kind } => {
                self.unanswered.push((*connection, *sequence));
                let is_retry = *kind == AttemptKind::Retry;
                write!(line, "S {} {sequence} {} {timeout_ms:.3} {is_retry};", connection.0, call.0)
            }
            Action::Cancel { connection, sequence } => {
                // Attempts with an odd sequence number get a response even though they were cancelled.
                if sequence % 2 == 0 {
                    self.unanswered.retain(|unanswered| unanswered != &(*connection, *sequence));
                }
                write!(line, "X {} {sequence};", connection.0)
            }
            Action::Probe { connection, sequence } => {
                if connection.0 % 5 != 0 {
                    self.unanswered.push((*connection, -sequence));
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

    fn remove_connection(&mut self, connection: ConnectionId) {
        self.connecting.retain(|other| *other != connection);
        self.established.retain(|other| *other != connection);
        self.unanswered.retain(|(other, _)| *other != connection);
    }

    /// Picks a random element of a list.
    fn pick<T: Copy>(&mut self, list: fn(&Self) -> &Vec<T>) -> Option<T> {
        let count = list(self).len();
        (count > 0).then(|| self.random.random_range(0..count)).map(|index| list(self)[index])
    }

    /// Responds to a random attempt or health check.
    fn answer(&mut self) {
        let Some((connection, seqid)) = self.pick(|simulation| &simulation.unanswered) else { return };
        self.unanswered.retain(|unanswered| unanswered != &(connection, seqid));
        let signals = ServerSignals {
            backpressure: self.random.random_bool(0.3).then(|| self.random.random_range(0.0..1.5)),
            retry_after_ms: self.random.random_bool(0.2).then(|| self.random.random_range(1.0..300.0)),
            no_retry_elsewhere: self.random.random_bool(0.2),
        };
        let permanent = self.random.random_bool(0.5);
        let message = if seqid < 0 {
            Response::Health { seqid: -seqid, ready: self.random.random_bool(0.8), signals }
        } else {
            // Overloaded endpoints reject most attempts. Unknown sequence numbers are rare, because they end
            // the connection.
            let kind = self.random.random_range(0..60);
            match if self.overloaded && kind < 33 { 34 } else { kind } {
                0..33 => Response::Succeeded { seqid, result: b"", signals },
                33..47 => Response::Rejected { seqid, signals },
                47..56 => Response::Failed { seqid, signals },
                56..59 => Response::Exception { seqid, permanent, message: b"" },
                _ => Response::Succeeded { seqid: 1 << 20, result: b"", signals },
            }
        };
        self.caller.handle_message(self.now_ms, connection, &message);
    }

    fn connect(&mut self) {
        let Some(connection) = self.pick(|simulation| &simulation.connecting) else { return };
        self.connecting.retain(|other| *other != connection);
        if self.random.random_bool(0.85) {
            self.established.push(connection);
            self.caller.handle_connected(self.now_ms, connection);
        } else {
            self.caller.handle_connect_failed(self.now_ms, connection);
        }
    }

    fn call(&mut self) {
        let idempotency = [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::NonIdempotent];
        let class = ["quote", "plan", "checkout"][self.random.random_range(0..3)];
        let spec = CallSpec {
            class: class.into(),
            idempotency: idempotency[self.random.random_range(0..3)],
            priority: self.random.random(),
            deadline_ms: self.now_ms + self.random.random_range(5.0..1500.0),
            subject: self.random.random_range(0..4),
            bytes: self.random.random_range(1..600),
        };
        let id = self.caller.start_call(self.now_ms, &spec);
        self.calls.push(id);
    }

    /// Advances the time and handles all timeouts in between.
    fn advance(&mut self, duration_ms: f64) {
        let end_ms = self.now_ms + duration_ms;
        while let Some(at_ms) = self.caller.poll_timeout().filter(|at_ms| *at_ms <= end_ms) {
            self.now_ms = self.now_ms.max(at_ms);
            self.caller.handle_timeout(self.now_ms);
            self.poll_actions();
        }
        self.now_ms = end_ms;
    }

    fn update_endpoints(&mut self) {
        let from: u16 = self.random.random_range(0..4);
        let count: u16 = self.random.random_range(0..7);
        let addresses: Vec<SocketAddr> =
            (from..from + count).map(|n| SocketAddr::from(([127, 0, 0, 1], 9000 + n))).collect();
        self.caller.update_endpoints(self.now_ms, &EndpointList::from_addresses(&addresses));
    }

    fn step(&mut self) {
        match self.random.random_range(0..1000) {
            0..200 => self.call(),
            200..520 => self.answer(),
            520..700 => self.connect(),
            700..960 => {
                let duration_ms = self.random.random_range(0.0..40.0);
                self.advance(duration_ms);
            }
            960..975 => {
                if let Some(id) = self.pick(|simulation| &simulation.calls) {
                    self.calls.retain(|other| *other != id);
                    self.caller.cancel_call(self.now_ms, id);
                }
            }
            975..985 => {
                if let Some(connection) = self.pick(|simulation| &simulation.established) {
                    self.remove_connection(connection);
                    let malformed = self.random.random_bool(0.3);
                    let reason = if malformed { CloseReason::Malformed } else { CloseReason::Ended };
                    self.caller.handle_connection_closed(self.now_ms, connection, reason);
                }
            }
            985..992 => {
                if let Some(connection) = self.pick(|simulation| &simulation.established) {
                    self.caller.handle_message(self.now_ms, connection, &Response::Closing);
                }
            }
            992..996 => self.advance(700.0),
            996..999 => self.update_endpoints(),
            _ => self.caller.handle_timeout(self.now_ms - 500.0),
        }
        self.poll_actions();
    }
}

/// Runs a scenario and returns its line of the fixture: name, seed, number of actions, hash of the trace,
/// counters.
fn run(name: &str, config: ClientConfig, seed: u64) -> String {
    let addresses: Vec<SocketAddr> = (0..5).map(|n| SocketAddr::from(([127, 0, 0, 1], 9000 + n))).collect();
    let mut caller = Caller::new(ClientConfig { seed, ..config }).expect("valid settings");
    caller.update_endpoints(0.0, &EndpointList::from_addresses(&addresses));
    let mut simulation = Simulation {
        caller,
        random: Pcg64::seed_from_u64(seed + 1000),
        now_ms: 1.0,
        connecting: Vec::new(),
        established: Vec::new(),
        unanswered: Vec::new(),
        calls: Vec::new(),
        overloaded: name == "small_bounds",
        trace: Trace { hash: 0xcbf2_9ce4_8422_2325, actions: 0, line: String::new() },
    };
    for _ in 0..STEPS {
        simulation.step();
    }
    let (open_calls, connections) = (simulation.caller.open_calls(), simulation.caller.connection_count());
    let _ = write!(simulation.trace.line, "{open_calls} {connections};");
    simulation.trace.fold();
    simulation.caller.close(simulation.now_ms);
    simulation.poll_actions();
    let counters = totals(&simulation.caller.counters()).map(|count| count.to_string()).join(",");
    format!("{name} {seed} {} {:016x} {counters}", simulation.trace.actions, simulation.trace.hash)
}

fn all_lines() -> Vec<String> {
    let each = |(name, config): (&'static str, ClientConfig)| {
        (1..=SEEDS).map(move |seed| run(name, config.clone(), seed)).collect::<Vec<_>>()
    };
    scenarios().into_iter().flat_map(each).collect()
}

#[test]
fn decisions_under_random_events_match_the_fixture() {
    let text = std::fs::read_to_string(fixture()).expect("the fixture exists");
    let pinned: Vec<&str> = text.lines().collect();
    let lines = all_lines();
    for (pinned, line) in pinned.iter().zip(&lines) {
        assert_eq!(pinned, line);
    }
    assert_eq!(pinned.len(), lines.len());
}

#[test]
#[ignore = "writes the fixture if it does not exist"]
fn write_missing_fixture() {
    if !fixture().exists() {
        std::fs::write(fixture(), all_lines().join("\n") + "\n").expect("the fixture is writable");
    }
}
