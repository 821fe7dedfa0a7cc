//! What the event loop tells of itself without being asked: when it last turned, whether it is ready, and what it counted.
//!
//! The event loop writes, the cluster's thread reads; neither ever waits for the other.

use std::sync::atomic::{AtomicU64, Ordering};

use plovershelf_failover::PRIORITY_BANDS;

use super::{now_ms, TrafficCounts};

/// The event loop turns at least once a second, so one that has not for longer is stuck.
const STUCK_MS: f64 = 2000.0;
/// Figures before those of the bands: cores, answers, answers in time.
const FIRST_BAND: usize = 3;

/// Shared between the event loop and the cluster's thread.
#[derive(Default)]
pub struct DriverHeartbeat {
    at_ms: AtomicU64,
    ready: AtomicU64,
    /// Bits of f64 figures: cores; answers, and those in time; work asked by bands.
    figures: [AtomicU64; FIRST_BAND + PRIORITY_BANDS],
}

impl DriverHeartbeat {
    /// The event loop turns.
    pub fn record(&self, ready: bool) {
        self.at_ms.store(now_ms() as u64, Ordering::Relaxed);
        self.ready.store(u64::from(ready), Ordering::Relaxed);
    }

    /// What the event loop has counted since its start.
    pub fn record_counts(&self, cores: f64, counts: &TrafficCounts) {
        let figures = [cores, counts.answered, counts.in_time].into_iter().chain(counts.demand_ms);
        for (place, figure) in self.figures.iter().zip(figures) {
            place.store(figure.to_bits(), Ordering::Relaxed);
        }
    }

    fn figure(&self, place: usize) -> f64 {
        f64::from_bits(self.figures[place].load(Ordering::Relaxed))
    }

    pub(super) fn cores(&self) -> f64 {
        self.figure(0)
    }

    pub(super) fn traffic_counts(&self) -> TrafficCounts {
        TrafficCounts {
            demand_ms: std::array::from_fn(|band| self.figure(FIRST_BAND + band)),
            answered: self.figure(1),
            in_time: self.figure(2),
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) != 0
            && now_ms() - self.at_ms.load(Ordering::Relaxed) as f64 <= STUCK_MS
    }
}
