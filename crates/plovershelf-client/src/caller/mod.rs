//! The client's state machine. It decides for each call when, where and how often to send it, without any
//! I/O: a driver reports events and executes the [`Action`]s that the state machine returns.
//!
//! A driver calls the inputs [`Caller::update_endpoints`], [`Caller::start_call`],
//! [`Caller::handle_connected`] or [`Caller::handle_connect_failed`], [`Caller::handle_message`],
//! [`Caller::handle_connection_closed`] and [`Caller::handle_timeout`]. After each input, it calls
//! [`Caller::poll_actions`] until no action is left and then [`Caller::poll_timeout`].
//!
//! | module | state | decisions |
//! | --- | --- | --- |
//! | `dispatcher` | calls, planner and connections | order of the steps that process a call |
//! | `call` | open calls, their attempts and timers | allowed state transitions of a call |
//! | `retry_policy` | | whether and where a call may be retried |
//! | `retry_budget` | recent first attempts and retries | whether the budget allows a retry or hedge |
//! | `throttle` | accepted and ended calls of a class | whether to send a first attempt |
//! | `attempt_planner` | request classes and retry budget | whether an attempt can end in time and is within the budget |
//! | `request_class`, `latency` | latency of each class | time left for an attempt; when to hedge a call |
//! | `connection_manager` | endpoints and connections | which connections to open, keep and close |
//! | `endpoint_set` | endpoints | how a response changes the state of its endpoint |
//! | `lost_attempt` | | whether an attempt on a closed connection may have run |
//! | `connection`, `connection_pool` | one connection; all connections | connection for an attempt; when to send a health check |
//! | `balancer`, `subset` | mean latency | endpoint for an attempt; subset of endpoints to use |
//! | `endpoint`, `backpressure` | state of an endpoint; its signals | whether its signals exclude a call |
//! | `circuit_breaker` | recent failures of an endpoint | ejection and recovery of the endpoint |
//! | `reconnect` | lost endpoints | when to reconnect to an endpoint |

mod action;
mod attempt_planner;
mod backpressure;
mod balancer;
mod call;
mod circuit_breaker;
mod connection;
mod connection_manager;
mod connection_pool;
mod context;
mod dispatcher;
mod endpoint;
mod endpoint_set;
mod latency;
mod lost_attempt;
mod reconnect;
mod request_class;
mod retry_budget;
mod retry_policy;
mod subset;
mod throttle;
mod timers;

use plovershelf_codec::front::client::Response as Message;
use plovershelf_codec::front::ServerSignals;

pub use self::action::{
    Action, AttemptKind, CallId, CallOutcome, CallSpec, CloseReason, ConnectionId, Counters, NotSentReason,
};
use self::connection_manager::Health;
use self::context::Context;
use self::dispatcher::Dispatcher;
use self::endpoint_set::ResponseKind;
use crate::config::{ClientConfig, ConfigError};
use crate::endpoint_list::EndpointList;

/// The client reconnects to lost endpoints without waiting for a call if the last call started within this
/// time.
const RECONNECT_ACTIVITY_MS: f64 = 10_000.0;

/// The client's state machine; it does no I/O.
#[derive(Debug)]
pub struct Caller {
    context: Context,
    dispatcher: Dispatcher,
    last_call_ms: f64,
    closed: bool,
}

impl Caller {
    /// Creates a state machine without endpoints.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is outside its range.
    pub fn new(config: ClientConfig) -> Result<Self, ConfigError> {
        config.validate()?;
        let mut context = Context::new(config);
        let dispatcher = Dispatcher::new(&mut context);
        Ok(Caller { context, dispatcher, last_call_ms: f64::NEG_INFINITY, closed: false })
    }

    // ---- inputs -------------------------------------------------------------------------------------------

    /// Replaces the list of endpoints. An empty list is ignored.
    pub fn update_endpoints(&mut self, now_ms: f64, list: &EndpointList) {
        self.context.advance_to(now_ms);
        if !list.addresses.is_empty() {
            self.dispatcher.update_endpoints(&mut self.context, &list.addresses);
            self.place_ready();
        }
    }

    /// Starts a call. The next [`Caller::poll_actions`] may already return its outcome.
    pub fn start_call(&mut self, now_ms: f64, spec: &CallSpec) -> CallId {
        self.context.advance_to(now_ms);
        self.last_call_ms = self.context.now_ms;
        let rejection = self.rejection_reason(spec);
        self.dispatcher.start(&mut self.context, spec, rejection)
    }

    /// Cancels a call, which ends without an outcome.
    pub fn cancel_call(&mut self, now_ms: f64, id: CallId) {
        self.context.advance_to(now_ms);
        if self.dispatcher.cancel(&mut self.context, id) {
            self.place_ready();
        }
    }

    /// Handles the establishment of a connection.
    pub fn handle_connected(&mut self, now_ms: f64, id: ConnectionId) {
        self.context.advance_to(now_ms);
        if self.dispatcher.connections_mut().handle_connected(&mut self.context, id) {
            self.place_ready();
        }
    }

    /// Handles a failed attempt to establish a connection. The driver wrote nothing to it.
    pub fn handle_connect_failed(&mut self, now_ms: f64, id: ConnectionId) {
        self.context.advance_to(now_ms);
        if self.dispatcher.connections_mut().handle_connect_failed(&mut self.context, id) {
            self.place_ready();
        }
    }

    /// Handles a complete message from an endpoint.
    pub fn handle_message(&mut self, now_ms: f64, id: ConnectionId, message: &Message<'_>) {
        self.context.advance_to(now_ms);
        if !self.dispatcher.connections_mut().record_received(&self.context, id) {
            return;
        }
        let context = &mut self.context;
        let mut handle_response = |sequence: i32, signals: &ServerSignals, kind: ResponseKind| {
            self.dispatcher.handle_response(context, id, sequence, signals, kind);
        };
        match message {
            Message::Succeeded { seqid, signals, .. } => {
                handle_response(*seqid, signals, ResponseKind::Succeeded);
            }
            Message::Rejected { seqid, signals } => handle_response(*seqid, signals, ResponseKind::Rejected),
            Message::Failed { seqid, signals } => handle_response(*seqid, signals, ResponseKind::Failed),
            Message::Exception { seqid, permanent, .. } => {
                let kind = if *permanent { ResponseKind::Invalid } else { ResponseKind::Failed };
                handle_response(*seqid, &ServerSignals::default(), kind);
            }
            Message::Health { seqid, ready, signals } => {
                let health = if *ready { Health::Ready } else { Health::Unready };
                let connections = self.dispatcher.connections_mut();
                let lost = connections.handle_health(context, id, *seqid, health, signals);
                self.dispatcher.handle_lost(context, lost);
            }
            Message::Closing => self.dispatcher.connections_mut().handle_closing(context, id),
            Message::Other => {}
        }
        self.place_ready();
    }

    /// Handles the end of a connection that no [`Action::Close`] closed.
    pub fn handle_connection_closed(&mut self, now_ms: f64, id: ConnectionId, reason: CloseReason) {
        self.context.advance_to(now_ms);
        let connections = self.dispatcher.connections_mut();
        if !connections.contains(id) {
            return;
        }
        let lost = match reason {
            CloseReason::Ended => connections.handle_closed(&mut self.context, id),
            CloseReason::Malformed => connections.handle_protocol_fault(&mut self.context, id),
        };
        self.dispatcher.handle_lost(&mut self.context, lost);
        self.place_ready();
    }

    /// Handles all timers that have expired. The driver calls it at the time that [`Caller::poll_timeout`]
    /// returned.
    pub fn handle_timeout(&mut self, now_ms: f64) {
        self.context.advance_to(now_ms);
        while self.handle_next_timer() {}
        self.sweep();
        self.place_ready();
    }

    /// Ends all calls and closes all connections. Later calls end with [`NotSentReason::Closed`].
    pub fn close(&mut self, now_ms: f64) {
        self.context.advance_to(now_ms);
        self.closed = true;
        self.dispatcher.close(&mut self.context);
    }

    // ---- outputs ------------------------------------------------------------------------------------------

    /// Returns the actions since the last poll, in the order in which the driver must execute them.
    pub fn poll_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.context.actions)
    }

    /// Returns when [`Caller::handle_timeout`] is due, in milliseconds, or `None` if no timer is set.
    pub fn poll_timeout(&self) -> Option<f64> {
        let connections = self.dispatcher.connections();
        let call_ms = self.dispatcher.calls().next_timeout_ms();
        let timers = [call_ms, connections.next_reconnect_ms(), connections.next_sweep_ms()];
        timers.into_iter().flatten().reduce(f64::min)
    }

    /// Returns the totals since the start.
    pub fn counters(&self) -> Counters {
        self.context.counters
    }

    /// Returns the number of calls that have not ended.
    pub fn open_calls(&self) -> usize {
        self.dispatcher.calls().len()
    }

    /// Returns the number of connections that are open or being established.
    pub fn connection_count(&self) -> usize {
        self.dispatcher.connections().connection_count()
    }

    // ---- private steps ------------------------------------------------------------------------------------

    /// Returns why a new call must be rejected locally: the client is closed, a limit is reached, or the
    /// deadline is not finite.
    fn rejection_reason(&self, spec: &CallSpec) -> Option<NotSentReason> {
        let config = &self.context.config;
        let calls = self.dispatcher.calls();
        let is_full = calls.len() >= config.max_open_calls
            || calls.bytes() + spec.bytes > config.max_open_bytes
            || !spec.deadline_ms.is_finite();
        if self.closed {
            Some(NotSentReason::Closed)
        } else {
            is_full.then_some(NotSentReason::LimitReached)
        }
    }

    fn place_ready(&mut self) {
        self.dispatcher.place_ready(&mut self.context);
    }

    /// Handles the earliest expired timer; timers of calls precede reconnects at the same time. Returns false
    /// if no timer has expired.
    fn handle_next_timer(&mut self) -> bool {
        let context = &mut self.context;
        let reconnect_ms = self.dispatcher.connections().next_reconnect_ms().unwrap_or(f64::INFINITY);
        let call_ms = self.dispatcher.calls().next_timeout_ms();
        if call_ms.is_some_and(|at_ms| at_ms <= reconnect_ms) {
            let Some(timer) = self.dispatcher.pop_expired_call_timer(context) else { return false };
            self.dispatcher.handle_call_timer(context, timer);
            return true;
        }
        let connections = self.dispatcher.connections_mut();
        let Some(endpoint) = connections.pop_due_reconnect(context) else { return false };
        if context.now_ms - self.last_call_ms < RECONNECT_ACTIVITY_MS {
            connections.reconnect(context, endpoint);
        }
        true
    }

    /// Checks all connections if the sweep interval has elapsed.
    fn sweep(&mut self) {
        let context = &mut self.context;
        let Some(connections) = self.dispatcher.connections_mut().start_sweep(context) else { return };
        for connection in connections {
            let lost = self.dispatcher.connections_mut().check(context, connection);
            self.dispatcher.handle_lost(context, lost);
        }
        self.dispatcher.drop_unused_endpoints();
    }
}

#[cfg(test)]
mod tests;
