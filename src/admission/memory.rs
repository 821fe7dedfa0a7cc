//! The memory bound.
//!
//! *Decides*: whether one more execution, one more joined duplicate or one more retained outcome fits.
//! *Inputs*: memory of a queued request (KiB), factor by which an execution takes more, size of a
//! deduplication entry (KiB), memory of the process (KiB).
//! *Rule*: executions, queued and joined requests and deduplication entries fill at most
//! [`MAX_OCCUPIED_FRACTION`] of the memory.
//! *Why*: the rest is for requests that are being read, which the backend does not see yet.
//! *Source*: `docs/design.md`, "Guards for the four rules".
//! *Without it*: a crowd of large requests ends the process, and with it all that it had in flight.

use crate::admission::request::takes_execution_memory;
use crate::api::{BackendConfig, RequestState};

/// Part of memory that executions and joined duplicates may fill.
const MAX_OCCUPIED_FRACTION: f64 = 0.80;
/// Part of memory up to which outcomes of reads are retained to serve other clients.
const MAX_SHARING_FRACTION: f64 = 0.5 * MAX_OCCUPIED_FRACTION;

/// Memory taken up by requests in flight, against what there is.
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

    /// A request was read.
    pub(super) fn add_request(&mut self, request_kb: f64) {
        self.requests_kb += request_kb;
    }

    /// A request changed its state.
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

    /// Part of memory that is taken up, with so many deduplication entries.
    pub(super) fn occupied_fraction(&self, entries: usize) -> f64 {
        (self.requests_kb + entries as f64 * self.entry_kb) / self.capacity_kb
    }

    /// Whether a queued request may be executed, with so many entries more for its own deduplication.
    pub(super) fn allows_execution(&self, request_kb: f64, entries: usize, new_entries: usize) -> bool {
        let more_kb = request_kb * (self.running_factor - 1.0) + new_entries as f64 * self.entry_kb;
        self.occupied_fraction(entries) + more_kb / self.capacity_kb <= MAX_OCCUPIED_FRACTION
    }

    /// Whether a duplicate may wait for the outcome of the first request.
    pub(super) fn allows_join(&self, entries: usize) -> bool {
        self.occupied_fraction(entries) < MAX_OCCUPIED_FRACTION
    }

    /// Whether the outcome of a read may be retained for other clients.
    pub(super) fn allows_sharing(&self, entries: usize) -> bool {
        self.occupied_fraction(entries) < MAX_SHARING_FRACTION
    }
}

#[cfg(test)]
mod tests;
