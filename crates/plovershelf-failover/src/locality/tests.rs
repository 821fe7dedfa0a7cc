use super::*;
use crate::topology::Zone;

fn topology() -> Topology {
    let zone = |name: &str| Zone { name: name.into(), region: "north".into() };
    Topology::new(["a", "b", "c"].map(zone).to_vec())
}

fn state(capacity: f64) -> ZoneState {
    ZoneState { capacity, demand: [2.0, 1.0, 1.0], largest_member: 0.0 }
}

/// A zone has no capacity and the path to one of the other zones is cut. All its traffic must go to the remaining zone.
#[test]
fn traffic_of_a_zone_without_capacity_avoids_a_cut_path() {
    let zones = [state(0.0), state(20.0), state(20.0)];
    let plan = locality_weighted_plan(&topology(), &PlannerConfig::default(), &zones, &[(0, 1)]);
    for band in 0..PRIORITY_BANDS {
        assert_eq!((plan.share(0, band, 1), plan.share(0, band, 2)), (0.0, 1.0));
    }
    assert_eq!(
        (plan.is_excluded.as_slice(), plan.reason.as_str()),
        (&[true, false, false][..], "a keeps 0 %")
    );
}

/// No zone has spare capacity. Excess traffic must stay near in a zone with capacity, whose admission control rejects it, and
/// must be rejected by callers in a zone without capacity.
#[test]
fn traffic_that_fits_nowhere_stays_near_or_is_rejected_by_callers() {
    let zones = [state(0.0), state(2.0), state(4.0)];
    let plan = locality_weighted_plan(&topology(), &PlannerConfig::default(), &zones, &[]);
    assert_eq!((plan.rejected_share(0, 0), plan.share(1, 0, 1)), (1.0, 1.0));
}
