//! What a run is like.

use plovershelf_cluster::NodeConfig;

use crate::schedule::Schedule;

/// A run of a cluster.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Members, zones and faults.
    pub schedule: Schedule,
    /// Seeds all random draws.
    pub seed: u64,
    /// Settings of every node.
    pub config: NodeConfig,
    /// Whether nodes have storage. Without it each start is a new node.
    pub storage: bool,
    /// How many initial voters there are.
    pub initial_voters: usize,
    /// Median latency of a message.
    pub latency_ms: f64,
    /// What is added between zones.
    pub between_zones_ms: f64,
    /// Whether bytes are counted by their frames; costs time.
    pub count_bytes: bool,
    /// It ends so long after the last fault, or at this time where there are no faults.
    pub duration_ms: f64,
    /// Whether the events of the run are kept.
    pub keep_history: bool,
    /// Recoveries that operators ask for.
    pub recoveries: Vec<RecoveryCommand>,
    /// Whether someone proposes something five times a second.
    pub proposes: bool,
    /// For many members: a disk is read from its process when that dies instead of being written along, and a log is
    /// compared with others only where it grew. The audit of smaller clusters does neither.
    pub lean: bool,
    /// Where the run measures growth instead of faults.
    pub growth: Option<GrowthPlan>,
}

/// An operator's command to begin a new epoch.
#[derive(Clone, Debug)]
pub struct RecoveryCommand {
    /// When it is given.
    pub at_ms: f64,
    /// The member that is asked.
    pub member: usize,
    /// Who is named lost.
    pub lost: Vec<String>,
}

/// Measured apart from each other: until all know all, with nothing happening after that, and after each of a few deaths.
#[derive(Clone, Debug)]
pub struct GrowthPlan {
    /// Until all know all at most; after that the run is given up.
    pub max_start_ms: f64,
    /// Updates of the start may still be under way for so long before rest is measured.
    pub max_settle_ms: f64,
    /// For how long rest is measured.
    pub rest_ms: f64,
    /// Who dies, one after the other, and does not come back.
    pub deaths: Vec<usize>,
    /// How long each death is measured.
    pub death_ms: f64,
}

impl Plan {
    /// The faults of a schedule, with a calm after the last one.
    pub fn of(schedule: Schedule, seed: u64) -> Self {
        Plan {
            duration_ms: schedule.ends_ms() + 8000.0,
            schedule,
            seed,
            config: NodeConfig::default(),
            storage: true,
            initial_voters: 3,
            latency_ms: 0.5,
            between_zones_ms: 0.5,
            count_bytes: false,
            keep_history: false,
            recoveries: Vec::new(),
            proposes: true,
            lean: false,
            growth: None,
        }
    }

    /// No faults but a few deaths of single members, each measured by itself.
    pub fn growing(members: usize, zones: usize, seed: u64, deaths: usize) -> Self {
        let mut plan = Plan::of(Schedule { members, zones, steps: Vec::new() }, seed);
        let free = members - plan.initial_voters;
        let victim = |place: usize| plan.initial_voters + (seed as usize * 7 + place * 13) % free;
        let growth = GrowthPlan {
            max_start_ms: 60_000.0,
            max_settle_ms: 20_000.0,
            rest_ms: 5000.0,
            deaths: (0..deaths).map(victim).collect(),
            death_ms: 10_000.0,
        };
        plan.duration_ms = growth.max_start_ms;
        (plan.growth, plan.lean, plan.proposes, plan.count_bytes) = (Some(growth), true, false, true);
        plan
    }
}
