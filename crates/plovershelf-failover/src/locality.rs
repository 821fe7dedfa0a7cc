//! The optimal traffic plan for a given demand and capacity.
//!
//! *Decides*: the target zones of each zone's traffic, per priority band.
//! *Inputs*: each zone's usable capacity, demand per band and largest member; cut paths.
//! *Rule*: bands are assigned from the highest to the lowest priority. Traffic stays near if possible; otherwise it goes by the
//! shortest paths to zones with spare capacity beyond their own demand and the loss of one member. Demand that fits nowhere is
//! rejected at its origin.
//! *Why*: redirected traffic must not overload the receiving zone.
//! *Source*: locality-weighted load balancing (Envoy), solved as a transportation problem.
//! *Without it*: all traffic of a partially failed zone moves to the next zone and overloads that one too (cascading failure).

use crate::broken::{self, BrokenRule};
use crate::min_cost_flow::{min_cost_flow, Flows, UNREACHABLE};
use crate::planner::PlannerConfig;
use crate::topology::Topology;
use crate::traffic_plan::{TrafficPlan, PRIORITY_BANDS};

/// Planning input for one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneState {
    /// Usable capacity in cores.
    pub capacity: f64,
    /// Demand of the zone's callers, in cores per priority band.
    pub demand: [f64; PRIORITY_BANDS],
    /// Capacity of the zone's largest member, in cores.
    pub largest_member: f64,
}

impl ZoneState {
    /// Returns the demand of the zone's callers over all bands, in cores.
    pub(crate) fn total_demand(&self) -> f64 {
        self.demand.iter().sum()
    }
}

/// Integer flow units per core.
const UNITS_PER_CORE: f64 = 1000.0;
/// Number of layers of a zone's shared capacity, each with a slightly higher cost than the previous one, so that zones at equal
/// distance receive equal parts of redirected traffic.
const LAYERS: usize = 4;
/// Cost per layer of near traffic in its zone's shared capacity, on the same scale as path latency in milliseconds.
const NEAR_LAYER_COST: f64 = 0.001;
/// Cost of redirected traffic in addition to the path latency, on the same scale.
const REDIRECT_COST: f64 = 1.0;
/// Cost per layer of redirected traffic in the target zone's shared capacity, on the same scale.
const REDIRECT_LAYER_COST: f64 = 0.2;
/// Multiple of a zone's capacity that is offered to all zones while [`BrokenRule::NoHeadroom`] is violated.
const BROKEN_HEADROOM_FACTOR: f64 = 1.5;
/// Zones that keep less than this share of their traffic near are listed in the plan's reason.
const FULL_NEAR_SHARE: f64 = 0.999;

/// Converts cores to flow units.
fn units(cores: f64) -> u64 {
    (cores * UNITS_PER_CORE).round().max(0.0) as u64
}

/// Computes the optimal plan for the zones' demand and capacity. Paths (from, to) in `cut_paths` are not used.
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

/// The transportation problem. Origins are pairs of zone and band. Targets are the layers of all zones' shared capacity, ordered
/// by layer and then by zone, followed by each zone's capacity reserved for its own traffic.
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

    /// Returns the part of a zone's capacity, in units, that is available to traffic of all zones.
    fn shared_capacity(&self, zone: usize) -> u64 {
        let ZoneState { capacity, largest_member, .. } = self.zones[zone];
        let spare = if broken::is(BrokenRule::NoHeadroom) {
            capacity * BROKEN_HEADROOM_FACTOR
        } else {
            capacity * self.config.fill_fraction - largest_member
        };
        units(spare.max(0.0))
    }

    /// Returns the part of a zone's capacity, in units, that is reserved for its own traffic.
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
            (false, true) if is_usable => REDIRECT_COST + latency_ms + REDIRECT_LAYER_COST * layer,
            _ => UNREACHABLE,
        }
    }

    fn plan(&self, supply: &[u64], flows: &Flows) -> TrafficPlan {
        let count = self.count();
        let assigned_units =
            |origin: usize, to: usize| flows[origin].iter().skip(to).step_by(count).sum::<u64>();
        let receives = |to: usize| {
            self.origins().any(|origin| origin / PRIORITY_BANDS != to && assigned_units(origin, to) > 0)
        };
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
            (0..count).for_each(|to| shares[to] = assigned_units(origin, to) as f64 / supply[origin] as f64);
            let remainder = (1.0 - shares.iter().take(count).sum::<f64>()).max(0.0);
            // Demand that fits nowhere is rejected at its origin: by the zone's own admission control if only its own traffic uses
            // its capacity, and by its callers if the zone has no capacity or receives traffic of other zones.
            let rejects_itself = self.zones[from].capacity > 0.0 && !receives(from);
            shares[if rejects_itself { from } else { count }] += remainder;
        }
        plan
    }

    fn reason(&self, plan: &TrafficPlan) -> String {
        let near_share = |zone: usize| plan.share_of_demand(zone, zone, &self.zones[zone].demand);
        let redirected_zones: Vec<String> = (0..self.count())
            .filter(|zone| near_share(*zone) < FULL_NEAR_SHARE)
            .map(|zone| {
                format!("{} keeps {:.0} %", self.topology.zones()[zone].name, near_share(zone) * 100.0)
            })
            .collect();
        if redirected_zones.is_empty() {
            "all near".into()
        } else {
            redirected_zones.join(", ")
        }
    }
}

#[cfg(test)]
mod tests;
