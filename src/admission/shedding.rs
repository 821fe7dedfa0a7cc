//! Load shedding: what part of arrivals is admitted, and whom the rest falls on.
//!
//! *Decides*: the admitted fraction of arrivals, and whether one arrival is shed for it.
//! *Inputs*: the concurrency limits and the load against them (executions a core, requests awaiting a call),
//! core utilization (fraction), the shedding level of each arrival.
//! *Rule*: the admitted fraction falls in [`STEPS`] equal steps from 1 at the soft limit to 0 at the hard
//! one; the lower of the fractions for executions and for requests awaiting calls counts. While the cores are
//! less than [`MIN_BUSY_UTILIZATION`] utilized, executions below the hard limit shed nothing. Decaying
//! tallies of arrivals turn the fraction into a cut through the levels: lower ones are shed whole, higher
//! ones kept, and the level in which the cut falls is thinned by a cycling counter.
//! *Why*: load falls gradually rather than all callers being rejected at once, and value is lost last where
//! it is highest. The tallies include what was rejected, or the cut would move as soon as it acts. Requests
//! awaiting a call are left out of the load, so without a fraction of their own they pile up when the
//! dependency slows.
//! *Source*: CRE life lessons, "Using load shedding to survive a success disaster": `addRequest`, its counter
//! and its order; `docs/design.md`, "Departures", for requests awaiting calls and for retries.
//! *Without it*: an overload takes requests of all values alike, and a full server rejects all at once.

use crate::admission::concurrency::Limits;
use crate::admission::statistics::{DecayedTallies, Smoothed, PERIOD_WEIGHT};

/// Equal steps between the soft and the hard limit; also the cycle of the counter.
const STEPS: u32 = 20;
/// Core utilization below which executions under the hard limit shed nothing.
const MIN_BUSY_UTILIZATION: f64 = 0.85;
/// Soft limit of requests awaiting a call, as part of their hard limit, with busy and with idle cores: on
/// idle cores a few of them are chance, not a slow dependency.
const AWAITING_CALL_SOFT_FRACTION: f64 = 0.33;
const AWAITING_CALL_SOFT_FRACTION_IDLE: f64 = 0.66;

/// What stands against the limits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    /// Executions a core.
    pub(super) running_per_core: f64,
    /// Requests that want an outbound call or have one in flight.
    pub(super) awaiting_call: f64,
    /// Part of the cores that is busy.
    pub(super) utilization: f64,
}

impl Load {
    /// Below all limits, so that one more may be executed.
    pub(super) fn is_within(&self, limits: &Limits) -> bool {
        self.running_per_core < limits.hard && self.awaiting_call < limits.awaiting_call
    }

    /// The fraction of arrivals to admit.
    pub(super) fn admitted_fraction(&self, limits: &Limits) -> f64 {
        let is_idle = self.utilization < MIN_BUSY_UTILIZATION;
        let mut fraction = stepped_fraction(limits.soft, limits.hard, self.running_per_core);
        if fraction > 0.0 && is_idle {
            fraction = 1.0;
        }
        let soft = if is_idle { AWAITING_CALL_SOFT_FRACTION_IDLE } else { AWAITING_CALL_SOFT_FRACTION };
        let soft_limit = soft * limits.awaiting_call;
        fraction.min(stepped_fraction(soft_limit, limits.awaiting_call, self.awaiting_call))
    }
}

/// From 1 at the soft limit to 0 at the hard one.
fn stepped_fraction(soft: f64, hard: f64, load: f64) -> f64 {
    let steps = f64::from(STEPS);
    ((hard - load) / ((hard - soft) / steps)).floor().clamp(0.0, steps) / steps
}

/// Whether a request is shed before all ordinary ones, whatever its rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SheddingTier {
    Ordinary,
    /// Of a tenant over its quota, or a marked retry, whose client may have stopped waiting.
    Demoted,
}

/// A place in the order in which arrivals are shed, the lowest first: demoted requests by rank, then all
/// others by rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SheddingLevel(usize);

/// Recent arrivals by shedding level, and the counter that thins each level.
pub(super) struct Shedding {
    ranks: usize,
    arrivals: DecayedTallies,
    counters: Vec<u32>,
    recent_fraction: Smoothed,
}

impl Shedding {
    pub(super) fn new(ranks: usize) -> Self {
        Shedding {
            ranks,
            arrivals: DecayedTallies::new(2 * ranks),
            counters: vec![0; 2 * ranks],
            recent_fraction: Smoothed::new(1.0),
        }
    }

    pub(super) fn level(&self, rank: usize, tier: SheddingTier) -> SheddingLevel {
        match tier {
            SheddingTier::Demoted => SheddingLevel(rank),
            SheddingTier::Ordinary => SheddingLevel(self.ranks + rank),
        }
    }

    pub(super) fn decay(&mut self, decay_factor: f64) {
        self.arrivals.decay(decay_factor);
    }

    pub(super) fn record_arrival(&mut self, level: SheddingLevel) {
        self.arrivals.increment(level.0);
    }

    /// The part of a level that stays when this fraction of all arrivals is admitted, the highest levels
    /// first.
    pub(super) fn kept_fraction(&self, level: SheddingLevel, admitted_fraction: f64) -> f64 {
        let SheddingLevel(place) = level;
        let arrivals = self.arrivals.as_slice();
        let all = self.arrivals.total();
        let above: f64 = arrivals[place + 1..].iter().sum();
        ((admitted_fraction * all - above) / arrivals[place].max(f64::EPSILON)).clamp(0.0, 1.0)
    }

    /// The same for the fraction admitted of late.
    pub(super) fn recently_kept_fraction(&self, level: SheddingLevel) -> f64 {
        self.kept_fraction(level, self.recent_fraction.value())
    }

    /// Whether an arrival of this level is shed; counts it where not all are admitted.
    pub(super) fn sheds(&mut self, level: SheddingLevel, admitted_fraction: f64) -> bool {
        admitted_fraction < 1.0 && self.thins(level, self.kept_fraction(level, admitted_fraction))
    }

    fn thins(&mut self, level: SheddingLevel, kept: f64) -> bool {
        let counter = &mut self.counters[level.0];
        *counter = (*counter + 1) % STEPS;
        f64::from(*counter) >= kept * f64::from(STEPS)
    }

    /// The admitted fraction at the end of a period.
    pub(super) fn update_recent_fraction(&mut self, admitted_fraction: f64) {
        self.recent_fraction.update(admitted_fraction, PERIOD_WEIGHT);
    }

    /// Smoothed fraction of arrivals that was admitted.
    pub(super) fn recent_fraction(&self) -> f64 {
        self.recent_fraction.value()
    }
}

#[cfg(test)]
mod tests;
