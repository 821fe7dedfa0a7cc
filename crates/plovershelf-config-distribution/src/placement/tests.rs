use super::*;
use crate::message::Aggregate;
use crate::test_support::{address, node_in, version, version_info};

struct Origin {
    placement: Placement,
    children: FanOut,
    peers: OriginPeers,
}

impl Origin {
    /// Creates an origin at address 1, in zone a of region north, whose peer is at address 2.
    fn new(config: &DistributionConfig) -> Self {
        Origin {
            placement: Placement::new(node_in(1, "a", "north"), config),
            children: FanOut::new(0.0, config.child_timeout_ms, config.delta_coalescing_ms),
            peers: OriginPeers::new(&[address(2)], config.max_parent_timeout_ms),
        }
    }

    fn add_relay(&mut self, last: u8, zone: &str, children: u32) {
        let node = node_in(last, zone, "north");
        self.children.add(0.0, address(last), node, version_info(1, 0), version(1));
        let aggregate = Aggregate { nodes: 1, up_to_date: 1, children, ..Aggregate::default() };
        assert!(self.children.handle_aggregate(0.0, address(last), aggregate));
    }

    fn find(&mut self, node: &NodeInfo, excluded: &[SocketAddr]) -> Message {
        let request = ParentRequest { from: node.address, node, excluded, redirected: false };
        self.placement.handle_find_parent(10.0, &request, &mut self.children, &mut self.peers)
    }
}

fn relays(relays: &[u8], limit: FanOutLimit) -> Message {
    parent_candidates(relays.iter().copied().map(address).collect(), ListenerKind::Leaf, limit, None)
}

fn single_relay_config() -> DistributionConfig {
    DistributionConfig { fan_out: 2, failover_fan_out: 4, origin_fan_out: 1, ..DistributionConfig::default() }
}

/// Many listeners look for a parent between two reports of the relays. They must be spread over the relays of their
/// zone, the least loaded first, and not all be assigned to the relay with the most capacity in the last report.
#[test]
fn listeners_are_spread_over_the_relays_of_their_zone() {
    let mut origin = Origin::new(&DistributionConfig::default());
    origin.add_relay(10, "a", 3);
    origin.add_relay(11, "a", 2);
    origin.add_relay(12, "b", 0);
    let leaf = node_in(50, "a", "north");
    assert_eq!(origin.find(&leaf, &[]), relays(&[11, 10], FanOutLimit::Normal));
    // The listeners that were already assigned count as children of the relay.
    assert_eq!(origin.find(&leaf, &[]), relays(&[10, 11], FanOutLimit::Normal));
    assert_eq!(origin.find(&leaf, &[address(10)]), relays(&[11], FanOutLimit::Normal));
}

/// Relays have failed, and the others in the zone have reached their fan-out. Listeners must be sent to other zones
/// first. Relays above their fan-out must only be offered with the failover limit.
#[test]
fn relays_at_capacity_are_offered_last_and_with_the_failover_limit() {
    let mut origin = Origin::new(&single_relay_config());
    let leaf = node_in(50, "a", "north");
    let become_relay = parent_candidates(vec![], ListenerKind::Relay, FanOutLimit::Normal, None);
    assert_eq!(origin.find(&leaf, &[]), become_relay);
    origin.placement.remove_reservation(leaf.address);
    origin.add_relay(10, "b", 1);
    assert_eq!(origin.find(&leaf, &[]), relays(&[10], FanOutLimit::Normal));
    assert_eq!(origin.find(&leaf, &[]), relays(&[10], FanOutLimit::Failover));
    origin.add_relay(10, "b", 4);
    assert_eq!(origin.find(&leaf, &[]), relays(&[], FanOutLimit::Failover));
}

/// A listener in another region asks for a parent. It must be redirected to an origin in its region, unless that
/// origin has timed out.
#[test]
fn listener_of_another_region_is_redirected_to_a_reachable_origin_there() {
    let mut origin = Origin::new(&single_relay_config());
    let leaf = node_in(50, "c", "south");
    origin.peers.handle_relays(0.0, address(2), node_in(2, "c", "south"), Vec::new());
    let redirect = parent_candidates(vec![], ListenerKind::Leaf, FanOutLimit::Normal, Some(address(2)));
    assert_eq!(origin.find(&leaf, &[]), redirect);
    let request = ParentRequest { from: leaf.address, node: &leaf, excluded: &[], redirected: false };
    let answer =
        origin.placement.handle_find_parent(60_000.0, &request, &mut origin.children, &mut origin.peers);
    assert_eq!(answer, parent_candidates(vec![], ListenerKind::Relay, FanOutLimit::Normal, None));
}

/// An origin returns and has no relays. Relays in its region must be moved to it one by one, those in another region
/// than their current origin first, and none for a small difference.
#[test]
fn relays_are_relocated_to_a_nearer_origin_and_to_one_with_far_fewer() {
    let mut origin = Origin::new(&DistributionConfig::default());
    (10..15).for_each(|last| origin.add_relay(last, "a", 1));
    origin.peers.handle_relays(0.0, address(2), node_in(2, "b", "north"), Vec::new());
    let relocation = |origin: &Origin| origin.placement.relocation(10.0, &origin.children, &origin.peers);
    assert_eq!(relocation(&origin), Some(Relocation { relay: address(14), to_origin: address(2) }));
    origin.children.remove(address(14));
    assert_eq!(relocation(&origin), None);
    origin.peers.handle_relays(0.0, address(2), node_in(2, "c", "south"), Vec::new());
    origin.children.add(0.0, address(20), node_in(20, "c", "south"), version_info(1, 0), version(1));
    assert_eq!(relocation(&origin), Some(Relocation { relay: address(20), to_origin: address(2) }));
}
