//! The bytes of what the command asks a process that changes are carried to, and of the answers, as an earlier build wrote
//! them: a command of that build asks a process of this one while a release is under way, and the other way round.

use plovershelf_cluster::frames::{decode, plain};
use plovershelf_config_distribution::node::Status;
use plovershelf_config_distribution::quota_table::{Edit, Numbered, Version};
use plovershelf_server::config_distribution::admin::{Ask, Council, Report, Told};

const FIXTURE: &str = include_str!("fixtures/config_questions.txt");

fn version(era: u64, number: u64) -> Version {
    Version { era, number }
}
fn edits() -> Vec<Edit> {
    vec![
        Edit::Set { tenant: "acme".into(), quota_per_s: 20.5 },
        Edit::Add { tenant: "zeta".into(), quota_per_s: 5.25 },
        Edit::Remove { tenant: "old".into() },
    ]
}
fn status() -> Status {
    Status {
        name: "backend-7".into(),
        version: version(3, 41),
        digest: 0x0011_2233_4455_6677_8899_aabb_ccdd_eeff,
        tenants: 34_000,
        age_ms: Some(1234.5),
        parent: Some(([10, 1, 2, 3], 7501).into()),
        spare: Some(([10, 1, 2, 4], 7502).into()),
        children: 16,
        under: 17,
        in_force: 15,
        oldest: version(2, 39),
        missing: vec!["gone-1".into(), "gone-2".into()],
    }
}

fn questions() -> Vec<(&'static str, Ask)> {
    vec![
        ("ask-status", Ask::Status),
        ("ask-history", Ask::History),
        ("ask-propose", Ask::Propose { edits: edits(), after: Some(41) }),
        ("ask-propose-any", Ask::Propose { edits: edits(), after: None }),
    ]
}
fn answers() -> Vec<(&'static str, Told)> {
    let council = Council { number: 43, leader: Some("c1".into()), agrees: true };
    let listener = Status { age_ms: None, parent: None, spare: None, ..status() };
    let change = Numbered {
        version: version(4, 41),
        before: version(3, 40),
        digest: 0xffee_ddcc_bbaa_9988_7766_5544_3322_1100,
        edits: edits(),
        proposed_ms: 1_700_000_000_123,
    };
    let report = |node, source, council| Told::Status(Box::new(Report { node, source, council }));
    vec![
        ("told-status-source", report(status(), true, Some(council))),
        ("told-status-listener", report(listener, false, None)),
        ("told-history", Told::History(vec![change])),
        ("told-done", Told::Done("agreed as number 41".into())),
        ("told-refused", Told::Refused("no leader is known".into())),
    ]
}

/// A variant that is new has to be pinned too: this does not compile until it is named here.
fn kinds(ask: &Ask, told: &Told) -> (usize, usize) {
    let ask = match ask {
        Ask::Status => 0,
        Ask::History => 1,
        Ask::Propose { .. } => 2,
    };
    let told = match told {
        Told::Status(_) => 0,
        Told::History(_) => 1,
        Told::Done(_) => 2,
        Told::Refused(_) => 3,
    };
    (ask, told)
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
fn every_question_and_answer_has_the_bytes_of_the_earlier_build_and_comes_back_from_them() {
    let of = |(ask, told): (&(_, Ask), &(_, Told))| kinds(&ask.1, &told.1);
    let kinds: Vec<(usize, usize)> = questions().iter().cycle().zip(&answers()).map(of).collect();
    assert!((0..3).all(|ask| kinds.iter().any(|kind| kind.0 == ask)));
    assert!((0..4).all(|told| kinds.iter().any(|kind| kind.1 == told)));
    for (name, ask) in questions() {
        assert_eq!(hex(&plain(&ask)), hex(&pinned(name)), "{name}");
        assert_eq!(decode::<Ask>(&pinned(name)), Ok(ask), "{name}");
    }
    for (name, told) in answers() {
        assert_eq!(hex(&plain(&told)), hex(&pinned(name)), "{name}");
        assert_eq!(decode::<Told>(&pinned(name)), Ok(told), "{name}");
    }
}

/// Was run once, before anything was renamed; the fixture is not written again.
#[test]
#[ignore]
fn write_the_fixture() {
    let mut lines = String::new();
    questions().iter().for_each(|(name, ask)| lines += &format!("{name} {}\n", hex(&plain(ask))));
    answers().iter().for_each(|(name, told)| lines += &format!("{name} {}\n", hex(&plain(told))));
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/config_questions.txt");
    std::fs::write(file, lines).unwrap();
}
