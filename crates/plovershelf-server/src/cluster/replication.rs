//! Replication on the cluster's thread: connects the [`Replicator`] to the event loop's requests, the links and the
//! clock.

use std::collections::{BTreeMap, BTreeSet};

use async_channel::Sender;
use plovershelf_cluster::wire::{decode, encode_payload};
use plovershelf_cluster::{NodeId, View, ViewMember};
use plovershelf_replication::{
    Event, IdempotencyKey, Member, Message, Outcome, ReplicationConfig, Replicator, RequestId, ViewNumber,
};

/// A command of the event loop for one of its open requests.
pub enum ReplicationCommand {
    /// Reserves the key of a request that is to be launched.
    Reserve {
        /// Id of the request in the event loop.
        id: u32,
        /// Idempotency key of the request, the same on all members.
        key: IdempotencyKey,
        /// Time within which the request may be launched, in milliseconds.
        within_ms: f64,
        /// Time for which the outcome is retained, in milliseconds.
        retention_ms: f64,
    },
    /// Replicates the outcome of a run that has ended.
    Complete {
        /// Id of the request in the event loop.
        id: u32,
        /// Outcome of the run.
        outcome: Outcome,
    },
    /// Releases the reservation of an abandoned request, unless the request was launched.
    Cancel {
        /// Id of the request in the event loop.
        id: u32,
    },
    /// Releases the reservation of a request whose run was never started.
    CancelLaunch {
        /// Id of the request in the event loop.
        id: u32,
    },
}

/// A replication event of an open request, identified by its id in the event loop.
pub enum ReplicationEvent {
    /// The reservation is stored, and the request is to be launched.
    Launch(u32),
    /// Another attempt with the same key has completed with this outcome.
    AlreadyCompleted(u32, Outcome),
    /// All replicas have stored the outcome.
    OutcomeReplicated(u32, Outcome),
    /// Enough replicas have stored this outcome to answer with it, if the deadline expires before the remaining ones
    /// confirm.
    OutcomeProvisional(u32, Outcome),
    /// The key could not be reserved in time, and the request has not run.
    Rejected(u32),
    /// The handoff is complete or its deadline has passed, so this member may leave.
    HandoffEnded,
}

/// Result of handing records off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HandoffEnd {
    Complete,
    /// The deadline passed. It is not certain that other members have the remaining records and requests.
    DeadlinePassed {
        remaining: usize,
    },
}

/// Returns the replica id of a member, which differs for each start of its process. Records are kept in memory, so
/// they are lost with the process even if its folder remains. With the member's id alone, a process that restarts
/// quickly would count as having confirmed records that it no longer has.
fn replica_id(member: NodeId, boot_id: u64) -> NodeId {
    let hash = (member.0 ^ boot_id.rotate_left(29)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    NodeId(hash ^ hash >> 31)
}

/// Returns an identifier of a member's machine: its host if the view has several hosts, else its full address.
fn machine(view_member: &ViewMember, hosts: &BTreeSet<std::net::IpAddr>) -> String {
    if hosts.len() > 1 {
        view_member.address.ip().to_string()
    } else {
        view_member.address.to_string()
    }
}

/// The replicator, with the mapping between its request ids and those of the event loop.
pub(super) struct ReplicationDriver {
    local: NodeId,
    /// Member ids of the view, by replica id.
    members: BTreeMap<NodeId, NodeId>,
    replicator: Replicator,
    /// Event loop ids by replicator id.
    open: BTreeMap<RequestId, u32>,
    /// Replicator ids by event loop id.
    requests: BTreeMap<u32, RequestId>,
    events: Sender<ReplicationEvent>,
    /// Deadline of the handoff, once this member leaves.
    handoff_deadline_ms: Option<f64>,
}

impl ReplicationDriver {
    pub(super) fn new(
        member: NodeId,
        boot_id: u64,
        config: ReplicationConfig,
        events: Sender<ReplicationEvent>,
    ) -> Self {
        let local = replica_id(member, boot_id);
        ReplicationDriver {
            local,
            members: BTreeMap::new(),
            replicator: Replicator::new(local, config, super::now_ms()),
            open: BTreeMap::new(),
            requests: BTreeMap::new(),
            events,
            handoff_deadline_ms: None,
        }
    }

    pub(super) fn replicator(&self) -> &Replicator {
        &self.replicator
    }

    /// Returns the member with a replica id, if the view has it.
    pub(super) fn member(&self, replica: NodeId) -> Option<NodeId> {
        self.members.get(&replica).copied()
    }

    pub(super) fn handle_command(&mut self, now_ms: f64, command: ReplicationCommand) {
        match command {
            ReplicationCommand::Reserve { id, key, within_ms, retention_ms } => {
                let request = self.replicator.reserve(now_ms, key, now_ms + within_ms, retention_ms);
                self.open.insert(request, id);
                self.requests.insert(id, request);
            }
            ReplicationCommand::Complete { id, outcome } => {
                if let Some(request) = self.requests.get(&id) {
                    self.replicator.complete(now_ms, *request, outcome);
                }
            }
            ReplicationCommand::Cancel { id } => {
                if let Some(request) = self.requests.get(&id) {
                    self.replicator.cancel(now_ms, *request);
                }
            }
            ReplicationCommand::CancelLaunch { id } => {
                if let Some(request) = self.requests.get(&id) {
                    self.replicator.cancel_launch(now_ms, *request);
                }
            }
        }
    }

    /// Applies a new view. Members that are leaving get weight 0, so that no key is placed on them.
    pub(super) fn update_view(&mut self, now_ms: f64, view: &View) {
        let hosts: BTreeSet<_> = view.members.values().map(|view_member| view_member.address.ip()).collect();
        let member = |(id, view_member): (&NodeId, &ViewMember)| Member {
            id: replica_id(*id, view_member.boot_id),
            zone: view_member.zone.clone(),
            machine: machine(view_member, &hosts),
            weight: if view_member.draining { 0.0 } else { 1.0 },
        };
        self.members = view
            .members
            .iter()
            .map(|(id, view_member)| (replica_id(*id, view_member.boot_id), *id))
            .collect();
        let members = view.members.iter().map(member).collect();
        self.replicator.update_view(now_ms, ViewNumber(view.number), members);
    }

    pub(super) fn update_suspected(&mut self, now_ms: f64, suspected: &BTreeSet<NodeId>) {
        let replicas = self.members.iter().filter(|(_, member)| suspected.contains(member));
        self.replicator.update_suspected(now_ms, replicas.map(|(replica, _)| *replica).collect());
    }

    /// Handles a message of another replica. Messages that can't be decoded or that address an earlier start of this
    /// process are dropped.
    pub(super) fn handle_message(&mut self, now_ms: f64, from: NodeId, to: NodeId, bytes: &[u8]) {
        if to != self.local {
            return;
        }
        if let Ok(message) = decode::<Message>(bytes) {
            self.replicator.handle_message(now_ms, from, message);
        }
    }

    pub(super) fn handle_timeout(&mut self, now_ms: f64) {
        self.replicator.handle_timeout(now_ms);
    }

    pub(super) fn poll_timeout(&self) -> f64 {
        self.replicator.poll_timeout().min(self.handoff_deadline_ms.unwrap_or(f64::INFINITY))
    }

    /// Starts handing records off to other members.
    pub(super) fn start_handoff(&mut self, now_ms: f64, deadline_ms: f64) {
        self.handoff_deadline_ms.get_or_insert(deadline_ms);
        self.replicator.start_handoff(now_ms);
    }

    /// Returns the result of the handoff once, when it is complete or its deadline has passed.
    pub(super) fn poll_handoff(&mut self, now_ms: f64) -> Option<HandoffEnd> {
        let deadline_ms = self.handoff_deadline_ms?;
        let complete = self.replicator.is_handoff_complete();
        if !complete && now_ms < deadline_ms {
            return None;
        }
        self.handoff_deadline_ms = None;
        let _ = self.events.try_send(ReplicationEvent::HandoffEnded);
        let remaining = self.replicator.record_count() + self.requests.len();
        Some(if complete { HandoffEnd::Complete } else { HandoffEnd::DeadlinePassed { remaining } })
    }

    /// Passes events to the event loop. Returns the local replica id and the messages to other replicas, each as
    /// receiver and bytes.
    pub(super) fn poll_actions(&mut self) -> (NodeId, Vec<(NodeId, Vec<u8>)>) {
        let actions = self.replicator.poll_actions();
        for event in actions.events {
            if let Some(event) = self.driver_event(event) {
                // The channel is unbounded, and it holds at most as many events as the event loop has open requests.
                let _ = self.events.try_send(event);
            }
        }
        let encode = |(to, message): (NodeId, Message)| (to, encode_payload(&message));
        (self.local, actions.messages.into_iter().map(encode).collect())
    }

    /// Converts an event to the event loop's ids. The last event of a request removes its ids.
    fn driver_event(&mut self, event: Event) -> Option<ReplicationEvent> {
        Some(match event {
            Event::Launch(request) => ReplicationEvent::Launch(*self.open.get(&request)?),
            Event::OutcomeProvisional(request, outcome) => {
                ReplicationEvent::OutcomeProvisional(*self.open.get(&request)?, outcome)
            }
            Event::AlreadyCompleted(request, outcome) => {
                ReplicationEvent::AlreadyCompleted(self.close(request)?, outcome)
            }
            Event::OutcomeReplicated(request, outcome) => {
                ReplicationEvent::OutcomeReplicated(self.close(request)?, outcome)
            }
            Event::Rejected(request) => ReplicationEvent::Rejected(self.close(request)?),
        })
    }

    fn close(&mut self, request: RequestId) -> Option<u32> {
        let id = self.open.remove(&request)?;
        self.requests.remove(&id);
        Some(id)
    }
}

#[cfg(test)]
mod tests;
