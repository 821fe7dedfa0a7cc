//! What a decision costs the council: from the leader's taking it to its being decided at the leader, without the network.

use std::collections::BTreeSet;

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use plovershelf_cluster::council::{Council, Id, State, Terms, What};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Count(u64);

impl State for Count {
    type Decision = u64;
    fn apply(&mut self, decision: &u64) {
        self.0 += decision;
    }
}

/// Hands all messages on until none is left.
fn settle(councils: &mut [Council<Count>], now: f64) {
    loop {
        let mut all = Vec::new();
        for council in councils.iter_mut() {
            let from = council.me();
            all.extend(council.take_effects().send.into_iter().map(|(to, message)| (from, to, message)));
        }
        if all.is_empty() {
            return;
        }
        for (from, to, message) in all {
            councils[to.0 as usize - 1].hear(now, from, message);
        }
    }
}

fn led(voters: u64) -> Vec<Council<Count>> {
    let ids: BTreeSet<Id> = (1..=voters).map(Id).collect();
    let mut councils: Vec<Council<Count>> = ids
        .iter()
        .map(|id| {
            let mut council = Council::new(*id, Terms::default(), None, Count::default(), id.0, 0.0);
            council.found(0.0, 1 << 40, ids.clone(), Count::default());
            council
        })
        .collect();
    settle(&mut councils, 0.0);
    councils[0].tick(2000.0);
    settle(&mut councils, 2000.0);
    assert!(councils[0].leads());
    councils
}

fn decisions(criterion: &mut Criterion) {
    for voters in [3, 5, 7] {
        let councils = led(voters);
        criterion.bench_function(&format!("decided by {voters} voters"), |bench| {
            bench.iter_batched_ref(
                || councils.clone(),
                |councils| {
                    councils[0].decide(2001.0, What::Word(1));
                    settle(councils, 2001.0);
                },
                BatchSize::SmallInput,
            )
        });
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
