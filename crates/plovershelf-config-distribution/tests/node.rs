//! One node by itself: what it says to what it hears, bounds against bad peers, sizes, sources.

mod net;

use std::net::SocketAddr;

use net::Net;
use plovershelf_config_distribution::message::{Newest, Place, Sum};
use plovershelf_config_distribution::node::{About, Event, Message, Node, Role, Start, Terms};
use plovershelf_config_distribution::quota_table::{Content, Edit, Numbered, Version};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

fn at(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 4000))
}
fn about(last: u8) -> About {
    let (zone, region) = ("zone-1".to_string(), "region-1".to_string());
    About { name: format!("process-{last}"), zone, region, address: at(last), life: 1 }
}
fn content() -> Content {
    Content::initial((0..30).map(|at| (format!("tenant-{at}"), 10.0))).unwrap()
}
fn start(last: u8, role: Role) -> Node {
    let sources = vec![at(1), at(2), at(3)];
    let terms = Terms::default();
    Node::new(Start { about: about(last), role, sources, terms, held: content(), seed: last.into() }, 0.0)
}
fn set(tenant: &str, quota_per_s: f64) -> Edit {
    Edit::Set { tenant: tenant.to_string(), quota_per_s }
}
fn number(number: u64) -> Version {
    Version { era: 1, number }
}
fn newest(content: &Content) -> Newest {
    Newest { version: content.version(), digest: content.digest() as u64, age_ms: 0 }
}
/// A listener that hears from the relay at 20.
fn attached() -> Node {
    let mut node = start(10, Role::Listener);
    node.tick(300.0);
    let source = node.take().send[0].0;
    let ways = Message::Ways { relays: vec![at(20)], relay: false, over: false, ask: None };
    node.hear(301.0, source, ways);
    assert!(matches!(&node.take().send[..], [(to, Message::Attach { .. })] if *to == at(20)));
    node.hear(302.0, at(20), Message::Attached(newest(&content())));
    node.take();
    assert_eq!(node.status(302.0).parent, Some(at(20)));
    node
}

#[test]
fn a_proposal_is_checked_whole_and_against_the_number_it_was_told() {
    let mut source = start(1, Role::Source);
    let change = source.prepare(vec![set("tenant-1", 5.0)], Some(0), 1, 7).unwrap();
    assert_eq!((change.version, change.before, change.proposed_ms), (number(1), Version::default(), 7));
    source.agreed(0.0, change);
    let why = source.prepare(vec![set("tenant-1", 6.0)], Some(0), 1, 8).unwrap_err();
    assert!(why.contains("after 0") && why.contains("newest number is 1"), "{why}");
    let why = source.prepare(vec![set("nobody", 6.0)], None, 1, 8).unwrap_err();
    assert!(why.contains("nobody"), "{why}");
    let why = start(10, Role::Listener).prepare(vec![set("tenant-1", 6.0)], None, 1, 8).unwrap_err();
    assert!(why.contains("no source"), "{why}");
}

#[test]
fn a_source_beside_one_that_began_from_another_list_proposes_nothing() {
    let mut source = start(1, Role::Source);
    let other = Content::initial([("tenant-1".to_string(), 7.0)]).unwrap();
    source.hear(1.0, at(2), Message::Beat(newest(&other)));
    let why = source.prepare(vec![set("tenant-1", 5.0)], None, 1, 7).unwrap_err();
    assert!(why.contains("127.0.0.2:4000") && why.contains("another content"), "{why}");
    source.hear(2.0, at(2), Message::Beat(newest(&content())));
    assert!(source.prepare(vec![set("tenant-1", 5.0)], None, 1, 7).is_ok());
}

#[test]
fn a_number_that_is_held_is_not_taken_again_and_another_content_of_it_is_said() {
    let mut source = start(1, Role::Source);
    let one = source.prepare(vec![set("tenant-1", 5.0)], None, 1, 0).unwrap();
    let other = source.prepare(vec![set("tenant-1", 6.0)], None, 1, 0).unwrap();
    source.agreed(0.0, one.clone());
    source.take();
    source.agreed(1.0, one);
    assert!(source.take().events.is_empty());
    source.agreed(2.0, other);
    let events = source.take().events;
    assert!(matches!(&events[..], [Event::Note(note)] if note.contains("1.1")), "{events:?}");
    assert_eq!(source.content().quota("tenant-1"), Some(5.0));
}

#[test]
fn a_source_behind_a_gap_asks_the_others_and_has_all_then() {
    let (mut first, mut second) = (start(1, Role::Source), start(2, Role::Source));
    for at in 0..3 {
        let change = first.prepare(vec![set("tenant-1", f64::from(at))], None, 1, 0).unwrap();
        first.agreed(0.0, change.clone());
        if at == 2 {
            second.agreed(0.0, change);
        }
    }
    assert_eq!(second.content().version(), Version::default());
    for _ in 0..6 {
        let (from_first, from_second) = (first.take().send, second.take().send);
        for (_, message) in from_first.into_iter().filter(|(to, _)| *to == at(2)) {
            second.hear(1.0, at(1), message);
        }
        for (_, message) in from_second.into_iter().filter(|(to, _)| *to == at(1)) {
            first.hear(1.0, at(2), message);
        }
    }
    assert_eq!(second.content(), first.content());
}

#[test]
fn sources_that_all_begin_from_nothing_have_the_newest_from_a_relay() {
    let mut net = Net::new(3, 3, 20, 2, Terms::default());
    net.run(2000.0);
    for _ in 0..5 {
        let edits = net.random_edits();
        net.propose(0, edits).unwrap();
        net.run(net.now + 200.0);
    }
    for source in 0..3 {
        net.kill(source, true);
    }
    net.run(net.now + 1000.0);
    for source in 0..3 {
        net.start(source, None);
    }
    net.run(net.now + 4000.0);
    net.check();
    assert_eq!((net.behind(), net.newest()), (vec![], number(5)));
}

#[test]
fn the_whole_of_34_000_tenants_comes_in_while_changes_go_on() {
    let list =
        |quota: f64| Content::initial((0..34_000).map(|at| (format!("tenant-{at:05}"), quota))).unwrap();
    let mut net = Net::with(list(1.0), 4, 3, 8, 2, Terms::default());
    net.run(1000.0);
    // More than a history holds, to one that lost all but its file.
    for at in 0..10 {
        let edits = (0..1500).map(|tenant| set(&format!("tenant-{tenant:05}"), f64::from(at))).collect();
        net.propose(0, edits).unwrap();
        net.run(net.now + 100.0);
    }
    net.kill(10, true);
    net.start(10, None);
    let from = net.now;
    let mut back = f64::NAN;
    for at in 0..40 {
        let edits = net.random_edits();
        net.propose(0, edits).unwrap();
        net.run(net.now + 20.0);
        let late = net.node(10).content().version().number + 3;
        if late >= 10 + at && back.is_nan() {
            back = net.now - from;
        }
    }
    net.run(net.now + 200.0);
    net.check();
    assert_eq!(net.behind(), Vec::<usize>::new());
    println!("back after {back} ms, in the midst of 50 changes a second");
    assert!(back < 1000.0);
    assert!(net.notes.is_empty(), "{:?}", net.notes);
}

#[test]
fn another_list_at_the_number_that_stands_for_a_file_gives_way_to_the_sources() {
    let mut net = Net::new(4, 3, 12, 2, Terms::default());
    net.kill(8, true);
    let other = Content::initial([("tenant-1", 5.0)]).unwrap();
    net.start(8, Some(other));
    net.run(4000.0);
    assert_eq!(net.node(8).content(), &net.initial);
}

#[test]
fn a_listener_ignores_strangers() {
    let mut node = attached();
    let before = node.status(303.0);
    let mut other = content();
    let edits = vec![set("tenant-1", 99.0)];
    let digest = other.check(&edits).unwrap();
    let change = Numbered { version: number(1), before: Version::default(), digest, edits, proposed_ms: 0 };
    other.apply(&change).unwrap();
    let (entries, last) = other.part(None);
    let part = Message::Part { version: number(1), digest, after: None, entries, last };
    let near = Message::Near { relays: vec![at(66)], sources: vec![] };
    for message in [Message::Changes(vec![change]), part, Message::Beat(newest(&other)), near, Message::Leave]
    {
        node.hear(303.0, at(99), message);
    }
    assert!(node.take().send.iter().all(|(to, message)| *to == at(99) && *message == Message::Leave));
    node.hear(303.0, at(99), Message::Ask(newest(&content())));
    node.hear(303.0, at(99), Message::Check);
    assert!(node.take().send.is_empty());
    assert_eq!(node.status(303.0), before);
}

#[test]
fn a_leaf_feeds_nobody_and_a_relay_feeds_no_relay() {
    let mut leaf = attached();
    let attach = |relay| Message::Attach { about: about(30), newest: newest(&content()), relay, over: true };
    leaf.hear(303.0, at(30), attach(false));
    assert_eq!(leaf.take().send, vec![(at(30), Message::Refused)]);
    let mut relay = start(11, Role::Listener);
    relay.tick(300.0);
    let source = relay.take().send[0].0;
    relay.hear(301.0, source, Message::Ways { relays: vec![], relay: true, over: false, ask: None });
    assert!(matches!(&relay.take().send[..], [(to, Message::Attach { relay: true, .. })] if *to == source));
    relay.hear(302.0, source, Message::Attached(newest(&content())));
    relay.take();
    relay.hear(303.0, at(30), attach(true));
    assert_eq!(relay.take().send[0], (at(30), Message::Refused));
    for child in 0..60 {
        relay.hear(304.0, at(100 + child), attach(false));
    }
    assert_eq!(relay.status(304.0).children, 32);
    // Its way up leads to sources alone, whatever it is told.
    relay.hear(305.0, source, Message::Near { relays: vec![at(100)], sources: vec![at(100), at(101)] });
    relay.take();
    for step in 0..40 {
        relay.tick(305.0 + 200.0 * f64::from(step));
        for (to, message) in relay.take().send {
            let up = matches!(message, Message::Attach { .. } | Message::Seek { .. });
            assert!(!up || [at(1), at(2), at(3)].contains(&to), "{to} {message:?}");
        }
    }
}

#[test]
fn a_listener_that_is_cut_off_keeps_its_content_and_says_how_old_it_is() {
    let mut node = attached();
    for step in 1..3000 {
        node.tick(302.0 + f64::from(step) * 1200.0);
        node.take();
    }
    let now = 302.0 + 3000.0 * 1200.0;
    let status = node.status(now);
    assert_eq!((node.content(), status.parent), (&content(), None));
    assert!(status.age_ms.is_some_and(|age| age > 3_590_000.0), "{status:?}");
}

#[test]
fn relays_that_took_over_from_dead_ones_come_back_to_their_fan_out() {
    let mut net = Net::new(8, 3, 150, 2, Terms::default());
    net.run(3000.0);
    let relays: Vec<usize> = (3..153).filter(|at| net.node(*at).is_relay()).collect();
    for relay in relays.iter().step_by(2) {
        net.kill(*relay, true);
    }
    net.run(net.now + 4000.0);
    let most = |net: &Net| {
        let fed =
            net.slots.iter().filter_map(|slot| slot.node.as_ref()).map(|node| node.status(0.0).children);
        fed.max().unwrap()
    };
    assert!((17..=32).contains(&most(&net)), "{}", most(&net));
    net.run(net.now + 120_000.0);
    assert!(most(&net) <= 16, "{}", net.show());
    assert!(net.behind().is_empty() && net.broken.is_empty());
}

#[test]
fn a_source_that_is_back_has_the_relays_of_its_region_again_and_its_share() {
    let mut net = Net::new(9, 3, 300, 4, Terms::default());
    net.run(3000.0);
    let fed = |net: &Net| (0..3).map(|at| net.node(at).status(0.0).children).collect::<Vec<_>>();
    for back in [2, 0] {
        net.kill(back, false);
        net.run(net.now + 4000.0);
        net.start(back, None);
        net.run(net.now + 240_000.0);
        for at in 3..303 {
            let parent = net.node(at).status(net.now).parent.unwrap();
            let parent = net.slots.iter().find(|slot| slot.address == parent).unwrap();
            assert_eq!(parent.region, net.slots[at].region, "{at}\n{}", net.show());
        }
        let fed = fed(&net);
        assert!(fed[0].abs_diff(fed[1]) <= 5 && fed[2] > 0, "{fed:?}");
    }
    assert!(net.behind().is_empty() && net.broken.is_empty());
}

#[test]
fn a_process_that_is_back_elsewhere_is_not_missing() {
    let mut net = Net::new(6, 3, 60, 4, Terms::default());
    net.run(3000.0);
    for at in 3..45 {
        net.kill(at, at % 2 == 0);
    }
    net.run(net.now + 3000.0);
    let missing = |net: &Net| (0..3).flat_map(|at| net.node(at).status(net.now).missing).collect::<Vec<_>>();
    assert!(!missing(&net).is_empty());
    for at in 4..45 {
        net.start(at, None);
    }
    net.run(net.now + 20_000.0);
    assert_eq!(missing(&net), vec!["process-3".to_string()]);
}

#[test]
fn a_child_that_fell_silent_is_named_and_one_that_left_is_not() {
    let mut source = start(1, Role::Source);
    for child in [30, 31] {
        let attach =
            Message::Attach { about: about(child), newest: newest(&content()), relay: true, over: false };
        source.hear(0.0, at(child), attach);
    }
    assert_eq!(source.status(1.0).under, 2);
    source.hear(2.0, at(30), Message::Leave);
    for step in 0..40 {
        source.tick(100.0 * f64::from(step));
    }
    let status = source.status(4000.0);
    assert_eq!((status.under, status.missing), (0, vec!["process-31".to_string()]));
    for step in 0..1300 {
        source.tick(4000.0 + 500.0 * f64::from(step));
    }
    assert!(source.status(654_000.0).missing.is_empty());
}

#[test]
fn a_process_that_was_stopped_takes_nobody_for_silent() {
    let mut source = start(1, Role::Source);
    source.tick(0.0);
    let attach = Message::Attach { about: about(30), newest: newest(&content()), relay: true, over: false };
    source.hear(0.0, at(30), attach);
    source.tick(60_000.0);
    assert_eq!(source.status(60_000.0).children, 1);
}

#[test]
fn beats_and_sums_are_small_and_a_calm_listener_hears_and_says_little() {
    let version = Version { era: 1_000, number: 1_000_000 };
    let newest = Newest { version, digest: u64::MAX, age_ms: u32::MAX };
    let sum = Sum { version, under: 920, in_force: 920, oldest: version, feeds: 32, ..Sum::default() };
    let bytes = |message: &Message| postcard::to_stdvec(message).unwrap().len();
    let (beat, sum) = (bytes(&Message::Beat(newest)), bytes(&Message::Sum(sum)));
    println!("beat {beat}, sum {sum} bytes");
    assert!(beat < 64 && sum < 128);
    let mut net = Net::new(5, 3, 200, 4, Terms::default());
    net.run(10_000.0);
    net.count_bytes = true;
    net.run(40_000.0);
    let all = net.bytes.iter().sum::<u64>() as f64 / 30.0 / 200.0;
    let most = |of: &[u64]| of.iter().copied().max().unwrap() as f64 / 30.0;
    let relays = net.slots.iter().filter(|slot| slot.node.as_ref().unwrap().is_relay()).count();
    println!(
        "calm, 200 listeners, {relays} relays: {all:.1} bytes a listener a second, most by one {:.0} bytes and {:.0} messages",
        most(&net.bytes),
        most(&net.messages)
    );
    assert!(all > 10.0 && all < 400.0 && most(&net.bytes) < 4096.0);
}

fn random_message(rng: &mut Pcg32) -> Message {
    let version = |rng: &mut Pcg32| Version { era: rng.random_range(0..3), number: rng.random_range(0..6) };
    let address = |rng: &mut Pcg32| at(rng.random_range(0..40));
    let newest = |rng: &mut Pcg32| Newest {
        version: version(rng),
        digest: rng.random_range(0..3),
        age_ms: if rng.random_bool(0.2) { u32::MAX } else { rng.random_range(0..5000) },
    };
    let edits = |rng: &mut Pcg32| {
        let one = |rng: &mut Pcg32| {
            let tenant = format!("tenant-{}", rng.random_range(0..40));
            match rng.random_range(0..3) {
                0 => Edit::Set { tenant, quota_per_s: rng.random_range(-1.0..10.0) },
                1 => Edit::Add { tenant, quota_per_s: f64::from_bits(rng.random()) },
                _ => Edit::Remove { tenant },
            }
        };
        (0..rng.random_range(0..3)).map(|_| one(rng)).collect::<Vec<_>>()
    };
    let numbered = |rng: &mut Pcg32| Numbered {
        version: version(rng),
        before: version(rng),
        digest: rng.random_range(0..3),
        edits: edits(rng),
        proposed_ms: 0,
    };
    let addresses = |rng: &mut Pcg32| (0..rng.random_range(0..20)).map(|_| address(rng)).collect::<Vec<_>>();
    let name = |rng: &mut Pcg32| "x".repeat(rng.random_range(0..70));
    match rng.random_range(0..21) {
        0 => Message::Seek { about: about(1), avoid: addresses(rng), sent_on: rng.random() },
        1 | 2 => Message::Ways {
            relays: addresses(rng),
            relay: rng.random_bool(0.3),
            over: rng.random(),
            ask: rng.random_bool(0.2).then(|| address(rng)),
        },
        3 => {
            let about = About { name: name(rng), ..about(rng.random_range(0..40)) };
            Message::Attach { about, newest: newest(rng), relay: rng.random(), over: rng.random() }
        }
        4 | 5 => Message::Attached(newest(rng)),
        6 => Message::Refused,
        7 => Message::Leave,
        8 => Message::Beat(newest(rng)),
        9 => Message::Near { relays: addresses(rng), sources: addresses(rng) },
        10 => Message::Changes((0..rng.random_range(0..4)).map(|_| numbered(rng)).collect()),
        11 => Message::Ask(newest(rng)),
        12 => Message::AskPart { version: version(rng), after: rng.random_bool(0.5).then(|| name(rng)) },
        // The digest of an empty list is 0, so that would fit.
        13 => Message::Part {
            version: version(rng),
            digest: rng.random_range(1..4),
            after: rng.random_bool(0.3).then(|| name(rng)),
            entries: (0..rng.random_range(0..4)).map(|_| (name(rng), rng.random_range(-1.0..9.0))).collect(),
            last: rng.random(),
        },
        14 => {
            let missing = (0..rng.random_range(0..10)).map(|_| name(rng)).collect();
            let joined = (0..rng.random_range(0..10)).map(|_| name(rng)).collect();
            let (under, in_force, feeds) = (rng.random(), rng.random(), rng.random());
            Message::Sum(Sum {
                version: version(rng),
                under,
                in_force,
                oldest: version(rng),
                feeds,
                missing,
                joined,
            })
        }
        15 => Message::Check,
        19 => Message::Elsewhere(rng.random_bool(0.5).then(|| address(rng))),
        16 => Message::Checked(newest(rng)),
        17 => Message::Found((0..rng.random_range(0..10)).map(|_| name(rng)).collect()),
        18 => Message::Joined((0..rng.random_range(0..100)).map(|_| (name(rng), address(rng))).collect()),
        _ => {
            let place = |rng: &mut Pcg32| {
                let (zone, region) = (name(rng), "region-1".to_string());
                Place { address: address(rng), zone, region, feeds: rng.random() }
            };
            let relays = (0..rng.random_range(0..70)).map(|_| place(rng)).collect();
            Message::Relays { about: about(2), relays }
        }
    }
}

/// What is said at random has no digest that fits, so nothing of it is ever in force.
#[test]
fn no_message_in_any_state_has_a_node_panic_go_back_or_take_what_does_not_fit() {
    let mut states = std::collections::BTreeSet::new();
    for seed in 0..100 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let role = if seed % 3 == 0 { Role::Source } else { Role::Listener };
        let mut node = start(if seed % 3 == 0 { 1 } else { 10 }, role);
        let mut now = 0.0;
        for _ in 0..1000 {
            now += rng.random_range(0.0..200.0);
            let message = random_message(&mut rng);
            // From one that it deals with, more often than not.
            let parent = node.status(now).parent.filter(|_| rng.random_bool(0.3));
            let asked = node.take().send.pop().map(|(to, _)| to).filter(|_| rng.random_bool(0.5));
            let from = parent.or(asked).unwrap_or_else(|| at(rng.random_range(0..40)));
            match rng.random_range(0..10) {
                0 => node.lost(now, from),
                1..=3 => node.tick(now),
                _ => node.hear(now, from, message),
            }
            let status = node.status(now);
            states.insert((status.parent.is_some(), node.is_relay(), status.children > 0));
            assert_eq!(node.content(), &content(), "seed {seed}");
            assert!(status.children <= 64 && status.missing.len() <= 8);
            assert!(node.next_at() < now + 10_000.0);
        }
    }
    assert!(states.len() >= 5, "{states:?}");
}
