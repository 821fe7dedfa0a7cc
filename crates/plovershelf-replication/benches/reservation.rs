//! What a key costs its executor and replicas, without the network: reservation, confirmation, outcome, answer; and a lookup
//! among many records.

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use plovershelf_cluster::NodeId;
use plovershelf_replication::{
    Event, IdempotencyKey, Member, Outcome, ReplicationConfig, Replicator, ViewNumber,
};

fn replicators(count: u64, replication_factor: usize) -> Vec<Replicator> {
    let member =
        |n: u64| Member { id: NodeId(n), zone: format!("z{n}"), machine: format!("m{n}"), weight: 1.0 };
    let view: Vec<Member> = (1..=count).map(member).collect();
    let config =
        ReplicationConfig { replication_factor, max_records: 1_000_000, ..ReplicationConfig::default() };
    let mut all: Vec<Replicator> =
        (1..=count).map(|n| Replicator::new(NodeId(n), config.clone(), 0.0)).collect();
    all.iter_mut().for_each(|replicator| replicator.update_view(0.0, ViewNumber(1), view.clone()));
    deliver_all(&mut all, 0.0);
    all
}

/// Delivers messages until none is left; the events, each with the place of its member.
fn deliver_all(all: &mut [Replicator], now_ms: f64) -> Vec<(usize, Event)> {
    let mut events = Vec::new();
    loop {
        let mut in_flight = Vec::new();
        for (place, replicator) in all.iter_mut().enumerate() {
            let actions = replicator.poll_actions();
            let from = NodeId(place as u64 + 1);
            in_flight.extend(actions.messages.into_iter().map(|(to, message)| (from, to, message)));
            events.extend(actions.events.into_iter().map(|event| (place, event)));
        }
        if in_flight.is_empty() {
            return events;
        }
        for (from, to, message) in in_flight {
            all[to.0 as usize - 1].handle_message(now_ms, from, message);
        }
    }
}

fn run_request(all: &mut [Replicator], key: IdempotencyKey, now_ms: f64) {
    let request = all[0].reserve(now_ms, key, now_ms + 1000.0, 60_000.0);
    let launched = deliver_all(all, now_ms);
    assert!(launched.contains(&(0, Event::Launch(request))));
    all[0].complete(now_ms, request, Outcome::Succeeded(vec![0; 256]));
    assert!(!deliver_all(all, now_ms).is_empty());
}

fn reservations(criterion: &mut Criterion) {
    for replication_factor in [3usize, 5] {
        let all = replicators(9, replication_factor);
        let mut next = 0u64;
        criterion.bench_function(
            &format!("reserve, confirm, answer, {replication_factor} replicas"),
            |bench| {
                bench.iter_batched_ref(
                    || {
                        next += 1;
                        (all.clone(), IdempotencyKey::new("book", &next.to_be_bytes()))
                    },
                    |(all, key)| run_request(all, *key, 1.0),
                    BatchSize::SmallInput,
                )
            },
        );
    }
    let mut all = replicators(3, 3);
    for n in 0..100_000u64 {
        run_request(&mut all, IdempotencyKey::new("book", &n.to_be_bytes()), 1.0);
    }
    let mut n = 0u64;
    criterion.bench_function("a lookup among 100,000 records", |bench| {
        bench.iter(|| {
            n = (n + 7919) % 100_000;
            all[1].find(IdempotencyKey::new("book", &n.to_be_bytes())).is_some()
        })
    });
}

criterion_group!(benches, reservations);
criterion_main!(benches);
