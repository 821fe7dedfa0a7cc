//! Wire format compatibility: the encoded bytes of each message and of a committed change, as recorded from an earlier
//! build.
//!
//! During a release, processes of both builds run in the same fleet. A field or variant that was moved or that has
//! another type changes the bytes or the decoded value.

use std::net::SocketAddr;

use plovershelf_config_distribution::{
    Aggregate, Attachment, Change, Edit, Entry, FanOutLimit, HeldVersion, ListenerKind, Message, NodeInfo,
    RelayInfo, Version,
};

const FIXTURE: &str = include_str!("fixtures/messages.txt");

fn address(last: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, last], port))
}
fn info() -> NodeInfo {
    NodeInfo {
        name: "backend-7".into(),
        zone: "zone-b".into(),
        region: "region-n".into(),
        address: address(7, 7501),
        incarnation: 0x0123_4567_89ab_cdef,
    }
}
fn version(epoch: u64, number: u64) -> Version {
    Version { epoch, number }
}
fn version_info() -> HeldVersion {
    HeldVersion { version: version(3, 300), short_digest: 0xfedc_ba98_7654_3210, age_ms: 1234 }
}
fn change() -> Change {
    Change {
        version: version(4, 41),
        previous: version(3, 40),
        digest: 0x0011_2233_4455_6677_8899_aabb_ccdd_eeff,
        edits: vec![
            Edit::Set { tenant: "acme".into(), quota_per_s: 20.5 },
            Edit::Add { tenant: "zeta".into(), quota_per_s: 5.25 },
            Edit::Remove { tenant: "old".into() },
        ],
        proposed_unix_ms: 1_700_000_000_123,
    }
}
fn aggregate() -> Aggregate {
    Aggregate {
        version: version(5, 50),
        nodes: 920,
        up_to_date: 918,
        oldest: version(2, 49),
        children: 16,
        missing: vec!["gone-1".into(), "gone-2".into()],
        attached: vec!["new-1".into()],
    }
}

/// Returns a value of each variant and of each option in it. All values of a field differ.
#[expect(clippy::too_many_lines, reason = "one value for each kind of message")]
fn messages() -> Vec<(&'static str, Message)> {
    let addresses = |from: u8| vec![address(from, 7000), address(from + 1, 7001)];
    let relay = RelayInfo {
        address: address(9, 9000),
        zone: "zone-c".into(),
        region: "region-s".into(),
        children: 12,
    };
    let entry = |tenant: &str, quota_per_s| Entry { tenant: tenant.into(), quota_per_s };
    let chunk = |after: Option<&str>, is_last| Message::SnapshotChunk {
        version: version(6, 61),
        digest: 0xffee_ddcc_bbaa_9988_7766_5544_3322_1100,
        after: after.map(String::from),
        entries: vec![entry("acme", 1.5), entry("zeta", 2.5)],
        is_last,
    };
    vec![
        ("seek", Message::FindParent { node: info(), excluded: addresses(20), redirected: true }),
        (
            "ways",
            Message::ParentCandidates {
                relays: addresses(30),
                kind: ListenerKind::Relay,
                limit: FanOutLimit::Normal,
                ask_origin: Some(address(39, 7501)),
            },
        ),
        (
            "ways-over",
            Message::ParentCandidates {
                relays: addresses(40),
                kind: ListenerKind::Leaf,
                limit: FanOutLimit::Failover,
                ask_origin: None,
            },
        ),
        (
            "attach-relay",
            Message::Attach {
                node: info(),
                version_info: version_info(),
                kind: ListenerKind::Relay,
                limit: FanOutLimit::Normal,
            },
        ),
        (
            "attach-over",
            Message::Attach {
                node: info(),
                version_info: version_info(),
                kind: ListenerKind::Leaf,
                limit: FanOutLimit::Failover,
            },
        ),
        ("attached", Message::Attached(version_info())),
        ("refused", Message::Rejected),
        ("leave", Message::Detach),
        ("beat", Message::Heartbeat(version_info())),
        ("near", Message::AlternateParents { relays: addresses(50), origins: addresses(60) }),
        ("changes", Message::Delta(vec![change()])),
        ("ask", Message::SyncRequest(version_info())),
        ("ask-part", Message::ChunkRequest { version: version(7, 70), after: Some("acme".into()) }),
        ("ask-part-first", Message::ChunkRequest { version: version(7, 70), after: None }),
        ("part", chunk(Some("abel"), false)),
        ("part-last", chunk(None, true)),
        ("sum", Message::Aggregate(aggregate())),
        ("elsewhere", Message::Reattach(Some(address(70, 7501)))),
        ("elsewhere-any", Message::Reattach(None)),
        ("found", Message::Relocated(vec!["gone-1".into(), "gone-2".into()])),
        (
            "joined",
            Message::Attachments(vec![Attachment { name: "new-1".into(), parent: address(80, 8000) }]),
        ),
        ("check", Message::Probe),
        ("checked", Message::ProbeReply(version_info())),
        ("relays", Message::OriginRelays { origin: info(), relays: vec![relay] }),
    ]
}

/// Returns the fixture name of a message. The exhaustive match makes a new variant fail to compile until it is added
/// here.
fn kind(message: &Message) -> &'static str {
    match message {
        Message::FindParent { .. } => "seek",
        Message::ParentCandidates { .. } => "ways",
        Message::Attach { .. } => "attach",
        Message::Attached(_) => "attached",
        Message::Rejected => "refused",
        Message::Detach => "leave",
        Message::Heartbeat(_) => "beat",
        Message::AlternateParents { .. } => "near",
        Message::Delta(_) => "changes",
        Message::SyncRequest(_) => "ask",
        Message::ChunkRequest { .. } => "ask-part",
        Message::SnapshotChunk { .. } => "part",
        Message::Aggregate(_) => "sum",
        Message::Reattach(_) => "elsewhere",
        Message::Relocated(_) => "found",
        Message::Attachments(_) => "joined",
        Message::Probe => "check",
        Message::ProbeReply(_) => "checked",
        Message::OriginRelays { .. } => "relays",
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
fn unhex(text: &str) -> Vec<u8> {
    let byte = |index: usize| u8::from_str_radix(&text[index..index + 2], 16).expect("two hex digits");
    (0..text.len()).step_by(2).map(byte).collect()
}
fn recorded(name: &str) -> Vec<u8> {
    let line = FIXTURE.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    unhex(line.unwrap_or_else(|| panic!("{name} is not in the fixture")))
}

#[test]
fn every_message_matches_the_bytes_of_the_earlier_build() {
    let kinds: std::collections::BTreeSet<_> = messages().iter().map(|(_, message)| kind(message)).collect();
    assert_eq!(kinds.len(), 19);
    assert_eq!(FIXTURE.lines().count(), messages().len() + 1);
    for (name, message) in messages() {
        assert_eq!(hex(&postcard::to_stdvec(&message).unwrap()), hex(&recorded(name)), "{name}");
        assert_eq!(postcard::from_bytes::<Message>(&recorded(name)), Ok(message), "{name}");
    }
}

#[test]
fn committed_change_matches_the_bytes_of_the_earlier_build() {
    assert_eq!(hex(&postcard::to_stdvec(&change()).unwrap()), hex(&recorded("agreed-change")));
    assert_eq!(postcard::from_bytes::<Change>(&recorded("agreed-change")), Ok(change()));
}
