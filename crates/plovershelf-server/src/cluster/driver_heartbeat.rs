//! Progress, readiness and traffic counts of the event loop, shared with the cluster's thread.
//!
//! The event loop writes and the cluster's thread reads; neither blocks the other.

use std::sync::atomic::{AtomicU64, Ordering};

use plovershelf_failover::PRIORITY_BANDS;

use super::{now_ms, TrafficCounts};

/// Age of the last heartbeat above which the event loop counts as stuck. The loop turns at least once per second.
const STUCK_MS: f64 = 2000.0;
/// Index of the first band's value, after cores, answers and answers in time.
const FIRST_BAND: usize = 3;

/// Heartbeat of the event loop, shared with the cluster's thread.
#[derive(Default)]
pub struct DriverHeartbeat {
    at_ms: AtomicU64,
    ready: AtomicU64,
    /// Bits of `f64` values: cores, answers, answers in time, and demand per band.
    values: [AtomicU64; FIRST_BAND + PRIORITY_BANDS],
}

impl DriverHeartbeat {
    /// Records that the event loop makes progress, and whether it is ready.
    pub fn record(&self, ready: bool) {
        self.at_ms.store(now_ms() as u64, Ordering::Relaxed);
        self.ready.store(u64::from(ready), Ordering::Relaxed);
    }

    /// Records the counts since the start of the event loop.
    pub fn record_counts(&self, cores: f64, counts: &TrafficCounts) {
        let values = [cores, counts.answered, counts.in_time].into_iter().chain(counts.demand_ms);
        for (slot, value) in self.values.iter().zip(values) {
            slot.store(value.to_bits(), Ordering::Relaxed);
        }
    }

    fn value(&self, index: usize) -> f64 {
        f64::from_bits(self.values[index].load(Ordering::Relaxed))
    }

    pub(super) fn cores(&self) -> f64 {
        self.value(0)
    }

    pub(super) fn traffic_counts(&self) -> TrafficCounts {
        TrafficCounts {
            demand_ms: std::array::from_fn(|band| self.value(FIRST_BAND + band)),
            answered: self.value(1),
            in_time: self.value(2),
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) != 0
            && now_ms() - self.at_ms.load(Ordering::Relaxed) as f64 <= STUCK_MS
    }
}
