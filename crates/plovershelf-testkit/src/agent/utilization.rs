//! Utilization of the cores over a sliding window, as the agent's gauge reports it.

use std::collections::VecDeque;

/// How far the gauge looks back.
const WINDOW_MS: f64 = 500.0;

/// Samples of busy time, by when they were taken.
#[derive(Debug, Default)]
pub(super) struct Utilization {
    samples: VecDeque<(f64, f64)>,
}

impl Utilization {
    /// Takes a sample of the busy time so far; returns the busy fraction of the window.
    pub(super) fn sample(&mut self, now_ms: f64, busy_ms: f64) -> f64 {
        self.samples.push_back((now_ms, busy_ms));
        while self.samples.len() > 2 && self.samples[1].0 <= now_ms - WINDOW_MS {
            self.samples.pop_front();
        }
        let (since_ms, busy_before_ms) = self.samples[0];
        ((busy_ms - busy_before_ms) / (now_ms - since_ms).max(1.0)).clamp(0.0, 1.0)
    }

    /// Forgets all samples, as the process that they are of is gone.
    pub(super) fn clear(&mut self) {
        self.samples.clear();
    }
}
