//! What is agreed on: of each zone's traffic, the shares that stay near, go elsewhere, or are not worth sending anywhere.

use serde::{Deserialize, Serialize};

use crate::min_cost_flow::NO_WAY;

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

fn near_row(zones: usize, zone: usize) -> Vec<f64> {
    (0..=zones).map(|to| if to == zone { 1.0 } else { 0.0 }).collect()
}

/// As it travels: rows that are all near are left out, shares stand in parts of 65,535 with near taking what is left of the rounding.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Packed {
    change: u64,
    zones: u16,
    /// Row, column, share.
    shares: Vec<(u16, u16, u16)>,
    off: Vec<u16>,
    shifts: Vec<Shift>,
    hold_left_ms: f64,
    valid_ms: f64,
    why: String,
}

const WHOLE: f64 = 65_535.0;

impl From<Plan> for Packed {
    fn from(plan: Plan) -> Self {
        let zones = plan.zones();
        let mut shares = Vec::new();
        for (place, row) in plan.shares.iter().enumerate() {
            if *row != near_row(zones, place / BANDS) {
                let told = row.iter().enumerate().filter(|(to, share)| **share > 0.0 && *to != place / BANDS);
                shares.extend(
                    told.map(|(to, share)| (place as u16, to as u16, (share * WHOLE).floor() as u16)),
                );
            }
        }
        let off = (0..zones).filter(|zone| plan.off[*zone]).map(|zone| zone as u16).collect();
        let Plan { change, shifts, hold_left_ms, valid_ms, why, .. } = plan;
        Packed { change, zones: zones as u16, shares, off, shifts, hold_left_ms, valid_ms, why }
    }
}

impl TryFrom<Packed> for Plan {
    type Error = String;

    /// Errors: places beyond the zones, shares beyond all of a row.
    fn try_from(packed: Packed) -> Result<Self, String> {
        let zones = usize::from(packed.zones);
        if zones > ZONES_MOST {
            return Err(format!("{zones} zones: {ZONES_MOST} at most"));
        }
        let mut plan = Plan::near(zones);
        for (row, to, share) in packed.shares {
            let (row, to, share) = (usize::from(row), usize::from(to), f64::from(share) / WHOLE);
            let near = row / BANDS;
            let told = plan.shares.get_mut(row).filter(|told| to < told.len() && to != near);
            let told = told.ok_or_else(|| format!("row {row}, column {to} of {zones} zones"))?;
            told[to] = share;
            told[near] -= share;
            // What rounding left is no share: a zone that is off gets nothing of it.
            if told[near] < 2.0 * (zones as f64 + 1.0) / WHOLE {
                told[to] += told[near];
                told[near] = 0.0;
            }
            if told[to] < -1e-9 {
                return Err(format!("row {row} has shares beyond all of it"));
            }
        }
        for zone in packed.off {
            *plan.off.get_mut(usize::from(zone)).ok_or_else(|| format!("no zone {zone} of {zones}"))? = true;
        }
        (plan.change, plan.shifts, plan.why) = (packed.change, packed.shifts, packed.why);
        (plan.hold_left_ms, plan.valid_ms) = (packed.hold_left_ms, packed.valid_ms);
        Ok(plan)
    }
}

/// Bands of rank, the lowest first.
pub const BANDS: usize = 3;

pub fn band(rank: f64) -> usize {
    ((rank * BANDS as f64) as usize).min(BANDS - 1)
}

/// The shares. A row an origin zone and a band of rank: a column a target zone, then one for what is cut; each row sums to 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(into = "Packed", try_from = "Packed")]
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
        Plan {
            change: 0,
            shares: (0..zones * BANDS).map(|row| near_row(zones, row / BANDS)).collect(),
            off: vec![false; zones],
            shifts: Vec::new(),
            hold_left_ms: 0.0,
            valid_ms: f64::INFINITY,
            why: "all near".into(),
        }
    }

    pub fn zones(&self) -> usize {
        self.off.len()
    }

    pub fn share(&self, from: usize, band: usize, to: usize) -> f64 {
        self.shares.get(from * BANDS + band).and_then(|row| row.get(to)).copied().unwrap_or(0.0)
    }

    /// Of a band of an origin's traffic, what no zone is asked to carry.
    pub fn cut(&self, from: usize, band: usize) -> f64 {
        self.share(from, band, self.zones())
    }

    /// Of all that an origin asks, by bands, the share that goes to a zone; of nothing, the mean of the bands.
    pub fn part(&self, from: usize, to: usize, asked: &[f64; BANDS]) -> f64 {
        let all: f64 = asked.iter().sum();
        let of = |band: usize| if all > 1e-9 { asked[band] / all } else { 1.0 / BANDS as f64 };
        (0..BANDS).map(|band| of(band) * self.share(from, band, to)).sum()
    }

    /// The largest difference of one share.
    pub fn differs(&self, other: &Plan) -> f64 {
        let pairs = self.shares.iter().flatten().zip(other.shares.iter().flatten());
        pairs.map(|(a, b)| (a - b).abs()).fold(0.0, f64::max)
    }

    /// The largest difference of what stays near.
    pub fn near_differs(&self, other: &Plan) -> f64 {
        let near = |plan: &Plan, row: usize| plan.share(row / BANDS, row % BANDS, row / BANDS);
        (0..self.shares.len()).map(|row| (near(self, row) - near(other, row)).abs()).fold(0.0, f64::max)
    }

    /// Whether it may be acted by at all: rows that sum to 1, nothing below 0, nothing sent where it is off.
    pub fn is_sound(&self, zones: usize) -> bool {
        let row = |row: &Vec<f64>| {
            row.len() == zones + 1
                && row.iter().all(|share| (0.0..=1.0 + 1e-9).contains(share))
                && (row.iter().sum::<f64>() - 1.0).abs() < 1e-6
        };
        self.shares.len() == zones * BANDS && self.off.len() == zones && self.shares.iter().all(row)
    }
}
