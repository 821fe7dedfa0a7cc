//! Benchmarks the computation of a plan for 3 and 30 zones, a third of which can serve only half of their demand.

use criterion::{criterion_group, criterion_main, Criterion};
use plovershelf_failover::{locality_weighted_plan, PlannerConfig, Topology, Zone, ZoneState};

fn plan(c: &mut Criterion) {
    for count in [3usize, 30] {
        let zone = |n: usize| Zone { name: format!("z{n}"), region: format!("r{}", n % (count / 3).max(1)) };
        let topology = Topology::new((0..count).map(zone).collect());
        let state = |n: usize| ZoneState {
            capacity: if n.is_multiple_of(3) { 3.0 } else { 12.0 },
            demand: [3.0, 2.0, 1.0],
            largest_member: 1.0,
        };
        let zones: Vec<ZoneState> = (0..count).map(state).collect();
        let config = PlannerConfig::default();
        c.bench_function(&format!("plan/{count} zones"), |b| {
            b.iter(|| locality_weighted_plan(&topology, &config, std::hint::black_box(&zones), &[]))
        });
    }
}

criterion_group!(benches, plan);
criterion_main!(benches);
