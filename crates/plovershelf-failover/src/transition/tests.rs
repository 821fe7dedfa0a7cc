use super::*;
use crate::load_reports::ZoneLoad;

const DEMAND: [f64; PRIORITY_BANDS] = [2.0, 1.0, 1.0];

/// Returns two zones with the given capacities in cores and a demand of four cores each.
fn zones(capacities: [f64; 2], config: &PlannerConfig) -> Vec<ZoneCapacity> {
    let zone = |capacity: f64| {
        let mut zone = ZoneCapacity::new(config);
        zone.update_demand(&ZoneLoad { demand: DEMAND, members: 1, ..ZoneLoad::default() }, 1.0);
        zone.update_capacity(0.0, capacity, false, config);
        zone
    };
    capacities.map(zone).to_vec()
}

/// Returns a plan that redirects all traffic of the first zone to the second.
fn all_redirected() -> TrafficPlan {
    let mut plan = TrafficPlan::all_near(2);
    plan.shares[..PRIORITY_BANDS].fill(vec![0.0, 1.0, 0.0]);
    plan
}

#[test]
fn traffic_leaves_a_working_zone_and_returns_in_steps_but_leaves_a_lost_zone_at_once() {
    let config = PlannerConfig::default();
    let (near, redirected) = (TrafficPlan::all_near(2), all_redirected());
    let (working, lost) = (zones([10.0, 100.0], &config), zones([0.0, 100.0], &config));
    let step = |current: &TrafficPlan, zones: &[ZoneCapacity], target: &TrafficPlan| {
        Transition { current, zones, config: &config }.step(target).shares[0].clone()
    };
    assert_eq!(step(&near, &working, &redirected), [0.5, 0.5, 0.0]);
    assert_eq!(step(&near, &lost, &redirected), [0.0, 1.0, 0.0]);
    assert_eq!(step(&redirected, &working, &near), [0.2, 0.8, 0.0]);
}

/// Traffic returns in steps from a zone whose capacity has dropped. The excess must be rejected, lowest priority first.
#[test]
fn traffic_beyond_the_capacity_of_the_receiving_zone_is_rejected_lowest_priority_first() {
    let config = PlannerConfig::default();
    let (near, redirected) = (TrafficPlan::all_near(2), all_redirected());
    let zones = zones([10.0, 7.0], &config);
    let next = Transition { current: &redirected, zones: &zones, config: &config }.step(&near);
    assert!(next.rejected_share(0, 0) > 0.0 && next.rejected_share(0, 2) == 0.0, "{next:?}");
    let incoming: f64 = (0..PRIORITY_BANDS).map(|band| DEMAND[band] * next.share(0, band, 1)).sum();
    assert!(4.0 + incoming <= 7.0 * config.fill_fraction + 1e-9, "{incoming}");
}
