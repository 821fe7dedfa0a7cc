//! The state machine of one node of a consensus group; see the [module](super) for its states.

use std::collections::BTreeSet;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::election::VoteRequest;
use super::entry::{Entry, LogPosition, Payload, Snapshot, StateMachine, Term, VoterConfig};
use super::follower::{self, AppendOutcome, Following};
use super::leader::{AppendAnswer, Leadership};
use super::log::ReplicatedLog;
use super::membership::{is_safe_change, majority};
use super::message::{Actions, Ballot, Message};
use super::persistent::PersistentState;
use super::recovery::{Recovery, RecoveryOutcome, VoterReport};
use super::replication::SendMode;
use super::role::{RaftConfig, Role};
use crate::broken::{self, BrokenRule};
use crate::identity::{Epoch, NodeId};

/// Stands in place of a vote that may have been given and is not remembered.
const UNKNOWN_VOTE: NodeId = NodeId(0);
/// Proposals that wait for a majority. More are refused.
const MAX_UNCOMMITTED: u64 = 256;

/// One node of a consensus group. It owns no clock, socket or file: each call takes the present time in milliseconds of any
/// clock that never goes back, and what follows stands in [`Raft::poll_actions`].
#[derive(Clone, Debug)]
pub struct Raft<S: StateMachine> {
    id: NodeId,
    config: RaftConfig,
    log: ReplicatedLog<S>,
    role: Role,
    following: Following,
    leadership: Leadership,
    /// Nodes that are lost for good, as their names are back under other ids.
    lost: BTreeSet<NodeId>,
    rng: Pcg32,
    send: Vec<(NodeId, Message<S>)>,
    now_ms: f64,
}

impl<S: StateMachine> Raft<S> {
    /// A node that knows of no consensus group, or that has kept its part in one. `empty` is what no commands come to.
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
            following: Following::new(config.election_timeout_ms),
            leadership: Leadership::new(id, config),
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

    /// The first node of a new group: these are its voters, and this is the state that it begins with.
    pub fn bootstrap(&mut self, now_ms: f64, epoch: Epoch, voters: BTreeSet<NodeId>, state: S) {
        self.now_ms = now_ms;
        let last = LogPosition { term: Term(1), index: 1 };
        self.adopt_epoch(epoch, Snapshot { last, voters, voters_index: 1, state });
    }

    /// Joins a later epoch with the state that it begins with, or that it has come to.
    pub fn adopt_epoch(&mut self, epoch: Epoch, snapshot: Snapshot<S>) {
        if epoch <= self.log.epoch() || self.role == Role::StorageFailed {
            return;
        }
        self.log.adopt_epoch(epoch, snapshot);
        self.following.set_leader(None);
        self.following.require_no_log();
        self.set_role(Role::NonVoter);
        self.reconcile_role();
    }

    /// From now on this node waits for that later epoch; the promise outlives a restart.
    pub fn promise_epoch(&mut self, epoch: Epoch) {
        self.log.promise_epoch(epoch);
    }

    /// A message of another node of the same epoch.
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
                self.handle_append_response(term, &AppendAnswer { from, matches, last_index, sent_at_us })
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

    /// Time has come to [`Raft::poll_timeout`].
    pub fn handle_timeout(&mut self, now_ms: f64) {
        self.now_ms = now_ms;
        match &self.role {
            Role::Recovering(recovery) if recovery.retry_at_ms <= now_ms => {
                self.start_recovery(recovery.min_term)
            }
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. }
                if self.following.election().is_expired(now_ms) =>
            {
                self.campaign(if self.config.pre_vote { Ballot::PreVote } else { Ballot::Vote })
            }
            Role::Leader if self.leadership.heartbeat_at_ms() <= now_ms => self.handle_heartbeat_due(),
            _ => {}
        }
    }

    /// Appends an entry, where this node leads and the entry is allowed. Returns its index.
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

    /// The committed state as a node tells it that does not lead: for nodes that no leader brings it to.
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

    /// Committed entries as a node tells them that does not lead; see [`Raft::handle_relayed_snapshot`].
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

    /// A node that the leader should bring up to date though it is no voter yet; [`Raft::matched`] says how far it is.
    pub fn set_learner(&mut self, learner: Option<NodeId>) {
        self.leadership.set_learner(learner, self.log.voters());
    }

    /// These nodes will never speak again, so a recovering voter need not wait for their reports: theirs is the one loss
    /// that is promised to be borne, so the storage here is no second one.
    pub fn set_lost_nodes(&mut self, now_ms: f64, lost: BTreeSet<NodeId>) {
        self.now_ms = now_ms;
        if lost == self.lost {
            return;
        }
        self.lost = lost;
        // What a lost node reported may be kept by nobody now, and would be waited for for ever.
        if self.log.voters().iter().any(|id| self.lost.contains(id)) {
            self.following.require_no_log();
        }
        self.maybe_finish_recovery();
    }

    /// The storage takes nothing: what was to be saved is not, so nothing of it may be sent.
    pub fn handle_storage_failed(&mut self, now_ms: f64) {
        self.now_ms = now_ms;
        drop(self.poll_actions());
        self.following.set_leader(None);
        self.set_role(Role::StorageFailed);
    }

    /// The storage works again and holds all of [`Raft::persistent`] by now.
    pub fn handle_storage_restored(&mut self, now_ms: f64) {
        self.now_ms = now_ms;
        if self.role == Role::StorageFailed {
            self.set_role(Role::NonVoter);
            if self.is_voter() {
                self.start_recovery(Term::default());
            }
        }
    }

    /// When [`Raft::handle_timeout`] has something to do.
    pub fn poll_timeout(&self) -> f64 {
        match &self.role {
            Role::NonVoter | Role::StorageFailed => f64::INFINITY,
            Role::Recovering(recovery) => recovery.retry_at_ms,
            Role::Leader => self.leadership.heartbeat_at_ms(),
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. } => {
                self.following.election().deadline_ms()
            }
        }
    }

    /// What the calls since the last poll ask for.
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

    /// This node.
    pub fn id(&self) -> NodeId {
        self.id
    }
    /// The epoch that it is part of.
    pub fn epoch(&self) -> Epoch {
        self.log.epoch()
    }
    /// A later epoch that it has promised to wait for.
    pub fn promised_epoch(&self) -> Epoch {
        self.log.persistent().promised_epoch
    }
    /// Its term.
    pub fn term(&self) -> Term {
        self.log.term()
    }
    /// Its role.
    pub fn role(&self) -> &Role {
        &self.role
    }
    /// The leader of its term, where it knows one.
    pub fn leader(&self) -> Option<NodeId> {
        self.following.leader()
    }
    /// Whether it leads.
    pub fn leads(&self) -> bool {
        self.role == Role::Leader
    }
    /// Since when it leads without a break.
    pub fn leader_since_ms(&self) -> Option<f64> {
        self.leads().then(|| self.leadership.since_ms())
    }
    /// Index of the last committed entry.
    pub fn commit_index(&self) -> u64 {
        self.log.commit_index()
    }
    /// What all committed commands come to.
    pub fn state(&self) -> &S {
        self.log.state()
    }
    /// What its storage is to hold.
    pub fn persistent(&self) -> &PersistentState<S> {
        self.log.persistent()
    }
    /// The voters in force.
    pub fn voters(&self) -> &BTreeSet<NodeId> {
        self.log.voters()
    }
    /// What is in the log and not committed, as far as this node knows.
    pub fn uncommitted(&self) -> impl Iterator<Item = &Payload<S::Command>> {
        self.log.uncommitted()
    }
    /// Up to where each voter's log is known to match, where this node leads; its own too.
    pub fn matched(&self) -> Vec<(NodeId, u64)> {
        let own = (self.id, self.log.last().index);
        std::iter::once(own).chain(self.leadership.matched()).collect()
    }
    /// The committed state, for a node that wants all of it.
    pub fn snapshot(&self) -> Snapshot<S> {
        self.log.snapshot()
    }
    /// Committed entries after an index with that index's position, as far as the log still has them.
    pub fn committed_after(&self, index: u64) -> Option<(LogPosition, Vec<Entry<S::Command>>)> {
        self.log.committed_after(index)
    }

    /// Until when no other node can lead, on this node's clock; the past where it does not lead.
    ///
    /// Voters that hear a leader refuse their vote for the shortest election timeout. Counted from when the leader sent what
    /// they answered, and shortened by what their clocks may drift apart, that time is the leader's alone.
    pub fn leader_lease_until_ms(&self) -> f64 {
        if !self.leads() || !self.log.has_committed_in_term() {
            return f64::NEG_INFINITY;
        }
        self.leadership.lease_until_ms(self.now_ms, self.voters())
    }

    /// Whether committed entries may come from any node: where no leader will bring them, as to a node that is no voter, or
    /// that does not know that it no longer is one. The log of a voter with a leader grows by that leader alone.
    pub fn accepts_relayed(&self) -> bool {
        match self.role {
            Role::NonVoter => true,
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. } => {
                self.following.election().has_lost_leader(self.now_ms)
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
        if !self.is_voter() || !self.following.is_reached_by(self.log.last()) {
            return;
        }
        self.following.set_leader(None);
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
        // A leader's lease holds as long as the voters that it hears from keep to this.
        let has_leader = self.leads() || self.following.election().must_keep_leader(self.now_ms);
        // A node that does not know yet that it is a voter votes too: the entry that makes it one may need its vote.
        if has_leader || matches!(self.role, Role::Recovering(_) | Role::StorageFailed) {
            return self.send(candidate, Message::Vote { term: self.log.term(), granted: false, ballot });
        }
        if request.term > self.log.term() && ballot == Ballot::Vote {
            self.step_down(request.term);
        }
        let granted = self.following.grants(request, &self.log);
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
            // Also of a pre-vote: else a node whose log is longer but whose term is older would campaign for a term that
            // is over, again and again.
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
        self.following.set_leader(Some(self.id));
        self.leadership.begin(self.now_ms);
        self.log.append(Payload::Noop);
        self.maybe_commit();
        self.send_to_all(SendMode::Heartbeat);
    }

    fn become_follower(&mut self) {
        self.reset_election_timer();
        self.set_role(Role::Follower);
    }

    // ---- replication, of the leader ----------------------------------------------------------------

    /// A change of voters waits for the one before, and for an entry of this term: what an earlier leader left may be another
    /// change of voters.
    fn may_append(&self, payload: &Payload<S::Command>) -> bool {
        let Payload::Voters(voters) = payload else { return true };
        let ready = self.log.has_committed_in_term() && self.log.has_committed_voters();
        ready && is_safe_change(self.voters(), voters)
    }

    /// A leader that no majority answers steps down.
    fn handle_heartbeat_due(&mut self) {
        if self.leadership.has_lost_quorum(self.now_ms, self.log.voters()) {
            self.following.set_leader(None);
            return self.set_role(Role::Follower);
        }
        self.leadership.schedule_heartbeat(self.now_ms);
        self.send_to_all(SendMode::Heartbeat);
    }

    fn send_to_all(&mut self, mode: SendMode) {
        self.send.extend(self.leadership.messages(&self.log, self.now_ms, mode));
    }

    fn handle_append_response(&mut self, term: Term, answer: &AppendAnswer) {
        if term > self.log.term() {
            return self.step_down(term);
        }
        let (from, last) = (answer.from, self.log.last().index);
        let in_term = self.leads() && term == self.log.term();
        if !in_term || !self.leadership.handle_answer(answer, last, self.now_ms) {
            return;
        }
        if answer.matches {
            self.maybe_commit();
        }
        if self.leads() {
            let message = self.leadership.message(from, &self.log, self.now_ms, SendMode::OnlyEntries);
            self.send.extend(message.map(|message| (from, message)));
        }
    }

    fn maybe_commit(&mut self) {
        let index = self.leadership.new_commit_index(&self.log);
        if let Some(index) = index.filter(|_| self.leads()) {
            self.log.commit_to(index);
            self.leadership.expedite_commit(self.log.last().index);
            self.send_to_all(SendMode::Heartbeat);
            self.reconcile_role();
        }
    }

    // ---- replication, of a follower ----------------------------------------------------------------

    /// Whether a leader's message is heeded. An older one's is answered with the newer term.
    fn accept_leader(&mut self, from: NodeId, term: Term, sent_at_us: u64) -> bool {
        if term < self.log.term() || self.leads() && term == self.log.term() {
            let (term, last_index) = (self.log.term(), self.log.last().index);
            self.send(from, Message::AppendResponse { term, matches: false, last_index, sent_at_us });
            return false;
        }
        // A recovering voter's acknowledgement must not count before it knows what it may have forgotten.
        if matches!(self.role, Role::Recovering(_)) {
            return false;
        }
        if term > self.log.term() {
            self.log.set_term(term, None);
        }
        if !matches!(self.role, Role::Follower | Role::NonVoter) {
            self.set_role(Role::Follower);
        }
        self.following.follow(from, self.now_ms, &mut self.rng);
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
        // A single voter has nobody to ask: then its disk must do.
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
        let others: Vec<NodeId> = recovery.asked.voters.iter().copied().filter(|id| *id != self.id).collect();
        self.set_role(Role::Recovering(recovery));
        others.into_iter().for_each(|id| self.send(id, Message::RecoveryRequest { nonce, min_term }));
    }

    fn handle_recovery_request(&mut self, from: NodeId, nonce: u64, min_term: Term) {
        if min_term > self.log.term() && !matches!(self.role, Role::NonVoter) {
            self.step_down(min_term);
        }
        self.leadership.forget(from);
        let response = Message::RecoveryResponse {
            nonce,
            term: self.log.term(),
            last: self.log.last().max(self.following.min_log()),
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
        if config.index > recovery.asked.index {
            // The voters have changed meanwhile: those in force now are to be asked.
            self.following.require_log(report.last);
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
                self.following.require_log(min_log);
                self.log.set_term(term, Some(UNKNOWN_VOTE));
                self.become_follower();
            }
        }
    }

    // ---- roles -------------------------------------------------------------------------------------

    /// A newer term ends a campaign or a leadership.
    fn step_down(&mut self, term: Term) {
        if term > self.log.term() {
            self.log.set_term(term, None);
        }
        if matches!(self.role, Role::PreCandidate { .. } | Role::Candidate { .. } | Role::Leader) {
            self.following.set_leader(None);
            self.become_follower();
        }
    }

    /// A node's role follows from who the voters are.
    fn reconcile_role(&mut self) {
        match (&self.role, self.is_voter()) {
            // A node that was told of newer voters without it stays out until its log says otherwise.
            (Role::NonVoter, true) if self.following.is_reached_by(self.log.last()) => self.become_follower(),
            // A leader that is no voter any more leads until that is committed (Raft, section 6).
            (Role::Leader, false) if self.log.has_committed_voters() => self.set_role(Role::NonVoter),
            (
                Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. } | Role::Recovering(_),
                false,
            ) => self.set_role(Role::NonVoter),
            _ => {}
        }
    }

    /// The one place where the role changes.
    fn set_role(&mut self, role: Role) {
        if self.role == Role::Leader && role != Role::Leader {
            self.leadership.end();
            self.following.set_leader(None);
        }
        self.role = role;
    }

    fn reset_election_timer(&mut self) {
        self.following.reset_election_timer(self.now_ms, &mut self.rng);
    }

    fn other_voters(&self) -> Vec<NodeId> {
        self.voters().iter().copied().filter(|id| *id != self.id).collect()
    }

    fn send(&mut self, to: NodeId, message: Message<S>) {
        self.send.push((to, message));
    }
}
