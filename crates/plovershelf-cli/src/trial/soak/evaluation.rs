//! Evaluates a soak run by its histories alone: the records of clients and bad clients, the launches that agents
//! observed, and the log of events.

use std::collections::BTreeMap;

use plovershelf_testkit::effects::EffectLedger;
use plovershelf_testkit::recording_client::{Answer, AttemptRecord, ConnectionEnd, History};
use plovershelf_testkit::work::Idempotency;

use super::faults::{BackendEvent, LogEntry};
use super::machine_delay::MachineDelay;
use super::plan::Plan;
use super::probes::{BadClientRecord, ProbeResults};

/// Tolerance that the protocol page adds to each time limit.
const SLACK_MS: f64 = 50.0;
/// A request written less than this before the close of its connection may go unanswered; the client sends it again.
const CROSSING_MS: f64 = 50.0;
/// A connection that ends within this time of a kill is attributed to the kill.
const KILL_ATTRIBUTION_MS: f64 = 100.0;
/// Time limit for a response to a bad client.
const BAD_CLIENT_RESPONSE_MS: f64 = 3000.0;
/// Longest time in which a healthy backend may leave all health checks unanswered.
const MAX_UNANSWERED_MS: f64 = 3000.0;
/// Time limit for a restarted backend to be ready.
const READY_MS: f64 = 10_000.0;

/// Promise of a backend, as defined in `docs/soak.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    OneAnswer,
    AnswerInTime,
    AnswerAtStop,
    ResultOfOwnRun,
    EffectOnce,
    NoRejectionAfterRun,
    NoLaunchAfterGrace,
    NoCrash,
    WithinLimits,
    ServesWhileHealthy,
    ResponseToBadClients,
}

impl Promise {
    /// Returns the name of the promise in the trial's figures.
    pub fn name(self) -> &'static str {
        match self {
            Promise::OneAnswer => "one-answer",
            Promise::AnswerInTime => "answer-in-time",
            Promise::AnswerAtStop => "answer-at-stop",
            Promise::ResultOfOwnRun => "result-of-its-run",
            Promise::EffectOnce => "effect-once",
            Promise::NoRejectionAfterRun => "no-rejection-after-run",
            Promise::NoLaunchAfterGrace => "nothing-after-grace",
            Promise::NoCrash => "no-crash",
            Promise::WithinLimits => "within-limits",
            Promise::ServesWhileHealthy => "serves-while-healthy",
            Promise::ResponseToBadClients => "word-for-bad-clients",
        }
    }
}

/// Violation of a promise, with the history that shows it.
#[derive(Clone, Debug)]
pub struct Violation {
    pub promise: Promise,
    pub history: String,
}

/// Totals of a run, by which the trial checks that the run exercised the backends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Number of restarts of backends.
    pub restarts: usize,
    /// Number of restarts that were ready in time or were disturbed by another fault before.
    pub restarts_ready: usize,
    /// Number of attempts, including retries.
    pub requests: usize,
    /// Number of attempts that succeeded.
    pub succeeded: usize,
    /// Number of attempts that were rejected.
    pub rejected: usize,
    /// Number of launches of keyed requests.
    pub keyed_launches: usize,
    /// Number of bad clients whose connection has ended.
    pub bad_clients: usize,
}

/// Evaluation of one run by its records.
pub struct Evaluation<'a> {
    pub plan: &'a Plan,
    pub history: &'a History,
    pub effects: &'a EffectLedger,
    pub log: &'a [LogEntry],
    pub probe_results: &'a ProbeResults,
    pub machine_delay: &'a MachineDelay,
    /// End of the run, before the backends are killed.
    pub ended_ms: f64,
}

impl Evaluation<'_> {
    /// Returns the totals of the run.
    pub fn totals(&self) -> Totals {
        let count_answered = |matches: fn(&Answer) -> bool| {
            let attempts = self.history.attempts.iter();
            attempts.filter(|attempt| attempt.answers.iter().any(|(_, answer)| matches(answer))).count()
        };
        let restarts = self.events_where(|event| event == BackendEvent::Started);
        Totals {
            restarts: restarts.len(),
            restarts_ready: restarts.iter().filter(|start| self.is_ready_after(start)).count(),
            requests: self.history.attempts.len(),
            succeeded: count_answered(|answer| matches!(answer, Answer::Succeeded(_))),
            rejected: count_answered(|answer| *answer == Answer::Rejected),
            keyed_launches: self.effects.keyed_launches().count(),
            bad_clients: self.probe_results.bad_clients.len(),
        }
    }

    /// Returns all violations of promises in the run.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations: Vec<Violation> =
            self.history.attempts.iter().flat_map(|attempt| self.check_attempt(attempt)).collect();
        let repeated = self.effects.repeated_executions().into_iter();
        for number in repeated.filter(|number| self.may_not_repeat(*number)) {
            violations.push(Violation { promise: Promise::EffectOnce, history: self.history_of(number) });
        }
        violations.extend(self.check_processes());
        // Bad clients that still wait at the end of the run are reset by the kill of their backend and not checked.
        let ended = self.probe_results.bad_clients.iter().filter(|client| client.ended_ms <= self.ended_ms);
        violations.extend(ended.filter_map(|client| self.check_bad_client(client)));
        violations
    }

    /// Returns whether the repeated execution of a request is a violation. A keyed request may run again once the
    /// deduplication window of its previous run is over; the window starts when that attempt arrives.
    fn may_not_repeat(&self, number: u64) -> bool {
        let attempts = self.history.attempts.iter().filter(|attempt| attempt.work.number == number);
        let launched: Vec<&AttemptRecord> =
            attempts.filter(|attempt| self.effects.launched.contains_key(&attempt.id)).collect();
        let Some(first) = launched.first() else { return true };
        let class = self.plan.classes.iter().find(|class| class.idempotency == first.work.idempotency);
        let dedup_window_ms = class.map_or(f64::INFINITY, |class| class.dedup_window_ms);
        let attempt_ran_twice = launched
            .iter()
            .any(|attempt| self.effects.launched.get(&attempt.id).is_some_and(|at| at.len() > 1));
        let in_window = |pair: &[&AttemptRecord]| pair[1].sent_ms < pair[0].sent_ms + dedup_window_ms - 1.0;
        first.work.idempotency == Idempotency::NonIdempotent
            || attempt_ran_twice
            || launched.windows(2).any(in_window)
    }

    // ---- checks of attempts --------------------------------------------------------------------------

    /// Returns the violations that one attempt shows.
    fn check_attempt(&self, attempt: &AttemptRecord) -> Vec<Violation> {
        let mut violated = Vec::new();
        let first_answer = attempt.answers.first();
        if attempt.answers.len() > 1 {
            violated.push(Promise::OneAnswer);
        }
        if let Some((_, Answer::Succeeded(result))) = first_answer {
            if *result != attempt.work.result() {
                violated.push(Promise::ResultOfOwnRun);
            }
        }
        let launch_ms = self.first_launch_ms(attempt);
        let is_rejected = matches!(first_answer, Some((_, Answer::Rejected)));
        let may_repeat = attempt.work.idempotency == Idempotency::Idempotent;
        if is_rejected && launch_ms.is_some() && !may_repeat {
            violated.push(Promise::NoRejectionAfterRun);
        }
        if launch_ms.is_some() && self.is_after_grace(attempt) {
            violated.push(Promise::NoLaunchAfterGrace);
        }
        violated.extend(match first_answer {
            Some((at_ms, _)) => self.check_answer_time(attempt, *at_ms),
            None => self.check_unanswered(attempt, launch_ms.is_some()),
        });
        let violation = |promise| Violation { promise, history: self.history_of(attempt.work.number) };
        violated.into_iter().map(violation).collect()
    }

    /// Checks that an answer arrived in time.
    fn check_answer_time(&self, attempt: &AttemptRecord, answered_ms: f64) -> Option<Promise> {
        let backend = self.backend_of(attempt)?;
        let due_ms = attempt.sent_ms + attempt.timeout_ms + SLACK_MS;
        let delay_ms = self.machine_delay.total_between(backend, attempt.sent_ms, answered_ms);
        let is_late = answered_ms > due_ms + delay_ms;
        (is_late && !self.was_paused(backend, attempt.sent_ms, answered_ms)).then_some(Promise::AnswerInTime)
    }

    /// Checks whether an attempt may have gone unanswered.
    fn check_unanswered(&self, attempt: &AttemptRecord, was_launched: bool) -> Option<Promise> {
        let written_ms = attempt.written_ms?;
        let connection = &self.history.connections[attempt.connection?];
        let backend = connection.backend;
        let due_ms = attempt.sent_ms + attempt.timeout_ms + SLACK_MS;
        // A connection that ends after the run is ended by the kill of its backend.
        let Some((end_ms, end)) = connection.end.filter(|(end_ms, _)| *end_ms <= self.ended_ms) else {
            let delay_ms = self.machine_delay.total_between(backend, attempt.sent_ms, self.ended_ms);
            let is_due = due_ms + delay_ms < self.ended_ms;
            let paused = self.was_paused(backend, attempt.sent_ms, self.ended_ms);
            return (is_due && !paused).then_some(Promise::AnswerInTime);
        };
        let is_near_end = |at_ms: f64| (end_ms - at_ms).abs() <= KILL_ATTRIBUTION_MS;
        let was_killed = self.log.iter().any(|entry| {
            entry.backend == backend
                && matches!(entry.event, BackendEvent::Killed | BackendEvent::Crashed)
                && is_near_end(entry.at_ms)
        });
        let delay_ms = self.machine_delay.total_between(backend, attempt.sent_ms, end_ms);
        if was_killed {
            return None;
        }
        let close_ms = connection.closing_ms.unwrap_or(end_ms).min(end_ms);
        // Requests in transit may be lost only at an orderly or announced close; an unannounced reset is no excuse.
        let is_orderly = end == ConnectionEnd::Closed || connection.closing_ms.is_some();
        let crossed = is_orderly && written_ms >= close_ms - CROSSING_MS - delay_ms;
        if crossed && !was_launched {
            return None;
        }
        let at_stop = self.log.iter().any(|entry| {
            entry.backend == backend
                && entry.event == BackendEvent::KilledAtStop
                && end_ms <= entry.at_ms + KILL_ATTRIBUTION_MS
                && end_ms >= entry.at_ms - self.plan.stop_ms
        });
        Some(if at_stop { Promise::AnswerAtStop } else { Promise::AnswerInTime })
    }

    /// Returns whether the attempt was sent after the grace of a drain notice and launched before the kill that follows
    /// the notice.
    fn is_after_grace(&self, attempt: &AttemptRecord) -> bool {
        let Some(backend) = self.backend_of(attempt) else { return false };
        let Some(launch_ms) = self.first_launch_ms(attempt) else { return false };
        self.events_where(|event| event == BackendEvent::DrainNoticeSent).iter().any(|notice| {
            let deadline_ms = notice.at_ms + self.plan.grace_ms + SLACK_MS;
            let delay_ms = self.machine_delay.total_between(backend, notice.at_ms, deadline_ms);
            notice.backend == backend
                && attempt.sent_ms > deadline_ms + delay_ms
                && launch_ms < notice.at_ms + self.plan.stop_ms
        })
    }

    /// Returns the time of the attempt's first launch.
    fn first_launch_ms(&self, attempt: &AttemptRecord) -> Option<f64> {
        self.effects.launched.get(&attempt.id)?.first().copied()
    }

    /// Returns the index of the backend that the attempt was sent to.
    fn backend_of(&self, attempt: &AttemptRecord) -> Option<usize> {
        Some(self.history.connections[attempt.connection?].backend)
    }

    // ---- checks of processes -------------------------------------------------------------------------

    /// Returns the violations that the processes show: crashes, exceeded limits and missing service.
    fn check_processes(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for crash in self.events_where(|event| event == BackendEvent::Crashed) {
            violations.push(Violation { promise: Promise::NoCrash, history: format!("{crash:?}") });
        }
        let memory_kb = (self.plan.memory_mb * 1024.0) as u64;
        for (backend, usage) in self.probe_results.usage.iter().enumerate() {
            if usage.descriptors > self.plan.sockets as usize || usage.memory_kb > memory_kb {
                let history = format!("backend {backend}: {usage:?}");
                violations.push(Violation { promise: Promise::WithinLimits, history });
            }
        }
        for backend in 0..self.plan.backends {
            violations.extend(self.check_service(backend));
        }
        violations
    }

    /// Finds the first period beyond the limit in which a healthy backend answered no health check.
    fn check_service(&self, backend: usize) -> Option<Violation> {
        let mut answered_ms: Vec<f64> =
            self.probes(backend).filter_map(|(_, answer)| Some(answer?.0)).collect();
        answered_ms.sort_by(f64::total_cmp);
        answered_ms.push(self.ended_ms);
        let gap = answered_ms.windows(2).find(|pair| {
            let (from_ms, to_ms) = (pair[0], pair[1]);
            let delay_ms = self.machine_delay.total_between(backend, from_ms, to_ms);
            to_ms - from_ms > MAX_UNANSWERED_MS + delay_ms && self.was_healthy(backend, from_ms, to_ms)
        })?;
        let history =
            format!("backend {backend} answered no health check from {:.0} to {:.0}", gap[0], gap[1]);
        Some(Violation { promise: Promise::ServesWhileHealthy, history })
    }

    /// Checks that a bad client of a healthy backend received a response or the end of its connection in time.
    fn check_bad_client(&self, client: &BadClientRecord) -> Option<Violation> {
        let until_ms = client.response_ms.unwrap_or(client.ended_ms);
        let delay_ms = self.machine_delay.total_between(client.backend, client.at_ms, until_ms);
        let in_time =
            client.response_ms.is_some_and(|at_ms| at_ms - client.at_ms <= BAD_CLIENT_RESPONSE_MS + delay_ms);
        let waited = client.was_reset || until_ms - client.at_ms > BAD_CLIENT_RESPONSE_MS + delay_ms;
        let is_violated = !in_time && waited && self.was_healthy(client.backend, client.at_ms, until_ms);
        let promise = Promise::ResponseToBadClients;
        let BadClientRecord { kind, .. } = client;
        is_violated.then(|| Violation { promise, history: format!("{kind:?}: {client:?}") })
    }

    // ---- queries of the event log and the histories --------------------------------------------------

    /// Returns the log entries whose event matches.
    fn events_where(&self, matches: impl Fn(BackendEvent) -> bool) -> Vec<LogEntry> {
        self.log.iter().filter(|entry| matches(entry.event)).copied().collect()
    }

    /// Returns the spans of a backend from an event in `begins` to the next event in `ends`; a span without an end is
    /// infinite.
    fn spans(&self, backend: usize, begins: &[BackendEvent], ends: &[BackendEvent]) -> Vec<(f64, f64)> {
        let mut spans = Vec::new();
        let mut span_start_ms = None;
        for entry in self.log.iter().filter(|entry| entry.backend == backend) {
            if begins.contains(&entry.event) {
                span_start_ms = span_start_ms.or(Some(entry.at_ms));
            } else if ends.contains(&entry.event) {
                spans.extend(span_start_ms.take().map(|from_ms| (from_ms, entry.at_ms)));
            }
        }
        spans.extend(span_start_ms.map(|from_ms| (from_ms, f64::INFINITY)));
        spans
    }

    /// Returns whether the backend was paused at any time between the two times.
    fn was_paused(&self, backend: usize, from_ms: f64, to_ms: f64) -> bool {
        overlaps(&self.spans(backend, &[BackendEvent::Paused], &[BackendEvent::Resumed]), from_ms, to_ms)
    }

    /// Returns whether the backend was up, not paused and connected to its agent for all the time between the two times.
    fn was_healthy(&self, backend: usize, from_ms: f64, to_ms: f64) -> bool {
        let down = [
            BackendEvent::DrainNoticeSent,
            BackendEvent::Killed,
            BackendEvent::KilledAtStop,
            BackendEvent::Crashed,
        ];
        let is_down = overlaps(&self.spans(backend, &down, &[BackendEvent::Started]), from_ms, to_ms);
        let is_link_faulty = overlaps(
            &self.spans(backend, &[BackendEvent::AgentLinkFaulty], &[BackendEvent::AgentLinkRestored]),
            from_ms,
            to_ms,
        );
        !is_down && !is_link_faulty && !self.was_paused(backend, from_ms, to_ms)
    }

    /// Returns the send time and the answer of each health check of a backend.
    fn probes(&self, backend: usize) -> impl Iterator<Item = (f64, Option<(f64, bool)>)> + '_ {
        let of_backend = self.probe_results.probes.iter().filter(move |probe| probe.backend == backend);
        of_backend.map(|probe| (probe.at_ms, probe.answer))
    }

    /// Returns whether the backend was ready in time after a restart, or whether another fault on it or its agent's link
    /// excuses it.
    fn is_ready_after(&self, start: &LogEntry) -> bool {
        let until_ms = (start.at_ms + READY_MS).min(self.ended_ms);
        let is_ready = |(_, answer): (f64, Option<(f64, bool)>)| {
            answer.is_some_and(|(at_ms, ready)| ready && at_ms > start.at_ms && at_ms <= until_ms)
        };
        let was_disturbed = !self.was_healthy(start.backend, start.at_ms + 1.0, until_ms);
        self.probes(start.backend).any(is_ready) || was_disturbed
    }

    /// Formats the history of all attempts of a request.
    fn history_of(&self, number: u64) -> String {
        let attempts = self.history.attempts.iter().filter(|attempt| attempt.work.number == number);
        let lines: Vec<String> = attempts.map(|attempt| self.attempt_line(attempt)).collect();
        format!("request {number}: {}", lines.join("; "))
    }

    /// Formats the history of an attempt, with the events of its backend within 4 s of its sending.
    fn attempt_line(&self, attempt: &AttemptRecord) -> String {
        let connection = attempt.connection.map(|index| &self.history.connections[index]);
        let launched = self.first_launch_ms(attempt).map(f64::round);
        let answers: Vec<String> = attempt
            .answers
            .iter()
            .map(|(at_ms, answer)| format!("{at_ms:.0} {}", answer_name(answer)))
            .collect();
        let events: BTreeMap<i64, String> = connection.map_or_else(BTreeMap::new, |connection| {
            let of_backend = self.log.iter().filter(|entry| entry.backend == connection.backend);
            let nearby = of_backend.filter(|entry| (entry.at_ms - attempt.sent_ms).abs() < 4000.0);
            nearby.map(|entry| (entry.at_ms as i64, format!("{:?}", entry.event))).collect()
        });
        format!(
            "{} {:?} sent {:.0} written {:?} timeout {:.0} launched {launched:?} answers {answers:?} on {connection:?} events {events:?}",
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

/// Returns whether any span overlaps the time between `from_ms` and `to_ms`.
fn overlaps(spans: &[(f64, f64)], from_ms: f64, to_ms: f64) -> bool {
    spans.iter().any(|(begin_ms, end_ms)| *begin_ms <= to_ms && *end_ms >= from_ms)
}
