//! The Raft state machine of one node. The [module documentation](super) describes its roles and transitions.

use std::collections::BTreeSet;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::election::VoteRequest;
use super::entry::{Entry, LogPosition, Payload, Snapshot, StateMachine, Term, VoterConfig};
use super::follower::{self, AppendOutcome, FollowerState};
use super::leader::{AppendResponse, LeaderState};
use super::log::ReplicatedLog;
use super::membership::{is_safe_change, majority};
use super::message::{Actions, Ballot, Message};
use super::persistent::PersistentState;
use super::recovery::{Recovery, RecoveryOutcome, VoterReport};
use super::replication::SendMode;
use super::role::{RaftConfig, Role};
use crate::broken::{self, BrokenRule};
use crate::identity::{Epoch, NodeId};

/// The recorded vote of a recovered voter, which may have voted before its restart and does not know for whom.
const UNKNOWN_VOTE: NodeId = NodeId(0);
/// Maximum number of uncommitted entries. Further proposals are refused.
const MAX_UNCOMMITTED: u64 = 256;

/// A node of a consensus group. Performs no I/O: each input takes the current time in milliseconds of a monotonic
/// clock, and the resulting actions are returned by [`Raft::poll_actions`].
#[derive(Clone, Debug)]
pub struct Raft<S: StateMachine> {
    id: NodeId,
    config: RaftConfig,
    log: ReplicatedLog<S>,
    role: Role,
    follower_state: FollowerState,
    leader_state: LeaderState,
    /// Nodes that are permanently lost because their names have returned under other ids.
    lost: BTreeSet<NodeId>,
    rng: Pcg32,
    send: Vec<(NodeId, Message<S>)>,
    now_ms: f64,
}

impl<S: StateMachine> Raft<S> {
    /// Creates a node from `persistent`, its state on disk. If `persistent` is `None`, the node belongs to no consensus
    /// group yet, and `empty`, the state machine before the first command, is its state.
    pub fn new(
        id: NodeId,
        config: RaftConfig,
        persistent: Option<PersistentState<S>>,
        empty: S,
        seed: u64,
        now_ms: f64,
    ) -> Self {
        let persistent = persistent.unwrap_or_else(|| PersistentState::empty(empty));
        let mut raft = Raft {
            id,
            config,
            log: ReplicatedLog::new(persistent),
            role: Role::NonVoter,
            follower_state: FollowerState::new(config.election_timeout_ms),
            leader_state: LeaderState::new(id, config),
            lost: BTreeSet::new(),
            rng: Pcg32::seed_from_u64(seed),
            send: Vec::new(),
            now_ms,
        };
        if raft.is_voter() {
            raft.start_recovery(Term::default());
            if broken::is(BrokenRule::VoteWithoutRecovery) {
                raft.become_follower();
            }
        }
        raft
    }

    // ---- inputs ------------------------------------------------------------------------------------

    /// Starts a new consensus group with these voters and this initial state.
    pub fn bootstrap(&mut self, now_ms: f64, epoch: Epoch, voters: BTreeSet<NodeId>, state: S) {
        self.now_ms = now_ms;
        let last = LogPosition { term: Term(1), index: 1 };
        self.adopt_epoch(epoch, Snapshot { last, voters, voters_index: 1, state });
    }

    /// Joins a later epoch with its initial state or a later snapshot of it. Does nothing for an epoch that is not
    /// later.
    pub fn adopt_epoch(&mut self, epoch: Epoch, snapshot: Snapshot<S>) {
        if epoch <= self.log.epoch() || self.role == Role::StorageFailed {
            return;
        }
        self.log.adopt_epoch(epoch, snapshot);
        self.follower_state.set_leader(None);
        self.follower_state.clear_min_log();
        self.set_role(Role::NonVoter);
        self.reconcile_role();
    }

    /// Records the promise to wait for a later epoch. The promise survives a restart.
    pub fn promise_epoch(&mut self, epoch: Epoch) {
        self.log.promise_epoch(epoch);
    }

    /// Handles a message from another node of the same epoch.
    pub fn handle_message(&mut self, now_ms: f64, from: NodeId, message: Message<S>) {
        self.now_ms = now_ms;
        if self.role == Role::StorageFailed {
            return;
        }
        match message {
            Message::RequestVote { term, last, ballot } => {
                self.handle_vote_request(&VoteRequest { candidate: from, term, last, ballot })
            }
            Message::Vote { term, granted, ballot } => self.handle_vote(from, term, granted, ballot),
            Message::AppendEntries { term, previous, entries, commit_index, sent_at_us } => {
                if self.accept_leader(from, term, sent_at_us) {
                    self.handle_append(from, previous, &entries, commit_index, sent_at_us);
                }
            }
            Message::InstallSnapshot { term, snapshot, sent_at_us } => {
                if self.accept_leader(from, term, sent_at_us) {
                    self.handle_snapshot(from, snapshot, sent_at_us);
                }
            }
            Message::AppendResponse { term, matches, last_index, sent_at_us } => {
                self.handle_append_response(term, &AppendResponse { from, matches, last_index, sent_at_us })
            }
            Message::RecoveryRequest { nonce, min_term } => {
                self.handle_recovery_request(from, nonce, min_term)
            }
            Message::RecoveryResponse { nonce, term, last, voters_index, voters, active, leads } => {
                let config = VoterConfig { index: voters_index, voters };
                self.handle_recovery_response(from, nonce, VoterReport { term, last, active, leads }, config)
            }
        }
    }

    /// Handles the timeout that is due at [`Raft::poll_timeout`].
    pub fn handle_timeout(&mut self, now_ms: f64) {
        self.now_ms = now_ms;
        match &self.role {
            Role::Recovering(recovery) if recovery.retry_at_ms <= now_ms => {
                self.start_recovery(recovery.min_term)
            }
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. }
                if self.follower_state.election().is_expired(now_ms) =>
            {
                self.campaign(if self.config.pre_vote { Ballot::PreVote } else { Ballot::Vote })
            }
            Role::Leader if self.leader_state.heartbeat_at_ms() <= now_ms => self.handle_heartbeat_due(),
            _ => {}
        }
    }

    /// Appends an entry and returns its index. Returns `None` if this node is not the leader, too many entries are
    /// uncommitted or the change of voters is not allowed now.
    pub fn propose(&mut self, now_ms: f64, payload: Payload<S::Command>) -> Option<u64> {
        self.now_ms = now_ms;
        let uncommitted = self.log.last().index - self.log.commit_index();
        if !self.leads() || uncommitted >= MAX_UNCOMMITTED || !self.may_append(&payload) {
            return None;
        }
        let index = self.log.append(payload);
        self.reconcile_role();
        self.maybe_commit();
        self.send_to_all(SendMode::OnlyEntries);
        Some(index)
    }

    /// Handles a committed state relayed by any node, for nodes that no leader replicates to.
    pub fn handle_relayed_snapshot(&mut self, now_ms: f64, epoch: Epoch, snapshot: &Snapshot<S>) {
        self.now_ms = now_ms;
        if epoch > self.log.epoch() {
            self.adopt_epoch(epoch, snapshot.clone());
        } else if epoch == self.log.epoch()
            && self.accepts_relayed()
            && snapshot.last.index > self.log.commit_index()
        {
            self.log.install(snapshot.clone());
            self.reconcile_role();
        }
    }

    /// Handles committed entries relayed by any node; see [`Raft::handle_relayed_snapshot`].
    pub fn handle_relayed_entries(
        &mut self,
        now_ms: f64,
        epoch: Epoch,
        previous: LogPosition,
        entries: &[Entry<S::Command>],
    ) {
        self.now_ms = now_ms;
        let follows = previous.index == self.log.commit_index()
            && self.log.term_at(previous.index) == Some(previous.term);
        let Some(newest) = entries.last().map(|entry| entry.term) else { return };
        if epoch != self.log.epoch() || !self.accepts_relayed() || !follows {
            return;
        }
        if newest > self.log.term() {
            self.log.set_term(newest, None);
        }
        self.log.merge(previous.index, entries);
        self.log.commit_to(previous.index + entries.len() as u64);
        self.reconcile_role();
    }

    /// Sets the learner, a non-voter to which the leader replicates its log. [`Raft::match_indices`] returns its
    /// progress.
    pub fn set_learner(&mut self, learner: Option<NodeId>) {
        self.leader_state.set_learner(learner, self.log.voters());
    }

    /// Sets the permanently lost nodes, whose reports a recovering voter does not wait for. The group tolerates only one
    /// loss of storage, and the lost node accounts for it. The storage of the recovering voter is therefore assumed to
    /// be intact.
    pub fn set_lost_nodes(&mut self, now_ms: f64, lost: BTreeSet<NodeId>) {
        self.now_ms = now_ms;
        if lost == self.lost {
            return;
        }
        self.lost = lost;
        // Entries that a lost node reported may no longer exist on any node. If votes still required them, elections
        // would be blocked forever.
        if self.log.voters().iter().any(|id| self.lost.contains(id)) {
            self.follower_state.clear_min_log();
        }
        self.maybe_finish_recovery();
    }

    /// Handles a failure of the storage. Discards the pending actions: their records are not saved, so their messages
    /// must not be sent.
    pub fn handle_storage_failed(&mut self, now_ms: f64) {
        self.now_ms = now_ms;
        drop(self.poll_actions());
        self.follower_state.set_leader(None);
        self.set_role(Role::StorageFailed);
    }

    /// Handles the end of a storage failure. The driver must have stored all of [`Raft::persistent`] before this call.
    pub fn handle_storage_restored(&mut self, now_ms: f64) {
        self.now_ms = now_ms;
        if self.role == Role::StorageFailed {
            self.set_role(Role::NonVoter);
            if self.is_voter() {
                self.start_recovery(Term::default());
            }
        }
    }

    /// Returns the time at which to call [`Raft::handle_timeout`], or infinity.
    pub fn poll_timeout(&self) -> f64 {
        match &self.role {
            Role::NonVoter | Role::StorageFailed => f64::INFINITY,
            Role::Recovering(recovery) => recovery.retry_at_ms,
            Role::Leader => self.leader_state.heartbeat_at_ms(),
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. } => {
                self.follower_state.election().deadline_ms()
            }
        }
    }

    /// Returns the actions from all calls since the last poll.
    pub fn poll_actions(&mut self) -> Actions<S> {
        let log = self.log.poll_actions();
        Actions {
            save: log.save,
            send: std::mem::take(&mut self.send),
            committed: log.committed,
            snapshot_installed: log.snapshot_installed,
        }
    }

    // ---- queries -----------------------------------------------------------------------------------

    /// Returns the id of this node.
    pub fn id(&self) -> NodeId {
        self.id
    }
    /// Returns the epoch that this node belongs to.
    pub fn epoch(&self) -> Epoch {
        self.log.epoch()
    }
    /// Returns the later epoch that this node has promised to wait for, or [`Epoch::NONE`].
    pub fn promised_epoch(&self) -> Epoch {
        self.log.persistent().promised_epoch
    }
    /// Returns the latest term that this node has seen.
    pub fn term(&self) -> Term {
        self.log.term()
    }
    /// Returns the role of this node.
    pub fn role(&self) -> &Role {
        &self.role
    }
    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.follower_state.leader()
    }
    /// Returns whether this node is the leader.
    pub fn leads(&self) -> bool {
        self.role == Role::Leader
    }
    /// Returns the time at which the current leadership of this node began.
    pub fn leader_since_ms(&self) -> Option<f64> {
        self.leads().then(|| self.leader_state.since_ms())
    }
    /// Returns the index of the last committed entry.
    pub fn commit_index(&self) -> u64 {
        self.log.commit_index()
    }
    /// Returns the state machine after all committed commands.
    pub fn state(&self) -> &S {
        self.log.state()
    }
    /// Returns the state that must be on disk.
    pub fn persistent(&self) -> &PersistentState<S> {
        self.log.persistent()
    }
    /// Returns the voters in force.
    pub fn voters(&self) -> &BTreeSet<NodeId> {
        self.log.voters()
    }
    /// Returns the payloads of the entries that are not known to be committed.
    pub fn uncommitted(&self) -> impl Iterator<Item = &Payload<S::Command>> {
        self.log.uncommitted()
    }
    /// Returns the match index of this node, and on the leader also of the other voters and of the learner.
    pub fn match_indices(&self) -> Vec<(NodeId, u64)> {
        let own = (self.id, self.log.last().index);
        std::iter::once(own).chain(self.leader_state.match_indices()).collect()
    }
    /// Returns a snapshot at the commit index.
    pub fn snapshot(&self) -> Snapshot<S> {
        self.log.snapshot()
    }
    /// Returns the position of an index and the committed entries after it, or `None` if the index is compacted.
    pub fn committed_after(&self, index: u64) -> Option<(LogPosition, Vec<Entry<S::Command>>)> {
        self.log.committed_after(index)
    }

    /// Returns the time on this node's clock until which no other node can become leader, or negative infinity if this
    /// node is not the leader or has committed no entry in its term.
    ///
    /// A voter that received a leader's message grants no vote for the shortest election timeout. The lease lasts that
    /// long from the sending of the messages that a majority answered, shortened by the largest drift between clocks.
    pub fn leader_lease_until_ms(&self) -> f64 {
        if !self.leads() || !self.log.has_committed_in_term() {
            return f64::NEG_INFINITY;
        }
        self.leader_state.lease_until_ms(self.now_ms, self.voters())
    }

    /// Returns whether this node accepts committed entries relayed by any node. This is the case if no leader sends
    /// them: on a non-voter, and on a node that lost its leader, possibly because it has not learned that it is no
    /// voter any more. A voter with a leader takes entries from that leader only.
    pub fn accepts_relayed(&self) -> bool {
        match self.role {
            Role::NonVoter => true,
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. } => {
                self.follower_state.election().has_lost_leader(self.now_ms)
            }
            Role::Leader | Role::Recovering(_) | Role::StorageFailed => false,
        }
    }

    fn is_voter(&self) -> bool {
        self.voters().contains(&self.id)
    }

    fn is_active_voter(&self) -> bool {
        self.is_voter() && !matches!(self.role, Role::Recovering(_) | Role::StorageFailed | Role::NonVoter)
    }

    // ---- elections ---------------------------------------------------------------------------------

    fn campaign(&mut self, ballot: Ballot) {
        self.reset_election_timer();
        if !self.is_voter() || !self.follower_state.satisfies_min_log(self.log.last()) {
            return;
        }
        self.follower_state.set_leader(None);
        let term = self.log.term().next();
        match ballot {
            Ballot::PreVote => self.become_pre_candidate(),
            Ballot::Vote => self.become_candidate(term),
        }
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send(voter, Message::RequestVote { term, last, ballot });
        }
        self.maybe_win();
    }

    fn handle_vote_request(&mut self, request: &VoteRequest) {
        let (candidate, ballot) = (request.candidate, request.ballot);
        // The leader's lease relies on this refusal by the voters that answered it.
        let has_leader =
            self.leads() || self.follower_state.election().has_recent_leader_contact(self.now_ms);
        // A non-voter votes too: committing the entry that makes it a voter may require its vote.
        if has_leader || matches!(self.role, Role::Recovering(_) | Role::StorageFailed) {
            return self.send(candidate, Message::Vote { term: self.log.term(), granted: false, ballot });
        }
        if request.term > self.log.term() && ballot == Ballot::Vote {
            self.step_down(request.term);
        }
        let granted = self.follower_state.grants(request, &self.log);
        if granted && ballot == Ballot::Vote {
            if self.log.persistent().vote.is_none() {
                self.log.set_term(request.term, Some(candidate));
            }
            self.reset_election_timer();
        }
        let term = if granted { request.term } else { self.log.term() };
        self.send(candidate, Message::Vote { term, granted, ballot });
    }

    fn handle_vote(&mut self, from: NodeId, term: Term, granted: bool, ballot: Ballot) {
        if !granted {
            // A refused pre-vote updates the term as well. Otherwise a node with a longer log but an older term would
            // keep campaigning for a term that is already over.
            if term > self.log.term() && self.is_active_voter() {
                self.step_down(term);
            }
            return;
        }
        let is_voter = self.voters().contains(&from);
        let own_term = self.log.term();
        match (&mut self.role, ballot) {
            (Role::PreCandidate { granted }, Ballot::PreVote) if term == own_term.next() && is_voter => {
                granted.insert(from);
            }
            (Role::Candidate { granted }, Ballot::Vote) if term == own_term && is_voter => {
                granted.insert(from);
            }
            _ => return,
        }
        self.maybe_win();
    }

    fn maybe_win(&mut self) {
        let needed = majority(self.voters().len());
        match &self.role {
            Role::PreCandidate { granted } if granted.len() >= needed => self.campaign(Ballot::Vote),
            Role::Candidate { granted } if granted.len() >= needed => self.become_leader(),
            _ => {}
        }
    }

    fn become_pre_candidate(&mut self) {
        self.set_role(Role::PreCandidate { granted: BTreeSet::from([self.id]) });
    }

    fn become_candidate(&mut self, term: Term) {
        self.log.set_term(term, Some(self.id));
        self.set_role(Role::Candidate { granted: BTreeSet::from([self.id]) });
    }

    fn become_leader(&mut self) {
        self.set_role(Role::Leader);
        self.follower_state.set_leader(Some(self.id));
        self.leader_state.begin(self.now_ms);
        self.log.append(Payload::Noop);
        self.maybe_commit();
        self.send_to_all(SendMode::Heartbeat);
    }

    fn become_follower(&mut self) {
        self.reset_election_timer();
        self.set_role(Role::Follower);
    }

    // ---- replication, leader side ------------------------------------------------------------------

    /// Returns whether an entry may be appended now. A change of voters requires that the previous change is committed,
    /// and that an entry of this term is: entries of an earlier leader may include another change of voters.
    fn may_append(&self, payload: &Payload<S::Command>) -> bool {
        let Payload::Voters(voters) = payload else { return true };
        let ready = self.log.has_committed_in_term() && self.log.has_committed_voters();
        ready && is_safe_change(self.voters(), voters)
    }

    /// Sends heartbeats, or steps down if the leader has lost contact with a majority.
    fn handle_heartbeat_due(&mut self) {
        if self.leader_state.has_lost_quorum(self.now_ms, self.log.voters()) {
            self.follower_state.set_leader(None);
            return self.set_role(Role::Follower);
        }
        self.leader_state.schedule_heartbeat(self.now_ms);
        self.send_to_all(SendMode::Heartbeat);
    }

    fn send_to_all(&mut self, mode: SendMode) {
        self.send.extend(self.leader_state.messages(&self.log, self.now_ms, mode));
    }

    fn handle_append_response(&mut self, term: Term, response: &AppendResponse) {
        if term > self.log.term() {
            return self.step_down(term);
        }
        let (from, last) = (response.from, self.log.last().index);
        let in_term = self.leads() && term == self.log.term();
        if !in_term || !self.leader_state.handle_response(response, last, self.now_ms) {
            return;
        }
        if response.matches {
            self.maybe_commit();
        }
        if self.leads() {
            let message = self.leader_state.message(from, &self.log, self.now_ms, SendMode::OnlyEntries);
            self.send.extend(message.map(|message| (from, message)));
        }
    }

    fn maybe_commit(&mut self) {
        let index = self.leader_state.new_commit_index(&self.log);
        if let Some(index) = index.filter(|_| self.leads()) {
            self.log.commit_to(index);
            self.leader_state.expedite_commit(self.log.last().index);
            self.send_to_all(SendMode::Heartbeat);
            self.reconcile_role();
        }
    }

    // ---- replication, follower side ----------------------------------------------------------------

    /// Returns whether to process a message from a leader, and follows that leader if so. The message of an older
    /// leader is answered with the newer term.
    fn accept_leader(&mut self, from: NodeId, term: Term, sent_at_us: u64) -> bool {
        if term < self.log.term() || self.leads() && term == self.log.term() {
            let (term, last_index) = (self.log.term(), self.log.last().index);
            self.send(from, Message::AppendResponse { term, matches: false, last_index, sent_at_us });
            return false;
        }
        // A recovering voter must not acknowledge entries before it knows which state it may have lost.
        if matches!(self.role, Role::Recovering(_)) {
            return false;
        }
        if term > self.log.term() {
            self.log.set_term(term, None);
        }
        if !matches!(self.role, Role::Follower | Role::NonVoter) {
            self.set_role(Role::Follower);
        }
        self.follower_state.follow(from, self.now_ms, &mut self.rng);
        true
    }

    fn handle_append(
        &mut self,
        from: NodeId,
        previous: LogPosition,
        entries: &[Entry<S::Command>],
        commit_index: u64,
        sent_at_us: u64,
    ) {
        let AppendOutcome { matches, last_index } =
            follower::append(&mut self.log, previous, entries, commit_index);
        if matches {
            self.reconcile_role();
        }
        let term = self.log.term();
        self.send(from, Message::AppendResponse { term, matches, last_index, sent_at_us });
    }

    fn handle_snapshot(&mut self, from: NodeId, snapshot: Snapshot<S>, sent_at_us: u64) {
        let term = self.log.term();
        if snapshot.last.index > self.log.commit_index() {
            self.log.install(snapshot);
            self.reconcile_role();
        }
        let last_index = self.log.commit_index();
        self.send(from, Message::AppendResponse { term, matches: true, last_index, sent_at_us });
    }

    // ---- recovery ----------------------------------------------------------------------------------

    fn start_recovery(&mut self, min_term: Term) {
        // A single voter has no other voters that could report, so it has to rely on its disk.
        if self.voters().len() == 1 {
            return self.become_follower();
        }
        let recovery = match &self.role {
            Role::Recovering(recovery) => recovery.retry(min_term),
            _ => {
                let config =
                    VoterConfig { index: self.log.voters_index(), voters: self.log.voters().clone() };
                Recovery::new(config, min_term)
            }
        };
        self.request_reports(recovery);
    }

    fn request_reports(&mut self, mut recovery: Recovery) {
        if recovery.reports.is_empty() {
            recovery.nonce = self.rng.random();
        }
        recovery.retry_at_ms = self.now_ms + self.config.recovery_retry_ms;
        let (nonce, min_term) = (recovery.nonce, recovery.min_term);
        let others: Vec<NodeId> =
            recovery.voter_config.voters.iter().copied().filter(|id| *id != self.id).collect();
        self.set_role(Role::Recovering(recovery));
        others.into_iter().for_each(|id| self.send(id, Message::RecoveryRequest { nonce, min_term }));
    }

    fn handle_recovery_request(&mut self, from: NodeId, nonce: u64, min_term: Term) {
        if min_term > self.log.term() && !matches!(self.role, Role::NonVoter) {
            self.step_down(min_term);
        }
        self.leader_state.reset_progress(from);
        let response = Message::RecoveryResponse {
            nonce,
            term: self.log.term(),
            last: self.log.last().max(self.follower_state.min_log()),
            voters_index: self.log.voters_index(),
            voters: self.voters().clone(),
            active: self.is_active_voter(),
            leads: self.leads(),
        };
        self.send(from, response);
    }

    fn handle_recovery_response(
        &mut self,
        from: NodeId,
        nonce: u64,
        report: VoterReport,
        config: VoterConfig,
    ) {
        let Role::Recovering(recovery) = &mut self.role else { return };
        if recovery.nonce != nonce {
            return;
        }
        if config.index > recovery.voter_config.index {
            // The voters have changed in the meantime: restart the recovery with those now in force.
            self.follower_state.raise_min_log(report.last);
            if !config.voters.contains(&self.id) {
                return self.set_role(Role::NonVoter);
            }
            return self.request_reports(Recovery::new(config, Term::default()));
        }
        if recovery.record(from, report) {
            self.maybe_finish_recovery();
        }
    }

    fn maybe_finish_recovery(&mut self) {
        let Role::Recovering(recovery) = &self.role else { return };
        match recovery.outcome(self.log.term(), &self.lost) {
            RecoveryOutcome::Waiting => {}
            RecoveryOutcome::AskInLaterTerm(term) => self.start_recovery(term),
            RecoveryOutcome::Recovered { term, min_log } => {
                self.follower_state.raise_min_log(min_log);
                self.log.set_term(term, Some(UNKNOWN_VOTE));
                self.become_follower();
            }
        }
    }

    // ---- roles -------------------------------------------------------------------------------------

    /// Joins a newer term and ends a campaign or leadership.
    fn step_down(&mut self, term: Term) {
        if term > self.log.term() {
            self.log.set_term(term, None);
        }
        if matches!(self.role, Role::PreCandidate { .. } | Role::Candidate { .. } | Role::Leader) {
            self.follower_state.set_leader(None);
            self.become_follower();
        }
    }

    /// Updates the role after a possible change of the voters.
    fn reconcile_role(&mut self) {
        match (&self.role, self.is_voter()) {
            // A node that learned from a report that it is no voter any more becomes a follower only once its log
            // reaches the reported position.
            (Role::NonVoter, true) if self.follower_state.satisfies_min_log(self.log.last()) => {
                self.become_follower()
            }
            // A leader that is removed from the voters leads until the removal is committed (Raft, section 6).
            (Role::Leader, false) if self.log.has_committed_voters() => self.set_role(Role::NonVoter),
            (
                Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. } | Role::Recovering(_),
                false,
            ) => self.set_role(Role::NonVoter),
            _ => {}
        }
    }

    /// Changes the role. All role changes go through this function.
    fn set_role(&mut self, role: Role) {
        if self.role == Role::Leader && role != Role::Leader {
            self.leader_state.end();
            self.follower_state.set_leader(None);
        }
        self.role = role;
    }

    fn reset_election_timer(&mut self) {
        self.follower_state.reset_election_timer(self.now_ms, &mut self.rng);
    }

    fn other_voters(&self) -> Vec<NodeId> {
        self.voters().iter().copied().filter(|id| *id != self.id).collect()
    }

    fn send(&mut self, to: NodeId, message: Message<S>) {
        self.send.push((to, message));
    }
}
