//! Replication of keyed requests: a run starts once its reservation stands on the replicas, and its answer goes out once its
//! outcome does. Without replication nothing here does anything.
//!
//! The backend decides as before: it has admitted the request and counts it as running while its reservation is asked for;
//! deadlines hold meanwhile, and what is given up is released.
//!
//! | stage | left by |
//! | --- | --- |
//! | `None`: no key, or no replication | `reserve`: `Reserving` |
//! | `Reserving`: nothing was started | it stands: `Started`; ended elsewhere, refused: `Done` |
//! | `Started` | the run ends: `Replicating`; the agent never had it: `Done` |
//! | `Replicating`: the run ended, its outcome is being copied | confirmed: `Done` |

use plovershelf::api::{Completion, RunOutcome};
use plovershelf_codec::agent::RunResult;
use plovershelf_replication::{IdempotencyKey, Outcome};

use super::open_request::LaunchState;
use super::Driver;
use crate::cluster::{Incoming, ReplicationCommand, ReplicationEvent};
use crate::deduplication::DeduplicationKey;

/// How far the replication of an open request is; see the module's table.
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
    /// The launch is held back, so nothing of a run will ever be reported.
    pub(super) fn holds_launch(self) -> bool {
        self == ReplicationStage::Reserving
    }
}

/// Retry-After where nothing can be promised.
const UNAVAILABLE_RETRY_AFTER_MS: f64 = 300.0;

impl Driver {
    /// Asks for the reservation of a keyed request that is to be started. Returns whether the start waits for it.
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
            // The cluster accepts nothing: nothing is promised, and nothing runs on a promise.
            self.reject_unreserved(id);
        }
        true
    }

    fn send_to_replication(&self, command: ReplicationCommand) {
        if let Some(replication) = &self.replication {
            let _ = replication.try_send(Incoming::Replication(command));
        }
    }

    /// How a request is answered whose deadline comes before its replication is through. While its reservation is asked for
    /// nothing has run, so it is rejected; an outcome that enough replicas have is told; and a run whose client is told that
    /// it failed has failed for all, whatever it returns.
    pub(super) fn completion_at_deadline(&mut self, id: u32, completion: Completion) -> Completion {
        let unavailable = self.unavailable();
        let is_replicated = self.replication.is_some();
        let Some(request) = self.requests.get_mut(&id) else { return completion };
        let is_failure = completion == Completion::Failed;
        let is_keyed = matches!(request.key, Some(DeduplicationKey::Idempotency(..)));
        match request.replication {
            ReplicationStage::Reserving => unavailable,
            // A duplicate that waited here for another attempt's end: no verdict is known yet, so none is given.
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
                request.is_failure_told = is_failure;
                completion
            }
            _ => completion,
        }
    }

    fn unavailable(&self) -> Completion {
        let retry_after_ms = UNAVAILABLE_RETRY_AFTER_MS.min(self.startup.config.max_retry_after_ms);
        Completion::Rejected { retry_after_ms, retry_elsewhere: true }
    }

    /// Nobody waits for the request any more.
    pub(super) fn abandon_reservation(&mut self, id: u32) {
        if self.requests.get(&id).is_some_and(|request| request.replication.holds_launch()) {
            self.send_to_replication(ReplicationCommand::Cancel { id });
        }
    }

    /// A run has ended. Returns whether its outcome is held back until it is replicated.
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
        let is_success = result == RunResult::Succeeded && !request.is_failure_told;
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
            // It was given up meanwhile.
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

    /// Nothing can be promised, and nothing was started.
    fn reject_unreserved(&mut self, id: u32) {
        let completion = self.unavailable();
        self.end_unstarted(id, completion, Outcome::Failed);
    }

    /// It is answered without a run here; so are the duplicates that wait for it.
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
