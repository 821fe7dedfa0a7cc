//! Real backends beside the hollow members. Many mostly idle callers keep a connection each; a light load measures the
//! latency that a backend adds to a request.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use plovershelf_simulation::statistics::SampleDistribution;
use plovershelf_testkit::basic_client::BasicClient;
use plovershelf_testkit::fleet::{Fleet, FleetConfig};
use plovershelf_testkit::{cores, dependency, Clock, Executor};
use serde_json::json;

use super::super::TrialContext;
use super::processes::{Mode, REAL_BACKENDS};
use crate::load::{self, CallOutcome, Caller};

const CORES: f64 = 4.0;
/// Calls a second to each backend: a quarter of its peak load.
const CALLS_PER_SECOND: f64 = 57.0;
/// Interval between the first calls of successive callers, each of which opens a connection.
const CONNECT_INTERVAL: Duration = Duration::from_micros(500);

/// Returns the names of `count` tenants. The tenants that the load uses come last, as most tenants have many others listed
/// before them.
pub fn tenants(count: usize) -> Vec<String> {
    let others = (0..count.saturating_sub(load::TENANTS.len())).map(|n| format!("t{n:05}"));
    others.chain(load::TENANTS.map(str::to_string)).collect()
}

/// Result of one load.
#[derive(Default)]
pub struct LoadResult {
    /// Time from the call to the response, less the execution time by the agent's clock, in milliseconds.
    pub added_ms: SampleDistribution,
    pub rules_broken: u64,
}

impl LoadResult {
    /// Returns the 99th percentile of the added latency in milliseconds.
    pub fn p99_ms(&self) -> Option<f64> {
        self.added_ms.at(0.99)
    }
}

/// The real backends of a run and their callers.
pub struct RealBackends {
    pub fleet: Fleet,
    callers: Vec<Caller>,
    /// Number of the latest call; numbers continue from one load to the next.
    last_number: u64,
}

impl RealBackends {
    /// Starts the backends without a group and connects the callers.
    pub async fn start(
        context: &TrialContext,
        clock: Clock,
        callers: usize,
        tenants: usize,
    ) -> Result<Self, String> {
        let share = 40.0;
        let mut settings = load::settings(CORES, REAL_BACKENDS, callers, share, 8.0);
        let quota = |name: String| json!({"name": name, "quota_per_s": 1.0e6, "share": 0.5});
        settings["tenants"] = self::tenants(tenants).into_iter().map(quota).collect();
        let each = callers.div_ceil(REAL_BACKENDS);
        let config = FleetConfig {
            program: context.program.clone(),
            backends: REAL_BACKENDS,
            cores: cores::CoresConfig {
                cores: CORES,
                overload_factor: 8.0,
                initial_speed: 1.0,
                slow_start_ms: 1.0,
            },
            dependency: dependency::DependencyConfig {
                call_ms: 12.0,
                slots: 96,
                max_in_flight: usize::MAX,
                outage_ms: 1.0,
            },
            settings,
            memory_mb: 192.0 + each as f64 / 8.0,
            sockets: (each * 3 / 2 + 1024).min(19_000) as u32,
            stop_ms: 2500.0,
            logs: context.logs.clone(),
            pools: None,
            cluster: None,
            peer_paths: false,
        };
        let executor = &context.executor;
        let fleet =
            Fleet::start(executor, clock, &config).map_err(|error| format!("starting backends: {error}"))?;
        let addresses = fleet.addresses();
        let caller =
            |n: usize| Caller::Basic(BasicClient::new(executor, &[addresses[n % REAL_BACKENDS]], n as u32));
        let callers = (0..callers.max(REAL_BACKENDS)).map(caller).collect();
        let mut real = RealBackends { callers, fleet, last_number: 0 };
        real.connect_callers(executor, clock).await?;
        Ok(real)
    }

    /// Kills the backends and restarts them as members of a group, with these configuration files.
    pub async fn join(
        &mut self,
        executor: &Executor,
        clock: Clock,
        mode: Mode,
        files: Vec<PathBuf>,
    ) -> Result<(), String> {
        for (backend, file) in self.fleet.backends.iter_mut().zip(files) {
            let failed = |error: std::io::Error| format!("restarting a backend: {error}");
            backend.kill().map_err(failed)?;
            match mode {
                Mode::Group => backend.set_cluster_file(Some(file)),
                Mode::ConfigDistribution => backend.set_config_distribution_file(Some(file)),
            }
            backend.start().map_err(failed)?;
        }
        self.connect_callers(executor, clock).await
    }

    /// Makes each caller open its connection with one small call.
    async fn connect_callers(&mut self, executor: &Executor, clock: Clock) -> Result<(), String> {
        if !self.fleet.wait_until_up(clock, 15_000.0).await {
            return Err("the backends did not come up within 15 s".into());
        }
        let planned = self.plan_calls(1, 1.0, |_| 0.0, self.callers.len());
        self.run_load(executor, clock, planned).await;
        Ok(())
    }

    /// Returns a schedule of calls without calls to the dependency. Where `connecting_calls` is not 0, the schedule consists
    /// of that many small calls instead, one from each caller.
    fn plan_calls(
        &mut self,
        seed: u64,
        span_ms: f64,
        rate: impl Fn(f64) -> f64,
        connecting_calls: usize,
    ) -> Rc<Vec<load::PlannedCall>> {
        let mut planned = load::schedule(seed, self.callers.len(), span_ms, |at| rate(at).max(0.01));
        if connecting_calls > 0 {
            let interval_ms = CONNECT_INTERVAL.as_secs_f64() * 1000.0;
            let work = |work_ms| plovershelf_testkit::work::WorkSpec {
                number: 0,
                work_ms,
                outbound_calls: 0,
                idempotency: load::CLASSES[0].idempotency,
            };
            let connecting_call = |client: usize| load::PlannedCall {
                at_ms: client as f64 * interval_ms,
                client,
                class: 0,
                tenant: 0,
                priority: 0.9,
                work: work(0.2),
            };
            planned = (0..connecting_calls).map(connecting_call).collect();
        }
        for call in &mut planned {
            self.last_number += 1;
            (call.work.number, call.work.outbound_calls) = (self.last_number, 0);
        }
        Rc::new(planned)
    }

    async fn run_load(
        &self,
        executor: &Executor,
        clock: Clock,
        planned: Rc<Vec<load::PlannedCall>>,
    ) -> LoadResult {
        let results = load::Results::default();
        load::play(executor, clock, &planned, &self.callers, &results, 2000.0).await;
        let results = results.borrow();
        let summary = load::summarize(&planned, &results);
        let rules_broken = (summary.wrong_result + summary.duplicate_results) as u64;
        let mut load_result = LoadResult { rules_broken, ..LoadResult::default() };
        let effects = self.fleet.effects.borrow();
        for (call, results) in planned.iter().zip(results.iter()) {
            let Some(execution_ms) = effects.execution_ms.get(&call.work.number) else { continue };
            let succeeded = results.iter().find(|result| result.outcome == CallOutcome::Succeeded);
            succeeded.into_iter().for_each(|result| load_result.added_ms.put(result.took_ms - execution_ms));
        }
        load_result
    }

    /// Runs a light load for `span_ms`.
    pub async fn run_light_load(
        &mut self,
        executor: &Executor,
        clock: Clock,
        seed: u64,
        span_ms: f64,
    ) -> LoadResult {
        let planned = self.plan_calls(seed, span_ms, |_| CALLS_PER_SECOND * REAL_BACKENDS as f64, 0);
        self.run_load(executor, clock, planned).await
    }

    /// Returns the process ids of the backends.
    pub fn ids(&self) -> Vec<u32> {
        self.fleet.backends.iter().filter_map(|backend| backend.process_id()).collect()
    }

    /// Returns how many rule violations the fleet has recorded so far, besides those in the load results: repeated
    /// executions, launches after a drain notice, unexpected commands and crashed backends.
    pub fn rules_broken(&mut self) -> u64 {
        let effects = self.fleet.effects.borrow();
        let broken = effects.repeated_executions().len() as u64
            + effects.launched_after_drain
            + effects.unexpected_commands;
        drop(effects);
        broken + self.fleet.backends.iter_mut().filter_map(|backend| backend.poll_exit()).count() as u64
    }
}
