//! Model of processor cores that running tasks share evenly. A new process has a slow start, and throughput falls once
//! concurrency exceeds the number of tasks that the cores sustain.

use std::collections::BTreeMap;

/// Longest step of the model; concurrency and speed are taken as constant within a step.
const MAX_STEP_MS: f64 = 50.0;
/// Shortest step of the model and shortest task.
const MIN_STEP_MS: f64 = 0.001;
/// Remaining work at or below which a task is complete.
const COMPLETION_EPSILON_MS: f64 = 1e-6;

/// Capacity of a set of cores.
#[derive(Clone, Copy, Debug)]
pub struct CoresConfig {
    /// Number of cores.
    pub cores: f64,
    /// Running tasks per core beyond which throughput falls.
    pub overload_factor: f64,
    /// Speed of a new process, as a fraction of full speed.
    pub initial_speed: f64,
    /// Time that a new process takes to reach full speed.
    pub slow_start_ms: f64,
}

/// Cores of one process, with the tasks that run on them by key.
#[derive(Debug)]
pub struct Cores<K> {
    config: CoresConfig,
    started_ms: f64,
    now_ms: f64,
    /// Factor by which the speed of all tasks is multiplied, to simulate a slow machine.
    pub speed_factor: f64,
    remaining_ms: BTreeMap<K, f64>,
    busy_ms: f64,
}

impl<K: Copy + Ord> Cores<K> {
    /// Creates the idle cores of a process that starts at `now_ms`.
    pub fn new(config: CoresConfig, now_ms: f64) -> Self {
        let remaining_ms = BTreeMap::new();
        Cores { config, started_ms: now_ms, now_ms, speed_factor: 1.0, remaining_ms, busy_ms: 0.0 }
    }

    /// Starts a task of `work_ms` of work.
    pub fn start(&mut self, key: K, work_ms: f64) {
        self.remaining_ms.insert(key, work_ms.max(MIN_STEP_MS));
    }

    /// Cancels a task; returns false if no such task runs.
    pub fn cancel(&mut self, key: &K) -> bool {
        self.remaining_ms.remove(key).is_some()
    }

    /// Advances the model to `now_ms`; returns the tasks that have completed.
    pub fn advance(&mut self, now_ms: f64) -> Vec<K> {
        let mut completed = Vec::new();
        while self.now_ms < now_ms {
            let rate = self.rate(self.now_ms);
            let min_remaining_ms = self.min_remaining_ms();
            let step_ms = if rate > 0.0 {
                (min_remaining_ms / rate).clamp(MIN_STEP_MS, MAX_STEP_MS)
            } else {
                MAX_STEP_MS
            };
            let step_ms = step_ms.min(now_ms - self.now_ms);
            self.busy_ms += (self.remaining_ms.len() as f64 / self.config.cores).min(1.0) * step_ms;
            self.remaining_ms.values_mut().for_each(|remaining| *remaining -= rate * step_ms);
            self.now_ms += step_ms;
            let done = self.remaining_ms.iter().filter(|(_, remaining)| **remaining <= COMPLETION_EPSILON_MS);
            completed.extend(done.map(|(key, _)| *key));
            self.remaining_ms.retain(|_, remaining| *remaining > COMPLETION_EPSILON_MS);
        }
        completed
    }

    /// Returns the time at which to advance the model next: the predicted next completion, at most one step ahead.
    pub fn next_completion_ms(&self) -> Option<f64> {
        let min_remaining_ms = self.min_remaining_ms();
        let rate = self.rate(self.now_ms);
        (rate > 0.0).then(|| self.now_ms + (min_remaining_ms / rate).min(MAX_STEP_MS))
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.remaining_ms.len()
    }

    /// Returns the number of running tasks beyond which throughput falls; it grows during the slow start.
    pub fn sustained_concurrency(&self, now_ms: f64) -> f64 {
        self.config.cores * (1.0 + (self.config.overload_factor - 1.0) * self.speed(now_ms))
    }

    /// Returns the accumulated busy time in milliseconds, averaged over the cores.
    pub fn busy_ms(&self) -> f64 {
        self.busy_ms
    }

    fn min_remaining_ms(&self) -> f64 {
        self.remaining_ms.values().copied().fold(f64::INFINITY, f64::min)
    }

    fn speed(&self, now_ms: f64) -> f64 {
        let CoresConfig { initial_speed, slow_start_ms, .. } = self.config;
        let progress = ((now_ms - self.started_ms) / slow_start_ms.max(1.0)).clamp(0.0, 1.0);
        initial_speed + (1.0 - initial_speed) * progress
    }

    /// Returns the progress of each task, in milliseconds of work per millisecond.
    fn rate(&self, now_ms: f64) -> f64 {
        let running = self.remaining_ms.len() as f64;
        if running == 0.0 {
            return 0.0;
        }
        let CoresConfig { cores, overload_factor, .. } = self.config;
        let speed = self.speed(now_ms);
        let core_share = (cores / running).min(1.0);
        self.speed_factor * speed * core_share * (overload_factor * cores / running).min(1.0)
    }
}

#[cfg(test)]
mod tests;
