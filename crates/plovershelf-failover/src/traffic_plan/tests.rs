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
fn decode_error_names_the_invalid_part() {
    let error = |packed: PackedPlan| TrafficPlan::try_from(packed).expect_err("invalid plan").to_string();
    assert_eq!(error(packed(vec![(6, 0, 1)], vec![])), "share at row 6, column 0 is invalid for 2 zones");
    assert_eq!(error(packed(vec![(0, 3, 1)], vec![])), "share at row 0, column 3 is invalid for 2 zones");
    assert_eq!(error(packed(vec![], vec![2])), "excluded zone 2 is invalid for 2 zones");
    assert_eq!(
        error(PackedPlan { zones: 600, ..packed(vec![], vec![]) }),
        "plan has 600 zones, the maximum is 512"
    );
}

/// Due to rounding or a faulty sender, the shares of a row may sum to more than 1. The last share must be reduced to the rest.
#[test]
fn share_that_exceeds_its_row_is_reduced_to_the_rest() {
    let plan = packed(vec![(0, 1, u16::MAX), (0, 2, u16::MAX)], vec![]);
    let plan = TrafficPlan::try_from(plan).expect("plan can be decoded");
    assert_eq!(plan.shares[0], [0.0, 1.0, 0.0]);
    assert!(plan.is_valid(2));
}

#[test]
fn priority_outside_the_range_is_clamped_to_a_band() {
    assert_eq!([-1.0, 0.0, 0.4, 0.7, 1.0, 9.0].map(priority_band), [0, 0, 1, 2, 2, 2]);
}
