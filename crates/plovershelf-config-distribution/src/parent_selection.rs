//! State machine with which a listener finds, monitors and replaces its parent.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | BackingOff | the backoff has elapsed | a leaf: Finding, at the next origin; a relay: Attaching, at the next origin |
//! | Finding | candidates: a list of relays | Attaching, at the first relay |
//! | Finding | candidates: become a relay | Attaching, as a relay, at the origin that answered |
//! | Finding | candidates: ask another origin | Finding, at that origin |
//! | Finding | no candidates, timeout, connection lost | BackingOff, doubled up to a limit; then Finding, at another origin |
//! | Attaching | attached | Attached |
//! | Attaching | rejected, timeout, connection lost | Attaching, at the next candidate; BackingOff if there is none |
//! | Attached | the parent rejects a message | Attaching, at the same parent, then at other known parents |
//! | Attached | the parent times out or detaches, the connection is lost, or a probed process is more up to date | a leaf: Attaching, at its backup parent, then at other alternates; a relay: Attaching, at another origin |
//! | Attached | a relay has had no children for a long time | Finding, as a leaf |
//! | Attached | a leaf receives `Reattach` because its relay exceeds the fan-out | Finding |
//! | Attached | a relay receives `Reattach` with an origin that is nearer or has far fewer relays | Attaching, at that origin |
//! | Attaching, as a relay | rejected twice by each origin | BackingOff, as a leaf; its children are detached |
//!
//! A relay attaches only to origins and a leaf has no children, so no cycle of parents can form. The table in force
//! stays in force in all states.

use std::net::SocketAddr;

use rand::seq::SliceRandom;
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::config::DistributionConfig;
use crate::known_parents::KnownParents;
use crate::message::{FanOutLimit, ListenerKind, MAX_ADDRESSES};

const FIRST_BACKOFF_MS: f64 = 100.0;
/// Maximum number of times that the first backoff is doubled.
const MAX_BACKOFF_SHIFT: u32 = 10;
/// Number of consecutive candidates without an answer after which the listener asks an origin for new candidates.
///
/// The limit covers a list of relays that are all unresponsive because their zone has failed. Each such relay costs
/// one timeout, and without the limit the listener would fall behind by one timeout per relay in the list.
const MAX_UNANSWERED: u32 = 2;

#[derive(Clone, Debug, PartialEq)]
enum State {
    BackingOff { until_ms: f64 },
    Finding { request: FindRequest, until_ms: f64 },
    Attaching { to: SocketAddr, until_ms: f64, remaining: Vec<SocketAddr>, limit: FanOutLimit },
    Attached(Parent),
}

#[derive(Clone, Debug, PartialEq)]
struct Parent {
    address: SocketAddr,
    last_message_ms: f64,
    /// Whether the timeout was already extended because of a pause of this process.
    timeout_extended: bool,
}

/// A request for candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FindRequest {
    pub(crate) origin: SocketAddr,
    /// Whether another origin redirected the listener to this one.
    pub(crate) redirected: bool,
}

/// The next action for the caller to execute.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ParentAction {
    /// Request candidates from an origin.
    Find(FindRequest),
    /// Request attachment to a candidate.
    Attach {
        /// The address of the candidate.
        to: SocketAddr,
        /// Which of the candidate's fan-out limits applies.
        limit: FanOutLimit,
    },
    /// Become a leaf and detach all children, since no origin accepts this process as a relay.
    DetachChildren,
}

/// Cause of the failure of an attachment attempt or of a parent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    Rejected,
    /// No answer before the timeout, or the connection was lost.
    Unreachable,
}

/// Parent selection of a listener. On an origin it has an empty list of origins and stays idle.
#[derive(Clone, Debug)]
pub(crate) struct ParentSelector {
    state: State,
    kind: ListenerKind,
    known_parents: KnownParents,
    attempts: u32,
    rejections: u32,
    /// Number of consecutive candidates that did not answer.
    unanswered: u32,
    /// Time without a message after which the parent counts as lost, in milliseconds.
    parent_timeout_ms: f64,
    attach_timeout_ms: f64,
    max_backoff_ms: f64,
}

impl ParentSelector {
    pub(crate) fn new(
        origins: Vec<SocketAddr>,
        now_ms: f64,
        config: &DistributionConfig,
        rng: &mut Pcg32,
    ) -> Self {
        let (min_ms, max_ms) = (config.min_parent_timeout_ms, config.max_parent_timeout_ms);
        let parent_timeout_ms = rng.random_range(min_ms..=max_ms.max(min_ms));
        let mut known_parents = KnownParents::new(origins);
        known_parents.origins_mut().shuffle(rng);
        let until_ms = now_ms + rng.random_range(0.0..config.start_jitter_ms.max(1.0));
        ParentSelector {
            state: State::BackingOff { until_ms },
            kind: ListenerKind::Leaf,
            known_parents,
            attempts: 0,
            rejections: 0,
            unanswered: 0,
            parent_timeout_ms,
            attach_timeout_ms: config.attach_timeout_ms,
            max_backoff_ms: config.max_backoff_ms,
        }
    }

    pub(crate) fn kind(&self) -> ListenerKind {
        self.kind
    }

    pub(crate) fn is_relay(&self) -> bool {
        self.kind == ListenerKind::Relay
    }

    pub(crate) fn parent(&self) -> Option<SocketAddr> {
        match &self.state {
            State::Attached(parent) => Some(parent.address),
            _ => None,
        }
    }

    pub(crate) fn is_parent(&self, address: SocketAddr) -> bool {
        self.parent() == Some(address)
    }

    pub(crate) fn is_attaching_to(&self, address: SocketAddr) -> bool {
        matches!(self.state, State::Attaching { to, .. } if to == address)
    }

    /// Returns the pending request for candidates if it was sent to this origin.
    pub(crate) fn find_request(&self, address: SocketAddr) -> Option<FindRequest> {
        match self.state {
            State::Finding { request, .. } if request.origin == address => Some(request),
            _ => None,
        }
    }

    pub(crate) fn known_parents(&self) -> &KnownParents {
        &self.known_parents
    }

    /// Returns the address to which the listener attaches if it loses its parent.
    pub(crate) fn backup_parent(&self) -> Option<SocketAddr> {
        self.known_parents.backup(self.kind, self.parent())
    }

    /// Returns the process to probe after a long time without origin contact; successive indexes select successive
    /// targets.
    pub(crate) fn probe_target(&self, index: usize) -> Option<SocketAddr> {
        self.known_parents.probe_target(self.kind, self.parent(), index)
    }

    pub(crate) fn poll_timeout(&self) -> f64 {
        match &self.state {
            State::BackingOff { until_ms }
            | State::Finding { until_ms, .. }
            | State::Attaching { until_ms, .. } => *until_ms,
            State::Attached(parent) => parent.last_message_ms + self.parent_timeout_ms,
        }
    }

    /// Returns the parent if its timeout has passed.
    pub(crate) fn timed_out_parent(&self, now_ms: f64) -> Option<SocketAddr> {
        self.parent().filter(|_| now_ms >= self.poll_timeout())
    }

    /// Handles the end of a backoff, or the timeout of an attempt or of the parent.
    pub(crate) fn handle_timeout(&mut self, now_ms: f64, rng: &mut Pcg32) -> Option<ParentAction> {
        if now_ms < self.poll_timeout() {
            return None;
        }
        match &self.state {
            State::BackingOff { .. } if self.is_relay() => self.attach_to_next_origin(now_ms, rng),
            State::BackingOff { .. } => {
                let action = self.request_candidates(now_ms);
                if action.is_none() {
                    self.back_off(now_ms, rng);
                }
                action
            }
            State::Finding { request: FindRequest { origin: address, .. }, .. }
            | State::Attaching { to: address, .. }
            | State::Attached(Parent { address, .. }) => {
                let address = *address;
                self.handle_failure(now_ms, address, Failure::Unreachable, rng)
            }
        }
    }

    /// Restarts the parent's timeout after a message from the parent.
    pub(crate) fn handle_parent_message(&mut self, now_ms: f64) {
        if let State::Attached(parent) = &mut self.state {
            (parent.last_message_ms, parent.timeout_extended) = (now_ms, false);
        }
    }

    /// Restarts the parent's timeout if the sender of a message is the parent.
    pub(crate) fn handle_message_from(&mut self, now_ms: f64, from: SocketAddr) {
        if self.is_parent(from) {
            self.handle_parent_message(now_ms);
        }
    }

    /// Extends the parent's timeout after a pause of this process, since messages from the parent may still be waiting
    /// in the receive queue.
    ///
    /// The parent gets half of its timeout, and only once until its next message. Otherwise a process that is paused
    /// repeatedly would never leave a parent that has failed.
    pub(crate) fn handle_pause(&mut self, now_ms: f64) {
        if let State::Attached(parent) = &mut self.state {
            if !std::mem::replace(&mut parent.timeout_extended, true) {
                parent.last_message_ms = parent.last_message_ms.max(now_ms - self.parent_timeout_ms / 2.0);
            }
        }
    }

    /// Updates the alternate parents and the order of the origins from the parent's lists.
    pub(crate) fn handle_alternates(
        &mut self,
        relays: Vec<SocketAddr>,
        origins: &[SocketAddr],
        own: SocketAddr,
    ) {
        self.known_parents.update(relays, origins, own);
    }

    pub(crate) fn handle_attached(&mut self, now_ms: f64, parent: SocketAddr) {
        self.state =
            State::Attached(Parent { address: parent, last_message_ms: now_ms, timeout_extended: false });
        self.attempts = 0;
        self.rejections = 0;
        self.unanswered = 0;
        self.known_parents.handle_attached(parent);
    }

    /// Becomes a relay on an origin's request and attaches to that origin.
    pub(crate) fn become_relay(
        &mut self,
        now_ms: f64,
        origin: SocketAddr,
        rng: &mut Pcg32,
    ) -> Option<ParentAction> {
        self.kind = ListenerKind::Relay;
        self.attach(now_ms, vec![origin], FanOutLimit::Normal, rng)
    }

    pub(crate) fn become_leaf(&mut self) {
        self.kind = ListenerKind::Leaf;
    }

    /// Makes a leaf attach first to a process that has data which the parent lacks. A relay needs no preference, since
    /// it asks the origins in rotation.
    pub(crate) fn prefer(&mut self, address: SocketAddr) {
        if !self.is_relay() {
            self.known_parents.prefer(address);
        }
    }

    /// Requests candidates from the next origin.
    pub(crate) fn request_candidates(&mut self, now_ms: f64) -> Option<ParentAction> {
        let origin = self.known_parents.next_origin()?;
        Some(self.ask_origin(now_ms, FindRequest { origin, redirected: false }))
    }

    /// Requests candidates from the origin to which another one redirected the listener.
    pub(crate) fn request_candidates_from(&mut self, now_ms: f64, origin: SocketAddr) -> ParentAction {
        self.ask_origin(now_ms, FindRequest { origin, redirected: true })
    }

    fn ask_origin(&mut self, now_ms: f64, request: FindRequest) -> ParentAction {
        self.state = State::Finding { request, until_ms: now_ms + self.attach_timeout_ms };
        ParentAction::Find(request)
    }

    /// Tries the candidates in order. Backs off if the list is empty.
    pub(crate) fn attach(
        &mut self,
        now_ms: f64,
        mut candidates: Vec<SocketAddr>,
        limit: FanOutLimit,
        rng: &mut Pcg32,
    ) -> Option<ParentAction> {
        if candidates.is_empty() {
            self.back_off(now_ms, rng);
            return None;
        }
        candidates.truncate(MAX_ADDRESSES);
        let to = candidates.remove(0);
        let until_ms = now_ms + self.attach_timeout_ms;
        self.state = State::Attaching { to, until_ms, remaining: candidates, limit };
        Some(ParentAction::Attach { to, limit })
    }

    /// Attaches again, first to the same parent, after the parent rejected a message because it does not have this
    /// process as a child. This happens when either of the two restarts.
    pub(crate) fn reattach(
        &mut self,
        now_ms: f64,
        parent: SocketAddr,
        rng: &mut Pcg32,
    ) -> Option<ParentAction> {
        let others = self
            .known_parents
            .candidates_for(self.kind)
            .iter()
            .copied()
            .filter(|candidate| *candidate != parent);
        let candidates = std::iter::once(parent).chain(others).collect();
        self.attach(now_ms, candidates, FanOutLimit::Failover, rng)
    }

    /// Moves a relay to another origin on the request of its present origin.
    pub(crate) fn move_to(
        &mut self,
        now_ms: f64,
        origin: SocketAddr,
        rng: &mut Pcg32,
    ) -> Option<ParentAction> {
        let others = self.known_parents.origins().iter().copied().filter(|candidate| *candidate != origin);
        let candidates = std::iter::once(origin).chain(others).collect();
        self.attach(now_ms, candidates, FanOutLimit::Failover, rng)
    }

    /// Handles a failure of the parent or of the target of the pending attempt. Ignores failures of other addresses.
    pub(crate) fn handle_failure(
        &mut self,
        now_ms: f64,
        address: SocketAddr,
        failure: Failure,
        rng: &mut Pcg32,
    ) -> Option<ParentAction> {
        match self.state.clone() {
            State::Attached(parent) if parent.address == address => self.replace_parent(now_ms, address, rng),
            State::Attaching { to, remaining, limit, .. } if to == address => {
                self.attach_to_next(now_ms, address, failure, remaining, limit, rng)
            }
            State::Finding { request, .. } if request.origin == address => {
                // Record the failure so that other origins do not redirect the listener there.
                self.known_parents.record_failure(address);
                self.back_off(now_ms, rng);
                None
            }
            _ => None,
        }
    }

    fn replace_parent(&mut self, now_ms: f64, lost: SocketAddr, rng: &mut Pcg32) -> Option<ParentAction> {
        self.known_parents.record_failure(lost);
        let mut candidates = self.known_parents.candidates_for(self.kind).to_vec();
        candidates.retain(|candidate| *candidate != lost);
        if self.is_relay() {
            candidates.push(lost);
        } else if candidates.is_empty() {
            return self.request_candidates(now_ms);
        }
        self.attach(now_ms, candidates, FanOutLimit::Failover, rng)
    }

    fn attach_to_next(
        &mut self,
        now_ms: f64,
        failed: SocketAddr,
        failure: Failure,
        mut remaining: Vec<SocketAddr>,
        limit: FanOutLimit,
        rng: &mut Pcg32,
    ) -> Option<ParentAction> {
        self.known_parents.record_failure(failed);
        match failure {
            Failure::Rejected => {
                self.rejections += 1;
                self.unanswered = 0;
            }
            Failure::Unreachable => self.unanswered += 1,
        }
        if !self.is_relay() && self.unanswered >= MAX_UNANSWERED {
            self.unanswered = 0;
            remaining.clear();
        }
        if self.is_relay() && self.rejections as usize >= 2 * self.known_parents.origins().len() {
            self.rejections = 0;
            self.back_off(now_ms, rng);
            return Some(ParentAction::DetachChildren);
        }
        if remaining.is_empty() && !self.is_relay() && self.attempts == 0 {
            self.attempts = 1;
            return self.request_candidates(now_ms);
        }
        self.attach(now_ms, remaining, limit, rng)
    }

    /// Attaches a relay to the next origin after a backoff.
    fn attach_to_next_origin(&mut self, now_ms: f64, rng: &mut Pcg32) -> Option<ParentAction> {
        let candidates = self.known_parents.origins_in_rotation();
        self.attach(now_ms, candidates, FanOutLimit::Failover, rng)
    }

    /// Starts a backoff, longer at each attempt. The random duration keeps processes that lost the same parent from
    /// retrying at the same time.
    fn back_off(&mut self, now_ms: f64, rng: &mut Pcg32) {
        let doubled_ms = FIRST_BACKOFF_MS * f64::from(1 << self.attempts.min(MAX_BACKOFF_SHIFT));
        let max_ms = doubled_ms.min(self.max_backoff_ms);
        self.attempts += 1;
        self.known_parents.advance_rotation();
        self.state = State::BackingOff { until_ms: now_ms + rng.random_range(max_ms / 4.0..=max_ms) };
    }
}

#[cfg(test)]
mod tests;
