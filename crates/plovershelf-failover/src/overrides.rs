//! Operators' overrides of the plan: zonal shifts and a hold, each with an expiry time.

use thiserror::Error;

use crate::traffic_plan::{TrafficPlan, ZonalShift};

/// Maximum number of concurrent shifts.
pub const MAX_SHIFTS: usize = 16;

/// Error of a request to start or end a shift.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ShiftError {
    /// No zone has the given name.
    #[error("{zone:?} is no zone; {} are", zones.join(", "))]
    UnknownZone {
        /// The requested name.
        zone: String,
        /// Names of all zones.
        zones: Vec<String>,
    },
    /// The zone is already shifted.
    #[error("{zone} is shifted by {operator} already, for {remaining_s:.0} s more: {reason}")]
    AlreadyShifted {
        /// The zone's name.
        zone: String,
        /// The operator who set the existing shift.
        operator: String,
        /// Remaining duration of the existing shift, in seconds.
        remaining_s: f64,
        /// Reason given for the existing shift.
        reason: String,
    },
    /// The maximum number of concurrent shifts is reached.
    #[error("there are {max} shifts already", max = MAX_SHIFTS)]
    TooManyShifts,
    /// The other zones do not have enough capacity for the zone's traffic.
    #[error(
        "the others can't carry {zone}: {rejected_percent:.1} % of all traffic would be cut, {rejected_now_percent:.1} % is now ({}); force it to do so all the same",
        loads.join(", ")
    )]
    NotEnoughCapacity {
        /// The zone's name.
        zone: String,
        /// Traffic that would be rejected with the shift, in percent of all traffic.
        rejected_percent: f64,
        /// Traffic that is rejected without the shift, in percent of all traffic.
        rejected_now_percent: f64,
        /// Forecast load and capacity of each zone.
        loads: Vec<String>,
    },
    /// The zone is not shifted.
    #[error("{zone:?} is not shifted")]
    NotShifted {
        /// The requested name.
        zone: String,
    },
}

/// Overrides set by operators, with their expiry times in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Overrides {
    shifts: Vec<(ZonalShift, f64)>,
    hold_until_ms: f64,
}

impl Overrides {
    pub(crate) fn new() -> Self {
        Overrides { shifts: Vec::new(), hold_until_ms: f64::NEG_INFINITY }
    }

    /// Replaces the overrides by those of a committed plan.
    pub(crate) fn restore(&mut self, now_ms: f64, plan: &TrafficPlan) {
        self.shifts = plan.shifts.iter().map(|shift| (shift.clone(), now_ms + shift.remaining_ms)).collect();
        let is_hold_active = plan.hold_remaining_ms > 0.0;
        self.hold_until_ms = if is_hold_active { now_ms + plan.hold_remaining_ms } else { f64::NEG_INFINITY };
    }

    /// Checks whether another shift of a zone may be added.
    ///
    /// # Errors
    /// Returns an error if the zone is already shifted or the maximum number of shifts is reached.
    pub(crate) fn check_can_add(&self, now_ms: f64, zone: usize, name: &str) -> Result<(), ShiftError> {
        let mut shifts = self.shifts.iter();
        if let Some((other, until_ms)) =
            shifts.find(|(shift, until_ms)| shift.zone == zone && *until_ms > now_ms)
        {
            return Err(ShiftError::AlreadyShifted {
                zone: name.into(),
                operator: other.operator.clone(),
                remaining_s: (until_ms - now_ms) / 1000.0,
                reason: other.reason.clone(),
            });
        }
        if self.shifts.len() >= MAX_SHIFTS {
            return Err(ShiftError::TooManyShifts);
        }
        Ok(())
    }

    pub(crate) fn add(&mut self, now_ms: f64, shift: ZonalShift) {
        let until_ms = now_ms + shift.remaining_ms;
        self.shifts.push((shift, until_ms));
    }

    /// Removes the shifts of a zone and returns whether there were any.
    pub(crate) fn remove(&mut self, zone: Option<usize>) -> bool {
        let before = self.shifts.len();
        self.shifts.retain(|(shift, _)| Some(shift.zone) != zone);
        self.shifts.len() < before
    }

    /// Starts a hold, replacing an existing one.
    pub(crate) fn hold(&mut self, now_ms: f64, duration_ms: f64) {
        self.hold_until_ms = now_ms + duration_ms;
    }

    /// Removes shifts that have expired.
    pub(crate) fn expire(&mut self, now_ms: f64) {
        self.shifts.retain(|(_, until_ms)| *until_ms > now_ms);
    }

    /// Returns whether a hold is active.
    pub(crate) fn is_hold_active(&self, now_ms: f64) -> bool {
        self.hold_until_ms > now_ms
    }

    pub(crate) fn hold_remaining_ms(&self, now_ms: f64) -> f64 {
        (self.hold_until_ms - now_ms).max(0.0)
    }

    pub(crate) fn is_shifted(&self, now_ms: f64, zone: usize) -> bool {
        self.shifts.iter().any(|(shift, until_ms)| shift.zone == zone && *until_ms > now_ms)
    }

    /// Returns all shifts with their remaining durations.
    pub(crate) fn shifts(&self, now_ms: f64) -> Vec<ZonalShift> {
        let remaining = |(shift, until_ms): &(ZonalShift, f64)| ZonalShift {
            remaining_ms: until_ms - now_ms,
            ..shift.clone()
        };
        self.shifts.iter().map(remaining).collect()
    }

    /// Returns whether the shifts cover the same zones, in the same order, as those of a plan.
    pub(crate) fn has_same_zones_as(&self, plan: &TrafficPlan) -> bool {
        self.shifts.iter().map(|(shift, _)| shift.zone).eq(plan.shifts.iter().map(|shift| shift.zone))
    }
}

#[cfg(test)]
mod tests;
