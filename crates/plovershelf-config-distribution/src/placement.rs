//! What goes to whom: the children that a process feeds, and of a source, whom one that seeks is sent to.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::message::{Message, Newest, Place, Sum, LIST_MOST, PLACES_MOST};
use crate::node::{About, Terms};
use crate::quota_table::Version;

#[derive(Clone, Debug)]
pub struct Child {
    pub address: SocketAddr,
    pub about: About,
    pub sum: Sum,
    pub heard_at: f64,
    /// Has said a sum since it attached. One that can send but hears nothing attaches over and over and never does: it looks
    /// as if it had the most room, and nobody is to be sent there.
    summed: bool,
    /// Longer than it should, once, as this process itself was stopped.
    waited: bool,
    /// What it was sent, up to this.
    pub sent: Version,
    /// Others that it was told of.
    pub near: Vec<SocketAddr>,
    /// Sent to it, of a source, since its last sum.
    handed: u32,
}

/// Told to be a relay, of which no sum has come yet.
#[derive(Clone, Debug)]
struct Promised {
    place: Place,
    until: f64,
}

/// Another source, of a source.
#[derive(Clone, Debug)]
pub struct Peer {
    pub address: SocketAddr,
    pub about: Option<About>,
    pub newest: Option<Newest>,
    pub heard_at: f64,
    relays: Vec<Place>,
}

#[derive(Clone, Debug, Default)]
pub struct Spread {
    pub children: Vec<Child>,
    promised: Vec<Promised>,
    pub peers: Vec<Peer>,
    turn: usize,
}

/// By how many relays two sources of a region may differ.
const SLACK: usize = 4;
const PROMISE_MS: f64 = 2000.0;
/// Others near that a child is told of.
const NEAR_MOST: usize = 4;
/// Relays in an answer to one that seeks.
const WAYS_MOST: usize = 3;

impl Spread {
    pub fn new(peers: &[SocketAddr]) -> Self {
        let peer = |address: &SocketAddr| Peer {
            address: *address,
            about: None,
            newest: None,
            heard_at: f64::MIN,
            relays: Vec::new(),
        };
        Spread { peers: peers.iter().take(LIST_MOST).map(peer).collect(), ..Self::default() }
    }
    pub fn child(&mut self, address: SocketAddr) -> Option<&mut Child> {
        self.children.iter_mut().find(|child| child.address == address)
    }
    pub fn peer(&mut self, address: SocketAddr) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|peer| peer.address == address)
    }
    pub fn remove(&mut self, address: SocketAddr) -> Option<Child> {
        let at = self.children.iter().position(|child| child.address == address)?;
        Some(self.children.remove(at))
    }
    /// Fed from now on; one that was here before, in another life too, in its place.
    pub fn add(&mut self, now: f64, address: SocketAddr, about: About, newest: Newest, sent: Version) {
        let before = self.remove(address).filter(|child| child.about.life == about.life);
        let sum = match before {
            Some(before) => before.sum,
            None => Sum {
                version: newest.version,
                under: 1,
                in_force: 1,
                oldest: newest.version,
                ..Sum::default()
            },
        };
        self.children.push(Child {
            address,
            about,
            sum,
            heard_at: now,
            summed: false,
            waited: false,
            sent,
            near: Vec::new(),
            handed: 0,
        });
    }
    pub fn summed(&mut self, now: f64, address: SocketAddr, sum: Sum) -> bool {
        let Some(child) = self.child(address) else { return false };
        (child.heard_at, child.waited, child.summed) = (now, false, true);
        child.handed /= 2;
        child.sum = sum;
        self.promised.retain(|promised| promised.place.address != address);
        true
    }
    /// This process was stopped for so long: what its children said meanwhile is still to be read.
    pub fn stopped(&mut self, for_ms: f64) {
        for child in &mut self.children {
            if !std::mem::replace(&mut child.waited, true) {
                child.heard_at += for_ms;
            }
        }
    }
    /// A child's name, at each call the next one's.
    pub fn in_turn(&mut self) -> Option<String> {
        self.turn = (self.turn + 1) % self.children.len().max(1);
        self.children.get(self.turn).map(|child| child.about.name.clone())
    }
    /// Those that fell silent.
    pub fn silent(&mut self, now: f64, terms: &Terms) -> Vec<Child> {
        self.promised.retain(|promised| promised.until > now);
        let silent = |child: &mut Child| now >= child.heard_at + terms.child_silent_ms;
        self.children.extract_if(.., silent).collect()
    }
    pub fn next_silent_at(&self, terms: &Terms) -> f64 {
        self.children.iter().map(|child| child.heard_at + terms.child_silent_ms).fold(f64::INFINITY, f64::min)
    }
    /// Of a source: its own relays, for the others.
    pub fn places(&self) -> Vec<Place> {
        self.children.iter().filter(|child| child.summed).take(PLACES_MOST).map(place).collect()
    }
    pub fn told_relays(&mut self, now: f64, from: SocketAddr, about: About, mut relays: Vec<Place>) {
        let Some(peer) = self.peer(from) else { return };
        relays.truncate(PLACES_MOST);
        peer.about = Some(about);
        peer.heard_at = now;
        peer.relays = relays;
    }
    /// Every relay known here, with how many it feeds or will: its own, those promised, those of other sources.
    fn relays(&self, now: f64, terms: &Terms) -> Vec<Place> {
        let speaks = |heard_at: f64| speaks(heard_at, now, terms);
        let own = self.children.iter().filter(|child| child.summed && speaks(child.heard_at)).map(place);
        let promised = self.promised.iter().map(|promised| promised.place.clone());
        let live = self.peers.iter().filter(|peer| speaks(peer.heard_at));
        own.chain(promised).chain(live.flat_map(|peer| peer.relays.iter().cloned())).collect()
    }
    /// Of a source: where one that seeks may go. A relay of its zone that has room, the one with the most of it first; else it
    /// is to be a relay, as long as there is room here; else a relay of its region, of another, or one over its fan-out.
    #[allow(clippy::too_many_arguments)]
    pub fn ways(
        &mut self,
        now: f64,
        own: &About,
        from: SocketAddr,
        about: &About,
        avoid: &[SocketAddr],
        sent_on: bool,
        terms: &Terms,
    ) -> Message {
        let mut relays = self.relays(now, terms);
        relays.retain(|relay| relay.address != from && !avoid.contains(&relay.address));
        let near = |relay: &Place| match (relay.region == about.region, relay.zone == about.zone) {
            (true, true) => 0,
            (true, false) => 1,
            _ => 2,
        };
        relays.sort_by_key(|relay| (near(relay), relay.feeds));
        let room = |relay: &&Place, most: usize| (relay.feeds as usize) < most;
        let pick = |most: usize, farthest: u8| -> Vec<SocketAddr> {
            let fit = relays.iter().filter(|relay| room(relay, most) && near(relay) <= farthest);
            fit.take(WAYS_MOST).map(|relay| relay.address).collect()
        };
        let mut found = pick(terms.fan_out, 0);
        if found.is_empty() {
            let full = self.children.len() + self.promised_only() >= terms.source_fan_out;
            let nearer = self.peers.iter().find(|peer| {
                let there = peer.about.as_ref().is_some_and(|there| there.region == about.region);
                there && speaks(peer.heard_at, now, terms) && !avoid.contains(&peer.address)
            });
            if let Some(peer) = nearer.filter(|_| !sent_on && own.region != about.region) {
                return Message::Ways {
                    relays: Vec::new(),
                    relay: false,
                    over: false,
                    ask: Some(peer.address),
                };
            }
            let known = self.children.iter().any(|child| child.address == from);
            if !full || known {
                self.promise(now, from, about);
                return Message::Ways { relays: Vec::new(), relay: true, over: false, ask: None };
            }
            found = pick(terms.fan_out, 2);
        }
        let over = found.is_empty();
        if over {
            found = pick(terms.failover_fan_out, 2);
        }
        if let Some(first) = found.first().copied() {
            self.hand(first);
        }
        Message::Ways { relays: found, relay: false, over, ask: None }
    }
    fn promised_only(&self) -> usize {
        let here =
            |promised: &&Promised| self.children.iter().any(|child| child.address == promised.place.address);
        self.promised.iter().filter(|promised| !here(promised)).count()
    }
    /// Told to be a relay here, so that there is room for it though others came meanwhile.
    pub fn is_promised(&self, from: SocketAddr) -> bool {
        self.promised.iter().any(|promised| promised.place.address == from)
    }
    fn promise(&mut self, now: f64, from: SocketAddr, about: &About) {
        self.promised.retain(|promised| promised.place.address != from);
        let (zone, region) = (about.zone.clone(), about.region.clone());
        let place = Place { address: from, zone, region, feeds: 0 };
        self.promised.push(Promised { place, until: now + PROMISE_MS });
    }
    /// One was sent there, so that the next is not before its sum tells of it.
    fn hand(&mut self, to: SocketAddr) {
        if let Some(child) = self.child(to) {
            child.handed = child.handed.saturating_add(1);
        }
        let promised = self.promised.iter_mut().map(|promised| &mut promised.place);
        let told = self.peers.iter_mut().flat_map(|peer| &mut peer.relays);
        if let Some(place) = promised.chain(told).find(|place| place.address == to) {
            place.feeds = place.feeds.saturating_add(1);
        }
    }
    /// Of a source: relays near this child, of its zone where there are any, so that each has others first than the next.
    pub fn near(&self, now: f64, child: &Child, terms: &Terms) -> Vec<SocketAddr> {
        let mut relays = self.relays(now, terms);
        relays.retain(|relay| relay.address != child.address && relay.region == child.about.region);
        if relays.iter().any(|relay| relay.zone == child.about.zone) {
            relays.retain(|relay| relay.zone == child.about.zone);
        }
        let mut near: Vec<SocketAddr> = relays.iter().map(|relay| relay.address).collect();
        near.sort();
        near.dedup();
        let from = near.partition_point(|address| *address < child.address);
        let length = near.len().max(1);
        near.rotate_left(from % length);
        near.truncate(NEAR_MOST * 2);
        near
    }
    /// Of a source: a relay that is nearer to another source, or one of many where another feeds far fewer; and that other.
    pub fn better(&self, now: f64, own: &About, terms: &Terms) -> Option<(SocketAddr, SocketAddr)> {
        let live = self.peers.iter().filter(|peer| speaks(peer.heard_at, now, terms));
        let room = live.filter(|peer| peer.relays.len() < terms.source_fan_out && peer.about.is_some());
        let of = |peer: &&Peer, region: &str| peer.about.as_ref().is_some_and(|about| about.region == region);
        let peers: Vec<&Peer> = room.collect();
        let far = self.children.iter().filter(|child| child.about.region != own.region);
        let mut nearer = far.filter_map(|child| {
            let peer = peers.iter().find(|peer| of(peer, &child.about.region))?;
            Some((child.address, peer.address))
        });
        nearer.next().or_else(|| {
            let fewer =
                |peer: &&&Peer| peer.relays.len() + SLACK < self.children.len() && of(peer, &own.region);
            Some((self.children.last()?.address, peers.iter().find(fewer)?.address))
        })
    }
    /// Of a source: all sources, those of this region first.
    pub fn sources(&self, own: SocketAddr, own_about: &About, region: &str) -> Vec<SocketAddr> {
        let mut all = vec![(own_about.region != region, own)];
        for peer in &self.peers {
            let there = peer.about.as_ref().is_some_and(|about| about.region == region);
            all.push((!there, peer.address));
        }
        all.sort_by_key(|(far, _)| *far);
        all.into_iter().map(|(_, address)| address).collect()
    }
}

/// Each says something once a second, a source twice: who is silent may stand still, and what it told of with it.
fn speaks(heard_at: f64, now: f64, terms: &Terms) -> bool {
    heard_at + terms.silent_ms.1 > now
}

/// Of a relay: what a child is told, each with another spare first, by its address, so that it stays as others come and go.
pub fn rotated(near: &[SocketAddr], child: SocketAddr) -> Vec<SocketAddr> {
    let mut near: Vec<SocketAddr> = near.iter().copied().filter(|address| *address != child).collect();
    let length = near.len().max(1);
    let at = xxh3_64(child.to_string().as_bytes()) as usize % length;
    near.rotate_left(at);
    near.truncate(NEAR_MOST);
    near
}

fn place(child: &Child) -> Place {
    Place {
        address: child.address,
        zone: child.about.zone.clone(),
        region: child.about.region.clone(),
        feeds: child.sum.feeds.saturating_add(child.handed),
    }
}
