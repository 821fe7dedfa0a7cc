//! Measures the decisions on a request, the end of its execution and a timeout, for several numbers of requests in
//! flight and of tenants. Run with `cargo bench --bench decision`.

use std::hint::black_box;

use criterion::{criterion_group, criterion_main, Criterion};
use plovershelf::api::{
    BackendConfig, BackpressureSignal, Cancellation, ClassConfig, Gauges, Idempotency, Request, RunOutcome,
    Timer,
};
use plovershelf::Backend;

fn config() -> BackendConfig {
    let class = |value| ClassConfig {
        latency_objective_ms: 1e9,
        objective_per_work: 0.0,
        timeout_ms: 1e9,
        deduplication_window_ms: 0.0,
        idempotency: Idempotency::Idempotent,
        value,
        late_value_fraction: 0.0,
        skipped_call_value_fraction: 0.0,
    };
    BackendConfig {
        seed: 7,
        classes: vec![class(1.0), class(2.0), class(10.0)],
        tenant_quotas_per_s: vec![f64::MAX],
        // Enough cores to run every request in flight.
        cores: 10_000.0,
        memory_kb: 1e12,
        running_memory_factor: 8.0,
        deduplication_entry_kb: 1.0,
        dependency_share: Some(100.0),
        abandoned_call_linger_ms: 200.0,
        cancellation: Cancellation::Abort,
        backpressure: BackpressureSignal::MinimumPriority,
        discovery_follows_health: false,
        fleet_size: 4.0,
        client_count: 40.0,
        retries_marked: false,
        cold_start: false,
        cold_speed_fraction: 1.0,
        warm_up_ms: 0.0,
        overload_multiple: 8.0,
        drain_grace_ms: 500.0,
        max_idle_ms: 30_000.0,
        max_retry_after_ms: 1000.0,
        shared_response_ms: 0.0,
    }
}

fn request(id: u32, now_ms: f64, tenant: usize) -> Request {
    Request {
        id,
        class: id as usize % 3,
        tenant,
        key: 0,
        deadline_ms: Some(now_ms + 1e8),
        work_hint_ms: None,
        memory_kb: 10.0,
        marked_retry: false,
        writes: false,
        unread_ms: 0.0,
        duplicate_of: None,
    }
}

fn decisions(criterion: &mut Criterion) {
    for in_flight in [10u32, 100, 1000, 3000] {
        let (mut backend, _) = Backend::start(0.0, config());
        (1..=in_flight).for_each(|id| drop(backend.handle_request(1.0, request(id, 1.0, 0))));
        let (mut now_ms, mut id) = (10.0, in_flight);
        criterion.bench_function(&format!("request, end and timeout, {in_flight} in flight"), |bench| {
            bench.iter(|| {
                (now_ms, id) = (now_ms + 0.1, id.wrapping_add(1).max(in_flight + 1));
                black_box(backend.handle_request(now_ms, request(id, now_ms, 0)));
                black_box(backend.handle_run_ended(now_ms, id, RunOutcome::Completed));
                black_box(backend.handle_timeout(now_ms, Timer::Deadline, Gauges::default()));
            });
        });
    }
}

/// Each request is for another tenant, at 228 requests per second.
fn tenants(criterion: &mut Criterion) {
    for tenants in [100usize, 1000, 3400, 10_000, 34_000] {
        let tenant_quotas_per_s = vec![f64::MAX; tenants];
        let (mut backend, _) = Backend::start(0.0, BackendConfig { tenant_quotas_per_s, ..config() });
        let (mut now_ms, mut id, mut tenant) = (10.0, 0u32, 0);
        criterion.bench_function(&format!("request, end and timeout, {tenants} tenants"), |bench| {
            bench.iter(|| {
                (now_ms, id) = (now_ms + 1000.0 / 228.0, id.wrapping_add(1).max(1));
                tenant = (tenant + 7919) % tenants;
                black_box(backend.handle_request(now_ms, request(id, now_ms, tenant)));
                black_box(backend.handle_run_ended(now_ms, id, RunOutcome::Completed));
                black_box(backend.handle_timeout(now_ms, Timer::Deadline, Gauges::default()));
            });
        });
    }
}

criterion_group!(benches, decisions, tenants);
criterion_main!(benches);
