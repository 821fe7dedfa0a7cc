//! The order in which queued requests are executed and outbound calls are placed.
//!
//! *Decides*: which queued request is executed next, and which request that wants a call gets the next one.
//! *Inputs*: rank and deadline (ms) of each request.
//! *Rule*: the highest rank first, within it the earliest deadline.
//! *Why*: what is left over when capacity runs out is the least valuable; within a rank the earliest deadline
//! first lets most requests meet theirs. On the ordinary path the queue is empty: what is admitted runs at
//! once.
//! *Source*: Liu and Layland, "Scheduling algorithms for multiprogramming in a hard-real-time environment"
//! (1973), for the earliest deadline; `docs/design.md`, "What is kept".
//! *Without it*: valuable requests expire behind others. The sets keep the order, so that no event looks
//! through all requests.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::admission::time::TimeKey;
use crate::api::RequestState;

/// A request's place in the order: the greatest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Turn {
    rank: usize,
    deadline: Reverse<TimeKey>,
    id: u32,
}

impl Turn {
    pub(super) fn new(rank: usize, deadline_ms: f64, id: u32) -> Self {
        Turn { rank, deadline: Reverse(TimeKey::from_ms(deadline_ms)), id }
    }
}

/// What waits, in order.
#[derive(Default)]
pub(super) struct Scheduling {
    queued: BTreeSet<Turn>,
    awaiting_call: BTreeSet<Turn>,
}

impl Scheduling {
    fn order_of(&mut self, state: RequestState) -> Option<&mut BTreeSet<Turn>> {
        match state {
            RequestState::Queued => Some(&mut self.queued),
            RequestState::AwaitingCall => Some(&mut self.awaiting_call),
            _ => None,
        }
    }

    /// A request entered a state.
    pub(super) fn enter(&mut self, state: RequestState, turn: Turn) {
        if let Some(order) = self.order_of(state) {
            order.insert(turn);
        }
    }

    /// A request left a state.
    pub(super) fn leave(&mut self, state: RequestState, turn: Turn) {
        if let Some(order) = self.order_of(state) {
            order.remove(&turn);
        }
    }

    /// The next request to execute.
    pub(super) fn next_queued(&self) -> Option<u32> {
        self.queued.last().map(|turn| turn.id)
    }

    /// The next request to place a call for, out of those that may.
    pub(super) fn next_awaiting_call(&self, may_call: impl Fn(u32) -> bool) -> Option<u32> {
        self.awaiting_call.iter().rev().map(|turn| turn.id).find(|id| may_call(*id))
    }
}

#[cfg(test)]
mod tests;
