//! Starts the parts of a backend, connects their queues, handles signals and waits for the end.

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use plovershelf::api::BackendConfig;
use plovershelf_bulkhead::BulkheadPlan;
use thiserror::Error;

use crate::agent_link::AgentLinks;
use crate::broken::{self, Broken, NOTICE_DELAY};
use crate::dependency::DependencyCalls;
use crate::driver::{unix_ms, Driver, DriverQueues};
use crate::event::{CallCommand, Event};
use crate::limits::Limits;
use crate::listener::{listen, Acceptor};
use crate::startup::{self, Configuration, FixedParts, Peers, StartupError};
use crate::{cluster, config_distribution, registry};

/// Reason for which a backend can't start.
#[derive(Debug, Error)]
pub enum ServiceError {
    /// Signals can't be received.
    #[error("signals: {0}")]
    Signals(std::io::Error),
    /// The configuration is invalid.
    #[error("{0}")]
    Startup(String),
    /// A part of the program can't start.
    #[error("{0}")]
    Component(String),
}

impl From<StartupError> for ServiceError {
    fn from(error: StartupError) -> Self {
        ServiceError::Startup(error.to_string())
    }
}

/// Runs a backend with the configuration that `RELAY_CONFIG` names, until its drain is complete.
///
/// # Errors
/// Returns an error of one line if the backend can't start.
pub fn run() -> Result<(), ServiceError> {
    // Installed first, so that no signal terminates the process by its default action.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(ServiceError::Signals)?;
    serve(signals, startup::from_environment()?)
}

fn serve(mut signals: Signals, configuration: Configuration) -> Result<(), ServiceError> {
    let Some(listener) = listen_until_notice(&mut signals, &configuration)? else {
        tracing::info!(event = "drain_notice", "drain notice received before listening");
        return Ok(());
    };
    // Tasks spawn further tasks on the executor, so it needs a static lifetime.
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    let Configuration {
        name,
        listen,
        peers,
        stop_ms,
        limits,
        startup,
        bulkheads,
        cluster_setup,
        config_listener,
        fixed,
    } = configuration;
    let limits = Rc::new(limits);
    let (events, inbox) = async_channel::bounded(limits.event_queue);
    let (calls, call_commands) = async_channel::bounded(limits.command_queue);
    let draining = Rc::new(Cell::new(false));

    let cluster = start_cluster(executor, cluster_setup, &name, &events)?;
    let distribution = start_distribution(executor, config_listener, &name, &events)?;
    let tasks = Tasks { executor, events: &events, limits: &limits, peers: &peers };
    let agent_address_changed = tasks.start_agent_links();
    tasks.start_dependency_calls(call_commands);
    tasks.start_heartbeats(name.clone(), draining.clone());
    let slots = Rc::new(());
    let listening = tasks.start_accepting(listener, slots.clone());
    let (notice_sender, notice) = async_channel::bounded(1);
    let (new_bulkheads, newest_bulkheads) = async_channel::bounded(1);
    forward(executor, newest_bulkheads, &events, Event::Bulkheads);
    let signal_handler = SignalHandler {
        peers,
        fixed,
        agent_address_changed,
        bulkheads: new_bulkheads,
        classes: startup.classes.clone(),
        config: BackendConfig { tenant_quotas_per_s: Vec::new(), ..startup.config.clone() },
        cluster: cluster.commands.clone(),
        distribution: distribution.clone(),
        notice_sender,
        handoff_ms: (stop_ms - 2.0 * limits.exit_margin_ms).max(0.0),
    };
    executor.spawn(signal_handler.run(signals)).detach();

    for warning in &startup.warnings {
        tracing::warn!(event = "settings_incomplete", "{warning}");
    }
    tracing::info!(event = "listening", "{name} listens on {listen}");
    let queues = DriverQueues { inbox, notice, calls };
    let driver = Driver::new(startup, stop_ms, limits, queues, draining, Some(listening))
        .with_bulkheads(bulkheads)
        .map_err(|error| ServiceError::Component(error.to_string()))?
        .with_heartbeat(cluster.heartbeat)
        .with_replication(cluster.replication)
        .with_changing_quotas(distribution.is_some());
    async_io::block_on(executor.run(run_driver(driver, slots)));
    tracing::info!(event = "drained", "the drain is complete");
    Ok(())
}

/// Runs the driver, then waits until the last responses are written or the time left has passed.
async fn run_driver(mut driver: Driver, slots: Rc<()>) {
    let time_left = driver.run().await;
    // The connections' own tasks may still be writing the last responses.
    drop(driver);
    let timeout = async {
        Timer::after(time_left).await;
    };
    future::or(all_connections_closed(&slots), timeout).await;
}

async fn all_connections_closed(slots: &Rc<()>) {
    while Rc::strong_count(slots) > 1 {
        Timer::after(Duration::from_millis(1)).await;
    }
}

/// Dependencies that the peer tasks share.
struct Tasks<'a> {
    executor: &'static LocalExecutor<'static>,
    events: &'a Sender<Event>,
    limits: &'a Rc<Limits>,
    peers: &'a Peers,
}

impl Tasks<'_> {
    /// Starts the task that keeps a link with the agent. A message on the returned queue reports that the agent's
    /// address may have changed.
    fn start_agent_links(&self) -> Sender<()> {
        let (agent_address_changed, address_changed) = async_channel::bounded(1);
        let (events, limits) = (self.events.clone(), self.limits.clone());
        let links = AgentLinks { address: self.peers.agent.clone(), address_changed, events, limits };
        self.executor.spawn(links.run()).detach();
        agent_address_changed
    }

    fn start_dependency_calls(&self, commands: Receiver<CallCommand>) {
        let calls = DependencyCalls {
            executor: self.executor,
            address: self.peers.dependency.clone(),
            commands,
            events: self.events.clone(),
            limits: self.limits.clone(),
        };
        self.executor.spawn(calls.run()).detach();
    }

    fn start_heartbeats(&self, name: String, draining: Rc<Cell<bool>>) {
        let interval = Duration::from_millis(self.limits.heartbeat_ms);
        let heartbeats = registry::send_heartbeats(self.peers.registry.clone(), name, draining, interval);
        self.executor.spawn(heartbeats).detach();
    }

    /// Accepts connections until the returned sender is dropped.
    fn start_accepting(&self, listener: Async<TcpListener>, slots: Rc<()>) -> Sender<()> {
        let (listening, stop) = async_channel::bounded(1);
        let (events, limits) = (self.events.clone(), self.limits.clone());
        let acceptor = Acceptor { executor: self.executor, listener, stop, slots, events, limits };
        self.executor.spawn(acceptor.run()).detach();
        listening
    }
}

/// Listens on the configured address. Returns `None` if the drain notice comes before the address is free.
fn listen_until_notice(
    signals: &mut Signals,
    configuration: &Configuration,
) -> Result<Option<Async<TcpListener>>, ServiceError> {
    let listening = async {
        let listener = listen(configuration.listen, &configuration.limits).await;
        listener.map(Some).map_err(|error| ServiceError::Startup(startup::with_config_path(error)))
    };
    let notice = async {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => configuration.peers.reload(&configuration.fixed),
                _ => return Ok(None),
            }
        }
        future::pending().await
    };
    async_io::block_on(future::or(listening, notice))
}

/// Handles to the cluster's thread.
#[derive(Default)]
struct Cluster {
    commands: Option<Sender<cluster::Incoming>>,
    /// Reports to the cluster that the driver makes progress.
    heartbeat: Option<Arc<cluster::DriverHeartbeat>>,
    /// A clone of `commands`, if keyed requests are replicated.
    replication: Option<Sender<cluster::Incoming>>,
}

fn start_cluster(
    executor: &LocalExecutor<'static>,
    setup: Option<plovershelf_config::group::Group>,
    name: &str,
    events: &Sender<Event>,
) -> Result<Cluster, ServiceError> {
    let Some(setup) = setup else { return Ok(Cluster::default()) };
    let heartbeat = Arc::<cluster::DriverHeartbeat>::default();
    let is_replicated = setup.replication.is_some();
    let (sender, receiver) = async_channel::unbounded();
    let replication_events = is_replicated.then_some(sender);
    let commands = cluster::start(setup, name.to_string(), heartbeat.clone(), replication_events)
        .map_err(ServiceError::Component)?;
    if is_replicated {
        forward(executor, receiver, events, Event::Replication);
    }
    let replication = is_replicated.then(|| commands.clone());
    Ok(Cluster { commands: Some(commands), heartbeat: Some(heartbeat), replication })
}

/// Starts the thread that receives configuration changes, if it is configured.
fn start_distribution(
    executor: &LocalExecutor<'static>,
    listener: Option<plovershelf_config::config_distribution::Listener>,
    name: &str,
    events: &Sender<Event>,
) -> Result<Option<Sender<config_distribution::Input>>, ServiceError> {
    let Some(listener) = listener else { return Ok(None) };
    let (sender, receiver) = async_channel::bounded(1);
    let subscriber = config_distribution::Subscriber::Quotas(sender);
    let commands = config_distribution::start_listener(listener.into(), name.to_string(), subscriber)
        .map_err(|error| ServiceError::Component(error.to_string()))?;
    forward(executor, receiver, events, Event::Quotas);
    Ok(Some(commands))
}

/// Forwards messages from another thread to the driver's queue.
fn forward<T: 'static>(
    executor: &LocalExecutor<'static>,
    receiver: Receiver<T>,
    events: &Sender<Event>,
    event: fn(T) -> Event,
) {
    let events = events.clone();
    let forwarding = async move {
        while let Ok(message) = receiver.recv().await {
            let _ = events.send(event(message)).await;
        }
    };
    executor.spawn(forwarding).detach();
}

/// Handles signals while the backend serves: SIGHUP reloads the configuration, all others start the drain.
struct SignalHandler {
    peers: Peers,
    fixed: FixedParts,
    agent_address_changed: Sender<()>,
    /// Holds the newest bulkhead plan until it is forwarded to the driver's queue.
    bulkheads: Sender<BulkheadPlan>,
    classes: plovershelf_settings::Names,
    config: BackendConfig,
    cluster: Option<Sender<cluster::Incoming>>,
    distribution: Option<Sender<config_distribution::Input>>,
    notice_sender: Sender<f64>,
    /// Time for handing off replicas after the drain notice, in milliseconds.
    handoff_ms: f64,
}

impl SignalHandler {
    async fn run(self, mut signals: Signals) {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => self.reload(),
                _ => self.drain(),
            }
        }
    }

    fn reload(&self) {
        broken::record_reload();
        self.peers.reload(&self.fixed);
        let _ = self.agent_address_changed.try_send(());
        match startup::read_bulkheads(&self.classes, &self.config) {
            Ok(Some(plan)) => self.replace_bulkheads(plan),
            Ok(None) => {}
            Err(error) => {
                tracing::warn!(event = "bulkheads_rejected", "the pools stay unchanged: {error}")
            }
        }
    }

    /// Passes a plan on without waiting for the driver's queue, since blocking here would delay a drain notice until
    /// the queue has room. A newer plan replaces one that is still queued.
    fn replace_bulkheads(&self, plan: BulkheadPlan) {
        let _ = self.bulkheads.force_send(plan);
    }

    fn drain(&self) {
        if let Some(cluster) = &self.cluster {
            let _ = cluster.try_send(cluster::Incoming::DrainNotice { within_ms: self.handoff_ms });
        }
        if let Some(distribution) = &self.distribution {
            let _ = distribution.try_send(config_distribution::Input::Shutdown);
        }
        if broken::is(Broken::NoticeHandledLate) {
            let notice_sender = self.notice_sender.clone();
            std::thread::spawn(move || {
                std::thread::sleep(NOTICE_DELAY);
                let _ = notice_sender.try_send(unix_ms());
            });
            return;
        }
        let _ = self.notice_sender.try_send(unix_ms());
    }
}

#[cfg(test)]
mod tests;
