//! Consensus walked through completely by a model checker, within the bounds that each test names.

mod walk;

use stateright::{Checker, Model};
use walk::{Budget, Cluster, Disk};

const NOTHING: Budget =
    Budget { elections: 0, heartbeats: 0, crashes: 0, commands: 0, duplicates: 0, breaks: 0 };
/// More than the largest of these takes.
const MOST: usize = 200_000_000;

/// Walks all states within the bounds, and prints how many there are for the page.
fn complete(what: &str, budget: Budget, disks: Vec<Disk>) -> usize {
    let cluster = Cluster { voters: 3, budget, disks };
    let checker = cluster.checker().threads(4).target_state_count(MOST).spawn_dfs().join();
    checker.assert_properties();
    assert!(checker.state_count() < MOST, "not complete");
    println!("{what}: {} states, complete", checker.unique_state_count());
    checker.unique_state_count()
}

/// Two voters campaign, one after the other or at once, while a command is replicated. No term may have two leaders, and what
/// one majority committed must be committed everywhere.
#[test]
fn two_elections_and_a_commit_elect_one_leader_a_term_and_lose_nothing() {
    assert!(complete("two elections", Budget { elections: 2, commands: 1, ..NOTHING }, vec![]) > 10_000);
}

/// The same, and any one message is delivered twice.
#[test]
fn a_duplicated_message_elects_no_second_leader_and_loses_nothing() {
    assert!(
        complete("doubling", Budget { elections: 2, commands: 1, duplicates: 1, ..NOTHING }, vec![]) > 10_000
    );
}

/// The same, and one connection breaks: what was on it is lost.
#[test]
fn a_broken_connection_elects_no_second_leader_and_loses_nothing() {
    assert!(
        complete("a broken link", Budget { elections: 2, commands: 1, breaks: 1, ..NOTHING }, vec![])
            > 10_000
    );
}

/// A voter crashes at any point and restarts with its disk, with an older copy of it, or with none: a vote or acknowledgement
/// that it forgot must not be given against another.
#[test]
fn a_crash_with_the_disk_kept_restored_or_lost_loses_nothing() {
    let disks = vec![Disk::Kept, Disk::Restored, Disk::Lost];
    assert!(complete("a crash", Budget { elections: 1, commands: 1, crashes: 1, ..NOTHING }, disks) > 10_000);
}

/// The same between two elections. Some minutes: `cargo test --release -p plovershelf-cluster -- --ignored`.
#[test]
#[ignore = "takes minutes; its size stands in docs/cluster.md"]
fn a_disk_restored_between_two_elections_loses_nothing() {
    let budget = Budget { elections: 2, commands: 1, crashes: 1, ..NOTHING };
    assert!(complete("set back between elections", budget, vec![Disk::Restored]) > 10_000);
}
