//! A plan for 3 and 30 zones of which a third carries half of what it is asked.

use criterion::{criterion_group, criterion_main, Criterion};
use plovershelf_failover::planner::{shares, Terms};
use plovershelf_failover::traffic_plan::{Topology, Zone};

fn plan(c: &mut Criterion) {
    for count in [3usize, 30] {
        let zone = |n: usize| Zone { name: format!("z{n}"), region: format!("r{}", n % (count / 3).max(1)) };
        let topology = Topology::of((0..count).map(zone).collect());
        let of: Vec<(f64, [f64; 3])> =
            (0..count).map(|n| (if n % 3 == 0 { 3.0 } else { 12.0 }, [3.0, 2.0, 1.0])).collect();
        let largest = vec![1.0; count];
        c.bench_function(&format!("plan/{count} zones"), |b| {
            b.iter(|| shares(&topology, &Terms::default(), std::hint::black_box(&of), &largest, &[]))
        });
    }
}

criterion_group!(benches, plan);
criterion_main!(benches);
