//! Outbound calls to the dependency that all backends share, over a small pool of connections.
//!
//! Most connections carry one call at a time, so that a broken connection rarely affects other calls. A connection
//! never takes two calls of the same attempt, because a duplicate of the first reply would be matched to the second
//! call.
//!
//! | state of the pool | chosen connection |
//! | --- | --- |
//! | an idle connection is usable | the most recently used one, so that the others become idle |
//! | none is idle, and the pool is below its limit | a new one |
//! | the pool is at its limit | the one with the fewest calls in flight |
//! | no connection is usable, and the spare ones are used up | none: the call ends as not executed |

mod connection;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use plovershelf::api::CallOutcome;
use plovershelf_codec::{dependency, AttemptId};

use crate::event::{CallCommand, CallNumber, CallResult, Event};
use crate::limits::Limits;
use connection::{run_connection, CallsInFlight, Latency};

/// Task that manages the pool of connections to the dependency.
pub(crate) struct DependencyCalls {
    pub(crate) executor: &'static LocalExecutor<'static>,
    /// Address of the dependency; it may change at runtime, and `None` means that there is no dependency.
    pub(crate) address: Rc<Cell<Option<SocketAddr>>>,
    pub(crate) commands: Receiver<CallCommand>,
    pub(crate) events: Sender<Event>,
    pub(crate) limits: Rc<Limits>,
}

impl DependencyCalls {
    /// Handles commands until their queue is closed.
    pub(crate) async fn run(self) {
        let latency = Rc::new(Latency::new(self.limits.clone()));
        let mut connections: Vec<PooledConnection> = Vec::new();
        while let Ok(command) = self.commands.recv().await {
            let Some(address) = self.address.get() else {
                if let CallCommand::Place { id, number, .. } = command {
                    self.report_not_executed(id, number).await;
                }
                continue;
            };
            // A retired connection ends with its last call in flight; the pool then drops it.
            connections
                .retain(|connection| !(connection.is_retired(address, &self.limits) && connection.is_idle()));
            match command {
                CallCommand::Place { id, number, timeout_ms, body } => {
                    let Some(connection) = self.choose(&mut connections, &id, address, &latency) else {
                        self.report_not_executed(id, number).await;
                        continue;
                    };
                    connection.place(id, number, dependency::call(&id, timeout_ms, &body));
                }
                CallCommand::Abandon { id } => {
                    if let Some(connection) =
                        connections.iter().find(|connection| connection.has_in_flight(&id))
                    {
                        connection.abandon(&id);
                    }
                }
            }
        }
    }

    async fn report_not_executed(&self, id: AttemptId, number: CallNumber) {
        let result = CallResult::without_reply(number, CallOutcome::NotExecuted);
        let _ = self.events.send(Event::CallEnded { id, result }).await;
    }

    /// Chooses the connection for a call; see the module's table.
    fn choose<'a>(
        &self,
        connections: &'a mut Vec<PooledConnection>,
        id: &AttemptId,
        address: SocketAddr,
        latency: &Rc<Latency>,
    ) -> Option<&'a PooledConnection> {
        let limits = &self.limits;
        let candidates = connections.iter().enumerate().filter_map(|(index, connection)| {
            let in_flight = connection.in_flight_if_usable(id, address, limits)?;
            Some(((in_flight, connection.idle_ms()), index))
        });
        let best = candidates.min();
        let is_full = connections.len() >= limits.max_dependency_connections;
        let max_with_spare = limits.max_dependency_connections + limits.spare_dependency_connections;
        let index = match best {
            Some(((in_flight, _), index)) if in_flight == 0 || is_full => index,
            None if connections.len() >= max_with_spare => return None,
            _ => {
                connections.push(self.open(address, latency.clone()));
                connections.len() - 1
            }
        };
        Some(&connections[index])
    }

    fn open(&self, address: SocketAddr, latency: Rc<Latency>) -> PooledConnection {
        let calls = Rc::new(RefCell::new(CallsInFlight::default()));
        let (lines, queue) = async_channel::unbounded();
        let connection = run_connection(address, calls.clone(), queue, self.events.clone(), latency);
        self.executor.spawn(connection).detach();
        PooledConnection { address, calls, lines }
    }
}

/// A connection in the pool.
struct PooledConnection {
    address: SocketAddr,
    calls: Rc<RefCell<CallsInFlight>>,
    lines: Sender<Vec<u8>>,
}

impl PooledConnection {
    /// Returns whether the connection accepts no further calls.
    fn is_retired(&self, address: SocketAddr, limits: &Limits) -> bool {
        let calls = self.calls.borrow();
        calls.is_retired()
            || self.address != address
            || calls.total_calls() >= limits.max_calls_per_connection
    }

    fn is_idle(&self) -> bool {
        self.calls.borrow().is_empty()
    }

    fn idle_ms(&self) -> u64 {
        self.calls.borrow().idle_ms()
    }

    /// Returns the number of calls in flight on this connection, or `None` if it can't take a call of this attempt.
    fn in_flight_if_usable(&self, id: &AttemptId, address: SocketAddr, limits: &Limits) -> Option<usize> {
        let calls = self.calls.borrow();
        let is_stale = calls.idle_ms() >= limits.dependency_idle_ms;
        let is_usable = !self.is_retired(address, limits) && !is_stale && !calls.was_used_by(id);
        is_usable.then_some(calls.in_flight())
    }

    fn has_in_flight(&self, id: &AttemptId) -> bool {
        self.calls.borrow().contains(id)
    }

    fn place(&self, id: AttemptId, number: CallNumber, line: Vec<u8>) {
        self.calls.borrow_mut().insert(id, number, Instant::now());
        let _ = self.lines.try_send(line);
    }

    fn abandon(&self, id: &AttemptId) {
        self.calls.borrow_mut().abandon(id);
        let _ = self.lines.try_send(dependency::abandon(id));
    }
}

#[cfg(test)]
mod tests;
