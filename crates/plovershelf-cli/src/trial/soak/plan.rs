//! What a seed draws: backends, their settings and limits, who asks, and the faults.

use plovershelf_testkit::work::Idempotency;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{json, Value};

/// Cores of each backend's agent, and runs on each that it sustains.
pub const CORES: f64 = 2.0;
pub const OVERLOAD_FACTOR: f64 = 8.0;
/// Calls that the dependency has room for, for each backend.
pub const DEPENDENCY_SHARE: f64 = 30.0;
pub const TENANT: &str = "north";
/// Nothing happens for this long at the beginning, and no fault begins this long before the end.
const CALM_MS: f64 = 1500.0;
const LAST_FAULT_MS: f64 = 3500.0;
/// Share of the long runs among all requests.
const LONG_SHARE: f64 = 0.02;
const MIN_FAULTS: usize = 8;
const MAX_FAULTS: usize = 14;

/// One request class.
#[derive(Clone, Debug)]
pub struct ClassPlan {
    pub name: &'static str,
    pub idempotency: Idempotency,
    pub timeout_ms: f64,
    pub window_ms: f64,
    pub work_ms: f64,
    pub calls: u32,
    /// Of all that is asked for.
    pub share: f64,
}

/// What happens to one backend, or to all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// SIGTERM so often, SIGHUP among them; killed `stop_ms` after the first, and started again.
    Drain {
        notices: u32,
        reloads: u32,
    },
    /// Killed with work in flight, and started again.
    Kill,
    /// Started, told to leave after so long, and started again.
    NoticeBeforeReady {
        after_ms: f64,
    },
    /// SIGHUP so often within 5 ms.
    Reloads {
        count: u32,
    },
    /// SIGSTOP, and SIGCONT at the end.
    Pause,
    /// All backends within a second.
    DrainAll,
    KillAll,
    /// The agent's or the dependency's link.
    Agent(LinkFault),
    Dependency(LinkFault),
    /// The registry's address refuses heartbeats.
    RegistryDown,
}

/// What happens on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    Silent,
    Refuses,
    Slow,
    /// Reset in the middle of what passes.
    Cut,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    pub at_ms: f64,
    pub for_ms: f64,
    pub kind: FaultKind,
    pub backend: usize,
}

/// All that a run consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub span_ms: f64,
    pub backends: usize,
    pub stop_ms: f64,
    pub grace_ms: f64,
    pub sockets: u32,
    pub memory_mb: f64,
    pub has_pools: bool,
    pub is_crowded: bool,
    pub classes: Vec<ClassPlan>,
    pub clients: usize,
    pub requests_per_s: f64,
    pub faults: Vec<PlannedFault>,
}

impl Plan {
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
            has_pools: random.random_bool(0.4),
            is_crowded: seed.is_multiple_of(3),
            clients: random.random_range(4..=10),
            requests_per_s: capacity_per_s * random.random_range(0.7..1.6),
            faults: draw_faults(&mut random, backends, span_ms),
            classes,
        }
    }

    /// The settings that its backends are started with.
    pub fn settings(&self) -> Value {
        let class = |class: &ClassPlan| {
            let effect = match class.idempotency {
                Idempotency::Idempotent => "repeatable",
                Idempotency::Keyed => "by_key",
                Idempotency::NonIdempotent => "once",
            };
            json!({"name": class.name, "aim_ms": class.timeout_ms * 0.5, "deadline_ms": class.timeout_ms,
                   "effect": effect, "dedup_window_ms": class.window_ms, "gain": 1.0, "late_worth": 0.2})
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

    /// The class at a place from 0 to 1 among the shares.
    pub fn class_at(&self, place: f64) -> &ClassPlan {
        let mut end = 0.0;
        let found = self.classes.iter().find(|class| {
            end += class.share;
            place < end
        });
        found.unwrap_or(&self.classes[0])
    }

    /// The operator's file of bulkheads.
    pub fn pools(&self) -> String {
        let pool = |class: &ClassPlan| format!("[pool {0}]\nofferings = {0}\nleast_runs = 1\n", class.name);
        self.classes.iter().map(pool).collect()
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
        // Some windows are shorter than a run takes under load.
        window_ms: *[60.0, 400.0, 5000.0].choose(random).unwrap_or(&400.0),
        work_ms: random.random_range(8.0..40.0),
        calls: random.random_range(0..3),
        share: (1.0 - LONG_SHARE) / kinds.len() as f64,
    };
    let mut classes: Vec<ClassPlan> = kinds.into_iter().map(class).collect();
    // Runs that are still under way when their backend has to stop.
    classes.push(ClassPlan {
        name: "report",
        idempotency: Idempotency::NonIdempotent,
        timeout_ms: f64::from(random.random_range(2500..6000u32)),
        window_ms: 0.0,
        work_ms: random.random_range(300.0..1500.0),
        calls: random.random_range(0..3),
        share: LONG_SHARE,
    });
    classes
}

fn draw_faults(random: &mut Pcg64, backends: usize, span_ms: f64) -> Vec<PlannedFault> {
    let links = [LinkFault::Silent, LinkFault::Refuses, LinkFault::Slow, LinkFault::Cut];
    let mut kinds = vec![FaultKind::Kill];
    kinds.push(FaultKind::Drain { notices: random.random_range(1..4), reloads: random.random_range(0..4) });
    kinds.push(FaultKind::Reloads { count: random.random_range(2..6) });
    kinds.push(FaultKind::NoticeBeforeReady { after_ms: random.random_range(0.0..40.0) });
    kinds.push(FaultKind::Pause);
    let count = random.random_range(MIN_FAULTS..=MAX_FAULTS);
    while kinds.len() < count {
        let link = *links.choose(random).unwrap_or(&LinkFault::Cut);
        kinds.push(match random.random_range(0..9) {
            0 | 1 => FaultKind::Agent(link),
            2 | 3 => FaultKind::Dependency(link),
            4 => FaultKind::RegistryDown,
            5 => FaultKind::DrainAll,
            6 => FaultKind::KillAll,
            7 => FaultKind::Drain { notices: random.random_range(1..4), reloads: random.random_range(0..4) },
            _ => FaultKind::Reloads { count: random.random_range(2..6) },
        });
    }
    kinds.shuffle(random);
    let last_ms = (span_ms - LAST_FAULT_MS).max(CALM_MS + 1.0);
    let mut fault = |kind| PlannedFault {
        at_ms: random.random_range(CALM_MS..last_ms),
        for_ms: random.random_range(100.0..1500.0),
        kind,
        backend: random.random_range(0..backends),
    };
    let mut faults: Vec<PlannedFault> = kinds.into_iter().map(&mut fault).collect();
    faults.sort_by(|one, other| one.at_ms.total_cmp(&other.at_ms));
    faults
}
