//! A vote without recovery is caught by the checker: the same walk as with it, which finds nothing.

mod walk;

use plovershelf_cluster::broken::{set, BrokenRule};
use stateright::{Checker, Model};
use walk::{Budget, Cluster, Disk};

/// A voter votes, crashes, and restarts with its storage restored from before the vote: it votes once more in that term. Two
/// leaders of one term must be found, or a committed entry that is lost.
#[test]
fn a_voter_that_trusts_a_restored_disk_is_caught() {
    let budget = Budget { elections: 2, heartbeats: 0, crashes: 1, commands: 1, duplicates: 0, breaks: 0 };
    let cluster = || Cluster { voters: 3, budget, disks: vec![Disk::Restored] };
    set(Some(BrokenRule::VoteWithoutRecovery));
    let most = 20_000_000;
    let broken = cluster().checker().threads(4).target_state_count(most).spawn_bfs().join();
    let found: Vec<&str> =
        broken.discoveries().keys().copied().filter(|what| *what != "something is decided").collect();
    set(None);
    assert!(!found.is_empty(), "{} states", broken.unique_state_count());
    println!("caught: {found:?} after {} states", broken.unique_state_count());
}
