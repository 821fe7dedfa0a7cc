//! The ledger of effects: what the test peers observed, by which a trial judges.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use plovershelf_codec::AttemptId;

use crate::work::{Idempotency, WorkSpec};

/// One process: its backend's index, and how often that backend was started.
pub type ProcessId = (usize, u32);

/// Executions of one request in one process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Executions {
    started: u32,
    succeeded: u32,
}

/// Observations of all peers of a trial.
#[derive(Debug, Default)]
pub struct EffectLedger {
    /// Executions of each request, by the process that had them.
    executions: BTreeMap<(u64, ProcessId), Executions>,
    idempotency: BTreeMap<u64, Idempotency>,
    /// Times at which each attempt was launched, by the trial's clock.
    pub launched: BTreeMap<AttemptId, Vec<f64>>,
    /// Launches after a backend's drain deadline.
    pub launched_after_drain: u64,
    /// Commands that no backend should send.
    pub unexpected_commands: u64,
    /// Highest concurrency of a backend, as a fraction of the concurrency that it sustains.
    pub peak_overload: f64,
    /// Processor time spent, in milliseconds.
    pub work_done_ms: f64,
    /// Duration of each request's last execution by the agent's clock.
    pub execution_ms: BTreeMap<u64, f64>,
    /// Times that the dependency went down.
    pub dependency_outages: u64,
    /// Most calls in flight at the dependency.
    pub peak_dependency_calls: usize,
    /// Calls that reached the dependency.
    pub calls: u64,
}

/// The ledger as all peers hold it.
pub type SharedLedger = Rc<RefCell<EffectLedger>>;

impl EffectLedger {
    /// An empty ledger to hand to the peers.
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

    /// Requests that may take effect once and were executed more often: keyed ones within one process,
    /// non-idempotent ones anywhere.
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

    /// Keyed requests that were launched more than once, in whichever process.
    pub fn repeated_keyed_launches(&self) -> Vec<u64> {
        let mut launches: BTreeMap<u64, u32> = BTreeMap::new();
        for ((number, _), executions) in &self.executions {
            if self.idempotency.get(number) == Some(&Idempotency::Keyed) {
                *launches.entry(*number).or_default() += executions.started;
            }
        }
        launches.into_iter().filter(|(_, started)| *started > 1).map(|(number, _)| number).collect()
    }

    /// All launches of keyed requests, with the process that had them.
    pub fn keyed_launches(&self) -> impl Iterator<Item = (u64, ProcessId)> + '_ {
        let keyed = |number: &u64| self.idempotency.get(number) == Some(&Idempotency::Keyed);
        let executions = self.executions.iter().filter(move |((number, _), _)| keyed(number));
        executions.flat_map(|(key, executions)| std::iter::repeat_n(*key, executions.started as usize))
    }

    /// Has any execution of the request succeeded?
    pub fn succeeded(&self, number: u64) -> bool {
        let processes = (number, (0, 0))..=(number, (usize::MAX, u32::MAX));
        self.executions.range(processes).any(|(_, executions)| executions.succeeded > 0)
    }

    /// Executions started in all.
    pub fn executions(&self) -> u64 {
        self.executions.values().map(|executions| u64::from(executions.started)).sum()
    }
}

#[cfg(test)]
mod tests;
