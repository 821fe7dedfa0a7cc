//! A relay that can send to its origin but receives nothing from it.

use std::net::SocketAddr;

use plovershelf_config_distribution::{
    Aggregate, DistributionConfig, FanOutLimit, HeldVersion, ListenerKind, Message, Node, NodeInfo,
    QuotaTable, Role, Startup,
};

fn info(port: u16) -> NodeInfo {
    let address = SocketAddr::from(([10, 0, 0, 1], port));
    NodeInfo {
        name: format!("n{port}"),
        zone: "z1".into(),
        region: "r1".into(),
        address,
        incarnation: port.into(),
    }
}

/// Returns the candidates that an origin offers to a listener.
fn candidates(origin: &mut Node, now: f64, port: u16) -> Vec<SocketAddr> {
    let listener = info(port);
    let find = Message::FindParent { node: listener.clone(), excluded: Vec::new(), redirected: false };
    origin.handle_message(now, listener.address, find);
    let sent = origin.poll_actions().messages;
    let candidates = sent.into_iter().find_map(|(to, message)| match message {
        Message::ParentCandidates { relays, .. } if to == listener.address => Some(relays),
        _ => None,
    });
    candidates.expect("the origin answers every request for a parent")
}

/// A relay can send to its origin but receives nothing, so it attaches repeatedly and appears to have the most
/// capacity. No listener may be assigned to it before it has reported.
#[test]
fn no_listener_is_assigned_to_a_relay_that_never_reported() {
    let startup = Startup {
        node: info(1),
        role: Role::Origin,
        origins: Vec::new(),
        config: DistributionConfig::default(),
        table: QuotaTable::default(),
        seed: 1,
    };
    let mut origin = Node::new(startup, 0.0);
    let relay = info(2);
    let version_info = HeldVersion { version: origin.table().version(), short_digest: 0, age_ms: 0 };
    let attach = Message::Attach {
        node: relay.clone(),
        version_info,
        kind: ListenerKind::Relay,
        limit: FanOutLimit::Failover,
    };
    for now in [10.0, 410.0, 810.0] {
        origin.handle_message(now, relay.address, attach.clone());
        assert!(!candidates(&mut origin, now, 3).contains(&relay.address), "{now}");
    }
    origin.handle_message(
        900.0,
        relay.address,
        Message::Aggregate(Aggregate { nodes: 1, up_to_date: 1, ..Aggregate::default() }),
    );
    assert_eq!(candidates(&mut origin, 910.0, 3), [relay.address]);
}
