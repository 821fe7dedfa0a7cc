//! Measures the lookup of a tenant's index by name for several numbers of tenants, by linear search and by hash. Run
//! with `cargo bench -p plovershelf-settings --bench lookup`.

use std::hint::black_box;

use criterion::{criterion_group, criterion_main, Criterion};
use plovershelf_settings::Names;

/// Each lookup is for another tenant, so that the result is the mean over all indices.
fn lookups(criterion: &mut Criterion) {
    for tenants in [100usize, 1000, 3400, 10_000, 34_000] {
        let names: Names = (0..tenants).map(|n| format!("tenant-{n:05}")).collect();
        let mut tenant = 0;
        criterion.bench_function(&format!("walk over {tenants} names"), |bench| {
            bench.iter(|| {
                tenant = (tenant + 7919) % tenants;
                let name = black_box(names[tenant].as_str());
                black_box(names.iter().position(|known| known == name))
            });
        });
        criterion.bench_function(&format!("place among {tenants} names"), |bench| {
            bench.iter(|| {
                tenant = (tenant + 7919) % tenants;
                black_box(names.place(black_box(names[tenant].as_str())))
            });
        });
    }
}

criterion_group!(benches, lookups);
criterion_main!(benches);
