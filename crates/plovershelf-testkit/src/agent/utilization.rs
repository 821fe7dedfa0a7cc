//! Utilization of the cores over a sliding window, reported in the agent's samples.

use std::collections::VecDeque;

/// Length of the sliding window.
const WINDOW_MS: f64 = 500.0;

/// Samples of the accumulated busy time, each with the time at which it was taken.
#[derive(Debug, Default)]
pub(super) struct Utilization {
    samples: VecDeque<(f64, f64)>,
}

impl Utilization {
    /// Adds a sample of the accumulated busy time and returns the busy fraction of the window, from 0 to 1.
    pub(super) fn sample(&mut self, now_ms: f64, busy_ms: f64) -> f64 {
        self.samples.push_back((now_ms, busy_ms));
        while self.samples.len() > 2 && self.samples[1].0 <= now_ms - WINDOW_MS {
            self.samples.pop_front();
        }
        let (window_start_ms, busy_at_start_ms) = self.samples[0];
        ((busy_ms - busy_at_start_ms) / (now_ms - window_start_ms).max(1.0)).clamp(0.0, 1.0)
    }

    /// Discards all samples when the backend's process is replaced.
    pub(super) fn clear(&mut self) {
        self.samples.clear();
    }
}
