//! The link with the agent that owns the cores: kept open, taken up again where it broke.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use plovershelf_codec::agent::{self, Notice};

use crate::limits::Limits;
use crate::messages::{Event, Said};
use crate::streams::{gather, within, write_all, Inflow};

/// The tag of the sample that tells when all notices of before have been read. Others begin at 1.
const FENCE: u64 = 0;

/// Keeps a link to where the agent is. `moved` tells that the address may have changed: then the new link is
/// made before the old one is left.
pub async fn keep_link(
    address: Rc<Cell<SocketAddr>>,
    moved: Receiver<()>,
    inbox: Sender<Event>,
    limits: Rc<Limits>,
) {
    let mut last_read = 0;
    let mut rest_ms = limits.retry_first_ms;
    let mut next = None;
    loop {
        let before = last_read;
        let mut greeted = false;
        let stream = match next.take() {
            Some(made) => Ok(made),
            None => connect(&address, &limits).await,
        };
        let connected = stream.is_ok();
        let ended = match stream {
            Ok((stream, to)) => {
                let successor = successor(&address, to, &moved, &limits);
                link(&stream, successor, &mut last_read, &mut greeted, &inbox, &limits).await
            }
            Err(error) => Err(error),
        };
        // Where nobody takes events any more, the program ends and the link with it.
        let all_read = ended.is_ok();
        if inbox.send(Event::Agent(Said::Down { all_read })).await.is_err() {
            return;
        }
        match ended {
            Ok(made) => {
                tracing::info!("the agent's link moves to {} after notice {last_read}", address.get());
                next = Some(made);
            }
            Err(error) => {
                if connected {
                    tracing::warn!("the agent's link ended after notice {last_read}: {error}");
                } else {
                    tracing::debug!("connecting to the agent: {error}");
                }
                let well = greeted || last_read > before;
                rest_ms = if well { limits.retry_first_ms } else { rest_ms };
                Timer::after(Duration::from_millis(rest_ms)).await;
                rest_ms = (2 * rest_ms).min(limits.retry_most_ms);
            }
        }
    }
}

/// A connection and where it leads.
type Made = (Async<TcpStream>, SocketAddr);

async fn connect(address: &Cell<SocketAddr>, limits: &Limits) -> io::Result<Made> {
    let to = address.get();
    Ok((within(limits.connect_ms, Async::<TcpStream>::connect(to)).await?, to))
}

/// A connection to where the agent has moved, once it has.
async fn successor(
    address: &Cell<SocketAddr>,
    from: SocketAddr,
    moved: &Receiver<()>,
    limits: &Limits,
) -> Made {
    loop {
        while address.get() == from {
            if moved.recv().await.is_err() {
                future::pending::<()>().await;
            }
        }
        match connect(address, limits).await {
            Ok(made) => return made,
            Err(error) => tracing::debug!("connecting to the agent's new address: {error}"),
        }
        Timer::after(Duration::from_millis(limits.retry_first_ms)).await;
    }
}

fn broken(what: impl Into<String>) -> io::Error {
    io::Error::other(what.into())
}

/// One link from its first line to its end: an error, or the connection that follows it, when all commands
/// of this one have been read.
async fn link(
    stream: &Async<TcpStream>,
    successor: impl Future<Output = Made>,
    last_read: &mut u64,
    greeted: &mut bool,
    inbox: &Sender<Event>,
    limits: &Limits,
) -> io::Result<Made> {
    stream.get_ref().set_nodelay(true)?;
    let (sender, orders) = async_channel::bounded::<Vec<u8>>(limits.orders);
    // Before the agent is up it takes no command; before all that was missed has been read, none but the fence.
    write_all(stream, &agent::subscribe(*last_read), limits.stall_ms).await?;
    let up = Cell::new(false);
    let write = async {
        while let Some(bytes) = gather(&orders).await {
            write_all(stream, &bytes, limits.stall_ms).await?;
        }
        if up.get() {
            write_all(stream, &agent::sample(FENCE), limits.stall_ms).await?;
            Timer::after(Duration::from_millis(limits.handover_ms)).await;
            return Err(broken("it did not say that it had read all before it was left"));
        }
        future::pending().await
    };
    let next = RefCell::new(None);
    let follow = async {
        let connected = successor.await;
        *next.borrow_mut() = Some(connected);
        orders.close();
        // Nothing was written that could be lost.
        if up.get() {
            future::pending::<()>().await;
        }
        Ok(())
    };
    let read = async {
        let mut inflow = Inflow::new(limits.line_bytes, limits.read_bytes);
        let mut greeting = None;
        let newest = Cell::new(0);
        let mut missed = false;
        let mut sender = Some(sender);
        loop {
            let took = agent::decode_first(inflow.bytes(), limits.body_bytes)
                .map_err(|error| broken(error.to_string()))?;
            let Some((notice, used)) = took else {
                if !inflow.fill(stream).await? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                continue;
            };
            let before = *last_read;
            // Nothing is told out of order, so what lies between is lost, but for what a link in service skips.
            missed |= !up.get() && skips(&notice, before);
            let numbered = |number| {
                newest.set(number);
                fresh_notice(number, before)
            };
            let said = match notice {
                Notice::Greeting { .. } if greeting.is_some() => return Err(broken("it greeted twice")),
                Notice::Greeting { fresh, up_for_ms } => {
                    *greeted = true;
                    greeting = Some((fresh, up_for_ms));
                    write_all(stream, &agent::sample(FENCE), limits.stall_ms).await?;
                    None
                }
                Notice::RunEnded { number, id, over, result } => {
                    numbered(number).then(|| Said::RunOver { id, over, result: result.to_vec() })
                }
                Notice::CallRequested { number, id, call } => {
                    numbered(number).then(|| Said::WantsCall { id, call: call.to_vec() })
                }
                Notice::Sampled { tag, gauges } => {
                    let tag = std::str::from_utf8(tag).ok().and_then(|tag| tag.parse().ok());
                    match (tag, greeting, sender.take()) {
                        (Some(FENCE), Some((fresh, up_for_ms)), Some(orders)) => {
                            up.set(true);
                            Some(Said::Up { fresh, up_for_ms, orders, missed })
                        }
                        (Some(FENCE), ..) if orders.is_closed() => return Ok(()),
                        (Some(tag), _, again) => {
                            sender = again;
                            Some(Said::Sampled { tag, gauges })
                        }
                        (None, _, _) => return Err(broken("a sample with a foreign tag")),
                    }
                }
                Notice::CommandRejected { command, about } => Some(Said::Refused {
                    command: String::from_utf8_lossy(command).into_owned(),
                    about: about.to_vec(),
                }),
                Notice::Skipped { number } => {
                    numbered(number);
                    None
                }
            };
            inflow.used(used);
            if let Some(said) = said {
                inbox.send(Event::Agent(said)).await.map_err(|_| broken("the program ends"))?;
            }
            // Only now: what waits for the queue when the link ends is asked for again on the next.
            *last_read = (*last_read).max(newest.get());
        }
    };
    future::or(read, future::or(write, follow)).await?;
    let next = next.take();
    next.ok_or_else(|| broken("it ended unasked"))
}

/// Each notice counts once, however often it is told.
fn fresh_notice(number: u64, last_read: u64) -> bool {
    if number > last_read.saturating_add(1) {
        tracing::warn!("notices between {last_read} and {number} were never told");
    }
    number > last_read
}

/// Notices before this one were never told.
fn skips(notice: &Notice<'_>, last_read: u64) -> bool {
    match notice {
        Notice::RunEnded { number, .. }
        | Notice::CallRequested { number, .. }
        | Notice::Skipped { number } => *number > last_read.saturating_add(1),
        _ => false,
    }
}

#[cfg(test)]
mod tests;
