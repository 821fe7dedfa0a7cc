//! What work takes without overload.
//!
//! *Decides*: the base latency that a concurrency limit compares with.
//! *Inputs*: how long work took, in milliseconds; what was in flight at its end; the present limit.
//! *Rule*: the least of an exponentially decayed mean. It rises only while at most half of the limit is in flight, or by
//! [`LatencyBaseline::reset_to_mean`].
//! *Why*: a minimum over a window of time would rise with the limit that depends on it.
//! *Without it*: a limit can't tell long work from queueing.

/// Samples that the mean looks back on: some tens, so that a tail that is long by nature is not taken for overload.
const MEAN_SAMPLES: f64 = 64.0;
/// Part of the way to the mean that the base rises with each sample, while little is in flight.
const RISE_FRACTION: f64 = 0.02;

/// A decayed mean of durations, and the base latency learnt from it.
#[derive(Clone, Debug)]
pub(crate) struct LatencyBaseline {
    mean_ms: Option<f64>,
    base_ms: f64,
}

impl LatencyBaseline {
    pub(crate) fn new() -> Self {
        LatencyBaseline { mean_ms: None, base_ms: f64::INFINITY }
    }

    /// The mean duration; `None` before the first sample.
    pub(crate) fn mean_ms(&self) -> Option<f64> {
        self.mean_ms
    }

    /// The base latency; infinite before the first sample.
    pub(crate) fn base_ms(&self) -> f64 {
        self.base_ms
    }

    /// Takes in one duration and returns the new mean.
    pub(crate) fn record(&mut self, duration_ms: f64, in_flight: usize, limit: f64) -> f64 {
        let before = self.mean_ms.unwrap_or(duration_ms);
        let mean_ms = before + (duration_ms - before) / MEAN_SAMPLES;
        self.mean_ms = Some(mean_ms);
        if mean_ms < self.base_ms {
            self.base_ms = mean_ms;
        } else if 2.0 * in_flight as f64 <= limit {
            self.base_ms += RISE_FRACTION * (mean_ms - self.base_ms);
        }
        mean_ms
    }

    /// What work takes now is what it takes without overload.
    pub(crate) fn reset_to_mean(&mut self) {
        if let Some(mean_ms) = self.mean_ms {
            self.base_ms = mean_ms;
        }
    }
}

#[cfg(test)]
mod tests;
