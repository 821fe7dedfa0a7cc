//! All nine backends whose tickets have copies leave in turn and are started again, under load: what each holds is handed on,
//! nothing is lost, run twice or told otherwise. The same without copies.

use plovershelf_simulation::schedule::{Fault, Schedule, Step};

use super::{copies, Aim, Figures, Ground};

const MEMBERS: usize = 9;
const ZONES: usize = 3;
const DEMAND: f64 = 0.7;
/// From one notice to the next, and until it is started again. The notice leaves two and a half seconds.
const EVERY_MS: f64 = 5000.0;
const AWAY_MS: f64 = 2800.0;

pub fn run(ground: &Ground) -> Result<Figures, String> {
    let step = |turn: usize| Step {
        at_ms: 2000.0 + EVERY_MS * turn as f64,
        for_ms: AWAY_MS,
        fault: Fault::Leave { member: (turn + ground.seed as usize) % MEMBERS },
    };
    let schedule = Schedule { members: MEMBERS, zones: ZONES, steps: (0..MEMBERS).map(step).collect() };
    let with = copies::play(ground, &schedule, true, DEMAND)?;
    let without = copies::play(ground, &schedule, false, DEMAND)?;
    let mut figures = Figures::default();
    figures.put("restarted", schedule.steps.len() as f64, Aim::AtLeast(MEMBERS as f64));
    copies::told(&mut figures, &with, &without, Aim::AtLeast(0.9));
    Ok(figures)
}
