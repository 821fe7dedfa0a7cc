//! Fake agent: executes a backend's requests on modelled cores and notifies the backend of their outcomes. Notices
//! that a broken connection missed are sent again on the next connection.

mod notices;
mod reads;
mod state;
mod utilization;

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use plovershelf_codec::AttemptId;

use crate::cores::CoresConfig;
use crate::effects::SharedLedger;
use crate::framing::decode_command;
use crate::{Clock, Executor};
use state::{AgentState, Wakers};

/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Delay after the predicted completion of a task until the cores are advanced.
const COMPLETION_SLACK_MS: f64 = 0.05;

/// Handle on a running agent; clones refer to the same agent.
#[derive(Clone)]
pub struct Agent {
    /// Address on which the agent accepts the backend's connections.
    pub address: SocketAddr,
    state: Rc<RefCell<AgentState>>,
}

impl Agent {
    /// Starts the agent of the backend with index `backend_index`.
    ///
    /// Errors: binding the listener fails.
    pub fn start(
        executor: &Executor,
        clock: Clock,
        backend_index: usize,
        config: CoresConfig,
        effects: SharedLedger,
    ) -> std::io::Result<Self> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        let (cores_changed, cores_wake) = async_channel::bounded(1);
        let (output_ready, output_wake) = async_channel::bounded(1);
        let wakers = Wakers { cores_changed, output_ready };
        let state = AgentState::new(clock, backend_index, config, effects, wakers);
        let state = Rc::new(RefCell::new(state));
        executor.spawn(accept(listener, executor.clone(), state.clone(), output_wake)).detach();
        executor.spawn(run_cores(state.clone(), cores_wake)).detach();
        Ok(Agent { address, state })
    }

    /// Records that the backend received its drain notice: launches later than `drain_ms` from now are counted in
    /// `EffectLedger::launched_after_drain`.
    pub fn start_drain(&self, drain_ms: f64) {
        self.state.borrow_mut().start_drain(drain_ms);
    }

    /// Spends `cost_ms` of work on the backend's cores, as reading a request does; returns when the work is done.
    pub async fn read(&self, cost_ms: f64) {
        let (done, is_done) = async_channel::bounded(1);
        self.state.borrow_mut().queue_read(cost_ms, done);
        let _ = is_done.recv().await;
    }

    /// Sets the factor by which the cores' speed is multiplied from now on.
    pub fn set_speed_factor(&self, factor: f64) {
        self.state.borrow_mut().set_speed_factor(factor);
    }

    /// Returns the number of executions on the cores and the number that the cores sustain.
    pub fn concurrency(&self) -> (usize, f64) {
        self.state.borrow_mut().concurrency()
    }

    /// Returns whether the execution awaits the answer to an outbound call.
    pub fn awaits_call(&self, id: &AttemptId) -> bool {
        self.state.borrow().awaits_call(id)
    }

    /// Returns the number of processes of the backend that have subscribed so far.
    pub fn processes(&self) -> u32 {
        self.state.borrow().processes
    }
}

async fn accept(
    listener: Async<TcpListener>,
    executor: Executor,
    state: Rc<RefCell<AgentState>>,
    output_wake: Receiver<()>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.get_ref().set_nodelay(true);
        let number = state.borrow_mut().connect();
        executor.spawn(serve(stream, state.clone(), number, output_wake.clone())).detach();
    }
}

/// Advances the cores whenever a task completes or is added, with or without a connection.
async fn run_cores(state: Rc<RefCell<AgentState>>, cores_wake: Receiver<()>) {
    loop {
        let deadline = {
            let mut state = state.borrow_mut();
            state.advance();
            state.next_completion_ms().map(|at_ms| state.clock.at(at_ms + COMPLETION_SLACK_MS))
        };
        let timeout = async {
            match deadline {
                Some(deadline) => drop(Timer::at(deadline).await),
                None => future::pending().await,
            }
            true
        };
        if !future::or(async { cores_wake.recv().await.is_ok() }, timeout).await {
            return;
        }
    }
}

/// Serves one connection until it ends or a newer connection replaces it.
async fn serve(
    stream: Async<TcpStream>,
    state: Rc<RefCell<AgentState>>,
    number: u64,
    output_wake: Receiver<()>,
) {
    let mut bytes: Vec<u8> = Vec::new();
    let mut chunk = vec![0; READ_BUFFER_BYTES];
    loop {
        if state.borrow().connections != number {
            return;
        }
        let output = state.borrow_mut().notices.take_output();
        if !output.is_empty() && (&stream).write_all(&output).await.is_err() {
            return;
        }
        let read = async { Some((&mut &stream).read(&mut chunk).await) };
        let woken = async {
            let _ = output_wake.recv().await;
            None
        };
        match future::or(read, woken).await {
            None => continue,
            Some(Ok(count)) if count > 0 => bytes.extend_from_slice(&chunk[..count]),
            Some(_) => return,
        }
        if state.borrow().connections != number {
            return;
        }
        let mut consumed = 0;
        while let Some((line, body, length)) = decode_command(&bytes[consumed..]) {
            state.borrow_mut().handle_command(&line, &body);
            consumed += length;
        }
        bytes.drain(..consumed);
    }
}
