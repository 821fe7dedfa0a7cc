//! Memory limit.
//!
//! *Decides*: whether there is memory for another execution, joined duplicate or retained outcome.
//! *Inputs*: memory of a queued request (KiB), factor by which an execution takes more, size of a
//! deduplication entry (KiB), memory of the process (KiB).
//! *Rule*: executions, queued and joined requests and deduplication entries fill at most
//! [`MAX_OCCUPIED_FRACTION`] of the memory.
//! *Why*: the rest is for requests that are being read and not yet known to the backend.
//! *Source*: `docs/design.md`, "Guards for the four rules".
//! *Without it*: many large requests exhaust the memory of the process, which loses everything in flight.

use crate::admission::request::takes_execution_memory;
use crate::api::{BackendConfig, RequestState};

/// Fraction of the memory that executions and joined duplicates may fill.
const MAX_OCCUPIED_FRACTION: f64 = 0.80;
/// Fraction of the memory below which outcomes of reads are retained to serve other clients.
const MAX_SHARING_FRACTION: f64 = 0.5 * MAX_OCCUPIED_FRACTION;

/// Memory used by requests in flight, and the capacity.
pub(super) struct Memory {
    capacity_kb: f64,
    running_factor: f64,
    entry_kb: f64,
    requests_kb: f64,
}

impl Memory {
    pub(super) fn new(config: &BackendConfig) -> Self {
        Memory {
            capacity_kb: config.memory_kb,
            running_factor: config.running_memory_factor,
            entry_kb: config.deduplication_entry_kb,
            requests_kb: 0.0,
        }
    }

    /// Adds the memory of a request that was read.
    pub(super) fn add_request(&mut self, request_kb: f64) {
        self.requests_kb += request_kb;
    }

    /// Updates the memory of a request that changed its state.
    pub(super) fn update_request(&mut self, request_kb: f64, from: RequestState, to: RequestState) {
        self.requests_kb += (self.weight(to) - self.weight(from)) * request_kb;
    }

    fn weight(&self, state: RequestState) -> f64 {
        match state {
            RequestState::Completed(_) => 0.0,
            state if takes_execution_memory(state) => self.running_factor,
            _ => 1.0,
        }
    }

    /// Returns the used fraction of the memory, with `entries` deduplication entries.
    pub(super) fn occupied_fraction(&self, entries: usize) -> f64 {
        (self.requests_kb + entries as f64 * self.entry_kb) / self.capacity_kb
    }

    /// Returns whether a queued request may be executed if it adds `new_entries` deduplication entries.
    pub(super) fn allows_execution(&self, request_kb: f64, entries: usize, new_entries: usize) -> bool {
        let more_kb = request_kb * (self.running_factor - 1.0) + new_entries as f64 * self.entry_kb;
        self.occupied_fraction(entries) + more_kb / self.capacity_kb <= MAX_OCCUPIED_FRACTION
    }

    /// Returns whether a duplicate may wait for the outcome of the first request.
    pub(super) fn allows_join(&self, entries: usize) -> bool {
        self.occupied_fraction(entries) < MAX_OCCUPIED_FRACTION
    }

    /// Returns whether the outcome of a read may be retained for other clients.
    pub(super) fn allows_sharing(&self, entries: usize) -> bool {
        self.occupied_fraction(entries) < MAX_SHARING_FRACTION
    }
}

#[cfg(test)]
mod tests;
