//! Replication of keyed requests. A run starts once its reservation is stored on the replicas, and its answer is sent
//! once its outcome is. Without replication this module does nothing.
//!
//! The backend's decisions don't change: it admits the request and counts it as running while the reservation is
//! pending. Deadlines keep running in the meantime, and the reservations of abandoned requests are released.
//!
//! | stage | left when |
//! | --- | --- |
//! | `None`: no key, or no replication | `reserve` is called: `Reserving` |
//! | `Reserving`: the run has not started | the reservation is stored: `Started`; the key has completed elsewhere, or the reservation is rejected: `Done` |
//! | `Started` | the run ends: `Replicating`; the agent never received the launch: `Done` |
//! | `Replicating`: the run has ended and its outcome is being replicated | the replicas confirm: `Done` |

use plovershelf::api::{Completion, RunOutcome};
use plovershelf_codec::agent::RunResult;
use plovershelf_replication::{IdempotencyKey, Outcome};

use super::open_request::LaunchState;
use super::Driver;
use crate::cluster::{Incoming, ReplicationCommand, ReplicationEvent};
use crate::deduplication::DeduplicationKey;

/// Progress of the replication of an open request; see the module's table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ReplicationStage {
    #[default]
    None,
    Reserving,
    Started,
    Replicating,
    Done,
}

impl ReplicationStage {
    /// Returns whether the launch waits for a reservation, so that the agent will not report on a run.
    pub(super) fn awaits_reservation(self) -> bool {
        self == ReplicationStage::Reserving
    }
}

/// Retry-after value of rejections while no reservation can be obtained, in milliseconds.
const UNAVAILABLE_RETRY_AFTER_MS: f64 = 300.0;

impl Driver {
    /// Requests the reservation of a keyed request that is about to start. Returns whether the start waits for it.
    pub(super) fn reserve(&mut self, id: u32) -> bool {
        let Some(replication) = &self.replication else { return false };
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let Some(DeduplicationKey::Idempotency(class, client_key)) = &request.key else { return false };
        let key = IdempotencyKey::new(&self.startup.classes[*class], client_key.as_bytes());
        let config = &self.startup.config.classes[*class];
        let command = ReplicationCommand::Reserve {
            id,
            key,
            within_ms: config.timeout_ms,
            retention_ms: config.deduplication_window_ms,
        };
        request.replication = ReplicationStage::Reserving;
        if replication.try_send(Incoming::Replication(command)).is_err() {
            // The cluster's queue is full or closed. A run must not start without its reservation.
            self.reject_unreserved(id);
        }
        true
    }

    fn send_to_replication(&self, command: ReplicationCommand) {
        if let Some(replication) = &self.replication {
            let _ = replication.try_send(Incoming::Replication(command));
        }
    }

    /// Returns the answer to a request whose deadline expires before its replication is complete. A request that
    /// still awaits its reservation has not run and is rejected. An outcome that enough replicas have stored is sent.
    /// Once a client has been answered with a failure, the run counts as failed for every caller, whatever result it
    /// returns.
    pub(super) fn completion_at_deadline(&mut self, id: u32, completion: Completion) -> Completion {
        let unavailable = self.unavailable();
        let is_replicated = self.replication.is_some();
        let Some(request) = self.requests.get_mut(&id) else { return completion };
        let is_failure = completion == Completion::Failed;
        let is_keyed = matches!(request.key, Some(DeduplicationKey::Idempotency(..)));
        match request.replication {
            ReplicationStage::Reserving => unavailable,
            // This duplicate waits for another attempt, whose outcome is still unknown, so it can't be answered with
            // a failure.
            ReplicationStage::None
                if is_replicated && is_keyed && is_failure && request.launch == LaunchState::None =>
            {
                unavailable
            }
            ReplicationStage::Replicating if is_failure => match request.provisional_outcome.take() {
                Some(Outcome::Succeeded(result)) => {
                    request.result = result;
                    Completion::Succeeded
                }
                _ => completion,
            },
            ReplicationStage::Started if !request.is_answered => {
                request.is_failure_reported = is_failure;
                completion
            }
            _ => completion,
        }
    }

    fn unavailable(&self) -> Completion {
        let retry_after_ms = UNAVAILABLE_RETRY_AFTER_MS.min(self.startup.config.max_retry_after_ms);
        Completion::Rejected { retry_after_ms, retry_elsewhere: true }
    }

    /// Cancels the reservation of a request whose client no longer waits.
    pub(super) fn abandon_reservation(&mut self, id: u32) {
        if self.requests.get(&id).is_some_and(|request| request.replication.awaits_reservation()) {
            self.send_to_replication(ReplicationCommand::Cancel { id });
        }
    }

    /// Replicates the outcome of a run that has ended. Returns whether the answer waits for the replicas.
    pub(super) fn replicate_outcome(&mut self, id: u32, result: RunResult, body: &[u8]) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if request.replication != ReplicationStage::Started {
            return false;
        }
        if result == RunResult::NotStarted {
            request.replication = ReplicationStage::Done;
            self.send_to_replication(ReplicationCommand::CancelLaunch { id });
            return false;
        }
        request.replication = ReplicationStage::Replicating;
        let is_success = result == RunResult::Succeeded && !request.is_failure_reported;
        let outcome = if is_success { Outcome::Succeeded(body.to_vec()) } else { Outcome::Failed };
        self.send_to_replication(ReplicationCommand::Complete { id, outcome });
        true
    }

    pub(super) fn handle_replication_event(&mut self, event: ReplicationEvent) {
        match event {
            ReplicationEvent::Launch(id) => self.handle_reserved(id),
            ReplicationEvent::AlreadyCompleted(id, outcome) => {
                let completion = match &outcome {
                    Outcome::Succeeded(_) => Completion::Succeeded,
                    Outcome::Failed | Outcome::InDoubt => Completion::Failed,
                };
                self.end_unstarted(id, completion, outcome);
            }
            ReplicationEvent::OutcomeReplicated(id, outcome) => self.handle_replicated(id, outcome),
            ReplicationEvent::OutcomeProvisional(id, outcome) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    if request.replication == ReplicationStage::Replicating {
                        request.provisional_outcome = Some(outcome);
                    }
                }
            }
            ReplicationEvent::Rejected(id) => self.reject_unreserved(id),
            ReplicationEvent::HandoffEnded => self.is_handed_off = true,
        }
    }

    fn handle_reserved(&mut self, id: u32) {
        match self.requests.get_mut(&id) {
            Some(request) if request.replication == ReplicationStage::Reserving && !request.is_answered => {
                request.replication = ReplicationStage::Started;
                self.start_run(id);
            }
            // The request was abandoned in the meantime.
            _ => self.send_to_replication(ReplicationCommand::CancelLaunch { id }),
        }
    }

    fn handle_replicated(&mut self, id: u32, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.replication = ReplicationStage::Done;
        let (run, result) = match outcome {
            Outcome::Succeeded(result) => (RunOutcome::Completed, result),
            Outcome::Failed | Outcome::InDoubt => (RunOutcome::Failed, Vec::new()),
        };
        self.handle_run_ended(id, run, result);
    }

    /// Rejects a request that could not be reserved. Its run has not started.
    fn reject_unreserved(&mut self, id: u32) {
        let completion = self.unavailable();
        self.end_unstarted(id, completion, Outcome::Failed);
    }

    /// Answers a request that does not run here, and the duplicates that wait for it.
    fn end_unstarted(&mut self, id: u32, completion: Completion, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.replication != ReplicationStage::Reserving {
            return;
        }
        request.replication = ReplicationStage::Done;
        let result = match outcome {
            Outcome::Succeeded(result) => Some(result),
            Outcome::Failed | Outcome::InDoubt => None,
        };
        request.result = result.clone().unwrap_or_default();
        self.end_duplicates_of(id, result.as_deref());
        self.answer(id, completion);
        self.ended_runs.push_back((id, RunOutcome::NotStarted));
    }
}
