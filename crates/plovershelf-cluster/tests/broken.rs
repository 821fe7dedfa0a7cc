//! The model checker detects a voter that votes without recovery, in a model that has no violation if voters recover.

mod model;

use model::{Budget, Cluster, Disk, COMMAND_COMMITTED};
use plovershelf_cluster::broken::{set, BrokenRule};
use stateright::{Checker, Model};

/// A voter votes, crashes, restarts with its disk restored from before the vote, and votes again in the same term. The
/// checker must find two leaders in one term or a lost committed entry.
#[test]
fn a_voter_that_trusts_a_restored_disk_is_detected() {
    let budget = Budget {
        elections: 2,
        heartbeats: 0,
        crashes: 1,
        commands: 1,
        duplicates: 0,
        connection_failures: 0,
    };
    let cluster = || Cluster { voters: 3, budget, disks: vec![Disk::Restored] };
    set(Some(BrokenRule::VoteWithoutRecovery));
    let max_states = 20_000_000;
    let checker = cluster().checker().threads(4).target_state_count(max_states).spawn_bfs().join();
    let violations: Vec<&str> =
        checker.discoveries().keys().copied().filter(|property| *property != COMMAND_COMMITTED).collect();
    set(None);
    assert!(!violations.is_empty(), "no violation in {} states", checker.unique_state_count());
    println!("violated: {violations:?} after {} states", checker.unique_state_count());
}
