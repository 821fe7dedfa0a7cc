//! Bulkheads: capacity reserved for and bounded to groups of request classes.
//!
//! *Decides*: the admitted fraction of one bulkhead's arrivals, and whether it may place a call.
//! *Inputs*: each bulkhead's capacity (reserved executions, executions and calls at most), the admitted
//! fraction for all.
//! *Rule*: a bulkhead at its capacity admits nothing; one below its reservation admits all while the limits
//! of the backend hold; between them the fraction for all stands.
//! *Why*: a request that wants a call and has none counts as an execution, so a bulkhead whose calls are full
//! fills up by itself and holds up no other.
//! *Source*: Nygard, "Release It!", "Bulkheads"; `docs/bulkhead.md`.
//! *Without it*: a flood of one class takes all capacity from the others. It does harm where bulkheads are
//! drawn too narrow. Where an operator has set none, nothing of this is reached.

use crate::api::{BulkheadCapacity, Bulkheads, RequestState};

/// Executions and calls of one bulkhead.
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

/// Whether the limits of the backend as a whole leave capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BackendLoad {
    WithinLimits,
    AtLimit,
}

/// The bulkheads, where an operator has set any, and what each holds.
#[derive(Default)]
pub(super) struct BulkheadAdmission {
    bulkheads: Option<Bulkheads>,
    occupancies: Vec<Occupancy>,
}

impl BulkheadAdmission {
    pub(super) fn is_configured(&self) -> bool {
        self.bulkheads.is_some()
    }

    /// New capacities; where classes moved between bulkheads, all requests in flight are counted again.
    pub(super) fn update(
        &mut self,
        bulkheads: Option<Bulkheads>,
        in_flight: impl Iterator<Item = (usize, RequestState)>,
    ) {
        fn layout(bulkheads: &Option<Bulkheads>) -> Option<(&[usize], usize)> {
            bulkheads.as_ref().map(|b| (b.bulkhead_of_class.as_slice(), b.capacities.len()))
        }
        let moved = layout(&bulkheads) != layout(&self.bulkheads);
        self.bulkheads = bulkheads;
        if moved {
            let count = self.bulkheads.as_ref().map_or(0, |bulkheads| bulkheads.capacities.len());
            self.occupancies = vec![Occupancy::default(); count];
            in_flight.for_each(|(class, state)| self.enter(class, state));
        }
    }

    fn bulkhead(&self, class: usize) -> Option<(usize, &BulkheadCapacity)> {
        let bulkheads = self.bulkheads.as_ref()?;
        let place = *bulkheads.bulkhead_of_class.get(class)?;
        bulkheads.capacities.get(place).map(|capacity| (place, capacity))
    }

    /// A request of a class entered a state.
    pub(super) fn enter(&mut self, class: usize, state: RequestState) {
        let Some((place, _)) = self.bulkhead(class) else { return };
        if let Some(count) = self.occupancies[place].count_of(state) {
            *count += 1;
        }
    }

    /// A request of a class left a state.
    pub(super) fn leave(&mut self, class: usize, state: RequestState) {
        let Some((place, _)) = self.bulkhead(class) else { return };
        if let Some(count) = self.occupancies[place].count_of(state) {
            *count -= 1;
        }
    }

    /// The fraction of a class's arrivals to admit, where `fraction` holds for all.
    pub(super) fn admitted_fraction(&self, class: usize, fraction: f64, backend: BackendLoad) -> f64 {
        let Some((place, capacity)) = self.bulkhead(class) else { return fraction };
        let Occupancy { runs, calls } = self.occupancies[place];
        let (runs, calls) = (runs as f64, calls as f64);
        if runs >= capacity.max_runs || calls >= capacity.max_calls {
            0.0
        } else if runs < capacity.reserved_runs && backend == BackendLoad::WithinLimits {
            1.0
        } else {
            fraction
        }
    }

    /// Whether a class's bulkhead bears one call more.
    pub(super) fn allows_call(&self, class: usize) -> bool {
        self.bulkhead(class)
            .is_none_or(|(place, capacity)| self.occupancies[place].calls as f64 + 1.0 <= capacity.max_calls)
    }
}

#[cfg(test)]
mod tests;
