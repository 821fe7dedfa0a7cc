//! What a follower does: it follows a leader, waits for one, votes, and takes over the leader's log.

use rand_pcg::Pcg32;

use super::election::{ElectionTimer, VoteRequest, Voter};
use super::entry::{Entry, LogPosition, StateMachine};
use super::log::ReplicatedLog;
use crate::identity::NodeId;

/// Whether a log contains the entry that precedes those sent, and up to where it matches or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AppendOutcome {
    pub(super) matches: bool,
    pub(super) last_index: u64,
}

/// State of a follower, kept in all roles: whom it follows, when it campaigns, and what it may vote for.
#[derive(Clone, Debug)]
pub(super) struct Following {
    leader: Option<NodeId>,
    election: ElectionTimer,
    /// A recovered voter may have acknowledged logs up to here: it votes for none that ends before, nor campaigns.
    min_log: LogPosition,
}

impl Following {
    pub(super) fn new(election_timeout_ms: [f64; 2]) -> Self {
        let election = ElectionTimer::new(election_timeout_ms);
        Following { leader: None, election, min_log: LogPosition::default() }
    }

    pub(super) fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    pub(super) fn set_leader(&mut self, leader: Option<NodeId>) {
        self.leader = leader;
    }

    pub(super) fn election(&self) -> &ElectionTimer {
        &self.election
    }

    pub(super) fn reset_election_timer(&mut self, now_ms: f64, rng: &mut Pcg32) {
        self.election.reset(now_ms, rng);
    }

    /// A message of the leader came.
    pub(super) fn follow(&mut self, leader: NodeId, now_ms: f64, rng: &mut Pcg32) {
        self.leader = Some(leader);
        self.election.record_leader_contact(now_ms);
        self.election.reset(now_ms, rng);
    }

    pub(super) fn min_log(&self) -> LogPosition {
        self.min_log
    }

    /// Logs up to there may have been acknowledged.
    pub(super) fn require_log(&mut self, position: LogPosition) {
        self.min_log = self.min_log.max(position);
    }

    /// No log needs to be waited for any more.
    pub(super) fn require_no_log(&mut self) {
        self.min_log = LogPosition::default();
    }

    /// Whether a log reaches as far as what may have been acknowledged.
    pub(super) fn is_reached_by(&self, last: LogPosition) -> bool {
        last >= self.min_log
    }

    /// Whether the request gets this node's vote.
    pub(super) fn grants<S: StateMachine>(&self, request: &VoteRequest, log: &ReplicatedLog<S>) -> bool {
        let (vote, min_last) = (log.persistent().vote, log.last().max(self.min_log));
        Voter { term: log.term(), vote, min_last }.grants(request)
    }
}

/// Takes the leader's entries into the log and commits as far as the leader did.
pub(super) fn append<S: StateMachine>(
    log: &mut ReplicatedLog<S>,
    previous: LogPosition,
    entries: &[Entry<S::Command>],
    commit_index: u64,
) -> AppendOutcome {
    if !log.contains(previous) {
        let before = previous.index.saturating_sub(1);
        let last_index = log.last().index.min(before).max(log.commit_index());
        return AppendOutcome { matches: false, last_index };
    }
    let last_index = previous.index + entries.len() as u64;
    log.merge(previous.index, entries);
    log.commit_to(commit_index.min(last_index));
    AppendOutcome { matches: true, last_index }
}

#[cfg(test)]
mod tests;
