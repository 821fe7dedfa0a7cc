//! The task that drives a [`Caller`]: passes it the commands of handles and the events of connections, and
//! executes its actions.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Weak;
use std::time::{Duration, Instant, SystemTime};

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::future;
use plovershelf_codec::front::client as codec;
use plovershelf_codec::AttemptId;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::connection::{self, Event, Outgoing};
use super::endpoint_file::EndpointFile;
use super::entropy;
use crate::caller::{Action, AttemptKind, CallId, CallOutcome, CallSpec, Caller, CloseReason, ConnectionId};
use crate::client::{Command, Shared};
use crate::endpoint_list::EndpointList;
use crate::request::{Request, Response};

/// A peer counts as no longer reading once more bytes than this wait to be written to its connection.
const MAX_UNWRITTEN_BYTES: usize = 256 << 10;
/// Maximum number of further events or commands that are handled in one iteration, so that neither starves
/// the other.
const MAX_BATCH: usize = 64;
/// Capacity of the queue of connection events.
const MAX_QUEUED_EVENTS: usize = 256;
/// Memory that is accounted for a call in addition to its body.
const CALL_OVERHEAD_BYTES: usize = 512;

/// Queue of commands that discards its remaining commands when it is dropped. Otherwise the handles that sent
/// them would wait forever for a response.
struct CommandQueue(Receiver<Command>);

impl Drop for CommandQueue {
    fn drop(&mut self) {
        self.0.close();
        while self.0.try_recv().is_ok() {}
    }
}

/// The driver's handle of a connection.
struct ConnectionHandle {
    frames: Sender<Vec<u8>>,
    /// Number of bytes that wait to be written.
    unwritten: Rc<Cell<usize>>,
    /// Dropping the task closes the connection.
    _task: Task<()>,
}

struct PendingRequest {
    call_number: u64,
    request: Box<Request>,
    response: Sender<Response>,
}

/// Reason why the driver continues after waiting. `None` means that the channel is closed.
enum Wakeup {
    Command(Option<Command>),
    Event(Option<Event>),
    Timeout,
}

/// Whether the driver continues to run.
#[derive(PartialEq, Eq)]
enum Flow {
    Continue,
    Stop,
}

/// A timer that is reset only if its expiry changes.
struct DeadlineTimer {
    timer: Timer,
    at_ms: Option<f64>,
}

impl DeadlineTimer {
    fn set(&mut self, start: Instant, at_ms: Option<f64>) {
        if self.at_ms.map(f64::to_bits) == at_ms.map(f64::to_bits) {
            return;
        }
        self.at_ms = at_ms;
        match at_ms {
            Some(at_ms) => self.timer.set_at(start + Duration::from_secs_f64(at_ms.max(0.0) / 1000.0)),
            None => self.timer = Timer::never(),
        }
    }

    async fn expired(&mut self) -> Wakeup {
        (&mut self.timer).await;
        self.at_ms = None;
        Wakeup::Timeout
    }
}

pub(crate) struct Driver {
    caller: Caller,
    client_number: u32,
    executor: Rc<LocalExecutor<'static>>,
    start: Instant,
    attempt_ids: Pcg64,
    connections: HashMap<ConnectionId, ConnectionHandle>,
    pending: HashMap<CallId, PendingRequest>,
    calls_by_number: HashMap<u64, CallId>,
    event_sender: Sender<Event>,
    event_receiver: Receiver<Event>,
    endpoint_file: Option<EndpointFile>,
    shared: Weak<Shared>,
}

impl Driver {
    pub(crate) fn new(
        caller: Caller,
        client_number: u32,
        endpoint_file: Option<EndpointFile>,
        shared: Weak<Shared>,
    ) -> Self {
        let (event_sender, event_receiver) = async_channel::bounded(MAX_QUEUED_EVENTS);
        Driver {
            caller,
            client_number,
            executor: Rc::new(LocalExecutor::new()),
            start: Instant::now(),
            attempt_ids: Pcg64::seed_from_u64(entropy()),
            connections: HashMap::new(),
            pending: HashMap::new(),
            calls_by_number: HashMap::new(),
            event_sender,
            event_receiver,
            endpoint_file,
            shared,
        }
    }

    /// Runs until a command closes the client or the last handle is dropped.
    pub(crate) async fn run(mut self, list: EndpointList, commands: Receiver<Command>) {
        self.start = Instant::now();
        self.caller.update_endpoints(0.0, &list);
        self.execute_actions(&[]);
        let executor = self.executor.clone();
        executor.run(self.run_loop(CommandQueue(commands))).await;
    }

    async fn run_loop(&mut self, queue: CommandQueue) {
        let commands = &queue.0;
        let event_receiver = self.event_receiver.clone();
        let mut timer = DeadlineTimer { timer: Timer::never(), at_ms: None };
        loop {
            timer.set(self.start, self.next_timeout_ms());
            let command = async { Wakeup::Command(commands.recv().await.ok()) };
            let event = async { Wakeup::Event(event_receiver.recv().await.ok()) };
            let wakeup = future::or(event, future::or(timer.expired(), command)).await;
            if self.handle_wakeup(wakeup, commands) == Flow::Stop {
                return;
            }
            let now_ms = self.now_ms();
            if self.caller.poll_timeout().is_some_and(|at_ms| at_ms <= now_ms) {
                self.caller.handle_timeout(now_ms);
                self.execute_actions(&[]);
            }
            self.check_endpoint_file(now_ms);
            // Lets the connection tasks run even if commands arrive without pause.
            future::yield_now().await;
        }
    }

    fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn next_timeout_ms(&self) -> Option<f64> {
        let check_ms = self.endpoint_file.as_ref().map(EndpointFile::next_check_ms);
        [self.caller.poll_timeout(), check_ms].into_iter().flatten().reduce(f64::min)
    }

    fn handle_wakeup(&mut self, wakeup: Wakeup, commands: &Receiver<Command>) -> Flow {
        match wakeup {
            Wakeup::Event(Some(event)) => {
                self.handle_event(event);
                for _ in 0..MAX_BATCH {
                    let Ok(event) = self.event_receiver.try_recv() else { break };
                    self.handle_event(event);
                }
                Flow::Continue
            }
            Wakeup::Event(None) => Flow::Stop,
            Wakeup::Timeout => Flow::Continue,
            Wakeup::Command(Some(command)) => self.handle_commands(command, commands),
            // The last handle was dropped, so no call has a receiver for its response.
            Wakeup::Command(None) => self.close(),
        }
    }

    fn handle_commands(&mut self, first: Command, commands: &Receiver<Command>) -> Flow {
        if self.handle_command(first) == Flow::Stop {
            return Flow::Stop;
        }
        for _ in 0..MAX_BATCH {
            // The next iteration handles a closed queue.
            if commands.is_empty() || commands.is_closed() {
                break;
            }
            let Ok(command) = commands.try_recv() else { break };
            if self.handle_command(command) == Flow::Stop {
                return Flow::Stop;
            }
        }
        Flow::Continue
    }

    fn handle_command(&mut self, command: Command) -> Flow {
        let now_ms = self.now_ms();
        match command {
            Command::Call { call_number, request, deadline, response } => {
                let spec = self.call_spec(&request, deadline);
                let call = self.caller.start_call(now_ms, &spec);
                self.calls_by_number.insert(call_number, call);
                self.pending.insert(call, PendingRequest { call_number, request, response });
            }
            Command::Dropped { call_number } => {
                if let Some(call) = self.calls_by_number.get(&call_number).copied() {
                    self.caller.cancel_call(now_ms, call);
                    self.remove_pending(call);
                }
            }
            Command::UpdateEndpoints(list) => self.caller.update_endpoints(now_ms, &list),
            Command::Counters(sender) => drop(sender.try_send(self.caller.counters())),
            Command::Close(_done) => return self.close(),
        }
        self.execute_actions(&[]);
        Flow::Continue
    }

    fn close(&mut self) -> Flow {
        self.caller.close(self.now_ms());
        self.execute_actions(&[]);
        Flow::Stop
    }

    fn call_spec(&self, request: &Request, deadline: Instant) -> CallSpec {
        CallSpec {
            class: request.class.clone(),
            idempotency: request.idempotency,
            priority: request.priority,
            deadline_ms: deadline.saturating_duration_since(self.start).as_secs_f64() * 1000.0,
            subject: request.subject.unwrap_or(0),
            bytes: request.body.len() + CALL_OVERHEAD_BYTES,
        }
    }

    fn remove_pending(&mut self, call: CallId) -> Option<PendingRequest> {
        let pending = self.pending.remove(&call)?;
        self.calls_by_number.remove(&pending.call_number);
        if let Some(shared) = self.shared.upgrade() {
            shared.release();
        }
        Some(pending)
    }

    fn handle_event(&mut self, event: Event) {
        let now_ms = self.now_ms();
        match event {
            Event::Connected(connection) => self.caller.handle_connected(now_ms, connection),
            Event::ConnectFailed(connection) => {
                tracing::debug!(event = "connect_failed", connection = connection.0);
                self.caller.handle_connect_failed(now_ms, connection);
            }
            Event::Closed { connection, malformed } => {
                if self.connections.contains_key(&connection) {
                    let fault = malformed.as_ref().map(ToString::to_string);
                    tracing::debug!(event = "connection_closed", connection = connection.0, fault);
                    let reason =
                        if malformed.is_some() { CloseReason::Malformed } else { CloseReason::Ended };
                    self.caller.handle_connection_closed(now_ms, connection, reason);
                }
                self.connections.remove(&connection);
            }
            Event::Frame(connection, frame) => return self.handle_frame(now_ms, connection, &frame),
        }
        self.execute_actions(&[]);
    }

    fn handle_frame(&mut self, now_ms: f64, connection: ConnectionId, frame: &[u8]) {
        match codec::decode_response(frame) {
            Ok(message) => {
                self.caller.handle_message(now_ms, connection, &message);
                let result = match message {
                    codec::Response::Succeeded { result, .. } => result,
                    _ => &[],
                };
                self.execute_actions(result);
            }
            Err(error) => {
                let fault = error.to_string();
                tracing::warn!(event = "malformed_message", connection = connection.0, fault);
                self.caller.handle_connection_closed(now_ms, connection, CloseReason::Malformed);
                self.connections.remove(&connection);
                self.execute_actions(&[]);
            }
        }
    }

    /// Executes actions until there are none. `result` is the result in the response that was just handled,
    /// if any.
    fn execute_actions(&mut self, result: &[u8]) {
        loop {
            let actions = self.caller.poll_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute_action(action, result);
            }
        }
    }

    fn execute_action(&mut self, action: Action, result: &[u8]) {
        match action {
            Action::Connect { connection, address } => self.connect(connection, address),
            Action::Send { connection, sequence, call, timeout_ms, kind } => {
                if let Some(frame) = self.encode_attempt(sequence, call, timeout_ms, kind) {
                    self.write(connection, frame);
                }
            }
            Action::Cancel { connection, sequence } => self.write(connection, codec::cancel(sequence)),
            Action::Probe { connection, sequence } => self.write(connection, codec::alive(sequence)),
            Action::Close { connection } => drop(self.connections.remove(&connection)),
            Action::Complete { call, outcome } => self.complete(call, outcome, result),
        }
    }

    fn complete(&mut self, call: CallId, outcome: CallOutcome, result: &[u8]) {
        if let Some(pending) = self.remove_pending(call) {
            let _ = pending.response.try_send(Response::new(outcome, result));
        }
    }

    fn connect(&mut self, connection: ConnectionId, address: std::net::SocketAddr) {
        tracing::debug!(event = "connecting", connection = connection.0, address = %address);
        let (frames, receiver) = async_channel::unbounded();
        let unwritten = Rc::new(Cell::new(0));
        let outgoing = Outgoing { frames: receiver, unwritten: unwritten.clone() };
        let serve = connection::serve(connection, address, outgoing, self.event_sender.clone());
        let handle = ConnectionHandle { frames, unwritten, _task: self.executor.spawn(serve) };
        self.connections.insert(connection, handle);
    }

    fn encode_attempt(
        &mut self,
        sequence: i32,
        call: CallId,
        timeout_ms: f64,
        kind: AttemptKind,
    ) -> Option<Vec<u8>> {
        let id = self.next_attempt_id();
        let request = &self.pending.get(&call)?.request;
        let sent = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let attempt = codec::Attempt {
            class: &request.class,
            id,
            sent_ms: sent.as_millis() as u64,
            caller: self.client_number,
            tenant: &request.tenant,
            timeout_ms: Some(timeout_ms),
            memory_kb: request.footprint_kb,
            rank: request.priority,
            object: request.subject,
            idempotency_key: request.idempotency_key.as_deref(),
            work_hint_ms: request.work_hint_ms,
            marked_retry: kind == AttemptKind::Retry,
            body: &request.body,
        };
        Some(codec::dispatch(sequence, &attempt))
    }

    fn next_attempt_id(&mut self) -> AttemptId {
        let mut id: AttemptId = [0; 16];
        let bits: u64 = self.attempt_ids.random();
        for (index, digit) in id.iter_mut().enumerate() {
            *digit = b"0123456789abcdef"[(bits >> (4 * index) & 15) as usize];
        }
        id
    }

    /// Queues a frame on a connection. Closes the connection if its peer has stopped reading.
    fn write(&mut self, connection: ConnectionId, frame: Vec<u8>) {
        let Some(handle) = self.connections.get(&connection) else { return };
        handle.unwritten.set(handle.unwritten.get() + frame.len());
        let is_full = handle.unwritten.get() > MAX_UNWRITTEN_BYTES;
        if is_full || handle.frames.try_send(frame).is_err() {
            self.connections.remove(&connection);
            let reason = if is_full { CloseReason::Malformed } else { CloseReason::Ended };
            self.caller.handle_connection_closed(self.now_ms(), connection, reason);
        }
    }

    fn check_endpoint_file(&mut self, now_ms: f64) {
        match self.endpoint_file.as_mut().and_then(|file| file.check(now_ms)) {
            Some(Ok(list)) => {
                let (count, duplicates) = (list.addresses.len(), list.duplicates);
                tracing::info!(event = "endpoints_updated", count, duplicates);
                self.caller.update_endpoints(now_ms, &list);
                self.execute_actions(&[]);
            }
            Some(Err(error)) => {
                tracing::warn!(event = "endpoints_kept", "keeping the previous endpoint list: {error}");
            }
            None => {}
        }
    }
}
