use super::*;
use crate::connection_state::{ConnectionState, PhaseEvent};
use crate::deduplication::{body_hash, DeduplicationKey, Lookup, LookupResult};
use crate::event::{AgentEvent, CallResult};
use crate::outbox::{Outbox, UnwrittenBytes};
use plovershelf::api::CallOutcome;
use plovershelf_codec::agent::RunResult;
use plovershelf_testkit::scripted::{alive, cancel, decode_response, dispatch, Response, SETTINGS};

/// A driver whose agent is up, with the other ends of its queues.
struct Harness {
    driver: Driver,
    /// Commands to the agent.
    commands: Receiver<Vec<u8>>,
    /// Commands to the dependency.
    calls: Receiver<CallCommand>,
    /// Frames to each client.
    peers: Vec<Receiver<Vec<u8>>>,
    /// State of each client connection.
    connection_states: Vec<Rc<ConnectionState>>,
    unwritten: Rc<Cell<usize>>,
}

impl Harness {
    fn new() -> Self {
        Self::with(Limits::new(64.0, 256))
    }

    fn with(limits: Limits) -> Self {
        let startup = plovershelf_settings::read(SETTINGS, 7).expect("settings");
        let (calls, call_commands) = async_channel::bounded(16);
        let (inbox, notice) = (async_channel::bounded(1).1, async_channel::bounded(1).1);
        let queues = DriverQueues { inbox, notice, calls };
        let driver = Driver::new(startup, 3000.0, Rc::new(limits), queues, Rc::default(), None);
        let commands = async_channel::bounded(1).1;
        let (peers, connection_states, unwritten) = (Vec::new(), Vec::new(), Rc::default());
        let mut harness =
            Harness { driver, commands, calls: call_commands, peers, connection_states, unwritten };
        harness.link_up();
        harness
    }

    fn link_up(&mut self) {
        self.link_up_with(false);
    }

    fn link_up_with(&mut self, missed_notices: bool) {
        let (sender, commands) = async_channel::bounded(1000);
        self.commands = commands;
        self.driver.handle_event(Event::Agent(AgentEvent::Up {
            fresh: false,
            uptime_ms: 0.0,
            commands: sender,
            missed_notices,
        }));
        self.driver.finish_turn();
    }

    fn connect(&mut self) -> u64 {
        let connection = self.peers.len() as u64;
        let state = ConnectionState::new(None, Rc::default());
        let (outbox, frames) = Outbox::new(
            state.clone(),
            UnwrittenBytes::sharing_total(self.unwritten.clone()),
            &self.driver.limits,
        );
        self.connection_states.push(state);
        self.driver.handle_event(Event::Connected { connection, outbox });
        self.peers.push(frames);
        connection
    }

    fn send(&mut self, connection: u64, frame: Vec<u8>) {
        self.driver.update_clock();
        self.driver.handle_event(Event::Frame { connection, frame });
        self.driver.finish_turn();
    }

    fn responses(&mut self, connection: u64) -> Vec<Response> {
        let frames = &self.peers[connection as usize];
        std::iter::from_fn(|| frames.try_recv().ok()).map(|frame| decode_response(&frame[4..])).collect()
    }

    fn commands(&mut self) -> Vec<String> {
        let all = std::iter::from_fn(|| self.commands.try_recv().ok());
        all.map(|bytes| String::from_utf8(bytes).expect("text").lines().next().unwrap().into()).collect()
    }

    fn send_agent_event(&mut self, event: AgentEvent) {
        self.driver.handle_event(Event::Agent(event));
        self.driver.finish_turn();
    }

    fn end_run(&mut self, id: u64, result: RunResult, body: &[u8]) {
        self.send_agent_event(AgentEvent::RunEnded { id: attempt_id(id), result, body: body.to_vec() });
    }

    fn request_call(&mut self, id: u64) {
        self.send_agent_event(AgentEvent::CallRequested { id: attempt_id(id), call: b"ask".to_vec() });
    }

    fn end_call(&mut self, id: u64, outcome: CallOutcome) {
        let number = self.driver.calls_placed;
        let result = CallResult { number, outcome, is_awaited: true, reply: b"told".to_vec() };
        self.driver.handle_event(Event::CallEnded { id: attempt_id(id), result });
        self.driver.finish_turn();
    }

    /// Advances the driver's clock and handles the timeouts that become due.
    fn advance(&mut self, span_ms: f64) {
        let until = self.driver.now_ms + span_ms;
        while self.driver.now_ms < until {
            self.driver.now_ms = (self.driver.now_ms + 10.0).min(until);
            while self.driver.handle_due_timeout() {
                self.driver.finish_turn();
            }
        }
    }
}

fn attempt_id(id: u64) -> AttemptId {
    format!("{id:016x}").into_bytes().try_into().expect("16 digits")
}

#[test]
fn run_result_is_sent_to_the_client_once() {
    let mut harness = Harness::new();
    let client = harness.connect();
    harness.send(client, dispatch(1, 5, "plain", &[], b"body"));
    assert_eq!(harness.commands(), ["launch 0000000000000005 plain 4"]);
    harness.end_run(5, RunResult::Succeeded, b"\0result");
    harness.end_run(5, RunResult::Succeeded, b"again");
    assert_eq!(harness.responses(client), [Response::Succeeded(1, b"\0result".to_vec())]);
    assert!(
        harness.driver.requests.is_empty()
            && harness.driver.request_by_attempt.is_empty()
            && harness.driver.open_bytes == 0
    );
}

#[test]
fn failed_and_interrupted_runs_are_answered_as_failed() {
    let mut harness = Harness::new();
    let client = harness.connect();
    for (seqid, result) in [(1, RunResult::Failed), (2, RunResult::Interrupted), (3, RunResult::NotStarted)] {
        harness.send(client, dispatch(seqid, seqid as u64, "plain", &[], b""));
        harness.end_run(seqid as u64, result, b"");
        assert_eq!(harness.responses(client), [Response::Failed(seqid)]);
    }
    assert!(harness.driver.requests.is_empty());
}

#[test]
fn cancel_stops_the_run_and_unknown_cancel_is_ignored() {
    let mut harness = Harness::new();
    let client = harness.connect();
    harness.send(client, dispatch(1, 5, "plain", &[], b""));
    harness.send(client, cancel(9));
    harness.commands();
    harness.send(client, cancel(1));
    assert_eq!(harness.commands(), ["freeze 0000000000000005"]);
    harness.end_run(5, RunResult::Interrupted, b"");
    harness.send(client, cancel(1));
    assert_eq!(harness.responses(client), []);
    assert!(harness.driver.requests.is_empty());
}

#[test]
fn closed_connection_cancels_its_open_requests() {
    let mut harness = Harness::new();
    let (client, other) = (harness.connect(), harness.connect());
    harness.send(client, dispatch(1, 5, "plain", &[], b""));
    harness.send(client, dispatch(2, 6, "better", &[], b""));
    harness.send(other, dispatch(1, 7, "better", &[], b""));
    harness.driver.handle_event(Event::Disconnected { connection: client, error: None });
    assert_eq!(harness.commands()[3..], ["freeze 0000000000000005", "freeze 0000000000000006"]);
    harness.end_run(7, RunResult::Succeeded, b"x");
    assert_eq!(harness.responses(other), [Response::Succeeded(1, b"x".to_vec())]);
}

#[test]
fn duplicate_sequence_number_closes_the_connection_after_the_pending_answer() {
    let mut harness = Harness::new();
    let client = harness.connect();
    harness.send(client, dispatch(1, 5, "plain", &[], b""));
    harness.send(client, dispatch(1, 6, "plain", &[], b""));
    assert_eq!(harness.responses(client), [Response::Closing]);
    harness.end_run(5, RunResult::Succeeded, b"x");
    assert_eq!(harness.responses(client), [Response::Succeeded(1, b"x".to_vec())]);
    assert!(harness.driver.connections.is_empty() && harness.peers[client as usize].is_closed());
    assert_eq!(harness.commands().len(), 1);
}

#[test]
fn invalid_requests_are_rejected_before_the_backend_decides() {
    let mut harness = Harness::new();
    let client = harness.connect();
    let mut bad = [("t", "nobody"), ("m", ""), ("m", "1e9"), ("s", "0"), ("s", "1e300"), ("p", "NaN")]
        .map(|field| dispatch(1, 1, "plain", &[field], b""))
        .to_vec();
    bad.push(dispatch(1, 1, "unheard", &[], b""));
    bad.push(dispatch(1, 1, "plain", &[], &[0; 3000]));
    for frame in bad {
        let other = harness.connect();
        harness.send(other, frame);
        harness.send(other, dispatch(2, 2, "plain", &[], b""));
        // Such a request is the last that is read from its connection.
        assert_eq!(harness.responses(other), [Response::Exception(1), Response::Closing]);
        assert!(!harness.driver.connections.contains_key(&other));
    }
    harness.send(client, dispatch(5, 5, "plain", &[], b""));
    harness.send(client, dispatch(6, 5, "plain", &[], b""));
    assert_eq!(harness.responses(client), [Response::Exception(6)]);
    assert_eq!(harness.commands(), ["launch 0000000000000005 plain 0"]);
}

#[test]
fn extreme_timeouts_are_bounded() {
    let mut harness = Harness::new();
    let client = harness.connect();
    let long_ago = (harness.driver.now_ms - 50_000.0).to_string();
    harness.send(client, dispatch(1, 1, "single", &[("d", "1e300")], b""));
    harness.send(client, dispatch(2, 2, "plain", &[("d", "0"), ("s", &long_ago)], b""));
    assert_eq!(harness.responses(client), [Response::Rejected(2)]);
    let last = harness.driver.timeouts.last().expect("a timeout").0;
    assert!(f64::from_bits(last) <= harness.driver.now_ms + harness.driver.limits.max_timeout_ms);
    assert!(harness.driver.wait_ms() <= 1000.0);
}

#[test]
fn requests_beyond_the_limit_per_connection_are_rejected() {
    let mut harness = Harness::with(Limits { max_requests_per_connection: 2, ..Limits::new(64.0, 256) });
    let client = harness.connect();
    (1..=3).for_each(|seqid| harness.send(client, dispatch(seqid, seqid as u64, "plain", &[], b"")));
    assert_eq!(harness.responses(client), [Response::Exception(3), Response::Closing]);
    harness.end_run(1, RunResult::Succeeded, b"x");
    assert_eq!(harness.responses(client), [Response::Succeeded(1, b"x".to_vec())]);
}

#[test]
fn requests_beyond_the_memory_limit_are_rejected() {
    let mut harness = Harness::with(Limits { max_open_bytes: 3000, ..Limits::new(64.0, 256) });
    let client = harness.connect();
    (1..=3).for_each(|seqid| harness.send(client, dispatch(seqid, seqid as u64, "plain", &[], b"")));
    assert_eq!(harness.responses(client), [Response::Rejected(3)]);
    assert_eq!(harness.commands().len(), 2);
}

#[test]
fn duplicate_of_a_keyed_request_shares_its_run_and_result() {
    let mut harness = Harness::new();
    let client = harness.connect();
    let key = [("k", "ticket-1")];
    harness.send(client, dispatch(1, 1, "marked", &key, b""));
    harness.send(client, dispatch(2, 2, "marked", &key, b""));
    harness.end_run(1, RunResult::Succeeded, b"made");
    let expected = [1, 2].map(|seqid| Response::Succeeded(seqid, b"made".to_vec()));
    let mut responses = harness.responses(client);
    responses.sort_by_key(|response| matches!(response, Response::Succeeded(2, _)));
    assert_eq!(responses, expected);
    harness.send(client, dispatch(3, 3, "marked", &key, b""));
    assert_eq!(harness.responses(client), [Response::Succeeded(3, b"made".to_vec())]);
    assert_eq!(harness.commands(), ["launch 0000000000000001 marked 0"]);
    harness.send(client, dispatch(4, 4, "marked", &[("k", "ticket-2")], b""));
    assert_eq!(harness.commands().len(), 1);
}

#[test]
fn duplicate_of_a_failed_keyed_request_is_not_run() {
    let mut harness = Harness::new();
    let client = harness.connect();
    harness.send(client, dispatch(1, 1, "marked", &[("k", "t")], b""));
    harness.end_run(1, RunResult::Failed, b"");
    harness.send(client, dispatch(2, 2, "marked", &[("k", "t")], b""));
    assert_eq!(harness.responses(client), [Response::Failed(1), Response::Failed(2)]);
    assert_eq!(harness.commands().len(), 1);
    harness.advance(60_000.0);
    let client = harness.connect();
    let sent_ms = harness.driver.now_ms.to_string();
    harness.send(client, dispatch(3, 3, "marked", &[("k", "t"), ("s", &sent_ms)], b""));
    assert_eq!(harness.commands().iter().filter(|line| line.starts_with("launch")).count(), 1);
}

#[test]
fn call_not_executed_is_placed_again_and_its_reply_is_delivered() {
    let mut harness = Harness::new();
    let client = harness.connect();
    harness.send(client, dispatch(1, 1, "single", &[], b""));
    harness.request_call(1);
    assert!(
        matches!(harness.calls.try_recv(), Ok(CallCommand::Place { id, body, .. }) if id == attempt_id(1) && body == b"ask")
    );
    harness.end_call(1, CallOutcome::NotExecuted);
    harness.advance(1000.0);
    assert!(matches!(harness.calls.try_recv(), Ok(CallCommand::Place { .. })));
    harness.commands();
    harness.end_call(1, CallOutcome::Completed);
    assert_eq!(harness.commands(), ["deliver 0000000000000001 4"]);
    assert_eq!(harness.responses(client), []);
}

#[test]
fn non_idempotent_call_with_unknown_outcome_is_not_placed_again() {
    let mut harness = Harness::new();
    let client = harness.connect();
    harness.send(client, dispatch(1, 1, "single", &[], b""));
    harness.request_call(1);
    assert!(harness.calls.try_recv().is_ok());
    harness.end_call(1, CallOutcome::Unknown);
    harness.advance(1000.0);
    assert!(harness.calls.try_recv().is_err());
    assert_eq!(harness.responses(client), [Response::Failed(1)]);
}

#[test]
fn call_of_a_cancelled_request_is_abandoned() {
    let mut harness = Harness::new();
    let client = harness.connect();
    harness.send(client, dispatch(1, 1, "plain", &[], b""));
    harness.request_call(1);
    assert!(harness.calls.try_recv().is_ok());
    harness.send(client, cancel(1));
    assert!(matches!(harness.calls.try_recv(), Ok(CallCommand::Abandon { id }) if id == attempt_id(1)));
    harness.end_call(1, CallOutcome::Completed);
    assert_eq!(harness.commands().len(), 1);
}

#[test]
fn call_that_finds_the_queue_full_counts_as_not_executed() {
    let mut harness = Harness::new();
    let client = harness.connect();
    (0..16).for_each(|id| {
        harness
            .driver
            .queues
            .calls
            .try_send(CallCommand::Abandon { id: attempt_id(id) })
            .expect("room in the queue")
    });
    harness.send(client, dispatch(1, 1, "single", &[], b""));
    harness.request_call(1);
    assert_eq!(harness.responses(client), []);
    (0..16).for_each(|_| drop(harness.calls.try_recv()));
    harness.advance(1000.0);
    assert!(matches!(harness.calls.try_recv(), Ok(CallCommand::Place { .. })));
}

#[test]
fn only_idempotent_unacknowledged_launches_are_written_again() {
    let mut harness = Harness::new();
    let client = harness.connect();
    for (seqid, class) in [(1, "plain"), (2, "plain"), (3, "single"), (4, "plain")] {
        if seqid == 2 {
            // An answered sample confirms all commands written before it.
            harness.driver.start_periodic_measurement();
            let sample = harness.commands().pop().expect("a sample");
            let tag = sample.strip_prefix("sample ").expect("a sample").parse().expect("a tag");
            harness.send_agent_event(AgentEvent::Sampled { tag, gauges: vec![0.1, 0.0] });
        }
        harness.send(client, dispatch(seqid, seqid as u64, class, &[], b""));
    }
    harness.request_call(4);
    harness.send_agent_event(AgentEvent::Down { all_commands_read: false });
    harness.link_up();
    assert_eq!(harness.commands(), ["launch 0000000000000002 plain 0"]);
}

#[test]
fn requests_without_an_agent_link_are_answered_by_their_deadline() {
    let mut harness = Harness::new();
    let client = harness.connect();
    harness.send_agent_event(AgentEvent::Down { all_commands_read: false });
    harness.send(client, dispatch(1, 1, "plain", &[], b""));
    harness.send(client, dispatch(2, 2, "single", &[("d", "500")], b""));
    harness.advance(600.0);
    let responses = harness.responses(client);
    assert!(responses.len() == 1 && responses != [Response::Rejected(1)], "{responses:?}");
    harness.link_up();
    assert_eq!(harness.commands(), ["launch 0000000000000001 plain 0"]);
    assert_eq!(harness.driver.requests.len(), 1);
}

#[test]
fn possibly_lost_reply_is_delivered_again_only_to_a_waiting_run() {
    let mut harness = Harness::new();
    let client = harness.connect();
    for id in 1..=4 {
        let class = if id == 4 { "single" } else { "plain" };
        harness.send(client, dispatch(id as i32, id, class, &[], b""));
        harness.request_call(id);
        harness.end_call(id, CallOutcome::Completed);
    }
    (0..4).for_each(|_| drop(harness.calls.try_recv()));
    harness.send_agent_event(AgentEvent::Down { all_commands_read: false });
    harness.link_up();
    harness.commands();
    // Request 4 is left alone, because its call must not be repeated.
    let placed = std::iter::from_fn(|| harness.calls.try_recv().ok()).collect::<Vec<_>>();
    let numbers: Vec<(AttemptId, u64)> = placed
        .iter()
        .map(|command| match command {
            CallCommand::Place { id, number, .. } => (*id, *number),
            CallCommand::Abandon { id } => (*id, 0),
        })
        .collect();
    assert_eq!(numbers.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [1, 2, 3].map(attempt_id));
    let end_call = |harness: &mut Harness, index: usize, is_awaited| {
        let (id, number) = numbers[index];
        let outcome = if is_awaited { CallOutcome::Completed } else { CallOutcome::NotExecuted };
        let result = CallResult { number, outcome, is_awaited, reply: b"anew".to_vec() };
        harness.driver.handle_event(Event::CallEnded { id, result });
        harness.driver.finish_turn();
    };
    // The first run no longer waits. The second still does, and the third has requested its next call in the
    // meantime.
    end_call(&mut harness, 0, false);
    end_call(&mut harness, 1, true);
    end_call(&mut harness, 2, true);
    let samples = harness.commands();
    assert!(samples.len() == 2 && samples.iter().all(|line| line.starts_with("sample")), "{samples:?}");
    harness.request_call(3);
    let tag = samples[1].strip_prefix("sample ").expect("a sample").parse().expect("a tag");
    harness.send_agent_event(AgentEvent::Sampled { tag, gauges: vec![0.1, 0.0] });
    assert_eq!(harness.commands(), ["deliver 0000000000000002 4"]);
}

#[test]
fn rejected_launch_closes_the_connection_of_its_request() {
    let mut harness = Harness::new();
    let (client, other) = (harness.connect(), harness.connect());
    harness.send(client, dispatch(1, 1, "plain", &[], b""));
    harness.send(other, dispatch(1, 2, "plain", &[], b""));
    harness.send(other, dispatch(2, 1, "plain", &[], b"other"));
    let argument = attempt_id(1).to_vec();
    harness.send_agent_event(AgentEvent::CommandRejected { command: "launch".into(), argument });
    assert_eq!(harness.responses(client), [Response::Failed(1), Response::Closing]);
    assert!(!harness.driver.connections.contains_key(&client));
    harness.end_run(2, RunResult::Succeeded, b"x");
    assert_eq!(harness.responses(other), [Response::Exception(2), Response::Succeeded(1, b"x".to_vec())]);
}

#[test]
fn unused_connections_are_evicted_before_used_ones() {
    let mut harness = Harness::with(Limits { eviction_threshold: 4, ..Limits::new(64.0, 256) });
    let (used, idle) = (harness.connect(), harness.connect());
    let (unused, recent) = (harness.connect(), harness.connect());
    harness.send(used, alive(1));
    harness.send(idle, alive(1));
    let mut age = |connection, by_ms| {
        harness.driver.connections.get_mut(&connection).expect("the connection is open").idle_since_ms -=
            by_ms;
    };
    age(idle, 9000.0);
    age(unused, 300.0);
    // The first connection above the threshold evicts the unused one. A connection that was just made may still send
    // a message.
    let newest = harness.connect();
    let open = |harness: &Harness| harness.driver.connections.keys().copied().collect::<Vec<_>>();
    assert_eq!(open(&harness), [used, idle, recent, newest]);
    // At the limit all unused connections are evicted, then the one that has been idle longest.
    for connection in [recent, newest] {
        harness.driver.connections.get_mut(&connection).expect("the connection is open").idle_since_ms -=
            50.0;
    }
    harness.driver.handle_event(Event::ConnectionsExhausted { reason: "none left".into(), open: 0 });
    assert_eq!(open(&harness), [used]);
}

#[test]
fn reply_received_without_a_link_is_delivered_on_the_next_link() {
    let mut harness = Harness::new();
    let client = harness.connect();
    harness.send(client, dispatch(1, 1, "plain", &[], b""));
    harness.request_call(1);
    harness.send_agent_event(AgentEvent::Down { all_commands_read: false });
    harness.end_call(1, CallOutcome::Completed);
    harness.link_up();
    assert_eq!(harness.commands(), ["deliver 0000000000000001 4"]);
}

#[test]
fn periodic_measurement_continues_without_gauges() {
    let mut harness = Harness::new();
    harness.advance(1000.0);
    // Each measurement schedules the next one, which again writes a sample.
    assert!(harness.commands().len() > 5);
}

#[test]
fn slowest_reader_is_closed_at_the_total_output_limit() {
    let mut harness = Harness::with(Limits { max_unwritten_bytes: 5000, ..Limits::new(64.0, 256) });
    let (slow, other) = (harness.connect(), harness.connect());
    for (id, client) in [(1, slow), (2, slow), (3, other)] {
        harness.send(client, dispatch(1, id, "plain", &[], b""));
        harness.end_run(id, RunResult::Succeeded, &[7; 2000]);
    }
    assert_eq!(harness.responses(other), [Response::Succeeded(1, vec![7; 2000])]);
    assert!(!harness.driver.connections.contains_key(&slow));
}

#[test]
fn client_that_does_not_read_is_closed_at_its_own_output_limit() {
    let mut harness =
        Harness::with(Limits { max_unwritten_bytes_per_connection: 2000, ..Limits::new(64.0, 256) });
    let client = harness.connect();
    for seqid in 1..=80 {
        harness.send(client, cancel(seqid));
        harness.send(client, alive(seqid));
    }
    assert!(harness.driver.connections.is_empty());
    assert_eq!(harness.unwritten.get(), 0);
}

#[test]
fn idle_connections_are_evicted_and_closed_after_their_timeout() {
    let mut harness = Harness::new();
    let (first, second, busy) = (harness.connect(), harness.connect(), harness.connect());
    harness.driver.connections.values_mut().for_each(|client| client.has_sent_message = true);
    harness.send(busy, dispatch(1, 1, "plain", &[], b""));
    harness.driver.connections.get_mut(&second).expect("the connection is open").idle_since_ms -= 1.0;
    harness.driver.handle_event(Event::ConnectionsExhausted { reason: "none left".into(), open: 0 });
    assert!(!harness.driver.connections.contains_key(&second) && harness.peers[second as usize].is_closed());
    harness.driver.now_ms += harness.driver.idle_timeout_ms;
    harness.driver.close_idle();
    assert_eq!((harness.responses(first), harness.responses(busy)), (vec![Response::Closing], vec![]));
    harness.driver.now_ms += harness.driver.limits.closing_timeout_ms;
    harness.driver.close_idle();
    assert_eq!(harness.driver.connections.len(), 1);
}

#[test]
fn malformed_frame_closes_the_connection_after_its_open_answers() {
    let mut harness = Harness::new();
    let client = harness.connect();
    harness.send(client, dispatch(1, 1, "plain", &[], b""));
    harness.send(client, b"GET / HTTP/1.1".to_vec());
    harness.send(client, dispatch(2, 2, "plain", &[], b""));
    harness.end_run(1, RunResult::Succeeded, b"x");
    assert_eq!(harness.responses(client), [Response::Closing, Response::Succeeded(1, b"x".to_vec())]);
    assert!(harness.driver.connections.is_empty());
}

#[test]
fn drain_rejects_late_requests_and_answers_all_before_the_stop() {
    let mut harness = Harness::new();
    let (listening, accepts) = async_channel::bounded(1);
    harness.driver.listener = ListenerState::Open { _until_dropped: listening };
    let client = harness.connect();
    harness.send(client, dispatch(1, 1, "plain", &[], b""));
    harness.driver.handle_drain_notice(harness.driver.now_ms);
    assert!(!accepts.is_closed());
    assert!(harness.driver.draining.get());
    assert_eq!(harness.responses(client), []);
    harness.advance(200.0);
    assert_eq!(harness.responses(client), [Response::Closing]);
    harness.advance(200.0);
    assert!(accepts.is_closed());
    harness.driver.handle_event(Event::ListenerClosed);
    harness.commands();
    let sent_ms = (harness.driver.now_ms as u64).to_string();
    harness.driver.handle_event(Event::Frame {
        connection: client,
        frame: dispatch(2, 2, "plain", &[("s", &sent_ms)], b""),
    });
    assert_eq!(harness.responses(client), [Response::Rejected(2)]);
    assert!(!harness.commands().iter().any(|line| line.starts_with("launch")));
    assert!(!harness.driver.is_over);
    harness.advance(2570.0);
    assert_eq!(harness.responses(client), [Response::Rejected(1)]);
    harness.driver.handle_event(Event::Disconnected { connection: client, error: None });
    harness.driver.finish_turn();
    assert!(harness.driver.is_over);
}

#[test]
fn drain_before_the_agent_is_up_accepts_no_requests() {
    let mut harness = Harness::new();
    harness.driver.backend = None;
    harness.driver.handle_drain_notice(harness.driver.now_ms);
    harness.link_up();
    let client = harness.connect();
    harness.send(client, dispatch(1, 1, "plain", &[], b""));
    assert_eq!((harness.responses(client), harness.commands().len()), (vec![Response::Exception(1)], 0));
    harness.driver.handle_event(Event::Disconnected { connection: client, error: None });
    harness.advance(400.0);
    assert!(harness.driver.is_over);
}

#[test]
fn reads_share_a_result_only_within_the_configured_age() {
    let mut harness = Harness::new();
    harness.driver.startup.config.shared_response_ms = 1000.0;
    let key = DeduplicationKey::Read(0, 9);
    harness.driver.deduplication.insert(key.clone(), 1, 0, 10_000.0);
    let known = |harness: &Harness, arrived_ms| {
        let lookup = Lookup { body_hash: 0, arrived_ms, is_keyed: false, max_age_ms: 1000.0 };
        harness.driver.deduplication.lookup(&key, lookup)
    };
    assert_eq!(known(&harness, 0.0), LookupResult::DuplicateOf(1));
    harness.driver.deduplication.handle_run_started(&key, 1);
    harness.driver.deduplication.handle_end(&key, 1, Some(b"x"), 100.0);
    assert_eq!(
        (known(&harness, 1100.0), known(&harness, 1101.0)),
        (LookupResult::DuplicateOf(1), LookupResult::NoRecord)
    );
}

/// Guards against a leak of results: a client that knows a key in use sends it with another body, under an id that
/// the agent does not know, and would get the result of a run that it had no part in. This happened in production.
#[test]
fn key_with_another_body_never_gets_the_recorded_result() {
    let mut harness = Harness::new();
    let (client, other) = (harness.connect(), harness.connect());
    let key = [("k", "t")];
    harness.send(client, dispatch(1, 1, "marked", &key, b"pay 5"));
    harness.send(other, dispatch(1, 2, "marked", &key, b"pay 500"));
    assert_eq!(harness.responses(other), [Response::Exception(1)]);
    harness.end_run(1, RunResult::Succeeded, b"paid 5");
    harness.send(other, dispatch(2, 3, "marked", &key, b"pay 500"));
    harness.send(other, dispatch(3, 4, "marked", &key, b"pay 5"));
    assert_eq!(
        harness.responses(other),
        [Response::Exception(2), Response::Succeeded(3, b"paid 5".to_vec())]
    );
    assert_eq!(harness.responses(client), [Response::Succeeded(1, b"paid 5".to_vec())]);
    assert_eq!(harness.commands().len(), 1);
}

/// While neither request has run it is unknown which of the two is faulty, so the later one may be retried elsewhere.
#[test]
fn key_with_another_body_is_rejected_while_its_holder_has_not_run() {
    let mut harness = Harness::new();
    let client = harness.connect();
    let key = DeduplicationKey::Idempotency(2, "t".into());
    harness.driver.deduplication.insert(key, 77, body_hash(b"one"), f64::MAX);
    harness.send(client, dispatch(1, 1, "marked", &[("k", "t")], b"two"));
    assert_eq!((harness.responses(client), harness.commands().len()), (vec![Response::Rejected(1)], 0));
}

#[test]
fn read_with_another_body_runs_separately() {
    let mut harness = Harness::new();
    (harness.driver.startup.config.shared_response_ms, harness.driver.backend) = (1000.0, None);
    harness.link_up();
    let client = harness.connect();
    harness.send(client, dispatch(1, 1, "plain", &[("o", "9")], b"one"));
    harness.send(client, dispatch(2, 2, "plain", &[("o", "9")], b"two"));
    harness.send(client, dispatch(3, 3, "plain", &[("o", "9")], b"one"));
    assert_eq!(harness.commands().len(), 2);
}

#[test]
fn keyed_request_is_rejected_when_the_deduplication_table_is_full() {
    let mut harness = Harness::with(Limits { max_deduplication_keys: 1, ..Limits::new(64.0, 256) });
    let client = harness.connect();
    harness.send(client, dispatch(1, 1, "marked", &[("k", "a")], b""));
    harness.send(client, dispatch(2, 2, "marked", &[("k", "b")], b""));
    harness.send(client, dispatch(3, 3, "plain", &[], b""));
    assert_eq!((harness.responses(client), harness.commands().len()), (vec![Response::Rejected(2)], 2));
}

/// The driver handles the notice late, behind a full queue: the grace and the stop time must count from its arrival.
#[test]
fn drain_deadlines_count_from_the_arrival_of_the_notice() {
    let mut harness = Harness::new();
    let (listening, accepts) = async_channel::bounded(1);
    harness.driver.listener = ListenerState::Open { _until_dropped: listening };
    let client = harness.connect();
    harness.send(client, dispatch(1, 1, "plain", &[], b""));
    harness.driver.handle_drain_notice(harness.driver.now_ms - 250.0);
    // The grace of 300 ms ends 50 ms from now; later requests are not run.
    harness.advance(60.0);
    assert!(accepts.is_closed());
    harness.commands();
    let sent_ms = (harness.driver.now_ms as u64).to_string();
    harness.driver.handle_event(Event::Frame {
        connection: client,
        frame: dispatch(2, 2, "plain", &[("s", &sent_ms)], b""),
    });
    assert_eq!(harness.responses(client), [Response::Closing, Response::Rejected(2)]);
    // All requests are answered 40 ms before the stop, which is 3000 ms after the notice.
    harness.advance(2960.0 - 310.0 + 10.0);
    assert_eq!(harness.responses(client), [Response::Rejected(1)]);
}

/// The drain notice must not wait behind events that are already queued.
#[test]
fn drain_notice_bypasses_queued_events() {
    let mut harness = Harness::new();
    let (events, inbox) = async_channel::bounded(600);
    let (notice_sender, notice) = async_channel::bounded(1);
    (harness.driver.queues.inbox, harness.driver.queues.notice) = (inbox, notice);
    (0..600).for_each(|_| events.try_send(Event::PeerError("a fault".into())).expect("room in the queue"));
    notice_sender.try_send(harness.driver.now_ms - 10_000.0).expect("room in the queue");
    async_io::block_on(harness.driver.run());
    // The stop time has long passed, so none of the queued events is handled.
    assert!(harness.driver.is_over && events.len() >= 599);
}

/// A request of the connection that was chosen for eviction has been read, but waits for the queue.
#[test]
fn connection_with_a_queued_frame_is_not_evicted() {
    let mut harness = Harness::new();
    let (first, second) = (harness.connect(), harness.connect());
    harness.driver.connections.values_mut().for_each(|client| client.has_sent_message = true);
    harness.driver.connections.get_mut(&first).expect("the connection is open").idle_since_ms -= 5000.0;
    harness.connection_states[first as usize].frame_queued();
    harness.driver.handle_event(Event::ConnectionsExhausted { reason: "none left".into(), open: 4 });
    assert!(
        harness.driver.connections.contains_key(&first) && !harness.driver.connections.contains_key(&second)
    );
    // A connection whose closing was announced is not closed either while a frame is queued.
    harness.driver.announce_closing(first);
    harness.driver.now_ms += harness.driver.limits.closing_timeout_ms;
    harness.driver.close_idle();
    assert!(harness.driver.connections.contains_key(&first));
    harness.send(first, dispatch(1, 1, "plain", &[], b""));
    harness.end_run(1, RunResult::Succeeded, b"x");
    assert_eq!(harness.responses(first), [Response::Closing, Response::Succeeded(1, b"x".to_vec())]);
}

/// A frame that is taken from the queue after its connection was closed must not run, as it could not be answered.
#[test]
fn frame_of_an_evicted_connection_is_ignored() {
    let mut harness = Harness::new();
    let client = harness.connect();
    harness.driver.connections.get_mut(&client).expect("the connection is open").has_sent_message = true;
    harness.driver.handle_event(Event::ConnectionsExhausted { reason: "none left".into(), open: 3 });
    harness.send(client, dispatch(1, 1, "plain", &[], b""));
    assert_eq!((harness.commands(), harness.driver.requests.len()), (vec![], 0));
}

/// While enough connections are ending, no further used ones may be evicted.
#[test]
fn ending_connections_count_towards_eviction() {
    let mut harness = Harness::new();
    let client = harness.connect();
    harness.driver.connections.get_mut(&client).expect("the connection is open").has_sent_message = true;
    let open = harness.driver.limits.max_ending_connections + 2;
    harness.driver.handle_event(Event::ConnectionsExhausted { reason: "none left".into(), open });
    assert!(harness.driver.connections.contains_key(&client));
}

/// The agent has dropped some of the missed notices. The driver must not wait for the ends of those runs: they would
/// occupy the cores forever, and their clients would wait until the deadline.
#[test]
fn runs_with_missed_notices_are_launched_again_or_failed() {
    let mut harness = Harness::new();
    let client = harness.connect();
    harness.send(client, dispatch(1, 1, "plain", &[], b""));
    harness.send(client, dispatch(2, 2, "single", &[], b""));
    harness.send(client, dispatch(3, 3, "marked", &[("k", "t")], b""));
    harness.send(client, dispatch(4, 4, "plain", &[], b""));
    harness.send(client, cancel(4));
    harness.send_agent_event(AgentEvent::Sampled { tag: 100, gauges: vec![] });
    harness.commands();
    harness.send_agent_event(AgentEvent::Down { all_commands_read: true });
    harness.link_up_with(true);
    assert_eq!(harness.commands(), ["launch 0000000000000001 plain 0"]);
    assert_eq!(harness.responses(client), [Response::Failed(2), Response::Failed(3)]);
    assert_eq!(harness.driver.requests.len(), 1);
    // The failed request is not run again for its duplicate.
    harness.send(client, dispatch(5, 5, "marked", &[("k", "t")], b""));
    assert_eq!((harness.responses(client), harness.commands().len()), (vec![Response::Failed(5)], 0));
}

/// The writer has aborted the connection, and the driver has not handled its end yet: a frame that is still queued
/// must not run.
#[test]
fn frame_on_an_aborted_connection_is_ignored() {
    let mut harness = Harness::new();
    let client = harness.connect();
    harness.connection_states[client as usize].handle(PhaseEvent::Abort);
    harness.send(client, dispatch(1, 1, "plain", &[], b""));
    assert_eq!((harness.commands(), harness.driver.requests.len()), (vec![], 0));
}

/// Tenants that the settings don't list are ignored, and tenants that a snapshot lacks keep their startup quota.
/// Updates are applied even before the backend has started.
#[test]
fn quota_updates_are_applied_by_tenant_name() {
    let update = |is_snapshot: bool, quotas: &[(&str, Option<f64>)]| {
        let quotas = quotas.iter().map(|(name, quota)| ((*name).into(), *quota)).collect();
        Event::Quotas(crate::config_distribution::QuotaUpdate { is_snapshot, quotas, ..Default::default() })
    };
    let mut harness = Harness::new();
    harness.driver.handle_event(update(true, &[("acme", Some(5.0))]));
    assert_eq!(harness.driver.startup.config.tenant_quotas_per_s, [1000.0], "updates are ignored by default");
    harness.driver.initial_quotas = Some(InitialQuotas::new(&[1000.0]));
    let mut quotas = |event: Event| {
        harness.driver.handle_event(event);
        harness.driver.startup.config.tenant_quotas_per_s.clone()
    };
    assert_eq!(quotas(update(true, &[("acme", Some(5.0)), ("stranger", Some(1.0))])), [5.0]);
    assert_eq!(quotas(update(false, &[("stranger", Some(2.0))])), [5.0]);
    assert_eq!(quotas(update(false, &[("acme", Some(6.0))])), [6.0]);
    assert_eq!(quotas(update(false, &[("acme", None)])), [1000.0]);
    assert_eq!(quotas(update(false, &[("acme", Some(7.0))])), [7.0]);
    assert_eq!(quotas(update(true, &[("stranger", Some(1.0))])), [1000.0]);
}
