//! The bytes of each message and of a change as the council agrees on it, as an earlier build wrote them.
//!
//! A process of that build and one of this are in the same fleet while a release is under way. A field or variant that
//! moved, or has another type, shows as bytes that differ or as a value that comes back different.

use std::net::SocketAddr;

use plovershelf_config_distribution::message::{Newest, Place, Sum};
use plovershelf_config_distribution::node::{About, Message};
use plovershelf_config_distribution::quota_table::{Edit, Numbered, Version};

const FIXTURE: &str = include_str!("fixtures/messages.txt");

fn address(last: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, last], port))
}
fn about() -> About {
    About {
        name: "backend-7".into(),
        zone: "zone-b".into(),
        region: "region-n".into(),
        address: address(7, 7501),
        life: 0x0123_4567_89ab_cdef,
    }
}
fn version(era: u64, number: u64) -> Version {
    Version { era, number }
}
fn newest() -> Newest {
    Newest { version: version(3, 300), digest: 0xfedc_ba98_7654_3210, age_ms: 1234 }
}
fn change() -> Numbered {
    Numbered {
        version: version(4, 41),
        before: version(3, 40),
        digest: 0x0011_2233_4455_6677_8899_aabb_ccdd_eeff,
        edits: vec![
            Edit::Set { tenant: "acme".into(), quota_per_s: 20.5 },
            Edit::Add { tenant: "zeta".into(), quota_per_s: 5.25 },
            Edit::Remove { tenant: "old".into() },
        ],
        proposed_ms: 1_700_000_000_123,
    }
}
fn sum() -> Sum {
    Sum {
        version: version(5, 50),
        under: 920,
        in_force: 918,
        oldest: version(2, 49),
        feeds: 16,
        missing: vec!["gone-1".into(), "gone-2".into()],
        joined: vec!["new-1".into()],
    }
}

/// One value of each variant and of each option in it; the field's values all differ.
fn messages() -> Vec<(&'static str, Message)> {
    let addresses = |from: u8| vec![address(from, 7000), address(from + 1, 7001)];
    let place =
        Place { address: address(9, 9000), zone: "zone-c".into(), region: "region-s".into(), feeds: 12 };
    let part = |after: Option<&str>, last| Message::Part {
        version: version(6, 61),
        digest: 0xffee_ddcc_bbaa_9988_7766_5544_3322_1100,
        after: after.map(String::from),
        entries: vec![("acme".into(), 1.5), ("zeta".into(), 2.5)],
        last,
    };
    vec![
        ("seek", Message::Seek { about: about(), avoid: addresses(20), sent_on: true }),
        (
            "ways",
            Message::Ways { relays: addresses(30), relay: true, over: false, ask: Some(address(39, 7501)) },
        ),
        ("ways-over", Message::Ways { relays: addresses(40), relay: false, over: true, ask: None }),
        ("attach-relay", Message::Attach { about: about(), newest: newest(), relay: true, over: false }),
        ("attach-over", Message::Attach { about: about(), newest: newest(), relay: false, over: true }),
        ("attached", Message::Attached(newest())),
        ("refused", Message::Refused),
        ("leave", Message::Leave),
        ("beat", Message::Beat(newest())),
        ("near", Message::Near { relays: addresses(50), sources: addresses(60) }),
        ("changes", Message::Changes(vec![change()])),
        ("ask", Message::Ask(newest())),
        ("ask-part", Message::AskPart { version: version(7, 70), after: Some("acme".into()) }),
        ("ask-part-first", Message::AskPart { version: version(7, 70), after: None }),
        ("part", part(Some("abel"), false)),
        ("part-last", part(None, true)),
        ("sum", Message::Sum(sum())),
        ("elsewhere", Message::Elsewhere(Some(address(70, 7501)))),
        ("elsewhere-any", Message::Elsewhere(None)),
        ("found", Message::Found(vec!["gone-1".into(), "gone-2".into()])),
        ("joined", Message::Joined(vec![("new-1".into(), address(80, 8000))])),
        ("check", Message::Check),
        ("checked", Message::Checked(newest())),
        ("relays", Message::Relays { about: about(), relays: vec![place] }),
    ]
}

/// A variant that is new has to be pinned too: this does not compile until it is named here.
fn kind(message: &Message) -> &'static str {
    match message {
        Message::Seek { .. } => "seek",
        Message::Ways { .. } => "ways",
        Message::Attach { .. } => "attach",
        Message::Attached(_) => "attached",
        Message::Refused => "refused",
        Message::Leave => "leave",
        Message::Beat(_) => "beat",
        Message::Near { .. } => "near",
        Message::Changes(_) => "changes",
        Message::Ask(_) => "ask",
        Message::AskPart { .. } => "ask-part",
        Message::Part { .. } => "part",
        Message::Sum(_) => "sum",
        Message::Elsewhere(_) => "elsewhere",
        Message::Found(_) => "found",
        Message::Joined(_) => "joined",
        Message::Check => "check",
        Message::Checked(_) => "checked",
        Message::Relays { .. } => "relays",
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
fn unhex(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("two hex digits");
    (0..text.len()).step_by(2).map(byte).collect()
}
fn pinned(name: &str) -> Vec<u8> {
    let line = FIXTURE.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    unhex(line.unwrap_or_else(|| panic!("{name} is not in the fixture")))
}

#[test]
fn every_message_has_the_bytes_of_the_earlier_build_and_comes_back_from_them() {
    let kinds: std::collections::BTreeSet<_> = messages().iter().map(|(_, message)| kind(message)).collect();
    assert_eq!(kinds.len(), 19);
    assert_eq!(FIXTURE.lines().count(), messages().len() + 1);
    for (name, message) in messages() {
        assert_eq!(hex(&postcard::to_stdvec(&message).unwrap()), hex(&pinned(name)), "{name}");
        assert_eq!(postcard::from_bytes::<Message>(&pinned(name)), Ok(message), "{name}");
    }
}

#[test]
fn a_change_as_it_is_agreed_on_has_the_bytes_of_the_earlier_build_and_comes_back_from_them() {
    assert_eq!(hex(&postcard::to_stdvec(&change()).unwrap()), hex(&pinned("agreed-change")));
    assert_eq!(postcard::from_bytes::<Numbered>(&pinned("agreed-change")), Ok(change()));
}

/// Was run once, before anything was renamed; the fixture is not written again.
#[test]
#[ignore]
fn write_the_fixture() {
    let mut lines = String::new();
    for (name, message) in messages() {
        lines += &format!("{name} {}\n", hex(&postcard::to_stdvec(&message).unwrap()));
    }
    lines += &format!("agreed-change {}\n", hex(&postcard::to_stdvec(&change()).unwrap()));
    std::fs::write(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages.txt"), lines).unwrap();
}
