use super::*;
use crate::admission::test_support::{config, running};
use crate::api::{Gauges, Timer};

/// A thousand clients keep a connection each that they hardly use, and each open one costs speed; two
/// clients come back all the time.
#[test]
fn idle_connections_go_where_their_clients_seldom_come_back() {
    let timeout_ms = |client_count: f64| {
        let mut idle = IdleTimeout::new(&BackendConfig { client_count, ..config() });
        for _ in 0..50 {
            idle.update(20.0, Contention::Normal);
        }
        idle.timeout_ms
    };
    assert_eq!(timeout_ms(2.0), 30_000.0);
    assert!(timeout_ms(1000.0) < 2000.0);
}

/// In a storm, reads and new connections crowd out the executions. A full connection table turns clients back
/// at no work, so connections stay longer, step by step.
#[test]
fn connections_stay_while_reads_and_new_connections_crowd_the_cores() {
    let mut backend = running(2);
    backend.idle_timeout = IdleTimeout {
        client_count: 1000.0,
        timeout_ms: 500.0,
        announced_ms: 500.0,
        ..IdleTimeout::new(&config())
    };
    let crowd = Gauges { cores_busy: Some(1.0), runnable: Some(22.0) };
    let announced: Vec<Option<f64>> = (1..30)
        .map(|n| backend.handle_timeout(f64::from(n), Timer::Periodic, crowd).announcements.idle_timeout_ms)
        .collect();
    assert!(backend.idle_timeout.timeout_ms > 10_000.0 && announced.iter().flatten().is_sorted());
    assert!(announced.iter().flatten().count() > 3);
}
