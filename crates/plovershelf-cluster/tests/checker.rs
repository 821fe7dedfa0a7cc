//! Exhaustive model checking of consensus within the budget of steps that each test sets.

mod model;

use model::{Budget, Cluster, Disk};
use stateright::{Checker, Model};

const NO_STEPS: Budget =
    Budget { elections: 0, heartbeats: 0, crashes: 0, commands: 0, duplicates: 0, connection_failures: 0 };
/// Limit on the number of states, above the largest model here.
const MAX_STATES: usize = 200_000_000;

/// Checks all states within the budget, and prints and returns their number. The printed counts are listed in
/// `docs/cluster.md`.
fn check_exhaustively(what: &str, budget: Budget, disks: Vec<Disk>) -> usize {
    let cluster = Cluster { voters: 3, budget, disks };
    let checker = cluster.checker().threads(4).target_state_count(MAX_STATES).spawn_dfs().join();
    checker.assert_properties();
    assert!(checker.state_count() < MAX_STATES, "the check stopped at the limit of states");
    println!("{what}: {} states, complete", checker.unique_state_count());
    checker.unique_state_count()
}

/// Guards against two leaders in one term and a lost commit: two voters campaign, successively or concurrently, while a
/// command is replicated. No term may have two leaders, and all nodes must commit the same entries.
#[test]
fn two_elections_and_a_commit_elect_one_leader_per_term_and_lose_no_entry() {
    let budget = Budget { elections: 2, commands: 1, ..NO_STEPS };
    assert!(check_exhaustively("two elections", budget, vec![]) > 10_000);
}

/// Two elections and a commit, with any one message delivered twice.
#[test]
fn a_duplicated_message_elects_no_second_leader_and_loses_no_entry() {
    let budget = Budget { elections: 2, commands: 1, duplicates: 1, ..NO_STEPS };
    assert!(check_exhaustively("duplicated message", budget, vec![]) > 10_000);
}

/// Two elections and a commit, with one broken connection, whose messages are lost.
#[test]
fn a_broken_connection_elects_no_second_leader_and_loses_no_entry() {
    let budget = Budget { elections: 2, commands: 1, connection_failures: 1, ..NO_STEPS };
    assert!(check_exhaustively("broken connection", budget, vec![]) > 10_000);
}

/// A voter crashes at any point and restarts with its disk, an older copy of it or an empty one. It must not contradict
/// a vote or an acknowledgement that it gave before the crash.
#[test]
fn a_crash_with_an_intact_restored_or_lost_disk_loses_no_entry() {
    let disks = vec![Disk::Intact, Disk::Restored, Disk::Lost];
    let budget = Budget { elections: 1, commands: 1, crashes: 1, ..NO_STEPS };
    assert!(check_exhaustively("crash", budget, disks) > 10_000);
}

/// A voter crashes and restarts with an older copy of its disk, between two elections. Takes some minutes with
/// `cargo test --release -p plovershelf-cluster -- --ignored`.
#[test]
#[ignore = "takes minutes; docs/cluster.md lists the number of states"]
fn a_disk_restored_between_two_elections_loses_no_entry() {
    let budget = Budget { elections: 2, commands: 1, crashes: 1, ..NO_STEPS };
    assert!(check_exhaustively("disk restored between elections", budget, vec![Disk::Restored]) > 10_000);
}
