//! Ledger of effects: observations of the test peers, by which a trial evaluates backends.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use plovershelf_codec::AttemptId;

use crate::work::{Idempotency, WorkSpec};

/// Identifies a process by the index of its backend and the number of processes that the backend has had so far.
pub type ProcessId = (usize, u32);

/// Number of executions of one request in one process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Executions {
    started: u32,
    succeeded: u32,
}

/// Observations of all test peers of a trial.
#[derive(Debug, Default)]
pub struct EffectLedger {
    /// Executions by request number and process.
    executions: BTreeMap<(u64, ProcessId), Executions>,
    idempotency: BTreeMap<u64, Idempotency>,
    /// Times of each attempt's launches, by the trial's clock.
    pub launched: BTreeMap<AttemptId, Vec<f64>>,
    /// Number of launches after a backend's drain deadline.
    pub launched_after_drain: u64,
    /// Number of commands that violate a protocol.
    pub unexpected_commands: u64,
    /// Highest concurrency of any backend, as a fraction of the concurrency that its cores sustain.
    pub peak_overload: f64,
    /// Work done on the cores of all backends, in milliseconds of processor time.
    pub work_done_ms: f64,
    /// Duration of each request's last execution in milliseconds, by request number.
    pub execution_ms: BTreeMap<u64, f64>,
    /// Number of outages of the dependency.
    pub dependency_outages: u64,
    /// Highest number of calls in flight at the dependency.
    pub peak_dependency_calls: usize,
    /// Number of calls that reached the dependency.
    pub calls: u64,
}

/// Ledger shared by all test peers of a trial.
pub type SharedLedger = Rc<RefCell<EffectLedger>>;

impl EffectLedger {
    /// Creates an empty ledger to share among the test peers.
    pub fn shared() -> SharedLedger {
        Rc::default()
    }

    /// Records that a process launched a request.
    pub fn record_start(&mut self, work: &WorkSpec, process: ProcessId) {
        self.executions.entry((work.number, process)).or_default().started += 1;
        self.idempotency.insert(work.number, work.idempotency);
    }

    /// Records that an execution succeeded.
    pub fn record_success(&mut self, number: u64, process: ProcessId) {
        self.executions.entry((number, process)).or_default().succeeded += 1;
    }

    /// Returns the requests that may take effect only once and were executed more often: keyed requests more than once
    /// within one process, non-idempotent requests more than once in all processes together.
    pub fn repeated_executions(&self) -> Vec<u64> {
        let mut non_idempotent: BTreeMap<u64, u32> = BTreeMap::new();
        let mut repeated = Vec::new();
        for ((number, _), executions) in &self.executions {
            match self.idempotency.get(number) {
                Some(Idempotency::Keyed) if executions.started > 1 => repeated.push(*number),
                Some(Idempotency::NonIdempotent) => {
                    *non_idempotent.entry(*number).or_default() += executions.started;
                }
                _ => {}
            }
        }
        repeated
            .extend(non_idempotent.into_iter().filter(|(_, started)| *started > 1).map(|(number, _)| number));
        repeated
    }

    /// Returns the keyed requests that were launched more than once in all processes together.
    pub fn repeated_keyed_launches(&self) -> Vec<u64> {
        let mut launches: BTreeMap<u64, u32> = BTreeMap::new();
        for ((number, _), executions) in &self.executions {
            if self.idempotency.get(number) == Some(&Idempotency::Keyed) {
                *launches.entry(*number).or_default() += executions.started;
            }
        }
        launches.into_iter().filter(|(_, started)| *started > 1).map(|(number, _)| number).collect()
    }

    /// Returns every launch of a keyed request as request number and process.
    pub fn keyed_launches(&self) -> impl Iterator<Item = (u64, ProcessId)> + '_ {
        let keyed = |number: &u64| self.idempotency.get(number) == Some(&Idempotency::Keyed);
        let executions = self.executions.iter().filter(move |((number, _), _)| keyed(number));
        executions.flat_map(|(key, executions)| std::iter::repeat_n(*key, executions.started as usize))
    }

    /// Returns whether any execution of the request has succeeded.
    pub fn succeeded(&self, number: u64) -> bool {
        let processes = (number, (0, 0))..=(number, (usize::MAX, u32::MAX));
        self.executions.range(processes).any(|(_, executions)| executions.succeeded > 0)
    }

    /// Returns the number of executions started, of all requests together.
    pub fn executions(&self) -> u64 {
        self.executions.values().map(|executions| u64::from(executions.started)).sum()
    }
}

#[cfg(test)]
mod tests;
