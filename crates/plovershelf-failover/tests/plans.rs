//! Plans: the most is carried at the least cost, nobody beyond its capacity; zones fall, recover and flap; operators shift; older
//! plans are refused and all expire. Each rule that is broken on purpose is caught.

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

/// By band: a fifth of the demand is of high priority, half of low.
fn split(cores: f64) -> [f64; 3] {
    [0.5, 0.3, 0.2].map(|part| part * cores)
}

/// Six zones of four members each, with five cores a zone; all members of a zone report alike.
struct Fleet {
    reports: LoadReports,
    planner: Planner,
    now_ms: f64,
    demand: [f64; 6],
    capacity: [f64; 6],
    in_time_fraction: [f64; 6],
    is_dependency_slow: bool,
    is_silent: [bool; 6],
    number: u64,
    /// Each change of the near share of a zone, with its time.
    moves: Vec<(f64, usize, f64)>,
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
            is_silent: [false; 6],
            number: 0,
            moves: Vec::new(),
            max_fill_fraction: 0.0,
        }
    }

    fn pass(&mut self, ms: f64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.now_ms += 100.0;
            let plan = self.planner.committed().clone();
            for zone in (0..6).filter(|zone| !self.is_silent[*zone]) {
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
                self.number += 1;
                for zone in 0..6 {
                    let near = |plan: &TrafficPlan| plan.share_of_demand(zone, zone, &split(1.0));
                    if (near(&next) - near(&plan)).abs() > 1e-9 {
                        self.moves.push((self.now_ms, zone, near(&next)));
                    }
                }
                self.planner.handle_committed(self.now_ms, &next);
                // What comes from elsewhere, against the receiving zone's true capacity.
                for to in (0..6).filter(|to| !self.is_silent[*to]) {
                    let foreign: f64 = (0..6)
                        .filter(|from| *from != to)
                        .map(|from| self.demand[from] * next.share_of_demand(from, to, &split(1.0)))
                        .sum();
                    let near = self.demand[to] * next.share_of_demand(to, to, &split(1.0));
                    if foreign > 0.01 {
                        self.max_fill_fraction =
                            self.max_fill_fraction.max((foreign + near) / self.capacity[to]);
                    }
                }
            }
        }
    }

    fn near(&self, zone: usize) -> f64 {
        self.planner.committed().share_of_demand(zone, zone, &split(1.0))
    }
}

#[test]
fn all_stays_near_and_nothing_moves_in_calm() {
    let mut fleet = Fleet::new();
    fleet.pass(60_000.0);
    assert_eq!(fleet.moves, []);
    assert_eq!(fleet.planner.committed().revision, 0);
}

/// All members of a zone go silent, and come back. It must be left within a step, its neighbours must keep headroom, and it must
/// be returned to in steps without turning.
#[test]
fn lost_zone_is_left_at_once_for_the_nearest_and_returned_to_in_steps() {
    let mut fleet = Fleet::new();
    fleet.demand = [2.0; 6];
    fleet.pass(5000.0);
    fleet.is_silent[0] = true;
    fleet.pass(3000.0);
    let plan = fleet.planner.committed();
    assert!((0..3).all(|band| plan.share(0, band, 0) == 0.0));
    assert!(plan.is_excluded[0]);
    // Each neighbour has room for more than half of it; they share it, and nothing goes far.
    let part = |to: usize| plan.share_of_demand(0, to, &split(1.0));
    assert!((part(1) - 0.5).abs() < 0.13 && (part(1) + part(2) - 1.0).abs() < 1e-6, "{plan:?}");
    assert!(fleet.max_fill_fraction <= 0.86, "{}", fleet.max_fill_fraction);
    let lost_at = fleet.now_ms;
    fleet.is_silent[0] = false;
    fleet.pass(30_000.0);
    assert!((fleet.near(0) - 1.0).abs() < 1e-9, "{}", fleet.near(0));
    let back: Vec<f64> =
        fleet.moves.iter().filter(|(at, ..)| *at > lost_at).map(|(_, _, near)| *near).collect();
    assert!(back.len() >= 4, "in steps: {back:?}");
    assert!(back.windows(2).all(|pair| pair[1] >= pair[0]), "never forth and back: {back:?}");
}

/// A zone is lost and back every four seconds. It must not take its traffic back and forth.
#[test]
fn flapping_zone_is_left_once_and_returned_to_when_it_is_stable() {
    let mut fleet = Fleet::new();
    fleet.pass(3000.0);
    for _ in 0..8 {
        fleet.is_silent[1] = true;
        fleet.pass(4000.0);
        fleet.is_silent[1] = false;
        fleet.pass(4000.0);
    }
    let turns = turns(&fleet.moves, 1);
    assert!(turns <= 2, "{turns} turns in {:?}", fleet.moves);
    fleet.pass(120_000.0);
    assert!((fleet.near(1) - 1.0).abs() < 1e-9);
}

fn turns(moves: &[(f64, usize, f64)], zone: usize) -> usize {
    let (mut near, mut up, mut turns) = (1.0, None, 0);
    for (_, _, share) in moves.iter().filter(|(_, one, _)| *one == zone) {
        let rises = *share > near;
        turns += usize::from(up != Some(rises));
        (near, up) = (*share, Some(rises));
    }
    turns
}

#[test]
fn late_zone_counts_by_what_it_carries_and_dependency_slow_for_all_moves_nothing() {
    let mut fleet = Fleet::new();
    fleet.demand = [4.0, 2.0, 2.0, 2.0, 2.0, 2.0];
    fleet.pass(5000.0);
    assert_eq!(fleet.moves, []);
    fleet.in_time_fraction[0] = 0.6;
    fleet.pass(5000.0);
    // It carries 3 of the 4 that it is asked.
    assert!((0.6..0.85).contains(&fleet.near(0)), "{}", fleet.near(0));
    let mut slow = Fleet::new();
    slow.demand = [4.0; 6];
    slow.pass(5000.0);
    (slow.in_time_fraction, slow.is_dependency_slow) = ([0.5, 0.4, 0.5, 0.6, 0.5, 0.3], true);
    slow.pass(20_000.0);
    assert_eq!(slow.moves, []);
}

#[test]
fn member_that_reports_ten_times_its_capacity_or_nothing_moves_little() {
    let mut reports = LoadReports::new(2, ReportLimits::default());
    let well = LoadReport {
        plan_revision: 0,
        demand: split(0.5),
        capacity: 1.0,
        in_time_fraction: 1.0,
        is_dependency_slow: false,
    };
    for member in 0..8 {
        reports.handle_report(0.0, member, member as usize % 2, well);
    }
    reports.handle_report(0.0, 0, 0, LoadReport { capacity: 10.0, demand: split(9.0), ..well });
    let loads = reports.zone_loads(100.0);
    assert_eq!((loads[0].capacity, loads[1].capacity), (5.0, 4.0));
    assert!((loads[0].demand.iter().sum::<f64>() - 2.5).abs() < 1e-9, "{:?}", loads[0]);
    reports.handle_report(0.0, 0, 0, LoadReport { capacity: f64::NAN, demand: [f64::INFINITY; 3], ..well });
    assert_eq!(reports.zone_loads(100.0)[0].capacity, 3.0);
    // Silent ones carry nothing; members that never told anything count as such.
    reports.update_members(&(0..10).map(|m| (m, m as usize % 2)).collect::<BTreeMap<u64, usize>>());
    let loads = reports.zone_loads(100.0);
    assert_eq!((loads[0].members, loads[0].silent_members), (5, 1));
    assert!(reports.zone_loads(5000.0).iter().all(|load| load.capacity == 0.0));
}

/// Callers of a healthy origin get no answer from a zone whose members report that all is well. It must be left.
#[test]
fn zone_that_callers_do_not_reach_is_left_though_its_members_report_well() {
    let mut fleet = Fleet::new();
    fleet.pass(3000.0);
    for _ in 0..30 {
        let counts = [[0.0, 0.0], [40.0, 0.0], [40.0, 40.0], [40.0, 39.0], [40.0, 40.0], [40.0, 40.0]];
        let attempts = counts.map(|[attempts, answered]| AttemptCounts { attempts, answered }).to_vec();
        let report = CallerReport { origin: 0, demand_elsewhere: [0.0; 3], attempts };
        fleet.reports.handle_caller_report(fleet.now_ms, 99, report);
        fleet.pass(100.0);
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
fn shift_that_the_others_cannot_carry_is_refused_and_an_accepted_one_expires() {
    let mut fleet = Fleet::new();
    fleet.demand = [4.4; 6];
    fleet.pass(3000.0);
    let refused = fleet.planner.shift(fleet.now_ms, &fleet.reports, &request("a", 10_000.0, "ann"));
    let refused = refused.expect_err("too full").to_string();
    assert!(refused.contains("can't carry a") && refused.contains("of 5.0 cores"), "{refused}");
    let unknown = fleet
        .planner
        .shift(fleet.now_ms, &fleet.reports, &request("q", 1.0, "ann"))
        .expect_err("no such zone")
        .to_string();
    assert!(unknown.contains("a, b, c, d, e, f"), "{unknown}");
    fleet.demand = [2.0; 6];
    fleet.pass(3000.0);
    fleet.planner.shift(fleet.now_ms, &fleet.reports, &request("a", 10_000.0, "ann")).expect("room");
    let twice = fleet
        .planner
        .shift(fleet.now_ms, &fleet.reports, &request("a", 1.0, "bob"))
        .expect_err("ann has it")
        .to_string();
    assert!(twice.contains("shifted by ann already"), "{twice}");
    fleet.pass(3000.0);
    assert_eq!(fleet.near(0), 0.0);
    assert_eq!(fleet.planner.committed().shifts[0].operator, "ann");
    fleet.pass(20_000.0);
    assert!((fleet.near(0) - 1.0).abs() < 1e-9 && fleet.planner.committed().shifts.is_empty());
}

#[test]
fn held_plan_stays_until_the_hold_expires() {
    let mut fleet = Fleet::new();
    fleet.pass(3000.0);
    fleet.planner.hold(fleet.now_ms, 10_000.0);
    fleet.is_silent[0] = true;
    fleet.pass(8000.0);
    assert_eq!(fleet.near(0), 1.0);
    fleet.pass(6000.0);
    assert_eq!(fleet.near(0), 0.0);
}

/// One member still acts by an older plan. No further change may be proposed for as long as that plan may be valid.
#[test]
fn change_waits_until_the_last_has_reached_all() {
    let mut fleet = Fleet::new();
    fleet.pass(3000.0);
    fleet.is_silent[0] = true;
    fleet.pass(2000.0);
    let change = fleet.planner.committed().revision;
    assert!(change > 0);
    // One member still acts by the plan before it: no further change for as long as it may.
    let late = LoadReport {
        plan_revision: change + 7,
        demand: split(0.75),
        capacity: 1.25,
        in_time_fraction: 1.0,
        is_dependency_slow: false,
    };
    fleet.is_silent[1] = true;
    let before = fleet.now_ms;
    while fleet.now_ms - before < 4000.0 {
        fleet.reports.handle_report(fleet.now_ms, 23, 5, late);
        let next = fleet.planner.poll_plan(fleet.now_ms, &fleet.reports);
        assert!(next.is_none_or(|next| next.revision == change));
        fleet.now_ms += 100.0;
    }
    fleet.pass(4000.0);
    assert!(fleet.planner.committed().revision > change);
}

/// Plans come out of order, malformed, or not at all. Only a newer valid one may be followed, and none beyond its validity.
#[test]
fn follower_takes_only_newer_plans_and_falls_back_to_near_without_confirmation() {
    let mut follower = PlanFollower::new(2);
    let mut away = TrafficPlan::all_near(2);
    (away.shares[1], away.valid_ms, away.revision) = (vec![0.25, 0.5, 0.25], 1000.0, 1);
    assert_eq!(follower.choose_zone(0.0, 0, 0.5, 0.9, |_| true), Some(0));
    assert!(follower.handle_plan(0.0, 5, away.clone()));
    let chosen = |f: &PlanFollower, now: f64, draw: f64| f.choose_zone(now, 0, 0.5, draw, |_| true);
    assert_eq!([0.1, 0.5, 0.9].map(|draw| chosen(&follower, 10.0, draw)), [Some(0), Some(1), None]);
    // A way too long for what is left: near, as something stays there.
    assert_eq!(follower.choose_zone(10.0, 0, 0.5, 0.5, |_| false), Some(0));
    // Another rank's shares are its own.
    assert_eq!(follower.choose_zone(10.0, 0, 0.9, 0.9, |_| true), Some(0));
    assert_eq!(follower.choose_retry_zone(10.0, 0, 0.5, &[1]), Some(0));
    assert_eq!(follower.choose_retry_zone(10.0, 0, 0.5, &[0, 1]), None);
    assert!(!follower.handle_plan(20.0, 4, TrafficPlan::all_near(2)), "an older one");
    let mut wrong = away.clone();
    wrong.shares[1][0] = 0.9;
    assert!(!follower.handle_plan(20.0, 6, wrong), "its shares are more than all");
    assert!(follower.handle_plan(900.0, 6, away));
    assert_eq!(follower.revision(1500.0), 1);
    assert_eq!((follower.revision(1901.0), chosen(&follower, 1901.0, 0.9)), (0, Some(0)));
    assert!(!follower.handle_plan(2000.0, 6, TrafficPlan::all_near(2)), "an older one, also after its end");
}

/// Two of three zones of a region are lost. High priorities of the lost zones must go before low ones of the others, and what
/// fits nowhere must be rejected at its origin.
#[test]
fn high_priorities_are_carried_before_low_ones_from_any_origin() {
    let mut fleet = Fleet::new();
    fleet.demand = [3.6; 6];
    fleet.pass(3000.0);
    (fleet.is_silent[0], fleet.is_silent[1]) = (true, true);
    fleet.pass(8000.0);
    let plan = fleet.planner.committed();
    for zone in [0, 1] {
        assert!(plan.rejected_share(zone, 2) < 0.01, "the highest are carried: {plan:?}");
        assert!(plan.rejected_share(zone, 0) > plan.rejected_share(zone, 1) - 1e-9, "{plan:?}");
    }
    assert!(fleet.max_fill_fraction <= 0.96, "{}", fleet.max_fill_fraction);
}

/// What travels is what was agreed, near to a part in ten thousand, sound, and small where little moves.
#[test]
fn plan_is_packed_on_the_wire_and_a_wrong_one_refused() {
    let mut fleet = Fleet::new();
    fleet.demand = [2.0; 6];
    fleet.pass(3000.0);
    fleet.is_silent[0] = true;
    fleet.pass(3000.0);
    let plan = fleet.planner.committed().clone();
    let text = serde_json::to_string(&plan).expect("a plan");
    let read: TrafficPlan = serde_json::from_str(&text).expect("what was written");
    assert!(
        read.is_valid(6) && read.max_difference(&plan) < 1e-3 && read.is_excluded == plan.is_excluded,
        "{read:?}"
    );
    assert!(serde_json::to_string(&TrafficPlan::all_near(300)).expect("a plan").len() < 200);
    let wrong = text.replace("\"zones\":6", "\"zones\":0");
    assert!(serde_json::from_str::<TrafficPlan>(&wrong).is_err());
}

#[test]
fn each_broken_rule_is_caught() {
    set(Some(BrokenRule::NoHeadroom));
    let mut fleet = Fleet::new();
    fleet.demand = [4.0; 6];
    fleet.pass(3000.0);
    fleet.is_silent[0] = true;
    fleet.pass(4000.0);
    assert!(fleet.max_fill_fraction > 1.0, "{}", fleet.max_fill_fraction);
    set(Some(BrokenRule::NoHysteresis));
    let mut fleet = Fleet::new();
    fleet.pass(3000.0);
    for _ in 0..8 {
        fleet.is_silent[1] = true;
        fleet.pass(4000.0);
        fleet.is_silent[1] = false;
        fleet.pass(4000.0);
    }
    assert!(turns(&fleet.moves, 1) > 6);
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

/// The nearest target with free capacity first, origins in turn: what the flow is compared with.
fn greedy_flow(supply: &[u64], capacity: &[u64], cost: &[Vec<f64>]) -> Flows {
    let mut flows = vec![vec![0; capacity.len()]; supply.len()];
    let mut free = capacity.to_vec();
    for (origin, supply) in supply.iter().enumerate() {
        let mut left = *supply;
        let mut order: Vec<usize> = (0..capacity.len()).filter(|to| cost[origin][*to].is_finite()).collect();
        order.sort_by(|a, b| cost[origin][*a].total_cmp(&cost[origin][*b]));
        for target in order {
            let units = left.min(free[target]);
            flows[origin][target] += units;
            free[target] -= units;
            left -= units;
        }
    }
    flows
}

/// Units carried, and the sum of units times cost.
fn units_and_cost(flows: &Flows, cost: &[Vec<f64>]) -> (u64, f64) {
    let mut all = (0, 0.0);
    for (row, costs) in flows.iter().zip(cost) {
        for (units, cost) in row.iter().zip(costs).filter(|(units, _)| **units > 0) {
            all = (all.0 + units, all.1 + *units as f64 * cost);
        }
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Never less carried than by the nearest first, and as much at no higher cost; never more than there is.
    #[test]
    fn flow_carries_the_most_at_the_least_cost(
        supply in proptest::collection::vec(0u64..500, 1..6),
        room in proptest::collection::vec(0u64..500, 1..6),
        costs in proptest::collection::vec(0u32..40, 36),
    ) {
        let cost: Vec<Vec<f64>> = (0..supply.len())
            .map(|from| (0..room.len()).map(|to| {
                let cost = costs[from * 6 + to];
                if cost >= 34 { UNREACHABLE } else { f64::from(cost) + 0.5 }
            }).collect())
            .collect();
        let all: Vec<usize> = (0..supply.len()).collect();
        let best = min_cost_flow(&supply, &[all], &room, &cost);
        for (row, supply) in best.iter().zip(&supply) {
            prop_assert!(row.iter().sum::<u64>() <= *supply);
        }
        for (to, room) in room.iter().enumerate() {
            prop_assert!(best.iter().map(|row| row[to]).sum::<u64>() <= *room);
        }
        let (ours, theirs) = (units_and_cost(&best, &cost), units_and_cost(&greedy_flow(&supply, &room, &cost), &cost));
        prop_assert!(ours.0 >= theirs.0 && (ours.0 > theirs.0 || ours.1 <= theirs.1 + 1e-6), "{ours:?} {theirs:?}");
        // Nothing that is left has a path to free capacity.
        for from in 0..supply.len() {
            let left = supply[from] - best[from].iter().sum::<u64>();
            for to in 0..room.len() {
                let free = room[to] - best.iter().map(|row| row[to]).sum::<u64>();
                prop_assert!(left == 0 || free == 0 || cost[from][to].is_infinite());
            }
        }
    }

    /// Stages: what an earlier one carries stays as much as alone, and all together as much as in one.
    #[test]
    fn later_stage_takes_nothing_from_an_earlier_one(
        supply in proptest::collection::vec(0u64..300, 4),
        room in proptest::collection::vec(0u64..300, 3),
        costs in proptest::collection::vec(0u32..20, 12),
    ) {
        let cost: Vec<Vec<f64>> = (0..4)
            .map(|from| (0..3).map(|to| f64::from(costs[from * 3 + to]) + 0.5).map(|c| if c > 16.0 { UNREACHABLE } else { c }).collect())
            .collect();
        let carried = |flows: &Vec<Vec<u64>>, rows: &[usize]| rows.iter().map(|r| flows[*r].iter().sum::<u64>()).sum::<u64>();
        let first = min_cost_flow(&supply, &[vec![0, 1]], &room, &cost);
        let both = min_cost_flow(&supply, &[vec![0, 1], vec![2, 3]], &room, &cost);
        let at_once = min_cost_flow(&supply, &[vec![0, 1, 2, 3]], &room, &cost);
        prop_assert_eq!(carried(&both, &[0, 1]), carried(&first, &[0, 1]));
        prop_assert_eq!(carried(&both, &[0, 1, 2, 3]), carried(&at_once, &[0, 1, 2, 3]));
    }

    /// Any reports give valid plans, and nothing is sent to a zone that is excluded.
    #[test]
    fn any_reports_give_valid_plans(steps in proptest::collection::vec(
        (0u64..30, 0usize..8, proptest::num::f64::ANY, proptest::num::f64::ANY, proptest::num::f64::ANY, 0u32..2000), 1..200),
    ) {
        let (mut reports, mut planner) = (LoadReports::new(6, ReportLimits::default()), Planner::new(topology(), PlannerConfig::default()));
        let mut now = 0.0;
        for (member, zone, asked, could, in_time, wait) in steps {
            now += f64::from(wait);
            reports.handle_report(now, member, zone, LoadReport {
                plan_revision: 0,
                demand: [asked, could, in_time],
                capacity: could,
                in_time_fraction: in_time,
                is_dependency_slow: member % 5 == 0,
            });
            let attempts = vec![AttemptCounts { attempts: could, answered: in_time }];
            reports.handle_caller_report(now, member, CallerReport { origin: zone, demand_elsewhere: [asked; 3], attempts });
            if let Some(plan) = planner.poll_plan(now, &reports) {
                prop_assert!(plan.is_valid(6), "{plan:?}");
                for to in (0..6).filter(|to| plan.is_excluded[*to]) {
                    for row in (0..18).filter(|row| row / 3 != to) {
                        prop_assert!(plan.shares[row][to] < 1e-6, "{plan:?}");
                    }
                }
                planner.handle_committed(now, &plan);
            }
        }
    }
}
