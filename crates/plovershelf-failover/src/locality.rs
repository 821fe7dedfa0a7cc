//! The plan that is best for given demand and capacity.
//!
//! *Decides*: where each band of each zone's traffic goes.
//! *Inputs*: each zone's usable capacity, its demand by band, what it loses with its largest member; cut paths.
//! *Rule*: the highest priorities first; near first; then by the shortest paths to where capacity is left beside what the
//! receiving zone needs for itself and for the loss of one more member. What fits nowhere is rejected at its origin.
//! *Why*: traffic that is moved must not overload where it goes.
//! *Source*: locality-weighted load balancing (Envoy), solved as a transportation problem.
//! *Without it*: all flee from a zone that is half lost to the next one, which falls too.

use crate::broken::{self, BrokenRule};
use crate::min_cost_flow::{min_cost_flow, Flows, UNREACHABLE};
use crate::planner::PlannerConfig;
use crate::topology::Topology;
use crate::traffic_plan::{TrafficPlan, PRIORITY_BANDS};

/// What a plan is worked out for, of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneState {
    /// What it may be asked to carry, in cores.
    pub capacity: f64,
    /// What its callers want, in cores by band.
    pub demand: [f64; PRIORITY_BANDS],
    /// What it loses with its largest member, in cores.
    pub largest_member: f64,
}

impl ZoneState {
    /// All that its callers want, in cores.
    pub(crate) fn total_demand(&self) -> f64 {
        self.demand.iter().sum()
    }
}

/// Whole units of the flow in a core.
const UNITS_PER_CORE: f64 = 1000.0;
/// Shared capacity is offered in so many layers, each a little dearer than the one before, so that equals share what comes.
const LAYERS: usize = 4;
/// Costs, beside the latency in milliseconds of a path to another zone.
const NEAR_LAYER_COST: f64 = 0.001;
const ELSEWHERE_COST: f64 = 1.0;
const ELSEWHERE_LAYER_COST: f64 = 0.2;
/// With [`BrokenRule::NoHeadroom`] a zone may be asked for this multiple of its capacity.
const BROKEN_HEADROOM_FACTOR: f64 = 1.5;
/// A zone that keeps less than this is named in the plan's reason.
const KEEPS_ALL_SHARE: f64 = 0.999;

fn units(cores: f64) -> u64 {
    (cores * UNITS_PER_CORE).round().max(0.0) as u64
}

/// The plan that is best for what zones may carry and want. No traffic is sent by `cut_paths` (from, to).
pub fn locality_weighted_plan(
    topology: &Topology,
    config: &PlannerConfig,
    zones: &[ZoneState],
    cut_paths: &[(usize, usize)],
) -> TrafficPlan {
    let problem = Problem { topology, config, zones, cut_paths };
    let supply: Vec<u64> = zones.iter().flat_map(|zone| zone.demand.map(units)).collect();
    let flows = problem.solve(&supply);
    let mut plan = problem.plan(&supply, &flows);
    plan.reason = problem.reason(&plan);
    plan
}

/// The transportation problem. Origins are the zones' bands. Targets are the layers of each zone's shared capacity, layer by
/// layer, then each zone's capacity for its own traffic alone.
struct Problem<'a> {
    topology: &'a Topology,
    config: &'a PlannerConfig,
    zones: &'a [ZoneState],
    cut_paths: &'a [(usize, usize)],
}

impl Problem<'_> {
    fn count(&self) -> usize {
        self.topology.len()
    }

    fn origins(&self) -> std::ops::Range<usize> {
        0..self.count() * PRIORITY_BANDS
    }

    fn solve(&self, supply: &[u64]) -> Flows {
        let count = self.count();
        let layers = (0..count * LAYERS).map(|target| self.layer_capacity(target));
        let capacity: Vec<u64> = layers.chain((0..count).map(|zone| self.own_capacity(zone))).collect();
        let costs =
            |origin: usize| (0..capacity.len()).map(|to| self.cost(origin / PRIORITY_BANDS, to)).collect();
        let cost: Vec<Vec<f64>> = self.origins().map(costs).collect();
        let stage = |band: usize| (0..count).map(|zone| zone * PRIORITY_BANDS + band).collect();
        let stages: Vec<Vec<usize>> = (0..PRIORITY_BANDS).rev().map(stage).collect();
        min_cost_flow(supply, &stages, &capacity, &cost)
    }

    /// Capacity of a zone that anybody's traffic may fill.
    fn shared_capacity(&self, zone: usize) -> u64 {
        let ZoneState { capacity, largest_member, .. } = self.zones[zone];
        let spare = if broken::is(BrokenRule::NoHeadroom) {
            capacity * BROKEN_HEADROOM_FACTOR
        } else {
            capacity * self.config.fill_fraction - largest_member
        };
        units(spare.max(0.0))
    }

    /// Capacity of a zone that only its own traffic may fill.
    fn own_capacity(&self, zone: usize) -> u64 {
        units(self.zones[zone].capacity * self.config.near_fill_fraction)
            .saturating_sub(self.shared_capacity(zone))
    }

    fn layer_capacity(&self, target: usize) -> u64 {
        let (shared, layer) = (self.shared_capacity(target % self.count()), (target / self.count()) as u64);
        let layers = LAYERS as u64;
        shared * (layer + 1) / layers - shared * layer / layers
    }

    fn cost(&self, from: usize, target: usize) -> f64 {
        let (zone, layer) = (target % self.count(), (target / self.count()) as f64);
        let latency_ms = self.topology.latency_ms(from, zone);
        let is_usable = latency_ms <= self.config.max_latency_ms && !self.cut_paths.contains(&(from, zone));
        match (from == zone, target < self.count() * LAYERS) {
            (true, true) => NEAR_LAYER_COST * (1.0 + layer),
            (true, false) => 0.0,
            (false, true) if is_usable => ELSEWHERE_COST + latency_ms + ELSEWHERE_LAYER_COST * layer,
            _ => UNREACHABLE,
        }
    }

    fn plan(&self, supply: &[u64], flows: &Flows) -> TrafficPlan {
        let count = self.count();
        let carried = |origin: usize, to: usize| flows[origin].iter().skip(to).step_by(count).sum::<u64>();
        let receives =
            |to: usize| self.origins().any(|origin| origin / PRIORITY_BANDS != to && carried(origin, to) > 0);
        let mut plan = TrafficPlan::all_near(count);
        for origin in self.origins() {
            let from = origin / PRIORITY_BANDS;
            plan.is_excluded[from] = self.zones[from].capacity <= 0.0;
            let shares = &mut plan.shares[origin];
            if supply[origin] == 0 {
                if plan.is_excluded[from] {
                    (shares[from], shares[count]) = (0.0, 1.0);
                }
                continue;
            }
            (0..count).for_each(|to| shares[to] = carried(origin, to) as f64 / supply[origin] as f64);
            let rest = (1.0 - shares.iter().take(count).sum::<f64>()).max(0.0);
            // What fits nowhere is rejected at its origin: by the zone's own admission control where it has its capacity to
            // itself; by its callers where it carries nothing, or others' higher priorities.
            let rejects_itself = self.zones[from].capacity > 0.0 && !receives(from);
            shares[if rejects_itself { from } else { count }] += rest;
        }
        plan
    }

    fn reason(&self, plan: &TrafficPlan) -> String {
        let kept = |zone: usize| plan.share_of_demand(zone, zone, &self.zones[zone].demand);
        let away: Vec<String> = (0..self.count())
            .filter(|zone| kept(*zone) < KEEPS_ALL_SHARE)
            .map(|zone| format!("{} keeps {:.0} %", self.topology.zones()[zone].name, kept(zone) * 100.0))
            .collect();
        if away.is_empty() {
            "all near".into()
        } else {
            away.join(", ")
        }
    }
}

#[cfg(test)]
mod tests;
