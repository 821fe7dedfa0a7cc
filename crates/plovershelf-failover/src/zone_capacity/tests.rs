use super::*;

const PERIOD_MS: f64 = 300.0;

/// Updates a zone with a constant capacity for a duration and returns the time afterwards.
fn update_for(zone: &mut ZoneCapacity, start_ms: f64, duration_ms: f64, capacity: f64) -> f64 {
    let mut now_ms = start_ms;
    while now_ms < start_ms + duration_ms {
        zone.update_capacity(now_ms, capacity, false, &PlannerConfig::default());
        now_ms += PERIOD_MS;
    }
    now_ms
}

/// A zone fails and returns. Its capacity must become usable only after the recovery wait, and then in steps.
#[test]
fn lost_zone_recovers_in_steps_after_its_wait() {
    let config = PlannerConfig::default();
    let mut zone = ZoneCapacity::new(&config);
    let lost_ms = update_for(&mut zone, 0.0, 3000.0, 10.0);
    let back_ms = update_for(&mut zone, lost_ms, 3000.0, 0.0);
    assert_eq!(zone.usable(), 0.0);
    let waited_ms = update_for(&mut zone, back_ms, config.recovery_wait_ms, 10.0);
    assert_eq!(zone.usable(), 0.0);
    zone.update_capacity(waited_ms, 10.0, false, &config);
    zone.update_capacity(waited_ms + PERIOD_MS, 10.0, false, &config);
    assert!(zone.usable() > 0.0 && zone.usable() < 10.0, "{}", zone.usable());
    update_for(&mut zone, waited_ms, 10_000.0, 10.0);
    assert_eq!(zone.usable(), 10.0);
}

/// A zone's capacity drops a second time soon after the first. The recovery wait must be twice as long.
#[test]
fn second_drop_doubles_the_recovery_wait() {
    let config = PlannerConfig::default();
    let mut zone = ZoneCapacity::new(&config);
    let mut now_ms = update_for(&mut zone, 0.0, 3000.0, 10.0);
    for _ in 0..2 {
        now_ms = update_for(&mut zone, now_ms, 1000.0, 0.0);
        now_ms = update_for(&mut zone, now_ms, 1.5 * config.recovery_wait_ms, 10.0);
    }
    assert_eq!(zone.usable(), 0.0, "the doubled wait has not passed yet");
    update_for(&mut zone, now_ms, config.recovery_wait_ms, 10.0);
    assert!(zone.usable() > 0.0);
}

/// A new leader starts with a plan that excludes a zone. The zone must recover as after a drop, not immediately.
#[test]
fn excluded_zone_starts_without_usable_capacity() {
    let config = PlannerConfig::default();
    let mut zone = ZoneCapacity::new(&config);
    zone.update_capacity(0.0, 10.0, true, &config);
    assert_eq!(zone.usable(), 0.0);
}
