//! A vote without recovery is caught by the checker: the same walk as with it, which finds nothing.

mod walk;

use plovershelf_cluster::broken::{set, BrokenRule};
use stateright::{Checker, Model};
use walk::{Folder, Group, Left};

/// A voter votes, crashes, and restarts with its storage restored from before the vote: it votes once more in that term. Two
/// leaders of one term must be found, or a committed entry that is lost.
#[test]
fn a_voter_that_trusts_a_folder_that_was_set_back_is_caught() {
    let left = Left { elections: 2, beats: 0, crashes: 1, decisions: 1, doubles: 0, breaks: 0 };
    let group = || Group { voters: 3, left, folders: vec![Folder::SetBack] };
    set(Some(BrokenRule::VoteWithoutRecovery));
    let most = 20_000_000;
    let broken = group().checker().threads(4).target_state_count(most).spawn_bfs().join();
    let found: Vec<&str> =
        broken.discoveries().keys().copied().filter(|what| *what != "something is decided").collect();
    set(None);
    assert!(!found.is_empty(), "{} states", broken.unique_state_count());
    println!("caught: {found:?} after {} states", broken.unique_state_count());
}
