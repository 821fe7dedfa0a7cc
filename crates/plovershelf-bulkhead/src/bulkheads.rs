//! The bulkheads of one backend: which request class is in which, and for runs and for calls an adaptive limit each and
//! the division of what the backend and its dependency bear.
//!
//! | input | when |
//! | --- | --- |
//! | [`set_total`](AdaptiveBulkheads::set_total) | the overload bound, or the share of calls, changed: slow start, a smaller share |
//! | [`set_waiting`](AdaptiveBulkheads::set_waiting) | work waits for a core, or for its call |
//! | [`try_start`](AdaptiveBulkheads::try_start), [`end`](AdaptiveBulkheads::end) | a run or a call would start; has ended |
//! | [`set_in_flight`](AdaptiveBulkheads::set_in_flight), [`record`](AdaptiveBulkheads::record) | in place of the two above, for a caller that admits by itself |
//! | [`replace`](AdaptiveBulkheads::replace) | the operator's file was read again |

use std::fmt;

use crate::capacity::{CapacityAllocator, CapacityConfig, Reserve};
use crate::concurrency_limit::{ConcurrencyLimit, LimitAlgorithm, LimitBounds, WorkOutcome, WorkSample};
use crate::error::BulkheadError;

/// What capacity is counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// Execution on the backend's cores.
    Run,
    /// An outbound call to the dependency.
    Call,
}

impl fmt::Display for WorkKind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            WorkKind::Run => "runs",
            WorkKind::Call => "calls",
        })
    }
}

/// One bulkhead, for both kinds of work.
#[derive(Clone, Debug, PartialEq)]
pub struct BulkheadConfig {
    /// The operator's name for it.
    pub name: String,
    /// Indices of its request classes. The first bulkhead takes also those that no bulkhead names.
    pub classes: Vec<usize>,
    /// Runs that it always has where it asks.
    pub reserved_runs: usize,
    /// Runs at most.
    pub max_runs: usize,
    /// Calls that it always has where it asks.
    pub reserved_calls: usize,
    /// Calls at most.
    pub max_calls: usize,
    /// Its part of what is left beyond reservations, against the others'.
    pub weight: f64,
}

impl BulkheadConfig {
    fn capacity(&self, kind: WorkKind) -> CapacityConfig {
        let (reserved, max) = match kind {
            WorkKind::Run => (self.reserved_runs, self.max_runs),
            WorkKind::Call => (self.reserved_calls, self.max_calls),
        };
        CapacityConfig { name: self.name.clone(), reserved, max, weight: self.weight }
    }
}

/// All bulkheads of a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct BulkheadPlan {
    /// The bulkheads, in the file's order.
    pub bulkheads: Vec<BulkheadConfig>,
    /// Capacity that one of them always finds.
    pub reserve: Option<Reserve>,
}

/// What a bulkhead has of one kind of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BulkheadStatus {
    /// Work in flight.
    pub in_flight: usize,
    /// The adaptive limit.
    pub limit: f64,
    /// Work in flight beyond the limit.
    pub borrowed: usize,
}

/// One kind of work: its capacity, and the bulkheads' adaptive limits on it.
#[derive(Clone, Debug)]
struct KindState {
    capacity: CapacityAllocator,
    limits: Vec<ConcurrencyLimit>,
}

impl KindState {
    fn new(plan: &BulkheadPlan, kind: WorkKind, total: usize) -> Result<Self, BulkheadError> {
        let configs: Vec<CapacityConfig> =
            plan.bulkheads.iter().map(|bulkhead| bulkhead.capacity(kind)).collect();
        // First, as only a plan that it accepts has bounds for the limits.
        let capacity = CapacityAllocator::new(configs.clone(), plan.reserve, total)
            .map_err(|source| BulkheadError::Capacity { kind, source })?;
        let weights: f64 = configs.iter().map(|config| config.weight).sum();
        let limit = |config: &CapacityConfig| {
            let bounds = LimitBounds { min: config.reserved.max(1) as f64, max: config.max.max(1) as f64 };
            // It begins at its part and not at its maximum: what its work takes is not known yet.
            ConcurrencyLimit::new(LimitAlgorithm::Aimd, bounds, total as f64 * config.weight / weights)
        };
        let limits = configs.iter().map(limit).collect();
        Ok(KindState { capacity, limits })
    }

    fn record(&mut self, bulkhead: usize, sample: WorkSample) {
        self.limits[bulkhead].record(sample);
        self.apply_limit(bulkhead);
    }

    fn apply_limit(&mut self, bulkhead: usize) {
        let limit = self.limits[bulkhead].limit();
        self.capacity.set_limit(bulkhead, limit);
    }

    /// Takes over what a bulkhead of the plan before had in flight and, where it keeps its name, had learnt.
    fn adopt(&mut self, before: &KindState, old: usize, new: Option<usize>) {
        self.capacity.adopt(new.unwrap_or(0), before.capacity.in_flight(old));
        if let Some(new) = new {
            let bounds = self.limits[new].bounds();
            self.limits[new] = before.limits[old].clone();
            self.limits[new].set_bounds(bounds);
            self.apply_limit(new);
        }
    }
}

/// Bulkheads whose limits adapt to what their work takes.
#[derive(Clone, Debug)]
pub struct AdaptiveBulkheads {
    plan: BulkheadPlan,
    bulkhead_of_class: Vec<usize>,
    runs: KindState,
    calls: KindState,
}

impl AdaptiveBulkheads {
    /// Bulkheads for so many request classes, with so many runs and calls in total when warm.
    ///
    /// # Errors
    /// A class in two bulkheads, or one that does not exist; capacities of either kind that do not fit.
    pub fn new(
        plan: BulkheadPlan,
        classes: usize,
        total_runs: usize,
        total_calls: usize,
    ) -> Result<Self, BulkheadError> {
        let bulkhead_of_class = assign_classes(&plan, classes)?;
        let runs = KindState::new(&plan, WorkKind::Run, total_runs)?;
        let calls = KindState::new(&plan, WorkKind::Call, total_calls)?;
        Ok(AdaptiveBulkheads { plan, bulkhead_of_class, runs, calls })
    }

    /// The bulkhead of a request class.
    pub fn bulkhead_of_class(&self, class: usize) -> usize {
        self.bulkhead_of_class.get(class).copied().unwrap_or(0)
    }

    /// Names of the bulkheads, in their order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.plan.bulkheads.iter().map(|bulkhead| bulkhead.name.as_str())
    }

    /// Sets what all bulkheads together may have in flight.
    pub fn set_total(&mut self, kind: WorkKind, total: usize) {
        self.kind_mut(kind).capacity.set_total(total);
    }

    /// Sets how much of a bulkhead waits to start.
    pub fn set_waiting(&mut self, kind: WorkKind, bulkhead: usize, waiting: usize) {
        self.kind_mut(kind).capacity.set_waiting(bulkhead, waiting);
    }

    /// Starts one more of a bulkhead if it may; returns whether it did.
    pub fn try_start(&mut self, kind: WorkKind, bulkhead: usize) -> bool {
        self.kind_mut(kind).capacity.try_start(bulkhead)
    }

    /// One ended after `duration_ms`; `None` for one that shows nothing of what it takes: given up, cancelled.
    pub fn end(
        &mut self,
        kind: WorkKind,
        bulkhead: usize,
        now_ms: f64,
        duration_ms: Option<f64>,
        outcome: WorkOutcome,
    ) {
        let state = self.kind_mut(kind);
        let in_flight = state.capacity.in_flight(bulkhead);
        state.capacity.end(bulkhead);
        match duration_ms {
            Some(duration_ms) => {
                state.record(bulkhead, WorkSample { now_ms, duration_ms, in_flight, outcome });
            }
            None => state.apply_limit(bulkhead),
        }
    }

    /// Sets how much of a bulkhead is in flight, for a caller that admits by itself, by [`Self::available`].
    pub fn set_in_flight(&mut self, kind: WorkKind, bulkhead: usize, in_flight: usize) {
        self.kind_mut(kind).capacity.set_in_flight(bulkhead, in_flight);
    }

    /// Learns what work took, for a caller that admits by itself.
    pub fn record(
        &mut self,
        kind: WorkKind,
        bulkhead: usize,
        now_ms: f64,
        duration_ms: f64,
        outcome: WorkOutcome,
    ) {
        let state = self.kind_mut(kind);
        let in_flight = state.capacity.in_flight(bulkhead);
        state.record(bulkhead, WorkSample { now_ms, duration_ms, in_flight, outcome });
    }

    /// What each bulkhead could have now, if it wanted the total, while the others have and want what they do.
    pub fn available(&self, kind: WorkKind) -> Vec<usize> {
        let capacity = &self.kind(kind).capacity;
        (0..self.plan.bulkheads.len()).map(|bulkhead| capacity.available(bulkhead)).collect()
    }

    /// Runs that a bulkhead always has where it asks.
    pub fn reserved_runs(&self, bulkhead: usize) -> usize {
        let total = self.runs.capacity.total();
        let reserve = self.plan.reserve.filter(|reserve| reserve.bulkhead == bulkhead);
        let reserved = reserve.map_or(0, |reserve| reserve.of(total));
        self.plan.bulkheads[bulkhead].reserved_runs.max(reserved).min(total)
    }

    /// What a bulkhead has of one kind of work.
    pub fn status(&self, kind: WorkKind, bulkhead: usize) -> BulkheadStatus {
        let state = self.kind(kind);
        BulkheadStatus {
            in_flight: state.capacity.in_flight(bulkhead),
            limit: state.limits[bulkhead].limit(),
            borrowed: state.capacity.borrowed(bulkhead),
        }
    }

    /// Takes a new plan, all or nothing. A bulkhead that keeps its name keeps its work in flight and what was learnt;
    /// one that is gone leaves its work to the first.
    ///
    /// # Errors
    /// As of [`Self::new`]; nothing has changed then.
    pub fn replace(&mut self, plan: BulkheadPlan) -> Result<(), BulkheadError> {
        let (total_runs, total_calls) = (self.runs.capacity.total(), self.calls.capacity.total());
        let mut next = AdaptiveBulkheads::new(plan, self.bulkhead_of_class.len(), total_runs, total_calls)?;
        for (old, name) in self.names().enumerate() {
            let new = next.names().position(|other| other == name);
            next.runs.adopt(&self.runs, old, new);
            next.calls.adopt(&self.calls, old, new);
        }
        *self = next;
        Ok(())
    }

    fn kind(&self, kind: WorkKind) -> &KindState {
        match kind {
            WorkKind::Run => &self.runs,
            WorkKind::Call => &self.calls,
        }
    }

    fn kind_mut(&mut self, kind: WorkKind) -> &mut KindState {
        match kind {
            WorkKind::Run => &mut self.runs,
            WorkKind::Call => &mut self.calls,
        }
    }
}

/// The bulkhead of each class; the first for those that no bulkhead names.
fn assign_classes(plan: &BulkheadPlan, classes: usize) -> Result<Vec<usize>, BulkheadError> {
    let mut assigned: Vec<Option<usize>> = vec![None; classes];
    for (place, BulkheadConfig { name, classes: own, .. }) in plan.bulkheads.iter().enumerate() {
        let bulkhead = || name.clone();
        for class in own {
            let slot = assigned.get_mut(*class).ok_or_else(|| BulkheadError::UnknownClass {
                bulkhead: bulkhead(),
                class: *class,
                classes,
            })?;
            if let Some(owner) = *slot {
                let owner = plan.bulkheads[owner].name.clone();
                return Err(BulkheadError::ClassInTwoBulkheads { bulkhead: bulkhead(), owner });
            }
            *slot = Some(place);
        }
    }
    Ok(assigned.into_iter().map(|bulkhead| bulkhead.unwrap_or(0)).collect())
}

#[cfg(test)]
mod tests;
