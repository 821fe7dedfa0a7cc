//! A launch before the reservation is confirmed, an answer before the result is replicated, and a blank replica that confirms are
//! each caught; the walk that catches the first two finds nothing in the whole code.

mod walk;

use std::sync::atomic::Ordering;

use plovershelf_cluster::NodeId;
use plovershelf_replication::broken::{set, Broken};
use plovershelf_replication::{
    Member, Message, Outcome, ReplicationConfig, Replicator, RequestId, Reservation, ViewNumber,
};
use stateright::{Checker, Model};
use walk::{replica_places, Budget, KeyModel, BROKEN, KEY};

fn caught(broken: Broken, attempts: [usize; 2], crashes: u8) {
    let replicas = replica_places(3, 3);
    let attempts = attempts.iter().map(|place| replicas[*place]).collect();
    let budget = Budget { crashes, duplicates: 0, breaks: 0, cancels: 0, suspicions: 0 };
    set(Some(broken));
    let checker = KeyModel { members: 3, replication_factor: 3, attempts, budget }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
    set(None);
    set(None);
    let found = BROKEN.swap(0, Ordering::Relaxed);
    assert_ne!(found, 0, "{broken:?}: {} states", checker.unique_state_count());
    println!("{broken:?}: {found:b} after {} states", checker.unique_state_count());
}

/// Confirmations by a replica of the outcome of a reservation that it was never sent.
fn confirmations_of_a_blank_replica() -> usize {
    let member =
        |n: u64| Member { id: NodeId(n), zone: format!("z{n}"), machine: format!("m{n}"), weight: 1.0 };
    let config = ReplicationConfig { replication_factor: 3, ..ReplicationConfig::default() };
    let mut blank = Replicator::new(NodeId(2), config, 0.0);
    blank.update_view(0.0, ViewNumber(1), (1..=3).map(member).collect());
    let _ = blank.poll_actions();
    let reservation = Reservation { executor: NodeId(1), request: RequestId(1) };
    let (view, outcome) = (ViewNumber(1), Outcome::Failed);
    let message = Message::RecordOutcome { view, key: KEY, reservation, outcome, retention_ms: 1000 };
    blank.handle_message(1.0, NodeId(1), message);
    let sent = blank.poll_actions().messages;
    sent.iter().filter(|(_, message)| matches!(message, Message::OutcomeRecorded { .. })).count()
}

#[test]
fn each_variant_is_caught() {
    caught(Broken::LaunchBeforeReserved, [1, 2], 1);
    caught(Broken::AnswerBeforeReplicated, [1, 2], 2);
    assert_eq!(confirmations_of_a_blank_replica(), 0);
    set(Some(Broken::BlankReplicaConfirms));
    let confirmations = confirmations_of_a_blank_replica();
    set(None);
    assert_eq!(confirmations, 1, "the variant is one");
}
