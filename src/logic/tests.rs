use super::*;

fn facts() -> StartFacts {
    let offering = |revenue| OfferingTerms {
        contract_ms: 1000.0,
        contract_stretch: 0.0,
        hard_limit_ms: 3000.0,
        ticket_window_ms: 5000.0,
        repeats: Repeats::Rerunnable,
        revenue,
        late_share: 0.0,
        skip_share: 0.0,
    };
    StartFacts {
        seed: 7,
        offerings: vec![offering(1.0), offering(5.0)],
        tenant_quotas: vec![],
        cores: 2.0,
        memory_kb: 10_000.0,
        run_factor: 8.0,
        entry_kb: 10.0,
        call_share: Some(2.0),
        call_span_ms: 1000.0,
        call_linger_ms: 200.0,
        halting: Halting::Abort,
        advice: AdviceMeaning::LowestRank,
        servers: 4.0,
        callers: 2.0,
        repeats_marked: false,
        just_started: false,
        cold_speed: 0.2,
        warm_within_ms: 10_000.0,
        tip_multiple: 8.0,
        grace_ms: 500.0,
        cool_down_most_ms: 1000.0,
        share_answers_ms: 0.0,
    }
}

fn arrival(id: u32, offering: usize) -> Arrival {
    Arrival {
        id,
        offering,
        tenant: 0,
        caller: 0,
        key: 0,
        gives_up_at: Some(3000.0),
        work_hint_ms: None,
        footprint_kb: 10.0,
        rank: 0.0,
        marked_repeat: false,
        writes: false,
        unread_ms: 0.0,
        original: None,
    }
}

fn last_state(outcome: &Outcome) -> State {
    outcome.changes.last().expect("a change of state").to
}

#[test]
fn at_the_hard_quota_every_arrival_is_dismissed() {
    let (mut backend, _) = Backend::start(0.0, facts());
    let mut id = 1;
    while backend.load() < backend.quotas().1 {
        backend.arrived(0.0, arrival(id, 1));
        id += 1;
    }
    let outcome = backend.arrived(0.0, arrival(id, 1));
    assert!(matches!(last_state(&outcome), State::Ended(Ending::Dismissed { .. })));
}
