//! The bytes of every message of this package's protocols and of the file that a folder holds, as earlier builds wrote
//! them. A member of this build talks to members of those builds and opens their folders, so none of these bytes may
//! change: a field or variant that is moved, added or given another type shows here.
//!
//! The fixtures have a line `name hex` for each value. They were written by the build before and are never written anew.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Debug;
use std::net::SocketAddr;

use plovershelf_cluster::council::{Entry, Id, Kept, Mark, Message, Record, What, Whole};
use plovershelf_cluster::decided::{Decided, Decision, Seat, Step, View, Word};
use plovershelf_cluster::frames::{decode, encode, framed, plain, unframed, Hello, Wire, MAGIC};
use plovershelf_cluster::group::{Envelope, Heading, Say};
use plovershelf_cluster::members::{self, About, Condition, News};
use plovershelf_cluster::status::{
    Answer, Brief, CopiesStatus, HeldStatus, MemberStatus, Question, Status, TicketStatus,
};
use plovershelf_cluster::store::{self, Identity, Read};
use serde::de::DeserializeOwned;
use serde::Serialize;

const MESSAGES: &str = include_str!("fixtures/cluster.txt");
const FOLDER: &str = include_str!("fixtures/folder.txt");

struct Pins {
    expected: BTreeMap<&'static str, &'static str>,
    checked: usize,
    wrong: Vec<String>,
}

impl Pins {
    fn of(fixture: &'static str) -> Self {
        let lines = fixture.lines().filter(|line| !line.is_empty());
        let expected = lines.map(|line| line.split_once(' ').expect("a name and hex")).collect();
        Pins { expected, checked: 0, wrong: Vec::new() }
    }

    fn check_bytes(&mut self, name: &str, bytes: &[u8]) {
        self.checked += 1;
        let hex = to_hex(bytes);
        if self.expected.get(name) != Some(&hex.as_str()) {
            self.wrong.push(format!("{name} {hex}"));
        }
    }

    /// Encodes to the fixture's bytes, and the fixture's bytes decode to the value.
    fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, value: &T) {
        self.check_bytes(name, &plain(value));
        if let Some(hex) = self.expected.get(name) {
            let decoded: T = decode(&from_hex(hex)).expect("the fixture's bytes decode");
            assert_eq!(decoded, *value, "{name}");
        }
    }

    /// None differs, and none of the fixture was left out.
    fn finish(self) {
        assert!(self.wrong.is_empty(), "these lines are not in the fixture:\n{}", self.wrong.join("\n"));
        assert_eq!(self.checked, self.expected.len(), "a line of the fixture is checked by nothing");
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 3, last], 7400 + u16::from(last)))
}

fn about(id: u64) -> About {
    About {
        id: Id(id),
        name: format!("name-{id}"),
        zone: format!("zone-{id}"),
        region: format!("region-{id}"),
        address: address(id as u8),
        born: id + 1_000_000,
    }
}

fn news(id: u64, fit: bool, condition: Condition) -> News {
    News {
        about: about(id),
        stand: 300 + id as u32,
        fit,
        leaving: !fit,
        life: 70_000 + id,
        condition,
        by: Id(id + 40),
    }
}

fn seat(id: u64, leaving: bool) -> Seat {
    Seat {
        name: format!("seat-{id}"),
        zone: format!("zone-{id}"),
        region: format!("region-{id}"),
        address: address(id as u8),
        leaving,
        life: 90_000 + id,
    }
}

fn entries() -> Vec<Entry<Decision>> {
    let view =
        Decision::View { number: 12, joined: vec![(Id(13), seat(13, true))], left: vec![Id(14), Id(15)] };
    let word = Decision::Word { key: "key".into(), number: 16, bytes: vec![17, 18] };
    vec![
        Entry { term: 8, what: What::Begin },
        Entry { term: 9, what: What::Voters([Id(10), Id(11)].into()) },
        Entry { term: 19, what: What::Word(view) },
        Entry { term: 20, what: What::Word(word) },
    ]
}

fn state() -> Decided {
    let step =
        Step { number: 21, joined: vec![(Id(22), "joined".into())], left: vec![(Id(23), "left".into())] };
    Decided {
        view: View { number: 24, members: [(Id(25), seat(25, false)), (Id(26), seat(26, true))].into() },
        steps: VecDeque::from([step]),
        words: [("word".to_string(), Word { number: 27, bytes: vec![28, 29] })].into(),
    }
}

fn whole() -> Whole<Decided> {
    let at = Mark { term: 30, index: 31 };
    Whole { at, voters: [Id(32), Id(33)].into(), voters_at: 34, state: state() }
}

fn kept() -> Kept<Decided> {
    Kept { era: 35 << 40, term: 36, voted: Some(Id(37)), promised: 38 << 40, base: whole(), log: entries() }
}

fn council_messages() -> Vec<(&'static str, Message<Decided>)> {
    let last = Mark { term: 41, index: 42 };
    vec![
        ("ask", Message::Ask { term: 43, last, dry: true }),
        ("said", Message::Said { term: 44, granted: true, dry: false }),
        (
            "append",
            Message::Append { term: 45, before: last, entries: entries(), decided: 46, stamp: 47_000 },
        ),
        ("catch", Message::Catch { term: 48, whole: whole(), stamp: 49_000 }),
        ("took", Message::Took { term: 50, matches: true, up_to: 51, stamp: 52_000 }),
        ("recall", Message::Recall { nonce: 53_000, at_least: 54 }),
        (
            "recalled",
            Message::Recalled {
                nonce: 55_000,
                term: 56,
                last,
                voters_at: 57,
                voters: [Id(58)].into(),
                settled: true,
                leads: false,
            },
        ),
    ]
}

fn probe_messages() -> Vec<(&'static str, members::Message)> {
    use members::Message;
    let alive = || vec![news(1, true, Condition::Alive)];
    let all = vec![
        news(1, true, Condition::Alive),
        news(2, false, Condition::Suspected),
        news(3, true, Condition::Dead),
        news(4, false, Condition::Left),
    ];
    vec![
        ("ping", Message::Ping { nonce: 5000, news: all }),
        ("pong", Message::Pong { nonce: 5001, news: alive() }),
        ("through", Message::Through { nonce: 5002, target: Id(6), address: address(7), news: alive() }),
        ("reached", Message::Reached { nonce: 5003, news: alive() }),
        ("tell", Message::Tell { news: alive() }),
        ("sums", Message::Sums { sums: vec![1, 2_000_000, 3], answer: true }),
        ("part", Message::Part { news: alive() }),
    ]
}

fn says() -> Vec<(String, Say)> {
    let mut all = Vec::new();
    for (name, message) in council_messages() {
        all.push((format!("council-{name}"), Say::Council { era: 60 << 40, message }));
    }
    for (place, (name, message)) in probe_messages().into_iter().enumerate() {
        let leader = (place % 2 == 0).then_some(Id(64));
        let heading = Heading { era: 61 << 40, decided: 62, term: 63, leader };
        all.push((format!("probe-{name}"), Say::Probe { message, heading }));
    }
    let before = Mark { term: 65, index: 66 };
    let more = [
        ("want", Say::Want { era: 67, index: 68 }),
        ("more", Say::More { era: 69, before, entries: entries() }),
        ("all", Say::All { era: 70, whole: whole() }),
        ("ask-lease", Say::AskLease { stamp: 71_000 }),
        ("lease", Say::Lease { stamp: 72_000, era: 73, view: 74, span_ms: 750.5 }),
        ("propose", Say::Propose { nonce: 76_000, key: "key".into(), number: 77, bytes: vec![78, 79] }),
        ("proposed", Say::Proposed { nonce: 80_000, taken: true }),
        ("consent", Say::Consent { era: 81 }),
        ("consented", Say::Consented { era: 82, kept: Some(Box::new(kept())), refused: None }),
        ("consented-refused", Say::Consented { era: 83, kept: None, refused: Some("why".into()) }),
    ];
    all.extend(more.map(|(name, say)| (name.to_string(), say)));
    all
}

fn status() -> Status {
    let member = MemberStatus {
        name: "member".into(),
        memory: 84,
        zone: "zone".into(),
        region: "region".into(),
        address: "address".into(),
        condition: "condition".into(),
        fit: true,
        leaving: false,
        in_view: true,
        voter: false,
        since_ms: 85.5,
        lag: Some(86),
    };
    Status {
        group: "group".into(),
        name: "name".into(),
        memory: 87,
        council: 88,
        era: 89,
        term: 90,
        role: "role".into(),
        leads: true,
        leader: Some("leader".into()),
        decided: 91,
        view: 92,
        view_members: vec![93, 94],
        may_act: Some(95),
        undecided_ms: Some(96.5),
        keeps: false,
        members: vec![member],
        history: vec![Step {
            number: 97,
            joined: vec![(Id(98), "in".into())],
            left: vec![(Id(99), "out".into())],
        }],
        words: vec![("key".into(), 100)],
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
    let copies = CopiesStatus {
        name: "name".into(),
        view: 102,
        settled: true,
        copies: 103,
        least: 104,
        held: 105,
        held_most: 106,
        held_bytes: 107,
        held_bytes_most: 108,
        low: 109,
        asking: 110,
        waiting: 111,
        running: 112,
        ending: 113,
        doubted: vec!["doubted".into()],
        leaving: vec!["leaving".into()],
    };
    let held = HeldStatus {
        runner: "runner".into(),
        holders: vec!["holder".into()],
        state: "open".into(),
        claimed_under_view: 114,
        keep_ms: 115,
    };
    let ticket = TicketStatus {
        name: "name".into(),
        view: 116,
        hash: "hash".into(),
        placed: vec!["placed".into()],
        held: Some(held),
    };
    let brief = Brief {
        name: "name".into(),
        memory: 117,
        era: 118,
        view: 119,
        leads: true,
        leader: Some("leader".into()),
        may_act: false,
        in_view: 120,
        alive: 121,
        alive_of: vec!["alive".into()],
        words: vec![("key".into(), 122, 123)],
    };
    vec![
        ("status", Answer::Status(Box::new(status()))),
        ("copies", Answer::Copies(Box::new(copies))),
        ("ticket", Answer::Ticket(Box::new(ticket))),
        ("part", Answer::Part(vec![124, 125])),
        ("done", Answer::Done("done".into())),
        ("refused", Answer::Refused("refused".into())),
        ("brief", Answer::Brief(Box::new(brief))),
    ]
}

#[test]
fn every_message_keeps_its_bytes() {
    let mut pins = Pins::of(MESSAGES);
    for (name, message) in council_messages() {
        pins.check(&format!("council-message-{name}"), &message);
    }
    for (name, message) in probe_messages() {
        pins.check(&format!("members-message-{name}"), &message);
    }
    for (place, (name, say)) in says().into_iter().enumerate() {
        let to = (place % 2 == 0).then_some(Id(126));
        let envelope = Envelope { from: Id(127), at: address(128), to, say };
        pins.check(&format!("envelope-{name}"), &envelope);
        pins.check(&format!("wire-say-{name}"), &Wire::Say(envelope));
    }
    for (name, question) in questions() {
        pins.check(&format!("wire-ask-{name}"), &Wire::Ask(question));
    }
    for (name, answer) in answers() {
        pins.check(&format!("wire-answer-{name}"), &Wire::Answer(Box::new(answer)));
    }
    pins.check("wire-part", &Wire::Part { from: Id(129), to: Id(130), bytes: vec![131, 132] });
    pins.check("wire-carried", &Wire::Carried { at: address(133), bytes: vec![134, 135] });
    let hello = Hello { magic: MAGIC, major: 3, minor: 1, group: "group".into(), build: "build".into() };
    pins.check("hello", &hello);
    pins.check_bytes("hello-frame", &encode(&hello));
    pins.check_bytes("frame", &framed(&[136, 137, 138]));
    pins.finish();
}

fn identity() -> Identity {
    Identity {
        magic: store::MAGIC,
        major: store::MAJOR,
        group: "group".into(),
        name: "name".into(),
        id: Id(139),
        born: 140,
    }
}

fn records() -> Vec<(&'static str, Record<Decided>)> {
    vec![
        ("term", Record::Term { era: 141 << 40, term: 142, voted: Some(Id(143)) }),
        ("entries", Record::Entries { from: 36, entries: entries() }),
        ("whole", Record::Whole(whole())),
        ("promised", Record::Promised(144 << 40)),
    ]
}

/// What the file of the fixture `appended` comes to: [`kept`], and after it the records of [`records`] in their order.
fn kept_with_records() -> Kept<Decided> {
    let mut kept = kept();
    records().into_iter().for_each(|(_, record)| kept.take(record));
    kept
}

#[test]
fn every_record_of_a_folder_keeps_its_bytes() {
    let mut pins = Pins::of(FOLDER);
    pins.check_bytes("identity", &encode(&identity()));
    for (name, record) in records() {
        pins.check_bytes(&format!("record-{name}"), &store::record(&record));
    }
    let nothing = Kept::nothing(Decided::default());
    pins.check_bytes("file-of-nothing", &store::written(&identity(), &nothing));
    let written = store::written(&identity(), &kept());
    pins.check_bytes("file-written", &written);
    let appended = records().iter().flat_map(|(_, record)| store::record(record)).collect::<Vec<u8>>();
    pins.check_bytes("file-appended", &[written, appended].concat());
    pins.finish();
}

/// A member is stopped by a build of before and started by this one: the folder's file must come to the very same memory,
/// vote, log and state, and no byte of it may be left out as torn.
#[test]
fn a_folder_that_an_earlier_build_wrote_is_read_back_whole() {
    let fixture = Pins::of(FOLDER).expected;
    let files = [
        ("file-of-nothing", Kept::nothing(Decided::default())),
        ("file-written", kept()),
        ("file-appended", kept_with_records()),
    ];
    for (name, expected) in files {
        let bytes = from_hex(fixture[name]);
        let read = store::read(&bytes, "group", "name");
        let whole = bytes.len();
        assert_eq!(read, Read::Kept { identity: identity(), kept: Box::new(expected), whole }, "{name}");
    }
}

#[test]
fn a_folder_record_that_an_earlier_build_wrote_decodes_to_its_value() {
    let fixture = Pins::of(FOLDER).expected;
    for (name, record) in records() {
        let bytes = from_hex(fixture[format!("record-{name}").as_str()]);
        let (content, length) = unframed(&bytes).expect("a frame").expect("a whole frame");
        assert_eq!(length, bytes.len());
        assert_eq!(decode::<Record<Decided>>(content), Ok(record), "{name}");
    }
}
