//! Order in which queued requests are executed and outbound calls are placed.
//!
//! *Decides*: which queued request is executed next, and which waiting request gets the next outbound call.
//! *Inputs*: rank and deadline (ms) of each request.
//! *Rule*: the highest rank first; within a rank, the earliest deadline first.
//! *Why*: when capacity runs out, the least valuable requests remain; within a rank, the earliest deadline
//! first lets most requests meet theirs. Normally the queue is empty, because admitted requests are executed at
//! once.
//! *Source*: Liu and Layland, "Scheduling algorithms for multiprogramming in a hard-real-time environment"
//! (1973), for the earliest deadline; `docs/design.md`, "What is kept".
//! *Without it*: valuable requests expire behind others. Ordered sets avoid a scan of all requests at each
//! event.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::admission::time::TimeKey;
use crate::api::RequestState;

/// Sort key of a request; the greatest key goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SchedulingKey {
    rank: usize,
    deadline: Reverse<TimeKey>,
    id: u32,
}

impl SchedulingKey {
    pub(super) fn new(rank: usize, deadline_ms: f64, id: u32) -> Self {
        SchedulingKey { rank, deadline: Reverse(TimeKey::from_ms(deadline_ms)), id }
    }
}

/// Waiting requests in scheduling order.
#[derive(Default)]
pub(super) struct Scheduling {
    queued: BTreeSet<SchedulingKey>,
    awaiting_call: BTreeSet<SchedulingKey>,
}

impl Scheduling {
    fn set_for(&mut self, state: RequestState) -> Option<&mut BTreeSet<SchedulingKey>> {
        match state {
            RequestState::Queued => Some(&mut self.queued),
            RequestState::AwaitingCall => Some(&mut self.awaiting_call),
            _ => None,
        }
    }

    /// Adds a request that entered a state.
    pub(super) fn enter(&mut self, state: RequestState, key: SchedulingKey) {
        if let Some(order) = self.set_for(state) {
            order.insert(key);
        }
    }

    /// Removes a request that left a state.
    pub(super) fn leave(&mut self, state: RequestState, key: SchedulingKey) {
        if let Some(order) = self.set_for(state) {
            order.remove(&key);
        }
    }

    /// Returns the next request to execute.
    pub(super) fn next_queued(&self) -> Option<u32> {
        self.queued.last().map(|key| key.id)
    }

    /// Returns the next request to place a call for, among those for which `may_call` holds.
    pub(super) fn next_awaiting_call(&self, may_call: impl Fn(u32) -> bool) -> Option<u32> {
        self.awaiting_call.iter().rev().map(|key| key.id).find(|id| may_call(*id))
    }
}

#[cfg(test)]
mod tests;
