//! Property tests: arbitrary messages, including malformed ones, cause neither a panic nor unbounded growth, and
//! arbitrary bytes are handled where frames or a storage file are read.

use std::net::SocketAddr;

use plovershelf_cluster::consensus::{
    Ballot, Entry, LogPosition, Message, Payload, PersistentState, Record, Snapshot, Term,
};
use plovershelf_cluster::gossip::{self, MemberState, MemberUpdate, NodeInfo};
use plovershelf_cluster::storage::{self, FileHeader, ReadOutcome};
use plovershelf_cluster::wire::{
    decode, encode_frame, frame, read_frame, Envelope, Hello, NodeMessage, StateDigest, Wire,
};
use plovershelf_cluster::{ClusterNode, ClusterState, Command, Epoch, NodeConfig, NodeId, Startup};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn node(number: u64) -> NodeInfo {
    NodeInfo {
        id: NodeId(number),
        name: format!("n{number}"),
        zone: format!("z{}", number % 3),
        region: "r".into(),
        address: SocketAddr::from(([127, 0, 0, number as u8], 7000)),
        created_at_ms: number,
    }
}

fn cluster_node(bootstrapped: bool) -> ClusterNode {
    let mut persistent = None;
    if bootstrapped {
        let mut own = PersistentState::empty(ClusterState::default());
        own.apply(Record::HardState { epoch: Epoch(1 << 40), term: Term(1), vote: None });
        let last = LogPosition { term: Term(1), index: 1 };
        own.apply(Record::Snapshot(Snapshot {
            last,
            voters: [NodeId(1), NodeId(2), NodeId(3)].into(),
            voters_index: 1,
            state: ClusterState::default(),
        }));
        persistent = Some(own);
    }
    let initial_voters = vec!["n1".into(), "n2".into(), "n3".into()];
    let config = NodeConfig::default();
    let startup = Startup { node: node(1), config, seeds: vec![], initial_voters, persistent, seed: 7 };
    ClusterNode::new(startup, 0.0)
}

fn ids() -> impl Strategy<Value = NodeId> {
    (0u64..6).prop_map(NodeId)
}

fn terms() -> impl Strategy<Value = Term> {
    (0u64..6).prop_map(Term)
}

fn ballots() -> impl Strategy<Value = Ballot> {
    any::<bool>().prop_map(|pre_vote| if pre_vote { Ballot::PreVote } else { Ballot::Vote })
}

fn positions() -> impl Strategy<Value = LogPosition> {
    (0u64..5, 0u64..9).prop_map(|(term, index)| LogPosition { term: Term(term), index })
}

fn updates() -> impl Strategy<Value = MemberUpdate> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Dead),
        Just(MemberState::Left)
    ];
    (1u64..40, 0u32..4, any::<bool>(), state, ids()).prop_map(
        |(number, incarnation, ready, state, reported_by)| MemberUpdate {
            node: node(number),
            incarnation,
            ready,
            draining: !ready && incarnation % 2 == 0,
            boot_id: u64::from(incarnation / 3),
            state,
            reported_by,
        },
    )
}

fn payloads() -> impl Strategy<Value = Payload<Command>> {
    prop_oneof![
        Just(Payload::Noop),
        vec(ids(), 0..5).prop_map(|ids| Payload::Voters(ids.into_iter().collect())),
        (0u64..4, vec(ids(), 0..3)).prop_map(|(number, left)| Payload::Command(Command::ChangeView {
            number,
            joined: vec![],
            left
        })),
        (0u64..4).prop_map(|version| Payload::Command(Command::SetValue {
            key: "k".into(),
            version,
            bytes: vec![1]
        })),
    ]
}

fn entries() -> impl Strategy<Value = Vec<Entry<Command>>> {
    let entry = (0u64..5, payloads()).prop_map(|(term, payload)| Entry { term: Term(term), payload });
    vec(entry, 0..4)
}

fn snapshots() -> impl Strategy<Value = Snapshot<ClusterState>> {
    (positions(), vec(ids(), 0..4)).prop_map(|(last, voters)| Snapshot {
        last,
        voters: voters.into_iter().collect(),
        voters_index: last.index,
        state: ClusterState::default(),
    })
}

fn epochs() -> impl Strategy<Value = Epoch> {
    prop_oneof![Just(0u64), Just(1u64 << 40), Just(2u64 << 40), any::<u64>()].prop_map(Epoch)
}

fn consensus_messages() -> impl Strategy<Value = Message<ClusterState>> {
    prop_oneof![
        (terms(), positions(), ballots()).prop_map(|(term, last, ballot)| Message::RequestVote {
            term,
            last,
            ballot
        }),
        (terms(), any::<bool>(), ballots()).prop_map(|(term, granted, ballot)| Message::Vote {
            term,
            granted,
            ballot
        }),
        (terms(), positions(), entries(), 0u64..9, any::<u64>()).prop_map(
            |(term, previous, entries, commit_index, sent_at_us)| Message::AppendEntries {
                term,
                previous,
                entries,
                commit_index,
                sent_at_us
            }
        ),
        (terms(), snapshots(), any::<u64>())
            .prop_map(|(term, snapshot, sent_at_us)| Message::InstallSnapshot { term, snapshot, sent_at_us }),
        (terms(), any::<bool>(), 0u64..12, any::<u64>()).prop_map(
            |(term, matches, last_index, sent_at_us)| Message::AppendResponse {
                term,
                matches,
                last_index,
                sent_at_us
            }
        ),
        (any::<u64>(), terms()).prop_map(|(nonce, min_term)| Message::RecoveryRequest { nonce, min_term }),
        (any::<u64>(), terms(), positions(), vec(ids(), 0..4), any::<bool>()).prop_map(
            |(nonce, term, last, voters, active)| {
                Message::RecoveryResponse {
                    nonce,
                    term,
                    last,
                    voters_index: last.index,
                    voters: voters.into_iter().collect(),
                    active,
                    leads: !active,
                }
            }
        ),
    ]
}

fn gossip_messages() -> impl Strategy<Value = gossip::Message> {
    prop_oneof![
        (any::<u64>(), vec(updates(), 0..5))
            .prop_map(|(nonce, updates)| gossip::Message::Ping { nonce, updates }),
        (any::<u64>(), vec(updates(), 0..5))
            .prop_map(|(nonce, updates)| gossip::Message::Ack { nonce, updates }),
        (any::<u64>(), ids(), vec(updates(), 0..2)).prop_map(|(nonce, target, updates)| {
            gossip::Message::PingRequest {
                nonce,
                target,
                address: SocketAddr::from(([127, 0, 0, 9], 1)),
                updates,
            }
        }),
        (any::<u64>(), vec(updates(), 0..2))
            .prop_map(|(nonce, updates)| gossip::Message::IndirectAck { nonce, updates }),
        vec(updates(), 0..60).prop_map(|updates| gossip::Message::Broadcast { updates }),
        (vec(any::<u32>(), 60..70), any::<bool>())
            .prop_map(|(checksums, reply)| gossip::Message::Digest { checksums, reply }),
        vec(updates(), 0..60).prop_map(|updates| gossip::Message::Sync { updates }),
    ]
}

fn node_messages() -> impl Strategy<Value = NodeMessage> {
    prop_oneof![
        4 => (epochs(), consensus_messages()).prop_map(|(epoch, message)| NodeMessage::Consensus { epoch, message }),
        3 => (gossip_messages(), epochs(), 0u64..9, terms(), proptest::option::of(ids())).prop_map(|(message, epoch, commit_index, term, leader)| {
            NodeMessage::Gossip { message, digest: StateDigest { epoch, commit_index, term, leader } }
        }),
        1 => (epochs(), 0u64..9).prop_map(|(epoch, index)| NodeMessage::FetchCommitted { epoch, index }),
        1 => (epochs(), positions(), entries()).prop_map(|(epoch, previous, entries)| NodeMessage::CommittedEntries { epoch, previous, entries }),
        1 => (epochs(), snapshots()).prop_map(|(epoch, snapshot)| NodeMessage::CommittedSnapshot { epoch, snapshot }),
        1 => any::<u64>().prop_map(|sent_at_us| NodeMessage::LeaseRequest { sent_at_us }),
        1 => (any::<u64>(), epochs(), 0u64..4, any::<f64>()).prop_map(|(sent_at_us, epoch, view, duration_ms)| NodeMessage::LeaseGrant { sent_at_us, epoch, view, duration_ms }),
        1 => (0u64..3).prop_map(|version| NodeMessage::Propose { nonce: 1, key: "k".into(), version, bytes: vec![0; 10] }),
        1 => epochs().prop_map(|epoch| NodeMessage::EpochConsentRequest { epoch }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against unbounded growth when a peer of another version or a hostile one sends arbitrary messages. The
    /// node sends a bounded number of messages, has a bounded number of members and acts on no view that it is not in.
    #[test]
    fn any_messages_in_any_state_leave_the_node_bounded(
        bootstrapped in any::<bool>(),
        steps in vec((ids(), node_messages(), 0u32..400), 1..120),
    ) {
        let mut cluster = cluster_node(bootstrapped);
        let mut now = 0.0;
        for (from, message, wait) in steps {
            now += f64::from(wait);
            let envelope = Envelope { from, address: node(from.0).address, to: None, message };
            cluster.handle_message(now, envelope);
            if wait > 100 {
                cluster.handle_timeout(now);
            }
            let actions = cluster.poll_actions();
            prop_assert!(actions.send.len() < 200, "{} messages", actions.send.len());
            prop_assert!(cluster.swim().others().count() <= 2000);
            prop_assert!(cluster.may_act(now).is_none_or(|_| cluster.view().members.contains_key(&NodeId(1))));
        }
    }

    /// Guards against a panic on arbitrary bytes from a connection or in the storage file.
    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in vec(any::<u8>(), 0..300)) {
        if let Ok(Some((content, used))) = read_frame(&bytes) {
            prop_assert!(used <= bytes.len());
            let _ = decode::<Wire>(content);
        }
        let _ = decode::<Wire>(&bytes);
        let _ = decode::<Hello>(&bytes);
        let _ = storage::read_file(&bytes, "g", "n1");
    }

    /// Guards against reading a wrong state after an interrupted write or a changed byte on the disk. A file truncated
    /// anywhere gives the state of its complete records, and a changed byte never gives another state.
    #[test]
    fn a_truncated_file_keeps_its_complete_records_and_a_corrupt_one_is_rejected(
        all in vec(entries(), 1..6),
        cut in any::<prop::sample::Index>(),
        flip in any::<prop::sample::Index>(),
    ) {
        let header = FileHeader { magic: storage::MAGIC, version: storage::VERSION, cluster: "g".into(), name: "n1".into(), id: NodeId(5), created_at_ms: 1 };
        let mut state = PersistentState::empty(ClusterState::default());
        let mut bytes = storage::encode_file(&header, &state);
        let mut ends = vec![(bytes.len(), state.clone())];
        for entries in all {
            let record = Record::Append { from: state.last().index + 1, entries };
            bytes.extend(storage::encode_record(&record));
            state.apply(record);
            ends.push((bytes.len(), state.clone()));
        }
        let at = ends[0].0 + cut.index(bytes.len() - ends[0].0 + 1);
        let complete = ends.iter().rev().find(|(end, _)| *end <= at);
        let expected = &complete.expect("the header is complete at every offset").1;
        match storage::read_file(&bytes[..at], "g", "n1") {
            ReadOutcome::Restored { persistent: found, header: found_header, .. } => {
                prop_assert_eq!(&*found, expected);
                prop_assert_eq!(found_header, header);
            }
            other => prop_assert!(false, "{:?}", other),
        }
        let mut corrupt = bytes.clone();
        let at = flip.index(bytes.len());
        corrupt[at] ^= 0x10;
        // The file is either rejected or read only up to a record before the changed byte.
        if let ReadOutcome::Restored { persistent: found, valid_bytes, .. } = storage::read_file(&corrupt, "g", "n1") {
            prop_assert!(valid_bytes <= at);
            let is_prefix = ends.iter().any(|(end, state)| *end == valid_bytes && *state == *found);
            prop_assert!(is_prefix || valid_bytes < ends[0].0);
        }
    }
}

#[test]
fn hello_check_distinguishes_another_protocol_version_and_cluster() {
    let hello = Hello::of("fleet");
    assert_eq!(hello.check("fleet"), Ok(()));
    assert!(hello.check("other").expect_err("another cluster").to_string().contains("\"fleet\""));
    let newer = Hello { major: 9, ..hello.clone() };
    assert!(newer.check("fleet").expect_err("another version").to_string().contains("version 9."));
    assert!(Hello { magic: *b"HTTP", ..hello }.check("fleet").is_err());
    let hello_frame = encode_frame(&Hello::of("fleet"));
    assert_eq!(read_frame(&hello_frame[..hello_frame.len() - 1]), Ok(None));
    assert!(read_frame(&frame(&[0; 10])).is_ok());
    assert!(read_frame(&[0xff; 20]).is_err());
}
