//! The plan that is committed: of each zone's traffic, the shares that stay near, go elsewhere, or are rejected at the origin.
//!
//! On the wire rows that are all near are left out, and shares are 16-bit fractions; what rounding leaves goes to the near share.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::topology::MAX_ZONES;

/// Bands of priority, the lowest first.
pub const PRIORITY_BANDS: usize = 3;

/// The band of a priority from 0 to 1.
pub fn priority_band(priority: f64) -> usize {
    ((priority * PRIORITY_BANDS as f64) as usize).min(PRIORITY_BANDS - 1)
}

/// An operator's zonal shift: a zone's traffic goes elsewhere until it expires.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZonalShift {
    /// The index of the zone.
    pub zone: usize,
    /// How long it still lasts, in milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: f64,
    /// Why, in the operator's words.
    #[serde(rename = "why")]
    pub reason: String,
    /// Who set it.
    #[serde(rename = "by")]
    pub operator: String,
}

/// The shares. A row an origin zone and a band; a column a target zone, then one for what is rejected. Each row sums to 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(into = "PackedPlan", try_from = "PackedPlan")]
pub struct TrafficPlan {
    /// Goes up by one when anything but the times changes; a plan that is only confirmed keeps it.
    pub revision: u64,
    /// The rows, by origin, then by band.
    pub shares: Vec<Vec<f64>>,
    /// Zones that nothing is sent to: they carry nothing, or an operator shifted them.
    pub is_excluded: Vec<bool>,
    /// Operators' shifts.
    pub shifts: Vec<ZonalShift>,
    /// An operator holds the plan as it is for so long still, in milliseconds.
    pub hold_remaining_ms: f64,
    /// Who has not had it confirmed for so long, in milliseconds, acts by the safe default.
    pub valid_ms: f64,
    /// What it comes to, for people.
    pub reason: String,
}

/// Shares that differ from 1, or are below 0, by less are sound.
const SHARE_TOLERANCE: f64 = 1e-9;
const ROW_SUM_TOLERANCE: f64 = 1e-6;
/// Demand below this is none.
const MIN_DEMAND: f64 = 1e-9;

fn near_row(zones: usize, zone: usize) -> Vec<f64> {
    (0..=zones).map(|to| if to == zone { 1.0 } else { 0.0 }).collect()
}

impl TrafficPlan {
    /// All near: the safe default of who has no plan that is valid.
    pub fn all_near(zones: usize) -> Self {
        TrafficPlan {
            revision: 0,
            shares: (0..zones * PRIORITY_BANDS).map(|row| near_row(zones, row / PRIORITY_BANDS)).collect(),
            is_excluded: vec![false; zones],
            shifts: Vec::new(),
            hold_remaining_ms: 0.0,
            valid_ms: f64::INFINITY,
            reason: "all near".into(),
        }
    }

    /// How many zones it is for.
    pub fn zones(&self) -> usize {
        self.is_excluded.len()
    }

    /// The share of an origin's band that goes to a zone.
    pub fn share(&self, origin: usize, band: usize, to: usize) -> f64 {
        self.shares.get(origin * PRIORITY_BANDS + band).and_then(|row| row.get(to)).copied().unwrap_or(0.0)
    }

    /// The share of an origin's band that no zone is asked to carry.
    pub fn rejected_share(&self, origin: usize, band: usize) -> f64 {
        self.share(origin, band, self.zones())
    }

    /// The share of all that an origin wants, by bands, that goes to a zone; where it wants nothing, the mean of the bands.
    pub fn share_of_demand(&self, origin: usize, to: usize, demand: &[f64; PRIORITY_BANDS]) -> f64 {
        let total: f64 = demand.iter().sum();
        let weight = |band: usize| {
            if total > MIN_DEMAND {
                demand[band] / total
            } else {
                1.0 / PRIORITY_BANDS as f64
            }
        };
        (0..PRIORITY_BANDS).map(|band| weight(band) * self.share(origin, band, to)).sum()
    }

    /// The largest difference of one share.
    pub fn max_difference(&self, other: &TrafficPlan) -> f64 {
        let pairs = self.shares.iter().flatten().zip(other.shares.iter().flatten());
        pairs.map(|(a, b)| (a - b).abs()).fold(0.0, f64::max)
    }

    /// Whether it may be acted by at all: rows that sum to 1, and nothing below 0.
    pub fn is_valid(&self, zones: usize) -> bool {
        let is_valid_row = |row: &Vec<f64>| {
            row.len() == zones + 1
                && row.iter().all(|share| (0.0..=1.0 + SHARE_TOLERANCE).contains(share))
                && (row.iter().sum::<f64>() - 1.0).abs() < ROW_SUM_TOLERANCE
        };
        self.shares.len() == zones * PRIORITY_BANDS
            && self.is_excluded.len() == zones
            && self.shares.iter().all(is_valid_row)
    }
}

/// Why a plan from the wire was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PlanDecodeError {
    /// More zones than there may be.
    #[error("{zones} zones: {max} at most", max = MAX_ZONES)]
    TooManyZones {
        /// How many it has.
        zones: usize,
    },
    /// A share beyond the zones.
    #[error("row {row}, column {column} of {zones} zones")]
    UnknownShare {
        /// Its row.
        row: usize,
        /// Its column.
        column: usize,
        /// How many zones there are.
        zones: usize,
    },
    /// Shares of one row beyond all of it.
    #[error("row {row} has shares beyond all of it")]
    RowAboveOne {
        /// The row.
        row: usize,
    },
    /// An excluded zone that does not exist.
    #[error("no zone {zone} of {zones}")]
    UnknownZone {
        /// Its index.
        zone: u16,
        /// How many zones there are.
        zones: usize,
    },
}

/// The plan on the wire. Names of fields are what scripts read of the command's JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct PackedPlan {
    #[serde(rename = "change")]
    revision: u64,
    zones: u16,
    /// Row, column, share in parts of [`WHOLE_SHARE`].
    shares: Vec<(u16, u16, u16)>,
    #[serde(rename = "off")]
    excluded: Vec<u16>,
    shifts: Vec<ZonalShift>,
    #[serde(rename = "hold_left_ms")]
    hold_remaining_ms: f64,
    valid_ms: f64,
    #[serde(rename = "why")]
    reason: String,
}

/// A share of 1 on the wire.
const WHOLE_SHARE: f64 = 65_535.0;

impl From<TrafficPlan> for PackedPlan {
    fn from(plan: TrafficPlan) -> Self {
        let zones = plan.zones();
        let mut shares = Vec::new();
        for (index, row) in plan.shares.iter().enumerate() {
            let near = index / PRIORITY_BANDS;
            if *row != near_row(zones, near) {
                let elsewhere = row.iter().enumerate().filter(|(to, share)| **share > 0.0 && *to != near);
                shares.extend(
                    elsewhere
                        .map(|(to, share)| (index as u16, to as u16, (share * WHOLE_SHARE).floor() as u16)),
                );
            }
        }
        let excluded = (0..zones).filter(|zone| plan.is_excluded[*zone]).map(|zone| zone as u16).collect();
        let TrafficPlan { revision, shifts, hold_remaining_ms, valid_ms, reason, .. } = plan;
        let zones = zones as u16;
        PackedPlan { revision, zones, shares, excluded, shifts, hold_remaining_ms, valid_ms, reason }
    }
}

impl TryFrom<PackedPlan> for TrafficPlan {
    type Error = PlanDecodeError;

    fn try_from(packed: PackedPlan) -> Result<Self, PlanDecodeError> {
        let zones = usize::from(packed.zones);
        if zones > MAX_ZONES {
            return Err(PlanDecodeError::TooManyZones { zones });
        }
        let mut plan = TrafficPlan::all_near(zones);
        for (row, column, share) in packed.shares {
            plan.move_share(usize::from(row), usize::from(column), f64::from(share) / WHOLE_SHARE)?;
        }
        for zone in packed.excluded {
            let is_excluded = plan.is_excluded.get_mut(usize::from(zone));
            *is_excluded.ok_or(PlanDecodeError::UnknownZone { zone, zones })? = true;
        }
        (plan.revision, plan.shifts, plan.reason) = (packed.revision, packed.shifts, packed.reason);
        (plan.hold_remaining_ms, plan.valid_ms) = (packed.hold_remaining_ms, packed.valid_ms);
        Ok(plan)
    }
}

impl TrafficPlan {
    /// Moves a share of a row from near to another column.
    fn move_share(&mut self, row: usize, column: usize, share: f64) -> Result<(), PlanDecodeError> {
        let (zones, near) = (self.zones(), row / PRIORITY_BANDS);
        let shares = self.shares.get_mut(row).filter(|shares| column < shares.len() && column != near);
        let shares = shares.ok_or(PlanDecodeError::UnknownShare { row, column, zones })?;
        shares[column] = share;
        shares[near] -= share;
        // What rounding left is no share: an excluded zone gets nothing of it.
        if shares[near] < 2.0 * (zones as f64 + 1.0) / WHOLE_SHARE {
            shares[column] += shares[near];
            shares[near] = 0.0;
        }
        if shares[column] < -SHARE_TOLERANCE {
            return Err(PlanDecodeError::RowAboveOne { row });
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
