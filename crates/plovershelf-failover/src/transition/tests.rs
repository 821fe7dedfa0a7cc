use super::*;
use crate::load_reports::ZoneLoad;

const DEMAND: [f64; PRIORITY_BANDS] = [2.0, 1.0, 1.0];

/// Two zones of these capacities, in cores, of which each wants four.
fn zones(capacities: [f64; 2], config: &PlannerConfig) -> Vec<ZoneCapacity> {
    let zone = |capacity: f64| {
        let mut zone = ZoneCapacity::new(config);
        zone.update_demand(&ZoneLoad { demand: DEMAND, members: 1, ..ZoneLoad::default() }, 1.0);
        zone.update_capacity(0.0, capacity, false, config);
        zone
    };
    capacities.map(zone).to_vec()
}

/// All of the first zone's traffic at the second.
fn all_moved() -> TrafficPlan {
    let mut plan = TrafficPlan::all_near(2);
    plan.shares[..PRIORITY_BANDS].fill(vec![0.0, 1.0, 0.0]);
    plan
}

#[test]
fn zone_that_works_is_left_and_returned_to_by_steps_and_a_lost_one_left_at_once() {
    let config = PlannerConfig::default();
    let (near, moved) = (TrafficPlan::all_near(2), all_moved());
    let (working, lost) = (zones([10.0, 100.0], &config), zones([0.0, 100.0], &config));
    let step = |current: &TrafficPlan, zones: &[ZoneCapacity], wanted: &TrafficPlan| {
        Transition { current, zones, config: &config }.step(wanted).shares[0].clone()
    };
    assert_eq!(step(&near, &working, &moved), [0.5, 0.5, 0.0]);
    assert_eq!(step(&near, &lost, &moved), [0.0, 1.0, 0.0]);
    assert_eq!(step(&moved, &working, &near), [0.2, 0.8, 0.0]);
}

/// On the way back from a zone that has lost capacity since. What it can't carry must be rejected, the lowest priority first.
#[test]
fn traffic_beyond_the_capacity_of_the_receiving_zone_is_rejected_lowest_priority_first() {
    let config = PlannerConfig::default();
    let (near, moved) = (TrafficPlan::all_near(2), all_moved());
    let zones = zones([10.0, 7.0], &config);
    let next = Transition { current: &moved, zones: &zones, config: &config }.step(&near);
    assert!(next.rejected_share(0, 0) > 0.0 && next.rejected_share(0, 2) == 0.0, "{next:?}");
    let incoming: f64 = (0..PRIORITY_BANDS).map(|band| DEMAND[band] * next.share(0, band, 1)).sum();
    assert!(4.0 + incoming <= 7.0 * config.fill_fraction + 1e-9, "{incoming}");
}
