//! Statistics that forget: one type for each kind, used by the rules beside it.
//!
//! Two kinds of forgetting: by time, with [`HALF_LIFE_MS`], for rates of arrivals; by observation, as a
//! part kept at each new one, for durations and outcomes.

/// Half-life of counts that decay with time.
pub(super) const HALF_LIFE_MS: f64 = 2000.0;
/// Part of the old sum that each new observation of a duration keeps.
pub(super) const RETAINED_FRACTION: f64 = 0.95;
/// Weight of one period's reading in a smoothed gauge.
pub(super) const PERIOD_WEIGHT: f64 = 0.15;

/// What is left of a decaying count after so long.
pub(super) fn decay_factor(elapsed_ms: f64) -> f64 {
    0.5f64.powf(elapsed_ms / HALF_LIFE_MS)
}

/// Hands out the factor by which counts decay since it was last asked, so that several rules' tallies decay
/// by the same one without each working it out.
pub(super) struct DecayClock {
    updated_ms: f64,
}

impl DecayClock {
    pub(super) fn new(now_ms: f64) -> Self {
        DecayClock { updated_ms: now_ms }
    }

    pub(super) fn advance_to(&mut self, now_ms: f64) -> f64 {
        let factor = decay_factor(now_ms - self.updated_ms);
        self.updated_ms = now_ms;
        factor
    }
}

/// A set of counts that all decay at once, a few of them.
#[derive(Debug)]
pub(super) struct DecayedTallies {
    counts: Vec<f64>,
}

impl DecayedTallies {
    pub(super) fn new(len: usize) -> Self {
        DecayedTallies { counts: vec![0.0; len] }
    }

    pub(super) fn decay(&mut self, factor: f64) {
        self.counts.iter_mut().for_each(|count| *count *= factor);
    }

    pub(super) fn increment(&mut self, place: usize) {
        self.counts[place] += 1.0;
    }

    pub(super) fn as_slice(&self) -> &[f64] {
        &self.counts
    }

    pub(super) fn total(&self) -> f64 {
        self.counts.iter().sum()
    }
}

/// One count of many that decay: it is brought up to date only when it is asked for, so that the work at an
/// event does not grow with their number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct DecayedCount {
    sum: f64,
    updated_ms: f64,
}

impl DecayedCount {
    pub(super) fn new(now_ms: f64) -> Self {
        DecayedCount { sum: 0.0, updated_ms: now_ms }
    }

    pub(super) fn value_at(&self, now_ms: f64) -> f64 {
        self.sum * decay_factor(now_ms - self.updated_ms)
    }

    /// Events a second that would keep the count at its present value.
    pub(super) fn rate_per_s(&self, now_ms: f64) -> f64 {
        self.value_at(now_ms) * 1000.0 * std::f64::consts::LN_2 / HALF_LIFE_MS
    }

    pub(super) fn increment(&mut self, now_ms: f64) {
        *self = DecayedCount { sum: self.value_at(now_ms) + 1.0, updated_ms: now_ms };
    }
}

/// An exponentially weighted moving average.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Smoothed {
    value: f64,
}

impl Smoothed {
    pub(super) fn new(value: f64) -> Self {
        Smoothed { value }
    }

    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Moves towards a sample by `weight` of the distance.
    pub(super) fn update(&mut self, sample: f64, weight: f64) {
        self.value += weight * (sample - self.value);
    }

    pub(super) fn scale(&mut self, factor: f64) {
        self.value *= factor;
    }
}

/// Core time of executions of one request class, as sums of which each new execution keeps
/// [`RETAINED_FRACTION`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ServiceTime {
    executions: f64,
    core_ms: f64,
    hinted_ms: f64,
}

impl ServiceTime {
    pub(super) fn record(&mut self, core_ms: f64, hint_ms: Option<f64>) {
        self.executions = self.executions * RETAINED_FRACTION + 1.0;
        self.core_ms = self.core_ms * RETAINED_FRACTION + core_ms;
        self.hinted_ms = self.hinted_ms * RETAINED_FRACTION + hint_ms.unwrap_or(0.0);
    }

    /// Executions that the sums stand for.
    pub(super) fn executions(&self) -> f64 {
        self.executions
    }

    pub(super) fn total_core_ms(&self) -> f64 {
        self.core_ms
    }

    /// Core time that an execution takes: in proportion to its hint where executions came with hints.
    /// Nothing before one execution is known.
    pub(super) fn expected_core_ms(&self, hint_ms: Option<f64>) -> Option<f64> {
        if self.executions < 1.0 {
            return None;
        }
        Some(match hint_ms {
            Some(hint_ms) if self.hinted_ms > 0.0 => hint_ms * self.core_ms / self.hinted_ms,
            _ => self.core_ms / self.executions,
        })
    }
}

#[cfg(test)]
mod tests;
