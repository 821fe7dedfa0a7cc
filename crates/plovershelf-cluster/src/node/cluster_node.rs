//! The state machine of a cluster node; see the [module documentation](super).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::bootstrap;
use super::catch_up::{awaited_epoch, Adoption, CatchUp};
use super::config::{NodeConfig, Startup};
use super::digests::DigestTable;
use super::epoch_recovery::{EpochRecovery, RecoverError, RecoveryMembership, RecoveryStep};
use super::event::{Actions, Event, Notice};
use super::leader_duties::{LeaderContext, LeaderDuties};
use super::voters::{is_superseded, ReplaceError};
use crate::broken::{self, BrokenRule};
use crate::consensus::{self, Payload, PersistentState, Raft};
use crate::gossip::{Destination, MemberState, NodeInfo, Swim};
use crate::identity::{Epoch, NodeId};
use crate::lease::{Grant, MemberLease};
use crate::state::{ClusterState, Command, VersionedValue, MAX_VALUE_BYTES};
use crate::view::View;
use crate::wire::{Envelope, NodeMessage, StateDigest};

/// Interval between two reconciliations of the view and the voters.
const RECONCILE_INTERVAL_MS: f64 = 50.0;
/// Number of non-voters to which the leader sends a committed entry at once. All others learn of it from digests.
const COMMIT_FANOUT: usize = 16;
/// Number of uncommitted entries above which proposals of values are refused.
const MAX_UNCOMMITTED_VALUES: u64 = 64;
/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 64;
/// Time without a message from a leader, in multiples of the longest election timeout, after which there is considered
/// to be no leader. Longer than an election takes.
const NO_LEADER_TIMEOUTS: f64 = 3.0;

/// A node of the cluster. Performs no I/O: each input takes the current time in milliseconds of a monotonic clock, and
/// [`ClusterNode::poll_actions`] returns the resulting actions.
#[derive(Clone, Debug)]
pub struct ClusterNode {
    node: NodeInfo,
    config: NodeConfig,
    initial_voters: Vec<String>,
    swim: Swim,
    raft: Raft<ClusterState>,
    digests: DigestTable,
    lease: MemberLease,
    duties: LeaderDuties,
    catch_up: CatchUp,
    recovery: Option<EpochRecovery>,
    /// Whether this node has left the cluster.
    has_left: bool,
    /// Value of the last [`Event::Lease`].
    reported_lease: Option<u64>,
    /// Value of the last [`Event::Leader`].
    reported_leader: Option<NodeId>,
    renew_at_ms: f64,
    reconcile_at_ms: f64,
    /// Time of the last message from a leader.
    leader_contact_ms: f64,
    last_timeout_ms: f64,
    now_ms: f64,
    rng: Pcg32,
    actions: Actions,
}

impl ClusterNode {
    /// Creates a node from its startup parameters.
    pub fn new(startup: Startup, now_ms: f64) -> Self {
        let Startup { node, config, seeds, initial_voters, persistent, seed } = startup;
        let (raft_seed, gossip_seed) = (seed ^ 0x5bd1_e995, seed ^ 0x9e37_79b9);
        let empty = ClusterState::default();
        let catch_up = CatchUp::new(now_ms, config.fetch_interval_ms);
        ClusterNode {
            raft: Raft::new(node.id, config.raft, persistent, empty, raft_seed, now_ms),
            swim: Swim::new(node.clone(), config.gossip, seeds, gossip_seed, now_ms),
            node,
            config,
            initial_voters,
            digests: DigestTable::default(),
            lease: MemberLease::default(),
            duties: LeaderDuties::default(),
            catch_up,
            recovery: None,
            has_left: false,
            reported_lease: None,
            reported_leader: None,
            renew_at_ms: now_ms,
            reconcile_at_ms: now_ms,
            leader_contact_ms: f64::NEG_INFINITY,
            last_timeout_ms: now_ms,
            now_ms,
            rng: Pcg32::seed_from_u64(seed),
            actions: Actions::default(),
        }
    }

    // ---- inputs ------------------------------------------------------------------------------------

    /// Handles a message from another node.
    pub fn handle_message(&mut self, now_ms: f64, envelope: Envelope) {
        self.now_ms = self.now_ms.max(now_ms);
        let Envelope { from, address, to, message } = envelope;
        if to.is_some_and(|to| to != self.node.id) || from == self.node.id {
            return;
        }
        let sender = Destination { id: Some(from), address };
        match message {
            NodeMessage::Gossip { message, digest } => {
                let (epoch, max_nodes) = (self.raft.epoch(), self.config.gossip.max_members);
                self.digests.record(from, digest, max_nodes, epoch);
                self.swim.handle_message(now_ms, from, address, message);
                self.fetch_if_behind(sender, digest);
            }
            NodeMessage::Consensus { epoch, message } => {
                self.handle_consensus(now_ms, from, sender, epoch, message)
            }
            NodeMessage::FetchCommitted { epoch, index } => self.handle_fetch(sender, epoch, index),
            NodeMessage::CommittedEntries { epoch, previous, entries } => {
                self.raft.handle_relayed_entries(now_ms, epoch, previous, &entries)
            }
            NodeMessage::CommittedSnapshot { epoch, snapshot } => {
                if self.may_adopt(epoch) {
                    self.raft.handle_relayed_snapshot(now_ms, epoch, &snapshot);
                }
            }
            NodeMessage::LeaseRequest { sent_at_us } => self.handle_lease_request(from, sender, sent_at_us),
            NodeMessage::LeaseGrant { sent_at_us, epoch, view, duration_ms } => {
                let requested_at_ms = sent_at_us as f64 / 1000.0;
                self.handle_lease_grant(Grant { requested_at_ms, epoch, view, duration_ms })
            }
            NodeMessage::Propose { nonce, key, version, bytes } => {
                let accepted = self.propose_value(&key, version, bytes);
                self.send(sender, NodeMessage::ProposeResponse { nonce, accepted });
            }
            NodeMessage::ProposeResponse { nonce, accepted } => {
                self.actions.events.push(Event::ProposalAnswered { nonce, accepted })
            }
            NodeMessage::EpochConsentRequest { epoch } => self.handle_consent_request(sender, epoch),
            NodeMessage::EpochConsent { epoch, persistent, refusal } => {
                self.handle_consent(from, epoch, persistent, refusal)
            }
        }
        self.collect_actions();
    }

    /// Handles the timeouts that are due at [`ClusterNode::poll_timeout`].
    pub fn handle_timeout(&mut self, now_ms: f64) {
        let paused = now_ms - self.last_timeout_ms > self.config.pause_threshold_ms;
        (self.now_ms, self.last_timeout_ms) = (now_ms, now_ms);
        if paused {
            self.swim.handle_resume(now_ms);
            self.notice(Notice::ProcessPaused);
        }
        self.swim.handle_timeout(now_ms);
        self.raft.handle_timeout(now_ms);
        if self.renew_at_ms <= now_ms {
            self.renew_at_ms = now_ms + self.config.lease_renew_interval_ms;
            self.request_lease();
        }
        if self.reconcile_at_ms <= now_ms {
            self.reconcile_at_ms = now_ms + RECONCILE_INTERVAL_MS;
            self.reconcile();
        }
        self.collect_actions();
    }

    /// Sets whether this node processes requests, and announces a change by gossip.
    pub fn set_ready(&mut self, now_ms: f64, ready: bool) {
        self.now_ms = self.now_ms.max(now_ms);
        self.swim.set_ready(now_ms, ready);
    }

    /// Announces that this node is about to leave. The next view marks it as draining, so that it gets no new work
    /// while it hands off its data.
    pub fn drain(&mut self, now_ms: f64) {
        self.now_ms = self.now_ms.max(now_ms);
        self.swim.drain(now_ms);
        self.collect_actions();
    }

    /// Leaves the cluster for good, announces that and releases the lease.
    pub fn leave(&mut self, now_ms: f64) {
        self.now_ms = self.now_ms.max(now_ms);
        self.has_left = true;
        self.lease.release();
        self.swim.leave(now_ms);
        self.collect_actions();
    }

    /// Handles a failure of the storage. Discards all pending messages that depend on it and releases the lease.
    pub fn handle_storage_failed(&mut self, now_ms: f64) {
        self.now_ms = self.now_ms.max(now_ms);
        self.raft.handle_storage_failed(now_ms);
        self.actions.save.clear();
        self.actions.send.retain(|(_, envelope)| !envelope.message.depends_on_storage());
        self.lease.release();
    }

    /// Handles the end of a storage failure. The driver must have stored the whole state before this call.
    pub fn handle_storage_restored(&mut self, now_ms: f64) {
        self.now_ms = self.now_ms.max(now_ms);
        self.raft.handle_storage_restored(now_ms);
    }

    /// Proposes a value for a key. A committed value takes effect only if `version` is one more than that of the value
    /// it replaces. Returns the nonce of the [`Event::ProposalAnswered`] that follows.
    pub fn propose(&mut self, now_ms: f64, key: &str, version: u64, bytes: Vec<u8>) -> u64 {
        self.now_ms = self.now_ms.max(now_ms);
        let nonce = self.rng.random();
        if self.raft.leads() {
            let accepted = self.propose_value(key, version, bytes);
            self.actions.events.push(Event::ProposalAnswered { nonce, accepted });
        } else if let Some(leader) = self.leader_destination() {
            self.send(leader, NodeMessage::Propose { nonce, key: key.to_string(), version, bytes });
        } else {
            self.actions.events.push(Event::ProposalAnswered { nonce, accepted: false });
        }
        self.collect_actions();
        nonce
    }

    /// Requests the replacement of a voter without waiting for it to be lost.
    ///
    /// # Errors
    ///
    /// Returns an error if this node is not the leader or the name is not that of another voter.
    pub fn replace_voter(&mut self, now_ms: f64, name: &str) -> Result<(), ReplaceError> {
        self.now_ms = self.now_ms.max(now_ms);
        if !self.raft.leads() {
            let leader = self.leader().and_then(|id| self.name_of(id));
            return Err(leader.map_or(ReplaceError::NoLeader, |leader| ReplaceError::NotLeader { leader }));
        }
        let has_name = |id: &NodeId| self.name_of(*id).as_deref() == Some(name);
        let Some(id) = self.raft.voters().iter().copied().find(has_name) else {
            let voters = self.raft.voters().iter().filter_map(|id| self.name_of(*id)).collect();
            return Err(ReplaceError::NoVoter { name: name.to_string(), voters });
        };
        if id == self.node.id {
            return Err(ReplaceError::Leader { name: name.to_string() });
        }
        self.duties.request_replacement(id);
        Ok(())
    }

    /// Starts the recovery into a new epoch without the lost nodes. [`Event::RecoveryEnded`] reports its result.
    ///
    /// # Errors
    ///
    /// Returns an error if the recovery cannot start.
    pub fn recover(&mut self, now_ms: f64, lost: &[String]) -> Result<(), RecoverError> {
        self.now_ms = self.now_ms.max(now_ms);
        if self.raft.epoch() == Epoch::NONE {
            return Err(RecoverError::NoEpoch);
        }
        let voters = self.raft.voters();
        let membership = RecoveryMembership::of(lost, self.view(), voters)?;
        let remaining = voters.iter().filter(|id| !membership.lost.contains(id)).count();
        if remaining > voters.len() / 2 && self.no_leader_since_ms().is_none() {
            return Err(RecoverError::HasMajority { remaining, voters: voters.len() });
        }
        if !membership.survivors.contains(&self.node.id) {
            return Err(RecoverError::NoSurvivor);
        }
        let epoch = membership.next_epoch(self.raft.epoch().max(self.raft.promised_epoch()));
        self.consent(epoch)?;
        let persistent = self.raft.persistent().clone();
        self.recovery = Some(EpochRecovery::new(now_ms, epoch, membership, self.node.id, persistent));
        self.continue_recovery();
        self.collect_actions();
        Ok(())
    }

    /// Returns the time at which to call [`ClusterNode::handle_timeout`].
    pub fn poll_timeout(&self) -> f64 {
        let parts = self.reconcile_at_ms.min(self.swim.poll_timeout()).min(self.raft.poll_timeout());
        parts.min(self.renew_at_ms).max(self.now_ms + 1.0)
    }

    /// Returns the actions from all calls since the last poll.
    pub fn poll_actions(&mut self) -> Actions {
        self.collect_actions();
        std::mem::take(&mut self.actions)
    }

    // ---- queries -----------------------------------------------------------------------------------

    /// Returns the description of this node.
    pub fn node(&self) -> &NodeInfo {
        &self.node
    }
    /// Returns the gossip state machine.
    pub fn swim(&self) -> &Swim {
        &self.swim
    }
    /// Returns the consensus state machine.
    pub fn raft(&self) -> &Raft<ClusterState> {
        &self.raft
    }
    /// Returns the latest view known to this node.
    pub fn view(&self) -> &View {
        &self.raft.state().view
    }
    /// Returns the latest value of a key known to this node.
    pub fn value(&self, key: &str) -> Option<&VersionedValue> {
        self.raft.state().values.get(key)
    }
    /// Returns the nodes whose presence differs from the view, and the time since which it does. Empty unless this node
    /// is the leader.
    pub fn differing(&self) -> &BTreeMap<NodeId, f64> {
        self.duties.differing()
    }

    /// Returns the number of the view by which this node may act now, or `None` if it is not in the view or has no
    /// valid lease.
    pub fn may_act(&self, now_ms: f64) -> Option<u64> {
        let view = self.view();
        if !view.members.contains_key(&self.node.id) || self.has_left {
            return None;
        }
        if broken::is(BrokenRule::LeaseNotChecked) {
            return Some(view.number);
        }
        if awaited_epoch(&self.raft).is_some() {
            return None;
        }
        if self.raft.leads() {
            return (now_ms < self.raft.leader_lease_until_ms()).then_some(view.number);
        }
        // A lease granted under a view is also valid for the later views that this node has seen.
        self.lease.valid_view(now_ms, self.raft.epoch()).map(|granted| granted.max(view.number))
    }

    /// Returns the leader of the newest term among those known to this node and those in other nodes' digests.
    pub fn leader(&self) -> Option<NodeId> {
        let own = self.raft.leader().map(|id| (self.raft.term(), id));
        let others = self.digests.leader(self.raft.epoch());
        others.into_iter().chain(own).max_by_key(|(term, _)| *term).map(|(_, id)| id)
    }

    /// Returns the time of the last message from a leader if it is longer ago than an election takes, otherwise `None`.
    pub fn no_leader_since_ms(&self) -> Option<f64> {
        let timeout_ms = self.config.raft.election_timeout_ms[1] * NO_LEADER_TIMEOUTS;
        (self.now_ms - self.leader_contact_ms > timeout_ms).then_some(self.leader_contact_ms)
    }

    /// Returns the members of the view that gossip considers suspect, dead or left.
    pub fn suspected(&self) -> BTreeSet<NodeId> {
        let not_alive =
            |id: &&NodeId| self.swim.find(**id).is_some_and(|update| update.state != MemberState::Alive);
        self.view().members.keys().filter(not_alive).copied().collect()
    }

    /// Returns the name of a node from gossip, the view or earlier view changes.
    pub fn name_of(&self, id: NodeId) -> Option<String> {
        let known = self.swim.find(id).map(|update| &update.node.name);
        let member = self.view().members.get(&id).map(|member| &member.name);
        let changes = self.raft.state().view_changes.iter();
        let mut changed = changes.flat_map(|change| change.left.iter().chain(&change.joined));
        let past = || changed.find(|(other, _)| *other == id).map(|(_, name)| name);
        known.or(member).or_else(past).cloned()
    }

    fn address_of(&self, id: NodeId) -> Option<SocketAddr> {
        let known = self.swim.find(id).map(|update| update.node.address);
        known.or_else(|| self.view().members.get(&id).map(|member| member.address))
    }

    fn destination_of(&self, id: NodeId) -> Option<Destination> {
        Some(Destination { id: Some(id), address: self.address_of(id)? })
    }

    fn leader_destination(&self) -> Option<Destination> {
        self.leader().and_then(|id| self.destination_of(id))
    }

    // ---- periodic work -----------------------------------------------------------------------------

    fn reconcile(&mut self) {
        self.bootstrap_if_first();
        let state = self.raft.state();
        let superseded = |id: &NodeId| is_superseded(*id, &self.swim, state);
        let lost = self.raft.voters().iter().copied().filter(superseded).collect();
        self.raft.set_lost_nodes(self.now_ms, lost);
        let context = LeaderContext {
            now_ms: self.now_ms,
            own_id: self.node.id,
            config: &self.config,
            swim: &self.swim,
        };
        self.duties.reconcile(&context, &mut self.raft);
        self.continue_recovery();
    }

    fn bootstrap_if_first(&mut self) {
        let first = self.initial_voters.first() == Some(&self.node.name);
        let without_epoch = self.raft.epoch() == Epoch::NONE && self.raft.promised_epoch() == Epoch::NONE;
        if !first || !without_epoch {
            return;
        }
        let state = bootstrap::initial_state(&self.initial_voters, &self.swim, &self.digests);
        let Some(state) = state else { return };
        let voters = state.view.members.keys().copied().collect();
        let epoch = Epoch::new(1, self.rng.random::<u64>() | 1);
        self.notice(Notice::Bootstrapped);
        self.raft.bootstrap(self.now_ms, epoch, voters, state);
    }

    // ---- consensus and committed state -------------------------------------------------------------

    fn handle_consensus(
        &mut self,
        now_ms: f64,
        from: NodeId,
        sender: Destination,
        epoch: Epoch,
        message: consensus::Message<ClusterState>,
    ) {
        let own = self.raft.epoch();
        if epoch == own && awaited_epoch(&self.raft).is_none() {
            use consensus::Message::{AppendEntries, InstallSnapshot};
            if matches!(message, AppendEntries { .. } | InstallSnapshot { .. }) {
                self.leader_contact_ms = now_ms;
            }
            self.raft.handle_message(now_ms, from, message);
        } else if epoch < own && epoch != Epoch::NONE {
            // Bring a node of an older epoch into the current one.
            self.send_snapshot(sender);
        }
    }

    fn may_adopt(&mut self, epoch: Epoch) -> bool {
        let adoption = self.catch_up.adoption(epoch, &self.raft);
        if adoption == Adoption::NewForeignCluster {
            self.notice(Notice::OtherClusterMet);
        }
        adoption == Adoption::Allowed
    }

    fn digest(&self) -> StateDigest {
        StateDigest {
            epoch: self.raft.epoch(),
            commit_index: self.raft.commit_index(),
            term: self.raft.term(),
            leader: self.raft.leader(),
        }
    }

    fn fetch_if_behind(&mut self, sender: Destination, remote: StateDigest) {
        if self.catch_up.should_fetch(self.now_ms, &self.raft, &remote) && self.may_adopt(remote.epoch) {
            self.catch_up.record_fetch(self.now_ms);
            let (epoch, index) = (self.raft.epoch(), self.raft.commit_index());
            self.send(sender, NodeMessage::FetchCommitted { epoch, index });
        }
    }

    fn handle_fetch(&mut self, sender: Destination, epoch: Epoch, index: u64) {
        let committed = self.raft.committed_after(index).filter(|_| epoch == self.raft.epoch());
        match committed {
            Some((previous, entries)) if !entries.is_empty() => {
                self.send(sender, NodeMessage::CommittedEntries { epoch, previous, entries })
            }
            Some(_) => {}
            None => self.send_snapshot(sender),
        }
    }

    fn send_snapshot(&mut self, to: Destination) {
        let epoch = self.raft.epoch();
        if epoch != Epoch::NONE {
            let snapshot = self.raft.snapshot();
            self.send(to, NodeMessage::CommittedSnapshot { epoch, snapshot });
        }
    }

    /// Sends the last committed entry from the leader to some non-voters, so that few have to wait for a digest.
    fn relay_commit(&mut self) {
        if !self.raft.leads() {
            return;
        }
        let voters = self.raft.voters();
        let members = self.view().members.keys().copied().filter(|id| !voters.contains(id));
        let members: Vec<NodeId> = members.take(COMMIT_FANOUT).collect();
        let before = self.raft.commit_index().checked_sub(1);
        let committed = before.and_then(|index| self.raft.committed_after(index));
        let Some((previous, entries)) = committed else { return };
        let epoch = self.raft.epoch();
        for destination in self.destinations_of(members) {
            let entries = entries.clone();
            self.send(destination, NodeMessage::CommittedEntries { epoch, previous, entries });
        }
    }

    /// Appends a value to the log. Returns whether it was accepted.
    fn propose_value(&mut self, key: &str, version: u64, bytes: Vec<u8>) -> bool {
        let before = self.value(key).map_or(0, |value| value.version);
        let uncommitted = self.raft.persistent().last().index - self.raft.commit_index();
        let valid = bytes.len() <= MAX_VALUE_BYTES && key.len() <= MAX_KEY_BYTES && version > before;
        if !valid || uncommitted > MAX_UNCOMMITTED_VALUES {
            return false;
        }
        let command = Command::SetValue { key: key.to_string(), version, bytes };
        self.raft.propose(self.now_ms, Payload::Command(command)).is_some()
    }

    // ---- leases ------------------------------------------------------------------------------------

    fn request_lease(&mut self) {
        if self.raft.leads() || self.has_left || self.raft.epoch() == Epoch::NONE {
            return;
        }
        if let Some(leader) = self.leader_destination() {
            let sent_at_us = (self.now_ms.max(0.0) * 1000.0) as u64;
            self.send(leader, NodeMessage::LeaseRequest { sent_at_us });
        }
    }

    fn handle_lease_request(&mut self, from: NodeId, sender: Destination, sent_at_us: u64) {
        let context = LeaderContext {
            now_ms: self.now_ms,
            own_id: self.node.id,
            config: &self.config,
            swim: &self.swim,
        };
        if !self.duties.grant_lease(from, &context, &self.raft) {
            return;
        }
        let message = NodeMessage::LeaseGrant {
            sent_at_us,
            epoch: self.raft.epoch(),
            view: self.view().number,
            duration_ms: self.config.lease_duration_ms,
        };
        self.send(sender, message);
    }

    fn handle_lease_grant(&mut self, grant: Grant) {
        let current = grant.epoch == self.raft.epoch() && !self.has_left;
        if current && self.lease.accept(self.now_ms, grant, &self.config.lease_timing()) {
            self.leader_contact_ms = self.now_ms;
        }
    }

    // ---- recovery from the loss of a majority ------------------------------------------------------

    /// Promises to wait for a later epoch. All such promises go through this function: a node never promises an epoch
    /// older than one promised before, nor two epochs with the same number.
    fn consent(&mut self, epoch: Epoch) -> Result<(), RecoverError> {
        let promised = self.raft.promised_epoch();
        let newest = promised.number().max(self.raft.epoch().number());
        if epoch != promised && epoch.number() <= newest {
            return Err(RecoverError::AlreadyConsented { node: self.node.name.clone(), newest });
        }
        self.raft.promise_epoch(epoch);
        self.lease.release();
        Ok(())
    }

    fn handle_consent_request(&mut self, sender: Destination, epoch: Epoch) {
        let (persistent, refusal) = match self.consent(epoch) {
            Ok(()) => (Some(Box::new(self.raft.persistent().clone())), None),
            Err(why) => (None, Some(why.to_string())),
        };
        self.send(sender, NodeMessage::EpochConsent { epoch, persistent, refusal });
    }

    fn handle_consent(
        &mut self,
        from: NodeId,
        epoch: Epoch,
        persistent: Option<Box<PersistentState<ClusterState>>>,
        refusal: Option<String>,
    ) {
        let recovery = self.recovery.as_mut();
        let expected =
            |recovery: &&mut EpochRecovery| recovery.epoch() == epoch && recovery.survivors().contains(&from);
        let Some(recovery) = recovery.filter(expected) else { return };
        if let Some(why) = refusal {
            return self.end_recovery(Err(RecoverError::Refused(why)));
        }
        if let Some(persistent) = persistent {
            recovery.record_consent(from, *persistent);
        }
        self.continue_recovery();
    }

    fn continue_recovery(&mut self) {
        let Some(recovery) = &mut self.recovery else { return };
        let epoch = recovery.epoch();
        match recovery.next_step(self.now_ms, self.config.fetch_interval_ms) {
            RecoveryStep::Wait => {}
            RecoveryStep::Complete => self.complete_recovery(),
            RecoveryStep::Expired(missing) => {
                let members = &self.view().members;
                let names = missing.iter().filter_map(|id| Some(members.get(id)?.name.clone()));
                let missing = names.collect();
                self.end_recovery(Err(RecoverError::MissingConsent { missing }));
            }
            RecoveryStep::RequestConsent(missing) => {
                for destination in self.destinations_of(missing) {
                    self.send(destination, NodeMessage::EpochConsentRequest { epoch });
                }
            }
        }
    }

    fn complete_recovery(&mut self) {
        let Some(recovery) = self.recovery.take() else { return };
        let Some(snapshot) = recovery.outcome(self.config.voters) else { return };
        self.raft.adopt_epoch(recovery.epoch(), snapshot);
        let others = recovery.survivors().iter().copied().filter(|id| *id != self.node.id).collect();
        for destination in self.destinations_of(others) {
            self.send_snapshot(destination);
        }
        self.end_recovery(Ok(recovery.epoch().number()));
    }

    fn end_recovery(&mut self, outcome: Result<u64, RecoverError>) {
        self.recovery = None;
        self.actions.events.push(Event::RecoveryEnded(outcome));
    }

    // ---- output ------------------------------------------------------------------------------------

    fn destinations_of(&self, ids: Vec<NodeId>) -> Vec<Destination> {
        ids.into_iter().filter_map(|id| self.destination_of(id)).collect()
    }

    /// Sends a message to a node's known address, or else to the address that its message came from.
    fn send(&mut self, to: Destination, message: NodeMessage) {
        let address = to.id.and_then(|id| self.address_of(id)).unwrap_or(to.address);
        let envelope = self.envelope(to.id, message);
        self.actions.send.push((Destination { id: to.id, address }, envelope));
    }

    fn envelope(&self, to: Option<NodeId>, message: NodeMessage) -> Envelope {
        Envelope { from: self.node.id, address: self.node.address, to, message }
    }

    fn notice(&mut self, notice: Notice) {
        self.actions.events.push(Event::Notice(notice));
    }

    /// Collects the actions of consensus and gossip, and emits events for changes.
    fn collect_actions(&mut self) {
        self.collect_consensus();
        self.collect_gossip();
        let leader = self.leader();
        if leader != self.reported_leader {
            self.reported_leader = leader;
            self.actions.events.push(Event::Leader(leader));
        }
        if self.raft.leads() {
            self.leader_contact_ms = self.now_ms;
        }
        let may_act = self.may_act(self.now_ms);
        if may_act != self.reported_lease {
            self.reported_lease = may_act;
            self.actions.events.push(Event::Lease(may_act));
        }
    }

    fn collect_consensus(&mut self) {
        let raft = self.raft.poll_actions();
        self.actions.save.extend(raft.save);
        let epoch = self.raft.epoch();
        for (to, message) in raft.send {
            if let Some(destination) = self.destination_of(to) {
                self.send(destination, NodeMessage::Consensus { epoch, message });
            }
        }
        let mut view_changed = raft.snapshot_installed;
        for (_, payload) in raft.committed {
            match payload {
                Payload::Command(Command::ChangeView { .. }) => view_changed = true,
                Payload::Command(Command::SetValue { key, version, .. }) => {
                    self.actions.events.push(Event::ValueCommitted { key, version });
                    self.relay_commit();
                }
                // Remove a lost voter as soon as its replacement is a voter: while both are voters, one more loss could
                // cost the group its majority.
                Payload::Voters(_) => self.reconcile_at_ms = self.now_ms,
                Payload::Noop => {}
            }
        }
        if view_changed {
            self.actions.events.push(Event::View(self.view().clone()));
            self.relay_commit();
        }
    }

    fn collect_gossip(&mut self) {
        let digest = self.digest();
        for (destination, message) in self.swim.poll_messages() {
            let envelope = self.envelope(destination.id, NodeMessage::Gossip { message, digest });
            self.actions.send.push((destination, envelope));
        }
    }
}
