//! Settings of a run.

use plovershelf_cluster::NodeConfig;

use crate::schedule::Schedule;

/// Settings of a cluster run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Members, zones and faults.
    pub schedule: Schedule,
    /// Seed of all random draws.
    pub seed: u64,
    /// Settings of every node.
    pub config: NodeConfig,
    /// Whether nodes have storage. Without storage, each restart creates a new node.
    pub storage: bool,
    /// Number of initial voters.
    pub initial_voters: usize,
    /// Median one-way latency of a message in milliseconds.
    pub latency_ms: f64,
    /// Latency added between zones in milliseconds.
    pub between_zones_ms: f64,
    /// Whether the bytes of all messages are counted, which requires the encoded size of each frame and costs time.
    pub count_bytes: bool,
    /// Time in milliseconds at which the run ends.
    pub duration_ms: f64,
    /// Whether the report contains the history of the run.
    pub keep_history: bool,
    /// Recovery commands that operators issue during the run.
    pub recoveries: Vec<RecoveryCommand>,
    /// Whether a random member proposes a value five times a second.
    pub proposes: bool,
    /// Saves time in runs with many members: a node's disk is copied when its process ends instead of on each write, and a
    /// log is compared with others only after it grew. Smaller clusters are audited without these shortcuts.
    pub lean: bool,
    /// Growth measurement, in a run that measures growth instead of faults.
    pub growth: Option<GrowthPlan>,
}

/// Operator's command to start a new epoch after the loss of a majority of voters.
#[derive(Clone, Debug)]
pub struct RecoveryCommand {
    /// Time of the command in milliseconds.
    pub at_ms: f64,
    /// Member that receives the command.
    pub member: usize,
    /// Names of the members that the operator declares lost.
    pub lost: Vec<String>,
}

/// Settings of a growth measurement, which measures three phases separately: the simultaneous start of all members, the
/// cluster at rest, and several deaths.
#[derive(Clone, Debug)]
pub struct GrowthPlan {
    /// Maximum time until every member knows all others, in milliseconds; the run is aborted after it.
    pub max_start_ms: f64,
    /// Maximum time that pending updates of the start may delay the resting phase, in milliseconds.
    pub max_settle_ms: f64,
    /// Duration of the resting phase in milliseconds.
    pub rest_ms: f64,
    /// Members that are killed one after the other and not restarted.
    pub deaths: Vec<usize>,
    /// Duration of the measurement of each death in milliseconds.
    pub death_ms: f64,
}

impl Plan {
    /// Returns the settings of a run with this fault schedule that ends 8 s after the schedule.
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

    /// Returns the settings of a growth measurement with this number of deaths, none of them of an initial voter, and without
    /// other faults.
    pub fn growing(members: usize, zones: usize, seed: u64, deaths: usize) -> Self {
        let mut plan = Plan::of(Schedule { members, zones, steps: Vec::new() }, seed);
        let non_voters = members - plan.initial_voters;
        let victim = |index: usize| plan.initial_voters + (seed as usize * 7 + index * 13) % non_voters;
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
