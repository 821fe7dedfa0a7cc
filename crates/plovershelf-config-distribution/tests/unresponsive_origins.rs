//! Sources that stand still: they take what is sent to them, and answer nothing.

use std::net::SocketAddr;

use plovershelf_config_distribution::message::Newest;
use plovershelf_config_distribution::node::{About, Message, Node, Role, Start, Terms};
use plovershelf_config_distribution::quota_table::Content;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn about(port: u16) -> About {
    let (zone, region) = ("z1".to_string(), "r1".to_string());
    About { name: format!("n{port}"), zone, region, address: at(port), life: port.into() }
}

fn node(port: u16, role: Role, sources: &[u16], terms: Terms, seed: u64) -> Node {
    let sources = sources.iter().map(|port| at(*port)).collect();
    Node::new(Start { about: about(port), role, sources, terms, held: Content::default(), seed }, 0.0)
}

/// Where it asks for ways from its start on, nobody answering, and when.
fn asked(node: &mut Node, until: f64) -> Vec<(f64, SocketAddr)> {
    let (mut asked, mut now) = (Vec::new(), 0.0);
    while now < until {
        now = node.next_at().max(now + 1.0);
        node.tick(now);
        let seeks = node.take().send.into_iter().filter(|(_, say)| matches!(say, Message::Seek { .. }));
        asked.extend(seeks.map(|(to, _)| (now, to)));
    }
    asked
}

#[test]
fn one_that_seeks_asks_each_source_before_one_that_did_not_answer() {
    for seed in 1..=20 {
        let mut listener = node(9, Role::Listener, &[1, 2, 3], Terms::default(), seed);
        let asked = asked(&mut listener, 10_000.0);
        let first: std::collections::BTreeSet<SocketAddr> = asked.iter().take(3).map(|(_, at)| *at).collect();
        assert_eq!(first.len(), 3, "{seed}: {asked:?}");
        assert!(asked[2].0 < 2500.0, "{seed}: {asked:?}");
        assert!(asked.len() > 5, "{seed}: it goes on: {asked:?}");
    }
}

#[test]
fn one_that_was_told_to_be_a_relay_has_room_though_others_came_meanwhile() {
    let terms = Terms { source_fan_out: 2, source_failover_fan_out: 4, ..Terms::default() };
    let mut source = node(1, Role::Source, &[], terms, 1);
    let newest = Newest { version: source.content().version(), digest: 0, age_ms: 0 };
    let attach = |port: u16, over: bool| Message::Attach { about: about(port), newest, relay: true, over };
    source.hear(10.0, at(9), Message::Seek { about: about(9), avoid: Vec::new(), sent_on: false });
    let told = source.take().send;
    assert!(matches!(&told[..], [(to, Message::Ways { relay: true, .. })] if *to == at(9)), "{told:?}");
    // Relays of another source, which is gone, come in between.
    for port in [20, 21] {
        source.hear(20.0, at(port), attach(port, true));
    }
    source.take();
    source.hear(30.0, at(9), attach(9, false));
    let told = source.take().send;
    assert!(told.iter().any(|(to, say)| *to == at(9) && matches!(say, Message::Attached(_))), "{told:?}");
    // Who was promised nothing finds none.
    source.hear(40.0, at(10), attach(10, false));
    let told = source.take().send;
    assert!(told.iter().any(|(to, say)| *to == at(10) && matches!(say, Message::Refused)), "{told:?}");
}
