//! Statistics of how long calls take: the fastest, a mean and a high percentile, each in constant memory.

/// The fastest time in a window. Two windows take turns, so that an old time is forgotten after one to two of them.
#[derive(Clone, Copy, Debug)]
pub(super) struct FastestTime {
    window_ms: f64,
    window_began_ms: f64,
    in_window_ms: Option<f64>,
    in_last_window_ms: Option<f64>,
}

impl FastestTime {
    pub(super) fn new(window_ms: f64) -> Self {
        FastestTime {
            window_ms,
            window_began_ms: f64::NEG_INFINITY,
            in_window_ms: None,
            in_last_window_ms: None,
        }
    }

    pub(super) fn record(&mut self, now_ms: f64, took_ms: f64) {
        self.turn_window(now_ms);
        self.in_window_ms = Some(self.in_window_ms.map_or(took_ms, |fastest| fastest.min(took_ms)));
    }

    /// `None` where there is no time of the last windows.
    pub(super) fn value(&mut self, now_ms: f64) -> Option<f64> {
        self.turn_window(now_ms);
        match (self.in_window_ms, self.in_last_window_ms) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    fn turn_window(&mut self, now_ms: f64) {
        let elapsed_ms = now_ms - self.window_began_ms;
        if elapsed_ms >= 2.0 * self.window_ms {
            self.window_began_ms = now_ms;
            (self.in_window_ms, self.in_last_window_ms) = (None, None);
        } else if elapsed_ms >= self.window_ms {
            self.window_began_ms += self.window_ms;
            (self.in_last_window_ms, self.in_window_ms) = (self.in_window_ms, None);
        }
    }
}

/// A percentile that follows its input in steps: up by much and down by little, in the ratio that leaves the wanted part below.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PercentileEstimate {
    value_ms: Option<f64>,
}

/// One step, as a fraction of the present value.
const PERCENTILE_STEP_FRACTION: f64 = 0.05;

impl PercentileEstimate {
    pub(super) fn record(&mut self, took_ms: f64, percentile: f64) {
        let fraction = percentile / 100.0;
        let Some(value_ms) = self.value_ms else {
            self.value_ms = Some(took_ms);
            return;
        };
        let step = PERCENTILE_STEP_FRACTION * value_ms.max(0.1);
        let moved =
            if took_ms > value_ms { value_ms + step * fraction } else { value_ms - step * (1.0 - fraction) };
        self.value_ms = Some(moved.max(0.05));
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
    /// A new time counts for one part in this many of the average.
    const LOOK_BACK_COUNT: f64 = 16.0;

    pub(super) fn record(&mut self, took_ms: f64) {
        let before = self.value_ms.unwrap_or(took_ms);
        self.value_ms = Some(before + (took_ms - before) / Self::LOOK_BACK_COUNT);
    }

    pub(super) fn value(&self) -> Option<f64> {
        self.value_ms
    }
}

#[cfg(test)]
mod tests;
