//! Load shedding: the admitted fraction of arrivals, and the choice of the arrivals to shed.
//!
//! *Decides*: the admitted fraction of arrivals, and whether a given arrival is shed.
//! *Inputs*: the concurrency limits and the load relative to them (executions per core, requests awaiting a
//! call), core utilization (fraction), the shedding level of each arrival.
//! *Rule*: the admitted fraction falls in [`STEPS`] equal steps from 1 at the soft limit to 0 at the hard
//! limit; the lower of the fractions for executions and for requests awaiting calls applies. While the cores are
//! less than [`MIN_BUSY_UTILIZATION`] utilized, executions below the hard limit shed nothing. Decayed
//! tallies of arrivals turn the fraction into a cut through the levels: lower levels are shed, higher levels
//! are admitted, and the level at the cut is admitted in part by a cycling counter.
//! *Why*: load falls gradually instead of all callers being rejected at once, and the most valuable requests are
//! shed last. The tallies include rejected arrivals, or the cut would move as soon as it takes effect. Requests
//! awaiting a call are not part of the execution load, so without a fraction of their own they would accumulate
//! when the dependency slows down.
//! *Source*: CRE life lessons, "Using load shedding to survive a success disaster": `addRequest`, its counter
//! and its order; `docs/design.md`, "Departures", for requests awaiting calls and for retries.
//! *Without it*: an overload affects requests of all values alike, and a full server rejects all at once.

use crate::admission::concurrency::Limits;
use crate::admission::statistics::{DecayedTallies, Smoothed, PERIOD_WEIGHT};

/// Number of equal steps between the soft and the hard limit, and length of the counter's cycle.
const STEPS: u32 = 20;
/// Core utilization below which executions under the hard limit shed nothing.
const MIN_BUSY_UTILIZATION: f64 = 0.85;
/// Soft limit of requests awaiting a call on busy cores, as a fraction of their hard limit.
const AWAITING_CALL_SOFT_FRACTION: f64 = 0.33;
/// Soft limit of requests awaiting a call on idle cores, as a fraction of their hard limit. It is higher, because
/// on idle cores a few such requests are chance rather than a sign of a slow dependency.
const AWAITING_CALL_SOFT_FRACTION_IDLE: f64 = 0.66;

/// Load that is compared with the limits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    /// Executions per core.
    pub(super) running_per_core: f64,
    /// Number of requests that wait for an outbound call or have one in flight.
    pub(super) awaiting_call: f64,
    /// Busy fraction of the cores.
    pub(super) utilization: f64,
}

impl Load {
    /// Returns whether the load is below all limits, so that another request may be executed.
    pub(super) fn is_within(&self, limits: &Limits) -> bool {
        self.running_per_core < limits.hard && self.awaiting_call < limits.awaiting_call
    }

    /// Returns the fraction of arrivals to admit.
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

/// Returns a fraction that falls in steps from 1 at the soft limit to 0 at the hard limit.
fn stepped_fraction(soft: f64, hard: f64, load: f64) -> f64 {
    let steps = f64::from(STEPS);
    ((hard - load) / ((hard - soft) / steps)).floor().clamp(0.0, steps) / steps
}

/// Whether a request is shed before all ordinary ones, regardless of its rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SheddingTier {
    Ordinary,
    /// The tenant is over its quota, or the request is a marked retry, whose client may have stopped waiting.
    Demoted,
}

/// Position in the order in which arrivals are shed, the lowest first: demoted requests by rank, then ordinary
/// requests by rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SheddingLevel(usize);

/// Recent arrivals by shedding level, and a counter per level for its partial admission.
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

    /// Returns the fraction of a level that is admitted when `admitted_fraction` of all arrivals are admitted,
    /// the highest levels first.
    pub(super) fn level_admitted_fraction(&self, level: SheddingLevel, admitted_fraction: f64) -> f64 {
        let SheddingLevel(index) = level;
        let arrivals = self.arrivals.as_slice();
        let all = self.arrivals.total();
        let above: f64 = arrivals[index + 1..].iter().sum();
        ((admitted_fraction * all - above) / arrivals[index].max(f64::EPSILON)).clamp(0.0, 1.0)
    }

    /// Returns the admitted fraction of a level at the recently admitted fraction of all arrivals.
    pub(super) fn recent_level_admitted_fraction(&self, level: SheddingLevel) -> f64 {
        self.level_admitted_fraction(level, self.recent_fraction.value())
    }

    /// Returns whether an arrival of this level is shed, and counts it if not all arrivals are admitted.
    pub(super) fn should_shed(&mut self, level: SheddingLevel, admitted_fraction: f64) -> bool {
        admitted_fraction < 1.0
            && self.sheds_by_counter(level, self.level_admitted_fraction(level, admitted_fraction))
    }

    fn sheds_by_counter(&mut self, level: SheddingLevel, admitted_fraction: f64) -> bool {
        let counter = &mut self.counters[level.0];
        *counter = (*counter + 1) % STEPS;
        f64::from(*counter) >= admitted_fraction * f64::from(STEPS)
    }

    /// Records the admitted fraction at the end of a period.
    pub(super) fn update_recent_fraction(&mut self, admitted_fraction: f64) {
        self.recent_fraction.update(admitted_fraction, PERIOD_WEIGHT);
    }

    /// Returns the smoothed admitted fraction of arrivals.
    pub(super) fn recent_fraction(&self) -> f64 {
        self.recent_fraction.value()
    }
}

#[cfg(test)]
mod tests;
