use super::*;

#[test]
fn phases_are_named_after_the_scenarios_in_order() {
    assert_eq!(NAMES.map(|names| names[0]), SCENARIOS);
}

#[test]
fn a_scenario_without_data_fails() {
    assert!(!figures("loss", &[&RunReport::default()], true).all_met());
    assert!(!figures("calm", &[&RunReport::default()], true).all_met());
    assert!(!figures("loss", &[], true).all_met());
}

#[test]
fn each_item_runs_once_and_results_keep_the_order() {
    let work: Vec<u64> = (0..50).collect();
    assert_eq!(run_all(&work, |n| n * n), work.iter().map(|n| n * n).collect::<Vec<_>>());
}
