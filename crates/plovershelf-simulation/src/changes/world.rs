//! Processes of one way, their links and troubles, and what is held against them.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use plovershelf_config_distribution::{Change, Edit, QuotaTable, Version};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::shapes::{
    quota_at_first, region_of, tenant, Shape, Trouble, Who, NOBODY, QUIET_MS, SOURCES, TENANTS, WARM_MS,
    ZONES,
};
use super::told::{spent, Account, Came};
use super::{
    bytes_of, Ground, Start, Way, AGREED_IS_IN_FORCE, BAD_CHANGES_NOTHING, CUT_OFF_SERVES_ON, IN_FORCE_MS,
    NEVER_BACKWARDS, ONE_CONTENT_A_NUMBER, OVERHEAD,
};
use crate::net::{Net, Queue};

const WAY_MS: f64 = 0.5;
const BETWEEN_ZONES_MS: f64 = 1.0;
const BETWEEN_REGIONS_MS: f64 = 30.0;
const SLOW_MS: f64 = 500.0;
/// What comes twice comes again within this, after what was sent later.
const TWICE_MS: f64 = 2000.0;
/// What a process sends goes over a line of 1 Gbit/s, in bytes a millisecond.
const LINE: f64 = 125_000.0;
/// A process that ends in good order of its machine: peers hear of it so soon.
const REFUSED_MS: f64 = 1.0;
/// The council agrees in so long.
const COUNCIL_MS: f64 = 30.0;
/// Processes start one by one over so long at first.
const STARTS_MS: f64 = 3000.0;

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Up,
    /// Its machine is there and refuses.
    Ended,
    /// Nothing comes back.
    Gone,
}

enum Thing<M> {
    Message {
        from: usize,
        to: usize,
        from_life: u32,
        to_life: u32,
        message: M,
    },
    Wake {
        place: usize,
        life: u32,
    },
    Lost {
        to: usize,
        life: u32,
        of: usize,
    },
    Start(usize),
    Begin(usize),
    End(usize),
    Propose(Vec<Edit>),
    Agreed {
        place: usize,
        life: u32,
        change: Rc<Change>,
    },
    Second,
    /// From now on nothing is lost or mangled any more.
    Quiet,
}

struct Process<W: Way> {
    way: Option<W>,
    state: State,
    life: u32,
    stopped: u32,
    /// What came while it stood still.
    held_back: Vec<Thing<W::Message>>,
    kept: Option<W::Kept>,
    wake: Option<(f64, u64)>,
    /// Peers with a link, and their life as it was made.
    links: BTreeMap<usize, u32>,
    line_free_at: f64,
    account: Account,
    version: Version,
    /// Of a source: the newest change that its council told it.
    told: Version,
    reachable: bool,
    /// What is to be in force, from when on.
    due: VecDeque<(Version, f64)>,
    late: bool,
    /// How many steps cut it off, and since when.
    cut: u32,
    cut_since: f64,
    cut_version: Version,
}

pub(super) struct World<W: Way> {
    shape: Shape,
    ground: Ground,
    queue: Queue<Thing<W::Message>>,
    net: Net,
    chance: Pcg32,
    processes: Vec<Process<W>>,
    /// The order of messages between two is kept.
    last: BTreeMap<(usize, usize), f64>,
    newest: Option<Rc<Change>>,
    waiting: VecDeque<Vec<Edit>>,
    /// All that was agreed.
    quotas: BTreeMap<String, f64>,
    digests: BTreeMap<Version, u128>,
    struck: Vec<Vec<usize>>,
    send: Vec<(usize, W::Message)>,
    came: Came,
}

impl<W: Way> World<W> {
    pub fn new(shape: Shape) -> Self {
        let quotas: BTreeMap<String, f64> = (0..TENANTS).map(|n| (tenant(n), quota_at_first(n))).collect();
        let whole_bytes = bytes_of(&quotas);
        let content = QuotaTable::initial(quotas.iter().map(|(tenant, quota)| (tenant.as_str(), *quota)))
            .unwrap_or_else(|why| unreachable!("the model's own tenants: {why}"));
        let ground = Ground { listeners: shape.listeners, content, whole_bytes, seed: shape.seed };
        let mut net = Net::new(shape.seed, WAY_MS);
        net.between_zones_ms = BETWEEN_ZONES_MS;
        net.loss = shape.loss;
        let process = |_| Process {
            way: None,
            state: State::Ended,
            life: 0,
            stopped: 0,
            held_back: Vec::new(),
            kept: None,
            wake: None,
            links: BTreeMap::new(),
            line_free_at: 0.0,
            account: Account::default(),
            version: Version::default(),
            told: Version::default(),
            reachable: false,
            due: VecDeque::new(),
            late: false,
            cut: 0,
            cut_since: 0.0,
            cut_version: Version::default(),
        };
        World {
            processes: (0..ground.places()).map(process).collect(),
            chance: Pcg32::seed_from_u64(shape.seed ^ 0x77e5),
            struck: vec![Vec::new(); shape.steps.len()],
            queue: Queue::default(),
            last: BTreeMap::new(),
            newest: None,
            waiting: VecDeque::new(),
            digests: BTreeMap::new(),
            send: Vec::new(),
            came: Came::default(),
            quotas,
            ground,
            net,
            shape,
        }
    }

    pub fn run(mut self, struck: Option<&[Vec<usize>]>) -> Came {
        for place in 0..self.processes.len() {
            let at = if place < SOURCES { 0.0 } else { self.chance.random_range(0.0..STARTS_MS) };
            self.queue.schedule(at, Thing::Start(place));
        }
        for (number, step) in self.shape.steps.iter().enumerate() {
            self.queue.schedule(step.at_ms, Thing::Begin(number));
            self.queue.schedule(step.at_ms + step.for_ms, Thing::End(number));
        }
        for (at, edits) in std::mem::take(&mut self.shape.changes) {
            self.queue.schedule(at, Thing::Propose(edits));
        }
        self.queue.schedule(1000.0, Thing::Second);
        self.queue.schedule(self.shape.span_ms - QUIET_MS, Thing::Quiet);
        while let Some(thing) = self.queue.pop() {
            if self.queue.now() > self.shape.span_ms {
                break;
            }
            self.came.events += 1;
            self.happen(thing, struck);
        }
        self.end()
    }

    fn happen(&mut self, thing: Thing<W::Message>, struck: Option<&[Vec<usize>]>) {
        let now = self.queue.now();
        match thing {
            Thing::Message { from, to, from_life, to_life, message } => {
                let process = &mut self.processes[to];
                if process.state != State::Up || process.life != to_life {
                    if process.state != State::Gone {
                        self.tell_lost(from, from_life, to);
                    }
                } else if process.stopped > 0 {
                    process.held_back.push(Thing::Message { from, to, from_life, to_life, message });
                } else {
                    process.account.bytes += (bytes_of(&message) + W::beside(&message) + OVERHEAD) as u64;
                    process.account.messages += 1;
                    if W::LINKS {
                        process.links.insert(from, from_life);
                    }
                    if let Some(way) = &mut process.way {
                        way.hear(now, from, message);
                    }
                    self.after(to);
                }
            }
            Thing::Wake { place, life } => {
                let process = &mut self.processes[place];
                if process.life != life || process.state != State::Up {
                    return;
                }
                process.wake = None;
                if process.stopped > 0 {
                    return;
                }
                if let Some(way) = &mut process.way {
                    way.tick(now);
                }
                self.after(place);
            }
            Thing::Lost { to, life, of } => {
                let process = &mut self.processes[to];
                if process.life != life || process.state != State::Up {
                    return;
                }
                if process.stopped > 0 {
                    process.held_back.push(Thing::Lost { to, life, of });
                    return;
                }
                process.links.remove(&of);
                if let Some(way) = &mut process.way {
                    way.lost(now, of);
                }
                self.after(to);
            }
            Thing::Start(place) => self.start(place),
            Thing::Begin(number) => self.begin(number, struck),
            Thing::End(number) => self.finish(number),
            Thing::Propose(edits) => {
                self.waiting.push_back(edits);
                self.propose();
            }
            Thing::Agreed { place, life, change } => {
                let process = &mut self.processes[place];
                if process.life != life || process.state != State::Up || change.version <= process.told {
                    return;
                }
                if process.stopped > 0 {
                    process.held_back.push(Thing::Agreed { place, life, change });
                    return;
                }
                process.told = change.version;
                if let Some(way) = &mut process.way {
                    way.agreed(now, &change);
                }
                self.after(place);
                self.propose();
            }
            Thing::Second => self.second(),
            Thing::Quiet => (self.net.loss, self.shape.mangled) = (0.0, 0.0),
        }
    }

    /// The process at `from` hears that nobody listens there, if its own life is the one that sent.
    fn tell_lost(&mut self, to: usize, life: u32, of: usize) {
        if W::LINKS && !self.net.is_cut(of, to) && !self.net.is_cut(to, of) {
            self.queue.schedule(self.queue.now() + REFUSED_MS, Thing::Lost { to, life, of });
        }
    }

    /// What a process made of what it heard: sent, and held against it.
    fn after(&mut self, place: usize) {
        let now = self.queue.now();
        let mut send = std::mem::take(&mut self.send);
        let Some(way) = &mut self.processes[place].way else { return };
        way.take(&mut send);
        for (to, message) in send.drain(..) {
            self.transmit(place, to, message);
        }
        self.send = send;
        let process = &mut self.processes[place];
        let Some(way) = &process.way else { return };
        let version = way.version();
        if version != process.version {
            let before = std::mem::replace(&mut process.version, version);
            if version < before {
                let told = || format!("{before} and then {version}");
                self.came.broken(NEVER_BACKWARDS, now, place, told);
            }
            if let Some(digest) = way.digest() {
                let first = *self.digests.entry(version).or_insert(digest);
                if first != digest {
                    let told = || format!("{version}: {first:x} elsewhere, {digest:x} here");
                    self.came.broken(ONE_CONTENT_A_NUMBER, now, place, told);
                }
            }
            if self.shape.mangled > 0.0 && way.holds(NOBODY) {
                self.came.broken(BAD_CHANGES_NOTHING, now, place, || {
                    format!("{version} with an edit that does not fit")
                });
            }
            while let Some((_, from)) = process.due.pop_front_if(|(due, _)| *due <= version) {
                if now >= WARM_MS {
                    let after_ms = now - from;
                    self.came.in_force_ms.put(after_ms);
                    if after_ms > IN_FORCE_MS && !process.late {
                        process.late = true;
                        if self.came.seen.len() < 8 {
                            self.came.seen.push(format!(
                                "{place}: {version} after {after_ms:.0} ms, from {from:.0} on"
                            ));
                        }
                    }
                }
            }
        }
        self.arm(place);
    }

    fn arm(&mut self, place: usize) {
        let process = &mut self.processes[place];
        let Some(way) = &process.way else { return };
        let at = way.next_at();
        match process.wake {
            Some((planned, _)) if planned <= at => {}
            planned => {
                if let Some((_, number)) = planned {
                    self.queue.cancel(number);
                }
                let number = self.queue.schedule(at, Thing::Wake { place, life: process.life });
                process.wake = Some((at, number));
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, message: W::Message) {
        if to >= self.processes.len() || to == from {
            return;
        }
        let now = self.queue.now();
        let bytes = bytes_of(&message) + W::beside(&message) + OVERHEAD;
        let (to_life, to_state) = (self.processes[to].life, self.processes[to].state);
        let process = &mut self.processes[from];
        process.account.bytes += bytes as u64;
        process.account.messages += 1;
        process.account.peers.push(to as u32);
        let leaves = process.line_free_at.max(now) + bytes as f64 / LINE;
        process.line_free_at = leaves;
        let from_life = process.life;
        if W::LINKS {
            // A link that was made with a life that is over ends at the first word that is sent on it.
            let of = *process.links.entry(to).or_insert(to_life);
            if of != to_life && to_state == State::Up {
                process.links.remove(&to);
                self.tell_lost(from, from_life, to);
                return;
            }
        }
        let mut message = message;
        if self.shape.mangled > 0.0 && now >= WARM_MS && self.chance.random_bool(self.shape.mangled) {
            W::mangle(&mut message, &mut self.chance);
        }
        let far = if region_of(from) == region_of(to) { 0.0 } else { BETWEEN_REGIONS_MS };
        for (copy, way) in self.net.send(from, to, ZONES, bytes).into_iter().enumerate() {
            let mut at = leaves + way + far;
            if copy > 0 {
                at += self.chance.random_range(0.0..TWICE_MS);
            } else if W::LINKS {
                let last = self.last.entry((from, to)).or_default();
                at = at.max(*last);
                *last = at;
            }
            let message = message.clone();
            self.queue.schedule(at, Thing::Message { from, to, from_life, to_life, message });
        }
    }

    fn start(&mut self, place: usize) {
        let now = self.queue.now();
        let seed = self.chance.random();
        let process = &mut self.processes[place];
        if process.state == State::Up {
            return;
        }
        process.life += 1;
        process.state = State::Up;
        process.links.clear();
        process.held_back.clear();
        process.wake = None;
        process.told = Version::default();
        let kept = process.kept.take();
        let way = W::start(Start { place, ground: &self.ground, seed, kept }, now);
        process.version = way.version();
        process.way = Some(way);
        self.after(place);
        self.look();
    }

    /// Whom a step strikes, as it begins.
    fn whom(&mut self, number: usize) -> Vec<usize> {
        match self.shape.steps[number].who.clone() {
            Who::Places(places) => places,
            Who::Relays(share) => {
                let now = self.queue.now();
                let hands = |place: &usize| {
                    let way = self.processes[*place].way.as_ref();
                    way.is_some_and(|way| way.hands(now).children > 0)
                };
                let mut relays: Vec<usize> = (SOURCES..self.processes.len()).filter(hands).collect();
                let count = ((relays.len() as f64 * share).round() as usize).max(1);
                let mut drawn = Vec::new();
                while drawn.len() < count && !relays.is_empty() {
                    drawn.push(relays.swap_remove(self.chance.random_range(0..relays.len())));
                }
                drawn.sort_unstable();
                drawn
            }
        }
    }

    fn others(&self, places: &[usize]) -> Vec<usize> {
        (0..self.processes.len()).filter(|place| places.binary_search(place).is_err()).collect()
    }

    fn begin(&mut self, number: usize, struck: Option<&[Vec<usize>]>) {
        let now = self.queue.now();
        let places = match struck.and_then(|struck| struck.get(number)) {
            Some(places) => places.clone(),
            None => self.whom(number),
        };
        match self.shape.steps[number].trouble {
            Trouble::Killed => places.iter().for_each(|place| self.stop_life(*place, State::Ended)),
            Trouble::Gone => places.iter().for_each(|place| self.stop_life(*place, State::Gone)),
            Trouble::Stopped => places.iter().for_each(|place| self.processes[*place].stopped += 1),
            Trouble::CutOff => {
                self.cut(&places, &self.others(&places), true, true);
                for place in &places {
                    let process = &mut self.processes[*place];
                    process.cut += 1;
                    (process.cut_since, process.cut_version) = (now, process.version);
                }
            }
            Trouble::Deaf => self.cut(&(0..SOURCES).collect::<Vec<_>>(), &places, true, false),
            Trouble::Slow => places.iter().for_each(|place| self.net.set_delay(*place, Some(SLOW_MS))),
        }
        self.struck[number] = places;
        self.look();
    }

    fn cut(&mut self, these: &[usize], those: &[usize], cut: bool, both: bool) {
        for one in these {
            for other in those {
                self.net.cut(*one, *other, cut);
                if both {
                    self.net.cut(*other, *one, cut);
                }
            }
        }
    }

    fn finish(&mut self, number: usize) {
        let places = self.struck[number].clone();
        match self.shape.steps[number].trouble {
            Trouble::Killed | Trouble::Gone => places.iter().for_each(|place| self.start(*place)),
            Trouble::Stopped => {
                for place in &places {
                    let process = &mut self.processes[*place];
                    process.stopped -= 1;
                    if process.stopped == 0 {
                        let life = process.life;
                        let things = std::mem::take(&mut process.held_back);
                        let now = self.queue.now();
                        for thing in things {
                            self.queue.schedule(now, thing);
                        }
                        self.queue.schedule(now, Thing::Wake { place: *place, life });
                    }
                }
            }
            Trouble::CutOff => {
                places.iter().for_each(|place| self.cut_off_served(*place));
                self.cut(&places, &self.others(&places), false, true);
                places.iter().for_each(|place| self.processes[*place].cut -= 1);
            }
            Trouble::Deaf => self.cut(&(0..SOURCES).collect::<Vec<_>>(), &places, false, false),
            Trouble::Slow => places.iter().for_each(|place| self.net.set_delay(*place, None)),
        }
        self.look();
    }

    /// One that was cut off still has what it had, and where no source was on its side it says how old that is.
    fn cut_off_served(&mut self, place: usize) {
        let now = self.queue.now();
        let alone = self.shape.name == "back";
        let process = &self.processes[place];
        let Some(way) = process.way.as_ref().filter(|_| place >= SOURCES) else { return };
        if way.version() < process.cut_version {
            let told = || format!("{} as it was cut off, then {}", process.cut_version, way.version());
            self.came.broken(CUT_OFF_SERVES_ON, now, place, told);
        }
        if let (true, Some(age_ms)) = (alone, way.hands(now).age_ms) {
            let since = now - process.cut_since;
            if age_ms < since - 1.0 {
                let told = || format!("says {age_ms:.0} ms after {since:.0} ms");
                self.came.broken(CUT_OFF_SERVES_ON, now, place, told);
            }
        }
    }

    fn stop_life(&mut self, place: usize, state: State) {
        let now = self.queue.now();
        let process = &mut self.processes[place];
        if process.state != State::Up {
            return;
        }
        process.state = state;
        process.reachable = false;
        process.due.clear();
        if let Some((_, number)) = process.wake.take() {
            self.queue.cancel(number);
        }
        // A source has its council's folder; a listener begins from its file.
        let way = process.way.take();
        process.kept = if place < SOURCES { way.and_then(W::keep) } else { None };
        let links = std::mem::take(&mut process.links);
        if state == State::Ended {
            for peer in links.into_keys() {
                let life = self.processes[peer].life;
                if self.processes[peer].links.contains_key(&place) && !self.net.is_cut(place, peer) {
                    self.queue.schedule(now + REFUSED_MS, Thing::Lost { to: peer, life, of: place });
                }
            }
        }
    }

    fn acts(&self, place: usize) -> bool {
        self.processes[place].state == State::Up && self.processes[place].stopped == 0
    }

    fn pass(&self, one: usize, other: usize) -> bool {
        !self.net.is_cut(one, other) && !self.net.is_cut(other, one)
    }

    /// Sources that can agree: most of all, each with the first of them.
    fn council(&self) -> Vec<usize> {
        let of = |first: usize| -> Vec<usize> {
            (0..SOURCES).filter(|s| self.acts(*s) && (*s == first || self.pass(first, *s))).collect()
        };
        let sides = (0..SOURCES).filter(|first| self.acts(*first)).map(of);
        sides.filter(|side| side.len() * 2 > SOURCES).max_by_key(Vec::len).unwrap_or_default()
    }

    /// Who is reachable now: alive, and nothing cuts it off from a source that knows what is agreed.
    fn look(&mut self) {
        let now = self.queue.now();
        let mut knowing = self.council();
        if knowing.is_empty() {
            knowing = (0..SOURCES).filter(|source| self.acts(*source)).collect();
        }
        let newest = self.newest.as_ref().map(|newest| newest.version).unwrap_or_default();
        for place in SOURCES..self.processes.len() {
            let reachable = self.acts(place) && knowing.iter().any(|source| self.pass(*source, place));
            let process = &mut self.processes[place];
            if reachable && !process.reachable && process.version < newest {
                process.due.push_back((newest, now));
            }
            if !reachable {
                process.due.clear();
            }
            process.reachable = reachable;
        }
    }

    /// One proposal at a time is with the council; those after it wait for their turn.
    fn propose(&mut self) {
        let now = self.queue.now();
        let council = self.council();
        let Some(leader) = council.first().copied() else {
            self.came.not_agreed += self.waiting.len() as u64;
            self.waiting.clear();
            return;
        };
        let newest = self.newest.as_ref().map(|newest| newest.version).unwrap_or_default();
        let Some(way) = &mut self.processes[leader].way else { return };
        if way.version() != newest {
            return;
        }
        let Some(edits) = self.waiting.pop_front() else { return };
        let digest = way.digest();
        // One that can't be must change nothing, each time.
        let bad = vec![Edit::Set { tenant: NOBODY.into(), quota_per_s: 1.0 }];
        let refused = digest.is_none() || way.prepare(bad, newest, 0).is_err();
        let prepared = way.prepare(edits, newest, now as u64);
        if !refused || way.digest() != digest || way.version() != newest {
            let told = || "an unknown tenant's quota was taken".to_string();
            self.came.broken(BAD_CHANGES_NOTHING, now, leader, told);
        }
        let change = match prepared {
            Ok(change) => Rc::new(change),
            Err(why) => {
                self.came
                    .broken(BAD_CHANGES_NOTHING, now, leader, || format!("refused a good change: {why}"));
                return;
            }
        };
        self.came.agreed += u64::from(now >= WARM_MS);
        for edit in &change.edits {
            match edit.quota_per_s() {
                Some(quota) => drop(self.quotas.insert(edit.tenant().into(), quota)),
                None => drop(self.quotas.remove(edit.tenant())),
            }
        }
        self.newest = Some(change.clone());
        for place in SOURCES..self.processes.len() {
            let process = &mut self.processes[place];
            if process.reachable {
                process.due.push_back((change.version, now));
            }
        }
        for source in council {
            let after_ms =
                COUNCIL_MS * if source == leader { 1.0 } else { 1.0 + self.chance.random::<f64>() };
            let life = self.processes[source].life;
            self.queue
                .schedule(now + after_ms, Thing::Agreed { place: source, life, change: change.clone() });
        }
    }

    fn second(&mut self) {
        let now = self.queue.now();
        self.queue.schedule(now + 1000.0, Thing::Second);
        let counts = now > WARM_MS && now <= self.shape.span_ms - QUIET_MS / 2.0;
        for process in &mut self.processes {
            let children = process.way.as_ref().map_or(0, |way| way.hands(now).children);
            process.account.second(counts, process.state == State::Up, children);
        }
        self.propose();
        // A council brings those that lag up to the newest word.
        let Some(newest) = self.newest.clone() else { return };
        for place in self.council() {
            let process = &self.processes[place];
            if process.told < newest.version {
                let life = process.life;
                let at = now + self.chance.random_range(50.0..300.0);
                self.queue.schedule(at, Thing::Agreed { place, life, change: newest.clone() });
            }
        }
    }

    fn end(mut self) -> Came {
        let now = self.shape.span_ms;
        let newest = self.newest.as_ref().map(|newest| newest.version).unwrap_or_default();
        let mut depth = 0;
        for place in 0..self.processes.len() {
            let process = &self.processes[place];
            let Some(way) = &process.way else { continue };
            let hands = way.hands(now);
            if place < SOURCES {
                self.came.counted += hands.under;
                self.came.counted_in_force += hands.in_force;
            } else {
                let (mut at, mut hops) = (place, 0);
                while let Some(parent) = self.processes[at].way.as_ref().and_then(|way| way.hands(now).parent)
                {
                    (at, hops) = (parent, hops + 1);
                    if hops > 9 {
                        break;
                    }
                }
                depth = depth.max(hops);
            }
            if way.version() == newest && way.differs(&self.quotas) {
                let told = || format!("{newest}: not what was agreed");
                self.came.broken(ONE_CONTENT_A_NUMBER, now, place, told);
            }
            if place < SOURCES || !process.reachable {
                continue;
            }
            self.came.reachable += 1;
            self.came.late += u64::from(process.late);
            if process.version < newest || !process.due.is_empty() {
                self.came.missed += 1;
                let told = || format!("has {}, not {newest}; hears from {:?}", process.version, hands.parent);
                self.came.broken(AGREED_IS_IN_FORCE, now, place, told);
            }
        }
        let accounts: Vec<Account> = self.processes.into_iter().map(|process| process.account).collect();
        self.came.spent = spent(&accounts, SOURCES, depth);
        self.came.struck = self.struck;
        self.came
    }
}
