//! Bulkheads of an operator's plan. They observe the backend's state changes, and the backend gets their capacities
//! at each of its periodic measurements. Without a plan this module does nothing.

use std::collections::BTreeMap;

use plovershelf::api::{BackendConfig, BulkheadCapacity, Bulkheads, Completion, RequestState, Transition};
use plovershelf_bulkhead::{AdaptiveBulkheads, BulkheadError, BulkheadPlan, WorkKind, WorkOutcome};

use super::Driver;

/// Upper bound of the demand that rejected requests add to a bulkhead.
const MAX_REJECTED_DEMAND: usize = 64;
/// Fraction of a peak that remains after each update.
const PEAK_RETAINED_FRACTION: f64 = 0.97;
/// Ratio of the headroom of a bulkhead to its peak.
const PEAK_HEADROOM: f64 = 1.5;
/// Total capacity for calls if the dependency is not shared.
const UNSHARED_CALLS: usize = 10_000;
/// Upper bound of the total capacity for runs, and of that for calls.
const MAX_CAPACITY: f64 = 10_000.0;

/// Counts of a bulkhead's requests in flight.
#[derive(Clone, Copy, Default)]
struct InFlight {
    /// Runs, including those that await a call.
    runs: usize,
    calls: usize,
    /// Runs that await a call.
    awaiting_call: usize,
}

impl InFlight {
    /// Adds or removes one request in the given state.
    fn count(&mut self, state: RequestState, change: CountChange) {
        match state {
            RequestState::Running | RequestState::Answered { .. } => change.apply(&mut self.runs),
            RequestState::AwaitingCall => {
                change.apply(&mut self.runs);
                change.apply(&mut self.awaiting_call);
            }
            RequestState::Calling { .. } => change.apply(&mut self.calls),
            _ => {}
        }
    }
}

#[derive(Clone, Copy)]
enum CountChange {
    Add,
    Remove,
}

impl CountChange {
    fn apply(self, count: &mut usize) {
        *count = match self {
            CountChange::Add => *count + 1,
            CountChange::Remove => count.saturating_sub(1),
        };
    }
}

/// Decaying maximum of a bulkhead's recent demand: its work in flight, its requests that await a call, and its rejected
/// requests. Requests run at once or are rejected, so this much capacity stays reserved for the bulkhead and is not
/// lent to others.
#[derive(Clone, Copy, Default)]
struct Peak {
    runs: f64,
    calls: f64,
}

impl Peak {
    fn update(&mut self, runs: usize, calls: usize) {
        self.runs = (self.runs * PEAK_RETAINED_FRACTION).max(runs as f64);
        self.calls = (self.calls * PEAK_RETAINED_FRACTION).max(calls as f64);
    }

    fn headroom(peak: f64) -> usize {
        (PEAK_HEADROOM * peak).ceil() as usize
    }
}

/// An open request as the bulkheads count it.
#[derive(Clone, Copy)]
struct CountedRequest {
    class: usize,
    state: RequestState,
    since_ms: f64,
}

/// Checks that a plan is valid for a backend.
///
/// # Errors
/// Returns an error if the plan contradicts the backend's configuration.
pub(crate) fn check_bulkheads(plan: &BulkheadPlan, config: &BackendConfig) -> Result<(), BulkheadError> {
    BulkheadState::new(plan.clone(), config).map(drop)
}

/// The bulkheads of a plan, with the measurements that size them.
pub(super) struct BulkheadState {
    bulkheads: AdaptiveBulkheads,
    classes: usize,
    in_flight: Vec<InFlight>,
    /// Requests of each bulkhead that were rejected on arrival since the last update.
    rejected: Vec<usize>,
    peaks: Vec<Peak>,
    open: BTreeMap<u32, CountedRequest>,
}

impl BulkheadState {
    /// # Errors
    /// Returns an error if the plan contradicts this configuration.
    pub(super) fn new(plan: BulkheadPlan, config: &BackendConfig) -> Result<Self, BulkheadError> {
        let classes = config.classes.len();
        let runs = (config.cores * config.overload_multiple / 2.0).max(1.0) as usize;
        let calls = config.dependency_share.map_or(UNSHARED_CALLS, |share| share.max(1.0) as usize);
        let bulkheads = AdaptiveBulkheads::new(plan, classes, runs, calls)?;
        let mut state = BulkheadState {
            bulkheads,
            classes,
            in_flight: Vec::new(),
            rejected: Vec::new(),
            peaks: Vec::new(),
            open: BTreeMap::new(),
        };
        state.recount();
        Ok(state)
    }

    /// Recounts all open requests under the current plan.
    fn recount(&mut self) {
        let count = self.bulkheads.names().count();
        self.in_flight = vec![InFlight::default(); count];
        self.rejected = vec![0; count];
        self.peaks = vec![Peak::default(); count];
        for CountedRequest { class, state, .. } in self.open.values() {
            self.in_flight[self.bulkheads.bulkhead_of_class(*class)].count(*state, CountChange::Add);
        }
    }

    /// Replaces the plan.
    ///
    /// # Errors
    /// Returns an error, and changes nothing, if the new plan contradicts the configuration.
    fn replace(&mut self, plan: BulkheadPlan) -> Result<(), BulkheadError> {
        self.bulkheads.replace(plan)?;
        self.recount();
        Ok(())
    }

    fn record(&mut self, now_ms: f64, transition: &Transition, class: usize) {
        let bulkhead = self.bulkheads.bulkhead_of_class(class);
        let before = self.open.remove(&transition.id);
        if let Some(before) = before {
            self.in_flight[bulkhead].count(before.state, CountChange::Remove);
            self.record_duration(now_ms, bulkhead, before, transition.to);
        }
        if let RequestState::Completed(completion) = transition.to {
            let is_rejected = matches!(completion, Completion::Rejected { .. });
            let is_on_arrival = transition.from == Some(RequestState::Queued);
            self.rejected[bulkhead] += usize::from(is_rejected && is_on_arrival);
            return;
        }
        let unchanged = before.filter(|before| before.state == transition.to);
        let since_ms = unchanged.map_or(now_ms, |before| before.since_ms);
        let counted = CountedRequest { class, state: transition.to, since_ms };
        self.open.insert(transition.id, counted);
        self.in_flight[bulkhead].count(transition.to, CountChange::Add);
    }

    /// Records the duration of a run or a call. Abandoned work is skipped, as its duration does not reflect the
    /// time that it needs.
    fn record_duration(&mut self, now_ms: f64, bulkhead: usize, before: CountedRequest, to: RequestState) {
        let duration_ms = now_ms - before.since_ms;
        let (kind, outcome) = match (before.state, to) {
            (RequestState::Running, RequestState::AwaitingCall | RequestState::Completed(_)) => {
                (WorkKind::Run, WorkOutcome::Succeeded)
            }
            (RequestState::Calling { .. }, RequestState::Running) => (WorkKind::Call, WorkOutcome::Succeeded),
            (RequestState::Calling { .. }, RequestState::AwaitingCall) => {
                (WorkKind::Call, WorkOutcome::Failed)
            }
            _ => return,
        };
        self.bulkheads.record(kind, bulkhead, now_ms, duration_ms, outcome);
    }

    /// Updates demand and totals, and returns the capacity of each bulkhead.
    fn update(&mut self, total_runs: f64, total_calls: f64) -> Bulkheads {
        let to_count = |capacity: f64| capacity.clamp(0.0, MAX_CAPACITY).floor() as usize;
        self.bulkheads.set_total(WorkKind::Run, to_count(total_runs));
        self.bulkheads.set_total(WorkKind::Call, to_count(total_calls));
        for (bulkhead, in_flight) in self.in_flight.iter().enumerate() {
            let InFlight { runs, calls, awaiting_call } = *in_flight;
            let rejected = std::mem::take(&mut self.rejected[bulkhead]).min(MAX_REJECTED_DEMAND);
            let peak = &mut self.peaks[bulkhead];
            peak.update(runs + rejected, calls + awaiting_call + rejected);
            self.bulkheads.set_in_flight(WorkKind::Run, bulkhead, runs);
            self.bulkheads.set_waiting(
                WorkKind::Run,
                bulkhead,
                Peak::headroom(peak.runs).saturating_sub(runs),
            );
            self.bulkheads.set_in_flight(WorkKind::Call, bulkhead, calls);
            self.bulkheads.set_waiting(
                WorkKind::Call,
                bulkhead,
                Peak::headroom(peak.calls).saturating_sub(calls),
            );
        }
        self.capacities()
    }

    fn capacities(&self) -> Bulkheads {
        let (runs, calls) =
            (self.bulkheads.available(WorkKind::Run), self.bulkheads.available(WorkKind::Call));
        let capacity = |bulkhead: usize| BulkheadCapacity {
            reserved_runs: self.bulkheads.reserved_runs(bulkhead) as f64,
            max_runs: runs[bulkhead] as f64,
            // At least one: if all calls of a bulkhead were lent out, its requests would wait forever.
            max_calls: calls[bulkhead].max(1) as f64,
        };
        Bulkheads {
            bulkhead_of_class: (0..self.classes)
                .map(|class| self.bulkheads.bulkhead_of_class(class))
                .collect(),
            capacities: (0..self.in_flight.len()).map(capacity).collect(),
        }
    }

    fn log(&self) {
        for (bulkhead, name) in self.bulkheads.names().enumerate() {
            let runs = self.bulkheads.status(WorkKind::Run, bulkhead);
            let calls = self.bulkheads.status(WorkKind::Call, bulkhead);
            tracing::info!(
                event = "bulkhead",
                name,
                runs = runs.in_flight,
                runs_limit = runs.limit.round(),
                runs_borrowed = runs.borrowed,
                calls = calls.in_flight,
                calls_limit = calls.limit.round(),
                calls_borrowed = calls.borrowed,
            );
        }
    }
}

impl Driver {
    /// Reports a state change to the bulkheads.
    pub(super) fn record_transition(&mut self, transition: &Transition) {
        let Some(bulkheads) = &mut self.bulkheads else { return };
        if let Some(request) = self.requests.get(&transition.id) {
            bulkheads.record(self.now_ms, transition, request.class);
        }
    }

    /// Passes the capacities of the bulkheads to the backend, and logs them at intervals.
    pub(super) fn update_bulkheads(&mut self, total_runs: f64, total_calls: f64) {
        let Some(bulkheads) = &mut self.bulkheads else { return };
        let capacities = bulkheads.update(total_runs, total_calls);
        if self.now_ms >= self.bulkheads_logged_ms + self.limits.bulkhead_log_interval_ms {
            self.bulkheads_logged_ms = self.now_ms;
            bulkheads.log();
        }
        self.decide(|backend, now_ms| backend.update_bulkheads(now_ms, Some(capacities)));
    }

    /// Replaces the plan by the operator's reloaded file, or keeps the current one if the new one is invalid.
    pub(super) fn replace_bulkheads(&mut self, plan: BulkheadPlan) {
        let Some(bulkheads) = &mut self.bulkheads else {
            tracing::warn!(
                event = "bulkheads_rejected",
                "no pools were configured at startup; adding them needs a restart"
            );
            return;
        };
        match bulkheads.replace(plan) {
            Ok(()) => {
                tracing::info!(event = "bulkheads_replaced", "the pools follow the reloaded file")
            }
            Err(error) => {
                tracing::warn!(event = "bulkheads_rejected", "the pools stay unchanged: {error}")
            }
        }
    }
}
