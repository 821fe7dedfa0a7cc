//! Cuts the schedule of a seed, or of a file, down to the fewest steps that still fail, and prints it:
//! `-- SEED MEMBERS [VOTERS [FILE]]`.

use plovershelf_simulation::cluster::{Plan, Report, World};
use plovershelf_simulation::schedule::Schedule;

fn fails(report: &Report) -> bool {
    !report.audit.broken.is_empty()
        || report.committed_after_ms.is_none()
        || report.lagging + report.outside_view > 0
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let number = |place: usize| words.get(place).and_then(|word| word.parse::<u64>().ok());
    let (Some(seed), Some(members)) = (number(0), number(1)) else {
        eprintln!("shrink: SEED MEMBERS [VOTERS [FILE]]");
        std::process::exit(2);
    };
    let voters = number(2).unwrap_or(3) as usize;
    let read = |file: &String| std::fs::read_to_string(file).map_err(|e| e.to_string())?.parse::<Schedule>();
    let schedule = match words.get(3).map(read) {
        Some(Ok(schedule)) => schedule,
        Some(Err(wrong)) => {
            eprintln!("shrink: {wrong}");
            std::process::exit(2);
        }
        None => Schedule::draw(seed, members as usize, 3, 14, 30_000.0),
    };
    let run = |schedule: &Schedule| {
        let mut plan = Plan::of(schedule.clone(), seed);
        (plan.initial_voters, plan.config.voters) = (voters, voters);
        if voters > 3 {
            plan.config.replace_voter_after_ms = 1500.0;
        }
        World::run(plan)
    };
    if !fails(&run(&schedule)) {
        println!("seed {seed} keeps all promises and agrees again");
        return;
    }
    // Without any fault there is nothing that it could agree after.
    let small = schedule.shrink(|fewer| !fewer.steps.is_empty() && fails(&run(fewer)));
    let report = run(&small);
    println!("{small}");
    report
        .audit
        .broken
        .iter()
        .for_each(|broken| println!("{} at {:.0}: {}", broken.promise, broken.at, broken.told));
    report.final_states.iter().for_each(|line| println!("{line}"));
}
