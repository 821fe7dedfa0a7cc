//! Zones, their regions, and the network latency between them.

use serde::{Deserialize, Serialize};

use crate::min_cost_flow::UNREACHABLE;

/// A zone, a failure domain within a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// Unique name of the zone.
    pub name: String,
    /// Name of the region that contains the zone.
    pub region: String,
}

/// Default one-way latency between zones of one region, in milliseconds.
pub const DEFAULT_IN_REGION_MS: f64 = 1.0;
/// Default one-way latency between zones of different regions, in milliseconds.
pub const DEFAULT_BETWEEN_REGIONS_MS: f64 = 30.0;
/// Maximum number of zones.
pub const MAX_ZONES: usize = 512;

/// All zones and the one-way latency between each pair.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
    zones: Vec<Zone>,
    latency_ms: Vec<Vec<f64>>,
}

impl Topology {
    /// Creates a topology with the default latencies.
    pub fn new(zones: Vec<Zone>) -> Self {
        let default_ms = |a: &Zone, b: &Zone| match (a.name == b.name, a.region == b.region) {
            (true, _) => 0.0,
            (false, true) => DEFAULT_IN_REGION_MS,
            (false, false) => DEFAULT_BETWEEN_REGIONS_MS,
        };
        let latency_ms = zones.iter().map(|a| zones.iter().map(|b| default_ms(a, b)).collect()).collect();
        Topology { zones, latency_ms }
    }

    /// Sets the one-way latency between two zones, given by index, in both directions.
    pub fn set_latency(&mut self, first: usize, second: usize, latency_ms: f64) {
        (self.latency_ms[first][second], self.latency_ms[second][first]) = (latency_ms, latency_ms);
    }

    /// Returns the one-way latency between two zones in milliseconds, or infinity if an index is out of range.
    pub fn latency_ms(&self, from: usize, to: usize) -> f64 {
        self.latency_ms.get(from).and_then(|row| row.get(to)).copied().unwrap_or(UNREACHABLE)
    }

    /// Returns the zones in index order.
    pub fn zones(&self) -> &[Zone] {
        &self.zones
    }

    /// Returns the index of the zone with the given name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone.name == name)
    }

    /// Returns the number of zones.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Returns whether there are no zones.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }
}
