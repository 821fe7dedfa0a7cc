//! The audit of the cluster model detects an unchecked lease and a duplicate view number, and reports nothing without them.

use plovershelf_cluster::broken::{set, BrokenRule};
use plovershelf_simulation::audit::{NO_ACTION_PAST_LEASE, ONE_VIEW_PER_NUMBER};
use plovershelf_simulation::cluster::{Plan, World};
use plovershelf_simulation::schedule::Schedule;

fn count_violations(promise: &str) -> usize {
    let violations = |seed: u64| {
        let schedule = Schedule::draw(seed, 9, 3, 14, 30_000.0);
        World::run(Plan::of(schedule, seed)).audit.count(promise)
    };
    (700..712).map(violations).sum()
}

#[test]
fn each_broken_rule_is_detected_and_nothing_is_reported_without_one() {
    assert_eq!(count_violations(NO_ACTION_PAST_LEASE) + count_violations(ONE_VIEW_PER_NUMBER), 0);
    set(Some(BrokenRule::LeaseNotChecked));
    let leases = count_violations(NO_ACTION_PAST_LEASE);
    set(Some(BrokenRule::DuplicateViewNumber));
    let views = count_violations(ONE_VIEW_PER_NUMBER);
    set(None);
    assert!(leases > 0 && views > 0, "{leases} {views}");
}
