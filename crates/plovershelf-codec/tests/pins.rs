//! Bytes of every message of every protocol that this package knows, held against fixtures that never change: a peer of another
//! version reads and writes these. Each value has fields that differ, so that two that are swapped show.
//!
//! `cargo test -p plovershelf-codec --test pins -- --ignored write_missing_fixtures` writes a fixture that is not there yet; one that
//! is there is left as it is.

use std::collections::BTreeMap;
use std::path::PathBuf;

use plovershelf_codec::agent::{self, Notice, RunOver};
use plovershelf_codec::front::caller::{self, Heard, Try};
use plovershelf_codec::front::{self, Complaint, Invocation, Message, Words};
use plovershelf_codec::ledger::{self, Answer};
use plovershelf_codec::{roster, TryId};

const ID: TryId = *b"9b1f03aa5c7e2d41";
const OTHER_ID: TryId = *b"00d4e5f6a7b8c9f3";
const MAX_BODY: usize = 64;
const MAX_FRAME: usize = 8 << 10;

type Named = (&'static str, Vec<u8>);

fn fixture(protocol: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/fixtures/{protocol}.txt"))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    assert_eq!(text.len() % 2, 0, "half a byte in {text}");
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hex")).collect()
}

/// The fixture's bytes by name.
fn pinned(protocol: &str) -> BTreeMap<String, Vec<u8>> {
    let text = std::fs::read_to_string(fixture(protocol)).expect("the fixture is there");
    let line = |line: &str| {
        let (name, bytes) = line.split_once(' ').expect("a name and bytes");
        (name.to_string(), unhex(bytes))
    };
    text.lines().map(line).collect()
}

/// Every message has its bytes, and the fixture has no other.
fn assert_bytes_are_pinned(protocol: &str, encoded: &[Named]) {
    let pinned = pinned(protocol);
    for (name, bytes) in encoded {
        assert_eq!(pinned.get(*name).map(|bytes| hex(bytes)), Some(hex(bytes)), "{protocol}: {name}");
    }
    assert_eq!(pinned.len(), encoded.len(), "{protocol}: the fixture names messages that are not encoded");
}

// ---- the front: what a caller writes ----------------------------------------------------------------------

fn full_try() -> Try<'static> {
    Try {
        offering: "checkout",
        id: ID,
        came_ms: 1_764_576_000_123,
        caller: 41,
        tenant: "acme",
        waits_ms: Some(479.9),
        footprint_kb: 24.5,
        rank: 0.625,
        subject: Some(0x7f3a_9c21_e0b4_d655),
        ticket: Some("order-17"),
        work_hint_ms: Some(12.5),
        marked_repeat: true,
        body: b"\0body\r\n\xff",
    }
}

fn plain_try() -> Try<'static> {
    Try {
        offering: "quote",
        id: OTHER_ID,
        came_ms: 1_764_576_000_456,
        caller: 7,
        tenant: "north",
        waits_ms: None,
        footprint_kb: 3.0,
        rank: 0.25,
        subject: None,
        ticket: None,
        work_hint_ms: None,
        marked_repeat: false,
        body: b"",
    }
}

fn caller_frames() -> Vec<Named> {
    vec![
        ("dispatch_full", caller::dispatch(7, &full_try())),
        ("dispatch_plain", caller::dispatch(8, &plain_try())),
        ("cancel", caller::cancel(9)),
        ("alive", caller::alive(10)),
    ]
}

// ---- the front: what a backend writes ---------------------------------------------------------------------

const ALL_WORDS: Words = Words { advice: Some(0.625), cool_down_ms: Some(120.0), last: true };
const NO_WORDS: Words = Words { advice: None, cool_down_ms: None, last: false };
const ADVICE_ALONE: Words = Words { advice: Some(2.5), cool_down_ms: None, last: false };
const COOL_DOWN_ALONE: Words = Words { advice: None, cool_down_ms: Some(13.0), last: false };
const LAST_ALONE: Words = Words { advice: None, cool_down_ms: None, last: true };

fn backend_frames() -> Vec<Named> {
    let complaint = |seqid, kind: Complaint, what: &str| front::complaint(seqid, "dispatch", kind, what);
    vec![
        ("succeeded", front::succeeded(21, b"\0result\xff", &ALL_WORDS)),
        ("succeeded_no_words", front::succeeded(22, b"", &NO_WORDS)),
        ("dismissed", front::dismissed(23, &ALL_WORDS)),
        ("dismissed_advice", front::dismissed(24, &ADVICE_ALONE)),
        ("dismissed_cool_down", front::dismissed(25, &COOL_DOWN_ALONE)),
        ("dismissed_last", front::dismissed(26, &LAST_ALONE)),
        ("scrapped", front::scrapped(27, &ALL_WORDS)),
        ("scrapped_no_words", front::scrapped(28, &NO_WORDS)),
        ("health_fit", front::health(29, true, &ADVICE_ALONE)),
        ("health_unfit", front::health(30, false, &NO_WORDS)),
        ("exception_unknown_method", complaint(31, Complaint::UnknownMethod, "no such method")),
        ("exception_wrong_type", complaint(32, Complaint::WrongType, "this is no oneway message")),
        ("exception_internal", complaint(33, Complaint::Internal, "later")),
        ("exception_protocol", front::complaint(34, "alive", Complaint::Protocol, "no body is there")),
        ("closing", front::closing()),
    ]
}

fn frames() -> Vec<Named> {
    [caller_frames(), backend_frames()].concat()
}

#[test]
fn frames_of_the_front_have_the_pinned_bytes() {
    assert_bytes_are_pinned("front", &frames());
}

#[test]
fn pinned_frames_of_callers_decode_to_the_values_they_were_made_of() {
    let pinned = pinned("front");
    let full = Invocation {
        offering: "checkout",
        id: ID,
        came_ms: 1_764_576_000_123.0,
        tenant: "acme",
        waits_ms: Some(479.0),
        footprint_kb: 24.5,
        subject: 0x7f3a_9c21_e0b4_d655,
        ticket: Some("order-17"),
        work_hint_ms: Some(12.5),
        marked_repeat: true,
        body: b"\0body\r\n\xff",
    };
    let plain = Invocation {
        offering: "quote",
        id: OTHER_ID,
        came_ms: 1_764_576_000_456.0,
        tenant: "north",
        waits_ms: None,
        footprint_kb: 3.0,
        subject: 0,
        ticket: None,
        work_hint_ms: None,
        marked_repeat: false,
        body: b"",
    };
    let expected = [
        ("dispatch_full", Message::Dispatch { seqid: 7, invocation: full }),
        ("dispatch_plain", Message::Dispatch { seqid: 8, invocation: plain }),
        ("cancel", Message::Cancel { seqid: 9 }),
        ("alive", Message::Alive { seqid: 10 }),
    ];
    for (name, value) in &expected {
        let bytes = &pinned[*name];
        assert_eq!(front::frame_length(bytes, MAX_FRAME), Ok(Some(bytes.len() - 4)), "{name}");
        assert_eq!(front::decode(&bytes[4..]).as_ref(), Ok(value), "{name}");
    }
    assert_eq!(expected.len(), caller_frames().len());
}

#[test]
fn pinned_frames_of_backends_decode_to_the_values_they_were_made_of() {
    let pinned = pinned("front");
    let complaint = |seqid, ours, what: &'static str| Heard::Complaint { seqid, ours, what: what.as_bytes() };
    let expected = [
        ("succeeded", Heard::Succeeded { seqid: 21, result: b"\0result\xff", words: ALL_WORDS }),
        ("succeeded_no_words", Heard::Succeeded { seqid: 22, result: b"", words: NO_WORDS }),
        ("dismissed", Heard::Dismissed { seqid: 23, words: ALL_WORDS }),
        ("dismissed_advice", Heard::Dismissed { seqid: 24, words: ADVICE_ALONE }),
        ("dismissed_cool_down", Heard::Dismissed { seqid: 25, words: COOL_DOWN_ALONE }),
        ("dismissed_last", Heard::Dismissed { seqid: 26, words: LAST_ALONE }),
        ("scrapped", Heard::Scrapped { seqid: 27, words: ALL_WORDS }),
        ("scrapped_no_words", Heard::Scrapped { seqid: 28, words: NO_WORDS }),
        ("health_fit", Heard::Health { seqid: 29, fit: true, words: ADVICE_ALONE }),
        ("health_unfit", Heard::Health { seqid: 30, fit: false, words: NO_WORDS }),
        ("exception_unknown_method", complaint(31, true, "no such method")),
        ("exception_wrong_type", complaint(32, true, "this is no oneway message")),
        ("exception_internal", complaint(33, false, "later")),
        ("exception_protocol", complaint(34, true, "no body is there")),
        ("closing", Heard::Closing),
    ];
    for (name, value) in &expected {
        let bytes = &pinned[*name];
        assert_eq!(caller::take(bytes, MAX_FRAME), Ok(Some((&bytes[4..], bytes.len()))), "{name}");
        assert_eq!(caller::hear(&bytes[4..]).as_ref(), Ok(value), "{name}");
    }
    assert_eq!(expected.len(), backend_frames().len());
}

// ---- the agent --------------------------------------------------------------------------------------------

fn agent_commands() -> Vec<Named> {
    vec![
        ("subscribe", agent::subscribe(41)),
        ("launch", agent::launch(&ID, "checkout", b"b\r\n\xff")),
        ("freeze", agent::freeze(&ID)),
        ("forgo", agent::forgo(&OTHER_ID)),
        ("deliver", agent::deliver(&OTHER_ID, b"\0reply")),
        ("sample", agent::sample(7)),
    ]
}

/// Lines that the agent writes and this package only reads.
fn agent_notices() -> Vec<Named> {
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
fn lines_of_the_agent_have_the_pinned_bytes() {
    assert_bytes_are_pinned("agent", &[agent_commands(), agent_notices()].concat());
}

#[test]
fn pinned_notices_of_the_agent_decode_to_their_values() {
    let pinned = pinned("agent");
    let outcome = |number, id, over, result: &'static [u8]| Notice::Outcome { number, id, over, result };
    let expected = [
        ("greeting_booting", Notice::Greeting { fresh: true, up_for_ms: 12.0 }),
        ("greeting_steady", Notice::Greeting { fresh: false, up_for_ms: 3456.5 }),
        ("outcome_success", outcome(7, ID, RunOver::Success, b"a\r\nbc")),
        ("outcome_failure", outcome(8, OTHER_ID, RunOver::Failure, b"x")),
        ("outcome_interrupted", outcome(9, ID, RunOver::Interrupted, b"")),
        ("outcome_nothing", outcome(10, OTHER_ID, RunOver::Nothing, b"")),
        ("request", Notice::Request { number: 11, id: ID, call: b"call" }),
        ("sampled", Notice::Sampled { tag: b"3", gauges: vec![0.5, 12.0, 0.25, 24.0] }),
        ("refusal_of_a_run", Notice::Refusal { command: b"launch", about: &ID }),
        ("refusal_of_a_sample", Notice::Refusal { command: b"sample", about: b"0" }),
        ("aside", Notice::Aside { number: 12 }),
    ];
    for (name, value) in &expected {
        let bytes = &pinned[*name];
        let (notice, used) = agent::take(bytes, MAX_BODY).expect("it parses").expect("it is whole");
        assert_eq!((&notice, used), (value, bytes.len()), "{name}");
    }
    assert_eq!(expected.len(), agent_notices().len());
}

// ---- the dependency that backends share -------------------------------------------------------------------

fn dependency_calls() -> Vec<Named> {
    vec![
        ("call", ledger::call(&ID, 250.9, b"x\r\n")),
        ("call_at_least_a_millisecond", ledger::call(&OTHER_ID, 0.2, b"")),
        ("give_up", ledger::give_up(&OTHER_ID)),
    ]
}

/// Lines that the dependency writes and this package only reads.
fn dependency_answers() -> Vec<Named> {
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
fn lines_of_the_dependency_have_the_pinned_bytes() {
    assert_bytes_are_pinned("dependency", &[dependency_calls(), dependency_answers()].concat());
}

#[test]
fn pinned_answers_of_the_dependency_decode_to_their_values() {
    let pinned = pinned("dependency");
    let expected = [
        ("answer_done", ID, Answer::Done(b"\r\n\xff\0")),
        ("answer_wait", OTHER_ID, Answer::Wait),
        ("answer_error", ID, Answer::Error),
        ("answer_past", OTHER_ID, Answer::Past),
        ("answer_empty", ID, Answer::Empty),
    ];
    for (name, id, value) in expected {
        let bytes = &pinned[name];
        assert_eq!(ledger::take(bytes, MAX_BODY), Ok(Some((id, value, bytes.len()))), "{name}");
    }
}

// ---- the service registry ---------------------------------------------------------------------------------

fn beats() -> Vec<Named> {
    vec![("beat_ready", roster::beat("n3", false)), ("beat_draining", roster::beat("backend-0004", true))]
}

#[test]
fn beats_to_the_registry_have_the_pinned_bytes() {
    assert_bytes_are_pinned("registry", &beats());
}

#[test]
#[ignore = "writes fixtures that are not there"]
fn write_missing_fixtures() {
    let all = [
        ("front", frames()),
        ("agent", [agent_commands(), agent_notices()].concat()),
        ("dependency", [dependency_calls(), dependency_answers()].concat()),
        ("registry", beats()),
    ];
    for (protocol, messages) in all {
        if !fixture(protocol).exists() {
            let lines: String =
                messages.iter().map(|(name, bytes)| format!("{name} {}\n", hex(bytes))).collect();
            std::fs::write(fixture(protocol), lines).expect("written");
        }
    }
}
