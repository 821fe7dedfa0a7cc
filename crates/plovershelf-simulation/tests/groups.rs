//! Clusters on simulated time under schedules that are fixed: the same verdict each time.

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

/// No promise is broken, all belong, all know it, and something new is committed within the time.
fn assert_healed(report: &Report, within_ms: f64) {
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

/// A member is killed, a voter or not. It is removed from the view within three seconds, nobody else is, and it joins again
/// when it is back.
#[test]
fn a_dead_member_is_removed_within_three_seconds_and_joins_again() {
    for member in ["n1", "n2", "n5", "n9"] {
        let report = nine(&format!("5000 6000 kill {member}\n"));
        assert_healed(&report, 3000.0);
        assert!(
            report.removal_ms.count() == 1 && report.removal_ms.most().is_some_and(|ms| ms < 3000.0),
            "{member}: {:?}",
            report.removal_ms.most()
        );
        assert!(report.healthy_removed.is_empty(), "{:?}", report.healthy_removed);
    }
}

/// A partition leaves members alive on both sides. Only the side with a majority of voters goes on; both are one cluster again
/// when it heals.
#[test]
fn a_partition_commits_on_the_side_of_the_majority_alone() {
    let report = nine("5000 5000 cut n1,n4,n7 n2,n3,n5,n6,n8,n9\n");
    assert_healed(&report, 3000.0);
    assert!(report.views >= 3);
}

/// Two members do not reach each other, all others reach both. Indirect probes find them alive: nobody is removed.
#[test]
fn two_members_partitioned_from_each_other_stay_as_others_reach_both() {
    let report = nine("5000 6000 cut n4 n5\n");
    assert_healed(&report, 3000.0);
    assert!(report.healthy_removed.is_empty() && report.views <= 2, "{} views", report.views);
}

/// One member is heard and hears nobody, then the other way round. The cluster goes on without it, or with it where it can.
#[test]
fn messages_that_pass_one_way_only_break_no_promise() {
    assert_healed(&nine("5000 4000 cut-one-way n1 n2,n3,n4,n5,n6,n7,n8,n9\n"), 3000.0);
    assert_healed(&nine("5000 4000 cut-one-way n2,n3,n4,n5,n6,n7,n8,n9 n1\n"), 3000.0);
}

/// The leader does not reach one voter, then it reaches only one of two. With a majority it leads on, without one another does.
#[test]
fn a_leader_that_reaches_some_voters_keeps_or_loses_its_majority() {
    assert_healed(&nine("5000 4000 cut n1 n3\n"), 3000.0);
    assert_healed(&nine("5000 4000 cut n1 n3,n4,n5,n6,n7,n8,n9\n5000 4000 cut n2 n1\n"), 3000.0);
}

/// A member acknowledges probes, but its owner is stuck. It is removed, and joins again when it works.
#[test]
fn a_member_that_is_not_ready_is_removed_and_joins_again() {
    let report = nine("5000 5000 unfit n6\n");
    assert_healed(&report, 3000.0);
    assert!(report.views >= 4, "out and in again: {} views", report.views);
}

/// A process is paused with a valid lease and wakes after it was removed. It must not act by the old view, not even at once.
#[test]
fn a_member_paused_during_its_lease_does_not_act_by_it_afterwards() {
    for member in ["n1", "n2", "n6"] {
        assert_healed(&nine(&format!("5000 5000 stop {member}\n")), 3000.0);
    }
}

/// A member dies and comes back every two seconds for a minute. Views follow it and nobody else leaves.
#[test]
fn a_flapping_member_changes_the_view_no_more_often_than_it_flaps() {
    let steps: String = (0..30).map(|n| format!("{} 900 kill n8\n", 5000 + n * 2000)).collect();
    let report = nine(&steps);
    assert_healed(&report, 3000.0);
    assert!(report.views < 70, "{} views", report.views);
}

/// A third of all members dies at once, in the first case with two of three voters. With their storage they come back and all
/// commits go on.
#[test]
fn a_third_killed_at_once_joins_again_also_with_a_majority_of_voters_in_it() {
    assert_healed(&nine("5000 3000 kill-third n1\n"), 5000.0);
    assert_healed(&nine("5000 3000 kill-third n4\n"), 3000.0);
}

/// A voter comes back without its storage. It is a new node and must not vote as the old one, which is replaced; also while
/// another voter is down.
#[test]
fn a_voter_back_without_its_storage_is_a_new_node_also_while_another_is_down() {
    let report = nine("5000 2000 kill-wiped n2\n");
    assert_healed(&report, 3000.0);
    assert!(report.audit.count("blank-is-someone-new") == 0);
    assert_healed(&nine("5000 8000 kill n3\n6000 2000 kill-wiped n2\n"), 5000.0);
}

/// A voter restarts with a copy of its storage from seconds ago. It has forgotten votes and acknowledgements, and must ask the
/// others before it takes part.
#[test]
fn a_voter_with_a_restored_storage_recovers_before_it_votes() {
    for member in ["n1", "n2", "n3"] {
        assert_healed(&nine(&format!("15000 2000 kill-set-back {member}\n")), 3000.0);
    }
}

/// The network loses three messages of ten and duplicates as many. Nothing contradicts, and commits go on.
#[test]
fn a_third_of_messages_lost_and_as_many_duplicated_break_no_promise() {
    let report = nine("5000 10000 loss 0.3\n");
    assert_healed(&report, 4000.0);
}

/// A voter's disk is full: it must confirm nothing that it cannot keep. Wall clocks jump by an hour: leases and elections do
/// not follow them.
#[test]
fn a_full_disk_confirms_nothing_and_wall_clocks_do_not_matter() {
    assert_healed(&nine("5000 4000 full n1\n"), 3000.0);
    assert_healed(&nine("5000 4000 full n2\n7000 3000 kill n3\n"), 4000.0);
    assert_healed(&nine("5000 9000 clock n2 3600000\n6000 1000 kill-wiped n2\n8000 9000 clock n4 -3600000\n9000 1000 kill-wiped n4\n"), 4000.0);
}

/// All members are restarted, one after the other, with their storage.
#[test]
fn a_rolling_restart_of_all_members_keeps_the_cluster() {
    let steps: String = (0..9).map(|n| format!("{} 800 kill n{}\n", 5000 + n * 3000, n + 1)).collect();
    assert_healed(&nine(&steps), 3000.0);
}

/// Without storage each restart is a new node. Lost voters are replaced in turn, so that a majority is always there.
#[test]
fn a_rolling_restart_without_storage_replaces_every_voter() {
    let steps: String = (0..9).map(|n| format!("{} 800 kill n{}\n", 6000 + n * 6000, n + 1)).collect();
    let mut plan = plan(&format!("{NINE}{steps}"));
    plan.storage = false;
    assert_healed(&World::run(plan), 3000.0);
}

/// A view that removes a member is under way while that member comes back and asks for a lease. It must get none, or it could act
/// by a view that is replaced a moment later. Cut down from a drawn schedule.
#[test]
fn a_member_that_an_uncommitted_view_removes_gets_no_lease() {
    let steps = "5123 1645 loss 0.183\n8935 2589 cut n2,n5,n8 n1,n3,n4,n6,n7,n9\n10857 1643 cut n3 n1,n2,n5,n6,n7,n8,n9\n";
    let mut plan = plan(&format!("{NINE}{steps}"));
    plan.seed = 107_443;
    assert_healed(&World::run(plan), 3000.0);
}

/// Two of three voters are left, the one with the longer log in an older term. It must learn the newer term and be elected, or
/// nothing is ever committed. Cut down from drawn schedules.
#[test]
fn a_longer_log_in_an_older_term_is_elected() {
    for (seed, steps) in [
        (102_931, "19599 3339 stop n2\n28673 3212 loss 0.249\n30649 2498 cut-one-way n1,n4,n7 n2,n3,n5,n6,n8,n9\n32013 1987 kill-wiped n3\n"),
        (103_716, "4779 2350 kill-third n8\n6670 3128 cut n3,n6,n9 n1,n2,n4,n5,n7,n8\n9545 3001 cut n2,n5,n8 n1,n3,n4,n6,n7,n9\n11013 1720 kill-wiped n3\n"),
    ] {
        let mut plan = plan(&format!("{NINE}{steps}"));
        plan.seed = seed;
        assert_healed(&World::run(plan), 4000.0);
    }
}

/// Faults of all kinds at once, as drawn.
#[test]
fn drawn_schedules_of_all_faults_break_no_promise() {
    for seed in 500..530 {
        let schedule = Schedule::draw(seed, 9, 3, 14, 30_000.0);
        let report = World::run(Plan::of(schedule, seed));
        assert!(report.audit.broken.is_empty(), "seed {seed}: {:?}", report.audit.broken);
    }
}

/// Other numbers of voters than three, with as many lost as each may lose.
#[test]
fn one_five_and_seven_voters_commit_too() {
    for (voters, schedule) in [
        (1, "3 zones 1\n5000 3000 kill n2\n"),
        (5, "9 zones 3\n6000 3000 kill n1\n7000 3000 kill n3\n"),
        (7, "9 zones 3\n6000 5000 kill-third n1\n"),
    ] {
        let mut plan = plan(&format!("members {schedule}"));
        (plan.initial_voters, plan.config.voters) = (voters, voters);
        plan.duration_ms = plan.duration_ms.max(9000.0);
        assert_healed(&World::run(plan), 4000.0);
    }
}

/// With as many voters as there may be, lost ones are replaced all the same, one after the other: four of seven lost their memories
/// within twenty seconds, never two thirds at once. Cut down from a schedule of the trial of copies.
#[test]
fn seven_voters_survive_four_of_them_lost_in_turn() {
    for seed in 1..4 {
        let mut plan = plan(
            "members 9 zones 3\n7207 2200 kill-wiped n1\n20312 2785 kill-wiped n2\n20312 2785 kill-wiped n3\n25092 2216 kill-wiped n7\n",
        );
        (plan.seed, plan.initial_voters, plan.config.voters, plan.config.replace_voter_after_ms) =
            (seed, 7, 7, 1500.0);
        assert_healed(&World::run(plan), 4000.0);
    }
}

/// A majority of voters never comes back. One command begins a new epoch; what is of the older one does nothing any more.
#[test]
fn a_lost_majority_is_replaced_by_one_command() {
    let mut plan = plan("members 9 zones 3\n5000 40000 kill n1\n5000 40000 kill n2\n");
    plan.duration_ms = 30_000.0;
    plan.recoveries = vec![recovery(10_000.0, 4, &["n1"]), recovery(16_000.0, 4, &["n1", "n2"])];
    let report = World::run(plan.clone());
    assert!(report.audit.broken.is_empty(), "{:?}", report.audit.broken);
    // The first left n2 out, which does not answer either; nothing came of it.
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

/// Two operators name different members lost at the same time. Each survivor consents to one epoch of a number alone, so the
/// cluster never splits into two.
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

/// A member is back before all knew of its death. The measurement must not report a time that nobody saw.
#[test]
fn a_death_that_ends_before_all_know_is_counted_without_a_time() {
    let report = nine("5000 300 kill n5\n");
    assert_eq!((report.known_ms.count(), report.known_ms.most(), report.deaths_not_known), (0, None, 1));
}
