//! What people may ask of replication at this member.

use plovershelf_cluster::status::{Answer, CopiesStatus, HeldStatus, Question, TicketStatus};
use plovershelf_cluster::{ClusterNode, NodeId};
use plovershelf_replication::{IdempotencyKey, Outcome};

use super::in_hex;
use super::replication::ReplicationDriver;

/// Answers a question about replicas, or refuses it where there are none.
pub(super) fn answer(driver: Option<&ReplicationDriver>, node: &ClusterNode, question: Question) -> Answer {
    let Some(driver) = driver else {
        return Answer::Refused("there are no copies here: group.ini has no section [copies]".into());
    };
    match question {
        Question::Ticket { offering, ticket } => {
            let key = IdempotencyKey::new(&offering, ticket.as_bytes());
            Answer::Ticket(Box::new(key_status(driver, node, key)))
        }
        _ => Answer::Copies(Box::new(replication_status(driver, node))),
    }
}

fn member_name(node: &ClusterNode, id: NodeId) -> String {
    node.name_of(id).unwrap_or_else(|| in_hex(id))
}

fn replica_name(driver: &ReplicationDriver, node: &ClusterNode, replica: NodeId) -> String {
    driver.member(replica).map_or_else(|| in_hex(replica), |member| member_name(node, member))
}

fn key_status(driver: &ReplicationDriver, node: &ClusterNode, key: IdempotencyKey) -> TicketStatus {
    let replicator = driver.replicator();
    let name = |replica: &NodeId| replica_name(driver, node, *replica);
    let held = replicator.record(key).map(|record| HeldStatus {
        runner: name(&record.reservation.executor),
        holders: record.replica_set.iter().map(name).collect(),
        state: match &record.outcome {
            None => "open".into(),
            Some(Outcome::Succeeded(result)) => format!("succeeded, {} bytes", result.len()),
            Some(Outcome::Failed) => "failed".into(),
            Some(Outcome::InDoubt) => "in doubt".into(),
        },
        claimed_under_view: record.order.view.0,
        keep_ms: record.retention_ms,
    });
    TicketStatus {
        name: node.node().name.clone(),
        view: replicator.view().0,
        hash: format!("{:032x}", key.0),
        placed: replicator.replica_set(key).iter().map(name).collect(),
        held,
    }
}

fn replication_status(driver: &ReplicationDriver, node: &ClusterNode) -> CopiesStatus {
    let replicator = driver.replicator();
    let (requests, config) = (replicator.request_counts(), replicator.config());
    let draining = node.view().members.values().filter(|member| member.draining);
    CopiesStatus {
        name: node.node().name.clone(),
        view: replicator.view().0,
        settled: replicator.is_reconciled(),
        copies: config.replication_factor as u64,
        least: config.min_replicas as u64,
        held: replicator.record_count() as u64,
        held_most: config.max_records as u64,
        held_bytes: replicator.outcome_bytes() as u64,
        held_bytes_most: config.max_outcome_bytes as u64,
        low: replicator.under_replicated_count() as u64,
        asking: requests.reserving,
        waiting: requests.waiting,
        running: requests.running,
        ending: requests.completing,
        doubted: node.suspected().into_iter().map(|id| member_name(node, id)).collect(),
        leaving: draining.map(|member| member.name.clone()).collect(),
    }
}
