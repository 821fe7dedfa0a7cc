//! The state of the other origins, as known to one origin.

use std::net::SocketAddr;

use crate::message::{HeldVersion, NodeInfo, RelayInfo, MAX_ADDRESSES, MAX_RELAYS};
use crate::version::Version;

/// State of another origin, from its messages.
#[derive(Clone, Debug)]
pub(crate) struct OriginPeer {
    pub(crate) address: SocketAddr,
    node: Option<NodeInfo>,
    version_info: Option<HeldVersion>,
    last_message_ms: f64,
    relays: Vec<RelayInfo>,
}

impl OriginPeer {
    pub(crate) fn is_in_region(&self, region: &str) -> bool {
        self.node.as_ref().is_some_and(|node| node.region == region)
    }

    /// Returns true if the peer has sent its identity and relays.
    pub(crate) fn has_identity(&self) -> bool {
        self.node.is_some()
    }

    pub(crate) fn relays(&self) -> &[RelayInfo] {
        &self.relays
    }
}

/// The other origins, as listed in the operator's file; empty on a listener.
#[derive(Clone, Debug)]
pub(crate) struct OriginPeers {
    peers: Vec<OriginPeer>,
    /// Time without a message after which a peer and its relays are disregarded, in milliseconds.
    peer_timeout_ms: f64,
}

impl OriginPeers {
    pub(crate) fn new(addresses: &[SocketAddr], peer_timeout_ms: f64) -> Self {
        let peer = |address: &SocketAddr| OriginPeer {
            address: *address,
            node: None,
            version_info: None,
            last_message_ms: f64::MIN,
            relays: Vec::new(),
        };
        OriginPeers { peers: addresses.iter().take(MAX_ADDRESSES).map(peer).collect(), peer_timeout_ms }
    }

    pub(crate) fn contains(&self, address: SocketAddr) -> bool {
        self.peers.iter().any(|peer| peer.address == address)
    }

    pub(crate) fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.peers.iter().map(|peer| peer.address)
    }

    fn get_mut(&mut self, address: SocketAddr) -> Option<&mut OriginPeer> {
        self.peers.iter_mut().find(|peer| peer.address == address)
    }

    /// Records a peer's version information. Returns false if the sender is not an origin.
    pub(crate) fn handle_version_info(
        &mut self,
        now_ms: f64,
        from: SocketAddr,
        version_info: HeldVersion,
    ) -> bool {
        let Some(peer) = self.get_mut(from) else { return false };
        peer.version_info = Some(version_info);
        peer.last_message_ms = now_ms;
        true
    }

    /// Drops the version of a peer that did not answer or whose connection was lost, so that nothing is requested from
    /// it before its next heartbeat.
    pub(crate) fn clear_version_info(&mut self, address: SocketAddr) {
        if let Some(peer) = self.get_mut(address) {
            peer.version_info = None;
        }
    }

    pub(crate) fn handle_relays(
        &mut self,
        now_ms: f64,
        from: SocketAddr,
        node: NodeInfo,
        mut relays: Vec<RelayInfo>,
    ) {
        let Some(peer) = self.get_mut(from) else { return };
        relays.truncate(MAX_RELAYS);
        peer.node = Some(node);
        peer.last_message_ms = now_ms;
        peer.relays = relays;
    }

    /// Returns the peers that have not timed out.
    pub(crate) fn reachable(&self, now_ms: f64) -> impl Iterator<Item = &OriginPeer> {
        self.peers.iter().filter(move |peer| peer.last_message_ms + self.peer_timeout_ms > now_ms)
    }

    /// Returns the relays of all peers, including those that timed out.
    pub(crate) fn relays_mut(&mut self) -> impl Iterator<Item = &mut RelayInfo> {
        self.peers.iter_mut().flat_map(|peer| &mut peer.relays)
    }

    /// Returns the peer with the newest version if that is newer than this one.
    pub(crate) fn ahead_of(&self, version: Version) -> Option<SocketAddr> {
        let newer = |version_info: &HeldVersion| version_info.version > version;
        let ahead = self.peers.iter().filter(|peer| peer.version_info.as_ref().is_some_and(newer));
        ahead
            .max_by_key(|peer| peer.version_info.map(|version_info| version_info.version))
            .map(|peer| peer.address)
    }

    /// Returns a peer that has a different table under the same version.
    pub(crate) fn conflicting_with(&self, version: Version, short_digest: u64) -> Option<SocketAddr> {
        let conflicts = |version_info: &HeldVersion| {
            version_info.version == version && version_info.short_digest != short_digest
        };
        let peer = self.peers.iter().find(|peer| peer.version_info.as_ref().is_some_and(conflicts))?;
        Some(peer.address)
    }

    /// Returns the addresses of all origins, including this one, with those in the given region first.
    pub(crate) fn nearest_first(&self, own: &NodeInfo, region: &str) -> Vec<SocketAddr> {
        let own = (own.region != region, own.address);
        let peers = self.peers.iter().map(|peer| (!peer.is_in_region(region), peer.address));
        let mut all: Vec<(bool, SocketAddr)> = std::iter::once(own).chain(peers).collect();
        all.sort_by_key(|(is_far, _)| *is_far);
        all.into_iter().map(|(_, address)| address).collect()
    }
}
