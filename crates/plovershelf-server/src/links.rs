//! Links among processes of a group: one out to each that is talked to, frames in from those that talk here.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender, TrySendError};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use plovershelf_cluster::status::Answer;
use plovershelf_cluster::wire::{decode, encode_frame, read_frame, Hello, Wire, MAX_FRAME_BYTES};

use crate::streams::{recv_batch, with_timeout, write_all, ReadBuffer};

/// How many links there may be, and for how long one may rest.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Out at once; the one idle for longest makes room.
    pub out: usize,
    /// In at once; more are refused.
    pub inward: usize,
    pub idle_ms: u64,
}

/// Enough for the members that one of a group talks to.
pub const AMONG_MEMBERS: Bounds = Bounds { out: 64, inward: 256, idle_ms: 30_000 };

/// What came over a link in.
pub enum Heard {
    Wire {
        wire: Box<Wire>,
        from_here: bool,
        answer: Sender<Answer>,
    },
    /// Somebody sent what can't be read or belongs elsewhere, in one line.
    Odd(String),
}

/// A clock that never goes back and goes on while the machine sleeps: so a lease is over when it wakes.
pub fn now_ms() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as f64 * 1000.0 + time.tv_nsec as f64 / 1e6
}

/// Frames that wait for one link; more are dropped, as a network drops.
const WAITING: usize = 64;
const CONNECT_MS: u64 = 500;
const STALL_MS: u64 = 2000;
const HELLO_MS: u64 = 1000;
const ANSWER_MS: u64 = 8000;
/// A link that broke is not made anew at once.
const AGAIN_MS: f64 = 100.0;

struct Out {
    frames: Sender<Vec<u8>>,
    used_at: f64,
    /// It ended because it was not needed, so the next may be made at once.
    rested: Rc<Cell<bool>>,
}

pub struct Links {
    executor: &'static LocalExecutor<'static>,
    bounds: Bounds,
    hello: Vec<u8>,
    ways: BTreeMap<String, SocketAddr>,
    /// Is told of each link out that broke or could not be made.
    lost: Option<Sender<SocketAddr>>,
    out: BTreeMap<SocketAddr, Out>,
    broke: BTreeMap<SocketAddr, f64>,
}

impl Links {
    pub fn new(
        executor: &'static LocalExecutor<'static>,
        group: &str,
        ways: BTreeMap<String, SocketAddr>,
        bounds: Bounds,
        lost: Option<Sender<SocketAddr>>,
    ) -> Self {
        let hello = encode_frame(&Hello::of(group));
        Links { executor, bounds, hello, ways, lost, out: BTreeMap::new(), broke: BTreeMap::new() }
    }

    /// Hands a frame to the link of its address, which is made where there is none. It may get lost.
    pub fn send(&mut self, address: SocketAddr, name: Option<&str>, wire: &Wire) {
        let address = name.and_then(|name| self.ways.get(name)).copied().unwrap_or(address);
        let now = now_ms();
        let frame = encode_frame(wire);
        let frame = match self.out.get_mut(&address).map(|out| (out.frames.try_send(frame.clone()), out)) {
            Some((Ok(()), out)) => {
                out.used_at = now;
                return;
            }
            // A link that takes nothing loses what is new: what is old there is as good.
            Some((Err(TrySendError::Full(_)), _)) => return,
            Some((Err(TrySendError::Closed(frame)), _)) => {
                if self.out.remove(&address).is_some_and(|out| !out.rested.get()) {
                    self.broke.insert(address, now);
                }
                frame
            }
            None => frame,
        };
        self.broke.retain(|_, at| now - *at < AGAIN_MS);
        if self.broke.contains_key(&address) {
            return;
        }
        if self.out.len() >= self.bounds.out {
            let idle = self
                .out
                .iter()
                .min_by(|a, b| a.1.used_at.total_cmp(&b.1.used_at))
                .map(|(address, _)| *address);
            idle.into_iter().for_each(|address| drop(self.out.remove(&address)));
        }
        let (frames, waiting) = async_channel::bounded(WAITING);
        let _ = frames.try_send(frame);
        let (hello, lost, idle_ms) = (self.hello.clone(), self.lost.clone(), self.bounds.idle_ms);
        let rested: Rc<Cell<bool>> = Rc::default();
        let rests = rested.clone();
        let carried = async move {
            match (carry(address, hello, &waiting, idle_ms).await, lost) {
                (Carried::Rested, _) => rests.set(true),
                (Carried::Broke, Some(lost)) => drop(lost.try_send(address)),
                (Carried::Broke, None) => {}
            }
        };
        self.executor.spawn(carried).detach();
        self.out.insert(address, Out { frames, used_at: now, rested });
    }
}

/// How a link out came to its end.
enum Carried {
    /// It was not needed any longer.
    Rested,
    Broke,
}

/// Connects, says who it is, then writes frames until there are none for long or nobody takes them.
async fn carry(address: SocketAddr, hello: Vec<u8>, frames: &Receiver<Vec<u8>>, idle_ms: u64) -> Carried {
    let Ok(stream) = with_timeout(CONNECT_MS, Async::<TcpStream>::connect(address)).await else {
        return Carried::Broke;
    };
    let _ = stream.get_ref().set_nodelay(true);
    if write_all(&stream, &hello, STALL_MS).await.is_err() {
        return Carried::Broke;
    }
    loop {
        let next = async { recv_batch(frames).await.ok_or(Carried::Rested) };
        let idle = async {
            Timer::after(Duration::from_millis(idle_ms)).await;
            Err(Carried::Rested)
        };
        // The other side says nothing on this link; when it ends, so does the link.
        let ended = async {
            let mut byte = [0; 1];
            let _ = futures_lite::AsyncReadExt::read(&mut &stream, &mut byte).await;
            Err(Carried::Broke)
        };
        let bytes = match future::or(next, future::or(idle, ended)).await {
            Ok(bytes) => bytes,
            Err(end) => return end,
        };
        if write_all(&stream, &bytes, STALL_MS).await.is_err() {
            return Carried::Broke;
        }
    }
}

/// Takes connections of members and of people.
pub async fn accept<T: From<Heard> + 'static>(
    executor: &'static LocalExecutor<'static>,
    listener: Async<TcpListener>,
    group: Rc<str>,
    inbox: Sender<T>,
    bounds: Bounds,
) {
    let slots = Rc::new(());
    let here = listener.get_ref().local_addr().map(|address| address.ip()).ok();
    loop {
        let ended = async {
            inbox.closed().await;
            None
        };
        let Some(came) = future::or(ended, async { Some(listener.accept().await) }).await else { return };
        match came {
            Ok((stream, from)) if Rc::strong_count(&slots) <= bounds.inward => {
                let _ = stream.get_ref().set_nodelay(true);
                let from_here = from.ip().is_loopback() && here.is_some_and(|here| here.is_loopback())
                    || here == Some(from.ip());
                let read = read(
                    stream,
                    from.ip(),
                    from_here,
                    group.clone(),
                    inbox.clone(),
                    slots.clone(),
                    bounds.idle_ms,
                );
                executor.spawn(read).detach();
            }
            Ok(_) => {}
            Err(_) => drop(Timer::after(Duration::from_millis(20)).await),
        }
    }
}

async fn read<T: From<Heard>>(
    stream: Async<TcpStream>,
    from: IpAddr,
    from_here: bool,
    group: Rc<str>,
    inbox: Sender<T>,
    _slot: Rc<()>,
    idle_ms: u64,
) {
    let odd =
        |what: String| drop(inbox.try_send(Heard::Odd(format!("{from} {what}; its link is closed")).into()));
    let mut inflow = ReadBuffer::new(MAX_FRAME_BYTES + 64, 16 << 10);
    let mut greeted = false;
    loop {
        let used = match read_frame(inflow.bytes()) {
            Ok(Some((content, used))) if greeted => {
                match decode::<Wire>(content) {
                    Ok(wire) => {
                        if !hand_on(&stream, wire, from_here, &inbox).await {
                            return;
                        }
                    }
                    Err(spoilt) => return odd(format!("sent {spoilt}")),
                }
                used
            }
            Ok(Some((content, used))) => {
                match decode::<Hello>(content)
                    .map_err(|spoilt| format!("sent {spoilt}"))
                    .and_then(|hello| hello.check(&group).map_err(|why| why.to_string()))
                {
                    Ok(()) => greeted = true,
                    Err(what) => return odd(what),
                }
                used
            }
            Ok(None) => {
                let patience = if greeted { 2 * idle_ms } else { HELLO_MS };
                let ended = async {
                    inbox.closed().await;
                    Ok(false)
                };
                match future::or(ended, with_timeout(patience, inflow.fill(&stream))).await {
                    Ok(true) => continue,
                    _ => return,
                }
            }
            Err(spoilt) => return odd(format!("sent {spoilt}")),
        };
        inflow.consume(used);
    }
}

/// False where the link has come to its end.
async fn hand_on<T: From<Heard>>(
    stream: &Async<TcpStream>,
    wire: Wire,
    from_here: bool,
    inbox: &Sender<T>,
) -> bool {
    let asks = matches!(wire, Wire::Question(_));
    let (answer, answers) = async_channel::bounded::<Answer>(1);
    match inbox.try_send(Heard::Wire { wire: Box::new(wire), from_here, answer }.into()) {
        Ok(()) | Err(TrySendError::Full(_)) => {}
        Err(TrySendError::Closed(_)) => return false,
    }
    if !asks {
        return true;
    }
    let told = with_timeout(ANSWER_MS, async { answers.recv().await.map_err(std::io::Error::other) }).await;
    let told = told.unwrap_or_else(|_| Answer::Refused("no answer came in time".into()));
    write_all(stream, &encode_frame(&Wire::Answer(Box::new(told))), STALL_MS).await.is_ok()
}

#[cfg(test)]
mod tests;
