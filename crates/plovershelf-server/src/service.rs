//! Starts the parts of a backend, hands them their queues, handles signals, and waits for the end.

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
use thiserror::Error;

use crate::agent_link::AgentLinks;
use crate::dependency::DependencyCalls;
use crate::driver::{unix_ms, Driver, DriverQueues};
use crate::event::Event;
use crate::listener::{listen, Acceptor};
use crate::startup::{self, FixedParts, Launch, Peers, StartupError};
use crate::{config_distribution, group, registry};

/// Why a backend can't start.
#[derive(Debug, Error)]
pub enum ServiceError {
    /// Signals can't be received.
    #[error("signals: {0}")]
    Signals(std::io::Error),
    /// The configuration can't be used.
    #[error("{0}")]
    Startup(String),
    /// A part of the program can't start.
    #[error("{0}")]
    Part(String),
}

impl From<StartupError> for ServiceError {
    fn from(error: StartupError) -> Self {
        ServiceError::Startup(error.to_string())
    }
}

/// Serves as the configuration named by `RELAY_CONFIG` says, until the drain notice has been carried out.
///
/// # Errors
/// A start that can't go on, in one line.
pub fn run() -> Result<(), ServiceError> {
    // From the first instant on, so that no signal ends the program by itself.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(ServiceError::Signals)?;
    serve(signals, startup::from_environment()?)
}

fn serve(mut signals: Signals, launch: Launch) -> Result<(), ServiceError> {
    let Some(listener) = listen_until_notice(&mut signals, &launch)? else {
        tracing::info!(event = "drain_notice", "told to leave before it listened");
        return Ok(());
    };
    // Tasks start others on it, so it lives as long as the program.
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    let Launch { name, listen, peers, stop_ms, limits, startup, bulkheads, group, changes, fixed } = launch;
    let limits = Rc::new(limits);
    let (events, inbox) = async_channel::bounded(limits.event_queue);
    let (calls, call_commands) = async_channel::bounded(limits.command_queue);
    let draining = Rc::new(Cell::new(false));

    let cluster = start_cluster(executor, group, &name, &events)?;
    let distribution = start_distribution(executor, changes, &name, &events)?;
    let (agent_moved, moved) = async_channel::bounded(1);
    let agent =
        AgentLinks { address: peers.agent.clone(), moved, events: events.clone(), limits: limits.clone() };
    executor.spawn(agent.run()).detach();
    let address = peers.dependency.clone();
    let dependency = DependencyCalls {
        executor,
        address,
        commands: call_commands,
        events: events.clone(),
        limits: limits.clone(),
    };
    executor.spawn(dependency.run()).detach();
    let heartbeat = Duration::from_millis(limits.heartbeat_ms);
    let registry = peers.registry.clone();
    let heartbeats = registry::send_heartbeats(registry, name.clone(), draining.clone(), heartbeat);
    executor.spawn(heartbeats).detach();
    let (listening, stop) = async_channel::bounded(1);
    let slots = Rc::new(());
    let (slots_of_all, limits_of_all) = (slots.clone(), limits.clone());
    let acceptor = Acceptor {
        executor,
        listener,
        stop,
        slots: slots_of_all,
        events: events.clone(),
        limits: limits_of_all,
    };
    executor.spawn(acceptor.run()).detach();
    let (give_notice, notice) = async_channel::bounded(1);
    let signal_handler = SignalHandler {
        peers,
        fixed,
        agent_moved,
        events,
        classes: startup.classes.clone(),
        cluster: cluster.commands.clone(),
        distribution: distribution.clone(),
        give_notice,
        handoff_ms: (stop_ms - 2.0 * limits.exit_margin_ms).max(0.0),
    };
    executor.spawn(signal_handler.run(signals)).detach();

    tracing::info!(event = "listening", "{name} listens on {listen}");
    let queues = DriverQueues { inbox, notice, calls };
    let mut driver = Driver::new(startup, stop_ms, limits, queues, draining, Some(listening))
        .with_bulkheads(bulkheads)
        .map_err(|error| ServiceError::Part(error.to_string()))?
        .with_pulse(cluster.pulse)
        .with_replication(cluster.replication)
        .with_changes(distribution.is_some());
    let run = async {
        let left = driver.run().await;
        // The last responses are still on their way out of the connections' own tasks.
        drop(driver);
        future::or(all_connections_closed(&slots), async {
            Timer::after(left).await;
        })
        .await;
    };
    async_io::block_on(executor.run(run));
    tracing::info!(event = "drained", "ended as told");
    Ok(())
}

/// Listens where the configuration says; `None` where the drain notice comes before the address is free.
fn listen_until_notice(
    signals: &mut Signals,
    launch: &Launch,
) -> Result<Option<Async<TcpListener>>, ServiceError> {
    let listening = async {
        let listener = listen(launch.listen, &launch.limits).await;
        listener.map(Some).map_err(|error| ServiceError::Startup(startup::name_file(error)))
    };
    let notice = async {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => launch.peers.reload(&launch.fixed),
                _ => return Ok(None),
            }
        }
        future::pending().await
    };
    async_io::block_on(future::or(listening, notice))
}

async fn all_connections_closed(slots: &Rc<()>) {
    while Rc::strong_count(slots) > 1 {
        Timer::after(Duration::from_millis(1)).await;
    }
}

/// The cluster's thread, as far as the rest of the program uses it.
#[derive(Default)]
struct Cluster {
    commands: Option<Sender<group::Incoming>>,
    /// Shows the cluster that the driver makes progress.
    pulse: Option<Arc<group::OwnerHeartbeat>>,
    /// The same commands, where keyed requests are replicated.
    replication: Option<Sender<group::Incoming>>,
}

fn start_cluster(
    executor: &LocalExecutor<'static>,
    setup: Option<plovershelf_config::group::Group>,
    name: &str,
    events: &Sender<Event>,
) -> Result<Cluster, ServiceError> {
    let Some(setup) = setup else { return Ok(Cluster::default()) };
    let pulse = Arc::<group::OwnerHeartbeat>::default();
    let is_replicated = setup.copies.is_some();
    let (sender, receiver) = async_channel::unbounded();
    let replication_events = is_replicated.then_some(sender);
    let commands = group::start(setup, name.to_string(), pulse.clone(), replication_events)
        .map_err(|error| ServiceError::Part(error.to_string()))?;
    if is_replicated {
        forward(executor, receiver, events, Event::Replication);
    }
    let replication = is_replicated.then(|| commands.clone());
    Ok(Cluster { commands: Some(commands), pulse: Some(pulse), replication })
}

/// The thread that receives configuration changes, where an operator has set it up.
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
        .map_err(|error| ServiceError::Part(error.to_string()))?;
    forward(executor, receiver, events, Event::Quotas);
    Ok(Some(commands))
}

/// Forwards what another thread says to the driver's queue.
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

/// Handles signals while the program serves: SIGHUP reloads, all others are the drain notice.
struct SignalHandler {
    peers: Peers,
    fixed: FixedParts,
    agent_moved: Sender<()>,
    events: Sender<Event>,
    classes: plovershelf_settings::Names,
    cluster: Option<Sender<group::Incoming>>,
    distribution: Option<Sender<config_distribution::Input>>,
    give_notice: Sender<f64>,
    /// Time in which replicas are handed off after the notice.
    handoff_ms: f64,
}

impl SignalHandler {
    async fn run(self, mut signals: Signals) {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => self.reload().await,
                _ => self.drain(),
            }
        }
    }

    async fn reload(&self) {
        self.peers.reload(&self.fixed);
        let _ = self.agent_moved.try_send(());
        match startup::read_bulkheads(&self.classes) {
            Ok(Some(plan)) => drop(self.events.send(Event::Bulkheads(plan)).await),
            Ok(None) => {}
            Err(error) => {
                tracing::warn!(event = "bulkheads_rejected", "the pools stay as they are: {error}")
            }
        }
    }

    fn drain(&self) {
        if let Some(cluster) = &self.cluster {
            let _ = cluster.try_send(group::Incoming::Leave { within_ms: self.handoff_ms });
        }
        if let Some(distribution) = &self.distribution {
            let _ = distribution.try_send(config_distribution::Input::Shutdown);
        }
        let _ = self.give_notice.try_send(unix_ms());
    }
}
