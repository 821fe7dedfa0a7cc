//! What a ticket costs its runner and holders, without the network: claim, confirmation, ending, answer; and a lookup with many held.

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use plovershelf_cluster::NodeId as Id;
use plovershelf_replication::copies::{Copies, Ending, Terms, Told};
use plovershelf_replication::placement::{Holder, Ticket};

fn members(count: u64, copies: usize) -> Vec<Copies> {
    let holder = |n: u64| Holder { id: Id(n), zone: format!("z{n}"), machine: format!("m{n}"), weight: 1.0 };
    let holders: Vec<Holder> = (1..=count).map(holder).collect();
    let terms = Terms { copies, tickets: 1_000_000, ..Terms::default() };
    let mut all: Vec<Copies> = (1..=count).map(|n| Copies::new(Id(n), terms.clone(), 0.0)).collect();
    all.iter_mut().for_each(|copies| copies.view_is(0.0, 1, holders.clone()));
    settle(&mut all, 0.0);
    all
}

/// Hands all messages on until none is left; what the backends were told.
fn settle(all: &mut [Copies], now: f64) -> Vec<(usize, Told)> {
    let mut told = Vec::new();
    loop {
        let mut under_way = Vec::new();
        for (place, copies) in all.iter_mut().enumerate() {
            let (send, out) = copies.take();
            under_way.extend(send.into_iter().map(|(to, message)| (Id(place as u64 + 1), to, message)));
            told.extend(out.into_iter().map(|one| (place, one)));
        }
        if under_way.is_empty() {
            return told;
        }
        for (from, to, message) in under_way {
            all[to.0 as usize - 1].hear(now, from, message);
        }
    }
}

fn whole(all: &mut [Copies], ticket: Ticket, now: f64) {
    let number = all[0].begin(now, ticket, now + 1000.0, 60_000.0);
    let launched = settle(all, now);
    assert!(launched.contains(&(0, Told::Launch(number))));
    all[0].ended(now, number, Ending::Succeeded(vec![0; 256]));
    assert!(!settle(all, now).is_empty());
}

fn claims(criterion: &mut Criterion) {
    for copies in [3usize, 5] {
        let all = members(9, copies);
        let mut next = 0u64;
        criterion.bench_function(&format!("claim, confirm, answer, {copies} copies"), |bench| {
            bench.iter_batched_ref(
                || {
                    next += 1;
                    (all.clone(), Ticket::of("book", &next.to_be_bytes()))
                },
                |(all, ticket)| whole(all, *ticket, 1.0),
                BatchSize::SmallInput,
            )
        });
    }
    let mut all = members(3, 3);
    for n in 0..100_000u64 {
        whole(&mut all, Ticket::of("book", &n.to_be_bytes()), 1.0);
    }
    let mut n = 0u64;
    criterion.bench_function("a lookup with 100,000 tickets held", |bench| {
        bench.iter(|| {
            n = (n + 7919) % 100_000;
            all[1].find(Ticket::of("book", &n.to_be_bytes())).is_some()
        })
    });
}

criterion_group!(benches, claims);
criterion_main!(benches);
