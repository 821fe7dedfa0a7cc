use super::*;

/// The same seed must draw the same run, so that a failing one can be played again, and a run that backends accept.
#[test]
fn a_seed_draws_the_same_plan_each_time_and_one_that_can_be_served() {
    for seed in 1..50 {
        let (one, other) = (Plan::draw(seed, DEFAULT_SPAN_MS), Plan::draw(seed, DEFAULT_SPAN_MS));
        assert_eq!(format!("{one:?}"), format!("{other:?}"));
        assert!(one.faults.len() >= 6);
        assert!(one.faults.iter().all(|fault| fault.at_ms < DEFAULT_SPAN_MS));
        assert_eq!(one.classes.iter().map(|class| class.share).sum::<f64>(), 1.0);
        let startup = plovershelf_settings::read_value(&one.settings(), seed).expect("settings");
        assert_eq!(startup.warnings, Vec::<String>::new());
        let pools = plovershelf_config::pools::read("pools.ini", &one.pools(), &startup.classes);
        assert_eq!(pools.expect("pools").bulkheads.len(), one.classes.len());
    }
}
