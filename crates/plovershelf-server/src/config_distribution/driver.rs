//! Carries out what the node decides: connections, the clock, answers to people, updates to the subscriber.

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

/// Lost connections that wait to be passed to the node.
const MAX_QUEUED_LOSSES: usize = 256;
/// Inputs that are handled before time is looked at again.
const INPUTS_A_TURN: usize = 64;
/// The longest sleep, whatever the node asks for.
const MAX_SLEEP_MS: f64 = 1000.0;
/// An update that the subscriber did not take is offered again after this.
const PUBLISH_RETRY_MS: f64 = 50.0;
/// Listeners that may ask an origin at once, as when a release starts all of them anew.
const MAX_SIMULTANEOUS_REQUESTS: usize = 1024;
/// Connections beside those to parent and children: backups, alternates, people.
const SPARE_CONNECTIONS: usize = 32;
/// A connection that carries nothing for longer than a few heartbeats is not needed.
const IDLE_CONNECTION_MS: u64 = 4000;
/// For how long the last messages may take to be written.
const SHUTDOWN_FLUSH_MS: u64 = 200;

/// A driver's whole life, with its socket.
///
/// # Errors
///
/// The socket can't be waited on.
pub(super) fn run(
    executor: &'static LocalExecutor<'static>,
    startup: Startup,
    listener: TcpListener,
) -> Result<impl future::Future<Output = ()>, StartError> {
    let Startup { setup, name, subscriber, table, origin, inputs: (sender, inputs) } = startup;
    let address = setup.listen;
    let listener = Async::new(listener).map_err(|source| StartError::Poll { address, source })?;
    let role = if origin.is_some() { Role::Origin } else { Role::Listener };
    let bounds = connection_bounds(role, &setup.config);
    let (lost, losses) = async_channel::bounded(MAX_QUEUED_LOSSES);
    let links = OutgoingLinks::new(executor, &setup.cluster, BTreeMap::new(), bounds, Some(lost));
    let accepting = links::accept_links(executor, listener, Rc::from(setup.cluster.as_str()), sender, bounds);
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
    // Those that read connections end when nobody takes from the queue any more.
    let accepting = executor.spawn(accepting);
    Ok(async move {
        driver.run(inputs, losses).await;
        drop(accepting);
    })
}

/// Connections in and out, by how many hear from one and how many may ask it.
fn connection_bounds(role: Role, config: &DistributionConfig) -> LinkLimits {
    let tree = 2 * config.fan_out.max(config.origin_fan_out) + SPARE_CONNECTIONS;
    let each_way = match role {
        Role::Origin => tree + MAX_SIMULTANEOUS_REQUESTS,
        Role::Listener => 2 * tree,
    };
    LinkLimits { max_outgoing: each_way, max_incoming: each_way, idle_timeout_ms: IDLE_CONNECTION_MS }
}

struct Driver {
    node: Node,
    links: OutgoingLinks,
    publisher: Publisher,
    origin: Option<Origin>,
    warnings: LogLimit,
}

impl Driver {
    async fn run(mut self, inputs: Receiver<Input>, losses: Receiver<SocketAddr>) {
        let node = self.node.info();
        tracing::info!(
            event = "config_distribution_started",
            listen = %node.address,
            zone = %node.zone,
            "changes are carried here"
        );
        loop {
            let wait_ms = (self.poll_timeout() - now_ms()).clamp(0.0, MAX_SLEEP_MS);
            let received = async { inputs.recv().await.ok() };
            let lost = async { losses.recv().await.ok().map(Input::ConnectionLost) };
            let timeout = async {
                Timer::after(Duration::from_secs_f64(wait_ms / 1000.0)).await;
                None
            };
            let first = future::or(received, future::or(lost, timeout)).await;
            self.handle_timeout();
            let more = std::iter::from_fn(|| inputs.try_recv().ok()).take(INPUTS_A_TURN);
            for input in first.into_iter().chain(more) {
                if matches!(input, Input::Shutdown) {
                    self.node.close();
                    self.carry_out();
                    Timer::after(Duration::from_millis(SHUTDOWN_FLUSH_MS)).await;
                    return;
                }
                self.handle_input(input);
                self.carry_out();
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
        self.carry_out();
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
            Input::Received(LinkEvent::PeerError(what)) => self.warn(&what),
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
            Err(why) => respond(AdminResponse::Rejected(why)),
        }
    }

    /// A change that somebody proposes, which an origin takes from its own machine alone.
    fn propose(&mut self, edits: Vec<Edit>, after: Option<u64>, is_local: bool, respond: Respond) {
        let reject = |why: &str| AdminResponse::Rejected(why.into());
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

    fn carry_out(&mut self) {
        let actions = self.node.poll_actions();
        let address = self.node.info().address;
        for (to, message) in actions.messages {
            let bytes = encode_payload(&message);
            self.links.send(to, None, &Wire::ConfigDistribution { address, bytes });
        }
        for event in actions.events {
            match event {
                Event::DeltaApplied { version, edits } => self.on_delta_applied(version, &edits),
                Event::SnapshotApplied { version } => self.on_snapshot_applied(version),
                Event::Warning(warning) => self.warn(&warning.to_string()),
            }
        }
    }

    fn on_delta_applied(&mut self, version: Version, edits: &[Edit]) {
        tracing::info!(
            event = "config_applied",
            number = version.number,
            edits = edits.len(),
            "change {version}"
        );
        self.publisher.publish_delta(now_ms(), version, edits);
        self.store();
    }

    fn on_snapshot_applied(&mut self, version: Version) {
        let tenants = self.node.table().len();
        tracing::info!(
            event = "config_applied",
            number = version.number,
            tenants,
            "all as of change {version}"
        );
        self.publisher.publish_snapshot(now_ms(), version, self.node.table());
        self.store();
    }

    fn store(&mut self) {
        if let Some(origin) = self.origin.as_mut() {
            origin.store(self.node.table());
        }
    }

    fn warn(&mut self, what: &str) {
        if self.warnings.admit(now_ms()).is_admitted {
            tracing::warn!(event = "config_distribution_warning", "{what}");
        }
    }
}

/// What is asked of this part of the product; else what is wrong with the question, in one line.
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
