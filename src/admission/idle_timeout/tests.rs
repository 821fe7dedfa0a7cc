use super::*;
use crate::admission::test_support::{backend_with_running, config};
use crate::api::{Gauges, Timer};

/// Guards against a server slowed by open connections: a thousand clients hardly use one connection each, while
/// two clients return all the time.
#[test]
fn the_timeout_is_short_where_clients_seldom_return() {
    let timeout_ms = |client_count: f64| {
        let mut idle_timeout = IdleTimeout::new(&BackendConfig { client_count, ..config() });
        for _ in 0..50 {
            idle_timeout.update(20.0, Contention::Normal);
        }
        idle_timeout.timeout_ms
    };
    assert_eq!(timeout_ms(2.0), 30_000.0);
    assert!(timeout_ms(1000.0) < 2000.0);
}

/// Guards against a storm of reads and new connections that starves the executions. A full connection table
/// turns clients away at no cost, so connections stay open longer, step by step.
#[test]
fn the_timeout_grows_during_contention_for_the_cores() {
    let mut backend = backend_with_running(2);
    backend.idle_timeout = IdleTimeout {
        client_count: 1000.0,
        timeout_ms: 500.0,
        announced_ms: 500.0,
        ..IdleTimeout::new(&config())
    };
    let contended = Gauges { cores_busy: Some(1.0), runnable: Some(22.0) };
    let announced: Vec<Option<f64>> = (1..30)
        .map(|n| {
            backend.handle_timeout(f64::from(n), Timer::Periodic, contended).announcements.idle_timeout_ms
        })
        .collect();
    assert!(backend.idle_timeout.timeout_ms > 10_000.0 && announced.iter().flatten().is_sorted());
    assert!(announced.iter().flatten().count() > 3);
}
