//! Simulated clusters under fixed fault schedules and seeds.

use plovershelf_simulation::cluster::{Plan, RecoveryCommand, Report, World};
use plovershelf_simulation::schedule::Schedule;

fn plan(text: &str) -> Plan {
    let schedule: Schedule = text.parse().expect("the schedule is valid");
    Plan::of(schedule, 11)
}

fn recovery(at_ms: f64, member: usize, lost: &[&str]) -> RecoveryCommand {
    RecoveryCommand { at_ms, member, lost: lost.iter().map(|name| name.to_string()).collect() }
}

fn simulate(text: &str) -> Report {
    World::run(plan(text))
}

/// Asserts that no promise is violated, that every member is in the newest view, and that a new value is committed within
/// `within_ms` after the last fault.
fn assert_recovered(report: &Report, within_ms: f64) {
    assert!(report.audit.broken.is_empty(), "{:?}", report.audit.broken);
    assert_eq!((report.lagging, report.outside_view), (0, 0), "{:#?}", report.final_states);
    assert!(
        report.committed_after_ms.is_some_and(|ms| ms <= within_ms),
        "{:?} {:#?}",
        report.committed_after_ms,
        report.final_states
    );
}

const NINE_MEMBERS: &str = "members 9 zones 3\n";

fn simulate_nine(steps: &str) -> Report {
    simulate(&format!("{NINE_MEMBERS}{steps}"))
}

/// A killed member, voter or not, is removed from the view within three seconds, no other member is, and it rejoins after its
/// restart.
#[test]
fn a_dead_member_is_removed_within_three_seconds_and_joins_again() {
    for member in ["n1", "n2", "n5", "n9"] {
        let report = simulate_nine(&format!("5000 6000 kill {member}\n"));
        assert_recovered(&report, 3000.0);
        assert!(
            report.removal_ms.count() == 1 && report.removal_ms.most().is_some_and(|ms| ms < 3000.0),
            "{member}: {:?}",
            report.removal_ms.most()
        );
        assert!(report.healthy_removed.is_empty(), "{:?}", report.healthy_removed);
    }
}

/// With members running on both sides of a partition, only the side with a majority of voters commits. Both sides form one
/// cluster again when the partition heals.
#[test]
fn only_the_majority_side_of_a_partition_commits() {
    let report = simulate_nine("5000 5000 cut n1,n4,n7 n2,n3,n5,n6,n8,n9\n");
    assert_recovered(&report, 3000.0);
    assert!(report.views >= 3);
}

/// Two members cannot reach each other, but all others reach both. Indirect probes find both alive, so neither is removed.
#[test]
fn two_members_partitioned_from_each_other_stay_if_others_reach_both() {
    let report = simulate_nine("5000 6000 cut n4 n5\n");
    assert_recovered(&report, 3000.0);
    assert!(report.healthy_removed.is_empty() && report.views <= 2, "{} views", report.views);
}

/// A member can send but not receive messages, then receive but not send. The cluster commits again after both faults.
#[test]
fn one_way_partitions_violate_no_promise() {
    assert_recovered(&simulate_nine("5000 4000 cut-one-way n1 n2,n3,n4,n5,n6,n7,n8,n9\n"), 3000.0);
    assert_recovered(&simulate_nine("5000 4000 cut-one-way n2,n3,n4,n5,n6,n7,n8,n9 n1\n"), 3000.0);
}

/// The leader is cut off from one voter, then from all voters. With a majority it remains leader, without one another voter is
/// elected.
#[test]
fn a_leader_stays_with_a_majority_and_is_replaced_without_one() {
    assert_recovered(&simulate_nine("5000 4000 cut n1 n3\n"), 3000.0);
    assert_recovered(&simulate_nine("5000 4000 cut n1 n3,n4,n5,n6,n7,n8,n9\n5000 4000 cut n2 n1\n"), 3000.0);
}

/// A member that acknowledges probes but is not ready is removed, and rejoins when it is ready.
#[test]
fn a_member_that_is_not_ready_is_removed_and_joins_again() {
    let report = simulate_nine("5000 5000 unfit n6\n");
    assert_recovered(&report, 3000.0);
    assert!(report.views >= 4, "removed and added again: {} views", report.views);
}

/// A process that is paused with a valid lease resumes after it was removed from the view. It must not act by the old view, not
/// even before it handles its first message or timeout.
#[test]
fn a_member_paused_during_its_lease_does_not_act_by_it_afterwards() {
    for member in ["n1", "n2", "n6"] {
        assert_recovered(&simulate_nine(&format!("5000 5000 stop {member}\n")), 3000.0);
    }
}

/// A member dies and restarts every two seconds for a minute. The views change for this member only.
#[test]
fn a_flapping_member_changes_the_view_no_more_often_than_it_flaps() {
    let steps: String = (0..30).map(|n| format!("{} 900 kill n8\n", 5000 + n * 2000)).collect();
    let report = simulate_nine(&steps);
    assert_recovered(&report, 3000.0);
    assert!(report.views < 70, "{} views", report.views);
}

/// A third of all members is killed at once, in the first case including two of three voters. They restart with their storage,
/// and the cluster commits again.
#[test]
fn a_third_killed_at_once_joins_again_even_with_a_majority_of_voters() {
    assert_recovered(&simulate_nine("5000 3000 kill-third n1\n"), 5000.0);
    assert_recovered(&simulate_nine("5000 3000 kill-third n4\n"), 3000.0);
}

/// A voter that restarts without its storage has forgotten its votes. It must join as a new node and be replaced as a voter, also
/// while another voter is down.
#[test]
fn a_voter_that_restarts_without_storage_is_a_new_node_even_with_another_voter_down() {
    let report = simulate_nine("5000 2000 kill-wiped n2\n");
    assert_recovered(&report, 3000.0);
    assert!(report.audit.count("blank-is-someone-new") == 0);
    assert_recovered(&simulate_nine("5000 8000 kill n3\n6000 2000 kill-wiped n2\n"), 5000.0);
}

/// A voter restarts with a copy of its storage that is some seconds old. It has forgotten votes and acknowledgements, and must
/// recover from the other voters before it votes.
#[test]
fn a_voter_with_restored_storage_recovers_before_it_votes() {
    for member in ["n1", "n2", "n3"] {
        assert_recovered(&simulate_nine(&format!("15000 2000 kill-set-back {member}\n")), 3000.0);
    }
}

/// The network loses three in ten messages and duplicates as many. No promise is violated, and the cluster commits again.
#[test]
fn message_loss_and_duplication_violate_no_promise() {
    let report = simulate_nine("5000 10000 loss 0.3\n");
    assert_recovered(&report, 4000.0);
}

/// A voter with a full disk must not acknowledge what it cannot store. Wall clocks that jump by an hour must not affect leases
/// and elections.
#[test]
fn a_voter_with_a_full_disk_acknowledges_nothing_and_wall_clock_jumps_have_no_effect() {
    assert_recovered(&simulate_nine("5000 4000 full n1\n"), 3000.0);
    assert_recovered(&simulate_nine("5000 4000 full n2\n7000 3000 kill n3\n"), 4000.0);
    assert_recovered(&simulate_nine("5000 9000 clock n2 3600000\n6000 1000 kill-wiped n2\n8000 9000 clock n4 -3600000\n9000 1000 kill-wiped n4\n"), 4000.0);
}

/// All members are restarted one after the other and keep their storage.
#[test]
fn a_rolling_restart_of_all_members_keeps_the_cluster() {
    let steps: String = (0..9).map(|n| format!("{} 800 kill n{}\n", 5000 + n * 3000, n + 1)).collect();
    assert_recovered(&simulate_nine(&steps), 3000.0);
}

/// Without storage each restart creates a new node. Lost voters are replaced in turn, so that a majority always exists.
#[test]
fn a_rolling_restart_without_storage_replaces_every_voter() {
    let steps: String = (0..9).map(|n| format!("{} 800 kill n{}\n", 6000 + n * 6000, n + 1)).collect();
    let mut plan = plan(&format!("{NINE_MEMBERS}{steps}"));
    plan.storage = false;
    assert_recovered(&World::run(plan), 3000.0);
}

/// A member returns and requests a lease while a view that removes it is not yet committed. A lease would let the member act by a
/// view that is replaced immediately afterwards, so it must be refused. Shrunk from a generated schedule.
#[test]
fn a_member_that_an_uncommitted_view_removes_gets_no_lease() {
    let steps = "5123 1645 loss 0.183\n8935 2589 cut n2,n5,n8 n1,n3,n4,n6,n7,n9\n10857 1643 cut n3 n1,n2,n5,n6,n7,n8,n9\n";
    let mut plan = plan(&format!("{NINE_MEMBERS}{steps}"));
    plan.seed = 107_443;
    assert_recovered(&World::run(plan), 3000.0);
}

/// Two of three voters remain, and the one with the longer log is in an older term. It must learn the newer term and be elected,
/// otherwise the cluster never commits again. Shrunk from generated schedules.
#[test]
fn a_longer_log_in_an_older_term_is_elected() {
    for (seed, steps) in [
        (102_931, "19599 3339 stop n2\n28673 3212 loss 0.249\n30649 2498 cut-one-way n1,n4,n7 n2,n3,n5,n6,n8,n9\n32013 1987 kill-wiped n3\n"),
        (103_716, "4779 2350 kill-third n8\n6670 3128 cut n3,n6,n9 n1,n2,n4,n5,n7,n8\n9545 3001 cut n2,n5,n8 n1,n3,n4,n6,n7,n9\n11013 1720 kill-wiped n3\n"),
    ] {
        let mut plan = plan(&format!("{NINE_MEMBERS}{steps}"));
        plan.seed = seed;
        assert_recovered(&World::run(plan), 4000.0);
    }
}

/// Generated schedules combine faults of all kinds.
#[test]
fn generated_schedules_of_all_faults_violate_no_promise() {
    for seed in 500..530 {
        let schedule = Schedule::draw(seed, 9, 3, 14, 30_000.0);
        let report = World::run(Plan::of(schedule, seed));
        assert!(report.audit.broken.is_empty(), "seed {seed}: {:?}", report.audit.broken);
    }
}

/// Clusters with other numbers of voters than three commit with as many voters lost as they tolerate.
#[test]
fn clusters_of_one_five_and_seven_voters_commit() {
    for (voters, schedule) in [
        (1, "3 zones 1\n5000 3000 kill n2\n"),
        (5, "9 zones 3\n6000 3000 kill n1\n7000 3000 kill n3\n"),
        (7, "9 zones 3\n6000 5000 kill-third n1\n"),
    ] {
        let mut plan = plan(&format!("members {schedule}"));
        (plan.initial_voters, plan.config.voters) = (voters, voters);
        plan.duration_ms = plan.duration_ms.max(9000.0);
        assert_recovered(&World::run(plan), 4000.0);
    }
}

/// With the maximum number of voters, lost ones must still be replaced one after the other: four of seven lose their storage within
/// twenty seconds, never a majority at once. Shrunk from a schedule of the replication trial.
#[test]
fn seven_voters_survive_four_of_them_lost_in_turn() {
    for seed in 1..4 {
        let mut plan = plan(
            "members 9 zones 3\n7207 2200 kill-wiped n1\n20312 2785 kill-wiped n2\n20312 2785 kill-wiped n3\n25092 2216 kill-wiped n7\n",
        );
        (plan.seed, plan.initial_voters, plan.config.voters, plan.config.replace_voter_after_ms) =
            (seed, 7, 7, 1500.0);
        assert_recovered(&World::run(plan), 4000.0);
    }
}

/// A majority of voters is lost for good. One recovery command starts a new epoch, and nodes of the older epoch have no effect.
#[test]
fn a_lost_majority_is_replaced_by_one_command() {
    let mut plan = plan("members 9 zones 3\n5000 40000 kill n1\n5000 40000 kill n2\n");
    plan.duration_ms = 30_000.0;
    plan.recoveries = vec![recovery(10_000.0, 4, &["n1"]), recovery(16_000.0, 4, &["n1", "n2"])];
    let report = World::run(plan.clone());
    assert!(report.audit.broken.is_empty(), "{:?}", report.audit.broken);
    // The first command does not name n2, which does not answer either, and fails.
    assert!(
        matches!(&report.recovered[..], [Err(error), Ok(3)] if error.contains("n2")),
        "{:?}",
        report.recovered
    );
    assert!(
        report.final_states.iter().all(|line| !line.starts_with("n4") || line.contains("view")),
        "{:#?}",
        report.final_states
    );
    // The lost voters restart with their storage and follow the new consensus group.
    plan.schedule =
        "members 9 zones 3\n5000 15000 kill n1\n5000 15000 kill n2\n".parse().expect("the schedule is valid");
    let report = World::run(plan);
    assert!(report.audit.broken.is_empty(), "{:?}", report.audit.broken);
    assert_eq!((report.lagging, report.outside_view), (0, 0), "{:#?}", report.final_states);
}

/// Two operators declare different members lost at the same time. Each survivor accepts a single proposal for an epoch number, so
/// the cluster never splits in two.
#[test]
fn concurrent_recoveries_never_have_two_outcomes() {
    let mut plan = plan("members 9 zones 3\n5000 40000 kill n1\n5000 40000 kill n2\n5000 40000 kill n4\n");
    plan.duration_ms = 30_000.0;
    let (two_lost, all_lost) = (["n1", "n2"], ["n1", "n2", "n4"]);
    plan.recoveries = vec![
        recovery(10_000.0, 4, &all_lost),
        recovery(10_000.0, 8, &two_lost),
        recovery(20_000.0, 8, &all_lost),
    ];
    let report = World::run(plan);
    assert!(report.audit.broken.is_empty(), "{:?}", report.audit.broken);
    let numbers: Vec<&u64> = report.recovered.iter().flatten().collect();
    assert!(numbers.len() <= 2, "{:?}", report.recovered);
}

/// 120 members start at once. Every member knows all others within 5 s, every member knows of a death within 4 s, and at rest a
/// member sends at most 4 KB per second.
#[test]
fn a_hundred_and_twenty_members_discover_each_other_and_every_death() {
    let report = World::run(Plan::growing(120, 3, 5, 3));
    assert!(report.audit.broken.is_empty(), "{:?}", report.audit.broken);
    let growth = &report.growth;
    assert!(growth.all_known_ms.is_some_and(|ms| ms < 5000.0), "{growth:?}");
    assert!(growth.rest_bytes.is_some_and(|bytes| bytes > 0.0 && bytes <= 4096.0), "{growth:?}");
    assert_eq!((report.known_ms.count(), report.deaths_not_known), (3, 0));
    assert!(report.known_ms.most().is_some_and(|ms| ms <= 4000.0), "{:?}", report.known_ms.most());
    assert!(report.healthy_removed.is_empty(), "{:?}", report.healthy_removed);
}

/// A member restarts before every member knew of its death. The measurement must not report a propagation time for it.
#[test]
fn a_death_that_ends_before_all_members_know_is_counted_without_a_time() {
    let report = simulate_nine("5000 300 kill n5\n");
    assert_eq!((report.known_ms.count(), report.known_ms.most(), report.deaths_not_known), (0, None, 1));
}
