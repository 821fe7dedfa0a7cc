//! Decides for every call when, where and how often it is sent. It owns no socket, clock or thread: a driver hands in what
//! happens and carries out the [`Action`]s that come out.
//!
//! In a driver's order of calling: [`Caller::update_endpoints`], [`Caller::start_call`], [`Caller::handle_connected`],
//! [`Caller::handle_message`], [`Caller::handle_connection_closed`], [`Caller::handle_timeout`]; after each,
//! [`Caller::poll_actions`] until there are none, and [`Caller::poll_timeout`].
//!
//! | module | state it owns | decides |
//! | --- | --- | --- |
//! | `dispatcher` | calls, planner and connections | in which order these are asked about a call |
//! | `call` | open calls, their attempts and timers | which state changes of a call are allowed |
//! | `retry_policy` | | whether and where a call may be sent again |
//! | `retry_budget` | recent first attempts and retries | whether a retry or hedge is paid for |
//! | `throttle` | accepted and ended calls of a class | whether a first attempt is sent |
//! | `attempt_planner` | the classes and the retry budget | whether an attempt is worth sending |
//! | `request_class`, `latency` | latency of each class | whether an attempt can end in time; when a call is hedged |
//! | `connection_manager` | endpoints and connections | which connections are made, kept and closed |
//! | `endpoint_set` | endpoints | what an answer means for its endpoint |
//! | `lost_attempt` | | whether an attempt on a connection that ended may have run |
//! | `connection`, `connection_pool` | one connection; all of them | which connection takes an attempt; when it is probed |
//! | `balancer`, `subset` | usual latency | which endpoint an attempt goes to; which endpoints are talked to at all |
//! | `endpoint`, `backpressure` | what is known of an endpoint; its signals | whether its signals keep a call away |
//! | `circuit_breaker` | recent failures of an endpoint | whether it is ejected, and how it comes back |
//! | `reconnect` | lost endpoints | when an endpoint is connected to again |

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
use self::endpoint_set::AnswerKind;
use crate::config::{ClientConfig, ConfigError};
use crate::endpoint_list::EndpointList;

/// Lost endpoints are connected to again by themselves if there was a call within this time.
const ACTIVE_MS: f64 = 10_000.0;

/// The client's state machine.
#[derive(Debug)]
pub struct Caller {
    context: Context,
    dispatcher: Dispatcher,
    last_call_ms: f64,
    closed: bool,
}

impl Caller {
    /// A caller without endpoints.
    ///
    /// # Errors
    ///
    /// A setting outside its range.
    pub fn new(config: ClientConfig) -> Result<Self, ConfigError> {
        config.validate()?;
        let mut context = Context::new(config);
        let dispatcher = Dispatcher::new(&mut context);
        Ok(Caller { context, dispatcher, last_call_ms: f64::NEG_INFINITY, closed: false })
    }

    // ---- inputs -------------------------------------------------------------------------------------------

    /// Takes a new list of endpoints. An empty one keeps the last.
    pub fn update_endpoints(&mut self, now_ms: f64, list: &EndpointList) {
        self.context.advance_to(now_ms);
        if !list.addresses.is_empty() {
            self.dispatcher.update_endpoints(&mut self.context, &list.addresses);
            self.place_ready();
        }
    }

    /// Starts a call. Its outcome may be among the next actions already.
    pub fn start_call(&mut self, now_ms: f64, spec: &CallSpec) -> CallId {
        self.context.advance_to(now_ms);
        self.last_call_ms = self.context.now_ms;
        let refused = self.refuses(spec);
        self.dispatcher.start(&mut self.context, spec, refused)
    }

    /// Whoever made a call no longer waits for it: it ends without an outcome.
    pub fn cancel_call(&mut self, now_ms: f64, id: CallId) {
        self.context.advance_to(now_ms);
        if self.dispatcher.cancel(&mut self.context, id) {
            self.place_ready();
        }
    }

    /// A connection is established.
    pub fn handle_connected(&mut self, now_ms: f64, id: ConnectionId) {
        self.context.advance_to(now_ms);
        if self.dispatcher.connections_mut().handle_connected(&mut self.context, id) {
            self.place_ready();
        }
    }

    /// A connection could not be established; nothing was written to it.
    pub fn handle_connect_failed(&mut self, now_ms: f64, id: ConnectionId) {
        self.context.advance_to(now_ms);
        if self.dispatcher.connections_mut().handle_connect_failed(&mut self.context, id) {
            self.place_ready();
        }
    }

    /// A whole message was received.
    pub fn handle_message(&mut self, now_ms: f64, id: ConnectionId, message: &Message<'_>) {
        self.context.advance_to(now_ms);
        if !self.dispatcher.connections_mut().received(&self.context, id) {
            return;
        }
        let context = &mut self.context;
        let mut handle_answer = |sequence: i32, signals: &ServerSignals, kind: AnswerKind| {
            self.dispatcher.handle_answer(context, id, sequence, signals, kind);
        };
        match message {
            Message::Succeeded { seqid, signals, .. } => {
                handle_answer(*seqid, signals, AnswerKind::Succeeded);
            }
            Message::Rejected { seqid, signals } => handle_answer(*seqid, signals, AnswerKind::Rejected),
            Message::Failed { seqid, signals } => handle_answer(*seqid, signals, AnswerKind::Failed),
            Message::Exception { seqid, permanent, .. } => {
                let kind = if *permanent { AnswerKind::Invalid } else { AnswerKind::Failed };
                handle_answer(*seqid, &ServerSignals::default(), kind);
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

    /// A connection has ended without having been closed by an action.
    pub fn handle_connection_closed(&mut self, now_ms: f64, id: ConnectionId, reason: CloseReason) {
        self.context.advance_to(now_ms);
        let connections = self.dispatcher.connections_mut();
        if !connections.contains(id) {
            return;
        }
        let lost = match reason {
            CloseReason::Ended => connections.handle_closed(&mut self.context, id),
            CloseReason::Malformed => connections.protocol_fault(&mut self.context, id),
        };
        self.dispatcher.handle_lost(&mut self.context, lost);
        self.place_ready();
    }

    /// The time of [`Caller::poll_timeout`] has come.
    pub fn handle_timeout(&mut self, now_ms: f64) {
        self.context.advance_to(now_ms);
        while self.handle_next_timer() {}
        self.sweep();
        self.place_ready();
    }

    /// Ends all calls and closes all connections; later calls are refused.
    pub fn close(&mut self, now_ms: f64) {
        self.context.advance_to(now_ms);
        self.closed = true;
        self.dispatcher.close(&mut self.context);
    }

    // ---- outputs ------------------------------------------------------------------------------------------

    /// The actions since the last poll, in their order.
    pub fn poll_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.context.actions)
    }

    /// When [`Caller::handle_timeout`] is due, in milliseconds; `None` while nothing is.
    pub fn poll_timeout(&self) -> Option<f64> {
        let connections = self.dispatcher.connections();
        let call_ms = self.dispatcher.calls().next_timeout_ms();
        let timers = [call_ms, connections.next_reconnect_ms(), connections.next_sweep_ms()];
        timers.into_iter().flatten().reduce(f64::min)
    }

    /// Totals since the start.
    pub fn counters(&self) -> Counters {
        self.context.counters
    }

    /// Calls that have not ended.
    pub fn open_calls(&self) -> usize {
        self.dispatcher.calls().len()
    }

    /// Connections that are open or being made.
    pub fn connection_count(&self) -> usize {
        self.dispatcher.connections().connection_count()
    }

    // ---- private steps ------------------------------------------------------------------------------------

    /// Why a call is refused before it is looked at, if it is.
    fn refuses(&self, spec: &CallSpec) -> Option<NotSentReason> {
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

    /// Handles the first timer that has expired, those of calls first; false where there is none.
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
        if context.now_ms - self.last_call_ms < ACTIVE_MS {
            connections.reconnect(context, endpoint);
        }
        true
    }

    /// Checks all connections, if that is due.
    fn sweep(&mut self) {
        let context = &mut self.context;
        let Some(connections) = self.dispatcher.connections_mut().start_sweep(context) else { return };
        for connection in connections {
            let lost = self.dispatcher.connections_mut().check(context, connection);
            self.dispatcher.handle_lost(context, lost);
        }
        self.dispatcher.forget_removed_endpoints();
    }
}

#[cfg(test)]
mod tests;
