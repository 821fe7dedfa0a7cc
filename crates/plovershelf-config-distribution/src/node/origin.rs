//! Origin behavior: proposals and commits, placement of listeners, and the exchange between origins.

use std::net::SocketAddr;

use rand::RngExt;

use super::{Node, ProposalError, Role, Warning};
use crate::change::{Change, Edit};
use crate::entry::MAX_NAME_BYTES;
use crate::message::{
    Aggregate, Attachment, Message, NodeInfo, RelayInfo, MAX_ADDRESSES, MAX_ATTACHMENTS, MAX_RELAYS,
};
use crate::placement::ParentRequest;
use crate::version::Version;

/// Number of child names that are sent again to the other origins with each list of relays.
const RESENT_CHILD_NAMES: usize = 4;

impl Node {
    /// Returns the next change for these edits, validated against the table in force. Only origins prepare changes.
    ///
    /// If `after` is given, it must be the newest version number. The driver proposes the change to the consensus
    /// group and calls [`Node::handle_commit`] once the change is committed.
    ///
    /// # Errors
    ///
    /// Returns an error if this process is a listener, if it is behind or in conflict with another process, or if the
    /// edits can't be applied.
    pub fn prepare_change(
        &self,
        edits: Vec<Edit>,
        after: Option<u64>,
        epoch: u64,
        proposed_unix_ms: u64,
    ) -> Result<Change, ProposalError> {
        let previous = self.store.version();
        if self.role != Role::Origin {
            return Err(ProposalError::NotAnOrigin(self.info.name.clone()));
        }
        if let Some(after) = after.filter(|after| *after != previous.number) {
            return Err(ProposalError::NotAfterNewest { after, newest: previous.number });
        }
        let mut children = self.fan_out.children().iter();
        if let Some(child) = children.find(|child| child.aggregate.version > previous) {
            let (relay, relay_version) = (child.node.name.clone(), child.aggregate.version);
            return Err(ProposalError::Behind { relay, relay_version, own_version: previous });
        }
        // Reject proposals if another origin started from a different table, since a change based on the wrong table
        // would take effect everywhere. The digests in the heartbeats of the other origins reveal the difference.
        if let Some(origin) = self.origins.conflicting_with(previous, self.store.short_digest()) {
            return Err(ProposalError::ConflictingOrigin { origin, version: previous });
        }
        let digest = self.table().validate(&edits)?;
        let number = previous.number.checked_add(1).ok_or(ProposalError::VersionNumbersExhausted)?;
        let version = Version { epoch: epoch.max(previous.epoch), number };
        Ok(Change { version, previous, digest, edits, proposed_unix_ms })
    }

    /// Applies a change that the consensus group has committed. The driver calls it on origins only.
    pub fn handle_commit(&mut self, now_ms: f64, change: Change) {
        self.note_input(now_ms);
        let (version, current) = (change.version, self.store.version());
        if version <= current {
            self.check_known_change(&change);
            return;
        }
        if let Err(error) = self.apply(now_ms, change) {
            self.warn(Warning::CommittedChangeNotApplied { version, current, error });
            let others: Vec<SocketAddr> = self.origins.addresses().collect();
            for other in others {
                self.send(other, Message::Probe);
            }
        }
        self.flush_deltas(now_ms);
    }

    /// Sends the lists of relays to the other origins and the lists of alternate parents to children. Periodically
    /// moves one relay to a better origin.
    pub(super) fn handle_origin_timeout(&mut self, now_ms: f64) {
        if now_ms < self.timers.relay_list_ms {
            return;
        }
        self.timers.relay_list_ms = now_ms + self.config.relay_list_interval_ms;
        self.rebalance_origins(now_ms);
        self.requeue_child_names(now_ms);
        let attached = self.attachments.take_pending(MAX_ATTACHMENTS);
        let relays = self.placement.own_relays(&self.fan_out);
        let peers: Vec<SocketAddr> = self.origins.addresses().collect();
        for peer in peers {
            let origin = self.info.clone();
            self.send(peer, Message::OriginRelays { origin, relays: relays.clone() });
            if !attached.is_empty() {
                self.send(peer, Message::Attachments(attached.clone()));
            }
        }
        self.send_alternates(now_ms);
    }

    fn rebalance_origins(&mut self, now_ms: f64) {
        if now_ms < self.timers.rebalance_ms {
            return;
        }
        let interval_ms = self.rng.random_range(1.0..2.0) * self.config.rebalance_interval_ms;
        self.timers.rebalance_ms = now_ms + interval_ms;
        if let Some(relocation) = self.placement.relocation(now_ms, &self.fan_out, &self.origins) {
            self.send(relocation.relay, Message::Reattach(Some(relocation.to_origin)));
        }
    }

    /// Queues the names of a few children again, in rotation, since an earlier message may have been lost with a
    /// connection.
    fn requeue_child_names(&mut self, now_ms: f64) {
        for _ in 0..RESENT_CHILD_NAMES.min(self.fan_out.len()) {
            let Some(child) = self.fan_out.next_child_name() else { break };
            self.attachments.record(now_ms, &child, self.info.address);
            self.attachments.enqueue(&child, self.info.address);
        }
    }

    /// Handles a listener's request for a parent.
    pub(super) fn on_find_parent(&mut self, now_ms: f64, request: &ParentRequest<'_>) {
        if self.role != Role::Origin {
            self.send(request.from, Message::Rejected);
            return;
        }
        if request.node.is_bounded() && request.excluded.len() <= MAX_ADDRESSES {
            let answer =
                self.placement.handle_find_parent(now_ms, request, &mut self.fan_out, &mut self.origins);
            self.send(request.from, answer);
        }
    }

    /// Records the processes that attached to a child, and notifies the child about missing processes that are
    /// attached elsewhere.
    pub(super) fn record_child_attachments(
        &mut self,
        now_ms: f64,
        from: SocketAddr,
        aggregate: &mut Aggregate,
    ) {
        for name in std::mem::take(&mut aggregate.attached) {
            self.record_attachment(now_ms, &name, from);
            self.attachments.enqueue(&name, from);
        }
        let attachments = &self.attachments;
        let relocated: Vec<String> =
            aggregate.missing.extract_if(.., |name| attachments.is_attached_elsewhere(name, from)).collect();
        if !relocated.is_empty() {
            self.send(from, Message::Relocated(relocated));
        }
    }

    /// Records the attachments that another origin reports.
    pub(super) fn on_attachments(&mut self, now_ms: f64, from: SocketAddr, attached: Vec<Attachment>) {
        if attached.len() > MAX_ATTACHMENTS || !self.origins.contains(from) {
            return;
        }
        for Attachment { name, parent } in attached {
            if name.len() <= MAX_NAME_BYTES {
                self.record_attachment(now_ms, &name, parent);
            }
        }
    }

    /// Records the parent of a process, which is therefore no longer missing.
    fn record_attachment(&mut self, now_ms: f64, name: &str, parent: SocketAddr) {
        self.attachments.record(now_ms, name, parent);
        self.timed_out.remove(name);
    }

    /// Records the identity and the relays of another origin.
    pub(super) fn on_origin_relays(
        &mut self,
        now_ms: f64,
        from: SocketAddr,
        origin: NodeInfo,
        relays: Vec<RelayInfo>,
    ) {
        let is_bounded =
            relays.iter().all(|relay| relay.zone.len().max(relay.region.len()) <= MAX_NAME_BYTES);
        if is_bounded && relays.len() <= MAX_RELAYS && origin.is_bounded() && self.origins.contains(from) {
            self.origins.handle_relays(now_ms, from, origin, relays);
        }
    }
}
