//! Unresponsive origins, which accept messages but do not answer, and reservations for new relays.

use std::net::SocketAddr;

use plovershelf_config_distribution::{
    DistributionConfig, FanOutLimit, HeldVersion, ListenerKind, Message, Node, NodeInfo, QuotaTable, Role,
    Startup,
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn info(port: u16) -> NodeInfo {
    let (zone, region) = ("z1".to_string(), "r1".to_string());
    NodeInfo { name: format!("n{port}"), zone, region, address: address(port), incarnation: port.into() }
}

fn node(port: u16, role: Role, origins: &[u16], config: DistributionConfig, seed: u64) -> Node {
    let origins = origins.iter().map(|port| address(*port)).collect();
    Node::new(Startup { node: info(port), role, origins, config, table: QuotaTable::default(), seed }, 0.0)
}

/// Returns the times and targets of a node's requests for a parent while no origin answers.
fn asked(node: &mut Node, until: f64) -> Vec<(f64, SocketAddr)> {
    let (mut asked, mut now) = (Vec::new(), 0.0);
    while now < until {
        now = node.poll_timeout().max(now + 1.0);
        node.handle_timeout(now);
        let sent = node.poll_actions().messages;
        let finds = sent.into_iter().filter(|(_, message)| matches!(message, Message::FindParent { .. }));
        asked.extend(finds.map(|(to, _)| (now, to)));
    }
    asked
}

/// All origins are unresponsive: connections open, but no request is answered. A listener must ask each origin once
/// before it asks one a second time, and must continue to ask.
#[test]
fn each_origin_is_asked_before_one_that_did_not_answer_is_asked_again() {
    for seed in 1..=20 {
        let mut listener = node(9, Role::Listener, &[1, 2, 3], DistributionConfig::default(), seed);
        let asked = asked(&mut listener, 10_000.0);
        let first: std::collections::BTreeSet<SocketAddr> =
            asked.iter().take(3).map(|(_, origin)| *origin).collect();
        assert_eq!(first.len(), 3, "{seed}: {asked:?}");
        assert!(asked[2].0 < 2500.0, "{seed}: {asked:?}");
        assert!(asked.len() > 5, "{seed}: too few requests: {asked:?}");
    }
}

/// An origin instructs a listener to become a relay, and relays of a failed origin attach before the listener does. The
/// reserved capacity must still be available to the listener; a relay without a reservation is rejected.
#[test]
fn relay_with_a_reservation_is_accepted_after_others_filled_the_capacity() {
    let config =
        DistributionConfig { origin_fan_out: 2, origin_failover_fan_out: 4, ..DistributionConfig::default() };
    let mut origin = node(1, Role::Origin, &[], config, 1);
    let version_info = HeldVersion { version: origin.table().version(), short_digest: 0, age_ms: 0 };
    let attach = |port: u16, limit| Message::Attach {
        node: info(port),
        version_info,
        kind: ListenerKind::Relay,
        limit,
    };
    origin.handle_message(
        10.0,
        address(9),
        Message::FindParent { node: info(9), excluded: Vec::new(), redirected: false },
    );
    let sent = origin.poll_actions().messages;
    assert!(
        matches!(&sent[..], [(to, Message::ParentCandidates { kind: ListenerKind::Relay, .. })] if *to == address(9)),
        "{sent:?}"
    );
    // Relays that lost another origin attach in between.
    for port in [20, 21] {
        origin.handle_message(20.0, address(port), attach(port, FanOutLimit::Failover));
    }
    origin.poll_actions();
    origin.handle_message(30.0, address(9), attach(9, FanOutLimit::Normal));
    let sent = origin.poll_actions().messages;
    assert!(
        sent.iter().any(|(to, message)| *to == address(9) && matches!(message, Message::Attached(_))),
        "{sent:?}"
    );
    // A relay without a reservation is rejected.
    origin.handle_message(40.0, address(10), attach(10, FanOutLimit::Normal));
    let sent = origin.poll_actions().messages;
    assert!(
        sent.iter().any(|(to, message)| *to == address(10) && matches!(message, Message::Rejected)),
        "{sent:?}"
    );
}
