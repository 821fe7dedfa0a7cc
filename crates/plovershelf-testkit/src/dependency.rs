//! The ledger that all backends share: some slots, slower the more it holds, down for a while past what it survives.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use async_channel::Sender;
use async_executor::Task;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};

use crate::account::Shared;
use crate::{Clock, Executor};

#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// How long one call takes while it holds no more than its slots.
    pub call_ms: f64,
    pub slots: usize,
    /// It falls when it holds more than this, and is down for so long.
    pub survives: usize,
    pub down_ms: f64,
}

struct State {
    held: usize,
    down_until: f64,
    /// Multiplies the time of calls, for slow spells.
    slow: f64,
}

#[derive(Clone)]
pub struct Ledger {
    pub address: SocketAddr,
    state: Rc<RefCell<State>>,
}

impl Ledger {
    pub fn start(executor: &Executor, clock: Clock, shape: Shape, account: Shared) -> std::io::Result<Self> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        let state = Rc::new(RefCell::new(State { held: 0, down_until: 0.0, slow: 1.0 }));
        let (own, spawn) = (state.clone(), executor.clone());
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                // While it is down a connection ends at once.
                if clock.now() < own.borrow().down_until {
                    continue;
                }
                let _ = stream.get_ref().set_nodelay(true);
                let line =
                    Line { clock, shape, state: own.clone(), account: account.clone(), spawn: spawn.clone() };
                spawn.spawn(line.serve(stream)).detach();
            }
        };
        executor.spawn(accept).detach();
        Ok(Ledger { address, state })
    }

    /// Calls that it holds now.
    pub fn held(&self) -> usize {
        self.state.borrow().held
    }

    /// Calls take so many times as long from now on.
    pub fn slow(&self, times: f64) {
        self.state.borrow_mut().slow = times;
    }
}

/// One connection's side.
#[derive(Clone)]
struct Line {
    clock: Clock,
    shape: Shape,
    state: Rc<RefCell<State>>,
    account: Shared,
    spawn: Executor,
}

/// A call that is held; dropping it lets go of its place.
struct Held(Rc<RefCell<State>>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.borrow_mut().held -= 1;
    }
}

impl Line {
    async fn serve(self, stream: Async<TcpStream>) {
        let (answers, written) = async_channel::unbounded::<Vec<u8>>();
        let write = async {
            while let Ok(answer) = written.recv().await {
                if (&stream).write_all(&answer).await.is_err() {
                    break;
                }
            }
        };
        let read = async {
            let mut calls: BTreeMap<String, Task<()>> = BTreeMap::new();
            let (mut bytes, mut chunk) = (Vec::new(), vec![0; 16 << 10]);
            while let Ok(count) = (&mut &stream).read(&mut chunk).await {
                if count == 0 {
                    break;
                }
                bytes.extend_from_slice(&chunk[..count]);
                let mut used = 0;
                while let Some((line, body, length)) = crate::agent::take(&bytes[used..]) {
                    used += length;
                    let words: Vec<&str> = line.split(' ').collect();
                    match words[..] {
                        ["OP", id, ..] => {
                            let call = self.spawn.spawn(self.clone().call(id.into(), body, answers.clone()));
                            calls.insert(id.into(), call);
                        }
                        ["UNOP", id] => drop(calls.remove(id)),
                        _ => self.account.borrow_mut().odd_commands += 1,
                    }
                    calls.retain(|_, call| !call.is_finished());
                }
                bytes.drain(..used);
            }
        };
        future::or(read, write).await;
    }

    /// Takes one more call; tells how long it takes, or `None` while the ledger is down.
    fn begin(&self, now: f64) -> Option<f64> {
        let (mut state, mut account) = (self.state.borrow_mut(), self.account.borrow_mut());
        account.calls += 1;
        if now < state.down_until {
            return None;
        }
        state.held += 1;
        account.ledger_most = account.ledger_most.max(state.held);
        if state.held > self.shape.survives {
            account.ledger_fell += 1;
            state.down_until = now + self.shape.down_ms;
        }
        let crowd = (state.held as f64 / self.shape.slots as f64).max(1.0);
        Some(self.shape.call_ms * crowd * state.slow)
    }

    async fn call(self, id: String, body: Vec<u8>, answers: Sender<Vec<u8>>) {
        let now = self.clock.now();
        let Some(took_ms) = self.begin(now) else {
            let _ = answers.send(format!("{id} WAIT\r\n").into_bytes()).await;
            return;
        };
        let held = Held(self.state.clone());
        Timer::at(self.clock.at(now + took_ms)).await;
        drop(held);
        let mut answer = format!("{id} DONE {}\r\n", body.len()).into_bytes();
        answer.extend_from_slice(&body);
        answer.extend_from_slice(b"\r\n");
        let _ = answers.send(answer).await;
    }
}
