//! Resolution of a key's state from all members' reports.
//!
//! | reported | resolution |
//! | --- | --- |
//! | an outcome | the outcome is stored again with a new version |
//! | a reservation that its executor, a member, reports as active | the reservation remains |
//! | a reservation that its executor, a member, does not report | released |
//! | a reservation whose executor left the view, stored by all of its remaining replicas | `Outcome::InDoubt`: the request may have run |
//! | a reservation whose executor left the view, missing at a remaining replica | released: the request never ran, as a launch requires the confirmation of all replicas |
//!
//! `Outcome::InDoubt` is a failure for every attempt: the request is never run again because it may have had side effects.

use std::collections::BTreeSet;

use plovershelf_cluster::NodeId;

use crate::context::Context;
use crate::placement::IdempotencyKey;
use crate::record::{Outcome, OutcomeOrigin, OutcomeVersion, Record, Reservation};

/// Everything that is known about a key when it is resolved.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyState<'a> {
    pub(crate) key: IdempotencyKey,
    /// The reported records and the members that store them, including the local member.
    pub(crate) reports: &'a [(NodeId, Record)],
    /// The record that the local member stores now, which may be newer than the one in its own report.
    pub(crate) stored: Option<&'a Record>,
    /// Reservations that their executors reported as active.
    pub(crate) active: &'a BTreeSet<(IdempotencyKey, Reservation)>,
}

/// Result of resolving a key.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Resolution {
    /// No record exists, or the key has already been reserved in the current view.
    Unchanged,
    /// The request was never launched: the reservation is removed and the key becomes free.
    Release,
    /// This record must be stored at all replicas of the key.
    Store(Record),
}

/// Resolves the state of a key after a view change.
pub(crate) fn resolve(ctx: &Context, state: KeyState<'_>) -> Resolution {
    if state.stored.is_some_and(|record| record.order.view == ctx.view()) {
        return Resolution::Unchanged;
    }
    let reported = state.reports.iter().map(|(_, record)| record);
    let Some(newest) = reported.clone().chain(state.stored).max_by_key(|record| record.version()) else {
        return Resolution::Unchanged;
    };
    let mut record = newest.clone();
    record.retention_ms = reported.map(|record| record.retention_ms).fold(record.retention_ms, u64::max);
    if record.outcome.is_none() {
        match reservation_status(ctx, &state, &record) {
            ReservationStatus::Executing => {}
            ReservationStatus::NeverLaunched => return Resolution::Release,
            ReservationStatus::InDoubt => {
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

/// Status of a reservation without an outcome.
enum ReservationStatus {
    Executing,
    NeverLaunched,
    InDoubt,
}

/// Determines the status of a reservation without an outcome from the members' reports.
fn reservation_status(ctx: &Context, state: &KeyState<'_>, record: &Record) -> ReservationStatus {
    let reservation = record.reservation;
    if ctx.membership.contains(reservation.executor) {
        // An executor that no longer tracks a reservation has released it.
        let active = state.active.contains(&(state.key, reservation));
        return if active { ReservationStatus::Executing } else { ReservationStatus::NeverLaunched };
    }
    let stores = |id: NodeId| {
        state.reports.iter().any(|(from, report)| *from == id && report.reservation == reservation)
    };
    let mut remaining = record.replica_set.iter().copied().filter(|id| ctx.membership.contains(*id));
    if remaining.all(stores) {
        ReservationStatus::InDoubt
    } else {
        ReservationStatus::NeverLaunched
    }
}

#[cfg(test)]
mod tests;
