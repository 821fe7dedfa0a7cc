use super::*;
use crate::admission::test_support::config;

#[test]
fn classes_of_equal_value_share_a_rank_and_its_quantiles() {
    let priorities = Priorities::new(&config().classes);
    assert_eq!(priorities.ranks(), 2);
    assert_eq!([0, 1, 2, 3].map(|class| priorities.rank(class)), [0, 1, 1, 1]);
    let quantiles: Vec<(f64, f64)> = priorities.iter().map(|p| (p.quantile_from, p.quantile_to)).collect();
    assert_eq!(quantiles, [(0.0, 0.25), (0.25, 1.0), (0.25, 1.0), (0.25, 1.0)]);
}
