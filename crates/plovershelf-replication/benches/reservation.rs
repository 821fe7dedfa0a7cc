//! Benchmarks the processing time of a request (reservation, confirmation, outcome and answer) on all members without a network,
//! and of a lookup among many records.

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
    let mut members: Vec<Replicator> =
        (1..=count).map(|n| Replicator::new(NodeId(n), config.clone(), 0.0)).collect();
    members.iter_mut().for_each(|replicator| replicator.update_view(0.0, ViewNumber(1), view.clone()));
    deliver_all(&mut members, 0.0);
    members
}

/// Delivers messages until none are pending and returns the events, each with the index of its member.
fn deliver_all(members: &mut [Replicator], now_ms: f64) -> Vec<(usize, Event)> {
    let mut events = Vec::new();
    loop {
        let mut in_flight = Vec::new();
        for (index, replicator) in members.iter_mut().enumerate() {
            let actions = replicator.poll_actions();
            let from = NodeId(index as u64 + 1);
            in_flight.extend(actions.messages.into_iter().map(|(to, message)| (from, to, message)));
            events.extend(actions.events.into_iter().map(|event| (index, event)));
        }
        if in_flight.is_empty() {
            return events;
        }
        for (from, to, message) in in_flight {
            members[to.0 as usize - 1].handle_message(now_ms, from, message);
        }
    }
}

fn run_request(members: &mut [Replicator], key: IdempotencyKey, now_ms: f64) {
    let request = members[0].reserve(now_ms, key, now_ms + 1000.0, 60_000.0);
    let launched = deliver_all(members, now_ms);
    assert!(launched.contains(&(0, Event::Launch(request))));
    members[0].complete(now_ms, request, Outcome::Succeeded(vec![0; 256]));
    assert!(!deliver_all(members, now_ms).is_empty());
}

fn reservations(criterion: &mut Criterion) {
    for replication_factor in [3usize, 5] {
        let members = replicators(9, replication_factor);
        let mut next = 0u64;
        criterion.bench_function(
            &format!("reserve, confirm, answer, {replication_factor} replicas"),
            |bench| {
                bench.iter_batched_ref(
                    || {
                        next += 1;
                        (members.clone(), IdempotencyKey::new("book", &next.to_be_bytes()))
                    },
                    |(members, key)| run_request(members, *key, 1.0),
                    BatchSize::SmallInput,
                )
            },
        );
    }
    let mut members = replicators(3, 3);
    for n in 0..100_000u64 {
        run_request(&mut members, IdempotencyKey::new("book", &n.to_be_bytes()), 1.0);
    }
    let mut n = 0u64;
    criterion.bench_function("a lookup among 100,000 records", |bench| {
        bench.iter(|| {
            n = (n + 7919) % 100_000;
            members[1].find(IdempotencyKey::new("book", &n.to_be_bytes())).is_some()
        })
    });
}

criterion_group!(benches, reservations);
criterion_main!(benches);
