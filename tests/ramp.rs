//! Cold backends with any number of clients, and any number of backends with a shared dependency: the admitted work
//! and the announced backpressure levels must stay within the budget in total, by the admission decisions alone. The
//! budget is that of the settings; up to 2 √N + 2 above a budget of N are random variation.

use std::collections::BTreeMap;

use plovershelf::api::{
    BackendConfig, BackpressureSignal, CallOutcome, Cancellation, ClassConfig, Effects, Gauges, Idempotency,
    Request, RequestState, RunOutcome, Timer, Transition,
};
use plovershelf::Backend;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const CORES: f64 = 6.0;
const COLD_SPEED_FRACTION: f64 = 0.2;
const WARM_UP_MS: f64 = 12_000.0;
const OVERLOAD_MULTIPLE: f64 = 8.0;
/// Time over which executions on the cores are averaged, in milliseconds.
const OVERLOAD_WINDOW_MS: usize = 2000;
/// Time for which the dependency continues to process an abandoned call, in milliseconds.
const LINGER_MS: f64 = 200.0;

fn config(
    seed: u64,
    client_count: usize,
    backpressure: BackpressureSignal,
    dependency_share: Option<f64>,
) -> BackendConfig {
    let class = ClassConfig {
        latency_objective_ms: 1800.0,
        objective_per_work: 0.0,
        timeout_ms: 4500.0,
        deduplication_window_ms: 0.0,
        idempotency: Idempotency::Idempotent,
        value: 1.0,
        late_value_fraction: 0.0,
        skipped_call_value_fraction: 0.0,
    };
    BackendConfig {
        seed,
        classes: vec![class.clone(), ClassConfig { value: 5.0, ..class }],
        tenant_quotas_per_s: vec![],
        cores: CORES,
        memory_kb: 1e6,
        running_memory_factor: 4.0,
        deduplication_entry_kb: 1.0,
        dependency_share,
        abandoned_call_linger_ms: LINGER_MS,
        cancellation: Cancellation::Abort,
        backpressure,
        discovery_follows_health: false,
        fleet_size: 1.0,
        client_count: client_count as f64,
        retries_marked: false,
        cold_start: true,
        cold_speed_fraction: COLD_SPEED_FRACTION,
        warm_up_ms: WARM_UP_MS,
        overload_multiple: OVERLOAD_MULTIPLE,
        drain_grace_ms: 500.0,
        max_idle_ms: 30_000.0,
        max_retry_after_ms: 1000.0,
        shared_response_ms: 0.0,
    }
}

fn request(id: u32, now_ms: f64, class: usize) -> Request {
    Request {
        id,
        class,
        tenant: 0,
        key: 0,
        deadline_ms: Some(now_ms + 4500.0),
        work_hint_ms: None,
        memory_kb: 10.0,
        marked_retry: false,
        writes: false,
        unread_ms: 0.0,
        duplicate_of: None,
    }
}

/// Returns the random variation allowed above a budget.
fn random_variation(budget: f64) -> f64 {
    2.0 * budget.sqrt() + 2.0
}

/// An execution, with its remaining core time and the remaining core time at which it needs its next call.
struct Execution {
    remaining_ms: f64,
    next_call_at_ms: f64,
}

/// Value of `next_call_at_ms` if no call is needed any more.
const NO_CALL: f64 = -1.0;
/// Value of `next_call_at_ms` while a call is pending.
const CALL_PENDING: f64 = f64::MAX;

/// A backend with a simulated host: cores that warm up and are shared evenly, and calls of random duration and outcome.
struct SimulatedHost {
    backend: Backend,
    random: Pcg32,
    executions: BTreeMap<u32, Execution>,
    /// End time and outcome of each call.
    calls: BTreeMap<u32, (f64, CallOutcome)>,
    /// Times at which the dependency stops processing calls that were abandoned on this side.
    lingering_until_ms: Vec<f64>,
    cancelled: Vec<u32>,
    /// Number of requests without a final response.
    unanswered: usize,
    periodic_timers_ms: Vec<f64>,
    backpressure_level: Option<f64>,
    last_id: u32,
    work_ms: f64,
    makes_calls: bool,
    lost_call_fraction: f64,
}

impl SimulatedHost {
    fn new(config: BackendConfig, work_ms: f64, lost_call_fraction: f64) -> Self {
        let (random, makes_calls) = (Pcg32::seed_from_u64(config.seed), config.dependency_share.is_some());
        let (backend, effects) = Backend::start(0.0, config);
        let mut host = SimulatedHost {
            backend,
            random,
            executions: BTreeMap::new(),
            calls: BTreeMap::new(),
            lingering_until_ms: Vec::new(),
            cancelled: Vec::new(),
            unanswered: 0,
            periodic_timers_ms: Vec::new(),
            backpressure_level: None,
            last_id: 0,
            work_ms,
            makes_calls,
            lost_call_fraction,
        };
        host.apply(0.0, effects);
        host
    }

    fn apply(&mut self, now_ms: f64, effects: Effects) {
        for transition in effects.transitions {
            self.apply_transition(now_ms, transition);
        }
        self.backpressure_level = effects.announcements.backpressure.or(self.backpressure_level);
        let timers = effects.announcements.timers.iter().filter(|(_, timer)| *timer == Timer::Periodic);
        self.periodic_timers_ms.extend(timers.map(|(wait_ms, _)| now_ms + wait_ms));
    }

    fn apply_transition(&mut self, now_ms: f64, Transition { id, from, to, .. }: Transition) {
        match (from, to) {
            (None, RequestState::Queued) => self.unanswered += 1,
            (Some(RequestState::Queued), RequestState::Running) => {
                let remaining_ms = self.work_ms * self.random.random_range(0.2..1.8);
                let next_call_at_ms = if self.makes_calls {
                    remaining_ms * self.random.random_range(0.0..1.0)
                } else {
                    NO_CALL
                };
                self.executions.insert(id, Execution { remaining_ms, next_call_at_ms });
            }
            (_, RequestState::Calling { .. }) => {
                let took_ms = self.random.random_range(20.0..300.0);
                let is_lost = self.random.random::<f64>() < self.lost_call_fraction;
                let outcome = if is_lost { CallOutcome::ConnectionLost } else { CallOutcome::Completed };
                self.calls.insert(id, (now_ms + took_ms, outcome));
            }
            (Some(before), RequestState::Completed(_) | RequestState::Answered { .. }) => {
                self.unanswered -= usize::from(!matches!(before, RequestState::Answered { .. }));
                if self.calls.remove(&id).is_some() {
                    self.lingering_until_ms.push(now_ms + LINGER_MS);
                }
                if matches!(to, RequestState::Completed(_)) {
                    self.executions.remove(&id);
                } else {
                    self.cancelled.push(id);
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, now_ms: f64, class: usize) {
        self.last_id += 1;
        let effects = self.backend.handle_request(now_ms, request(self.last_id, now_ms, class));
        self.apply(now_ms, effects);
    }

    /// Advances by one millisecond. Returns the executions on the cores and the calls at the dependency.
    fn advance(&mut self, now_ms: f64) -> (usize, usize) {
        let running = self.run_cores(now_ms);
        for id in std::mem::take(&mut self.cancelled) {
            let effects = self.backend.handle_run_ended(now_ms, id, RunOutcome::Cancelled);
            self.apply(now_ms, effects);
        }
        self.end_calls(now_ms);
        self.lingering_until_ms.retain(|until_ms| *until_ms > now_ms);
        self.fire_timers(now_ms, running);
        (running, self.calls.len() + self.lingering_until_ms.len())
    }

    fn run_cores(&mut self, now_ms: f64) -> usize {
        let on_cores =
            self.executions.iter().filter(|(_, execution)| execution.next_call_at_ms < CALL_PENDING);
        let on_cores: Vec<u32> = on_cores.map(|(id, _)| *id).collect();
        let speed = COLD_SPEED_FRACTION + (1.0 - COLD_SPEED_FRACTION) * (now_ms / WARM_UP_MS).min(1.0);
        let each_ms = speed * (CORES / on_cores.len().max(1) as f64).min(1.0);
        for id in &on_cores {
            let Some(execution) = self.executions.get_mut(id) else { continue };
            execution.remaining_ms -= each_ms;
            if execution.remaining_ms <= execution.next_call_at_ms {
                // The execution takes no core until its call has ended.
                execution.next_call_at_ms = CALL_PENDING;
                let effects = self.backend.handle_call_requested(now_ms, *id);
                self.apply(now_ms, effects);
            } else if execution.remaining_ms <= 0.0 {
                let effects = self.backend.handle_run_ended(now_ms, *id, RunOutcome::Completed);
                self.apply(now_ms, effects);
            }
        }
        on_cores.len()
    }

    fn end_calls(&mut self, now_ms: f64) {
        let ended = self.calls.iter().filter(|(_, (end_ms, _))| *end_ms <= now_ms);
        let ended: Vec<(u32, CallOutcome)> = ended.map(|(id, (_, outcome))| (*id, *outcome)).collect();
        for (id, outcome) in ended {
            self.calls.remove(&id);
            if outcome == CallOutcome::Completed {
                self.executions.entry(id).and_modify(|execution| execution.next_call_at_ms = NO_CALL);
            } else {
                // The connection was closed, but the dependency continues to process the call for a while.
                self.lingering_until_ms.push(now_ms + LINGER_MS);
            }
            let effects = self.backend.handle_call_ended(now_ms, id, outcome);
            self.apply(now_ms, effects);
        }
    }

    fn fire_timers(&mut self, now_ms: f64, running: usize) {
        while let Some(index) = self.periodic_timers_ms.iter().position(|at_ms| *at_ms <= now_ms) {
            self.periodic_timers_ms.swap_remove(index);
            let gauges = Gauges {
                cores_busy: Some((running as f64 / CORES).min(1.0)),
                runnable: Some(running as f64),
            };
            let effects = self.backend.handle_timeout(now_ms, Timer::Periodic, gauges);
            self.apply(now_ms, effects);
        }
    }
}

/// Returns the concurrency that a backend of this age can sustain on its cores according to the settings.
fn budget(now_ms: f64) -> f64 {
    let speed = COLD_SPEED_FRACTION + (1.0 - COLD_SPEED_FRACTION) * (now_ms / WARM_UP_MS).min(1.0);
    CORES * (1.0 + (OVERLOAD_MULTIPLE - 1.0) * speed)
}

/// Guards against overload of a cold backend: clients that ignore all signals each send more than their part of
/// its capacity. Executions and requests in flight must stay within the budget for any number of clients.
#[test]
fn a_cold_backend_admits_no_more_than_its_budget_from_any_number_of_clients() {
    for clients in 1..=30 {
        for (backpressure, work_ms) in
            [(BackpressureSignal::MinimumPriority, 300.0), (BackpressureSignal::ConcurrencyPerClient, 40.0)]
        {
            let config = config(clients as u64, clients, backpressure, None);
            let mut host = SimulatedHost::new(config, work_ms, 0.0);
            let mut on_cores = Vec::new();
            for ms in 0..6000 {
                let now_ms = f64::from(ms);
                let rate = 0.3 * CORES * clients as f64 / work_ms;
                let count = rate.floor() as usize + usize::from(host.random.random::<f64>() < rate.fract());
                for _ in 0..count {
                    let class = host.random.random_range(0..2);
                    host.send(now_ms, class);
                }
                let (running, _) = host.advance(now_ms);
                on_cores.push(running as f64);
                let max = budget(now_ms);
                assert!(
                    host.unanswered as f64 <= max + random_variation(max),
                    "{clients} clients, {} in flight at {now_ms}",
                    host.unanswered
                );
            }
            for (from_ms, window) in on_cores.windows(OVERLOAD_WINDOW_MS).enumerate() {
                let mean = window.iter().sum::<f64>() / OVERLOAD_WINDOW_MS as f64;
                assert!(mean <= budget(from_ms as f64), "{clients} clients: {mean} from {from_ms} ms on");
            }
        }
    }
}

/// Guards against announced backpressure levels that exceed the budget in total. A number of requests per client,
/// multiplied by the number of clients, must not exceed the budget; a rate fraction must not exceed the fraction of
/// full speed.
#[test]
fn backpressure_levels_of_a_cold_backend_stay_within_its_budget_in_total() {
    for clients in 1..=30 {
        let announced = |backpressure| {
            let mut host = SimulatedHost::new(config(1, clients, backpressure, None), 300.0, 0.0);
            let mut levels = Vec::new();
            for ms in 0..3000 {
                host.advance(f64::from(ms));
                levels.extend(host.backpressure_level.map(|level| (f64::from(ms), level)));
            }
            assert!(!levels.is_empty());
            levels
        };
        for (now_ms, level) in announced(BackpressureSignal::ConcurrencyPerClient) {
            assert!(
                level * clients as f64 <= budget(now_ms),
                "{clients} clients with level {level} each at {now_ms}"
            );
        }
        for (now_ms, level) in announced(BackpressureSignal::RateFraction) {
            let speed = COLD_SPEED_FRACTION + (1.0 - COLD_SPEED_FRACTION) * now_ms / WARM_UP_MS;
            assert!(level <= speed, "{level} of the usual rate at {now_ms}");
        }
    }
}

/// Guards against overload of the dependency: whatever the outcomes of the calls, including lost connections, all cold
/// backends together must stay within the sum of their configured shares.
#[test]
fn cold_backends_together_stay_within_their_shares_of_the_dependency() {
    for backends in 1..=30usize {
        let share = [0.4, 1.3, 3.0][backends % 3];
        let mut hosts: Vec<SimulatedHost> = (0..backends)
            .map(|n| {
                let seed = (100 * backends + n) as u64;
                let config = config(seed, 4, BackpressureSignal::None, Some(share));
                SimulatedHost::new(config, 40.0, 0.3)
            })
            .collect();
        let mut mean_calls = 0.0;
        let duration_ms = 5000;
        for ms in 0..duration_ms {
            let now_ms = f64::from(ms);
            for host in &mut hosts {
                if host.random.random::<f64>() < 0.1 {
                    host.send(now_ms, 0);
                }
                mean_calls += host.advance(now_ms).1 as f64 / f64::from(duration_ms);
            }
        }
        let budget = share * backends as f64;
        assert!(
            mean_calls <= budget,
            "{backends} backends with share {share} each have {mean_calls} calls on average"
        );
    }
}

/// Guards against panics and invalid backpressure levels with extreme settings.
#[test]
fn extreme_settings_cause_no_panic_and_no_invalid_backpressure_level() {
    type Change = fn(&mut BackendConfig, f64);
    let changes: [Change; 13] = [
        |config, value| config.cores = value.max(0.001),
        |config, value| config.memory_kb = value.max(0.001),
        |config, value| config.running_memory_factor = value,
        |config, value| config.deduplication_entry_kb = value,
        |config, value| config.dependency_share = Some(value),
        |config, value| config.abandoned_call_linger_ms = value,
        |config, value| config.client_count = value.max(1.0),
        |config, value| config.cold_speed_fraction = value,
        |config, value| config.warm_up_ms = value,
        |config, value| config.overload_multiple = value,
        |config, value| config.max_idle_ms = value,
        |config, value| config.max_retry_after_ms = value,
        |config, value| {
            for class in &mut config.classes {
                class.latency_objective_ms = value;
                class.timeout_ms = value;
                class.deduplication_window_ms = value;
                class.value = value;
            }
        },
    ];
    let signals = [
        BackpressureSignal::MinimumPriority,
        BackpressureSignal::ConcurrencyPerClient,
        BackpressureSignal::RateFraction,
    ];
    for change in changes {
        for value in [0.0, 1e-9, 0.5, 1.0, 1e9, 1e15] {
            for backpressure in signals {
                let mut config = config(3, 5, backpressure, Some(2.0));
                config.classes[1].idempotency = Idempotency::Keyed;
                change(&mut config, value);
                let mut host = SimulatedHost::new(config, 20.0, 0.2);
                for ms in 0..600 {
                    host.send(f64::from(ms), (ms % 2) as usize);
                    host.advance(f64::from(ms));
                    assert!(host.backpressure_level.is_none_or(|level| level.is_finite() && level >= 0.0));
                }
            }
        }
    }
}
