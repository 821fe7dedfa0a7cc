//! What the trial sees from outside: short questions to each member on a link that stays, and what followed from the
//! answers: who still takes a dead one for alive, by when each has an agreed word, and whether all say the same of one number.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use plovershelf_cluster::status::{Answer, Brief, Question, Status};
use plovershelf_cluster::wire::{
    decode, encode_frame as encode, encode_payload as plain, read_frame as unframed, Hello, Wire,
};
use plovershelf_config_distribution::Edit;
use plovershelf_server::config_distribution::admin::{self, AdminRequest, AdminResponse, StatusReport};
use plovershelf_testkit::{Clock, Executor};
use socket2::{Domain, Protocol, Socket, Type};

use super::processes::{Mode, GROUP};

/// How a source says that a change was agreed on; its number follows.
const AGREED: &str = "agreed as number ";
/// After this a change counts as not agreed.
const PROPOSE_MS: f64 = 8000.0;

fn changes(ask: &AdminRequest) -> Question {
    Question::Part { part: admin::KEY.into(), bytes: plain(ask) }
}

/// Where the trial's own questions come from, so that their bytes are told from the members'.
pub const OWN: Ipv4Addr = Ipv4Addr::new(127, 99, 0, 1);
/// Between two questions to one member, while something is waited for.
pub const POLL: Duration = Duration::from_millis(250);
const WITHIN: Duration = Duration::from_millis(3000);

/// A link over which one member is asked.
struct Link {
    stream: Async<TcpStream>,
    bytes: Vec<u8>,
}

impl Link {
    async fn connect(at: SocketAddr) -> std::io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.bind(&SocketAddr::from((OWN, 0)).into())?;
        // The connection is under way until the socket can be written to.
        let begun = socket.connect(&at.into());
        if let Err(error) = begun {
            if error.raw_os_error() != Some(IN_PROGRESS) && error.kind() != std::io::ErrorKind::WouldBlock {
                return Err(error);
            }
        }
        let stream = Async::new(TcpStream::from(socket))?;
        stream.writable().await?;
        if let Some(error) = stream.get_ref().take_error()? {
            return Err(error);
        }
        stream.get_ref().set_nodelay(true)?;
        (&stream).write_all(&encode(&Hello::of(GROUP))).await?;
        Ok(Link { stream, bytes: Vec::new() })
    }

    async fn ask(&mut self, question: &Question) -> std::io::Result<Answer> {
        (&self.stream).write_all(&encode(&Wire::Question(question.clone()))).await?;
        let mut chunk = vec![0; 16 << 10];
        loop {
            if let Some((content, used)) =
                unframed(&self.bytes).map_err(|spoilt| std::io::Error::other(spoilt.to_string()))?
            {
                let wire = decode::<Wire>(content);
                self.bytes.drain(..used);
                return match wire {
                    Ok(Wire::Answer(answer)) => Ok(*answer),
                    _ => Err(std::io::Error::other("answered something else")),
                };
            }
            match (&self.stream).read(&mut chunk).await? {
                0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                count => self.bytes.extend_from_slice(&chunk[..count]),
            }
        }
    }
}

/// Linux's number for a connection that is being made.
const IN_PROGRESS: i32 = 115;

/// What one member said.
#[derive(Clone, Debug)]
pub enum Look {
    Group(Brief),
    Changes(Box<StatusReport>),
}

/// One that was killed: when, and by when each member took it for gone.
#[derive(Clone, Debug)]
pub struct Death {
    pub name: String,
    pub address: SocketAddr,
    pub at: f64,
    /// First answer without it after the last one that had it.
    pub known: BTreeMap<usize, f64>,
    /// Members that are asked about it.
    pub asked: BTreeSet<usize>,
}

/// A change that was proposed, by its number: a word of the group, or a numbered change.
#[derive(Clone, Debug)]
pub struct Word {
    pub number: u64,
    /// The answer to who proposed it, or the first of any member that had it.
    pub agreed: Option<f64>,
    pub in_force: BTreeMap<usize, f64>,
}

pub const KEY: &str = "scale";

/// What all answers came to so far.
#[derive(Default)]
pub struct Seen {
    pub latest: BTreeMap<usize, (f64, Look)>,
    pub deaths: Vec<Death>,
    pub words: Vec<Word>,
    /// Checksums by council, key and number.
    contents: BTreeMap<(u64, String, u64), BTreeSet<u128>>,
    /// Members of views, by council and number.
    views: BTreeMap<(u64, u64), BTreeSet<Vec<u64>>>,
    /// Whose memory each is, as it said itself.
    names: BTreeMap<u64, usize>,
    pub asked: u64,
    pub unanswered: u64,
    /// Proposals of changes, and how often one was refused and made again.
    pub proposed: usize,
    pub pending: usize,
    pub refused: usize,
    /// How old a source's word got at the most on each listener, in milliseconds.
    pub oldest: BTreeMap<usize, f64>,
    /// When that was, and from whom it heard, or would have next.
    pub oldest_at: BTreeMap<usize, (f64, [Option<SocketAddr>; 2])>,
}

impl Seen {
    /// One answer of one member.
    pub fn take(&mut self, member: usize, asked: f64, answered: f64, look: Look) {
        let (alive_of, era, words) = match &look {
            Look::Group(brief) => {
                let words =
                    brief.values.iter().map(|(key, number, sum)| (key.clone(), *number, u128::from(*sum)));
                self.names.insert(brief.node_id, member);
                (brief.alive_of.clone(), brief.epoch, words.collect::<Vec<_>>())
            }
            // Who hears from a dead one, or would go to it next, has not found out.
            Look::Changes(report) => {
                let relied = [report.node.parent, report.node.backup_parent];
                let dead = self.deaths.iter().filter(|death| relied.contains(&Some(death.address)));
                let alive_of = dead.map(|death| death.name.clone()).collect();
                if !report.is_origin {
                    let oldest = self.oldest.entry(member).or_default();
                    let age = report.node.age_ms.unwrap_or(f64::INFINITY);
                    if age > *oldest {
                        *oldest = age;
                        self.oldest_at.insert(member, (answered, relied));
                    }
                }
                let version = report.node.version;
                (alive_of, version.epoch, vec![(KEY.to_string(), version.number, report.node.digest)])
            }
        };
        for death in self.deaths.iter_mut().filter(|death| death.asked.contains(&member) && death.at <= asked)
        {
            if alive_of.contains(&death.name) {
                death.known.remove(&member);
            } else {
                death.known.entry(member).or_insert(answered);
            }
        }
        let number = words.iter().find(|(key, ..)| key == KEY).map_or(0, |(_, number, _)| *number);
        for word in self.words.iter_mut().filter(|word| word.number <= number) {
            let first = word.agreed.get_or_insert(answered);
            *first = first.min(answered);
            word.in_force.entry(member).or_insert(answered);
        }
        // Number 0 is what each began with: nobody agreed on it.
        for (key, number, content) in words.into_iter().filter(|(_, number, _)| *number > 0) {
            self.contents.entry((era, key, number)).or_default().insert(content);
        }
        self.latest.insert(member, (answered, look));
    }

    /// Listeners that the sources count together.
    pub fn summed(&self) -> u64 {
        let of = |(_, look): &(f64, Look)| match look {
            Look::Changes(report) if report.is_origin => report.node.nodes,
            _ => 0,
        };
        self.latest.values().map(of).sum()
    }

    /// How many hear from this one.
    pub fn children(&self, member: usize) -> u64 {
        match self.latest.get(&member) {
            Some((_, Look::Changes(report))) if !report.is_origin => report.node.children,
            _ => 0,
        }
    }

    pub fn take_status(&mut self, status: &Status) {
        let members = status.view_members.clone();
        self.views.entry((status.epoch, status.view)).or_default().insert(members);
    }

    /// Numbers under which two contents were seen, of words and of views.
    pub fn two_at_one_number(&self) -> usize {
        let words = self.contents.values().filter(|contents| contents.len() > 1).count();
        words + self.views.values().filter(|members| members.len() > 1).count()
    }

    /// Members that a view left out though the trial never touched them.
    pub fn healthy_put_out(&self, touched: impl Fn(usize) -> bool) -> usize {
        let views: Vec<&Vec<u64>> = self.views.values().filter_map(|members| members.first()).collect();
        let mut out: BTreeSet<usize> = BTreeSet::new();
        for pair in views.windows(2) {
            let later: BTreeSet<u64> = pair[1].iter().copied().collect();
            let (before, after) = (pair[0].len(), pair[1].len());
            tracing::debug!(event = "views", before, after);
            let gone = pair[0].iter().filter(|memory| !later.contains(memory));
            out.extend(gone.filter_map(|memory| self.names.get(memory)).filter(|member| !touched(**member)));
        }
        out.len()
    }

    /// Names of the dead that are asked about now.
    fn asked_about(&self) -> Vec<String> {
        let last = self.deaths.len().saturating_sub(plovershelf_cluster::status::MAX_BRIEF_NAMES);
        self.deaths[last..].iter().map(|death| death.name.clone()).collect()
    }
}

/// Asks members in turn, each on a task of its own.
#[derive(Clone)]
pub struct Watch {
    executor: Executor,
    pub clock: Clock,
    mode: Mode,
    pub seen: Rc<RefCell<Seen>>,
    /// While it rests, nobody is asked.
    rests: Rc<Cell<bool>>,
    ended: Rc<RefCell<BTreeSet<usize>>>,
}

impl Watch {
    pub fn new(executor: &Executor, clock: Clock, mode: Mode) -> Self {
        let (executor, rests) = (executor.clone(), Rc::new(Cell::new(false)));
        Watch { executor, clock, mode, seen: Rc::default(), rests, ended: Rc::default() }
    }

    pub fn rest(&self, rests: bool) {
        self.rests.set(rests);
    }

    /// From now on this one is not asked any more.
    pub fn end(&self, member: usize) {
        self.ended.borrow_mut().insert(member);
    }

    /// Asks this one from now on; `fully` also for its whole status, which is long.
    pub fn follow(&self, member: usize, at: SocketAddr, fully: bool) {
        let watch = self.clone();
        let follow = async move {
            // Spread over the period.
            Timer::after(POLL * (member as u32 % 16) / 16).await;
            let mut link = None;
            while !watch.ended.borrow().contains(&member) {
                if !watch.rests.get() {
                    watch.look(member, at, fully, &mut link).await;
                }
                Timer::after(POLL).await;
            }
        };
        self.executor.spawn(follow).detach();
    }

    async fn look(&self, member: usize, at: SocketAddr, fully: bool, link: &mut Option<Link>) {
        let asked = self.clock.now();
        let names = self.seen.borrow().asked_about();
        let (held, mode) = (&mut *link, self.mode);
        let ask = async move {
            if held.is_none() {
                *held = Some(Link::connect(at).await?);
            }
            let Some(link) = held.as_mut() else { return Ok((None, None)) };
            if mode == Mode::Changes {
                return Ok((Some(link.ask(&changes(&AdminRequest::Status)).await?), None));
            }
            let brief = link.ask(&Question::Brief { names }).await?;
            let status = if fully { Some(link.ask(&Question::Status).await?) } else { None };
            Ok::<_, std::io::Error>((Some(brief), status))
        };
        let late = async {
            Timer::after(WITHIN).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let told = future::or(ask, late).await;
        let mut seen = self.seen.borrow_mut();
        seen.asked += 1;
        match told {
            _ if self.ended.borrow().contains(&member) => {}
            Ok((Some(Answer::Brief(brief)), status)) => {
                seen.take(member, asked, self.clock.now(), Look::Group(*brief));
                if let Some(Answer::Status(status)) = status {
                    seen.take_status(&status);
                }
            }
            Ok((Some(Answer::Part(bytes)), _)) => {
                if let Ok(AdminResponse::Status(report)) = decode(&bytes) {
                    seen.take(member, asked, self.clock.now(), Look::Changes(report));
                }
            }
            Ok(_) => {}
            Err(_) => {
                seen.unanswered += 1;
                *link = None;
            }
        }
    }

    /// Has a source propose a change; where it is refused, as another was agreed on first, it is proposed again.
    pub fn propose(&self, at: SocketAddr, edits: Vec<Edit>) {
        let watch = self.clone();
        let propose = async move {
            let ask = changes(&AdminRequest::Propose { edits, after: None });
            let until = watch.clock.now() + PROPOSE_MS;
            let mut link = None;
            while watch.clock.now() < until {
                let answer = async {
                    if link.is_none() {
                        link = Some(Link::connect(at).await?);
                    }
                    match link.as_mut() {
                        Some(link) => link.ask(&ask).await,
                        None => Err(std::io::ErrorKind::NotConnected.into()),
                    }
                };
                let late = async {
                    Timer::after(WITHIN * 2).await;
                    Err(std::io::ErrorKind::TimedOut.into())
                };
                let told = match future::or(answer, late).await {
                    Ok(Answer::Part(bytes)) => decode::<AdminResponse>(&bytes).ok(),
                    _ => None,
                };
                let number = match &told {
                    Some(AdminResponse::Committed(text)) => {
                        text.strip_prefix(AGREED).and_then(|number| number.parse().ok())
                    }
                    _ => None,
                };
                if let Some(number) = number {
                    return watch.agreed(number);
                }
                let refused = watch.refused();
                match told {
                    Some(told) => tracing::debug!(event = "refused", "{told:?}"),
                    None => link = None,
                }
                Timer::after(Duration::from_millis(15 + refused % 11 * 8)).await;
            }
            tracing::warn!(event = "not_agreed", source = %at, "a change was not agreed on in {PROPOSE_MS} ms");
            watch.seen.borrow_mut().pending -= 1;
        };
        let mut seen = self.seen.borrow_mut();
        (seen.proposed, seen.pending) = (seen.proposed + 1, seen.pending + 1);
        drop(seen);
        self.executor.spawn(propose).detach();
    }

    fn agreed(&self, number: u64) {
        let mut seen = self.seen.borrow_mut();
        let agreed = Some(self.clock.now());
        seen.words.push(Word { number, agreed, in_force: BTreeMap::new() });
        seen.pending -= 1;
    }

    /// How often one was refused so far, which spreads those that propose again.
    fn refused(&self) -> u64 {
        let mut seen = self.seen.borrow_mut();
        seen.refused += 1;
        seen.refused as u64
    }

    /// Waits until this is so, or the span is over; tells whether it is, and when it began to wait.
    pub async fn until(&self, within_ms: f64, so: impl Fn(&Seen) -> bool) -> Option<f64> {
        let began = self.clock.now();
        while self.clock.now() - began < within_ms {
            if so(&self.seen.borrow()) {
                return Some(self.clock.now() - began);
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        None
    }
}
