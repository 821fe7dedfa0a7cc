//! Bulkheads of one backend: the assignment of request classes to bulkheads, an adaptive limit per bulkhead for runs and
//! for calls, and the division of the capacity of the backend and its dependency.
//!
//! | input | when |
//! | --- | --- |
//! | [`set_total`](AdaptiveBulkheads::set_total) | the overload limit or the share of calls changed, for example by slow start |
//! | [`set_waiting`](AdaptiveBulkheads::set_waiting) | the amount of work waiting for a core or for a call changed |
//! | [`try_start`](AdaptiveBulkheads::try_start), [`end`](AdaptiveBulkheads::end) | a run or a call is about to start; has ended |
//! | [`set_in_flight`](AdaptiveBulkheads::set_in_flight), [`record`](AdaptiveBulkheads::record) | in place of these two, for a caller with its own admission |
//! | [`replace`](AdaptiveBulkheads::replace) | the operator's file was reloaded |

use std::fmt;

use crate::capacity::{CapacityAllocator, CapacityConfig, Reserve};
use crate::concurrency_limit::{ConcurrencyLimit, LimitAlgorithm, LimitBounds, WorkOutcome, WorkSample};
use crate::error::BulkheadError;

/// Kind of work that capacity is counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// An execution on the backend's cores.
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

/// Configuration of one bulkhead, for both kinds of work.
#[derive(Clone, Debug, PartialEq)]
pub struct BulkheadConfig {
    /// Name chosen by the operator.
    pub name: String,
    /// Indices of the request classes. The first bulkhead also has the classes that no bulkhead names.
    pub classes: Vec<usize>,
    /// Number of runs guaranteed on demand.
    pub reserved_runs: usize,
    /// Maximum number of concurrent runs.
    pub max_runs: usize,
    /// Number of calls guaranteed on demand.
    pub reserved_calls: usize,
    /// Maximum number of concurrent calls.
    pub max_calls: usize,
    /// Relative weight in the division of the capacity beyond reservations.
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

/// Configuration of all bulkheads of a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct BulkheadPlan {
    /// Bulkheads in the order of the file.
    pub bulkheads: Vec<BulkheadConfig>,
    /// Capacity set aside for one of the bulkheads.
    pub reserve: Option<Reserve>,
}

/// State of a bulkhead for one kind of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BulkheadStatus {
    /// Number of units of work in flight.
    pub in_flight: usize,
    /// Current adaptive limit, in units of work in flight.
    pub limit: f64,
    /// Number of units of work in flight above the limit.
    pub borrowed: usize,
}

/// Capacity of one kind of work, and the adaptive limits of the bulkheads.
#[derive(Clone, Debug)]
struct KindState {
    capacity: CapacityAllocator,
    limits: Vec<ConcurrencyLimit>,
}

impl KindState {
    fn new(plan: &BulkheadPlan, kind: WorkKind, total: usize) -> Result<Self, BulkheadError> {
        let configs: Vec<CapacityConfig> =
            plan.bulkheads.iter().map(|bulkhead| bulkhead.capacity(kind)).collect();
        // The allocator validates the plan first: an invalid plan has no valid bounds for the limits.
        let capacity = CapacityAllocator::new(configs.clone(), plan.reserve, total)
            .map_err(|source| BulkheadError::Capacity { kind, source })?;
        let weights: f64 = configs.iter().map(|config| config.weight).sum();
        let limit = |config: &CapacityConfig| {
            let bounds = LimitBounds { min: config.reserved.max(1) as f64, max: config.max.max(1) as f64 };
            // The initial limit is the weighted share, not the maximum, because durations are not known yet.
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

    /// Transfers the work in flight of a bulkhead of the previous plan and, if its name remains, its limit state.
    fn transfer_from(&mut self, previous: &KindState, old: usize, new: Option<usize>) {
        self.capacity.add_in_flight(new.unwrap_or(0), previous.capacity.in_flight(old));
        if let Some(new) = new {
            let bounds = self.limits[new].bounds();
            self.limits[new] = previous.limits[old].clone();
            self.limits[new].set_bounds(bounds);
            self.apply_limit(new);
        }
    }
}

/// Bulkheads whose limits adapt to the measured durations of their work.
#[derive(Clone, Debug)]
pub struct AdaptiveBulkheads {
    plan: BulkheadPlan,
    bulkhead_of_class: Vec<usize>,
    runs: KindState,
    calls: KindState,
}

impl AdaptiveBulkheads {
    /// Returns bulkheads for the given number of request classes and the total runs and calls of a warm backend.
    ///
    /// # Errors
    /// Fails if a class is in two bulkheads or does not exist, or if capacities of either kind are inconsistent.
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

    /// Returns the bulkhead of a request class.
    pub fn bulkhead_of_class(&self, class: usize) -> usize {
        self.bulkhead_of_class.get(class).copied().unwrap_or(0)
    }

    /// Returns the names of the bulkheads in their order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.plan.bulkheads.iter().map(|bulkhead| bulkhead.name.as_str())
    }

    /// Sets the maximum work in flight of all bulkheads together.
    pub fn set_total(&mut self, kind: WorkKind, total: usize) {
        self.kind_mut(kind).capacity.set_total(total);
    }

    /// Sets the amount of a bulkhead's work that waits to start.
    pub fn set_waiting(&mut self, kind: WorkKind, bulkhead: usize, waiting: usize) {
        self.kind_mut(kind).capacity.set_waiting(bulkhead, waiting);
    }

    /// Starts one unit of work of a bulkhead if that is allowed; returns whether it started.
    pub fn try_start(&mut self, kind: WorkKind, bulkhead: usize) -> bool {
        self.kind_mut(kind).capacity.try_start(bulkhead)
    }

    /// Ends one unit of work. `duration_ms` is `None` for abandoned or cancelled work, whose duration means nothing.
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

    /// Sets a bulkhead's work in flight, for a caller with its own admission based on [`Self::available`].
    pub fn set_in_flight(&mut self, kind: WorkKind, bulkhead: usize, in_flight: usize) {
        self.kind_mut(kind).capacity.set_in_flight(bulkhead, in_flight);
    }

    /// Records the duration of ended work, for a caller with its own admission.
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

    /// Returns the capacity of each bulkhead if it wanted the total while the others' work and demand stayed the same.
    pub fn available(&self, kind: WorkKind) -> Vec<usize> {
        let capacity = &self.kind(kind).capacity;
        (0..self.plan.bulkheads.len()).map(|bulkhead| capacity.available(bulkhead)).collect()
    }

    /// Returns the number of runs guaranteed to a bulkhead on demand.
    pub fn reserved_runs(&self, bulkhead: usize) -> usize {
        let total = self.runs.capacity.total();
        let reserve = self.plan.reserve.filter(|reserve| reserve.bulkhead == bulkhead);
        let reserved = reserve.map_or(0, |reserve| reserve.units_of(total));
        self.plan.bulkheads[bulkhead].reserved_runs.max(reserved).min(total)
    }

    /// Returns the state of a bulkhead for one kind of work.
    pub fn status(&self, kind: WorkKind, bulkhead: usize) -> BulkheadStatus {
        let state = self.kind(kind);
        BulkheadStatus {
            in_flight: state.capacity.in_flight(bulkhead),
            limit: state.limits[bulkhead].limit(),
            borrowed: state.capacity.borrowed(bulkhead),
        }
    }

    /// Replaces the plan, or leaves it unchanged on an error. A bulkhead whose name remains retains its work in flight
    /// and its limit state; the work of a removed bulkhead counts for the first one.
    ///
    /// # Errors
    /// Fails like [`Self::new`], without any change.
    pub fn replace(&mut self, plan: BulkheadPlan) -> Result<(), BulkheadError> {
        let (total_runs, total_calls) = (self.runs.capacity.total(), self.calls.capacity.total());
        let mut next = AdaptiveBulkheads::new(plan, self.bulkhead_of_class.len(), total_runs, total_calls)?;
        for (old, name) in self.names().enumerate() {
            let new = next.names().position(|other| other == name);
            next.runs.transfer_from(&self.runs, old, new);
            next.calls.transfer_from(&self.calls, old, new);
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

/// Returns the bulkhead of each class: the first for classes that no bulkhead names.
fn assign_classes(plan: &BulkheadPlan, classes: usize) -> Result<Vec<usize>, BulkheadError> {
    let mut assigned: Vec<Option<usize>> = vec![None; classes];
    for (index, BulkheadConfig { name, classes: named, .. }) in plan.bulkheads.iter().enumerate() {
        let bulkhead = || name.clone();
        for class in named {
            let slot = assigned.get_mut(*class).ok_or_else(|| BulkheadError::UnknownClass {
                bulkhead: bulkhead(),
                class: *class,
                classes,
            })?;
            if let Some(owner) = *slot {
                let owner = plan.bulkheads[owner].name.clone();
                return Err(BulkheadError::ClassInTwoBulkheads { bulkhead: bulkhead(), owner });
            }
            *slot = Some(index);
        }
    }
    Ok(assigned.into_iter().map(|bulkhead| bulkhead.unwrap_or(0)).collect())
}

#[cfg(test)]
mod tests;
