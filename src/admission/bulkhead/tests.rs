use super::*;
use crate::admission::random::Pcg32;
use crate::admission::test_support::{backend_with_running, config, is_executed, request, start_backend};
use crate::admission::Backend;
use crate::api::{BackendConfig, CallOutcome, Gauges, RunOutcome, Timer};

const UNLIMITED: BulkheadCapacity =
    BulkheadCapacity { reserved_runs: 0.0, max_runs: 100.0, max_calls: 100.0 };

/// Returns a bulkhead with the given capacity for the first class, and one that limits nothing for the others.
fn two_bulkheads(reserved_runs: f64, max_runs: f64, max_calls: f64) -> Option<Bulkheads> {
    let limited = BulkheadCapacity { reserved_runs, max_runs, max_calls };
    Some(Bulkheads { bulkhead_of_class: vec![0, 1, 1, 1], capacities: vec![limited, UNLIMITED] })
}

#[test]
fn a_full_bulkhead_sheds_everything_and_the_others_nothing() {
    let mut backend = start_backend(config());
    backend.update_bulkheads(1.0, two_bulkheads(0.0, 2.0, 9.0));
    let executed: Vec<bool> =
        (0..4).map(|id| is_executed(&backend.handle_request(2.0, request(id, 0)), id)).collect();
    assert_eq!(executed, [true, true, false, false]);
    assert!(is_executed(&backend.handle_request(2.0, request(9, 1)), 9));
    backend.handle_run_ended(3.0, 0, RunOutcome::Completed);
    assert!(is_executed(&backend.handle_request(4.0, request(10, 0)), 10));
}

#[test]
fn a_bulkhead_below_its_reservation_admits_everything_while_the_limits_hold() {
    // Between the soft and the hard limit the lowest ranks are shed.
    let admitted_fraction = |count: u32| {
        let (load, limits) = backend_with_running(count).load_and_limits();
        load.admitted_fraction(&limits)
    };
    let count = (1..40)
        .find(|count| (0.05..0.5).contains(&admitted_fraction(*count)))
        .expect("a count between the limits");
    let executed = |bulkheads: Option<Bulkheads>| {
        let mut backend = backend_with_running(count);
        // Most arrivals are of high value, so all of low value are shed.
        backend.shedding.set_arrivals(&[0.0, 0.0, 0.0, 100.0]);
        backend.update_bulkheads(1.0, bulkheads);
        (0..5).filter(|id| is_executed(&backend.handle_request(2.0, request(*id, 0)), *id)).count()
    };
    assert_eq!((executed(None), executed(two_bulkheads(2.0, 50.0, 9.0))), (0, 2));
    let mut full = backend_with_running(200);
    full.update_bulkheads(1.0, two_bulkheads(2.0, 50.0, 9.0));
    assert!(!is_executed(&full.handle_request(2.0, request(1, 0)), 1));
}

/// Guards against one bulkhead blocking another: the calls of one hang and its requests wait, while the
/// requests of the other still place their calls.
#[test]
fn a_bulkhead_without_free_calls_does_not_block_another() {
    let mut backend = start_backend(BackendConfig { dependency_share: Some(50.0), ..config() });
    let one_call = BulkheadCapacity { max_calls: 1.0, ..UNLIMITED };
    let bulkheads = Bulkheads { bulkhead_of_class: vec![0, 1, 1, 1], capacities: vec![UNLIMITED, one_call] };
    backend.update_bulkheads(1.0, Some(bulkheads));
    for (id, class) in [(1, 3), (2, 3), (3, 0)] {
        backend.handle_request(2.0, request(id, class));
    }
    (1..=3).for_each(|id| drop(backend.handle_call_requested(3.0, id)));
    // A further request would only wait behind the others.
    assert!(!is_executed(&backend.handle_request(3.0, request(4, 3)), 4));
    let is_calling =
        |backend: &Backend, id: u32| matches!(backend.requests.state(id), Some(RequestState::Calling { .. }));
    assert_eq!([1, 2, 3].map(|id| is_calling(&backend, id)), [true, false, true]);
    backend.handle_call_ended(4.0, 1, CallOutcome::Completed);
    assert!(is_calling(&backend, 2));
}

#[test]
fn occupancies_match_a_recount_after_every_event() {
    let mut backend = start_backend(config());
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
