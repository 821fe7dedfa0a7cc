//! What became of one key, by all that members reported of it.
//!
//! | reported | resolution |
//! | --- | --- |
//! | an outcome | that outcome, stored anew |
//! | a reservation whose executor is a member and has it | it goes on |
//! | a reservation whose executor is a member and does not have it | released |
//! | a reservation whose executor is gone, stored by all of its replicas that are left | in doubt: it may have run |
//! | a reservation whose executor is gone, not stored by one of its replicas that are left | released: it never ran, as no launch precedes the confirmation of all |
//!
//! In doubt is a failure for every attempt: the request is never run again, as it may have had its effect.

use std::collections::BTreeSet;

use plovershelf_cluster::NodeId;

use crate::context::Context;
use crate::placement::IdempotencyKey;
use crate::record::{Outcome, OutcomeOrigin, OutcomeVersion, Record, Reservation};

/// All that is known of a key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evidence<'a> {
    pub(crate) key: IdempotencyKey,
    /// Who stores which record, the local member among them.
    pub(crate) reports: &'a [(NodeId, Record)],
    /// What the local member stores now, which may be more than when it reported to itself.
    pub(crate) stored: Option<&'a Record>,
    /// Reservations that their executors still have.
    pub(crate) active: &'a BTreeSet<(IdempotencyKey, Reservation)>,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Resolution {
    /// Nothing is known of it, or it was reserved under this view already.
    Unchanged,
    /// Nothing was launched: the key is free.
    Release,
    /// This is to be stored at all of its replicas.
    Store(Record),
}

pub(crate) fn resolve(ctx: &Context, evidence: Evidence<'_>) -> Resolution {
    if evidence.stored.is_some_and(|record| record.order.view == ctx.view()) {
        return Resolution::Unchanged;
    }
    let reported = evidence.reports.iter().map(|(_, record)| record);
    let Some(newest) = reported.clone().chain(evidence.stored).max_by_key(|record| record.version()) else {
        return Resolution::Unchanged;
    };
    let mut record = newest.clone();
    record.retention_ms = reported.map(|record| record.retention_ms).fold(record.retention_ms, u64::max);
    if record.outcome.is_none() {
        match fate_of(ctx, &evidence, &record) {
            Fate::Executing => {}
            Fate::NeverLaunched => return Resolution::Release,
            Fate::InDoubt => {
                record.outcome = Some(Outcome::InDoubt);
                record.retention_ms = record.retention_ms.max(ctx.config.in_doubt_retention_ms as u64);
            }
        }
    }
    if record.outcome.is_some() {
        record.outcome_version = OutcomeVersion { view: ctx.view(), origin: OutcomeOrigin::Reconciliation };
    }
    Resolution::Store(record)
}

/// What became of a reservation without an outcome.
enum Fate {
    Executing,
    NeverLaunched,
    InDoubt,
}

fn fate_of(ctx: &Context, evidence: &Evidence<'_>, record: &Record) -> Fate {
    let reservation = record.reservation;
    if ctx.membership.contains(reservation.executor) {
        // An executor that does not have it any more has given it up.
        let active = evidence.active.contains(&(evidence.key, reservation));
        return if active { Fate::Executing } else { Fate::NeverLaunched };
    }
    let stores = |id: NodeId| {
        evidence.reports.iter().any(|(from, report)| *from == id && report.reservation == reservation)
    };
    let mut left = record.replica_set.iter().copied().filter(|id| ctx.membership.contains(*id));
    if left.all(stores) {
        Fate::InDoubt
    } else {
        Fate::NeverLaunched
    }
}

#[cfg(test)]
mod tests;
