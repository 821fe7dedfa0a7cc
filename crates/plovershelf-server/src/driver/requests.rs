//! Applies the backend's effects: starts, calls, answers and ends of requests.

use plovershelf::api::{Completion, Effects, RequestState, RunOutcome, Timer, Transition};
use plovershelf_codec::agent as commands;
use plovershelf_codec::front::{self, ServerSignals};

use super::{Driver, Timeout};
use crate::deduplication::{DeduplicationKey, Joined};

impl Driver {
    pub(super) fn apply_effects(&mut self, effects: Effects) {
        for transition in effects.transitions {
            self.record_transition(&transition);
            self.apply_transition(transition);
        }
        let announcements = effects.announcements;
        self.backpressure = announcements.backpressure.or(self.backpressure);
        self.is_ready = announcements.ready.unwrap_or(self.is_ready);
        self.idle_timeout_ms = announcements.idle_timeout_ms.unwrap_or(self.idle_timeout_ms);
        for (after_ms, timer) in announcements.timers {
            let timeout = match timer {
                Timer::Periodic => Timeout::Periodic,
                Timer::Deadline => Timeout::Deadline,
            };
            self.schedule(after_ms, timeout);
        }
        for note in announcements.notes {
            tracing::info!(event = "backend", "{note}");
        }
        if let Some((runs, calls)) = announcements.total_capacity {
            self.update_bulkheads(runs, calls);
        }
    }

    fn apply_transition(&mut self, transition: Transition) {
        let Transition { id, from, to, retain_ms } = transition;
        if let Some(retain_ms) = retain_ms {
            self.remember(id, retain_ms);
        }
        match (from, to) {
            // With replication, the run starts only after its reservation is stored.
            (Some(RequestState::Queued), RequestState::Running) if self.reserve(id) => {}
            (Some(RequestState::Queued), RequestState::Running) => self.start_run(id),
            (Some(RequestState::AwaitingCall), RequestState::Running) => {
                self.send_command_for(id, commands::skip_call);
            }
            (_, RequestState::Calling { timeout_ms }) => self.place_call(id, timeout_ms),
            (_, RequestState::Joined) => self.join(id),
            (Some(_), RequestState::Answered { completion, cancel }) => {
                let completion = self.completion_at_deadline(id, completion);
                self.abandon_call(id);
                self.answer(id, completion);
                if cancel {
                    self.send_command_for(id, commands::cancel_run);
                }
                self.abandon_reservation(id);
                self.stop_waiting_if_never_started(id);
            }
            (Some(_), RequestState::Completed(completion)) => {
                let completion = self.completion_at_deadline(id, completion);
                self.abandon_call(id);
                self.abandon_reservation(id);
                self.answer(id, completion);
                self.forget(id);
            }
            _ => {}
        }
    }

    fn remember(&mut self, id: u32, retain_ms: f64) {
        let Some(request) = self.requests.get(&id) else { return };
        if let Some(key) = request.key.clone() {
            self.deduplication.insert(key, id, request.body_hash, self.now_ms + retain_ms);
        }
    }

    /// Reports the run of a finished request as not started if the agent may never have received it, so that the
    /// backend doesn't wait for its end.
    fn stop_waiting_if_never_started(&mut self, id: u32) {
        if self.requests.get(&id).is_some_and(|request| request.may_never_have_started()) {
            self.ended_runs.push_back((id, RunOutcome::NotStarted));
        }
    }

    /// Sends the final answer, unless the request already has one.
    pub(super) fn answer(&mut self, id: u32, completion: Completion) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.is_answered) else { return };
        let (connection, seqid) = (request.connection, request.seqid);
        let timeout_ms = self.startup.config.classes[request.class].timeout_ms;
        let is_in_time = self.now_ms - request.arrived_ms <= timeout_ms;
        let mut signals = ServerSignals { backpressure: self.backpressure, ..ServerSignals::default() };
        let frame = match completion {
            Completion::Succeeded => front::succeeded(seqid, &request.result, &signals),
            Completion::Rejected { retry_after_ms, retry_elsewhere } => {
                signals.retry_after_ms = Some(retry_after_ms).filter(|ms| *ms > 0.0);
                signals.no_retry_elsewhere = !retry_elsewhere;
                front::rejected(seqid, &signals)
            }
            // The run can end before this driver learns that the client has gone; an answer is harmless then.
            Completion::Failed | Completion::ExecutionFailed | Completion::ClientGone => {
                front::failed(seqid, &signals)
            }
        };
        self.count_answer(completion, is_in_time);
        self.mark_answered(id);
        self.send(connection, frame);
        self.close_if_finished(connection);
    }

    /// Counts an answer for the cluster's traffic plan.
    fn count_answer(&mut self, completion: Completion, is_in_time: bool) {
        if self.heartbeat.is_none() || !matches!(completion, Completion::Succeeded | Completion::Failed) {
            return;
        }
        self.counters.answered += 1.0;
        let is_good = completion == Completion::Succeeded && is_in_time;
        self.counters.in_time += f64::from(u8::from(is_good));
        self.runs_since_sample += 1.0;
    }

    /// Marks a request as answered and updates its connection.
    pub(super) fn mark_answered(&mut self, id: u32) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_answered = true;
        if let Some(client) = self.connections.get_mut(&request.connection) {
            client.remove_request(request.seqid, id, self.now_ms);
        }
    }

    /// Removes a request that has ended both here and at the agent.
    fn forget(&mut self, id: u32) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.open_bytes -= request.frame.len() + self.limits.request_overhead_bytes;
        self.request_by_attempt.remove(&request.attempt);
        if let Some(key) = &request.key {
            self.end_duplicates(key, id, None);
        }
    }

    /// Ends a duplicate whose original request has ended. The backend is notified at the end of the current
    /// turn of the event loop.
    pub(super) fn end_duplicate(&mut self, duplicate: u32, result: Option<&[u8]>) {
        if let Some(request) = self.requests.get_mut(&duplicate) {
            request.result = result.unwrap_or_default().to_vec();
            let outcome = if result.is_some() { RunOutcome::Completed } else { RunOutcome::Failed };
            self.ended_runs.push_back((duplicate, outcome));
        }
    }

    /// Ends the duplicates that wait for the owner of a key.
    pub(super) fn end_duplicates_of(&mut self, id: u32, result: Option<&[u8]>) {
        let Some(key) = self.requests.get(&id).and_then(|request| request.key.clone()) else { return };
        self.end_duplicates(&key, id, result);
    }

    fn end_duplicates(&mut self, key: &DeduplicationKey, id: u32, result: Option<&[u8]>) {
        for duplicate in self.deduplication.handle_end(key, id, result, self.now_ms) {
            self.end_duplicate(duplicate, result);
        }
    }

    fn join(&mut self, id: u32) {
        let key = self.requests.get(&id).and_then(|request| request.key.clone());
        let result = match key.as_ref().map(|key| self.deduplication.join(key, id)) {
            Some(Joined::Waiting) => return,
            Some(Joined::Result(result)) => Some(result.to_vec()),
            Some(Joined::NoResult) | None => None,
        };
        self.end_duplicate(id, result.as_deref());
    }
}
