//! Operators' overrides of the plan: zonal shifts, each with an expiry, and a hold.

use thiserror::Error;

use crate::traffic_plan::{TrafficPlan, ZonalShift};

/// Shifts at most at a time.
pub const MAX_SHIFTS: usize = 16;

/// Why a shift was not set, or not ended.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ShiftError {
    /// There is no such zone.
    #[error("{zone:?} is no zone; {} are", zones.join(", "))]
    UnknownZone {
        /// The name.
        zone: String,
        /// Names of the zones that there are.
        zones: Vec<String>,
    },
    /// Another shift of the zone is in force.
    #[error("{zone} is shifted by {operator} already, for {remaining_s:.0} s more: {reason}")]
    AlreadyShifted {
        /// The zone's name.
        zone: String,
        /// Who set the other shift.
        operator: String,
        /// How long it still lasts, in seconds.
        remaining_s: f64,
        /// Why it was set.
        reason: String,
    },
    /// As many shifts as there may be.
    #[error("there are {max} shifts already", max = MAX_SHIFTS)]
    TooManyShifts,
    /// The other zones can't carry the zone's traffic.
    #[error(
        "the others can't carry {zone}: {rejected_percent:.1} % of all traffic would be cut, {rejected_now_percent:.1} % is now ({}); force it to do so all the same",
        loads.join(", ")
    )]
    NotEnoughCapacity {
        /// The zone's name.
        zone: String,
        /// Traffic that would be rejected, in percent of all.
        rejected_percent: f64,
        /// Traffic that is rejected now, in percent of all.
        rejected_now_percent: f64,
        /// What each zone would carry, of what it may.
        loads: Vec<String>,
    },
    /// No shift of the zone is in force.
    #[error("{zone:?} is not shifted")]
    NotShifted {
        /// The name.
        zone: String,
    },
}

/// What operators have set, and until when.
#[derive(Clone, Debug)]
pub(crate) struct Overrides {
    shifts: Vec<(ZonalShift, f64)>,
    hold_until_ms: f64,
}

impl Overrides {
    pub(crate) fn new() -> Self {
        Overrides { shifts: Vec::new(), hold_until_ms: f64::NEG_INFINITY }
    }

    /// Takes over those of a plan that was committed.
    pub(crate) fn restore(&mut self, now_ms: f64, plan: &TrafficPlan) {
        self.shifts = plan.shifts.iter().map(|shift| (shift.clone(), now_ms + shift.remaining_ms)).collect();
        let is_held = plan.hold_remaining_ms > 0.0;
        self.hold_until_ms = if is_held { now_ms + plan.hold_remaining_ms } else { f64::NEG_INFINITY };
    }

    /// Whether one more shift of a zone may be set.
    ///
    /// # Errors
    /// The zone is shifted already, or there are too many shifts.
    pub(crate) fn check_free(&self, now_ms: f64, zone: usize, name: &str) -> Result<(), ShiftError> {
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

    /// Removes the shifts of a zone; returns whether there was one.
    pub(crate) fn remove(&mut self, zone: Option<usize>) -> bool {
        let before = self.shifts.len();
        self.shifts.retain(|(shift, _)| Some(shift.zone) != zone);
        self.shifts.len() < before
    }

    pub(crate) fn hold(&mut self, now_ms: f64, duration_ms: f64) {
        self.hold_until_ms = now_ms + duration_ms;
    }

    /// Removes shifts that have expired.
    pub(crate) fn expire(&mut self, now_ms: f64) {
        self.shifts.retain(|(_, until_ms)| *until_ms > now_ms);
    }

    pub(crate) fn is_held(&self, now_ms: f64) -> bool {
        self.hold_until_ms > now_ms
    }

    pub(crate) fn hold_remaining_ms(&self, now_ms: f64) -> f64 {
        (self.hold_until_ms - now_ms).max(0.0)
    }

    pub(crate) fn is_shifted(&self, now_ms: f64, zone: usize) -> bool {
        self.shifts.iter().any(|(shift, until_ms)| shift.zone == zone && *until_ms > now_ms)
    }

    /// All shifts, with what remains of each.
    pub(crate) fn shifts(&self, now_ms: f64) -> Vec<ZonalShift> {
        let remaining = |(shift, until_ms): &(ZonalShift, f64)| ZonalShift {
            remaining_ms: until_ms - now_ms,
            ..shift.clone()
        };
        self.shifts.iter().map(remaining).collect()
    }

    /// Whether the shifts are of the same zones as a plan's.
    pub(crate) fn has_zones_of(&self, plan: &TrafficPlan) -> bool {
        self.shifts.iter().map(|(shift, _)| shift.zone).eq(plan.shifts.iter().map(|shift| shift.zone))
    }
}

#[cfg(test)]
mod tests;
