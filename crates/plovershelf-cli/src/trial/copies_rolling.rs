//! Trial `copies-rolling`: a rolling restart under load of nine backends that replicate the outcomes of requests with
//! idempotency keys. Each backend hands its records on before it leaves; no outcome is lost or changed, and no request is
//! executed twice. The same schedule runs without replication for comparison.

use plovershelf_simulation::schedule::{Fault, Schedule, Step};

use super::{copies, Bound, Figures, TrialContext};

const MEMBERS: usize = 9;
const ZONES: usize = 3;
const DEMAND: f64 = 0.7;
/// Interval between two drain notices.
const NOTICE_INTERVAL_MS: f64 = 5000.0;
/// Time from a drain notice to the restart. The notice grants two and a half seconds.
const RESTART_AFTER_MS: f64 = 2800.0;

pub fn run(context: &TrialContext) -> Result<Figures, String> {
    let step = |turn: usize| Step {
        at_ms: 2000.0 + NOTICE_INTERVAL_MS * turn as f64,
        for_ms: RESTART_AFTER_MS,
        fault: Fault::Leave { member: (turn + context.seed as usize) % MEMBERS },
    };
    let schedule = Schedule { members: MEMBERS, zones: ZONES, steps: (0..MEMBERS).map(step).collect() };
    let with = copies::play(context, &schedule, true, DEMAND)?;
    let without = copies::play(context, &schedule, false, DEMAND)?;
    let mut figures = Figures::default();
    figures.put("restarted", schedule.steps.len() as f64, Bound::AtLeast(MEMBERS as f64));
    copies::add_figures(&mut figures, &with, &without, Bound::AtLeast(0.9));
    Ok(figures)
}
