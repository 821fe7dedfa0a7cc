//! Consensus walked through completely by a model checker, within the bounds that each test names.

mod walk;

use stateright::{Checker, Model};
use walk::{Folder, Group, Left};

const NOTHING: Left = Left { elections: 0, beats: 0, crashes: 0, decisions: 0, doubles: 0, breaks: 0 };
/// More than the largest of these takes.
const MOST: usize = 200_000_000;

/// All states within the bounds: how many there are, told for the note.
fn complete(what: &str, left: Left, folders: Vec<Folder>) -> usize {
    let group = Group { voters: 3, left, folders };
    let checker = group.checker().threads(4).target_state_count(MOST).spawn_dfs().join();
    checker.assert_properties();
    assert!(checker.state_count() < MOST, "not complete");
    println!("{what}: {} states, complete", checker.unique_state_count());
    checker.unique_state_count()
}

#[test]
fn three_voters_two_elections_and_a_decision() {
    assert!(complete("two elections", Left { elections: 2, decisions: 1, ..NOTHING }, vec![]) > 10_000);
}

#[test]
fn a_message_that_comes_twice() {
    assert!(
        complete("doubling", Left { elections: 2, decisions: 1, doubles: 1, ..NOTHING }, vec![]) > 10_000
    );
}

#[test]
fn a_link_that_breaks_and_loses_what_is_on_it() {
    assert!(
        complete("a broken link", Left { elections: 2, decisions: 1, breaks: 1, ..NOTHING }, vec![]) > 10_000
    );
}

#[test]
fn a_crash_with_the_folder_kept_set_back_or_lost() {
    let folders = vec![Folder::Kept, Folder::SetBack, Folder::Lost];
    assert!(
        complete("a crash", Left { elections: 1, decisions: 1, crashes: 1, ..NOTHING }, folders) > 10_000
    );
}

/// Some minutes: `cargo test --release -p plovershelf-cluster -- --ignored`.
#[test]
#[ignore = "takes minutes; its size stands in docs/cluster.md"]
fn a_folder_set_back_between_two_elections() {
    let left = Left { elections: 2, decisions: 1, crashes: 1, ..NOTHING };
    assert!(complete("set back between elections", left, vec![Folder::SetBack]) > 10_000);
}
