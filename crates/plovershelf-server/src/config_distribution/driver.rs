//! Drives the distribution node: links, clock, answers to operators and updates to the subscriber.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use plovershelf_cluster::status::{Answer, Question};
use plovershelf_cluster::wire::{decode, encode_payload, Wire};
use plovershelf_config_distribution::{
    DistributionConfig, Edit, Event, Node, NodeInfo, Role, Startup as NodeStartup, Version,
};

use super::admin::{AdminRequest, AdminResponse, StatusReport, KEY};
use super::origin::{Origin, Respond};
use super::subscriber::Publisher;
use super::{Input, StartError, Startup};
use crate::entropy::random_id;
use crate::links::{self, now_ms, LinkEvent, LinkLimits, OutgoingLinks};
use crate::log_limit::{LogLimit, MAX_LINES_PER_S};

/// Capacity of the queue of lost links to the node.
const MAX_QUEUED_LOST_LINKS: usize = 256;
/// Maximum number of inputs handled before the timeouts are checked again.
const MAX_INPUTS_PER_TURN: usize = 64;
/// Longest time for which the driver waits for an input.
const MAX_SLEEP_MS: f64 = 1000.0;
/// Pause before an update that the subscriber's queue rejected is offered again.
const PUBLISH_RETRY_MS: f64 = 50.0;
/// Number of listeners that may contact an origin at the same time, as when a release restarts all of them.
const MAX_SIMULTANEOUS_REQUESTS: usize = 1024;
/// Number of links in addition to those with parent and children: backup parents, alternates and operators' commands.
const SPARE_CONNECTIONS: usize = 32;
/// Idle time after which a link is closed. It spans several heartbeats, so links in use stay open.
const IDLE_CONNECTION_MS: u64 = 4000;
/// Time for writing the last messages before the driver ends.
const SHUTDOWN_FLUSH_MS: u64 = 200;

/// Returns a future that runs a driver until it is shut down.
///
/// # Errors
///
/// Returns an error if the socket can't be registered with the reactor.
pub(super) fn run(
    executor: &'static LocalExecutor<'static>,
    startup: Startup,
    listener: TcpListener,
) -> Result<impl future::Future<Output = ()>, StartError> {
    let Startup { setup, name, subscriber, table, origin, inputs: (sender, inputs) } = startup;
    let address = setup.listen;
    let listener = Async::new(listener).map_err(|source| StartError::Poll { address, source })?;
    let role = if origin.is_some() { Role::Origin } else { Role::Listener };
    let limits = link_limits(role, &setup.config);
    let (lost_link_sender, lost_links) = async_channel::bounded(MAX_QUEUED_LOST_LINKS);
    let links = OutgoingLinks::new(executor, &setup.cluster, BTreeMap::new(), limits, Some(lost_link_sender));
    let accepting = links::accept_links(executor, listener, Rc::from(setup.cluster.as_str()), sender, limits);
    let node = NodeInfo {
        name: name.clone(),
        zone: setup.zone,
        region: setup.region,
        address,
        incarnation: random_id(),
    };
    let (origins, config, seed) = (setup.origins, setup.config, random_id());
    let driver = Driver {
        node: Node::new(NodeStartup { node, role, origins, config, table, seed }, now_ms()),
        links,
        publisher: Publisher::new(name, subscriber),
        origin: origin.map(|origin| Origin::new(origin.propose, origin.file)),
        warnings: LogLimit::new(MAX_LINES_PER_S),
    };
    // The tasks that read links end once the receiver of the queue is dropped.
    let accepting = executor.spawn(accepting);
    Ok(async move {
        driver.run(inputs, lost_links).await;
        drop(accepting);
    })
}

/// Returns bounds on the links in each direction, from the fan-out and the number of simultaneous requests.
fn link_limits(role: Role, config: &DistributionConfig) -> LinkLimits {
    let tree = 2 * config.fan_out.max(config.origin_fan_out) + SPARE_CONNECTIONS;
    let per_direction = match role {
        Role::Origin => tree + MAX_SIMULTANEOUS_REQUESTS,
        Role::Listener => 2 * tree,
    };
    LinkLimits {
        max_outgoing: per_direction,
        max_incoming: per_direction,
        idle_timeout_ms: IDLE_CONNECTION_MS,
    }
}

struct Driver {
    node: Node,
    links: OutgoingLinks,
    publisher: Publisher,
    origin: Option<Origin>,
    warnings: LogLimit,
}

impl Driver {
    async fn run(mut self, inputs: Receiver<Input>, lost_links: Receiver<SocketAddr>) {
        let node = self.node.info();
        tracing::info!(
            event = "config_distribution_started",
            listen = %node.address,
            zone = %node.zone,
            "configuration distribution started"
        );
        loop {
            let wait_ms = (self.poll_timeout() - now_ms()).clamp(0.0, MAX_SLEEP_MS);
            let received = async { inputs.recv().await.ok() };
            let lost_link = async { lost_links.recv().await.ok().map(Input::ConnectionLost) };
            let timeout = async {
                Timer::after(Duration::from_secs_f64(wait_ms / 1000.0)).await;
                None
            };
            let first = future::or(received, future::or(lost_link, timeout)).await;
            self.handle_timeout();
            let more = std::iter::from_fn(|| inputs.try_recv().ok()).take(MAX_INPUTS_PER_TURN);
            for input in first.into_iter().chain(more) {
                if matches!(input, Input::Shutdown) {
                    self.node.close();
                    self.apply_actions();
                    Timer::after(Duration::from_millis(SHUTDOWN_FLUSH_MS)).await;
                    return;
                }
                self.handle_input(input);
                self.apply_actions();
            }
        }
    }

    fn poll_timeout(&self) -> f64 {
        let origin_ms = self.origin.as_ref().map_or(f64::INFINITY, Origin::poll_timeout);
        let publish_ms =
            if self.publisher.has_pending() { now_ms() + PUBLISH_RETRY_MS } else { f64::INFINITY };
        self.node.poll_timeout().min(origin_ms).min(publish_ms)
    }

    fn handle_timeout(&mut self) {
        let now_ms = now_ms();
        self.node.handle_timeout(now_ms);
        if let Some(origin) = self.origin.as_mut() {
            origin.handle_timeout(now_ms);
        }
        self.publisher.flush();
        self.apply_actions();
    }

    fn handle_input(&mut self, input: Input) {
        let now_ms = now_ms();
        match input {
            Input::Received(LinkEvent::Message { wire, is_local, answer }) => match *wire {
                Wire::ConfigDistribution { address, bytes } => match decode(&bytes) {
                    Ok(message) => self.node.handle_message(now_ms, address, message),
                    Err(malformed) => self.warn(&format!("{address} sent {malformed}")),
                },
                Wire::Question(question) => self.handle_question(question, is_local, answer),
                Wire::Envelope(_) | Wire::Answer(_) | Wire::Subsystem { .. } => {}
            },
            Input::Received(LinkEvent::PeerError(message)) => self.warn(&message),
            Input::Shutdown => {}
            Input::ConnectionLost(address) => self.node.handle_connection_lost(now_ms, address),
            Input::Consensus(state) => {
                match self.origin.as_mut().and_then(|origin| origin.handle_consensus(state)) {
                    Some(Ok(change)) => self.node.handle_commit(now_ms, change),
                    Some(Err(error)) => self.warn(&error.to_string()),
                    None => {}
                }
            }
        }
    }

    fn handle_question(&mut self, question: Question, is_local: bool, answer: Sender<Answer>) {
        let respond =
            move |response: AdminResponse| drop(answer.try_send(Answer::Part(encode_payload(&response))));
        match admin_request(question) {
            Ok(AdminRequest::Status) => {
                let consensus = self.origin.as_ref().map(Origin::report);
                let (node, is_origin) = (self.node.status(now_ms()), self.origin.is_some());
                respond(AdminResponse::Status(Box::new(StatusReport { node, is_origin, consensus })));
            }
            Ok(AdminRequest::History) => respond(AdminResponse::History(self.node.history())),
            Ok(AdminRequest::Propose { edits, after }) => {
                self.propose(edits, after, is_local, Box::new(respond));
            }
            Err(reason) => respond(AdminResponse::Rejected(reason)),
        }
    }

    /// Proposes a change of an operator's command. Only an origin accepts it, and only from its own machine.
    fn propose(&mut self, edits: Vec<Edit>, after: Option<u64>, is_local: bool, respond: Respond) {
        let reject = |reason: &str| AdminResponse::Rejected(reason.into());
        let Some(origin) = self.origin.as_mut() else {
            return respond(reject("this is a listener: changes are proposed to a source"));
        };
        if !is_local {
            return respond(reject("a change is taken on the source's own machine alone"));
        }
        let unix_ms = std::time::SystemTime::UNIX_EPOCH.elapsed().map_or(0, |since| since.as_millis() as u64);
        match self.node.prepare_change(edits, after, origin.epoch(), unix_ms) {
            Ok(change) => origin.propose(now_ms(), &change, respond),
            Err(error) => respond(AdminResponse::Rejected(error.to_string())),
        }
    }

    fn apply_actions(&mut self) {
        let actions = self.node.poll_actions();
        let address = self.node.info().address;
        for (to, message) in actions.messages {
            let bytes = encode_payload(&message);
            self.links.send(to, None, &Wire::ConfigDistribution { address, bytes });
        }
        for event in actions.events {
            match event {
                Event::DeltaApplied { version, edits } => self.handle_delta_applied(version, &edits),
                Event::SnapshotApplied { version } => self.handle_snapshot_applied(version),
                Event::Warning(warning) => self.warn(&warning.to_string()),
            }
        }
    }

    fn handle_delta_applied(&mut self, version: Version, edits: &[Edit]) {
        tracing::info!(
            event = "config_applied",
            number = version.number,
            edits = edits.len(),
            "change {version}"
        );
        self.publisher.publish_delta(now_ms(), version, edits);
        self.store();
    }

    fn handle_snapshot_applied(&mut self, version: Version) {
        let tenants = self.node.table().len();
        tracing::info!(
            event = "config_applied",
            number = version.number,
            tenants,
            "snapshot of change {version}"
        );
        self.publisher.publish_snapshot(now_ms(), version, self.node.table());
        self.store();
    }

    fn store(&mut self) {
        if let Some(origin) = self.origin.as_mut() {
            origin.store(self.node.table());
        }
    }

    fn warn(&mut self, message: &str) {
        if self.warnings.admit(now_ms()).is_admitted {
            tracing::warn!(event = "config_distribution_warning", "{message}");
        }
    }
}

/// Decodes a question to configuration distribution, or returns the reason for which it is rejected.
fn admin_request(question: Question) -> Result<AdminRequest, String> {
    let Question::Part { part, bytes } = question else {
        return Err("changes are carried here, and nothing else is asked of this address".into());
    };
    match decode(&bytes) {
        Ok(request) if part == KEY => Ok(request),
        Ok(_) => Err(format!("nothing here is asked of {part:?}")),
        Err(malformed) => Err(format!("the question is {malformed}")),
    }
}
