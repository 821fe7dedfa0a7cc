//! The encoding of the operators' requests to configuration distribution, and of the answers, as an earlier build
//! wrote them. During a release, commands and processes of both builds communicate in both directions.

use plovershelf_cluster::wire::{decode, encode_payload};
use plovershelf_config_distribution::{Change, Edit, NodeStatus, Version};
use plovershelf_server::config_distribution::admin::{
    AdminRequest, AdminResponse, ConsensusReport, StatusReport,
};

const FIXTURE: &str = include_str!("fixtures/config_questions.txt");

fn version(epoch: u64, number: u64) -> Version {
    Version { epoch, number }
}
fn edits() -> Vec<Edit> {
    vec![
        Edit::Set { tenant: "acme".into(), quota_per_s: 20.5 },
        Edit::Add { tenant: "zeta".into(), quota_per_s: 5.25 },
        Edit::Remove { tenant: "old".into() },
    ]
}
fn status() -> NodeStatus {
    NodeStatus {
        name: "backend-7".into(),
        version: version(3, 41),
        digest: 0x0011_2233_4455_6677_8899_aabb_ccdd_eeff,
        tenants: 34_000,
        age_ms: Some(1234.5),
        parent: Some(([10, 1, 2, 3], 7501).into()),
        backup_parent: Some(([10, 1, 2, 4], 7502).into()),
        children: 16,
        nodes: 17,
        up_to_date: 15,
        oldest: version(2, 39),
        missing: vec!["gone-1".into(), "gone-2".into()],
    }
}

fn requests() -> Vec<(&'static str, AdminRequest)> {
    vec![
        ("ask-status", AdminRequest::Status),
        ("ask-history", AdminRequest::History),
        ("ask-propose", AdminRequest::Propose { edits: edits(), after: Some(41) }),
        ("ask-propose-any", AdminRequest::Propose { edits: edits(), after: None }),
    ]
}
fn responses() -> Vec<(&'static str, AdminResponse)> {
    let consensus = ConsensusReport { number: 43, leader: Some("c1".into()), has_quorum: true };
    let listener = NodeStatus { age_ms: None, parent: None, backup_parent: None, ..status() };
    let change = Change {
        version: version(4, 41),
        previous: version(3, 40),
        digest: 0xffee_ddcc_bbaa_9988_7766_5544_3322_1100,
        edits: edits(),
        proposed_unix_ms: 1_700_000_000_123,
    };
    let report = |node, is_origin, consensus| {
        AdminResponse::Status(Box::new(StatusReport { node, is_origin, consensus }))
    };
    vec![
        ("told-status-source", report(status(), true, Some(consensus))),
        ("told-status-listener", report(listener, false, None)),
        ("told-history", AdminResponse::History(vec![change])),
        ("told-done", AdminResponse::Committed("agreed as number 41".into())),
        ("told-refused", AdminResponse::Rejected("no leader is known".into())),
    ]
}

/// Does not compile until a new variant is listed here, and with that pinned by the fixture.
fn kinds(request: &AdminRequest, response: &AdminResponse) -> (usize, usize) {
    let request = match request {
        AdminRequest::Status => 0,
        AdminRequest::History => 1,
        AdminRequest::Propose { .. } => 2,
    };
    let response = match response {
        AdminResponse::Status(_) => 0,
        AdminResponse::History(_) => 1,
        AdminResponse::Committed(_) => 2,
        AdminResponse::Rejected(_) => 3,
    };
    (request, response)
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
fn requests_and_responses_keep_the_encoding_of_the_earlier_build() {
    let of = |(request, response): (&(_, AdminRequest), &(_, AdminResponse))| kinds(&request.1, &response.1);
    let kinds: Vec<(usize, usize)> = requests().iter().cycle().zip(&responses()).map(of).collect();
    assert!((0..3).all(|request| kinds.iter().any(|kind| kind.0 == request)));
    assert!((0..4).all(|response| kinds.iter().any(|kind| kind.1 == response)));
    for (name, request) in requests() {
        assert_eq!(hex(&encode_payload(&request)), hex(&pinned(name)), "{name}");
        assert_eq!(decode::<AdminRequest>(&pinned(name)), Ok(request), "{name}");
    }
    for (name, response) in responses() {
        assert_eq!(hex(&encode_payload(&response)), hex(&pinned(name)), "{name}");
        assert_eq!(decode::<AdminResponse>(&pinned(name)), Ok(response), "{name}");
    }
}
