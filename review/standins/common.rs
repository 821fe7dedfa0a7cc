//! Small stand-ins on loopback that the cases share: agent, registry, caller, a path between two processes, and the
//! start of the project's programs with the commands of the deploy file. Standard library only.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---- the record ------------------------------------------------------------------------------------------

/// `record.txt`: a line an event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

/// A case that has not ended by then could not run: status 2.
const LONGEST_MS: u64 = 110_000;

impl Record {
    /// Begins the record, and ends the case if it takes too long.
    pub fn create(path: &Path) -> Record {
        let record =
            Record { file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))), start: Instant::now() };
        let late = record.clone();
        thread::spawn(move || {
            sleep_ms(LONGEST_MS);
            late.line("the case took too long: it could not run");
            std::process::exit(2);
        });
        record
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

// ---- addresses -------------------------------------------------------------------------------------------

static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

/// A free loopback address for a program of the project. Its port is below those that the system gives to connections,
/// so that none of them takes it before the program listens.
pub fn free_address() -> SocketAddr {
    loop {
        let step = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let first = u64::from(std::process::id()) * 131 + unix_ms() as u64 / 1000;
        let port = 12_000 + (first + step) % 18_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().unwrap();
        }
    }
}

// ---- programs of the project -----------------------------------------------------------------------------

/// The value of a key of `deploy/balancer.toml`.
pub fn deploy_command(key: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("run from the root of the repository");
    let line = text.lines().find(|line| line.starts_with(key)).expect("the key is in the deploy file");
    line.split('"').nth(1).unwrap().to_string()
}

extern "C" {
    fn prctl(option: i32, signal: u64) -> i32;
}

/// Has the system kill this process once the one that started it has ended (PR_SET_PDEATHSIG, SIGKILL).
fn end_with_parent() -> std::io::Result<()> {
    unsafe { prctl(1, 9) };
    Ok(())
}

/// A process that the case started. It is killed when it is dropped, and when the case ends in any other way.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    /// Starts a command as the deploy page says: `/bin/sh -c` from the root.
    pub fn start(name: &str, command: &str, environment: &[(&str, &Path)], log: &Path) -> Process {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let mut start = Command::new("/bin/sh");
        start.arg("-c").arg(command).stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        for (key, value) in environment {
            start.env(key, value);
        }
        unsafe { start.pre_exec(end_with_parent) };
        Process { name: name.to_string(), child: start.spawn().expect("/bin/sh starts") }
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{signal} {}", self.child.id())).status();
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
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

/// A folder for the files of one run, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms() as u64));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

// ---- registry --------------------------------------------------------------------------------------------

/// A registry that takes reports and answers none, as the protocol page says.
pub fn start_registry() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    thread::spawn(move || {
        let mut bytes = [0; 256];
        while socket.recv(&mut bytes).is_ok() {}
    });
    address
}

// ---- agent -----------------------------------------------------------------------------------------------

/// A run that an agent started.
#[derive(Clone, Debug)]
pub struct Launch {
    pub at_ms: u64,
    pub agent: String,
    pub id: String,
    pub body: String,
}

pub type Launches = Arc<Mutex<Vec<Launch>>>;

#[derive(Default)]
struct AgentState {
    notices: Vec<(u64, Vec<u8>)>,
    last_notice: u64,
    running: HashMap<String, Instant>,
    link: Option<TcpStream>,
    link_number: u64,
}

impl AgentState {
    fn write(&mut self, bytes: &[u8]) {
        if let Some(link) = self.link.as_mut() {
            let _ = link.write_all(bytes);
        }
    }

    fn notice(&mut self, head: impl FnOnce(u64) -> String, body: &[u8]) {
        self.last_notice += 1;
        let mut bytes = head(self.last_notice).into_bytes();
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(b"\r\n");
        self.notices.push((self.last_notice, bytes.clone()));
        self.write(&bytes);
    }
}

/// How slow an agent's cores are, in percent of the usual time.
pub type Slowness = Arc<AtomicU64>;

pub fn usual_speed() -> Slowness {
    Arc::new(AtomicU64::new(100))
}

/// Starts an agent. A body may name the length of its run: `...;ms=40;...`; a run succeeds with a result that names
/// the agent, the run's number and the body.
pub fn start_agent(name: &str, launches: Launches, slowness: Slowness, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let state = Arc::new(Mutex::new(AgentState::default()));
    let name = name.to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (state, launches, record) = (state.clone(), launches.clone(), record.clone());
            let (name, slowness) = (name.clone(), slowness.clone());
            thread::spawn(move || {
                let _ = agent_link(stream, &name, &state, &launches, &slowness, &record);
            });
        }
    });
    address
}

static RUNS: AtomicU64 = AtomicU64::new(0);

fn agent_link(
    stream: TcpStream,
    name: &str,
    state: &Arc<Mutex<AgentState>>,
    launches: &Launches,
    slowness: &Slowness,
    record: &Record,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut own_number = 0;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["subscribe", known] => {
                let known: u64 = known.parse().unwrap_or(0);
                let mut state = state.lock().unwrap();
                if known == 0 {
                    // A new start of the backend: notices are numbered anew, its runs are gone.
                    (state.notices, state.last_notice) = (Vec::new(), 0);
                    state.running.clear();
                }
                if let Some(old) = state.link.replace(stream.try_clone()?) {
                    let _ = old.shutdown(Shutdown::Both);
                }
                state.link_number += 1;
                own_number = state.link_number;
                let mut bytes = b"greeting steady 60000\r\n".to_vec();
                for (number, notice) in &state.notices {
                    if *number > known {
                        bytes.extend_from_slice(notice);
                    }
                }
                state.write(&bytes);
            }
            ["launch", id, _, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                reader.read_exact(&mut body)?;
                body.truncate(body.len() - 2);
                let body = String::from_utf8_lossy(&body).into_owned();
                launch(name, id, body, state, launches, slowness, record);
            }
            ["deliver", _, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                reader.read_exact(&mut body)?;
            }
            ["freeze", id] => {
                let mut state = state.lock().unwrap();
                if let Some(since) = state.running.remove(id) {
                    let ms = since.elapsed().as_millis();
                    let id = id.to_string();
                    state.notice(|number| format!("outcome {number} {id} interrupted {ms} 0\r\n"), b"");
                }
            }
            ["sample", tag] => {
                let mut state = state.lock().unwrap();
                let running = state.running.len();
                if state.link_number == own_number {
                    let line = format!("sampled {tag} 0.2 {running} 0.1 8\r\n");
                    state.write(line.as_bytes());
                }
            }
            _ => return Ok(()),
        }
    }
}

fn launch(
    name: &str,
    id: &str,
    body: String,
    state: &Arc<Mutex<AgentState>>,
    launches: &Launches,
    slowness: &Slowness,
    record: &Record,
) {
    if state.lock().unwrap().running.insert(id.to_string(), Instant::now()).is_some() {
        return;
    }
    let run = RUNS.fetch_add(1, Ordering::SeqCst) + 1;
    record.line(&format!("agent {name}: run {run} of attempt {id} begins, body {body:?}"));
    launches.lock().unwrap().push(Launch {
        at_ms: record.ms(),
        agent: name.to_string(),
        id: id.to_string(),
        body: body.clone(),
    });
    let ms: u64 = body.split(';').find_map(|part| part.strip_prefix("ms=")).map_or(20, |ms| ms.parse().unwrap());
    let ms = ms * slowness.load(Ordering::SeqCst) / 100;
    let (state, id, name, record) = (state.clone(), id.to_string(), name.to_string(), record.clone());
    thread::spawn(move || {
        sleep_ms(ms);
        let mut state = state.lock().unwrap();
        if state.running.remove(&id).is_none() {
            return;
        }
        let result = format!("run {run} at {name} of {body}");
        record.line(&format!("agent {name}: run {run} of attempt {id} succeeded"));
        state.notice(|number| format!("outcome {number} {id} success {ms} {}\r\n", result.len()), result.as_bytes());
    });
}

// ---- caller ----------------------------------------------------------------------------------------------

/// How an attempt ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    /// `Overloaded`: this try never ran.
    Refused,
    /// `Internal` or an application exception.
    Failed,
    /// The connection ended, or no answer came in time.
    None,
}

/// One request as a caller sends it.
#[derive(Clone)]
pub struct Request<'a> {
    pub class: &'a str,
    pub key: Option<&'a str>,
    pub body: &'a str,
    pub within_ms: u64,
}

static ATTEMPTS: AtomicU64 = AtomicU64::new(0);

/// A new attempt's id: 16 hex digits.
pub fn attempt_id() -> String {
    let number = ATTEMPTS.fetch_add(1, Ordering::SeqCst) + 1;
    format!("{:08x}{:08x}", std::process::id(), number)
}

fn put_text(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as i32).to_be_bytes());
    out.extend_from_slice(text);
}

fn message(kind: u8, method: &str, seqid: i32, content: &[u8]) -> Vec<u8> {
    let mut payload = (0x8001_0000u32 | u32::from(kind)).to_be_bytes().to_vec();
    put_text(&mut payload, method.as_bytes());
    payload.extend(seqid.to_be_bytes());
    payload.extend_from_slice(content);
    let mut frame = (payload.len() as i32).to_be_bytes().to_vec();
    frame.extend(payload);
    frame
}

/// The frame of a `dispatch`.
pub fn dispatch(seqid: i32, id: &str, request: &Request<'_>) -> Vec<u8> {
    let (sent, within) = (format!("{}", unix_ms() as u64), format!("{}", request.within_ms));
    let mut fields: Vec<(&str, &str)> = vec![
        ("c", request.class),
        ("i", id),
        ("s", &sent),
        ("f", "1"),
        ("d", &within),
        ("m", "20.0"),
        ("p", "0.5000"),
    ];
    fields.extend(request.key.map(|key| ("k", key)));
    let mut content = vec![13, 0, 1, 11, 11];
    content.extend((fields.len() as i32).to_be_bytes());
    for (name, value) in fields {
        put_text(&mut content, name.as_bytes());
        put_text(&mut content, value.as_bytes());
    }
    content.extend([11, 0, 2]);
    put_text(&mut content, request.body.as_bytes());
    content.push(0);
    message(1, "dispatch", seqid, &content)
}

fn alive(seqid: i32) -> Vec<u8> {
    message(1, "alive", seqid, &[2, 0, 1, 1, 0])
}

/// A reader of the few values that a backend's messages hold.
struct Values<'a>(&'a [u8]);

impl<'a> Values<'a> {
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
}

/// Reads a backend's message: its number and what it says, or `None` for a oneway message.
fn read_answer(frame: &[u8]) -> Option<(i32, Answer)> {
    let mut values = Values(frame);
    let kind = values.i32()? & 0xff;
    values.text()?;
    let seqid = values.i32()?;
    match kind {
        2 => {
            // The result struct: field 0 is an `Answer`, 1 `Overloaded`, 2 `Internal`.
            values.take(1)?;
            let field = i16::from_be_bytes(values.take(2)?.try_into().ok()?);
            match field {
                0 => {
                    values.take(3)?;
                    let result = values.text()?;
                    Some((seqid, Answer::Served(String::from_utf8_lossy(result).into_owned())))
                }
                1 => Some((seqid, Answer::Refused)),
                _ => Some((seqid, Answer::Failed)),
            }
        }
        3 => Some((seqid, Answer::Failed)),
        _ => None,
    }
}

type Waiting = Arc<Mutex<Option<BTreeMap<i32, Sender<Answer>>>>>;

/// A connection to one backend with a reader of its own, as a sidecar holds it.
pub struct Connection {
    stream: Mutex<TcpStream>,
    waiting: Waiting,
    next: AtomicU64,
    pub closing: Arc<AtomicBool>,
}

impl Connection {
    pub fn open(to: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_millis(1000)).ok()?;
        stream.set_nodelay(true).ok()?;
        let waiting: Waiting = Arc::new(Mutex::new(Some(BTreeMap::new())));
        let closing = Arc::new(AtomicBool::new(false));
        let (mut input, answers, is_closing) = (stream.try_clone().ok()?, waiting.clone(), closing.clone());
        thread::spawn(move || {
            loop {
                let mut length = [0; 4];
                if input.read_exact(&mut length).is_err() {
                    break;
                }
                let mut frame = vec![0; i32::from_be_bytes(length).max(0) as usize];
                if input.read_exact(&mut frame).is_err() {
                    break;
                }
                match read_answer(&frame) {
                    Some((seqid, answer)) => {
                        let sender = answers.lock().unwrap().as_mut().and_then(|open| open.remove(&seqid));
                        sender.map(|sender| sender.send(answer));
                    }
                    None => is_closing.store(true, Ordering::SeqCst),
                }
            }
            // All that is open has no answer any more.
            is_closing.store(true, Ordering::SeqCst);
            answers.lock().unwrap().take();
        });
        Some(Connection { stream: Mutex::new(stream), waiting, next: AtomicU64::new(0), closing })
    }

    fn send(&self, frame: impl FnOnce(i32) -> Vec<u8>) -> Receiver<Answer> {
        let (sender, receiver) = channel();
        let mut stream = self.stream.lock().unwrap();
        let seqid = self.next.fetch_add(1, Ordering::SeqCst) as i32 + 1;
        if let Some(open) = self.waiting.lock().unwrap().as_mut() {
            open.insert(seqid, sender);
        }
        let _ = stream.write_all(&frame(seqid));
        receiver
    }

    /// Sends a request and waits for its answer for as long as the request says, and a little longer.
    pub fn ask(&self, id: &str, request: &Request<'_>) -> Answer {
        let answer = self.send(|seqid| dispatch(seqid, id, request));
        answer.recv_timeout(Duration::from_millis(request.within_ms + 100)).unwrap_or(Answer::None)
    }

    pub fn is_alive(&self) -> bool {
        let answer = self.send(alive);
        matches!(answer.recv_timeout(Duration::from_millis(1000)), Ok(Answer::Served(_)))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let _ = self.stream.lock().unwrap().shutdown(Shutdown::Both);
    }
}

// ---- paths -----------------------------------------------------------------------------------------------

/// A path to a listener on which nothing passes while it is cut.
#[derive(Clone)]
pub struct PathTo {
    pub address: SocketAddr,
}

/// Starts a path. While `cut` is set, nothing is forwarded in either direction and connection attempts reach nobody.
pub fn start_path(to: SocketAddr, cut: Arc<AtomicBool>) -> PathTo {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let cut = cut.clone();
            thread::spawn(move || {
                wait_until_healed(&cut);
                let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_millis(1000)) else { return };
                let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { return };
                let other = cut.clone();
                thread::spawn(move || forward(near2, far2, &other));
                forward(far, near, &cut);
            });
        }
    });
    PathTo { address }
}

fn wait_until_healed(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        sleep_ms(2);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let _ = to.set_nodelay(true);
    let mut bytes = [0; 16 << 10];
    loop {
        let count = from.read(&mut bytes).unwrap_or(0);
        wait_until_healed(cut);
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

// ---- the end ---------------------------------------------------------------------------------------------

/// Whether the disruption is left out: `TROUBLE=0`.
pub fn without_trouble() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// Waits until a condition holds, or returns false after the time.
pub fn wait_for(ms: u64, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_millis(ms);
    while Instant::now() < end {
        if holds() {
            return true;
        }
        sleep_ms(50);
    }
    false
}
