//! One way to carry changes, shape by shape: `changes [tree|direct|gossip] [LISTENERS] [SEED] [SHAPE...]`; no shape is all of them.

use std::sync::atomic::{AtomicUsize, Ordering};

use plovershelf_simulation::changes::direct::Direct;
use plovershelf_simulation::changes::gossip::Gossip;
use plovershelf_simulation::changes::shapes::{Shape, SHAPES};
use plovershelf_simulation::changes::tree::Tree;
use plovershelf_simulation::changes::{run, Came};

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let way = args.first().map_or("tree", String::as_str);
    let number = |place: usize, default: u64| -> u64 {
        args.get(place).map_or(default, |text| text.parse().unwrap_or(default))
    };
    let wanted = args.get(3..).unwrap_or_default();
    let names: Vec<&'static str> =
        SHAPES.into_iter().filter(|name| wanted.is_empty() || wanted.iter().any(|w| w == name)).collect();
    let next = AtomicUsize::new(0);
    let work = || {
        while let Some(name) = names.get(next.fetch_add(1, Ordering::Relaxed)) {
            play(way, name, number(1, 900) as usize, number(2, 1));
        }
    };
    // Two at once, so that it stays under a gigabyte.
    std::thread::scope(|scope| (0..2).for_each(|_| drop(scope.spawn(work))));
}

fn play(way: &str, name: &'static str, listeners: usize, seed: u64) {
    let begun = std::time::Instant::now();
    let shape = Shape::of(name, listeners, seed);
    let came: Came = match way {
        "direct" => run::<Direct>(&shape, None),
        "gossip" => run::<Gossip<300>>(&shape, None),
        _ => run::<Tree>(&shape, None),
    };
    println!(
            "{name:14} {:5.1} s, {} events, agreed {}+{}, in force {:?} 99th {:?} worst {:.0?} ms, late {}, missed {} of {}, counted {} {}, broken {:?}",
            begun.elapsed().as_secs_f64(), came.events, came.agreed, came.not_agreed, came.in_force_ms.count(),
            came.in_force_at(0.99), came.in_force_worst(), came.late, came.missed, came.reachable, came.counted,
            came.counted_in_force, came.broken_count,
        );
    let s = came.spent;
    println!(
            "    bytes a second: listener {:.0?} relay {:.0?} source {:.0?}; messages {}, peers {}, children {} {}, depth {}",
            [s.listeners.mean, s.listeners.most, s.listeners.second].map(Option::unwrap_or_default),
            [s.relays.mean, s.relays.most, s.relays.second].map(Option::unwrap_or_default),
            [s.sources.mean, s.sources.most, s.sources.second].map(Option::unwrap_or_default),
            s.messages_second, s.peers_second, s.children_of_source, s.children_of_listener, s.depth
        );
    came.broken.iter().take(4).for_each(|b| println!("    {b:?}"));
    came.seen.iter().take(4).for_each(|line| println!("    {line}"));
}
