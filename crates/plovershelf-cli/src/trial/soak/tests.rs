use super::*;

/// A failing run must be repeatable from its seed, and backends must accept the settings of every plan.
#[test]
fn a_seed_always_draws_the_same_plan_with_settings_that_backends_accept() {
    for seed in 1..50 {
        let (plan, repeated) = (Plan::draw(seed, DEFAULT_SPAN_MS), Plan::draw(seed, DEFAULT_SPAN_MS));
        assert_eq!(format!("{plan:?}"), format!("{repeated:?}"));
        assert!(plan.faults.len() >= 6);
        assert!(plan.faults.iter().all(|fault| fault.at_ms < DEFAULT_SPAN_MS));
        assert_eq!(plan.classes.iter().map(|class| class.share).sum::<f64>(), 1.0);
        let startup = plovershelf_settings::read_value(&plan.settings(), seed).expect("valid settings");
        assert_eq!(startup.warnings, Vec::<String>::new());
        let bulkheads =
            plovershelf_config::pools::read("pools.ini", &plan.bulkheads_config(), &startup.classes);
        assert_eq!(bulkheads.expect("valid bulkheads").bulkheads.len(), plan.classes.len());
    }
}
