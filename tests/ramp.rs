//! A cold backend under any number of clients, and any number of backends on the dependency that they share:
//! what they take and announce holds as a sum, on the decisions alone. The bound is that of the settings;
//! over a budget of N only 2 √N + 2 are chance.

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

fn chance_over(budget: f64) -> f64 {
    2.0 * budget.sqrt() + 2.0
}

/// An execution: the core time that it still needs, and at how much left it wants its next call.
struct Execution {
    remaining_ms: f64,
    next_call_at_ms: f64,
}

/// No call is wanted any more, and one is in flight.
const NO_CALL: f64 = -1.0;
const AT_CALL: f64 = f64::MAX;

/// A backend with a simulated host: cores that warm up and are shared evenly, and calls that end by chance.
struct SimulatedHost {
    backend: Backend,
    random: Pcg32,
    executions: BTreeMap<u32, Execution>,
    /// When each call ends, and how.
    calls: BTreeMap<u32, (f64, CallOutcome)>,
    /// When the dependency lets go of calls that this side has abandoned.
    lingering_until_ms: Vec<f64>,
    cancelled: Vec<u32>,
    /// Requests that have had no final answer.
    unanswered: usize,
    periodic_timers_ms: Vec<f64>,
    level: Option<f64>,
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
            level: None,
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
        self.level = effects.announcements.backpressure.or(self.level);
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

    /// One millisecond. Returns how many executions were on the cores and how many calls the dependency held.
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
        let on_cores = self.executions.iter().filter(|(_, execution)| execution.next_call_at_ms < AT_CALL);
        let on_cores: Vec<u32> = on_cores.map(|(id, _)| *id).collect();
        let speed = COLD_SPEED_FRACTION + (1.0 - COLD_SPEED_FRACTION) * (now_ms / WARM_UP_MS).min(1.0);
        let each_ms = speed * (CORES / on_cores.len().max(1) as f64).min(1.0);
        for id in &on_cores {
            let Some(execution) = self.executions.get_mut(id) else { continue };
            execution.remaining_ms -= each_ms;
            if execution.remaining_ms <= execution.next_call_at_ms {
                // It takes no core until its call has ended.
                execution.next_call_at_ms = AT_CALL;
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
                // Its connection was closed; the dependency holds it for a while yet.
                self.lingering_until_ms.push(now_ms + LINGER_MS);
            }
            let effects = self.backend.handle_call_ended(now_ms, id, outcome);
            self.apply(now_ms, effects);
        }
    }

    fn fire_timers(&mut self, now_ms: f64, running: usize) {
        while let Some(place) = self.periodic_timers_ms.iter().position(|at_ms| *at_ms <= now_ms) {
            self.periodic_timers_ms.swap_remove(place);
            let gauges = Gauges {
                cores_busy: Some((running as f64 / CORES).min(1.0)),
                runnable: Some(running as f64),
            };
            let effects = self.backend.handle_timeout(now_ms, Timer::Periodic, gauges);
            self.apply(now_ms, effects);
        }
    }
}

/// What the settings let a backend of this age survive on its cores.
fn budget(now_ms: f64) -> f64 {
    let speed = COLD_SPEED_FRACTION + (1.0 - COLD_SPEED_FRACTION) * (now_ms / WARM_UP_MS).min(1.0);
    CORES * (1.0 + (OVERLOAD_MULTIPLE - 1.0) * speed)
}

/// Clients that heed nothing and know of nothing each send more than their part of what the cores can do.
/// What is on the cores, and all requests in flight, stay inside the budget, however many clients send them.
#[test]
fn a_cold_backend_takes_no_more_than_its_budget_from_any_number_of_clients() {
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
                    host.unanswered as f64 <= max + chance_over(max),
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

/// The level is shared among the clients: were each to have as many requests here as it was told, all of them
/// together would hold no more than the budget; and no more of the usual rate is asked for than there is of
/// the usual speed.
#[test]
fn what_a_cold_backend_announces_adds_up_to_its_budget() {
    for clients in 1..=30 {
        let announced = |backpressure| {
            let mut host = SimulatedHost::new(config(1, clients, backpressure, None), 300.0, 0.0);
            let mut levels = Vec::new();
            for ms in 0..3000 {
                host.advance(f64::from(ms));
                levels.extend(host.level.map(|level| (f64::from(ms), level)));
            }
            assert!(!levels.is_empty());
            levels
        };
        for (now_ms, level) in announced(BackpressureSignal::ConcurrencyPerClient) {
            assert!(
                level * clients as f64 <= budget(now_ms),
                "{clients} clients are told {level} each at {now_ms}"
            );
        }
        for (now_ms, level) in announced(BackpressureSignal::RateFraction) {
            let speed = COLD_SPEED_FRACTION + (1.0 - COLD_SPEED_FRACTION) * now_ms / WARM_UP_MS;
            assert!(level <= speed, "{level} of the usual rate at {now_ms}");
        }
    }
}

/// The settings tell each backend its share of what the dependency survives. Whatever becomes of the calls,
/// also of those whose connection was lost, all backends together keep the sum of their shares while they are
/// cold.
#[test]
fn cold_backends_together_keep_their_shares_of_the_dependency() {
    for backends in 1..=30usize {
        let share = [0.4, 1.3, 3.0][backends % 3];
        let mut hosts: Vec<SimulatedHost> = (0..backends)
            .map(|n| {
                let seed = (100 * backends + n) as u64;
                let config = config(seed, 4, BackpressureSignal::None, Some(share));
                SimulatedHost::new(config, 40.0, 0.3)
            })
            .collect();
        let mut held = 0.0;
        let duration_ms = 5000;
        for ms in 0..duration_ms {
            let now_ms = f64::from(ms);
            for host in &mut hosts {
                if host.random.random::<f64>() < 0.1 {
                    host.send(now_ms, 0);
                }
                held += host.advance(now_ms).1 as f64 / f64::from(duration_ms);
            }
        }
        let budget = share * backends as f64;
        assert!(held <= budget, "{backends} backends with {share} each hold {held} in the mean");
    }
}

/// Nothing that settings may say makes a decision impossible: no panic, no level that is not a number.
#[test]
fn settings_at_their_extremes_are_borne() {
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
                    assert!(host.level.is_none_or(|level| level.is_finite() && level >= 0.0));
                }
            }
        }
    }
}
