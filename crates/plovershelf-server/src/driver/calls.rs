//! Outbound calls of runs, and their replies.

use plovershelf::api::CallOutcome;
use plovershelf_codec::{agent as commands, AttemptId};

use super::agent::CommandNumber;
use super::open_request::UnconfirmedReply;
use super::Driver;
use crate::event::{CallCommand, CallResult};

/// Number that no sample reaches: without a link no sample could be written.
const NEVER_CONFIRMED: CommandNumber = CommandNumber::MAX;

impl Driver {
    pub(super) fn place_call(&mut self, id: u32, timeout_ms: f64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.calls_placed += 1;
        let (attempt, number) = (request.attempt, self.calls_placed);
        request.call.number = Some(number);
        let body = request.call.body.clone();
        let command = CallCommand::Place { id: attempt, number, timeout_ms, body };
        if self.queues.calls.try_send(command).is_err() {
            self.log_peer_error("the command queue to the dependency is full");
            let result = CallResult::without_reply(number, CallOutcome::NotExecuted);
            self.handle_call_ended(attempt, result);
        }
    }

    /// Abandons a call whose reply is no longer needed.
    pub(super) fn abandon_call(&mut self, id: u32) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.call.number.take().is_some() {
            let command = CallCommand::Abandon { id: request.attempt };
            if self.queues.calls.try_send(command).is_err() {
                self.log_peer_error("the command queue to the dependency is full");
            }
        }
    }

    pub(super) fn handle_call_ended(&mut self, attempt: AttemptId, result: CallResult) {
        let CallResult { number, outcome, is_awaited, reply } = result;
        let Some(&id) = self.request_by_attempt.get(&attempt) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.call.number != Some(number) {
            return;
        }
        request.call.number = None;
        let (is_replay, is_answered) = (request.call.is_replay, request.is_answered);
        let outcome = match (outcome, is_replay, is_awaited) {
            // No run waits for this reply, so the first one has arrived.
            (_, true, false) => CallOutcome::Completed,
            (CallOutcome::Completed, true, _) => {
                self.defer_until_confirmed(id, reply);
                CallOutcome::Completed
            }
            (CallOutcome::Completed, ..) => {
                if !is_answered {
                    self.deliver(id, reply);
                }
                CallOutcome::Completed
            }
            (other, ..) => other,
        };
        if outcome == CallOutcome::Completed {
            if let Some(request) = self.requests.get_mut(&id) {
                request.call.is_replay = false;
            }
        }
        self.decide(|backend, now_ms| backend.handle_call_ended(now_ms, id, outcome));
    }

    /// Stores a reply until the answer to a sample confirms that the run still waits for it.
    fn defer_until_confirmed(&mut self, id: u32, reply: Vec<u8>) {
        let sample = commands::sample(self.commands.next());
        let confirmed_by = self.send_command(sample).unwrap_or(NEVER_CONFIRMED);
        if let Some(request) = self.requests.get_mut(&id) {
            request.call.unconfirmed = Some(UnconfirmedReply { confirmed_by, reply });
        }
    }
}
