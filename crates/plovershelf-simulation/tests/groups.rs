//! Groups on simulated time under schedules that are fixed: the same verdict each time.

use plovershelf_simulation::cluster::{Plan, RecoveryCommand, Report, World};
use plovershelf_simulation::schedule::Schedule;

fn plan(text: &str) -> Plan {
    let schedule: Schedule = text.parse().expect("a schedule");
    Plan::of(schedule, 11)
}

fn recovery(at_ms: f64, member: usize, lost: &[&str]) -> RecoveryCommand {
    RecoveryCommand { at_ms, member, lost: lost.iter().map(|name| name.to_string()).collect() }
}

fn play(text: &str) -> Report {
    World::run(plan(text))
}

/// No promise is broken, all belong, all know it, and something new is agreed on within the span.
fn well(report: &Report, within_ms: f64) {
    assert!(report.audit.broken.is_empty(), "{:?}", report.audit.broken);
    assert_eq!((report.lagging, report.outside_view), (0, 0), "{:#?}", report.final_states);
    assert!(
        report.committed_after_ms.is_some_and(|ms| ms <= within_ms),
        "{:?} {:#?}",
        report.committed_after_ms,
        report.final_states
    );
}

const NINE: &str = "members 9 zones 3\n";

fn nine(steps: &str) -> Report {
    play(&format!("{NINE}{steps}"))
}

#[test]
fn one_that_dies_is_out_within_three_seconds_and_comes_back() {
    for member in ["n1", "n2", "n5", "n9"] {
        let report = nine(&format!("5000 6000 kill {member}\n"));
        well(&report, 3000.0);
        assert!(
            report.removal_ms.count() == 1 && report.removal_ms.most().is_some_and(|ms| ms < 3000.0),
            "{member}: {:?}",
            report.removal_ms.most()
        );
        assert!(report.healthy_removed.is_empty(), "{:?}", report.healthy_removed);
    }
}

#[test]
fn a_cut_that_leaves_both_halves_alive_has_one_council() {
    let report = nine("5000 5000 cut n1,n4,n7 n2,n3,n5,n6,n8,n9\n");
    well(&report, 3000.0);
    assert!(report.views >= 3);
}

#[test]
fn two_that_are_cut_from_each_other_stay_as_a_third_sees_both() {
    let report = nine("5000 6000 cut n4 n5\n");
    well(&report, 3000.0);
    assert!(report.healthy_removed.is_empty() && report.views <= 2, "{} views", report.views);
}

#[test]
fn messages_that_pass_one_way_only() {
    well(&nine("5000 4000 cut-one-way n1 n2,n3,n4,n5,n6,n7,n8,n9\n"), 3000.0);
    well(&nine("5000 4000 cut-one-way n2,n3,n4,n5,n6,n7,n8,n9 n1\n"), 3000.0);
}

#[test]
fn a_leader_that_reaches_all_but_one_voter_and_one_that_reaches_one() {
    well(&nine("5000 4000 cut n1 n3\n"), 3000.0);
    well(&nine("5000 4000 cut n1 n3,n4,n5,n6,n7,n8,n9\n5000 4000 cut n2 n1\n"), 3000.0);
}

#[test]
fn one_that_answers_but_does_no_work_is_out_and_comes_back() {
    let report = nine("5000 5000 unfit n6\n");
    well(&report, 3000.0);
    assert!(report.views >= 4, "out and in again: {} views", report.views);
}

#[test]
fn one_that_stood_still_in_the_middle_of_its_lease_does_not_act_on_it() {
    for member in ["n1", "n2", "n6"] {
        well(&nine(&format!("5000 5000 stop {member}\n")), 3000.0);
    }
}

#[test]
fn one_that_flaps_each_second_for_a_minute() {
    let steps: String = (0..30).map(|n| format!("{} 900 kill n8\n", 5000 + n * 2000)).collect();
    let report = nine(&steps);
    well(&report, 3000.0);
    assert!(report.views < 70, "{} views", report.views);
}

#[test]
fn a_third_of_all_killed_at_once_with_all_voters_among_them() {
    well(&nine("5000 3000 kill-third n1\n"), 5000.0);
    well(&nine("5000 3000 kill-third n4\n"), 3000.0);
}

#[test]
fn a_voter_that_is_back_without_its_folder_is_someone_new_also_while_another_is_down() {
    let report = nine("5000 2000 kill-wiped n2\n");
    well(&report, 3000.0);
    assert!(report.audit.count("blank-is-someone-new") == 0);
    well(&nine("5000 8000 kill n3\n6000 2000 kill-wiped n2\n"), 5000.0);
}

#[test]
fn a_folder_that_was_set_back_is_not_trusted() {
    for member in ["n1", "n2", "n3"] {
        well(&nine(&format!("15000 2000 kill-set-back {member}\n")), 3000.0);
    }
}

#[test]
fn a_third_of_messages_lost_and_as_many_doubled() {
    let report = nine("5000 10000 loss 0.3\n");
    well(&report, 4000.0);
}

#[test]
fn a_folder_that_is_full_and_clocks_that_jump_by_an_hour() {
    well(&nine("5000 4000 full n1\n"), 3000.0);
    well(&nine("5000 4000 full n2\n7000 3000 kill n3\n"), 4000.0);
    well(&nine("5000 9000 clock n2 3600000\n6000 1000 kill-wiped n2\n8000 9000 clock n4 -3600000\n9000 1000 kill-wiped n4\n"), 4000.0);
}

#[test]
fn every_member_restarted_in_turn() {
    let steps: String = (0..9).map(|n| format!("{} 800 kill n{}\n", 5000 + n * 3000, n + 1)).collect();
    well(&nine(&steps), 3000.0);
}

#[test]
fn without_folders_each_restart_is_someone_new_and_the_council_follows() {
    let steps: String = (0..9).map(|n| format!("{} 800 kill n{}\n", 6000 + n * 6000, n + 1)).collect();
    let mut plan = plan(&format!("{NINE}{steps}"));
    plan.storage = false;
    well(&World::run(plan), 3000.0);
}

/// A view that puts one out is on its way while that one comes back and asks for a lease: it gets none. Cut down from a drawn
/// schedule.
#[test]
fn one_that_a_view_on_its_way_puts_out_gets_no_lease() {
    let steps = "5123 1645 loss 0.183\n8935 2589 cut n2,n5,n8 n1,n3,n4,n6,n7,n9\n10857 1643 cut n3 n1,n2,n5,n6,n7,n8,n9\n";
    let mut plan = plan(&format!("{NINE}{steps}"));
    plan.seed = 107_443;
    well(&World::run(plan), 3000.0);
}

/// Two of three voters are left, the one with the longer log in an older term: they agree all the same. Cut down from drawn
/// schedules.
#[test]
fn a_longer_log_in_an_older_term_is_elected() {
    for (seed, steps) in [
        (102_931, "19599 3339 stop n2\n28673 3212 loss 0.249\n30649 2498 cut-one-way n1,n4,n7 n2,n3,n5,n6,n8,n9\n32013 1987 kill-wiped n3\n"),
        (103_716, "4779 2350 kill-third n8\n6670 3128 cut n3,n6,n9 n1,n2,n4,n5,n7,n8\n9545 3001 cut n2,n5,n8 n1,n3,n4,n6,n7,n9\n11013 1720 kill-wiped n3\n"),
    ] {
        let mut plan = plan(&format!("{NINE}{steps}"));
        plan.seed = seed;
        well(&World::run(plan), 4000.0);
    }
}

#[test]
fn all_at_once() {
    for seed in 500..530 {
        let schedule = Schedule::draw(seed, 9, 3, 14, 30_000.0);
        let report = World::run(Plan::of(schedule, seed));
        assert!(report.audit.broken.is_empty(), "seed {seed}: {:?}", report.audit.broken);
    }
}

#[test]
fn one_voter_alone_five_and_seven_decide_too() {
    for (voters, schedule) in [
        (1, "3 zones 1\n5000 3000 kill n2\n"),
        (5, "9 zones 3\n6000 3000 kill n1\n7000 3000 kill n3\n"),
        (7, "9 zones 3\n6000 5000 kill-third n1\n"),
    ] {
        let mut plan = plan(&format!("members {schedule}"));
        (plan.initial_voters, plan.config.voters) = (voters, voters);
        plan.duration_ms = plan.duration_ms.max(9000.0);
        well(&World::run(plan), 4000.0);
    }
}

/// With as many voters as there may be, lost ones are replaced all the same, one after the other: four of seven lost their memories
/// within twenty seconds, never two thirds at once. Cut down from a schedule of the trial of copies.
#[test]
fn seven_voters_outlive_four_of_them_lost_in_turn() {
    for seed in 1..4 {
        let mut plan = plan(
            "members 9 zones 3\n7207 2200 kill-wiped n1\n20312 2785 kill-wiped n2\n20312 2785 kill-wiped n3\n25092 2216 kill-wiped n7\n",
        );
        (plan.seed, plan.initial_voters, plan.config.voters, plan.config.replace_voter_after_ms) =
            (seed, 7, 7, 1500.0);
        well(&World::run(plan), 4000.0);
    }
}

/// A majority of the council never comes back. One command gives a new one; an older one does nothing any more.
#[test]
fn a_council_that_lost_its_majority_is_put_right_by_one_command() {
    let mut plan = plan("members 9 zones 3\n5000 40000 kill n1\n5000 40000 kill n2\n");
    plan.duration_ms = 30_000.0;
    plan.recoveries = vec![recovery(10_000.0, 4, &["n1"]), recovery(16_000.0, 4, &["n1", "n2"])];
    let report = World::run(plan.clone());
    assert!(report.audit.broken.is_empty(), "{:?}", report.audit.broken);
    // The first left n2 out, which does not answer either; nothing report of it.
    assert!(
        matches!(&report.recovered[..], [Err(why), Ok(3)] if why.contains("n2")),
        "{:?}",
        report.recovered
    );
    assert!(
        report.final_states.iter().all(|line| !line.starts_with("n4") || line.contains("view")),
        "{:#?}",
        report.final_states
    );
    // The lost ones come back with their folders: they follow the new council.
    plan.schedule =
        "members 9 zones 3\n5000 15000 kill n1\n5000 15000 kill n2\n".parse().expect("a schedule");
    let report = World::run(plan);
    assert!(report.audit.broken.is_empty(), "{:?}", report.audit.broken);
    assert_eq!((report.lagging, report.outside_view), (0, 0), "{:#?}", report.final_states);
}

#[test]
fn two_recoveries_at_once_never_have_two_outcomes() {
    let mut plan = plan("members 9 zones 3\n5000 40000 kill n1\n5000 40000 kill n2\n5000 40000 kill n4\n");
    plan.duration_ms = 30_000.0;
    let (some, all) = (["n1", "n2"], ["n1", "n2", "n4"]);
    plan.recoveries =
        vec![recovery(10_000.0, 4, &all), recovery(10_000.0, 8, &some), recovery(20_000.0, 8, &all)];
    let report = World::run(plan);
    assert!(report.audit.broken.is_empty(), "{:?}", report.audit.broken);
    let numbers: Vec<&u64> = report.recovered.iter().flatten().collect();
    assert!(numbers.len() <= 2, "{:?}", report.recovered);
}

/// Of those that start all at once each knows all within seconds, a death is known by all within 4 s, and at rest a member
/// spends no more than 4 KB a second.
#[test]
fn a_hundred_and_twenty_that_start_at_once_know_all_and_soon_of_each_death() {
    let report = World::run(Plan::growing(120, 3, 5, 3));
    assert!(report.audit.broken.is_empty(), "{:?}", report.audit.broken);
    let grown = &report.growth;
    assert!(grown.all_known_ms.is_some_and(|ms| ms < 5000.0), "{grown:?}");
    assert!(grown.rest_bytes.is_some_and(|bytes| bytes > 0.0 && bytes <= 4096.0), "{grown:?}");
    assert_eq!((report.known_ms.count(), report.deaths_not_known), (3, 0));
    assert!(report.known_ms.most().is_some_and(|ms| ms <= 4000.0), "{:?}", report.known_ms.most());
    assert!(report.healthy_removed.is_empty(), "{:?}", report.healthy_removed);
}

#[test]
fn a_death_that_is_over_before_all_know_is_counted_and_no_time_is_told() {
    let report = nine("5000 300 kill n5\n");
    assert_eq!((report.known_ms.count(), report.known_ms.most(), report.deaths_not_known), (0, None, 1));
}
