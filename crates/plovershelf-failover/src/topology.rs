//! Zones, their regions, and the latency between them.

use serde::{Deserialize, Serialize};

use crate::min_cost_flow::UNREACHABLE;

/// A zone, which fails as one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// Its name, unique.
    pub name: String,
    /// The region that it lies in.
    pub region: String,
}

/// One-way latency between zones of one region where none is configured, in milliseconds.
pub const DEFAULT_IN_REGION_MS: f64 = 1.0;
/// One-way latency between regions where none is configured, in milliseconds.
pub const DEFAULT_BETWEEN_REGIONS_MS: f64 = 30.0;
/// Zones at most.
pub const MAX_ZONES: usize = 512;

/// The zones, and the one-way latency between each two.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
    zones: Vec<Zone>,
    latency_ms: Vec<Vec<f64>>,
}

impl Topology {
    /// Zones with the default latencies.
    pub fn new(zones: Vec<Zone>) -> Self {
        let default_ms = |a: &Zone, b: &Zone| match (a.name == b.name, a.region == b.region) {
            (true, _) => 0.0,
            (false, true) => DEFAULT_IN_REGION_MS,
            (false, false) => DEFAULT_BETWEEN_REGIONS_MS,
        };
        let latency_ms = zones.iter().map(|a| zones.iter().map(|b| default_ms(a, b)).collect()).collect();
        Topology { zones, latency_ms }
    }

    /// Sets the latency between two zones, in both directions.
    pub fn set_latency(&mut self, one: usize, other: usize, latency_ms: f64) {
        (self.latency_ms[one][other], self.latency_ms[other][one]) = (latency_ms, latency_ms);
    }

    /// The one-way latency; infinite where there is no such zone.
    pub fn latency_ms(&self, from: usize, to: usize) -> f64 {
        self.latency_ms.get(from).and_then(|row| row.get(to)).copied().unwrap_or(UNREACHABLE)
    }

    /// The zones, in the order of their indices.
    pub fn zones(&self) -> &[Zone] {
        &self.zones
    }

    /// The index of the zone of that name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone.name == name)
    }

    /// How many zones there are.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Whether there is no zone.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }
}
