//! A plain caller to compare with: members in turn, up to three tries at once, a third of the time for each, no deadline
//! told, nothing heeded, no waiting before it connects again.

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

const TRIES: u32 = 3;

/// How a try ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    Succeeded(Vec<u8>),
    Dismissed,
    /// The backend says that it failed.
    Scrapped,
    /// No answer came.
    Failed,
}

/// Answers that are waited for, by sequence number.
type Waiting = Rc<RefCell<HashMap<i32, Sender<Ended>>>>;

/// One connection: where frames go, and who waits on it.
#[derive(Clone)]
struct Wire {
    frames: Sender<Vec<u8>>,
    waiting: Waiting,
    last: Rc<Cell<i32>>,
}

#[derive(Clone)]
pub struct Plain {
    executor: Executor,
    members: Vec<SocketAddr>,
    wires: Rc<RefCell<HashMap<SocketAddr, Wire>>>,
    turn: Rc<Cell<usize>>,
    number: u32,
    pub tries: Rc<Cell<u64>>,
    pub firsts: Rc<Cell<u64>>,
}

/// What is asked for.
pub struct Asked<'a> {
    pub offering: &'a str,
    pub tenant: &'a str,
    pub rank: f64,
    pub ticket: Option<&'a str>,
    pub rerunnable: bool,
    pub body: &'a [u8],
    pub within: Duration,
}

impl Plain {
    pub fn new(executor: &Executor, members: &[SocketAddr], number: u32) -> Self {
        let (wires, tries, firsts) = (Rc::default(), Rc::default(), Rc::default());
        let turn = Rc::new(Cell::new(number as usize));
        Plain { executor: executor.clone(), members: members.to_vec(), wires, turn, number, tries, firsts }
    }

    pub async fn call(&self, asked: &Asked<'_>) -> Ended {
        let each = asked.within / TRIES;
        let mut last = Ended::Failed;
        for _ in 0..TRIES {
            let turn = self.turn.get();
            self.turn.set(turn + 1);
            let member = self.members[turn % self.members.len()];
            let late = async {
                Timer::after(each).await;
                Ended::Failed
            };
            last = future::or(self.once(member, asked), late).await;
            // Work that may run once only goes again where it was turned away.
            let again = asked.rerunnable || last == Ended::Dismissed;
            if matches!(last, Ended::Succeeded(_)) || !again {
                return last;
            }
        }
        last
    }

    /// One try at one member.
    pub async fn once(&self, member: SocketAddr, asked: &Asked<'_>) -> Ended {
        let known = self.wires.borrow().get(&member).filter(|wire| !wire.frames.is_closed()).cloned();
        let wire = match known {
            Some(wire) => wire,
            None => match Async::<TcpStream>::connect(member).await {
                Ok(stream) => {
                    let _ = stream.get_ref().set_nodelay(true);
                    let (frames, written) = async_channel::unbounded();
                    let wire = Wire { frames, waiting: Rc::default(), last: Rc::default() };
                    self.wires.borrow_mut().insert(member, wire.clone());
                    self.executor.spawn(serve(stream, written, wire.waiting.clone())).detach();
                    wire
                }
                Err(_) => return Ended::Failed,
            },
        };
        let seqid = wire.last.get() + 1;
        wire.last.set(seqid);
        self.tries.set(self.tries.get() + 1);
        let came = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let id: AttemptId = {
            let bits = (u64::from(self.number) << 40) | self.tries.get();
            format!("{bits:016x}").into_bytes().try_into().unwrap_or([b'0'; 16])
        };
        let one = Attempt {
            class: asked.offering,
            id,
            sent_ms: came.as_millis() as u64,
            caller: self.number,
            tenant: asked.tenant,
            timeout_ms: None,
            memory_kb: 10.0,
            rank: asked.rank,
            object: None,
            idempotency_key: asked.ticket,
            work_hint_ms: None,
            marked_retry: false,
            body: asked.body,
        };
        let (give, answer) = async_channel::bounded(1);
        wire.waiting.borrow_mut().insert(seqid, give);
        if wire.frames.try_send(dispatch(seqid, &one)).is_err() {
            return Ended::Failed;
        }
        answer.recv().await.unwrap_or(Ended::Failed)
    }
}

async fn serve(stream: Async<TcpStream>, frames: Receiver<Vec<u8>>, waiting: Waiting) {
    let write = async {
        while let Ok(frame) = frames.recv().await {
            if (&stream).write_all(&frame).await.is_err() {
                break;
            }
        }
    };
    let read = async {
        let (mut bytes, mut chunk) = (Vec::new(), vec![0; 16 << 10]);
        while let Ok(count) = (&mut &stream).read(&mut chunk).await {
            if count == 0 {
                break;
            }
            bytes.extend_from_slice(&chunk[..count]);
            let mut used = 0;
            while let Ok(Some((frame, length))) = decode_first(&bytes[used..], 1 << 20) {
                let (seqid, ended) = match decode_response(frame) {
                    Ok(Response::Succeeded { seqid, result, .. }) => {
                        (seqid, Ended::Succeeded(result.to_vec()))
                    }
                    Ok(Response::Rejected { seqid, .. }) => (seqid, Ended::Dismissed),
                    Ok(Response::Failed { seqid, .. }) => (seqid, Ended::Scrapped),
                    Ok(Response::Exception { seqid, .. }) => (seqid, Ended::Failed),
                    // No new call goes there.
                    Ok(Response::Closing) => {
                        frames.close();
                        (0, Ended::Failed)
                    }
                    _ => (0, Ended::Failed),
                };
                let waits = waiting.borrow_mut().remove(&seqid);
                waits.into_iter().for_each(|give| drop(give.try_send(ended.clone())));
                used += length;
            }
            bytes.drain(..used);
            if frames.is_closed() && waiting.borrow().is_empty() {
                break;
            }
        }
    };
    let write = async {
        write.await;
        future::pending::<()>().await;
    };
    future::or(read, write).await;
    frames.close();
    // Nobody answers these any more.
    waiting.borrow_mut().clear();
}
