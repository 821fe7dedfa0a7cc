//! Settings of a run and fault schedules.

use plovershelf_replication::ReplicationConfig;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::schedule::{Fault, Folder, Schedule, Step};

/// Whether backends replicate their records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Records are replicated as in the server.
    Replicated,
    /// Control: each backend records its own requests only.
    Alone,
}

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Faults, members and zones.
    pub schedule: Schedule,
    /// Seed of all random draws during the run.
    pub seed: u64,
    /// Settings of each member.
    pub config: ReplicationConfig,
    /// Whether backends replicate their records.
    pub mode: Mode,
    /// Rate of new idempotency keys per second.
    pub keys_per_second: f64,
    /// Median duration of an execution in milliseconds.
    pub run_ms: f64,
    /// Median one-way latency of a message in milliseconds.
    pub one_way_ms: f64,
    /// Latency added between zones in milliseconds.
    pub between_zones_ms: f64,
    /// Time for which an outcome is retained, in milliseconds.
    pub retention_ms: f64,
}

impl Plan {
    /// Returns the settings of a run with this fault schedule under moderate load.
    pub fn new(schedule: Schedule, seed: u64, mode: Mode) -> Self {
        Plan {
            schedule,
            seed,
            config: ReplicationConfig::default(),
            mode,
            keys_per_second: 40.0,
            run_ms: 60.0,
            one_way_ms: 0.5,
            between_zones_ms: 0.5,
            retention_ms: 10_000.0,
        }
    }
}

/// Generates a schedule with this number of machine losses, some of them two at once, and with partitions, pauses and message
/// loss between them. A machine is lost with its disk. Faults do not overlap, so that at most two machines are down at a time.
pub fn schedule(seed: u64, members: usize, zones: usize, losses: usize) -> Schedule {
    let mut rng = Pcg32::seed_from_u64(seed ^ 0x5c_4ed);
    let mut schedule = Schedule { members, zones, steps: Vec::new() };
    let mut at_ms = 3000.0;
    let mut lost = 0;
    while lost < losses {
        let member = rng.random_range(0..members);
        let for_ms = 1500.0 + 1500.0 * rng.random::<f64>();
        let fault = draw_fault(&mut rng, member, members);
        lost += match fault {
            Fault::KillThird { .. } => 2,
            Fault::Kill { .. } => 1,
            _ => 0,
        };
        schedule.steps.push(Step { at_ms, for_ms, fault });
        at_ms += for_ms + 1500.0 + 1500.0 * rng.random::<f64>();
    }
    schedule
}

fn draw_fault(rng: &mut Pcg32, member: usize, members: usize) -> Fault {
    match rng.random_range(0..8) {
        0 => Fault::KillThird { first: member },
        1 => Fault::Cut {
            these: vec![member],
            those: (0..members).filter(|other| *other != member).collect(),
            one_way: rng.random::<f64>() < 0.4,
        },
        2 => Fault::Stop { member },
        3 => Fault::Loss { share: 0.05 + 0.15 * rng.random::<f64>() },
        _ => Fault::Kill { member, folder: Folder::Wiped },
    }
}
