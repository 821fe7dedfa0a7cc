use super::*;

#[test]
fn a_plot_contains_its_title_and_legend_and_one_without_points_is_an_error() {
    let line = Line { name: "median".into(), points: vec![(9.0, 1.0), (900.0, 2.0)] };
    let text = lines("until all know", "members", "seconds", &[line]).expect("a plot");
    assert!(text.starts_with("<svg") && text.contains("median") && text.contains("until all know"));
    assert!(lines("t", "x", "y", &[]).is_err());
}
