//! A client without the client library, to compare with: endpoints in turn, up to three attempts with a third of
//! the time for each, no deadline sent, no backpressure signal heeded, and no backoff before it reconnects.

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

/// Attempts of one call at most.
const MAX_ATTEMPTS: u32 = 3;
/// Longest frame that it reads.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Bytes read at once.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded with this result.
    Succeeded(Vec<u8>),
    /// The backend rejected it.
    Rejected,
    /// The backend reports that it failed.
    Failed,
    /// No usable response came.
    NoResponse,
}

/// What a call asks for.
pub struct Call<'a> {
    /// The request class.
    pub class: &'a str,
    /// The tenant.
    pub tenant: &'a str,
    /// Rank by which the backend sheds load, from 0 to 1.
    pub rank: f64,
    /// The idempotency key, where the class wants one.
    pub idempotency_key: Option<&'a str>,
    /// May it run more than once?
    pub idempotent: bool,
    /// The request's body.
    pub body: &'a [u8],
    /// Time for all attempts.
    pub timeout: Duration,
}

/// Responses that are waited for, by sequence number.
type Pending = Rc<RefCell<HashMap<i32, Sender<Outcome>>>>;

/// One connection: where frames go, and who waits for responses on it.
#[derive(Clone)]
struct Connection {
    frames: Sender<Vec<u8>>,
    pending: Pending,
    last_seqid: Rc<Cell<i32>>,
}

/// A client with its connections; clones share them.
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
    /// A client that begins at the endpoint of its number.
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

    /// Calls with retries; returns the last attempt's outcome.
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
            // What may run once only is retried where it was rejected before it ran.
            let retriable = call.idempotent || last == Outcome::Rejected;
            if matches!(last, Outcome::Succeeded(_)) || !retriable {
                return last;
            }
        }
        last
    }

    /// One attempt at one endpoint.
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

    /// The open connection to an endpoint, or a new one.
    async fn connection(&self, endpoint: SocketAddr) -> Option<Connection> {
        let open = |connection: &&Connection| !connection.frames.is_closed();
        let known = self.connections.borrow().get(&endpoint).filter(open).cloned();
        if known.is_some() {
            return known;
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

/// Drives a connection until its end; responses that are still waited for then never come.
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
        let mut used = 0;
        while let Ok(Some((frame, length))) = decode_first(&bytes[used..], MAX_FRAME_BYTES) {
            let (seqid, outcome) = match decode_response(frame) {
                Ok(Response::Succeeded { seqid, result, .. }) => (seqid, Outcome::Succeeded(result.to_vec())),
                Ok(Response::Rejected { seqid, .. }) => (seqid, Outcome::Rejected),
                Ok(Response::Failed { seqid, .. }) => (seqid, Outcome::Failed),
                Ok(Response::Exception { seqid, .. }) => (seqid, Outcome::NoResponse),
                // No new request goes to a backend that closes.
                Ok(Response::Closing) => {
                    frames.close();
                    (0, Outcome::NoResponse)
                }
                _ => (0, Outcome::NoResponse),
            };
            let waiting = pending.borrow_mut().remove(&seqid);
            waiting.into_iter().for_each(|sender| drop(sender.try_send(outcome.clone())));
            used += length;
        }
        bytes.drain(..used);
        if frames.is_closed() && pending.borrow().is_empty() {
            break;
        }
    }
}
