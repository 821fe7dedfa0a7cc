//! Elections: when a voter campaigns, and whom it votes for.
//!
//! A voter that hears no leader for an election timeout campaigns. One that hears a leader gives no vote within the
//! shortest timeout, which is what makes a leader's lease good (Raft, section 6; leases:
//! Ongaro's dissertation, section 6.4.1).

use rand::RngExt;
use rand_pcg::Pcg32;

use super::entry::{LogPosition, Term};
use super::message::Ballot;
use crate::identity::NodeId;

/// A leader that was heard last so many of the longest election timeouts ago counts as lost, and so does a leader's own majority: by
/// then another could have been elected.
pub(super) const LOST_CONTACT_TIMEOUTS: f64 = 2.0;

/// The election timeout, drawn anew each time it starts, and when a leader was last heard.
#[derive(Clone, Debug)]
pub(super) struct ElectionTimer {
    /// Shortest and longest timeout.
    timeout_ms: [f64; 2],
    deadline_ms: f64,
    leader_contact_ms: f64,
}

impl ElectionTimer {
    pub(super) fn new(timeout_ms: [f64; 2]) -> Self {
        ElectionTimer { timeout_ms, deadline_ms: f64::INFINITY, leader_contact_ms: f64::NEG_INFINITY }
    }

    pub(super) fn reset(&mut self, now_ms: f64, rng: &mut Pcg32) {
        let [shortest, longest] = self.timeout_ms;
        self.deadline_ms = now_ms + shortest + (longest - shortest) * rng.random::<f64>();
    }

    pub(super) fn deadline_ms(&self) -> f64 {
        self.deadline_ms
    }

    pub(super) fn is_expired(&self, now_ms: f64) -> bool {
        self.deadline_ms <= now_ms
    }

    pub(super) fn record_leader_contact(&mut self, now_ms: f64) {
        self.leader_contact_ms = now_ms;
    }

    /// A leader was heard so recently that its lease may hold: no vote against it.
    pub(super) fn must_keep_leader(&self, now_ms: f64) -> bool {
        now_ms < self.leader_contact_ms + self.timeout_ms[0]
    }

    /// No leader was heard for so long that none will bring what was committed.
    pub(super) fn has_lost_leader(&self, now_ms: f64) -> bool {
        now_ms > self.leader_contact_ms + LOST_CONTACT_TIMEOUTS * self.timeout_ms[1]
    }
}

/// A candidate's request for a vote.
pub(super) struct VoteRequest {
    pub(super) candidate: NodeId,
    pub(super) term: Term,
    pub(super) last: LogPosition,
    pub(super) ballot: Ballot,
}

/// What a voter decides by.
pub(super) struct Voter {
    pub(super) term: Term,
    pub(super) vote: Option<NodeId>,
    /// The earliest end of a log that it may vote for: of its own, and of what it may have acknowledged and forgotten.
    pub(super) min_last: LogPosition,
}

impl Voter {
    /// One vote a term, and only for a log at least as up to date (Raft, sections 5.2 and 5.4.1).
    ///
    /// A voter has joined the term of a request for a vote before this is asked; a pre-vote leaves its term alone.
    pub(super) fn grants(&self, request: &VoteRequest) -> bool {
        let free_to_vote = request.term > self.term
            || request.term == self.term && self.vote.is_none_or(|id| id == request.candidate);
        let in_term = request.ballot == Ballot::PreVote || request.term == self.term;
        request.last >= self.min_last && free_to_vote && in_term
    }
}

#[cfg(test)]
mod tests;
