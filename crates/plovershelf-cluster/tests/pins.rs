//! Compatibility tests for the encoding of all messages and of the storage file. Members of this build exchange
//! messages with members of earlier builds and read their storage files, so the encoding must not change. The tests
//! fail if a field or variant is moved, added or given another type.
//!
//! The fixtures have a line `name hex` for each value. An earlier build wrote them, and they are never regenerated.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Debug;
use std::net::SocketAddr;

use plovershelf_cluster::consensus::{
    Ballot, Entry, LogPosition, Message, Payload, PersistentState, Record, Snapshot, Term,
};
use plovershelf_cluster::gossip::{self, MemberState, MemberUpdate, NodeInfo};
use plovershelf_cluster::status::{
    Answer, Brief, KeyStatus, MemberStatus, Question, RecordStatus, ReplicationStatus, Status,
};
use plovershelf_cluster::storage::{self, FileHeader, ReadOutcome};
use plovershelf_cluster::wire::{
    decode, encode_frame, encode_payload, frame, read_frame, Envelope, Hello, NodeMessage, StateDigest, Wire,
    MAGIC,
};
use plovershelf_cluster::{
    ClusterState, Command, Epoch, NodeId, VersionedValue, View, ViewChange, ViewMember,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

const MESSAGES: &str = include_str!("fixtures/cluster.txt");
const STORAGE: &str = include_str!("fixtures/folder.txt");

/// The expected encodings in a fixture, with the mismatches found so far.
struct Fixture {
    expected: BTreeMap<&'static str, &'static str>,
    checked: usize,
    mismatches: Vec<String>,
}

impl Fixture {
    fn of(fixture: &'static str) -> Self {
        let lines = fixture.lines().filter(|line| !line.is_empty());
        let expected = lines.map(|line| line.split_once(' ').expect("a name and hex")).collect();
        Fixture { expected, checked: 0, mismatches: Vec::new() }
    }

    fn check_bytes(&mut self, name: &str, bytes: &[u8]) {
        self.checked += 1;
        let hex = to_hex(bytes);
        if self.expected.get(name) != Some(&hex.as_str()) {
            self.mismatches.push(format!("{name} {hex}"));
        }
    }

    /// Checks that the value encodes to the bytes in the fixture, and that they decode to the value.
    fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, value: &T) {
        self.check_bytes(name, &encode_payload(value));
        if let Some(hex) = self.expected.get(name) {
            let decoded: T = decode(&from_hex(hex)).expect("the fixture's bytes decode");
            assert_eq!(decoded, *value, "{name}");
        }
    }

    /// Asserts that all encodings matched and that every line of the fixture was checked.
    fn finish(self) {
        let mismatches = self.mismatches.join("\n");
        assert!(self.mismatches.is_empty(), "these lines are not in the fixture:\n{mismatches}");
        assert_eq!(self.checked, self.expected.len(), "not every line of the fixture was checked");
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 3, last], 7400 + u16::from(last)))
}

fn node(id: u64) -> NodeInfo {
    NodeInfo {
        id: NodeId(id),
        name: format!("name-{id}"),
        zone: format!("zone-{id}"),
        region: format!("region-{id}"),
        address: address(id as u8),
        created_at_ms: id + 1_000_000,
    }
}

fn update(id: u64, ready: bool, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        node: node(id),
        incarnation: 300 + id as u32,
        ready,
        draining: !ready,
        boot_id: 70_000 + id,
        state,
        reported_by: NodeId(id + 40),
    }
}

fn member(id: u64, draining: bool) -> ViewMember {
    ViewMember {
        name: format!("seat-{id}"),
        zone: format!("zone-{id}"),
        region: format!("region-{id}"),
        address: address(id as u8),
        draining,
        boot_id: 90_000 + id,
    }
}

fn entries() -> Vec<Entry<Command>> {
    let view = Command::ChangeView {
        number: 12,
        joined: vec![(NodeId(13), member(13, true))],
        left: vec![NodeId(14), NodeId(15)],
    };
    let value = Command::SetValue { key: "key".into(), version: 16, bytes: vec![17, 18] };
    vec![
        Entry { term: Term(8), payload: Payload::Noop },
        Entry { term: Term(9), payload: Payload::Voters([NodeId(10), NodeId(11)].into()) },
        Entry { term: Term(19), payload: Payload::Command(view) },
        Entry { term: Term(20), payload: Payload::Command(value) },
    ]
}

fn state() -> ClusterState {
    let change = ViewChange {
        number: 21,
        joined: vec![(NodeId(22), "joined".into())],
        left: vec![(NodeId(23), "left".into())],
    };
    ClusterState {
        view: View {
            number: 24,
            members: [(NodeId(25), member(25, false)), (NodeId(26), member(26, true))].into(),
        },
        view_changes: VecDeque::from([change]),
        values: [("word".to_string(), VersionedValue { version: 27, bytes: vec![28, 29] })].into(),
    }
}

fn snapshot() -> Snapshot<ClusterState> {
    let last = LogPosition { term: Term(30), index: 31 };
    Snapshot { last, voters: [NodeId(32), NodeId(33)].into(), voters_index: 34, state: state() }
}

fn persistent() -> PersistentState<ClusterState> {
    PersistentState {
        epoch: Epoch(35 << 40),
        term: Term(36),
        vote: Some(NodeId(37)),
        promised_epoch: Epoch(38 << 40),
        snapshot: snapshot(),
        log: entries(),
    }
}

fn consensus_messages() -> Vec<(&'static str, Message<ClusterState>)> {
    let last = LogPosition { term: Term(41), index: 42 };
    vec![
        ("ask", Message::RequestVote { term: Term(43), last, ballot: Ballot::PreVote }),
        ("said", Message::Vote { term: Term(44), granted: true, ballot: Ballot::Vote }),
        (
            "append",
            Message::AppendEntries {
                term: Term(45),
                previous: last,
                entries: entries(),
                commit_index: 46,
                sent_at_us: 47_000,
            },
        ),
        ("catch", Message::InstallSnapshot { term: Term(48), snapshot: snapshot(), sent_at_us: 49_000 }),
        (
            "took",
            Message::AppendResponse { term: Term(50), matches: true, last_index: 51, sent_at_us: 52_000 },
        ),
        ("recall", Message::RecoveryRequest { nonce: 53_000, min_term: Term(54) }),
        (
            "recalled",
            Message::RecoveryResponse {
                nonce: 55_000,
                term: Term(56),
                last,
                voters_index: 57,
                voters: [NodeId(58)].into(),
                active: true,
                leads: false,
            },
        ),
    ]
}

fn gossip_messages() -> Vec<(&'static str, gossip::Message)> {
    use gossip::Message;
    let alive = || vec![update(1, true, MemberState::Alive)];
    let all = vec![
        update(1, true, MemberState::Alive),
        update(2, false, MemberState::Suspect),
        update(3, true, MemberState::Dead),
        update(4, false, MemberState::Left),
    ];
    vec![
        ("ping", Message::Ping { nonce: 5000, updates: all }),
        ("pong", Message::Ack { nonce: 5001, updates: alive() }),
        (
            "through",
            Message::PingRequest { nonce: 5002, target: NodeId(6), address: address(7), updates: alive() },
        ),
        ("reached", Message::IndirectAck { nonce: 5003, updates: alive() }),
        ("tell", Message::Broadcast { updates: alive() }),
        ("sums", Message::Digest { checksums: vec![1, 2_000_000, 3], reply: true }),
        ("part", Message::Sync { updates: alive() }),
    ]
}

fn node_messages() -> Vec<(String, NodeMessage)> {
    let mut all = Vec::new();
    for (name, message) in consensus_messages() {
        all.push((format!("council-{name}"), NodeMessage::Consensus { epoch: Epoch(60 << 40), message }));
    }
    for (index, (name, message)) in gossip_messages().into_iter().enumerate() {
        let leader = (index % 2 == 0).then_some(NodeId(64));
        let digest = StateDigest { epoch: Epoch(61 << 40), commit_index: 62, term: Term(63), leader };
        all.push((format!("probe-{name}"), NodeMessage::Gossip { message, digest }));
    }
    let previous = LogPosition { term: Term(65), index: 66 };
    let other_messages = [
        ("want", NodeMessage::FetchCommitted { epoch: Epoch(67), index: 68 }),
        ("more", NodeMessage::CommittedEntries { epoch: Epoch(69), previous, entries: entries() }),
        ("all", NodeMessage::CommittedSnapshot { epoch: Epoch(70), snapshot: snapshot() }),
        ("ask-lease", NodeMessage::LeaseRequest { sent_at_us: 71_000 }),
        (
            "lease",
            NodeMessage::LeaseGrant { sent_at_us: 72_000, epoch: Epoch(73), view: 74, duration_ms: 750.5 },
        ),
        (
            "propose",
            NodeMessage::Propose { nonce: 76_000, key: "key".into(), version: 77, bytes: vec![78, 79] },
        ),
        ("proposed", NodeMessage::ProposeResponse { nonce: 80_000, accepted: true }),
        ("consent", NodeMessage::EpochConsentRequest { epoch: Epoch(81) }),
        (
            "consented",
            NodeMessage::EpochConsent {
                epoch: Epoch(82),
                persistent: Some(Box::new(persistent())),
                refusal: None,
            },
        ),
        (
            "consented-refused",
            NodeMessage::EpochConsent { epoch: Epoch(83), persistent: None, refusal: Some("why".into()) },
        ),
    ];
    all.extend(other_messages.map(|(name, message)| (name.to_string(), message)));
    all
}

fn status() -> Status {
    let member = MemberStatus {
        name: "member".into(),
        node_id: 84,
        zone: "zone".into(),
        region: "region".into(),
        address: "address".into(),
        state: "condition".into(),
        is_ready: true,
        is_draining: false,
        in_view: true,
        voter: false,
        since_ms: 85.5,
        lag: Some(86),
    };
    Status {
        group: "group".into(),
        name: "name".into(),
        node_id: 87,
        epoch_number: 88,
        epoch: 89,
        term: 90,
        role: "role".into(),
        leads: true,
        leader: Some("leader".into()),
        commit_index: 91,
        view: 92,
        view_members: vec![93, 94],
        may_act: Some(95),
        no_leader_ms: Some(96.5),
        is_storage_working: false,
        members: vec![member],
        history: vec![ViewChange {
            number: 97,
            joined: vec![(NodeId(98), "in".into())],
            left: vec![(NodeId(99), "out".into())],
        }],
        values: vec![("key".into(), 100)],
    }
}

fn questions() -> Vec<(&'static str, Question)> {
    vec![
        ("status", Question::Status),
        ("recover", Question::Recover { lost: vec!["one".into(), "two".into()] }),
        ("replace", Question::Replace { voter: "voter".into() }),
        ("part", Question::Part { part: "part".into(), bytes: vec![101] }),
        ("copies", Question::Copies),
        ("ticket", Question::Ticket { offering: "offering".into(), ticket: "ticket".into() }),
        ("brief", Question::Brief { names: vec!["three".into()] }),
    ]
}

fn answers() -> Vec<(&'static str, Answer)> {
    let replication = ReplicationStatus {
        name: "name".into(),
        view: 102,
        is_reconciled: true,
        replication_factor: 103,
        min_replicas: 104,
        records: 105,
        max_records: 106,
        outcome_bytes: 107,
        max_outcome_bytes: 108,
        under_replicated_records: 109,
        reserving: 110,
        waiting: 111,
        running: 112,
        completing: 113,
        suspected: vec!["doubted".into()],
        draining: vec!["leaving".into()],
    };
    let record = RecordStatus {
        executor: "runner".into(),
        replica_set: vec!["holder".into()],
        state: "open".into(),
        reserved_in_view: 114,
        retention_ms: 115,
    };
    let key = KeyStatus {
        name: "name".into(),
        view: 116,
        hash: "hash".into(),
        replica_set: vec!["placed".into()],
        record: Some(record),
    };
    let brief = Brief {
        name: "name".into(),
        node_id: 117,
        epoch: 118,
        view: 119,
        leads: true,
        leader: Some("leader".into()),
        may_act: false,
        in_view: 120,
        alive: 121,
        alive_of: vec!["alive".into()],
        values: vec![("key".into(), 122, 123)],
    };
    vec![
        ("status", Answer::Status(Box::new(status()))),
        ("copies", Answer::Copies(Box::new(replication))),
        ("ticket", Answer::Ticket(Box::new(key))),
        ("part", Answer::Part(vec![124, 125])),
        ("done", Answer::Done("done".into())),
        ("refused", Answer::Refused("refused".into())),
        ("brief", Answer::Brief(Box::new(brief))),
    ]
}

#[test]
fn the_encoding_of_every_message_is_unchanged() {
    let mut fixture = Fixture::of(MESSAGES);
    for (name, message) in consensus_messages() {
        fixture.check(&format!("council-message-{name}"), &message);
    }
    for (name, message) in gossip_messages() {
        fixture.check(&format!("members-message-{name}"), &message);
    }
    for (index, (name, message)) in node_messages().into_iter().enumerate() {
        let to = (index % 2 == 0).then_some(NodeId(126));
        let envelope = Envelope { from: NodeId(127), address: address(128), to, message };
        fixture.check(&format!("envelope-{name}"), &envelope);
        fixture.check(&format!("wire-say-{name}"), &Wire::Envelope(envelope));
    }
    for (name, question) in questions() {
        fixture.check(&format!("wire-ask-{name}"), &Wire::Question(question));
    }
    for (name, answer) in answers() {
        fixture.check(&format!("wire-answer-{name}"), &Wire::Answer(Box::new(answer)));
    }
    fixture
        .check("wire-part", &Wire::Subsystem { from: NodeId(129), to: NodeId(130), bytes: vec![131, 132] });
    fixture.check("wire-carried", &Wire::ConfigDistribution { address: address(133), bytes: vec![134, 135] });
    let hello = Hello { magic: MAGIC, major: 3, minor: 1, cluster: "group".into(), build: "build".into() };
    fixture.check("hello", &hello);
    fixture.check_bytes("hello-frame", &encode_frame(&hello));
    fixture.check_bytes("frame", &frame(&[136, 137, 138]));
    fixture.finish();
}

fn header() -> FileHeader {
    FileHeader {
        magic: storage::MAGIC,
        version: storage::VERSION,
        cluster: "group".into(),
        name: "name".into(),
        id: NodeId(139),
        created_at_ms: 140,
    }
}

fn records() -> Vec<(&'static str, Record<ClusterState>)> {
    vec![
        ("term", Record::HardState { epoch: Epoch(141 << 40), term: Term(142), vote: Some(NodeId(143)) }),
        ("entries", Record::Append { from: 36, entries: entries() }),
        ("whole", Record::Snapshot(snapshot())),
        ("promised", Record::PromisedEpoch(Epoch(144 << 40))),
    ]
}

/// Returns the state in the fixture `file-appended`: [`persistent`] with the records of [`records`] applied in order.
fn persistent_with_records() -> PersistentState<ClusterState> {
    let mut persistent = persistent();
    records().into_iter().for_each(|(_, record)| persistent.apply(record));
    persistent
}

#[test]
fn the_encoding_of_every_storage_record_is_unchanged() {
    let mut fixture = Fixture::of(STORAGE);
    fixture.check_bytes("identity", &encode_frame(&header()));
    for (name, record) in records() {
        fixture.check_bytes(&format!("record-{name}"), &storage::encode_record(&record));
    }
    let empty = PersistentState::empty(ClusterState::default());
    fixture.check_bytes("file-of-nothing", &storage::encode_file(&header(), &empty));
    let written = storage::encode_file(&header(), &persistent());
    fixture.check_bytes("file-written", &written);
    let appended =
        records().iter().flat_map(|(_, record)| storage::encode_record(record)).collect::<Vec<u8>>();
    fixture.check_bytes("file-appended", &[written, appended].concat());
    fixture.finish();
}

/// A member is upgraded from an earlier build. The storage file of that build must restore the same id, vote, log and
/// state, and no part of it may be ignored as truncated.
#[test]
fn a_storage_file_of_an_earlier_build_is_restored_completely() {
    let fixture = Fixture::of(STORAGE).expected;
    let files = [
        ("file-of-nothing", PersistentState::empty(ClusterState::default())),
        ("file-written", persistent()),
        ("file-appended", persistent_with_records()),
    ];
    for (name, expected) in files {
        let bytes = from_hex(fixture[name]);
        let outcome = storage::read_file(&bytes, "group", "name");
        let restored = ReadOutcome::Restored {
            header: header(),
            persistent: Box::new(expected),
            valid_bytes: bytes.len(),
        };
        assert_eq!(outcome, restored, "{name}");
    }
}

#[test]
fn a_storage_record_of_an_earlier_build_decodes_to_its_value() {
    let fixture = Fixture::of(STORAGE).expected;
    for (name, record) in records() {
        let bytes = from_hex(fixture[format!("record-{name}").as_str()]);
        let (payload, length) = read_frame(&bytes).expect("a valid frame").expect("a complete frame");
        assert_eq!(length, bytes.len());
        assert_eq!(decode::<Record<ClusterState>>(payload), Ok(record), "{name}");
    }
}
