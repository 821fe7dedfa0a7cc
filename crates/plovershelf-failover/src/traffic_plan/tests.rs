use super::*;

fn packed(shares: Vec<(u16, u16, u16)>, excluded: Vec<u16>) -> PackedPlan {
    PackedPlan {
        revision: 1,
        zones: 2,
        shares,
        excluded,
        shifts: Vec::new(),
        hold_remaining_ms: 0.0,
        valid_ms: 1000.0,
        reason: String::new(),
    }
}

#[test]
fn refused_plan_is_named() {
    let refusal = |packed: PackedPlan| TrafficPlan::try_from(packed).expect_err("refused").to_string();
    assert_eq!(refusal(packed(vec![(6, 0, 1)], vec![])), "row 6, column 0 of 2 zones");
    assert_eq!(refusal(packed(vec![(0, 3, 1)], vec![])), "row 0, column 3 of 2 zones");
    assert_eq!(refusal(packed(vec![], vec![2])), "no zone 2 of 2");
    assert_eq!(refusal(PackedPlan { zones: 600, ..packed(vec![], vec![]) }), "600 zones: 512 at most");
}

/// Rounding, or a sender that is wrong, may leave shares beyond all of a row. The last of them gets what is left.
#[test]
fn share_beyond_the_rest_of_its_row_is_cut_to_the_rest() {
    let plan = packed(vec![(0, 1, u16::MAX), (0, 2, u16::MAX)], vec![]);
    let plan = TrafficPlan::try_from(plan).expect("a plan");
    assert_eq!(plan.shares[0], [0.0, 1.0, 0.0]);
    assert!(plan.is_valid(2));
}

#[test]
fn band_of_a_priority_is_within_the_bands() {
    assert_eq!([-1.0, 0.0, 0.4, 0.7, 1.0, 9.0].map(priority_band), [0, 0, 1, 2, 2, 2]);
}
