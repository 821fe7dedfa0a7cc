//! Measures the time from the proposal of a command until its commit on the leader, with messages delivered in memory.

use std::collections::BTreeSet;

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use plovershelf_cluster::consensus::{Payload, Raft, RaftConfig, StateMachine};
use plovershelf_cluster::{Epoch, NodeId};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Count(u64);

impl StateMachine for Count {
    type Command = u64;
    fn apply(&mut self, command: &u64) {
        self.0 += command;
    }
}

/// Delivers messages between the nodes until none is left.
fn deliver_all(nodes: &mut [Raft<Count>], now: f64) {
    loop {
        let mut messages = Vec::new();
        for node in nodes.iter_mut() {
            let from = node.id();
            messages.extend(node.poll_actions().send.into_iter().map(|(to, message)| (from, to, message)));
        }
        if messages.is_empty() {
            return;
        }
        for (from, to, message) in messages {
            nodes[to.0 as usize - 1].handle_message(now, from, message);
        }
    }
}

fn group_with_leader(voters: u64) -> Vec<Raft<Count>> {
    let ids: BTreeSet<NodeId> = (1..=voters).map(NodeId).collect();
    let mut nodes: Vec<Raft<Count>> = ids
        .iter()
        .map(|id| {
            let mut node = Raft::new(*id, RaftConfig::default(), None, Count::default(), id.0, 0.0);
            node.bootstrap(0.0, Epoch::new(1, 0), ids.clone(), Count::default());
            node
        })
        .collect();
    deliver_all(&mut nodes, 0.0);
    nodes[0].handle_timeout(2000.0);
    deliver_all(&mut nodes, 2000.0);
    assert!(nodes[0].leads());
    nodes
}

fn decisions(criterion: &mut Criterion) {
    for voters in [3, 5, 7] {
        let nodes = group_with_leader(voters);
        criterion.bench_function(&format!("decided by {voters} voters"), |bench| {
            bench.iter_batched_ref(
                || nodes.clone(),
                |nodes| {
                    nodes[0].propose(2001.0, Payload::Command(1));
                    deliver_all(nodes, 2001.0);
                },
                BatchSize::SmallInput,
            )
        });
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
