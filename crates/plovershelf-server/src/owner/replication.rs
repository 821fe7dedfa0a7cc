//! Tickets that have copies in the group: a launch waits until its claim stands there, an answer until its ending does. Where
//! there are no copies nothing here does anything.
//!
//! The module decides as before: it has let the invocation in and counts it as running while its claim is asked for; due
//! times hold meanwhile, and what is given up is given back.

use plovershelf::api::{Completion as Answered, RunOutcome};
use plovershelf_codec::agent::RunResult;
use plovershelf_replication::placement::Ticket;
use plovershelf_replication::replicator::Ending;

use super::Owner;
use crate::group::{Asked, Incoming, Told};
use crate::repeats::Mark;

/// How far the claim of an open invocation is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Stage {
    /// It has no ticket, or there are no copies.
    #[default]
    None,
    /// Asked for; nothing was launched.
    Asking,
    Launched,
    /// Its run is over; the ending is being copied.
    Ending,
    /// Told by the copies.
    Over,
}

impl Stage {
    /// The launch is held back, so no run will ever be heard of.
    pub fn holds_launch(self) -> bool {
        self == Stage::Asking
    }
}

/// What callers are told to wait where nothing can be promised.
const COME_BACK_MS: f64 = 300.0;

impl Owner {
    /// Asks for the claim of a ticketed invocation that is to be launched. True where the launch waits for it.
    pub(super) fn claim(&mut self, id: u32) -> bool {
        let Some(copies) = &self.copies else { return false };
        let Some(open) = self.open.get_mut(&id) else { return false };
        let Some(Mark::Ticket(offering, text)) = &open.mark else { return false };
        let ticket = Ticket::of(&self.startup.classes[*offering], text.as_bytes());
        let terms = &self.startup.config.classes[*offering];
        let claim = Asked::Claim {
            id,
            ticket,
            within_ms: terms.timeout_ms,
            window_ms: terms.deduplication_window_ms,
        };
        open.copied = Stage::Asking;
        if copies.try_send(Incoming::Asked(claim)).is_err() {
            // The group takes nothing: nothing is promised, and nothing runs on a promise.
            self.refuse_unclaimed(id);
        }
        true
    }

    fn ask(&self, asked: Asked) {
        if let Some(copies) = &self.copies {
            let _ = copies.try_send(Incoming::Asked(asked));
        }
    }

    /// How it is answered if its time ends before the copies have told of it: while its claim is asked for nothing has run, so it
    /// is dismissed; an ending that enough copies have is told; and a run that its caller is told to have failed has failed
    /// for all, whatever it comes to.
    pub(super) fn out_of_time(&mut self, id: u32, ending: Answered) -> Answered {
        let dismissed = self.come_back();
        let with_copies = self.copies.is_some();
        match self.open.get_mut(&id) {
            Some(open) if open.copied == Stage::Asking => dismissed,
            // A repeat that waited here for another try's end: no verdict is known yet, so none is given.
            Some(open)
                if with_copies
                    && open.copied == Stage::None
                    && open.launched.is_none()
                    && matches!(open.mark, Some(Mark::Ticket(..)))
                    && ending == Answered::Failed =>
            {
                dismissed
            }
            Some(open) if open.copied == Stage::Ending && ending == Answered::Failed => {
                match open.enough.take() {
                    Some(Ending::Succeeded(result)) => {
                        open.result = result;
                        Answered::Succeeded
                    }
                    _ => ending,
                }
            }
            Some(open) if open.copied == Stage::Launched && !open.answered => {
                open.told_failed = ending == Answered::Failed;
                ending
            }
            _ => ending,
        }
    }

    fn come_back(&self) -> Answered {
        let retry_after_ms = COME_BACK_MS.min(self.startup.config.max_retry_after_ms);
        Answered::Rejected { retry_after_ms, retry_elsewhere: true }
    }

    /// Nobody waits for it any more.
    pub(super) fn claim_given_up(&mut self, id: u32) {
        if self.open.get(&id).is_some_and(|open| open.copied == Stage::Asking) {
            self.ask(Asked::GivenUp { id });
        }
    }

    /// A run is over: its end is held back until it is copied. True where it is.
    pub(super) fn holds_end(&mut self, id: u32, over: &RunResult, result: &[u8]) -> bool {
        let Some(open) = self.open.get_mut(&id).filter(|open| open.copied == Stage::Launched) else {
            return false;
        };
        if matches!(over, RunResult::NotFound) {
            open.copied = Stage::Over;
            self.ask(Asked::NeverLaunched { id });
            return false;
        }
        open.copied = Stage::Ending;
        let well = matches!(over, RunResult::Succeeded) && !open.told_failed;
        let ending = if well { Ending::Succeeded(result.to_vec()) } else { Ending::Failed };
        self.ask(Asked::Ended { id, ending });
        true
    }

    pub(super) fn copies_told(&mut self, told: Told) {
        match told {
            Told::Launch(id) => match self.open.get_mut(&id) {
                Some(open) if open.copied == Stage::Asking && !open.answered => {
                    open.copied = Stage::Launched;
                    self.launch(id);
                }
                // It was given up meanwhile.
                _ => self.ask(Asked::NeverLaunched { id }),
            },
            Told::Ended(id, ending) => {
                let answered = match &ending {
                    Ending::Succeeded(_) => Answered::Succeeded,
                    Ending::Failed | Ending::InDoubt => Answered::Failed,
                };
                self.end_unlaunched(id, answered, ending);
            }
            Told::Answer(id, ending) => {
                let Some(open) = self.open.get_mut(&id) else { return };
                open.copied = Stage::Over;
                let (end, result) = match ending {
                    Ending::Succeeded(result) => (RunOutcome::Completed, result),
                    Ending::Failed | Ending::InDoubt => (RunOutcome::Failed, Vec::new()),
                };
                self.run_ended(id, end, result);
            }
            Told::Enough(id, ending) => {
                if let Some(open) = self.open.get_mut(&id).filter(|open| open.copied == Stage::Ending) {
                    open.enough = Some(ending);
                }
            }
            Told::Refuse(id) => self.refuse_unclaimed(id),
            Told::HandedOn => self.handed_on = true,
        }
    }

    /// Nothing can be promised, and nothing was launched.
    fn refuse_unclaimed(&mut self, id: u32) {
        let answered = self.come_back();
        self.end_unlaunched(id, answered, Ending::Failed);
    }

    /// It is answered without a run here; so are those that wait for it.
    fn end_unlaunched(&mut self, id: u32, answered: Answered, ending: Ending) {
        let Some(open) = self.open.get_mut(&id).filter(|open| open.copied == Stage::Asking) else { return };
        open.copied = Stage::Over;
        let result = match ending {
            Ending::Succeeded(result) => Some(result),
            Ending::Failed | Ending::InDoubt => None,
        };
        open.result = result.clone().unwrap_or_default();
        if let Some(mark) = open.mark.clone() {
            for repeat in self.remembered.ended(&mark, id, result.as_deref(), self.now) {
                self.end_repeat(repeat, result.as_deref());
            }
        }
        self.answer(id, answered);
        self.ended.push_back((id, RunOutcome::NotStarted));
    }
}
