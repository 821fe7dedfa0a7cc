//! Outbound calls of runs, and their replies.

use plovershelf::api::CallOutcome;
use plovershelf_codec::{agent as commands, AttemptId};

use super::agent::CommandNumber;
use super::open_request::UnprovenReply;
use super::Driver;
use crate::event::{CallCommand, CallResult};

/// Never proven: there is no link that a sample could be written to.
const NEVER_PROVEN: CommandNumber = CommandNumber::MAX;

impl Driver {
    pub(super) fn place_call(&mut self, id: u32, timeout_ms: f64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.calls_placed += 1;
        let (attempt, number) = (request.attempt, self.calls_placed);
        request.call.number = Some(number);
        let body = request.call.body.clone();
        let command = CallCommand::Place { id: attempt, number, timeout_ms, body };
        if self.queues.calls.try_send(command).is_err() {
            self.log_peer_error("the queue to the dependency is full");
            let result = CallResult::without_reply(number, CallOutcome::NotExecuted);
            self.handle_call_ended(attempt, result);
        }
    }

    /// Gives up a call that nobody waits for any more.
    pub(super) fn abandon_call(&mut self, id: u32) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.call.number.take().is_some() {
            let command = CallCommand::Abandon { id: request.attempt };
            if self.queues.calls.try_send(command).is_err() {
                self.log_peer_error("the queue to the dependency is full");
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
            // No run waits: the first reply has reached it.
            (_, true, false) => CallOutcome::Completed,
            (CallOutcome::Completed, true, _) => {
                self.hold_until_proven(id, reply);
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

    /// Holds a reply until the answer to a sample proves that the run waits for it.
    fn hold_until_proven(&mut self, id: u32, reply: Vec<u8>) {
        let sample = commands::sample(self.commands.next());
        let proven_by = self.send_command(sample).unwrap_or(NEVER_PROVEN);
        if let Some(request) = self.requests.get_mut(&id) {
            request.call.unproven = Some(UnprovenReply { proven_by, reply });
        }
    }
}
