use super::*;
use crate::record::ViewNumber;
use crate::test_support::{context, reservation, reserved, KEY};

const EXECUTOR: u64 = 9;

/// What view 2 of `members` makes of a reservation by [`EXECUTOR`] at the replicas 1, 2 and 3 that `stored_by` still store.
fn resolution(members: &[u64], stored_by: &[u64], active: &[Reservation]) -> Resolution {
    let reports: Vec<(NodeId, Record)> =
        stored_by.iter().map(|n| (NodeId(*n), reserved(EXECUTOR, &[1, 2, 3]))).collect();
    let active = active.iter().map(|reservation| (KEY, *reservation)).collect();
    let evidence = Evidence { key: KEY, reports: &reports, stored: None, active: &active };
    resolve(&context(1, 2, members), evidence)
}

fn outcome(resolution: &Resolution) -> Option<&Outcome> {
    match resolution {
        Resolution::Store(record) => record.outcome.as_ref(),
        _ => None,
    }
}

/// Executor and one replica are lost after all replicas confirmed: the request may have run, so it must never run again.
#[test]
fn reservation_that_all_left_replicas_store_is_in_doubt_when_its_executor_is_gone() {
    let resolution = resolution(&[1, 2, 4], &[1, 2], &[]);
    assert_eq!(outcome(&resolution), Some(&Outcome::InDoubt));
    let Resolution::Store(record) = resolution else { panic!("it is stored") };
    let origin = OutcomeOrigin::Reconciliation;
    assert_eq!(record.outcome_version, OutcomeVersion { view: ViewNumber(2), origin });
    assert_eq!(record.retention_ms, 60_000);
}

/// A replica that is left has no record: it never confirmed, so nothing was launched and the key must come free.
#[test]
fn reservation_that_a_left_replica_lacks_is_released_when_its_executor_is_gone() {
    assert_eq!(resolution(&[1, 2, 4], &[1], &[]), Resolution::Release);
}

/// The executor is a member and has the request: it goes on, whatever replicas lack it.
#[test]
fn reservation_goes_on_while_its_executor_has_it() {
    let resolution = resolution(&[1, 2, EXECUTOR], &[2], &[reservation(EXECUTOR)]);
    assert_eq!((outcome(&resolution), matches!(resolution, Resolution::Store(_))), (None, true));
}

/// The executor gave it up and its message was lost: the key must not stay held.
#[test]
fn reservation_is_released_when_its_executor_does_not_have_it_any_more() {
    assert_eq!(resolution(&[1, 2, EXECUTOR], &[1, 2, 3], &[]), Resolution::Release);
}

/// A primary that goes on ordered the key in this view before all reports came: that reservation must stay.
#[test]
fn reservation_of_the_current_view_is_unchanged() {
    let mut current = reserved(EXECUTOR, &[1, 2, 3]);
    current.order.view = ViewNumber(2);
    let reports = [(NodeId(2), reserved(4, &[1, 2, 3]))];
    let evidence = Evidence { key: KEY, reports: &reports, stored: Some(&current), active: &BTreeSet::new() };
    assert_eq!(resolve(&context(1, 2, &[1, 2, 3]), evidence), Resolution::Unchanged);
}

/// One replica has the outcome and another only the reservation: the outcome must win, with the longest retention.
#[test]
fn outcome_wins_over_the_reservation_without_one() {
    let mut completed = reserved(EXECUTOR, &[1, 2, 3]);
    completed.outcome = Some(Outcome::Succeeded(vec![7]));
    let mut open = reserved(EXECUTOR, &[1, 2, 3]);
    open.retention_ms = 5000;
    let reports = [(NodeId(1), completed), (NodeId(2), open)];
    let evidence = Evidence { key: KEY, reports: &reports, stored: None, active: &BTreeSet::new() };
    let resolution = resolve(&context(1, 2, &[1, 2, 4]), evidence);
    assert_eq!(outcome(&resolution), Some(&Outcome::Succeeded(vec![7])));
    assert!(matches!(resolution, Resolution::Store(Record { retention_ms: 5000, .. })));
}
