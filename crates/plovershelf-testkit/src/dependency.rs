//! Fake dependency that all backends share. Calls slow down once more of them are in flight than the dependency has
//! slots, and an outage begins once they exceed a limit.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use async_channel::Sender;
use async_executor::Task;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};

use crate::effects::SharedLedger;
use crate::framing::decode_command;
use crate::{Clock, Executor};

/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Capacity of the dependency.
#[derive(Clone, Copy, Debug)]
pub struct DependencyConfig {
    /// Duration of a call while no more calls than slots are in flight.
    pub call_ms: f64,
    /// Number of concurrent calls that the dependency serves without slowing down.
    pub slots: usize,
    /// Number of calls in flight beyond which an outage begins.
    pub max_in_flight: usize,
    /// Duration of an outage.
    pub outage_ms: f64,
}

/// State shared by all connections of the dependency.
struct State {
    in_flight: usize,
    down_until_ms: f64,
    /// Factor by which the duration of calls is multiplied.
    latency_factor: f64,
}

/// Handle on a running dependency; clones refer to the same dependency.
#[derive(Clone)]
pub struct Dependency {
    /// Address on which the dependency accepts connections.
    pub address: SocketAddr,
    state: Rc<RefCell<State>>,
}

impl Dependency {
    /// Starts a dependency.
    ///
    /// Errors: binding the listener fails.
    pub fn start(
        executor: &Executor,
        clock: Clock,
        config: DependencyConfig,
        effects: SharedLedger,
    ) -> std::io::Result<Self> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        let state = Rc::new(RefCell::new(State { in_flight: 0, down_until_ms: 0.0, latency_factor: 1.0 }));
        let connection =
            Connection { clock, config, state: state.clone(), effects, executor: executor.clone() };
        executor.spawn(accept(listener, connection)).detach();
        Ok(Dependency { address, state })
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.state.borrow().in_flight
    }

    /// Sets the factor by which the duration of calls that begin from now on is multiplied.
    pub fn set_latency_factor(&self, factor: f64) {
        self.state.borrow_mut().latency_factor = factor;
    }
}

async fn accept(listener: Async<TcpListener>, connection: Connection) {
    while let Ok((stream, _)) = listener.accept().await {
        // During an outage, new connections are closed at once.
        if connection.clock.now() < connection.state.borrow().down_until_ms {
            continue;
        }
        let _ = stream.get_ref().set_nodelay(true);
        connection.executor.spawn(connection.clone().serve(stream)).detach();
    }
}

/// State shared by the tasks of a connection.
#[derive(Clone)]
struct Connection {
    clock: Clock,
    config: DependencyConfig,
    state: Rc<RefCell<State>>,
    effects: SharedLedger,
    executor: Executor,
}

/// Slot occupied by a call; dropping it frees the slot, also when the call is cancelled.
struct Slot(Rc<RefCell<State>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.borrow_mut().in_flight -= 1;
    }
}

impl Connection {
    async fn serve(self, stream: Async<TcpStream>) {
        let (answers, to_write) = async_channel::unbounded::<Vec<u8>>();
        let write = async {
            while let Ok(answer) = to_write.recv().await {
                if (&stream).write_all(&answer).await.is_err() {
                    break;
                }
            }
        };
        future::or(self.read_commands(&stream, answers), write).await;
    }

    async fn read_commands(&self, stream: &Async<TcpStream>, answers: Sender<Vec<u8>>) {
        let mut calls: BTreeMap<String, Task<()>> = BTreeMap::new();
        let (mut bytes, mut chunk) = (Vec::new(), vec![0; READ_BUFFER_BYTES]);
        while let Ok(count) = (&mut &*stream).read(&mut chunk).await {
            if count == 0 {
                break;
            }
            bytes.extend_from_slice(&chunk[..count]);
            let mut consumed = 0;
            while let Some((line, body, length)) = decode_command(&bytes[consumed..]) {
                consumed += length;
                let words: Vec<&str> = line.split(' ').collect();
                match words[..] {
                    ["OP", id, ..] => {
                        let call = self.clone().call(id.into(), body, answers.clone());
                        calls.insert(id.into(), self.executor.spawn(call));
                    }
                    ["UNOP", id] => drop(calls.remove(id)),
                    _ => self.effects.borrow_mut().unexpected_commands += 1,
                }
                calls.retain(|_, call| !call.is_finished());
            }
            bytes.drain(..consumed);
        }
    }

    /// Admits a call and returns its duration in milliseconds, or `None` during an outage.
    fn admit(&self, now_ms: f64) -> Option<f64> {
        let (mut state, mut effects) = (self.state.borrow_mut(), self.effects.borrow_mut());
        effects.calls += 1;
        if now_ms < state.down_until_ms {
            return None;
        }
        state.in_flight += 1;
        effects.peak_dependency_calls = effects.peak_dependency_calls.max(state.in_flight);
        if state.in_flight > self.config.max_in_flight {
            effects.dependency_outages += 1;
            state.down_until_ms = now_ms + self.config.outage_ms;
        }
        let slowdown = (state.in_flight as f64 / self.config.slots as f64).max(1.0);
        Some(self.config.call_ms * slowdown * state.latency_factor)
    }

    async fn call(self, id: String, body: Vec<u8>, answers: Sender<Vec<u8>>) {
        let now_ms = self.clock.now();
        let Some(duration_ms) = self.admit(now_ms) else {
            let _ = answers.send(format!("{id} WAIT\r\n").into_bytes()).await;
            return;
        };
        let slot = Slot(self.state.clone());
        Timer::at(self.clock.at(now_ms + duration_ms)).await;
        drop(slot);
        let mut answer = format!("{id} DONE {}\r\n", body.len()).into_bytes();
        answer.extend_from_slice(&body);
        answer.extend_from_slice(b"\r\n");
        let _ = answers.send(answer).await;
    }
}
