//! Leader state and rules: messages to followers, the commit index, the lease and the loss of contact with a majority.

use std::collections::BTreeSet;

use super::election::LOST_CONTACT_TIMEOUTS;
use super::entry::{LogPosition, StateMachine};
use super::log::ReplicatedLog;
use super::message::Message;
use super::replication::{Batch, LogRange, ProgressTracker, SendMode};
use super::role::RaftConfig;
use crate::identity::NodeId;

/// Converts a leader's clock to the microseconds carried in its messages.
fn to_us(now_ms: f64) -> u64 {
    (now_ms.max(0.0) * 1000.0) as u64
}

/// A follower's response in the leader's term.
pub(super) struct AppendResponse {
    pub(super) from: NodeId,
    pub(super) matches: bool,
    pub(super) last_index: u64,
    pub(super) sent_at_us: u64,
}

/// The state of a leader. Has no meaning in other roles.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    own_id: NodeId,
    config: RaftConfig,
    since_ms: f64,
    heartbeat_at_ms: f64,
    tracker: ProgressTracker,
}

impl LeaderState {
    pub(super) fn new(own_id: NodeId, config: RaftConfig) -> Self {
        let tracker = ProgressTracker::default();
        LeaderState { own_id, config, since_ms: 0.0, heartbeat_at_ms: f64::INFINITY, tracker }
    }

    pub(super) fn begin(&mut self, now_ms: f64) {
        self.since_ms = now_ms;
        self.schedule_heartbeat(now_ms);
        self.tracker.clear();
    }

    pub(super) fn end(&mut self) {
        self.tracker.clear();
    }

    pub(super) fn schedule_heartbeat(&mut self, now_ms: f64) {
        self.heartbeat_at_ms = now_ms + self.config.heartbeat_interval_ms;
    }

    pub(super) fn heartbeat_at_ms(&self) -> f64 {
        self.heartbeat_at_ms
    }

    pub(super) fn since_ms(&self) -> f64 {
        self.since_ms
    }

    pub(super) fn set_learner(&mut self, learner: Option<NodeId>, voters: &BTreeSet<NodeId>) {
        self.tracker.set_learner(learner, voters);
    }

    pub(super) fn match_indices(&self) -> impl Iterator<Item = (NodeId, u64)> + '_ {
        self.tracker.match_indices()
    }

    /// Returns whether no majority has responded for [`LOST_CONTACT_TIMEOUTS`] election timeouts.
    pub(super) fn has_lost_quorum(&self, now_ms: f64, voters: &BTreeSet<NodeId>) -> bool {
        let contact_ms = self.tracker.quorum_contact_ms(self.own_id, now_ms, voters).max(self.since_ms);
        contact_ms + LOST_CONTACT_TIMEOUTS * self.config.election_timeout_ms[1] < now_ms
    }

    /// Returns the time until which no majority can vote for another leader, given the times of the last responses.
    pub(super) fn lease_until_ms(&self, now_ms: f64, voters: &BTreeSet<NodeId>) -> f64 {
        let drift = 2.0 * self.config.clock_drift_fraction;
        let contact_ms = self.tracker.quorum_contact_ms(self.own_id, now_ms, voters);
        contact_ms + self.config.election_timeout_ms[0] * (1.0 - drift)
    }

    /// Returns the messages that are due to each follower.
    pub(super) fn messages<'a, S: StateMachine>(
        &'a mut self,
        log: &'a ReplicatedLog<S>,
        now_ms: f64,
        mode: SendMode,
    ) -> impl Iterator<Item = (NodeId, Message<S>)> + 'a {
        let followers = self.tracker.track(self.own_id, log.voters(), log.last().index);
        followers.into_iter().filter_map(move |id| Some((id, self.message(id, log, now_ms, mode)?)))
    }

    /// Returns the message that is due to one follower, if any.
    pub(super) fn message<S: StateMachine>(
        &mut self,
        to: NodeId,
        log: &ReplicatedLog<S>,
        now_ms: f64,
        mode: SendMode,
    ) -> Option<Message<S>> {
        let range = LogRange {
            last_index: log.last().index,
            first_known_index: log.persistent().snapshot.last.index,
        };
        let resend_ms = 2.0 * self.config.heartbeat_interval_ms;
        let (term, sent_at_us) = (log.term(), to_us(now_ms));
        Some(match self.tracker.next_batch(to, now_ms, resend_ms, mode, &range)? {
            Batch::Snapshot => Message::InstallSnapshot { term, snapshot: log.snapshot(), sent_at_us },
            Batch::Entries { previous_index, until } => {
                let previous = LogPosition { term: log.term_at(previous_index)?, index: previous_index };
                let entries = log.entries(previous_index + 1, until);
                let commit_index = log.commit_index();
                Message::AppendEntries { term, previous, entries, commit_index, sent_at_us }
            }
        })
    }

    /// Records a response. Returns false if the sender's progress is not tracked.
    pub(super) fn handle_response(&mut self, response: &AppendResponse, own_last: u64, now_ms: f64) -> bool {
        if !self.tracker.record_contact(response.from, response.sent_at_us.min(to_us(now_ms))) {
            return false;
        }
        if response.matches {
            self.tracker.acknowledge(response.from, response.last_index.min(own_last));
        } else {
            self.tracker.reject(response.from, response.last_index);
        }
        true
    }

    /// Discards the acknowledgements of a follower that restarted.
    pub(super) fn reset_progress(&mut self, follower: NodeId) {
        self.tracker.reset_progress(follower);
    }

    /// Returns the highest index that a majority has stored if it can be committed now: its entry must be of the
    /// leader's own term (Raft, section 5.4.2). Returns `None` if it is committed already.
    pub(super) fn new_commit_index<S: StateMachine>(&self, log: &ReplicatedLog<S>) -> Option<u64> {
        let index = self.tracker.quorum_index(self.own_id, log.last().index, log.voters())?;
        let in_term = log.term_at(index) == Some(log.term());
        (index > log.commit_index() && in_term).then_some(index)
    }

    /// Makes the next message to each up-to-date follower carry the new commit index at once.
    pub(super) fn expedite_commit(&mut self, last_index: u64) {
        self.tracker.expedite_up_to_date(last_index);
    }
}
