//! To which parent an origin sends a listener that looks for one.
//!
//! A relay of the listener's zone that has capacity, the one with the most of it first. Where there is none, the listener
//! becomes a relay itself, as long as the origin has capacity. Else a relay of its region, of another region, or one over
//! its fan-out up to the failover limit.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::config::DistributionConfig;
use crate::fan_out::{Child, FanOut};
use crate::message::{FanOutLimit, ListenerKind, Message, NodeInfo, RelayInfo, MAX_RELAYS};
use crate::origin_peers::{OriginPeer, OriginPeers};

/// By how many relays two origins of a region may differ before one is sent from the one to the other.
const REBALANCE_SLACK: usize = 4;
/// For how long a place is reserved for a listener that is to become a relay.
const PROMISE_MS: f64 = 2000.0;
/// Alternate parents in a relay's list for a child, at most; an origin twice as many.
const MAX_ALTERNATES: usize = 4;
/// Relays in an answer to a listener, at most.
const MAX_CANDIDATES: usize = 3;

/// A listener that looks for a parent.
pub(crate) struct ParentRequest<'a> {
    pub(crate) from: SocketAddr,
    pub(crate) node: &'a NodeInfo,
    /// Those that failed it.
    pub(crate) excluded: &'a [SocketAddr],
    /// Another origin sent it here.
    pub(crate) redirected: bool,
}

/// How far a relay is from a listener; the nearest is the least.
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

/// A place for a listener that is to become a relay and has not reported yet.
#[derive(Clone, Debug)]
struct Promise {
    relay: RelayInfo,
    until_ms: f64,
}

/// A relay that would be better off at another origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Relocation {
    pub(crate) relay: SocketAddr,
    pub(crate) to_origin: SocketAddr,
}

/// An origin's placement of listeners.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    origin: NodeInfo,
    promises: Vec<Promise>,
    fan_out: usize,
    failover_fan_out: usize,
    origin_fan_out: usize,
    /// A relay reports once a second: one that is silent for this long may stand still, and is not counted on.
    silent_after_ms: f64,
}

impl Placement {
    pub(crate) fn new(origin: NodeInfo, config: &DistributionConfig) -> Self {
        Placement {
            origin,
            promises: Vec::new(),
            fan_out: config.fan_out,
            failover_fan_out: config.failover_fan_out,
            origin_fan_out: config.origin_fan_out,
            silent_after_ms: config.max_parent_timeout_ms,
        }
    }

    /// The answer to a listener that looks for a parent.
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
            let is_full = children.len() + self.pending_promises(children) >= self.origin_fan_out;
            if !is_full || children.contains(request.from) {
                self.promise(now_ms, request);
                return parent_candidates(Vec::new(), ListenerKind::Relay, FanOutLimit::Normal, None);
            }
            found = pick(&relays, request.node, self.fan_out, Distance::Far);
        }
        let limit = if found.is_empty() { FanOutLimit::Failover } else { FanOutLimit::Normal };
        if found.is_empty() {
            found = pick(&relays, request.node, self.failover_fan_out, Distance::Far);
        }
        if let Some(first) = found.first().copied() {
            self.count_placed(first, children, peers);
        }
        parent_candidates(found, ListenerKind::Leaf, limit, None)
    }

    /// Whether a place is reserved for it here, though others may have come meanwhile.
    pub(crate) fn is_promised(&self, address: SocketAddr) -> bool {
        self.promises.iter().any(|promise| promise.relay.address == address)
    }

    /// It has reported: it counts as a child from now on.
    pub(crate) fn fulfil_promise(&mut self, address: SocketAddr) {
        self.promises.retain(|promise| promise.relay.address != address);
    }

    pub(crate) fn expire_promises(&mut self, now_ms: f64) {
        self.promises.retain(|promise| promise.until_ms > now_ms);
    }

    /// This origin's own relays, for the other origins.
    pub(crate) fn own_relays(&self, children: &FanOut) -> Vec<RelayInfo> {
        let reported = children.children().iter().filter(|child| child.has_reported);
        reported.take(MAX_RELAYS).map(relay_info).collect()
    }

    /// Relays that a child may go to, of its zone where there are any. Each child gets another one first.
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

    /// A relay that is nearer to another origin, or one of many where another origin of this region feeds far fewer.
    pub(crate) fn relocation(
        &self,
        now_ms: f64,
        children: &FanOut,
        peers: &OriginPeers,
    ) -> Option<Relocation> {
        let has_capacity =
            |peer: &&OriginPeer| peer.relays().len() < self.origin_fan_out && peer.is_introduced();
        let peers: Vec<&OriginPeer> = peers.live(now_ms).filter(has_capacity).collect();
        let far = children.children().iter().filter(|child| child.node.region != self.origin.region);
        let mut nearer = far.filter_map(|child| {
            let peer = peers.iter().find(|peer| peer.is_in_region(&child.node.region))?;
            Some(Relocation { relay: child.address, to_origin: peer.address })
        });
        nearer.next().or_else(|| {
            let feeds_fewer = |peer: &&&OriginPeer| {
                peer.relays().len() + REBALANCE_SLACK < children.len()
                    && peer.is_in_region(&self.origin.region)
            };
            let relay = children.children().last()?.address;
            Some(Relocation { relay, to_origin: peers.iter().find(feeds_fewer)?.address })
        })
    }

    /// Every relay that is known here, with how many it feeds or will: own children, promised ones, other origins'.
    fn known_relays(&self, now_ms: f64, children: &FanOut, peers: &OriginPeers) -> Vec<RelayInfo> {
        let counts = |child: &&Child| child.has_reported && child.heard_at_ms + self.silent_after_ms > now_ms;
        let own = children.children().iter().filter(counts).map(relay_info);
        let promised = self.promises.iter().map(|promise| promise.relay.clone());
        own.chain(promised).chain(peers.live(now_ms).flat_map(|peer| peer.relays().iter().cloned())).collect()
    }

    /// The known relays that are not ruled out, the nearest and least loaded first.
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

    /// An origin of the listener's region, where this one is of another and the listener was not sent here.
    fn nearer_origin(
        &self,
        now_ms: f64,
        request: &ParentRequest<'_>,
        peers: &OriginPeers,
    ) -> Option<SocketAddr> {
        if request.redirected || self.origin.region == request.node.region {
            return None;
        }
        let fits = |peer: &&OriginPeer| {
            peer.is_in_region(&request.node.region) && !request.excluded.contains(&peer.address)
        };
        peers.live(now_ms).find(fits).map(|peer| peer.address)
    }

    fn pending_promises(&self, children: &FanOut) -> usize {
        self.promises.iter().filter(|promise| !children.contains(promise.relay.address)).count()
    }

    fn promise(&mut self, now_ms: f64, request: &ParentRequest<'_>) {
        self.fulfil_promise(request.from);
        let (zone, region) = (request.node.zone.clone(), request.node.region.clone());
        let relay = RelayInfo { address: request.from, zone, region, children: 0 };
        self.promises.push(Promise { relay, until_ms: now_ms + PROMISE_MS });
    }

    /// A listener was sent to this relay, so that the next one is not sent there before its report counts the first.
    fn count_placed(&mut self, relay: SocketAddr, children: &mut FanOut, peers: &mut OriginPeers) {
        if let Some(child) = children.get_mut(relay) {
            child.recently_placed = child.recently_placed.saturating_add(1);
        }
        let promised = self.promises.iter_mut().map(|promise| &mut promise.relay);
        if let Some(relay) = promised.chain(peers.relays_mut()).find(|known| known.address == relay) {
            relay.children = relay.children.saturating_add(1);
        }
    }
}

/// A relay's list for a child, of the alternates that it knows itself.
///
/// Each child gets another one first, drawn by its address, so that it stays the same as others come and go.
pub(crate) fn rotated_for(alternates: &[SocketAddr], child: SocketAddr) -> Vec<SocketAddr> {
    let mut rotated: Vec<SocketAddr> =
        alternates.iter().copied().filter(|address| *address != child).collect();
    let length = rotated.len().max(1);
    rotated.rotate_left(xxh3_64(child.to_string().as_bytes()) as usize % length);
    rotated.truncate(MAX_ALTERNATES);
    rotated
}

fn pick(sorted: &[RelayInfo], node: &NodeInfo, max_children: usize, farthest: Distance) -> Vec<SocketAddr> {
    let fits =
        |relay: &&RelayInfo| (relay.children as usize) < max_children && distance(relay, node) <= farthest;
    sorted.iter().filter(fits).take(MAX_CANDIDATES).map(|relay| relay.address).collect()
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
