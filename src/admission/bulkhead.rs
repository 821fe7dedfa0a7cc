//! Bulkheads: capacity reserved for, and limited to, groups of request classes.
//!
//! *Decides*: the admitted fraction of one bulkhead's arrivals, and whether it may place an outbound call.
//! *Inputs*: each bulkhead's capacity (reserved executions, maximum executions and calls), the admitted
//! fraction of the backend.
//! *Rule*: a bulkhead at its maximum admits nothing; one below its reservation admits everything while the
//! backend is within its limits; in between, the backend's admitted fraction applies.
//! *Why*: a request that waits for a call counts as an execution, so a bulkhead whose calls are exhausted
//! fills up on its own and does not block any other.
//! *Source*: Nygard, "Release It!", "Bulkheads"; `docs/bulkhead.md`.
//! *Without it*: a flood of one class takes all capacity from the others. The rule is harmful where bulkheads
//! are too small. Without configured bulkheads it has no effect.

use crate::api::{BulkheadCapacity, Bulkheads, RequestState};

/// Number of executions and calls of one bulkhead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Occupancy {
    runs: usize,
    calls: usize,
}

impl Occupancy {
    fn count_of(&mut self, state: RequestState) -> Option<&mut usize> {
        match state {
            RequestState::Running | RequestState::Answered { .. } | RequestState::AwaitingCall => {
                Some(&mut self.runs)
            }
            RequestState::Calling { .. } => Some(&mut self.calls),
            RequestState::Queued | RequestState::Joined | RequestState::Completed(_) => None,
        }
    }
}

/// Whether the backend as a whole is below its limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BackendLoad {
    WithinLimits,
    AtLimit,
}

/// Configured bulkheads, if any, and the occupancy of each.
#[derive(Default)]
pub(super) struct BulkheadAdmission {
    bulkheads: Option<Bulkheads>,
    occupancies: Vec<Occupancy>,
}

impl BulkheadAdmission {
    pub(super) fn is_configured(&self) -> bool {
        self.bulkheads.is_some()
    }

    /// Replaces the capacities. If classes moved between bulkheads, all requests in flight are counted again.
    pub(super) fn update(
        &mut self,
        bulkheads: Option<Bulkheads>,
        in_flight: impl Iterator<Item = (usize, RequestState)>,
    ) {
        fn layout(bulkheads: &Option<Bulkheads>) -> Option<(&[usize], usize)> {
            bulkheads.as_ref().map(|b| (b.bulkhead_of_class.as_slice(), b.capacities.len()))
        }
        let layout_changed = layout(&bulkheads) != layout(&self.bulkheads);
        self.bulkheads = bulkheads;
        if layout_changed {
            let count = self.bulkheads.as_ref().map_or(0, |bulkheads| bulkheads.capacities.len());
            self.occupancies = vec![Occupancy::default(); count];
            in_flight.for_each(|(class, state)| self.enter(class, state));
        }
    }

    fn bulkhead(&self, class: usize) -> Option<(usize, &BulkheadCapacity)> {
        let bulkheads = self.bulkheads.as_ref()?;
        let index = *bulkheads.bulkhead_of_class.get(class)?;
        bulkheads.capacities.get(index).map(|capacity| (index, capacity))
    }

    /// Counts a request of the class that entered a state.
    pub(super) fn enter(&mut self, class: usize, state: RequestState) {
        let Some((index, _)) = self.bulkhead(class) else { return };
        if let Some(count) = self.occupancies[index].count_of(state) {
            *count += 1;
        }
    }

    /// Stops counting a request of the class that left a state.
    pub(super) fn leave(&mut self, class: usize, state: RequestState) {
        let Some((index, _)) = self.bulkhead(class) else { return };
        if let Some(count) = self.occupancies[index].count_of(state) {
            *count -= 1;
        }
    }

    /// Returns the fraction of the class's arrivals to admit; `fraction` is the backend's admitted fraction.
    pub(super) fn admitted_fraction(&self, class: usize, fraction: f64, backend: BackendLoad) -> f64 {
        let Some((index, capacity)) = self.bulkhead(class) else { return fraction };
        let Occupancy { runs, calls } = self.occupancies[index];
        let (runs, calls) = (runs as f64, calls as f64);
        if runs >= capacity.max_runs || calls >= capacity.max_calls {
            0.0
        } else if runs < capacity.reserved_runs && backend == BackendLoad::WithinLimits {
            1.0
        } else {
            fraction
        }
    }

    /// Returns whether the bulkhead of the class has capacity for another call.
    pub(super) fn allows_call(&self, class: usize) -> bool {
        self.bulkhead(class)
            .is_none_or(|(index, capacity)| self.occupancies[index].calls as f64 + 1.0 <= capacity.max_calls)
    }
}

#[cfg(test)]
mod tests;
