//! Cuts the schedule of a seed down to the fewest steps that still fail, and prints it: `-- SEED MEMBERS`.

use plovershelf_model::group::{Came, Plan, World};
use plovershelf_model::schedule::Schedule;

fn fails(came: &Came) -> bool {
    !came.audit.broken.is_empty() || came.agreed_after_ms.is_none() || came.lagging + came.left_out > 0
}

fn main() {
    let numbers: Vec<u64> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let [seed, members] = numbers[..] else {
        eprintln!("shrink: a seed and a number of members");
        std::process::exit(2);
    };
    let schedule = Schedule::draw(seed, members as usize, 3, 14, 30_000.0);
    let run = |schedule: &Schedule| World::run(Plan::of(schedule.clone(), seed));
    if !fails(&run(&schedule)) {
        println!("seed {seed} keeps all promises and agrees again");
        return;
    }
    // Without any fault there is nothing that it could agree after.
    let small = schedule.shrink(|fewer| !fewer.steps.is_empty() && fails(&run(fewer)));
    let came = run(&small);
    println!("{small}");
    came.audit
        .broken
        .iter()
        .for_each(|broken| println!("{} at {:.0}: {}", broken.promise, broken.at, broken.told));
    came.end.iter().for_each(|line| println!("{line}"));
}
