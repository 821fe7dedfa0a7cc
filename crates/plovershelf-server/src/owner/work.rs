//! Carries out what the module says of an invocation: its run, its calls, its answer, its end.

use plovershelf::api::{Completion, Effects, RequestState, RunOutcome, Timer, Transition};
use plovershelf_codec::agent as commands;
use plovershelf_codec::front::{self, ServerSignals};

use super::{Due, Open, Owner, NEVER};
use crate::repeats::Repeated;

impl Owner {
    pub(super) fn carry_out(&mut self, effects: Effects) {
        for change in effects.transitions {
            self.pool_change(&change);
            self.carry_out_change(change);
        }
        let words = effects.announcements;
        self.advice = words.backpressure.or(self.advice);
        self.fit = words.ready.unwrap_or(self.fit);
        self.idle_ms = words.idle_timeout_ms.unwrap_or(self.idle_ms);
        for (wait_ms, wake) in words.timers {
            self.at(wait_ms, if wake == Timer::Periodic { Due::Periodic } else { Due::Wake });
        }
        for note in words.notes {
            tracing::info!("{note}");
        }
        if let Some((runs, calls)) = words.total_capacity {
            self.hand_pools(runs, calls);
        }
    }

    pub(super) fn carry_out_change(&mut self, change: Transition) {
        let id = change.id;
        if let (Some(span), Some(open)) = (change.retain_ms, self.open.get(&id)) {
            if let Some(mark) = &open.mark {
                self.remembered.keep(mark.clone(), id, open.content, self.now + span);
            }
        }
        match (change.from, change.to) {
            // A keyed request is launched once its reservation is replicated.
            (Some(RequestState::Queued), RequestState::Running) if self.reserve_before_launch(id) => {}
            (Some(RequestState::Queued), RequestState::Running) => self.launch(id),
            (Some(RequestState::AwaitingCall), RequestState::Running) => {
                self.command_for(id, commands::skip_call)
            }
            (_, RequestState::Calling { timeout_ms }) => self.place_call(id, timeout_ms),
            (_, RequestState::Joined) => self.join(id),
            (Some(_), RequestState::Answered { completion: ending, cancel: stop }) => {
                let ending = self.completion_at_deadline(id, ending);
                self.give_up_call(id);
                self.answer(id, ending);
                if stop {
                    self.command_for(id, commands::cancel_run);
                }
                self.cancel_reservation(id);
                self.settle_doubt(id);
            }
            (Some(_), RequestState::Completed(ending)) => {
                let ending = self.completion_at_deadline(id, ending);
                self.give_up_call(id);
                self.cancel_reservation(id);
                self.answer(id, ending);
                self.forget(id);
            }
            _ => {}
        }
    }

    /// Work that is over for its caller and may never have reached the agent is not waited for.
    pub(super) fn settle_doubt(&mut self, id: u32) {
        let unheard =
            |open: &&Open| open.doubtful || open.launched == Some(NEVER) || open.replication.defers_launch();
        if self.open.get(&id).filter(unheard).is_some() {
            self.ended.push_back((id, RunOutcome::NotStarted));
        }
    }

    /// Gives the final answer, if it has not been given.
    pub(super) fn answer(&mut self, id: u32, ending: Completion) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if open.answered {
            return;
        }
        let (connection, seqid) = (open.connection, open.seqid);
        if self.pulse.is_some() && matches!(ending, Completion::Succeeded | Completion::Failed) {
            let limit = self.startup.config.classes[open.offering].timeout_ms;
            self.counted.answered += 1.0;
            self.counted.in_time +=
                f64::from(u8::from(ending == Completion::Succeeded && self.now - open.came <= limit));
            self.runs_told += 1.0;
        }
        let mut words = ServerSignals { backpressure: self.advice, ..ServerSignals::default() };
        let frame = match ending {
            Completion::Succeeded => front::succeeded(seqid, &open.result, &words),
            Completion::Rejected { retry_after_ms, retry_elsewhere } => {
                words.retry_after_ms = Some(retry_after_ms).filter(|span| *span > 0.0);
                words.no_retry_elsewhere = !retry_elsewhere;
                front::rejected(seqid, &words)
            }
            // A run can end because its caller has gone before this side was told; an answer does no harm.
            Completion::Failed | Completion::ExecutionFailed | Completion::ClientGone => {
                front::failed(seqid, &words)
            }
        };
        self.close_answer(id);
        self.send(connection, frame);
        self.end_if_deaf(connection);
    }

    /// The caller is owed nothing any more.
    pub(super) fn close_answer(&mut self, id: u32) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.answered = true;
        if let Some(peer) = self.connections.get_mut(&open.connection) {
            if peer.open.get(&open.seqid) == Some(&id) {
                peer.open.remove(&open.seqid);
                peer.idle_since = self.now;
            }
        }
    }

    /// Nothing of the invocation is left here or below.
    pub(super) fn forget(&mut self, id: u32) {
        let Some(open) = self.open.remove(&id) else { return };
        self.open_bytes -= open.frame.len() + self.limits.open_overhead;
        self.by_try.remove(&open.id);
        if let Some(mark) = &open.mark {
            for repeat in self.remembered.ended(mark, id, None, self.now) {
                self.end_repeat(repeat, None);
            }
        }
    }

    /// What a repeat repeats has come to its end; the module is told in the same turn.
    pub(super) fn end_repeat(&mut self, repeat: u32, result: Option<&[u8]>) {
        if let Some(open) = self.open.get_mut(&repeat) {
            open.result = result.unwrap_or_default().to_vec();
            self.ended.push_back((
                repeat,
                if result.is_some() { RunOutcome::Completed } else { RunOutcome::Failed },
            ));
        }
    }

    pub(super) fn join(&mut self, id: u32) {
        let mark = self.open.get(&id).and_then(|open| open.mark.clone());
        let result = match mark.as_ref().map(|mark| self.remembered.join(mark, id)) {
            Some(Repeated::Waits) => return,
            Some(Repeated::Has(result)) => Some(result.to_vec()),
            Some(Repeated::HasNone) | None => None,
        };
        self.end_repeat(id, result.as_deref());
    }
}
