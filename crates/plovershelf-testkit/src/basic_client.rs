//! Baseline client that does not use the client library: it takes endpoints in turn and makes up to three attempts with
//! a third of the time each. It sends no deadline, ignores backpressure signals and reconnects without backoff.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use plovershelf_codec::front::client::{decode_first, decode_response, dispatch, Attempt, Response};
use plovershelf_codec::AttemptId;

use crate::Executor;

/// Maximum number of attempts per call.
const MAX_ATTEMPTS: u32 = 3;
/// Longest frame that the client decodes.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request succeeded with this result.
    Succeeded(Vec<u8>),
    /// The backend rejected the request.
    Rejected,
    /// The backend reported that the request failed.
    Failed,
    /// No usable response arrived.
    NoResponse,
}

/// Parameters of a call.
pub struct Call<'a> {
    /// Request class.
    pub class: &'a str,
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Shedding rank of the request, from 0 to 1.
    pub rank: f64,
    /// Idempotency key, if the class requires one.
    pub idempotency_key: Option<&'a str>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Body of the request.
    pub body: &'a [u8],
    /// Timeout of all attempts together.
    pub timeout: Duration,
}

/// Senders that await a response, by sequence number.
type Pending = Rc<RefCell<HashMap<i32, Sender<Outcome>>>>;

/// Connection to one endpoint: the queue of frames to write and the pending responses.
#[derive(Clone)]
struct Connection {
    frames: Sender<Vec<u8>>,
    pending: Pending,
    last_seqid: Rc<Cell<i32>>,
}

/// Baseline client with its connections, which clones share.
#[derive(Clone)]
pub struct BasicClient {
    executor: Executor,
    endpoints: Vec<SocketAddr>,
    connections: Rc<RefCell<HashMap<SocketAddr, Connection>>>,
    next_endpoint: Rc<Cell<usize>>,
    number: u32,
    attempts: Rc<Cell<u64>>,
}

impl BasicClient {
    /// Creates a client whose first call goes to the endpoint with index `number` modulo the number of endpoints.
    pub fn new(executor: &Executor, endpoints: &[SocketAddr], number: u32) -> Self {
        BasicClient {
            executor: executor.clone(),
            endpoints: endpoints.to_vec(),
            connections: Rc::default(),
            next_endpoint: Rc::new(Cell::new(number as usize)),
            number,
            attempts: Rc::default(),
        }
    }

    /// Makes a call with retries and returns the outcome of the last attempt.
    pub async fn call(&self, call: &Call<'_>) -> Outcome {
        let attempt_timeout = call.timeout / MAX_ATTEMPTS;
        let mut last = Outcome::NoResponse;
        for _ in 0..MAX_ATTEMPTS {
            let turn = self.next_endpoint.get();
            self.next_endpoint.set(turn + 1);
            let endpoint = self.endpoints[turn % self.endpoints.len()];
            let timeout = async {
                Timer::after(attempt_timeout).await;
                Outcome::NoResponse
            };
            last = future::or(self.attempt(endpoint, call), timeout).await;
            // A request that may run only once is retried only if it was rejected before it ran.
            let retriable = call.idempotent || last == Outcome::Rejected;
            if matches!(last, Outcome::Succeeded(_)) || !retriable {
                return last;
            }
        }
        last
    }

    /// Makes one attempt at one endpoint.
    pub async fn attempt(&self, endpoint: SocketAddr, call: &Call<'_>) -> Outcome {
        let Some(connection) = self.connection(endpoint).await else { return Outcome::NoResponse };
        let seqid = connection.last_seqid.get() + 1;
        connection.last_seqid.set(seqid);
        self.attempts.set(self.attempts.get() + 1);
        let frame = self.encode(seqid, call);
        let (sender, outcome) = async_channel::bounded(1);
        connection.pending.borrow_mut().insert(seqid, sender);
        if connection.frames.try_send(frame).is_err() {
            return Outcome::NoResponse;
        }
        outcome.recv().await.unwrap_or(Outcome::NoResponse)
    }

    /// Returns the open connection to an endpoint, or a new one.
    async fn connection(&self, endpoint: SocketAddr) -> Option<Connection> {
        let open = |connection: &&Connection| !connection.frames.is_closed();
        let existing = self.connections.borrow().get(&endpoint).filter(open).cloned();
        if existing.is_some() {
            return existing;
        }
        let stream = Async::<TcpStream>::connect(endpoint).await.ok()?;
        let _ = stream.get_ref().set_nodelay(true);
        let (frames, to_write) = async_channel::unbounded();
        let connection = Connection { frames, pending: Rc::default(), last_seqid: Rc::default() };
        self.connections.borrow_mut().insert(endpoint, connection.clone());
        self.executor.spawn(serve(stream, to_write, connection.pending.clone())).detach();
        Some(connection)
    }

    fn encode(&self, seqid: i32, call: &Call<'_>) -> Vec<u8> {
        let sent = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let id_bits = (u64::from(self.number) << 40) | self.attempts.get();
        let id: AttemptId = format!("{id_bits:016x}").into_bytes().try_into().unwrap_or([b'0'; 16]);
        let attempt = Attempt {
            class: call.class,
            id,
            sent_ms: sent.as_millis() as u64,
            caller: self.number,
            tenant: call.tenant,
            timeout_ms: None,
            memory_kb: 10.0,
            rank: call.rank,
            object: None,
            idempotency_key: call.idempotency_key,
            work_hint_ms: None,
            marked_retry: false,
            body: call.body,
        };
        dispatch(seqid, &attempt)
    }
}

/// Drives a connection until it ends; pending responses are then dropped.
async fn serve(stream: Async<TcpStream>, frames: Receiver<Vec<u8>>, pending: Pending) {
    let write = async {
        while let Ok(frame) = frames.recv().await {
            if (&stream).write_all(&frame).await.is_err() {
                break;
            }
        }
        future::pending::<()>().await;
    };
    future::or(read_responses(&stream, &frames, &pending), write).await;
    frames.close();
    pending.borrow_mut().clear();
}

async fn read_responses(stream: &Async<TcpStream>, frames: &Receiver<Vec<u8>>, pending: &Pending) {
    let (mut bytes, mut chunk) = (Vec::new(), vec![0; READ_BUFFER_BYTES]);
    while let Ok(count) = (&mut &*stream).read(&mut chunk).await {
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&chunk[..count]);
        let mut consumed = 0;
        while let Ok(Some((frame, length))) = decode_first(&bytes[consumed..], MAX_FRAME_BYTES) {
            let (seqid, outcome) = match decode_response(frame) {
                Ok(Response::Succeeded { seqid, result, .. }) => (seqid, Outcome::Succeeded(result.to_vec())),
                Ok(Response::Rejected { seqid, .. }) => (seqid, Outcome::Rejected),
                Ok(Response::Failed { seqid, .. }) => (seqid, Outcome::Failed),
                Ok(Response::Exception { seqid, .. }) => (seqid, Outcome::NoResponse),
                // The backend has announced that it will close the connection. No further request is queued on it, and the
                // pending responses are still read.
                Ok(Response::Closing) => {
                    frames.close();
                    (0, Outcome::NoResponse)
                }
                _ => (0, Outcome::NoResponse),
            };
            let waiting = pending.borrow_mut().remove(&seqid);
            waiting.into_iter().for_each(|sender| drop(sender.try_send(outcome.clone())));
            consumed += length;
        }
        bytes.drain(..consumed);
        if frames.is_closed() && pending.borrow().is_empty() {
            break;
        }
    }
}
