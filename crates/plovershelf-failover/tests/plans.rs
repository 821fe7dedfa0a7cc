//! Tests of planning and routing: the solver's optimality, failing, recovering and flapping zones, operators' overrides, and
//! rejection and expiry of plans. They also verify that the violation of each rule is detected.

use std::collections::BTreeMap;

use plovershelf_failover::broken::{set, BrokenRule};
use plovershelf_failover::min_cost_flow::{min_cost_flow, Flows, UNREACHABLE};
use plovershelf_failover::{
    AttemptCounts, CallerReport, LoadReport, LoadReports, PlanFollower, Planner, PlannerConfig, ReportLimits,
    ShiftRequest, Topology, TrafficPlan, Zone,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn topology() -> Topology {
    let zone = |(name, region): (&str, &str)| Zone { name: name.into(), region: region.into() };
    Topology::new([("a", "n"), ("b", "n"), ("c", "n"), ("d", "s"), ("e", "s"), ("f", "s")].map(zone).to_vec())
}

/// Splits a demand by band: half of it is of low priority, three tenths of medium and a fifth of high priority.
fn split(cores: f64) -> [f64; 3] {
    [0.5, 0.3, 0.2].map(|fraction| fraction * cores)
}

/// Simulation of six zones with five cores and four members each. All members of a zone send the same report.
struct Fleet {
    reports: LoadReports,
    planner: Planner,
    now_ms: f64,
    demand: [f64; 6],
    capacity: [f64; 6],
    in_time_fraction: [f64; 6],
    is_dependency_slow: bool,
    /// Zones whose members send no reports.
    is_down: [bool; 6],
    /// Number of proposed plans.
    proposal_count: u64,
    /// Changes of near shares: time in milliseconds, zone and new share.
    near_changes: Vec<(f64, usize, f64)>,
    /// Highest load, as a fraction of true capacity, of a zone that receives redirected traffic.
    max_fill_fraction: f64,
}

impl Fleet {
    fn new() -> Self {
        Fleet {
            reports: LoadReports::new(6, ReportLimits::default()),
            planner: Planner::new(topology(), PlannerConfig::default()),
            now_ms: 0.0,
            demand: [3.0; 6],
            capacity: [5.0; 6],
            in_time_fraction: [1.0; 6],
            is_dependency_slow: false,
            is_down: [false; 6],
            proposal_count: 0,
            near_changes: Vec::new(),
            max_fill_fraction: 0.0,
        }
    }

    /// Advances the time, with reports and planning every 100 ms.
    fn advance(&mut self, ms: f64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.now_ms += 100.0;
            let plan = self.planner.committed().clone();
            for zone in (0..6).filter(|zone| !self.is_down[*zone]) {
                for member in 0..4u64 {
                    let near = plan.share_of_demand(zone, zone, &split(1.0));
                    let report = LoadReport {
                        plan_revision: plan.revision,
                        demand: split(self.demand[zone] * near / 4.0),
                        capacity: self.capacity[zone] / 4.0,
                        in_time_fraction: self.in_time_fraction[zone],
                        is_dependency_slow: self.is_dependency_slow,
                    };
                    self.reports.handle_report(self.now_ms, zone as u64 * 4 + member, zone, report);
                }
            }
            for origin in 0..6 {
                let demand_elsewhere = std::array::from_fn(|band| {
                    split(self.demand[origin])[band] * (1.0 - plan.share(origin, band, origin))
                });
                self.reports.handle_caller_report(
                    self.now_ms,
                    origin as u64,
                    CallerReport { origin, demand_elsewhere, attempts: vec![] },
                );
            }
            if let Some(next) = self.planner.poll_plan(self.now_ms, &self.reports) {
                assert!(next.is_valid(6), "{next:?}");
                self.proposal_count += 1;
                for zone in 0..6 {
                    let near = |plan: &TrafficPlan| plan.share_of_demand(zone, zone, &split(1.0));
                    if (near(&next) - near(&plan)).abs() > 1e-9 {
                        self.near_changes.push((self.now_ms, zone, near(&next)));
                    }
                }
                self.planner.handle_committed(self.now_ms, &next);
                // Compares the load of zones that receive redirected traffic with their true capacity.
                for to in (0..6).filter(|to| !self.is_down[*to]) {
                    let redirected: f64 = (0..6)
                        .filter(|from| *from != to)
                        .map(|from| self.demand[from] * next.share_of_demand(from, to, &split(1.0)))
                        .sum();
                    let near = self.demand[to] * next.share_of_demand(to, to, &split(1.0));
                    if redirected > 0.01 {
                        self.max_fill_fraction =
                            self.max_fill_fraction.max((redirected + near) / self.capacity[to]);
                    }
                }
            }
        }
    }

    /// Returns the near share of a zone's traffic in the committed plan.
    fn near(&self, zone: usize) -> f64 {
        self.planner.committed().share_of_demand(zone, zone, &split(1.0))
    }
}

#[test]
fn all_traffic_stays_near_without_disturbance() {
    let mut fleet = Fleet::new();
    fleet.advance(60_000.0);
    assert_eq!(fleet.near_changes, []);
    assert_eq!(fleet.planner.committed().revision, 0);
}

/// All members of a zone stop reporting, and resume later. Traffic must leave the zone in one step, the neighbours must keep
/// headroom, and the traffic must return in steps without reversing direction.
#[test]
fn traffic_leaves_a_lost_zone_at_once_for_the_nearest_zones_and_returns_in_steps() {
    let mut fleet = Fleet::new();
    fleet.demand = [2.0; 6];
    fleet.advance(5000.0);
    fleet.is_down[0] = true;
    fleet.advance(3000.0);
    let plan = fleet.planner.committed();
    assert!((0..3).all(|band| plan.share(0, band, 0) == 0.0));
    assert!(plan.is_excluded[0]);
    // Each neighbour has capacity for more than half of the traffic. They share it, and none goes to the other region.
    let share = |to: usize| plan.share_of_demand(0, to, &split(1.0));
    assert!((share(1) - 0.5).abs() < 0.13 && (share(1) + share(2) - 1.0).abs() < 1e-6, "{plan:?}");
    assert!(fleet.max_fill_fraction <= 0.86, "{}", fleet.max_fill_fraction);
    let recovered_ms = fleet.now_ms;
    fleet.is_down[0] = false;
    fleet.advance(30_000.0);
    assert!((fleet.near(0) - 1.0).abs() < 1e-9, "{}", fleet.near(0));
    let returning: Vec<f64> = fleet
        .near_changes
        .iter()
        .filter(|(at_ms, ..)| *at_ms > recovered_ms)
        .map(|(_, _, near)| *near)
        .collect();
    assert!(returning.len() >= 4, "traffic returns in steps: {returning:?}");
    assert!(
        returning.windows(2).all(|pair| pair[1] >= pair[0]),
        "traffic never reverses direction: {returning:?}"
    );
}

/// A zone alternately fails and recovers every four seconds. Its traffic must not move back and forth with it.
#[test]
fn traffic_leaves_a_flapping_zone_once_and_returns_when_it_is_stable() {
    let mut fleet = Fleet::new();
    fleet.advance(3000.0);
    for _ in 0..8 {
        fleet.is_down[1] = true;
        fleet.advance(4000.0);
        fleet.is_down[1] = false;
        fleet.advance(4000.0);
    }
    let changes = direction_changes(&fleet.near_changes, 1);
    assert!(changes <= 2, "{changes} direction changes in {:?}", fleet.near_changes);
    fleet.advance(120_000.0);
    assert!((fleet.near(1) - 1.0).abs() < 1e-9);
}

/// Counts how often a zone's near share starts to fall or to rise.
fn direction_changes(near_changes: &[(f64, usize, f64)], zone: usize) -> usize {
    let (mut near, mut was_increase, mut changes) = (1.0, None, 0);
    for (_, _, share) in near_changes.iter().filter(|(_, changed_zone, _)| *changed_zone == zone) {
        let is_increase = *share > near;
        changes += usize::from(was_increase != Some(is_increase));
        (near, was_increase) = (*share, Some(is_increase));
    }
    changes
}

#[test]
fn late_answers_reduce_a_zones_capacity_unless_the_shared_dependency_is_slow() {
    let mut fleet = Fleet::new();
    fleet.demand = [4.0, 2.0, 2.0, 2.0, 2.0, 2.0];
    fleet.advance(5000.0);
    assert_eq!(fleet.near_changes, []);
    fleet.in_time_fraction[0] = 0.6;
    fleet.advance(5000.0);
    // The zone serves 3 of the 4 cores of its demand in time.
    assert!((0.6..0.85).contains(&fleet.near(0)), "{}", fleet.near(0));
    let mut slow = Fleet::new();
    slow.demand = [4.0; 6];
    slow.advance(5000.0);
    (slow.in_time_fraction, slow.is_dependency_slow) = ([0.5, 0.4, 0.5, 0.6, 0.5, 0.3], true);
    slow.advance(20_000.0);
    assert_eq!(slow.near_changes, []);
}

#[test]
fn single_wrong_report_has_bounded_influence() {
    let mut reports = LoadReports::new(2, ReportLimits::default());
    let normal = LoadReport {
        plan_revision: 0,
        demand: split(0.5),
        capacity: 1.0,
        in_time_fraction: 1.0,
        is_dependency_slow: false,
    };
    for member in 0..8 {
        reports.handle_report(0.0, member, member as usize % 2, normal);
    }
    reports.handle_report(0.0, 0, 0, LoadReport { capacity: 10.0, demand: split(9.0), ..normal });
    let loads = reports.zone_loads(100.0);
    assert_eq!((loads[0].capacity, loads[1].capacity), (5.0, 4.0));
    assert!((loads[0].demand.iter().sum::<f64>() - 2.5).abs() < 1e-9, "{:?}", loads[0]);
    reports.handle_report(0.0, 0, 0, LoadReport { capacity: f64::NAN, demand: [f64::INFINITY; 3], ..normal });
    assert_eq!(reports.zone_loads(100.0)[0].capacity, 3.0);
    // Members without a recent report contribute no capacity, including those that never reported.
    reports.update_members(&(0..10).map(|m| (m, m as usize % 2)).collect::<BTreeMap<u64, usize>>());
    let loads = reports.zone_loads(100.0);
    assert_eq!((loads[0].members, loads[0].stale_members), (5, 1));
    assert!(reports.zone_loads(5000.0).iter().all(|load| load.capacity == 0.0));
}

/// Callers of a healthy origin get no answers from a zone whose members report normal load. Its traffic must be redirected.
#[test]
fn zone_that_callers_cannot_reach_is_excluded_although_its_members_report_normal_load() {
    let mut fleet = Fleet::new();
    fleet.advance(3000.0);
    for _ in 0..30 {
        let counts = [[0.0, 0.0], [40.0, 0.0], [40.0, 40.0], [40.0, 39.0], [40.0, 40.0], [40.0, 40.0]];
        let attempts = counts.map(|[attempts, answered]| AttemptCounts { attempts, answered }).to_vec();
        let report = CallerReport { origin: 0, demand_elsewhere: [0.0; 3], attempts };
        fleet.reports.handle_caller_report(fleet.now_ms, 99, report);
        fleet.advance(100.0);
    }
    assert!(
        fleet.planner.committed().is_excluded[1] && fleet.near(1) == 0.0,
        "{:?}",
        fleet.planner.committed()
    );
}

fn request(zone: &str, duration_ms: f64, operator: &str) -> ShiftRequest {
    ShiftRequest {
        zone: zone.into(),
        duration_ms,
        reason: "work".into(),
        operator: operator.into(),
        is_forced: false,
    }
}

#[test]
fn shift_without_enough_capacity_is_rejected_and_an_accepted_one_expires() {
    let mut fleet = Fleet::new();
    fleet.demand = [4.4; 6];
    fleet.advance(3000.0);
    let rejected = fleet.planner.shift(fleet.now_ms, &fleet.reports, &request("a", 10_000.0, "ann"));
    let rejected = rejected.expect_err("not enough capacity").to_string();
    assert!(rejected.contains("can't carry a") && rejected.contains("of 5.0 cores"), "{rejected}");
    let unknown = fleet
        .planner
        .shift(fleet.now_ms, &fleet.reports, &request("q", 1.0, "ann"))
        .expect_err("zone is unknown")
        .to_string();
    assert!(unknown.contains("a, b, c, d, e, f"), "{unknown}");
    fleet.demand = [2.0; 6];
    fleet.advance(3000.0);
    fleet
        .planner
        .shift(fleet.now_ms, &fleet.reports, &request("a", 10_000.0, "ann"))
        .expect("enough capacity");
    let repeated = fleet
        .planner
        .shift(fleet.now_ms, &fleet.reports, &request("a", 1.0, "bob"))
        .expect_err("zone is already shifted")
        .to_string();
    assert!(repeated.contains("shifted by ann already"), "{repeated}");
    fleet.advance(3000.0);
    assert_eq!(fleet.near(0), 0.0);
    assert_eq!(fleet.planner.committed().shifts[0].operator, "ann");
    fleet.advance(20_000.0);
    assert!((fleet.near(0) - 1.0).abs() < 1e-9 && fleet.planner.committed().shifts.is_empty());
}

#[test]
fn plan_does_not_change_during_a_hold() {
    let mut fleet = Fleet::new();
    fleet.advance(3000.0);
    fleet.planner.hold(fleet.now_ms, 10_000.0);
    fleet.is_down[0] = true;
    fleet.advance(8000.0);
    assert_eq!(fleet.near(0), 1.0);
    fleet.advance(6000.0);
    assert_eq!(fleet.near(0), 0.0);
}

/// One member still routes by an older plan. No further change may be proposed while that plan may be valid.
#[test]
fn change_waits_until_all_members_use_the_previous_one() {
    let mut fleet = Fleet::new();
    fleet.advance(3000.0);
    fleet.is_down[0] = true;
    fleet.advance(2000.0);
    let revision = fleet.planner.committed().revision;
    assert!(revision > 0);
    // This member reports a revision other than the committed one.
    let outdated = LoadReport {
        plan_revision: revision + 7,
        demand: split(0.75),
        capacity: 1.25,
        in_time_fraction: 1.0,
        is_dependency_slow: false,
    };
    fleet.is_down[1] = true;
    let start_ms = fleet.now_ms;
    while fleet.now_ms - start_ms < 4000.0 {
        fleet.reports.handle_report(fleet.now_ms, 23, 5, outdated);
        let next = fleet.planner.poll_plan(fleet.now_ms, &fleet.reports);
        assert!(next.is_none_or(|next| next.revision == revision));
        fleet.now_ms += 100.0;
    }
    fleet.advance(4000.0);
    assert!(fleet.planner.committed().revision > revision);
}

/// Plans arrive out of order, malformed or not at all. A follower may use only a newer valid plan, and none after it has expired.
#[test]
fn follower_accepts_only_newer_valid_plans_and_falls_back_to_near_after_expiry() {
    let mut follower = PlanFollower::new(2);
    let mut redirecting = TrafficPlan::all_near(2);
    (redirecting.shares[1], redirecting.valid_ms, redirecting.revision) = (vec![0.25, 0.5, 0.25], 1000.0, 1);
    assert_eq!(follower.choose_zone(0.0, 0, 0.5, 0.9, |_| true), Some(0));
    assert!(follower.handle_plan(0.0, 5, redirecting.clone()));
    let chosen = |f: &PlanFollower, now: f64, draw: f64| f.choose_zone(now, 0, 0.5, draw, |_| true);
    assert_eq!([0.1, 0.5, 0.9].map(|draw| chosen(&follower, 10.0, draw)), [Some(0), Some(1), None]);
    // The deadline does not allow the path to the chosen zone: the call stays near, where the plan keeps a share.
    assert_eq!(follower.choose_zone(10.0, 0, 0.5, 0.5, |_| false), Some(0));
    // Each priority band has its own shares.
    assert_eq!(follower.choose_zone(10.0, 0, 0.9, 0.9, |_| true), Some(0));
    assert_eq!(follower.choose_retry_zone(10.0, 0, 0.5, &[1]), Some(0));
    assert_eq!(follower.choose_retry_zone(10.0, 0, 0.5, &[0, 1]), None);
    assert!(!follower.handle_plan(20.0, 4, TrafficPlan::all_near(2)), "older version");
    let mut malformed = redirecting.clone();
    malformed.shares[1][0] = 0.9;
    assert!(!follower.handle_plan(20.0, 6, malformed), "a row sums to more than 1");
    assert!(follower.handle_plan(900.0, 6, redirecting));
    assert_eq!(follower.revision(1500.0), 1);
    assert_eq!((follower.revision(1901.0), chosen(&follower, 1901.0, 0.9)), (0, Some(0)));
    assert!(
        !follower.handle_plan(2000.0, 6, TrafficPlan::all_near(2)),
        "the same version again, after its plan has expired"
    );
}

/// Two of three zones of a region are lost. High-priority traffic of the lost zones must take precedence over low-priority traffic
/// of the other zones, and demand that fits nowhere must be rejected at its origin.
#[test]
fn high_priority_traffic_of_any_origin_precedes_low_priority_traffic() {
    let mut fleet = Fleet::new();
    fleet.demand = [3.6; 6];
    fleet.advance(3000.0);
    (fleet.is_down[0], fleet.is_down[1]) = (true, true);
    fleet.advance(8000.0);
    let plan = fleet.planner.committed();
    for zone in [0, 1] {
        assert!(plan.rejected_share(zone, 2) < 0.01, "the highest band must not be rejected: {plan:?}");
        assert!(plan.rejected_share(zone, 0) > plan.rejected_share(zone, 1) - 1e-9, "{plan:?}");
    }
    assert!(fleet.max_fill_fraction <= 0.96, "{}", fleet.max_fill_fraction);
}

/// A decoded plan must be valid and equal to the original up to rounding, the encoding of an all-near plan must be small, and a
/// malformed plan must be rejected.
#[test]
fn plan_is_packed_on_the_wire_and_a_malformed_one_is_rejected() {
    let mut fleet = Fleet::new();
    fleet.demand = [2.0; 6];
    fleet.advance(3000.0);
    fleet.is_down[0] = true;
    fleet.advance(3000.0);
    let plan = fleet.planner.committed().clone();
    let text = serde_json::to_string(&plan).expect("plan can be encoded");
    let decoded: TrafficPlan = serde_json::from_str(&text).expect("plan can be decoded");
    assert!(
        decoded.is_valid(6)
            && decoded.max_difference(&plan) < 1e-3
            && decoded.is_excluded == plan.is_excluded,
        "{decoded:?}"
    );
    assert!(serde_json::to_string(&TrafficPlan::all_near(300)).expect("plan can be encoded").len() < 200);
    let malformed = text.replace("\"zones\":6", "\"zones\":0");
    assert!(serde_json::from_str::<TrafficPlan>(&malformed).is_err());
}

#[test]
fn each_violated_rule_is_detected() {
    set(Some(BrokenRule::NoHeadroom));
    let mut fleet = Fleet::new();
    fleet.demand = [4.0; 6];
    fleet.advance(3000.0);
    fleet.is_down[0] = true;
    fleet.advance(4000.0);
    assert!(fleet.max_fill_fraction > 1.0, "{}", fleet.max_fill_fraction);
    set(Some(BrokenRule::NoHysteresis));
    let mut fleet = Fleet::new();
    fleet.advance(3000.0);
    for _ in 0..8 {
        fleet.is_down[1] = true;
        fleet.advance(4000.0);
        fleet.is_down[1] = false;
        fleet.advance(4000.0);
    }
    assert!(direction_changes(&fleet.near_changes, 1) > 6);
    set(Some(BrokenRule::PlanWithoutFence));
    let mut follower = PlanFollower::new(2);
    let plan = TrafficPlan { valid_ms: 100.0, revision: 2, ..TrafficPlan::all_near(2) };
    assert!(
        follower.handle_plan(0.0, 2, plan.clone())
            && follower.handle_plan(1.0, 1, TrafficPlan { revision: 1, ..plan })
    );
    assert_eq!(follower.revision(1e6), 1);
    set(None);
}

/// Returns the flow that sends each origin's units, in order of origins, to the nearest targets with free capacity.
fn greedy_flow(supply: &[u64], capacity: &[u64], cost: &[Vec<f64>]) -> Flows {
    let mut flows = vec![vec![0; capacity.len()]; supply.len()];
    let mut free = capacity.to_vec();
    for (origin, supply) in supply.iter().enumerate() {
        let mut unsent = *supply;
        let mut order: Vec<usize> = (0..capacity.len()).filter(|to| cost[origin][*to].is_finite()).collect();
        order.sort_by(|a, b| cost[origin][*a].total_cmp(&cost[origin][*b]));
        for target in order {
            let units = unsent.min(free[target]);
            flows[origin][target] += units;
            free[target] -= units;
            unsent -= units;
        }
    }
    flows
}

/// Returns the number of units sent and their total cost.
fn units_and_cost(flows: &Flows, cost: &[Vec<f64>]) -> (u64, f64) {
    let mut total = (0, 0.0);
    for (row, costs) in flows.iter().zip(cost) {
        for (units, cost) in row.iter().zip(costs).filter(|(units, _)| **units > 0) {
            total = (total.0 + units, total.1 + *units as f64 * cost);
        }
    }
    total
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// The solver must send at least as many units as the greedy flow, at no higher cost if it sends equally many, and must not
    /// exceed any supply or capacity.
    #[test]
    fn flow_is_maximal_at_minimum_cost(
        supply in proptest::collection::vec(0u64..500, 1..6),
        capacity in proptest::collection::vec(0u64..500, 1..6),
        costs in proptest::collection::vec(0u32..40, 36),
    ) {
        let cost: Vec<Vec<f64>> = (0..supply.len())
            .map(|from| (0..capacity.len()).map(|to| {
                let cost = costs[from * 6 + to];
                if cost >= 34 { UNREACHABLE } else { f64::from(cost) + 0.5 }
            }).collect())
            .collect();
        let origins: Vec<usize> = (0..supply.len()).collect();
        let optimal = min_cost_flow(&supply, &[origins], &capacity, &cost);
        for (row, supply) in optimal.iter().zip(&supply) {
            prop_assert!(row.iter().sum::<u64>() <= *supply);
        }
        for (to, capacity) in capacity.iter().enumerate() {
            prop_assert!(optimal.iter().map(|row| row[to]).sum::<u64>() <= *capacity);
        }
        let solved = units_and_cost(&optimal, &cost);
        let greedy = units_and_cost(&greedy_flow(&supply, &capacity, &cost), &cost);
        prop_assert!(
            solved.0 >= greedy.0 && (solved.0 > greedy.0 || solved.1 <= greedy.1 + 1e-6),
            "{solved:?} {greedy:?}"
        );
        // No origin with unsent units has a path to a target with free capacity.
        for from in 0..supply.len() {
            let unsent = supply[from] - optimal[from].iter().sum::<u64>();
            for to in 0..capacity.len() {
                let free = capacity[to] - optimal.iter().map(|row| row[to]).sum::<u64>();
                prop_assert!(unsent == 0 || free == 0 || cost[from][to].is_infinite());
            }
        }
    }

    /// A later stage must not reduce the number of units sent by an earlier one, and the stages together must send as many units
    /// as a single stage.
    #[test]
    fn later_stage_does_not_displace_an_earlier_one(
        supply in proptest::collection::vec(0u64..300, 4),
        capacity in proptest::collection::vec(0u64..300, 3),
        costs in proptest::collection::vec(0u32..20, 12),
    ) {
        let cost: Vec<Vec<f64>> = (0..4)
            .map(|from| (0..3).map(|to| f64::from(costs[from * 3 + to]) + 0.5).map(|c| if c > 16.0 { UNREACHABLE } else { c }).collect())
            .collect();
        let sent = |flows: &Vec<Vec<u64>>, rows: &[usize]| rows.iter().map(|r| flows[*r].iter().sum::<u64>()).sum::<u64>();
        let first = min_cost_flow(&supply, &[vec![0, 1]], &capacity, &cost);
        let both = min_cost_flow(&supply, &[vec![0, 1], vec![2, 3]], &capacity, &cost);
        let single_stage = min_cost_flow(&supply, &[vec![0, 1, 2, 3]], &capacity, &cost);
        prop_assert_eq!(sent(&both, &[0, 1]), sent(&first, &[0, 1]));
        prop_assert_eq!(sent(&both, &[0, 1, 2, 3]), sent(&single_stage, &[0, 1, 2, 3]));
    }

    /// Random reports must result in valid plans that send no traffic to excluded zones.
    #[test]
    fn random_reports_result_in_valid_plans(steps in proptest::collection::vec(
        (0u64..30, 0usize..8, proptest::num::f64::ANY, proptest::num::f64::ANY, proptest::num::f64::ANY, 0u32..2000), 1..200),
    ) {
        let (mut reports, mut planner) = (LoadReports::new(6, ReportLimits::default()), Planner::new(topology(), PlannerConfig::default()));
        let mut now_ms = 0.0;
        for (member, zone, demand, capacity, in_time, wait_ms) in steps {
            now_ms += f64::from(wait_ms);
            reports.handle_report(now_ms, member, zone, LoadReport {
                plan_revision: 0,
                demand: [demand, capacity, in_time],
                capacity,
                in_time_fraction: in_time,
                is_dependency_slow: member % 5 == 0,
            });
            let attempts = vec![AttemptCounts { attempts: capacity, answered: in_time }];
            reports.handle_caller_report(now_ms, member, CallerReport { origin: zone, demand_elsewhere: [demand; 3], attempts });
            if let Some(plan) = planner.poll_plan(now_ms, &reports) {
                prop_assert!(plan.is_valid(6), "{plan:?}");
                for to in (0..6).filter(|to| plan.is_excluded[*to]) {
                    for row in (0..18).filter(|row| row / 3 != to) {
                        prop_assert!(plan.shares[row][to] < 1e-6, "{plan:?}");
                    }
                }
                planner.handle_committed(now_ms, &plan);
            }
        }
    }
}
