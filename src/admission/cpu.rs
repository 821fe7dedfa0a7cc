//! Usage of the cores, measured by the gauges of the process.
//!
//! *Decides*: how much core time each execution gets, and whether other tasks compete with the executions.
//! *Inputs*: core utilization (fraction), runnable tasks, executions on the cores, elapsed time (ms).
//! *Rule*: each execution gets the least of an even share of the cores, one core, and the fraction of executions
//! that was recently runnable; more than [`MAX_COMPETING_TASKS_PER_CORE`] other runnable tasks are contention.
//! *Why*: a backend does not see the time slices of its executions, only gauges once a period; executions
//! that wait for disk take no core time.
//! *Source*: `docs/design.md`, "Departures": load as defined there leaves out reading requests.
//! *Without it*: the service time of a request would include its waits, and a server whose cores are taken by
//! new connections would count the executions that it cancels as its own failures.

use crate::admission::statistics::{Smoothed, PERIOD_WEIGHT};

/// Other runnable tasks per core above which the executions are short of core time.
const MAX_COMPETING_TASKS_PER_CORE: f64 = 2.0;

/// Contention for the cores between executions on the one side and reads and new connections on the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Contention {
    Normal,
    High,
}

/// Gauge readings of the process, and the accumulated core time of one execution.
pub(super) struct CpuUsage {
    cores: f64,
    utilization: f64,
    runnable_fraction: Smoothed,
    competing_tasks: Smoothed,
    execution_clock_ms: f64,
}

impl CpuUsage {
    pub(super) fn new(cores: f64) -> Self {
        CpuUsage {
            cores,
            utilization: 1.0,
            runnable_fraction: Smoothed::new(1.0),
            competing_tasks: Smoothed::new(0.0),
            execution_clock_ms: 0.0,
        }
    }

    /// Accounts for elapsed time during which `running` executions were on the cores.
    pub(super) fn advance(&mut self, elapsed_ms: f64, running: usize) {
        let share = self.cores / running.max(1) as f64;
        self.execution_clock_ms += elapsed_ms * share.min(self.runnable_fraction.value());
    }

    /// Stores a reading of the busy fraction of the cores; without a reading the last one remains.
    pub(super) fn update_utilization(&mut self, utilization: Option<f64>) {
        self.utilization = utilization.unwrap_or(self.utilization);
    }

    /// Records a period's reading of runnable tasks, if there is one.
    pub(super) fn update_runnable(&mut self, runnable: Option<f64>, running: usize) {
        let (Some(runnable), running) = (runnable, running as f64) else { return };
        let fraction =
            if running > 0.0 { (runnable / running).min(1.0) } else { self.runnable_fraction.value() };
        self.runnable_fraction.update(fraction, PERIOD_WEIGHT);
        self.competing_tasks.update((runnable - running).max(0.0), PERIOD_WEIGHT);
    }

    /// Returns the busy fraction of the cores at the last reading.
    pub(super) fn utilization(&self) -> f64 {
        self.utilization
    }

    pub(super) fn contention(&self) -> Contention {
        if self.competing_tasks.value() > MAX_COMPETING_TASKS_PER_CORE * self.cores {
            Contention::High
        } else {
            Contention::Normal
        }
    }

    /// Returns the core time of an execution that has been on the cores since the start. The difference of two
    /// readings is the core time of an execution between them.
    pub(super) fn execution_clock_ms(&self) -> f64 {
        self.execution_clock_ms
    }
}

#[cfg(test)]
mod tests;
