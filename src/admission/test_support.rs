//! Configurations, requests and backends shared by the tests of the rules.

use crate::admission::Backend;
use crate::api::{
    BackendConfig, BackpressureSignal, Cancellation, ClassConfig, Completion, Effects, Idempotency, Request,
    RequestState,
};

pub(super) fn class(value: f64, idempotency: Idempotency) -> ClassConfig {
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

/// Returns a configuration of two idempotent classes, of value 1 and 5, an idempotency-keyed and a
/// non-idempotent class.
pub(super) fn config() -> BackendConfig {
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

pub(super) fn start_backend(config: BackendConfig) -> Backend {
    Backend::start(0.0, config).0
}

pub(super) fn request(id: u32, class: usize) -> Request {
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

/// Returns a backend with `count` executions of the second class, with ids from 1000.
pub(super) fn backend_with_running(count: u32) -> Backend {
    let mut backend = start_backend(config());
    (1000..1000 + count).for_each(|id| execute(&mut backend, id));
    backend.effects = Effects::default();
    backend
}

/// Executes a request of the second class, regardless of the limits.
pub(super) fn execute(backend: &mut Backend, id: u32) {
    backend.enqueue(&request(id, 1));
    backend.transition(id, RequestState::Running);
}

pub(super) fn last_state(effects: &Effects) -> RequestState {
    effects.transitions.last().expect("a state change").to
}

pub(super) fn is_rejected(effects: &Effects) -> bool {
    matches!(last_state(effects), RequestState::Completed(Completion::Rejected { .. }))
}

pub(super) fn is_executed(effects: &Effects, id: u32) -> bool {
    effects.transitions.iter().any(|change| change.id == id && change.to == RequestState::Running)
}
