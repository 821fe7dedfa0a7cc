//! A listener's state machine for finding, keeping and replacing its parent.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | BackingOff | the backoff is over | Finding, an origin is asked; a relay goes to Attaching, at an origin |
//! | Finding | candidates: relays | Attaching, at the first of them |
//! | Finding | candidates: be a relay | Attaching, at the origin that answered, as a relay |
//! | Finding | candidates: ask that origin | Finding, at that one |
//! | Finding | no candidates, no answer in time, connection lost | BackingOff, doubled up to a bound; then another origin |
//! | Attaching | attached | Attached |
//! | Attaching | rejected, no answer in time, connection lost | Attaching, at the next; BackingOff where there is none |
//! | Attached | parent silent, rejects, detaches, connection lost; or its backup holds newer | a leaf: Attaching, at its backup, then other alternates; a relay: Attaching, at another origin |
//! | Attached | a relay that feeds nobody for long | Finding, as a leaf again |
//! | Attached | a leaf whose relay feeds more than its fan-out and sends it elsewhere | Finding |
//! | Attached | a relay whose origin sends it to a nearer one, or to one that feeds far fewer | Attaching, at that one |
//! | Attaching, as a relay | rejected by each origin, twice | BackingOff, as a leaf; its children are detached |
//!
//! A relay attaches to origins only and a leaf feeds nobody, so no cycle of parents can come about. In all states what is
//! in force stays in force.

use std::net::SocketAddr;

use rand::seq::SliceRandom;
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::config::DistributionConfig;
use crate::known_parents::KnownParents;
use crate::message::{FanOutLimit, ListenerKind, MAX_ADDRESSES};

const FIRST_BACKOFF_MS: f64 = 100.0;
/// Doublings of the backoff, at most.
const MAX_BACKOFF_SHIFT: u32 = 10;
/// Candidates in a row that do not answer before an origin is asked anew.
///
/// Against a list of relays that all stand still with their zone: each costs a timeout, and the listener would be behind
/// for as many timeouts as the list is long.
const MAX_UNANSWERED: u32 = 2;

#[derive(Clone, Debug, PartialEq)]
enum State {
    BackingOff { until_ms: f64 },
    Finding { request: FindRequest, until_ms: f64 },
    Attaching { to: SocketAddr, until_ms: f64, next: Vec<SocketAddr>, limit: FanOutLimit },
    Attached(Parent),
}

#[derive(Clone, Debug, PartialEq)]
struct Parent {
    address: SocketAddr,
    heard_at_ms: f64,
    /// Was given more time once, as this process itself was paused.
    extended: bool,
}

/// A question for candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FindRequest {
    pub(crate) origin: SocketAddr,
    /// Another origin sent the listener there.
    pub(crate) redirected: bool,
}

/// What the listener is to send next.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ParentAction {
    /// Ask an origin for candidates.
    Find(FindRequest),
    /// Ask a candidate to be its parent.
    Attach {
        /// The candidate.
        to: SocketAddr,
        /// Which of its fan-outs applies.
        limit: FanOutLimit,
    },
    /// No origin takes it as a relay: its children are to be detached, as it is a leaf from now on.
    ReleaseChildren,
}

/// How an attempt, or a parent, failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    Rejected,
    /// No answer in time, or the connection was lost.
    Unreachable,
}

/// A listener's way to a parent. An origin has one without origins, which stays idle.
#[derive(Clone, Debug)]
pub(crate) struct ParentSelector {
    state: State,
    kind: ListenerKind,
    known: KnownParents,
    attempts: u32,
    rejections: u32,
    /// Candidates in a row that did not answer.
    unanswered: u32,
    /// A parent that is silent for this long is lost.
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
        let mut known = KnownParents::new(origins);
        known.origins_mut().shuffle(rng);
        let until_ms = now_ms + rng.random_range(0.0..config.start_jitter_ms.max(1.0));
        ParentSelector {
            state: State::BackingOff { until_ms },
            kind: ListenerKind::Leaf,
            known,
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

    /// The question that this origin was asked and has not answered yet.
    pub(crate) fn find_request(&self, address: SocketAddr) -> Option<FindRequest> {
        match self.state {
            State::Finding { request, .. } if request.origin == address => Some(request),
            _ => None,
        }
    }

    pub(crate) fn known(&self) -> &KnownParents {
        &self.known
    }

    /// Where it goes when its parent is lost.
    pub(crate) fn backup_parent(&self) -> Option<SocketAddr> {
        self.known.backup(self.kind, self.parent())
    }

    /// Whom to probe when no origin was heard from through the parent for long; at each turn the next.
    pub(crate) fn probe_target(&self, turn: usize) -> Option<SocketAddr> {
        self.known.probe_target(self.kind, self.parent(), turn)
    }

    pub(crate) fn poll_timeout(&self) -> f64 {
        match &self.state {
            State::BackingOff { until_ms }
            | State::Finding { until_ms, .. }
            | State::Attaching { until_ms, .. } => *until_ms,
            State::Attached(parent) => parent.heard_at_ms + self.parent_timeout_ms,
        }
    }

    /// The parent, if it is silent for too long.
    pub(crate) fn silent_parent(&self, now_ms: f64) -> Option<SocketAddr> {
        self.parent().filter(|_| now_ms >= self.poll_timeout())
    }

    /// A backoff or an attempt that is over.
    pub(crate) fn handle_timeout(&mut self, now_ms: f64, rng: &mut Pcg32) -> Option<ParentAction> {
        if now_ms < self.poll_timeout() {
            return None;
        }
        match &self.state {
            State::BackingOff { .. } if self.is_relay() => self.attach_to_next_origin(now_ms, rng),
            State::BackingOff { .. } => {
                let action = self.find(now_ms);
                if action.is_none() {
                    self.back_off(now_ms, rng);
                }
                action
            }
            State::Finding { request: FindRequest { origin: at, .. }, .. }
            | State::Attaching { to: at, .. }
            | State::Attached(Parent { address: at, .. }) => {
                let at = *at;
                self.handle_failure(now_ms, at, Failure::Unreachable, rng)
            }
        }
    }

    /// Something came from the parent.
    pub(crate) fn handle_parent_heard(&mut self, now_ms: f64) {
        if let State::Attached(parent) = &mut self.state {
            (parent.heard_at_ms, parent.extended) = (now_ms, false);
        }
    }

    /// Something came from there, which may be the parent.
    pub(crate) fn handle_heard_from(&mut self, now_ms: f64, from: SocketAddr) {
        if self.is_parent(from) {
            self.handle_parent_heard(now_ms);
        }
    }

    /// This process was paused: what its parent sent meanwhile is still to be read.
    ///
    /// The parent gets half its timeout once, not twice, so that a process that is paused over and over leaves a parent
    /// that is gone.
    pub(crate) fn handle_pause(&mut self, now_ms: f64) {
        if let State::Attached(parent) = &mut self.state {
            if !std::mem::replace(&mut parent.extended, true) {
                parent.heard_at_ms = parent.heard_at_ms.max(now_ms - self.parent_timeout_ms / 2.0);
            }
        }
    }

    /// The parent's list of alternates, and of origins as it knows them to be near.
    pub(crate) fn handle_alternates(
        &mut self,
        relays: Vec<SocketAddr>,
        origins: &[SocketAddr],
        own: SocketAddr,
    ) {
        self.known.update(relays, origins, own);
    }

    pub(crate) fn handle_attached(&mut self, now_ms: f64, parent: SocketAddr) {
        self.state = State::Attached(Parent { address: parent, heard_at_ms: now_ms, extended: false });
        self.attempts = 0;
        self.rejections = 0;
        self.unanswered = 0;
        self.known.handle_attached(parent);
    }

    /// The origin asks for more relays: attaches there as one.
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

    /// Another process holds what the parent lacks: a leaf goes there first. A relay asks origins in turn anyway.
    pub(crate) fn prefer(&mut self, address: SocketAddr) {
        if !self.is_relay() {
            self.known.prefer(address);
        }
    }

    /// Asks the next origin for candidates.
    pub(crate) fn find(&mut self, now_ms: f64) -> Option<ParentAction> {
        let origin = self.known.next_origin()?;
        Some(self.ask_origin(now_ms, FindRequest { origin, redirected: false }))
    }

    /// Asks the origin that another one pointed to.
    pub(crate) fn find_at(&mut self, now_ms: f64, origin: SocketAddr) -> ParentAction {
        self.ask_origin(now_ms, FindRequest { origin, redirected: true })
    }

    fn ask_origin(&mut self, now_ms: f64, request: FindRequest) -> ParentAction {
        self.state = State::Finding { request, until_ms: now_ms + self.attach_timeout_ms };
        ParentAction::Find(request)
    }

    /// Tries these one after the other; backs off where there is none.
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
        self.state = State::Attaching { to, until_ms, next: candidates, limit };
        Some(ParentAction::Attach { to, limit })
    }

    /// The parent does not know it any more, as after a restart of one of the two: attaches there again, or elsewhere.
    pub(crate) fn reattach(
        &mut self,
        now_ms: f64,
        parent: SocketAddr,
        rng: &mut Pcg32,
    ) -> Option<ParentAction> {
        let others = self.known.of_kind(self.kind).iter().copied().filter(|at| *at != parent);
        let candidates = std::iter::once(parent).chain(others).collect();
        self.attach(now_ms, candidates, FanOutLimit::Failover, rng)
    }

    /// A relay whose origin sends it to another origin.
    pub(crate) fn move_to(
        &mut self,
        now_ms: f64,
        origin: SocketAddr,
        rng: &mut Pcg32,
    ) -> Option<ParentAction> {
        let others = self.known.origins().iter().copied().filter(|at| *at != origin);
        let candidates = std::iter::once(origin).chain(others).collect();
        self.attach(now_ms, candidates, FanOutLimit::Failover, rng)
    }

    /// The parent, or the one that an attempt is made at, rejects, does not answer or is lost; of others nothing follows.
    pub(crate) fn handle_failure(
        &mut self,
        now_ms: f64,
        at: SocketAddr,
        failure: Failure,
        rng: &mut Pcg32,
    ) -> Option<ParentAction> {
        match self.state.clone() {
            State::Attached(parent) if parent.address == at => self.replace_parent(now_ms, at, rng),
            State::Attaching { to, next, limit, .. } if to == at => {
                self.attach_to_next(now_ms, at, failure, next, limit, rng)
            }
            State::Finding { request, .. } if request.origin == at => {
                // So that no other origin sends it there again.
                self.known.remember_failed(at);
                self.back_off(now_ms, rng);
                None
            }
            _ => None,
        }
    }

    fn replace_parent(&mut self, now_ms: f64, lost: SocketAddr, rng: &mut Pcg32) -> Option<ParentAction> {
        self.known.remember_failed(lost);
        let mut candidates = self.known.of_kind(self.kind).to_vec();
        candidates.retain(|at| *at != lost);
        if self.is_relay() {
            candidates.push(lost);
        } else if candidates.is_empty() {
            return self.find(now_ms);
        }
        self.attach(now_ms, candidates, FanOutLimit::Failover, rng)
    }

    fn attach_to_next(
        &mut self,
        now_ms: f64,
        at: SocketAddr,
        failure: Failure,
        mut next: Vec<SocketAddr>,
        limit: FanOutLimit,
        rng: &mut Pcg32,
    ) -> Option<ParentAction> {
        self.known.remember_failed(at);
        match failure {
            Failure::Rejected => {
                self.rejections += 1;
                self.unanswered = 0;
            }
            Failure::Unreachable => self.unanswered += 1,
        }
        if !self.is_relay() && self.unanswered >= MAX_UNANSWERED {
            self.unanswered = 0;
            next.clear();
        }
        if self.is_relay() && self.rejections as usize >= 2 * self.known.origins().len() {
            self.rejections = 0;
            self.back_off(now_ms, rng);
            return Some(ParentAction::ReleaseChildren);
        }
        if next.is_empty() && !self.is_relay() && self.attempts == 0 {
            self.attempts = 1;
            return self.find(now_ms);
        }
        self.attach(now_ms, next, limit, rng)
    }

    /// A relay whose backoff is over.
    fn attach_to_next_origin(&mut self, now_ms: f64, rng: &mut Pcg32) -> Option<ParentAction> {
        let candidates = self.known.origins_in_turn();
        self.attach(now_ms, candidates, FanOutLimit::Failover, rng)
    }

    /// Waits, longer each time. The span is drawn, so that many that lost the same parent do not come at once.
    fn back_off(&mut self, now_ms: f64, rng: &mut Pcg32) {
        let doubled_ms = FIRST_BACKOFF_MS * f64::from(1 << self.attempts.min(MAX_BACKOFF_SHIFT));
        let most_ms = doubled_ms.min(self.max_backoff_ms);
        self.attempts += 1;
        self.known.advance_turn();
        self.state = State::BackingOff { until_ms: now_ms + rng.random_range(most_ms / 4.0..=most_ms) };
    }
}

#[cfg(test)]
mod tests;
