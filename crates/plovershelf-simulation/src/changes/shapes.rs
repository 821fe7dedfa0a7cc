//! Scenarios: proposed changes and faults, generated from a seed and identical for each strategy.

use plovershelf_config_distribution::Edit;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Number of origins. Processes are indexed from 0, the origins first; the zone of a process is its index modulo [`ZONES`].
pub const ORIGINS: usize = 3;
/// Number of zones.
pub const ZONES: usize = 4;
/// Number of regions, each with the same number of zones.
pub const REGIONS: usize = 2;
/// Number of machines in a rack or behind a switch.
pub const RACK_SIZE: usize = 20;
/// Number of tenants in the model. The intended size is ten times as large, but 900 copies of it would not fit into memory.
pub const TENANTS: usize = 3400;
/// End of the warm-up in milliseconds; measurements start here. By then all processes have started and more changes were made
/// than histories hold, so that a process that restarts needs the whole content.
pub const WARM_UP_MS: f64 = 22_000.0;
/// Number of changes during the warm-up, more than the history of any process holds.
pub const CHANGES_BEFORE: usize = 270;
/// Fault-free time at the end of a scenario, in milliseconds.
pub const FINAL_FAULT_FREE_MS: f64 = 12_000.0;
/// Factor by which the `day` scenario runs faster than real time.
pub const TIME_FACTOR: f64 = 50.0;
const DAY_S: f64 = 86_400.0;
const CHANGES_A_DAY: f64 = 1500.0;
/// Number of process restarts per day in a fleet of [`REFERENCE_MEMBERS`].
const RESTARTS_A_DAY: f64 = 790.0;
/// Number of machine losses per day in a fleet of [`REFERENCE_MEMBERS`].
const MACHINES_LOST_A_DAY: f64 = 36.0;
/// Fleet size that the daily rates refer to.
const REFERENCE_MEMBERS: f64 = 920.0;

/// Returns the zone of a process.
pub fn zone_of(index: usize) -> usize {
    index % ZONES
}

/// Returns the region of a process.
pub fn region_of(index: usize) -> usize {
    zone_of(index) * REGIONS / ZONES
}

/// Fault of one or more processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process stops and restarts at the fault's end; connections to it are refused at once.
    Killed,
    /// The machine is lost without notice and replaced at the fault's end.
    MachineLost,
    /// The process is paused and resumes at the fault's end with its state unchanged.
    Paused,
    /// No messages pass between the targets and all other processes.
    CutOff,
    /// The targets receive no messages from origins; all other messages pass.
    OriginsUnheard,
    /// Messages from and to the targets take half a second longer.
    Slow,
}

/// Targets of a fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Targets {
    /// Fixed set of processes.
    Processes(Vec<usize>),
    /// A random selection, made when the fault begins, of this fraction of the listeners with children; at least one.
    Relays(f64),
}

/// Fault with its time interval and its targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Start of the fault in milliseconds.
    pub at_ms: f64,
    /// Duration of the fault in milliseconds.
    pub for_ms: f64,
    pub targets: Targets,
    pub fault: Fault,
}

/// Scenario of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    pub name: &'static str,
    pub listeners: usize,
    pub seed: u64,
    /// Duration in milliseconds.
    pub span_ms: f64,
    /// Proposed changes, each with the time of its proposal in milliseconds.
    pub changes: Vec<(f64, Vec<Edit>)>,
    pub steps: Vec<Step>,
    /// Fraction of messages that are lost; the same fraction of the rest is duplicated.
    pub loss: f64,
    /// Fraction of messages in which a change is corrupted: it has a wrong quota or an invalid edit.
    pub mangled: f64,
}

/// Names of all scenarios.
pub const SCENARIOS: [&str; 20] = [
    "calm",
    "day",
    "burst",
    "release",
    "rack",
    "zone",
    "zone-stopped",
    "relays",
    "relays-gone",
    "relay-gone",
    "relay-stopped",
    "relays-deaf",
    "relays-slow",
    "source",
    "source-gone",
    "sources",
    "regions",
    "back",
    "loss",
    "mangled",
];

/// Tenant that occurs only in corrupted or invalid changes.
pub const UNKNOWN_TENANT: &str = "nobody";

/// Returns the name of a tenant.
pub fn tenant(number: usize) -> String {
    format!("tenant-{number:05}")
}

/// Returns the initial quota of a tenant per second.
pub fn initial_quota(number: usize) -> f64 {
    20.0 + (number % 97) as f64
}

/// Generator of valid random edits.
struct EditGenerator {
    rng: Pcg32,
    /// Numbers of the tenants that have a quota.
    known: Vec<usize>,
    /// Number of the next tenant to add.
    next_new: usize,
}

impl EditGenerator {
    /// Returns this number of edits, each of a different tenant.
    fn edits(&mut self, count: usize) -> Vec<Edit> {
        let mut used: Vec<usize> = Vec::new();
        let mut edits = Vec::new();
        while edits.len() < count {
            let quota_per_s = (self.rng.random_range(1.0..500.0_f64) * 8.0).round() / 8.0;
            let (index, kind) = (self.rng.random_range(0..self.known.len()), self.rng.random_range(0..20));
            let number = self.known[index];
            if used.contains(&number) {
                continue;
            }
            used.push(number);
            edits.push(match kind {
                0 => {
                    self.known.swap_remove(index);
                    Edit::Remove { tenant: tenant(number) }
                }
                1 => {
                    used.push(self.next_new);
                    self.known.push(self.next_new);
                    self.next_new += 1;
                    Edit::Add { tenant: tenant(self.next_new - 1), quota_per_s }
                }
                _ => Edit::Set { tenant: tenant(number), quota_per_s },
            });
        }
        edits
    }
}

impl Scenario {
    /// Returns the scenario with this name, one of [`SCENARIOS`].
    pub fn of(name: &'static str, listeners: usize, seed: u64) -> Self {
        let rng = Pcg32::seed_from_u64(seed ^ 0x0c4a_26e5);
        let mut generator = EditGenerator { rng, known: (0..TENANTS).collect(), next_new: TENANTS };
        let mut changes: Vec<(f64, Vec<Edit>)> =
            (0..CHANGES_BEFORE).map(|n| (5000.0 + n as f64 * 50.0, generator.edits(1))).collect();
        let busy_ms = match name {
            "calm" | "burst" => 30_000.0,
            "day" => 120_000.0,
            "regions" => 75_000.0,
            _ => 45_000.0,
        };
        let from = WARM_UP_MS;
        match name {
            "calm" => {}
            "burst" => {
                for at in [from + 3000.0, from + 15_000.0] {
                    (0..20).for_each(|n| changes.push((at + n as f64 * 10.0, generator.edits(2))));
                }
            }
            "day" => {
                let interval_ms = DAY_S * 1000.0 / CHANGES_A_DAY / TIME_FACTOR;
                let count = (busy_ms / interval_ms) as usize;
                for n in 0..count {
                    let at = from + (n as f64 + generator.rng.random::<f64>()) * interval_ms;
                    changes.push((at, generator.edits(2)));
                }
            }
            // More changes than a history holds, while some listeners are cut off.
            "back" => (0..CHANGES_BEFORE)
                .for_each(|n| changes.push((from + 3000.0 + n as f64 * 100.0, generator.edits(1)))),
            _ => {
                let count = (busy_ms / 1500.0) as usize;
                for n in 0..count {
                    let at = from + (n as f64 + generator.rng.random::<f64>()) * 1500.0;
                    changes.push((at, generator.edits(2)));
                }
            }
        }
        changes.sort_by(|a, b| a.0.total_cmp(&b.0));
        let steps = steps(name, listeners, from, busy_ms, &mut generator.rng);
        let span_ms = from + busy_ms + FINAL_FAULT_FREE_MS;
        let loss = if matches!(name, "loss" | "mangled") { 0.02 } else { 0.0 };
        let mangled = if name == "mangled" { 0.01 } else { 0.0 };
        Scenario { name, listeners, seed, span_ms, changes, steps, loss, mangled }
    }
}

/// Returns the faults of a scenario, which occur within `busy_ms` after `from`.
fn steps(name: &str, listeners: usize, from: f64, busy_ms: f64, rng: &mut Pcg32) -> Vec<Step> {
    let all: Vec<usize> = (ORIGINS..ORIGINS + listeners).collect();
    let step = |at: f64, for_ms: f64, targets: Targets, fault: Fault| Step {
        at_ms: from + at,
        for_ms,
        targets,
        fault,
    };
    let zone = |zone: usize| -> Vec<usize> {
        (0..ORIGINS + listeners).filter(|index| zone_of(*index) == zone).collect()
    };
    let spread_over_run = |rng: &mut Pcg32, per_day: f64, for_ms: (f64, f64), fault: Fault| -> Vec<Step> {
        let interval_ms = DAY_S * 1000.0 / (per_day * listeners as f64 / REFERENCE_MEMBERS) / TIME_FACTOR;
        let mut at = interval_ms * rng.random::<f64>();
        let mut steps = Vec::new();
        while at < busy_ms {
            let index = all[rng.random_range(0..all.len())];
            let for_ms = rng.random_range(for_ms.0..for_ms.1);
            steps.push(step(at, for_ms, Targets::Processes(vec![index]), fault));
            at += interval_ms * (0.5 + rng.random::<f64>());
        }
        steps
    };
    match name {
        "day" => {
            let mut steps = spread_over_run(rng, RESTARTS_A_DAY, (800.0, 4000.0), Fault::Killed);
            steps.extend(spread_over_run(rng, MACHINES_LOST_A_DAY, (8000.0, 20_000.0), Fault::MachineLost));
            steps
        }
        "release" => {
            let mut left = all.clone();
            let count = listeners * 7 / 10;
            let restart = |n: usize| {
                let index = left.swap_remove(rng.random_range(0..left.len()));
                let at = 2000.0 + n as f64 * 20_000.0 / count as f64;
                step(at, 1500.0, Targets::Processes(vec![index]), Fault::Killed)
            };
            (0..count).map(restart).collect()
        }
        "rack" => {
            // Adjacent machines of one zone.
            let of_zone: Vec<usize> =
                zone(rng.random_range(0..ZONES)).into_iter().filter(|index| *index >= ORIGINS).collect();
            let count = RACK_SIZE.min(of_zone.len() / 2).max(1);
            let first = rng.random_range(0..=of_zone.len() - count);
            let rack = of_zone[first..first + count].to_vec();
            vec![step(5000.0, 20_000.0, Targets::Processes(rack), Fault::MachineLost)]
        }
        "zone" => {
            let of_zone = zone(rng.random_range(0..ZONES));
            vec![step(5000.0, 20_000.0, Targets::Processes(of_zone), Fault::MachineLost)]
        }
        // Pauses each zone in turn, with its origin. One in eight of the zone's listeners keeps running, and half of those
        // restart during the pause.
        "zone-stopped" => (0..ZONES)
            .flat_map(|n| {
                let at = 3000.0 + n as f64 * 10_000.0;
                let keeps_running = |index: &usize| *index >= ORIGINS && (index / ZONES).is_multiple_of(8);
                let (running, paused): (Vec<usize>, Vec<usize>) =
                    zone(n).into_iter().partition(keeps_running);
                let restarted = running.into_iter().step_by(2).collect();
                [
                    step(at, 4000.0, Targets::Processes(paused), Fault::Paused),
                    step(at + 300.0, 300.0, Targets::Processes(restarted), Fault::Killed),
                ]
            })
            .collect(),
        "relays" => vec![
            step(5000.0, 6000.0, Targets::Relays(0.2), Fault::Killed),
            step(22_000.0, 6000.0, Targets::Relays(0.2), Fault::Killed),
        ],
        "relays-gone" => vec![step(5000.0, 20_000.0, Targets::Relays(0.2), Fault::MachineLost)],
        "relay-gone" => (0..3)
            .map(|n| step(4000.0 + n as f64 * 12_000.0, 9000.0, Targets::Relays(0.0), Fault::MachineLost))
            .collect(),
        "relay-stopped" => (0..3)
            .map(|n| step(4000.0 + n as f64 * 12_000.0, 6000.0, Targets::Relays(0.0), Fault::Paused))
            .collect(),
        "relays-deaf" => vec![step(5000.0, 20_000.0, Targets::Relays(0.2), Fault::OriginsUnheard)],
        "relays-slow" => vec![step(5000.0, 20_000.0, Targets::Relays(0.2), Fault::Slow)],
        "source" => (0..ORIGINS)
            .map(|n| step(3000.0 + n as f64 * 13_000.0, 8000.0, Targets::Processes(vec![n]), Fault::Killed))
            .collect(),
        "source-gone" => (0..ORIGINS)
            .map(|n| {
                step(3000.0 + n as f64 * 13_000.0, 8000.0, Targets::Processes(vec![n]), Fault::MachineLost)
            })
            .collect(),
        "sources" => {
            vec![step(8000.0, 15_000.0, Targets::Processes((0..ORIGINS).collect()), Fault::MachineLost)]
        }
        "regions" => {
            let of_last = (0..ORIGINS + listeners).filter(|index| region_of(*index) == REGIONS - 1).collect();
            vec![step(6000.0, 60_000.0, Targets::Processes(of_last), Fault::CutOff)]
        }
        "back" => {
            let count = (listeners / 40).max(2);
            let mut isolated: Vec<usize> =
                (0..count).map(|n| all[(n * 41 + rng.random_range(0..41)) % all.len()]).collect();
            isolated.sort_unstable();
            isolated.dedup();
            isolated
                .into_iter()
                .map(|index| step(1000.0, 34_000.0, Targets::Processes(vec![index]), Fault::CutOff))
                .collect()
        }
        _ => Vec::new(),
    }
}
