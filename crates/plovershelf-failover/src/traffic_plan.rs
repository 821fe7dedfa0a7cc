//! The committed traffic plan: the shares of each zone's traffic that stay near, go to other zones, or are rejected at the origin.
//!
//! On the wire, rows whose traffic all stays near are omitted and shares are 16-bit fractions. Rounding errors are added to the
//! near share.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::topology::MAX_ZONES;

/// Number of priority bands; band 0 has the lowest priority.
pub const PRIORITY_BANDS: usize = 3;

/// Returns the band of a priority from 0 to 1; values outside are clamped.
pub fn priority_band(priority: f64) -> usize {
    ((priority * PRIORITY_BANDS as f64) as usize).min(PRIORITY_BANDS - 1)
}

/// An operator's zonal shift, which moves a zone's traffic to other zones until the shift expires.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZonalShift {
    /// Index of the shifted zone.
    pub zone: usize,
    /// Remaining duration in milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: f64,
    /// Reason given by the operator.
    #[serde(rename = "why")]
    pub reason: String,
    /// Name of the operator who set the shift.
    #[serde(rename = "by")]
    pub operator: String,
}

/// Traffic shares of all zones. A row stands for an origin zone and a band. Each column stands for a target zone, and the last
/// one for traffic rejected at the origin. Each row sums to 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(into = "PackedPlan", try_from = "PackedPlan")]
pub struct TrafficPlan {
    /// Revision number, incremented with each change of the plan. Renewals, which only update times, keep the revision.
    pub revision: u64,
    /// Rows of shares, ordered by origin and then by band.
    pub shares: Vec<Vec<f64>>,
    /// Per zone, whether it receives no traffic because it has no usable capacity or is shifted by an operator.
    pub is_excluded: Vec<bool>,
    /// Operators' active shifts.
    pub shifts: Vec<ZonalShift>,
    /// Remaining time in milliseconds of an operator's hold, during which the plan does not change.
    pub hold_remaining_ms: f64,
    /// Validity in milliseconds. A follower that receives no newer version within this time falls back to the safe default.
    pub valid_ms: f64,
    /// Human-readable summary.
    pub reason: String,
}

/// Tolerance for rounding errors of a single share.
const SHARE_TOLERANCE: f64 = 1e-9;
/// Tolerance for rounding errors of the sum of a row.
const ROW_SUM_TOLERANCE: f64 = 1e-6;
/// Demand in cores below which a zone counts as having none.
const MIN_DEMAND: f64 = 1e-9;

/// Returns the row of an origin zone whose traffic all stays near.
fn near_row(zones: usize, zone: usize) -> Vec<f64> {
    (0..=zones).map(|to| if to == zone { 1.0 } else { 0.0 }).collect()
}

impl TrafficPlan {
    /// Returns the plan in which all traffic stays near, the safe default without a valid plan.
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

    /// Returns the number of zones.
    pub fn zones(&self) -> usize {
        self.is_excluded.len()
    }

    /// Returns the share of an origin's band that goes to a zone; 0 if an index is out of range.
    pub fn share(&self, origin: usize, band: usize, to: usize) -> f64 {
        self.shares.get(origin * PRIORITY_BANDS + band).and_then(|row| row.get(to)).copied().unwrap_or(0.0)
    }

    /// Returns the share of an origin's band that is rejected at the origin.
    pub fn rejected_share(&self, origin: usize, band: usize) -> f64 {
        self.share(origin, band, self.zones())
    }

    /// Returns the share of an origin's total demand that goes to a zone, given its demand per band. Without demand, returns the
    /// mean over the bands.
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

    /// Returns the largest difference between corresponding shares of two plans.
    pub fn max_difference(&self, other: &TrafficPlan) -> f64 {
        let pairs = self.shares.iter().flatten().zip(other.shares.iter().flatten());
        pairs.map(|(a, b)| (a - b).abs()).fold(0.0, f64::max)
    }

    /// Returns whether the plan is well-formed for the given number of zones: each row sums to 1 and no share is negative.
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

/// Error of decoding a plan from its wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PlanDecodeError {
    /// The number of zones exceeds [`MAX_ZONES`].
    #[error("plan has {zones} zones, the maximum is {max}", max = MAX_ZONES)]
    TooManyZones {
        /// Number of zones in the plan.
        zones: usize,
    },
    /// A share has an invalid row or column.
    #[error("share at row {row}, column {column} is invalid for {zones} zones")]
    UnknownShare {
        /// Row of the share.
        row: usize,
        /// Column of the share.
        column: usize,
        /// Number of zones in the plan.
        zones: usize,
    },
    /// The shares of a row sum to more than 1.
    #[error("shares of row {row} sum to more than 1")]
    RowAboveOne {
        /// Index of the row.
        row: usize,
    },
    /// An excluded zone does not exist.
    #[error("excluded zone {zone} is invalid for {zones} zones")]
    UnknownZone {
        /// Index of the excluded zone.
        zone: u16,
        /// Number of zones in the plan.
        zones: usize,
    },
}

/// Wire format of the plan. The serialized field names are the JSON keys that operators' scripts read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct PackedPlan {
    #[serde(rename = "change")]
    revision: u64,
    zones: u16,
    /// Row, column, and share as a multiple of 1/[`WHOLE_SHARE`].
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

/// Wire value of a share of 1.
const WHOLE_SHARE: f64 = 65_535.0;

impl From<TrafficPlan> for PackedPlan {
    fn from(plan: TrafficPlan) -> Self {
        let zones = plan.zones();
        let mut shares = Vec::new();
        for (index, row) in plan.shares.iter().enumerate() {
            let near = index / PRIORITY_BANDS;
            if *row != near_row(zones, near) {
                let redirected = row.iter().enumerate().filter(|(to, share)| **share > 0.0 && *to != near);
                shares.extend(
                    redirected
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
    /// Moves a share of a row from the near column to another one.
    fn move_share(&mut self, row: usize, column: usize, share: f64) -> Result<(), PlanDecodeError> {
        let (zones, near) = (self.zones(), row / PRIORITY_BANDS);
        let shares = self.shares.get_mut(row).filter(|shares| column < shares.len() && column != near);
        let shares = shares.ok_or(PlanDecodeError::UnknownShare { row, column, zones })?;
        shares[column] = share;
        shares[near] -= share;
        // A near share as small as the rounding error is moved too, so that an excluded zone receives no traffic because of it.
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
