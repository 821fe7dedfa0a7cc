//! What people may ask of replication at this member.

use plovershelf_cluster::status::{Answer, CopiesStatus, HeldStatus, Question, TicketStatus};
use plovershelf_cluster::{ClusterNode, NodeId};
use plovershelf_replication::placement::Ticket;

use super::copied::{Copied, Ending};
use super::in_hex;

/// Answers a question about replicas, or refuses it where there are none.
pub(super) fn answer(copied: Option<&Copied>, node: &ClusterNode, question: Question) -> Answer {
    let Some(copied) = copied else {
        return Answer::Refused("there are no copies here: group.ini has no section [copies]".into());
    };
    match question {
        Question::Ticket { offering, ticket } => {
            Answer::Ticket(Box::new(ticket_status(copied, node, &offering, &ticket)))
        }
        _ => Answer::Copies(Box::new(copies_status(copied, node))),
    }
}

fn member_name(node: &ClusterNode, id: NodeId) -> String {
    node.name_of(id).unwrap_or_else(|| in_hex(id))
}

fn replica_name(copied: &Copied, node: &ClusterNode, replica: NodeId) -> String {
    copied.member(replica).map_or_else(|| in_hex(replica), |member| member_name(node, member))
}

fn ticket_status(copied: &Copied, node: &ClusterNode, offering: &str, ticket: &str) -> TicketStatus {
    let copies = copied.copies();
    let ticket = Ticket::of(offering, ticket.as_bytes());
    let name = |replica: &NodeId| replica_name(copied, node, *replica);
    let held = copies.look_up(ticket).map(|record| HeldStatus {
        runner: name(&record.claim.runner),
        holders: record.holders.iter().map(name).collect(),
        state: match &record.ending {
            None => "open".into(),
            Some(Ending::Succeeded(result)) => format!("succeeded, {} bytes", result.len()),
            Some(Ending::Failed) => "failed".into(),
            Some(Ending::InDoubt) => "in doubt".into(),
        },
        claimed_under_view: record.order.0,
        keep_ms: record.keep_ms,
    });
    TicketStatus {
        name: node.node().name.clone(),
        view: copies.view(),
        hash: format!("{:032x}", ticket.0),
        placed: copies.placed(ticket).iter().map(name).collect(),
        held,
    }
}

fn copies_status(copied: &Copied, node: &ClusterNode) -> CopiesStatus {
    let copies = copied.copies();
    let [asking, waiting, running, ending] = copies.own_counts();
    let terms = copies.terms();
    let draining = node.view().members.values().filter(|member| member.draining);
    CopiesStatus {
        name: node.node().name.clone(),
        view: copies.view(),
        settled: copies.settled(),
        copies: terms.copies as u64,
        least: terms.least as u64,
        held: copies.held_count() as u64,
        held_most: terms.tickets as u64,
        held_bytes: copies.held_bytes() as u64,
        held_bytes_most: terms.bytes as u64,
        low: copies.low() as u64,
        asking,
        waiting,
        running,
        ending,
        doubted: node.suspected().into_iter().map(|id| member_name(node, id)).collect(),
        leaving: draining.map(|member| member.name.clone()).collect(),
    }
}
