use super::*;

#[test]
fn a_figure_that_misses_its_bound_fails_the_trial_and_keys_keep_their_names() {
    let mut figures = Figures::default();
    figures.put("retry_share", 0.099_99, Bound::Under(0.1));
    figures.report("calls", 12.0);
    assert!(figures.all_met());
    figures.put("results_late", 1.0, Bound::AtMost(0.0));
    assert!(!figures.all_met());
    let json = figures.json("t", 3).to_string();
    assert_eq!(json, r#"{"trial":"t","seed":3,"retry_share":0.1,"calls":12,"results_late":1,"held":false}"#);
}

#[test]
fn a_figure_without_data_fails_the_trial_instead_of_being_zero() {
    let empty = plovershelf_simulation::statistics::SampleDistribution::default();
    for (bound, value) in [
        (Bound::AtMost(4.0), empty.most()),
        (Bound::AtLeast(0.0), empty.at(0.5)),
        (Bound::Informational, empty.mean()),
        (Bound::AtLeast(0.0), Some(f64::NAN)),
        (Bound::AtLeast(0.0), Some(f64::INFINITY)),
    ] {
        let mut figures = Figures::default();
        figures.put("known_s", value, bound);
        assert!(!figures.all_met(), "{bound:?} {value:?}");
        let json = figures.json("t", 1).to_string();
        assert_eq!(json, r#"{"trial":"t","seed":1,"known_s":null,"held":false}"#);
        assert!(figures.table().to_string().contains("FELL SHORT"));
        let mut trial = Figures::default();
        trial.phase("members_900", figures);
        assert!(!trial.all_met(), "a phase without data fails the trial as well");
    }
}
