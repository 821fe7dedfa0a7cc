//! Simulation of failover between zones, each with its demand, capacity, callers and faults. Traffic is routed by the server's
//! planner and followers or, for comparison, by callers that decide alone, by fixed weights, or with complete information.
//!
//! Time advances in steps of [`STEP_MS`]. In each step the callers of an origin zone send their work to zones according to the
//! routing. Each zone serves the highest priority bands first, up to its capacity, and rejects the rest, of which a fraction is
//! retried.

use std::collections::VecDeque;

use plovershelf_failover::{
    locality_weighted_plan, AttemptCounts, CallerReport, LoadReport, LoadReports, PlanFollower, Planner,
    PlannerConfig, ReportLimits, Topology, TrafficPlan, Zone, ZoneState, PRIORITY_BANDS,
};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Normal};
use rand_pcg::Pcg32;

/// Duration of a simulation step in milliseconds.
pub const STEP_MS: f64 = 50.0;
/// Value of a core-second and fraction of the demand of each priority band, the lowest band first.
const BANDS: [(f64, f64); PRIORITY_BANDS] = [(1.0, 0.5), (3.0, 0.3), (10.0, 0.2)];
/// Cost of rejecting a request, as a fraction of its work.
const REJECTION_COST_FRACTION: f64 = 0.15;
/// Fraction of the failed work that is retried.
const RETRY_FRACTION: f64 = 0.5;
/// Capacity of a zone that has just recovered, as a fraction of its full capacity.
const COLD_CAPACITY_FRACTION: f64 = 0.4;
/// Time until a recovered zone reaches its full capacity, in milliseconds.
const WARM_UP_MS: f64 = 8000.0;
/// Timeout of work sent to an unreachable zone, in milliseconds; it may be retried after that.
const TIMEOUT_MS: f64 = 500.0;
/// Time after which rejected work is retried, in milliseconds.
const REJECTED_RETRY_MS: f64 = 300.0;
/// Number of caller groups per origin, each of which receives plans independently.
const CALLER_GROUPS: usize = 3;
/// Maximum time for which two plans may be active at once, in milliseconds: the validity of the older plan plus the delivery
/// of the newer one and a step.
pub const BOUND_MS: f64 = 4000.0 + 2000.0;

/// Fault of one or more zones.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The zone fails and recovers with reduced capacity.
    Lost(usize),
    /// Gray failure: this fraction of the zone's answers is late.
    Grey(usize, f64),
    /// The zone alternately fails for 4 s and recovers for 4 s.
    Flapping(usize),
    /// All zones of the region fail.
    Region(usize),
    /// The two zones cannot reach each other.
    Partition(usize, usize),
    /// The demand of the zone's callers is multiplied by this factor.
    Peak(usize, f64),
    /// One member of the zone reports ten times its capacity.
    FalseReports(usize),
    /// A dependency of all zones is slow, which reduces the capacity of every zone to this fraction.
    SlowDependency(f64),
    /// The members of the zone are restarted in turn, which takes this fraction of its capacity away.
    RollingRestart(usize, f64),
    /// Plans reach the zone's callers 6 s late.
    PlansDelayed(usize),
}

/// Fault with its time interval.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Start of the fault in milliseconds.
    pub at_ms: f64,
    /// Duration of the fault in milliseconds.
    pub for_ms: f64,
    pub fault: Fault,
}

/// Scenario: regions, zones, demand and faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    pub name: &'static str,
    pub regions: usize,
    pub zones: usize,
    /// Number of members in all zones, of one core each.
    pub members: usize,
    /// Mean demand as a fraction of capacity.
    pub load: f64,
    /// Amplitude of the daily demand curve as a fraction of the mean demand.
    pub curve: f64,
    /// Duration in milliseconds.
    pub span_ms: f64,
    pub steps: Vec<Step>,
}

/// Names of all scenarios.
pub const SCENARIOS: [&str; 13] = [
    "calm",
    "day",
    "lost",
    "grey",
    "flapping",
    "region",
    "cable",
    "two",
    "weak",
    "liar",
    "ledger",
    "release",
    "late-news",
];

impl Scenario {
    /// Returns the scenario with this name, one of [`SCENARIOS`], for two regions of three zones each.
    pub fn of(name: &'static str, members: usize, seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed ^ 0x5a_9e5);
        let zone = rng.random_range(0..6);
        let neighbour = zone / 3 * 3 + (zone + 1) % 3;
        let (at_ms, for_ms) = (15_000.0 + 3000.0 * rng.random::<f64>(), 20_000.0);
        let step = |fault: Fault| Step { at_ms, for_ms, fault };
        let (mut load, mut curve, mut span_ms) = (0.55, 0.0, 70_000.0);
        let steps = match name {
            "day" => {
                (load, curve, span_ms) = (0.6, 0.35, 120_000.0);
                vec![step(Fault::Lost(zone))]
            }
            "lost" => vec![step(Fault::Lost(zone))],
            "grey" => vec![step(Fault::Grey(zone, 0.5))],
            "flapping" => vec![Step { for_ms: 40_000.0, ..step(Fault::Flapping(zone)) }],
            "region" => vec![step(Fault::Region(zone / 3))],
            "cable" => vec![step(Fault::Lost(zone)), step(Fault::Partition(zone, neighbour))],
            "two" => vec![
                step(Fault::Lost(zone)),
                Step { at_ms: at_ms + 2000.0, for_ms, fault: Fault::Lost(neighbour) },
            ],
            "weak" => vec![step(Fault::Lost(zone)), step(Fault::Peak(neighbour, 0.95 / load))],
            "liar" => vec![step(Fault::FalseReports(neighbour)), step(Fault::Lost(zone))],
            "ledger" => vec![step(Fault::SlowDependency(0.5))],
            "release" => vec![step(Fault::RollingRestart(zone, 0.5))],
            "late-news" => vec![step(Fault::PlansDelayed(zone)), step(Fault::Lost(zone))],
            _ => Vec::new(),
        };
        Scenario { name, regions: 2, zones: 6, members, load, curve, span_ms, steps }
    }
}

/// Routing of the callers' traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Callers follow the server's traffic plans.
    Plan,
    /// Callers of an origin decide by their own failures: the local zone unless a third fails, otherwise the nearest zone in
    /// which less than a third fails.
    Alone,
    /// Callers use the local zone, and all others evenly when nearly everything fails there.
    Fixed,
    /// Traffic is planned in each step from the actual capacity, demand and reachability of all zones.
    Best,
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunReport {
    /// Value of the work served.
    pub worth: f64,
    /// Value of the work demanded.
    pub value_demanded: f64,
    /// Work sent to the local zone and all work sent, in periods without faults; in core-seconds.
    pub local_fault_free: [f64; 2],
    /// Work sent to the local zone and all work sent, by origins whose zone is healthy; in core-seconds.
    pub near_healthy: [f64; 2],
    /// Longest time from the failure of a zone until its callers left it, in milliseconds.
    pub shift_ms_worst: f64,
    /// Longest time from the recovery of a zone until its callers returned, in milliseconds.
    pub return_ms_worst: f64,
    /// Time for which a zone that received traffic of others was overloaded, in seconds, summed over zones.
    pub overrun_s: f64,
    /// Number of plan changes in periods without faults.
    pub needless: u64,
    /// Maximum number of reversals of a zone's local share within a minute.
    pub reversals_per_minute: u64,
    /// Number of steps and caller groups in which a plan was followed for more than [`BOUND_MS`] after the next one was issued.
    pub two_plans_past_bound: u64,
    /// Number of plan changes.
    pub changes: u64,
    /// Encoded size of the last plan in bytes.
    pub plan_bytes: u64,
}

/// Divides cores among the priority bands.
fn banded(cores: f64) -> [f64; PRIORITY_BANDS] {
    BANDS.map(|(_, part)| part * cores)
}

/// Actual state of all zones in a step, independent of what callers and planner observe.
struct ZoneConditions {
    /// Capacity for work that is answered in time, in cores.
    capacity: Vec<f64>,
    /// Capacity that members report, in cores.
    reported_capacity: Vec<f64>,
    /// Fraction of answers that are in time.
    in_time_fraction: Vec<f64>,
    is_up: Vec<bool>,
    /// Up, warm and without a fault.
    is_healthy: Vec<bool>,
    /// Pairs of zones that cannot reach each other.
    cut: Vec<(usize, usize)>,
    /// Demand of the zone's callers without retries, in cores.
    demand: Vec<f64>,
    dependency_slow: bool,
    /// Zone with a member that reports a false capacity.
    false_reporter: Option<usize>,
    /// Zones whose callers receive plans late.
    plans_delayed: Vec<bool>,
    /// Set if no fault is active or ended within the last 15 s.
    fault_free: bool,
}

/// State of a run.
pub struct World {
    scenario: Scenario,
    routing: RoutingPolicy,
    topology: Topology,
    rng: Pcg32,
    now: f64,
    reports: LoadReports,
    planner: Planner,
    /// Number of the last plan message.
    number: u64,
    /// Plans in flight to each caller group, with their arrival times.
    plans_in_flight: Vec<VecDeque<(f64, u64, TrafficPlan)>>,
    /// Follower of each caller group.
    followers: Vec<PlanFollower>,
    /// Time of each zone's last recovery.
    recovered_at: Vec<f64>,
    was_up: Vec<bool>,
    /// Retries by time, with their origin and work.
    retries: VecDeque<(f64, usize, [f64; PRIORITY_BANDS])>,
    /// Recently sent and recently failed work, by origin and target.
    failures: Vec<Vec<[f64; 2]>>,
    /// Demand of each origin including retries, in cores, smoothed over a quarter of a second.
    demand_with_retries: Vec<[f64; PRIORITY_BANDS]>,
    /// Recently sent and recently answered work, by origin and target; a rejection counts as an answer.
    answers: Vec<Vec<[f64; 2]>>,
    /// Time of the next reports.
    report_at: f64,
    /// Time until which there is no leader.
    no_leader_until: f64,
    results: RunReport,
    /// Local share of each zone at its last significant change.
    last_near_share: Vec<f64>,
    /// Direction of each zone's last significant change.
    rises: Vec<Option<bool>>,
    /// Reversals of the local share: time and zone.
    reversals: Vec<(f64, usize)>,
    /// Time since which a zone's callers have to leave it.
    shift_since: Vec<Option<f64>>,
    /// Time since which a zone's callers have to return to it.
    return_since: Vec<Option<f64>>,
    /// Time at which each plan revision was issued.
    issued: Vec<f64>,
    last_fault_at: f64,
}

impl World {
    /// Simulates a scenario with this routing and returns the results.
    pub fn run(scenario: Scenario, routing: RoutingPolicy, seed: u64) -> RunReport {
        let zone = |n: usize| Zone {
            name: format!("z{}", n + 1),
            region: format!("r{}", n * scenario.regions / scenario.zones + 1),
        };
        let topology = Topology::new((0..scenario.zones).map(zone).collect());
        let count = scenario.zones;
        let mut world = World {
            routing,
            rng: Pcg32::seed_from_u64(seed),
            now: 0.0,
            reports: LoadReports::new(count, ReportLimits::default()),
            planner: Planner::new(topology.clone(), PlannerConfig::default()),
            number: 0,
            plans_in_flight: vec![VecDeque::new(); count * CALLER_GROUPS],
            followers: vec![PlanFollower::new(count); count * CALLER_GROUPS],
            recovered_at: vec![f64::NEG_INFINITY; count],
            was_up: vec![true; count],
            retries: VecDeque::new(),
            failures: vec![vec![[0.0; 2]; count]; count],
            demand_with_retries: vec![banded(scenario.load * scenario.members as f64 / count as f64); count],
            answers: vec![vec![[0.0; 2]; count]; count],
            report_at: 0.0,
            no_leader_until: 0.0,
            results: RunReport::default(),
            last_near_share: vec![1.0; count],
            rises: vec![None; count],
            reversals: Vec::new(),
            shift_since: vec![None; count],
            return_since: vec![None; count],
            issued: vec![0.0],
            last_fault_at: f64::NEG_INFINITY,
            topology,
            scenario,
        };
        while world.now < world.scenario.span_ms {
            world.step();
        }
        world.results
    }

    fn count(&self) -> usize {
        self.scenario.zones
    }

    /// Returns the number of cores per zone.
    fn cores(&self) -> f64 {
        self.scenario.members as f64 / self.scenario.zones as f64
    }

    /// Returns the actual state of all zones and records recoveries.
    fn conditions(&mut self) -> ZoneConditions {
        let (count, cores, now) = (self.count(), self.cores(), self.now);
        let phase =
            |zone: usize| (now / self.scenario.span_ms + zone as f64 / count as f64) * std::f64::consts::TAU;
        let demand =
            |zone: usize| cores * self.scenario.load * (1.0 + self.scenario.curve * phase(zone).sin());
        let mut conditions = ZoneConditions {
            capacity: vec![cores; count],
            reported_capacity: vec![0.0; count],
            in_time_fraction: vec![1.0; count],
            is_up: vec![true; count],
            is_healthy: vec![true; count],
            cut: Vec::new(),
            demand: (0..count).map(demand).collect(),
            dependency_slow: false,
            false_reporter: None,
            plans_delayed: vec![false; count],
            fault_free: true,
        };
        let is_active = |step: &&Step| (step.at_ms..step.at_ms + step.for_ms).contains(&now);
        for step in self.scenario.steps.iter().filter(is_active) {
            conditions.fault_free = false;
            match step.fault {
                Fault::Lost(zone) => conditions.is_up[zone] = false,
                Fault::Flapping(zone) => {
                    conditions.is_up[zone] = ((now - step.at_ms) / 4000.0) as u64 % 2 == 1
                }
                Fault::Region(region) => {
                    let zones_per_region = count / self.scenario.regions;
                    (region * zones_per_region..(region + 1) * zones_per_region)
                        .for_each(|zone| conditions.is_up[zone] = false);
                }
                Fault::Grey(zone, late) => {
                    (conditions.in_time_fraction[zone], conditions.is_healthy[zone]) = (1.0 - late, false)
                }
                Fault::Partition(first, second) => conditions.cut.extend([(first, second), (second, first)]),
                Fault::Peak(zone, factor) => conditions.demand[zone] *= factor,
                Fault::FalseReports(zone) => conditions.false_reporter = Some(zone),
                Fault::SlowDependency(part) => {
                    conditions.dependency_slow = true;
                    conditions.capacity.iter_mut().for_each(|capacity| *capacity *= part);
                }
                Fault::RollingRestart(zone, away) => {
                    (conditions.capacity[zone], conditions.is_healthy[zone]) =
                        (conditions.capacity[zone] * (1.0 - away), false)
                }
                Fault::PlansDelayed(zone) => conditions.plans_delayed[zone] = true,
            }
        }
        for zone in 0..count {
            if conditions.is_up[zone] && !self.was_up[zone] {
                self.recovered_at[zone] = now;
            }
            self.was_up[zone] = conditions.is_up[zone];
            let warm = (COLD_CAPACITY_FRACTION
                + (1.0 - COLD_CAPACITY_FRACTION) * (now - self.recovered_at[zone]) / WARM_UP_MS)
                .clamp(COLD_CAPACITY_FRACTION, 1.0);
            conditions.is_healthy[zone] &= conditions.is_up[zone] && warm >= 1.0;
            conditions.capacity[zone] *= if conditions.is_up[zone] { warm } else { 0.0 };
            conditions.reported_capacity[zone] = conditions.capacity[zone];
            // A late answer has no value, so the capacity spent on it does not count.
            conditions.capacity[zone] *= conditions.in_time_fraction[zone];
        }
        if conditions.fault_free && conditions.is_healthy.iter().all(|is_healthy| *is_healthy) {
            conditions.fault_free = now - self.last_fault_at > 15_000.0;
        } else {
            (conditions.fault_free, self.last_fault_at) = (false, now);
        }
        conditions
    }

    /// Returns the traffic shares by origin and band: the fraction for each target zone and, last, the fraction that is not sent.
    fn shares(&mut self, conditions: &ZoneConditions) -> Vec<Vec<f64>> {
        let count = self.count();
        match self.routing {
            RoutingPolicy::Plan => (0..count)
                .flat_map(|from| (0..PRIORITY_BANDS).map(move |band| (from, band)))
                .map(|(from, band)| {
                    let mut row = vec![0.0; count + 1];
                    for group in 0..CALLER_GROUPS {
                        let plan = self.followers[from * CALLER_GROUPS + group].active_plan(self.now);
                        let all_near = TrafficPlan::all_near(count);
                        let plan = plan.unwrap_or(&all_near);
                        (0..=count)
                            .for_each(|to| row[to] += plan.share(from, band, to) / CALLER_GROUPS as f64);
                    }
                    row
                })
                .collect(),
            RoutingPolicy::Best => {
                let state = |zone: usize| ZoneState {
                    capacity: conditions.capacity[zone],
                    demand: banded(conditions.demand[zone]),
                    largest_member: 0.0,
                };
                let zones: Vec<ZoneState> = (0..count).map(state).collect();
                let config =
                    PlannerConfig { fill_fraction: 1.0, near_fill_fraction: 1.0, ..PlannerConfig::default() };
                let mut topology = self.topology.clone();
                conditions.cut.iter().for_each(|(from, to)| topology.set_latency(*from, *to, 1e9));
                locality_weighted_plan(&topology, &config, &zones, &[]).shares
            }
            RoutingPolicy::Alone | RoutingPolicy::Fixed => (0..count)
                .flat_map(|from| std::iter::repeat_n(self.shares_by_failures(from), PRIORITY_BANDS))
                .collect(),
        }
    }

    /// Returns the traffic shares of an origin whose callers know their own failures only.
    fn shares_by_failures(&self, from: usize) -> Vec<f64> {
        let count = self.count();
        let failed_fraction = |to: usize| {
            let [sent, failed] = self.failures[from][to];
            if sent > 1e-6 {
                failed / sent
            } else {
                0.0
            }
        };
        let mut row = vec![0.0; count + 1];
        let mut others: Vec<usize> = (0..count).filter(|to| *to != from).collect();
        others.sort_by(|a, b| {
            self.topology.latency_ms(from, *a).total_cmp(&self.topology.latency_ms(from, *b))
        });
        if self.routing == RoutingPolicy::Fixed {
            if failed_fraction(from) > 0.9 {
                others.iter().for_each(|to| row[*to] = 0.99 / others.len() as f64);
                row[from] = 0.01;
            } else {
                row[from] = 1.0;
            }
            return row;
        }
        // The callers leave the local zone once a third of their work fails there; 5 % stays as a probe.
        if failed_fraction(from) < 0.33 {
            row[from] = 1.0;
            return row;
        }
        let to = others.iter().copied().find(|to| failed_fraction(*to) < 0.33).unwrap_or(from);
        row[to] += 0.95;
        row[from] += 0.05;
        row
    }

    fn step(&mut self) {
        let conditions = self.conditions();
        let (count, now) = (self.count(), self.now);
        if self.routing == RoutingPolicy::Plan {
            self.update_plans(&conditions);
        }
        let shares = self.shares(&conditions);
        let noise =
            Normal::new(1.0, 0.05).unwrap_or_else(|_| unreachable!("the standard deviation is positive"));
        // Work by origin and band, in core-seconds: first attempts, to which due retries are added below.
        let seconds = STEP_MS / 1000.0;
        let mut work: Vec<[f64; PRIORITY_BANDS]> = (0..count)
            .map(|from| {
                let cores = (conditions.demand[from] * noise.sample(&mut self.rng)).max(0.0) * seconds;
                BANDS.map(|(_, part)| cores * part)
            })
            .collect();
        for bands in &work {
            self.results.value_demanded +=
                bands.iter().zip(BANDS).map(|(work, (value, _))| work * value).sum::<f64>();
        }
        while self.retries.front().is_some_and(|(at, ..)| *at <= now) {
            if let Some((_, from, retried)) = self.retries.pop_front() {
                work[from].iter_mut().zip(retried).for_each(|(work, retried)| *work += retried);
            }
        }
        for (demand, work) in self.demand_with_retries.iter_mut().zip(&work) {
            demand
                .iter_mut()
                .zip(work)
                .for_each(|(demand, work)| *demand += (work / seconds - *demand) * 0.2);
        }
        let mut received = vec![[0.0; PRIORITY_BANDS]; count];
        let mut remote_work = vec![0.0; count];
        let reaches = |from: usize, to: usize| conditions.is_up[to] && !conditions.cut.contains(&(from, to));
        let mut sent = vec![vec![0.0; count]; count];
        for from in 0..count {
            let all: f64 = work[from].iter().sum();
            let mut lost = [0.0; PRIORITY_BANDS];
            for band in 0..PRIORITY_BANDS {
                for to in 0..count {
                    let part = work[from][band] * shares[from * PRIORITY_BANDS + band][to];
                    sent[from][to] += part;
                    if reaches(from, to) {
                        received[to][band] += part;
                        remote_work[to] += if from == to { 0.0 } else { part };
                    } else {
                        lost[band] += part * RETRY_FRACTION;
                    }
                }
            }
            if lost.iter().any(|lost| *lost > 0.0) {
                self.retries.push_back((now + TIMEOUT_MS, from, lost));
            }
            let near = sent[from][from];
            if conditions.fault_free {
                self.results.local_fault_free[0] += near;
                self.results.local_fault_free[1] += all;
            }
            if conditions.is_healthy[from] && !conditions.dependency_slow {
                self.results.near_healthy[0] += near;
                self.results.near_healthy[1] += all;
            }
        }
        // Each zone serves the highest bands first; rejecting the excess costs it capacity.
        let mut rejected = vec![0.0; count];
        for zone in 0..count {
            let demand: f64 = received[zone].iter().sum();
            let capacity = conditions.capacity[zone] * seconds;
            let rejection_cost = (demand - capacity).max(0.0) * REJECTION_COST_FRACTION;
            let mut left = (capacity - rejection_cost).max(0.0);
            for (band, (value, _)) in BANDS.iter().enumerate().rev() {
                let served = received[zone][band].min(left);
                left -= served;
                self.results.worth += served * value;
            }
            rejected[zone] = if demand > 0.0 {
                (1.0 - (capacity - rejection_cost).max(0.0) / demand).max(0.0)
            } else {
                0.0
            };
            if remote_work[zone] > 0.02 * capacity && demand > 1.02 * capacity && conditions.is_up[zone] {
                self.results.overrun_s += seconds;
            }
        }
        for from in 0..count {
            let mut retried = [0.0; PRIORITY_BANDS];
            for to in 0..count {
                let failed = if reaches(from, to) { rejected[to] } else { 1.0 };
                let sent = sent[from][to];
                // Both records decay with a time constant of one second. Answers are recorded separately from failures, because
                // a rejection is an answer.
                let decay = 1.0 - STEP_MS / 1000.0;
                let failures = &mut self.failures[from][to];
                *failures = [failures[0] * decay + sent, failures[1] * decay + sent * failed];
                let answers = &mut self.answers[from][to];
                let answered = if reaches(from, to) { sent } else { 0.0 };
                *answers = [answers[0] * decay + sent, answers[1] * decay + answered];
                if reaches(from, to) {
                    // The lowest band is rejected first; a fraction of it is retried.
                    retried[0] += (sent * failed * RETRY_FRACTION).min(work[from][0]);
                }
            }
            if retried[0] > 0.0 {
                self.retries.push_back((now + REJECTED_RETRY_MS, from, retried));
            }
        }
        self.retries.make_contiguous().sort_by(|a, b| a.0.total_cmp(&b.0));
        if self.routing == RoutingPolicy::Plan {
            self.measure(&conditions, &shares);
        }
        self.now += STEP_MS;
    }

    /// Collects the reports of members and callers, updates the plan at the leader and delivers plans to the caller groups.
    fn update_plans(&mut self, conditions: &ZoneConditions) {
        let (count, now) = (self.count(), self.now);
        // The leader is in the first zone. If that zone fails, a new leader takes over after an election of 1.5 s.
        if conditions.is_up.iter().any(|is_up| !is_up) && self.replace_lost_leader(conditions) {
            self.no_leader_until = now + 1500.0;
        }
        if self.report_at <= now {
            self.report_at = now + 300.0;
            let members = (self.scenario.members / count).max(1);
            for zone in 0..count {
                let active = self.followers[zone * CALLER_GROUPS].active_plan(now).cloned();
                let revision = active.as_ref().map_or(0, |plan| plan.revision);
                let demand = self.demand_with_retries[zone];
                let near: [f64; PRIORITY_BANDS] = std::array::from_fn(|band| {
                    active.as_ref().map_or(1.0, |plan| plan.share(zone, band, zone)) * demand[band]
                });
                let demand_elsewhere = std::array::from_fn(|band| demand[band] - near[band]);
                // Reports count attempts; the model takes a core-second as ten attempts.
                let counts = |[attempts, answered]: &[f64; 2]| AttemptCounts {
                    attempts: attempts * 10.0,
                    answered: answered * 10.0,
                };
                let attempts = self.answers[zone].iter().map(counts).collect();
                let report = CallerReport { origin: zone, demand_elsewhere, attempts };
                self.reports.handle_caller_report(now, zone as u64, report);
                if !conditions.is_up[zone] {
                    continue;
                }
                for member in 0..members {
                    let noise = 0.9 + 0.2 * self.rng.random::<f64>();
                    let false_factor =
                        if conditions.false_reporter == Some(zone) && member == 0 { 10.0 } else { 1.0 };
                    let report = LoadReport {
                        plan_revision: revision,
                        demand: near.map(|near| near / members as f64 * noise),
                        capacity: conditions.reported_capacity[zone] / members as f64 * false_factor,
                        in_time_fraction: conditions.in_time_fraction[zone],
                        is_dependency_slow: conditions.dependency_slow,
                    };
                    self.reports.handle_report(now, (zone * 10_000 + member) as u64, zone, report);
                }
            }
        }
        if now >= self.no_leader_until {
            if let Some(plan) = self.planner.poll_plan(now, &self.reports) {
                self.number += 1;
                if plan.revision != self.planner.committed().revision {
                    self.results.changes += 1;
                    self.issued.resize(plan.revision as usize + 1, now);
                    self.results.needless += u64::from(conditions.fault_free);
                }
                self.results.plan_bytes = serde_json::to_string(&plan).map_or(0, |text| text.len() as u64);
                self.planner.handle_committed(now, &plan);
                for group in 0..count * CALLER_GROUPS {
                    let late_ms = if conditions.plans_delayed[group / CALLER_GROUPS] { 6000.0 } else { 0.0 };
                    let delay_ms = 20.0 + 400.0 * self.rng.random::<f64>() + late_ms;
                    self.plans_in_flight[group].push_back((now + delay_ms, self.number, plan.clone()));
                }
            }
        }
        for group in 0..count * CALLER_GROUPS {
            self.plans_in_flight[group].make_contiguous().sort_by(|a, b| a.0.total_cmp(&b.0));
            while self.plans_in_flight[group].front().is_some_and(|(at, ..)| *at <= now) {
                if let Some((_, number, plan)) = self.plans_in_flight[group].pop_front() {
                    self.followers[group].handle_plan(now, number, plan);
                }
            }
        }
    }

    /// Replaces the planner if the leader's zone failed in this step, and returns whether it did. The new planner starts from
    /// the committed plan.
    fn replace_lost_leader(&mut self, conditions: &ZoneConditions) -> bool {
        let fault_begins =
            self.scenario.steps.iter().any(|step| (self.now - step.at_ms).abs() < STEP_MS / 2.0);
        let leader_lost = !conditions.is_up[0];
        if fault_begins && leader_lost {
            let committed = self.planner.committed().clone();
            self.planner = Planner::new(self.topology.clone(), PlannerConfig::default());
            self.planner.handle_committed(self.now, &committed);
        }
        fault_begins && leader_lost
    }

    /// Measures how fast traffic leaves and returns to zones, how often it reverses, and how long outdated plans are followed.
    fn measure(&mut self, conditions: &ZoneConditions, shares: &[Vec<f64>]) {
        let now = self.now;
        for zone in 0..self.count() {
            let near: f64 = (0..PRIORITY_BANDS)
                .map(|band| BANDS[band].1 * shares[zone * PRIORITY_BANDS + band][zone])
                .sum();
            if (near - self.last_near_share[zone]).abs() > 0.05 {
                let rises = near > self.last_near_share[zone];
                if self.rises[zone] != Some(rises) {
                    self.reversals.push((now, zone));
                }
                (self.rises[zone], self.last_near_share[zone]) = (Some(rises), near);
            }
            // Callers have to leave a failed zone and to return to a healthy one with spare capacity.
            let to_shift = !conditions.is_up[zone] && near > 0.05;
            let since = self.shift_since[zone];
            self.shift_since[zone] = to_shift.then(|| since.unwrap_or(now));
            if let (Some(since), false) = (since, to_shift) {
                if !conditions.is_up[zone] {
                    self.results.shift_ms_worst = self.results.shift_ms_worst.max(now - since);
                }
            }
            let to_return = conditions.is_healthy[zone]
                && near < 0.98
                && conditions.demand[zone] < 0.9 * conditions.capacity[zone];
            let since = self.return_since[zone];
            self.return_since[zone] = to_return.then(|| since.unwrap_or(now));
            if let (Some(since), false) = (since, to_return) {
                self.results.return_ms_worst = self.results.return_ms_worst.max(now - since);
            }
        }
        let reversals_in_minute = |zone: usize, from: f64| {
            let in_minute =
                |(at, other): &&(f64, usize)| *other == zone && (from..from + 60_000.0).contains(at);
            self.reversals.iter().filter(in_minute).count() as u64
        };
        let worst =
            self.reversals.iter().map(|(at, zone)| reversals_in_minute(*zone, *at)).max().unwrap_or(0);
        self.results.reversals_per_minute = self.results.reversals_per_minute.max(worst);
        // Count the caller groups that still follow a plan although the next one was issued longer ago than the bound.
        let delays_plans = |step: &Step| {
            matches!(step.fault, Fault::PlansDelayed(_)) && now < step.at_ms + step.for_ms + 7000.0
        };
        let late_ms = if self.scenario.steps.iter().any(delays_plans) { 6000.0 } else { 0.0 };
        let replaced_at =
            |revision: u64| self.issued.get(revision as usize + 1).copied().unwrap_or(f64::INFINITY);
        let followed =
            self.followers.iter().map(|follower| follower.revision(now)).filter(|revision| *revision > 0);
        let past = followed.filter(|revision| now - replaced_at(*revision) > BOUND_MS + late_ms).count();
        self.results.two_plans_past_bound += past as u64;
    }
}
