use std::collections::BTreeSet;

use plovershelf_cluster::status::Brief;

use super::super::watch::{Death, Seen, Word, KEY};
use super::*;

const WANTED: Wanted = Wanted { members: 30, callers: 4, tenants: 2 };

#[test]
fn no_data_is_null_and_held_false_never_a_zero() {
    let nothing = Came { members: 30, ..Came::default() };
    let figures = figures(&[nothing], WANTED, "requested", false);
    let told = figures.json("scale", 1);
    let keys = ["peak_memory_share", "control_core_percent", "control_memory_mb", "control_bytes_a_second"];
    let more = ["leader_bytes_a_second", "death_known_s_worst", "change_in_force_s_99", "added_ms_99"];
    for key in keys.iter().chain(&more) {
        assert!(told.get(key).is_some_and(Value::is_null), "{key}: {told}");
    }
    assert_eq!(told["held"], false);
}

fn brief(alive_of: &[&str], number: u64, checksum: u32) -> Look {
    let alive_of = alive_of.iter().map(|name| name.to_string()).collect();
    Look::Group(Brief { alive_of, values: vec![(KEY.into(), number, checksum)], ..Brief::default() })
}

#[test]
fn a_death_is_known_from_the_last_time_on_that_nobody_had_it_alive() {
    let mut seen = Seen::default();
    let asked = BTreeSet::from([0, 1]);
    seen.deaths.push(Death {
        name: "m9".into(),
        address: ([127, 0, 0, 9], 1).into(),
        at: 100.0,
        known: Default::default(),
        asked,
    });
    seen.take(0, 90.0, 110.0, brief(&[], 0, 0));
    assert!(seen.deaths[0].known.is_empty(), "asked before it died");
    seen.take(0, 110.0, 120.0, brief(&[], 0, 0));
    seen.take(0, 130.0, 140.0, brief(&["m9"], 0, 0));
    assert_eq!(latest(&seen.deaths[0].known, [0].into_iter()), None, "an old rumour brought it back");
    seen.take(0, 150.0, 160.0, brief(&[], 0, 0));
    seen.take(0, 170.0, 180.0, brief(&[], 0, 0));
    assert_eq!(latest(&seen.deaths[0].known, [0].into_iter()), Some(160.0));
    assert_eq!(latest(&seen.deaths[0].known, [0, 1].into_iter()), None, "the other has not said so");
    assert_eq!(latest(&seen.deaths[0].known, [].into_iter()), None, "nobody is no data");
}

#[test]
fn a_later_word_stands_for_the_ones_before_and_two_contents_at_one_number_are_counted() {
    let mut seen = Seen::default();
    for number in 1..=2 {
        seen.words.push(Word { number, agreed: None, in_force: Default::default() });
    }
    seen.take(0, 0.0, 10.0, brief(&[], 2, 7));
    seen.take(1, 0.0, 30.0, brief(&[], 1, 5));
    assert_eq!(seen.words[0].agreed, Some(10.0));
    assert_eq!(latest(&seen.words[0].in_force, [0, 1].into_iter()), Some(30.0));
    assert_eq!(latest(&seen.words[1].in_force, [0, 1].into_iter()), None);
    assert_eq!(seen.two_at_one_number(), 0);
    seen.take(1, 40.0, 50.0, brief(&[], 2, 8));
    assert_eq!(seen.two_at_one_number(), 1);
}
