//! Compares the bytes of every message of every protocol with fixtures. The fixtures must never change,
//! because peers of other versions exchange these bytes. All fields of a value differ, so that swapped fields
//! are detected.
//!
//! `cargo test -p plovershelf-codec --test pins -- --ignored write_missing_fixtures` writes the fixtures that
//! do not exist. It never overwrites one.

use std::collections::BTreeMap;
use std::path::PathBuf;

use plovershelf_codec::agent::{self, Notice, RunResult};
use plovershelf_codec::dependency::{self, Reply};
use plovershelf_codec::front::client::{self, Attempt, Response};
use plovershelf_codec::front::{self, ExceptionKind, Message, Request, ServerSignals};
use plovershelf_codec::{registry, AttemptId};

const ID: AttemptId = *b"9b1f03aa5c7e2d41";
const OTHER_ID: AttemptId = *b"00d4e5f6a7b8c9f3";
const MAX_BODY: usize = 64;
const MAX_FRAME: usize = 8 << 10;

/// Name and bytes of a message.
type NamedMessage = (&'static str, Vec<u8>);

fn fixture(protocol: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/fixtures/{protocol}.txt"))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    assert_eq!(text.len() % 2, 0, "odd number of digits in {text}");
    let digits = |index: usize| &text[index..index + 2];
    (0..text.len()).step_by(2).map(|index| u8::from_str_radix(digits(index), 16).expect("hex")).collect()
}

/// Returns the messages of the fixture by name.
fn pinned(protocol: &str) -> BTreeMap<String, Vec<u8>> {
    let text = std::fs::read_to_string(fixture(protocol)).expect("the fixture exists");
    let line = |line: &str| {
        let (name, bytes) = line.split_once(' ').expect("a name and bytes");
        (name.to_string(), unhex(bytes))
    };
    text.lines().map(line).collect()
}

/// Asserts that every message has its bytes in the fixture, and that the fixture has no other message.
fn assert_matches_fixture(protocol: &str, encoded: &[NamedMessage]) {
    let pinned = pinned(protocol);
    for (name, bytes) in encoded {
        assert_eq!(pinned.get(*name).map(|bytes| hex(bytes)), Some(hex(bytes)), "{protocol}: {name}");
    }
    assert_eq!(pinned.len(), encoded.len(), "{protocol}: the fixture has messages that are not encoded");
}

// ---- messages of clients ----------------------------------------------------------------------------------

fn full_attempt() -> Attempt<'static> {
    Attempt {
        class: "checkout",
        id: ID,
        sent_ms: 1_764_576_000_123,
        caller: 41,
        tenant: "acme",
        timeout_ms: Some(479.9),
        memory_kb: 24.5,
        rank: 0.625,
        object: Some(0x7f3a_9c21_e0b4_d655),
        idempotency_key: Some("order-17"),
        work_hint_ms: Some(12.5),
        marked_retry: true,
        body: b"\0body\r\n\xff",
    }
}

fn minimal_attempt() -> Attempt<'static> {
    Attempt {
        class: "quote",
        id: OTHER_ID,
        sent_ms: 1_764_576_000_456,
        caller: 7,
        tenant: "north",
        timeout_ms: None,
        memory_kb: 3.0,
        rank: 0.25,
        object: None,
        idempotency_key: None,
        work_hint_ms: None,
        marked_retry: false,
        body: b"",
    }
}

fn client_frames() -> Vec<NamedMessage> {
    vec![
        ("dispatch_full", client::dispatch(7, &full_attempt())),
        ("dispatch_plain", client::dispatch(8, &minimal_attempt())),
        ("cancel", client::cancel(9)),
        ("alive", client::alive(10)),
    ]
}

// ---- messages of backends ---------------------------------------------------------------------------------

const ALL_SIGNALS: ServerSignals =
    ServerSignals { backpressure: Some(0.625), retry_after_ms: Some(120.0), no_retry_elsewhere: true };
const NO_SIGNALS: ServerSignals =
    ServerSignals { backpressure: None, retry_after_ms: None, no_retry_elsewhere: false };
const BACKPRESSURE_ALONE: ServerSignals =
    ServerSignals { backpressure: Some(2.5), retry_after_ms: None, no_retry_elsewhere: false };
const RETRY_AFTER_ALONE: ServerSignals =
    ServerSignals { backpressure: None, retry_after_ms: Some(13.0), no_retry_elsewhere: false };
const NO_RETRY_ALONE: ServerSignals =
    ServerSignals { backpressure: None, retry_after_ms: None, no_retry_elsewhere: true };

fn backend_frames() -> Vec<NamedMessage> {
    let exception =
        |seqid, kind: ExceptionKind, message: &str| front::exception(seqid, "dispatch", kind, message);
    vec![
        ("succeeded", front::succeeded(21, b"\0result\xff", &ALL_SIGNALS)),
        ("succeeded_no_words", front::succeeded(22, b"", &NO_SIGNALS)),
        ("dismissed", front::rejected(23, &ALL_SIGNALS)),
        ("dismissed_advice", front::rejected(24, &BACKPRESSURE_ALONE)),
        ("dismissed_cool_down", front::rejected(25, &RETRY_AFTER_ALONE)),
        ("dismissed_last", front::rejected(26, &NO_RETRY_ALONE)),
        ("scrapped", front::failed(27, &ALL_SIGNALS)),
        ("scrapped_no_words", front::failed(28, &NO_SIGNALS)),
        ("health_fit", front::health(29, true, &BACKPRESSURE_ALONE)),
        ("health_unfit", front::health(30, false, &NO_SIGNALS)),
        ("exception_unknown_method", exception(31, ExceptionKind::UnknownMethod, "no such method")),
        ("exception_wrong_type", exception(32, ExceptionKind::WrongType, "this is no oneway message")),
        ("exception_internal", exception(33, ExceptionKind::Internal, "later")),
        ("exception_protocol", front::exception(34, "alive", ExceptionKind::Protocol, "no body is there")),
        ("closing", front::closing()),
    ]
}

fn frames() -> Vec<NamedMessage> {
    [client_frames(), backend_frames()].concat()
}

#[test]
fn frames_match_the_fixture() {
    assert_matches_fixture("front", &frames());
}

#[test]
fn pinned_frames_of_clients_decode_to_their_values() {
    let pinned = pinned("front");
    let full = Request {
        class: "checkout",
        id: ID,
        sent_ms: 1_764_576_000_123.0,
        tenant: "acme",
        timeout_ms: Some(479.0),
        memory_kb: 24.5,
        object: 0x7f3a_9c21_e0b4_d655,
        idempotency_key: Some("order-17"),
        work_hint_ms: Some(12.5),
        marked_retry: true,
        body: b"\0body\r\n\xff",
    };
    let minimal = Request {
        class: "quote",
        id: OTHER_ID,
        sent_ms: 1_764_576_000_456.0,
        tenant: "north",
        timeout_ms: None,
        memory_kb: 3.0,
        object: 0,
        idempotency_key: None,
        work_hint_ms: None,
        marked_retry: false,
        body: b"",
    };
    let expected = [
        ("dispatch_full", Message::Dispatch { seqid: 7, request: full }),
        ("dispatch_plain", Message::Dispatch { seqid: 8, request: minimal }),
        ("cancel", Message::Cancel { seqid: 9 }),
        ("alive", Message::Alive { seqid: 10 }),
    ];
    for (name, value) in &expected {
        let bytes = &pinned[*name];
        assert_eq!(front::frame_length(bytes, MAX_FRAME), Ok(Some(bytes.len() - 4)), "{name}");
        assert_eq!(front::decode(&bytes[4..]).as_ref(), Ok(value), "{name}");
    }
    assert_eq!(expected.len(), client_frames().len());
}

#[test]
fn pinned_frames_of_backends_decode_to_their_values() {
    let pinned = pinned("front");
    let exception = |seqid, permanent, message: &'static str| Response::Exception {
        seqid,
        permanent,
        message: message.as_bytes(),
    };
    let expected = [
        ("succeeded", Response::Succeeded { seqid: 21, result: b"\0result\xff", signals: ALL_SIGNALS }),
        ("succeeded_no_words", Response::Succeeded { seqid: 22, result: b"", signals: NO_SIGNALS }),
        ("dismissed", Response::Rejected { seqid: 23, signals: ALL_SIGNALS }),
        ("dismissed_advice", Response::Rejected { seqid: 24, signals: BACKPRESSURE_ALONE }),
        ("dismissed_cool_down", Response::Rejected { seqid: 25, signals: RETRY_AFTER_ALONE }),
        ("dismissed_last", Response::Rejected { seqid: 26, signals: NO_RETRY_ALONE }),
        ("scrapped", Response::Failed { seqid: 27, signals: ALL_SIGNALS }),
        ("scrapped_no_words", Response::Failed { seqid: 28, signals: NO_SIGNALS }),
        ("health_fit", Response::Health { seqid: 29, ready: true, signals: BACKPRESSURE_ALONE }),
        ("health_unfit", Response::Health { seqid: 30, ready: false, signals: NO_SIGNALS }),
        ("exception_unknown_method", exception(31, true, "no such method")),
        ("exception_wrong_type", exception(32, true, "this is no oneway message")),
        ("exception_internal", exception(33, false, "later")),
        ("exception_protocol", exception(34, true, "no body is there")),
        ("closing", Response::Closing),
    ];
    for (name, value) in &expected {
        let bytes = &pinned[*name];
        assert_eq!(client::decode_first(bytes, MAX_FRAME), Ok(Some((&bytes[4..], bytes.len()))), "{name}");
        assert_eq!(client::decode_response(&bytes[4..]).as_ref(), Ok(value), "{name}");
    }
    assert_eq!(expected.len(), backend_frames().len());
}

// ---- the agent --------------------------------------------------------------------------------------------

fn agent_commands() -> Vec<NamedMessage> {
    vec![
        ("subscribe", agent::subscribe(41)),
        ("launch", agent::launch(&ID, "checkout", b"b\r\n\xff")),
        ("freeze", agent::cancel_run(&ID)),
        ("forgo", agent::skip_call(&OTHER_ID)),
        ("deliver", agent::deliver(&OTHER_ID, b"\0reply")),
        ("sample", agent::sample(7)),
    ]
}

/// Lines that the agent sends; this crate does not encode them.
fn agent_notices() -> Vec<NamedMessage> {
    let lines: [(&str, &[u8]); 11] = [
        ("greeting_booting", b"greeting booting 12\r\n"),
        ("greeting_steady", b"greeting steady 3456.5\r\n"),
        ("outcome_success", b"outcome 7 9b1f03aa5c7e2d41 success 96 5\r\na\r\nbc\r\n"),
        ("outcome_failure", b"outcome 8 00d4e5f6a7b8c9f3 failure 97 1\r\nx\r\n"),
        ("outcome_interrupted", b"outcome 9 9b1f03aa5c7e2d41 interrupted 98 0\r\n\r\n"),
        ("outcome_nothing", b"outcome 10 00d4e5f6a7b8c9f3 nothing 99 0\r\n\r\n"),
        ("request", b"request 11 9b1f03aa5c7e2d41 4\r\ncall\r\n"),
        ("sampled", b"sampled 3 0.5 12 0.25 24\r\n"),
        ("refusal_of_a_run", b"refusal launch 9b1f03aa5c7e2d41\r\n"),
        ("refusal_of_a_sample", b"refusal sample 0\r\n"),
        ("aside", b"aside 12 any words at all\r\n"),
    ];
    lines.map(|(name, line)| (name, line.to_vec())).to_vec()
}

#[test]
fn lines_of_the_agent_match_the_fixture() {
    assert_matches_fixture("agent", &[agent_commands(), agent_notices()].concat());
}

#[test]
fn pinned_notices_of_the_agent_decode_to_their_values() {
    let pinned = pinned("agent");
    let run_ended = |number, id, over, result: &'static [u8]| Notice::RunEnded { number, id, over, result };
    let expected = [
        ("greeting_booting", Notice::Greeting { fresh: true, uptime_ms: 12.0 }),
        ("greeting_steady", Notice::Greeting { fresh: false, uptime_ms: 3456.5 }),
        ("outcome_success", run_ended(7, ID, RunResult::Succeeded, b"a\r\nbc")),
        ("outcome_failure", run_ended(8, OTHER_ID, RunResult::Failed, b"x")),
        ("outcome_interrupted", run_ended(9, ID, RunResult::Interrupted, b"")),
        ("outcome_nothing", run_ended(10, OTHER_ID, RunResult::NotStarted, b"")),
        ("request", Notice::CallRequested { number: 11, id: ID, call: b"call" }),
        ("sampled", Notice::Sampled { tag: b"3", gauges: vec![0.5, 12.0, 0.25, 24.0] }),
        ("refusal_of_a_run", Notice::CommandRejected { command: b"launch", about: &ID }),
        ("refusal_of_a_sample", Notice::CommandRejected { command: b"sample", about: b"0" }),
        ("aside", Notice::Skipped { number: 12 }),
    ];
    for (name, value) in &expected {
        let bytes = &pinned[*name];
        let (notice, used) = agent::decode_first(bytes, MAX_BODY).expect("valid").expect("complete");
        assert_eq!((&notice, used), (value, bytes.len()), "{name}");
    }
    assert_eq!(expected.len(), agent_notices().len());
}

// ---- the shared dependency --------------------------------------------------------------------------------

fn dependency_calls() -> Vec<NamedMessage> {
    vec![
        ("call", dependency::call(&ID, 250.9, b"x\r\n")),
        ("call_at_least_a_millisecond", dependency::call(&OTHER_ID, 0.2, b"")),
        ("give_up", dependency::abandon(&OTHER_ID)),
    ]
}

/// Lines that the dependency sends; this crate does not encode them.
fn dependency_replies() -> Vec<NamedMessage> {
    let lines: [(&str, &[u8]); 5] = [
        ("answer_done", b"9b1f03aa5c7e2d41 DONE 4\r\n\r\n\xff\0\r\n"),
        ("answer_wait", b"00d4e5f6a7b8c9f3 WAIT\r\n"),
        ("answer_error", b"9b1f03aa5c7e2d41 ERROR\r\n"),
        ("answer_past", b"00d4e5f6a7b8c9f3 PAST\r\n"),
        ("answer_empty", b"9b1f03aa5c7e2d41 EMPTY\r\n"),
    ];
    lines.map(|(name, line)| (name, line.to_vec())).to_vec()
}

#[test]
fn lines_of_the_dependency_match_the_fixture() {
    assert_matches_fixture("dependency", &[dependency_calls(), dependency_replies()].concat());
}

#[test]
fn pinned_replies_of_the_dependency_decode_to_their_values() {
    let pinned = pinned("dependency");
    let expected = [
        ("answer_done", ID, Reply::Done(b"\r\n\xff\0")),
        ("answer_wait", OTHER_ID, Reply::Rejected),
        ("answer_error", ID, Reply::Failed),
        ("answer_past", OTHER_ID, Reply::Expired),
        ("answer_empty", ID, Reply::NoWaitingRun),
    ];
    for (name, id, value) in expected {
        let bytes = &pinned[name];
        assert_eq!(dependency::decode_first(bytes, MAX_BODY), Ok(Some((id, value, bytes.len()))), "{name}");
    }
}

// ---- the service registry ---------------------------------------------------------------------------------

fn heartbeats() -> Vec<NamedMessage> {
    vec![
        ("beat_ready", registry::heartbeat("n3", false)),
        ("beat_draining", registry::heartbeat("backend-0004", true)),
    ]
}

#[test]
fn heartbeats_match_the_fixture() {
    assert_matches_fixture("registry", &heartbeats());
}

#[test]
#[ignore = "writes the fixtures that do not exist"]
fn write_missing_fixtures() {
    let all = [
        ("front", frames()),
        ("agent", [agent_commands(), agent_notices()].concat()),
        ("dependency", [dependency_calls(), dependency_replies()].concat()),
        ("registry", heartbeats()),
    ];
    for (protocol, messages) in all {
        if !fixture(protocol).exists() {
            let lines: String =
                messages.iter().map(|(name, bytes)| format!("{name} {}\n", hex(bytes))).collect();
            std::fs::write(fixture(protocol), lines).expect("the fixture is writable");
        }
    }
}
