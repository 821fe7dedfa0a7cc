//! Links among members: one out to each that is talked to, frames in from those that talk here.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender, TrySendError};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use plovershelf_group::frames::{decode, encode, unframed, Hello, Wire, FRAME_MOST};
use plovershelf_group::status::Answer;

use super::{now_ms, Incoming};
use crate::streams::{gather, within, write_all, Inflow};

/// Links out at once; the one idle for longest makes room. Links in; more are refused.
const LINKS: usize = 64;
const LINKS_IN: usize = 256;
/// Frames that wait for one link; more are dropped, as a network drops.
const WAITING: usize = 64;
const CONNECT_MS: u64 = 500;
const STALL_MS: u64 = 2000;
const IDLE_MS: u64 = 30_000;
const HELLO_MS: u64 = 1000;
const ANSWER_MS: u64 = 8000;
/// A link that broke is not made anew at once.
const AGAIN_MS: f64 = 100.0;

struct Out {
    frames: Sender<Vec<u8>>,
    used_at: f64,
}

pub struct Links {
    executor: &'static LocalExecutor<'static>,
    hello: Vec<u8>,
    ways: BTreeMap<String, SocketAddr>,
    out: BTreeMap<SocketAddr, Out>,
    broke: BTreeMap<SocketAddr, f64>,
}

impl Links {
    pub fn new(
        executor: &'static LocalExecutor<'static>,
        group: &str,
        ways: BTreeMap<String, SocketAddr>,
    ) -> Self {
        let hello = encode(&Hello::of(group));
        Links { executor, hello, ways, out: BTreeMap::new(), broke: BTreeMap::new() }
    }

    /// Hands a frame to the link of its address, which is made where there is none. It may get lost.
    pub fn send(&mut self, address: SocketAddr, name: Option<&str>, wire: &Wire) {
        let address = name.and_then(|name| self.ways.get(name)).copied().unwrap_or(address);
        let now = now_ms();
        let frame = encode(wire);
        let frame = match self.out.get_mut(&address).map(|out| (out.frames.try_send(frame.clone()), out)) {
            Some((Ok(()), out)) => {
                out.used_at = now;
                return;
            }
            // A link that takes nothing loses what is new: what is old there is as good.
            Some((Err(TrySendError::Full(_)), _)) => return,
            Some((Err(TrySendError::Closed(frame)), _)) => {
                self.out.remove(&address);
                self.broke.insert(address, now);
                frame
            }
            None => frame,
        };
        self.broke.retain(|_, at| now - *at < AGAIN_MS);
        if self.broke.contains_key(&address) {
            return;
        }
        if self.out.len() >= LINKS {
            let idle = self
                .out
                .iter()
                .min_by(|a, b| a.1.used_at.total_cmp(&b.1.used_at))
                .map(|(address, _)| *address);
            idle.into_iter().for_each(|address| drop(self.out.remove(&address)));
        }
        let (frames, waiting) = async_channel::bounded(WAITING);
        let _ = frames.try_send(frame);
        self.executor.spawn(carry(address, self.hello.clone(), waiting)).detach();
        self.out.insert(address, Out { frames, used_at: now });
    }
}

/// Connects, says who it is, then writes frames until there are none for long or nobody takes them.
async fn carry(address: SocketAddr, hello: Vec<u8>, frames: Receiver<Vec<u8>>) {
    let Ok(stream) = within(CONNECT_MS, Async::<TcpStream>::connect(address)).await else { return };
    let _ = stream.get_ref().set_nodelay(true);
    if write_all(&stream, &hello, STALL_MS).await.is_err() {
        return;
    }
    loop {
        let idle = async {
            Timer::after(Duration::from_millis(IDLE_MS)).await;
            None
        };
        // The other side says nothing on this link; when it ends, so does the link.
        let ended = async {
            let mut byte = [0; 1];
            let _ = futures_lite::AsyncReadExt::read(&mut &stream, &mut byte).await;
            None
        };
        let Some(bytes) = future::or(gather(&frames), future::or(idle, ended)).await else { return };
        if write_all(&stream, &bytes, STALL_MS).await.is_err() {
            return;
        }
    }
}

/// Takes connections of members and of people.
pub async fn accept(
    executor: &'static LocalExecutor<'static>,
    listener: Async<TcpListener>,
    group: Rc<str>,
    inbox: Sender<Incoming>,
) {
    let slots = Rc::new(());
    let here = listener.get_ref().local_addr().map(|address| address.ip()).ok();
    loop {
        match listener.accept().await {
            Ok((stream, from)) if Rc::strong_count(&slots) <= LINKS_IN => {
                let _ = stream.get_ref().set_nodelay(true);
                let from_here = from.ip().is_loopback() && here.is_some_and(|here| here.is_loopback())
                    || here == Some(from.ip());
                let read = read(stream, from.ip(), from_here, group.clone(), inbox.clone(), slots.clone());
                executor.spawn(read).detach();
            }
            Ok(_) => {}
            Err(_) => drop(Timer::after(Duration::from_millis(20)).await),
        }
    }
}

async fn read(
    stream: Async<TcpStream>,
    from: IpAddr,
    from_here: bool,
    group: Rc<str>,
    inbox: Sender<Incoming>,
    _slot: Rc<()>,
) {
    let odd =
        |what: String| drop(inbox.try_send(Incoming::Odd(format!("{from} {what}; its link is closed"))));
    let mut inflow = Inflow::new(FRAME_MOST + 64, 16 << 10);
    let mut greeted = false;
    loop {
        let used = match unframed(inflow.bytes()) {
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
                    .and_then(|hello| hello.check(&group))
                {
                    Ok(()) => greeted = true,
                    Err(what) => return odd(what),
                }
                used
            }
            Ok(None) => {
                let patience = if greeted { 2 * IDLE_MS } else { HELLO_MS };
                match within(patience, inflow.fill(&stream)).await {
                    Ok(true) => continue,
                    _ => return,
                }
            }
            Err(spoilt) => return odd(format!("sent {spoilt}")),
        };
        inflow.used(used);
    }
}

/// False where the link has come to its end.
async fn hand_on(stream: &Async<TcpStream>, wire: Wire, from_here: bool, inbox: &Sender<Incoming>) -> bool {
    let asks = matches!(wire, Wire::Ask(_));
    let (answer, answers) = async_channel::bounded::<Answer>(1);
    match inbox.try_send(Incoming::Wire { wire: Box::new(wire), from_here, answer }) {
        Ok(()) | Err(TrySendError::Full(_)) => {}
        Err(TrySendError::Closed(_)) => return false,
    }
    if !asks {
        return true;
    }
    let told = within(ANSWER_MS, async { answers.recv().await.map_err(std::io::Error::other) }).await;
    let told = told.unwrap_or_else(|_| Answer::Refused("no answer came in time".into()));
    write_all(stream, &encode(&Wire::Answer(Box::new(told))), STALL_MS).await.is_ok()
}
