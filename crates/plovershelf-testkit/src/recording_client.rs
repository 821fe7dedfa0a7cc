//! Client that records what passes on its connections: when each request was fully written, each answer, and how each
//! connection ended. A trial evaluates this history together with the effects that the agents observed.
//!
//! The client has one connection to a backend at a time and pipelines requests on it. After the backend announces the
//! close of the connection, the client continues to send requests on it for a period that the trial sets, so that some
//! requests cross the announcement.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use plovershelf_codec::front::client::{decode_first, decode_response, dispatch, Attempt, Response};
use plovershelf_codec::AttemptId;

use crate::work::WorkSpec;
use crate::{Clock, Executor};

/// Maximum number of open requests on one connection.
const MAX_OPEN: usize = 32;
/// Longest frame that the client decodes.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Answer of a backend to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request succeeded with this result.
    Succeeded(Vec<u8>),
    /// The request was rejected without having run.
    Rejected,
    /// The request failed and may have taken effect.
    Failed,
}

/// End of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The backend closed the connection without a reset.
    Closed,
    /// Reading failed, as after a reset.
    Reset,
    /// The client closed the connection.
    ClosedByClient,
}

/// History of one connection, with times of the trial's clock.
#[derive(Clone, Debug)]
pub struct ConnectionRecord {
    /// Index of the backend.
    pub backend: usize,
    /// Time at which the connection was established.
    pub opened_ms: f64,
    /// Time at which the client read the backend's announcement of the close.
    pub closing_ms: Option<f64>,
    /// Time and kind of the connection's end.
    pub end: Option<(f64, ConnectionEnd)>,
}

/// History of one attempt, with times of the trial's clock.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Identifier of the attempt.
    pub id: AttemptId,
    /// Work that the request asks for.
    pub work: WorkSpec,
    /// Index of the attempt's connection in the history; `None` if the attempt was not sent.
    pub connection: Option<usize>,
    /// Time at which the trial started the attempt.
    pub sent_ms: f64,
    /// Time at which the last byte of the request was written.
    pub written_ms: Option<f64>,
    /// Timeout of the attempt, counted from `sent_ms`.
    pub timeout_ms: f64,
    /// All answers with the times at which they were read.
    pub answers: Vec<(f64, Answer)>,
}

/// Records of all clients of a trial.
#[derive(Debug, Default)]
pub struct History {
    /// Connections, in the order in which they were established.
    pub connections: Vec<ConnectionRecord>,
    /// Attempts, in the order in which they were started.
    pub attempts: Vec<AttemptRecord>,
}

/// History shared by all clients of a trial.
pub type SharedHistory = Rc<RefCell<History>>;

/// Parameters of one request.
#[derive(Clone, Debug)]
pub struct RecordedCall {
    /// Request class.
    pub class: String,
    /// Name of the tenant.
    pub tenant: String,
    /// Idempotency key, if the class requires one.
    pub key: Option<String>,
    /// Shedding rank of the request, from 0 to 1.
    pub rank: f64,
    /// Work that the request asks for.
    pub work: WorkSpec,
    /// Timeout of an attempt.
    pub timeout_ms: f64,
}

/// Attempt sent on a connection. An answered attempt is retained, so that a second answer to it is recorded too.
struct SentAttempt {
    seqid: i32,
    attempt: usize,
    is_answered: bool,
    answered: Sender<Answer>,
}

fn open_count(sent: &[SentAttempt]) -> usize {
    sent.iter().filter(|attempt| !attempt.is_answered).count()
}

/// The client's end of its current connection.
struct Link {
    record: usize,
    frames: Sender<(usize, Vec<u8>)>,
    sent: Rc<RefCell<Vec<SentAttempt>>>,
    last_seqid: i32,
    /// Time from which on no new request is sent on the connection; infinite until the backend announces the close.
    closes_at_ms: Rc<RefCell<f64>>,
}

/// Recording client of one backend.
pub struct RecordingClient {
    executor: Executor,
    clock: Clock,
    address: SocketAddr,
    backend: usize,
    number: u32,
    /// Time for which the client continues to send requests after the backend announced the close of the connection.
    send_after_closing_ms: f64,
    history: SharedHistory,
    link: RefCell<Option<Link>>,
}

impl RecordingClient {
    /// Creates a client, which connects at its first attempt.
    pub fn new(
        executor: &Executor,
        clock: Clock,
        (backend, address): (usize, SocketAddr),
        number: u32,
        send_after_closing_ms: f64,
        history: SharedHistory,
    ) -> Self {
        let (executor, link) = (executor.clone(), RefCell::default());
        RecordingClient { executor, clock, address, backend, number, send_after_closing_ms, history, link }
    }

    /// Makes one attempt; returns its answer, or `None` if the attempt could not be sent, its connection ended or its
    /// timeout elapsed.
    pub async fn attempt(&self, call: &RecordedCall) -> Option<Answer> {
        let attempt = self.record(call);
        if !self.has_link() && !self.connect().await {
            return None;
        }
        let (answered, answer) = async_channel::bounded(1);
        {
            let mut link = self.link.borrow_mut();
            let link = link.as_mut()?;
            if open_count(&link.sent.borrow()) >= MAX_OPEN {
                return None;
            }
            link.last_seqid += 1;
            let seqid = link.last_seqid;
            let frame = {
                let mut history = self.history.borrow_mut();
                let record = &mut history.attempts[attempt];
                record.connection = Some(link.record);
                self.encode(seqid, record, call)
            };
            link.sent.borrow_mut().push(SentAttempt { seqid, attempt, is_answered: false, answered });
            link.frames.try_send((attempt, frame)).ok()?;
        }
        let timeout = async {
            Timer::after(Duration::from_secs_f64(call.timeout_ms / 1000.0)).await;
            None
        };
        future::or(async { answer.recv().await.ok() }, timeout).await
    }

    fn record(&self, call: &RecordedCall) -> usize {
        let mut history = self.history.borrow_mut();
        let number = history.attempts.len() as u64;
        let id = format!("{:016x}", u64::from(self.number) << 40 | number).into_bytes();
        history.attempts.push(AttemptRecord {
            id: id.try_into().unwrap_or([b'0'; 16]),
            work: call.work,
            connection: None,
            sent_ms: self.clock.now(),
            written_ms: None,
            timeout_ms: call.timeout_ms,
            answers: Vec::new(),
        });
        history.attempts.len() - 1
    }

    /// Returns whether the client has a connection on which new requests may be sent.
    fn has_link(&self) -> bool {
        let now_ms = self.clock.now();
        self.link
            .borrow()
            .as_ref()
            .is_some_and(|link| !link.frames.is_closed() && *link.closes_at_ms.borrow() > now_ms)
    }

    async fn connect(&self) -> bool {
        let connecting = async { Async::<TcpStream>::connect(self.address).await.ok() };
        let timeout = async {
            Timer::after(CONNECT_TIMEOUT).await;
            None
        };
        let Some(stream) = future::or(connecting, timeout).await else { return false };
        let _ = stream.get_ref().set_nodelay(true);
        let (frames, to_write) = async_channel::unbounded();
        let sent: Rc<RefCell<Vec<SentAttempt>>> = Rc::default();
        let closes_at_ms = Rc::new(RefCell::new(f64::INFINITY));
        let record = {
            let mut history = self.history.borrow_mut();
            let (backend, opened_ms) = (self.backend, self.clock.now());
            history.connections.push(ConnectionRecord { backend, opened_ms, closing_ms: None, end: None });
            history.connections.len() - 1
        };
        let connection = Connection {
            clock: self.clock,
            history: self.history.clone(),
            record,
            sent: sent.clone(),
            closes_at_ms: closes_at_ms.clone(),
            send_after_closing_ms: self.send_after_closing_ms,
        };
        self.executor.spawn(connection.serve(stream, to_write)).detach();
        *self.link.borrow_mut() = Some(Link { record, frames, sent, last_seqid: 0, closes_at_ms });
        true
    }

    fn encode(&self, seqid: i32, record: &AttemptRecord, call: &RecordedCall) -> Vec<u8> {
        let sent = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let body = call.work.body();
        let attempt = Attempt {
            class: &call.class,
            id: record.id,
            sent_ms: sent.as_millis() as u64,
            caller: self.number,
            tenant: &call.tenant,
            timeout_ms: Some(call.timeout_ms),
            memory_kb: 10.0,
            rank: call.rank,
            object: None,
            idempotency_key: call.key.as_deref(),
            work_hint_ms: None,
            marked_retry: false,
            body: &body,
        };
        dispatch(seqid, &attempt)
    }
}

/// State of the task that drives a connection.
struct Connection {
    clock: Clock,
    history: SharedHistory,
    record: usize,
    sent: Rc<RefCell<Vec<SentAttempt>>>,
    closes_at_ms: Rc<RefCell<f64>>,
    send_after_closing_ms: f64,
}

impl Connection {
    async fn serve(self, stream: Async<TcpStream>, to_write: Receiver<(usize, Vec<u8>)>) {
        let write = async {
            while let Ok((attempt, frame)) = to_write.recv().await {
                if (&stream).write_all(&frame).await.is_err() {
                    // The reading side determines how the connection ended.
                    break;
                }
                self.history.borrow_mut().attempts[attempt].written_ms = Some(self.clock.now());
            }
            future::pending::<ConnectionEnd>().await
        };
        let end = future::or(self.read(&stream), write).await;
        to_write.close();
        self.history.borrow_mut().connections[self.record].end = Some((self.clock.now(), end));
        self.sent.borrow_mut().clear();
    }

    async fn read(&self, stream: &Async<TcpStream>) -> ConnectionEnd {
        let (mut bytes, mut chunk) = (Vec::new(), vec![0; READ_BUFFER_BYTES]);
        loop {
            let count = match (&mut &*stream).read(&mut chunk).await {
                Ok(0) => return ConnectionEnd::Closed,
                Ok(count) => count,
                Err(_) => return ConnectionEnd::Reset,
            };
            bytes.extend_from_slice(&chunk[..count]);
            let mut consumed = 0;
            while let Ok(Some((frame, length))) = decode_first(&bytes[consumed..], MAX_FRAME_BYTES) {
                self.handle_frame(frame);
                consumed += length;
            }
            bytes.drain(..consumed);
            let may_close = *self.closes_at_ms.borrow() <= self.clock.now();
            if may_close && open_count(&self.sent.borrow()) == 0 {
                return ConnectionEnd::ClosedByClient;
            }
        }
    }

    fn handle_frame(&self, frame: &[u8]) {
        let (seqid, answer) = match decode_response(frame) {
            Ok(Response::Succeeded { seqid, result, .. }) => (seqid, Answer::Succeeded(result.to_vec())),
            Ok(Response::Rejected { seqid, .. }) => (seqid, Answer::Rejected),
            Ok(Response::Failed { seqid, .. } | Response::Exception { seqid, .. }) => (seqid, Answer::Failed),
            Ok(Response::Closing) => {
                let now_ms = self.clock.now();
                self.history.borrow_mut().connections[self.record].closing_ms = Some(now_ms);
                *self.closes_at_ms.borrow_mut() = now_ms + self.send_after_closing_ms;
                return;
            }
            _ => return,
        };
        let mut sent = self.sent.borrow_mut();
        let Some(sent) = sent.iter_mut().find(|sent| sent.seqid == seqid) else { return };
        sent.is_answered = true;
        let _ = sent.answered.try_send(answer.clone());
        self.history.borrow_mut().attempts[sent.attempt].answers.push((self.clock.now(), answer));
    }
}
