//! A node of the distribution tree: the interface for the driver, and the components behind it.
//!
//! | input | possible effects |
//! | --- | --- |
//! | [`Node::handle_message`] | replies are sent; a change or snapshot takes effect; the parent changes |
//! | [`Node::handle_connection_lost`] | a child is recorded as missing; the parent is replaced; a pending request is cancelled |
//! | [`Node::handle_commit`] | an origin applies the change and sends it to its children |
//! | [`Node::handle_timeout`] | heartbeats, reports, probes and deltas are sent; unresponsive parents and children are dropped; the next request starts |
//!
//! A listener combines two independent state machines: `parent_selection` chooses its parent, and `fetch` requests
//! missing data. An origin has no parent. After each input the driver must execute the result of
//! [`Node::poll_actions`], and it must call [`Node::handle_timeout`] at the time returned by [`Node::poll_timeout`].

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

use crate::aggregation::{aggregate, AttachmentLog, CountSelf, ReportTimer, TimedOutNodes};
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

/// Due times of the node's periodic work, in milliseconds of the driver's clock.
#[derive(Clone, Debug)]
struct Timers {
    heartbeat_ms: f64,
    /// Time at which an origin next sends its list of relays to other origins and lists of alternate parents to its
    /// children.
    relay_list_ms: f64,
    rebalance_ms: f64,
}

/// A process that receives configuration changes and, as an origin or relay, forwards them to its children.
#[derive(Clone, Debug)]
pub struct Node {
    info: NodeInfo,
    role: Role,
    config: DistributionConfig,
    rng: Pcg32,
    store: ConfigStore,
    fan_out: FanOut,
    fetcher: Fetcher,
    /// Parent selection of a listener; idle on an origin.
    parent: ParentSelector,
    freshness: Freshness,
    /// The other origins; empty on a listener.
    origins: OriginPeers,
    placement: Placement,
    timed_out: TimedOutNodes,
    attachments: AttachmentLog,
    report: ReportTimer,
    timers: Timers,
    /// Time at which the relay last had a child, in milliseconds.
    idle_since_ms: f64,
    last_input_ms: f64,
    actions: Actions,
}

impl Node {
    /// Creates a node with the startup table in force and no connections.
    pub fn new(startup: Startup, now_ms: f64) -> Self {
        let Startup { node, role, origins, config, table, seed } = startup;
        let mut rng = Pcg32::seed_from_u64(seed);
        let others: Vec<SocketAddr> = origins.into_iter().filter(|origin| *origin != node.address).collect();
        let (parent_origins, peer_origins) = match role {
            Role::Origin => (Vec::new(), others),
            Role::Listener => (others, Vec::new()),
        };
        let parent = ParentSelector::new(parent_origins, now_ms, &config, &mut rng);
        let probe_at_ms = now_ms + rng.random_range(0.5..1.0) * config.leaf_probe_interval_ms;
        Node {
            role,
            store: ConfigStore::new(table),
            fan_out: FanOut::new(now_ms, config.child_timeout_ms, config.delta_coalescing_ms),
            fetcher: Fetcher::new(now_ms, config.fetch_timeout_ms),
            parent,
            freshness: Freshness::new(probe_at_ms),
            origins: OriginPeers::new(&peer_origins, config.max_parent_timeout_ms),
            placement: Placement::new(node.clone(), &config),
            timed_out: TimedOutNodes::default(),
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

    /// Returns the name, location, address and incarnation that the node sends to its peers.
    pub fn info(&self) -> &NodeInfo {
        &self.info
    }

    /// Returns the table in force.
    pub fn table(&self) -> &QuotaTable {
        self.store.table()
    }

    /// Returns true if the node is a listener that may have children.
    pub fn is_relay(&self) -> bool {
        self.parent.is_relay()
    }

    /// Handles a message from the process at `from`. Requests for a parent or attachment and probes are accepted from
    /// any process. Other messages have no effect unless the sender has the role that they require, such as parent or
    /// child; the reply to them is `Detach` or `Rejected`, or there is none.
    pub fn handle_message(&mut self, now_ms: f64, from: SocketAddr, message: Message) {
        self.note_input(now_ms);
        if !self.accepts(from, &message) {
            return;
        }
        self.dispatch(now_ms, from, message);
        self.flush_deltas(now_ms);
        self.fetch_missing(now_ms);
    }

    /// Handles a failure to send to this address, or the end of the connection to it.
    pub fn handle_connection_lost(&mut self, now_ms: f64, address: SocketAddr) {
        self.note_input(now_ms);
        if let Some(child) = self.fan_out.remove(address) {
            self.on_child_lost(now_ms, child);
        }
        self.origins.clear_version_info(address);
        self.fetcher.handle_connection_lost(address);
        self.on_unreachable(now_ms, address);
        self.fetch_missing(now_ms);
    }

    /// Returns the time at which [`Node::handle_timeout`] must be called next, in milliseconds of the driver's clock.
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

    /// Performs all work that is due at `now_ms`.
    pub fn handle_timeout(&mut self, now_ms: f64) {
        self.note_input(now_ms);
        self.flush_deltas(now_ms);
        self.placement.expire_reservations(now_ms);
        for child in self.fan_out.remove_timed_out(now_ms) {
            self.on_child_lost(now_ms, child);
        }
        if now_ms >= self.timers.heartbeat_ms {
            self.send_heartbeats(now_ms);
            self.timed_out.expire(now_ms);
            self.attachments.expire(now_ms);
        }
        match self.role {
            Role::Origin => self.handle_origin_timeout(now_ms),
            Role::Listener => self.handle_listener_timeout(now_ms),
        }
        self.fetch_missing(now_ms);
    }

    /// Returns the messages and events that accumulated since the last call.
    pub fn poll_actions(&mut self) -> Actions {
        std::mem::take(&mut self.actions)
    }

    /// Prepares an orderly shutdown: sends `Detach` to the parent and all children, so that they need not wait for a
    /// timeout.
    pub fn close(&mut self) {
        let children = self.fan_out.clear();
        for to in children.into_iter().chain(self.parent.parent()) {
            self.send(to, Message::Detach);
        }
    }

    /// Returns this process's view of its subtree.
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

    /// Returns the changes in the change log, oldest first.
    pub fn history(&self) -> Vec<Change> {
        self.store.log().iter().cloned().collect()
    }

    /// Rejects messages that carry this node's own address as sender, and a parent's `Reattach` to a target that this
    /// node must not attach to.
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
            Message::Attach { node, version_info, kind, limit } => {
                self.on_attach(now_ms, from, AttachRequest { node, version_info, kind, limit });
            }
            Message::Attached(version_info) => self.on_attached(now_ms, from, version_info),
            Message::Rejected => self.on_rejected(now_ms, from),
            Message::Detach => self.on_detach(now_ms, from),
            Message::Heartbeat(version_info) => self.on_heartbeat(now_ms, from, version_info),
            Message::AlternateParents { relays, origins } => {
                self.on_alternates(now_ms, from, relays, &origins)
            }
            Message::Delta(changes) => self.on_delta(now_ms, from, changes),
            Message::SyncRequest(version_info) => self.on_sync_request(now_ms, from, version_info),
            Message::ChunkRequest { version, after } => self.on_chunk_request(from, version, after),
            Message::SnapshotChunk { version, digest, after, entries, is_last } => {
                self.on_chunk(now_ms, from, ReceivedChunk { version, digest, after, entries, is_last });
            }
            Message::Aggregate(aggregate) => self.on_aggregate(now_ms, from, aggregate),
            Message::Reattach(to) => self.on_reattach(now_ms, from, to),
            Message::Relocated(names) => self.on_relocated(from, &names),
            Message::Attachments(attached) => self.on_attachments(now_ms, from, attached),
            Message::Probe => self.on_probe(now_ms, from),
            Message::ProbeReply(version_info) => self.on_probe_reply(now_ms, from, version_info),
            Message::OriginRelays { origin, relays } => self.on_origin_relays(now_ms, from, origin, relays),
        }
    }

    /// Returns true if this node accepts children.
    fn may_have_children(&self) -> bool {
        self.role == Role::Origin || self.parent.is_relay()
    }

    /// Returns the version in force and the time since the last origin contact, as sent in heartbeats.
    fn version_info(&self, now_ms: f64) -> HeldVersion {
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
        aggregate(count_self, self.store.version(), self.fan_out.children(), &self.timed_out)
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        self.actions.messages.push((to, message));
    }

    fn warn(&mut self, warning: Warning) {
        self.actions.events.push(Event::Warning(warning));
    }

    /// Records that the driver called the node. After a pause of this process, extends the timeouts of the parent and
    /// the children.
    ///
    /// Without the extension, the node would treat its peers as unresponsive although their messages are still waiting
    /// in its own receive queue.
    fn note_input(&mut self, now_ms: f64) {
        let paused_ms = now_ms - self.last_input_ms;
        if paused_ms > self.config.pause_detection_ms {
            self.fan_out.handle_pause(paused_ms);
            self.parent.handle_pause(now_ms);
        }
        self.last_input_ms = self.last_input_ms.max(now_ms);
    }

    /// Sends heartbeats to all children and other origins.
    fn send_heartbeats(&mut self, now_ms: f64) {
        self.timers.heartbeat_ms = now_ms + self.config.heartbeat_interval_ms;
        let version_info = self.version_info(now_ms);
        let to: Vec<SocketAddr> = self.fan_out.addresses().chain(self.origins.addresses()).collect();
        for to in to {
            self.send(to, Message::Heartbeat(version_info));
        }
    }

    fn flush_deltas(&mut self, now_ms: f64) {
        let version_info = self.version_info(now_ms);
        let messages = self.fan_out.flush(now_ms, version_info, &self.store);
        self.actions.messages.extend(messages);
    }
}
