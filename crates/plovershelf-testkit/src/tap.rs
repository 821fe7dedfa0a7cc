//! Tap between clients and one backend: forwards every byte and counts requests, retries, responses and connections, so
//! that a trial relies on the report of neither side.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use async_executor::Task;
use async_io::Async;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use plovershelf_codec::front::client::{decode_first, decode_response, Response};
use plovershelf_codec::front::{decode, Message};

use crate::agent::Agent;
use crate::{free_address, Clock, Executor};

/// Longest frame that the tap decodes.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Length up to which a frame is not a request, so that reading it has no cost.
const MAX_FREE_FRAME_BYTES: usize = 60;
/// Delay after the client's deadline from which on a response counts as late.
const LATE_TOLERANCE_MS: f64 = 50.0;
/// Width of the intervals in which requests are counted.
const INTERVAL_MS: f64 = 100.0;

/// Counts of the messages and connections that passed through a tap.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Attempts without a retry mark, by tenth of a second.
    pub first_attempts: BTreeMap<u64, u64>,
    /// Attempts marked as retries, by tenth of a second.
    pub marked_retries: BTreeMap<u64, u64>,
    /// Start time of each connection, with the client number in its first request that carries one.
    pub connections: Vec<(f64, Option<u32>)>,
    /// Total number of requests.
    pub requests: u64,
    /// Total number of responses.
    pub responses: u64,
    /// Number of responses that reject a request.
    pub rejected: u64,
    /// Number of responses beyond the first to a request, or without a request.
    pub duplicate_responses: u64,
    /// Number of responses later than the client's deadline plus the tolerance.
    pub late_responses: u64,
    /// Number of requests, sent before the backend announced `closing`, that were open when the backend ended their
    /// connection.
    pub unanswered: u64,
}

/// Cost of reading a request, spent on the cores that a backend shares with its executions.
#[derive(Clone)]
pub struct ReadCost {
    /// Agent that models the cores.
    pub agent: Agent,
    /// Work per request, in milliseconds.
    pub cost_ms: f64,
}

/// Tap in front of one backend.
pub struct Tap {
    /// Address on which the tap accepts clients.
    pub address: SocketAddr,
    /// Traffic counted so far.
    pub traffic: Rc<RefCell<Traffic>>,
    backend: SocketAddr,
    read_cost: Option<ReadCost>,
    clock: Clock,
    executor: Executor,
    accepting: Option<Task<()>>,
}

impl Tap {
    /// Starts a tap in front of a backend. With a read cost, each request is forwarded once that work is done.
    ///
    /// Errors: binding the listener fails.
    pub fn start(
        executor: &Executor,
        clock: Clock,
        backend: SocketAddr,
        read_cost: Option<ReadCost>,
    ) -> std::io::Result<Self> {
        let address = free_address()?;
        let (traffic, executor) = (Rc::default(), executor.clone());
        let mut tap = Tap { address, traffic, backend, read_cost, clock, executor, accepting: None };
        tap.up()?;
        Ok(tap)
    }

    /// Ends all connections and refuses new ones.
    pub fn down(&mut self) {
        self.accepting = None;
    }

    /// Accepts connections again.
    ///
    /// Errors: binding the listener fails.
    pub fn up(&mut self) -> std::io::Result<()> {
        let listener = Async::<TcpListener>::bind(self.address)?;
        let (traffic, backend, clock) = (self.traffic.clone(), self.backend, self.clock);
        let read_cost = self.read_cost.clone();
        let executor = self.executor.clone();
        let accept = async move {
            let mut connections: Vec<Task<()>> = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.retain(|connection| !connection.is_finished());
                let monitor = Monitor::new(clock, traffic.clone());
                connections.push(executor.spawn(relay(stream, backend, monitor, read_cost.clone())));
            }
        };
        self.accepting = Some(self.executor.spawn(accept));
        Ok(())
    }
}

/// Request without a response so far.
struct OpenRequest {
    deadline_ms: f64,
    /// Whether the request was cancelled or sent after the backend's `closing`, so that no response is required.
    abandoned: bool,
}

/// Counts the traffic of one connection.
struct Monitor {
    clock: Clock,
    traffic: Rc<RefCell<Traffic>>,
    /// Index of the connection in [`Traffic::connections`].
    index: usize,
    open: BTreeMap<i32, OpenRequest>,
    closing: bool,
}

impl Monitor {
    fn new(clock: Clock, traffic: Rc<RefCell<Traffic>>) -> Self {
        Monitor { clock, traffic, index: 0, open: BTreeMap::new(), closing: false }
    }

    fn handle_connect(&mut self) {
        let mut traffic = self.traffic.borrow_mut();
        traffic.connections.push((self.clock.now(), None));
        self.index = traffic.connections.len() - 1;
    }

    fn handle_request(&mut self, frame: &[u8]) {
        let (now_ms, mut traffic) = (self.clock.now(), self.traffic.borrow_mut());
        match decode(frame) {
            Ok(Message::Dispatch { seqid, request }) => {
                let interval = (now_ms / INTERVAL_MS) as u64;
                traffic.requests += 1;
                let traffic = &mut *traffic;
                let counts = if request.marked_retry {
                    &mut traffic.marked_retries
                } else {
                    &mut traffic.first_attempts
                };
                *counts.entry(interval).or_default() += 1;
                let client = &mut traffic.connections[self.index].1;
                *client = client.or(client_number(frame));
                let deadline_ms = now_ms + request.timeout_ms.unwrap_or(f64::INFINITY);
                self.open.insert(seqid, OpenRequest { deadline_ms, abandoned: self.closing });
            }
            Ok(Message::Cancel { seqid }) => {
                self.open.entry(seqid).and_modify(|request| request.abandoned = true);
            }
            _ => {}
        }
    }

    fn handle_response(&mut self, frame: &[u8]) {
        let (now_ms, mut traffic) = (self.clock.now(), self.traffic.borrow_mut());
        let seqid = match decode_response(frame) {
            Ok(Response::Rejected { seqid, .. }) => {
                traffic.rejected += 1;
                seqid
            }
            Ok(
                Response::Succeeded { seqid, .. }
                | Response::Failed { seqid, .. }
                | Response::Exception { seqid, .. },
            ) => seqid,
            Ok(Response::Closing) => {
                self.closing = true;
                return;
            }
            _ => return,
        };
        traffic.responses += 1;
        match self.open.remove(&seqid) {
            Some(request) => {
                let late = !request.abandoned && now_ms > request.deadline_ms + LATE_TOLERANCE_MS;
                traffic.late_responses += u64::from(late);
            }
            None => traffic.duplicate_responses += 1,
        }
    }

    /// Counts the unanswered requests when the backend has ended the connection.
    fn handle_backend_close(&mut self) {
        let unanswered = self.open.values().filter(|request| !request.abandoned).count();
        self.traffic.borrow_mut().unanswered += unanswered as u64;
    }
}

async fn relay(
    client: Async<TcpStream>,
    backend_address: SocketAddr,
    mut monitor: Monitor,
    read_cost: Option<ReadCost>,
) {
    monitor.handle_connect();
    let Ok(backend) = Async::<TcpStream>::connect(backend_address).await else { return };
    let _ = client.get_ref().set_nodelay(true);
    let _ = backend.get_ref().set_nodelay(true);
    let monitor = RefCell::new(monitor);
    let on_request = |frame: &[u8]| monitor.borrow_mut().handle_request(frame);
    let on_response = |frame: &[u8]| monitor.borrow_mut().handle_response(frame);
    let requests = async { forward(&client, &backend, on_request, read_cost).await == EndedBy::Destination };
    let responses = async { forward(&backend, &client, on_response, None).await == EndedBy::Source };
    let ended_by_backend = future::or(requests, responses).await;
    if ended_by_backend {
        monitor.borrow_mut().handle_backend_close();
    }
}

/// Side that ended one direction of a connection.
#[derive(PartialEq, Eq)]
enum EndedBy {
    /// Side that frames are read from.
    Source,
    /// Side that frames are written to.
    Destination,
}

/// Forwards frames and passes each to `inspect`; returns the side that ended the connection.
async fn forward(
    from: &Async<TcpStream>,
    to: &Async<TcpStream>,
    mut inspect: impl FnMut(&[u8]),
    read_cost: Option<ReadCost>,
) -> EndedBy {
    let (mut bytes, mut chunk) = (Vec::new(), vec![0; READ_BUFFER_BYTES]);
    while let Ok(count) = (&mut &*from).read(&mut chunk).await {
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&chunk[..count]);
        let mut consumed = 0;
        while let Ok(Some((frame, length))) = decode_first(&bytes[consumed..], MAX_FRAME_BYTES) {
            inspect(frame);
            if let Some(read_cost) = read_cost.as_ref().filter(|_| frame.len() > MAX_FREE_FRAME_BYTES) {
                read_cost.agent.read(read_cost.cost_ms).await;
            }
            if (&mut &*to).write_all(&bytes[consumed..consumed + length]).await.is_err() {
                return EndedBy::Destination;
            }
            consumed += length;
        }
        bytes.drain(..consumed);
        // Bytes that do not form a frame are forwarded unchanged.
        if bytes.len() > MAX_FRAME_BYTES || decode_first(&bytes, MAX_FRAME_BYTES).is_err() {
            let rest = std::mem::take(&mut bytes);
            if (&mut &*to).write_all(&rest).await.is_err() {
                return EndedBy::Destination;
            }
        }
    }
    EndedBy::Source
}

/// Extracts the client's number from a request's frame: the field `f`, which backends ignore.
fn client_number(frame: &[u8]) -> Option<u32> {
    let start = frame.windows(5).position(|bytes| bytes == b"\0\0\0\x01f")? + 5;
    let length = u32::from_be_bytes(frame.get(start..start + 4)?.try_into().ok()?) as usize;
    std::str::from_utf8(frame.get(start + 4..start + 4 + length)?).ok()?.parse().ok()
}
