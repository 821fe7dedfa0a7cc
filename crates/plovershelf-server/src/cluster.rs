//! Cluster membership of this backend. A separate thread has a listener, a link to each peer and a storage file, and
//! drives the [`ClusterNode`] state machine. It uses no time of the event loop, and if it ends the backend continues
//! to serve without it.
//!
//! A frame or a timeout reaches [`Driver`], which passes it to the state machine, persists the records that it
//! returns, and only then sends its messages.

mod driver_heartbeat;
mod failover;
mod replication;
mod replication_status;
mod storage;

pub use crate::links::now_ms;
pub use driver_heartbeat::DriverHeartbeat;
pub use failover::TrafficCounts;
pub use replication::{ReplicationCommand, ReplicationEvent};

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use plovershelf_cluster::gossip::NodeInfo;
use plovershelf_cluster::status::{Answer, Brief, Question, Status};
use plovershelf_cluster::wire::{self, Wire};
use plovershelf_cluster::{Actions, ClusterNode, Event, NodeId, Startup};
use plovershelf_config::group::Group as Setup;

use crate::config_distribution::{self, ConsensusState, KEY as CONFIG_KEY};
use crate::entropy::random_id;
use crate::links::{self, LinkEvent, OutgoingLinks};
use crate::log_limit::{LogLimit, MAX_LINES_PER_S};
use replication::{HandoffEnd, ReplicationDriver};
use storage::{Opened, Storage};

/// Interval at which the node's readiness is updated from the event loop's heartbeat.
const READINESS_INTERVAL_MS: f64 = 200.0;
/// Capacity of the driver's inbox; further events are dropped, as on a network.
const INBOX: usize = 1024;
/// Maximum number of events handled before the timeouts are checked again.
const MAX_EVENTS_PER_TURN: usize = 64;
/// Pause before failed storage is retried.
const STORAGE_RETRY_MS: f64 = 500.0;
/// Longest time for which the driver waits for an event.
const MAX_WAIT_MS: f64 = 1000.0;

/// Returns the wall clock in Unix milliseconds. `PLOVERSHELF_TEST_CLOCK_OFF_MS` shifts it in tests.
fn wall_ms() -> u64 {
    let offset = std::env::var("PLOVERSHELF_TEST_CLOCK_OFF_MS");
    let offset = offset.ok().and_then(|offset| offset.parse::<f64>().ok()).unwrap_or(0.0);
    let since = std::time::SystemTime::UNIX_EPOCH.elapsed().map_or(0.0, |since| since.as_secs_f64() * 1000.0);
    (since + offset).max(0.0) as u64
}

/// An input of the cluster's driver.
pub enum Incoming {
    /// An event of an incoming link.
    Link(LinkEvent),
    /// Proposes a configuration under its key.
    ProposeConfiguration {
        /// Version of the value: one more than the current version.
        version: u64,
        /// The encoded configuration.
        bytes: Vec<u8>,
    },
    /// A command of the event loop for replication.
    Replication(ReplicationCommand),
    /// Drain notice: replicated records are handed off to other members.
    DrainNotice {
        /// Time for the handoff, in milliseconds.
        within_ms: f64,
    },
    /// Proposes a value under any key; used by trials.
    ProposeValue {
        /// Key of the value.
        key: String,
        /// Version of the value: one more than the current version.
        version: u64,
        /// The encoded value.
        bytes: Vec<u8>,
    },
}

impl From<LinkEvent> for Incoming {
    fn from(event: LinkEvent) -> Self {
        Incoming::Link(event)
    }
}

/// Starts the cluster's thread. Returns the sender of its inputs.
///
/// # Errors
/// Returns an error of one line if the listener or the storage can't be opened.
pub fn start(
    setup: Setup,
    name: String,
    heartbeat: Arc<DriverHeartbeat>,
    replication_events: Option<Sender<ReplicationEvent>>,
) -> Result<Sender<Incoming>, String> {
    let listener = TcpListener::bind(setup.listen)
        .map_err(|error| format!("the group's listener on {}: {error}", setup.listen))?;
    let opened = storage::open(&setup, &name, wall_ms()).map_err(|error| error.to_string())?;
    let (startup, storage) = node_startup(&setup, &name, opened);
    let failover = start_failover(&setup)?;
    let (inbox, incoming) = async_channel::bounded(INBOX);
    let config_distribution = start_config_distribution(&setup, name, inbox.clone())?;
    let link_events = inbox.clone();
    let run = move || {
        let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
        let listening = match Async::new(listener) {
            Ok(listener) => links::accept_links(
                executor,
                listener,
                Rc::from(setup.name.as_str()),
                link_events,
                links::CLUSTER_LINKS,
            ),
            Err(error) => return tracing::error!("the cluster's thread ends, its listener failed: {error}"),
        };
        executor.spawn(listening).detach();
        let links = OutgoingLinks::new(
            executor,
            &setup.name,
            setup.address_overrides.clone(),
            links::CLUSTER_LINKS,
            None,
        );
        let node = ClusterNode::new(startup, now_ms());
        let (own_id, boot_id) = (node.node().id, node.swim().own().boot_id);
        let replication = setup.replication.clone().zip(replication_events);
        let replication =
            replication.map(|(config, events)| ReplicationDriver::new(own_id, boot_id, config, events));
        let driver = Driver {
            config_distribution,
            reported_consensus: ConsensusState::default(),
            replication,
            failover,
            node,
            cluster: setup.name.clone(),
            storage,
            storage_retry_at_ms: None,
            links,
            heartbeat,
            readiness_at_ms: 0.0,
            recovery_requesters: Vec::new(),
            notices: LogLimit::new(MAX_LINES_PER_S),
        };
        async_io::block_on(executor.run(driver.run(incoming)));
    };
    std::thread::Builder::new()
        .name("cluster".into())
        .spawn(run)
        .map_err(|error| format!("the group's thread: {error}"))?;
    Ok(inbox)
}

/// Returns the startup parameters of the node from the operator's file and the opened storage, and the storage if a
/// folder is configured.
fn node_startup(setup: &Setup, name: &str, opened: Opened) -> (Startup, Option<Storage>) {
    let node = NodeInfo {
        id: opened.header.id,
        name: name.into(),
        zone: setup.zone.clone(),
        region: setup.region.clone(),
        address: setup.listen,
        created_at_ms: opened.header.created_at_ms,
    };
    let startup = Startup {
        node,
        config: setup.config.clone(),
        seeds: setup.seeds.iter().copied().filter(|seed| *seed != setup.listen).collect(),
        initial_voters: setup.initial_voters.clone(),
        persistent: opened.persistent,
        seed: random_id(),
    };
    (startup, opened.storage)
}

/// Creates the failover driver, if zones are configured.
fn start_failover(setup: &Setup) -> Result<Option<failover::FailoverDriver>, String> {
    let Some(zones) = setup.failover.clone() else { return Ok(None) };
    let failover = failover::FailoverDriver::new(zones, &setup.zone, now_ms());
    failover.map(Some).map_err(|error| error.to_string())
}

/// Starts configuration distribution from this member, if it is configured. Returns the sender of its inputs.
fn start_config_distribution(
    setup: &Setup,
    name: String,
    inbox: Sender<Incoming>,
) -> Result<Option<Sender<config_distribution::Input>>, String> {
    let Some(file) = &setup.config_distribution else { return Ok(None) };
    let propose =
        move |version, bytes| drop(inbox.try_send(Incoming::ProposeConfiguration { version, bytes }));
    config_distribution::start_origin(setup, file, name, Box::new(propose))
        .map(Some)
        .map_err(|error| error.to_string())
}

struct Driver {
    node: ClusterNode,
    /// Inputs of the configuration distribution thread, if this member is an origin.
    config_distribution: Option<Sender<config_distribution::Input>>,
    /// State that was last reported to that thread.
    reported_consensus: ConsensusState,
    replication: Option<ReplicationDriver>,
    failover: Option<failover::FailoverDriver>,
    /// Name of the cluster.
    cluster: String,
    storage: Option<Storage>,
    /// Time at which failed storage is retried.
    storage_retry_at_ms: Option<f64>,
    links: OutgoingLinks,
    heartbeat: Arc<DriverHeartbeat>,
    readiness_at_ms: f64,
    /// Senders of the answers to pending recovery commands.
    recovery_requesters: Vec<Sender<Answer>>,
    notices: LogLimit,
}

impl Driver {
    async fn run(mut self, incoming: Receiver<Incoming>) {
        let node = self.node.node();
        tracing::info!(event = "cluster_node_started", node_id = %format_node_id(node.id), listen = %node.address, "the cluster node has started");
        loop {
            let wait_ms = (self.poll_timeout() - now_ms()).clamp(0.0, MAX_WAIT_MS);
            let event = future::or(async { incoming.recv().await.ok() }, async {
                Timer::after(Duration::from_secs_f64(wait_ms / 1000.0)).await;
                None
            })
            .await;
            // Timeouts first: after a pause of the process its leases must expire before it handles any input.
            self.handle_timeout();
            let more = std::iter::from_fn(|| incoming.try_recv().ok()).take(MAX_EVENTS_PER_TURN);
            event.into_iter().chain(more).for_each(|event| self.handle_event(event));
        }
    }

    fn poll_timeout(&self) -> f64 {
        let replication = self.replication.as_ref().map_or(f64::INFINITY, ReplicationDriver::poll_timeout);
        let failover = self.failover.as_ref().map_or(f64::INFINITY, failover::FailoverDriver::poll_timeout);
        let driver_timeout_ms = self.readiness_at_ms.min(self.storage_retry_at_ms.unwrap_or(f64::INFINITY));
        self.node.poll_timeout().min(replication).min(failover).min(driver_timeout_ms)
    }

    fn handle_timeout(&mut self) {
        let now_ms = now_ms();
        if self.readiness_at_ms <= now_ms {
            self.readiness_at_ms = now_ms + READINESS_INTERVAL_MS;
            self.node.set_ready(now_ms, self.heartbeat.is_ready());
        }
        if self.storage_retry_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
            self.retry_storage(now_ms);
        }
        if self.node.poll_timeout() <= now_ms {
            self.node.handle_timeout(now_ms);
        }
        if let Some(replication) = self.replication.as_mut().filter(|driver| driver.poll_timeout() <= now_ms)
        {
            replication.handle_timeout(now_ms);
        }
        self.plan_traffic(now_ms);
        self.apply_actions();
        self.leave_once_handed_off(now_ms);
    }

    fn plan_traffic(&mut self, now_ms: f64) {
        let Some(failover) = self.failover.as_mut() else { return };
        let failover::DueActions { report, proposal } =
            failover.handle_timeout(now_ms, &self.heartbeat, &self.node);
        if let Some((leader, bytes)) = report {
            let from = self.node.node().id;
            send_subsystem(&mut self.links, &self.node, leader, &Wire::Subsystem { from, to: leader, bytes });
        }
        if let Some((version, bytes)) = proposal {
            self.node.propose(now_ms, failover::PLAN_KEY, version, bytes);
        }
    }

    fn leave_once_handed_off(&mut self, now_ms: f64) {
        let Some(end) = self.replication.as_mut().and_then(|driver| driver.poll_handoff(now_ms)) else {
            return;
        };
        match end {
            HandoffEnd::Complete | HandoffEnd::DeadlinePassed { remaining: 0 } => {
                tracing::info!(
                    event = "handoff_complete",
                    "all replicated records are stored on other members"
                );
            }
            HandoffEnd::DeadlinePassed { remaining } => tracing::warn!(
                event = "handoff_incomplete",
                records = remaining,
                "the handoff deadline passed before other members stored all replicated records"
            ),
        }
        self.node.leave(now_ms);
        self.apply_actions();
    }

    fn handle_event(&mut self, event: Incoming) {
        let now_ms = now_ms();
        match event {
            Incoming::Link(LinkEvent::Message { wire, is_local, answer }) => {
                self.handle_wire(now_ms, *wire, is_local, answer)
            }
            Incoming::Link(LinkEvent::PeerError(message)) => self.log_notice(&message),
            Incoming::ProposeConfiguration { version, bytes } => {
                self.node.propose(now_ms, CONFIG_KEY, version, bytes);
            }
            Incoming::Replication(command) => {
                if let Some(replication) = self.replication.as_mut() {
                    replication.handle_command(now_ms, command);
                }
            }
            Incoming::ProposeValue { key, version, bytes } => {
                self.node.propose(now_ms, &key, version, bytes);
            }
            Incoming::DrainNotice { within_ms } => self.handle_drain_notice(now_ms, within_ms),
        }
        self.apply_actions();
    }

    fn handle_wire(&mut self, now_ms: f64, wire: Wire, is_local: bool, answer: Sender<Answer>) {
        match wire {
            Wire::Envelope(envelope) => self.node.handle_message(now_ms, envelope),
            Wire::Question(question) => self.handle_question(now_ms, question, is_local, answer),
            Wire::Answer(_) | Wire::ConfigDistribution { .. } => {}
            Wire::Subsystem { from, to, bytes } => {
                let own_id = self.node.node().id;
                if let Some(failover) = self.failover.as_mut().filter(|_| to == own_id) {
                    failover.handle_report(now_ms, from, &bytes);
                } else if let Some(replication) = self.replication.as_mut() {
                    replication.handle_message(now_ms, from, to, &bytes);
                }
            }
        }
    }

    /// Starts leaving the cluster. With replication the node remains a member until its records are handed off.
    fn handle_drain_notice(&mut self, now_ms: f64, within_ms: f64) {
        if let Some(distribution) = self.config_distribution.take() {
            let _ = distribution.try_send(config_distribution::Input::Shutdown);
        }
        match self.replication.as_mut() {
            Some(replication) => {
                replication.start_handoff(now_ms, now_ms + within_ms);
                self.node.drain(now_ms);
            }
            None => self.node.leave(now_ms),
        }
    }

    /// Answers a question. Commands that change state are accepted only from this machine.
    fn handle_question(&mut self, now_ms: f64, question: Question, is_local: bool, answer: Sender<Answer>) {
        let answered = match question {
            Question::Copies | Question::Ticket { .. } => {
                replication_status::answer(self.replication.as_ref(), &self.node, question)
            }
            Question::Part { part, bytes } => match (self.failover.as_mut(), wire::decode(&bytes)) {
                (Some(failover), Ok(request)) if part == failover::PLAN_KEY => Answer::Part(
                    wire::encode_payload(&failover.handle_request(now_ms, request, is_local, &self.node)),
                ),
                _ => Answer::Refused(format!("nothing here is asked of {part:?}")),
            },
            Question::Brief { names } => Answer::Brief(Box::new(Brief::of(&self.node, &names, now_ms))),
            Question::Status => Answer::Status(Box::new(Status::of(&self.node, &self.cluster, now_ms))),
            _ if !is_local => {
                Answer::Refused("such a command is taken on the member's own machine alone".into())
            }
            Question::Replace { voter } => match self.node.replace_voter(now_ms, &voter) {
                Ok(()) => Answer::Done(format!("{voter} is being replaced as a voter")),
                Err(reason) => Answer::Refused(reason.to_string()),
            },
            Question::Recover { lost } => match self.node.recover(now_ms, &lost) {
                Ok(()) => {
                    tracing::warn!(event = "epoch_recovery_started", lost = %lost.join(","), "recovery with a new epoch was requested");
                    self.recovery_requesters.push(answer);
                    return;
                }
                Err(reason) => Answer::Refused(reason.to_string()),
            },
        };
        let _ = answer.try_send(answered);
    }

    /// Applies the node's actions. Records are persisted before messages that depend on them are sent.
    fn apply_actions(&mut self) {
        let Actions { save, mut send, events } = self.node.poll_actions();
        let saved = match self.storage.as_mut() {
            Some(storage) if !save.is_empty() => storage.append(&save, self.node.raft().persistent()),
            _ => Ok(()),
        };
        if let Err(error) = saved {
            self.handle_storage_failed(&error);
            send.retain(|(_, envelope)| !envelope.message.depends_on_storage());
        }
        for (destination, envelope) in send {
            let name = destination.id.and_then(|id| self.node.name_of(id));
            self.links.send(destination.address, name.as_deref(), &Wire::Envelope(envelope));
        }
        events.into_iter().for_each(|event| self.report(event));
        if let Some(replication) = self.replication.as_mut() {
            replication.update_suspected(now_ms(), &self.node.suspected());
        }
        self.send_replication();
        self.report_consensus();
    }

    fn handle_storage_failed(&mut self, error: &std::io::Error) {
        if self.storage_retry_at_ms.is_none() {
            tracing::error!(event = "storage_failed", "writing the cluster's storage failed: {error}; this member neither votes nor acknowledges until a write succeeds");
        }
        let now_ms = now_ms();
        self.node.handle_storage_failed(now_ms);
        self.storage_retry_at_ms = Some(now_ms + STORAGE_RETRY_MS);
    }

    fn retry_storage(&mut self, now_ms: f64) {
        let Some(storage) = self.storage.as_mut() else { return };
        match storage.rewrite(self.node.raft().persistent()) {
            Ok(()) => {
                self.storage_retry_at_ms = None;
                tracing::info!(event = "storage_restored", "the cluster's storage is writable again");
                self.node.handle_storage_restored(now_ms);
            }
            Err(_) => self.storage_retry_at_ms = Some(now_ms + STORAGE_RETRY_MS),
        }
    }

    /// Reports the committed configuration to its distribution thread, whether it was committed here or came with a
    /// snapshot. A report that finds the queue full is repeated with the next one.
    fn report_consensus(&mut self) {
        let Some(distribution) = &self.config_distribution else { return };
        let leader = self.node.leader().and_then(|id| self.node.name_of(id));
        let value = self.node.value(CONFIG_KEY);
        let (epoch, number) = (self.node.raft().epoch().0, value.map_or(0, |value| value.version));
        let has_quorum = leader.is_some() && self.node.no_leader_since_ms().is_none();
        let reported = &self.reported_consensus;
        if (epoch, number, has_quorum) == (reported.epoch, reported.number, reported.has_quorum)
            && leader == reported.leader
        {
            return;
        }
        let entry = value.map_or_else(Vec::new, |value| value.bytes.clone());
        let state = ConsensusState { epoch, number, entry, leader, has_quorum };
        if distribution.try_send(config_distribution::Input::Consensus(state.clone())).is_ok() {
            self.reported_consensus = ConsensusState { entry: Vec::new(), ..state };
        }
    }

    /// Sends the replicator's messages over the cluster's links to the members that the view names.
    fn send_replication(&mut self) {
        let Some(replication) = self.replication.as_mut() else { return };
        let (from, messages) = replication.poll_actions();
        for (to, bytes) in messages {
            if let Some(member) = replication.member(to) {
                send_subsystem(&mut self.links, &self.node, member, &Wire::Subsystem { from, to, bytes });
            }
        }
    }

    /// Logs a notice about other members, within the limit of log lines per second.
    fn log_notice(&mut self, message: &str) {
        if self.notices.admit(now_ms()).is_admitted {
            tracing::warn!(event = "cluster_notice", "{message}");
        }
    }

    fn apply_traffic_plan(&mut self) {
        if let (Some(failover), Some(value)) = (self.failover.as_mut(), self.node.value(failover::PLAN_KEY)) {
            failover.handle_committed(now_ms(), value.version, &value.bytes);
        }
    }

    fn report(&mut self, event: Event) {
        match event {
            Event::View(view) => {
                // A snapshot of the committed state may contain a traffic plan.
                self.apply_traffic_plan();
                if let Some(replication) = self.replication.as_mut() {
                    replication.update_view(now_ms(), &view);
                }
                let (number, members) = (view.number, view.members.len());
                tracing::info!(event = "view_changed", number, members, "view {number}")
            }
            Event::Lease(Some(_)) => tracing::debug!(event = "lease_acquired", "acquired a lease"),
            Event::Lease(None) => tracing::info!(event = "lease_expired", "the lease has expired"),
            Event::Leader(leader) => {
                let name = leader.and_then(|id| self.node.name_of(id)).unwrap_or_default();
                tracing::info!(event = "leader_changed", name, "leader {name:?}")
            }
            Event::ValueCommitted { key, version } => {
                tracing::debug!(event = "value_committed", key, version, "a value was committed");
                self.apply_traffic_plan();
            }
            Event::ProposalAnswered { .. } => {}
            Event::RecoveryEnded(outcome) => {
                let answer = match outcome {
                    Ok(number) => {
                        tracing::warn!(
                            event = "epoch_recovery_ended",
                            "recovery succeeded with epoch {number}"
                        );
                        Answer::Done(format!("council {number} has begun"))
                    }
                    Err(reason) => {
                        tracing::warn!(event = "epoch_recovery_ended", "recovery failed: {reason}");
                        Answer::Refused(reason.to_string())
                    }
                };
                self.recovery_requesters
                    .drain(..)
                    .for_each(|requester| drop(requester.try_send(answer.clone())));
            }
            Event::Notice(notice) => self.log_notice(&notice.to_string()),
        }
    }
}

/// Sends a message of a subsystem to a member of the view.
fn send_subsystem(links: &mut OutgoingLinks, node: &ClusterNode, member: NodeId, wire: &Wire) {
    if let Some(member) = node.view().members.get(&member) {
        links.send(member.address, Some(&member.name), wire);
    }
}

/// Formats a node id as in logs and commands.
fn format_node_id(id: NodeId) -> String {
    format!("{:016x}", id.0)
}
