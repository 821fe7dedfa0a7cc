//! One adaptive limit on work in hand, by any of three known ways. Which one is chosen, and why, stands in
//! `docs/bulkhead.md`; `cargo run --example compare` makes its table anew.

/// Between what a limit moves. Whole numbers of work in hand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub least: f64,
    pub most: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Up by one for each limit's worth of ends, down by a tenth when the mean is long against the quickest of late.
    Additive,
    /// Towards the limit times quickest over mean, and a root of it for growth.
    Gradient,
    /// Down, ever more often, while even the least standing time of an interval stays over its target.
    Standing,
}

/// The mean is long from this many times the base on.
const LONG: f64 = 2.0;
const DOWN: f64 = 0.9;
/// Ends that the means look back on: some tens, so that a tail that is long by nature is not taken for a crowd.
const BACK: f64 = 64.0;
/// How fast the base rises, an end, while little is in hand.
const RISE: f64 = 0.02;
/// A limit grows only where so much of it was in use.
const USED: f64 = 0.8;
const INTERVAL_MS: f64 = 100.0;
/// Standing time, against the base, that an interval may have.
const STANDING: f64 = 1.0;
/// Work that is as slow with so much less of it in hand is slow by itself.
const PROBED: f64 = 0.6;
const NO_BETTER: f64 = 0.9;

#[derive(Clone, Debug)]
pub struct Limit {
    way: Way,
    bounds: Bounds,
    value: f64,
    mean_ms: Option<f64>,
    /// What work takes without a crowd: the least mean, which rises where little is in hand, or where shrinking has
    /// shown that the crowd is not ours. A least over windows of time would rise with the limit that hangs on it.
    base: f64,
    /// Where the limit stood, and the mean, when it began to shrink.
    shrinking: Option<(f64, f64)>,
    last_down: f64,
    /// The interval's beginning and its least time; shrinks in a row.
    interval_from: f64,
    interval_least: f64,
    downs: u32,
}

impl Limit {
    pub fn new(way: Way, bounds: Bounds, begin: f64) -> Self {
        Limit {
            way,
            bounds,
            value: begin.clamp(bounds.least, bounds.most),
            mean_ms: None,
            base: f64::INFINITY,
            shrinking: None,
            last_down: f64::NEG_INFINITY,
            interval_from: 0.0,
            interval_least: f64::INFINITY,
            downs: 0,
        }
    }

    pub fn value(&self) -> f64 {
        self.value
    }

    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// New bounds hold at once.
    pub fn rebound(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        self.value = self.value.clamp(bounds.least, bounds.most);
    }

    /// What work takes without a crowd, where that is known.
    pub fn base_ms(&self) -> Option<f64> {
        Some(self.base).filter(|base| base.is_finite())
    }

    /// Work has ended after `took_ms`, with so much in hand at that moment, itself among it. `well` is false where it was
    /// turned away or failed below.
    pub fn ended(&mut self, now: f64, took_ms: f64, in_hand: usize, well: bool) {
        if !(took_ms.is_finite() && took_ms >= 0.0) {
            return;
        }
        if !well {
            self.down(now, 0.7);
            return;
        }
        let before = self.mean_ms.unwrap_or(took_ms);
        let mean = before + (took_ms - before) / BACK;
        self.mean_ms = Some(mean);
        self.learn_base(mean, in_hand);
        let base = self.base_ms().unwrap_or(mean).max(0.01);
        self.slow_by_itself(mean);
        let used = in_hand as f64 >= USED * self.value;
        match self.way {
            Way::Additive => {
                if mean > LONG * base {
                    self.down(now, DOWN);
                } else if used {
                    self.up(1.0 / self.value);
                }
            }
            Way::Gradient => {
                let gradient = (LONG * base / mean).clamp(0.5, 1.0);
                let wanted = self.value * gradient + self.value.sqrt() * 0.5;
                let next = self.value + (wanted - self.value) / (4.0 * self.value.max(1.0));
                if next < self.value {
                    self.note_shrink(mean);
                    self.set(next);
                } else if used {
                    self.up(next - self.value);
                }
            }
            Way::Standing => {
                self.interval_least = self.interval_least.min(took_ms);
                if now - self.interval_from >= INTERVAL_MS {
                    let standing = self.interval_least - base;
                    (self.interval_from, self.interval_least) = (now, f64::INFINITY);
                    if standing > STANDING * base {
                        self.downs += 1;
                        self.note_shrink(mean);
                        self.set(self.value * (1.0 - 0.1 * f64::from(self.downs).sqrt()).max(0.5));
                    } else {
                        self.downs = 0;
                        if used {
                            self.up(1.0);
                        }
                    }
                }
            }
        }
    }

    fn learn_base(&mut self, mean: f64, in_hand: usize) {
        if mean < self.base {
            self.base = mean;
        } else if 2.0 * in_hand as f64 <= self.value {
            self.base += RISE * (mean - self.base);
        }
    }

    fn set(&mut self, value: f64) {
        self.value = value.clamp(self.bounds.least, self.bounds.most);
    }

    fn up(&mut self, by: f64) {
        self.shrinking = None;
        self.set(self.value + by);
    }

    /// Once for what is in hand, not once for each end of it.
    fn down(&mut self, now: f64, times: f64) {
        let mean = self.mean_ms.unwrap_or(0.0);
        if now - self.last_down >= mean {
            self.last_down = now;
            self.note_shrink(mean);
            self.set(self.value * times);
        }
    }

    fn note_shrink(&mut self, mean: f64) {
        self.shrinking = self.shrinking.or(Some((self.value, mean)));
    }

    /// Where much less in hand takes as long as before, the crowd was not ours: what it takes now is the base. Guards
    /// against a dependency, or cores, that are slow by themselves and would starve the pool for good.
    fn slow_by_itself(&mut self, mean: f64) {
        let Some((from, was)) = self.shrinking else { return };
        let probed = self.value <= PROBED * from || self.value <= self.bounds.least;
        if probed && mean >= NO_BETTER * was {
            (self.base, self.shrinking) = (mean, None);
        } else if probed {
            self.shrinking = None;
        }
    }
}

#[cfg(test)]
mod tests;
