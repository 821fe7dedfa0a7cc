use super::*;
use crate::endpoint_list::EndpointList;
use plovershelf::api::Idempotency;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

mod random_events;

const SUCCEEDED: fn(i32) -> Message<'static> =
    |seqid| Message::Succeeded { seqid, result: b"", signals: NO_SIGNALS };
const NO_SIGNALS: ServerSignals =
    ServerSignals { backpressure: None, retry_after_ms: None, no_retry_elsewhere: false };
const READY: fn(i32) -> Message<'static> =
    |seqid| Message::Health { seqid, ready: true, signals: NO_SIGNALS };
const MAY_HAVE_RUN: CallOutcome = CallOutcome::Failed { may_have_run: true };

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9000 + n))
}

fn list(endpoints: std::ops::Range<u16>) -> EndpointList {
    EndpointList::from_addresses(&endpoints.map(address).collect::<Vec<_>>())
}

fn spec(idempotency: Idempotency, deadline_ms: f64) -> CallSpec {
    CallSpec { class: "plan".into(), idempotency, priority: 0.5, deadline_ms, subject: 0, bytes: 100 }
}

fn rejected(retry_after_ms: Option<f64>, retry_elsewhere: bool) -> CallOutcome {
    CallOutcome::Rejected { retry_after_ms, retry_elsewhere }
}

/// An attempt from an [`Action::Send`].
#[derive(Clone, Copy, Debug)]
struct Sent {
    connection: ConnectionId,
    sequence: i32,
    call: CallId,
    kind: AttemptKind,
}

/// A connection from an [`Action::Connect`].
#[derive(Clone, Copy, Debug)]
struct Connect {
    connection: ConnectionId,
    address: SocketAddr,
}

/// Drives a [`Caller`] with a simulated clock. Tests supply the responses of the endpoints.
struct TestDriver {
    caller: Caller,
    now_ms: f64,
    /// Attempts without a response, in the order in which they were sent.
    sent: Vec<Sent>,
    outcomes: BTreeMap<CallId, CallOutcome>,
    cancels: usize,
    connects: Vec<Connect>,
    closed: Vec<ConnectionId>,
    probes: Vec<(ConnectionId, i32)>,
    /// Whether new connections are established or fail, in both cases immediately.
    reachable: bool,
    /// Whether the first health check on a connection gets an immediate response.
    healthy: bool,
}

impl TestDriver {
    fn with(config: ClientConfig, endpoints: u16) -> Self {
        let mut caller = Caller::new(ClientConfig { seed: 11, ..config }).expect("valid settings");
        caller.update_endpoints(0.0, &list(0..endpoints));
        TestDriver {
            caller,
            now_ms: 1000.0,
            sent: Vec::new(),
            outcomes: BTreeMap::new(),
            cancels: 0,
            connects: Vec::new(),
            closed: Vec::new(),
            probes: Vec::new(),
            reachable: true,
            healthy: true,
        }
    }

    fn new(endpoints: u16) -> Self {
        Self::with(ClientConfig::default(), endpoints)
    }

    /// Executes actions until there are none.
    fn execute_actions(&mut self) {
        loop {
            let actions = self.caller.poll_actions();
            if actions.is_empty() {
                return;
            }
            actions.into_iter().for_each(|action| self.execute_action(action));
        }
    }

    fn execute_action(&mut self, action: Action) {
        match action {
            Action::Connect { connection, address } => {
                self.connects.push(Connect { connection, address });
                if self.reachable {
                    self.caller.handle_connected(self.now_ms, connection);
                } else {
                    self.caller.handle_connect_failed(self.now_ms, connection);
                }
            }
            Action::Send { connection, sequence, call, kind, timeout_ms } => {
                assert!(timeout_ms > 0.0);
                self.sent.push(Sent { connection, sequence, call, kind });
            }
            Action::Cancel { connection, sequence } => {
                self.cancels += 1;
                self.sent.retain(|sent| (sent.connection, sent.sequence) != (connection, sequence));
            }
            Action::Probe { connection, sequence } if sequence == 1 && self.healthy => {
                self.caller.handle_message(self.now_ms, connection, &READY(sequence));
            }
            Action::Probe { connection, sequence } => self.probes.push((connection, sequence)),
            Action::Close { connection } => {
                self.closed.push(connection);
                self.sent.retain(|sent| sent.connection != connection);
            }
            Action::Complete { call, outcome } => {
                assert_eq!(self.outcomes.insert(call, outcome), None, "{call:?} ended twice");
            }
        }
    }

    fn call(&mut self, idempotency: Idempotency, timeout_ms: f64) -> CallId {
        let id = self.caller.start_call(self.now_ms, &spec(idempotency, self.now_ms + timeout_ms));
        self.execute_actions();
        id
    }

    /// Makes successful calls, so that the retry budget allows retries.
    fn make_successful_calls(&mut self, count: u32) {
        for _ in 0..count {
            self.call(Idempotency::Idempotent, 1000.0);
            self.answer_last(SUCCEEDED);
        }
    }

    /// Responds to the attempt that was sent last.
    fn answer_last(&mut self, message: impl Fn(i32) -> Message<'static>) {
        let sent = self.sent.pop().expect("an attempt is in flight");
        self.receive(sent.connection, &message(sent.sequence));
    }

    fn receive(&mut self, connection: ConnectionId, message: &Message<'_>) {
        self.caller.handle_message(self.now_ms, connection, message);
        self.execute_actions();
    }

    fn reject_last(&mut self, retry_after_ms: Option<f64>, no_retry_elsewhere: bool) {
        let signals = ServerSignals { retry_after_ms, no_retry_elsewhere, ..NO_SIGNALS };
        self.answer_last(|seqid| Message::Rejected { seqid, signals });
    }

    /// Ends the connection of the attempt that was sent last.
    fn lose_last(&mut self) {
        let connection = self.sent.last().expect("an attempt is in flight").connection;
        self.sent.retain(|sent| sent.connection != connection);
        self.caller.handle_connection_closed(self.now_ms, connection, CloseReason::Ended);
        self.execute_actions();
    }

    fn update_endpoints(&mut self, endpoints: std::ops::Range<u16>) {
        self.caller.update_endpoints(self.now_ms, &list(endpoints));
    }

    /// Advances the time and handles all timeouts in between.
    fn advance(&mut self, duration_ms: f64) {
        let end_ms = self.now_ms + duration_ms;
        while let Some(at_ms) = self.caller.poll_timeout().filter(|at_ms| *at_ms <= end_ms) {
            self.now_ms = self.now_ms.max(at_ms);
            self.caller.handle_timeout(self.now_ms);
            self.execute_actions();
        }
        self.now_ms = end_ms;
    }

    fn address_of(&self, connection: ConnectionId) -> SocketAddr {
        let connect = self.connects.iter().find(|connect| connect.connection == connection);
        connect.expect("the connection was opened").address
    }

    fn endpoint_count(&self) -> usize {
        self.caller.dispatcher.connections().endpoints().iter().count()
    }
}

/// Returns whether neither a connection nor an endpoint counts an attempt in flight.
fn nothing_is_in_flight(caller: &Caller) -> bool {
    let endpoints = caller.dispatcher.connections().endpoints();
    let idle = caller.dispatcher.connections().pool().iter().all(|connection| connection.in_flight() == 0);
    idle && endpoints.iter().all(|(_, endpoint)| endpoint.in_flight == 0)
}

#[test]
fn call_is_sent_once_and_ends_with_its_result() {
    let mut driver = TestDriver::new(3);
    let id = driver.call(Idempotency::Idempotent, 500.0);
    assert_eq!((driver.sent.len(), driver.sent[0].kind), (1, AttemptKind::First));
    driver.answer_last(SUCCEEDED);
    assert_eq!(driver.outcomes[&id], CallOutcome::Succeeded);
    let timers = driver.caller.dispatcher.calls().timer_count()
        + driver.caller.dispatcher.connections().pending_reconnects();
    assert_eq!((driver.caller.open_calls(), timers), (0, 0));
}

/// Every endpoint rejects a call. The call must be retried at other endpoints, marked as a retry, and only
/// within the budget.
#[test]
fn rejected_call_is_retried_elsewhere_while_the_budget_allows() {
    let mut driver = TestDriver::new(3);
    driver.make_successful_calls(40);
    let id = driver.call(Idempotency::NonIdempotent, 500.0);
    let first = driver.sent[0].connection;
    driver.reject_last(None, false);
    assert_eq!(driver.sent.len(), 1);
    assert!(driver.sent[0].kind == AttemptKind::Retry && driver.sent[0].connection != first);
    for _ in 0..4 {
        if !driver.sent.is_empty() {
            driver.reject_last(None, false);
        }
    }
    assert_eq!(driver.outcomes[&id], rejected(None, true));
    let counters = driver.caller.counters();
    assert!(counters.retries <= 4 && counters.retries_over_budget == 1);
}

#[test]
fn retry_after_beyond_the_deadline_ends_the_call_at_once() {
    let mut driver = TestDriver::new(2);
    driver.make_successful_calls(40);
    let id = driver.call(Idempotency::Idempotent, 500.0);
    driver.now_ms += 400.0;
    driver.reject_last(Some(101.0), false);
    assert_eq!(driver.outcomes[&id], rejected(Some(101.0), true));
}

/// An endpoint rejects a call with a Retry-After and excludes other endpoints. The call must be retried at
/// the same endpoint after the Retry-After, and end when it is then rejected without one.
#[test]
fn rejection_that_excludes_other_endpoints_is_retried_at_the_same_one_after_its_retry_after() {
    let mut driver = TestDriver::new(3);
    driver.make_successful_calls(40);
    let id = driver.call(Idempotency::Idempotent, 900.0);
    let (first, at_ms) = (driver.sent[0].connection, driver.now_ms);
    driver.reject_last(Some(100.0), true);
    assert!(driver.sent.is_empty() && !driver.outcomes.contains_key(&id));
    driver.advance(99.0);
    assert!(driver.sent.is_empty());
    driver.advance(30.0);
    assert_eq!((driver.sent[0].connection, driver.sent[0].kind), (first, AttemptKind::Retry));
    assert!(driver.now_ms > at_ms);
    driver.reject_last(None, true);
    assert_eq!(driver.outcomes[&id], rejected(None, false));
}

/// A connection is reset while a call is in flight. An idempotent call is retried; a keyed call is retried
/// only at the endpoint that may have run it; a non-idempotent call fails and may have run.
#[test]
fn call_is_not_retried_after_a_connection_reset_if_it_could_run_twice() {
    use Idempotency::{Idempotent, Keyed, NonIdempotent};
    for (idempotency, is_retried) in [(Idempotent, true), (Keyed, false), (NonIdempotent, false)] {
        let mut driver = TestDriver::new(3);
        driver.make_successful_calls(40);
        let id = driver.call(idempotency, 900.0);
        let lost = driver.sent[0].connection;
        driver.lose_last();
        assert_eq!(driver.sent.len(), usize::from(is_retried), "{idempotency:?}");
        match idempotency {
            NonIdempotent => assert_eq!(driver.outcomes[&id], MAY_HAVE_RUN),
            Keyed => {
                driver.now_ms += 1.0;
                driver.advance(890.0);
                for sent in driver.sent.clone() {
                    assert_eq!((sent.call, sent.kind), (id, AttemptKind::Retry));
                    assert_eq!(driver.address_of(sent.connection), driver.address_of(lost));
                }
            }
            Idempotent => assert_eq!(driver.sent[0].kind, AttemptKind::Retry),
        }
    }
}

/// An endpoint sends `closing` and ends the connection without a response to a call. An attempt sent within
/// the closing race was never read and is resent as a first attempt; an older one may have run and is not.
#[test]
fn attempt_within_the_closing_race_is_resent_unmarked_and_an_older_one_is_not() {
    for (age_ms, outcome) in [(40.0, None), (60.0, Some(MAY_HAVE_RUN))] {
        let mut driver = TestDriver::new(2);
        driver.make_successful_calls(3);
        let id = driver.call(Idempotency::NonIdempotent, 5000.0);
        let connection = driver.sent[0].connection;
        driver.now_ms += age_ms;
        driver.receive(connection, &Message::Closing);
        driver.now_ms += 500.0;
        driver.lose_last();
        assert_eq!(driver.outcomes.get(&id).copied(), outcome, "{age_ms}");
        if outcome.is_none() {
            assert_eq!(driver.sent.len(), 1);
            assert_eq!(driver.sent[0].kind, AttemptKind::First);
            assert_ne!(driver.sent[0].connection, connection);
            assert_eq!(driver.caller.counters().resent_unread, 1);
        }
    }
}

/// The only endpoint refuses connections. A call whose deadline is before the reconnect ends immediately; one
/// with a later deadline waits and is sent as a first attempt.
#[test]
fn refused_connection_is_not_an_attempt_and_is_not_retried_immediately() {
    let mut driver = TestDriver::new(1);
    driver.reachable = false;
    let id = driver.call(Idempotency::NonIdempotent, 200.0);
    assert_eq!((driver.connects.len(), driver.sent.len()), (1, 0));
    let outcome = driver.outcomes.get(&id).copied();
    let Some(CallOutcome::NotSent { reason: NotSentReason::NoEndpoint, retry_after_ms: Some(wait_ms) }) =
        outcome
    else {
        panic!("{outcome:?}")
    };
    assert!(wait_ms > 200.0 && wait_ms <= 3000.0);
    let long = driver.call(Idempotency::NonIdempotent, 20_000.0);
    driver.reachable = true;
    driver.advance(wait_ms + 1.0);
    assert_eq!(driver.sent.len(), 1);
    assert_eq!((driver.sent[0].call, driver.sent[0].kind), (long, AttemptKind::First));
}

/// All three endpoints of 200 clients restart at the same time. The clients' first reconnects must be spread
/// over at least two seconds, with few in any 100 ms and few connection attempts in total.
#[test]
fn reconnects_of_a_fleet_that_lost_all_endpoints_are_spread() {
    let mut first_reconnects_ms: Vec<f64> = Vec::new();
    let mut connects = 0;
    for seed in 1..=200 {
        let mut driver = TestDriver::new(0);
        driver.caller =
            Caller::new(ClientConfig { seed, ..ClientConfig::default() }).expect("valid settings");
        driver.caller.update_endpoints(0.0, &list(0..3));
        for _ in 0..20 {
            driver.call(Idempotency::Idempotent, 60_000.0);
        }
        driver.reachable = false;
        let connections: BTreeSet<ConnectionId> = driver.sent.iter().map(|sent| sent.connection).collect();
        for connection in connections {
            driver.caller.handle_connection_closed(driver.now_ms, connection, CloseReason::Ended);
            driver.execute_actions();
        }
        let (lost_ms, connects_before) = (driver.now_ms, driver.connects.len());
        // The endpoints are down for one second.
        driver.advance(1000.0);
        driver.reachable = true;
        let connects_while_down = driver.connects.len();
        while driver.connects.len() == connects_while_down && driver.now_ms < lost_ms + 20_000.0 {
            driver.advance(10.0);
        }
        connects += driver.connects.len() - connects_before;
        first_reconnects_ms.push(driver.now_ms - lost_ms);
    }
    first_reconnects_ms.sort_by(f64::total_cmp);
    let (early_ms, late_ms) = (first_reconnects_ms[2], first_reconnects_ms[197]);
    assert!(late_ms - early_ms >= 2000.0, "{early_ms} to {late_ms}");
    for start in 0..60 {
        let start_ms = f64::from(start) * 100.0;
        let interval = start_ms..start_ms + 100.0;
        let within = first_reconnects_ms.iter().filter(|at_ms| interval.contains(*at_ms)).count();
        assert!(within <= 30, "{within} in 100 ms after {start_ms}");
    }
    assert!(connects <= 200 * 4, "{connects} connection attempts");
}

/// An endpoint accepts connections but never responds. The connection must be health-checked and closed, and
/// its call retried at another endpoint.
#[test]
fn unresponsive_endpoint_is_probed_and_its_call_retried_at_another() {
    let mut driver = TestDriver::new(2);
    driver.make_successful_calls(20);
    let id = driver.call(Idempotency::Idempotent, 4000.0);
    let unresponsive = driver.sent[0].connection;
    driver.advance(320.0);
    assert_eq!(driver.probes.len(), 1);
    driver.advance(560.0);
    assert!(driver.closed.contains(&unresponsive));
    assert_eq!(driver.sent.len(), 1);
    assert!(driver.sent[0].call == id && driver.sent[0].connection != unresponsive);
}

/// The client reconnects to a lost endpoint. No call may be sent to it before it has responded to a health
/// check.
#[test]
fn lost_endpoint_takes_calls_only_after_its_health_check() {
    let mut driver = TestDriver::new(1);
    driver.call(Idempotency::Idempotent, 20_000.0);
    driver.healthy = false;
    driver.lose_last();
    driver.call(Idempotency::Idempotent, 20_000.0);
    while driver.probes.is_empty() {
        driver.advance(10.0);
    }
    assert!(driver.sent.is_empty());
    let (connection, sequence) = driver.probes[0];
    driver.receive(connection, &READY(sequence));
    assert!(!driver.sent.is_empty());
}

/// A call runs for seconds while its endpoint responds to health checks. The connection must stay open.
#[test]
fn endpoint_that_responds_to_health_checks_during_a_long_run_stays_connected() {
    let mut driver = TestDriver::new(1);
    driver.call(Idempotency::NonIdempotent, 4000.0);
    for _ in 0..6 {
        driver.advance(400.0);
        for (connection, sequence) in std::mem::take(&mut driver.probes) {
            driver.receive(connection, &READY(sequence));
        }
    }
    assert_eq!((driver.sent.len(), driver.outcomes.len(), driver.closed.len()), (1, 0, 0));
}

/// An endpoint responds twice, responds with an unknown sequence number, or sends malformed data. The
/// connection must be closed as one protocol fault, and each call on it must have an outcome.
#[test]
fn protocol_violation_ends_the_connection_and_each_call_once() {
    let twice = |driver: &mut TestDriver, connection: ConnectionId| {
        let sequence = driver.sent[0].sequence;
        for _ in 0..2 {
            driver.caller.handle_message(driver.now_ms, connection, &SUCCEEDED(sequence));
        }
    };
    let unknown = |driver: &mut TestDriver, connection: ConnectionId| {
        let message = Message::Failed { seqid: 777, signals: NO_SIGNALS };
        driver.caller.handle_message(driver.now_ms, connection, &message);
    };
    let malformed = |driver: &mut TestDriver, connection: ConnectionId| {
        driver.caller.handle_connection_closed(driver.now_ms, connection, CloseReason::Malformed);
    };
    let cases = [&twice as &dyn Fn(&mut TestDriver, ConnectionId), &unknown, &malformed];
    for (case, violate) in cases.into_iter().enumerate() {
        let mut driver = TestDriver::new(1);
        let ids = [0; 5].map(|_| driver.call(Idempotency::NonIdempotent, 900.0));
        let connection = driver.sent[0].connection;
        violate(&mut driver, connection);
        driver.execute_actions();
        driver.advance(1000.0);
        assert!(driver.closed.contains(&connection), "{case}");
        assert!(ids.iter().all(|id| driver.outcomes.contains_key(id)), "{case}: {:?}", driver.outcomes);
        assert_eq!(driver.caller.counters().protocol_faults, 1, "{case}");
    }
}

#[test]
fn late_response_to_a_cancelled_call_is_not_a_protocol_fault() {
    let mut driver = TestDriver::new(1);
    let id = driver.call(Idempotency::Idempotent, 900.0);
    let Sent { connection, sequence, .. } = driver.sent[0];
    driver.caller.cancel_call(driver.now_ms, id);
    driver.execute_actions();
    assert_eq!((driver.cancels, driver.caller.open_calls()), (1, 0));
    driver.receive(connection, &SUCCEEDED(sequence));
    let late_responses = driver.caller.counters().late_responses;
    assert_eq!((driver.closed.len(), driver.outcomes.len(), late_responses), (0, 0, 1));
}

/// An endpoint closes every connection before any response. The client must not reconnect in a tight loop.
#[test]
fn reconnects_to_an_endpoint_that_closes_every_connection_without_a_response_are_limited() {
    let mut driver = TestDriver::new(1);
    driver.call(Idempotency::Idempotent, 20_000.0);
    for _ in 0..200 {
        for sent in driver.sent.clone() {
            driver.caller.handle_message(driver.now_ms, sent.connection, &Message::Closing);
            driver.caller.handle_connection_closed(driver.now_ms, sent.connection, CloseReason::Ended);
            driver.sent.clear();
            driver.execute_actions();
        }
        driver.advance(50.0);
    }
    assert!(driver.connects.len() <= 15, "{} connects in 10 s", driver.connects.len());
}

#[test]
fn cancelling_thousands_of_calls_leaves_no_state() {
    let mut driver = TestDriver::new(3);
    let ids: Vec<CallId> = (0..3000).map(|_| driver.call(Idempotency::Keyed, 5000.0)).collect();
    for id in ids {
        driver.caller.cancel_call(driver.now_ms, id);
    }
    driver.execute_actions();
    let caller = &driver.caller;
    let timers =
        caller.dispatcher.calls().timer_count() + caller.dispatcher.connections().pending_reconnects();
    let (bytes, ready) = (caller.dispatcher.calls().bytes(), caller.dispatcher.calls().ready_count());
    assert_eq!((caller.open_calls(), bytes, timers, ready), (0, 0, 0, 0));
    assert!(nothing_is_in_flight(caller));
    assert!(caller.dispatcher.connections().pool().iter().all(connection::Connection::cancelled_is_bounded));
}

#[test]
fn calls_beyond_the_limit_end_immediately() {
    let mut driver = TestDriver::with(ClientConfig { max_open_calls: 10, ..ClientConfig::default() }, 1);
    for _ in 0..12 {
        driver.call(Idempotency::Idempotent, 500.0);
    }
    let over_limit = CallOutcome::NotSent { reason: NotSentReason::LimitReached, retry_after_ms: None };
    assert_eq!(driver.outcomes.values().filter(|outcome| **outcome == over_limit).count(), 2);
}

/// The list becomes empty and then contains other endpoints. The empty list must be ignored, and the old
/// endpoints must stay in use until a new one is connected.
#[test]
fn empty_list_is_ignored_and_new_endpoints_are_connected_before_old_ones_are_dropped() {
    let mut driver = TestDriver::new(2);
    driver.make_successful_calls(4);
    driver.caller.update_endpoints(driver.now_ms, &EndpointList::default());
    assert_eq!(driver.caller.dispatcher.connections().endpoints().selected().len(), 2);
    let pending = driver.call(Idempotency::Idempotent, 3000.0);
    driver.update_endpoints(10..12);
    let actions = driver.caller.poll_actions();
    assert!(
        matches!(actions[..], [Action::Connect { address, .. }] if address.port() >= 9010),
        "{actions:?}"
    );
    // The old endpoints stay in use while the new connection is being established.
    let spec = spec(Idempotency::Idempotent, driver.now_ms + 500.0);
    let call_on_old = driver.caller.start_call(driver.now_ms, &spec);
    let sends = driver.caller.poll_actions();
    let [Action::Send { connection, call, .. }] = sends[..] else { panic!("{sends:?}") };
    assert!(driver.connects.iter().any(|connect| connect.connection == connection) && call == call_on_old);
    actions.into_iter().chain(sends).for_each(|action| driver.execute_action(action));
    while !driver.sent.is_empty() {
        driver.answer_last(SUCCEEDED);
    }
    driver.advance(200.0);
    assert_eq!(driver.outcomes[&pending], CallOutcome::Succeeded);
    assert_eq!(driver.endpoint_count(), 2);
}

#[test]
fn repeated_endpoint_updates_leak_no_endpoints() {
    let mut driver = TestDriver::new(3);
    for round in 0..200 {
        driver.call(Idempotency::Idempotent, 200.0);
        driver.update_endpoints(round * 3..round * 3 + 3);
        driver.execute_actions();
        driver.advance(100.0);
    }
    driver.advance(10_000.0);
    assert!(driver.endpoint_count() <= 6, "{}", driver.endpoint_count());
    assert!(driver.caller.connection_count() <= 6);
}

#[test]
fn time_does_not_go_back_when_the_clock_does() {
    let mut driver = TestDriver::new(1);
    driver.make_successful_calls(3);
    let id = driver.call(Idempotency::Idempotent, 100.0);
    driver.caller.handle_timeout(5.0);
    driver.caller.handle_timeout(f64::NAN);
    driver.execute_actions();
    assert!(!driver.outcomes.contains_key(&id));
    driver.advance(101.0);
    assert_eq!(driver.outcomes[&id], CallOutcome::DeadlineExceeded { may_have_run: true });
}

/// A call exceeds the latency percentile of its class. A hedge must go to another endpoint, marked as a retry
/// and within the budget, and the slower attempt must be cancelled. A non-idempotent call must not be hedged.
#[test]
fn slow_call_is_hedged_within_the_budget_and_the_slower_attempt_is_cancelled() {
    let config = ClientConfig { hedge_percentile: Some(95.0), ..ClientConfig::default() };
    let mut driver = TestDriver::with(config, 3);
    for _ in 0..40 {
        driver.call(Idempotency::Idempotent, 1000.0);
        driver.now_ms += 10.0;
        driver.answer_last(SUCCEEDED);
    }
    let id = driver.call(Idempotency::Idempotent, 1000.0);
    driver.advance(60.0);
    let kinds: Vec<AttemptKind> = driver.sent.iter().map(|sent| sent.kind).collect();
    assert_eq!(kinds, [AttemptKind::First, AttemptKind::Retry]);
    assert_ne!(driver.sent[0].connection, driver.sent[1].connection);
    driver.answer_last(SUCCEEDED);
    let outcome = driver.outcomes[&id];
    assert_eq!((outcome, driver.cancels, driver.sent.len()), (CallOutcome::Succeeded, 1, 0));
    driver.call(Idempotency::NonIdempotent, 1000.0);
    driver.advance(60.0);
    assert_eq!(driver.sent.len(), 1);
}

#[test]
fn attempt_that_cannot_end_before_the_deadline_is_not_sent() {
    let mut driver = TestDriver::new(1);
    for _ in 0..5 {
        driver.call(Idempotency::Idempotent, 1000.0);
        driver.now_ms += 80.0;
        driver.answer_last(SUCCEEDED);
    }
    let id = driver.call(Idempotency::Idempotent, 70.0);
    assert_eq!(driver.outcomes[&id], CallOutcome::DeadlineExceeded { may_have_run: false });
    assert!(driver.sent.is_empty());
}
