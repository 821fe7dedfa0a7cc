//! One member's part in holding tickets for all.
//!
//! The ordinary path of a ticketed invocation at a backend (its *runner*):
//!
//! 1. [`Copies::begin`] sends a claim to the ticket's first holder. That orders it among others, notes it, and passes it to the
//!    further holders; all of them confirm it to the runner. When all have, the backend may launch: one and a half round trips.
//! 2. [`Copies::ended`] sends the ending to all holders at once. When all have confirmed it, the backend may answer: one more.
//!
//! A try that finds its ticket taken hears how it ended, or waits for that. Everything carries the number of the view it is
//! said under, and whoever is in another view does not take it: so of two views' holders one set at most can confirm.
//!
//! When the view changes, each member tells each new first all that it holds or runs of what that one is first of now, and that
//! this was all ([`Message::Told`]). A first that was it before goes on with new tickets at once; a new one waits for all
//! members of the view. Then it settles what stands open:
//!
//! A holder that the group doubts would hold up each claim until the next view is without it. So the first passes it over and
//! takes the next in order, as long as there are as many; a claim that hangs already is made anew in a further *round*, which
//! its runner begins and never before it has given up the one before: of two rounds' holders one set at most confirms.
//!
//! A member that leaves holds nothing new (its weight is 0), stays in the view as a runner until what it runs has ended, and
//! goes once all others say that what they are first of has all its copies ([`Copies::handed_on`]).
//!
//! | what the holders of before tell | what it comes to |
//! | --- | --- |
//! | an ending | that ending, copied anew |
//! | a claim, and its runner lives and runs it | goes on |
//! | a claim whose runner is gone, held by all holders of before that are left | in doubt: it may have begun. Answered as failed, everywhere |
//! | a claim whose runner is gone, not held by one of them | it never began, as no launch comes before all have it: free again |
//!
//! | state of a ticket at its runner | left by |
//! | --- | --- |
//! | `Asking` | all holders confirm: `Running`; taken: `Waiting`; ended: told; due: given back |
//! | `Waiting` | its ending; free: `Asking` |
//! | `Running` | the backend's run ends: `Ending`; a view that settled otherwise: told as in doubt |
//! | `Ending` | all holders confirm: told |

use std::collections::{BTreeMap, BTreeSet};

use plovershelf_cluster::NodeId as Id;
use serde::{Deserialize, Serialize};

use crate::broken::{self, Broken};
use crate::placement::{place, Holder, Ticket};

/// How a ticketed invocation ended, for all of its tries.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Ending {
    Succeeded(Vec<u8>),
    /// It ran and failed; it may have had its effect.
    Failed,
    /// Its runner is gone, and it may have begun.
    InDoubt,
}

/// Whose try it is, and its how manieth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim {
    pub runner: Id,
    pub number: u64,
}

/// The order of a ticket's claims: the view, then the place that its first gave it there.
pub type Order = (u64, u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    pub claim: Claim,
    pub order: Order,
    /// Who had to confirm the claim before anything was launched. Never changed by copies made later: that one of these has
    /// nothing proves that nothing was launched.
    pub holders: Vec<Id>,
    /// How often its runner has begun anew with other holders; told along, so that what was said in an older one is known.
    pub round: u32,
    pub ending: Option<Ending>,
    /// The view under which it ended, and 1 where that was settled after a change, 0 where its runner told it. Of two endings
    /// of one claim the later counts: an ending that all had is known to each later settling, so an older one that differs
    /// was never told to anybody.
    pub ended: (u64, u8),
    /// How long it is kept from now on, in milliseconds; told as a span, since clocks differ.
    pub keep_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To the first.
    Claim {
        view: u64,
        ticket: Ticket,
        claim: Claim,
        round: u32,
        keep_ms: u64,
    },
    /// From the first to the other holders.
    Copy {
        view: u64,
        ticket: Ticket,
        record: Record,
    },
    /// A holder to the runner: the claim stands here, and has to stand at all of these.
    Stands {
        view: u64,
        ticket: Ticket,
        claim: Claim,
        round: u32,
        holders: Vec<Id>,
    },
    /// The first to a runner: it is taken, or has ended.
    Taken {
        view: u64,
        ticket: Ticket,
        claim: Claim,
        ending: Option<Ending>,
    },
    /// The first to a runner that waited: it is free, claim it again.
    Free {
        view: u64,
        ticket: Ticket,
    },
    /// The runner to all holders.
    End {
        view: u64,
        ticket: Ticket,
        claim: Claim,
        ending: Ending,
        keep_ms: u64,
    },
    /// A holder to the runner: the ending stands here, which may be another than it told.
    Ended {
        view: u64,
        ticket: Ticket,
        claim: Claim,
        ending: Ending,
    },
    /// The runner to the first: all holders have the ending, so it may be told.
    Done {
        view: u64,
        ticket: Ticket,
        claim: Claim,
    },
    /// The runner to all holders: nothing was launched.
    GiveBack {
        view: u64,
        ticket: Ticket,
        claim: Claim,
    },
    /// To a first after a change of view: what the sender holds, and what it runs itself.
    Tell {
        view: u64,
        held: Vec<(Ticket, Record)>,
        runs: Vec<(Ticket, Claim)>,
    },
    /// That was all; so many tickets.
    Told {
        view: u64,
        count: u64,
    },
    /// A first to its holders after a change: keep these from now on; answered by `Kept`.
    Keep {
        view: u64,
        records: Vec<(Ticket, Record)>,
    },
    Kept {
        view: u64,
        tickets: Vec<Ticket>,
    },
    /// All that the sender told since the view changed has come.
    HeardAll {
        view: u64,
    },
    /// A holder to a runner: is this one still yours? Answered with `GiveBack` where it is not.
    Still {
        view: u64,
        ticket: Ticket,
        claim: Claim,
    },
    /// One that leaves to all others: may I go? Answered with `Go` once what the other is first of has all its copies.
    MayGo {
        view: u64,
    },
    Go {
        view: u64,
    },
}

impl Message {
    /// The number of the view under which it is said.
    pub fn view(&self) -> u64 {
        match self {
            Message::Claim { view, .. }
            | Message::Copy { view, .. }
            | Message::Stands { view, .. }
            | Message::Taken { view, .. }
            | Message::Free { view, .. }
            | Message::End { view, .. }
            | Message::Ended { view, .. }
            | Message::GiveBack { view, .. }
            | Message::Done { view, .. }
            | Message::Tell { view, .. }
            | Message::Told { view, .. }
            | Message::Keep { view, .. }
            | Message::Kept { view, .. }
            | Message::HeardAll { view }
            | Message::MayGo { view }
            | Message::Go { view }
            | Message::Still { view, .. } => *view,
        }
    }
}

/// Spans in milliseconds, counts, bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    pub copies: usize,
    /// Fewer holders than this in a view, and nothing is promised.
    pub least: usize,
    /// A claim that does not stand within this is given back, its invocation dismissed: what waits on one that is gone holds no
    /// room. One that waits for another's end waits on.
    pub claim_ms: f64,
    /// What is not confirmed is said again after this.
    pub again_ms: f64,
    /// Tickets held at once, and what their endings may take together; more are refused.
    pub tickets: usize,
    pub bytes: usize,
    /// Tickets in one message, and such messages a second while copies are made good.
    pub batch: usize,
    pub batches_a_second: f64,
    /// A claim whose runner says nothing more is kept so long beyond its due time.
    pub claim_slack_ms: f64,
    /// What is in doubt is kept so long at least, for repeats that are still to come.
    pub doubt_keep_ms: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            copies: 3,
            least: 2,
            claim_ms: 400.0,
            again_ms: 100.0,
            tickets: 100_000,
            bytes: 64 << 20,
            batch: 64,
            batches_a_second: 200.0,
            claim_slack_ms: 1000.0,
            doubt_keep_ms: 60_000.0,
        }
    }
}

/// What the backend hears of its own ticketed invocations, by the number it gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// All copies of the claim stand: launch it.
    Launch(u64),
    /// Another try had it: answer with this, nothing was launched here.
    Ended(u64, Ending),
    /// The ending stands on all copies: answer with it. It may be another than the run's own.
    Answer(u64, Ending),
    /// It stands on `least` of them, and others are slow or gone: what there is to answer with if the due time comes first.
    Enough(u64, Ending),
    /// Nothing can be promised now: dismiss it, nothing was launched.
    Refuse(u64),
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Asking { stands: BTreeSet<Id> },
    Waiting,
    Running,
    Ending { ending: Ending, stands: BTreeSet<Id> },
}

/// An invocation of this backend.
#[derive(Clone, Debug, PartialEq)]
struct Own {
    ticket: Ticket,
    claim: Claim,
    stage: Stage,
    due: f64,
    claim_by: f64,
    keep_ms: f64,
    again_at: f64,
    /// Its round, and the holders that it was told of, under which view.
    round: u32,
    stood: (u64, Vec<Id>),
    enough_told: bool,
}

impl Own {
    fn ends_at(&self) -> f64 {
        match self.stage {
            Stage::Asking { .. } => self.due.min(self.claim_by),
            _ => self.due,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Held {
    claim: Claim,
    order: Order,
    holders: Vec<Id>,
    round: u32,
    ending: Option<Ending>,
    ended: (u64, u8),
    until: f64,
    /// Of the first: who waits for the ending, and who still has to confirm a copy made anew.
    waiting: Vec<(Id, Claim)>,
    lacking: BTreeSet<Id>,
    /// All holders had the ending, so it outlives what is promised to be borne. Before that nobody is told of it.
    sure: bool,
}

/// What a holder does by itself when its time has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// Copies that are not confirmed yet are sent again.
    Keep,
    /// The window is over, or a claim's runner should have ended it.
    Over,
}

/// What the others have told since the view changed.
#[derive(Clone, Debug, Default, PartialEq)]
struct Gathering {
    /// Members that have told all.
    told: BTreeSet<Id>,
    /// By ticket: who holds which claim; who runs which.
    held: BTreeMap<Ticket, Vec<(Id, Record)>>,
    runs: BTreeSet<(Ticket, Claim)>,
    counts: BTreeMap<Id, u64>,
    came: BTreeMap<Id, BTreeSet<Ticket>>,
    done: bool,
}

#[derive(Clone, Debug)]
pub struct Copies {
    me: Id,
    terms: Terms,
    view: u64,
    members: Vec<Holder>,
    /// Members of the view before, to whom continuity may be owed.
    before: (u64, Vec<Holder>),
    held: BTreeMap<Ticket, Held>,
    held_bytes: usize,
    own: BTreeMap<u64, Own>,
    numbers: BTreeMap<Ticket, BTreeSet<u64>>,
    gathering: Gathering,
    /// What is still to be told after the view changed, at a bounded rate: to whom; and who has not confirmed it.
    telling: BTreeMap<Id, (Vec<Ticket>, u64)>,
    unheard: BTreeSet<Id>,
    /// This one was settled in the view right before, so it knows all claims that it ordered there.
    goes_on: bool,
    due: BTreeSet<(u64, Due, Ticket)>,
    last_order: u64,
    /// Members that may be gone, as the group says; they are passed over where others can hold instead.
    doubted: BTreeSet<Id>,
    /// This member leaves: who has let it go.
    leaving: Option<BTreeSet<Id>>,
    may_go_at: f64,
    tell_from: f64,
    tell_again_at: f64,
    last_number: u64,
    now: f64,
    send: Vec<(Id, Message)>,
    out: Vec<Told>,
}

/// Tries that wait for one ticket; more ask again by themselves.
const WAITING_MOST: usize = 64;

fn bytes(ending: &Option<Ending>) -> usize {
    match ending {
        Some(Ending::Succeeded(result)) => result.len() + 160,
        _ => 160,
    }
}

/// Of two records of one ticket the one that counts: the later claim, then the one that has ended.
fn newer(one: (Order, bool, (u64, u8)), other: (Order, bool, (u64, u8))) -> bool {
    one > other
}

impl Copies {
    pub fn new(me: Id, terms: Terms, now: f64) -> Self {
        Copies {
            me,
            terms,
            view: 0,
            members: Vec::new(),
            before: (0, Vec::new()),
            held: BTreeMap::new(),
            held_bytes: 0,
            own: BTreeMap::new(),
            numbers: BTreeMap::new(),
            gathering: Gathering::default(),
            telling: BTreeMap::new(),
            unheard: BTreeSet::new(),
            goes_on: false,
            due: BTreeSet::new(),
            last_order: 0,
            doubted: BTreeSet::new(),
            leaving: None,
            may_go_at: f64::INFINITY,
            tell_from: now,
            tell_again_at: now,
            last_number: 0,
            now,
            send: Vec::new(),
            out: Vec::new(),
        }
    }

    // ---- what others may know ----------------------------------------------------------------------

    pub fn view(&self) -> u64 {
        self.view
    }
    pub fn held_count(&self) -> usize {
        self.held.len()
    }
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }
    /// Tickets whose copies made anew are not all confirmed yet, as far as this member is their first.
    pub fn low(&self) -> usize {
        self.held.values().filter(|held| !held.lacking.is_empty()).count()
    }
    /// What is held of a ticket here: its claim, how it ended.
    pub fn find(&self, ticket: Ticket) -> Option<(Claim, Option<&Ending>)> {
        self.held.get(&ticket).map(|held| (held.claim, held.ending.as_ref()))
    }
    /// Whether this member settles what it is first of.
    pub fn settled(&self) -> bool {
        self.gathering.done
    }
    pub fn terms(&self) -> &Terms {
        &self.terms
    }
    /// This backend's own: asked for, waiting, running, being ended.
    pub fn own_counts(&self) -> [u64; 4] {
        let mut counts = [0; 4];
        for own in self.own.values() {
            let place = match own.stage {
                Stage::Asking { .. } => 0,
                Stage::Waiting => 1,
                Stage::Running => 2,
                Stage::Ending { .. } => 3,
            };
            counts[place] += 1;
        }
        counts
    }
    /// Where a ticket's copies lie by the view, the first at the front.
    pub fn placed(&self, ticket: Ticket) -> Vec<Id> {
        self.holders(ticket)
    }
    /// What is held of a ticket here: who runs or ran it, its holders at the claim, how it ended, how long it is kept.
    pub fn look_up(&self, ticket: Ticket) -> Option<Record> {
        self.record(ticket)
    }
    /// One that leaves: whether all it ran has ended and all others have said that their copies stand without it.
    pub fn handed_on(&self) -> bool {
        let others = || self.members.iter().filter(|holder| holder.id != self.me);
        self.own.is_empty()
            && self.leaving.as_ref().is_some_and(|gone| others().all(|holder| gone.contains(&holder.id)))
    }

    pub fn next_at(&self) -> f64 {
        let own = self.own.values().map(|own| own.again_at.min(own.ends_at())).fold(f64::INFINITY, f64::min);
        let tell = if self.telling.is_empty() { f64::INFINITY } else { self.tell_from };
        let again = if self.unheard.is_empty() { f64::INFINITY } else { self.tell_again_at };
        let held = self.due.first().map_or(f64::INFINITY, |(at, ..)| f64::from_bits(*at));
        own.min(tell).min(again).min(held).min(self.may_go_at).max(self.now + 1.0)
    }

    pub fn take(&mut self) -> (Vec<(Id, Message)>, Vec<Told>) {
        (std::mem::take(&mut self.send), std::mem::take(&mut self.out))
    }

    // ---- what the backend wants ----------------------------------------------------------------------

    /// A ticketed invocation was let in and may be launched once its claim stands, until `due`. It is kept for `keep_ms` after it ended.
    /// Tells its number; what comes of it is told by [`Told`], exactly once each.
    pub fn begin(&mut self, now: f64, ticket: Ticket, due: f64, keep_ms: f64) -> u64 {
        self.now = now;
        self.last_number += 1;
        let number = self.last_number;
        let claim = Claim { runner: self.me, number };
        let own = Own {
            ticket,
            claim,
            stage: Stage::Asking { stands: BTreeSet::new() },
            due,
            claim_by: now + self.terms.claim_ms,
            keep_ms,
            again_at: now,
            round: 0,
            stood: (0, Vec::new()),
            enough_told: false,
        };
        self.own.insert(number, own);
        self.numbers.entry(ticket).or_default().insert(number);
        if self.holders(ticket).len() < self.terms.least.max(1) {
            self.finish(number, Told::Refuse(number));
        } else {
            self.press(number);
        }
        number
    }

    /// The backend's run came to its end.
    pub fn ended(&mut self, now: f64, number: u64, ending: Ending) {
        self.now = now;
        if let Some(own) = self.own.get_mut(&number).filter(|own| own.stage == Stage::Running) {
            // The due time holds for the launch; an ending is told until it stands, or nobody waits for it any more.
            (own.stage, own.again_at) = (Stage::Ending { ending, stands: BTreeSet::new() }, now);
            own.due = now + own.keep_ms;
            self.press(number);
        }
    }

    /// What might have been launched surely was not: it is given back.
    pub fn never_launched(&mut self, now: f64, number: u64) {
        self.now = now;
        if let Some(own) = self.own.get_mut(&number).filter(|own| own.stage == Stage::Running) {
            own.stage = Stage::Waiting;
            self.give_back(number);
        }
    }

    /// The caller is gone, or the due time has come: what was not launched is given back. Of what runs nothing changes.
    pub fn given_up(&mut self, now: f64, number: u64) {
        self.now = now;
        if self.own.get(&number).is_some_and(|own| matches!(own.stage, Stage::Asking { .. } | Stage::Waiting))
        {
            self.give_back(number);
        }
    }

    /// This member leaves: it asks all others whether their copies stand without it.
    pub fn leave(&mut self, now: f64) {
        self.now = now;
        self.leaving.get_or_insert_default();
        self.may_go_at = now;
    }

    /// These may be gone; claims that hang on one of them are made anew with others.
    pub fn doubts(&mut self, now: f64, doubted: BTreeSet<Id>) {
        self.now = now;
        if doubted == self.doubted {
            return;
        }
        self.doubted = doubted;
        let hang = |own: &Own| matches!(own.stage, Stage::Asking { .. });
        let pressed: Vec<u64> = self.own.iter().filter(|(_, own)| hang(own)).map(|(n, _)| *n).collect();
        pressed.into_iter().for_each(|number| self.press(number));
    }

    // ---- what happens to it ------------------------------------------------------------------------

    /// A view was agreed on. Older ones are left unread.
    pub fn view_is(&mut self, now: f64, number: u64, members: Vec<Holder>) {
        self.now = now;
        if number <= self.view {
            return;
        }
        self.goes_on = self.gathering.done && self.view > 0 && number == self.view + 1;
        self.before = (self.view, std::mem::replace(&mut self.members, members));
        self.view = number;
        self.gathering = Gathering::default();
        self.telling.clear();
        for held in self.held.values_mut() {
            held.lacking.clear();
        }
        // Claims that do not stand yet are made anew under this view; what runs goes on if the new firsts hear of it.
        for own in self.own.values_mut() {
            own.again_at = now;
            if let Stage::Asking { stands } | Stage::Ending { stands, .. } = &mut own.stage {
                stands.clear();
            }
        }
        self.unheard = self.members.iter().map(|holder| holder.id).filter(|id| *id != self.me).collect();
        if let Some(gone) = self.leaving.as_mut() {
            gone.clear();
            self.may_go_at = now;
        }
        self.gathered_own();
        self.tell_all();
        let pressed: Vec<u64> = self.own.keys().copied().collect();
        pressed.into_iter().for_each(|number| self.press(number));
        self.settle();
    }

    pub fn tick(&mut self, now: f64) {
        self.now = now;
        let due: Vec<u64> = self
            .own
            .iter()
            .filter(|(_, own)| own.again_at <= now || own.ends_at() <= now)
            .map(|(n, _)| *n)
            .collect();
        for number in due {
            let late = self.own.get(&number).is_some_and(|own| own.ends_at() <= now);
            if late && self.own.get(&number).is_some_and(|own| own.stage != Stage::Running) {
                self.give_back(number);
            } else {
                self.press(number);
            }
        }
        self.tell_on();
        if !self.unheard.is_empty() && self.tell_again_at <= now {
            self.tell_all();
        }
        self.holders_due();
        if self.may_go_at <= now {
            self.ask_to_go();
        }
    }

    fn ask_to_go(&mut self) {
        self.may_go_at = self.now + 2.0 * self.terms.again_ms;
        let (view, me) = (self.view, self.me);
        let Some(gone) = &self.leaving else { return };
        let others: Vec<Id> =
            self.members.iter().map(|h| h.id).filter(|id| *id != me && !gone.contains(id)).collect();
        others.into_iter().for_each(|id| self.say(id, Message::MayGo { view }));
    }

    /// What this one is first of has all its copies, and none of them is to be with the one that asks.
    fn asked_to_go(&mut self, from: Id) {
        let holds = self.members.iter().any(|holder| holder.id == from && holder.weight > 0.0);
        if !holds && self.gathering.done && self.unheard.is_empty() && self.low() == 0 {
            let view = self.view;
            self.say(from, Message::Go { view });
        }
    }

    fn holders_due(&mut self) {
        for _ in 0..self.terms.batch {
            let Some(&(at, due, ticket)) =
                self.due.first().filter(|(at, ..)| f64::from_bits(*at) <= self.now)
            else {
                return;
            };
            self.due.remove(&(at, due, ticket));
            match due {
                Due::Keep => self.keep(ticket),
                Due::Over => self.over(ticket),
            }
        }
    }

    fn at(&mut self, at: f64, due: Due, ticket: Ticket) {
        self.due.insert((at.max(0.0).to_bits(), due, ticket));
    }

    /// The window of an ending is over: it is forgotten. A claim that should have ended is asked about.
    fn over(&mut self, ticket: Ticket) {
        let (now, view) = (self.now, self.view);
        let Some(held) = self.held.get(&ticket) else { return };
        let (until, claim, ended) = (held.until, held.claim, held.ending.is_some());
        if until > now {
            return self.at(until, Due::Over, ticket);
        }
        if ended {
            if let Some(held) = self.held.remove(&ticket) {
                self.held_bytes -= bytes(&held.ending);
            }
            return;
        }
        self.at(now + self.terms.claim_slack_ms, Due::Over, ticket);
        self.say(claim.runner, Message::Still { view, ticket, claim });
    }

    pub fn hear(&mut self, now: f64, from: Id, message: Message) {
        self.now = now;
        let view = message.view();
        // The fence: what is said under another view is not taken. Its sender says it again.
        if view != self.view || !self.members.iter().any(|holder| holder.id == from) {
            return;
        }
        match message {
            Message::Claim { ticket, claim, round, keep_ms, .. } => {
                self.claimed(from, ticket, claim, round, keep_ms)
            }
            Message::Copy { ticket, record, .. } => self.copied(from, ticket, record),
            Message::Stands { ticket, claim, round, holders, .. } => {
                self.stands(from, ticket, claim, round, holders)
            }
            Message::Taken { ticket, claim, ending, .. } => self.taken(from, ticket, claim, ending),
            Message::Free { ticket, .. } => self.free(from, ticket),
            Message::End { ticket, claim, ending, keep_ms, .. } => {
                self.end(from, ticket, claim, ending, keep_ms)
            }
            Message::Ended { ticket, claim, ending, .. } => self.end_stands(from, ticket, claim, ending),
            Message::GiveBack { ticket, claim, .. } => self.given_back(from, ticket, claim),
            Message::Done { ticket, claim, .. } => {
                if self.held.get(&ticket).is_some_and(|held| held.claim == claim && claim.runner == from) {
                    self.is_sure(ticket);
                }
            }
            Message::Tell { held, runs, .. } => self.told(from, held, runs),
            Message::Told { count, .. } => {
                self.gathering.counts.insert(from, count);
                self.gathered(from);
            }
            Message::Keep { records, .. } => {
                let mut tickets = Vec::new();
                for (ticket, record) in records {
                    if self.first(ticket) == Some(from) && self.note(ticket, record) {
                        tickets.push(ticket);
                    }
                }
                let view = self.view;
                self.say(from, Message::Kept { view, tickets });
            }
            Message::Kept { tickets, .. } => {
                for ticket in tickets {
                    let Some(held) = self.held.get_mut(&ticket) else { continue };
                    if held.lacking.remove(&from) && held.lacking.is_empty() {
                        self.is_sure(ticket);
                    }
                }
            }
            Message::HeardAll { .. } => drop(self.unheard.remove(&from)),
            Message::MayGo { .. } => self.asked_to_go(from),
            Message::Go { .. } => {
                if let Some(gone) = self.leaving.as_mut() {
                    gone.insert(from);
                }
            }
            Message::Still { ticket, claim, .. } => {
                if claim.runner == self.me && self.numbered(ticket, claim).is_none() {
                    self.say(from, Message::GiveBack { view, ticket, claim });
                }
            }
        }
    }

    // ---- the runner's side ---------------------------------------------------------------------------

    fn holders(&self, ticket: Ticket) -> Vec<Id> {
        place(ticket, &self.members, self.terms.copies)
    }

    fn first(&self, ticket: Ticket) -> Option<Id> {
        self.holders(ticket).first().copied()
    }

    /// Whom its first has hold a ticket now: those that are doubted are passed over where as many others are there.
    fn holders_now(&self, ticket: Ticket) -> Vec<Id> {
        let placed = self.holders(ticket);
        if !placed.iter().any(|id| *id != self.me && self.doubted.contains(id)) {
            return placed;
        }
        let sure = |holder: &&Holder| holder.id == self.me || !self.doubted.contains(&holder.id);
        let others: Vec<Holder> = self.members.iter().filter(sure).cloned().collect();
        let instead = place(ticket, &others, self.terms.copies);
        if instead.len() == placed.len() {
            instead
        } else {
            placed
        }
    }

    /// Who has to confirm what its runner says of an invocation: those that its claim stands at, while the view is the same.
    fn holders_of(&self, own: &Own) -> Vec<Id> {
        if own.stood.0 == self.view {
            own.stood.1.clone()
        } else {
            self.holders(own.ticket)
        }
    }

    /// Says what has to be said for an invocation of this backend, again where it is not confirmed.
    fn press(&mut self, number: u64) {
        let (view, again_ms, now) = (self.view, self.terms.again_ms, self.now);
        let least = self.terms.least;
        let Some(own) = self.own.get_mut(&number) else { return };
        own.again_at = now + again_ms;
        // It is said again, as some are slow or gone; those that have it may be enough, if the time ends.
        if let Stage::Ending { ending, stands } = &own.stage {
            if stands.len() >= least && !std::mem::replace(&mut own.enough_told, true) {
                self.out.push(Told::Enough(number, ending.clone()));
            }
        }
        // A claim that hangs on one that may be gone is given up for one with other holders; what was confirmed counts no more.
        if let Stage::Asking { stands } = &mut own.stage {
            let hangs = |id: &Id| self.doubted.contains(id) && !stands.contains(id);
            if own.stood.0 == view && own.stood.1.iter().any(hangs) {
                (own.round, own.stood) = (own.round + 1, (0, Vec::new()));
                stands.clear();
            }
        }
        let (ticket, claim, keep_ms) = (own.ticket, own.claim, own.keep_ms as u64);
        let round = own.round;
        let claim_ms = (own.due - now).max(0.0) as u64 + self.terms.claim_slack_ms as u64;
        match own.stage.clone() {
            Stage::Asking { .. } | Stage::Waiting => {
                if let Some(first) = self.first(ticket) {
                    self.say(first, Message::Claim { view, ticket, claim, round, keep_ms: claim_ms });
                }
            }
            Stage::Running => {}
            Stage::Ending { ending, stands } => {
                let holders = self.own.get(&number).map_or(Vec::new(), |own| self.holders_of(own));
                for holder in holders {
                    if !stands.contains(&holder) {
                        let ending = ending.clone();
                        self.say(holder, Message::End { view, ticket, claim, ending, keep_ms });
                    }
                }
            }
        }
    }

    fn numbered(&self, ticket: Ticket, claim: Claim) -> Option<u64> {
        let own = self.own.get(&claim.number)?;
        (claim.runner == self.me && own.ticket == ticket && own.claim == claim).then_some(claim.number)
    }

    fn stands(&mut self, from: Id, ticket: Ticket, claim: Claim, round: u32, holders: Vec<Id>) {
        let fits = holders.contains(&from) && holders.first() == self.first(ticket).as_ref();
        let Some(number) = self.numbered(ticket, claim).filter(|_| fits) else { return };
        let view = self.view;
        let Some(own) = self.own.get_mut(&number) else { return };
        if round != own.round || matches!(own.stage, Stage::Running | Stage::Ending { .. }) {
            return;
        }
        own.stood = (view, holders.clone());
        // It came free, and the word of that was lost: the claim was taken when it was said again.
        if own.stage == Stage::Waiting {
            own.stage = Stage::Asking { stands: BTreeSet::new() };
        }
        if let Stage::Asking { stands } = &mut own.stage {
            stands.insert(from);
            let all = holders.iter().all(|holder| stands.contains(holder));
            let early = broken::is(Broken::LaunchBeforeClaimStands)
                && holders.first().is_some_and(|f| stands.contains(f));
            if all || early {
                own.stage = Stage::Running;
                self.out.push(Told::Launch(number));
            }
        }
    }

    /// Somebody else's try has it.
    fn taken(&mut self, from: Id, ticket: Ticket, claim: Claim, ending: Option<Ending>) {
        let Some(number) = self.numbered(ticket, claim).filter(|_| self.first(ticket) == Some(from)) else {
            return;
        };
        let Some(own) = self.own.get_mut(&number) else { return };
        if !matches!(own.stage, Stage::Asking { .. } | Stage::Waiting) {
            return;
        }
        match ending {
            Some(ending) => self.finish(number, Told::Ended(number, ending)),
            None => own.stage = Stage::Waiting,
        }
    }

    fn free(&mut self, from: Id, ticket: Ticket) {
        if self.first(ticket) != Some(from) {
            return;
        }
        let waiting: Vec<u64> = self.numbers.get(&ticket).into_iter().flatten().copied().collect();
        for number in waiting {
            if let Some(own) = self.own.get_mut(&number).filter(|own| own.stage == Stage::Waiting) {
                own.stage = Stage::Asking { stands: BTreeSet::new() };
                own.claim_by = self.now + self.terms.claim_ms;
                self.press(number);
            }
        }
    }

    fn end_stands(&mut self, from: Id, ticket: Ticket, claim: Claim, told: Ending) {
        let Some(number) = self.numbered(ticket, claim) else { return };
        let holders = self.own.get(&number).map_or(Vec::new(), |own| self.holders_of(own));
        let Some(own) = self.own.get_mut(&number).filter(|_| holders.contains(&from)) else { return };
        match &mut own.stage {
            Stage::Ending { ending, stands } => {
                if *ending != told {
                    // It was settled otherwise while this one was out of sight; that verdict stands, here too.
                    (*ending, *stands) = (told, BTreeSet::new());
                }
                stands.insert(from);
                let all = holders.iter().all(|holder| stands.contains(holder));
                let early = broken::is(Broken::AnswerBeforeCopied) && holders.first() == Some(&from);
                if all || early {
                    let (ending, view) = (ending.clone(), self.view);
                    self.finish(number, Told::Answer(number, ending));
                    if let Some(first) = holders.first().copied() {
                        self.say(first, Message::Done { view, ticket, claim });
                    }
                }
            }
            // Settled while it runs: what the run comes to counts no more.
            Stage::Running => {
                (own.stage, own.due) =
                    (Stage::Ending { ending: told, stands: BTreeSet::from([from]) }, self.now + own.keep_ms);
                own.again_at = self.now;
            }
            _ => {}
        }
    }

    /// Nothing was launched: whoever holds the claim lets go of it.
    fn give_back(&mut self, number: u64) {
        let Some(own) = self.own.get(&number) else { return };
        let (ticket, claim, view) = (own.ticket, own.claim, self.view);
        match own.stage {
            Stage::Asking { .. } | Stage::Waiting => {
                let mut holders = self.holders(ticket);
                holders.extend(self.holders_of(own));
                holders.sort();
                holders.dedup();
                self.finish(number, Told::Refuse(number));
                for holder in holders {
                    self.say(holder, Message::GiveBack { view, ticket, claim });
                }
            }
            // It could not be told for as long as anybody might have asked.
            Stage::Ending { .. } => self.finish(number, Told::Answer(number, Ending::InDoubt)),
            Stage::Running => {}
        }
    }

    /// The one place where an invocation of this backend is forgotten.
    fn finish(&mut self, number: u64, told: Told) {
        if let Some(own) = self.own.remove(&number) {
            if let Some(numbers) = self.numbers.get_mut(&own.ticket) {
                numbers.remove(&number);
                if numbers.is_empty() {
                    self.numbers.remove(&own.ticket);
                }
            }
            self.out.push(told);
        }
    }

    // ---- the holder's side ---------------------------------------------------------------------------

    /// The first orders claims. One that is new to its place waits until it knows what there was.
    fn claimed(&mut self, from: Id, ticket: Ticket, claim: Claim, round: u32, keep_ms: u64) {
        if self.first(ticket) != Some(self.me) || claim.runner != from || !self.may_order(ticket) {
            return;
        }
        let view = self.view;
        let holders = self.holders_now(ticket);
        match self.held.get_mut(&ticket) {
            Some(held)
                if held.claim.runner == claim.runner
                    && held.claim.number == claim.number
                    && held.ending.is_none() =>
            {
                // Its own claim once more, perhaps under a new view or in a further round.
                if held.order.0 != view || round > held.round {
                    self.last_order += 1;
                    (held.order, held.holders) = ((view, self.last_order), holders);
                    held.round = held.round.max(round);
                }
                self.pass_on(ticket);
            }
            Some(held) => {
                let sure = held.ending.clone().filter(|_| held.sure);
                if sure.is_none()
                    && !held.waiting.contains(&(from, claim))
                    && held.waiting.len() < WAITING_MOST
                {
                    held.waiting.push((from, claim));
                }
                // The word that all have the ending was lost, or its runner is: they are asked from here.
                if held.ending.is_some() && sure.is_none() && held.lacking.is_empty() {
                    let me = self.me;
                    held.lacking = holders.into_iter().filter(|id| *id != me).collect();
                    self.at(self.now + self.terms.again_ms, Due::Keep, ticket);
                }
                self.say(from, Message::Taken { view, ticket, claim, ending: sure });
            }
            None => {
                self.last_order += 1;
                let order = (view, self.last_order);
                let record = Record { claim, order, holders, round, ending: None, ended: (0, 0), keep_ms };
                // What has no room here is not confirmed, so it is not launched.
                if self.note(ticket, record) {
                    self.pass_on(ticket);
                }
            }
        }
    }

    /// The first's claim to the other holders; all confirm to the runner.
    fn pass_on(&mut self, ticket: Ticket) {
        let (view, me) = (self.view, self.me);
        let Some(record) = self.record(ticket) else { return };
        let (runner, claim, round) = (record.claim.runner, record.claim, record.round);
        for holder in record.holders.clone() {
            if holder == me {
                let holders = record.holders.clone();
                self.say(runner, Message::Stands { view, ticket, claim, round, holders });
            } else {
                self.say(holder, Message::Copy { view, ticket, record: record.clone() });
            }
        }
    }

    fn copied(&mut self, from: Id, ticket: Ticket, record: Record) {
        if self.first(ticket) != Some(from) || !record.holders.contains(&self.me) {
            return;
        }
        let (view, claim) = (self.view, record.claim);
        if !self.note(ticket, record) {
            return;
        }
        // What stands here is told: that may be a later round already.
        if let Some(held) = self.held.get(&ticket).filter(|held| held.claim == claim && held.order.0 == view)
        {
            let (round, holders) = (held.round, held.holders.clone());
            self.say(claim.runner, Message::Stands { view, ticket, claim, round, holders });
        }
    }

    /// Takes a record in, unless a newer one is there or there is no room. The one place where what is held changes.
    fn note(&mut self, ticket: Ticket, record: Record) -> bool {
        let until = self.now + record.keep_ms as f64;
        match self.held.get_mut(&ticket) {
            Some(held) => {
                let new = (record.order, record.ending.is_some(), record.ended);
                if newer(new, (held.order, held.ending.is_some(), held.ended)) {
                    self.held_bytes = self.held_bytes + bytes(&record.ending) - bytes(&held.ending);
                    (held.claim, held.order, held.holders) = (record.claim, record.order, record.holders);
                    (held.round, held.ending, held.ended) = (record.round, record.ending, record.ended);
                }
                held.until = held.until.max(until);
            }
            None => {
                if self.held.len() >= self.terms.tickets
                    || self.held_bytes + bytes(&record.ending) > self.terms.bytes
                {
                    return false;
                }
                self.held_bytes += bytes(&record.ending);
                let held = Held {
                    claim: record.claim,
                    order: record.order,
                    holders: record.holders,
                    round: record.round,
                    ending: record.ending,
                    ended: record.ended,
                    until,
                    waiting: Vec::new(),
                    lacking: BTreeSet::new(),
                    sure: false,
                };
                self.held.insert(ticket, held);
                self.at(until, Due::Over, ticket);
            }
        }
        true
    }

    fn record(&self, ticket: Ticket) -> Option<Record> {
        let held = self.held.get(&ticket)?;
        let keep_ms = (held.until - self.now).max(0.0) as u64;
        let (claim, order, holders, round) = (held.claim, held.order, held.holders.clone(), held.round);
        Some(Record { claim, order, holders, round, ending: held.ending.clone(), ended: held.ended, keep_ms })
    }

    fn end(&mut self, from: Id, ticket: Ticket, claim: Claim, ending: Ending, keep_ms: u64) {
        let (view, now) = (self.view, self.now);
        let placed = self.holders(ticket).contains(&self.me);
        let named = self.held.get(&ticket).is_some_and(|held| held.holders.contains(&self.me));
        if claim.runner != from || !(placed || named) {
            return;
        }
        let blank = broken::is(Broken::BlankConfirms);
        let Some(held) = self.held.get_mut(&ticket) else {
            if blank {
                self.say(from, Message::Ended { view, ticket, claim, ending });
            }
            return;
        };
        let same = held.claim == claim;
        if held.ending.is_none() && same {
            let before = bytes(&held.ending);
            (held.ending, held.ended) = (Some(ending), (view, 0));
            held.until = now + keep_ms as f64;
            self.held_bytes = self.held_bytes + bytes(&held.ending) - before;
        }
        // What stands is told, whatever was asked; of another claim nothing is confirmed.
        let told = held.ending.clone();
        let ending = told.filter(|_| same).unwrap_or(Ending::InDoubt);
        self.say(from, Message::Ended { view, ticket, claim, ending });
    }

    /// The ending stands on all copies: those that wait are told.
    fn is_sure(&mut self, ticket: Ticket) {
        let view = self.view;
        let Some(held) = self.held.get_mut(&ticket).filter(|held| held.ending.is_some()) else { return };
        held.sure = true;
        let ending = held.ending.clone();
        for (waits, claim) in std::mem::take(&mut held.waiting) {
            self.say(waits, Message::Taken { view, ticket, claim, ending: ending.clone() });
        }
    }

    fn given_back(&mut self, from: Id, ticket: Ticket, claim: Claim) {
        let own = |held: &Held| held.claim == claim && claim.runner == from && held.ending.is_none();
        if self.held.get(&ticket).is_some_and(own) {
            self.let_go(ticket);
        }
    }

    /// Free again: those that wait are told.
    fn let_go(&mut self, ticket: Ticket) {
        let Some(held) = self.held.remove(&ticket) else { return };
        self.held_bytes -= bytes(&held.ending);
        let view = self.view;
        for (waits, _) in held.waiting {
            self.say(waits, Message::Free { view, ticket });
        }
    }

    // ---- a new view ----------------------------------------------------------------------------------

    /// A new first orders nothing before it knows all. One that was it in the view right before, and knew all then, goes on.
    fn may_order(&self, ticket: Ticket) -> bool {
        let was_first = || place(ticket, &self.before.1, self.terms.copies).first() == Some(&self.me);
        self.gathering.done || self.goes_on && was_first()
    }

    /// Queues what each other member is first of now, for those that have not confirmed that they heard it.
    fn tell_all(&mut self) {
        self.tell_again_at = self.now + 4.0 * self.terms.again_ms;
        let mut telling: BTreeMap<Id, (Vec<Ticket>, u64)> =
            self.unheard.iter().map(|id| (*id, (Vec::new(), 0))).collect();
        for ticket in self.known_tickets() {
            if let Some(first) = self.first(ticket).filter(|first| telling.contains_key(first)) {
                telling.entry(first).or_default().0.push(ticket);
            }
        }
        self.telling = telling;
        self.tell_on();
    }

    /// All that is held or run here.
    fn known_tickets(&self) -> BTreeSet<Ticket> {
        self.held.keys().copied().chain(self.own.values().map(|own| own.ticket)).collect()
    }

    fn gathered_own(&mut self) {
        let me = self.me;
        let mine: Vec<Ticket> =
            self.held.keys().copied().filter(|ticket| self.first(*ticket) == Some(me)).collect();
        for ticket in mine {
            if let Some(record) = self.record(ticket) {
                let of = self.gathering.held.entry(ticket).or_default();
                of.retain(|(id, _)| *id != me);
                of.push((me, record));
            }
        }
        let runs = self.runs(&self.known_tickets());
        self.gathering.runs.extend(runs);
        self.gathering.told.insert(me);
    }

    /// What this backend runs, asks for, or has run and not brought to its end, of some tickets.
    fn runs(&self, of: &BTreeSet<Ticket>) -> Vec<(Ticket, Claim)> {
        let live = self.own.values().filter(|own| own.stage != Stage::Waiting && of.contains(&own.ticket));
        live.map(|own| (own.ticket, own.claim)).collect()
    }

    /// Tells on, a batch at a time and no more of them a second than may be.
    fn tell_on(&mut self) {
        let gap = 1000.0 / self.terms.batches_a_second.max(1.0);
        self.tell_from = self.tell_from.max(self.now - 1000.0);
        let others: Vec<Id> = self.telling.keys().copied().collect();
        for to in others {
            while self.tell_from <= self.now {
                let Some((tickets, _)) = self.telling.get_mut(&to) else { break };
                let some: Vec<Ticket> = tickets.drain(..tickets.len().min(self.terms.batch)).collect();
                let last = tickets.is_empty();
                let view = self.view;
                let held: Vec<(Ticket, Record)> =
                    some.iter().filter_map(|t| Some((*t, self.record(*t)?))).collect();
                let runs = self.runs(&some.into_iter().collect());
                let told: BTreeSet<Ticket> =
                    held.iter().map(|(t, _)| *t).chain(runs.iter().map(|(t, _)| *t)).collect();
                if let Some((_, count)) = self.telling.get_mut(&to) {
                    *count += told.len() as u64;
                }
                if !told.is_empty() {
                    self.tell_from += gap;
                    self.say(to, Message::Tell { view, held, runs });
                }
                if last {
                    let count = self.telling.remove(&to).map_or(0, |(_, count)| count);
                    self.say(to, Message::Told { view, count });
                }
            }
        }
    }

    fn told(&mut self, from: Id, held: Vec<(Ticket, Record)>, runs: Vec<(Ticket, Claim)>) {
        if self.gathering.done {
            return;
        }
        let told: BTreeSet<Ticket> =
            held.iter().map(|(t, _)| *t).chain(runs.iter().map(|(t, _)| *t)).collect();
        for (ticket, record) in held {
            let of = self.gathering.held.entry(ticket).or_default();
            of.retain(|(id, _)| *id != from);
            of.push((from, record));
        }
        self.gathering.runs.extend(runs);
        self.gathering.came.entry(from).or_default().extend(told);
        self.gathered(from);
    }

    /// One has told all once as many tickets came as it counted; what was lost on the way comes again.
    fn gathered(&mut self, from: Id) {
        let Some(count) = self.gathering.counts.get(&from).copied() else { return };
        let came = self.gathering.came.get(&from).map_or(0, BTreeSet::len) as u64;
        if came >= count || self.gathering.done {
            let view = self.view;
            self.say(from, Message::HeardAll { view });
            self.gathering.told.insert(from);
            self.settle();
        }
    }

    /// With all told, what stands open is settled, and copies are made anew.
    fn settle(&mut self) {
        let all = self.members.iter().all(|holder| self.gathering.told.contains(&holder.id));
        let belongs = self.members.iter().any(|holder| holder.id == self.me);
        if self.gathering.done || !all || !belongs {
            return;
        }
        self.gathering.done = true;
        let gathered = std::mem::take(&mut self.gathering.held);
        let runs = std::mem::take(&mut self.gathering.runs);
        // Those with fewest copies left come first.
        let mut gathered: Vec<(Ticket, Vec<(Id, Record)>)> = gathered.into_iter().collect();
        gathered.sort_by_key(|(_, told)| told.len());
        let gap = 1000.0 / self.terms.batches_a_second.max(1.0) / self.terms.batch as f64;
        for (place, (ticket, told)) in gathered.into_iter().enumerate() {
            if self.settle_one(ticket, &told, &runs) {
                self.at(self.now + gap * place as f64, Due::Keep, ticket);
            }
        }
    }

    /// What a ticket came to, by all that was told of it. True where it stays, and its copies are to be made good.
    fn settle_one(
        &mut self,
        ticket: Ticket,
        told: &[(Id, Record)],
        runs: &BTreeSet<(Ticket, Claim)>,
    ) -> bool {
        let here = self.record(ticket);
        // Ordered here under this view already.
        if here.as_ref().is_some_and(|record| record.order.0 == self.view) {
            return false;
        }
        let all = told.iter().map(|(_, record)| record).chain(&here);
        let rank = |record: &Record| (record.order, record.ending.is_some(), record.ended);
        let Some(newest) = all.max_by(|a, b| rank(a).cmp(&rank(b))) else { return false };
        let mut record = newest.clone();
        record.keep_ms = told.iter().map(|(_, r)| r.keep_ms).chain([record.keep_ms]).max().unwrap_or(0);
        if record.ending.is_none() {
            let claim = record.claim;
            let lives = self.members.iter().any(|holder| holder.id == claim.runner);
            let has = |id: &Id| told.iter().any(|(other, r)| other == id && r.claim == claim);
            let left = |id: &&Id| self.members.iter().any(|holder| holder.id == **id);
            let all_had = record.holders.iter().filter(left).all(has);
            match (lives, runs.contains(&(ticket, claim)), all_had) {
                // It goes on; its ending comes to the holders of now.
                (true, true, _) => {}
                // It lives and does not know it any more: given back. Or it never began, as one that had to confirm has nothing.
                (true, false, _) | (false, _, false) => {
                    self.let_go(ticket);
                    return false;
                }
                (false, _, true) => {
                    record.ending = Some(Ending::InDoubt);
                    record.keep_ms = record.keep_ms.max(self.terms.doubt_keep_ms as u64);
                }
            }
        }
        if record.ending.is_some() {
            record.ended = (self.view, 1);
        }
        if !self.note(ticket, record.clone()) {
            return false;
        }
        let (me, holders) = (self.me, self.holders(ticket));
        let Some(held) = self.held.get_mut(&ticket) else { return false };
        held.lacking = holders.into_iter().filter(|id| *id != me).collect();
        if held.lacking.is_empty() {
            self.is_sure(ticket);
        }
        true
    }

    /// Sends a copy to those that have not confirmed it.
    fn keep(&mut self, ticket: Ticket) {
        let view = self.view;
        let Some(record) = self.record(ticket) else { return };
        let Some(held) = self.held.get(&ticket).filter(|held| !held.lacking.is_empty()) else { return };
        let lacking = held.lacking.clone();
        self.at(self.now + 2.0 * self.terms.again_ms, Due::Keep, ticket);
        for to in lacking {
            self.say(to, Message::Keep { view, records: vec![(ticket, record.clone())] });
        }
    }

    /// What a member says to itself it hears at once.
    fn say(&mut self, to: Id, message: Message) {
        if to == self.me {
            let now = self.now;
            self.hear(now, to, message);
        } else {
            self.send.push((to, message));
        }
    }
}
