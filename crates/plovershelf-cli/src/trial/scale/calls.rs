//! Real backends beside the hollow members: many callers that mostly rest, each with a connection that stays, and a light
//! load by which it is measured what a backend adds to a request.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use plovershelf_simulation::statistics::Spread;
use plovershelf_testkit::basic_client::BasicClient;
use plovershelf_testkit::fleet::{Fleet, FleetConfig};
use plovershelf_testkit::{cores, dependency, Clock, Executor};
use serde_json::json;

use super::super::Ground;
use super::processes::{Mode, REAL};
use crate::load::{self, Asker, End};

const CORES: f64 = 4.0;
/// Calls a second to each backend: a quarter of what one has at the peak.
const RATE: f64 = 57.0;
/// Connections that a caller opens go out one by one, so far apart.
const OPENING: Duration = Duration::from_micros(500);

/// So many tenants; the ones that the load is for stand behind all others, as most do.
pub fn tenants(count: usize) -> Vec<String> {
    let others = (0..count.saturating_sub(load::TENANTS.len())).map(|n| format!("t{n:05}"));
    others.chain(load::TENANTS.map(str::to_string)).collect()
}

/// What a load came to.
#[derive(Default)]
pub struct Added {
    /// From when a caller asked until it had the answer, less the time of the run by the agent's own clock.
    pub ms: Spread,
    pub rules_broken: u64,
}

impl Added {
    pub fn at_99(&self) -> Option<f64> {
        self.ms.at(0.99)
    }
}

pub struct Real {
    pub fleet: Fleet,
    askers: Vec<Asker>,
    /// Invocations are numbered on from one load to the next.
    numbered: u64,
}

impl Real {
    /// Starts the backends, with so many tenants and callers told; no group yet.
    pub async fn start(
        ground: &Ground,
        clock: Clock,
        callers: usize,
        tenants: usize,
    ) -> Result<Self, String> {
        let share = 40.0;
        let mut settings = load::settings(CORES, REAL, callers, share, 8.0);
        let quota = |name: String| json!({"name": name, "quota_per_s": 1.0e6, "share": 0.5});
        settings["tenants"] = self::tenants(tenants).into_iter().map(quota).collect();
        let each = callers.div_ceil(REAL);
        let plan = FleetConfig {
            program: ground.program.clone(),
            backends: REAL,
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
            logs: ground.logs.clone(),
            pools: None,
            cluster: None,
            peer_paths: false,
        };
        let executor = &ground.executor;
        let fleet =
            Fleet::start(executor, clock, &plan).map_err(|error| format!("starting backends: {error}"))?;
        let addresses = fleet.addresses();
        let asker = |n: usize| Asker::Basic(BasicClient::new(executor, &[addresses[n % REAL]], n as u32));
        let mut real = Real { askers: (0..callers.max(REAL)).map(asker).collect(), fleet, numbered: 0 };
        real.open(executor, clock).await?;
        Ok(real)
    }

    /// Ends them and starts them again as members of a group, told by these files.
    pub async fn join(
        &mut self,
        executor: &Executor,
        clock: Clock,
        mode: Mode,
        files: Vec<PathBuf>,
    ) -> Result<(), String> {
        for (backend, file) in self.fleet.backends.iter_mut().zip(files) {
            let again = |error: std::io::Error| format!("starting a backend again: {error}");
            backend.kill().map_err(again)?;
            match mode {
                Mode::Group => backend.set_cluster_file(Some(file)),
                Mode::Changes => backend.set_config_distribution_file(Some(file)),
            }
            backend.start().map_err(again)?;
        }
        self.open(executor, clock).await
    }

    /// Has each caller connect, by one small call.
    async fn open(&mut self, executor: &Executor, clock: Clock) -> Result<(), String> {
        if !self.fleet.up(clock, 15_000.0).await {
            return Err("the backends did not come up within 15 s".into());
        }
        let planned = self.planned(1, 1.0, |_| 0.0, self.askers.len());
        self.load(executor, clock, planned).await;
        Ok(())
    }

    /// A schedule of calls that go to nobody further; `firsts` of them come first, one a caller, with hardly any work.
    fn planned(
        &mut self,
        seed: u64,
        span_ms: f64,
        rate: impl Fn(f64) -> f64,
        firsts: usize,
    ) -> Rc<Vec<load::Planned>> {
        let mut planned = load::schedule(seed, self.askers.len(), span_ms, |at| rate(at).max(0.01));
        if firsts > 0 {
            let step_ms = OPENING.as_secs_f64() * 1000.0;
            let work = |work_ms| plovershelf_testkit::work::WorkSpec {
                number: 0,
                work_ms,
                outbound_calls: 0,
                idempotency: load::OFFERINGS[0].effect,
            };
            let first = |client: usize| load::Planned {
                at_ms: client as f64 * step_ms,
                client,
                offering: 0,
                tenant: 0,
                rank: 0.9,
                work: work(0.2),
            };
            planned = (0..firsts).map(first).collect();
        }
        for one in &mut planned {
            self.numbered += 1;
            (one.work.number, one.work.outbound_calls) = (self.numbered, 0);
        }
        Rc::new(planned)
    }

    async fn load(&self, executor: &Executor, clock: Clock, planned: Rc<Vec<load::Planned>>) -> Added {
        let results = load::Results::default();
        load::play(executor, clock, &planned, &self.askers, &results, 2000.0).await;
        let results = results.borrow();
        let sum = load::sum(&planned, &results);
        let mut added = Added { rules_broken: (sum.wrong + sum.with_two) as u64, ..Added::default() };
        let effects = self.fleet.effects.borrow();
        for (one, ends) in planned.iter().zip(results.iter()) {
            let Some(took) = effects.execution_ms.get(&one.work.number) else { continue };
            let well = ends.iter().find(|end| end.end == End::Succeeded);
            well.into_iter().for_each(|end| added.ms.put(end.took_ms - took));
        }
        added
    }

    /// A light load for so long.
    pub async fn light(&mut self, executor: &Executor, clock: Clock, seed: u64, span_ms: f64) -> Added {
        let planned = self.planned(seed, span_ms, |_| RATE * REAL as f64, 0);
        self.load(executor, clock, planned).await
    }

    pub fn ids(&self) -> Vec<u32> {
        self.fleet.backends.iter().filter_map(|backend| backend.process_id()).collect()
    }

    /// What broke one of the rules so far, besides what the loads told.
    pub fn rules_broken(&mut self) -> u64 {
        let effects = self.fleet.effects.borrow();
        let broken = effects.repeated_executions().len() as u64
            + effects.launched_after_drain
            + effects.unexpected_commands;
        drop(effects);
        broken + self.fleet.backends.iter_mut().filter_map(|backend| backend.poll_exit()).count() as u64
    }
}
