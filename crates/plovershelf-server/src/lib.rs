//! One backend on real sockets: starts the parts, hands them their queues, and waits for the end.

mod agent;
pub mod config_distribution;
mod connection;
mod entropy;
pub mod group;
mod launch;
mod ledger;
mod limits;
mod links;
mod messages;
mod owner;
mod repeats;
mod roster;
mod sidecars;
mod streams;

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};

use launch::Launch;
use messages::Event;
use owner::Owner;

/// Listens where it was told; `None` where the notice to leave comes before the address is free.
fn listen(signals: &mut Signals, launch: &Launch) -> Result<Option<Async<TcpListener>>, String> {
    let listening =
        async { sidecars::listen(launch.listen, &launch.limits).await.map(Some).map_err(launch::named) };
    let told = async {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => launch.peers.read_again(&launch.fixed),
                _ => return Ok(None),
            }
        }
        future::pending().await
    };
    async_io::block_on(future::or(listening, told))
}

fn serve(mut signals: Signals, launch: Launch) -> Result<(), String> {
    let Some(listener) = listen(&mut signals, &launch)? else {
        tracing::info!("told to leave before it listened");
        return Ok(());
    };
    // Tasks start others on it, so it lives as long as the program.
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    let limits = Rc::new(launch.limits);
    let (events, inbox) = async_channel::bounded(limits.events);
    let (calls, orders) = async_channel::bounded(limits.orders);
    let (slots, leaving) = (Rc::new(()), Rc::new(Cell::new(false)));

    let (move_agent, agent_moved) = async_channel::bounded(1);
    let Launch { peers, fixed, pools, group, changes, .. } = launch;
    let pulse = group.is_some().then(std::sync::Arc::<group::OwnerHeartbeat>::default);
    let (told_by_copies, copies_told) = async_channel::unbounded();
    let with_copies = group.as_ref().is_some_and(|setup| setup.copies.is_some());
    let in_group = match (group, &pulse) {
        (Some(setup), Some(pulse)) => {
            let told = with_copies.then_some(told_by_copies);
            Some(group::start(setup, launch.name.clone(), pulse.clone(), told)?)
        }
        _ => None,
    };
    let copied = in_group.clone().filter(|_| with_copies);
    if with_copies {
        let events = events.clone();
        let hand_on = async move {
            while let Ok(told) = copies_told.recv().await {
                let _ = events.send(Event::Copies(told)).await;
            }
        };
        executor.spawn(hand_on).detach();
    }
    let mut carried = None;
    if let Some(file) = changes {
        let (told, in_force) = async_channel::bounded(1);
        let subscriber = config_distribution::Subscriber::Quotas(told);
        let started = config_distribution::start_listener(file.into(), launch.name.clone(), subscriber);
        carried = Some(started.map_err(|error| error.to_string())?);
        let events = events.clone();
        let hand_on = async move {
            while let Ok(told) = in_force.recv().await {
                let _ = events.send(Event::Quotas(told)).await;
            }
        };
        executor.spawn(hand_on).detach();
    }
    let hears_changes = carried.is_some();
    let offerings = launch.startup.classes.clone();
    let agent = agent::keep_link(peers.agent.clone(), agent_moved, events.clone(), limits.clone());
    executor.spawn(agent).detach();
    let ledger = ledger::keep_calls(executor, peers.ledger.clone(), orders, events.clone(), limits.clone());
    executor.spawn(ledger).detach();
    let every = Duration::from_millis(limits.beat_ms);
    let roster = roster::keep_listed(peers.roster.clone(), launch.name.clone(), leaving.clone(), every);
    executor.spawn(roster).detach();
    let (listening, stop) = async_channel::bounded(1);
    let accept = sidecars::accept(executor, listener, stop, slots.clone(), events.clone(), limits.clone());
    executor.spawn(accept).detach();
    let (give_notice, notice) = async_channel::bounded(1);
    let (stop_ms, limits_told) = (launch.stop_ms, limits.clone());
    let obey = async move {
        while let Some(signal) = signals.next().await {
            if matches!(signal, Ok(Signal::Hup)) {
                peers.read_again(&fixed);
                let _ = move_agent.try_send(());
                match launch::pools(&offerings) {
                    Ok(Some(plan)) => drop(events.send(Event::Pools(plan)).await),
                    Ok(None) => {}
                    Err(wrong) => tracing::warn!("the pools stay as they are: {wrong}"),
                }
            } else {
                if let Some(in_group) = &in_group {
                    let within_ms = (stop_ms - 2.0 * limits_told.exit_early_ms).max(0.0);
                    let _ = in_group.try_send(group::Incoming::Leave { within_ms });
                }
                if let Some(carried) = &carried {
                    let _ = carried.try_send(config_distribution::Input::Shutdown);
                }
                let _ = give_notice.try_send(owner::unix_ms());
            }
        }
    };
    executor.spawn(obey).detach();

    tracing::info!("{} listens on {}", launch.name, launch.listen);
    let start = launch.startup;
    let owner = Owner::new(start, stop_ms, limits.clone(), (inbox, notice), calls, leaving, Some(listening));
    let mut owner =
        owner.with_pools(pools)?.with_pulse(pulse).with_copies(copied).with_quota_updates(hears_changes);
    let run = async {
        let left = owner.run().await;
        // What was answered last is still on its way out of the connections' own tasks.
        drop(owner);
        let written = async {
            while Rc::strong_count(&slots) > 1 {
                Timer::after(Duration::from_millis(1)).await;
            }
        };
        future::or(written, async {
            Timer::after(left).await;
        })
        .await;
    };
    async_io::block_on(executor.run(run));
    tracing::info!("ended as told");
    Ok(())
}

/// Serves as the configuration named by `RELAY_CONFIG` says, until the notice to leave has been carried out.
///
/// Errors: a start that can't go on, in one line.
pub fn run() -> Result<(), String> {
    // From the first instant on, so that no signal ends the program by itself.
    let signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|e| format!("signals: {e}"))?;
    serve(signals, launch::from_environment()?)
}
