//! Numbered changes on simulated time, small: the same verdict each time.

use plovershelf_config_distribution::DistributionConfig;
use plovershelf_simulation::changes::direct::Direct;
use plovershelf_simulation::changes::gossip::Gossip;
use plovershelf_simulation::changes::shapes::{Shape, Step, Trouble, Who, SHAPES, WARM_MS};
use plovershelf_simulation::changes::tree::Tree;
use plovershelf_simulation::changes::{run, Came, IN_FORCE_MS};

fn kept(shape: &Shape, came: &Came) {
    let at = format!("{} seed {}: {:?} {:?}", shape.name, shape.seed, came.broken, came.seen);
    assert!(came.broken_count.is_empty(), "{at}");
    assert_eq!((came.missed, came.reachable), (0, shape.listeners as u64), "{at}");
    assert_eq!((came.counted, came.counted_in_force), (came.reachable, came.reachable), "{at}");
    if shape.name != "calm" {
        assert!(came.agreed > 10, "{at}: {} agreed", came.agreed);
        let worst = came.in_force_at(0.99).expect("changes in force somewhere");
        assert!(worst <= IN_FORCE_MS, "{at}: 99th percentile {worst} ms");
    }
    let (config, spent) = (DistributionConfig::default(), came.spent);
    assert!(spent.children_of_source <= config.origin_failover_fan_out as u64, "{at}: {spent:?}");
    assert!(spent.children_of_listener <= config.failover_fan_out as u64, "{at}: {spent:?}");
    assert!(spent.depth == 2, "{at}: {spent:?}");
}

/// Each on a thread of its own, as they are many.
fn all_kept(seed: u64, shapes: &[&'static str]) {
    std::thread::scope(|scope| {
        for name in shapes {
            scope.spawn(move || {
                let shape = Shape::of(name, 40, seed);
                kept(&shape, &run::<Tree>(&shape, None));
            });
        }
    });
}

#[test]
fn promises_hold_in_quiet_and_in_ordinary_trouble() {
    all_kept(1, &SHAPES[..6]);
}

#[test]
fn promises_hold_as_relays_are_lost() {
    all_kept(2, &SHAPES[6..12]);
}

#[test]
fn promises_hold_as_sources_and_ways_are_lost() {
    all_kept(3, &SHAPES[12..]);
}

/// Seen with seed 1 of `relays-deaf`: two relays that hear no source are each other's spares, and who hears from one of them
/// asked the other for ever.
#[test]
fn one_whose_spare_is_as_deaf_as_its_parent_goes_elsewhere() {
    for seed in [1, 2, 3] {
        let mut shape = Shape::of("relays-deaf", 120, seed);
        let deaf =
            Step { at_ms: WARM_MS + 4000.0, for_ms: 25_000.0, who: Who::Relays(0.4), trouble: Trouble::Deaf };
        shape.steps = vec![deaf];
        let came = run::<Tree>(&shape, None);
        let worst = came.in_force_worst().expect("changes in force somewhere");
        assert!(worst < 6000.0, "{seed}: {worst} {:?}", came.seen);
        assert!(came.missed == 0 && came.broken_count.is_empty(), "{seed}: {:?}", came.broken);
    }
}

/// Seen on real processes as most of a zone stood still with its source: whoever started there meanwhile was sent to one that
/// stood still over and over, by the sources that went on, and had changes up to 8 s late.
#[test]
fn one_that_starts_in_a_zone_that_stands_still_is_not_sent_round_in_it() {
    for seed in [1, 2] {
        let came = run::<Tree>(&Shape::of("zone-stopped", 300, seed), None);
        let worst = came.in_force_worst().expect("changes in force somewhere");
        assert!(worst < 3500.0, "{seed}: {worst} {:?}", came.seen);
        assert!(came.missed == 0 && came.broken_count.is_empty(), "{seed}: {:?}", came.broken);
    }
}

#[test]
fn other_ways_bring_all_there_too_and_the_leader_pays_for_it() {
    let shape = Shape::of("release", 40, 1);
    let (direct, gossip, tree) =
        (run::<Direct>(&shape, None), run::<Gossip<300>>(&shape, None), run::<Tree>(&shape, None));
    for came in [&direct, &gossip, &tree] {
        assert_eq!((came.missed, came.reachable), (0, 40));
        assert!(came.in_force_ms.count() > 1000, "{}", came.in_force_ms.count());
    }
    let leader = |came: &Came| came.spent.sources.most.expect("sources");
    assert!(leader(&direct) > leader(&tree), "{} {}", leader(&direct), leader(&tree));
}

#[test]
fn a_shape_without_changes_has_no_time_in_force() {
    let came = run::<Tree>(&Shape::of("calm", 30, 1), None);
    assert_eq!(came.in_force_at(0.99), None);
    assert!(
        came.spent.listeners.mean.is_some_and(|bytes| bytes > 0.0 && bytes <= 4096.0),
        "{:?}",
        came.spent
    );
}

#[test]
fn the_same_seed_comes_to_the_same() {
    let shape = Shape::of("relays", 40, 9);
    let (one, other) = (run::<Tree>(&shape, None), run::<Tree>(&shape, None));
    assert_eq!(
        (one.events, one.spent, one.in_force_worst()),
        (other.events, other.spent, other.in_force_worst())
    );
}
