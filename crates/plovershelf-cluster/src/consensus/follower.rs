//! Follower state and rules: the current leader, the election timer, the voting restriction and the appending of the
//! leader's entries.

use rand_pcg::Pcg32;

use super::election::{ElectionTimer, VoteRequest, Voter};
use super::entry::{Entry, LogPosition, StateMachine};
use super::log::ReplicatedLog;
use crate::identity::NodeId;

/// The result of appending a leader's entries; see [`Message::AppendResponse`](super::Message::AppendResponse).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AppendOutcome {
    pub(super) matches: bool,
    pub(super) last_index: u64,
}

/// The state of a follower, maintained in all roles: current leader, election timer and voting restriction.
#[derive(Clone, Debug)]
pub(super) struct FollowerState {
    leader: Option<NodeId>,
    election: ElectionTimer,
    /// Position up to which a recovered voter may have acknowledged entries before its restart, as other voters
    /// reported. The voter votes for no log that ends before it, and does not campaign until its own log reaches it.
    min_log: LogPosition,
}

impl FollowerState {
    pub(super) fn new(election_timeout_ms: [f64; 2]) -> Self {
        let election = ElectionTimer::new(election_timeout_ms);
        FollowerState { leader: None, election, min_log: LogPosition::default() }
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

    /// Records a message from the leader and restarts the election timer.
    pub(super) fn follow(&mut self, leader: NodeId, now_ms: f64, rng: &mut Pcg32) {
        self.leader = Some(leader);
        self.election.record_leader_contact(now_ms);
        self.election.reset(now_ms, rng);
    }

    pub(super) fn min_log(&self) -> LogPosition {
        self.min_log
    }

    /// Raises the minimum log position to one up to which entries may have been acknowledged.
    pub(super) fn raise_min_log(&mut self, position: LogPosition) {
        self.min_log = self.min_log.max(position);
    }

    /// Removes the minimum log position.
    pub(super) fn clear_min_log(&mut self) {
        self.min_log = LogPosition::default();
    }

    /// Returns whether a log that ends at `last` reaches the minimum log position.
    pub(super) fn satisfies_min_log(&self, last: LogPosition) -> bool {
        last >= self.min_log
    }

    /// Returns whether the request gets this node's vote.
    pub(super) fn grants<S: StateMachine>(&self, request: &VoteRequest, log: &ReplicatedLog<S>) -> bool {
        let (vote, min_last) = (log.persistent().vote, log.last().max(self.min_log));
        Voter { term: log.term(), vote, min_last }.grants(request)
    }
}

/// Appends the leader's entries to the log and advances the commit index to the leader's, at most to the last entry
/// known to match.
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
