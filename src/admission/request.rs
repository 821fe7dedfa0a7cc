//! Requests in flight: their states, and the counts by state that other rules use.
//!
//! *Decides*: to which state a final response moves a request, and whether the request may have been executed.
//! *Inputs*: state changes, with the time (ms) and the execution clock (ms of core time).
//! *Rule*: a response completes a request that has not started; one that has started is answered at once and
//! completes when its execution ends. Only idempotent executions are cancelled, and only if the host can do so.
//! *Why*: the client waits for the response, not for the execution; a non-idempotent execution that is cut off
//! midway may have taken part of its effect.
//! *Source*: `docs/design.md`, "Guards for the four rules".
//! *Without it*: clients would wait for executions whose result is no longer needed, or would be informed that
//! a request was not executed although it was.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | – | read | `Queued` |
//! | `Queued` | duplicate of a known request | `Joined`, or `Completed` if memory is short |
//! | `Queued` | rejected; client gone; deadline | `Completed` |
//! | `Queued` | next in scheduling order | `Running` |
//! | `Joined` | result of the first request; client gone; deadline | `Completed` |
//! | `Running` | requests an outbound call | `AwaitingCall` |
//! | `AwaitingCall` | the call is placed | `Calling` |
//! | `Calling` | the call completed, or may be skipped | `Running` |
//! | `Calling` | the call failed | `AwaitingCall`; without a retry, then the same as at the deadline |
//! | `Running`, `AwaitingCall`, `Calling` | client gone; deadline | `Answered` |
//! | `Running`, `Answered` | the execution ended | `Completed` |

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{Cancellation, Completion, Idempotency, Request, RequestState};

/// Returns whether the request has an execution that is on the cores or waits for disk.
fn is_executing(state: RequestState) -> bool {
    matches!(state, RequestState::Running | RequestState::Answered { .. })
}

fn awaits_call(state: RequestState) -> bool {
    matches!(state, RequestState::AwaitingCall | RequestState::Calling { .. })
}

fn has_call_in_flight(state: RequestState) -> bool {
    matches!(state, RequestState::Calling { .. })
}

/// Returns whether the final response was given.
pub(super) fn is_answered(state: RequestState) -> bool {
    matches!(state, RequestState::Answered { .. } | RequestState::Completed(_))
}

/// Returns whether a request in this state takes the memory of an execution.
pub(super) fn takes_execution_memory(state: RequestState) -> bool {
    is_executing(state) || awaits_call(state)
}

/// Times at which a state change is accounted.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    pub(super) now_ms: f64,
    pub(super) execution_ms: f64,
}

/// A request from the time it was read to the end of its execution.
pub(super) struct InFlightRequest {
    state: RequestState,
    class: usize,
    memory_kb: f64,
    work_hint_ms: Option<f64>,
    /// Time at which the request expires while the backend is not draining.
    expires_ms: f64,
    /// Time at which the request expires, limited by the drain; its key in the order of deadlines.
    deadline_ms: f64,
    may_have_run: bool,
    call_started_ms: f64,
    /// Core time so far, and the execution clock at the last update of that time.
    core_ms: f64,
    execution_clock_ms: f64,
}

impl InFlightRequest {
    /// Returns a queued request that was just read.
    pub(super) fn new(request: &Request, expires_ms: f64, deadline_ms: f64) -> Self {
        InFlightRequest {
            state: RequestState::Queued,
            class: request.class,
            memory_kb: request.memory_kb,
            work_hint_ms: request.work_hint_ms,
            expires_ms,
            deadline_ms,
            may_have_run: false,
            call_started_ms: 0.0,
            core_ms: 0.0,
            execution_clock_ms: 0.0,
        }
    }

    pub(super) fn state(&self) -> RequestState {
        self.state
    }

    pub(super) fn class(&self) -> usize {
        self.class
    }

    pub(super) fn memory_kb(&self) -> f64 {
        self.memory_kb
    }

    pub(super) fn work_hint_ms(&self) -> Option<f64> {
        self.work_hint_ms
    }

    pub(super) fn expires_ms(&self) -> f64 {
        self.expires_ms
    }

    pub(super) fn deadline_ms(&self) -> f64 {
        self.deadline_ms
    }

    pub(super) fn call_started_ms(&self) -> f64 {
        self.call_started_ms
    }

    /// Returns whether the request was executed, or waits for a request that was.
    pub(super) fn may_have_executed(&self) -> bool {
        self.may_have_run || self.state == RequestState::Joined
    }

    /// Returns the core time that the execution has had so far.
    pub(super) fn core_ms_at(&self, execution_clock_ms: f64) -> f64 {
        self.core_ms + execution_clock_ms - self.execution_clock_ms
    }

    /// Returns the state to which a final response moves the request, or `None` if it was answered before.
    pub(super) fn state_after_answer(
        &self,
        completion: Completion,
        idempotency: Idempotency,
        cancellation: Cancellation,
    ) -> Option<RequestState> {
        let can_cancel = idempotency == Idempotency::Idempotent && cancellation != Cancellation::Unsupported;
        match self.state {
            RequestState::Answered { .. } | RequestState::Completed(_) => None,
            RequestState::Queued | RequestState::Joined => Some(RequestState::Completed(completion)),
            from => {
                let cancel = can_cancel && from == RequestState::Running;
                Some(RequestState::Answered { completion, cancel })
            }
        }
    }
}

/// Details of a state change for the rules that keep their own statistics.
pub(super) struct StateChange {
    pub(super) from: RequestState,
    pub(super) class: usize,
    pub(super) memory_kb: f64,
    pub(super) deadline_ms: f64,
    /// Age of the outbound call that the state change abandoned, if any.
    pub(super) abandoned_call_ms: Option<f64>,
}

/// All requests in flight, by id.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<u32, InFlightRequest>,
    /// Answered requests whose execution was asked to stop and has not ended.
    cancelling: BTreeSet<u32>,
    running: usize,
    awaiting_call: usize,
    calls_in_flight: usize,
}

impl RequestTable {
    pub(super) fn insert(&mut self, id: u32, request: InFlightRequest) {
        self.requests.insert(id, request);
    }

    pub(super) fn get(&self, id: u32) -> Option<&InFlightRequest> {
        self.requests.get(&id)
    }

    pub(super) fn state(&self, id: u32) -> Option<RequestState> {
        self.requests.get(&id).map(|request| request.state)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (u32, &InFlightRequest)> {
        self.requests.iter().map(|(id, request)| (*id, request))
    }

    pub(super) fn set_deadline(&mut self, id: u32, deadline_ms: f64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.deadline_ms = deadline_ms;
        }
    }

    /// Changes the state of a request; returns `None` if the request is not known.
    pub(super) fn transition(&mut self, id: u32, to: RequestState, clock: Clock) -> Option<StateChange> {
        let request = self.requests.get_mut(&id)?;
        let from = request.state;
        if is_executing(from) {
            request.core_ms += clock.execution_ms - request.execution_clock_ms;
        }
        request.execution_clock_ms = clock.execution_ms;
        let abandons = has_call_in_flight(from) && matches!(to, RequestState::Answered { .. });
        let change = StateChange {
            from,
            class: request.class,
            memory_kb: request.memory_kb,
            deadline_ms: request.deadline_ms,
            abandoned_call_ms: abandons.then_some(clock.now_ms - request.call_started_ms),
        };
        request.state = to;
        request.may_have_run |= to == RequestState::Running;
        if has_call_in_flight(to) {
            request.call_started_ms = clock.now_ms;
        }
        self.update_counts(from, to);
        if matches!(to, RequestState::Answered { cancel: true, .. }) {
            self.cancelling.insert(id);
        } else {
            self.cancelling.remove(&id);
        }
        if matches!(to, RequestState::Completed(_)) {
            self.requests.remove(&id);
        }
        Some(change)
    }

    fn update_counts(&mut self, from: RequestState, to: RequestState) {
        let updated =
            |count: usize, is: fn(RequestState) -> bool| count + usize::from(is(to)) - usize::from(is(from));
        self.running = updated(self.running, is_executing);
        self.awaiting_call = updated(self.awaiting_call, awaits_call);
        self.calls_in_flight = updated(self.calls_in_flight, has_call_in_flight);
    }

    /// Returns the number of executions on the cores or waiting for disk.
    pub(super) fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of requests that wait for an outbound call or have one in flight.
    pub(super) fn awaiting_call(&self) -> usize {
        self.awaiting_call
    }

    pub(super) fn calls_in_flight(&self) -> usize {
        self.calls_in_flight
    }

    /// Returns the ids of unanswered requests in ascending order.
    pub(super) fn unanswered(&self) -> Vec<u32> {
        self.iter().filter(|(_, request)| !is_answered(request.state)).map(|(id, _)| id).collect()
    }

    /// Returns the requests whose execution was asked to stop and has not ended, with their states.
    pub(super) fn cancelling(&self) -> Vec<(u32, RequestState)> {
        self.cancelling.iter().filter_map(|id| Some((*id, self.state(*id)?))).collect()
    }
}

#[cfg(test)]
mod tests;
