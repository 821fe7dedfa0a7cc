//! Calls to the ledger that all backends share: many on one connection, which is opened when one is due.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use plovershelf::interface::CallEnd;
use plovershelf_codec::ledger::{self, Answer};
use plovershelf_codec::TryId;

use crate::limits::Limits;
use crate::owner::Event;
use crate::streams::{within, write_all, Inflow};

pub enum Order {
    Call { id: TryId, within_ms: f64, body: Vec<u8> },
    GiveUp { id: TryId },
}

pub async fn keep_calls(
    address: SocketAddr,
    orders: Receiver<Order>,
    inbox: Sender<Event>,
    limits: Rc<Limits>,
) {
    while let Ok(order) = orders.recv().await {
        let Order::Call { id, .. } = order else { continue };
        match within(limits.connect_ms, Async::<TcpStream>::connect(address)).await {
            Ok(stream) => {
                let out = RefCell::new(BTreeSet::new());
                if let Err(error) = converse(&stream, order, &orders, &out, &inbox, &limits).await {
                    tracing::warn!("the ledger's connection broke in {} calls: {error}", out.borrow().len());
                }
                // What was out on a connection that broke proves nothing.
                for id in out.take() {
                    tell(&inbox, id, CallEnd::PerhapsRun, Vec::new()).await;
                }
            }
            Err(error) => {
                tracing::debug!("connecting to the ledger: {error}");
                tell(&inbox, id, CallEnd::ProvenNotRun, Vec::new()).await;
            }
        }
    }
}

async fn tell(inbox: &Sender<Event>, id: TryId, end: CallEnd, reply: Vec<u8>) {
    let _ = inbox.send(Event::CallOver { id, end, reply }).await;
}

/// One connection from its first call until it breaks or has been idle for long enough.
async fn converse(
    stream: &Async<TcpStream>,
    first: Order,
    orders: &Receiver<Order>,
    out: &RefCell<BTreeSet<TryId>>,
    inbox: &Sender<Event>,
    limits: &Limits,
) -> io::Result<()> {
    stream.get_ref().set_nodelay(true)?;
    let write = async {
        let mut next = Some(first);
        loop {
            let mut bytes = Vec::new();
            while let Some(order) = next {
                match order {
                    Order::Call { id, within_ms, body } => {
                        out.borrow_mut().insert(id);
                        bytes.extend(ledger::call(&id, within_ms, &body));
                    }
                    // A call that is over needs no giving up.
                    Order::GiveUp { id } if out.borrow_mut().remove(&id) => {
                        bytes.extend(ledger::give_up(&id));
                    }
                    Order::GiveUp { .. } => {}
                }
                next = orders.try_recv().ok();
            }
            write_all(stream, &bytes, limits.stall_ms).await?;
            let idle = async {
                Timer::after(Duration::from_millis(limits.ledger_idle_ms)).await;
                None
            };
            next = future::or(async { orders.recv().await.ok() }, idle).await;
            if next.is_none() && (out.borrow().is_empty() || orders.is_closed()) {
                return Ok(());
            }
        }
    };
    let read = async {
        let mut inflow = Inflow::new(limits.line_bytes, limits.read_bytes);
        loop {
            let took = ledger::take(inflow.bytes(), limits.body_bytes).map_err(|b| io::Error::other(b.0))?;
            let Some((id, answer, used)) = took else {
                if !inflow.fill(stream).await? {
                    let idle = out.borrow().is_empty();
                    return if idle { Ok(()) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
                }
                continue;
            };
            let (end, reply) = match answer {
                Answer::Done(reply) => (CallEnd::Ok, reply.to_vec()),
                Answer::Wait | Answer::Empty => (CallEnd::ProvenNotRun, Vec::new()),
                Answer::Error => (CallEnd::PerhapsRun, Vec::new()),
                Answer::Past => (CallEnd::GivenUp, Vec::new()),
            };
            inflow.used(used);
            // Answers to calls that were given up come too late to count.
            if out.borrow_mut().remove(&id) {
                tell(inbox, id, end, reply).await;
            }
        }
    };
    future::or(read, write).await
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{BufRead, BufReader, Write};

    /// Answers one line on the next connection, then waits for its end.
    fn answer_once(listener: &std::net::TcpListener, answer: &str) {
        let mut reader = BufReader::new(listener.accept().expect("a connection").0);
        let mut lines = String::new();
        for _ in 0..2 {
            reader.read_line(&mut lines).expect("a line");
        }
        reader.get_mut().write_all(answer.as_bytes()).expect("it is taken");
        while reader.read_line(&mut lines).expect("a line or the end") > 0 {}
    }

    #[test]
    fn a_connection_is_let_go_when_idle_and_opened_for_the_next_call() {
        let id = *b"9b1f03aa5c7e2d41";
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let far = std::thread::spawn(move || {
            answer_once(&listener, "9b1f03aa5c7e2d41 PAST\r\n");
            answer_once(&listener, "9b1f03aa5c7e2d41 EMPTY\r\n");
        });
        let (events, inbox) = async_channel::bounded(4);
        let (calls, orders) = async_channel::bounded(4);
        let limits = Rc::new(Limits { ledger_idle_ms: 50, ..Limits::of(64.0, 64) });
        let keep = keep_calls(address, orders, events, limits);
        let talk = async {
            let mut ends = Vec::new();
            for _ in 0..2 {
                let body = b"ask".to_vec();
                calls.send(Order::Call { id, within_ms: 1000.0, body }).await.expect("it is taken");
                if let Ok(Event::CallOver { end, .. }) = inbox.recv().await {
                    ends.push(end);
                }
                Timer::after(Duration::from_millis(200)).await;
            }
            calls.close();
            ends
        };
        let (_, ends) = async_io::block_on(future::zip(keep, talk));
        assert_eq!(ends, [CallEnd::GivenUp, CallEnd::ProvenNotRun]);
        far.join().expect("both connections were let go");
    }
}
