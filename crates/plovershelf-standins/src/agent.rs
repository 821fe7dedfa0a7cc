//! The agent's side of a backend's link: cores, runs, notices that are told again on a new link.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use plovershelf_codec::TryId;

use crate::account::{Life, Shared};
use crate::cores::{Cores, Shape};
use crate::work::Work;
use crate::{Clock, Executor};

struct Run {
    work: Work,
    calls_left: u32,
    part_ms: f64,
    began: f64,
    at_call: bool,
}

struct State {
    clock: Clock,
    shape: Shape,
    place: usize,
    lives: u32,
    account: Shared,
    cores: Cores<TryId>,
    runs: BTreeMap<TryId, Run>,
    /// Numbered notices of late, as written.
    notices: VecDeque<(u64, Vec<u8>)>,
    last_number: u64,
    sampled_at: f64,
    /// Nothing is to be launched from then on.
    grace_over: f64,
    /// Bytes for the present link.
    out: Vec<u8>,
    links: u64,
}

/// A stand-in agent; clones are handles on the same one.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Rc<RefCell<State>>,
}

impl State {
    fn life(&self) -> Life {
        (self.place, self.lives)
    }

    fn notice(&mut self, line: String, body: Option<&[u8]>) {
        let number = self.last_number + 1;
        self.last_number = number;
        let mut bytes = line.replacen('#', &number.to_string(), 1).into_bytes();
        if let Some(body) = body {
            bytes.extend_from_slice(format!(" {}\r\n", body.len()).as_bytes());
            bytes.extend_from_slice(body);
        }
        bytes.extend_from_slice(b"\r\n");
        self.out.extend_from_slice(&bytes);
        self.notices.push_back((number, bytes));
        if self.notices.len() > 4000 {
            self.notices.pop_front();
        }
    }

    fn over(&mut self, id: &TryId, how: &str, result: &[u8]) {
        let Some(run) = self.runs.remove(id) else { return };
        let took = self.clock.now() - run.began;
        let id = String::from_utf8_lossy(id).into_owned();
        self.notice(format!("outcome # {id} {how} {took:.3}"), Some(result));
    }

    /// Lets work go on until now.
    fn advance(&mut self) {
        let now = self.clock.now();
        for id in self.cores.advance(now) {
            let Some(run) = self.runs.get_mut(&id) else { continue };
            self.account.borrow_mut().work_done_ms += run.part_ms;
            if run.calls_left > 0 {
                run.calls_left -= 1;
                run.at_call = true;
                let call = format!("call for {}", run.work.number);
                let id = String::from_utf8_lossy(&id).into_owned();
                self.notice(format!("request # {id}"), Some(call.as_bytes()));
            } else {
                let work = run.work;
                let life = self.life();
                self.account.borrow_mut().ended_well(work.number, life);
                self.over(&id, "success", &work.result());
            }
        }
    }

    fn command(&mut self, line: &str, body: &[u8]) {
        self.advance();
        let now = self.clock.now();
        let mut words = line.split(' ');
        let (command, about) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let id: Option<TryId> = about.as_bytes().try_into().ok();
        match (command, id) {
            ("subscribe", _) => {
                let last: u64 = about.parse().unwrap_or(0);
                // A process that has read nothing is a new one: what the old one had is gone.
                if last == 0 {
                    self.lives += 1;
                    self.runs.clear();
                    let pace = self.cores.pace;
                    self.cores = Cores::new(self.shape, now);
                    self.cores.pace = pace;
                    self.notices.clear();
                    self.last_number = 0;
                    self.grace_over = f64::INFINITY;
                }
                self.out =
                    format!("greeting {} 0\r\n", if last == 0 { "booting" } else { "steady" }).into_bytes();
                let missed = self.notices.iter().filter(|(number, _)| *number > last);
                missed.for_each(|(_, bytes)| self.out.extend_from_slice(bytes));
            }
            ("launch", Some(id)) => {
                let Some(work) = Work::parse(body) else {
                    self.account.borrow_mut().odd_commands += 1;
                    self.out.extend_from_slice(format!("refusal launch {about}\r\n").as_bytes());
                    return;
                };
                if self.runs.contains_key(&id) {
                    return;
                }
                let life = self.life();
                let mut account = self.account.borrow_mut();
                account.begun(&work, life);
                account.launched_late += u64::from(now > self.grace_over);
                let part_ms = work.work_ms / f64::from(work.calls + 1);
                self.cores.begin(id, part_ms);
                let crowd = self.cores.running() as f64 / (self.shape.crowd * self.shape.cores);
                account.crowd_most = account.crowd_most.max(crowd);
                let run = Run { work, calls_left: work.calls, part_ms, began: now, at_call: false };
                self.runs.insert(id, run);
            }
            ("freeze", Some(id)) => {
                if self.cores.stop(&id) || self.runs.contains_key(&id) {
                    self.over(&id, "interrupted", b"");
                }
            }
            ("deliver", Some(id)) => match self.runs.get_mut(&id).filter(|run| run.at_call) {
                Some(run) => {
                    run.at_call = false;
                    self.cores.begin(id, run.part_ms);
                }
                None => self.account.borrow_mut().odd_commands += 1,
            },
            ("sample", _) => {
                let busy = self.cores.busy_since(now - self.sampled_at);
                self.sampled_at = now;
                let waiting = self.cores.running();
                self.out.extend_from_slice(format!("sampled {about} {busy:.3} {waiting} 0 0\r\n").as_bytes());
            }
            _ => self.account.borrow_mut().odd_commands += 1,
        }
    }
}

impl Agent {
    /// Starts an agent for the backend of this place.
    pub fn start(
        executor: &Executor,
        clock: Clock,
        place: usize,
        shape: Shape,
        account: Shared,
    ) -> std::io::Result<Self> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        let state = Rc::new(RefCell::new(State {
            clock,
            shape,
            place,
            lives: 0,
            account,
            cores: Cores::new(shape, clock.now()),
            runs: BTreeMap::new(),
            notices: VecDeque::new(),
            last_number: 0,
            sampled_at: clock.now(),
            grace_over: f64::INFINITY,
            out: Vec::new(),
            links: 0,
        }));
        let (own, spawn) = (state.clone(), executor.clone());
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.get_ref().set_nodelay(true);
                own.borrow_mut().links += 1;
                let number = own.borrow().links;
                spawn.spawn(link(stream, own.clone(), number)).detach();
            }
        };
        executor.spawn(accept).detach();
        Ok(Agent { address, state })
    }

    /// The backend is told to leave now: launches after its grace are counted.
    pub fn leaves(&self, grace_ms: f64) {
        let mut state = self.state.borrow_mut();
        state.grace_over = state.clock.now() + grace_ms;
    }

    /// Work goes on at this multiple of its speed.
    pub fn pace(&self, pace: f64) {
        let mut state = self.state.borrow_mut();
        state.advance();
        state.cores.pace = pace;
    }

    /// Is this run one that waits for a call?
    pub fn waits_for_call(&self, id: &TryId) -> bool {
        self.state.borrow().runs.get(id).is_some_and(|run| run.at_call)
    }

    /// Processes that have connected.
    pub fn lives(&self) -> u32 {
        self.state.borrow().lives
    }
}

/// One link until it ends or the next one replaces it.
async fn link(stream: Async<TcpStream>, state: Rc<RefCell<State>>, number: u64) {
    let mut bytes: Vec<u8> = Vec::new();
    let mut chunk = vec![0; 64 << 10];
    loop {
        let due = {
            let mut state = state.borrow_mut();
            if state.links != number {
                return;
            }
            state.advance();
            state.cores.next_end().map(|at| state.clock.at(at + 0.05))
        };
        let out = std::mem::take(&mut state.borrow_mut().out);
        if !out.is_empty() && (&stream).write_all(&out).await.is_err() {
            return;
        }
        let read = async { Some((&mut &stream).read(&mut chunk).await) };
        let late = async {
            match due {
                Some(at) => Timer::at(at).await,
                None => future::pending().await,
            };
            None
        };
        match future::or(read, late).await {
            None => continue,
            Some(Ok(count)) if count > 0 => bytes.extend_from_slice(&chunk[..count]),
            Some(_) => return,
        }
        if state.borrow().links != number {
            return;
        }
        let mut used = 0;
        while let Some((line, body, length)) = take(&bytes[used..]) {
            state.borrow_mut().command(&line, &body);
            used += length;
        }
        bytes.drain(..used);
    }
}

/// The first whole command with its body, and the bytes it takes.
pub(crate) fn take(bytes: &[u8]) -> Option<(String, Vec<u8>, usize)> {
    let end = bytes.windows(2).position(|pair| pair == b"\r\n")?;
    let line = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let with_body = ["launch ", "deliver ", "OP "].iter().any(|begin| line.starts_with(begin));
    if !with_body {
        return Some((line, Vec::new(), end + 2));
    }
    let length: usize = line.rsplit(' ').next()?.parse().ok()?;
    let body = bytes.get(end + 2..end + 2 + length)?.to_vec();
    (bytes.len() >= end + length + 4).then_some((line, body, end + length + 4))
}
