//! Latency statistics in constant memory: minimum over a window, percentile and moving average.

/// Minimum latency over a sliding window. It keeps the minima of the current and the previous window, so that
/// a value expires after one to two window lengths.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowedMinimum {
    window_ms: f64,
    window_start_ms: f64,
    current_min_ms: Option<f64>,
    previous_min_ms: Option<f64>,
}

impl WindowedMinimum {
    pub(super) fn new(window_ms: f64) -> Self {
        WindowedMinimum {
            window_ms,
            window_start_ms: f64::NEG_INFINITY,
            current_min_ms: None,
            previous_min_ms: None,
        }
    }

    pub(super) fn record(&mut self, now_ms: f64, latency_ms: f64) {
        self.rotate_windows(now_ms);
        self.current_min_ms = Some(self.current_min_ms.map_or(latency_ms, |min_ms| min_ms.min(latency_ms)));
    }

    /// Returns the minimum in milliseconds, or `None` if both windows are empty.
    pub(super) fn value(&mut self, now_ms: f64) -> Option<f64> {
        self.rotate_windows(now_ms);
        match (self.current_min_ms, self.previous_min_ms) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Starts a new window if the current one has ended.
    fn rotate_windows(&mut self, now_ms: f64) {
        let elapsed_ms = now_ms - self.window_start_ms;
        if elapsed_ms >= 2.0 * self.window_ms {
            self.window_start_ms = now_ms;
            (self.current_min_ms, self.previous_min_ms) = (None, None);
        } else if elapsed_ms >= self.window_ms {
            self.window_start_ms += self.window_ms;
            (self.previous_min_ms, self.current_min_ms) = (self.current_min_ms, None);
        }
    }
}

/// Estimate of a percentile by stochastic approximation: a latency above the estimate raises it by a step
/// times the percentile's fraction, any other lowers it by a step times the remaining fraction.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PercentileEstimate {
    value_ms: Option<f64>,
}

/// Step of the estimate, as a fraction of its current value.
const PERCENTILE_STEP_FRACTION: f64 = 0.05;

impl PercentileEstimate {
    pub(super) fn record(&mut self, latency_ms: f64, percentile: f64) {
        let fraction = percentile / 100.0;
        let Some(value_ms) = self.value_ms else {
            self.value_ms = Some(latency_ms);
            return;
        };
        let step_ms = PERCENTILE_STEP_FRACTION * value_ms.max(0.1);
        let updated_ms = if latency_ms > value_ms {
            value_ms + step_ms * fraction
        } else {
            value_ms - step_ms * (1.0 - fraction)
        };
        self.value_ms = Some(updated_ms.max(0.05));
    }

    pub(super) fn value(&self) -> Option<f64> {
        self.value_ms
    }
}

/// An exponentially weighted moving average.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MovingAverage {
    value_ms: Option<f64>,
}

impl MovingAverage {
    /// Reciprocal of the weight of a new sample.
    const INVERSE_WEIGHT: f64 = 16.0;

    pub(super) fn record(&mut self, latency_ms: f64) {
        let previous_ms = self.value_ms.unwrap_or(latency_ms);
        self.value_ms = Some(previous_ms + (latency_ms - previous_ms) / Self::INVERSE_WEIGHT);
    }

    pub(super) fn value(&self) -> Option<f64> {
        self.value_ms
    }
}

#[cfg(test)]
mod tests;
