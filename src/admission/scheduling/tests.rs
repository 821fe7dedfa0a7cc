use super::*;
use crate::admission::random::Pcg32;
use crate::admission::request::InFlightRequest;
use crate::admission::test_support::{config, request, start_backend};
use crate::api::{BackendConfig, CallOutcome, Gauges, Request, RunOutcome, Timer};

/// Compares the ordered sets with a scan of all requests.
#[test]
fn scheduling_order_matches_a_scan_after_every_event() {
    let mut backend = start_backend(BackendConfig { dependency_share: Some(2.0), cores: 1.0, ..config() });
    let mut random = Pcg32::new(99);
    let mut next = 1;
    for step in 0..4000u32 {
        let now_ms = f64::from(step) * 3.0;
        let ids: Vec<u32> = backend.requests.iter().map(|(id, _)| id).collect();
        let id = ids.get((random.next_fraction() * ids.len() as f64) as usize).copied().unwrap_or(0);
        match (random.next_fraction() * 8.0) as u32 {
            0..=2 => {
                let class = (random.next_fraction() * 4.0) as usize;
                let deadline_ms = Some(now_ms + 50.0 + 900.0 * random.next_fraction());
                drop(backend.handle_request(now_ms, Request { deadline_ms, ..request(next, class) }));
                next += 1;
            }
            3 => drop(backend.handle_call_requested(now_ms, id)),
            4 => drop(backend.handle_call_ended(now_ms, id, CallOutcome::NotExecuted)),
            5 => drop(backend.handle_call_ended(now_ms, id, CallOutcome::Completed)),
            6 => drop(backend.handle_run_ended(now_ms, id, RunOutcome::Completed)),
            _ if step == 3500 => drop(backend.handle_drain_notice(now_ms, now_ms, now_ms + 400.0)),
            _ => drop(backend.handle_timeout(now_ms, Timer::Periodic, Gauges::default())),
        }
        let orders = [
            (RequestState::Queued, &backend.scheduling.queued),
            (RequestState::AwaitingCall, &backend.scheduling.awaiting_call),
        ];
        for (state, order) in orders {
            let value = |request: &InFlightRequest| backend.classes[request.class()].value;
            let waiting = || backend.requests.iter().filter(|(_, request)| request.state() == state);
            assert_eq!(waiting().count(), order.len());
            let first = waiting().max_by(|(_, a), (_, b)| {
                value(a).total_cmp(&value(b)).then(b.deadline_ms().total_cmp(&a.deadline_ms()))
            });
            assert_eq!(first.map(|(id, _)| id), order.last().map(|key| key.id), "step {step}");
        }
        let is_cancelling = |request: &InFlightRequest| {
            matches!(request.state(), RequestState::Answered { cancel: true, .. })
        };
        let expected = backend.requests.iter().filter(|(_, request)| is_cancelling(request));
        let cancelling: Vec<u32> = backend.requests.cancelling().iter().map(|(id, _)| *id).collect();
        assert_eq!(expected.map(|(id, _)| id).collect::<Vec<u32>>(), cancelling);
    }
    assert!(next > 1000);
}

#[test]
fn the_highest_rank_goes_first_and_within_it_the_earliest_deadline() {
    let mut scheduling = Scheduling::default();
    for (rank, deadline_ms, id) in [(0, 10.0, 1), (1, 900.0, 2), (1, 300.0, 3)] {
        scheduling.enter(RequestState::AwaitingCall, SchedulingKey::new(rank, deadline_ms, id));
    }
    assert_eq!(scheduling.next_queued(), None);
    assert_eq!(scheduling.next_awaiting_call(|_| true), Some(3));
    assert_eq!(scheduling.next_awaiting_call(|id| id != 3), Some(2));
    scheduling.leave(RequestState::AwaitingCall, SchedulingKey::new(1, 300.0, 3));
    assert_eq!(scheduling.next_awaiting_call(|_| true), Some(2));
}
