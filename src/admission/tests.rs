use super::*;

fn class(value: f64, idempotency: Idempotency) -> ClassConfig {
    ClassConfig {
        latency_objective_ms: 1000.0,
        objective_per_work: 0.0,
        timeout_ms: 3000.0,
        deduplication_window_ms: 5000.0,
        idempotency,
        value,
        late_value_fraction: 0.0,
        skipped_call_value_fraction: 0.0,
    }
}

/// Two rerunnable offerings, of revenue 1 and 5, then a ticketed and an exclusive one.
fn config() -> BackendConfig {
    BackendConfig {
        seed: 7,
        classes: vec![
            class(1.0, Idempotency::Idempotent),
            class(5.0, Idempotency::Idempotent),
            class(5.0, Idempotency::Keyed),
            class(5.0, Idempotency::NonIdempotent),
        ],
        tenant_quotas_per_s: vec![],
        cores: 4.0,
        memory_kb: 10_000.0,
        running_memory_factor: 8.0,
        deduplication_entry_kb: 10.0,
        dependency_share: Some(3.0),
        abandoned_call_linger_ms: 200.0,
        cancellation: Cancellation::Abort,
        backpressure: BackpressureSignal::MinimumPriority,
        discovery_follows_health: false,
        fleet_size: 4.0,
        client_count: 2.0,
        retries_marked: false,
        cold_start: false,
        cold_speed_fraction: 0.2,
        warm_up_ms: 8000.0,
        overload_multiple: 8.0,
        drain_grace_ms: 500.0,
        max_idle_ms: 30_000.0,
        max_retry_after_ms: 1000.0,
        shared_response_ms: 0.0,
    }
}

fn started(config: BackendConfig) -> Backend {
    Backend::start(0.0, config).0
}

fn arrival(id: u32, class: usize) -> Request {
    Request {
        id,
        class,
        tenant: 0,
        key: 0,
        deadline_ms: Some(3000.0),
        work_hint_ms: None,
        memory_kb: 10.0,
        marked_retry: false,
        writes: false,
        unread_ms: 0.0,
        duplicate_of: None,
    }
}

/// A backend with so many runs of the second offering, ids from 1000.
fn running(count: u32) -> Backend {
    let mut backend = started(config());
    for id in 1000..1000 + count {
        backend.take_in(&arrival(id, 1));
        backend.change(id, RequestState::Running);
    }
    backend.out = Effects::default();
    backend
}

fn last(outcome: &Effects) -> RequestState {
    outcome.transitions.last().expect("a change of state").to
}

fn dismissed(outcome: &Effects) -> bool {
    matches!(last(outcome), RequestState::Completed(Completion::Rejected { .. }))
}

/// Dismissals among a cycle of arrivals of an offering at a part let in that does not change.
fn cut_of_twenty(backend: &mut Backend, place: usize, part: f64) -> usize {
    let kept = backend.kept_of(place, part);
    (0..STEPS).filter(|counter| f64::from(*counter) >= kept * f64::from(STEPS)).count()
}

#[test]
fn the_part_let_in_falls_by_steps_from_soft_to_hard() {
    let (soft, hard) = running(0).load_quotas();
    assert!(soft >= 1.0 && hard > soft);
    let mut parts: Vec<f64> = (0..12).map(|runs| running(runs).part_let_in()).collect();
    assert_eq!(parts[4], 1.0);
    assert!(parts[6] < 1.0 && parts[6] > 0.0 && (parts[6] * f64::from(STEPS)).fract() == 0.0);
    assert_eq!(parts[10], 0.0);
    parts.reverse();
    assert!(parts.is_sorted());
}

#[test]
fn at_the_hard_quota_every_arrival_is_dismissed_early_with_a_time_to_come_back() {
    let outcome = running(10).handle_request(0.0, arrival(1, 1));
    let RequestState::Completed(Completion::Rejected { retry_after_ms, retry_elsewhere }) = last(&outcome)
    else {
        panic!("not dismissed: {outcome:?}")
    };
    assert!(retry_after_ms > 0.0 && retry_after_ms <= 1000.0 && retry_elsewhere);
}

#[test]
fn the_lowest_rank_is_cut_first_and_the_counter_picks_among_equals() {
    let mut backend = started(config());
    backend.tallies = vec![0.0, 0.0, 60.0, 40.0];
    assert_eq!(cut_of_twenty(&mut backend, 2, 0.7), 10);
    assert_eq!(cut_of_twenty(&mut backend, 3, 0.7), 0);
    assert_eq!(cut_of_twenty(&mut backend, 2, 0.2), 20);
    assert_eq!(cut_of_twenty(&mut backend, 3, 0.2), 10);
}

#[test]
fn tenants_over_quota_are_cut_before_the_lowest_rank() {
    let mut backend = started(BackendConfig { tenant_quotas_per_s: vec![40.0, 40.0], ..config() });
    backend.tenants = [100.0, 10.0].map(|sum| Admitted { sum, at: 0.0 }).to_vec();
    assert!(backend.tenant_over_quota(0) && !backend.tenant_over_quota(1));
    backend.tallies = vec![10.0, 20.0, 30.0, 40.0];
    assert_eq!(cut_of_twenty(&mut backend, 1, 0.7), 20);
    assert_eq!(cut_of_twenty(&mut backend, 2, 0.7), 0);
}

#[test]
fn idle_cores_open_the_soft_band_but_not_the_hard_quota() {
    let mut backend = running(7);
    assert!(backend.part_let_in() < 1.0);
    backend.busy = 0.5;
    assert_eq!(backend.part_let_in(), 1.0);
    let mut full = running(10);
    full.busy = 0.5;
    assert_eq!(full.part_let_in(), 0.0);
}

#[test]
fn the_hard_quota_rises_by_steps_from_cold_and_stays_under_the_survivable_crowd() {
    let mut backend = started(BackendConfig { cold_start: true, ..config() });
    let mut last = 0.0;
    for at in [0.0, 900.0, 1100.0, 4000.0, 8000.0, 20_000.0] {
        backend.now = at;
        let (_, hard) = backend.load_quotas();
        assert!(hard >= last && hard <= 1.0 + 7.0 * backend.warmth());
        last = hard;
    }
    assert!(last > 2.0);
    backend.now = 900.0;
    assert_eq!(backend.warmth(), 0.2);
}

#[test]
fn expired_work_is_shed_before_all_else() {
    let late = Request { unread_ms: 1100.0, ..arrival(1, 1) };
    let outcome = running(0).handle_request(0.0, late);
    assert!(matches!(
        last(&outcome),
        RequestState::Completed(Completion::Rejected { retry_elsewhere: false, .. })
    ));
}

#[test]
fn a_try_that_waits_for_the_rest_of_its_limit_tells_its_age() {
    let mut backend = started(config());
    (0..20).for_each(|_| assert_eq!(backend.waited_before(0, 1500.0), 0.0));
    assert_eq!(backend.waited_before(0, 2600.0), 400.0);
    (0..2).for_each(|_| assert!(backend.waited_before(0, 2600.0) > 0.0));
    assert_eq!(backend.waited_before(0, 2600.0), 0.0);
    assert_eq!(backend.waited_before(1, 2600.0), 0.0);
}

#[test]
fn a_lone_run_that_seems_too_late_is_tried_but_not_beside_others() {
    let slow = |backend: &mut Backend| {
        let row = &mut backend.classes[1];
        (row.runs, row.core_ms) = (5.0, 5.0 * 5000.0);
    };
    let mut alone = running(0);
    slow(&mut alone);
    assert_eq!(last(&alone.handle_request(0.0, arrival(1, 1))), RequestState::Running);
    let mut crowded = running(1);
    slow(&mut crowded);
    assert!(dismissed(&crowded.handle_request(0.0, arrival(1, 1))));
}

#[test]
fn arrivals_that_lie_unread_shrink_the_crowd() {
    let mut backend = running(0);
    let row = &mut backend.classes[1];
    (row.runs, row.core_ms, row.tally) = (10.0, 10.0 * 200.0, 10.0);
    let before = backend.load_quotas().1;
    backend.unread_ms = 150.0;
    assert!(backend.load_quotas().1 < before);
}

#[test]
fn the_longer_arrivals_lie_unread_the_later_a_dismissed_one_comes_back() {
    let mut backend = running(10);
    (backend.unread_ms, backend.ease) = (500.0, 0.0);
    let outcome = backend.handle_request(0.0, arrival(1, 1));
    let completion = Completion::Rejected { retry_after_ms: 750.0, retry_elsewhere: false };
    assert_eq!(last(&outcome), RequestState::Completed(completion));
}

#[test]
fn what_runs_is_answered_and_stopped_at_its_contract_time() {
    let mut backend = running(1);
    let outcome = backend.handle_timeout(1000.0, Timer::Deadline, Gauges::default());
    assert!(matches!(
        last(&outcome),
        RequestState::Answered { completion: Completion::Rejected { .. }, cancel: true }
    ));
    assert!(matches!(
        last(&backend.handle_run_ended(1001.0, 1000, RunOutcome::Cancelled)),
        RequestState::Completed(_)
    ));
    assert!(backend.hand.invocations.is_empty() && backend.hand.memory_kb == 0.0);
}

#[test]
fn ticketed_and_exclusive_runs_are_scrapped_at_the_hard_limit_and_never_stopped() {
    for class in [2, 3] {
        let mut backend = started(config());
        backend.handle_request(0.0, arrival(1, class));
        assert!(backend.handle_timeout(2999.0, Timer::Deadline, Gauges::default()).transitions.is_empty());
        let outcome = backend.handle_timeout(3000.0, Timer::Deadline, Gauges::default());
        assert_eq!(last(&outcome), RequestState::Answered { completion: Completion::Failed, cancel: false });
    }
}

#[test]
fn where_nothing_can_be_stopped_no_stop_is_asked_for() {
    let mut backend = running(1);
    backend.config.cancellation = Cancellation::Unsupported;
    let outcome = backend.handle_timeout(1000.0, Timer::Deadline, Gauges::default());
    assert!(matches!(last(&outcome), RequestState::Answered { cancel: false, .. }));
}

#[test]
fn work_that_did_not_stop_is_told_again() {
    let mut backend = running(1);
    backend.handle_timeout(1000.0, Timer::Deadline, Gauges::default());
    let outcome = backend.handle_timeout(1100.0, Timer::Periodic, Gauges::default());
    assert!(matches!(last(&outcome), RequestState::Answered { cancel: true, .. }));
}

#[test]
fn without_a_deadline_the_hard_limit_counts_from_the_arrival() {
    let mut backend = started(config());
    let told_none = Request { deadline_ms: None, unread_ms: 200.0, ..arrival(1, 3) };
    let outcome = backend.handle_request(300.0, told_none);
    assert!(outcome.announcements.timers.contains(&(2800.0, Timer::Deadline)));
}

#[test]
fn a_ticketed_invocation_is_remembered_and_its_repeat_joins_it() {
    let mut backend = started(config());
    let first = backend.handle_request(0.0, arrival(1, 2));
    assert!(first.transitions.iter().any(|c| c.retain_ms == Some(5000.0)));
    assert_eq!(last(&first), RequestState::Running);
    let repeat = backend.handle_request(10.0, Request { duplicate_of: Some(1), ..arrival(2, 2) });
    assert_eq!(last(&repeat), RequestState::Joined);
    let answered = backend.handle_run_ended(20.0, 2, RunOutcome::Completed);
    assert_eq!(last(&answered), RequestState::Completed(Completion::Succeeded));
    let overdue = Request { duplicate_of: Some(1), deadline_ms: Some(30.0), ..arrival(3, 2) };
    backend.handle_request(25.0, overdue);
    let outcome = backend.handle_timeout(30.0, Timer::Deadline, Gauges::default());
    assert_eq!(last(&outcome), RequestState::Completed(Completion::Failed));
}

#[test]
fn reads_share_answers_only_where_told() {
    let read = Request { key: 9, ..arrival(1, 0) };
    let mut shares = started(BackendConfig { shared_response_ms: 500.0, ..config() });
    assert!(shares.handle_request(0.0, read).transitions.iter().any(|c| c.retain_ms.is_some()));
    assert!(started(config()).handle_request(0.0, read).transitions.iter().all(|c| c.retain_ms.is_none()));
}

#[test]
fn nothing_past_the_grace_is_run_and_all_is_answered_before_the_stop() {
    let mut backend = started(config());
    backend.handle_request(0.0, arrival(1, 3));
    let outcome = backend.handle_drain_notice(100.0, 100.0, 2000.0);
    // What comes inside the grace is served, so callers are sent away only when it is nearly over.
    assert_eq!(outcome.announcements.ready, None);
    let outcome = backend.handle_timeout(350.0, Timer::Periodic, Gauges::default());
    assert_eq!((outcome.announcements.ready, outcome.announcements.backpressure), (Some(false), Some(1.0)));
    assert_eq!(last(&backend.handle_request(600.0, arrival(2, 1))), RequestState::Running);
    assert!(dismissed(&backend.handle_request(650.0, Request { unread_ms: 40.0, ..arrival(3, 1) })));
    let outcome = backend.handle_timeout(1960.0, Timer::Deadline, Gauges::default());
    assert_eq!(outcome.transitions.len(), 2);
    assert!(backend.ids_of(|i| !matches!(i.state, RequestState::Answered { .. })).is_empty());
}

#[test]
fn a_notice_that_came_late_to_a_crowded_process_leaves_time_to_answer_before_the_stop() {
    // The stop as the process knows it, and by when all is answered: 0.11 s late was seen with 3.1 s to go.
    for (stopped_at, answered_by) in [(3200.0, 3050.0), (10_100.0, 9950.0), (1100.0, 1050.0), (400.0, 360.0)]
    {
        let mut backend = started(config());
        backend.handle_request(0.0, Request { deadline_ms: None, ..arrival(1, 3) });
        backend.handle_drain_notice(100.0, 100.0, stopped_at);
        let due = f64::from_bits(backend.hand.due.first().expect("one is open").0);
        assert!(due <= answered_by, "{due} of {stopped_at}");
        backend.handle_timeout(answered_by, Timer::Deadline, Gauges::default());
        assert!(
            backend.ids_of(|i| !matches!(i.state, RequestState::Answered { .. })).is_empty(),
            "{stopped_at}"
        );
    }
}

#[test]
fn memory_is_never_filled() {
    let mut backend = started(BackendConfig { memory_kb: 400.0, ..config() });
    for id in 1..40 {
        backend.handle_request(0.0, arrival(id, 2));
        let repeat = Request { duplicate_of: Some(1), memory_kb: 30.0, ..arrival(100 + id, 2) };
        backend.handle_request(0.0, repeat);
    }
    assert!(backend.memory_share() < 1.0 && backend.hand.on_core > 0);
}

#[test]
fn calls_in_hand_stay_under_the_told_share_with_those_that_linger() {
    let mut backend = running(4);
    (1000..1004).for_each(|id| drop(backend.handle_call_requested(1.0, id)));
    assert_eq!((backend.hand.calls_out, backend.hand.at_call), (2, 4));
    backend.handle_client_gone(2.0, 1000);
    assert_eq!((backend.hand.calls_out, backend.hand.lingering.len()), (1, 1));
}

#[test]
fn a_call_is_repeated_only_where_that_does_no_harm() {
    let mut backend = started(config());
    for (id, class) in [(1, 0), (2, 3), (3, 3)] {
        backend.handle_request(0.0, arrival(id, class));
        backend.change(id, RequestState::Calling { timeout_ms: 10.0 });
    }
    backend.out = Effects::default();
    assert_eq!(last(&backend.handle_call_ended(1.0, 1, CallOutcome::Unknown)), RequestState::AwaitingCall);
    assert_eq!(
        last(&backend.handle_call_ended(1.0, 2, CallOutcome::NotExecuted)),
        RequestState::AwaitingCall
    );
    let scrapped = RequestState::Answered { completion: Completion::Failed, cancel: false };
    assert_eq!(last(&backend.handle_call_ended(1.0, 3, CallOutcome::ConnectionLost)), scrapped);
}

#[test]
fn calls_pause_after_a_failure_and_shrink() {
    let mut backend = running(1);
    backend.handle_call_requested(0.0, 1000);
    let most = backend.calls_most;
    let outcome = backend.handle_call_ended(1.0, 1000, CallOutcome::NotExecuted);
    assert_eq!(last(&outcome), RequestState::AwaitingCall);
    assert!(backend.calls_most < most);
    let outcome = backend.handle_timeout(100.0, Timer::Periodic, Gauges::default());
    assert!(matches!(last(&outcome), RequestState::Calling { .. }));
    // One that was lost on its way says nothing of what lies below, so there is no pause: its run calls again at once
    // where the share has room beside the lost one, which may linger, and else when that is over.
    backend.calls_most = 2.0;
    let outcome = backend.handle_call_ended(101.0, 1000, CallOutcome::ConnectionLost);
    assert_eq!(last(&outcome), RequestState::AwaitingCall);
    assert!(backend.handle_timeout(250.0, Timer::Periodic, Gauges::default()).transitions.is_empty());
    let outcome = backend.handle_timeout(302.0, Timer::Periodic, Gauges::default());
    assert!(matches!(last(&outcome), RequestState::Calling { .. }));
    backend.calls_most = 3.0;
    let outcome = backend.handle_call_ended(303.0, 1000, CallOutcome::ConnectionLost);
    assert!(matches!(last(&outcome), RequestState::Calling { .. }));
}

#[test]
fn calls_that_differ_by_themselves_keep_their_room_and_a_slower_mean_takes_it() {
    let mut backend = started(BackendConfig { dependency_share: Some(12.0), ..config() });
    for took_ms in [1.0, 20.0, 150.0, 40.0].repeat(40) {
        backend.learn_call(took_ms, CallOutcome::Completed);
    }
    assert!(backend.calls_most > 0.9 * backend.dependency_share);
    // A spell of quick ones is not the least that calls can take.
    for took_ms in [vec![1.0; 10], vec![60.0; 6]].concat().repeat(10) {
        backend.learn_call(took_ms, CallOutcome::Completed);
    }
    assert!(backend.calls_most > 0.9 * backend.dependency_share);
    (0..60).for_each(|_| backend.learn_call(400.0, CallOutcome::Completed));
    // No fewer than a quarter: those would not be quicker, and what stands at its call would expire there.
    assert_eq!(backend.calls_most, 0.25 * backend.dependency_share);
    (0..60).for_each(|_| backend.learn_call(400.0, CallOutcome::Unknown));
    assert_eq!(backend.calls_most, 0.25 * backend.dependency_share);
}

#[test]
fn a_share_under_one_call_is_kept_by_rests() {
    let mut backend = started(BackendConfig { dependency_share: Some(0.5), ..config() });
    backend.handle_request(0.0, arrival(1, 1));
    assert!(matches!(last(&backend.handle_call_requested(0.0, 1)), RequestState::Calling { .. }));
    backend.handle_call_ended(100.0, 1, CallOutcome::Completed);
    assert_eq!(last(&backend.handle_call_requested(150.0, 1)), RequestState::AwaitingCall);
    assert!(backend.handle_timeout(210.0, Timer::Periodic, Gauges::default()).transitions.is_empty());
    let outcome = backend.handle_timeout(230.0, Timer::Periodic, Gauges::default());
    assert!(matches!(last(&outcome), RequestState::Calling { .. }));
}

#[test]
fn a_call_that_was_given_up_is_rested_for_with_the_time_that_it_lingers() {
    let mut backend = started(BackendConfig { dependency_share: Some(0.5), ..config() });
    backend.handle_request(0.0, arrival(1, 1));
    backend.handle_call_requested(0.0, 1);
    backend.handle_client_gone(300.0, 1);
    let rest_ms = backend.calls_after - 300.0;
    assert!((rest_ms - 500.0 * (1.0 / (CALLS_OF_SHARE * 0.5) - 1.0)).abs() < 1e-6);
    backend.handle_request(500.0, Request { deadline_ms: Some(3500.0), ..arrival(2, 1) });
    assert_eq!(last(&backend.handle_call_requested(600.0, 2)), RequestState::AwaitingCall);
}

#[test]
fn a_call_that_may_be_left_out_is_skipped_when_it_fails() {
    let mut backend = running(1);
    backend.classes[1].terms.skipped_call_value_fraction = 0.5;
    backend.handle_call_requested(0.0, 1000);
    assert_eq!(last(&backend.handle_call_ended(1.0, 1000, CallOutcome::Abandoned)), RequestState::Running);
}

#[test]
fn those_at_calls_have_a_bound_of_their_own() {
    let mut backend = running(6);
    (1000..1006).for_each(|id| backend.change(id, RequestState::AwaitingCall));
    assert_eq!(backend.load(), 0.0);
    assert_eq!(backend.part_let_in(), 0.0);
}

#[test]
fn idle_cores_cut_for_those_at_calls_later_but_by_steps_and_at_the_same_bound() {
    let standing = |count: u32, busy: f64| {
        let mut backend = running(count);
        backend.busy = busy;
        (1000..1000 + count).for_each(|id| backend.change(id, RequestState::AwaitingCall));
        backend.part_let_in()
    };
    assert!(standing(3, 0.95) < 1.0);
    assert_eq!(standing(3, 0.5), 1.0);
    assert!((0.01..0.99).contains(&standing(5, 0.5)));
    assert_eq!(standing(6, 0.5), 0.0);
}

#[test]
fn runs_that_are_given_up_one_after_the_other_make_a_backend_stay_away() {
    let mut backend = running(20);
    let outcome = backend.handle_timeout(1000.0, Timer::Deadline, Gauges::default());
    assert_eq!(outcome.transitions.len(), 20);
    let outcome = backend.handle_timeout(1001.0, Timer::Periodic, Gauges::default());
    assert_eq!((outcome.announcements.ready, outcome.announcements.backpressure), (Some(false), Some(1.0)));
    (1..40).for_each(|id| {
        backend.take_in(&arrival(id, 1));
        backend.change(id, RequestState::Running);
        drop(backend.handle_run_ended(1002.0, id, RunOutcome::Completed));
    });
    assert_eq!(
        backend.handle_timeout(1003.0, Timer::Periodic, Gauges::default()).announcements.ready,
        Some(true)
    );
}

#[test]
fn idle_connections_go_where_their_callers_seldom_come_back() {
    let idle = |client_count: f64| {
        let mut backend = started(BackendConfig { client_count, ..config() });
        backend.classes[1].tally = 20.0;
        (0..50).for_each(|_| backend.keep_idle());
        backend.idle_ms
    };
    assert_eq!(idle(2.0), 30_000.0);
    assert!(idle(1000.0) < 2000.0);
}

#[test]
fn connections_stay_while_readings_and_new_connections_crowd_the_cores() {
    let mut backend = running(2);
    (backend.config.client_count, backend.idle_ms, backend.idle_told) = (1000.0, 500.0, 500.0);
    let crowd = Gauges { cores_busy: Some(1.0), runnable: Some(22.0) };
    let told: Vec<Option<f64>> = (1..30)
        .map(|n| backend.handle_timeout(f64::from(n), Timer::Periodic, crowd).announcements.idle_timeout_ms)
        .collect();
    assert!(backend.idle_ms > 10_000.0 && told.iter().flatten().is_sorted());
    assert!(told.iter().flatten().count() > 3);
}

#[test]
fn a_window_shared_by_many_callers_lets_each_have_one_here() {
    let told = |client_count: f64| {
        let advice = BackpressureSignal::ConcurrencyPerClient;
        let mut backend = started(BackendConfig { backpressure: advice, client_count, ..config() });
        backend.handle_timeout(100.0, Timer::Periodic, Gauges::default()).announcements.backpressure
    };
    assert!(told(2.0) > Some(1.0));
    assert_eq!(told(500.0), Some(1.0));
}

#[test]
fn health_checks_fail_while_little_is_let_in_but_not_where_the_list_follows_them() {
    let ready = |discovery_follows_health: bool| {
        let mut backend = started(BackendConfig { discovery_follows_health, ..config() });
        backend.ease = 0.1;
        backend.handle_timeout(100.0, Timer::Periodic, Gauges::default()).announcements.ready
    };
    assert_eq!((ready(false), ready(true)), (Some(false), None));
}

#[test]
fn only_what_the_cut_of_late_mostly_keeps_is_sent_on() {
    let mut backend = running(10);
    (backend.ease, backend.tallies) = (0.5, vec![0.0, 0.0, 8.0, 2.0]);
    let sent_on = |outcome: &Effects| {
        let RequestState::Completed(Completion::Rejected { retry_elsewhere, .. }) = last(outcome) else {
            panic!()
        };
        retry_elsewhere
    };
    assert!(!sent_on(&backend.handle_request(0.0, arrival(1, 0))));
    assert!(sent_on(&backend.handle_request(0.0, arrival(2, 1))));
}

#[test]
fn a_backend_that_fails_fast_tells_callers_and_leaves_its_errors_to_their_breakers() {
    let mut backend = running(20);
    (1000..1020).for_each(|id| drop(backend.handle_run_ended(10.0, id, RunOutcome::Failed)));
    let outcome = backend.handle_timeout(20.0, Timer::Periodic, Gauges::default());
    assert_eq!((outcome.announcements.ready, outcome.announcements.backpressure), (Some(false), Some(1.0)));
    assert_eq!(last(&backend.handle_request(30.0, arrival(1, 1))), RequestState::Running);
}

#[test]
fn a_run_that_was_given_up_teaches_that_runs_are_long() {
    let mut backend = running(1);
    backend.handle_timeout(1000.0, Timer::Deadline, Gauges::default());
    assert_eq!((backend.classes[1].runs, backend.classes[1].core_ms), (1.0, 1000.0));
}

#[test]
fn a_superseded_wake_arms_no_other() {
    let mut backend = started(config());
    backend.handle_request(0.0, arrival(1, 3));
    backend.handle_request(0.0, Request { deadline_ms: Some(500.0), ..arrival(2, 3) });
    let due =
        |outcome: Effects| outcome.announcements.timers.iter().filter(|w| w.1 == Timer::Deadline).count();
    assert_eq!(due(backend.handle_timeout(500.0, Timer::Deadline, Gauges::default())), 1);
    assert_eq!(due(backend.handle_timeout(700.0, Timer::Deadline, Gauges::default())), 0);
}

#[test]
fn advice_follows_its_meaning() {
    let said = |advice, ease| {
        let mut backend = started(BackendConfig { backpressure: advice, ..config() });
        backend.tallies = vec![0.0, 0.0, 50.0, 50.0];
        backend.ease = ease;
        backend.advise();
        backend.out.announcements.backpressure
    };
    assert_eq!(said(BackpressureSignal::None, 0.4), None);
    assert!(said(BackpressureSignal::MinimumPriority, 0.5).is_some_and(|level| (level - 0.25).abs() < 1e-9));
    assert!(said(BackpressureSignal::MinimumPriority, 0.4).is_some_and(|level| level > 0.25));
    assert!(said(BackpressureSignal::MinimumPriority, 0.9).is_some_and(|level| level > 0.0 && level < 0.25));
    assert_eq!(said(BackpressureSignal::MinimumPriority, 1.0), Some(0.0));
    assert_eq!(said(BackpressureSignal::ConcurrencyPerClient, 1.0), Some(5.0));
    assert!(said(BackpressureSignal::RateFraction, 0.4).is_some_and(|share| share < 1.0));
}

#[test]
fn the_same_events_give_the_same_results() {
    let day = || {
        let mut backend = started(config());
        let mut all = Vec::new();
        for step in 0..200u32 {
            let now = f64::from(step) * 10.0;
            let due = Some(now + 900.0);
            let new = Request { deadline_ms: due, ..arrival(step + 1, step as usize % 4) };
            all.push(backend.handle_request(now, new));
            all.push(backend.handle_run_ended(now, step / 2, RunOutcome::Completed));
            all.push(backend.handle_timeout(now, Timer::Periodic, Gauges::default()));
        }
        all
    };
    assert_eq!(day(), day());
}

/// What waits stands in an order of its own; it has to be the one that looking through all would give.
#[test]
fn what_waits_stands_in_order_under_any_turn_of_events() {
    let mut backend = started(BackendConfig { dependency_share: Some(2.0), cores: 1.0, ..config() });
    let mut chance = Pcg(99);
    let mut next = 1;
    for step in 0..4000u32 {
        let now = f64::from(step) * 3.0;
        let ids: Vec<u32> = backend.hand.invocations.keys().copied().collect();
        let one = ids.get((chance.next() * ids.len() as f64) as usize).copied().unwrap_or(0);
        match (chance.next() * 8.0) as u32 {
            0..=2 => {
                let class = (chance.next() * 4.0) as usize;
                let deadline_ms = Some(now + 50.0 + 900.0 * chance.next());
                drop(backend.handle_request(now, Request { deadline_ms, ..arrival(next, class) }));
                next += 1;
            }
            3 => drop(backend.handle_call_requested(now, one)),
            4 => drop(backend.handle_call_ended(now, one, CallOutcome::NotExecuted)),
            5 => drop(backend.handle_call_ended(now, one, CallOutcome::Completed)),
            6 => drop(backend.handle_run_ended(now, one, RunOutcome::Completed)),
            _ if step == 3500 => drop(backend.handle_drain_notice(now, now, now + 400.0)),
            _ => drop(backend.handle_timeout(now, Timer::Periodic, Gauges::default())),
        }
        for (state, order) in
            [(RequestState::Queued, &backend.hand.held), (RequestState::AwaitingCall, &backend.hand.wanting)]
        {
            let value = |i: &Invocation| backend.classes[i.class].terms.value;
            let waiting = backend.hand.invocations.iter().filter(|(_, i)| i.state == state);
            assert_eq!(waiting.clone().count(), order.len());
            let first =
                waiting.max_by(|(_, a), (_, b)| value(a).total_cmp(&value(b)).then(b.due.total_cmp(&a.due)));
            assert_eq!(first.map(|(id, _)| *id), order.last().map(|(_, _, id)| *id), "step {step}");
        }
        let stopping = |i: &Invocation| matches!(i.state, RequestState::Answered { cancel: true, .. });
        assert_eq!(backend.ids_of(stopping), backend.hand.stopping.iter().copied().collect::<Vec<_>>());
    }
    assert!(next > 1000);
}

/// The first offering in one pool, the others in another.
fn two_pools(kept: f64, runs: f64, calls: f64) -> Option<Bulkheads> {
    let wide = BulkheadCapacity { reserved_runs: 0.0, max_runs: 100.0, max_calls: 100.0 };
    Some(Bulkheads {
        bulkhead_of_class: vec![0, 1, 1, 1],
        capacities: vec![BulkheadCapacity { reserved_runs: kept, max_runs: runs, max_calls: calls }, wide],
    })
}

fn let_in(outcome: &Effects, id: u32) -> bool {
    outcome.transitions.iter().any(|change| change.id == id && change.to == RequestState::Running)
}

#[test]
fn a_full_pool_is_cut_wholly_and_the_others_are_not() {
    let mut backend = started(config());
    backend.update_bulkheads(1.0, two_pools(0.0, 2.0, 9.0));
    let told: Vec<bool> = (0..4).map(|id| let_in(&backend.handle_request(2.0, arrival(id, 0)), id)).collect();
    assert_eq!(told, [true, true, false, false]);
    assert!(let_in(&backend.handle_request(2.0, arrival(9, 1)), 9));
    backend.handle_run_ended(3.0, 0, RunOutcome::Completed);
    assert!(let_in(&backend.handle_request(4.0, arrival(10, 0)), 10));
}

#[test]
fn what_is_kept_for_a_pool_is_let_in_under_the_cut_while_the_crowd_holds() {
    // Above the soft quota and under the hard one the lowest are cut.
    let crowd = (1..40).find(|count| (0.05..0.5).contains(&running(*count).part_let_in())).expect("a cut");
    let tries = |pools: Option<Bulkheads>| {
        let mut backend = running(crowd);
        // Most of what comes is dear, so the cut takes all of the cheap.
        let dear = backend.buckets + backend.classes[1].bucket;
        backend.tallies[dear] = 100.0;
        backend.update_bulkheads(1.0, pools);
        (0..5).filter(|id| let_in(&backend.handle_request(2.0, arrival(*id, 0)), *id)).count()
    };
    assert_eq!((tries(None), tries(two_pools(2.0, 50.0, 9.0))), (0, 2));
    let mut full = running(200);
    full.update_bulkheads(1.0, two_pools(2.0, 50.0, 9.0));
    assert!(!let_in(&full.handle_request(2.0, arrival(1, 0)), 1));
}

#[test]
fn a_pool_whose_calls_are_full_waits_and_holds_up_no_other() {
    let mut backend = started(BackendConfig { dependency_share: Some(50.0), ..config() });
    let dear_full = Bulkheads {
        bulkhead_of_class: vec![0, 1, 1, 1],
        capacities: vec![
            BulkheadCapacity { reserved_runs: 0.0, max_runs: 100.0, max_calls: 100.0 },
            BulkheadCapacity { reserved_runs: 0.0, max_runs: 100.0, max_calls: 1.0 },
        ],
    };
    backend.update_bulkheads(1.0, Some(dear_full));
    for (id, class) in [(1, 3), (2, 3), (3, 0)] {
        backend.handle_request(2.0, arrival(id, class));
    }
    (1..=3).for_each(|id| drop(backend.handle_call_requested(3.0, id)));
    // What comes to it now would only wait behind them.
    assert!(!let_in(&backend.handle_request(3.0, arrival(4, 3)), 4));
    let calling =
        |backend: &Backend, id: u32| matches!(backend.state(id), Some(RequestState::Calling { .. }));
    assert_eq!([1, 2, 3].map(|id| calling(&backend, id)), [true, false, true]);
    backend.handle_call_ended(4.0, 1, CallOutcome::Completed);
    assert!(calling(&backend, 2));
}

#[test]
fn counts_of_pools_follow_every_change_and_pools_taken_away_leave_the_design() {
    let mut backend = started(config());
    let mut chance = Pcg(5);
    for step in 0..3000u32 {
        let now = f64::from(step) * 4.0;
        let ids: Vec<u32> = backend.hand.invocations.keys().copied().collect();
        let one = ids.get((chance.next() * ids.len() as f64) as usize).copied().unwrap_or(0);
        match (chance.next() * 7.0) as u32 {
            0 | 1 => drop(backend.handle_request(now, arrival(step + 1, (chance.next() * 4.0) as usize))),
            2 => drop(backend.handle_call_requested(now, one)),
            3 => drop(backend.handle_call_ended(now, one, CallOutcome::Completed)),
            4 => drop(backend.handle_run_ended(now, one, RunOutcome::Completed)),
            5 => drop(backend.handle_timeout(now, Timer::Periodic, Gauges::default())),
            _ if step % 3 == 0 => drop(backend.update_bulkheads(now, two_pools(1.0, 5.0, 2.0))),
            _ if step % 50 == 1 => drop(backend.update_bulkheads(now, None)),
            _ => {}
        }
        let Some(pools) = &backend.pools else { continue };
        let mut counted = vec![(0, 0); 2];
        for invocation in backend.hand.invocations.values() {
            match invocation.state {
                RequestState::Calling { .. } => counted[pools.bulkhead_of_class[invocation.class]].1 += 1,
                RequestState::Running | RequestState::AwaitingCall | RequestState::Answered { .. } => {
                    counted[pools.bulkhead_of_class[invocation.class]].0 += 1;
                }
                _ => {}
            }
        }
        assert_eq!(counted, backend.hand.pooled, "step {step}");
    }
}

/// The finer step is for windows that are parts of a try; what callers take for a rank or a share is told as seldom as ever.
#[test]
fn only_windows_under_one_are_told_anew_in_finer_steps() {
    let told_after = |advice, advised: f64, ease: f64| {
        let mut backend = started(BackendConfig {
            backpressure: advice,
            client_count: 500.0,
            cold_start: true,
            ..config()
        });
        (backend.advised, backend.ease, backend.now) = (advised, ease, 8000.0);
        backend.out = Effects::default();
        backend.advise();
        backend.out.announcements.backpressure
    };
    assert_eq!(told_after(BackpressureSignal::RateFraction, 0.5, 0.485), None);
    assert_eq!(told_after(BackpressureSignal::RateFraction, 0.5, 0.47), Some(0.47));
    let mut cold = started(BackendConfig {
        backpressure: BackpressureSignal::ConcurrencyPerClient,
        client_count: 500.0,
        cold_start: true,
        ..config()
    });
    cold.advised = 0.02;
    cold.advise();
    assert!(cold.out.announcements.backpressure.is_some_and(|each| each < 0.02));
}

/// Every tally of a tenant faded at every arrival, as a reference.
struct Eager {
    tallies: Vec<f64>,
    at: f64,
}

impl Eager {
    fn pass_to(&mut self, now: f64) {
        let fade = 0.5f64.powf((now - self.at) / TALLY_HALF_MS);
        self.tallies.iter_mut().for_each(|tally| *tally *= fade);
        self.at = now;
    }
}

#[test]
fn tenants_that_fade_when_asked_for_are_judged_as_if_all_faded_at_each_arrival() {
    const TENANTS: usize = 300;
    const LATE: usize = 20;
    for seed in 1..=4 {
        let mut chance = Pcg(seed);
        let quotas: Vec<f64> = (0..TENANTS).map(|_| 40.0 * chance.next()).collect();
        let mut backend = started(BackendConfig { tenant_quotas_per_s: quotas.clone(), ..config() });
        let mut eager = Eager { tallies: vec![0.0; TENANTS], at: 0.0 };
        let (mut now, mut over, mut inside, mut refused) = (0.0, 0, 0, 0);
        for step in 1..=10_000u32 {
            now += match (chance.next() * 1000.0) as u32 {
                0 => 3_600_000.0 * chance.next(),
                1..=5 => 5000.0 * chance.next(),
                6..=300 => 0.0,
                _ => 10.0 * chance.next(),
            };
            // The last few tenants are first seen when the others have been for long.
            let known = if step > 7000 { TENANTS } else { TENANTS - LATE };
            let tenant = (chance.next().powi(4) * known as f64) as usize;
            let tenant =
                if step > 7000 && step % 3 == 0 { TENANTS - 1 - step as usize % LATE } else { tenant };
            // One whose time is over is turned away before its tenant counts.
            let deadline_ms = (step % 10 == 0).then_some(now);
            // The lower half of the order is for those over quota.
            let cut_first = backend.tallies[..2].iter().sum::<f64>() * fade(now - backend.tally_time);
            let outcome = backend.handle_request(now, Request { tenant, deadline_ms, ..arrival(step, 3) });
            eager.pass_to(now);
            let tally = eager.tallies[tenant];
            if deadline_ms.is_some() {
                assert!(dismissed(&outcome));
                refused += 1;
            } else {
                assert!(let_in(&outcome, step), "step {step}");
                let quota = quotas[tenant] / backend.config.fleet_size;
                let per_s = tally * 1000.0 * std::f64::consts::LN_2 / TALLY_HALF_MS;
                // Nearer than this the two may round to different sides.
                if (per_s - quota).abs() > 1e-9 {
                    let was_over = backend.tallies[..2].iter().sum::<f64>() > cut_first + 0.5;
                    assert_eq!(was_over, per_s > quota, "seed {seed}, step {step}, tenant {tenant}");
                    over += u32::from(was_over);
                    inside += u32::from(!was_over);
                }
                eager.tallies[tenant] += 1.0;
                drop(backend.handle_run_ended(now, step, RunOutcome::Completed));
            }
            for (known, tally) in backend.tenants.iter().zip(&eager.tallies) {
                assert!(
                    (known.faded(now) - tally).abs() <= 1e-9 * tally.max(1e-3),
                    "seed {seed}, step {step}"
                );
            }
        }
        assert!(over > 1000 && inside > 1000 && refused > 900, "{over} {inside} {refused}");
    }
}

#[test]
fn an_arrival_touches_no_other_tenant_than_its_own() {
    let mut backend = started(BackendConfig { tenant_quotas_per_s: vec![1e6; 5], ..config() });
    for tenant in 0..5 {
        drop(backend.handle_request(0.0, Request { tenant, ..arrival(1 + tenant as u32, 0) }));
    }
    let before = backend.tenants.clone();
    drop(backend.handle_request(700.0, Request { tenant: 2, ..arrival(9, 0) }));
    let touched: Vec<usize> = (0..5).filter(|place| backend.tenants[*place] != before[*place]).collect();
    assert_eq!(touched, [2]);
}

#[test]
fn quotas_told_while_it_serves_judge_what_comes_next_against_the_tallies_as_they_stand() {
    let mut backend = started(BackendConfig { tenant_quotas_per_s: vec![1e6, 1e6], ..config() });
    for id in 1..=8 {
        drop(backend.handle_request(100.0, arrival(id, 0)));
        drop(backend.handle_run_ended(100.0, id, RunOutcome::Completed));
    }
    // Eight of late are 2.77 a second here, so 11.09 over the four servers that share a quota.
    assert!(!backend.tenant_over_quota(0));
    let told = backend.update_tenant_quotas(100.0, &[(0, 11.0)]);
    assert!(told.announcements.notes.is_empty() && told.transitions.is_empty());
    assert!(backend.tenant_over_quota(0) && !backend.tenant_over_quota(1));
    assert_eq!(backend.tenants[0].faded(100.0), 8.0);
    let judged = |backend: &mut Backend, now, id| {
        let before = backend.tallies[0] * fade(now - backend.tally_time);
        drop(backend.handle_request(now, Request { deadline_ms: None, ..arrival(id, 0) }));
        drop(backend.handle_run_ended(now, id, RunOutcome::Completed));
        backend.tallies[0] > before + 0.5
    };
    assert!(judged(&mut backend, 100.0, 20));
    drop(backend.update_tenant_quotas(100.0, &[(0, 13.0), (1, 0.0)]));
    assert!(!judged(&mut backend, 100.0, 21));
    // The tally faded on through the change: ten of late are five after one half-life.
    drop(backend.update_tenant_quotas(100.0 + TALLY_HALF_MS, &[(0, 7.0)]));
    assert!((backend.tenants[0].faded(100.0 + TALLY_HALF_MS) - 5.0).abs() < 1e-9);
    assert!(!judged(&mut backend, 100.0 + TALLY_HALF_MS, 22));
    assert!(judged(&mut backend, 100.0 + TALLY_HALF_MS, 23));
}

#[test]
fn quotas_that_can_not_be_change_nothing_and_are_named() {
    let mut backend = started(BackendConfig { tenant_quotas_per_s: vec![40.0, 50.0], ..config() });
    drop(backend.update_tenant_quotas(5.0, &[]));
    let bad =
        [(2, 1.0), (usize::MAX, 1.0), (1, f64::NAN), (1, f64::INFINITY), (1, -1.0), (0, f64::NEG_INFINITY)];
    for (place, quota) in bad {
        for changed in [vec![(place, quota)], vec![(0, 1.0), (place, quota), (1, 2.0)]] {
            let notes = backend.update_tenant_quotas(5.0, &changed).announcements.notes;
            assert_eq!(backend.config.tenant_quotas_per_s, [40.0, 50.0]);
            let named =
                |note: &String| note.contains(&place.to_string()) && note.contains(&quota.to_string());
            assert!(notes.len() == 1 && notes.iter().all(named), "{notes:?}");
        }
    }
    assert!(backend.update_tenant_quotas(5.0, &[(0, 0.0), (1, f64::MAX)]).announcements.notes.is_empty());
    assert_eq!(backend.config.tenant_quotas_per_s, [0.0, f64::MAX]);
    // Without tenants there is nothing that could change.
    assert_eq!(started(config()).update_tenant_quotas(5.0, &[(0, 1.0)]).announcements.notes.len(), 1);
}

#[test]
fn a_due_time_that_passes_as_quotas_are_told_is_kept() {
    let mut backend = started(BackendConfig { tenant_quotas_per_s: vec![40.0], ..config() });
    drop(backend.handle_request(0.0, Request { deadline_ms: Some(50.0), ..arrival(1, 0) }));
    let outcome = backend.update_tenant_quotas(60.0, &[(0, 30.0)]);
    assert!(
        matches!(last(&outcome), RequestState::Answered { completion: Completion::Rejected { .. }, .. }),
        "{outcome:?}"
    );
}
