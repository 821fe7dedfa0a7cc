//! Helpers for unit tests: a context, records, and access to sent messages.

use plovershelf_cluster::NodeId;

use crate::config::ReplicationConfig;
use crate::context::Context;
use crate::effects::{Effect, Effects};
use crate::membership::Membership;
use crate::message::Message;
use crate::placement::{IdempotencyKey, Member};
use crate::record::{OutcomeVersion, Record, RequestId, Reservation, ReservationOrder, Round, ViewNumber};
use crate::replica_substitution::SuspectedMembers;

pub(crate) const KEY: IdempotencyKey = IdempotencyKey(17);

/// Returns the context of a local member in a view whose members are each in a separate zone.
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

/// Returns the record of a reservation accepted in view 1 without an outcome.
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
