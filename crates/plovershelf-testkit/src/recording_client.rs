//! A client that writes down all that passes on its connections: when each request was written whole, each answer, and how
//! each connection ended. By this history a trial judges, and by what the agents saw.
//!
//! It has one connection to a backend at a time and pipelines on it. Told that the connection closes, it sends no new
//! request on it after a while that the trial sets, as what is on its way then crosses the close.

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

/// Open requests on one connection, at most.
const MAX_OPEN: usize = 32;
/// Longest frame that it reads.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Bytes read at once.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// An attempt to connect is given up after this.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What a backend answered to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It succeeded with this result.
    Succeeded(Vec<u8>),
    /// It never ran.
    Rejected,
    /// It failed and may have taken effect.
    Failed,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// In order.
    Closed,
    /// With a reset.
    Reset,
    /// This side ended it.
    Own,
}

/// One connection's history. Times are the trial's.
#[derive(Clone, Debug)]
pub struct ConnectionRecord {
    /// Index of the backend.
    pub backend: usize,
    /// When it was open.
    pub opened_ms: f64,
    /// When the announcement of the close was read.
    pub closing_ms: Option<f64>,
    /// When and how it ended.
    pub end: Option<(f64, ConnectionEnd)>,
}

/// One attempt's history.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Its identifier.
    pub id: AttemptId,
    /// What it asks for.
    pub work: WorkSpec,
    /// Index of its connection in the history; none where there was no connection.
    pub connection: Option<usize>,
    /// When it was handed over.
    pub sent_ms: f64,
    /// When its last byte was written.
    pub written_ms: Option<f64>,
    /// How long its client waits, from `sent_ms` on.
    pub timeout_ms: f64,
    /// All answers with their times.
    pub answers: Vec<(f64, Answer)>,
}

/// All that a trial's clients wrote down.
#[derive(Debug, Default)]
pub struct History {
    /// All connections.
    pub connections: Vec<ConnectionRecord>,
    /// All attempts.
    pub attempts: Vec<AttemptRecord>,
}

/// The history as all clients hold it.
pub type SharedHistory = Rc<RefCell<History>>;

/// One request as it is handed over.
#[derive(Clone, Debug)]
pub struct RecordedCall {
    /// The request class.
    pub class: String,
    /// The tenant.
    pub tenant: String,
    /// The idempotency key, where the class wants one.
    pub key: Option<String>,
    /// Rank by which the backend sheds load.
    pub rank: f64,
    /// What it asks for.
    pub work: WorkSpec,
    /// How long its client waits.
    pub timeout_ms: f64,
}

/// An attempt on a connection. It stays there when it is answered, as a second answer would be wrong.
struct SentAttempt {
    seqid: i32,
    attempt: usize,
    is_answered: bool,
    answered: Sender<Answer>,
}

fn open_count(sent: &[SentAttempt]) -> usize {
    sent.iter().filter(|attempt| !attempt.is_answered).count()
}

struct Link {
    record: usize,
    frames: Sender<(usize, Vec<u8>)>,
    sent: Rc<RefCell<Vec<SentAttempt>>>,
    last_seqid: i32,
    /// From this time on no new request is sent on it.
    closes_at_ms: Rc<RefCell<f64>>,
}

/// A client of one backend.
pub struct RecordingClient {
    executor: Executor,
    clock: Clock,
    address: SocketAddr,
    backend: usize,
    number: u32,
    /// How long it goes on sending after it has read that the connection closes.
    cross_close_ms: f64,
    history: SharedHistory,
    link: RefCell<Option<Link>>,
}

impl RecordingClient {
    /// A client that connects with its first call.
    pub fn new(
        executor: &Executor,
        clock: Clock,
        (backend, address): (usize, SocketAddr),
        number: u32,
        cross_close_ms: f64,
        history: SharedHistory,
    ) -> Self {
        let (executor, link) = (executor.clone(), RefCell::default());
        RecordingClient { executor, clock, address, backend, number, cross_close_ms, history, link }
    }

    /// One attempt; returns its answer, or nothing once its connection has ended or its time is over.
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

    /// Is there a connection that takes requests?
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
            cross_close_ms: self.cross_close_ms,
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

/// What a connection's task knows.
struct Connection {
    clock: Clock,
    history: SharedHistory,
    record: usize,
    sent: Rc<RefCell<Vec<SentAttempt>>>,
    closes_at_ms: Rc<RefCell<f64>>,
    cross_close_ms: f64,
}

impl Connection {
    async fn serve(self, stream: Async<TcpStream>, to_write: Receiver<(usize, Vec<u8>)>) {
        let write = async {
            while let Ok((attempt, frame)) = to_write.recv().await {
                if (&stream).write_all(&frame).await.is_err() {
                    // Reading tells how it ended.
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
            let mut used = 0;
            while let Ok(Some((frame, length))) = decode_first(&bytes[used..], MAX_FRAME_BYTES) {
                self.handle_frame(frame);
                used += length;
            }
            bytes.drain(..used);
            let closes = *self.closes_at_ms.borrow() <= self.clock.now();
            if closes && open_count(&self.sent.borrow()) == 0 {
                return ConnectionEnd::Own;
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
                *self.closes_at_ms.borrow_mut() = now_ms + self.cross_close_ms;
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
