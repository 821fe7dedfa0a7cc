//! Clients of the library against backend processes with simulated peers, while backends stop and start.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use plovershelf_client::{Client, ClientBuilder, ClientConfig, Request, Response};
use plovershelf_testkit::fleet::{Fleet, FleetConfig};
use plovershelf_testkit::work::{Idempotency, WorkSpec};
use plovershelf_testkit::{cores, dependency, Clock, Executor};
use serde_json::json;

fn fleet_config(backends: usize) -> FleetConfig {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim_ms": 4000.0, "deadline_ms": 6000.0, "effect": effect, "gain": 1.0,
               "dedup_window_ms": 20_000.0})
    };
    FleetConfig {
        program: PathBuf::from(env!("CARGO_BIN_EXE_plovershelf-server")),
        backends,
        cores: cores::CoresConfig {
            cores: 4.0,
            overload_factor: 8.0,
            initial_speed: 1.0,
            slow_start_ms: 1.0,
        },
        dependency: dependency::DependencyConfig {
            call_ms: 5.0,
            slots: 30,
            max_in_flight: 60,
            outage_ms: 500.0,
        },
        settings: json!({
            "classes": [class("plain", "repeatable"), class("marked", "by_key"), class("single", "once")],
            "tenants": [{"name": "north", "quota_per_s": 1.0e6}], "group_size": backends,
            "clients": {"marks_retry": true},
            "family_info": {"cores": 4, "memory_kb": 400_000.0, "run_factor": 2.0, "entry_kb": 1.0,
                "below": "shared", "dep_share": 20.0, "halt": "abort", "signal": "threshold", "senders": 4,
                "keepalive_max_ms": 30_000.0, "passes_deadline": true, "meters": ["cpu_busy", "runnable"]},
            "policy_limits": {"retry_after": true, "max_retry_after_ms": 1000.0},
            "rules": {"tip_multiple": 8.0, "drain_grace_ms": 300.0, "cold_from": 1.0}}),
        memory_mb: 64.0,
        sockets: 512,
        stop_ms: 1200.0,
        logs: None,
        pools: None,
        cluster: None,
        peer_paths: false,
    }
}

fn config(seed: u64) -> ClientConfig {
    ClientConfig {
        seed,
        reconnect_spread_ms: 400.0,
        max_reconnect_backoff_ms: 500.0,
        ..ClientConfig::default()
    }
}

fn request(work: &WorkSpec) -> Request {
    let timeout = Duration::from_millis(5000);
    match work.idempotency {
        Idempotency::Idempotent => Request::new("plain", work.body(), timeout).tenant("north"),
        Idempotency::Keyed => Request::new("marked", work.body(), timeout)
            .tenant("north")
            .idempotency_key(format!("t{}", work.number)),
        Idempotency::NonIdempotent => {
            Request::new("single", work.body(), timeout).tenant("north").non_idempotent()
        }
    }
}

/// Calls for work of all three classes in turn, a few calls at a time, until stopped. Returns the response of each.
async fn call_until_stopped(
    client: Client,
    first: u64,
    stop: Rc<std::cell::Cell<bool>>,
) -> BTreeMap<u64, (WorkSpec, Response)> {
    let mut responses = BTreeMap::new();
    let mut number = first;
    while !stop.get() {
        let works: Vec<WorkSpec> = (0..6)
            .map(|n| {
                let effect = [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::NonIdempotent][n % 3];
                WorkSpec { number: number + n as u64, work_ms: 4.0, outbound_calls: 1, idempotency: effect }
            })
            .collect();
        number += 6;
        let calls: Vec<_> = works.iter().map(|work| client.call(request(work))).collect();
        for (work, call) in works.into_iter().zip(calls) {
            responses.insert(work.number, (work, call.await));
        }
        Timer::after(Duration::from_millis(10)).await;
    }
    responses
}

/// Runs clients against backends while `disturbance` runs. Then checks that every call has ended, that no work ran
/// twice that must not, and that each result was produced by a run. Returns the fraction of successful calls.
fn run_with_clients(backends: usize, disturbance: impl AsyncFnOnce(&mut Fleet, Clock)) -> f64 {
    let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
    let clock = Clock::start();
    let mut fleet = Fleet::start(&executor, clock, &fleet_config(backends)).expect("backends");
    let run = async {
        assert!(fleet.wait_until_up(clock, 20_000.0).await, "the backends did not start");
        let stop = Rc::new(std::cell::Cell::new(false));
        let endpoints = fleet.addresses();
        let tasks: Vec<_> = (0..4u64)
            .map(|n| {
                let (client, drive) = ClientBuilder::new()
                    .endpoints(&endpoints)
                    .client_number(n as u32)
                    .config(config(n + 1))
                    .build()
                    .expect("a client");
                executor.spawn(drive).detach();
                executor.spawn(call_until_stopped(client, n * 1_000_000 + 1, stop.clone()))
            })
            .collect();
        Timer::after(Duration::from_millis(500)).await;
        disturbance(&mut fleet, clock).await;
        Timer::after(Duration::from_millis(1500)).await;
        stop.set(true);
        let (mut total, mut succeeded) = (0u32, 0u32);
        for task in tasks {
            for (number, (work, response)) in task.await {
                total += 1;
                if let Response::Succeeded(result) = response {
                    succeeded += 1;
                    assert_eq!(result, work.result());
                    assert!(
                        fleet.effects.borrow().succeeded(number),
                        "no run produced the result of {number}"
                    );
                }
            }
        }
        let effects = fleet.effects.borrow();
        assert_eq!(effects.repeated_executions(), Vec::<u64>::new());
        assert_eq!((effects.launched_after_drain, effects.dependency_outages), (0, 0));
        f64::from(succeeded) / f64::from(total.max(1))
    };
    async_io::block_on(future::or(executor.run(run), async {
        Timer::after(Duration::from_secs(60)).await;
        panic!("a call did not end")
    }))
}

#[test]
fn killing_one_of_three_backends_loses_no_call_and_repeats_none() {
    let success_rate = run_with_clients(3, async |fleet, clock| {
        fleet.backends[0].kill().expect("the backend ends");
        Timer::after(Duration::from_millis(300)).await;
        fleet.backends[0].start().expect("the backend starts again");
        assert!(fleet.wait_until_up(clock, 20_000.0).await);
    });
    assert!(success_rate > 0.5, "{success_rate}");
}

#[test]
fn every_call_ends_after_all_backends_are_killed() {
    let success_rate = run_with_clients(2, async |fleet, clock| {
        fleet.backends.iter_mut().for_each(|backend| backend.kill().expect("the backend ends"));
        fleet.backends.iter_mut().for_each(|backend| backend.start().expect("the backend starts again"));
        assert!(fleet.wait_until_up(clock, 20_000.0).await);
    });
    assert!(success_rate > 0.3, "{success_rate}");
}

#[test]
fn draining_backend_hands_its_clients_over() {
    let success_rate = run_with_clients(2, async |fleet, _| {
        fleet.backends[0].start_drain(300.0);
        let mut status = None;
        while status.is_none() {
            Timer::after(Duration::from_millis(10)).await;
            status = fleet.backends[0].poll_exit();
        }
        assert!(status.is_some_and(|status| status.success()));
    });
    assert!(success_rate > 0.8, "{success_rate}");
}
