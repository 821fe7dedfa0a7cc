//! How much the machine itself held up a run: how late this process's own timers are, and how long each backend's process
//! waited for a core. A verdict on a time allows for both, so that a busy machine is not taken for a slow backend.

use std::cell::RefCell;
use std::rc::Rc;

use async_io::Timer;
use plovershelf_testkit::Clock;

use super::faults::SharedFleet;

/// How often it is looked at.
const TICK_MS: f64 = 10.0;
const NANOS_PER_MS: f64 = 1e6;

/// One look.
struct Look {
    at_ms: f64,
    /// How late this process's timer was.
    late_ms: f64,
    /// How long each backend's process has waited for a core since it was started.
    waited_ms: Vec<f64>,
}

/// All looks of a run.
#[derive(Clone, Default)]
pub struct Disturbance(Rc<RefCell<Vec<Look>>>);

impl Disturbance {
    /// Looks for as long as it is polled.
    pub async fn watch(self, clock: Clock, fleet: SharedFleet) {
        loop {
            let due_ms = clock.now() + TICK_MS;
            Timer::at(clock.at(due_ms)).await;
            let ids: Vec<Option<u32>> =
                fleet.borrow().backends.iter().map(|backend| backend.process_id()).collect();
            let waited_ms = ids.into_iter().map(|id| id.and_then(run_delay_ms).unwrap_or(0.0)).collect();
            let at_ms = clock.now();
            self.0.borrow_mut().push(Look { at_ms, late_ms: at_ms - due_ms, waited_ms });
        }
    }

    /// How much a backend and this process were held up between two times, at the most.
    pub fn between(&self, backend: usize, from_ms: f64, to_ms: f64) -> f64 {
        let looks = self.0.borrow();
        let first = looks.partition_point(|look| look.at_ms < from_ms - TICK_MS);
        let last = looks.partition_point(|look| look.at_ms <= to_ms + TICK_MS);
        let within = &looks[first.min(last)..last];
        let late_ms: f64 = within.iter().map(|look| look.late_ms).sum();
        let waited = |pair: &[Look]| (pair[1].waited_ms[backend] - pair[0].waited_ms[backend]).max(0.0);
        late_ms + within.windows(2).map(waited).sum::<f64>()
    }

    /// The longest that this process was late.
    pub fn worst_late_ms(&self) -> f64 {
        self.0.borrow().iter().map(|look| look.late_ms).fold(0.0, f64::max)
    }
}

fn run_delay_ms(process: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).ok()?;
    let waited: f64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(waited / NANOS_PER_MS)
}
