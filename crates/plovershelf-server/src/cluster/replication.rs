//! Replication's part of the cluster's thread: the state machine between the event loop's requests, the links and the clock.

use std::collections::{BTreeMap, BTreeSet};

use async_channel::Sender;
use plovershelf_cluster::wire::{decode, encode_payload};
use plovershelf_cluster::{NodeId, View, ViewMember};
use plovershelf_replication::{
    Event, IdempotencyKey, Member, Message, Outcome, ReplicationConfig, Replicator, RequestId, ViewNumber,
};

/// What the event loop wants for one of its open requests, by its number there.
pub enum ReplicationCommand {
    /// It is to be launched, within so long; its outcome is retained for so long.
    Reserve {
        /// The request's number.
        id: u32,
        /// What it is known by on all members.
        key: IdempotencyKey,
        /// It may be launched for so long from when this is handled.
        within_ms: f64,
        /// Its outcome is kept for so long.
        retention_ms: f64,
    },
    /// Its run ended.
    Complete {
        /// The request's number.
        id: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// It was given up: released unless it was launched.
    Cancel {
        /// The request's number.
        id: u32,
    },
    /// It was to be launched and never was.
    CancelLaunch {
        /// The request's number.
        id: u32,
    },
}

/// What the event loop is told of its requests, by its number for each.
pub enum ReplicationEvent {
    /// It holds its key and is to be launched.
    Launch(u32),
    /// Another attempt under its key has this outcome.
    AlreadyCompleted(u32, Outcome),
    /// All replicas have its outcome.
    OutcomeReplicated(u32, Outcome),
    /// What there is to answer with if the deadline comes before all replicas have it.
    OutcomeProvisional(u32, Outcome),
    /// It does not get its key in time, and did not run.
    Rejected(u32),
    /// This member may leave: its records are stored elsewhere, or its time for that is over.
    HandoffEnded,
}

/// How handing records off has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HandoffEnd {
    Complete,
    /// The deadline came first; for so many records and requests it is not certain that others have them.
    DeadlinePassed {
        remaining: usize,
    },
}

/// A member as replication knows it: one start of its process, as what a process stored is gone with it though its folder may be kept.
/// Without this a process that is back at once would count as one that confirmed what it no longer has.
fn replica_id(member: NodeId, boot_id: u64) -> NodeId {
    let hash = (member.0 ^ boot_id.rotate_left(29)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    NodeId(hash ^ hash >> 31)
}

/// Names the machine of a member: its host where the view has several, else its whole address.
fn machine(seat: &ViewMember, hosts: &BTreeSet<std::net::IpAddr>) -> String {
    if hosts.len() > 1 {
        seat.address.ip().to_string()
    } else {
        seat.address.to_string()
    }
}

/// The state machine of replication, and which of the event loop's requests its own numbers mean.
pub(super) struct ReplicationDriver {
    local: NodeId,
    /// Members of the view by their replica ids.
    members: BTreeMap<NodeId, NodeId>,
    replicator: Replicator,
    /// The event loop's numbers by the state machine's, and the other way round.
    open: BTreeMap<RequestId, u32>,
    requests: BTreeMap<u32, RequestId>,
    events: Sender<ReplicationEvent>,
    /// Until when this member hands its records off, once it leaves.
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

    /// The member behind a replica id of the view.
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

    /// No key is placed on a member that leaves.
    pub(super) fn update_view(&mut self, now_ms: f64, view: &View) {
        let hosts: BTreeSet<_> = view.members.values().map(|seat| seat.address.ip()).collect();
        let member = |(id, seat): (&NodeId, &ViewMember)| Member {
            id: replica_id(*id, seat.boot_id),
            zone: seat.zone.clone(),
            machine: machine(seat, &hosts),
            weight: if seat.draining { 0.0 } else { 1.0 },
        };
        self.members = view.members.iter().map(|(id, seat)| (replica_id(*id, seat.boot_id), *id)).collect();
        let members = view.members.iter().map(member).collect();
        self.replicator.update_view(now_ms, ViewNumber(view.number), members);
    }

    pub(super) fn update_suspected(&mut self, now_ms: f64, suspected: &BTreeSet<NodeId>) {
        let replicas = self.members.iter().filter(|(_, member)| suspected.contains(member));
        self.replicator.update_suspected(now_ms, replicas.map(|(replica, _)| *replica).collect());
    }

    /// A message that cannot be read, or is for another start of the process, is dropped.
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

    /// This member leaves: its records are to be stored elsewhere by the deadline.
    pub(super) fn start_handoff(&mut self, now_ms: f64, deadline_ms: f64) {
        self.handoff_deadline_ms.get_or_insert(deadline_ms);
        self.replicator.start_handoff(now_ms);
    }

    /// Once, when handing off is complete or its deadline has come.
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

    /// Tells the event loop its events, and returns what goes to other members: the local replica id, then receivers and bytes.
    pub(super) fn poll_actions(&mut self) -> (NodeId, Vec<(NodeId, Vec<u8>)>) {
        let actions = self.replicator.poll_actions();
        for event in actions.events {
            if let Some(event) = self.driver_event(event) {
                // The channel is unbounded, and holds no more than the event loop has open.
                let _ = self.events.try_send(event);
            }
        }
        let encode = |(to, message): (NodeId, Message)| (to, encode_payload(&message));
        (self.local, actions.messages.into_iter().map(encode).collect())
    }

    /// An event with the event loop's number; the last one of a request forgets both numbers.
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
