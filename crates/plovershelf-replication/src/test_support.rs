//! A context and records for the tests of single modules.

use plovershelf_cluster::NodeId;

use crate::config::ReplicationConfig;
use crate::context::Context;
use crate::effects::{Effect, Effects};
use crate::membership::Membership;
use crate::message::Message;
use crate::placement::{IdempotencyKey, Member};
use crate::record::{OutcomeVersion, Record, RequestId, Reservation, ReservationOrder, Round, ViewNumber};
use crate::skipping::SuspectedMembers;

pub(crate) const KEY: IdempotencyKey = IdempotencyKey(17);

/// A local member in a view, each member in a zone of its own.
pub(crate) fn context(local: u64, view: u64, members: &[u64]) -> Context {
    let config = ReplicationConfig::default();
    let mut membership = Membership::new(NodeId(local), config.replication_factor);
    let member =
        |n: &u64| Member { id: NodeId(*n), zone: format!("z{n}"), machine: format!("m{n}"), weight: 1.0 };
    membership.update(ViewNumber(view), members.iter().map(member).collect());
    Context { now_ms: 0.0, config, membership, suspected: SuspectedMembers::default() }
}

pub(crate) fn reservation(executor: u64) -> Reservation {
    Reservation { executor: NodeId(executor), request: RequestId(1) }
}

/// A reservation of view 1 that all of a replica set had to confirm.
pub(crate) fn reserved(executor: u64, replica_set: &[u64]) -> Record {
    Record {
        reservation: reservation(executor),
        order: ReservationOrder { view: ViewNumber(1), sequence: 1 },
        replica_set: replica_set.iter().map(|n| NodeId(*n)).collect(),
        round: Round::default(),
        outcome: None,
        outcome_version: OutcomeVersion::default(),
        retention_ms: 1000,
    }
}

pub(crate) fn messages(effects: Effects) -> Vec<(NodeId, Message)> {
    let message = |effect| match effect {
        Effect::Send(to, message) => Some((to, message)),
        Effect::Emit(_) => None,
    };
    effects.0.into_iter().filter_map(message).collect()
}
