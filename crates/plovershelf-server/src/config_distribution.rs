//! Numbered changes on real sockets: links, ticks and queues around the state machine that decides who hears from whom. A
//! listener's is on a thread of its own, beside the owner; a source's beside the group's, so that 920 that ask at once
//! keep the council from nothing. Trials put many on one executor.
//!
//! The ordinary path of a change: the council's word reaches a source's carrier, which hands it on to the relays that hear
//! from it; they to their listeners; each tells its owner what is in force.

pub mod admin;
mod origin;
mod subscriber;

pub use admin::KEY;
pub use origin::Word;
pub use subscriber::{InForce, Sink, Told as Quotas};

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::future;
use plovershelf_cluster::frames::{decode, plain, Wire};
use plovershelf_cluster::status::{Answer, Question};
use plovershelf_config::changes as file;
use plovershelf_config_distribution::node::{About, Event, Node, Role, Start, Terms};
use plovershelf_config_distribution::quota_table::{Content, Edit};

use crate::group;
use crate::links::{self, now_ms, Bounds, Heard, Links};
use admin::{Ask, Report, Told};
use origin::Source;
use subscriber::Telling;

/// What waits for a carrier; more is dropped, as a network drops.
const INBOX: usize = 1024;
const LOST: usize = 256;
const NOTES_A_SECOND: u32 = 10;
/// What an owner did not take is offered again after this.
const OFFER_AGAIN_MS: f64 = 50.0;
/// Listeners that may ask a source at once, as when a release has all begin anew.
const ASK_AT_ONCE: usize = 1024;
/// Links that carry nothing for longer than a few beats are not needed.
const IDLE_MS: u64 = 4000;

/// Until the last messages are written.
const LEAVES_MS: u64 = 200;

/// What a process that changes are carried to starts with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The group's name; others' links are closed.
    pub group: String,
    pub listen: SocketAddr,
    pub zone: String,
    pub region: String,
    /// Where sources are reached; a source has the others here.
    pub sources: Vec<SocketAddr>,
    pub terms: Terms,
}

impl Setup {
    pub fn of(file: file::Listener) -> Self {
        let file::Listener { name, listen, zone, region, sources, terms } = file;
        Setup { group: name, listen, zone, region, sources, terms }
    }
}

/// All that can happen to a carrier from outside.
pub enum Incoming {
    Heard(Heard),
    Lost(SocketAddr),
    Council(Word),
    /// The process is about to end: others are told, and the carrier ends.
    Leave,
}

impl From<Heard> for Incoming {
    fn from(heard: Heard) -> Self {
        Incoming::Heard(heard)
    }
}

/// Starts a listener's carrier on a thread of its own.
///
/// Errors: its address can't be listened on, or no thread can be had, in one line.
pub fn start(setup: Setup, name: String, sink: Sink) -> Result<(), String> {
    start_until_told(setup, name, sink).map(drop)
}

/// The same; it ends when it is told to leave.
pub(crate) fn start_until_told(setup: Setup, name: String, sink: Sink) -> Result<Sender<Incoming>, String> {
    let listener = listen(&setup)?;
    on_thread(Begin::of(setup, name, sink), listener)
}

/// Starts a listener's carrier on an executor that others are on too. It ends, with its listener and links, when the task is
/// dropped.
///
/// Errors: its address can't be listened on, in one line.
pub fn run_on(
    executor: &'static LocalExecutor<'static>,
    setup: Setup,
    name: String,
    sink: Sink,
) -> Result<Task<()>, String> {
    let listener = listen(&setup)?;
    Ok(executor.spawn(carry(executor, Begin::of(setup, name, sink), listener)?))
}

/// Starts a source's carrier on a thread of its own. What is sent there is the council's word, whenever there is a new one.
///
/// Errors: its address can't be listened on, what its files hold can't be used, in one line.
pub(crate) fn start_source(
    group: &plovershelf_config::group::Group,
    source: &file::Source,
    name: String,
    council: Sender<group::Incoming>,
) -> Result<Sender<Incoming>, String> {
    let setup = Setup {
        group: group.name.clone(),
        listen: source.listen,
        zone: group.zone.clone(),
        region: group.region.clone(),
        sources: source.sources.clone(),
        terms: source.terms.clone(),
    };
    let kept = group.folder.as_ref().map(|folder| folder.join("content"));
    let held = match kept.as_deref().map(origin::kept).transpose()?.flatten() {
        Some(held) => held,
        None => source.first_content()?,
    };
    let listener = listen(&setup)?;
    let begin = Begin { held, source: Some((council, kept)), ..Begin::of(setup, name, Sink::Nobody) };
    on_thread(begin, listener)
}

/// What a carrier begins with.
struct Begin {
    setup: Setup,
    name: String,
    sink: Sink,
    held: Content,
    /// The way to the council, and where the content is kept.
    source: Option<(Sender<group::Incoming>, Option<PathBuf>)>,
    queue: (Sender<Incoming>, Receiver<Incoming>),
}

impl Begin {
    fn of(setup: Setup, name: String, sink: Sink) -> Self {
        let queue = async_channel::bounded(INBOX);
        Begin { setup, name, sink, held: Content::default(), source: None, queue }
    }
}

fn listen(setup: &Setup) -> Result<TcpListener, String> {
    TcpListener::bind(setup.listen)
        .map_err(|error| format!("the listener of changes on {}: {error}", setup.listen))
}

fn on_thread(begin: Begin, listener: TcpListener) -> Result<Sender<Incoming>, String> {
    let inbox = begin.queue.0.clone();
    let run = move || {
        let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
        match carry(executor, begin, listener) {
            Ok(carried) => async_io::block_on(executor.run(carried)),
            Err(error) => tracing::error!("changes are not carried: {error}"),
        }
    };
    let thread = std::thread::Builder::new().name("changes".into()).spawn(run);
    thread.map(|_| inbox).map_err(|error| format!("the thread of changes: {error}"))
}

/// Links in and out, by how many hear from one and how many may ask it.
fn bounds(role: Role, terms: &Terms) -> Bounds {
    let hands = 2 * terms.fan_out.max(terms.source_fan_out) + 32;
    match role {
        Role::Source => Bounds { out: hands + ASK_AT_ONCE, inward: hands + ASK_AT_ONCE, idle_ms: IDLE_MS },
        Role::Listener => Bounds { out: 2 * hands, inward: 2 * hands, idle_ms: IDLE_MS },
    }
}

/// The carrier's whole life, with its listener.
fn carry(
    executor: &'static LocalExecutor<'static>,
    begin: Begin,
    listener: TcpListener,
) -> Result<impl future::Future<Output = ()>, String> {
    let Begin { setup, name, sink, held, source, queue: (inbox, incoming) } = begin;
    let listener = Async::new(listener).map_err(|error| format!("{}: {error}", setup.listen))?;
    let role = if source.is_some() { Role::Source } else { Role::Listener };
    let bounds = bounds(role, &setup.terms);
    let (lost, broken) = async_channel::bounded(LOST);
    let links = Links::new(executor, &setup.group, BTreeMap::new(), bounds, Some(lost));
    let listening = links::accept(executor, listener, Rc::from(setup.group.as_str()), inbox, bounds);
    let about = About {
        name: name.clone(),
        zone: setup.zone,
        region: setup.region,
        address: setup.listen,
        life: group::drawn(),
    };
    let start = Start { about, role, sources: setup.sources, terms: setup.terms, held, seed: group::drawn() };
    let carrier = Carrier {
        node: Node::new(start, now_ms()),
        links,
        telling: Telling::new(name, sink),
        source: source.map(|(council, kept)| Source::new(council, kept)),
        notes: (0, 0),
    };
    // Those who read links end when nobody takes from the queue any more.
    let listening = executor.spawn(listening);
    Ok(async move {
        carrier.run(incoming, broken).await;
        drop(listening);
    })
}

struct Carrier {
    node: Node,
    links: Links,
    telling: Telling,
    source: Option<Source>,
    notes: (u64, u32),
}

impl Carrier {
    async fn run(mut self, incoming: Receiver<Incoming>, broken: Receiver<SocketAddr>) {
        let about = self.node.about();
        tracing::info!(event = "changes_began", listen = %about.address, zone = %about.zone, "changes are carried here");
        loop {
            let wait_ms = (self.next_at() - now_ms()).clamp(0.0, 1000.0);
            let heard = async { incoming.recv().await.ok() };
            let lost = async { broken.recv().await.ok().map(Incoming::Lost) };
            let time = async {
                Timer::after(Duration::from_secs_f64(wait_ms / 1000.0)).await;
                None
            };
            let event = future::or(heard, future::or(lost, time)).await;
            self.tick();
            for event in event.into_iter().chain(std::iter::from_fn(|| incoming.try_recv().ok()).take(64)) {
                if matches!(event, Incoming::Leave) {
                    self.node.leave();
                    self.carry_out();
                    Timer::after(Duration::from_millis(LEAVES_MS)).await;
                    return;
                }
                self.take(event);
                self.carry_out();
            }
        }
    }

    fn next_at(&self) -> f64 {
        let source = self.source.as_ref().map_or(f64::INFINITY, Source::next_at);
        let again = if self.telling.waits() { now_ms() + OFFER_AGAIN_MS } else { f64::INFINITY };
        self.node.next_at().min(source).min(again)
    }

    fn tick(&mut self) {
        let now = now_ms();
        self.node.tick(now);
        if let Some(source) = self.source.as_mut() {
            source.tick(now);
        }
        self.telling.hand_on();
        self.carry_out();
    }

    fn take(&mut self, event: Incoming) {
        let now = now_ms();
        match event {
            Incoming::Heard(Heard::Wire { wire, from_here, answer }) => match *wire {
                Wire::Carried { at, bytes } => match decode(&bytes) {
                    Ok(message) => self.node.hear(now, at, message),
                    Err(spoilt) => self.note(&format!("{at} sent {spoilt}")),
                },
                Wire::Ask(question) => self.asked(question, from_here, answer),
                Wire::Say(_) | Wire::Answer(_) | Wire::Part { .. } => {}
            },
            Incoming::Heard(Heard::Odd(what)) => self.note(&what),
            Incoming::Leave => {}
            Incoming::Lost(address) => self.node.lost(now, address),
            Incoming::Council(word) => match self.source.as_mut().and_then(|source| source.hear(word)) {
                Some(Ok(change)) => self.node.agreed(now, change),
                Some(Err(what)) => self.note(&what),
                None => {}
            },
        }
    }

    fn asked(&mut self, question: Question, from_here: bool, answer: Sender<Answer>) {
        let reply = move |told: Told| drop(answer.try_send(Answer::Part(plain(&told))));
        let Question::Part { part, bytes } = question else {
            return reply(Told::Refused(
                "changes are carried here, and nothing else is asked of this address".into(),
            ));
        };
        let ask = match decode::<Ask>(&bytes) {
            Ok(ask) if part == KEY => ask,
            Ok(_) => return reply(Told::Refused(format!("nothing here is asked of {part:?}"))),
            Err(spoilt) => return reply(Told::Refused(format!("the question is {spoilt}"))),
        };
        match ask {
            Ask::Status => {
                let council = self.source.as_ref().map(Source::council);
                let node = self.node.status(now_ms());
                reply(Told::Status(Box::new(Report { node, source: self.source.is_some(), council })));
            }
            Ask::History => reply(Told::History(self.node.history())),
            Ask::Propose { edits, after } => self.propose(edits, after, from_here, Box::new(reply)),
        }
    }

    fn propose(&mut self, edits: Vec<Edit>, after: Option<u64>, from_here: bool, reply: origin::Answerer) {
        let Some(source) = self.source.as_mut() else {
            return reply(Told::Refused("this is a listener: changes are proposed to a source".into()));
        };
        if !from_here {
            return reply(Told::Refused("a change is taken on the source's own machine alone".into()));
        }
        let unix_ms = std::time::SystemTime::UNIX_EPOCH.elapsed().map_or(0, |since| since.as_millis() as u64);
        match self.node.prepare(edits, after, source.word.era, unix_ms) {
            Ok(change) => source.propose(now_ms(), &change, reply),
            Err(why) => reply(Told::Refused(why)),
        }
    }

    fn carry_out(&mut self) {
        let out = self.node.take();
        let at = self.node.about().address;
        for (to, message) in out.send {
            self.links.send(to, None, &Wire::Carried { at, bytes: plain(&message) });
        }
        for event in out.events {
            match event {
                Event::InForce { version, edits } => {
                    tracing::info!(
                        event = "in_force",
                        number = version.number,
                        edits = edits.len(),
                        "change {version}"
                    );
                    self.telling.tell(now_ms(), self.node.content(), version, Some(&edits));
                    self.keep();
                }
                Event::Whole { version } => {
                    let tenants = self.node.content().len();
                    tracing::info!(
                        event = "in_force",
                        number = version.number,
                        tenants,
                        "all as of change {version}"
                    );
                    self.telling.tell(now_ms(), self.node.content(), version, None);
                    self.keep();
                }
                Event::Note(what) => self.note(&what),
            }
        }
    }

    fn keep(&mut self) {
        if let Some(source) = self.source.as_mut() {
            source.keep(self.node.content());
        }
    }

    /// Bounded, as others' doing is behind it.
    fn note(&mut self, what: &str) {
        let second = (now_ms() / 1000.0) as u64;
        if self.notes.0 != second {
            self.notes = (second, 0);
        }
        self.notes.1 += 1;
        if self.notes.1 <= NOTES_A_SECOND {
            tracing::warn!(event = "changes_note", "{what}");
        }
    }
}
