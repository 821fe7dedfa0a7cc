//! Plan of a soak run, drawn from a seed: the backends with their settings and limits, the load and the faults.

use plovershelf_testkit::work::Idempotency;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{json, Value};

/// Number of cores of each backend's agent.
pub const CORES: f64 = 2.0;
/// Number of executions per core beyond which an agent's throughput falls.
pub const OVERLOAD_FACTOR: f64 = 8.0;
/// Number of calls in flight that the dependency sustains, per backend.
pub const DEPENDENCY_SHARE: f64 = 30.0;
/// Name of the only tenant.
pub const TENANT: &str = "north";
/// Time at the start of a run in which no fault begins.
const WARM_UP_MS: f64 = 1500.0;
/// Time at the end of a run in which no fault begins.
const FAULT_FREE_TAIL_MS: f64 = 3500.0;
/// Share of the class with long executions among all requests.
const LONG_CLASS_SHARE: f64 = 0.02;
/// Minimum number of faults in a run.
const MIN_FAULTS: usize = 8;
/// Maximum number of faults in a run.
const MAX_FAULTS: usize = 14;

/// Request class of a plan.
#[derive(Clone, Debug)]
pub struct ClassPlan {
    /// Name of the class.
    pub name: &'static str,
    /// Whether requests of the class may take effect more than once.
    pub idempotency: Idempotency,
    /// Timeout of an attempt.
    pub timeout_ms: f64,
    /// Deduplication window of the class.
    pub dedup_window_ms: f64,
    /// Processor time of a request.
    pub work_ms: f64,
    /// Number of outbound calls of a request.
    pub outbound_calls: u32,
    /// Share of the class among all requests, from 0 to 1.
    pub share: f64,
}

/// Fault that affects one backend, all backends or a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Drains the backend with `notices` times SIGTERM and at least `reloads` times SIGHUP, kills it `stop_ms` after the
    /// first SIGTERM, and restarts it.
    Drain { notices: u32, reloads: u32 },
    /// Kills the backend with work in flight, and restarts it.
    Kill,
    /// Kills the backend, starts it, drains it `after_ms` later, and restarts it.
    DrainBeforeReady { after_ms: f64 },
    /// Sends `count` times SIGHUP within about 5 ms.
    Reloads { count: u32 },
    /// Pauses the backend with SIGSTOP, and resumes it with SIGCONT at the end.
    Pause,
    /// Drains all backends, with starts spread over less than one second.
    DrainAll,
    /// Kills all backends, spread over less than one second.
    KillAll,
    /// Disturbs the link between the backend and its agent.
    AgentLink(LinkFault),
    /// Disturbs the link between all backends and the dependency.
    DependencyLink(LinkFault),
    /// Makes the registry's address refuse heartbeats.
    RegistryDown,
}

/// Fault on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing is forwarded.
    Partition,
    /// Connections are refused and open ones end.
    Refusal,
    /// Latency is added.
    Delay,
    /// Open connections are reset in the middle of a message.
    Reset,
}

/// Fault with its time and its target.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// Start of the fault, counted from the start of the run.
    pub at_ms: f64,
    /// Duration of the fault.
    pub for_ms: f64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Index of the affected backend, for faults of one backend.
    pub backend: usize,
}

/// Plan of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed that the plan is drawn from.
    pub seed: u64,
    /// Duration of the load.
    pub span_ms: f64,
    /// Number of backends.
    pub backends: usize,
    /// Time from the drain notice to the kill.
    pub stop_ms: f64,
    /// Grace after the drain notice.
    pub grace_ms: f64,
    /// Maximum number of sockets of each backend.
    pub sockets: u32,
    /// Memory limit of each backend, in megabytes.
    pub memory_mb: f64,
    /// Whether the backends have bulkheads.
    pub has_bulkheads: bool,
    /// Whether idle connections exhaust the backends' descriptors.
    pub floods_connections: bool,
    /// Request classes; their shares add up to 1.
    pub classes: Vec<ClassPlan>,
    /// Number of clients.
    pub clients: usize,
    /// Mean rate of new requests at all backends together.
    pub requests_per_s: f64,
    /// Faults in chronological order.
    pub faults: Vec<PlannedFault>,
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64, span_ms: f64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let backends = random.random_range(2..=6);
        let stop_ms = f64::from(random.random_range(700..3200u32));
        let classes = draw_classes(&mut random);
        let mean_work_ms: f64 = classes.iter().map(|class| class.share * class.work_ms).sum();
        let capacity_per_s = backends as f64 * CORES * 1000.0 / mean_work_ms;
        Plan {
            seed,
            span_ms,
            backends,
            stop_ms,
            grace_ms: (stop_ms * random.random_range(0.2..0.8)).floor(),
            sockets: *[96, 160, 256].choose(&mut random).unwrap_or(&160),
            memory_mb: *[48.0, 64.0, 128.0].choose(&mut random).unwrap_or(&64.0),
            has_bulkheads: random.random_bool(0.4),
            floods_connections: seed.is_multiple_of(3),
            clients: random.random_range(4..=10),
            requests_per_s: capacity_per_s * random.random_range(0.7..1.6),
            faults: draw_faults(&mut random, backends, span_ms),
            classes,
        }
    }

    /// Returns the settings that the backends are started with.
    pub fn settings(&self) -> Value {
        let class = |class: &ClassPlan| {
            let effect = match class.idempotency {
                Idempotency::Idempotent => "repeatable",
                Idempotency::Keyed => "by_key",
                Idempotency::NonIdempotent => "once",
            };
            json!({"name": class.name, "aim_ms": class.timeout_ms * 0.5, "deadline_ms": class.timeout_ms,
                   "effect": effect, "dedup_window_ms": class.dedup_window_ms, "gain": 1.0, "late_worth": 0.2})
        };
        let classes: Vec<Value> = self.classes.iter().map(class).collect();
        json!({
            "classes": classes, "tenants": [{"name": TENANT, "quota_per_s": 1.0e6, "share": 1.0}],
            "group_size": self.backends, "clients": {"marks_retry": false},
            "family_info": {"cores": CORES, "memory_kb": 400_000.0, "run_factor": 2.0, "entry_kb": 1.0,
                "below": "shared", "dep_share": DEPENDENCY_SHARE, "linger_ms": 200.0, "halt": "abort",
                "signal": "threshold", "senders": self.clients, "keepalive_max_ms": 30_000.0, "cancel_seen": true,
                "passes_deadline": true, "meters": ["cpu_busy", "runnable", "mem_used", "sockets"]},
            "policy_limits": {"retry_after": true, "max_retry_after_ms": 1000.0},
            "rules": {"tip_multiple": OVERLOAD_FACTOR, "drain_grace_ms": self.grace_ms, "cold_from": 1.0,
                "warm_within_ms": 0.0},
        })
    }

    /// Returns the class at a position from 0 to 1 in the cumulative shares.
    pub fn class_at(&self, position: f64) -> &ClassPlan {
        let mut end = 0.0;
        let found = self.classes.iter().find(|class| {
            end += class.share;
            position < end
        });
        found.unwrap_or(&self.classes[0])
    }

    /// Returns the content of the operator's file of bulkheads.
    pub fn bulkheads_config(&self) -> String {
        let bulkhead =
            |class: &ClassPlan| format!("[pool {0}]\nofferings = {0}\nleast_runs = 1\n", class.name);
        self.classes.iter().map(bulkhead).collect()
    }
}

fn draw_classes(random: &mut Pcg64) -> Vec<ClassPlan> {
    let kinds = [
        ("read", Idempotency::Idempotent),
        ("book", Idempotency::Keyed),
        ("settle", Idempotency::NonIdempotent),
    ];
    let class = |(name, idempotency)| ClassPlan {
        name,
        idempotency,
        timeout_ms: f64::from(random.random_range(250..1800u32)),
        // Some windows are shorter than an execution takes under load.
        dedup_window_ms: *[60.0, 400.0, 5000.0].choose(random).unwrap_or(&400.0),
        work_ms: random.random_range(8.0..40.0),
        outbound_calls: random.random_range(0..3),
        share: (1.0 - LONG_CLASS_SHARE) / kinds.len() as f64,
    };
    let mut classes: Vec<ClassPlan> = kinds.into_iter().map(class).collect();
    // Executions of this class are still running when their backend has to stop.
    classes.push(ClassPlan {
        name: "report",
        idempotency: Idempotency::NonIdempotent,
        timeout_ms: f64::from(random.random_range(2500..6000u32)),
        dedup_window_ms: 0.0,
        work_ms: random.random_range(300.0..1500.0),
        outbound_calls: random.random_range(0..3),
        share: LONG_CLASS_SHARE,
    });
    classes
}

fn draw_faults(random: &mut Pcg64, backends: usize, span_ms: f64) -> Vec<PlannedFault> {
    let links = [LinkFault::Partition, LinkFault::Refusal, LinkFault::Delay, LinkFault::Reset];
    let mut kinds = vec![FaultKind::Kill];
    kinds.push(FaultKind::Drain { notices: random.random_range(1..4), reloads: random.random_range(0..4) });
    kinds.push(FaultKind::Reloads { count: random.random_range(2..6) });
    kinds.push(FaultKind::DrainBeforeReady { after_ms: random.random_range(0.0..40.0) });
    kinds.push(FaultKind::Pause);
    let count = random.random_range(MIN_FAULTS..=MAX_FAULTS);
    while kinds.len() < count {
        let link = *links.choose(random).unwrap_or(&LinkFault::Reset);
        kinds.push(match random.random_range(0..9) {
            0 | 1 => FaultKind::AgentLink(link),
            2 | 3 => FaultKind::DependencyLink(link),
            4 => FaultKind::RegistryDown,
            5 => FaultKind::DrainAll,
            6 => FaultKind::KillAll,
            7 => FaultKind::Drain { notices: random.random_range(1..4), reloads: random.random_range(0..4) },
            _ => FaultKind::Reloads { count: random.random_range(2..6) },
        });
    }
    kinds.shuffle(random);
    let last_ms = (span_ms - FAULT_FREE_TAIL_MS).max(WARM_UP_MS + 1.0);
    let mut fault = |kind| PlannedFault {
        at_ms: random.random_range(WARM_UP_MS..last_ms),
        for_ms: random.random_range(100.0..1500.0),
        kind,
        backend: random.random_range(0..backends),
    };
    let mut faults: Vec<PlannedFault> = kinds.into_iter().map(&mut fault).collect();
    faults.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    faults
}
