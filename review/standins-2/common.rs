//! What the cases of review 2 share: the clock, the record, processes of the project, and small stand-ins on loopback for
//! the agent, the registry and the clients, written after PROTOCOL.md and DEPLOY.md. Standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// A case ends within 120 s; a little is left for run.sh.
const MOST_MS: f64 = 116_000.0;

/// Unix time in milliseconds.
pub fn unix_ms() -> f64 {
    SystemTime::UNIX_EPOCH.elapsed().map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

pub fn sleep_ms(ms: f64) {
    if ms > 0.0 {
        thread::sleep(Duration::from_secs_f64(ms / 1000.0));
    }
}

/// Whether the disruption is played: off with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Stops the program with the status of a case that could not run.
pub fn cannot_run(message: &str) -> ! {
    eprintln!("could not run: {message}");
    std::process::exit(COULD_NOT_RUN);
}

/// Small generator of pseudo-random numbers (xorshift), for ids and pauses.
pub struct Draw(u64);

impl Draw {
    pub fn new(seed: u64) -> Self {
        Draw(seed | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// An id of 16 hex digits that no other try of this run has.
pub fn new_id() -> String {
    let number = LAST_ID.fetch_add(1, Ordering::Relaxed);
    let start = u64::from(std::process::id()) << 40;
    format!("{:016x}", start + number)
}

// ---- record --------------------------------------------------------------------------------------------------------

/// `record.txt`: what was sent, answered and run, a line each, with the milliseconds since the start.
#[derive(Clone)]
pub struct Log(Arc<Mutex<File>>, f64);

impl Log {
    /// Also starts the watch over the time that a case may take.
    pub fn create(path: &str) -> Self {
        // SAFETY: a plain system call. All processes that are started from here on belong to a group of their own, which
        // run.sh ends.
        unsafe { setpgid(0, 0) };
        thread::spawn(|| {
            sleep_ms(MOST_MS);
            cannot_run("it took too long");
        });
        match File::create(path) {
            Ok(file) => Log(Arc::new(Mutex::new(file)), unix_ms()),
            Err(error) => cannot_run(&format!("{path}: {error}")),
        }
    }
    pub fn line(&self, text: &str) {
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{:9.1} {text}", unix_ms() - self.1);
    }
    /// Also prints the line.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

// ---- processes -----------------------------------------------------------------------------------------------------

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setpgid(pid: i32, group: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// A process that this case started; it is killed when dropped.
pub struct Process {
    child: Child,
    pub log: PathBuf,
}

impl Process {
    /// Starts a command by `/bin/sh -c` from the root of the repository, as the deploy page says.
    pub fn start(command: &str, env: &[(&str, String)], log: &Path) -> Self {
        let out = std::fs::OpenOptions::new().create(true).append(true).open(log);
        let Ok(out) = out else { cannot_run("the folder for logs") };
        let err = out.try_clone().unwrap();
        let mut shell = Command::new("/bin/sh");
        shell.arg("-c").arg(command).stdin(Stdio::null()).stdout(out).stderr(err);
        for (key, value) in env {
            shell.env(key, value);
        }
        match shell.spawn() {
            Ok(child) => Process { child, log: log.to_path_buf() },
            Err(error) => cannot_run(&format!("{command}: {error}")),
        }
    }
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
    pub fn signal(&self, signal: i32) {
        // SAFETY: a plain system call on the id of a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
    pub fn wait_ended(&mut self, within_ms: f64) -> bool {
        let until = unix_ms() + within_ms;
        while unix_ms() < until {
            if self.has_ended() {
                return true;
            }
            sleep_ms(5.0);
        }
        false
    }
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The command that starts a backend: `run` of deploy/balancer.toml, handed over by run.sh.
pub fn run_command() -> String {
    std::env::var("RUN_COMMAND").unwrap_or_else(|_| cannot_run("RUN_COMMAND is not set"))
}

/// The temporary folder, which run.sh makes and removes.
pub fn folder() -> PathBuf {
    std::env::var("CASE_TMP").map(PathBuf::from).unwrap_or_else(|_| cannot_run("CASE_TMP is not set"))
}

/// A free address on loopback. Its host is one that no outgoing connection uses, so no other socket takes the port.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let process = std::process::id();
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let host = [127, 80 + (process >> 16 & 31) as u8, (process >> 8) as u8, (process as u8).max(1)];
        let port = 11_000 + ((u64::from(process) * 37 + number) % 40_000) as u16;
        let address = SocketAddr::from((host, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Binds a UDP socket that takes reports and gives no answer, as the registry's.
pub fn start_registry() -> SocketAddr {
    let address = free_address();
    let Ok(socket) = UdpSocket::bind(address) else { cannot_run("the registry's socket") };
    thread::spawn(move || {
        let mut bytes = [0; 512];
        while socket.recv(&mut bytes).is_ok() {}
    });
    address
}

// ---- how slow the machine is -----------------------------------------------------------------------------------------

/// How late the end of a sleep may be where a time is kept by a sleep.
const MOST_LATE_MS: f64 = 5.0;

/// For how long all threads of a process have waited for a core so far, in milliseconds; `None` if the system does not tell.
pub fn waited_for_core_ms(pid: u32) -> Option<f64> {
    let mut nanoseconds = 0.0;
    let mut threads = 0;
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
        // A thread that has ended meanwhile has no file any more.
        let Ok(text) = std::fs::read_to_string(task.path().join("schedstat")) else { continue };
        nanoseconds += text.split_whitespace().nth(1)?.parse::<f64>().ok()?;
        threads += 1;
    }
    (threads > 0).then_some(nanoseconds / 1e6)
}

/// The same for this program and several backends together. Exits with 2 if the system does not tell.
pub fn waited_in_all_ms(pids: &[u32]) -> f64 {
    let own = std::process::id();
    let all = pids.iter().chain([&own]).map(|pid| waited_for_core_ms(*pid));
    all.sum::<Option<f64>>().unwrap_or_else(|| cannot_run("the system does not tell how long processes wait for a core"))
}

// ---- agent ---------------------------------------------------------------------------------------------------------

/// A run that began at the agent.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub class: String,
    pub body: String,
    pub at_ms: f64,
    pub process: u32,
}

struct Running {
    started_ms: f64,
    ends_ms: f64,
    body: String,
}

#[derive(Default)]
struct AgentState {
    process: u32,
    started_ms: f64,
    notices: VecDeque<(u64, Vec<u8>)>,
    last_notice: u64,
    running: HashMap<String, Running>,
    over: HashMap<String, ()>,
    runs: Vec<Run>,
    /// Commands that come from this time on are held back until the link is cut.
    lose_from_ms: f64,
    /// Commands held back, with the time at which each was read.
    held: Vec<(f64, String, Vec<u8>)>,
    lost_commands: u64,
    link: Option<(u64, TcpStream)>,
    links: u64,
    /// How long a run of a class takes.
    run_ms: BTreeMap<String, f64>,
    cores: f64,
    log: Option<Log>,
}

/// The agent of one backend: runs requests, each for the time of its class, and reports their ends in numbered notices.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    pub name: String,
    state: Arc<Mutex<AgentState>>,
}

impl Agent {
    pub fn start(name: &str, cores: f64, run_ms: &[(&str, f64)], log: &Log) -> Self {
        let address = free_address();
        let Ok(listener) = TcpListener::bind(address) else { cannot_run("the agent's listener") };
        let run_ms = run_ms.iter().map(|(class, ms)| (class.to_string(), *ms)).collect();
        let state = AgentState {
            started_ms: unix_ms(),
            lose_from_ms: f64::INFINITY,
            run_ms,
            cores,
            log: Some(log.clone()),
            ..AgentState::default()
        };
        let agent = Agent { address, name: name.into(), state: Arc::new(Mutex::new(state)) };
        let accepting = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let mut state = accepting.state.lock().unwrap();
                state.links += 1;
                let number = state.links;
                // A new link replaces the previous one.
                if let Some((_, old)) = state.link.take() {
                    let _ = old.shutdown(Shutdown::Both);
                }
                drop(state);
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(number, stream));
            }
        });
        let ticking = agent.clone();
        thread::spawn(move || loop {
            sleep_ms(1.0);
            ticking.tick();
        });
        agent
    }

    /// A new process of the backend: the runs of the one before are over, and notices are numbered anew.
    pub fn new_process(&self) {
        let mut state = self.state.lock().unwrap();
        state.process += 1;
        state.started_ms = unix_ms();
        state.notices.clear();
        state.last_notice = 0;
        state.running.clear();
        state.over.clear();
        if let Some((_, link)) = state.link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
    }

    /// Breaks the link `lost_ms` from now. Commands that come in this time are held back; those of the last `lost_ms` before the
    /// break are lost with it, the others are carried out. On a machine that is late nothing is lost: a command may then have been
    /// written before it was read.
    pub fn break_link(&self, lost_ms: f64) {
        let began = unix_ms();
        let waited = waited_for_core_ms(std::process::id()).unwrap_or(f64::MAX);
        self.state.lock().unwrap().lose_from_ms = began;
        sleep_ms(lost_ms);
        let waited = waited_for_core_ms(std::process::id()).unwrap_or(f64::MAX) - waited;
        let mut state = self.state.lock().unwrap();
        let now = unix_ms();
        let is_late = now - began > lost_ms + MOST_LATE_MS || waited.abs() > MOST_LATE_MS;
        state.lose_from_ms = f64::INFINITY;
        let held = std::mem::take(&mut state.held);
        let link = state.link.take();
        if let Some((number, stream)) = &link {
            state.link = stream.try_clone().ok().map(|stream| (*number, stream));
            for (at_ms, line, body) in held {
                if is_late || now - at_ms > lost_ms {
                    state.command(&self.name, &line, &body, stream, *number);
                } else {
                    state.lost_commands += 1;
                    if let Some(log) = state.log.as_ref().filter(|_| !line.starts_with("sample")) {
                        log.line(&format!("agent {}: lost with the link: {line}", self.name));
                    }
                }
            }
        }
        state.link = None;
        if let Some((_, link)) = link {
            let _ = link.shutdown(Shutdown::Both);
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }
    pub fn running(&self) -> usize {
        self.state.lock().unwrap().running.len()
    }
    pub fn lost_commands(&self) -> u64 {
        self.state.lock().unwrap().lost_commands
    }

    fn tick(&self) {
        let now = unix_ms();
        let mut state = self.state.lock().unwrap();
        let ended: Vec<String> =
            state.running.iter().filter(|(_, run)| run.ends_ms <= now).map(|(id, _)| id.clone()).collect();
        for id in ended {
            state.end(&self.name, &id, "success", now);
        }
    }

    fn serve(&self, number: u64, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        let mut chunk = [0; 16 << 10];
        loop {
            let count = stream.read(&mut chunk).unwrap_or(0);
            if count == 0 {
                return;
            }
            bytes.extend_from_slice(&chunk[..count]);
            while let Some((line, body, used)) = first_line(&bytes) {
                bytes.drain(..used);
                let mut state = self.state.lock().unwrap();
                if number != state.links {
                    return;
                }
                if !state.command(&self.name, &line, &body, &stream, number) {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }
}

/// The first command with its body, and its length in bytes.
fn first_line(bytes: &[u8]) -> Option<(String, Vec<u8>, usize)> {
    let end = bytes.windows(2).position(|pair| pair == b"\r\n")?;
    let line = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let has_body = line.starts_with("launch ") || line.starts_with("deliver ");
    if !has_body {
        return Some((line, Vec::new(), end + 2));
    }
    let length: usize = line.rsplit(' ').next()?.parse().ok()?;
    let body = bytes.get(end + 2..end + 2 + length)?.to_vec();
    bytes.get(..end + 4 + length)?;
    Some((line, body, end + 4 + length))
}

impl AgentState {
    fn write(&mut self, bytes: &[u8]) {
        if let Some((_, link)) = &self.link {
            let _ = (&mut &*link).write_all(bytes);
        }
    }

    fn notice(&mut self, head: &str, tail: &str, body: &[u8]) {
        self.last_notice += 1;
        let mut bytes = format!("{head} {} {tail} {}\r\n", self.last_notice, body.len()).into_bytes();
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(b"\r\n");
        self.notices.push_back((self.last_notice, bytes.clone()));
        if self.notices.len() > 4000 {
            self.notices.pop_front();
        }
        self.write(&bytes);
    }

    fn end(&mut self, name: &str, id: &str, how: &str, now: f64) {
        let Some(run) = self.running.remove(id) else { return };
        self.over.insert(id.into(), ());
        let result = if how == "success" { format!("done:{}", run.body) } else { String::new() };
        if let Some(log) = &self.log {
            log.line(&format!("agent {name}: run {id} ended: {how}"));
        }
        let took = now - run.started_ms;
        self.notice("outcome", &format!("{id} {how} {took:.3}"), result.as_bytes());
    }

    /// Carries a command out. Returns false if the link has to be closed.
    fn command(&mut self, name: &str, line: &str, body: &[u8], stream: &TcpStream, number: u64) -> bool {
        let now = unix_ms();
        let words: Vec<&str> = line.split(' ').collect();
        if words[0] == "subscribe" {
            let known: u64 = words.get(1).and_then(|word| word.parse().ok()).unwrap_or(0);
            let Ok(link) = stream.try_clone() else { return false };
            self.link = Some((number, link));
            let up_ms = now - self.started_ms;
            self.write(format!("greeting steady {up_ms:.0}\r\n").as_bytes());
            let missed: Vec<Vec<u8>> =
                self.notices.iter().filter(|(number, _)| *number > known).map(|(_, bytes)| bytes.clone()).collect();
            missed.iter().for_each(|bytes| self.write(bytes));
            return true;
        }
        if now >= self.lose_from_ms {
            self.held.push((now, line.into(), body.to_vec()));
            return true;
        }
        match (words[0], words.get(1)) {
            ("launch", Some(id)) => {
                if self.over.contains_key(*id) {
                    self.notice("outcome", &format!("{id} nothing 0"), b"");
                } else if !self.running.contains_key(*id) {
                    let class = words.get(2).unwrap_or(&"").to_string();
                    let body = String::from_utf8_lossy(body).into_owned();
                    let run_ms = self.run_ms.get(&class).copied().unwrap_or(50.0);
                    if let Some(log) = &self.log {
                        log.line(&format!("agent {name}: run {id} of {class} begins, body {body}"));
                    }
                    let process = self.process;
                    let run = Running { started_ms: now, ends_ms: now + run_ms, body: body.clone() };
                    self.running.insert(id.to_string(), run);
                    self.runs.push(Run { id: id.to_string(), class, body, at_ms: now, process });
                }
                true
            }
            ("freeze", Some(id)) => {
                self.end(name, id, "interrupted", now);
                true
            }
            ("deliver", Some(_)) => true,
            ("sample", Some(tag)) => {
                let running = self.running.len() as f64;
                let busy = (running / self.cores).min(1.0);
                self.write(format!("sampled {tag} {busy:.3} {running:.0} 0.1 4\r\n").as_bytes());
                true
            }
            _ => false,
        }
    }
}

// ---- clients -------------------------------------------------------------------------------------------------------

/// One try of a request, with the fields of the protocol page.
#[derive(Clone, Debug)]
pub struct Try {
    pub id: String,
    pub class: String,
    pub tenant: String,
    pub wait_ms: f64,
    pub rank: f64,
    pub key: Option<String>,
    pub body: String,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    /// `Overloaded`: this try never ran.
    Refused,
    /// `Internal` or an application exception.
    Failed(String),
    Health(bool),
    /// The connection ended without a whole answer.
    Ended,
}

fn text(out: &mut Vec<u8>, text: &[u8]) {
    out.extend_from_slice(&(text.len() as i32).to_be_bytes());
    out.extend_from_slice(text);
}

fn header(kind: u8, method: &str, seqid: i32) -> Vec<u8> {
    let mut out = Vec::new();
    out.extend_from_slice(&(0x8001_0000u32 | u32::from(kind)).to_be_bytes());
    text(&mut out, method.as_bytes());
    out.extend_from_slice(&seqid.to_be_bytes());
    out
}

fn framed(bytes: Vec<u8>) -> Vec<u8> {
    let mut out = (bytes.len() as i32).to_be_bytes().to_vec();
    out.extend(bytes);
    out
}

pub fn dispatch_frame(seqid: i32, request: &Try) -> Vec<u8> {
    let mut fields: Vec<(&str, String)> = vec![
        ("c", request.class.clone()),
        ("i", request.id.clone()),
        ("s", format!("{}", unix_ms() as u64)),
        ("f", "1".into()),
        ("d", format!("{}", request.wait_ms as u64)),
        ("m", "12.0".into()),
        ("p", format!("{:.4}", request.rank)),
    ];
    if !request.tenant.is_empty() {
        fields.push(("t", request.tenant.clone()));
    }
    if let Some(key) = &request.key {
        fields.push(("k", key.clone()));
    }
    let mut out = header(1, "dispatch", seqid);
    out.extend_from_slice(&[13, 0, 1, 11, 11]);
    out.extend_from_slice(&(fields.len() as i32).to_be_bytes());
    for (name, value) in &fields {
        text(&mut out, name.as_bytes());
        text(&mut out, value.as_bytes());
    }
    out.extend_from_slice(&[11, 0, 2]);
    text(&mut out, request.body.as_bytes());
    out.push(0);
    framed(out)
}

pub fn alive_frame(seqid: i32) -> Vec<u8> {
    let mut out = header(1, "alive", seqid);
    out.extend_from_slice(&[2, 0, 1, 1, 0]);
    framed(out)
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }
    fn i32(&mut self) -> Option<i32> {
        Some(i32::from_be_bytes(self.take(4)?.try_into().ok()?))
    }
    fn text(&mut self) -> Option<&'a [u8]> {
        let length = self.i32()?;
        self.take(usize::try_from(length).ok()?)
    }
    fn field(&mut self) -> Option<(u8, i16)> {
        let kind = self.take(1)?[0];
        if kind == 0 {
            return None;
        }
        Some((kind, i16::from_be_bytes(self.take(2)?.try_into().ok()?)))
    }
    fn skip(&mut self, kind: u8) -> Option<()> {
        match kind {
            2 | 3 => drop(self.take(1)?),
            6 => drop(self.take(2)?),
            8 => drop(self.take(4)?),
            4 | 10 => drop(self.take(8)?),
            11 => drop(self.text()?),
            12 => {
                while let Some((kind, _)) = self.field() {
                    self.skip(kind)?;
                }
            }
            13 => {
                let kinds = self.take(2)?;
                for _ in 0..self.i32()? {
                    self.skip(kinds[0])?;
                    self.skip(kinds[1])?;
                }
            }
            _ => return None,
        }
        Some(())
    }
}

/// A message of a backend: `None` for `closing` and others that answer nothing.
pub fn decode_answer(frame: &[u8]) -> Option<(i32, Answer)> {
    let mut reader = Reader(frame);
    let kind = reader.i32()? as u32 & 0xff;
    let method = String::from_utf8_lossy(reader.text()?).into_owned();
    let seqid = reader.i32()?;
    if kind == 3 {
        let mut why = String::new();
        while let Some((kind, number)) = reader.field() {
            if (kind, number) == (11, 1) {
                why = String::from_utf8_lossy(reader.text()?).into_owned();
            } else {
                reader.skip(kind)?;
            }
        }
        return Some((seqid, Answer::Failed(format!("exception: {why}"))));
    }
    if kind != 2 {
        return None;
    }
    let (_, number) = reader.field()?;
    match number {
        0 => {
            let (mut body, mut good) = (String::new(), false);
            while let Some((kind, number)) = reader.field() {
                match (kind, number) {
                    (11, 1) => body = String::from_utf8_lossy(reader.text()?).into_owned(),
                    (2, 3) => good = reader.take(1)?[0] != 0,
                    _ => reader.skip(kind)?,
                }
            }
            let answer = if method == "alive" { Answer::Health(good) } else { Answer::Served(body) };
            Some((seqid, answer))
        }
        1 => Some((seqid, Answer::Refused)),
        _ => Some((seqid, Answer::Failed("internal".into()))),
    }
}

/// A client's connection: tries are written, and answers come back on a channel.
pub struct Connection {
    stream: TcpStream,
    next: i32,
    pub answers: mpsc::Receiver<(i32, Answer)>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
        let _ = stream.set_nodelay(true);
        let mut reading = stream.try_clone().ok()?;
        let (sender, answers) = mpsc::channel();
        thread::spawn(move || {
            let mut bytes = Vec::new();
            let mut chunk = [0; 16 << 10];
            loop {
                let count = reading.read(&mut chunk).unwrap_or(0);
                if count == 0 {
                    let _ = sender.send((0, Answer::Ended));
                    return;
                }
                bytes.extend_from_slice(&chunk[..count]);
                while bytes.len() >= 4 {
                    let length = i32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
                    if bytes.len() < 4 + length {
                        break;
                    }
                    if let Some(answer) = decode_answer(&bytes[4..4 + length]) {
                        if sender.send(answer).is_err() {
                            return;
                        }
                    }
                    bytes.drain(..4 + length);
                }
            }
        });
        Some(Connection { stream, next: 0, answers })
    }

    /// Writes a try and returns its number on this connection.
    pub fn send(&mut self, request: &Try) -> Option<i32> {
        self.next += 1;
        self.stream.write_all(&dispatch_frame(self.next, request)).ok()?;
        Some(self.next)
    }

    /// Waits for the answer to a try, passing over others.
    pub fn wait(&self, number: i32, within_ms: f64) -> Option<Answer> {
        let until = Instant::now() + Duration::from_secs_f64(within_ms / 1000.0);
        loop {
            let left = until.checked_duration_since(Instant::now())?;
            match self.answers.recv_timeout(left).ok()? {
                (seqid, answer) if seqid == number => return Some(answer),
                (_, Answer::Ended) => return Some(Answer::Ended),
                _ => {}
            }
        }
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Whether a backend answers a health check well.
pub fn is_healthy(address: SocketAddr) -> bool {
    let Some(mut connection) = Connection::open(address) else { return false };
    let sent = connection.stream.write_all(&alive_frame(1)).is_ok();
    let good = sent && connection.wait(1, 300.0) == Some(Answer::Health(true));
    connection.close();
    good
}

/// Sends one try on a connection of its own.
pub fn ask(address: SocketAddr, request: &Try) -> Answer {
    let Some(mut connection) = Connection::open(address) else { return Answer::Ended };
    let Some(number) = connection.send(request) else { return Answer::Ended };
    let answer = connection.wait(number, request.wait_ms + 500.0).unwrap_or(Answer::Ended);
    connection.close();
    answer
}

// ---- backends ------------------------------------------------------------------------------------------------------

/// A backend of the project, with its files.
pub struct Backend {
    pub name: String,
    pub listen: SocketAddr,
    pub agent: Agent,
    pub config: PathBuf,
    pub env: Vec<(&'static str, String)>,
    pub process: Option<Process>,
}

impl Backend {
    /// Writes the configuration. `settings` is the JSON object of the settings.
    pub fn new(name: &str, agent: Agent, registry: SocketAddr, stop_ms: u64, settings: &str) -> Self {
        let listen = free_address();
        let config = folder().join(format!("{name}.json"));
        let agent_address = agent.address;
        let text = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"agent\":\"{agent_address}\",\"registry\":\"{registry}\",\
             \"seed\":\"8c1f30d27a5be964\",\"stop_ms\":{stop_ms},\"limits\":{{\"cores\":1.0,\"memory_mb\":128,\"sockets\":512}},\
             \"settings\":{settings}}}"
        );
        if let Err(error) = std::fs::write(&config, text) {
            cannot_run(&format!("{}: {error}", config.display()));
        }
        Backend { name: name.into(), listen, agent, config, env: Vec::new(), process: None }
    }

    pub fn start(&mut self) {
        self.agent.new_process();
        let mut env = vec![
            ("RELAY_NAME", self.name.clone()),
            ("RELAY_LISTEN", self.listen.to_string()),
            ("RELAY_CONFIG", self.config.display().to_string()),
        ];
        env.extend(self.env.iter().cloned());
        let log = folder().join(format!("{}.log", self.name));
        self.process = Some(Process::start(&run_command(), &env, &log));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(process) = &self.process {
            process.signal(signal);
        }
    }

    /// Kills the process outright.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
    }

    /// Waits until a health check is answered well, 30 s at most.
    pub fn wait_ready(&self) {
        let until = unix_ms() + 30_000.0;
        while unix_ms() < until {
            if is_healthy(self.listen) {
                return;
            }
            sleep_ms(50.0);
        }
        cannot_run(&format!("{} is not ready in 30 s", self.name));
    }
}
