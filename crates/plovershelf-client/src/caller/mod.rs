//! All that a caller decides, without a socket, a clock or a thread. It is told what happens and hands back orders;
//! whoever drives it carries these out ([`crate::transport`] does).
//!
//! A call from its asking to its end:
//!
//! | stage | left when | to |
//! | --- | --- | --- |
//! | `Ready` | a member takes it and has room | `Out` |
//! | `Ready` | nobody takes it before some time that it has | `Resting` |
//! | `Resting` | that time has come | `Ready` |
//! | `Out` | a try ended without a result, and another is allowed, paid for and in time | `Ready`, `Resting` |
//! | any | a result; no further try may be; its time is over; its asker has gone | ended, forgotten |
//!
//! All changes go through [`Caller::change`], and every end through `finish`, which forgets the call in the same step:
//! so none ends twice, and none is left.

mod balancer;
mod circuit_breaker;
mod latency;
mod retry_budget;
mod retry_policy;
mod subset;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use plovershelf::api::Idempotency;
use plovershelf_codec::front::client::Response;
use plovershelf_codec::front::ServerSignals;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::config::Terms;
use crate::endpoint_list::MemberList;
use balancer::{Choice, Member, MemberId, Members, Room, Wants};
use latency::{Percentile, Quickest};
use retry_budget::{RetryBudget, Throttle};
use retry_policy::{again, Again, TryOver};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// A call as far as decisions hang on it. What else belongs to it stays with whoever writes it.
#[derive(Clone, Debug)]
pub struct CallFacts {
    pub offering: Arc<str>,
    pub repeats: Idempotency,
    /// From 0 to under 1, the lowest first to go.
    pub rank: f64,
    /// When its asker waits no longer.
    pub due: f64,
    /// What it is about, for members that are chosen by it; 0 for nothing.
    pub subject: u64,
    /// Memory that it takes while it is open.
    pub bytes: usize,
}

/// Why a call ended without a backend's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Too many calls, or too many bytes, are open here.
    Full,
    /// Members take so few calls of its offering that this one was not sent.
    Throttled,
    /// All members that could take it advise against calls of its rank, or more calls.
    Advised,
    /// No member can be reached, or takes anything, while there is time.
    Nobody,
    /// The client was closed.
    Closed,
}

/// How a call ends, once each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    Succeeded,
    /// A member said that it never ran. `come_back_ms` is the wait that it named; `last` its wish that no other member
    /// be tried.
    Dismissed {
        come_back_ms: Option<f64>,
        last: bool,
    },
    /// It failed, or its connection was lost. `may_have_run` tells whether it can have had an effect.
    Scrapped {
        may_have_run: bool,
    },
    OutOfTime {
        may_have_run: bool,
    },
    /// It ended here, and never ran. `come_back_ms` tells when it may be worth asking again, where that is known.
    GivenUp {
        why: Why,
        come_back_ms: Option<f64>,
    },
}

/// What is to be carried out, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Connect {
        link: LinkId,
        to: SocketAddr,
    },
    /// Write a try of a call. The member is told to answer within `waits_ms`.
    Send {
        link: LinkId,
        seqid: i32,
        call: CallId,
        waits_ms: f64,
        marked: bool,
    },
    Cancel {
        link: LinkId,
        seqid: i32,
    },
    /// Ask for the member's health on a connection that has fallen silent.
    Probe {
        link: LinkId,
        seqid: i32,
    },
    Close {
        link: LinkId,
    },
    Finish {
        call: CallId,
        ending: Ending,
    },
}

/// What has happened since the start, for a host program's metrics. All only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub calls: u64,
    pub first_tries: u64,
    /// Marked tries, second copies among them.
    pub repeats: u64,
    pub hedges: u64,
    /// Tries sent once more, unmarked, as no member had read them.
    pub resent: u64,
    pub succeeded: u64,
    pub dismissed: u64,
    pub scrapped: u64,
    pub out_of_time: u64,
    pub given_up: u64,
    pub cancelled: u64,
    /// Repeats that the budget did not pay for.
    pub unpaid: u64,
    pub throttled: u64,
    pub connects: u64,
    pub connects_failed: u64,
    /// Connections that ended with calls out, garbled, or silent.
    pub links_lost: u64,
    pub faults: u64,
    /// Answers to tries that were given up.
    pub late_answers: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Ready,
    Resting { until: f64 },
    Out,
}

#[derive(Clone, Copy, Debug)]
struct TryOut {
    link: LinkId,
    seqid: i32,
    member: MemberId,
}

#[derive(Debug)]
struct Open {
    offering: usize,
    repeats: Idempotency,
    rank: f64,
    due: f64,
    subject: u64,
    bytes: usize,
    stage: Stage,
    out: Vec<TryOut>,
    /// Tries that were sent; the next is not the first, but it was never read.
    sent: u32,
    resend: bool,
    resent: bool,
    only: Option<MemberId>,
    may_have_run: Option<MemberId>,
    avoid: Vec<MemberId>,
    /// What its asker hears if there is no further try.
    last: Option<Ending>,
    hedge_at: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    Connecting,
    /// To a member that was lost or failed: it takes calls once it has answered for its health, so that no call
    /// has to find out.
    Proving,
    Open,
    /// No new call goes there; it ends with the last that is out.
    Closing,
}

#[derive(Debug)]
struct Link {
    member: MemberId,
    state: LinkState,
    /// By sequence number, with when it was written.
    out: BTreeMap<i32, (CallId, f64)>,
    /// Given up and perhaps still answered.
    cancelled: BTreeSet<i32>,
    last_seqid: i32,
    since: f64,
    heard_at: f64,
    used_at: f64,
    /// Heard `closing` then.
    closing_at: Option<f64>,
    probe: Option<(i32, f64)>,
    /// It has answered something that was asked.
    answered: bool,
}

/// Answers to tries that were given up are told from answers to nothing as far back as this.
const CANCELLED_KEPT: usize = 256;
/// Calls that can't be placed before others behind them are left for later.
const STUCK_LOOKED_AT: usize = 32;
/// Members that a call's later tries keep away from.
const AVOIDED: usize = 4;
/// A connection takes no further calls beyond this number.
const LAST_SEQID: i32 = 1 << 30;
/// Members are met again by themselves where there was a call within this.
const ACTIVE_MS: f64 = 10_000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Call(CallId),
    Rested(CallId),
    Hedge(CallId),
    Reconnect(MemberId),
}

#[derive(Debug)]
struct Offering {
    quickest: Quickest,
    slow: Percentile,
    throttle: Throttle,
}

pub struct Caller {
    terms: Terms,
    now: f64,
    chance: Pcg32,
    /// Where in a spread this caller stands, moved on with each loss of all members.
    phase: f64,
    begins: f64,
    orders: Vec<Order>,
    calls: BTreeMap<CallId, Open>,
    call_bytes: usize,
    /// Calls that want a member, by when they are due.
    ready: BTreeSet<(u64, CallId)>,
    links: BTreeMap<LinkId, Link>,
    members: Members,
    offerings: Vec<Offering>,
    names: BTreeMap<Arc<str>, usize>,
    way: Quickest,
    budget: RetryBudget,
    due: BTreeSet<(u64, Due)>,
    sweep_at: f64,
    /// With no member connected: nobody is met again before this.
    away_until: f64,
    reconnects: f64,
    reconnects_at: f64,
    called_at: f64,
    last_call: u64,
    last_link: u64,
    closed: bool,
    counts: Counts,
}

impl Caller {
    pub fn new(terms: Terms) -> Result<Self, String> {
        terms.check()?;
        let mut chance = Pcg32::seed_from_u64(terms.seed);
        let begins = terms.place.map_or_else(|| chance.random(), subset::begins);
        Ok(Caller {
            now: 0.0,
            phase: begins,
            begins,
            orders: Vec::new(),
            calls: BTreeMap::new(),
            call_bytes: 0,
            ready: BTreeSet::new(),
            links: BTreeMap::new(),
            members: Members::default(),
            offerings: Vec::new(),
            names: BTreeMap::new(),
            way: Quickest::new(terms.times_span_ms),
            budget: RetryBudget::new(&terms),
            due: BTreeSet::new(),
            sweep_at: 0.0,
            away_until: 0.0,
            reconnects: terms.reconnects,
            reconnects_at: 0.0,
            called_at: f64::NEG_INFINITY,
            last_call: 0,
            last_link: 0,
            closed: false,
            counts: Counts::default(),
            chance,
            terms,
        })
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Calls that have not ended.
    pub fn open(&self) -> usize {
        self.calls.len()
    }

    /// Connections that are open or being made.
    pub fn links(&self) -> usize {
        self.links.len()
    }

    /// All that is to be carried out since this was last asked.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// When [`Caller::woke`] is due; `None` while nothing is.
    pub fn next_wake(&self) -> Option<f64> {
        let due = self.due.first().map(|(at, _)| f64::from_bits(*at));
        let sweep = (!self.links.is_empty()).then_some(self.sweep_at);
        match (due, sweep) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    // ---- what it is told --------------------------------------------------------------------------------

    /// A call is asked for. Its end may be among the next orders already.
    pub fn call(&mut self, now: f64, facts: CallFacts) -> CallId {
        self.tick(now);
        self.called_at = self.now;
        self.last_call += 1;
        self.counts.calls += 1;
        let id = CallId(self.last_call);
        let full = self.calls.len() >= self.terms.calls
            || self.call_bytes + facts.bytes > self.terms.call_bytes
            || !facts.due.is_finite();
        let why = if self.closed { Why::Closed } else { Why::Full };
        if self.closed || full {
            self.counts.given_up += 1;
            self.orders.push(Order::Finish { call: id, ending: Ending::GivenUp { why, come_back_ms: None } });
            return id;
        }
        let offering = self.offering(&facts.offering);
        if !self.offerings[offering].throttle.admits(self.now, &mut self.chance) {
            (self.counts.throttled, self.counts.given_up) =
                (self.counts.throttled + 1, self.counts.given_up + 1);
            let ending = Ending::GivenUp { why: Why::Throttled, come_back_ms: Some(self.terms.heeded_ms) };
            self.orders.push(Order::Finish { call: id, ending });
            return id;
        }
        let open = Open {
            offering,
            repeats: facts.repeats,
            rank: facts.rank,
            due: facts.due.max(0.0),
            subject: facts.subject,
            bytes: facts.bytes,
            stage: Stage::Out,
            out: Vec::new(),
            sent: 0,
            resend: false,
            resent: false,
            only: None,
            may_have_run: None,
            avoid: Vec::new(),
            last: None,
            hedge_at: None,
        };
        self.call_bytes += open.bytes;
        self.due.insert((open.due.to_bits(), Due::Call(id)));
        self.calls.insert(id, open);
        self.change(id, Stage::Ready);
        self.place(id);
        id
    }

    /// Nobody waits for a call any more: it ends without a word.
    pub fn cancelled(&mut self, now: f64, id: CallId) {
        self.tick(now);
        if self.calls.contains_key(&id) {
            self.counts.cancelled += 1;
            let open = self.forget(id);
            open.into_iter().for_each(|open| self.offerings[open.offering].throttle.ended(self.now, true));
            self.place_ready();
        }
    }

    /// A connection that was ordered is there.
    pub fn connected(&mut self, now: f64, link: LinkId) {
        self.tick(now);
        let Some(own) = self.links.get_mut(&link).filter(|own| own.state == LinkState::Connecting) else {
            return;
        };
        (own.state, own.since, own.heard_at, own.used_at) = (LinkState::Open, self.now, self.now, self.now);
        let id = own.member;
        if self.members.get(id).is_some_and(|member| member.losses > 0 || !member.breaker.is_closed()) {
            own.state = LinkState::Proving;
            self.probe(link);
        }
        self.place_ready();
    }

    /// It could not be made; nothing was written to it.
    pub fn not_connected(&mut self, now: f64, link: LinkId) {
        self.tick(now);
        if self.links.get(&link).is_some_and(|own| own.state == LinkState::Connecting) {
            self.counts.connects_failed += 1;
            self.remove_link(link, true);
            self.place_ready();
        }
    }

    /// A connection has ended. `garbled` tells that what came on it could not be read.
    pub fn ended(&mut self, now: f64, link: LinkId, garbled: bool) {
        self.tick(now);
        if self.links.contains_key(&link) {
            if garbled {
                self.fault(link);
            } else {
                self.lose(link);
            }
            self.place_ready();
        }
    }

    /// A whole message has come on a connection.
    pub fn heard(&mut self, now: f64, link: LinkId, heard: &Response<'_>) {
        self.tick(now);
        let Some(own) = self.links.get_mut(&link) else { return };
        own.heard_at = self.now;
        match *heard {
            Response::Succeeded { seqid, signals: words, .. } => {
                self.answered(link, seqid, &words, Answer::Succeeded)
            }
            Response::Rejected { seqid, signals: words } => {
                self.answered(link, seqid, &words, Answer::Dismissed(words))
            }
            Response::Failed { seqid, signals: words } => {
                self.answered(link, seqid, &words, Answer::Scrapped)
            }
            Response::Exception { seqid, permanent: ours, .. } => {
                let answer = if ours { Answer::Ours } else { Answer::Scrapped };
                self.answered(link, seqid, &ServerSignals::default(), answer);
            }
            Response::Health { seqid, ready: fit, signals: words } => match own.probe {
                Some((asked, _)) if asked == seqid => {
                    (own.probe, own.answered) = (None, true);
                    if own.state == LinkState::Proving {
                        own.state = LinkState::Open;
                    }
                    let member = own.member;
                    self.told(member, &words);
                    let until = self.now + self.terms.leaving_ms;
                    if let Some(member) = self.members.get_mut(member).filter(|_| !fit) {
                        member.leaving_until = until;
                    }
                }
                _ => self.fault(link),
            },
            Response::Closing => self.closing(link),
            Response::Other => {}
        }
        self.place_ready();
    }

    /// The members are these now. An empty list keeps the one of before.
    pub fn list(&mut self, now: f64, list: &MemberList) {
        self.tick(now);
        if list.members.is_empty() {
            return;
        }
        let all = &list.members[..list.members.len().min(self.terms.members)];
        let chosen = subset::chosen(all, self.begins, self.terms.subset);
        self.members.replace(self.now, &chosen);
        // The new ones are connected to before those that left go.
        let serving = |id: &MemberId| self.members.get(*id).is_some_and(|member| !member.links.is_empty());
        if !self.links.is_empty() && !self.members.chosen().iter().any(serving) {
            let first = self.members.chosen().first().copied();
            if let Some(id) = first {
                self.connect(id);
            }
        }
        self.forget_left();
        self.place_ready();
    }

    /// What was due at [`Caller::next_wake`].
    pub fn woke(&mut self, now: f64) {
        self.tick(now);
        while let Some(&(at, due)) = self.due.first().filter(|(at, _)| f64::from_bits(*at) <= self.now) {
            self.due.remove(&(at, due));
            match due {
                Due::Call(id) => self.out_of_time(id),
                Due::Rested(id) => {
                    self.change(id, Stage::Ready);
                    self.place(id);
                }
                Due::Hedge(id) => self.hedge(id),
                Due::Reconnect(id) => self.reconnect(id),
            }
        }
        if self.now >= self.sweep_at {
            self.sweep_at = self.now + self.terms.sweep_ms;
            self.sweep();
        }
        self.place_ready();
    }

    /// No further call is taken; those that are open end now.
    pub fn close(&mut self, now: f64) {
        self.tick(now);
        self.closed = true;
        let all: Vec<CallId> = self.calls.keys().copied().collect();
        for id in all {
            let never_sent = Ending::GivenUp { why: Why::Closed, come_back_ms: None };
            let ending = match &self.calls[&id] {
                open if open.sent == 0 => never_sent,
                open => open.last.unwrap_or(Ending::Scrapped { may_have_run: true }),
            };
            self.finish(id, ending);
        }
        let links: Vec<LinkId> = self.links.keys().copied().collect();
        links.into_iter().for_each(|link| self.shut(link));
        self.due.clear();
    }

    // ---- calls ------------------------------------------------------------------------------------------

    /// A clock that goes back is held still.
    fn tick(&mut self, now: f64) {
        self.now = if now.is_finite() { self.now.max(now) } else { self.now };
    }

    fn offering(&mut self, name: &Arc<str>) -> usize {
        if let Some(place) = self.names.get(name) {
            return *place;
        }
        if self.offerings.len() < self.terms.offerings {
            self.offerings.push(Offering {
                quickest: Quickest::new(self.terms.times_span_ms),
                slow: Percentile::default(),
                throttle: Throttle::new(&self.terms),
            });
            self.names.insert(name.clone(), self.offerings.len() - 1);
        }
        // Those beyond share the last one's.
        self.offerings.len() - 1
    }

    /// Moves a call between stages, with all that hangs on these.
    fn change(&mut self, id: CallId, to: Stage) {
        let Some(open) = self.calls.get_mut(&id) else { return };
        match open.stage {
            Stage::Ready => drop(self.ready.remove(&(open.due.to_bits(), id))),
            Stage::Resting { until } => drop(self.due.remove(&(until.to_bits(), Due::Rested(id)))),
            Stage::Out => {}
        }
        open.stage = to;
        match to {
            Stage::Ready => drop(self.ready.insert((open.due.to_bits(), id))),
            Stage::Resting { until } => drop(self.due.insert((until.to_bits(), Due::Rested(id)))),
            Stage::Out => {}
        }
    }

    /// Takes a call out of every table; tries that are out are given up.
    fn forget(&mut self, id: CallId) -> Option<Open> {
        self.change(id, Stage::Out);
        let mut open = self.calls.remove(&id)?;
        self.call_bytes -= open.bytes;
        self.due.remove(&(open.due.to_bits(), Due::Call(id)));
        if let Some(at) = open.hedge_at {
            self.due.remove(&(at.to_bits(), Due::Hedge(id)));
        }
        std::mem::take(&mut open.out).into_iter().for_each(|out| self.give_up(out));
        Some(open)
    }

    fn finish(&mut self, id: CallId, ending: Ending) {
        let Some(open) = self.forget(id) else { return };
        // Only what members turn away closes the throttle: slowness, loss and haste do not.
        let turned_away =
            matches!(ending, Ending::Dismissed { .. } | Ending::GivenUp { why: Why::Advised, .. });
        self.offerings[open.offering].throttle.ended(self.now, !turned_away);
        let count = match ending {
            Ending::Succeeded => &mut self.counts.succeeded,
            Ending::Dismissed { .. } => &mut self.counts.dismissed,
            Ending::Scrapped { .. } => &mut self.counts.scrapped,
            Ending::OutOfTime { .. } => &mut self.counts.out_of_time,
            Ending::GivenUp { .. } => &mut self.counts.given_up,
        };
        *count += 1;
        self.orders.push(Order::Finish { call: id, ending });
    }

    /// A try that nobody waits for any more.
    fn give_up(&mut self, out: TryOut) {
        if let Some(member) = self.members.get_mut(out.member) {
            member.outstanding = member.outstanding.saturating_sub(1);
            member.breaker.unheard(self.now);
        }
        let Some(own) = self.links.get_mut(&out.link) else { return };
        if own.out.remove(&out.seqid).is_some() {
            own.cancelled.insert(out.seqid);
            if own.cancelled.len() > CANCELLED_KEPT {
                own.cancelled.pop_first();
            }
            own.used_at = self.now;
            self.orders.push(Order::Cancel { link: out.link, seqid: out.seqid });
            self.end_if_done(out.link);
        }
    }

    fn out_of_time(&mut self, id: CallId) {
        let Some(open) = self.calls.get(&id) else { return };
        let may_have_run = open.may_have_run.is_some() || !open.out.is_empty();
        self.finish(id, Ending::OutOfTime { may_have_run });
    }

    /// What is left of a call's time for the member, and whether that is enough for the quickest of late.
    fn left(&mut self, id: CallId) -> (f64, bool) {
        let way = self.way.of_late(self.now).unwrap_or(self.terms.way_ms);
        let Some(open) = self.calls.get(&id) else { return (0.0, false) };
        let quickest = self.offerings[open.offering].quickest.of_late(self.now).unwrap_or(0.0);
        let left = open.due - self.now;
        (left - way, left > way && left >= quickest)
    }

    /// Finds a member for a call that is ready, and writes it there; or lets it rest, or ends it.
    /// Tells whether it is still ready.
    fn place(&mut self, id: CallId) -> bool {
        let (waits_ms, in_time) = self.left(id);
        let Some(open) = self.calls.get(&id) else { return false };
        let paid = open.sent == 0 || open.resend || self.budget.may(self.now, &mut self.chance);
        if !in_time {
            let may_have_run = open.may_have_run.is_some();
            self.finish(id, open.last.unwrap_or(Ending::OutOfTime { may_have_run }));
            return false;
        }
        if !paid {
            self.counts.unpaid += 1;
            self.finish(
                id,
                open.last.unwrap_or(Ending::Scrapped { may_have_run: open.may_have_run.is_some() }),
            );
            return false;
        }
        let wants = Wants { rank: open.rank, subject: open.subject, avoid: &open.avoid, only: open.only };
        let Caller { links, terms, members, chance, now, .. } = self;
        let room = |member: &Member| room(member, links, terms);
        match members.choose(*now, &wants, room, terms, chance) {
            Choice::Member { id: member, warm } => {
                if let Some(warm) = warm {
                    self.connect(warm);
                }
                match self.roomy_link(member) {
                    Some(link) => {
                        self.send(id, member, link, waits_ms);
                        false
                    }
                    None => {
                        self.connect(member);
                        self.calls.contains_key(&id)
                    }
                }
            }
            Choice::After(at) => {
                self.rest(id, at);
                false
            }
            Choice::Declined(until) => {
                let come_back_ms = Some(until - self.now);
                let declined = Ending::GivenUp { why: Why::Advised, come_back_ms };
                self.end_with(id, declined);
                false
            }
            Choice::Nobody => {
                let any = self.links.values().any(|own| own.state == LinkState::Connecting);
                let wants_one = self.calls.get(&id).and_then(|open| open.only);
                let comes = wants_one.map_or(any || !self.members.chosen().is_empty(), |only| {
                    self.members.get(only).is_some()
                });
                if !comes {
                    self.end_with(id, Ending::GivenUp { why: Why::Nobody, come_back_ms: None });
                }
                comes
            }
        }
    }

    /// Ends a call with what its last try came to, or with this where none was made.
    fn end_with(&mut self, id: CallId, otherwise: Ending) {
        let Some(open) = self.calls.get(&id) else { return };
        let ending = open.last.unwrap_or(otherwise);
        self.finish(id, ending);
    }

    /// Nobody takes it before this time: it waits where it has the time, and ends at once where not.
    fn rest(&mut self, id: CallId, at: f64) {
        let Some(open) = self.calls.get(&id) else { return };
        let quickest = self.offerings[open.offering].quickest.of_late(self.now).unwrap_or(0.0);
        let at = at.max(self.now + 0.1);
        if at + quickest.max(self.terms.way_ms) >= open.due {
            self.end_with(id, Ending::GivenUp { why: Why::Nobody, come_back_ms: Some(at - self.now) });
        } else {
            self.change(id, Stage::Resting { until: at });
        }
    }

    /// Places what it can, first what is due first.
    fn place_ready(&mut self) {
        let mut stuck = 0;
        let mut from = (0, CallId(0));
        while let Some(&(due, id)) = self.ready.range(from..).next() {
            if self.place(id) {
                stuck += 1;
                if stuck >= STUCK_LOOKED_AT {
                    return;
                }
            }
            from = (due, CallId(id.0 + 1));
        }
    }

    fn send(&mut self, id: CallId, member: MemberId, link: LinkId, waits_ms: f64) {
        let Some(open) = self.calls.get_mut(&id) else { return };
        let repeat = open.sent > 0 && !open.resend;
        if repeat {
            // Whoever comes here has asked whether it may be.
            let paid = self.budget.pay(self.now, &mut self.chance);
            debug_assert!(paid, "a repeat was not paid for");
            self.counts.repeats += 1;
        } else if open.sent == 0 {
            self.budget.first(self.now, &mut self.chance);
            self.counts.first_tries += 1;
        } else {
            self.counts.resent += 1;
        }
        // What no member has read counts as not sent.
        let marked = repeat;
        open.resend = false;
        open.sent += 1;
        let Some(own) = self.links.get_mut(&link) else { return };
        own.last_seqid += 1;
        let seqid = own.last_seqid;
        own.out.insert(seqid, (id, self.now));
        own.used_at = self.now;
        open.out.push(TryOut { link, seqid, member });
        if let Some(member) = self.members.get_mut(member) {
            member.outstanding += 1;
            member.breaker.sent(self.now, &self.terms);
        }
        if self.terms.hedge_percentile.is_some()
            && open.repeats == Idempotency::Idempotent
            && open.out.len() == 1
        {
            if let Some(slow) = self.offerings[open.offering].slow.value() {
                let at = self.now + slow.max(1.0);
                if let Some(before) = open.hedge_at.replace(at) {
                    self.due.remove(&(before.to_bits(), Due::Hedge(id)));
                }
                self.due.insert((at.to_bits(), Due::Hedge(id)));
            }
        }
        self.change(id, Stage::Out);
        self.orders.push(Order::Send { link, seqid, call: id, waits_ms, marked });
    }

    /// A second copy of a call that is slow goes to another member, where the budget pays for it.
    fn hedge(&mut self, id: CallId) {
        let (waits_ms, in_time) = self.left(id);
        let Some(open) = self.calls.get_mut(&id) else { return };
        open.hedge_at = None;
        if !in_time || open.out.len() != 1 || !self.budget.may(self.now, &mut self.chance) {
            return;
        }
        let first = open.out[0].member;
        let wants = Wants { rank: open.rank, subject: 0, avoid: &[first], only: None };
        let Caller { links, terms, members, chance, now, .. } = self;
        let room = |member: &Member| room(member, links, terms);
        if let Choice::Member { id: member, .. } = members.choose(*now, &wants, room, terms, chance) {
            if let Some(link) = self.roomy_link(member).filter(|_| member != first) {
                self.counts.hedges += 1;
                self.send(id, member, link, waits_ms);
            }
        }
    }

    fn answered(&mut self, link: LinkId, seqid: i32, words: &ServerSignals, answer: Answer) {
        let Some(own) = self.links.get_mut(&link) else { return };
        let member = own.member;
        let Some((id, sent_at)) = own.out.remove(&seqid) else {
            if own.cancelled.remove(&seqid) {
                self.counts.late_answers += 1;
                self.told(member, words);
            } else {
                self.fault(link);
            }
            return;
        };
        (own.used_at, own.answered) = (self.now, true);
        let took_ms = self.now - sent_at;
        self.told(member, words);
        if matches!(answer, Answer::Succeeded) {
            self.members.learn(self.now, member, took_ms);
        }
        let Caller { members, terms, chance, now, .. } = self;
        if let Some(member) = members.get_mut(member) {
            member.outstanding = member.outstanding.saturating_sub(1);
            member.losses = 0;
            match answer {
                Answer::Succeeded | Answer::Dismissed(_) | Answer::Ours => member.breaker.well(*now, terms),
                Answer::Scrapped => member.breaker.failed(*now, terms, chance),
            }
        }
        let now = self.now;
        if let Some(open) = self.calls.get_mut(&id) {
            open.out.retain(|out| (out.link, out.seqid) != (link, seqid));
            let offering = &mut self.offerings[open.offering];
            match answer {
                Answer::Dismissed(_) => self.way.learn(now, took_ms),
                Answer::Succeeded => {
                    offering.quickest.learn(now, took_ms);
                    offering.slow.learn(took_ms, self.terms.hedge_percentile.unwrap_or(95.0));
                }
                _ => {}
            }
        }
        match answer {
            Answer::Succeeded => self.finish(id, Ending::Succeeded),
            Answer::Dismissed(words) => self.dismissed(id, member, &words),
            Answer::Scrapped => {
                let may_have_run = Ending::Scrapped { may_have_run: true };
                self.failed(id, member, TryOver::Failed, may_have_run);
            }
            // It never ran, and would not anywhere.
            Answer::Ours => self.finish(id, Ending::Scrapped { may_have_run: false }),
        }
        self.end_if_done(link);
    }

    fn told(&mut self, member: MemberId, words: &ServerSignals) {
        if let Some(member) = self.members.get_mut(member) {
            member.told(self.now, words, &self.terms);
        }
    }

    fn dismissed(&mut self, id: CallId, member: MemberId, words: &ServerSignals) {
        let Some(open) = self.calls.get_mut(&id) else { return };
        let left = open.due - self.now;
        let wait_ms = words.retry_after_ms;
        let ending = match open.may_have_run {
            Some(_) => Ending::Scrapped { may_have_run: true },
            None => Ending::Dismissed { come_back_ms: wait_ms, last: words.no_retry_elsewhere },
        };
        let too_long = wait_ms.is_some_and(|wait| wait >= left);
        // Nobody else is to be asked, and nothing says when this one may be.
        let over = too_long || (words.no_retry_elsewhere && wait_ms.is_none());
        if over && open.out.is_empty() {
            self.finish(id, ending);
            return;
        }
        if words.no_retry_elsewhere {
            open.only = Some(member);
        }
        self.failed(id, member, TryOver::Dismissed, ending);
    }

    /// A try is over without a result: the call waits for its other one, goes out again, or ends.
    fn failed(&mut self, id: CallId, member: MemberId, over: TryOver, ending: Ending) {
        let Some(open) = self.calls.get_mut(&id) else { return };
        let verdict = again(open.repeats, over, open.may_have_run.is_some());
        if !over.proves_not_run() {
            open.may_have_run.get_or_insert(member);
        }
        // A dismissal after a try that may have run does not take that back.
        open.last = match (ending, open.may_have_run) {
            (Ending::Dismissed { .. }, Some(_)) => Some(Ending::Scrapped { may_have_run: true }),
            _ => Some(ending),
        };
        if !open.out.is_empty() {
            return;
        }
        if over == TryOver::Crossed && !open.resent {
            (open.resend, open.resent) = (true, true);
        } else {
            if !open.avoid.contains(&member) {
                open.avoid.push(member);
            }
            if open.avoid.len() > AVOIDED {
                open.avoid.remove(0);
            }
        }
        match verdict {
            Again::No => {
                self.end_with(id, ending);
                return;
            }
            Again::SameMember => open.only = open.may_have_run,
            // A member that was lost can't be the only one.
            Again::Anywhere if over != TryOver::Dismissed => open.only = None,
            Again::Anywhere => {}
        }
        if !open.resend && !self.budget.may(self.now, &mut self.chance) {
            self.counts.unpaid += 1;
            self.end_with(id, ending);
            return;
        }
        // Answers of a whole fleet of callers that name the same wait would end at the same time.
        let only = self.calls[&id].only.and_then(|only| self.members.get(only));
        let rests_until = only.map_or(0.0, |only| only.away_until);
        if rests_until > self.now {
            let wait = rests_until - self.now;
            let later: f64 = self.chance.random();
            self.rest(id, self.now + wait * (1.0 + 0.2 * later));
        } else {
            self.change(id, Stage::Ready);
            self.place(id);
        }
    }

    // ---- connections ------------------------------------------------------------------------------------

    /// The connection to a member that has most room.
    fn roomy_link(&self, member: MemberId) -> Option<LinkId> {
        let links = self.members.get(member)?.links.iter();
        let roomy = links.filter(|link| self.links.get(link).is_some_and(|own| has_room(own, &self.terms)));
        roomy.min_by_key(|link| self.links[link].out.len()).copied()
    }

    /// Orders a connection where that may be.
    fn connect(&mut self, id: MemberId) -> bool {
        if self.links.len() >= self.terms.links && !self.make_room() {
            return false;
        }
        let Some(member) = self.members.get(id) else { return false };
        let connecting = |link: &LinkId| {
            let unready = [LinkState::Connecting, LinkState::Proving];
            self.links.get(link).is_some_and(|own| unready.contains(&own.state))
        };
        if member.links.iter().any(connecting) || member.links.len() >= self.terms.links_each {
            return false;
        }
        if member.losses > 0 && !self.pay_reconnect() {
            let wait = 1000.0 / self.terms.reconnects_a_second;
            let part: f64 = self.chance.random();
            self.rest_member(id, self.now + wait * (0.5 + 0.5 * part));
            return false;
        }
        self.last_link += 1;
        self.counts.connects += 1;
        let link = LinkId(self.last_link);
        let own = Link {
            member: id,
            state: LinkState::Connecting,
            out: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            last_seqid: 0,
            since: self.now,
            heard_at: self.now,
            used_at: self.now,
            closing_at: None,
            probe: None,
            answered: false,
        };
        if self.links.is_empty() {
            self.sweep_at = self.now + self.terms.sweep_ms;
        }
        self.links.insert(link, own);
        let Some(member) = self.members.get_mut(id) else { return false };
        member.links.push(link);
        self.orders.push(Order::Connect { link, to: member.address });
        true
    }

    /// Closes the connection that was not used for longest, if any is not in use.
    fn make_room(&mut self) -> bool {
        let idle = self.links.iter().filter(|(_, own)| own.state == LinkState::Open && own.out.is_empty());
        let first = idle.min_by(|a, b| a.1.used_at.total_cmp(&b.1.used_at)).map(|(link, _)| *link);
        first.inspect(|link| self.shut(*link)).is_some()
    }

    fn pay_reconnect(&mut self) -> bool {
        let more = (self.now - self.reconnects_at) / 1000.0 * self.terms.reconnects_a_second;
        self.reconnects = (self.reconnects + more).min(self.terms.reconnects);
        self.reconnects_at = self.now;
        let paid = self.reconnects >= 1.0;
        self.reconnects -= f64::from(paid);
        paid
    }

    /// Takes a connection out of the tables; what was out on it is handed back. `lost` tells that it ended badly,
    /// which counts for its member where it was the last one.
    fn remove_link(&mut self, link: LinkId, lost: bool) -> Vec<(i32, CallId, f64)> {
        let Some(own) = self.links.remove(&link) else { return Vec::new() };
        let Some(member) = self.members.get_mut(own.member) else { return Vec::new() };
        member.links.retain(|other| *other != link);
        member.outstanding = member.outstanding.saturating_sub(own.out.len());
        if !own.out.is_empty() {
            member.breaker.unheard(self.now);
        }
        if lost && member.links.is_empty() {
            member.losses = member.losses.saturating_add(1);
            let losses = member.losses;
            self.lost_member(own.member, losses);
        }
        own.out.into_iter().map(|(seqid, (call, sent_at))| (seqid, call, sent_at)).collect()
    }

    /// When a member that was lost is met again. The first time each caller has a place of its own in the spread; from
    /// then on chance has the whole of it. A caller that has lost all members meets one first and the others
    /// after it, so that what a restart of all sees is one connection a caller and not one for each pair.
    fn lost_member(&mut self, id: MemberId, losses: u32) {
        let connected = self.links.values().any(|own| own.state == LinkState::Open);
        let spread = self.terms.reconnect_spread_ms;
        let doubled = spread.max(1.0) * f64::from(1u32 << losses.min(8).saturating_sub(1));
        let by_chance = doubled.min(self.terms.reconnect_most_ms) * self.chance.random::<f64>();
        let own_place = self.phase * spread;
        let wait = if losses <= 1 { own_place } else { by_chance };
        if connected {
            self.rest_member(id, self.now + wait);
            return;
        }
        if self.away_until <= self.now {
            if losses <= 1 {
                self.phase = (self.phase + 0.618_033_988_75) % 1.0;
            }
            self.away_until = self.now + wait;
            self.rest_member(id, self.away_until);
        } else {
            self.rest_behind(id);
        }
        // Others that rest come after the first.
        let resting: Vec<MemberId> = self.members.chosen().to_vec();
        for other in resting.into_iter().filter(|other| *other != id) {
            let early = |m: &Member| m.losses > 0 && m.links.is_empty() && m.rest_until <= self.away_until;
            if self.members.get(other).is_some_and(early) {
                self.rest_behind(other);
            }
        }
    }

    fn rest_behind(&mut self, id: MemberId) {
        let behind = 0.25 * self.terms.reconnect_spread_ms * (0.1 + 0.9 * self.chance.random::<f64>());
        self.rest_member(id, self.away_until + behind);
    }

    fn rest_member(&mut self, id: MemberId, until: f64) {
        let Some(member) = self.members.get_mut(id) else { return };
        self.due.remove(&(member.rest_until.to_bits(), Due::Reconnect(id)));
        member.rest_until = until;
        if !self.closed {
            self.due.insert((until.to_bits(), Due::Reconnect(id)));
        }
    }

    /// The time has come to meet a member again, where calls are made at all.
    fn reconnect(&mut self, id: MemberId) {
        let chosen = self.members.chosen().contains(&id);
        let active = self.now - self.called_at < ACTIVE_MS;
        let alone = self.members.get(id).is_some_and(|member| member.links.is_empty());
        if chosen && active && alone {
            self.connect(id);
        }
    }

    /// A connection that this side ends. One that its member told to close before it had answered anything is a
    /// loss: else it would be made again at once.
    fn shut(&mut self, link: LinkId) {
        let unheard = |own: &Link| own.state == LinkState::Closing && !own.answered;
        let lost = self.links.get(&link).is_some_and(unheard);
        let out = self.remove_link(link, lost);
        self.orders.push(Order::Close { link });
        debug_assert!(out.is_empty(), "a connection is closed with calls out");
    }

    fn end_if_done(&mut self, link: LinkId) {
        let done = |own: &Link| own.state == LinkState::Closing && own.out.is_empty();
        if self.links.get(&link).is_some_and(done) {
            self.shut(link);
        }
    }

    /// The member takes no new call there.
    fn closing(&mut self, link: LinkId) {
        let Some(own) = self.links.get_mut(&link) else { return };
        own.closing_at = own.closing_at.or(Some(self.now));
        own.state = LinkState::Closing;
        let in_use = !own.out.is_empty() || self.now - own.used_at < self.terms.crossing_ms;
        let id = own.member;
        let open = |link: &LinkId| self.links.get(link).is_some_and(|own| own.state != LinkState::Closing);
        if let Some(member) = self.members.get(id) {
            let last = !member.links.iter().any(open);
            if in_use && last {
                let until = self.now + self.terms.leaving_ms;
                self.members.get_mut(id).into_iter().for_each(|member| member.leaving_until = until);
            }
        }
        self.end_if_done(link);
    }

    /// A connection has ended unasked. One that was idle, or told so, is no loss.
    fn lose(&mut self, link: LinkId) {
        let Some(own) = self.links.get(&link) else { return };
        let closing_at = own.closing_at;
        let idle = own.out.is_empty() && self.now - own.used_at >= 1000.0;
        let connecting = own.state == LinkState::Connecting;
        let member = own.member;
        if connecting {
            self.counts.connects_failed += 1;
        } else if !own.out.is_empty() {
            self.counts.links_lost += 1;
        }
        // One that took calls and answered none, not even before `closing`, is no member that just tidies up.
        let bad = !idle && (closing_at.is_none() || !own.answered);
        let Caller { members, terms, chance, now, .. } = self;
        if let Some(member) = members.get_mut(member).filter(|_| closing_at.is_none() && !idle && !connecting)
        {
            member.breaker.failed(*now, terms, chance);
        }
        let out = self.remove_link(link, connecting || bad);
        for (seqid, call, sent_at) in out {
            self.drop_try(call, link, seqid);
            let crossed = closing_at.is_some_and(|heard| sent_at >= heard - self.terms.crossing_ms);
            let (over, ending) = if crossed {
                (TryOver::Crossed, Ending::Dismissed { come_back_ms: None, last: false })
            } else {
                (TryOver::Lost, Ending::Scrapped { may_have_run: true })
            };
            self.failed(call, member, over, ending);
        }
    }

    /// A connection does what no member's does: it ends, and its member is kept from calls for a while.
    fn fault(&mut self, link: LinkId) {
        let Some(own) = self.links.get(&link) else { return };
        let member = own.member;
        self.counts.faults += 1;
        self.counts.links_lost += 1;
        let Caller { members, terms, chance, now, .. } = self;
        if let Some(member) = members.get_mut(member) {
            member.breaker.fault(*now, terms, chance);
        }
        let out = self.remove_link(link, true);
        self.orders.push(Order::Close { link });
        // Its other connections have to show that they are better.
        let others = self.members.get(member).map_or_else(Vec::new, |member| member.links.clone());
        for other in others {
            let open = |own: &&mut Link| own.state == LinkState::Open;
            if let Some(own) = self.links.get_mut(&other).filter(open) {
                own.state = LinkState::Proving;
                if own.probe.is_none() {
                    self.probe(other);
                }
            }
        }
        for (seqid, call, _) in out {
            self.drop_try(call, link, seqid);
            self.failed(call, member, TryOver::Lost, Ending::Scrapped { may_have_run: true });
        }
    }

    fn drop_try(&mut self, call: CallId, link: LinkId, seqid: i32) {
        if let Some(open) = self.calls.get_mut(&call) {
            open.out.retain(|out| (out.link, out.seqid) != (link, seqid));
        }
    }

    /// Looks at all connections: those that are not made in time, have fallen silent, or are not used.
    fn sweep(&mut self) {
        let all: Vec<LinkId> = self.links.keys().copied().collect();
        for link in all {
            let Some(own) = self.links.get_mut(&link) else { continue };
            let (now, terms) = (self.now, &self.terms);
            if own.state == LinkState::Connecting {
                if now - own.since >= terms.connect_ms {
                    self.counts.connects_failed += 1;
                    self.remove_link(link, true);
                    self.orders.push(Order::Close { link });
                }
                continue;
            }
            if own.probe.is_some_and(|(_, asked)| own.heard_at > asked)
                && own.out.is_empty()
                && own.state == LinkState::Open
            {
                own.probe = None;
            }
            if let Some((_, asked)) = own.probe {
                if now - asked >= terms.probe_patience_ms
                    && (own.heard_at < asked || own.state == LinkState::Proving)
                {
                    self.fault(link);
                }
                continue;
            }
            let first = own.out.values().next().map(|(_, sent_at)| *sent_at);
            if let Some(sent_at) = first {
                if now - own.heard_at.max(sent_at) >= terms.probe_after_ms {
                    self.probe(link);
                }
                continue;
            }
            let member = own.member;
            let (unused, id) = (now - own.used_at, member);
            let Some(member) = self.members.get(id) else { continue };
            let only = member.links.len() == 1 && member.left_since.is_none();
            let left = member
                .left_since
                .is_some_and(|since| now - since >= terms.make_before_break_ms || self.serves_beside(id));
            if left || unused >= if only { terms.idle_last_ms } else { terms.idle_ms } {
                self.shut(link);
            }
        }
        self.forget_left();
    }

    /// Members that left the list are forgotten once nothing can come from them.
    fn forget_left(&mut self) {
        let gone = |member: &Member| member.left_since.is_some() && member.links.is_empty();
        let gone: Vec<MemberId> = self.members.iter().filter(|(_, m)| gone(m)).map(|(id, _)| id).collect();
        for id in gone {
            let pinned =
                self.calls.values().any(|open| open.only == Some(id) || open.may_have_run == Some(id));
            if !pinned {
                let rest_until = self.members.get(id).map_or(0.0, |member| member.rest_until);
                self.due.remove(&(rest_until.to_bits(), Due::Reconnect(id)));
                self.members.forget(id);
            }
        }
    }

    /// Asks for the member's health.
    fn probe(&mut self, link: LinkId) {
        let Some(own) = self.links.get_mut(&link).filter(|own| own.last_seqid < LAST_SEQID) else { return };
        own.last_seqid += 1;
        own.probe = Some((own.last_seqid, self.now));
        self.orders.push(Order::Probe { link, seqid: own.last_seqid });
    }

    /// Another member among the chosen is connected.
    fn serves_beside(&self, id: MemberId) -> bool {
        let open = |link: &LinkId| self.links.get(link).is_some_and(|own| own.state == LinkState::Open);
        let others = self.members.chosen().iter().filter(|other| **other != id);
        others.filter_map(|other| self.members.get(*other)).any(|member| member.links.iter().any(open))
    }
}

/// An answer to a try, as far as decisions hang on it.
#[derive(Clone, Copy)]
enum Answer {
    Succeeded,
    Dismissed(ServerSignals),
    Scrapped,
    /// What was sent would be refused everywhere.
    Ours,
}

fn has_room(own: &Link, terms: &Terms) -> bool {
    own.state == LinkState::Open && own.out.len() < terms.open_each && own.last_seqid < LAST_SEQID
}

fn room(member: &Member, links: &BTreeMap<LinkId, Link>, terms: &Terms) -> Room {
    let mut best = if member.links.len() < terms.links_each { Room::Soon } else { Room::None };
    for own in member.links.iter().filter_map(|link| links.get(link)) {
        match own.state {
            LinkState::Open if has_room(own, terms) => return Room::Now,
            LinkState::Connecting | LinkState::Proving => best = Room::Soon,
            _ => {}
        }
    }
    best
}

#[cfg(test)]
mod tests;
