use super::*;

#[test]
fn one_figure_that_falls_short_fails_the_trial_and_keys_keep_their_names() {
    let mut figures = Figures::default();
    figures.put("retry_share", 0.099_99, Aim::Under(0.1));
    figures.told("calls", 12.0);
    assert!(figures.hold());
    figures.put("results_late", 1.0, Aim::AtMost(0.0));
    assert!(!figures.hold());
    let told = figures.json("t", 3).to_string();
    assert_eq!(told, r#"{"trial":"t","seed":3,"retry_share":0.1,"calls":12,"results_late":1,"held":false}"#);
}
