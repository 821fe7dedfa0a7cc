//! Decaying statistics used by the admission rules.
//!
//! Arrival rates decay with time, at [`HALF_LIFE_MS`]; durations and outcomes decay with each new observation,
//! at a fixed retained fraction.

/// Half-life of counts that decay with time.
pub(super) const HALF_LIFE_MS: f64 = 2000.0;
/// Fraction of the previous sum that is retained at each new observation of a duration.
pub(super) const RETAINED_FRACTION: f64 = 0.95;
/// Weight of one period's reading in a smoothed gauge.
pub(super) const PERIOD_WEIGHT: f64 = 0.15;

/// Returns the factor by which a decaying count shrinks over the elapsed time.
pub(super) fn decay_factor(elapsed_ms: f64) -> f64 {
    0.5f64.powf(elapsed_ms / HALF_LIFE_MS)
}

/// Computes the factor by which counts decay since the previous call, so that the tallies of several rules
/// share one computation.
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

/// A small set of counts that decay together.
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

    pub(super) fn increment(&mut self, index: usize) {
        self.counts[index] += 1.0;
    }

    pub(super) fn as_slice(&self) -> &[f64] {
        &self.counts
    }

    pub(super) fn total(&self) -> f64 {
        self.counts.iter().sum()
    }
}

/// One of many decaying counts. Its decay is applied only when it is read or incremented, so that the work
/// per event does not grow with the number of counts.
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

    /// Returns the rate in events per second that would keep the count at its current value.
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

    /// Moves the value towards a sample by `weight` of the distance.
    pub(super) fn update(&mut self, sample: f64, weight: f64) {
        self.value += weight * (sample - self.value);
    }

    pub(super) fn scale(&mut self, factor: f64) {
        self.value *= factor;
    }
}

/// Core time of executions of one request class, as sums that retain [`RETAINED_FRACTION`] at each new
/// execution.
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

    /// Returns the decayed number of executions in the sums.
    pub(super) fn executions(&self) -> f64 {
        self.executions
    }

    pub(super) fn total_core_ms(&self) -> f64 {
        self.core_ms
    }

    /// Returns the expected core time of an execution, in proportion to its hint if past executions had hints.
    /// Returns `None` before the first execution.
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
