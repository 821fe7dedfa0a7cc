//! Selection of the parent that an origin assigns to a listener.
//!
//! The first choice is a relay in the listener's zone with free capacity, the least loaded first. If there is none, a
//! listener of another region is redirected to an origin in that region, and any other listener becomes a relay as long
//! as this origin has free capacity. Otherwise it gets a relay in its region, then one in another region, and finally a
//! relay that has reached its fan-out but not the failover limit.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::config::DistributionConfig;
use crate::fan_out::{Child, FanOut};
use crate::message::{FanOutLimit, ListenerKind, Message, NodeInfo, RelayInfo, MAX_RELAYS};
use crate::origin_peers::{OriginPeer, OriginPeers};

/// Largest tolerated difference between the relay counts of two origins in one region. Above it, a relay is moved.
const REBALANCE_SLACK: usize = 4;
/// Time for which an origin reserves capacity for a listener that becomes a relay on its request, in milliseconds.
const RESERVATION_MS: f64 = 2000.0;
/// Maximum number of alternate parents that a relay sends to a child. An origin sends up to twice as many.
const MAX_ALTERNATES: usize = 4;
/// Maximum number of relays in the answer to a listener.
const MAX_CANDIDATES: usize = 3;

/// A listener's request for a parent.
pub(crate) struct ParentRequest<'a> {
    pub(crate) from: SocketAddr,
    pub(crate) node: &'a NodeInfo,
    /// Addresses that failed the listener recently.
    pub(crate) excluded: &'a [SocketAddr],
    /// True if another origin redirected the listener to this one.
    pub(crate) redirected: bool,
}

/// Distance between a relay and a listener, ordered from near to far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameZone,
    SameRegion,
    Far,
}

fn distance(relay: &RelayInfo, node: &NodeInfo) -> Distance {
    match (relay.region == node.region, relay.zone == node.zone) {
        (true, true) => Distance::SameZone,
        (true, false) => Distance::SameRegion,
        _ => Distance::Far,
    }
}

/// Capacity reserved for a listener that becomes a relay and has not reported yet.
#[derive(Clone, Debug)]
struct Reservation {
    relay: RelayInfo,
    until_ms: f64,
}

/// A relay that should move to another origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Relocation {
    pub(crate) relay: SocketAddr,
    pub(crate) to_origin: SocketAddr,
}

/// An origin's state for assigning parents to listeners.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    origin: NodeInfo,
    reservations: Vec<Reservation>,
    fan_out: usize,
    failover_fan_out: usize,
    origin_fan_out: usize,
    /// Time without a report after which a relay is not offered as a parent. A relay reports once a second, so a relay
    /// without reports for this long may be paused.
    report_timeout_ms: f64,
}

impl Placement {
    pub(crate) fn new(origin: NodeInfo, config: &DistributionConfig) -> Self {
        Placement {
            origin,
            reservations: Vec::new(),
            fan_out: config.fan_out,
            failover_fan_out: config.failover_fan_out,
            origin_fan_out: config.origin_fan_out,
            report_timeout_ms: config.max_parent_timeout_ms,
        }
    }

    /// Returns the answer to a listener that looks for a parent.
    pub(crate) fn handle_find_parent(
        &mut self,
        now_ms: f64,
        request: &ParentRequest<'_>,
        children: &mut FanOut,
        peers: &mut OriginPeers,
    ) -> Message {
        let relays = self.candidates(now_ms, request, children, peers);
        let mut found = pick(&relays, request.node, self.fan_out, Distance::SameZone);
        if found.is_empty() {
            if let Some(origin) = self.nearer_origin(now_ms, request, peers) {
                return parent_candidates(Vec::new(), ListenerKind::Leaf, FanOutLimit::Normal, Some(origin));
            }
            let is_full = children.len() + self.pending_reservations(children) >= self.origin_fan_out;
            if !is_full || children.contains(request.from) {
                self.reserve(now_ms, request);
                return parent_candidates(Vec::new(), ListenerKind::Relay, FanOutLimit::Normal, None);
            }
            found = pick(&relays, request.node, self.fan_out, Distance::Far);
        }
        let limit = if found.is_empty() { FanOutLimit::Failover } else { FanOutLimit::Normal };
        if found.is_empty() {
            found = pick(&relays, request.node, self.failover_fan_out, Distance::Far);
        }
        if let Some(first) = found.first().copied() {
            self.count_assignment(first, children, peers);
        }
        parent_candidates(found, ListenerKind::Leaf, limit, None)
    }

    /// Returns true if this origin reserved capacity for the process, even if it has since reached its fan-out.
    pub(crate) fn has_reservation(&self, address: SocketAddr) -> bool {
        self.reservations.iter().any(|reservation| reservation.relay.address == address)
    }

    /// Removes the reservation of a relay that has reported, since it now counts as a child.
    pub(crate) fn remove_reservation(&mut self, address: SocketAddr) {
        self.reservations.retain(|reservation| reservation.relay.address != address);
    }

    pub(crate) fn expire_reservations(&mut self, now_ms: f64) {
        self.reservations.retain(|reservation| reservation.until_ms > now_ms);
    }

    /// Returns this origin's relays in the form that the other origins receive.
    pub(crate) fn own_relays(&self, children: &FanOut) -> Vec<RelayInfo> {
        let reported = children.children().iter().filter(|child| child.has_reported);
        reported.take(MAX_RELAYS).map(relay_info).collect()
    }

    /// Returns the relays that a child may attach to: those in its zone, or in its region if its zone has no other
    /// relay. The list starts at a different relay for each child.
    pub(crate) fn alternates_for(
        &self,
        now_ms: f64,
        child: &Child,
        children: &FanOut,
        peers: &OriginPeers,
    ) -> Vec<SocketAddr> {
        let mut relays = self.known_relays(now_ms, children, peers);
        relays.retain(|relay| relay.address != child.address && relay.region == child.node.region);
        if relays.iter().any(|relay| relay.zone == child.node.zone) {
            relays.retain(|relay| relay.zone == child.node.zone);
        }
        let mut alternates: Vec<SocketAddr> = relays.iter().map(|relay| relay.address).collect();
        alternates.sort();
        alternates.dedup();
        let first = alternates.partition_point(|address| *address < child.address);
        let length = alternates.len().max(1);
        alternates.rotate_left(first % length);
        alternates.truncate(MAX_ALTERNATES * 2);
        alternates
    }

    /// Returns a relay of another region with an origin in its region. If there is none, returns a relay to move to an
    /// origin in this region that has far fewer relays.
    pub(crate) fn relocation(
        &self,
        now_ms: f64,
        children: &FanOut,
        peers: &OriginPeers,
    ) -> Option<Relocation> {
        let has_capacity =
            |peer: &&OriginPeer| peer.relays().len() < self.origin_fan_out && peer.has_identity();
        let peers: Vec<&OriginPeer> = peers.reachable(now_ms).filter(has_capacity).collect();
        let far = children.children().iter().filter(|child| child.node.region != self.origin.region);
        let mut nearer = far.filter_map(|child| {
            let peer = peers.iter().find(|peer| peer.is_in_region(&child.node.region))?;
            Some(Relocation { relay: child.address, to_origin: peer.address })
        });
        nearer.next().or_else(|| {
            let has_fewer_relays = |peer: &&&OriginPeer| {
                peer.relays().len() + REBALANCE_SLACK < children.len()
                    && peer.is_in_region(&self.origin.region)
            };
            let relay = children.children().last()?.address;
            Some(Relocation { relay, to_origin: peers.iter().find(has_fewer_relays)?.address })
        })
    }

    /// Returns all known relays with their numbers of children: own children, reservations, and the other origins'
    /// relays.
    fn known_relays(&self, now_ms: f64, children: &FanOut, peers: &OriginPeers) -> Vec<RelayInfo> {
        let is_available =
            |child: &&Child| child.has_reported && child.last_message_ms + self.report_timeout_ms > now_ms;
        let own = children.children().iter().filter(is_available).map(relay_info);
        let reserved = self.reservations.iter().map(|reservation| reservation.relay.clone());
        own.chain(reserved)
            .chain(peers.reachable(now_ms).flat_map(|peer| peer.relays().iter().cloned()))
            .collect()
    }

    /// Returns the known relays that are not excluded, sorted by distance and then by load.
    fn candidates(
        &self,
        now_ms: f64,
        request: &ParentRequest<'_>,
        children: &FanOut,
        peers: &OriginPeers,
    ) -> Vec<RelayInfo> {
        let mut relays = self.known_relays(now_ms, children, peers);
        relays.retain(|relay| relay.address != request.from && !request.excluded.contains(&relay.address));
        relays.sort_by_key(|relay| (distance(relay, request.node), relay.children));
        relays
    }

    /// Returns an origin in the listener's region if this origin is in another region and the listener was not
    /// redirected here.
    fn nearer_origin(
        &self,
        now_ms: f64,
        request: &ParentRequest<'_>,
        peers: &OriginPeers,
    ) -> Option<SocketAddr> {
        if request.redirected || self.origin.region == request.node.region {
            return None;
        }
        let is_nearer = |peer: &&OriginPeer| {
            peer.is_in_region(&request.node.region) && !request.excluded.contains(&peer.address)
        };
        peers.reachable(now_ms).find(is_nearer).map(|peer| peer.address)
    }

    fn pending_reservations(&self, children: &FanOut) -> usize {
        self.reservations.iter().filter(|reservation| !children.contains(reservation.relay.address)).count()
    }

    fn reserve(&mut self, now_ms: f64, request: &ParentRequest<'_>) {
        self.remove_reservation(request.from);
        let (zone, region) = (request.node.zone.clone(), request.node.region.clone());
        let relay = RelayInfo { address: request.from, zone, region, children: 0 };
        self.reservations.push(Reservation { relay, until_ms: now_ms + RESERVATION_MS });
    }

    /// Counts a listener that was assigned to this relay, so that the next listener is not assigned there before the
    /// relay's next report includes the first one.
    fn count_assignment(&mut self, relay: SocketAddr, children: &mut FanOut, peers: &mut OriginPeers) {
        if let Some(child) = children.get_mut(relay) {
            child.recently_placed = child.recently_placed.saturating_add(1);
        }
        let reserved = self.reservations.iter_mut().map(|reservation| &mut reservation.relay);
        if let Some(relay) = reserved.chain(peers.relays_mut()).find(|known| known.address == relay) {
            relay.children = relay.children.saturating_add(1);
        }
    }
}

/// Returns a relay's list of alternate parents for a child.
///
/// The hash of the child's address selects the first entry, so that children get different lists and a child's list
/// stays stable when other children come and go.
pub(crate) fn rotated_for(alternates: &[SocketAddr], child: SocketAddr) -> Vec<SocketAddr> {
    let mut rotated: Vec<SocketAddr> =
        alternates.iter().copied().filter(|address| *address != child).collect();
    let length = rotated.len().max(1);
    rotated.rotate_left(xxh3_64(child.to_string().as_bytes()) as usize % length);
    rotated.truncate(MAX_ALTERNATES);
    rotated
}

fn pick(sorted: &[RelayInfo], node: &NodeInfo, max_children: usize, farthest: Distance) -> Vec<SocketAddr> {
    let is_eligible =
        |relay: &&RelayInfo| (relay.children as usize) < max_children && distance(relay, node) <= farthest;
    sorted.iter().filter(is_eligible).take(MAX_CANDIDATES).map(|relay| relay.address).collect()
}

fn parent_candidates(
    relays: Vec<SocketAddr>,
    kind: ListenerKind,
    limit: FanOutLimit,
    ask_origin: Option<SocketAddr>,
) -> Message {
    Message::ParentCandidates { relays, kind, limit, ask_origin }
}

fn relay_info(child: &Child) -> RelayInfo {
    RelayInfo {
        address: child.address,
        zone: child.node.zone.clone(),
        region: child.node.region.clone(),
        children: child.aggregate.children.saturating_add(child.recently_placed),
    }
}

#[cfg(test)]
mod tests;
