//! What calls of late have taken: the quickest, the mean, and a high percentile, of one offering or of the way.

/// The quickest of late, over two windows that take turns, so that what was quick once is forgotten.
#[derive(Clone, Copy, Debug)]
pub struct Quickest {
    span_ms: f64,
    began: f64,
    now_ms: Option<f64>,
    before_ms: Option<f64>,
}

impl Quickest {
    pub fn new(span_ms: f64) -> Self {
        Quickest { span_ms, began: f64::NEG_INFINITY, now_ms: None, before_ms: None }
    }

    fn turn(&mut self, now: f64) {
        if now - self.began >= 2.0 * self.span_ms {
            (self.began, self.now_ms, self.before_ms) = (now, None, None);
        } else if now - self.began >= self.span_ms {
            (self.began, self.before_ms, self.now_ms) = (self.began + self.span_ms, self.now_ms, None);
        }
    }

    pub fn learn(&mut self, now: f64, took_ms: f64) {
        self.turn(now);
        self.now_ms = Some(self.now_ms.map_or(took_ms, |least| least.min(took_ms)));
    }

    /// `None` where nothing of late is known.
    pub fn of_late(&mut self, now: f64) -> Option<f64> {
        self.turn(now);
        match (self.now_ms, self.before_ms) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}

/// A percentile that follows what comes: up by much and down by little, in the ratio that leaves as many above it as
/// told. One number, however many calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Percentile {
    value_ms: Option<f64>,
}

impl Percentile {
    pub fn learn(&mut self, took_ms: f64, percentile: f64) {
        let part = percentile / 100.0;
        let Some(value) = self.value_ms else {
            self.value_ms = Some(took_ms);
            return;
        };
        let step = 0.05 * value.max(0.1);
        let moved = if took_ms > value { value + step * part } else { value - step * (1.0 - part) };
        self.value_ms = Some(moved.max(0.05));
    }

    pub fn value(&self) -> Option<f64> {
        self.value_ms
    }
}

/// A mean that looks back on about so many.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    value_ms: Option<f64>,
}

impl Mean {
    const BACK: f64 = 16.0;

    pub fn learn(&mut self, took_ms: f64) {
        let before = self.value_ms.unwrap_or(took_ms);
        self.value_ms = Some(before + (took_ms - before) / Self::BACK);
    }

    pub fn value(&self) -> Option<f64> {
        self.value_ms
    }
}

#[cfg(test)]
mod tests;
