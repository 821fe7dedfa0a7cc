use super::*;
use crate::admission::random::Pcg32;
use crate::admission::test_support::{config, is_executed, request, running, started};
use crate::admission::Backend;
use crate::api::{BackendConfig, CallOutcome, Gauges, RunOutcome, Timer};

const WIDE: BulkheadCapacity = BulkheadCapacity { reserved_runs: 0.0, max_runs: 100.0, max_calls: 100.0 };

/// The first class in one bulkhead, the others in another that bounds nothing.
fn two_bulkheads(reserved_runs: f64, max_runs: f64, max_calls: f64) -> Option<Bulkheads> {
    let narrow = BulkheadCapacity { reserved_runs, max_runs, max_calls };
    Some(Bulkheads { bulkhead_of_class: vec![0, 1, 1, 1], capacities: vec![narrow, WIDE] })
}

#[test]
fn a_full_bulkhead_sheds_all_and_the_others_nothing() {
    let mut backend = started(config());
    backend.update_bulkheads(1.0, two_bulkheads(0.0, 2.0, 9.0));
    let executed: Vec<bool> =
        (0..4).map(|id| is_executed(&backend.handle_request(2.0, request(id, 0)), id)).collect();
    assert_eq!(executed, [true, true, false, false]);
    assert!(is_executed(&backend.handle_request(2.0, request(9, 1)), 9));
    backend.handle_run_ended(3.0, 0, RunOutcome::Completed);
    assert!(is_executed(&backend.handle_request(4.0, request(10, 0)), 10));
}

#[test]
fn what_is_reserved_for_a_bulkhead_is_admitted_while_the_limits_hold() {
    // Above the soft limit and under the hard one the lowest ranks are shed.
    let admitted_fraction = |count: u32| {
        let (load, limits) = running(count).load_and_limits();
        load.admitted_fraction(&limits)
    };
    let count = (1..40).find(|count| (0.05..0.5).contains(&admitted_fraction(*count))).expect("a cut");
    let executed = |bulkheads: Option<Bulkheads>| {
        let mut backend = running(count);
        // Most of what comes is of high value, so all of the low value is shed.
        backend.shedding.set_arrivals(&[0.0, 0.0, 0.0, 100.0]);
        backend.update_bulkheads(1.0, bulkheads);
        (0..5).filter(|id| is_executed(&backend.handle_request(2.0, request(*id, 0)), *id)).count()
    };
    assert_eq!((executed(None), executed(two_bulkheads(2.0, 50.0, 9.0))), (0, 2));
    let mut full = running(200);
    full.update_bulkheads(1.0, two_bulkheads(2.0, 50.0, 9.0));
    assert!(!is_executed(&full.handle_request(2.0, request(1, 0)), 1));
}

/// The calls of one bulkhead hang. Its requests wait, and the requests of another place their calls past
/// them.
#[test]
fn a_bulkhead_whose_calls_are_full_waits_and_holds_up_no_other() {
    let mut backend = started(BackendConfig { dependency_share: Some(50.0), ..config() });
    let one_call = BulkheadCapacity { max_calls: 1.0, ..WIDE };
    let bulkheads = Bulkheads { bulkhead_of_class: vec![0, 1, 1, 1], capacities: vec![WIDE, one_call] };
    backend.update_bulkheads(1.0, Some(bulkheads));
    for (id, class) in [(1, 3), (2, 3), (3, 0)] {
        backend.handle_request(2.0, request(id, class));
    }
    (1..=3).for_each(|id| drop(backend.handle_call_requested(3.0, id)));
    // What comes to it now would only wait behind them.
    assert!(!is_executed(&backend.handle_request(3.0, request(4, 3)), 4));
    let is_calling =
        |backend: &Backend, id: u32| matches!(backend.requests.state(id), Some(RequestState::Calling { .. }));
    assert_eq!([1, 2, 3].map(|id| is_calling(&backend, id)), [true, false, true]);
    backend.handle_call_ended(4.0, 1, CallOutcome::Completed);
    assert!(is_calling(&backend, 2));
}

#[test]
fn occupancies_follow_every_change_and_without_bulkheads_none_is_kept() {
    let mut backend = started(config());
    let mut random = Pcg32::new(5);
    for step in 0..3000u32 {
        let now_ms = f64::from(step) * 4.0;
        let ids: Vec<u32> = backend.requests.iter().map(|(id, _)| id).collect();
        let id = ids.get((random.next_fraction() * ids.len() as f64) as usize).copied().unwrap_or(0);
        match (random.next_fraction() * 7.0) as u32 {
            0 | 1 => {
                let class = (random.next_fraction() * 4.0) as usize;
                drop(backend.handle_request(now_ms, request(step + 1, class)));
            }
            2 => drop(backend.handle_call_requested(now_ms, id)),
            3 => drop(backend.handle_call_ended(now_ms, id, CallOutcome::Completed)),
            4 => drop(backend.handle_run_ended(now_ms, id, RunOutcome::Completed)),
            5 => drop(backend.handle_timeout(now_ms, Timer::Periodic, Gauges::default())),
            _ if step % 3 == 0 => drop(backend.update_bulkheads(now_ms, two_bulkheads(1.0, 5.0, 2.0))),
            _ if step % 50 == 1 => drop(backend.update_bulkheads(now_ms, None)),
            _ => {}
        }
        let Some(bulkheads) = &backend.bulkheads.bulkheads else { continue };
        let mut counted = vec![Occupancy::default(); 2];
        for (_, request) in backend.requests.iter() {
            let occupancy = &mut counted[bulkheads.bulkhead_of_class[request.class()]];
            match request.state() {
                RequestState::Calling { .. } => occupancy.calls += 1,
                RequestState::Running | RequestState::AwaitingCall | RequestState::Answered { .. } => {
                    occupancy.runs += 1;
                }
                _ => {}
            }
        }
        assert_eq!(counted, backend.bulkheads.occupancies, "step {step}");
    }
}
