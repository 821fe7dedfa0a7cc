//! Requests whose records are replicated in the group: a launch waits until its reservation is replicated, an answer until its
//! outcome is. Where there is no replication nothing here does anything.
//!
//! Admission decides as it does without: it has admitted the request and counts it as running while its reservation is being
//! replicated; deadlines hold meanwhile, and what is given up is released.
//!
//! | stage | event | next |
//! | --- | --- | --- |
//! | not replicated | a keyed request is to be launched | reserving |
//! | reserving | `Launch` | launched |
//! | reserving | `AlreadyCompleted`, `Rejected` | closed: answered without a run here |
//! | launched | its run ended | completing |
//! | launched | it was never run | closed |
//! | completing | `OutcomeReplicated` | closed: answered |

use plovershelf::api::{Completion, RunOutcome};
use plovershelf_codec::agent::RunResult;
use plovershelf_replication::{IdempotencyKey, Outcome};

use super::Owner;
use crate::group::{Incoming, ReplicationCommand, ReplicationEvent};
use crate::repeats::Mark;

/// How far the replication of an open request is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// It has no key, or there is no replication.
    #[default]
    NotReplicated,
    /// Its reservation is being replicated; nothing was launched.
    Reserving,
    Launched,
    /// Its run ended; the outcome is being replicated.
    Completing,
    /// Nothing more is heard of it.
    Closed,
}

/// What the owner knows of an open request's replication.
#[derive(Default)]
pub(super) struct RequestReplication {
    stage: Stage,
    /// What enough replicas have, to be answered if the deadline comes before the rest have it.
    provisional: Option<Outcome>,
    /// Its client was answered that it failed, so that no other outcome is told to anybody.
    answered_failed: bool,
}

impl RequestReplication {
    /// The launch is held back, so no run will ever be heard of.
    pub(super) fn defers_launch(&self) -> bool {
        self.stage == Stage::Reserving
    }
}

/// What clients are told to wait where no promise can be made, in milliseconds.
const RETRY_AFTER_MS: f64 = 300.0;

impl Owner {
    /// Reserves the key of a request that is to be launched. True where the launch waits for it.
    pub(super) fn reserve_before_launch(&mut self, id: u32) -> bool {
        let Some(replication) = &self.replication else { return false };
        let Some(open) = self.open.get_mut(&id) else { return false };
        let Some(Mark::Ticket(class, client_key)) = &open.mark else { return false };
        let key = IdempotencyKey::new(&self.startup.classes[*class], client_key.as_bytes());
        let config = &self.startup.config.classes[*class];
        let command = ReplicationCommand::Reserve {
            id,
            key,
            within_ms: config.timeout_ms,
            retention_ms: config.deduplication_window_ms,
        };
        open.replication.stage = Stage::Reserving;
        if replication.try_send(Incoming::Replication(command)).is_err() {
            // The group takes nothing: no promise is made, and nothing runs on one.
            self.reject_unlaunched(id);
        }
        true
    }

    fn send_replication(&self, command: ReplicationCommand) {
        if let Some(replication) = &self.replication {
            let _ = replication.try_send(Incoming::Replication(command));
        }
    }

    /// How a request is answered whose deadline comes before replication has told of it. While its key is being reserved nothing
    /// has run, so it is rejected; an outcome that enough replicas have is answered; and a run whose client is told that it
    /// failed has failed for all, whatever it comes to.
    pub(super) fn completion_at_deadline(&mut self, id: u32, completion: Completion) -> Completion {
        let rejected = self.retry_later();
        let replicated = self.replication.is_some();
        let Some(open) = self.open.get_mut(&id) else { return completion };
        let failed = completion == Completion::Failed;
        match open.replication.stage {
            Stage::Reserving => rejected,
            // A retry that waited here for another attempt's end: no outcome is known yet, so none is told.
            Stage::NotReplicated
                if replicated
                    && open.launched.is_none()
                    && matches!(open.mark, Some(Mark::Ticket(..)))
                    && failed =>
            {
                rejected
            }
            Stage::Completing if failed => match open.replication.provisional.take() {
                Some(Outcome::Succeeded(result)) => {
                    open.result = result;
                    Completion::Succeeded
                }
                _ => completion,
            },
            Stage::Launched if !open.answered => {
                open.replication.answered_failed = failed;
                completion
            }
            _ => completion,
        }
    }

    fn retry_later(&self) -> Completion {
        let retry_after_ms = RETRY_AFTER_MS.min(self.startup.config.max_retry_after_ms);
        Completion::Rejected { retry_after_ms, retry_elsewhere: true }
    }

    /// Nobody waits for a request any more.
    pub(super) fn cancel_reservation(&mut self, id: u32) {
        if self.open.get(&id).is_some_and(|open| open.replication.stage == Stage::Reserving) {
            self.send_replication(ReplicationCommand::Cancel { id });
        }
    }

    /// A run ended: its completion waits until the outcome is replicated. True where it does.
    pub(super) fn defers_completion(&mut self, id: u32, run: &RunResult, result: &[u8]) -> bool {
        let launched = |open: &&mut super::Open| open.replication.stage == Stage::Launched;
        let Some(open) = self.open.get_mut(&id).filter(launched) else { return false };
        if matches!(run, RunResult::NotFound) {
            open.replication.stage = Stage::Closed;
            self.send_replication(ReplicationCommand::CancelLaunch { id });
            return false;
        }
        open.replication.stage = Stage::Completing;
        let succeeded = matches!(run, RunResult::Succeeded) && !open.replication.answered_failed;
        let outcome = if succeeded { Outcome::Succeeded(result.to_vec()) } else { Outcome::Failed };
        self.send_replication(ReplicationCommand::Complete { id, outcome });
        true
    }

    pub(super) fn handle_replication_event(&mut self, event: ReplicationEvent) {
        match event {
            ReplicationEvent::Launch(id) => self.launch_reserved(id),
            ReplicationEvent::AlreadyCompleted(id, outcome) => {
                let completion = match &outcome {
                    Outcome::Succeeded(_) => Completion::Succeeded,
                    Outcome::Failed | Outcome::InDoubt => Completion::Failed,
                };
                self.complete_unlaunched(id, completion, outcome);
            }
            ReplicationEvent::OutcomeReplicated(id, outcome) => self.complete_replicated(id, outcome),
            ReplicationEvent::OutcomeProvisional(id, outcome) => {
                let completing = |open: &&mut super::Open| open.replication.stage == Stage::Completing;
                if let Some(open) = self.open.get_mut(&id).filter(completing) {
                    open.replication.provisional = Some(outcome);
                }
            }
            ReplicationEvent::Rejected(id) => self.reject_unlaunched(id),
            ReplicationEvent::HandoffEnded => self.handoff_ended = true,
        }
    }

    fn launch_reserved(&mut self, id: u32) {
        match self.open.get_mut(&id) {
            Some(open) if open.replication.stage == Stage::Reserving && !open.answered => {
                open.replication.stage = Stage::Launched;
                self.launch(id);
            }
            // It was given up meanwhile.
            _ => self.send_replication(ReplicationCommand::CancelLaunch { id }),
        }
    }

    fn complete_replicated(&mut self, id: u32, outcome: Outcome) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.replication.stage = Stage::Closed;
        let (run, result) = match outcome {
            Outcome::Succeeded(result) => (RunOutcome::Completed, result),
            Outcome::Failed | Outcome::InDoubt => (RunOutcome::Failed, Vec::new()),
        };
        self.run_ended(id, run, result);
    }

    /// No promise can be made, and nothing was launched.
    fn reject_unlaunched(&mut self, id: u32) {
        let completion = self.retry_later();
        self.complete_unlaunched(id, completion, Outcome::Failed);
    }

    /// A request is answered without a run here; so are those that wait for it.
    fn complete_unlaunched(&mut self, id: u32, completion: Completion, outcome: Outcome) {
        let reserving = |open: &&mut super::Open| open.replication.stage == Stage::Reserving;
        let Some(open) = self.open.get_mut(&id).filter(reserving) else { return };
        open.replication.stage = Stage::Closed;
        let result = match outcome {
            Outcome::Succeeded(result) => Some(result),
            Outcome::Failed | Outcome::InDoubt => None,
        };
        open.result = result.clone().unwrap_or_default();
        if let Some(mark) = open.mark.clone() {
            for retry in self.remembered.ended(&mark, id, result.as_deref(), self.now) {
                self.end_repeat(retry, result.as_deref());
            }
        }
        self.answer(id, completion);
        self.ended.push_back((id, RunOutcome::NotStarted));
    }
}
