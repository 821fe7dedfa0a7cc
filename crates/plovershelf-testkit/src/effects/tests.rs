use super::*;

#[test]
fn second_runs_are_told_by_what_may_run_twice() {
    let mut account = Account::default();
    let run = |account: &mut Account, number, effect, life| {
        account.begun(&Work { number, work_ms: 1.0, calls: 0, effect }, life);
    };
    for life in [(0, 1), (0, 1)] {
        run(&mut account, 1, Effect::Rerunnable, life);
        run(&mut account, 2, Effect::Ticketed, life);
    }
    for life in [(0, 1), (1, 1)] {
        run(&mut account, 3, Effect::Ticketed, life);
        run(&mut account, 4, Effect::Exclusive, life);
    }
    assert_eq!(account.ran_twice(), [2, 4]);
    assert_eq!(account.launched_twice(), [2, 3]);
}
