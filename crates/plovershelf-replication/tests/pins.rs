//! Pins the encoding of every message between members, and of the types in them, for compatibility between builds.
//!
//! Each line of the fixture contains a value's name and its bytes in hex. The fixture was written once
//! (`cargo test --test pins -- --ignored write_fixture`) and must not be rewritten: during an upgrade, updated members exchange
//! messages with members of the previous build.

use std::fmt::Debug;

use plovershelf_cluster::NodeId;
use plovershelf_replication::placement::{replica_set, IdempotencyKey, Member};
use plovershelf_replication::{
    Message, Outcome, OutcomeOrigin, OutcomeVersion, Record, RequestId, Reservation, ReservationOrder, Round,
    ViewNumber,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

const FIXTURE: &str = include_str!("fixtures/replication.txt");

const KEY: IdempotencyKey = IdempotencyKey(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10);
const OTHER_KEY: IdempotencyKey = IdempotencyKey(0xf1f2_f3f4_f5f6_f7f8_f9fa_fbfc_fdfe_ff00);
const RESERVATION: Reservation = Reservation { executor: NodeId(1001), request: RequestId(2002) };
const OTHER_RESERVATION: Reservation = Reservation { executor: NodeId(3003), request: RequestId(4004) };

fn succeeded() -> Outcome {
    Outcome::Succeeded(vec![0xca, 0xfe, 0x00, 0x7f])
}

fn open_record() -> Record {
    Record {
        reservation: RESERVATION,
        order: ReservationOrder { view: ViewNumber(501), sequence: 601 },
        replica_set: vec![NodeId(11), NodeId(12), NodeId(13)],
        round: Round(701),
        outcome: None,
        outcome_version: OutcomeVersion::default(),
        retention_ms: 801,
    }
}

fn completed_record() -> Record {
    Record {
        reservation: OTHER_RESERVATION,
        order: ReservationOrder { view: ViewNumber(502), sequence: 602 },
        replica_set: vec![NodeId(21), NodeId(22)],
        round: Round(702),
        outcome: Some(succeeded()),
        outcome_version: OutcomeVersion { view: ViewNumber(902), origin: OutcomeOrigin::Reconciliation },
        retention_ms: 802,
    }
}

/// Returns nine members in three zones, two of them on one machine, with different weights.
fn nine_members() -> Vec<Member> {
    let member = |n: u64| Member {
        id: NodeId(n * 7919),
        zone: format!("z{}", n % 3),
        machine: format!("m{}", n.max(2)),
        weight: 0.5 + n as f64 / 4.0,
    };
    (1..=9).map(member).collect()
}

/// Returns messages of every variant, with distinct values in all fields and a different view in each message.
fn messages() -> Vec<(&'static str, Message)> {
    let mut messages = messages_of_a_request();
    messages.extend(messages_after_a_view_change());
    messages.sort_by_key(|(_, message)| message.view());
    messages
}

fn messages_of_a_request() -> Vec<(&'static str, Message)> {
    let (key, reservation) = (KEY, RESERVATION);
    let replica_set = vec![NodeId(31), NodeId(32), NodeId(33)];
    let view = ViewNumber;
    let held_by_another =
        |number, outcome| Message::HeldByAnother { view: view(number), key, reservation, outcome };
    let (succeeded, in_doubt) = (succeeded(), Outcome::InDoubt);
    vec![
        (
            "message_reserve",
            Message::Reserve { view: view(101), key, reservation, round: Round(41), retention_ms: 51 },
        ),
        ("message_replicate", Message::Replicate { view: view(102), key, record: open_record() }),
        (
            "message_reserved",
            Message::Reserved { view: view(103), key, reservation, round: Round(42), replica_set },
        ),
        ("message_held_by_another_open", held_by_another(104, None)),
        ("message_held_by_another_completed", held_by_another(105, Some(succeeded.clone()))),
        ("message_released", Message::Released { view: view(106), key }),
        (
            "message_record_outcome",
            Message::RecordOutcome {
                view: view(107),
                key,
                reservation,
                outcome: succeeded,
                retention_ms: 52,
            },
        ),
        (
            "message_outcome_recorded",
            Message::OutcomeRecorded { view: view(108), key, reservation, outcome: in_doubt },
        ),
        ("message_outcome_replicated", Message::OutcomeReplicated { view: view(109), key, reservation }),
        ("message_release", Message::Release { view: view(110), key, reservation }),
        ("message_probe_reservation", Message::ProbeReservation { view: view(116), key, reservation }),
    ]
}

fn messages_after_a_view_change() -> Vec<(&'static str, Message)> {
    let view = ViewNumber;
    vec![
        (
            "message_report",
            Message::Report {
                view: view(111),
                records: vec![(KEY, open_record()), (OTHER_KEY, completed_record())],
                active: vec![(OTHER_KEY, OTHER_RESERVATION), (KEY, RESERVATION)],
            },
        ),
        ("message_report_complete", Message::ReportComplete { view: view(112), count: 61 }),
        (
            "message_repair",
            Message::Repair {
                view: view(113),
                records: vec![(OTHER_KEY, completed_record()), (KEY, open_record())],
            },
        ),
        ("message_repaired", Message::Repaired { view: view(114), keys: vec![KEY, OTHER_KEY] }),
        ("message_report_acknowledged", Message::ReportAcknowledged { view: view(115) }),
        ("message_request_leave", Message::RequestLeave { view: view(117) }),
        ("message_permit_leave", Message::PermitLeave { view: view(118) }),
    ]
}

/// Decodes bytes and asserts that they equal a value.
type DecodeCheck = Box<dyn Fn(&[u8])>;

/// A named value with its encoding.
struct Pin {
    name: &'static str,
    bytes: Vec<u8>,
    /// Decodes bytes and asserts that they equal the value.
    check_decoded: DecodeCheck,
}

fn pin<T>(name: &'static str, value: T) -> Pin
where
    T: Serialize + DeserializeOwned + PartialEq + Debug + 'static,
{
    let bytes = postcard::to_stdvec(&value).expect("value can be encoded");
    let check_decoded = move |bytes: &[u8]| {
        let (decoded, rest) = postcard::take_from_bytes::<T>(bytes).expect("bytes can be decoded");
        assert_eq!((&decoded, rest.len()), (&value, 0), "{name}");
    };
    Pin { name, bytes, check_decoded: Box::new(check_decoded) }
}

fn pins() -> Vec<Pin> {
    let mut pins: Vec<Pin> = messages().into_iter().map(|(name, message)| pin(name, message)).collect();
    pins.extend([
        pin("outcome_succeeded", succeeded()),
        pin("outcome_failed", Outcome::Failed),
        pin("outcome_in_doubt", Outcome::InDoubt),
        pin("reservation", RESERVATION),
        pin("record_open", open_record()),
        pin("record_completed", completed_record()),
        pin("key", KEY),
        // Members of all builds must hash a key to the same value and select the same replicas for it.
        pin("key_of_class_and_text", IdempotencyKey::new("book", b"ticket-17")),
        pin("replica_set", replica_set(IdempotencyKey::new("book", b"ticket-17"), &nine_members(), 3)),
        pin("replica_set_of_all_machines", replica_set(KEY, &nine_members(), 9)),
    ]);
    pins
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

#[test]
fn every_value_matches_the_fixture_when_encoded_and_decoded() {
    let lines: Vec<(&str, &str)> = FIXTURE.lines().filter_map(|line| line.split_once(' ')).collect();
    let pins = pins();
    let names: Vec<&str> = pins.iter().map(|pin| pin.name).collect();
    assert_eq!(
        lines.iter().map(|(name, _)| *name).collect::<Vec<_>>(),
        names,
        "the fixture has one line per value"
    );
    for (pin, (name, expected)) in pins.iter().zip(lines) {
        assert_eq!(hex(&pin.bytes), expected, "{name}");
        (pin.check_decoded)(&unhex(expected));
    }
}

#[test]
#[ignore = "writes the fixture, which must not be rewritten"]
fn write_fixture() {
    let text: String = pins().iter().map(|pin| format!("{} {}\n", pin.name, hex(&pin.bytes))).collect();
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/replication.txt");
    std::fs::write(path, text).expect("fixture file is writable");
}
