//! What the cores are doing, from the gauges of the process.
//!
//! *Decides*: how much core time each execution gets, and whether other work crowds the executions out.
//! *Inputs*: core utilization (fraction), runnable tasks, executions on the cores, elapsed time (ms).
//! *Rule*: each execution gets an even share of the cores, one core at most, or the part of executions that
//! was runnable of late, whichever is less; more than [`MAX_COMPETING_TASKS_PER_CORE`] other runnable tasks are contention.
//! *Why*: a backend does not see the time slices of its executions, only gauges once a period; executions
//! that wait for disk take no core time.
//! *Source*: `docs/design.md`, "Departures": load as defined there leaves out reading requests.
//! *Without it*: the service time of a request would include its waits, and a fleet that is crowded by new
//! connections would take the requests that it gives up for faults of its own.

use crate::admission::statistics::{Smoothed, PERIOD_WEIGHT};

/// Other runnable tasks a core from which on the executions are crowded out.
const MAX_COMPETING_TASKS_PER_CORE: f64 = 2.0;

/// Whether reading requests and accepting connections compete with executions for the cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Contention {
    Normal,
    Crowded,
}

/// Readings of the process's gauges, and the core time that one execution had so far.
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

    /// Time passed with so many executions on the cores.
    pub(super) fn advance(&mut self, elapsed_ms: f64, running: usize) {
        let share = self.cores / running.max(1) as f64;
        self.execution_clock_ms += elapsed_ms * share.min(self.runnable_fraction.value());
    }

    /// A reading of the part of the cores that was busy, where there is one.
    pub(super) fn update_utilization(&mut self, utilization: Option<f64>) {
        self.utilization = utilization.unwrap_or(self.utilization);
    }

    /// A period's reading of runnable tasks, where there is one.
    pub(super) fn update_runnable(&mut self, runnable: Option<f64>, running: usize) {
        let (Some(runnable), running) = (runnable, running as f64) else { return };
        let fraction =
            if running > 0.0 { (runnable / running).min(1.0) } else { self.runnable_fraction.value() };
        self.runnable_fraction.update(fraction, PERIOD_WEIGHT);
        self.competing_tasks.update((runnable - running).max(0.0), PERIOD_WEIGHT);
    }

    /// Part of the cores that was busy when last read.
    pub(super) fn utilization(&self) -> f64 {
        self.utilization
    }

    pub(super) fn contention(&self) -> Contention {
        if self.competing_tasks.value() > MAX_COMPETING_TASKS_PER_CORE * self.cores {
            Contention::Crowded
        } else {
            Contention::Normal
        }
    }

    /// Core time of an execution that had been on the cores from the start; the difference of two readings
    /// is what an execution had between them.
    pub(super) fn execution_clock_ms(&self) -> f64 {
        self.execution_clock_ms
    }
}

#[cfg(test)]
mod tests;
