//! Model checking of a single key within the fault budget of each test: the request is launched at most once, and all attempts
//! receive the same outcome.

mod model;

use model::{replica_indices, FaultBudget, KeyModel};
use stateright::{Checker, Model};

const NO_FAULTS: FaultBudget =
    FaultBudget { crashes: 0, duplicates: 0, link_failures: 0, cancels: 0, suspicions: 0 };

/// Explores all states of three members with three replicas and asserts the model's properties.
fn check_all_states(scenario: &str, attempts: [usize; 2], budget: FaultBudget) {
    let replicas = replica_indices(3, 3);
    let attempts = attempts.iter().map(|index| replicas[*index]).collect();
    let checker = KeyModel { members: 3, replication_factor: 3, attempts, budget }
        .checker()
        .threads(4)
        .spawn_dfs()
        .join();
    checker.assert_properties();
    println!("{scenario}: {} states, complete", checker.unique_state_count());
}

/// Two concurrent attempts arrive at one or two backends, without faults or with a duplicated message, a failed link or a
/// cancelled attempt. At most one may be launched, and both must receive the same outcome.
#[test]
fn two_concurrent_attempts_are_launched_once_and_get_the_same_outcome() {
    check_all_states("two attempts", [1, 2], NO_FAULTS);
    check_all_states("two attempts at one backend", [1, 1], NO_FAULTS);
    check_all_states("a duplicated message", [1, 2], FaultBudget { duplicates: 1, ..NO_FAULTS });
    check_all_states("a failed link", [1, 2], FaultBudget { link_failures: 1, ..NO_FAULTS });
    check_all_states("a cancelled attempt", [1, 2], FaultBudget { cancels: 1, ..NO_FAULTS });
}

/// A machine fails at any point, whether it is the executor, the primary or another replica. The properties must hold.
#[test]
fn machine_failure_at_any_point_causes_no_second_launch() {
    check_all_states("one crash", [1, 2], FaultBudget { crashes: 1, ..NO_FAULTS });
    check_all_states("one crash, an attempt at the primary", [0, 1], FaultBudget { crashes: 1, ..NO_FAULTS });
    check_all_states(
        "one crash and a duplicated message",
        [0, 1],
        FaultBudget { crashes: 1, duplicates: 1, ..NO_FAULTS },
    );
    check_all_states(
        "one crash and a failed link",
        [1, 2],
        FaultBudget { crashes: 1, link_failures: 1, ..NO_FAULTS },
    );
    check_all_states(
        "one crash and a cancelled attempt",
        [1, 2],
        FaultBudget { crashes: 1, cancels: 1, ..NO_FAULTS },
    );
}

/// Two of three machines fail one after the other. The properties must hold with the one remaining replica.
#[test]
fn two_successive_machine_failures_cause_no_second_launch() {
    check_all_states("two crashes", [1, 2], FaultBudget { crashes: 2, ..NO_FAULTS });
}

/// With four members and three replicas, a member suspects another, correctly or not, before or during a machine failure, and
/// reservations are restarted with the fourth member. The properties must hold.
#[test]
fn replica_substitution_during_a_machine_failure_causes_no_second_launch() {
    let check_four_members = |attempts: &[usize], budget: FaultBudget, max_states: usize| {
        let placed = replica_indices(4, 3);
        let attempts = attempts.iter().map(|index| placed[*index]).collect();
        let model = KeyModel { members: 4, replication_factor: 3, attempts, budget };
        let checker = model.checker().threads(4).target_state_count(max_states).spawn_dfs().join();
        checker.assert_no_discovery("at most one launch");
        checker.assert_no_discovery("same outcome for all attempts");
        println!("a suspicion, {budget:?}: {} states", checker.unique_state_count());
    };
    check_four_members(&[1], FaultBudget { suspicions: 1, ..NO_FAULTS }, usize::MAX);
    check_four_members(&[1], FaultBudget { suspicions: 2, crashes: 1, ..NO_FAULTS }, 400_000);
    check_four_members(&[0, 1], FaultBudget { suspicions: 1, crashes: 1, ..NO_FAULTS }, 400_000);
}

/// Five members with three replicas have too many states to explore completely in a test, so the number of states is bounded.
#[test]
#[ignore = "takes a minute; the state counts are in docs/replication.md"]
fn five_members_up_to_a_bounded_number_of_states() {
    let replicas = replica_indices(5, 3);
    let outside = (0..5).find(|member| !replicas.contains(member)).unwrap_or(0);
    for attempts in [vec![replicas[1]], vec![outside, replicas[0]]] {
        let model = KeyModel {
            members: 5,
            replication_factor: 3,
            attempts,
            budget: FaultBudget { crashes: 1, ..NO_FAULTS },
        };
        let checker = model.checker().threads(4).target_state_count(8_000_000).spawn_dfs().join();
        checker.assert_no_discovery("at most one launch");
        checker.assert_no_discovery("same outcome for all attempts");
    }
}
