//! A relay that can speak to its source and hears nothing of it.

use std::net::SocketAddr;

use plovershelf_config_distribution::message::{Newest, Sum};
use plovershelf_config_distribution::node::{About, Message, Node, Role, Start, Terms};
use plovershelf_config_distribution::quota_table::Content;

fn about(port: u16) -> About {
    let address = SocketAddr::from(([10, 0, 0, 1], port));
    About { name: format!("n{port}"), zone: "z1".into(), region: "r1".into(), address, life: port.into() }
}

/// Where a source sends one that seeks.
fn ways(source: &mut Node, now: f64, port: u16) -> Vec<SocketAddr> {
    let seeks = about(port);
    source.hear(
        now,
        seeks.address,
        Message::Seek { about: seeks.clone(), avoid: Vec::new(), sent_on: false },
    );
    let sent = source.take().send;
    let told = sent.into_iter().find_map(|(to, message)| match message {
        Message::Ways { relays, .. } if to == seeks.address => Some(relays),
        _ => None,
    });
    told.expect("an answer")
}

#[test]
fn nobody_is_sent_to_a_relay_that_attached_and_never_said_a_sum() {
    let start = Start {
        about: about(1),
        role: Role::Source,
        sources: Vec::new(),
        terms: Terms::default(),
        held: Content::default(),
        seed: 1,
    };
    let mut source = Node::new(start, 0.0);
    let relay = about(2);
    let newest = Newest { version: source.content().version(), digest: 0, age_ms: 0 };
    let attach = Message::Attach { about: relay.clone(), newest, relay: true, over: true };
    for now in [10.0, 410.0, 810.0] {
        source.hear(now, relay.address, attach.clone());
        assert!(!ways(&mut source, now, 3).contains(&relay.address), "{now}");
    }
    source.hear(900.0, relay.address, Message::Sum(Sum { under: 1, in_force: 1, ..Sum::default() }));
    assert_eq!(ways(&mut source, 910.0, 3), [relay.address]);
}
