//! What a decision costs, an arrival, its end and a wake, with so many invocations open and with so many tenants.
//! Run with `cargo bench --bench decision`.

use std::hint::black_box;

use criterion::{criterion_group, criterion_main, Criterion};
use plovershelf::interface::*;
use plovershelf::logic::Backend;

fn facts() -> StartFacts {
    let offering = |revenue| OfferingTerms {
        contract_ms: 1e9,
        contract_stretch: 0.0,
        hard_limit_ms: 1e9,
        ticket_window_ms: 0.0,
        repeats: Repeats::Rerunnable,
        revenue,
        late_share: 0.0,
        skip_share: 0.0,
    };
    StartFacts {
        seed: 7,
        offerings: vec![offering(1.0), offering(2.0), offering(10.0)],
        tenant_quotas: vec![f64::MAX],
        // So many cores that all that is open runs.
        cores: 10_000.0,
        memory_kb: 1e12,
        run_factor: 8.0,
        entry_kb: 1.0,
        call_share: Some(100.0),
        call_linger_ms: 200.0,
        halting: Halting::Abort,
        advice: AdviceMeaning::LowestRank,
        list_follows_health: false,
        servers: 4.0,
        callers: 40.0,
        repeats_marked: false,
        just_started: false,
        cold_speed: 1.0,
        warm_within_ms: 0.0,
        tip_multiple: 8.0,
        grace_ms: 500.0,
        idle_most_ms: 30_000.0,
        cool_down_most_ms: 1000.0,
        share_answers_ms: 0.0,
    }
}

fn arrival(id: u32, now: f64, tenant: usize) -> Arrival {
    Arrival {
        id,
        offering: id as usize % 3,
        tenant,
        key: 0,
        gives_up_at: Some(now + 1e8),
        work_hint_ms: None,
        footprint_kb: 10.0,
        marked_repeat: false,
        writes: false,
        unread_ms: 0.0,
        original: None,
    }
}

fn decisions(criterion: &mut Criterion) {
    for open in [10u32, 100, 1000, 3000] {
        let (mut backend, _) = Backend::start(0.0, facts());
        (1..=open).for_each(|id| drop(backend.arrived(1.0, arrival(id, 1.0, 0))));
        let (mut now, mut id) = (10.0, open);
        criterion.bench_function(&format!("arrival, end and wake, {open} open"), |bench| {
            bench.iter(|| {
                (now, id) = (now + 0.1, id.wrapping_add(1).max(open + 1));
                black_box(backend.arrived(now, arrival(id, now, 0)));
                black_box(backend.run_ended(now, id, RunEnd::Ok));
                black_box(backend.woke(now, Wake::Due, Gauges::default()));
            });
        });
    }
}

/// Each arrival is another tenant's, and the times pass between them at which a backend has 228 a second.
fn tenants(criterion: &mut Criterion) {
    for tenants in [100usize, 1000, 3400, 10_000, 34_000] {
        let tenant_quotas = vec![f64::MAX; tenants];
        let (mut backend, _) = Backend::start(0.0, StartFacts { tenant_quotas, ..facts() });
        let (mut now, mut id, mut tenant) = (10.0, 0u32, 0);
        criterion.bench_function(&format!("arrival, end and wake, {tenants} tenants"), |bench| {
            bench.iter(|| {
                (now, id) = (now + 1000.0 / 228.0, id.wrapping_add(1).max(1));
                tenant = (tenant + 7919) % tenants;
                black_box(backend.arrived(now, arrival(id, now, tenant)));
                black_box(backend.run_ended(now, id, RunEnd::Ok));
                black_box(backend.woke(now, Wake::Due, Gauges::default()));
            });
        });
    }
}

criterion_group!(benches, decisions, tenants);
criterion_main!(benches);
