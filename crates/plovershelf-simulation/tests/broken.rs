//! A lease that is not checked and a view that is numbered twice are caught by the model's audit.

use plovershelf_cluster::broken::{set, BrokenRule};
use plovershelf_simulation::audit::{NOT_PAST_LEASE, ONE_VIEW_A_NUMBER};
use plovershelf_simulation::cluster::{Plan, World};
use plovershelf_simulation::schedule::Schedule;

fn found(promise: &str) -> usize {
    let broken = |seed: u64| {
        let schedule = Schedule::draw(seed, 9, 3, 14, 30_000.0);
        World::run(Plan::of(schedule, seed)).audit.count(promise)
    };
    (700..712).map(broken).sum()
}

#[test]
fn broken_on_purpose_is_caught_and_whole_is_not() {
    assert_eq!(found(NOT_PAST_LEASE) + found(ONE_VIEW_A_NUMBER), 0);
    set(Some(BrokenRule::LeaseNotChecked));
    let leases = found(NOT_PAST_LEASE);
    set(Some(BrokenRule::DuplicateViewNumber));
    let views = found(ONE_VIEW_A_NUMBER);
    set(None);
    assert!(leases > 0 && views > 0, "{leases} {views}");
}
