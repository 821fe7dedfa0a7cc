//! Judges a soak by its histories alone: what callers and bad clients saw, what agents launched, what was done to whom.

use std::collections::BTreeMap;

use plovershelf_testkit::effects::EffectLedger;
use plovershelf_testkit::recording_client::{Answer, AttemptRecord, ConnectionEnd, History};
use plovershelf_testkit::work::Idempotency;

use super::disturbance::Disturbance;
use super::faults::{Deed, Logged};
use super::plan::Plan;
use super::probes::{BadClientRecord, Seen};

/// The protocol page extends each time limit by this.
const SLACK_MS: f64 = 50.0;
/// A request that crosses a connection's close within this is sent once more.
const CROSSING_MS: f64 = 50.0;
/// Within this of a kill a connection's end is the kill's.
const KILL_MS: f64 = 100.0;
/// A bad client gets a word, and a healthy backend serves somebody, within this.
const WORD_MS: f64 = 3000.0;
const SERVES_NOBODY_MS: f64 = 3000.0;
/// A restart is ready within this.
const READY_MS: f64 = 10_000.0;

/// A promise of `docs/soak.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    OneAnswer,
    AnswerInTime,
    AnswerAtStop,
    ResultOfItsRun,
    EffectOnce,
    NoRejectionAfterRun,
    NothingAfterGrace,
    NoCrash,
    WithinLimits,
    ServesWhileHealthy,
    WordForBadClients,
}

impl Promise {
    pub fn name(self) -> &'static str {
        match self {
            Promise::OneAnswer => "one-answer",
            Promise::AnswerInTime => "answer-in-time",
            Promise::AnswerAtStop => "answer-at-stop",
            Promise::ResultOfItsRun => "result-of-its-run",
            Promise::EffectOnce => "effect-once",
            Promise::NoRejectionAfterRun => "no-rejection-after-run",
            Promise::NothingAfterGrace => "nothing-after-grace",
            Promise::NoCrash => "no-crash",
            Promise::WithinLimits => "within-limits",
            Promise::ServesWhileHealthy => "serves-while-healthy",
            Promise::WordForBadClients => "word-for-bad-clients",
        }
    }
}

/// A promise that was broken, with the history that shows it.
#[derive(Clone, Debug)]
pub struct Violation {
    pub promise: Promise,
    pub history: String,
}

/// What a run has to have caused.
#[derive(Clone, Copy, Debug, Default)]
pub struct Caused {
    pub restarts: usize,
    pub restarts_ready: usize,
    pub requests: usize,
    pub succeeded: usize,
    pub rejected: usize,
    pub keyed_launches: usize,
    pub bad_clients: usize,
}

/// All that a verdict goes by.
pub struct Evidence<'a> {
    pub plan: &'a Plan,
    pub history: &'a History,
    pub effects: &'a EffectLedger,
    pub log: &'a [Logged],
    pub seen: &'a Seen,
    pub disturbance: &'a Disturbance,
    pub ended_ms: f64,
}

impl Evidence<'_> {
    pub fn caused(&self) -> Caused {
        let answers = |wanted: fn(&Answer) -> bool| {
            let attempts = self.history.attempts.iter();
            attempts.filter(|attempt| attempt.answers.iter().any(|(_, answer)| wanted(answer))).count()
        };
        let restarts = self.deeds(|deed| deed == Deed::Started);
        Caused {
            restarts: restarts.len(),
            restarts_ready: restarts.iter().filter(|start| self.is_ready_after(start)).count(),
            requests: self.history.attempts.len(),
            succeeded: answers(|answer| matches!(answer, Answer::Succeeded(_))),
            rejected: answers(|answer| *answer == Answer::Rejected),
            keyed_launches: self.effects.keyed_launches().count(),
            bad_clients: self.seen.bad_clients.len(),
        }
    }

    pub fn violations(&self) -> Vec<Violation> {
        let mut violations: Vec<Violation> =
            self.history.attempts.iter().flat_map(|attempt| self.judge_attempt(attempt)).collect();
        let repeated = self.effects.repeated_executions().into_iter();
        for number in repeated.filter(|number| self.may_not_repeat(*number)) {
            violations.push(Violation { promise: Promise::EffectOnce, history: self.history_of(number) });
        }
        violations.extend(self.judge_processes());
        // One that still waits as the run ends is reset with its backend.
        let judged = self.seen.bad_clients.iter().filter(|client| client.ended_ms <= self.ended_ms);
        violations.extend(judged.filter_map(|client| self.judge_bad_client(client)));
        violations
    }

    /// Whether a request that ran more than once may not have: a keyed one may once the window of the run before is over, which
    /// counts from that attempt's arrival.
    fn may_not_repeat(&self, number: u64) -> bool {
        let attempts = self.history.attempts.iter().filter(|attempt| attempt.work.number == number);
        let launched: Vec<&AttemptRecord> =
            attempts.filter(|attempt| self.effects.launched.contains_key(&attempt.id)).collect();
        let Some(first) = launched.first() else { return true };
        let class = self.plan.classes.iter().find(|class| class.idempotency == first.work.idempotency);
        let window_ms = class.map_or(f64::INFINITY, |class| class.window_ms);
        let ran_twice = launched
            .iter()
            .any(|attempt| self.effects.launched.get(&attempt.id).is_some_and(|at| at.len() > 1));
        let in_window = |pair: &[&AttemptRecord]| pair[1].sent_ms < pair[0].sent_ms + window_ms - 1.0;
        first.work.idempotency == Idempotency::NonIdempotent
            || ran_twice
            || launched.windows(2).any(in_window)
    }

    // ---- attempts ------------------------------------------------------------------------------------

    fn judge_attempt(&self, attempt: &AttemptRecord) -> Vec<Violation> {
        let mut broken = Vec::new();
        let answered = attempt.answers.first();
        if attempt.answers.len() > 1 {
            broken.push(Promise::OneAnswer);
        }
        if let Some((_, Answer::Succeeded(result))) = answered {
            if *result != attempt.work.result() {
                broken.push(Promise::ResultOfItsRun);
            }
        }
        let launched_ms = self.first_launch_ms(attempt);
        let is_rejected = matches!(answered, Some((_, Answer::Rejected)));
        let may_repeat = attempt.work.idempotency == Idempotency::Idempotent;
        if is_rejected && launched_ms.is_some() && !may_repeat {
            broken.push(Promise::NoRejectionAfterRun);
        }
        if launched_ms.is_some() && self.is_after_grace(attempt) {
            broken.push(Promise::NothingAfterGrace);
        }
        broken.extend(match answered {
            Some((at_ms, _)) => self.judge_time(attempt, *at_ms),
            None => self.judge_unanswered(attempt, launched_ms.is_some()),
        });
        let violation = |promise| Violation { promise, history: self.history_of(attempt.work.number) };
        broken.into_iter().map(violation).collect()
    }

    fn judge_time(&self, attempt: &AttemptRecord, answered_ms: f64) -> Option<Promise> {
        let backend = self.backend_of(attempt)?;
        let due_ms = attempt.sent_ms + attempt.timeout_ms + SLACK_MS;
        let held_up_ms = self.disturbance.between(backend, attempt.sent_ms, answered_ms);
        let is_late = answered_ms > due_ms + held_up_ms;
        (is_late && !self.was_paused(backend, attempt.sent_ms, answered_ms)).then_some(Promise::AnswerInTime)
    }

    fn judge_unanswered(&self, attempt: &AttemptRecord, was_launched: bool) -> Option<Promise> {
        let written_ms = attempt.written_ms?;
        let connection = &self.history.connections[attempt.connection?];
        let backend = connection.backend;
        let due_ms = attempt.sent_ms + attempt.timeout_ms + SLACK_MS;
        // What ends after the run ends with its backends.
        let Some((end_ms, end)) = connection.end.filter(|(end_ms, _)| *end_ms <= self.ended_ms) else {
            let held_up_ms = self.disturbance.between(backend, attempt.sent_ms, self.ended_ms);
            let is_due = due_ms + held_up_ms < self.ended_ms;
            let paused = self.was_paused(backend, attempt.sent_ms, self.ended_ms);
            return (is_due && !paused).then_some(Promise::AnswerInTime);
        };
        let near = |at_ms: f64| (end_ms - at_ms).abs() <= KILL_MS;
        let was_killed = self.log.iter().any(|line| {
            line.backend == backend && matches!(line.deed, Deed::Killed | Deed::Crashed) && near(line.at_ms)
        });
        let held_up_ms = self.disturbance.between(backend, attempt.sent_ms, end_ms);
        if was_killed {
            return None;
        }
        let close_ms = connection.closing_ms.unwrap_or(end_ms).min(end_ms);
        // A close in order or one that was announced; a reset takes along what was on its way.
        let is_orderly = end == ConnectionEnd::Closed || connection.closing_ms.is_some();
        let crossed = is_orderly && written_ms >= close_ms - CROSSING_MS - held_up_ms;
        if crossed && !was_launched {
            return None;
        }
        let at_stop = self.log.iter().any(|line| {
            line.backend == backend
                && line.deed == Deed::KilledAtStop
                && end_ms <= line.at_ms + KILL_MS
                && end_ms >= line.at_ms - self.plan.stop_ms
        });
        Some(if at_stop { Promise::AnswerAtStop } else { Promise::AnswerInTime })
    }

    /// It came to the machine later than the grace after a notice, and before that process was killed.
    fn is_after_grace(&self, attempt: &AttemptRecord) -> bool {
        let Some(backend) = self.backend_of(attempt) else { return false };
        let Some(launched_ms) = self.first_launch_ms(attempt) else { return false };
        self.deeds(|deed| deed == Deed::Noticed).iter().any(|notice| {
            let deadline_ms = notice.at_ms + self.plan.grace_ms + SLACK_MS;
            let held_up_ms = self.disturbance.between(backend, notice.at_ms, deadline_ms);
            notice.backend == backend
                && attempt.sent_ms > deadline_ms + held_up_ms
                && launched_ms < notice.at_ms + self.plan.stop_ms
        })
    }

    fn first_launch_ms(&self, attempt: &AttemptRecord) -> Option<f64> {
        self.effects.launched.get(&attempt.id)?.first().copied()
    }

    fn backend_of(&self, attempt: &AttemptRecord) -> Option<usize> {
        Some(self.history.connections[attempt.connection?].backend)
    }

    // ---- processes -----------------------------------------------------------------------------------

    fn judge_processes(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for crash in self.deeds(|deed| deed == Deed::Crashed) {
            violations.push(Violation { promise: Promise::NoCrash, history: format!("{crash:?}") });
        }
        let memory_kb = (self.plan.memory_mb * 1024.0) as u64;
        for (backend, usage) in self.seen.usage.iter().enumerate() {
            if usage.descriptors > self.plan.sockets as usize || usage.memory_kb > memory_kb {
                let history = format!("backend {backend}: {usage:?}");
                violations.push(Violation { promise: Promise::WithinLimits, history });
            }
        }
        for backend in 0..self.plan.backends {
            violations.extend(self.judge_service(backend));
        }
        violations
    }

    /// The longest time in which a healthy backend answered no health check.
    fn judge_service(&self, backend: usize) -> Option<Violation> {
        let mut heard: Vec<f64> = self.probes(backend).filter_map(|(_, heard)| Some(heard?.0)).collect();
        heard.sort_by(f64::total_cmp);
        heard.push(self.ended_ms);
        let gap = heard.windows(2).find(|pair| {
            let (from_ms, to_ms) = (pair[0], pair[1]);
            let held_up_ms = self.disturbance.between(backend, from_ms, to_ms);
            to_ms - from_ms > SERVES_NOBODY_MS + held_up_ms && self.was_healthy(backend, from_ms, to_ms)
        })?;
        let history =
            format!("backend {backend} answered no health check from {:.0} to {:.0}", gap[0], gap[1]);
        Some(Violation { promise: Promise::ServesWhileHealthy, history })
    }

    fn judge_bad_client(&self, client: &BadClientRecord) -> Option<Violation> {
        let until_ms = client.word_ms.unwrap_or(client.ended_ms);
        let held_up_ms = self.disturbance.between(client.backend, client.at_ms, until_ms);
        let in_time = client.word_ms.is_some_and(|at_ms| at_ms - client.at_ms <= WORD_MS + held_up_ms);
        let waited = client.was_reset || until_ms - client.at_ms > WORD_MS + held_up_ms;
        let is_broken = !in_time && waited && self.was_healthy(client.backend, client.at_ms, until_ms);
        let promise = Promise::WordForBadClients;
        let BadClientRecord { kind, .. } = client;
        is_broken.then(|| Violation { promise, history: format!("{kind:?}: {client:?}") })
    }

    // ---- what was done to whom -----------------------------------------------------------------------

    fn deeds(&self, wanted: impl Fn(Deed) -> bool) -> Vec<Logged> {
        self.log.iter().filter(|line| wanted(line.deed)).copied().collect()
    }

    /// Spans of a backend from one deed to the next other one.
    fn spans(&self, backend: usize, begins: &[Deed], ends: &[Deed]) -> Vec<(f64, f64)> {
        let mut spans = Vec::new();
        let mut began_ms = None;
        for line in self.log.iter().filter(|line| line.backend == backend) {
            if begins.contains(&line.deed) {
                began_ms = began_ms.or(Some(line.at_ms));
            } else if ends.contains(&line.deed) {
                spans.extend(began_ms.take().map(|from_ms| (from_ms, line.at_ms)));
            }
        }
        spans.extend(began_ms.map(|from_ms| (from_ms, f64::INFINITY)));
        spans
    }

    fn was_paused(&self, backend: usize, from_ms: f64, to_ms: f64) -> bool {
        overlaps(&self.spans(backend, &[Deed::Paused], &[Deed::Resumed]), from_ms, to_ms)
    }

    /// Up all the time, with nothing done to it, and ready at the beginning.
    fn was_healthy(&self, backend: usize, from_ms: f64, to_ms: f64) -> bool {
        let down = [Deed::Noticed, Deed::Killed, Deed::KilledAtStop, Deed::Crashed];
        let is_down = overlaps(&self.spans(backend, &down, &[Deed::Started]), from_ms, to_ms);
        let is_lost = overlaps(&self.spans(backend, &[Deed::AgentLost], &[Deed::AgentBack]), from_ms, to_ms);
        !is_down && !is_lost && !self.was_paused(backend, from_ms, to_ms)
    }

    fn probes(&self, backend: usize) -> impl Iterator<Item = (f64, Option<(f64, bool)>)> + '_ {
        let of_backend = self.seen.probes.iter().filter(move |probe| probe.backend == backend);
        of_backend.map(|probe| (probe.at_ms, probe.heard))
    }

    /// Ready in time, or brought down again, or without an agent, before it had to be.
    fn is_ready_after(&self, start: &Logged) -> bool {
        let until_ms = (start.at_ms + READY_MS).min(self.ended_ms);
        let is_ready = |(_, heard): (f64, Option<(f64, bool)>)| {
            heard.is_some_and(|(at_ms, ready)| ready && at_ms > start.at_ms && at_ms <= until_ms)
        };
        let brought_down = !self.was_healthy(start.backend, start.at_ms + 1.0, until_ms);
        self.probes(start.backend).any(is_ready) || brought_down
    }

    fn history_of(&self, number: u64) -> String {
        let attempts = self.history.attempts.iter().filter(|attempt| attempt.work.number == number);
        let lines: Vec<String> = attempts.map(|attempt| self.attempt_line(attempt)).collect();
        format!("request {number}: {}", lines.join("; "))
    }

    fn attempt_line(&self, attempt: &AttemptRecord) -> String {
        let connection = attempt.connection.map(|place| &self.history.connections[place]);
        let launched = self.first_launch_ms(attempt).map(f64::round);
        let answers: Vec<String> = attempt
            .answers
            .iter()
            .map(|(at_ms, answer)| format!("{at_ms:.0} {}", answer_name(answer)))
            .collect();
        let deeds: BTreeMap<i64, String> = connection.map_or_else(BTreeMap::new, |connection| {
            let near = self.log.iter().filter(|line| line.backend == connection.backend);
            let near = near.filter(|line| (line.at_ms - attempt.sent_ms).abs() < 4000.0);
            near.map(|line| (line.at_ms as i64, format!("{:?}", line.deed))).collect()
        });
        format!(
            "{} {:?} sent {:.0} written {:?} timeout {:.0} launched {launched:?} answers {answers:?} on {connection:?} deeds {deeds:?}",
            String::from_utf8_lossy(&attempt.id),
            attempt.work.idempotency,
            attempt.sent_ms,
            attempt.written_ms.map(f64::round),
            attempt.timeout_ms,
        )
    }
}

fn answer_name(answer: &Answer) -> &'static str {
    match answer {
        Answer::Succeeded(_) => "succeeded",
        Answer::Rejected => "rejected",
        Answer::Failed => "failed",
    }
}

fn overlaps(spans: &[(f64, f64)], from_ms: f64, to_ms: f64) -> bool {
    spans.iter().any(|(begin_ms, end_ms)| *begin_ms <= to_ms && *end_ms >= from_ms)
}
