//! A queue of timers. Timers that expire at the same time are returned in the order of their values.

use std::collections::BTreeSet;

/// Timers ordered by expiry. Times must be finite and not negative, because they are ordered by their bits.
#[derive(Debug)]
pub(super) struct TimerQueue<T> {
    timers: BTreeSet<(u64, T)>,
}

impl<T: Ord + Copy> TimerQueue<T> {
    pub(super) fn new() -> Self {
        TimerQueue { timers: BTreeSet::new() }
    }

    pub(super) fn schedule(&mut self, at_ms: f64, timer: T) {
        self.timers.insert((at_ms.to_bits(), timer));
    }

    pub(super) fn cancel(&mut self, at_ms: f64, timer: T) {
        self.timers.remove(&(at_ms.to_bits(), timer));
    }

    /// Returns when the first timer expires, in milliseconds.
    pub(super) fn next_ms(&self) -> Option<f64> {
        self.timers.first().map(|(at_ms, _)| f64::from_bits(*at_ms))
    }

    /// Removes and returns the first timer that has expired by `now_ms`.
    pub(super) fn pop_expired(&mut self, now_ms: f64) -> Option<T> {
        self.next_ms().filter(|at_ms| *at_ms <= now_ms)?;
        self.timers.pop_first().map(|(_, timer)| timer)
    }

    pub(super) fn clear(&mut self) {
        self.timers.clear();
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.timers.len()
    }
}

#[cfg(test)]
mod tests;
