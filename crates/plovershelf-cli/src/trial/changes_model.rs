//! Numbered changes on simulated time: each shape of trouble carried by the mechanism, by the leader to all and by gossip with
//! exchange, on the same seeds and changes; then how the mechanism's costs grow.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use plovershelf_config_distribution::DistributionConfig;
use plovershelf_simulation::changes::direct::Direct;
use plovershelf_simulation::changes::gossip::Gossip;
use plovershelf_simulation::changes::shapes::{Shape, FASTER, SHAPES};
use plovershelf_simulation::changes::tree::Tree;
use plovershelf_simulation::changes::{
    self, Came, Rates, BAD_CHANGES_NOTHING, CUT_OFF_SERVES_ON, IN_FORCE_MS, NEVER_BACKWARDS,
    ONE_CONTENT_A_NUMBER,
};
use plovershelf_simulation::plot::{lines, Line};
use plovershelf_simulation::statistics::{Fit, Spread};

use super::{Aim, Figures, Ground};

/// What a backend may spend a second.
const BYTES: f64 = 4096.0;
/// Worlds at once; each holds the content of all its members.
const AT_ONCE: usize = 2;
const SIZES: [(usize, &str); 4] =
    [(30, "members_30"), (100, "members_100"), (300, "members_300"), (900, "members_900")];

/// A shape's name, and that with each other way.
macro_rules! names {
    ($($name:literal),*) => { [$([
        $name,
        concat!($name, "/leader-to-all"),
        concat!($name, "/gossip-0.3"),
        concat!($name, "/gossip-1.0"),
    ]),*] };
}

const NAMES: [[&str; 4]; SHAPES.len()] = names!(
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
    "mangled"
);

/// All work, a few at a time, in its order.
fn all<T: Sync, R: Send>(work: &[T], play: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let came = Mutex::new(Vec::new());
    let worker = || loop {
        let place = next.fetch_add(1, Ordering::Relaxed);
        let Some(one) = work.get(place) else { return };
        let one = play(one);
        if let Ok(mut came) = came.lock() {
            came.push((place, one));
        }
    };
    std::thread::scope(|scope| (0..AT_ONCE).for_each(|_| drop(scope.spawn(worker))));
    let mut came = came.into_inner().unwrap_or_default();
    came.sort_by_key(|(place, _)| *place);
    came.into_iter().map(|(_, one)| one).collect()
}

/// The mechanism first; the others are struck where it was.
fn four(shape: &Shape) -> [Came; 4] {
    let tree = changes::run::<Tree>(shape, None);
    let struck = Some(&tree.struck[..]);
    let direct = changes::run::<Direct>(shape, struck);
    let gossip = changes::run::<Gossip<300>>(shape, struck);
    let slower = changes::run::<Gossip<1000>>(shape, struck);
    [tree, direct, gossip, slower]
}

fn most(of: impl Iterator<Item = Option<f64>>) -> Option<f64> {
    of.flatten().reduce(f64::max)
}

fn mean(of: impl Iterator<Item = Option<f64>>) -> Option<f64> {
    let all: Vec<f64> = of.flatten().collect();
    (!all.is_empty()).then(|| all.iter().sum::<f64>() / all.len() as f64)
}

/// One way's figures of a shape over all seeds. `judged`: the mechanism.
fn figures(name: &str, came: &[&Came], judged: bool) -> Figures {
    let mut figures = Figures::default();
    let aim = |aim: Aim| if judged { aim } else { Aim::Told };
    let none = aim(Aim::AtMost(0.0));
    let sum = |of: &dyn Fn(&Came) -> u64| came.iter().map(|one| of(one)).sum::<u64>() as f64;
    let rate = |of: &dyn Fn(&Came) -> Rates| -> [Option<f64>; 3] {
        let of: Vec<Rates> = came.iter().map(|one| of(one)).collect();
        [
            mean(of.iter().map(|rates| rates.mean)),
            most(of.iter().map(|rates| rates.most)),
            most(of.iter().map(|rates| rates.second)),
        ]
    };
    let bounded = if matches!(name, "calm" | "day") { aim(Aim::AtMost(BYTES)) } else { Aim::Told };
    let [listener, listener_most, listener_second] = rate(&|one| one.spent.listeners);
    figures.put("bytes_a_listener_a_second", listener, bounded);
    figures.told("bytes_worst_listener_a_second", listener_most);
    figures.told("bytes_worst_listener_worst_second", listener_second);
    if judged {
        let [relay, relay_most, _] = rate(&|one| one.spent.relays);
        figures.told("bytes_a_relay_a_second", relay);
        // A relay is a backend as well: in calm its budget is the same.
        let calm = if name == "calm" { Aim::AtMost(BYTES) } else { Aim::Told };
        figures.put("bytes_worst_relay_a_second", relay_most, calm);
    }
    let [source, source_most, source_second] = rate(&|one| one.spent.sources);
    figures.told("bytes_a_source_a_second", source);
    figures.told("bytes_worst_source_a_second", source_most);
    figures.told("bytes_worst_source_worst_second", source_second);
    let highest = |of: &dyn Fn(&Came) -> u64| came.iter().map(|one| of(one)).max().map(|n| n as f64);
    figures.told("messages_worst_second", highest(&|one| one.spent.messages_second));
    figures.told("peers_worst_second", highest(&|one| one.spent.peers_second));
    let config = DistributionConfig::default();
    if judged {
        figures.put(
            "fed_by_a_source_most",
            highest(&|one| one.spent.children_of_source),
            Aim::AtMost(config.origin_failover_fan_out as f64),
        );
        figures.put(
            "fed_by_a_relay_most",
            highest(&|one| one.spent.children_of_listener),
            Aim::AtMost(config.failover_fan_out as f64),
        );
        figures.put("depth_most", highest(&|one| one.spent.depth), Aim::AtMost(2.0));
    } else {
        figures.told("fed_by_a_source_most", highest(&|one| one.spent.children_of_source));
    }
    if name != "calm" {
        let mut in_force = Spread::default();
        came.iter().for_each(|one| in_force.join(&one.in_force_ms));
        let seconds = |ms: Option<f64>| ms.map(|ms| ms / 1000.0);
        figures.put("changes", sum(&|one| one.agreed), aim(Aim::AtLeast(came.len() as f64 * 10.0)));
        figures.told("changes_without_a_council", sum(&|one| one.not_agreed));
        figures.told("in_force_s_median", seconds(in_force.at(0.5)));
        figures.put("in_force_s_99", seconds(in_force.at(0.99)), aim(Aim::AtMost(IN_FORCE_MS / 1000.0)));
        figures.told("in_force_s_worst", seconds(in_force.most()));
        figures.told("listeners_not_in_time", sum(&|one| one.late));
    }
    figures.put("reachable_at_end", sum(&|one| one.reachable), aim(Aim::AtLeast(1.0)));
    figures.put("missed", sum(&|one| one.missed), none);
    figures.put("went_back", sum(&|one| one.count(NEVER_BACKWARDS)), none);
    if judged {
        // The other ways carry numbers alone, and so have no content that could differ.
        figures.put("two_at_one_number", sum(&|one| one.count(ONE_CONTENT_A_NUMBER)), none);
        figures.put("cut_off_did_not_serve_on", sum(&|one| one.count(CUT_OFF_SERVES_ON)), none);
        figures.put("bad_changed_something", sum(&|one| one.count(BAD_CHANGES_NOTHING)), none);
        let miscounted =
            |one: &Came| one.counted.abs_diff(one.reachable) + one.counted_in_force.abs_diff(one.reachable);
        figures.put("counted_wrong_at_sources", sum(&miscounted), none);
    }
    figures
}

/// What grows with members: the mechanism in calm and on the ordinary day.
fn grown(ground: &Ground, members: usize, told: &mut Figures) -> Result<(), String> {
    let sizes: Vec<(usize, &'static str)> = SIZES.into_iter().filter(|(size, _)| *size <= members).collect();
    let seeds = ground.seeds.unwrap_or(1);
    let work: Vec<(usize, &'static str, u64)> = sizes
        .iter()
        .flat_map(|(size, _)| ["calm", "day"].map(|name| (*size, name)))
        .flat_map(|(size, name)| (ground.seed..ground.seed + seeds).map(move |seed| (size, name, seed)))
        .collect();
    let came = all(&work, |(size, name, seed)| changes::run::<Tree>(&Shape::of(name, *size, *seed), None));
    type Figure = (&'static str, &'static str, fn(&Came) -> Option<f64>);
    let of: [Figure; 7] = [
        ("calm_bytes_a_listener_a_second", "calm", |one| one.spent.listeners.mean),
        ("calm_bytes_worst_relay_a_second", "calm", |one| one.spent.relays.most),
        ("calm_bytes_a_source_a_second", "calm", |one| one.spent.sources.mean),
        ("day_bytes_a_listener_a_second", "day", |one| one.spent.listeners.mean),
        ("day_bytes_a_relay_a_second", "day", |one| one.spent.relays.mean),
        ("day_bytes_a_source_a_second", "day", |one| one.spent.sources.mean),
        ("day_in_force_s_99", "day", |one| one.in_force_at(0.99).map(|ms| ms / 1000.0)),
    ];
    let value = |size: usize, name: &str, figure: fn(&Came) -> Option<f64>| {
        let same = work.iter().zip(&came).filter(|((s, n, _), _)| *s == size && *n == name);
        mean(same.map(|(_, one)| figure(one)))
    };
    for (size, phase) in &sizes {
        let mut figures = Figures::default();
        of.iter().for_each(|(key, name, figure)| figures.told(key, value(*size, name, *figure)));
        told.phase(phase, figures);
    }
    let mut drawn = Vec::new();
    // A line through fewer than three sizes says nothing.
    for (key, name, figure) in of.into_iter().filter(|_| sizes.len() > 2) {
        let points: Vec<(f64, f64)> = work
            .iter()
            .zip(&came)
            .filter(|((_, of, _), _)| *of == name)
            .filter_map(|((size, ..), one)| figure(one).map(|value| (*size as f64, value)))
            .collect();
        let fit = Fit::of(&points);
        let mut figures = Figures::default();
        figures.told("slope_a_member", fit.map(|fit| fit.slope));
        figures.told("slope_bar", fit.map(|fit| fit.slope_bar()));
        figures.told("intercept", fit.map(|fit| fit.intercept));
        figures.told("r_squared", fit.map(|fit| fit.r_squared));
        figures.told("at_920", fit.map(|fit| fit.at(920.0)));
        told.phase(key, figures);
        drawn.push(Line { name: key.into(), points });
    }
    if let Some(folder) = &ground.logs {
        let path = folder.join("changes-model.svg");
        let text =
            lines("Numbered changes as the fleet grows", "members", "bytes a second, seconds", &drawn)?;
        std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    Ok(())
}

pub fn run(ground: &Ground) -> Result<Figures, String> {
    let (members, seeds) = (ground.members.unwrap_or(900), ground.seeds.unwrap_or(1));
    if !(30..=2000).contains(&members) {
        return Err(format!("--members {members}: from 30 to 2000"));
    }
    if seeds == 0 {
        return Err("--seeds 0: one at least".into());
    }
    let mut told = Figures::default();
    told.told("members", members as f64);
    told.told("seeds", seeds as f64);
    told.told("tenants", changes::shapes::TENANTS as f64);
    told.told("days_faster", FASTER);
    let work: Vec<(usize, u64)> = (0..SHAPES.len())
        .flat_map(|shape| (ground.seed..ground.seed + seeds).map(move |seed| (shape, seed)))
        .collect();
    let came = all(&work, |(shape, seed)| four(&Shape::of(SHAPES[*shape], members, *seed)));
    for (number, names) in NAMES.iter().enumerate() {
        for (way, name) in names.iter().enumerate() {
            let of_shape = work.iter().zip(&came).filter(|((shape, _), _)| *shape == number);
            let of: Vec<&Came> = of_shape.map(|(_, came)| &came[way]).collect();
            if way == 0 {
                let seen = of.iter().flat_map(|one| one.broken.iter().take(3));
                seen.for_each(|broken| tracing::warn!(event = "broken", shape = name, told = ?broken));
            }
            told.phase(name, figures(names[0], &of, way == 0));
        }
    }
    grown(ground, members, &mut told)?;
    Ok(told)
}

#[cfg(test)]
mod tests;
