//! The gossip state machine of one member; see the [module documentation](super).

use std::cmp::Ordering;
use std::net::SocketAddr;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::config::GossipConfig;
use super::digest::{bucket, checksums, Checksums, BUCKETS};
use super::dissemination::BroadcastQueue;
use super::member::{MemberState, MemberUpdate, NodeInfo};
use super::message::{Destination, Message};
use super::probe::{LocalHealth, PendingProbes, ProbeRound, Requester};
use super::suspicion::suspicion_deadline_ms;
use super::table::{MemberEntry, MemberTable};
use crate::identity::NodeId;

/// Maximum number of `Sync` messages that answer a digest. Entries that do not fit are sent in later exchanges.
const MAX_SYNC_MESSAGES: usize = 8;
/// Number of differing buckets above which the next digest is sent early. It is also sent early while exchanges add
/// members.
const EARLY_SYNC_BUCKETS: usize = BUCKETS / 4;
/// Number of members to which this member announces at once that it drains or leaves.
const LEAVE_FANOUT: usize = 8;

/// Whether an update that changes no state is disseminated further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Relay {
    Always,
    OnStateChange,
}

/// A member of the cluster. Performs no I/O: each input takes the current time in milliseconds, and
/// [`Swim::poll_messages`] returns the messages to send.
#[derive(Clone, Debug)]
pub struct Swim {
    own: MemberUpdate,
    config: GossipConfig,
    table: MemberTable,
    round: ProbeRound,
    probes: PendingProbes,
    health: LocalHealth,
    queue: BroadcastQueue,
    seeds: Vec<SocketAddr>,
    probe_at_ms: f64,
    sync_at_ms: f64,
    reconnect_at_ms: f64,
    /// Time of the next broadcast, or infinity if no change is pending.
    broadcast_at_ms: f64,
    /// Time of the last broadcast.
    last_broadcast_ms: f64,
    rng: Pcg32,
    send: Vec<(Destination, Message)>,
    now_ms: f64,
}

impl Swim {
    /// Creates a member that knows no others. `seeds` are addresses of members to contact.
    pub fn new(node: NodeInfo, config: GossipConfig, seeds: Vec<SocketAddr>, seed: u64, now_ms: f64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        // A random phase keeps members that start simultaneously from probing simultaneously.
        let phase = rng.random::<f64>();
        let mut own = MemberUpdate::initial(node);
        own.boot_id = rng.random();
        Swim {
            queue: BroadcastQueue::new(own.boot_id | 1),
            own,
            config,
            table: MemberTable::default(),
            round: ProbeRound::default(),
            probes: PendingProbes::default(),
            health: LocalHealth::new(config.max_health_score),
            seeds,
            probe_at_ms: now_ms + config.probe_interval_ms * phase,
            sync_at_ms: now_ms + config.sync_interval_ms * phase,
            reconnect_at_ms: now_ms,
            broadcast_at_ms: f64::INFINITY,
            last_broadcast_ms: f64::NEG_INFINITY,
            rng,
            send: Vec::new(),
            now_ms,
        }
    }

    // ---- inputs ------------------------------------------------------------------------------------

    /// Handles a message from a node at an address. Its updates are applied whoever the sender is. The message itself
    /// does not change the sender's state and only records the contact.
    pub fn handle_message(&mut self, now_ms: f64, from: NodeId, address: SocketAddr, message: Message) {
        self.now_ms = now_ms;
        if from == self.own.node.id || self.own.state == MemberState::Left {
            return;
        }
        self.table.record_contact(from, now_ms);
        let address = self.table.address_of(from).unwrap_or(address);
        let sender = Destination { id: Some(from), address };
        match message {
            Message::Ping { nonce, updates } => {
                self.apply_updates(updates);
                // Includes the entry of a sender considered suspect or dead, so that the sender can refute it.
                let updates = self.updates_for(Some(from));
                self.send.push((sender, Message::Ack { nonce, updates }));
            }
            Message::Ack { nonce, updates } => {
                self.apply_updates(updates);
                self.handle_ack(nonce, from);
            }
            Message::PingRequest { nonce, target, address, updates } => {
                self.apply_updates(updates);
                if !self.probes.is_full() {
                    let destination = Destination { id: Some(target), address };
                    self.probe(destination, target, Some(Requester { id: from, nonce }));
                }
            }
            Message::IndirectAck { nonce, updates } => {
                self.apply_updates(updates);
                if self.probes.remove(nonce).is_some() {
                    self.health.record_indirect_ack();
                }
            }
            Message::Broadcast { updates } => self.apply_updates(updates),
            Message::Digest { checksums, reply } => self.handle_digest(sender, &checksums, reply),
            Message::Sync { updates } => self.handle_sync(updates),
        }
    }

    /// Handles the timeouts that are due at [`Swim::poll_timeout`].
    pub fn handle_timeout(&mut self, now_ms: f64) {
        self.now_ms = now_ms;
        self.handle_overdue_probes();
        self.expire_suspicions();
        self.remove_expired_members();
        if self.probe_at_ms <= now_ms {
            let next_ms = self.probe_at_ms + self.config.probe_interval_ms * self.health.multiplier();
            self.probe_at_ms = next_ms.max(now_ms + 1.0);
            self.probe_next();
        }
        if self.reconnect_at_ms <= now_ms {
            self.reconnect_at_ms = now_ms + self.config.reconnect_interval_ms;
            self.reconnect();
        }
        if self.sync_at_ms <= now_ms {
            let jitter = 0.5 + self.rng.random::<f64>();
            self.sync_at_ms = now_ms + self.config.sync_interval_ms * jitter;
            self.send_digest();
        }
        if self.broadcast_at_ms <= now_ms {
            (self.broadcast_at_ms, self.last_broadcast_ms) = (f64::INFINITY, now_ms);
            self.broadcast();
        }
    }

    /// Handles the end of a pause of the process. Acknowledgements that seem late may not be, so pending probes are
    /// discarded and the timeouts of suspicions restart.
    pub fn handle_resume(&mut self, now_ms: f64) {
        self.now_ms = now_ms;
        self.probes.clear();
        self.table.restart_suspicions(now_ms);
        self.health.record_pause();
        self.probe_at_ms = now_ms;
    }

    /// Sets whether this member processes requests.
    pub fn set_ready(&mut self, now_ms: f64, ready: bool) {
        self.now_ms = now_ms;
        if self.own.ready != ready {
            self.own.ready = ready;
            self.raise_incarnation(self.own.incarnation);
        }
    }

    /// Announces that this member is about to leave. It remains a member until [`Swim::leave`].
    pub fn drain(&mut self, now_ms: f64) {
        self.now_ms = now_ms;
        if !self.own.draining {
            self.own.draining = true;
            self.raise_incarnation(self.own.incarnation);
            self.announce_own();
        }
    }

    /// Leaves the cluster and announces that to a few members.
    pub fn leave(&mut self, now_ms: f64) {
        self.now_ms = now_ms;
        self.own.state = MemberState::Left;
        self.own.incarnation += 1;
        self.queue.enqueue(self.own.node.id);
        self.announce_own();
    }

    /// Returns the time at which to call [`Swim::handle_timeout`].
    pub fn poll_timeout(&self) -> f64 {
        let (timeout_ms, interval_ms) = self.probe_times();
        let probes = self.probes.poll_timeout(timeout_ms, interval_ms);
        let own = self.probe_at_ms.min(self.sync_at_ms).min(self.reconnect_at_ms).min(self.broadcast_at_ms);
        own.min(probes.max(self.now_ms + 1.0))
    }

    /// Returns the messages to send from all calls since the last poll.
    pub fn poll_messages(&mut self) -> Vec<(Destination, Message)> {
        std::mem::take(&mut self.send)
    }

    // ---- queries -----------------------------------------------------------------------------------

    /// Returns the update of this member on itself.
    pub fn own(&self) -> &MemberUpdate {
        &self.own
    }

    /// Returns all other known members, including dead ones, and the time at which this node recorded the state of
    /// each.
    pub fn others(&self) -> impl Iterator<Item = (&MemberUpdate, f64)> {
        self.table.entries().map(|entry| (&entry.update, entry.since_ms))
    }

    /// Returns the latest update on a member, which may be this one.
    pub fn find(&self, id: NodeId) -> Option<&MemberUpdate> {
        if id == self.own.node.id {
            return Some(&self.own);
        }
        self.table.get(id).map(|entry| &entry.update)
    }

    /// Returns the time of the last message received directly from another member.
    pub fn last_contact_ms(&self, id: NodeId) -> Option<f64> {
        self.table.get(id).map(|entry| entry.last_contact_ms)
    }

    /// Returns the present members, this one first.
    pub fn present(&self) -> impl Iterator<Item = &MemberUpdate> {
        let others = self.table.entries().map(|entry| &entry.update);
        std::iter::once(&self.own).chain(others).filter(|update| update.state.is_present())
    }

    /// Returns the present members at an address.
    pub fn present_at(&self, address: SocketAddr) -> impl Iterator<Item = &MemberUpdate> {
        let others = self.table.at_address(address).map(|entry| &entry.update);
        let own = Some(&self.own).filter(|own| own.node.address == address);
        own.into_iter().chain(others).filter(|update| update.state.is_present())
    }

    /// Returns the number of updates in the dissemination queue.
    pub fn pending_updates(&self) -> usize {
        self.queue.len()
    }

    fn other_destinations(&self) -> Vec<Destination> {
        let present = self.table.entries().filter(|entry| entry.update.state.is_present());
        present.map(destination_of).collect()
    }

    // ---- probes ------------------------------------------------------------------------------------

    fn probe_next(&mut self) {
        let Some(target) = self.round.next(&self.table, &mut self.rng) else { return };
        if let Some(address) = self.table.address_of(target) {
            self.probe(Destination { id: Some(target), address }, target, None);
        }
    }

    fn probe(&mut self, destination: Destination, target: NodeId, requester: Option<Requester>) {
        let nonce = self.rng.random();
        self.probes.insert(nonce, target, self.now_ms, requester);
        self.ping(destination, nonce, Some(target));
    }

    fn ping(&mut self, destination: Destination, nonce: u64, target: Option<NodeId>) {
        let updates = self.updates_for(target);
        self.send.push((destination, Message::Ping { nonce, updates }));
    }

    fn handle_ack(&mut self, nonce: u64, from: NodeId) {
        let Some(probe) = self.probes.remove_acknowledged(nonce, from) else { return };
        let Some(Requester { id, nonce }) = probe.requester else { return self.health.record_ack() };
        let Some(address) = self.table.address_of(id) else { return };
        let updates = self.updates_for(Some(id));
        let message = Message::IndirectAck { nonce, updates };
        self.send.push((Destination { id: Some(id), address }, message));
    }

    /// Returns the time until a probe is late and the time until it fails.
    fn probe_times(&self) -> (f64, f64) {
        let multiplier = self.health.multiplier();
        (self.config.probe_timeout_ms * multiplier, self.config.probe_interval_ms * multiplier)
    }

    fn handle_overdue_probes(&mut self) {
        let (timeout_ms, interval_ms) = self.probe_times();
        let overdue = self.probes.take_overdue(self.now_ms, timeout_ms, interval_ms);
        for (nonce, target) in overdue.late {
            self.request_probes(nonce, target);
        }
        for target in overdue.failed {
            self.health.record_failure();
            let present = self.table.get(target).filter(|entry| entry.update.state.is_present());
            if let Some(entry) = present {
                let update = entry.update.reported(MemberState::Suspect, self.own.node.id);
                self.apply(update, Relay::Always);
            }
        }
    }

    fn request_probes(&mut self, nonce: u64, target: NodeId) {
        let Some(address) = self.table.address_of(target) else { return };
        let mut others = self.other_destinations();
        others.retain(|other| other.id != Some(target));
        others.shuffle(&mut self.rng);
        for other in others.into_iter().take(self.config.indirect_probes) {
            let updates = self.updates_for(other.id);
            self.send.push((other, Message::PingRequest { nonce, target, address, updates }));
        }
    }

    /// Pings a dead member or a seed without a known member, so that the two sides of a healed partition find each
    /// other.
    fn reconnect(&mut self) {
        let known = |address: SocketAddr| self.present_at(address).next().is_some();
        let dead = self.table.not_alive().filter(|entry| entry.update.state == MemberState::Dead);
        let mut candidates: Vec<Destination> =
            dead.map(destination_of).filter(|candidate| !known(candidate.address)).collect();
        let seeds = self.seeds.iter().filter(|seed| !known(**seed));
        candidates.extend(seeds.map(|seed| Destination { id: None, address: *seed }));
        let chosen = self.rng.random_range(0..candidates.len().max(1));
        let Some(candidate) = candidates.get(chosen) else { return };
        self.ping_without_probe(*candidate);
        let is_alone = self.present().nth(1).is_none();
        if is_alone {
            for candidate in candidates {
                self.ping_without_probe(Destination { id: None, ..candidate });
            }
        }
    }

    /// Pings without a pending probe: a missing acknowledgement has no consequence.
    fn ping_without_probe(&mut self, destination: Destination) {
        let nonce = self.rng.random();
        self.ping(destination, nonce, None);
    }

    // ---- suspicions --------------------------------------------------------------------------------

    fn expire_suspicions(&mut self) {
        let multiplier = self.health.multiplier();
        let members = self.table.len();
        let deadline_ms = |entry: &MemberEntry| {
            let suspected_by = entry.suspected_by.len();
            suspicion_deadline_ms(&self.config, entry.since_ms, members, multiplier, suspected_by)
        };
        let expired = |entry: &&MemberEntry| {
            entry.update.state == MemberState::Suspect && self.now_ms >= deadline_ms(entry)
        };
        let dead: Vec<MemberUpdate> = self
            .table
            .not_alive()
            .filter(expired)
            .map(|entry| entry.update.reported(MemberState::Dead, self.own.node.id))
            .collect();
        dead.into_iter().for_each(|update| self.apply(update, Relay::Always));
    }

    fn remove_expired_members(&mut self) {
        let before_ms = self.now_ms - self.config.removal_delay_ms;
        let expired = |entry: &&MemberEntry| !entry.update.state.is_present() && entry.since_ms <= before_ms;
        let removed: Vec<NodeId> =
            self.table.not_alive().filter(expired).map(|entry| entry.update.node.id).collect();
        removed.into_iter().for_each(|id| self.table.remove(id));
    }

    // ---- dissemination -----------------------------------------------------------------------------

    /// Sends this member's own update to a few others at once, instead of only with its next probes.
    fn announce_own(&mut self) {
        let mut others = self.other_destinations();
        others.shuffle(&mut self.rng);
        for destination in others.into_iter().take(LEAVE_FANOUT) {
            let updates = vec![self.own.clone()];
            self.send.push((destination, Message::Broadcast { updates }));
        }
    }

    /// Sends queued updates to a few members. They do the same, so a change reaches all members after a few such steps.
    fn broadcast(&mut self) {
        let mut others = self.other_destinations();
        let (chosen, _) = others.partial_shuffle(&mut self.rng, self.config.broadcast_fanout);
        for destination in chosen.iter().copied() {
            let updates = self.updates_for(destination.id);
            self.send.push((destination, Message::Broadcast { updates }));
        }
    }

    /// Schedules a broadcast as early as the broadcast interval allows. Changes in quick succession share a broadcast,
    /// so that the failure of a zone does not cause a flood of messages.
    fn schedule_broadcast(&mut self) {
        let next_ms = self.last_broadcast_ms + self.config.broadcast_interval_ms;
        self.broadcast_at_ms = self.broadcast_at_ms.min(next_ms.max(self.now_ms));
    }

    /// Returns the updates to piggyback on a message: this member's own, the receiver's if it is not alive, so that it
    /// can refute it, and queued ones.
    fn updates_for(&mut self, receiver: Option<NodeId>) -> Vec<MemberUpdate> {
        let table = &self.table;
        let is_alive =
            |id: NodeId| table.get(id).is_none_or(|entry| entry.update.state == MemberState::Alive);
        let selected = self.queue.select(self.config.updates_per_message, table.len(), is_alive);
        let mut updates = Vec::with_capacity(selected.len() + 2);
        updates.push(self.own.clone());
        let refutable = receiver.filter(|id| !is_alive(*id)).and_then(|id| table.get(id));
        updates.extend(refutable.map(|entry| entry.update.clone()));
        let others = selected.into_iter().filter(|id| *id != self.own.node.id && Some(*id) != receiver);
        updates.extend(others.filter_map(|id| table.get(id)).map(|entry| entry.update.clone()));
        updates
    }

    fn apply_updates(&mut self, updates: Vec<MemberUpdate>) {
        let limit = self.config.updates_per_sync + self.config.updates_per_message + 2;
        updates.into_iter().take(limit).for_each(|update| self.apply(update, Relay::Always));
    }

    /// Applies an update. All changes of other members' states go through this function.
    fn apply(&mut self, update: MemberUpdate, relay: Relay) {
        let (id, alive) = (update.node.id, update.state == MemberState::Alive);
        if id == self.own.node.id {
            return self.refute(&update);
        }
        let known = self.table.get(id).map(|entry| entry.update.precedence());
        let disseminate = match known {
            Some(known) => {
                self.apply_to_known(update, known).map(|changed| changed || relay == Relay::Always)
            }
            None => self.add_member(update).then_some(relay == Relay::Always),
        };
        if disseminate.is_some_and(|disseminate| disseminate || !alive) {
            self.queue.enqueue(id);
        }
    }

    /// Applies an update on a known member. Returns whether its state changed, or `None` if the update is not newer.
    fn apply_to_known(&mut self, update: MemberUpdate, known: (u32, MemberState)) -> Option<bool> {
        match update.precedence().cmp(&known) {
            Ordering::Less => None,
            Ordering::Equal => {
                if self.table.confirm_suspicion(&update) {
                    self.queue.enqueue(update.node.id);
                }
                None
            }
            Ordering::Greater => {
                let changed = self.table.replace(update, self.now_ms);
                if changed {
                    self.schedule_broadcast();
                }
                Some(changed)
            }
        }
    }

    /// Adds an unknown member. Returns false if the update is refused. Updates on dead and left members are refused,
    /// because they are of no use to a member that never knew them.
    fn add_member(&mut self, update: MemberUpdate) -> bool {
        let full = self.table.len() >= self.config.max_members;
        let refused = !update.state.is_present() || full || update.has_overlong_name();
        if refused || self.is_replaced_id(&update) {
            return false;
        }
        self.declare_replaced_ids_dead(&update);
        let id = update.node.id;
        self.table.insert(update, self.now_ms);
        self.round.insert(id, &mut self.rng);
        if self.table.len() == 1 {
            // Fetch the whole table from the first member that becomes known.
            self.schedule_early_sync();
        }
        true
    }

    /// Declares the older ids with the same name and address dead. A name that returns under another id has lost its
    /// storage or never had any.
    fn declare_replaced_ids_dead(&mut self, new: &MemberUpdate) {
        let is_replaced =
            |update: &&MemberUpdate| update.node.name == new.node.name && update.node.id != self.own.node.id;
        let replaced: Vec<MemberUpdate> = self
            .present_at(new.node.address)
            .filter(is_replaced)
            .map(|update| update.reported(MemberState::Dead, new.node.id))
            .collect();
        replaced.into_iter().for_each(|update| self.apply(update, Relay::Always));
    }

    /// Returns whether a present member has the same name and address and a newer id. Guards against a delayed update
    /// on the old id, which would declare the newer id dead. If a clock was set back, the new id seems older and is
    /// refused until the old one is dead.
    fn is_replaced_id(&self, update: &MemberUpdate) -> bool {
        self.present_at(update.node.address).any(|other| {
            other.node.name == update.node.name && other.node.created_at_ms > update.node.created_at_ms
        })
    }

    /// Refutes an incorrect update on this member by raising the incarnation.
    fn refute(&mut self, update: &MemberUpdate) {
        let correct = update.state == MemberState::Alive && update.boot_id == self.own.boot_id;
        let newer = update.incarnation >= self.own.incarnation;
        if !correct && newer && self.own.state != MemberState::Left {
            self.raise_incarnation(update.incarnation);
        }
    }

    fn raise_incarnation(&mut self, above: u32) {
        self.own.incarnation = self.own.incarnation.max(above) + 1;
        self.queue.enqueue(self.own.node.id);
        self.schedule_broadcast();
    }

    // ---- anti-entropy ------------------------------------------------------------------------------

    fn checksums(&self) -> Checksums {
        checksums(self.present())
    }

    fn send_digest(&mut self) {
        let others = self.other_destinations();
        let chosen = self.rng.random_range(0..others.len().max(1));
        let Some(other) = others.get(chosen) else { return };
        let checksums = self.checksums().to_vec();
        self.send.push((*other, Message::Digest { checksums, reply: true }));
    }

    fn schedule_early_sync(&mut self) {
        let delay_ms = self.config.sync_retry_interval_ms * (0.5 + self.rng.random::<f64>());
        self.sync_at_ms = self.sync_at_ms.min(self.now_ms + delay_ms);
    }

    /// Answers a digest with the entries of differing buckets, as far as they fit in a few messages. The entries are
    /// shuffled, so that several members asked by the same sender answer with different ones.
    fn handle_digest(&mut self, sender: Destination, remote: &[u32], reply: bool) {
        let own = self.checksums();
        if remote.len() != BUCKETS || remote == own {
            return;
        }
        let differs: Vec<bool> = own.iter().zip(remote).map(|(own, remote)| own != remote).collect();
        if differs.iter().filter(|differs| **differs).count() > EARLY_SYNC_BUCKETS {
            self.schedule_early_sync();
        }
        let known = self.table.entries().map(|entry| &entry.update).chain([&self.own]);
        let mut updates: Vec<&MemberUpdate> =
            known.filter(|update| differs[bucket(update.node.id)]).collect();
        let limit = self.config.updates_per_sync * MAX_SYNC_MESSAGES;
        let (chosen, _) = updates.partial_shuffle(&mut self.rng, limit);
        for chunk in chosen.chunks(self.config.updates_per_sync.max(1)) {
            let updates = chunk.iter().copied().cloned().collect();
            self.send.push((sender, Message::Sync { updates }));
        }
        if reply {
            self.send.push((sender, Message::Digest { checksums: own.to_vec(), reply: false }));
        }
    }

    fn handle_sync(&mut self, updates: Vec<MemberUpdate>) {
        let before = self.table.len();
        for update in updates.into_iter().take(self.config.updates_per_sync) {
            self.apply(update, Relay::OnStateChange);
        }
        if self.table.len() > before {
            self.schedule_early_sync();
        }
    }
}

fn destination_of(entry: &MemberEntry) -> Destination {
    Destination { id: Some(entry.update.node.id), address: entry.update.node.address }
}

#[cfg(test)]
mod tests;
