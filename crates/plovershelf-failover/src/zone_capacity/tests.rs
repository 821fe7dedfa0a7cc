use super::*;

const LOOK_MS: f64 = 300.0;

/// Looks at a zone of this capacity for so long; returns the time after it.
fn look(zone: &mut ZoneCapacity, start_ms: f64, duration_ms: f64, capacity: f64) -> f64 {
    let mut now_ms = start_ms;
    while now_ms < start_ms + duration_ms {
        zone.update_capacity(now_ms, capacity, false, &PlannerConfig::default());
        now_ms += LOOK_MS;
    }
    now_ms
}

/// A zone is lost and comes back. Its capacity must be usable only after the wait, and then in steps.
#[test]
fn lost_zone_recovers_in_steps_after_its_wait() {
    let config = PlannerConfig::default();
    let mut zone = ZoneCapacity::new(&config);
    let lost_ms = look(&mut zone, 0.0, 3000.0, 10.0);
    let back_ms = look(&mut zone, lost_ms, 3000.0, 0.0);
    assert_eq!(zone.usable(), 0.0);
    let waited_ms = look(&mut zone, back_ms, config.recovery_wait_ms, 10.0);
    assert_eq!(zone.usable(), 0.0);
    zone.update_capacity(waited_ms, 10.0, false, &config);
    zone.update_capacity(waited_ms + LOOK_MS, 10.0, false, &config);
    assert!(zone.usable() > 0.0 && zone.usable() < 10.0, "{}", zone.usable());
    look(&mut zone, waited_ms, 10_000.0, 10.0);
    assert_eq!(zone.usable(), 10.0);
}

/// A zone falls a second time soon after the first. It must wait twice as long.
#[test]
fn second_fall_doubles_the_wait() {
    let config = PlannerConfig::default();
    let mut zone = ZoneCapacity::new(&config);
    let mut now_ms = look(&mut zone, 0.0, 3000.0, 10.0);
    for _ in 0..2 {
        now_ms = look(&mut zone, now_ms, 1000.0, 0.0);
        now_ms = look(&mut zone, now_ms, 1.5 * config.recovery_wait_ms, 10.0);
    }
    assert_eq!(zone.usable(), 0.0, "within twice the wait");
    look(&mut zone, now_ms, config.recovery_wait_ms, 10.0);
    assert!(zone.usable() > 0.0);
}

/// A new leader takes over a plan that excludes a zone. It must recover as after a fall, not at once.
#[test]
fn excluded_zone_begins_without_usable_capacity() {
    let config = PlannerConfig::default();
    let mut zone = ZoneCapacity::new(&config);
    zone.update_capacity(0.0, 10.0, true, &config);
    assert_eq!(zone.usable(), 0.0);
}
