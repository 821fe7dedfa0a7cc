//! Shrinks the schedule of a seed or of a file to a minimal one that still fails and prints it:
//! `-- SEED MEMBERS [VOTERS [FILE]]`.

use plovershelf_simulation::cluster::{Plan, Report, World};
use plovershelf_simulation::schedule::Schedule;

fn fails(report: &Report) -> bool {
    !report.audit.broken.is_empty()
        || report.committed_after_ms.is_none()
        || report.lagging + report.outside_view > 0
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize| args.get(index).and_then(|arg| arg.parse::<u64>().ok());
    let (Some(seed), Some(members)) = (number(0), number(1)) else {
        eprintln!("shrink: SEED MEMBERS [VOTERS [FILE]]");
        std::process::exit(2);
    };
    let voters = number(2).unwrap_or(3) as usize;
    let read =
        |file: &String| std::fs::read_to_string(file).map_err(|error| error.to_string())?.parse::<Schedule>();
    let schedule = match args.get(3).map(read) {
        Some(Ok(schedule)) => schedule,
        Some(Err(error)) => {
            eprintln!("shrink: {error}");
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
        println!("seed {seed}: no promise is violated and the cluster commits after the last fault");
        return;
    }
    // An empty schedule has no last fault after which the cluster could commit, and so would always count as a failure.
    let smallest = schedule.shrink(|candidate| !candidate.steps.is_empty() && fails(&run(candidate)));
    let report = run(&smallest);
    println!("{smallest}");
    report
        .audit
        .broken
        .iter()
        .for_each(|violation| println!("{} at {:.0}: {}", violation.promise, violation.at, violation.told));
    report.final_states.iter().for_each(|line| println!("{line}"));
}
