//! Status of replication for operators' commands.

use plovershelf_cluster::status::{Answer, KeyStatus, Question, RecordStatus, ReplicationStatus};
use plovershelf_cluster::{ClusterNode, NodeId};
use plovershelf_replication::{IdempotencyKey, Outcome};

use super::format_node_id;
use super::replication::ReplicationDriver;

/// Answers a question about replicated records. Refuses it if replication is not configured.
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
    node.name_of(id).unwrap_or_else(|| format_node_id(id))
}

fn replica_name(driver: &ReplicationDriver, node: &ClusterNode, replica: NodeId) -> String {
    driver.member(replica).map_or_else(|| format_node_id(replica), |member| member_name(node, member))
}

fn key_status(driver: &ReplicationDriver, node: &ClusterNode, key: IdempotencyKey) -> KeyStatus {
    let replicator = driver.replicator();
    let name = |replica: &NodeId| replica_name(driver, node, *replica);
    let record_status = replicator.record(key).map(|record| RecordStatus {
        executor: name(&record.reservation.executor),
        replica_set: record.replica_set.iter().map(name).collect(),
        state: match &record.outcome {
            None => "open".into(),
            Some(Outcome::Succeeded(result)) => format!("succeeded, {} bytes", result.len()),
            Some(Outcome::Failed) => "failed".into(),
            Some(Outcome::InDoubt) => "in doubt".into(),
        },
        reserved_in_view: record.order.view.0,
        retention_ms: record.retention_ms,
    });
    KeyStatus {
        name: node.node().name.clone(),
        view: replicator.view().0,
        hash: format!("{:032x}", key.0),
        replica_set: replicator.replica_set(key).iter().map(name).collect(),
        record: record_status,
    }
}

fn replication_status(driver: &ReplicationDriver, node: &ClusterNode) -> ReplicationStatus {
    let replicator = driver.replicator();
    let (requests, config) = (replicator.request_counts(), replicator.config());
    let draining = node.view().members.values().filter(|member| member.draining);
    ReplicationStatus {
        name: node.node().name.clone(),
        view: replicator.view().0,
        is_reconciled: replicator.is_reconciled(),
        replication_factor: config.replication_factor as u64,
        min_replicas: config.min_replicas as u64,
        records: replicator.record_count() as u64,
        max_records: config.max_records as u64,
        outcome_bytes: replicator.outcome_bytes() as u64,
        max_outcome_bytes: config.max_outcome_bytes as u64,
        under_replicated_records: replicator.under_replicated_count() as u64,
        reserving: requests.reserving,
        waiting: requests.waiting,
        running: requests.running,
        completing: requests.completing,
        suspected: node.suspected().into_iter().map(|id| member_name(node, id)).collect(),
        draining: draining.map(|member| member.name.clone()).collect(),
    }
}
