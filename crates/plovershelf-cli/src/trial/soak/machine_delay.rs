//! Delays caused by the machine: the lateness of this process's timers and the time for which each backend's process
//! waited for a core. Checks of time limits allow for both, so that a busy machine is not mistaken for a slow backend.

use std::cell::RefCell;
use std::rc::Rc;

use async_io::Timer;
use plovershelf_testkit::Clock;

use super::faults::SharedFleet;

/// Interval between samples.
const SAMPLE_INTERVAL_MS: f64 = 10.0;
const NANOS_PER_MS: f64 = 1e6;

/// Sample of the delays at one time.
struct DelaySample {
    at_ms: f64,
    /// Lateness of this process's timer.
    late_ms: f64,
    /// Total time for which each backend's process has waited for a core since its start; 0 if it does not run.
    waited_ms: Vec<f64>,
}

/// Samples of the delays during a run.
#[derive(Clone, Default)]
pub struct MachineDelay(Rc<RefCell<Vec<DelaySample>>>);

impl MachineDelay {
    /// Takes samples until the task is cancelled.
    pub async fn monitor(self, clock: Clock, fleet: SharedFleet) {
        loop {
            let due_ms = clock.now() + SAMPLE_INTERVAL_MS;
            Timer::at(clock.at(due_ms)).await;
            let ids: Vec<Option<u32>> =
                fleet.borrow().backends.iter().map(|backend| backend.process_id()).collect();
            let waited_ms = ids.into_iter().map(|id| id.and_then(run_delay_ms).unwrap_or(0.0)).collect();
            let at_ms = clock.now();
            self.0.borrow_mut().push(DelaySample { at_ms, late_ms: at_ms - due_ms, waited_ms });
        }
    }

    /// Returns an upper bound of the delay of a backend and this process together between two times, in milliseconds.
    pub fn total_between(&self, backend: usize, from_ms: f64, to_ms: f64) -> f64 {
        let samples = self.0.borrow();
        let first = samples.partition_point(|sample| sample.at_ms < from_ms - SAMPLE_INTERVAL_MS);
        let last = samples.partition_point(|sample| sample.at_ms <= to_ms + SAMPLE_INTERVAL_MS);
        let within = &samples[first.min(last)..last];
        let late_ms: f64 = within.iter().map(|sample| sample.late_ms).sum();
        let waited =
            |pair: &[DelaySample]| (pair[1].waited_ms[backend] - pair[0].waited_ms[backend]).max(0.0);
        late_ms + within.windows(2).map(waited).sum::<f64>()
    }

    /// Returns the greatest lateness of this process's timer.
    pub fn worst_late_ms(&self) -> f64 {
        self.0.borrow().iter().map(|sample| sample.late_ms).fold(0.0, f64::max)
    }
}

/// Returns the total time for which a process has waited for a core, in milliseconds, from the scheduler's statistics.
fn run_delay_ms(process: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).ok()?;
    let waited: f64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(waited / NANOS_PER_MS)
}
