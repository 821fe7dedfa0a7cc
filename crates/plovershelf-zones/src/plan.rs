//! What is agreed on: of each zone's traffic, the shares that stay near, go elsewhere, or are not worth sending anywhere.

use serde::{Deserialize, Serialize};

use crate::flow::NO_WAY;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    pub name: String,
    pub region: String,
}

/// The zones and how far they are from each other, in milliseconds one way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Topology {
    pub zones: Vec<Zone>,
    way_ms: Vec<Vec<f64>>,
}

/// Between zones of one region, and between regions, where no way is told.
pub const WAY_MS: f64 = 1.0;
pub const FAR_MS: f64 = 30.0;
pub const ZONES_MOST: usize = 512;

impl Topology {
    pub fn of(zones: Vec<Zone>) -> Self {
        let far = |a: &Zone, b: &Zone| match (a.name == b.name, a.region == b.region) {
            (true, _) => 0.0,
            (false, true) => WAY_MS,
            (false, false) => FAR_MS,
        };
        let way_ms = zones.iter().map(|a| zones.iter().map(|b| far(a, b)).collect()).collect();
        Topology { zones, way_ms }
    }

    /// A way told for two zones, in both directions.
    pub fn way(&mut self, one: usize, other: usize, ms: f64) {
        (self.way_ms[one][other], self.way_ms[other][one]) = (ms, ms);
    }

    pub fn way_ms(&self, from: usize, to: usize) -> f64 {
        self.way_ms.get(from).and_then(|row| row.get(to)).copied().unwrap_or(NO_WAY)
    }

    pub fn place(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone.name == name)
    }

    pub fn len(&self) -> usize {
        self.zones.len()
    }

    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }
}

/// An operator's word: this zone's traffic goes elsewhere for so long still.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shift {
    pub zone: usize,
    pub left_ms: f64,
    pub why: String,
    pub by: String,
}

/// The shares. A row an origin zone: a column a target zone, then one for what is cut; each row sums to 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Goes up by one when anything but the spans changes; a plan that is only confirmed keeps it.
    pub change: u64,
    pub shares: Vec<Vec<f64>>,
    /// Zones that nothing is sent to, be it that they carry nothing or that an operator shifted them.
    pub off: Vec<bool>,
    pub shifts: Vec<Shift>,
    /// An operator holds it as it is, for so long still.
    pub hold_left_ms: f64,
    /// Whoever has not heard of it, or of it confirmed under a newer number, for so long acts by the safe default.
    pub valid_ms: f64,
    pub why: String,
}

impl Plan {
    /// All near: what each works out alone when it knows of no plan that holds.
    pub fn near(zones: usize) -> Self {
        let row = |zone: usize| (0..=zones).map(|to| if to == zone { 1.0 } else { 0.0 }).collect();
        Plan {
            change: 0,
            shares: (0..zones).map(row).collect(),
            off: vec![false; zones],
            shifts: Vec::new(),
            hold_left_ms: 0.0,
            valid_ms: f64::INFINITY,
            why: "all near".into(),
        }
    }

    pub fn zones(&self) -> usize {
        self.shares.len()
    }

    pub fn share(&self, from: usize, to: usize) -> f64 {
        self.shares.get(from).and_then(|row| row.get(to)).copied().unwrap_or(0.0)
    }

    /// Of an origin's traffic, what no zone is asked to carry.
    pub fn cut(&self, from: usize) -> f64 {
        self.share(from, self.zones())
    }

    /// The largest difference of one share.
    pub fn differs(&self, other: &Plan) -> f64 {
        let pairs = self.shares.iter().flatten().zip(other.shares.iter().flatten());
        pairs.map(|(a, b)| (a - b).abs()).fold(0.0, f64::max)
    }

    /// Whether it may be acted by at all: rows that sum to 1, nothing below 0, nothing sent where it is off.
    pub fn is_sound(&self, zones: usize) -> bool {
        let row = |row: &Vec<f64>| {
            row.len() == zones + 1
                && row.iter().all(|share| (0.0..=1.0 + 1e-9).contains(share))
                && (row.iter().sum::<f64>() - 1.0).abs() < 1e-6
        };
        self.shares.len() == zones && self.off.len() == zones && self.shares.iter().all(row)
    }
}
