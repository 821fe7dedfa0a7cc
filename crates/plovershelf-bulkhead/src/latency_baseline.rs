//! Baseline latency: the duration of work without overload.
//!
//! *Decides*: the base latency that a concurrency limit compares with.
//! *Inputs*: the duration of work, in milliseconds; the work in flight at its end; the current limit.
//! *Rule*: the base is the minimum of an exponentially decayed mean. It rises only while at most half of the limit is in
//! flight, or by [`LatencyBaseline::reset_to_mean`].
//! *Why*: a minimum over a time window would rise with the limit that depends on it.
//! *Without it*: a limit cannot distinguish long work from queueing.

/// Time constant of the mean in samples: some tens, so that a naturally long tail is not taken for overload.
const MEAN_SAMPLES: f64 = 64.0;
/// Fraction of the distance to the mean by which the base rises per sample, while little work is in flight.
const RISE_FRACTION: f64 = 0.02;

/// Decayed mean of durations, and the base latency derived from it.
#[derive(Clone, Debug)]
pub(crate) struct LatencyBaseline {
    mean_ms: Option<f64>,
    base_ms: f64,
}

impl LatencyBaseline {
    pub(crate) fn new() -> Self {
        LatencyBaseline { mean_ms: None, base_ms: f64::INFINITY }
    }

    /// Returns the mean duration; `None` before the first sample.
    pub(crate) fn mean_ms(&self) -> Option<f64> {
        self.mean_ms
    }

    /// Returns the base latency; infinite before the first sample.
    pub(crate) fn base_ms(&self) -> f64 {
        self.base_ms
    }

    /// Records a duration and returns the new mean.
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

    /// Sets the base latency to the current mean.
    pub(crate) fn reset_to_mean(&mut self) {
        if let Some(mean_ms) = self.mean_ms {
            self.base_ms = mean_ms;
        }
    }
}

#[cfg(test)]
mod tests;
