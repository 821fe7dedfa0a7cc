//! Compares the three concurrency limit algorithms under the same demand: `cargo run --release --example compare`. Each row
//! is the mean over seeds 1 to 5, for 16 servers that share the work and lose throughput above 64 units in flight.

use plovershelf_bulkhead::{ConcurrencyLimit, LimitAlgorithm, LimitBounds, WorkOutcome, WorkSample};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;

const SERVERS: f64 = 16.0;
/// Work in flight above which throughput falls.
const OVERLOAD_IN_FLIGHT: f64 = 64.0;
const WORK_MS: f64 = 20.0;
const LATENCY_OBJECTIVE_MS: f64 = 200.0;
const STEP_MS: f64 = 0.5;
const DURATION_MS: f64 = 40_000.0;
const DISTURBANCE_MS: std::ops::Range<f64> = 15_000.0..25_000.0;
/// Period without disturbance over which the variation of the limit is measured.
const UNDISTURBED_MS: std::ops::Range<f64> = 5_000.0..15_000.0;
const BOUNDS: LimitBounds = LimitBounds { min: 4.0, max: 200.0 };
const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

/// Scenario of demand. The factors apply during the disturbance.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// Fraction of the servers' capacity.
    demand: f64,
    /// Standard deviation of the logarithm of a unit's work.
    spread: f64,
    work_factor: f64,
    slowdown: f64,
    /// Slowdown that does not depend on the work in flight.
    independent_slowdown: f64,
}

const STEADY: Scenario = Scenario {
    name: "steady",
    demand: 0.8,
    spread: 0.5,
    work_factor: 1.0,
    slowdown: 1.0,
    independent_slowdown: 1.0,
};
const SCENARIOS: [Scenario; 6] = [
    STEADY,
    Scenario { name: "overload", demand: 1.5, ..STEADY },
    Scenario { name: "costly burst", work_factor: 4.0, ..STEADY },
    Scenario { name: "slowdown of all", slowdown: 3.0, ..STEADY },
    Scenario { name: "slow by itself", independent_slowdown: 6.0, ..STEADY },
    Scenario { name: "long tail", spread: 1.4, ..STEADY },
];

struct Work {
    work_left_ms: f64,
    delay_left_ms: f64,
    started_ms: f64,
}

struct Outcome {
    in_time_fraction: f64,
    mean_ms: f64,
    max_in_flight: f64,
    limit_variation: f64,
}

struct Simulation {
    scenario: Scenario,
    random: Pcg64,
    spread: LogNormal<f64>,
    limit: ConcurrencyLimit,
    now_ms: f64,
    in_flight: Vec<Work>,
    max_in_flight: usize,
    arrived: f64,
    ended: f64,
    in_time: f64,
    total_duration_ms: f64,
    undisturbed_limits: Vec<f64>,
}

impl Simulation {
    fn new(algorithm: LimitAlgorithm, scenario: Scenario, seed: u64) -> Self {
        let spread = LogNormal::new(-scenario.spread * scenario.spread / 2.0, scenario.spread)
            .expect("a valid standard deviation");
        Simulation {
            scenario,
            random: Pcg64::seed_from_u64(seed),
            spread,
            limit: ConcurrencyLimit::new(algorithm, BOUNDS, SERVERS),
            now_ms: 0.0,
            in_flight: Vec::new(),
            max_in_flight: 0,
            arrived: 0.0,
            ended: 0.0,
            in_time: 0.0,
            total_duration_ms: 0.0,
            undisturbed_limits: Vec::new(),
        }
    }

    fn run(mut self) -> Outcome {
        while self.now_ms < DURATION_MS {
            self.now_ms += STEP_MS;
            let is_disturbed = DISTURBANCE_MS.contains(&self.now_ms);
            let active = if is_disturbed { self.scenario } else { STEADY };
            self.arrive(active);
            self.max_in_flight = self.max_in_flight.max(self.in_flight.len());
            self.work(active);
            self.end();
            if UNDISTURBED_MS.contains(&self.now_ms) {
                self.undisturbed_limits.push(self.limit.limit());
            }
        }
        self.outcome()
    }

    /// Adds an arrival; one above the limit is rejected at once.
    fn arrive(&mut self, active: Scenario) {
        if self.random.random::<f64>() >= self.scenario.demand * SERVERS / WORK_MS * STEP_MS {
            return;
        }
        self.arrived += 1.0;
        if (self.in_flight.len() as f64) < self.limit.limit().floor() {
            self.in_flight.push(Work {
                work_left_ms: WORK_MS * active.work_factor * self.spread.sample(&mut self.random),
                delay_left_ms: WORK_MS * (active.independent_slowdown - 1.0),
                started_ms: self.now_ms,
            });
        }
    }

    fn work(&mut self, active: Scenario) {
        let count = self.in_flight.len().max(1) as f64;
        let rate = (SERVERS / count).min(1.0) * (OVERLOAD_IN_FLIGHT / count).min(1.0) / active.slowdown;
        for work in &mut self.in_flight {
            if work.work_left_ms > 0.0 {
                work.work_left_ms -= rate * STEP_MS;
            } else {
                work.delay_left_ms -= STEP_MS;
            }
        }
    }

    fn end(&mut self) {
        let in_flight = self.in_flight.len();
        let now_ms = self.now_ms;
        for work in
            self.in_flight.extract_if(.., |work| work.work_left_ms <= 0.0 && work.delay_left_ms <= 0.0)
        {
            let duration_ms = now_ms - work.started_ms;
            self.limit.record(WorkSample { now_ms, duration_ms, in_flight, outcome: WorkOutcome::Succeeded });
            self.ended += 1.0;
            self.total_duration_ms = self.total_duration_ms + now_ms - work.started_ms;
            self.in_time += f64::from(u8::from(duration_ms <= LATENCY_OBJECTIVE_MS));
        }
    }

    fn outcome(&self) -> Outcome {
        let count = self.undisturbed_limits.len() as f64;
        let mean = self.undisturbed_limits.iter().sum::<f64>() / count;
        let variance =
            self.undisturbed_limits.iter().map(|limit| (limit - mean) * (limit - mean)).sum::<f64>() / count;
        Outcome {
            in_time_fraction: self.in_time / self.arrived,
            mean_ms: self.total_duration_ms / self.ended.max(1.0),
            max_in_flight: self.max_in_flight as f64,
            limit_variation: variance.sqrt() / mean,
        }
    }
}

/// Algorithms by the names in the output, which stay fixed so that outputs remain comparable.
const ALGORITHMS: [(&str, LimitAlgorithm); 3] = [
    ("Additive", LimitAlgorithm::Aimd),
    ("Gradient", LimitAlgorithm::Gradient),
    ("Standing", LimitAlgorithm::DelayTarget),
];

fn main() {
    println!("{:18} {:10} {:>10} {:>9} {:>8} {:>7}", "shape", "way", "in time", "mean ms", "most", "swing");
    for scenario in SCENARIOS {
        for (name, algorithm) in ALGORITHMS {
            let outcomes: Vec<Outcome> =
                SEEDS.map(|seed| Simulation::new(algorithm, scenario, seed).run()).collect();
            let mean = |metric: fn(&Outcome) -> f64| {
                outcomes.iter().map(metric).sum::<f64>() / outcomes.len() as f64
            };
            println!(
                "{:18} {:10} {:>10.3} {:>9.1} {:>8.1} {:>7.3}",
                scenario.name,
                name,
                mean(|outcome| outcome.in_time_fraction),
                mean(|outcome| outcome.mean_ms),
                mean(|outcome| outcome.max_in_flight),
                mean(|outcome| outcome.limit_variation),
            );
        }
    }
}
