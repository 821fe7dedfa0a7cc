//! Elections: the election timeout and the rule for granting votes.
//!
//! A voter that receives no message from a leader within its election timeout starts an election. A voter that received
//! one grants no vote until the shortest election timeout has passed, which is what makes a leader's lease valid (Raft,
//! section 6; leases: Ongaro's dissertation, section 6.4.1).

use rand::RngExt;
use rand_pcg::Pcg32;

use super::entry::{LogPosition, Term};
use super::message::Ballot;
use crate::identity::NodeId;

/// Time without contact, in multiples of the longest election timeout, after which a follower considers its leader lost
/// and a leader considers its majority lost: by then another leader could have been elected.
pub(super) const LOST_CONTACT_TIMEOUTS: f64 = 2.0;

/// The election timer, whose timeout is redrawn at each reset, and the time of the last message from a leader.
#[derive(Clone, Debug)]
pub(super) struct ElectionTimer {
    /// Shortest and longest election timeout.
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

    /// Returns whether the last message from a leader is so recent that the leader's lease may still be valid. The
    /// voter must then vote for nobody else.
    pub(super) fn has_recent_leader_contact(&self, now_ms: f64) -> bool {
        now_ms < self.leader_contact_ms + self.timeout_ms[0]
    }

    /// Returns whether there was no message from a leader for so long that none can be expected to send committed
    /// entries.
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

/// The state by which a voter decides on a request for a vote.
pub(super) struct Voter {
    pub(super) term: Term,
    pub(super) vote: Option<NodeId>,
    /// Minimum end of a candidate's log. It is the later of two positions: the end of the voter's own log, and the
    /// position up to which the voter may have acknowledged entries before a restart.
    pub(super) min_last: LogPosition,
}

impl Voter {
    /// Returns whether the request gets the vote: at most one candidate per term, and only one whose log is at least as
    /// up to date (Raft, sections 5.2 and 5.4.1).
    ///
    /// For a vote the voter has joined the term of the request before the call. A pre-vote does not change the voter's
    /// term.
    pub(super) fn grants(&self, request: &VoteRequest) -> bool {
        let has_no_other_vote = request.term > self.term
            || request.term == self.term && self.vote.is_none_or(|id| id == request.candidate);
        let in_term = request.ballot == Ballot::PreVote || request.term == self.term;
        request.last >= self.min_last && has_no_other_vote && in_term
    }
}

#[cfg(test)]
mod tests;
