//! One key walked through completely by a model checker, within the bounds that each test names: never two effects, and one
//! outcome for all attempts.

mod walk;

use stateright::{Checker, Model};
use walk::{replica_places, Budget, KeyModel};

const NOTHING: Budget = Budget { crashes: 0, duplicates: 0, breaks: 0, cancels: 0, suspicions: 0 };

/// All states of three members with three replicas.
fn complete(what: &str, attempts: [usize; 2], budget: Budget) {
    let replicas = replica_places(3, 3);
    let attempts = attempts.iter().map(|place| replicas[*place]).collect();
    let checker = KeyModel { members: 3, replication_factor: 3, attempts, budget }
        .checker()
        .threads(4)
        .spawn_dfs()
        .join();
    checker.assert_properties();
    println!("{what}: {} states, complete", checker.unique_state_count());
}

/// Two attempts come at once, at two backends or one; with a message that comes twice, a broken link, a client that gives up.
/// At most one may be launched, and both must be answered alike.
#[test]
fn two_attempts_at_once_are_launched_once_and_answered_alike() {
    complete("two attempts", [1, 2], NOTHING);
    complete("two attempts at one backend", [1, 1], NOTHING);
    complete("a message twice", [1, 2], Budget { duplicates: 1, ..NOTHING });
    complete("a broken link", [1, 2], Budget { breaks: 1, ..NOTHING });
    complete("a client that gives up", [1, 2], Budget { cancels: 1, ..NOTHING });
}

/// A machine is lost at any moment, be it the executor, the primary or another. The same must hold.
#[test]
fn machine_lost_at_any_moment_causes_no_second_effect() {
    complete("one lost", [1, 2], Budget { crashes: 1, ..NOTHING });
    complete("one lost, an attempt at the primary", [0, 1], Budget { crashes: 1, ..NOTHING });
    complete("one lost and a message twice", [0, 1], Budget { crashes: 1, duplicates: 1, ..NOTHING });
    complete("one lost and a broken link", [1, 2], Budget { crashes: 1, breaks: 1, ..NOTHING });
    complete("one lost and a client that gives up", [1, 2], Budget { crashes: 1, cancels: 1, ..NOTHING });
}

/// Two machines of three are lost one after the other. The same must hold with the one replica that is left.
#[test]
fn two_machines_lost_one_after_the_other_cause_no_second_effect() {
    complete("two lost", [1, 2], Budget { crashes: 2, ..NOTHING });
}

/// Of four members with three replicas one suspects another, rightly or not, before or while a machine is lost: reservations are
/// begun anew with the fourth. The same must hold.
#[test]
fn replica_skipped_while_a_machine_is_lost_causes_no_second_effect() {
    let four = |attempts: &[usize], budget: Budget, most: usize| {
        let placed = replica_places(4, 3);
        let attempts = attempts.iter().map(|place| placed[*place]).collect();
        let model = KeyModel { members: 4, replication_factor: 3, attempts, budget };
        let checker = model.checker().threads(4).target_state_count(most).spawn_dfs().join();
        checker.assert_no_discovery("no effect twice");
        checker.assert_no_discovery("one verdict for all");
        println!("a suspicion, {budget:?}: {} states", checker.unique_state_count());
    };
    four(&[1], Budget { suspicions: 1, ..NOTHING }, usize::MAX);
    four(&[1], Budget { suspicions: 2, crashes: 1, ..NOTHING }, 400_000);
    four(&[0, 1], Budget { suspicions: 1, crashes: 1, ..NOTHING }, 400_000);
}

/// Five members with three replicas: too many states to walk all of them in a test, so the first million.
#[test]
#[ignore = "takes a minute; its size stands in docs/replication.md"]
fn five_members_as_far_as_a_million_states() {
    let replicas = replica_places(5, 3);
    let outside = (0..5).find(|member| !replicas.contains(member)).unwrap_or(0);
    for attempts in [vec![replicas[1]], vec![outside, replicas[0]]] {
        let model = KeyModel {
            members: 5,
            replication_factor: 3,
            attempts,
            budget: Budget { crashes: 1, ..NOTHING },
        };
        let checker = model.checker().threads(4).target_state_count(8_000_000).spawn_dfs().join();
        checker.assert_no_discovery("no effect twice");
        checker.assert_no_discovery("one verdict for all");
    }
}
