//! The checks of the configuration distribution model detect each deliberately broken rule and report nothing without one.

use plovershelf_config_distribution::broken::{set, Broken};
use plovershelf_simulation::changes::shapes::Scenario;
use plovershelf_simulation::changes::tree::Tree;
use plovershelf_simulation::changes::{
    run, RunReport, BAD_CHANGES_NOTHING, CUT_OFF_SERVES_ON, IN_FORCE_MS, NEVER_BACKWARDS,
    ONE_CONTENT_A_NUMBER,
};

fn simulate(name: &'static str) -> RunReport {
    run::<Tree>(&Scenario::of(name, 40, 4), None)
}

fn is_late(results: &RunReport) -> bool {
    results.missed > 0 || results.in_force_at(0.99).is_none_or(|ms| ms > IN_FORCE_MS)
}

#[test]
fn each_broken_rule_is_detected_and_nothing_is_reported_without_one() {
    for name in ["relays-gone", "back", "mangled"] {
        let intact = simulate(name);
        assert!(intact.broken_count.is_empty() && !is_late(&intact), "{name}: {:?}", intact.broken);
    }
    set(Some(Broken::SpareNeverUsed));
    assert!(is_late(&simulate("relays-gone")));
    set(Some(Broken::CutOffForgets));
    assert!(simulate("back").count(CUT_OFF_SERVES_ON) + simulate("back").count(NEVER_BACKWARDS) > 0);
    set(Some(Broken::DigestNotChecked));
    assert!(simulate("mangled").count(ONE_CONTENT_A_NUMBER) > 0);
    set(Some(Broken::EditsNotChecked));
    assert!(simulate("mangled").count(BAD_CHANGES_NOTHING) > 0);
    set(Some(Broken::VersionNotCompared));
    assert!(simulate("mangled").count(NEVER_BACKWARDS) > 0);
    set(None);
}
