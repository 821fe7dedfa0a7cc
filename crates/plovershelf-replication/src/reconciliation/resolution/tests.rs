use super::*;
use crate::record::ViewNumber;
use crate::test_support::{context, reservation, reserved, KEY};

const EXECUTOR: u64 = 9;

/// Resolves, in view 2 of `members`, a reservation by [`EXECUTOR`] at the replicas 1, 2 and 3 of which only `stored_by` still
/// store it.
fn resolution(members: &[u64], stored_by: &[u64], active: &[Reservation]) -> Resolution {
    let reports: Vec<(NodeId, Record)> =
        stored_by.iter().map(|n| (NodeId(*n), reserved(EXECUTOR, &[1, 2, 3]))).collect();
    let active = active.iter().map(|reservation| (KEY, *reservation)).collect();
    let state = KeyState { key: KEY, reports: &reports, stored: None, active: &active };
    resolve(&context(1, 2, members), state)
}

fn outcome(resolution: &Resolution) -> Option<&Outcome> {
    match resolution {
        Resolution::Store(record) => record.outcome.as_ref(),
        _ => None,
    }
}

/// The executor and one replica fail after all replicas confirmed: the request may have run, so it must never run again.
#[test]
fn reservation_stored_by_all_remaining_replicas_is_in_doubt_without_its_executor() {
    let resolution = resolution(&[1, 2, 4], &[1, 2], &[]);
    assert_eq!(outcome(&resolution), Some(&Outcome::InDoubt));
    let Resolution::Store(record) = resolution else { panic!("the record must be stored") };
    let origin = OutcomeOrigin::Reconciliation;
    assert_eq!(record.outcome_version, OutcomeVersion { view: ViewNumber(2), origin });
    assert_eq!(record.retention_ms, 60_000);
}

/// A remaining replica has no record: it never confirmed, so the request was never launched and the key must become free.
#[test]
fn reservation_missing_at_a_remaining_replica_is_released_without_its_executor() {
    assert_eq!(resolution(&[1, 2, 4], &[1], &[]), Resolution::Release);
}

/// The executor is a member and reports the request as active: the reservation must remain even if replicas lack it.
#[test]
fn reservation_remains_while_its_executor_reports_it() {
    let resolution = resolution(&[1, 2, EXECUTOR], &[2], &[reservation(EXECUTOR)]);
    assert_eq!((outcome(&resolution), matches!(resolution, Resolution::Store(_))), (None, true));
}

/// The executor released the reservation but the `Release` was lost: the key must not remain reserved.
#[test]
fn reservation_is_released_when_its_executor_no_longer_reports_it() {
    assert_eq!(resolution(&[1, 2, EXECUTOR], &[1, 2, 3], &[]), Resolution::Release);
}

/// A primary that remains primary accepted a reservation in this view before all reports arrived: it must not be changed.
#[test]
fn reservation_of_the_current_view_is_unchanged() {
    let mut current = reserved(EXECUTOR, &[1, 2, 3]);
    current.order.view = ViewNumber(2);
    let reports = [(NodeId(2), reserved(4, &[1, 2, 3]))];
    let state = KeyState { key: KEY, reports: &reports, stored: Some(&current), active: &BTreeSet::new() };
    assert_eq!(resolve(&context(1, 2, &[1, 2, 3]), state), Resolution::Unchanged);
}

/// One replica has the outcome and another only the reservation: the outcome must be chosen, with the longest retention.
#[test]
fn outcome_takes_precedence_over_a_reservation_without_one() {
    let mut completed = reserved(EXECUTOR, &[1, 2, 3]);
    completed.outcome = Some(Outcome::Succeeded(vec![7]));
    let mut open = reserved(EXECUTOR, &[1, 2, 3]);
    open.retention_ms = 5000;
    let reports = [(NodeId(1), completed), (NodeId(2), open)];
    let state = KeyState { key: KEY, reports: &reports, stored: None, active: &BTreeSet::new() };
    let resolution = resolve(&context(1, 2, &[1, 2, 4]), state);
    assert_eq!(outcome(&resolution), Some(&Outcome::Succeeded(vec![7])));
    assert!(matches!(resolution, Resolution::Store(Record { retention_ms: 5000, .. })));
}
