//! Carries a [`Caller`](crate::caller::Caller)'s orders out on sockets: one task owns it, one more serves each
//! connection, and handles reach the first through a queue.

mod connection;
mod driver;

use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use plovershelf::api::Idempotency;

use crate::caller::{Caller, Counts, Why};
use crate::config::Terms;
use crate::endpoint_list::MemberList;

/// Bodies and results are no longer than backends take and give.
pub const LONGEST_BODY: usize = 2 << 10;
const LONGEST_NAME: usize = 128;

/// One call as a host program asks for it.
#[derive(Clone, Debug)]
pub struct Invocation {
    offering: Arc<str>,
    tenant: Arc<str>,
    body: Arc<[u8]>,
    within: Duration,
    repeats: Idempotency,
    ticket: Option<Arc<str>>,
    rank: f64,
    subject: Option<u64>,
    footprint_kb: f64,
    work_hint_ms: Option<f64>,
}

impl Invocation {
    /// Work of an offering that may run more than once, whose asker waits for so long.
    pub fn new(offering: impl Into<Arc<str>>, body: impl Into<Arc<[u8]>>, within: Duration) -> Self {
        Invocation {
            offering: offering.into(),
            tenant: "".into(),
            body: body.into(),
            within,
            repeats: Idempotency::Idempotent,
            ticket: None,
            rank: 0.5,
            subject: None,
            footprint_kb: 10.0,
            work_hint_ms: None,
        }
    }

    /// On whose behalf, as the backends' settings name it.
    pub fn tenant(mut self, tenant: impl Into<Arc<str>>) -> Self {
        self.tenant = tenant.into();
        self
    }

    /// It may be sent again with this mark, by which a backend knows repeats of it; 128 bytes at most.
    pub fn ticketed(mut self, ticket: impl Into<Arc<str>>) -> Self {
        (self.repeats, self.ticket) = (Idempotency::Keyed, Some(ticket.into()));
        self
    }

    /// It runs once at most: it is sent again only on proof that it never ran.
    pub fn exclusive(mut self) -> Self {
        (self.repeats, self.ticket) = (Idempotency::NonIdempotent, None);
        self
    }

    /// From 0 to under 1, the lowest first to go; 0.5 where none is told.
    pub fn rank(mut self, rank: f64) -> Self {
        self.rank = if rank.is_finite() { rank.clamp(0.0, 0.9999) } else { 0.5 };
        self
    }

    /// What a read is about.
    pub fn about(mut self, subject: u64) -> Self {
        self.subject = Some(subject);
        self
    }

    /// The memory that a backend books for it, above 0 and under 2,000.
    pub fn footprint_kb(mut self, footprint_kb: f64) -> Self {
        self.footprint_kb = footprint_kb;
        self
    }

    /// How much work it is thought to be.
    pub fn work_hint_ms(mut self, work_ms: f64) -> Self {
        self.work_hint_ms = Some(work_ms).filter(|work| work.is_finite() && *work > 0.0);
        self
    }

    /// What no backend would take.
    fn fault(&self) -> Option<&'static str> {
        let checks = [
            (self.body.len() > LONGEST_BODY, "the body is longer than 2 KiB"),
            (
                self.offering.is_empty() || self.offering.len() > LONGEST_NAME,
                "the offering's name has no fit length",
            ),
            (self.tenant.len() > LONGEST_NAME, "the tenant's name is longer than 128 bytes"),
            (
                self.ticket.as_ref().is_some_and(|ticket| ticket.len() > 128),
                "the ticket is longer than 128 bytes",
            ),
            (
                !(self.footprint_kb > 0.0 && self.footprint_kb < 2000.0),
                "the footprint is not between 0 and 2000 KB",
            ),
        ];
        checks.iter().find(|(wrong, _)| *wrong).map(|(_, what)| *what)
    }
}

/// The one result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The bytes that the run made.
    Succeeded(Vec<u8>),
    /// It never ran. `last`: trying another member would not help.
    Dismissed {
        come_back: Option<Duration>,
        last: bool,
    },
    /// It failed.
    Scrapped {
        may_have_run: bool,
    },
    OutOfTime {
        may_have_run: bool,
    },
    /// It ended in the caller and never ran.
    GivenUp {
        why: Why,
        come_back: Option<Duration>,
    },
    /// No backend would take it as it is.
    Invalid(&'static str),
}

/// Where the members come from.
#[derive(Clone, Debug)]
enum Source {
    List(MemberList),
    File(PathBuf),
}

/// Builds a client out of its members and its bounds.
#[derive(Clone, Debug)]
pub struct Builder {
    terms: Terms,
    source: Source,
    number: u32,
}

impl Default for Builder {
    fn default() -> Self {
        Builder { terms: Terms::default(), source: Source::List(MemberList::default()), number: 0 }
    }
}

impl Builder {
    pub fn new() -> Self {
        Self::default()
    }

    /// The backends, as far as no list file is named.
    pub fn members(mut self, members: &[SocketAddr]) -> Self {
        self.source = Source::List(MemberList::of(members));
        self
    }

    /// A file that lists them, an address a line. It is looked at twice a second and read again when it has changed; one
    /// that can't be read, or names none, leaves things as they are.
    pub fn member_file(mut self, path: impl AsRef<Path>) -> Self {
        self.source = Source::File(path.as_ref().to_path_buf());
        self
    }

    /// The caller's number, as backends hear it.
    pub fn number(mut self, number: u32) -> Self {
        self.number = number;
        self
    }

    pub fn terms(mut self, terms: Terms) -> Self {
        self.terms = terms;
        self
    }

    /// The client, and the task that has to be run for it; it ends after [`Client::close`], or when the last handle is
    /// gone. The task stays on the thread that runs it.
    ///
    /// Errors: a term out of its range; a list file that can't be read at first, or is no list.
    pub fn build(self) -> Result<(Client, impl Future<Output = ()>), String> {
        let mut terms = self.terms;
        if terms.seed == 0 {
            terms.seed = driver::entropy() | 1;
        }
        let calls = terms.calls;
        let (list, file) = match self.source {
            Source::List(list) => (list, None),
            Source::File(path) => (driver::read_list(&path, terms.members)?, Some(path)),
        };
        let heeded = terms.clone();
        let caller = Caller::new(terms)?;
        let (asks, asked) = async_channel::unbounded();
        let shared = Arc::new(Shared { asks, in_hand: AtomicUsize::new(0), calls, last: AtomicU64::new(0) });
        let in_hand = Arc::downgrade(&shared);
        let drive = driver::drive(caller, heeded, self.number, list, file, asked, in_hand);
        Ok((Client { shared }, drive))
    }

    /// The client, on a thread of its own.
    ///
    /// Errors: as of [`Builder::build`]; no thread can be had.
    pub fn start(self) -> Result<Client, String> {
        let (give, take) = async_channel::bounded(1);
        let run = move || match self.build() {
            Ok((client, drive)) => {
                let _ = give.try_send(Ok(client));
                async_io::block_on(drive);
            }
            Err(error) => drop(give.try_send(Err(error))),
        };
        let named = std::thread::Builder::new().name("plovershelf-client".into());
        named.spawn(run).map_err(|error| format!("a thread for the client: {error}"))?;
        take.recv_blocking().map_err(|_| "the client's thread ended".to_string())?
    }
}

/// What a handle asks of the task that owns the caller.
enum Ask {
    Call {
        number: u64,
        invocation: Box<Invocation>,
        due: Instant,
        reply: Sender<Reply>,
    },
    /// Its asker has gone.
    Gone {
        number: u64,
    },
    Members(MemberList),
    Counts(Sender<Counts>),
    Close(Sender<()>),
}

struct Shared {
    asks: Sender<Ask>,
    /// Calls that handles wait for; it bounds the queue.
    in_hand: AtomicUsize,
    calls: usize,
    last: AtomicU64,
}

/// A handle on a client. Clones share its members, connections and budgets.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

impl Client {
    /// Makes a call; it ends in exactly one [`Reply`], by its time. Dropping the future gives the call up below.
    pub fn call(&self, invocation: Invocation) -> Calling {
        let due = Instant::now() + invocation.within;
        let number = self.shared.last.fetch_add(1, Ordering::Relaxed);
        let at_once = |reply: Reply| Calling { shared: None, number, reply: Err(Some(reply)) };
        if let Some(fault) = invocation.fault() {
            return at_once(Reply::Invalid(fault));
        }
        if self.shared.in_hand.fetch_add(1, Ordering::Relaxed) >= self.shared.calls {
            self.shared.in_hand.fetch_sub(1, Ordering::Relaxed);
            return at_once(Reply::GivenUp { why: Why::Full, come_back: None });
        }
        let (reply, replied) = async_channel::bounded(1);
        let ask = Ask::Call { number, invocation: Box::new(invocation), due, reply };
        if self.shared.asks.try_send(ask).is_err() {
            self.shared.in_hand.fetch_sub(1, Ordering::Relaxed);
            return at_once(Reply::GivenUp { why: Why::Closed, come_back: None });
        }
        Calling { shared: Some(self.shared.clone()), number, reply: Ok(Box::pin(replied)) }
    }

    /// The same for callers without an executor: blocks the thread until the end.
    pub fn call_blocking(&self, invocation: Invocation) -> Reply {
        async_io::block_on(self.call(invocation))
    }

    /// The members are these from now on; an empty list changes nothing.
    pub fn set_members(&self, members: &[SocketAddr]) {
        let _ = self.shared.asks.try_send(Ask::Members(MemberList::of(members)));
    }

    /// What has happened since the start; zeros once the client is closed.
    pub async fn counts(&self) -> Counts {
        let (give, take) = async_channel::bounded(1);
        let _ = self.shared.asks.try_send(Ask::Counts(give));
        take.recv().await.unwrap_or_default()
    }

    /// Ends all calls and connections.
    pub async fn close(&self) {
        let (give, take) = async_channel::bounded(1);
        let _ = self.shared.asks.try_send(Ask::Close(give));
        let _ = take.recv().await;
    }
}

/// A call under way.
#[must_use = "a call that is dropped is given up"]
pub struct Calling {
    shared: Option<Arc<Shared>>,
    number: u64,
    /// Where the reply comes from, or the reply that was there at once.
    reply: Result<Pin<Box<Receiver<Reply>>>, Option<Reply>>,
}

impl Future for Calling {
    type Output = Reply;

    fn poll(mut self: Pin<&mut Self>, context: &mut std::task::Context<'_>) -> std::task::Poll<Reply> {
        use futures_lite::Stream;
        let closed = || Reply::GivenUp { why: Why::Closed, come_back: None };
        let reply = match &mut self.reply {
            Err(reply) => reply.take().unwrap_or_else(closed),
            Ok(replied) => match replied.as_mut().poll_next(context) {
                std::task::Poll::Pending => return std::task::Poll::Pending,
                std::task::Poll::Ready(reply) => reply.unwrap_or_else(closed),
            },
        };
        self.shared = None;
        std::task::Poll::Ready(reply)
    }
}

impl Drop for Calling {
    fn drop(&mut self) {
        if let Some(shared) = &self.shared {
            let _ = shared.asks.try_send(Ask::Gone { number: self.number });
        }
    }
}
