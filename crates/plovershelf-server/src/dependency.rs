//! Outbound calls to the dependency that all backends share: a small pool of connections, and which of them takes a call.
//!
//! Each connection mostly carries one call at a time, so that one that breaks costs no other call. A connection never
//! carries two calls of one attempt, as a second copy of the first reply would be taken for that to the second call.
//!
//! | call | connection |
//! | --- | --- |
//! | there is an idle connection that may take it | the one used last, so that the others fall idle |
//! | none is idle, and there are fewer than allowed | a new one |
//! | there are as many as allowed | the one with fewest calls in flight |
//! | none may take it, and the spare ones are used up | none: the call ends as not executed |

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

/// What outbound calls need of the program.
pub(crate) struct DependencyCalls {
    pub(crate) executor: &'static LocalExecutor<'static>,
    /// Where the dependency is; it may change, and there may be none.
    pub(crate) address: Rc<Cell<Option<SocketAddr>>>,
    pub(crate) commands: Receiver<CallCommand>,
    pub(crate) events: Sender<Event>,
    pub(crate) limits: Rc<Limits>,
}

impl DependencyCalls {
    /// Places and abandons calls until there are no more commands.
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
            // One that takes no more calls ends with the last that it has in flight.
            connections.retain(|one| !(one.is_used_up(address, &self.limits) && one.is_idle()));
            match command {
                CallCommand::Place { id, number, timeout_ms, body } => {
                    let Some(connection) = self.choose(&mut connections, &id, address, &latency) else {
                        self.report_not_executed(id, number).await;
                        continue;
                    };
                    connection.place(id, number, dependency::call(&id, timeout_ms, &body));
                }
                CallCommand::Abandon { id } => {
                    if let Some(connection) = connections.iter().find(|one| one.carries(&id)) {
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

    /// The connection for one more call; see the module's table.
    fn choose<'a>(
        &self,
        connections: &'a mut Vec<PooledConnection>,
        id: &AttemptId,
        address: SocketAddr,
        latency: &Rc<Latency>,
    ) -> Option<&'a PooledConnection> {
        let limits = &self.limits;
        let candidates = connections.iter().enumerate().filter_map(|(place, one)| {
            let in_flight = one.in_flight_beside(id, address, limits)?;
            Some(((in_flight, one.idle_ms()), place))
        });
        let best = candidates.min();
        let is_full = connections.len() >= limits.max_dependency_connections;
        let max_with_spare = limits.max_dependency_connections + limits.spare_dependency_connections;
        let place = match best {
            Some(((in_flight, _), place)) if in_flight == 0 || is_full => place,
            None if connections.len() >= max_with_spare => return None,
            _ => {
                connections.push(self.open(address, latency.clone()));
                connections.len() - 1
            }
        };
        Some(&connections[place])
    }

    fn open(&self, address: SocketAddr, latency: Rc<Latency>) -> PooledConnection {
        let calls = Rc::new(RefCell::new(CallsInFlight::default()));
        let (lines, queue) = async_channel::unbounded();
        let connection = run_connection(address, calls.clone(), queue, self.events.clone(), latency);
        self.executor.spawn(connection).detach();
        PooledConnection { address, calls, lines }
    }
}

/// A connection as the pool sees it.
struct PooledConnection {
    address: SocketAddr,
    calls: Rc<RefCell<CallsInFlight>>,
    lines: Sender<Vec<u8>>,
}

impl PooledConnection {
    /// It takes no further calls.
    fn is_used_up(&self, address: SocketAddr, limits: &Limits) -> bool {
        let calls = self.calls.borrow();
        calls.is_retired() || self.address != address || calls.carried() >= limits.max_calls_per_connection
    }

    fn is_idle(&self) -> bool {
        self.calls.borrow().is_empty()
    }

    fn idle_ms(&self) -> u64 {
        self.calls.borrow().idle_ms()
    }

    /// How many calls one more of this attempt would be beside, if it may take one at all.
    fn in_flight_beside(&self, id: &AttemptId, address: SocketAddr, limits: &Limits) -> Option<usize> {
        let calls = self.calls.borrow();
        let is_stale = calls.idle_ms() >= limits.dependency_idle_ms;
        let is_usable = !self.is_used_up(address, limits) && !is_stale && !calls.has_carried(id);
        is_usable.then_some(calls.in_flight())
    }

    fn carries(&self, id: &AttemptId) -> bool {
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
