//! What is played: changes as they are proposed, and troubles, in an order drawn from a seed and the same for each way.

use plovershelf_config_distribution::Edit;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Places: the sources first, then the listeners. A place's zone is its number modulo the zones.
pub const SOURCES: usize = 3;
pub const ZONES: usize = 4;
pub const REGIONS: usize = 2;
/// A rack or switch.
pub const RACK: usize = 20;
/// The content in the model; the size in mind has ten times as many, of which 900 copies would not fit.
pub const TENANTS: usize = 3400;
/// Figures count from here on: all have started, and so many changes were made that a process which starts anew is not
/// helped by the history that others hold.
pub const WARM_MS: f64 = 22_000.0;
/// More than any process keeps.
pub const CHANGES_BEFORE: usize = 270;
/// At the end nothing happens for so long.
pub const QUIET_MS: f64 = 12_000.0;
/// Ordinary days are played so many times faster.
pub const FASTER: f64 = 50.0;
const DAY_S: f64 = 86_400.0;
const CHANGES_A_DAY: f64 = 1500.0;
const RESTARTS_A_DAY: f64 = 790.0;
const MACHINES_LOST_A_DAY: f64 = 36.0;
/// That is for so many members.
const OF_MEMBERS: f64 = 920.0;

pub fn zone_of(place: usize) -> usize {
    place % ZONES
}

pub fn region_of(place: usize) -> usize {
    zone_of(place) * REGIONS / ZONES
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// The process ends and is started anew; who sends there is told at once that nobody listens.
    Killed,
    /// The machine is gone without a word; a new one at its end.
    Gone,
    /// It stands still, and then goes on as if nothing had been.
    Stopped,
    /// Nothing passes between these and all others.
    CutOff,
    /// Nothing comes from sources any more, all else does.
    Deaf,
    /// All that goes to or from it takes half a second longer.
    Slow,
}

/// Whom it strikes.
#[derive(Clone, Debug, PartialEq)]
pub enum Who {
    Places(Vec<usize>),
    /// This share of those listeners that hand on as it begins, one at least; drawn.
    Relays(f64),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at_ms: f64,
    pub for_ms: f64,
    pub who: Who,
    pub trouble: Trouble,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Shape {
    pub name: &'static str,
    pub listeners: usize,
    pub seed: u64,
    pub span_ms: f64,
    /// Changes, by the time of their proposal.
    pub changes: Vec<(f64, Vec<Edit>)>,
    pub steps: Vec<Step>,
    /// Of all messages, this share is lost, and as much comes twice.
    pub loss: f64,
    /// Of the messages with changes, this share comes with another quota or an edit that does not fit.
    pub mangled: f64,
}

pub const SHAPES: [&str; 20] = [
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

/// A tenant that no change names but mangled ones.
pub const NOBODY: &str = "nobody";

pub fn tenant(number: usize) -> String {
    format!("tenant-{number:05}")
}

pub fn quota_at_first(number: usize) -> f64 {
    20.0 + (number % 97) as f64
}

struct Draw {
    chance: Pcg32,
    /// Tenants that are known, by number, and the next new one.
    known: Vec<usize>,
    fresh: usize,
}

impl Draw {
    fn edits(&mut self, count: usize) -> Vec<Edit> {
        let mut named: Vec<usize> = Vec::new();
        let mut edits = Vec::new();
        while edits.len() < count {
            let quota_per_s = (self.chance.random_range(1.0..500.0_f64) * 8.0).round() / 8.0;
            let (place, kind) =
                (self.chance.random_range(0..self.known.len()), self.chance.random_range(0..20));
            let number = self.known[place];
            if named.contains(&number) {
                continue;
            }
            named.push(number);
            edits.push(match kind {
                0 => {
                    self.known.swap_remove(place);
                    Edit::Remove { tenant: tenant(number) }
                }
                1 => {
                    named.push(self.fresh);
                    self.known.push(self.fresh);
                    self.fresh += 1;
                    Edit::Add { tenant: tenant(self.fresh - 1), quota_per_s }
                }
                _ => Edit::Set { tenant: tenant(number), quota_per_s },
            });
        }
        edits
    }
}

impl Shape {
    pub fn of(name: &'static str, listeners: usize, seed: u64) -> Self {
        let chance = Pcg32::seed_from_u64(seed ^ 0x0c4a_26e5);
        let mut draw = Draw { chance, known: (0..TENANTS).collect(), fresh: TENANTS };
        let mut changes: Vec<(f64, Vec<Edit>)> =
            (0..CHANGES_BEFORE).map(|n| (5000.0 + n as f64 * 50.0, draw.edits(1))).collect();
        let busy_ms = match name {
            "calm" | "burst" => 30_000.0,
            "day" => 120_000.0,
            "regions" => 75_000.0,
            _ => 45_000.0,
        };
        let from = WARM_MS;
        match name {
            "calm" => {}
            "burst" => {
                for at in [from + 3000.0, from + 15_000.0] {
                    (0..20).for_each(|n| changes.push((at + n as f64 * 10.0, draw.edits(2))));
                }
            }
            "day" => {
                let every_ms = DAY_S * 1000.0 / CHANGES_A_DAY / FASTER;
                let count = (busy_ms / every_ms) as usize;
                for n in 0..count {
                    let at = from + (n as f64 + draw.chance.random::<f64>()) * every_ms;
                    changes.push((at, draw.edits(2)));
                }
            }
            // As many as nobody's history holds, while some are away.
            "back" => (0..CHANGES_BEFORE)
                .for_each(|n| changes.push((from + 3000.0 + n as f64 * 100.0, draw.edits(1)))),
            _ => {
                let count = (busy_ms / 1500.0) as usize;
                for n in 0..count {
                    let at = from + (n as f64 + draw.chance.random::<f64>()) * 1500.0;
                    changes.push((at, draw.edits(2)));
                }
            }
        }
        changes.sort_by(|a, b| a.0.total_cmp(&b.0));
        let steps = steps(name, listeners, from, busy_ms, &mut draw.chance);
        let span_ms = from + busy_ms + QUIET_MS;
        let loss = if matches!(name, "loss" | "mangled") { 0.02 } else { 0.0 };
        let mangled = if name == "mangled" { 0.01 } else { 0.0 };
        Shape { name, listeners, seed, span_ms, changes, steps, loss, mangled }
    }
}

fn steps(name: &str, listeners: usize, from: f64, busy_ms: f64, chance: &mut Pcg32) -> Vec<Step> {
    let all: Vec<usize> = (SOURCES..SOURCES + listeners).collect();
    let step =
        |at: f64, for_ms: f64, who: Who, trouble: Trouble| Step { at_ms: from + at, for_ms, who, trouble };
    let zone = |zone: usize| -> Vec<usize> {
        (0..SOURCES + listeners).filter(|place| zone_of(*place) == zone).collect()
    };
    let spread = |chance: &mut Pcg32, a_day: f64, for_ms: (f64, f64), trouble: Trouble| -> Vec<Step> {
        let every_ms = DAY_S * 1000.0 / (a_day * listeners as f64 / OF_MEMBERS) / FASTER;
        let mut at = every_ms * chance.random::<f64>();
        let mut steps = Vec::new();
        while at < busy_ms {
            let place = all[chance.random_range(0..all.len())];
            let for_ms = chance.random_range(for_ms.0..for_ms.1);
            steps.push(step(at, for_ms, Who::Places(vec![place]), trouble));
            at += every_ms * (0.5 + chance.random::<f64>());
        }
        steps
    };
    match name {
        "day" => {
            let mut steps = spread(chance, RESTARTS_A_DAY, (800.0, 4000.0), Trouble::Killed);
            steps.extend(spread(chance, MACHINES_LOST_A_DAY, (8000.0, 20_000.0), Trouble::Gone));
            steps
        }
        "release" => {
            let mut left = all.clone();
            let count = listeners * 7 / 10;
            let one = |n: usize| {
                let place = left.swap_remove(chance.random_range(0..left.len()));
                let at = 2000.0 + n as f64 * 20_000.0 / count as f64;
                step(at, 1500.0, Who::Places(vec![place]), Trouble::Killed)
            };
            (0..count).map(one).collect()
        }
        "rack" => {
            // Machines of one zone that stand beside each other.
            let of_zone: Vec<usize> =
                zone(chance.random_range(0..ZONES)).into_iter().filter(|place| *place >= SOURCES).collect();
            let count = RACK.min(of_zone.len() / 2).max(1);
            let first = chance.random_range(0..=of_zone.len() - count);
            let rack = of_zone[first..first + count].to_vec();
            vec![step(5000.0, 20_000.0, Who::Places(rack), Trouble::Gone)]
        }
        "zone" => {
            let of_zone = zone(chance.random_range(0..ZONES));
            vec![step(5000.0, 20_000.0, Who::Places(of_zone), Trouble::Gone)]
        }
        // Each zone in turn stands still, the source in it too; one in eight of it goes on, half of these start anew meanwhile.
        "zone-stopped" => (0..ZONES)
            .flat_map(|n| {
                let at = 3000.0 + n as f64 * 10_000.0;
                let goes_on = |place: &usize| *place >= SOURCES && (place / ZONES).is_multiple_of(8);
                let (on, still): (Vec<usize>, Vec<usize>) = zone(n).into_iter().partition(goes_on);
                let anew = on.into_iter().step_by(2).collect();
                [
                    step(at, 4000.0, Who::Places(still), Trouble::Stopped),
                    step(at + 300.0, 300.0, Who::Places(anew), Trouble::Killed),
                ]
            })
            .collect(),
        "relays" => vec![
            step(5000.0, 6000.0, Who::Relays(0.2), Trouble::Killed),
            step(22_000.0, 6000.0, Who::Relays(0.2), Trouble::Killed),
        ],
        "relays-gone" => vec![step(5000.0, 20_000.0, Who::Relays(0.2), Trouble::Gone)],
        "relay-gone" => (0..3)
            .map(|n| step(4000.0 + n as f64 * 12_000.0, 9000.0, Who::Relays(0.0), Trouble::Gone))
            .collect(),
        "relay-stopped" => (0..3)
            .map(|n| step(4000.0 + n as f64 * 12_000.0, 6000.0, Who::Relays(0.0), Trouble::Stopped))
            .collect(),
        "relays-deaf" => vec![step(5000.0, 20_000.0, Who::Relays(0.2), Trouble::Deaf)],
        "relays-slow" => vec![step(5000.0, 20_000.0, Who::Relays(0.2), Trouble::Slow)],
        "source" => (0..SOURCES)
            .map(|n| step(3000.0 + n as f64 * 13_000.0, 8000.0, Who::Places(vec![n]), Trouble::Killed))
            .collect(),
        "source-gone" => (0..SOURCES)
            .map(|n| step(3000.0 + n as f64 * 13_000.0, 8000.0, Who::Places(vec![n]), Trouble::Gone))
            .collect(),
        "sources" => vec![step(8000.0, 15_000.0, Who::Places((0..SOURCES).collect()), Trouble::Gone)],
        "regions" => {
            let of_last = (0..SOURCES + listeners).filter(|place| region_of(*place) == REGIONS - 1).collect();
            vec![step(6000.0, 60_000.0, Who::Places(of_last), Trouble::CutOff)]
        }
        "back" => {
            let count = (listeners / 40).max(2);
            let away: Vec<usize> =
                (0..count).map(|n| all[(n * 41 + chance.random_range(0..41)) % all.len()]).collect();
            let mut away: Vec<usize> = away;
            away.sort_unstable();
            away.dedup();
            away.into_iter()
                .map(|place| step(1000.0, 34_000.0, Who::Places(vec![place]), Trouble::CutOff))
                .collect()
        }
        _ => Vec::new(),
    }
}
