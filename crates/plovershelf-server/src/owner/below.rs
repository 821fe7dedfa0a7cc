//! The owner's side of the agent and the ledger: commands and calls to them, and what they answer.

use async_channel::Sender;
use plovershelf::admission::Backend;
use plovershelf::api::{CallOutcome, Gauges, Idempotency, RunOutcome, Timer};
use plovershelf_codec::agent::{self as commands, RunResult};
use plovershelf_codec::AttemptId;

use super::{Due, Open, Owner, NEVER};
use crate::messages::{CallOver, Order, Said};

impl Owner {
    pub(super) fn hear(&mut self, said: Said) {
        match said {
            Said::Up { fresh, up_for_ms, orders, missed } => {
                self.agent_up(fresh, up_for_ms, orders);
                if missed {
                    self.settle_missed();
                }
            }
            Said::Down { all_read } => {
                self.agent = None;
                self.commands_read = if all_read { self.commands } else { self.commands_read };
            }
            Said::RunOver { id, over, result } => self.run_over(id, over, result),
            Said::WantsCall { id, call } => {
                let Some(&id) = self.by_try.get(&id) else { return };
                // The call that was placed anew is not the one that the run waits for.
                if self.open.get(&id).is_some_and(|open| open.asked_again && open.call_number != NEVER) {
                    self.give_up_call(id);
                    self.decide(|backend, now| backend.handle_call_ended(now, id, CallOutcome::NotExecuted));
                }
                if let Some(open) = self.open.get_mut(&id) {
                    (open.heard_of, open.doubtful) = (true, false);
                    (open.delivered, open.asked_again, open.proving) = (None, false, None);
                    open.call = call;
                }
                self.decide(|backend, now| backend.handle_call_requested(now, id));
            }
            Said::Sampled { tag, gauges } => {
                self.commands_read = self.commands_read.max(tag.min(self.commands));
                self.deliver_proven();
                if self.gauges_for == Some(tag) {
                    self.gauges_for = None;
                    let gauges = self.startup.gauges(gauges);
                    if self.pulse.is_some() {
                        self.learn_work(gauges.cores_busy);
                    }
                    self.wake(Timer::Periodic, gauges);
                }
            }
            Said::Refused { command, about } => {
                let named = String::from_utf8_lossy(&about);
                self.complain(&format!("the agent refused {command:?} for {named:?}"));
                if let ("launch", Ok(id)) = (&command[..], AttemptId::try_from(&about[..])) {
                    // No sidecar sends what the agent does not know.
                    let known = self.by_try.get(&id).and_then(|id| self.open.get(id));
                    let connection = known.filter(|open| !open.answered).map(|open| open.connection);
                    self.run_over(id, RunResult::NotFound, Vec::new());
                    if let Some(connection) = connection {
                        self.deafen(connection, "the agent knows nothing of what it sends");
                    }
                }
            }
        }
    }

    /// What an invocation takes of a core: what the cores were busy with since the last sample, shared by the runs that ended.
    fn learn_work(&mut self, busy: Option<f64>) {
        let span = self.now - std::mem::replace(&mut self.worked_at, self.now);
        let runs = std::mem::take(&mut self.runs_told);
        let worked = busy.unwrap_or(0.0) * self.startup.config.cores * span;
        if runs >= 1.0 && span > 0.0 && span < 5000.0 && worked > 0.0 {
            self.work_ms += (worked / runs - self.work_ms) * (runs / (runs + 50.0));
        }
    }

    pub(super) fn agent_up(&mut self, fresh: bool, up_for_ms: f64, orders: Sender<Vec<u8>>) {
        self.agent = Some(orders);
        if self.backend.is_none() {
            // One that was told to leave before its agent came up takes nothing any more.
            if self.leaving_told.get() {
                return;
            }
            let mut facts = self.startup.config.clone();
            facts.cold_start = fresh;
            let (backend, outcome) = Backend::start(self.now - up_for_ms, facts);
            self.backend = Some(backend);
            tracing::info!("the agent is up, {}", if fresh { "fresh" } else { "warm" });
            self.carry_out(outcome);
            let (runs, calls) =
                (self.startup.config.cores, self.startup.config.dependency_share.unwrap_or(f64::MAX));
            // One a core until the module tells of its room.
            self.hand_pools(runs, calls);
            return;
        }
        // Launches that the last link may have lost. For a run that is under way a second launch does nothing,
        // but one that just came to its end would run again: work that may run once only stays in doubt.
        let (mut again, mut late, mut unanswered) = (Vec::new(), Vec::new(), Vec::new());
        for (id, open) in &mut self.open {
            // A reply that may be lost: whether its run still waits for it the ledger knows.
            let waits = open.delivered.is_some_and(|at| at > self.commands_read) || open.proving.is_some();
            let repeats = self.startup.config.classes[open.offering].idempotency;
            if waits && !open.answered && repeats == Idempotency::Idempotent {
                (open.delivered, open.proving, open.asked_again) = (None, None, true);
                unanswered.push(*id);
            }
            let lost = open.launched == Some(NEVER);
            let unsure = open.launched.is_some_and(|at| at > self.commands_read) && !open.heard_of;
            if lost || (unsure && repeats == Idempotency::Idempotent) {
                again.push(*id);
            }
            open.doubtful = unsure;
            // Over for its caller, perhaps never begun, and not to be launched again: nothing is waited for.
            if unsure && open.answered && repeats != Idempotency::Idempotent {
                self.ended.push_back((*id, RunOutcome::NotStarted));
            }
            if !open.answered {
                late.extend(open.undelivered.take().map(|reply| (*id, reply)));
            }
        }
        tracing::info!("the agent's link is back, {} launches are written anew", again.len());
        again.into_iter().for_each(|id| self.launch(id));
        late.into_iter().for_each(|(id, reply)| self.deliver(id, reply));
        unanswered
            .into_iter()
            .for_each(|id| self.decide(|backend, now| backend.handle_call_requested(now, id)));
    }

    /// The agent keeps so many notices and no more: what ended before those is never told of. What may run again is launched
    /// anew, which does nothing where it still runs; for the rest nothing more is waited for.
    fn settle_missed(&mut self) {
        let launched: Vec<u32> =
            self.open.iter().filter(|(_, open)| open.launched.is_some()).map(|(id, _)| *id).collect();
        self.complain(&format!("the agent forgot notices: {} runs are in doubt", launched.len()));
        for id in launched {
            let Some(open) = self.open.get(&id) else { continue };
            match self.startup.config.classes[open.offering].idempotency {
                Idempotency::Idempotent if !open.answered => self.launch(id),
                // Answered, or failed for its caller: it may have run, and is never run again.
                _ => self.ended.push_back((id, RunOutcome::Failed)),
            }
        }
    }

    /// Replies to calls that were placed anew go to runs of which nothing was heard up to a sample behind them:
    /// so they wait for this reply and for no later one.
    fn deliver_proven(&mut self) {
        let read = self.commands_read;
        let proven = |open: &Open| open.proving.as_ref().is_some_and(|(at, _)| *at <= read);
        let ids: Vec<u32> = self.open.iter().filter(|(_, open)| proven(open)).map(|(id, _)| *id).collect();
        for id in ids {
            let proving = self.open.get_mut(&id).and_then(|open| open.proving.take());
            proving.into_iter().for_each(|(_, reply)| self.deliver(id, reply));
        }
    }

    /// Writes a command; tells its place in the order, or `None` while there is no link.
    pub(super) fn command(&mut self, bytes: Vec<u8>) -> Option<u64> {
        if self.agent.as_ref()?.try_send(bytes).is_err() {
            // The link is gone or takes nothing: it is dropped, which opens a new one.
            self.agent = None;
            return None;
        }
        self.commands += 1;
        Some(self.commands)
    }

    pub(super) fn command_for(&mut self, id: u32, command: impl FnOnce(&AttemptId) -> Vec<u8>) {
        if let Some(bytes) = self.open.get(&id).map(|open| command(&open.id)) {
            self.command(bytes);
        }
    }

    pub(super) fn launch(&mut self, id: u32) {
        let Some(open) = self.open.get(&id) else { return };
        let offering = &self.startup.classes[open.offering];
        let bytes = commands::launch(&open.id, offering, &open.frame[open.body.clone()]);
        let place = self.command(bytes).unwrap_or(NEVER);
        let Some(open) = self.open.get_mut(&id) else { return };
        open.launched = Some(place);
        open.doubtful = false;
        if let Some(mark) = &open.mark {
            self.remembered.ran(mark, id);
        }
    }

    pub(super) fn deliver(&mut self, id: u32, reply: Vec<u8>) {
        let Some(open) = self.open.get(&id) else { return };
        let place = self.command(commands::deliver(&open.id, &reply));
        let Some(open) = self.open.get_mut(&id) else { return };
        open.delivered = place;
        open.undelivered = place.is_none().then_some(reply);
    }

    pub(super) fn run_over(&mut self, id: AttemptId, over: RunResult, result: Vec<u8>) {
        let Some(&id) = self.by_try.get(&id) else { return };
        if self.defers_completion(id, &over, &result) {
            return;
        }
        let end = match over {
            RunResult::Succeeded => RunOutcome::Completed,
            RunResult::Failed => RunOutcome::Failed,
            RunResult::Interrupted => RunOutcome::Cancelled,
            RunResult::NotFound => RunOutcome::NotStarted,
        };
        self.run_ended(id, end, result);
    }

    /// A run's end as callers hear of it.
    pub(super) fn run_ended(&mut self, id: u32, end: RunOutcome, result: Vec<u8>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.result = result;
        if let Some(mark) = open.mark.clone() {
            let kept = (end == RunOutcome::Completed).then(|| open.result.clone());
            for repeat in self.remembered.ended(&mark, id, kept.as_deref(), self.now) {
                self.end_repeat(repeat, kept.as_deref());
            }
        }
        self.decide(|backend, now| backend.handle_run_ended(now, id, end));
    }

    pub(super) fn ask_gauges(&mut self) {
        self.close_idle();
        self.remembered.sweep(self.now);
        match self.command(commands::sample(self.commands + 1)) {
            Some(tag) => {
                self.gauges_for = Some(tag);
                self.at(self.limits.gauges_ms, Due::GaugesLate(tag));
            }
            None => self.wake(Timer::Periodic, Gauges::default()),
        }
    }

    pub(super) fn wake(&mut self, wake: Timer, gauges: Gauges) {
        self.decide(|backend, now| backend.handle_timeout(now, wake, gauges));
    }

    pub(super) fn place_call(&mut self, id: u32, within_ms: f64) {
        let Some(open) = self.open.get_mut(&id) else { return };
        self.calls += 1;
        let (id, number) = (open.id, self.calls);
        open.call_number = number;
        let order = Order::Call { id, number, within_ms, body: open.call.clone() };
        if self.ledger.try_send(order).is_err() {
            self.complain("the queue to the ledger is full");
            self.call_over(id, CallOver::without(number, CallOutcome::NotExecuted));
        }
    }

    /// Gives a call up that nobody waits for any more.
    pub(super) fn give_up_call(&mut self, id: u32) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if std::mem::replace(&mut open.call_number, NEVER) != NEVER {
            let order = Order::GiveUp { id: open.id };
            if self.ledger.try_send(order).is_err() {
                self.complain("the queue to the ledger is full");
            }
        }
    }

    pub(super) fn call_over(&mut self, id: AttemptId, over: CallOver) {
        let CallOver { number, end, wanted, reply } = over;
        let Some(&id) = self.by_try.get(&id) else { return };
        let Some(open) = self.open.get_mut(&id).filter(|open| open.call_number == number) else { return };
        open.call_number = NEVER;
        let end = match (end, open.asked_again, wanted) {
            // No run waits: the reply of before has reached it.
            (_, true, false) => CallOutcome::Completed,
            (CallOutcome::Completed, true, _) => {
                let place = self.command(commands::sample(self.commands + 1)).unwrap_or(u64::MAX);
                if let Some(open) = self.open.get_mut(&id) {
                    open.proving = Some((place, reply));
                }
                CallOutcome::Completed
            }
            (CallOutcome::Completed, ..) => {
                if !open.answered {
                    self.deliver(id, reply);
                }
                CallOutcome::Completed
            }
            (other, ..) => other,
        };
        if let Some(open) = self.open.get_mut(&id).filter(|_| end == CallOutcome::Completed) {
            open.asked_again = false;
        }
        self.decide(|backend, now| backend.handle_call_ended(now, id, end));
    }
}
