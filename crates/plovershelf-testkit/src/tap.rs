//! A tap between clients and one backend: passes every byte on, and counts requests, retries, responses and
//! connections, so that neither side is judged by its own word.

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

/// Longest frame that it looks into.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Bytes read at once.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Frames up to this length are no requests, and reading them costs nothing.
const MAX_FREE_FRAME_BYTES: usize = 60;
/// How much later than the client's deadline a response counts as late.
const LATE_TOLERANCE_MS: f64 = 50.0;
/// Width of the intervals that requests are counted by.
const INTERVAL_MS: f64 = 100.0;

/// What passed.
#[derive(Debug, Default)]
pub struct Traffic {
    /// First attempts, by tenth of a second.
    pub first_attempts: BTreeMap<u64, u64>,
    /// Attempts that are marked as retries, by tenth of a second.
    pub marked_retries: BTreeMap<u64, u64>,
    /// When each connection was made, and the number of the client that used it.
    pub connections: Vec<(f64, Option<u32>)>,
    /// Requests in all.
    pub requests: u64,
    /// Responses in all.
    pub responses: u64,
    /// Responses that reject.
    pub rejected: u64,
    /// Responses beyond the first, or to nothing.
    pub duplicate_responses: u64,
    /// Responses after the client's deadline.
    pub late_responses: u64,
    /// Requests open when the backend ended a connection, not having sent `closing` before they were written.
    pub unanswered: u64,
}

/// What reading a request costs the cores that a backend shares with its executions.
#[derive(Clone)]
pub struct ReadCost {
    /// The agent that has the cores.
    pub agent: Agent,
    /// Work a request, in milliseconds.
    pub cost_ms: f64,
}

/// A tap before one backend.
pub struct Tap {
    /// Where it listens.
    pub address: SocketAddr,
    /// What passed so far.
    pub traffic: Rc<RefCell<Traffic>>,
    backend: SocketAddr,
    read_cost: Option<ReadCost>,
    clock: Clock,
    executor: Executor,
    accepting: Option<Task<()>>,
}

impl Tap {
    /// Starts a tap before a backend. Where reading has a cost, a request is passed on when that work is done.
    ///
    /// Errors: as of binding a listener.
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

    /// Refuses connections from now on and ends the open ones.
    pub fn down(&mut self) {
        self.accepting = None;
    }

    /// Accepts connections again.
    ///
    /// Errors: as of binding a listener.
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

/// A request that has no response yet.
struct OpenRequest {
    deadline_ms: f64,
    /// Cancelled, or sent after the backend's `closing`: no response is owed.
    abandoned: bool,
}

/// Counts what passes on one connection.
struct Monitor {
    clock: Clock,
    traffic: Rc<RefCell<Traffic>>,
    /// Index of this connection in the traffic.
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

    /// The backend has ended the connection.
    fn handle_backend_close(&mut self) {
        let unanswered = self.open.values().filter(|request| !request.abandoned).count();
        self.traffic.borrow_mut().unanswered += unanswered as u64;
    }
}

async fn relay(
    near: Async<TcpStream>,
    backend: SocketAddr,
    mut monitor: Monitor,
    read_cost: Option<ReadCost>,
) {
    monitor.handle_connect();
    let Ok(far) = Async::<TcpStream>::connect(backend).await else { return };
    let _ = near.get_ref().set_nodelay(true);
    let _ = far.get_ref().set_nodelay(true);
    let monitor = RefCell::new(monitor);
    let on_request = |frame: &[u8]| monitor.borrow_mut().handle_request(frame);
    let on_response = |frame: &[u8]| monitor.borrow_mut().handle_response(frame);
    let there = async { forward(&near, &far, on_request, read_cost).await == End::Writer };
    let back = async { forward(&far, &near, on_response, None).await == End::Reader };
    let ended_by_backend = future::or(there, back).await;
    if ended_by_backend {
        monitor.borrow_mut().handle_backend_close();
    }
}

/// Which side ended a direction of a connection.
#[derive(PartialEq, Eq)]
enum End {
    /// The side that is read from.
    Reader,
    /// The side that is written to.
    Writer,
}

/// Passes frames on and shows each; returns which side has ended.
async fn forward(
    from: &Async<TcpStream>,
    to: &Async<TcpStream>,
    mut show: impl FnMut(&[u8]),
    read_cost: Option<ReadCost>,
) -> End {
    let (mut bytes, mut chunk) = (Vec::new(), vec![0; READ_BUFFER_BYTES]);
    while let Ok(count) = (&mut &*from).read(&mut chunk).await {
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&chunk[..count]);
        let mut used = 0;
        while let Ok(Some((frame, length))) = decode_first(&bytes[used..], MAX_FRAME_BYTES) {
            show(frame);
            if let Some(read_cost) = read_cost.as_ref().filter(|_| frame.len() > MAX_FREE_FRAME_BYTES) {
                read_cost.agent.read(read_cost.cost_ms).await;
            }
            if (&mut &*to).write_all(&bytes[used..used + length]).await.is_err() {
                return End::Writer;
            }
            used += length;
        }
        bytes.drain(..used);
        // Bytes that are no frame are passed on as they are.
        if bytes.len() > MAX_FRAME_BYTES || decode_first(&bytes, MAX_FRAME_BYTES).is_err() {
            let rest = std::mem::take(&mut bytes);
            if (&mut &*to).write_all(&rest).await.is_err() {
                return End::Writer;
            }
        }
    }
    End::Reader
}

/// The client's number in a request's frame: field `f`, which backends have no use for.
fn client_number(frame: &[u8]) -> Option<u32> {
    let start = frame.windows(5).position(|bytes| bytes == b"\0\0\0\x01f")? + 5;
    let length = u32::from_be_bytes(frame.get(start..start + 4)?.try_into().ok()?) as usize;
    std::str::from_utf8(frame.get(start + 4..start + 4 + length)?).ok()?.parse().ok()
}
