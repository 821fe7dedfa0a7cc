use super::*;
use crate::connection_state::{ConnectionState, PhaseEvent};
use crate::deduplication::{body_hash, DeduplicationKey, Known, Lookup};
use crate::event::{AgentEvent, CallResult};
use crate::outbox::{Outbox, UnwrittenBytes};
use plovershelf::api::CallOutcome;
use plovershelf_codec::agent::RunResult;
use plovershelf_testkit::scripted::{alive, cancel, decode_response, dispatch, Response, SETTINGS};

/// A driver with the far ends of its queues, whose agent is up.
struct Stage {
    driver: Driver,
    commands: Receiver<Vec<u8>>,
    calls: Receiver<CallCommand>,
    peers: Vec<Receiver<Vec<u8>>>,
    shared: Vec<Rc<ConnectionState>>,
    unwritten: Rc<Cell<usize>>,
}

impl Stage {
    fn new() -> Self {
        Self::with(Limits::new(64.0, 256))
    }

    fn with(limits: Limits) -> Self {
        let startup = plovershelf_settings::read(SETTINGS, 7).expect("settings");
        let (calls, orders) = async_channel::bounded(16);
        let (inbox, notice) = (async_channel::bounded(1).1, async_channel::bounded(1).1);
        let queues = DriverQueues { inbox, notice, calls };
        let driver = Driver::new(startup, 3000.0, Rc::new(limits), queues, Rc::default(), None);
        let commands = async_channel::bounded(1).1;
        let (peers, shared, unwritten) = (Vec::new(), Vec::new(), Rc::default());
        let mut stage = Stage { driver, commands, calls: orders, peers, shared, unwritten };
        stage.link_up();
        stage
    }

    fn link_up(&mut self) {
        self.link_up_after(false);
    }

    fn link_up_after(&mut self, missed: bool) {
        let (orders, commands) = async_channel::bounded(1000);
        self.commands = commands;
        self.driver.handle_event(Event::Agent(AgentEvent::Up {
            fresh: false,
            up_for_ms: 0.0,
            commands: orders,
            missed_notices: missed,
        }));
        self.driver.finish_turn();
    }

    fn connect(&mut self) -> u64 {
        let connection = self.peers.len() as u64;
        let shared = ConnectionState::new(None, Rc::default());
        let (outbox, frames) =
            Outbox::new(shared.clone(), UnwrittenBytes::beside(self.unwritten.clone()), &self.driver.limits);
        self.shared.push(shared);
        self.driver.handle_event(Event::Connected { connection, outbox });
        self.peers.push(frames);
        connection
    }

    fn send(&mut self, connection: u64, frame: Vec<u8>) {
        self.driver.update_clock();
        self.driver.handle_event(Event::Frame { connection, frame });
        self.driver.finish_turn();
    }

    fn heard(&mut self, connection: u64) -> Vec<Response> {
        let frames = &self.peers[connection as usize];
        std::iter::from_fn(|| frames.try_recv().ok()).map(|frame| decode_response(&frame[4..])).collect()
    }

    fn commands(&mut self) -> Vec<String> {
        let all = std::iter::from_fn(|| self.commands.try_recv().ok());
        all.map(|bytes| String::from_utf8(bytes).expect("text").lines().next().unwrap().into()).collect()
    }

    fn agent(&mut self, said: AgentEvent) {
        self.driver.handle_event(Event::Agent(said));
        self.driver.finish_turn();
    }

    fn run_over(&mut self, id: u64, over: RunResult, result: &[u8]) {
        self.agent(AgentEvent::RunEnded { id: name(id), result: over, body: result.to_vec() });
    }

    fn wants_call(&mut self, id: u64) {
        self.agent(AgentEvent::CallRequested { id: name(id), call: b"ask".to_vec() });
    }

    fn call_over(&mut self, id: u64, end: CallOutcome) {
        let number = self.driver.calls_placed;
        let result = CallResult { number, outcome: end, is_awaited: true, reply: b"told".to_vec() };
        self.driver.handle_event(Event::CallEnded { id: name(id), result });
        self.driver.finish_turn();
    }

    /// Lets the module's own time pass.
    fn pass(&mut self, span_ms: f64) {
        let until = self.driver.now_ms + span_ms;
        while self.driver.now_ms < until {
            self.driver.now_ms = (self.driver.now_ms + 10.0).min(until);
            while self.driver.handle_due_timeout() {
                self.driver.finish_turn();
            }
        }
    }
}

fn name(id: u64) -> AttemptId {
    format!("{id:016x}").into_bytes().try_into().expect("16 digits")
}

#[test]
fn a_result_reaches_its_caller_unchanged_and_once() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    stage.send(peer, dispatch(1, 5, "plain", &[], b"body"));
    assert_eq!(stage.commands(), ["launch 0000000000000005 plain 4"]);
    stage.run_over(5, RunResult::Succeeded, b"\0result");
    stage.run_over(5, RunResult::Succeeded, b"again");
    assert_eq!(stage.heard(peer), [Response::Succeeded(1, b"\0result".to_vec())]);
    assert!(
        stage.driver.requests.is_empty()
            && stage.driver.request_by_attempt.is_empty()
            && stage.driver.open_bytes == 0
    );
}

#[test]
fn a_failed_run_and_one_that_ends_unasked_are_answered() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    for (seqid, over) in [(1, RunResult::Failed), (2, RunResult::Interrupted), (3, RunResult::NotStarted)] {
        stage.send(peer, dispatch(seqid, seqid as u64, "plain", &[], b""));
        stage.run_over(seqid as u64, over, b"");
        assert_eq!(stage.heard(peer), [Response::Failed(seqid)]);
    }
    assert!(stage.driver.requests.is_empty());
}

#[test]
fn a_cancel_frees_what_was_held_and_one_for_nothing_does_nothing() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    stage.send(peer, dispatch(1, 5, "plain", &[], b""));
    stage.send(peer, cancel(9));
    stage.commands();
    stage.send(peer, cancel(1));
    assert_eq!(stage.commands(), ["freeze 0000000000000005"]);
    stage.run_over(5, RunResult::Interrupted, b"");
    stage.send(peer, cancel(1));
    assert_eq!(stage.heard(peer), []);
    assert!(stage.driver.requests.is_empty());
}

#[test]
fn the_end_of_a_connection_frees_all_that_was_open_on_it() {
    let mut stage = Stage::new();
    let (peer, other) = (stage.connect(), stage.connect());
    stage.send(peer, dispatch(1, 5, "plain", &[], b""));
    stage.send(peer, dispatch(2, 6, "better", &[], b""));
    stage.send(other, dispatch(1, 7, "better", &[], b""));
    stage.driver.handle_event(Event::Disconnected { connection: peer, error: None });
    assert_eq!(stage.commands()[3..], ["freeze 0000000000000005", "freeze 0000000000000006"]);
    stage.run_over(7, RunResult::Succeeded, b"x");
    assert_eq!(stage.heard(other), [Response::Succeeded(1, b"x".to_vec())]);
}

#[test]
fn a_sequence_number_in_use_ends_the_connection_after_the_one_answer() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    stage.send(peer, dispatch(1, 5, "plain", &[], b""));
    stage.send(peer, dispatch(1, 6, "plain", &[], b""));
    assert_eq!(stage.heard(peer), [Response::Closing]);
    stage.run_over(5, RunResult::Succeeded, b"x");
    assert_eq!(stage.heard(peer), [Response::Succeeded(1, b"x".to_vec())]);
    assert!(stage.driver.connections.is_empty() && stage.peers[peer as usize].is_closed());
    assert_eq!(stage.commands().len(), 1);
}

#[test]
fn what_no_offering_or_tenant_stands_for_is_refused_before_the_module_hears_of_it() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    let mut bad = [("t", "nobody"), ("m", ""), ("m", "1e9"), ("s", "0"), ("s", "1e300"), ("p", "NaN")]
        .map(|field| dispatch(1, 1, "plain", &[field], b""))
        .to_vec();
    bad.push(dispatch(1, 1, "unheard", &[], b""));
    bad.push(dispatch(1, 1, "plain", &[], &[0; 3000]));
    for frame in bad {
        let other = stage.connect();
        stage.send(other, frame);
        stage.send(other, dispatch(2, 2, "plain", &[], b""));
        // What no sidecar sends is the last that is read of its connection.
        assert_eq!(stage.heard(other), [Response::Exception(1), Response::Closing]);
        assert!(!stage.driver.connections.contains_key(&other));
    }
    stage.send(peer, dispatch(5, 5, "plain", &[], b""));
    stage.send(peer, dispatch(6, 5, "plain", &[], b""));
    assert_eq!(stage.heard(peer), [Response::Exception(6)]);
    assert_eq!(stage.commands(), ["launch 0000000000000005 plain 0"]);
}

#[test]
fn times_beyond_all_measure_are_bounded() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    let long_ago = (stage.driver.now_ms - 50_000.0).to_string();
    stage.send(peer, dispatch(1, 1, "single", &[("d", "1e300")], b""));
    stage.send(peer, dispatch(2, 2, "plain", &[("d", "0"), ("s", &long_ago)], b""));
    assert_eq!(stage.heard(peer), [Response::Rejected(2)]);
    let last = stage.driver.timeouts.last().expect("a due time").0;
    assert!(f64::from_bits(last) <= stage.driver.now_ms + stage.driver.limits.max_timeout_ms);
    assert!(stage.driver.wait_ms() <= 1000.0);
}

#[test]
fn more_than_a_connection_may_have_open_is_refused() {
    let mut stage = Stage::with(Limits { max_requests_per_connection: 2, ..Limits::new(64.0, 256) });
    let peer = stage.connect();
    (1..=3).for_each(|seqid| stage.send(peer, dispatch(seqid, seqid as u64, "plain", &[], b"")));
    assert_eq!(stage.heard(peer), [Response::Exception(3), Response::Closing]);
    stage.run_over(1, RunResult::Succeeded, b"x");
    assert_eq!(stage.heard(peer), [Response::Succeeded(1, b"x".to_vec())]);
}

#[test]
fn what_memory_does_not_allow_is_dismissed_unread() {
    let mut stage = Stage::with(Limits { max_open_bytes: 3000, ..Limits::new(64.0, 256) });
    let peer = stage.connect();
    (1..=3).for_each(|seqid| stage.send(peer, dispatch(seqid, seqid as u64, "plain", &[], b"")));
    assert_eq!(stage.heard(peer), [Response::Rejected(3)]);
    assert_eq!(stage.commands().len(), 2);
}

#[test]
fn a_repeat_of_a_ticketed_invocation_shares_its_run_and_later_its_result() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    let ticket = [("k", "ticket-1")];
    stage.send(peer, dispatch(1, 1, "marked", &ticket, b""));
    stage.send(peer, dispatch(2, 2, "marked", &ticket, b""));
    stage.run_over(1, RunResult::Succeeded, b"made");
    let both = [1, 2].map(|seqid| Response::Succeeded(seqid, b"made".to_vec()));
    let mut heard = stage.heard(peer);
    heard.sort_by_key(|h| matches!(h, Response::Succeeded(2, _)));
    assert_eq!(heard, both);
    stage.send(peer, dispatch(3, 3, "marked", &ticket, b""));
    assert_eq!(stage.heard(peer), [Response::Succeeded(3, b"made".to_vec())]);
    assert_eq!(stage.commands(), ["launch 0000000000000001 marked 0"]);
    stage.send(peer, dispatch(4, 4, "marked", &[("k", "ticket-2")], b""));
    assert_eq!(stage.commands().len(), 1);
}

#[test]
fn a_ticketed_invocation_that_failed_is_not_run_for_its_repeat() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    stage.send(peer, dispatch(1, 1, "marked", &[("k", "t")], b""));
    stage.run_over(1, RunResult::Failed, b"");
    stage.send(peer, dispatch(2, 2, "marked", &[("k", "t")], b""));
    assert_eq!(stage.heard(peer), [Response::Failed(1), Response::Failed(2)]);
    assert_eq!(stage.commands().len(), 1);
    stage.pass(60_000.0);
    let peer = stage.connect();
    let came = stage.driver.now_ms.to_string();
    stage.send(peer, dispatch(3, 3, "marked", &[("k", "t"), ("s", &came)], b""));
    assert_eq!(stage.commands().iter().filter(|line| line.starts_with("launch")).count(), 1);
}

#[test]
fn a_call_is_delivered_to_its_run_and_placed_anew_when_it_surely_never_ran() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    stage.send(peer, dispatch(1, 1, "single", &[], b""));
    stage.wants_call(1);
    assert!(
        matches!(stage.calls.try_recv(), Ok(CallCommand::Place { id, body, .. }) if id == name(1) && body == b"ask")
    );
    stage.call_over(1, CallOutcome::NotExecuted);
    stage.pass(1000.0);
    assert!(matches!(stage.calls.try_recv(), Ok(CallCommand::Place { .. })));
    stage.commands();
    stage.call_over(1, CallOutcome::Completed);
    assert_eq!(stage.commands(), ["deliver 0000000000000001 4"]);
    assert_eq!(stage.heard(peer), []);
}

#[test]
fn an_exclusive_call_that_perhaps_ran_is_never_placed_anew() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    stage.send(peer, dispatch(1, 1, "single", &[], b""));
    stage.wants_call(1);
    assert!(stage.calls.try_recv().is_ok());
    stage.call_over(1, CallOutcome::Unknown);
    stage.pass(1000.0);
    assert!(stage.calls.try_recv().is_err());
    assert_eq!(stage.heard(peer), [Response::Failed(1)]);
}

#[test]
fn a_call_that_nobody_waits_for_is_given_up() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    stage.send(peer, dispatch(1, 1, "plain", &[], b""));
    stage.wants_call(1);
    assert!(stage.calls.try_recv().is_ok());
    stage.send(peer, cancel(1));
    assert!(matches!(stage.calls.try_recv(), Ok(CallCommand::Abandon { id }) if id == name(1)));
    stage.call_over(1, CallOutcome::Completed);
    assert_eq!(stage.commands().len(), 1);
}

#[test]
fn a_full_queue_to_the_ledger_is_no_call_that_ran() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    (0..16).for_each(|id| {
        stage.driver.queues.calls.try_send(CallCommand::Abandon { id: name(id) }).expect("room")
    });
    stage.send(peer, dispatch(1, 1, "single", &[], b""));
    stage.wants_call(1);
    assert_eq!(stage.heard(peer), []);
    (0..16).for_each(|_| drop(stage.calls.try_recv()));
    stage.pass(1000.0);
    assert!(matches!(stage.calls.try_recv(), Ok(CallCommand::Place { .. })));
}

#[test]
fn launches_in_doubt_are_written_anew_only_where_a_second_run_does_no_harm() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    for (seqid, offering) in [(1, "plain"), (2, "plain"), (3, "single"), (4, "plain")] {
        if seqid == 2 {
            // A sample that was answered proves what was written before it.
            stage.driver.start_periodic_measurement();
            let asked = stage.commands().pop().expect("a sample");
            let tag = asked.strip_prefix("sample ").expect("a sample").parse().expect("a tag");
            stage.agent(AgentEvent::Sampled { tag, gauges: vec![0.1, 0.0] });
        }
        stage.send(peer, dispatch(seqid, seqid as u64, offering, &[], b""));
    }
    stage.wants_call(4);
    stage.agent(AgentEvent::Down { all_commands_read: false });
    stage.link_up();
    assert_eq!(stage.commands(), ["launch 0000000000000002 plain 0"]);
}

#[test]
fn work_goes_on_without_the_agents_link_and_is_answered_in_time() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    stage.agent(AgentEvent::Down { all_commands_read: false });
    stage.send(peer, dispatch(1, 1, "plain", &[], b""));
    stage.send(peer, dispatch(2, 2, "single", &[("d", "500")], b""));
    stage.pass(600.0);
    let heard = stage.heard(peer);
    assert!(heard.len() == 1 && heard != [Response::Rejected(1)], "{heard:?}");
    stage.link_up();
    assert_eq!(stage.commands(), ["launch 0000000000000001 plain 0"]);
    assert_eq!(stage.driver.requests.len(), 1);
}

#[test]
fn a_reply_that_a_broken_link_may_have_lost_is_given_anew_only_to_a_run_that_waits_for_it() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    for id in 1..=4 {
        let offering = if id == 4 { "single" } else { "plain" };
        stage.send(peer, dispatch(id as i32, id, offering, &[], b""));
        stage.wants_call(id);
        stage.call_over(id, CallOutcome::Completed);
    }
    (0..4).for_each(|_| drop(stage.calls.try_recv()));
    stage.agent(AgentEvent::Down { all_commands_read: false });
    stage.link_up();
    stage.commands();
    // The one whose call may not be made twice is left alone.
    let asked = std::iter::from_fn(|| stage.calls.try_recv().ok()).collect::<Vec<_>>();
    let numbers: Vec<(AttemptId, u64)> = asked
        .iter()
        .map(|order| match order {
            CallCommand::Place { id, number, .. } => (*id, *number),
            CallCommand::Abandon { id } => (*id, 0),
        })
        .collect();
    assert_eq!(numbers.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [1, 2, 3].map(name));
    let over = |stage: &mut Stage, place: usize, wanted| {
        let (id, number) = numbers[place];
        let end = if wanted { CallOutcome::Completed } else { CallOutcome::NotExecuted };
        let result = CallResult { number, outcome: end, is_awaited: wanted, reply: b"anew".to_vec() };
        stage.driver.handle_event(Event::CallEnded { id, result });
        stage.driver.finish_turn();
    };
    // The first run does not wait. The second does, and the third has come to its next call meanwhile.
    over(&mut stage, 0, false);
    over(&mut stage, 1, true);
    over(&mut stage, 2, true);
    let samples = stage.commands();
    assert!(samples.len() == 2 && samples.iter().all(|line| line.starts_with("sample")), "{samples:?}");
    stage.wants_call(3);
    let tag = samples[1].strip_prefix("sample ").expect("a sample").parse().expect("a tag");
    stage.agent(AgentEvent::Sampled { tag, gauges: vec![0.1, 0.0] });
    assert_eq!(stage.commands(), ["deliver 0000000000000002 4"]);
}

#[test]
fn what_the_agent_does_not_know_ends_the_connection_it_came_on() {
    let mut stage = Stage::new();
    let (peer, other) = (stage.connect(), stage.connect());
    stage.send(peer, dispatch(1, 1, "plain", &[], b""));
    stage.send(other, dispatch(1, 2, "plain", &[], b""));
    stage.send(other, dispatch(2, 1, "plain", &[], b"other"));
    let about = name(1).to_vec();
    stage.agent(AgentEvent::CommandRejected { command: "launch".into(), about });
    assert_eq!(stage.heard(peer), [Response::Failed(1), Response::Closing]);
    assert!(!stage.driver.connections.contains_key(&peer));
    stage.run_over(2, RunResult::Succeeded, b"x");
    assert_eq!(stage.heard(other), [Response::Exception(2), Response::Succeeded(1, b"x".to_vec())]);
}

#[test]
fn silent_connections_make_room_before_any_that_has_spoken() {
    let mut stage = Stage::with(Limits { crowded_connections: 4, ..Limits::new(64.0, 256) });
    let (spoke, idle) = (stage.connect(), stage.connect());
    let (silent, late) = (stage.connect(), stage.connect());
    stage.send(spoke, alive(1));
    stage.send(idle, alive(1));
    let mut aged = |connection, by_ms| {
        stage.driver.connections.get_mut(&connection).expect("it is open").idle_since_ms -= by_ms;
    };
    aged(idle, 9000.0);
    aged(silent, 300.0);
    // The first that comes above the crowd makes the silent one go; one that was just made may yet speak.
    let newest = stage.connect();
    let open = |stage: &Stage| stage.driver.connections.keys().copied().collect::<Vec<_>>();
    assert_eq!(open(&stage), [spoke, idle, late, newest]);
    // At the cap all silent ones go at once, then the one idle for longest.
    for connection in [late, newest] {
        stage.driver.connections.get_mut(&connection).expect("it is open").idle_since_ms -= 50.0;
    }
    stage.driver.handle_event(Event::Crowded { why: "none left".into(), open: 0 });
    assert_eq!(open(&stage), [spoke]);
}

#[test]
fn a_reply_that_no_link_took_is_delivered_on_the_next() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    stage.send(peer, dispatch(1, 1, "plain", &[], b""));
    stage.wants_call(1);
    stage.agent(AgentEvent::Down { all_commands_read: false });
    stage.call_over(1, CallOutcome::Completed);
    stage.link_up();
    assert_eq!(stage.commands(), ["deliver 0000000000000001 4"]);
}

#[test]
fn a_wake_comes_though_its_gauges_do_not() {
    let mut stage = Stage::new();
    stage.pass(1000.0);
    // Each wake asks for the next, whose sample is written in turn.
    assert!(stage.commands().len() > 5);
}

#[test]
fn the_slowest_reader_goes_when_too_much_waits_to_be_written() {
    let mut stage = Stage::with(Limits { max_unwritten_bytes: 5000, ..Limits::new(64.0, 256) });
    let (slow, other) = (stage.connect(), stage.connect());
    for (id, peer) in [(1, slow), (2, slow), (3, other)] {
        stage.send(peer, dispatch(1, id, "plain", &[], b""));
        stage.run_over(id, RunResult::Succeeded, &[7; 2000]);
    }
    assert_eq!(stage.heard(other), [Response::Succeeded(1, vec![7; 2000])]);
    assert!(!stage.driver.connections.contains_key(&slow));
}

#[test]
fn a_peer_that_reads_nothing_is_bounded_by_itself() {
    let mut stage =
        Stage::with(Limits { max_unwritten_bytes_per_connection: 2000, ..Limits::new(64.0, 256) });
    let peer = stage.connect();
    for seqid in 1..=80 {
        stage.send(peer, cancel(seqid));
        stage.send(peer, alive(seqid));
    }
    assert!(stage.driver.connections.is_empty());
    assert_eq!(stage.unwritten.get(), 0);
}

#[test]
fn idle_connections_are_told_to_close_and_make_room_when_there_is_none() {
    let mut stage = Stage::new();
    let (first, second, busy) = (stage.connect(), stage.connect(), stage.connect());
    stage.driver.connections.values_mut().for_each(|c| c.has_spoken = true);
    stage.send(busy, dispatch(1, 1, "plain", &[], b""));
    stage.driver.connections.get_mut(&second).expect("it is open").idle_since_ms -= 1.0;
    stage.driver.handle_event(Event::Crowded { why: "none left".into(), open: 0 });
    assert!(!stage.driver.connections.contains_key(&second) && stage.peers[second as usize].is_closed());
    stage.driver.now_ms += stage.driver.idle_timeout_ms;
    stage.driver.close_idle();
    assert_eq!((stage.heard(first), stage.heard(busy)), (vec![Response::Closing], vec![]));
    stage.driver.now_ms += stage.driver.limits.closing_timeout_ms;
    stage.driver.close_idle();
    assert_eq!(stage.driver.connections.len(), 1);
}

#[test]
fn garbled_bytes_end_a_connection_after_its_open_answers() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    stage.send(peer, dispatch(1, 1, "plain", &[], b""));
    stage.send(peer, b"GET / HTTP/1.1".to_vec());
    stage.send(peer, dispatch(2, 2, "plain", &[], b""));
    stage.run_over(1, RunResult::Succeeded, b"x");
    assert_eq!(stage.heard(peer), [Response::Closing, Response::Succeeded(1, b"x".to_vec())]);
    assert!(stage.driver.connections.is_empty());
}

#[test]
fn after_the_notice_late_arrivals_are_not_run_and_all_is_answered_before_the_stop() {
    let mut stage = Stage::new();
    let (listening, accepts) = async_channel::bounded(1);
    stage.driver.listener = ListenerState::Open { _until_dropped: listening };
    let peer = stage.connect();
    stage.send(peer, dispatch(1, 1, "plain", &[], b""));
    stage.driver.handle_drain_notice(stage.driver.now_ms);
    assert!(!accepts.is_closed());
    assert!(stage.driver.draining.get());
    assert_eq!(stage.heard(peer), []);
    stage.pass(200.0);
    assert_eq!(stage.heard(peer), [Response::Closing]);
    stage.pass(200.0);
    assert!(accepts.is_closed());
    stage.driver.handle_event(Event::ListenerClosed);
    stage.commands();
    let came = (stage.driver.now_ms as u64).to_string();
    stage.driver.handle_event(Event::Frame {
        connection: peer,
        frame: dispatch(2, 2, "plain", &[("s", &came)], b""),
    });
    assert_eq!(stage.heard(peer), [Response::Rejected(2)]);
    assert!(!stage.commands().iter().any(|line| line.starts_with("launch")));
    assert!(!stage.driver.is_over);
    stage.pass(2570.0);
    assert_eq!(stage.heard(peer), [Response::Rejected(1)]);
    stage.driver.handle_event(Event::Disconnected { connection: peer, error: None });
    stage.driver.finish_turn();
    assert!(stage.driver.is_over);
}

#[test]
fn one_told_to_leave_before_its_agent_is_up_takes_nothing() {
    let mut stage = Stage::new();
    stage.driver.backend = None;
    stage.driver.handle_drain_notice(stage.driver.now_ms);
    stage.link_up();
    let peer = stage.connect();
    stage.send(peer, dispatch(1, 1, "plain", &[], b""));
    assert_eq!((stage.heard(peer), stage.commands().len()), (vec![Response::Exception(1)], 0));
    stage.driver.handle_event(Event::Disconnected { connection: peer, error: None });
    stage.pass(400.0);
    assert!(stage.driver.is_over);
}

#[test]
fn reads_share_an_answer_only_as_long_as_the_settings_say() {
    let mut stage = Stage::new();
    stage.driver.startup.config.shared_response_ms = 1000.0;
    let mark = DeduplicationKey::Read(0, 9);
    stage.driver.deduplication.insert(mark.clone(), 1, 0, 10_000.0);
    let known = |stage: &Stage, came| {
        let lookup = Lookup { body_hash: 0, arrived_ms: came, is_keyed: false, max_age_ms: 1000.0 };
        stage.driver.deduplication.lookup(&mark, lookup)
    };
    assert_eq!(known(&stage, 0.0), Known::DuplicateOf(1));
    stage.driver.deduplication.handle_run_started(&mark, 1);
    stage.driver.deduplication.handle_end(&mark, 1, Some(b"x"), 100.0);
    assert_eq!((known(&stage, 1100.0), known(&stage, 1101.0)), (Known::DuplicateOf(1), Known::Nothing));
}

/// Seen on another customer's deployment: a client that knows a key in use sends it with a body of its own, under an id
/// that the agent does not know, and was given the result of the run that it had no part in.
#[test]
fn a_key_with_another_body_shares_no_result_before_the_run_in_it_or_after() {
    let mut stage = Stage::new();
    let (peer, other) = (stage.connect(), stage.connect());
    let key = [("k", "t")];
    stage.send(peer, dispatch(1, 1, "marked", &key, b"pay 5"));
    stage.send(other, dispatch(1, 2, "marked", &key, b"pay 500"));
    assert_eq!(stage.heard(other), [Response::Exception(1)]);
    stage.run_over(1, RunResult::Succeeded, b"paid 5");
    stage.send(other, dispatch(2, 3, "marked", &key, b"pay 500"));
    stage.send(other, dispatch(3, 4, "marked", &key, b"pay 5"));
    assert_eq!(stage.heard(other), [Response::Exception(2), Response::Succeeded(3, b"paid 5".to_vec())]);
    assert_eq!(stage.heard(peer), [Response::Succeeded(1, b"paid 5".to_vec())]);
    assert_eq!(stage.commands().len(), 1);
}

/// Which of the two is wrong is not known while neither has run, so the one that came later may go elsewhere.
#[test]
fn a_key_with_another_body_whose_holder_has_not_run_is_turned_away_unrun() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    let mark = DeduplicationKey::Idempotency(2, "t".into());
    stage.driver.deduplication.insert(mark, 77, body_hash(b"one"), f64::MAX);
    stage.send(peer, dispatch(1, 1, "marked", &[("k", "t")], b"two"));
    assert_eq!((stage.heard(peer), stage.commands().len()), (vec![Response::Rejected(1)], 0));
}

#[test]
fn a_read_under_another_s_key_runs_by_itself() {
    let mut stage = Stage::new();
    (stage.driver.startup.config.shared_response_ms, stage.driver.backend) = (1000.0, None);
    stage.link_up();
    let peer = stage.connect();
    stage.send(peer, dispatch(1, 1, "plain", &[("o", "9")], b"one"));
    stage.send(peer, dispatch(2, 2, "plain", &[("o", "9")], b"two"));
    stage.send(peer, dispatch(3, 3, "plain", &[("o", "9")], b"one"));
    assert_eq!(stage.commands().len(), 2);
}

#[test]
fn a_keyed_one_is_turned_away_unrun_where_no_more_keys_can_be_remembered() {
    let mut stage = Stage::with(Limits { max_deduplication_keys: 1, ..Limits::new(64.0, 256) });
    let peer = stage.connect();
    stage.send(peer, dispatch(1, 1, "marked", &[("k", "a")], b""));
    stage.send(peer, dispatch(2, 2, "marked", &[("k", "b")], b""));
    stage.send(peer, dispatch(3, 3, "plain", &[], b""));
    assert_eq!((stage.heard(peer), stage.commands().len()), (vec![Response::Rejected(2)], 2));
}

/// The notice is read late, behind a full queue: its grace and its stop count from when it came.
#[test]
fn the_terms_of_the_notice_run_from_when_it_came() {
    let mut stage = Stage::new();
    let (listening, accepts) = async_channel::bounded(1);
    stage.driver.listener = ListenerState::Open { _until_dropped: listening };
    let peer = stage.connect();
    stage.send(peer, dispatch(1, 1, "plain", &[], b""));
    stage.driver.handle_drain_notice(stage.driver.now_ms - 250.0);
    // The grace of 300 ms is over 50 ms from now; what comes then is not run.
    stage.pass(60.0);
    assert!(accepts.is_closed());
    stage.commands();
    let came = (stage.driver.now_ms as u64).to_string();
    stage.driver.handle_event(Event::Frame {
        connection: peer,
        frame: dispatch(2, 2, "plain", &[("s", &came)], b""),
    });
    assert_eq!(stage.heard(peer), [Response::Closing, Response::Rejected(2)]);
    // All is answered 40 ms before the stop, which is 3000 ms after the notice.
    stage.pass(2960.0 - 310.0 + 10.0);
    assert_eq!(stage.heard(peer), [Response::Rejected(1)]);
}

/// The notice overtakes what waits in the queue.
#[test]
fn the_notice_is_heard_before_the_events_that_wait() {
    let mut stage = Stage::new();
    let (events, inbox) = async_channel::bounded(600);
    let (give, notice) = async_channel::bounded(1);
    (stage.driver.queues.inbox, stage.driver.queues.notice) = (inbox, notice);
    (0..600).for_each(|_| events.try_send(Event::PeerError("a flood".into())).expect("a place"));
    give.try_send(stage.driver.now_ms - 10_000.0).expect("a place");
    async_io::block_on(stage.driver.run());
    // The stop is long past, so none of the flood was taken.
    assert!(stage.driver.is_over && events.len() >= 599);
}

/// A request of the connection that was chosen to make room has been read, but waits for the queue.
#[test]
fn a_connection_with_a_frame_on_its_way_does_not_make_room() {
    let mut stage = Stage::new();
    let (first, second) = (stage.connect(), stage.connect());
    stage.driver.connections.values_mut().for_each(|c| c.has_spoken = true);
    stage.driver.connections.get_mut(&first).expect("it is open").idle_since_ms -= 5000.0;
    stage.shared[first as usize].frame_queued();
    stage.driver.handle_event(Event::Crowded { why: "none left".into(), open: 4 });
    assert!(stage.driver.connections.contains_key(&first) && !stage.driver.connections.contains_key(&second));
    // Nor does it end as one that was told to close and rests.
    stage.driver.announce_closing(first);
    stage.driver.now_ms += stage.driver.limits.closing_timeout_ms;
    stage.driver.close_idle();
    assert!(stage.driver.connections.contains_key(&first));
    stage.send(first, dispatch(1, 1, "plain", &[], b""));
    stage.run_over(1, RunResult::Succeeded, b"x");
    assert_eq!(stage.heard(first), [Response::Closing, Response::Succeeded(1, b"x".to_vec())]);
}

/// A frame that is taken from the queue after its connection was ended is not sent on: it could not be answered.
#[test]
fn a_frame_that_comes_behind_the_end_of_its_connection_runs_nothing() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    stage.driver.connections.get_mut(&peer).expect("it is open").has_spoken = true;
    stage.driver.handle_event(Event::Crowded { why: "none left".into(), open: 3 });
    stage.send(peer, dispatch(1, 1, "plain", &[], b""));
    assert_eq!((stage.commands(), stage.driver.requests.len()), (vec![], 0));
}

/// While enough connections are ending, no further ones that have spoken go for the same room.
#[test]
fn what_is_ending_already_counts_as_room() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    stage.driver.connections.get_mut(&peer).expect("it is open").has_spoken = true;
    let open = stage.driver.limits.max_ending_connections + 2;
    stage.driver.handle_event(Event::Crowded { why: "none left".into(), open });
    assert!(stage.driver.connections.contains_key(&peer));
}

/// More notices were missed than the agent keeps: without this, runs that ended meanwhile would stand on the cores for good,
/// and their callers would wait until their time is over.
#[test]
fn runs_whose_ends_the_agent_forgot_are_launched_anew_or_given_up() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    stage.send(peer, dispatch(1, 1, "plain", &[], b""));
    stage.send(peer, dispatch(2, 2, "single", &[], b""));
    stage.send(peer, dispatch(3, 3, "marked", &[("k", "t")], b""));
    stage.send(peer, dispatch(4, 4, "plain", &[], b""));
    stage.send(peer, cancel(4));
    stage.agent(AgentEvent::Sampled { tag: 100, gauges: vec![] });
    stage.commands();
    stage.agent(AgentEvent::Down { all_commands_read: true });
    stage.link_up_after(true);
    assert_eq!(stage.commands(), ["launch 0000000000000001 plain 0"]);
    assert_eq!(stage.heard(peer), [Response::Failed(2), Response::Failed(3)]);
    assert_eq!(stage.driver.requests.len(), 1);
    // The one that failed is not run for its repeat.
    stage.send(peer, dispatch(5, 5, "marked", &[("k", "t")], b""));
    assert_eq!((stage.heard(peer), stage.commands().len()), (vec![Response::Failed(5)], 0));
}

/// The writer has given its peer up, which the driver has not heard yet: a frame before that word is not sent on.
#[test]
fn a_frame_on_a_connection_that_was_given_up_runs_nothing() {
    let mut stage = Stage::new();
    let peer = stage.connect();
    stage.shared[peer as usize].handle(PhaseEvent::Abort);
    stage.send(peer, dispatch(1, 1, "plain", &[], b""));
    assert_eq!((stage.commands(), stage.driver.requests.len()), (vec![], 0));
}

/// A tenant that the settings do not name is left, one that the content lacks keeps what the settings say; all this also while
/// no module runs yet.
#[test]
fn quotas_that_come_into_force_reach_the_module_by_the_tenants_places() {
    let told = |is_snapshot: bool, quotas: &[(&str, Option<f64>)]| {
        let quotas = quotas.iter().map(|(name, quota)| ((*name).into(), *quota)).collect();
        Event::Quotas(crate::config_distribution::QuotaUpdate { is_snapshot, quotas, ..Default::default() })
    };
    let mut stage = Stage::new();
    stage.driver.handle_event(told(true, &[("acme", Some(5.0))]));
    assert_eq!(stage.driver.startup.config.tenant_quotas_per_s, [1000.0], "off by default");
    stage.driver.initial_quotas = Some(InitialQuotas::new(&[1000.0]));
    let mut quotas = |event: Event| {
        stage.driver.handle_event(event);
        stage.driver.startup.config.tenant_quotas_per_s.clone()
    };
    assert_eq!(quotas(told(true, &[("acme", Some(5.0)), ("stranger", Some(1.0))])), [5.0]);
    assert_eq!(quotas(told(false, &[("stranger", Some(2.0))])), [5.0]);
    assert_eq!(quotas(told(false, &[("acme", Some(6.0))])), [6.0]);
    assert_eq!(quotas(told(false, &[("acme", None)])), [1000.0]);
    assert_eq!(quotas(told(false, &[("acme", Some(7.0))])), [7.0]);
    assert_eq!(quotas(told(true, &[("stranger", Some(1.0))])), [1000.0]);
}
