//! The bytes of every message between members, and of what stands in them, as members of another build write and read them.
//!
//! The fixture is one line a value: its name, then its bytes in hex. It was written once
//! (`cargo test --test pins -- --ignored write_fixture`) and is not written again: a member that is updated talks to members that are not.

use std::fmt::Debug;

use plovershelf_cluster::NodeId as Id;
use plovershelf_replication::copies::{Claim, Ending, Message, Record};
use plovershelf_replication::placement::{place, Holder, Ticket};
use serde::de::DeserializeOwned;
use serde::Serialize;

const FIXTURE: &str = include_str!("fixtures/replication.txt");

const TICKET: Ticket = Ticket(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10);
const OTHER_TICKET: Ticket = Ticket(0xf1f2_f3f4_f5f6_f7f8_f9fa_fbfc_fdfe_ff00);
const CLAIM: Claim = Claim { runner: Id(1001), number: 2002 };
const OTHER_CLAIM: Claim = Claim { runner: Id(3003), number: 4004 };

fn succeeded() -> Ending {
    Ending::Succeeded(vec![0xca, 0xfe, 0x00, 0x7f])
}

fn open_record() -> Record {
    Record {
        claim: CLAIM,
        order: (501, 601),
        holders: vec![Id(11), Id(12), Id(13)],
        round: 701,
        ending: None,
        ended: (0, 0),
        keep_ms: 801,
    }
}

fn ended_record() -> Record {
    Record {
        claim: OTHER_CLAIM,
        order: (502, 602),
        holders: vec![Id(21), Id(22)],
        round: 702,
        ending: Some(succeeded()),
        ended: (902, 1),
        keep_ms: 802,
    }
}

/// Three zones, two members on one machine, and weights that differ.
fn nine_members() -> Vec<Holder> {
    let member = |n: u64| Holder {
        id: Id(n * 7919),
        zone: format!("z{}", n % 3),
        machine: format!("m{}", n.max(2)),
        weight: 0.5 + n as f64 / 4.0,
    };
    (1..=9).map(member).collect()
}

/// One value of each kind, each field another value. The view is another for each, too.
fn messages() -> Vec<(&'static str, Message)> {
    let (ticket, claim) = (TICKET, CLAIM);
    let holders = vec![Id(31), Id(32), Id(33)];
    vec![
        ("message_reserve", Message::Claim { view: 101, ticket, claim, round: 41, keep_ms: 51 }),
        ("message_replicate", Message::Copy { view: 102, ticket, record: open_record() }),
        ("message_reserved", Message::Stands { view: 103, ticket, claim, round: 42, holders }),
        ("message_held_by_another_open", Message::Taken { view: 104, ticket, claim, ending: None }),
        (
            "message_held_by_another_completed",
            Message::Taken { view: 105, ticket, claim, ending: Some(succeeded()) },
        ),
        ("message_released", Message::Free { view: 106, ticket }),
        (
            "message_record_outcome",
            Message::End { view: 107, ticket, claim, ending: succeeded(), keep_ms: 52 },
        ),
        ("message_outcome_recorded", Message::Ended { view: 108, ticket, claim, ending: Ending::InDoubt }),
        ("message_outcome_replicated", Message::Done { view: 109, ticket, claim }),
        ("message_release", Message::GiveBack { view: 110, ticket, claim }),
        (
            "message_report",
            Message::Tell {
                view: 111,
                held: vec![(TICKET, open_record()), (OTHER_TICKET, ended_record())],
                runs: vec![(OTHER_TICKET, OTHER_CLAIM), (TICKET, CLAIM)],
            },
        ),
        ("message_report_complete", Message::Told { view: 112, count: 61 }),
        (
            "message_repair",
            Message::Keep {
                view: 113,
                records: vec![(OTHER_TICKET, ended_record()), (TICKET, open_record())],
            },
        ),
        ("message_repaired", Message::Kept { view: 114, tickets: vec![TICKET, OTHER_TICKET] }),
        ("message_report_acknowledged", Message::HeardAll { view: 115 }),
        ("message_probe_reservation", Message::Still { view: 116, ticket, claim }),
        ("message_request_leave", Message::MayGo { view: 117 }),
        ("message_permit_leave", Message::Go { view: 118 }),
    ]
}

/// Reads bytes back and compares them with a value.
type ReadBack = Box<dyn Fn(&[u8])>;

/// A message or a part of one, whose bytes are pinned.
struct Pin {
    name: &'static str,
    bytes: Vec<u8>,
    /// Reads bytes back and compares them with the value.
    reads_back: ReadBack,
}

fn pin<T>(name: &'static str, value: T) -> Pin
where
    T: Serialize + DeserializeOwned + PartialEq + Debug + 'static,
{
    let bytes = postcard::to_stdvec(&value).expect("it can be written");
    let reads_back = move |bytes: &[u8]| {
        let (read, rest) = postcard::take_from_bytes::<T>(bytes).expect("it can be read");
        assert_eq!((&read, rest.len()), (&value, 0), "{name}");
    };
    Pin { name, bytes, reads_back: Box::new(reads_back) }
}

fn pins() -> Vec<Pin> {
    let mut pins: Vec<Pin> = messages().into_iter().map(|(name, message)| pin(name, message)).collect();
    pins.extend([
        pin("outcome_succeeded", succeeded()),
        pin("outcome_failed", Ending::Failed),
        pin("outcome_in_doubt", Ending::InDoubt),
        pin("reservation", CLAIM),
        pin("record_open", open_record()),
        pin("record_completed", ended_record()),
        pin("key", TICKET),
        // Members of all builds must hash a key alike, and draw the same members for it.
        pin("key_of_class_and_text", Ticket::of("book", b"ticket-17")),
        pin("replica_set", place(Ticket::of("book", b"ticket-17"), &nine_members(), 3)),
        pin("replica_set_of_all_machines", place(TICKET, &nine_members(), 9)),
    ]);
    pins
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hex");
    (0..text.len()).step_by(2).map(byte).collect()
}

#[test]
fn every_value_is_written_and_read_as_the_fixture_has_it() {
    let lines: Vec<(&str, &str)> = FIXTURE.lines().filter_map(|line| line.split_once(' ')).collect();
    let pins = pins();
    let names: Vec<&str> = pins.iter().map(|pin| pin.name).collect();
    assert_eq!(lines.iter().map(|(name, _)| *name).collect::<Vec<_>>(), names, "a line for each value");
    for (pin, (name, expected)) in pins.iter().zip(lines) {
        assert_eq!(hex(&pin.bytes), expected, "{name}");
        (pin.reads_back)(&unhex(expected));
    }
}

#[test]
#[ignore = "writes the fixture; done once"]
fn write_fixture() {
    let text: String = pins().iter().map(|pin| format!("{} {}\n", pin.name, hex(&pin.bytes))).collect();
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/replication.txt");
    std::fs::write(path, text).expect("the folder is there");
}
