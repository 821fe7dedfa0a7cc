//! A cluster of members with immediate message delivery and a manually advanced clock.
#![allow(dead_code)] // each test program uses only some of these helpers

use plovershelf_cluster::NodeId;
use plovershelf_replication::{
    Event, IdempotencyKey, Member, Outcome, ReplicationConfig, Replicator, RequestId, ViewNumber,
};

/// Time from a request's reservation to its launch deadline, in milliseconds.
pub(crate) const DEADLINE_MS: f64 = 1000.0;
/// Retention time of a request's outcome, in milliseconds.
pub(crate) const RETENTION_MS: f64 = 5000.0;
const STEP_MS: f64 = 10.0;

/// Returns members with the given ids, spread over three zones and each on a separate machine.
pub(crate) fn members(ids: &[u64]) -> Vec<Member> {
    ids.iter()
        .map(|n| Member {
            id: NodeId(*n),
            zone: format!("z{}", n % 3),
            machine: format!("m{n}"),
            weight: 1.0,
        })
        .collect()
}

pub(crate) fn key(n: u64) -> IdempotencyKey {
    IdempotencyKey::new("book", &n.to_be_bytes())
}

pub(crate) fn succeeded() -> Outcome {
    Outcome::Succeeded(b"made".to_vec())
}

/// Returns a member's index in [`Cluster::members`].
pub(crate) fn index_of(id: NodeId) -> usize {
    id.0 as usize - 1
}

/// Members with consecutive ids starting at 1. A member that is `None` is down: messages to it are lost.
pub(crate) struct Cluster {
    pub(crate) members: Vec<Option<Replicator>>,
    pub(crate) now_ms: f64,
    events: Vec<(usize, Event)>,
}

impl Cluster {
    pub(crate) fn new(count: u64, config: ReplicationConfig) -> Self {
        let members = (1..=count).map(|n| Some(Replicator::new(NodeId(n), config.clone(), 0.0))).collect();
        let mut cluster = Cluster { members, now_ms: 0.0, events: Vec::new() };
        cluster.update_view(1);
        cluster
    }

    pub(crate) fn running_members(&self) -> impl Iterator<Item = &Replicator> {
        self.members.iter().flatten()
    }

    pub(crate) fn running_members_mut(&mut self) -> impl Iterator<Item = &mut Replicator> {
        self.members.iter_mut().flatten()
    }

    pub(crate) fn member(&mut self, index: usize) -> &mut Replicator {
        self.members[index].as_mut().expect("the member is running")
    }

    /// Installs a view of all members that are not down.
    pub(crate) fn update_view(&mut self, view: u64) {
        let ids: Vec<u64> =
            (1..=self.members.len() as u64).filter(|n| self.members[*n as usize - 1].is_some()).collect();
        self.update_view_to(view, members(&ids));
    }

    pub(crate) fn update_view_to(&mut self, view: u64, members: Vec<Member>) {
        let now_ms = self.now_ms;
        self.running_members_mut()
            .for_each(|member| member.update_view(now_ms, ViewNumber(view), members.clone()));
        self.deliver_all();
    }

    /// Delivers messages until none are pending.
    pub(crate) fn deliver_all(&mut self) {
        for _ in 0..10_000 {
            let mut in_flight = Vec::new();
            for (index, member) in self.members.iter_mut().enumerate() {
                let Some(member) = member else { continue };
                let actions = member.poll_actions();
                let from = NodeId(index as u64 + 1);
                in_flight.extend(actions.messages.into_iter().map(|(to, message)| (from, to, message)));
                self.events.extend(actions.events.into_iter().map(|event| (index, event)));
            }
            if in_flight.is_empty() {
                return;
            }
            for (from, to, message) in in_flight {
                if let Some(member) = self.members[index_of(to)].as_mut() {
                    member.handle_message(self.now_ms, from, message);
                }
            }
        }
        panic!("members keep sending messages after 10,000 rounds");
    }

    pub(crate) fn advance(&mut self, ms: f64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.now_ms += STEP_MS;
            let now_ms = self.now_ms;
            self.running_members_mut().for_each(|member| member.handle_timeout(now_ms));
            self.deliver_all();
        }
    }

    pub(crate) fn reserve(&mut self, index: usize, key: IdempotencyKey) -> RequestId {
        let now_ms = self.now_ms;
        let request = self.member(index).reserve(now_ms, key, now_ms + DEADLINE_MS, RETENTION_MS);
        self.deliver_all();
        request
    }

    pub(crate) fn complete(&mut self, index: usize, request: RequestId, outcome: Outcome) {
        let now_ms = self.now_ms;
        self.member(index).complete(now_ms, request, outcome);
        self.deliver_all();
    }

    /// Returns the events since the last call, each with the index of its member.
    pub(crate) fn take_events(&mut self) -> Vec<(usize, Event)> {
        std::mem::take(&mut self.events)
    }
}
