//! One process of the tree: the driver's interface, and the parts behind it joined.
//!
//! | input | what may follow |
//! | --- | --- |
//! | [`Node::handle_message`] | answers; a change or snapshot in force; another parent |
//! | [`Node::handle_connection_lost`] | a child is missing, another parent is sought, a request is given up |
//! | [`Node::handle_commit`] | an origin has the change in force and sends it on |
//! | [`Node::handle_timeout`] | heartbeats, reports, probes, deltas, silent parents and children, the next request |
//!
//! A listener's states are those of `parent_selection` (whom it hears from) and `fetch` (what it asks for), which do not
//! depend on each other. An origin has no parent. After each input the driver carries out [`Node::poll_actions`] and calls
//! [`Node::handle_timeout`] at [`Node::poll_timeout`].

mod children;
mod interface;
mod listener;
mod origin;
mod sync;

use std::net::SocketAddr;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use children::AttachRequest;
use listener::Candidates;

pub use interface::{Actions, Event, NodeStatus, ProposalError, Role, Startup, Warning};

use crate::aggregation::{aggregate, AttachmentLog, CountSelf, ReportTimer, SilentNodes};
use crate::change::Change;
use crate::config::DistributionConfig;
use crate::fan_out::FanOut;
use crate::fetch::{Fetcher, ReceivedChunk};
use crate::freshness::Freshness;
use crate::message::{Aggregate, HeldVersion, Message, NodeInfo};
use crate::origin_peers::OriginPeers;
use crate::parent_selection::ParentSelector;
use crate::placement::{ParentRequest, Placement};
use crate::quota_table::QuotaTable;
use crate::store::ConfigStore;

/// When the node's own recurring work is due.
#[derive(Clone, Debug)]
struct Timers {
    heartbeat_ms: f64,
    /// Of an origin: the list of relays, to other origins and children.
    relay_list_ms: f64,
    rebalance_ms: f64,
}

/// One process that receives changes and may hand them on.
#[derive(Clone, Debug)]
pub struct Node {
    info: NodeInfo,
    role: Role,
    config: DistributionConfig,
    rng: Pcg32,
    store: ConfigStore,
    fan_out: FanOut,
    fetcher: Fetcher,
    /// Of a listener; an origin's stays idle.
    parent: ParentSelector,
    freshness: Freshness,
    /// Of an origin; a listener has none.
    origins: OriginPeers,
    placement: Placement,
    silent: SilentNodes,
    attachments: AttachmentLog,
    report: ReportTimer,
    timers: Timers,
    /// Since when a relay has fed nobody.
    idle_since_ms: f64,
    last_input_ms: f64,
    actions: Actions,
}

impl Node {
    /// A node that has its table in force and no connection yet.
    pub fn new(startup: Startup, now_ms: f64) -> Self {
        let Startup { node, role, origins, config, table, seed } = startup;
        let mut rng = Pcg32::seed_from_u64(seed);
        let others: Vec<SocketAddr> = origins.into_iter().filter(|at| *at != node.address).collect();
        let (origins, peers) = match role {
            Role::Origin => (Vec::new(), others),
            Role::Listener => (others, Vec::new()),
        };
        let parent = ParentSelector::new(origins, now_ms, &config, &mut rng);
        let probe_at_ms = now_ms + rng.random_range(0.5..1.0) * config.leaf_probe_interval_ms;
        Node {
            role,
            store: ConfigStore::new(table),
            fan_out: FanOut::new(now_ms, config.child_timeout_ms, config.delta_coalescing_ms),
            fetcher: Fetcher::new(now_ms, config.fetch_timeout_ms),
            parent,
            freshness: Freshness::new(probe_at_ms),
            origins: OriginPeers::new(&peers, config.max_parent_timeout_ms),
            placement: Placement::new(node.clone(), &config),
            silent: SilentNodes::default(),
            attachments: AttachmentLog::default(),
            report: ReportTimer::new(now_ms),
            timers: Timers { heartbeat_ms: now_ms, relay_list_ms: now_ms, rebalance_ms: now_ms },
            idle_since_ms: now_ms,
            last_input_ms: now_ms,
            actions: Actions::default(),
            info: node,
            config,
            rng,
        }
    }

    /// How the node introduces itself.
    pub fn info(&self) -> &NodeInfo {
        &self.info
    }

    /// The table in force.
    pub fn table(&self) -> &QuotaTable {
        self.store.table()
    }

    /// Whether it is a listener that feeds others.
    pub fn is_relay(&self) -> bool {
        self.parent.is_relay()
    }

    /// A message from the process that is reached at `from`. A stranger's is ignored, unless it looks for a parent.
    pub fn handle_message(&mut self, now_ms: f64, from: SocketAddr, message: Message) {
        self.note_input(now_ms);
        if !self.accepts(from, &message) {
            return;
        }
        self.dispatch(now_ms, from, message);
        self.flush_deltas(now_ms);
        self.fetch_missing(now_ms);
    }

    /// Nothing can be sent to this address, or the connection there ended.
    pub fn handle_connection_lost(&mut self, now_ms: f64, address: SocketAddr) {
        self.note_input(now_ms);
        if let Some(child) = self.fan_out.remove(address) {
            self.on_child_gone(now_ms, child);
        }
        self.origins.forget_held(address);
        self.fetcher.handle_connection_lost(address);
        self.on_unreachable(now_ms, address);
        self.fetch_missing(now_ms);
    }

    /// When [`Node::handle_timeout`] is to be called next, in milliseconds of the driver's clock.
    pub fn poll_timeout(&self) -> f64 {
        let mut at_ms = self.timers.heartbeat_ms.min(self.fan_out.poll_timeout());
        if !self.fetcher.is_idle() {
            at_ms = at_ms.min(self.fetcher.poll_timeout());
        } else if self.fetch_target().is_some() {
            at_ms = at_ms.min(self.fetcher.poll_timeout().max(self.last_input_ms));
        }
        match self.role {
            Role::Origin => at_ms.min(self.timers.relay_list_ms),
            Role::Listener => {
                if self.parent.parent().is_some() {
                    at_ms = at_ms.min(self.report.poll_timeout()).min(self.freshness.poll_timeout());
                }
                at_ms.min(self.parent.poll_timeout())
            }
        }
    }

    /// The time is `now_ms`: what is due by now is done.
    pub fn handle_timeout(&mut self, now_ms: f64) {
        self.note_input(now_ms);
        self.flush_deltas(now_ms);
        self.placement.expire_promises(now_ms);
        for child in self.fan_out.remove_silent(now_ms) {
            self.on_child_gone(now_ms, child);
        }
        if now_ms >= self.timers.heartbeat_ms {
            self.send_heartbeats(now_ms);
            self.silent.expire(now_ms);
            self.attachments.expire(now_ms);
        }
        match self.role {
            Role::Origin => self.handle_origin_timeout(now_ms),
            Role::Listener => self.handle_listener_timeout(now_ms),
        }
        self.fetch_missing(now_ms);
    }

    /// What is to be sent and published since the last call.
    pub fn poll_actions(&mut self) -> Actions {
        std::mem::take(&mut self.actions)
    }

    /// The process ends on purpose: parent and children are notified, so that nobody waits for its silence.
    pub fn close(&mut self) {
        let children = self.fan_out.clear();
        for to in children.into_iter().chain(self.parent.parent()) {
            self.send(to, Message::Detach);
        }
    }

    /// This process's view of the fleet.
    pub fn status(&self, now_ms: f64) -> NodeStatus {
        let aggregate = self.aggregate();
        NodeStatus {
            name: self.info.name.clone(),
            version: self.store.version(),
            digest: self.table().digest(),
            tenants: self.table().len() as u64,
            age_ms: match self.role {
                Role::Origin => Some(0.0),
                Role::Listener => self.freshness.origin_contact_age_ms(now_ms),
            },
            parent: self.parent.parent(),
            backup_parent: self.parent.backup_parent(),
            children: self.fan_out.len() as u64,
            nodes: aggregate.nodes.into(),
            up_to_date: aggregate.up_to_date.into(),
            oldest: aggregate.oldest,
            missing: aggregate.missing,
        }
    }

    /// The last changes that are kept, oldest first.
    pub fn history(&self) -> Vec<Change> {
        self.store.log().iter().cloned().collect()
    }

    /// Not a message from its own address, nor a parent's request to attach where it can't.
    fn accepts(&self, from: SocketAddr, message: &Message) -> bool {
        match message {
            Message::Reattach(to) if self.parent.is_parent(from) => self.accepts_reattach(*to),
            _ => from != self.info.address,
        }
    }

    fn dispatch(&mut self, now_ms: f64, from: SocketAddr, message: Message) {
        match message {
            Message::FindParent { node, excluded, redirected } => {
                let request = ParentRequest { from, node: &node, excluded: &excluded, redirected };
                self.on_find_parent(now_ms, &request);
            }
            Message::ParentCandidates { relays, kind, limit, ask_origin } => {
                self.on_candidates(now_ms, from, Candidates { relays, kind, limit, ask_origin });
            }
            Message::Attach { node, held, kind, limit } => {
                self.on_attach(now_ms, from, AttachRequest { node, held, kind, limit });
            }
            Message::Attached(held) => self.on_attached(now_ms, from, held),
            Message::Rejected => self.on_rejected(now_ms, from),
            Message::Detach => self.on_detach(now_ms, from),
            Message::Heartbeat(held) => self.on_heartbeat(now_ms, from, held),
            Message::AlternateParents { relays, origins } => {
                self.on_alternates(now_ms, from, relays, &origins)
            }
            Message::Delta(changes) => self.on_delta(now_ms, from, changes),
            Message::SyncRequest(held) => self.on_sync_request(now_ms, from, held),
            Message::ChunkRequest { version, after } => self.on_chunk_request(from, version, after),
            Message::SnapshotChunk { version, digest, after, entries, is_last } => {
                self.on_chunk(now_ms, from, ReceivedChunk { version, digest, after, entries, is_last });
            }
            Message::Aggregate(aggregate) => self.on_aggregate(now_ms, from, aggregate),
            Message::Reattach(to) => self.on_reattach(now_ms, from, to),
            Message::Relocated(names) => self.on_relocated(from, &names),
            Message::Attachments(attached) => self.on_attachments(now_ms, from, attached),
            Message::Probe => self.on_probe(now_ms, from),
            Message::ProbeReply(held) => self.on_probe_reply(now_ms, from, held),
            Message::OriginRelays { origin, relays } => self.on_origin_relays(now_ms, from, origin, relays),
        }
    }

    /// Whether it may have children.
    fn feeds_others(&self) -> bool {
        self.role == Role::Origin || self.parent.is_relay()
    }

    /// What this process holds, as heartbeats carry it.
    fn held(&self, now_ms: f64) -> HeldVersion {
        let age_ms = match self.role {
            Role::Origin => 0.0,
            Role::Listener => self.freshness.origin_contact_age_ms(now_ms).unwrap_or(f64::INFINITY),
        };
        HeldVersion {
            version: self.store.version(),
            short_digest: self.store.short_digest(),
            age_ms: age_ms as u32,
        }
    }

    fn aggregate(&self) -> Aggregate {
        let count_self = match self.role {
            Role::Origin => CountSelf::No,
            Role::Listener => CountSelf::Yes,
        };
        aggregate(count_self, self.store.version(), self.fan_out.children(), &self.silent)
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        self.actions.messages.push((to, message));
    }

    fn warn(&mut self, warning: Warning) {
        self.actions.events.push(Event::Warning(warning));
    }

    /// Each input begins here. After a pause of this process itself parents and children get more time.
    ///
    /// Against taking others for silent when it is this process that stood still: what they sent is still to be read.
    fn note_input(&mut self, now_ms: f64) {
        let paused_ms = now_ms - self.last_input_ms;
        if paused_ms > self.config.pause_detection_ms {
            self.fan_out.handle_pause(paused_ms);
            self.parent.handle_pause(now_ms);
        }
        self.last_input_ms = self.last_input_ms.max(now_ms);
    }

    /// To children and other origins.
    fn send_heartbeats(&mut self, now_ms: f64) {
        self.timers.heartbeat_ms = now_ms + self.config.heartbeat_interval_ms;
        let held = self.held(now_ms);
        let to: Vec<SocketAddr> = self.fan_out.addresses().chain(self.origins.addresses()).collect();
        for to in to {
            self.send(to, Message::Heartbeat(held));
        }
    }

    fn flush_deltas(&mut self, now_ms: f64) {
        let held = self.held(now_ms);
        let messages = self.fan_out.flush(now_ms, held, &self.store);
        self.actions.messages.extend(messages);
    }
}
