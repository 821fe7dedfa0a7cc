use super::*;

fn shift(zone: usize, remaining_ms: f64) -> ZonalShift {
    ZonalShift { zone, remaining_ms, reason: "work".into(), operator: "ann".into() }
}

/// A new leader restores a shift and a hold from the committed plan. Both must keep their remaining durations.
#[test]
fn restored_shift_and_hold_keep_their_remaining_durations() {
    let plan =
        TrafficPlan { shifts: vec![shift(1, 500.0)], hold_remaining_ms: 300.0, ..TrafficPlan::all_near(2) };
    let mut overrides = Overrides::new();
    overrides.restore(1000.0, &plan);
    assert!(overrides.is_shifted(1499.0, 1) && !overrides.is_shifted(1500.0, 1));
    assert!(overrides.is_hold_active(1299.0) && !overrides.is_hold_active(1300.0));
    assert_eq!(overrides.shifts(1200.0)[0].remaining_ms, 300.0);
    overrides.expire(1500.0);
    assert!(!overrides.has_same_zones_as(&plan));
}

#[test]
fn second_shift_of_a_zone_and_shifts_beyond_the_maximum_are_rejected() {
    let mut overrides = Overrides::new();
    overrides.add(0.0, shift(0, 9000.0));
    let error = overrides.check_can_add(1000.0, 0, "a").expect_err("zone is already shifted").to_string();
    assert_eq!(error, "a is shifted by ann already, for 8 s more: work");
    (1..MAX_SHIFTS).for_each(|zone| overrides.add(0.0, shift(zone, 9000.0)));
    assert_eq!(overrides.check_can_add(0.0, 99, "q"), Err(ShiftError::TooManyShifts));
    assert_eq!(ShiftError::TooManyShifts.to_string(), "there are 16 shifts already");
    assert!(overrides.remove(Some(0)) && !overrides.remove(Some(0)));
}
