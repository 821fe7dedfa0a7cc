//! Verifies that the checks detect each rule of [`BrokenRule`] when it is violated. The model that detects the first two
//! violations finds none in the unmodified code (`checker.rs`).

mod model;

use std::sync::atomic::Ordering;

use model::{replica_indices, FaultBudget, KeyModel, KEY, VIOLATIONS};
use plovershelf_cluster::NodeId;
use plovershelf_replication::broken::{set, BrokenRule};
use plovershelf_replication::{
    Member, Message, Outcome, ReplicationConfig, Replicator, RequestId, Reservation, ViewNumber,
};
use stateright::{Checker, Model};

/// Explores the model with a rule violated and asserts that a property fails.
fn assert_detected(rule: BrokenRule, attempts: [usize; 2], crashes: u8) {
    let replicas = replica_indices(3, 3);
    let attempts = attempts.iter().map(|index| replicas[*index]).collect();
    let budget = FaultBudget { crashes, duplicates: 0, link_failures: 0, cancels: 0, suspicions: 0 };
    set(Some(rule));
    let checker = KeyModel { members: 3, replication_factor: 3, attempts, budget }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
    set(None);
    set(None);
    let violations = VIOLATIONS.swap(0, Ordering::Relaxed);
    assert_ne!(violations, 0, "{rule:?}: {} states", checker.unique_state_count());
    println!("{rule:?}: violated properties {violations:b} after {} states", checker.unique_state_count());
}

/// Returns how often a replica confirms the outcome of a reservation that it never received.
fn confirmations_by_an_empty_replica() -> usize {
    let member =
        |n: u64| Member { id: NodeId(n), zone: format!("z{n}"), machine: format!("m{n}"), weight: 1.0 };
    let config = ReplicationConfig { replication_factor: 3, ..ReplicationConfig::default() };
    let mut replica = Replicator::new(NodeId(2), config, 0.0);
    replica.update_view(0.0, ViewNumber(1), (1..=3).map(member).collect());
    let _ = replica.poll_actions();
    let reservation = Reservation { executor: NodeId(1), request: RequestId(1) };
    let (view, outcome) = (ViewNumber(1), Outcome::Failed);
    let message = Message::RecordOutcome { view, key: KEY, reservation, outcome, retention_ms: 1000 };
    replica.handle_message(1.0, NodeId(1), message);
    let sent = replica.poll_actions().messages;
    sent.iter().filter(|(_, message)| matches!(message, Message::OutcomeRecorded { .. })).count()
}

#[test]
fn each_violated_rule_is_detected() {
    assert_detected(BrokenRule::LaunchBeforeReserved, [1, 2], 1);
    assert_detected(BrokenRule::AnswerBeforeReplicated, [1, 2], 2);
    assert_eq!(confirmations_by_an_empty_replica(), 0);
    set(Some(BrokenRule::EmptyReplicaConfirms));
    let confirmations = confirmations_by_an_empty_replica();
    set(None);
    assert_eq!(confirmations, 1, "an empty replica confirms if the rule is violated");
}
