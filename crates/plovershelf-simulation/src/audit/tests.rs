use super::*;

fn at(at: f64, seen: Observation) -> Event {
    Event { at, seen }
}

/// Appends one event that violates a single promise to a valid history; the audit must report just that promise.
#[test]
fn each_violation_is_reported_with_its_promise_and_event() {
    let view = |at_ms: f64, number: u64, members: &[u64]| {
        at(at_ms, Observation::View { memory: 1, era: 1, number, members: members.to_vec() })
    };
    let well = vec![
        view(1.0, 1, &[1, 2, 3]),
        at(2.0, Observation::Leads { memory: 1, era: 1, term: 2 }),
        at(3.0, Observation::Acts { memory: 2, era: 1, view: 1 }),
        view(4.0, 2, &[1, 3]),
        at(5.0, Observation::Decided { memory: 1, era: 1, index: 7, hash: 9 }),
        at(5.5, Observation::Lost { memory: 2 }),
        at(5.6, Observation::Answered { ticket: 8, result: None }),
        at(5.7, Observation::Launched { ticket: 7, process: "n1".into() }),
        at(5.8, Observation::Answered { ticket: 7, result: Some(5) }),
        at(5.9, Observation::Answered { ticket: 7, result: Some(5) }),
    ];
    assert!(judge(&well).broken.is_empty());
    let wrong = [
        (view(6.0, 2, &[1, 2]), ONE_VIEW_PER_NUMBER),
        (view(6.0, 4, &[1]), NO_GAP),
        (at(6.0, Observation::Leads { memory: 3, era: 1, term: 2 }), ONE_LEADER_PER_TERM),
        (at(6.0, Observation::Decided { memory: 3, era: 1, index: 7, hash: 8 }), NOTHING_FORGOTTEN),
        (at(6.0, Observation::Leads { memory: 2, era: 1, term: 9 }), LOST_STORAGE_IS_NEW_NODE),
        (at(6.0, Observation::Launched { ticket: 7, process: "n2".into() }), NO_EFFECT_TWICE),
        (at(6.0, Observation::Answered { ticket: 7, result: None }), ONE_VERDICT),
        (at(6.0, Observation::Answered { ticket: 7, result: Some(6) }), ONE_VERDICT),
    ];
    for (event, promise) in wrong {
        let mut events = well.clone();
        events.push(event);
        let text = written(&events);
        let audit = judge(&read(&text).expect("the written history parses"));
        let found: Vec<&str> = audit.broken.iter().map(|broken| broken.promise).collect();
        assert_eq!(found, [promise]);
    }
    let mut late = well;
    late.insert(4, at(4.5, Observation::Acts { memory: 2, era: 1, view: 1 }));
    let audit = judge(&late);
    assert_eq!((audit.broken[0].promise, audit.broken[0].event), (NO_ACTION_PAST_LEASE, 4));
}
