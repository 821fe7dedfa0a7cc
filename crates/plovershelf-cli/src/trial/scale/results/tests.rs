use std::collections::BTreeSet;

use plovershelf_cluster::status::Brief;

use super::super::poller::{KilledMember, Observations, ProposedChange, KEY};
use super::*;

const OPTIONS: ScaleOptions = ScaleOptions { members: 30, callers: 4, tenants: 2 };

#[test]
fn missing_data_is_null_and_fails_the_trial_instead_of_being_zero() {
    let unmeasured = SizeResult { members: 30, ..SizeResult::default() };
    let figures = figures(&[unmeasured], OPTIONS, "requested", false);
    let json = figures.json("scale", 1);
    let keys = ["peak_memory_share", "control_core_percent", "control_memory_mb", "control_bytes_a_second"];
    let more = ["leader_bytes_a_second", "death_known_s_worst", "change_in_force_s_99", "added_ms_99"];
    for key in keys.iter().chain(&more) {
        assert!(json.get(key).is_some_and(Value::is_null), "{key}: {json}");
    }
    assert_eq!(json["held"], false);
}

fn brief(alive_of: &[&str], number: u64, checksum: u32) -> MemberStatus {
    let alive_of = alive_of.iter().map(|name| name.to_string()).collect();
    MemberStatus::Group(Brief { alive_of, values: vec![(KEY.into(), number, checksum)], ..Brief::default() })
}

#[test]
fn a_failure_is_detected_by_the_first_answer_after_the_last_that_listed_the_member() {
    let mut observed = Observations::default();
    let observers = BTreeSet::from([0, 1]);
    observed.killed.push(KilledMember {
        name: "m9".into(),
        address: ([127, 0, 0, 9], 1).into(),
        killed_at_ms: 100.0,
        detected_at_ms: Default::default(),
        observers,
    });
    observed.record_status(0, 90.0, 110.0, brief(&[], 0, 0));
    assert!(observed.killed[0].detected_at_ms.is_empty(), "polled before it was killed");
    observed.record_status(0, 110.0, 120.0, brief(&[], 0, 0));
    observed.record_status(0, 130.0, 140.0, brief(&["m9"], 0, 0));
    assert_eq!(
        latest(&observed.killed[0].detected_at_ms, [0].into_iter()),
        None,
        "a stale rumour revived it"
    );
    observed.record_status(0, 150.0, 160.0, brief(&[], 0, 0));
    observed.record_status(0, 170.0, 180.0, brief(&[], 0, 0));
    assert_eq!(latest(&observed.killed[0].detected_at_ms, [0].into_iter()), Some(160.0));
    assert_eq!(
        latest(&observed.killed[0].detected_at_ms, [0, 1].into_iter()),
        None,
        "the other member has not answered"
    );
    assert_eq!(latest(&observed.killed[0].detected_at_ms, [].into_iter()), None, "no members means no data");
}

#[test]
fn a_later_change_includes_earlier_ones_and_conflicting_contents_are_counted() {
    let mut observed = Observations::default();
    for number in 1..=2 {
        observed.changes.push(ProposedChange {
            number,
            agreed_at_ms: None,
            in_force_at_ms: Default::default(),
        });
    }
    observed.record_status(0, 0.0, 10.0, brief(&[], 2, 7));
    observed.record_status(1, 0.0, 30.0, brief(&[], 1, 5));
    assert_eq!(observed.changes[0].agreed_at_ms, Some(10.0));
    assert_eq!(latest(&observed.changes[0].in_force_at_ms, [0, 1].into_iter()), Some(30.0));
    assert_eq!(latest(&observed.changes[1].in_force_at_ms, [0, 1].into_iter()), None);
    assert_eq!(observed.conflicting_versions(), 0);
    observed.record_status(1, 40.0, 50.0, brief(&[], 2, 8));
    assert_eq!(observed.conflicting_versions(), 1);
}
