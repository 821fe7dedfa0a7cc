//! Copies on simulated time: tickets whose tries come to several backends, machines lost with all they hold, cuts, stops; views
//! come as a group gives them, late and not to all at once. With copies, and without as the control.

use std::collections::{BTreeMap, BTreeSet};

use plovershelf_cluster::NodeId as Id;
use plovershelf_replication::copies::{Copies, Ending, Message, Terms, Told};
use plovershelf_replication::placement::{Holder, Ticket};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_pcg::Pcg32;

use crate::net::{Net, Queue};
use crate::schedule::{third, Fault, Schedule};
use crate::statistics::Spread;

#[derive(Clone, Debug)]
pub struct Plan {
    pub schedule: Schedule,
    pub seed: u64,
    pub terms: Terms,
    /// Off: each backend knows its own tickets alone.
    pub with_copies: bool,
    pub tickets_a_second: f64,
    pub run_ms: f64,
    pub way_ms: f64,
    pub between_zones_ms: f64,
    pub window_ms: f64,
}

impl Plan {
    pub fn of(schedule: Schedule, seed: u64, with_copies: bool) -> Self {
        Plan {
            schedule,
            seed,
            terms: Terms::default(),
            with_copies,
            tickets_a_second: 40.0,
            run_ms: 60.0,
            way_ms: 0.5,
            between_zones_ms: 0.5,
            window_ms: 10_000.0,
        }
    }
}

#[derive(Default)]
pub struct Came {
    pub tickets: u64,
    pub repeats_elsewhere: u64,
    pub machines_lost: u64,
    pub most_lost_at_once: u64,
    pub effects_twice: u64,
    pub succeeded_then_other: u64,
    pub verdicts_that_differ: u64,
    pub in_doubt: u64,
    /// Of those, tickets that ran on a machine while it was lost.
    pub ran_on_lost: u64,
    pub refused: u64,
    pub succeeded: u64,
    pub launch_wait_ms: Spread,
    pub answer_wait_ms: Spread,
    pub low_ms_most: f64,
    pub messages: u64,
    pub held_most: usize,
}

enum Thing {
    Message {
        to: usize,
        life: u64,
        from: usize,
        message: Box<Message>,
    },
    Tick {
        member: usize,
        life: u64,
    },
    Begin(usize),
    End(usize),
    /// A view that was agreed on reaches a member.
    View {
        member: usize,
        life: u64,
        number: u64,
    },
    /// The group takes note of who is there.
    Agree,
    NewTicket,
    Try {
        ticket: u64,
        tries_left: u32,
    },
    RunEnds {
        member: usize,
        life: u64,
        number: u64,
    },
    Due {
        member: usize,
        life: u64,
        number: u64,
    },
}

struct Place {
    copies: Option<Copies>,
    id: Id,
    life: u64,
    down: u32,
    stopped: bool,
    waiting: Vec<Thing>,
    tick_at: f64,
    /// Tries in hand by number: their ticket, how many are left to it, when it began, when its run ended.
    tries: BTreeMap<u64, (u64, u32, f64, f64)>,
    running: BTreeSet<u64>,
    /// Without copies: what this one remembers by itself.
    alone: BTreeMap<u64, Option<Ending>>,
    numbers: u64,
}

#[derive(Default)]
struct Story {
    launches: u32,
    told: Vec<Ending>,
    succeeded: Option<Ending>,
    other_after: bool,
    lost_while_running: bool,
    began_at: usize,
}

pub struct World {
    plan: Plan,
    queue: Queue<Thing>,
    net: Net,
    chance: Pcg32,
    places: Vec<Place>,
    stories: BTreeMap<u64, Story>,
    /// The views by number, and since when each member differs from the last.
    views: Vec<Vec<usize>>,
    ids: Vec<Vec<(usize, Id)>>,
    differs: BTreeMap<usize, f64>,
    low_since: Option<f64>,
    came: Came,
    last_ticket: u64,
    ends_ms: f64,
}

const ASKED_FOR_MS: f64 = 3000.0;
const PATIENCE_MS: f64 = 600.0;
const TRIES: u32 = 5;

impl World {
    pub fn run(plan: Plan) -> Came {
        let members = plan.schedule.members;
        let mut chance = Pcg32::seed_from_u64(plan.seed ^ 0xc0_91e5);
        let mut net = Net::new(chance.random(), plan.way_ms);
        net.between_zones_ms = plan.between_zones_ms;
        let place = |chance: &mut Pcg32| Place {
            copies: None,
            id: Id(chance.random::<u64>() | 1),
            life: 1,
            down: 0,
            stopped: false,
            waiting: Vec::new(),
            tick_at: f64::INFINITY,
            tries: BTreeMap::new(),
            running: BTreeSet::new(),
            alone: BTreeMap::new(),
            numbers: 0,
        };
        let places: Vec<Place> = (0..members).map(|_| place(&mut chance)).collect();
        let ends_ms = plan.schedule.ends_ms();
        let mut world = World {
            plan,
            queue: Queue::default(),
            net,
            chance,
            places,
            stories: BTreeMap::new(),
            views: Vec::new(),
            ids: Vec::new(),
            differs: BTreeMap::new(),
            low_since: None,
            came: Came::default(),
            last_ticket: 0,
            ends_ms,
        };
        world.play();
        world.judge()
    }

    fn play(&mut self) {
        for member in 0..self.places.len() {
            self.start(member);
        }
        self.agree_on((0..self.places.len()).collect());
        for (place, step) in self.plan.schedule.steps.clone().into_iter().enumerate() {
            self.queue.put(step.at_ms, Thing::Begin(place));
            self.queue.put(step.at_ms + step.for_ms, Thing::End(place));
        }
        self.queue.put(300.0, Thing::NewTicket);
        self.queue.put(50.0, Thing::Agree);
        while let Some(thing) = self.queue.take_next() {
            if self.queue.now() > self.ends_ms + 10_000.0 {
                break;
            }
            self.happen(thing);
        }
    }

    fn happen(&mut self, thing: Thing) {
        let held_up = match &thing {
            Thing::Message { to: member, .. }
            | Thing::Tick { member, .. }
            | Thing::View { member, .. }
            | Thing::RunEnds { member, .. }
            | Thing::Due { member, .. } => self.places[*member].stopped.then_some(*member),
            _ => None,
        };
        if let Some(member) = held_up {
            return self.places[member].waiting.push(thing);
        }
        match thing {
            Thing::Message { to, life, from, message } => {
                if self.places[to].life == life {
                    let id = self.places[from].id;
                    self.tell(to, |copies, now| copies.hear(now, id, *message));
                }
            }
            Thing::Tick { member, life } => {
                if self.places[member].life == life {
                    self.places[member].tick_at = f64::INFINITY;
                    self.tell(member, |copies, now| copies.tick(now));
                }
            }
            Thing::Begin(place) => self.fault(place, true),
            Thing::End(place) => self.fault(place, false),
            Thing::View { member, life, number } => {
                if self.places[member].life == life {
                    let holders = self.holders(number);
                    self.tell(member, |copies, now| copies.view_is(now, number, holders));
                }
            }
            Thing::Agree => self.agree(),
            Thing::NewTicket => self.new_ticket(),
            Thing::Try { ticket, tries_left } => self.try_somewhere(ticket, tries_left),
            Thing::RunEnds { member, life, number } => {
                if self.places[member].life == life {
                    self.run_ends(member, number);
                }
            }
            Thing::Due { member, life, number } => {
                if self.places[member].life == life {
                    self.due(member, number);
                }
            }
        }
    }

    // ---- views as a group gives them -------------------------------------------------------------------

    fn holders(&self, number: u64) -> Vec<Holder> {
        let zones = self.plan.schedule.zones.max(1);
        let of = &self.ids[number as usize - 1];
        of.iter()
            .map(|(member, id)| Holder {
                id: *id,
                zone: format!("z{}", member % zones),
                machine: format!("m{member}"),
                weight: 1.0,
            })
            .collect()
    }

    fn agree_on(&mut self, members: Vec<usize>) {
        self.ids.push(members.iter().map(|member| (*member, self.places[*member].id)).collect());
        self.views.push(members);
        let number = self.views.len() as u64;
        for member in 0..self.places.len() {
            self.send_view(member, number);
        }
    }

    /// It reaches each by its own way, some after a while; one that is cut off not before it is back.
    fn send_view(&mut self, member: usize, number: u64) {
        let late = if self.chance.random::<f64>() < 0.1 { 300.0 } else { 5.0 };
        let at = self.queue.now() + late * self.chance.random::<f64>();
        let life = self.places[member].life;
        self.queue.put(at, Thing::View { member, life, number });
    }

    /// One that is away for more than a second is left out; one that is back is taken in.
    fn agree(&mut self) {
        let now = self.queue.now();
        self.queue.put(now + 50.0, Thing::Agree);
        let count = self.places.len();
        let reaches = |one: usize| {
            (0..count).filter(|other| !self.net.is_cut(one, *other) && !self.net.is_cut(*other, one)).count()
                * 2
                > count
        };
        let there: Vec<usize> = (0..count)
            .filter(|m| {
                let place = &self.places[*m];
                place.copies.is_some() && !place.stopped && reaches(*m)
            })
            .collect();
        let last = self.ids.last().cloned().unwrap_or_default();
        let mut next = BTreeSet::new();
        for member in 0..count {
            let (is, was) = (there.contains(&member), last.contains(&(member, self.places[member].id)));
            if is == was {
                self.differs.remove(&member);
                if is {
                    next.insert(member);
                }
                continue;
            }
            let since = *self.differs.entry(member).or_insert(now);
            let settled = now - since > if is { 300.0 } else { 1000.0 };
            if is == settled {
                next.insert(member);
            }
            // A memory that is gone for good leaves as soon as another has its name.
            if settled {
                self.differs.remove(&member);
            }
        }
        let ids: Vec<(usize, Id)> = next
            .iter()
            .map(|m| (*m, self.places[*m].id))
            .filter(|one| there.contains(&one.0) || last.contains(one))
            .collect();
        if ids != last && ids.len() * 2 > count {
            self.agree_on(ids.into_iter().map(|(member, _)| member).collect());
        }
        // Members that missed the last view hear of it again.
        let number = self.views.len() as u64;
        for member in there {
            if self.places[member].copies.as_ref().is_some_and(|copies| copies.view() < number)
                && self.chance.random::<f64>() < 0.5
            {
                self.send_view(member, number);
            }
        }
        let low: usize = self.places.iter().filter_map(|p| p.copies.as_ref()).map(Copies::low).sum();
        let held =
            self.places.iter().filter_map(|p| p.copies.as_ref()).map(Copies::held_count).max().unwrap_or(0);
        self.came.held_most = self.came.held_most.max(held);
        match (low > 0, self.low_since) {
            (true, None) => self.low_since = Some(now),
            (false, Some(since)) => {
                self.came.low_ms_most = self.came.low_ms_most.max(now - since);
                self.low_since = None;
            }
            _ => {}
        }
    }

    // ---- one member --------------------------------------------------------------------------------

    fn start(&mut self, member: usize) {
        let now = self.queue.now();
        let id = Id(self.chance.random::<u64>() | 1);
        let place = &mut self.places[member];
        place.life += 1;
        place.id = id;
        place.copies = Some(Copies::new(id, self.plan.terms.clone(), now));
        place.numbers = 0;
        place.tick_at = f64::INFINITY;
        self.tell(member, |_, _| ());
    }

    /// A machine is lost with all that it holds.
    fn kill(&mut self, member: usize) {
        self.came.machines_lost += 1;
        let place = &mut self.places[member];
        place.copies = None;
        place.life += 1;
        place.stopped = false;
        place.waiting.clear();
        place.alone.clear();
        let running = std::mem::take(&mut place.running);
        let tries = std::mem::take(&mut place.tries);
        for number in running {
            if let Some(story) = tries.get(&number).and_then(|(ticket, ..)| self.stories.get_mut(ticket)) {
                story.lost_while_running = true;
            }
        }
        let down = self.places.iter().filter(|place| place.copies.is_none()).count() as u64;
        self.came.most_lost_at_once = self.came.most_lost_at_once.max(down);
        // Their callers find the connection broken and go elsewhere.
        for (ticket, left, ..) in tries.into_values() {
            self.again(ticket, left, 5.0);
        }
    }

    fn tell(&mut self, member: usize, ask: impl FnOnce(&mut Copies, f64)) {
        let now = self.queue.now();
        let Some(copies) = self.places[member].copies.as_mut() else { return };
        ask(copies, now);
        let (send, out) = copies.take();
        let at = copies.next_at();
        for (to, message) in send {
            let Some(to) = self.places.iter().position(|place| place.id == to && place.copies.is_some())
            else {
                continue;
            };
            let life = self.places[to].life;
            for way in self.net.ways(member, to, self.plan.schedule.zones, 0) {
                let thing = Thing::Message { to, life, from: member, message: Box::new(message.clone()) };
                self.queue.put(now + way, thing);
            }
        }
        out.into_iter().for_each(|told| self.hear_back(member, told));
        let place = &mut self.places[member];
        if at < place.tick_at - 0.5 {
            place.tick_at = at;
            let life = place.life;
            self.queue.put(at, Thing::Tick { member, life });
        }
    }

    fn hear_back(&mut self, member: usize, told: Told) {
        let now = self.queue.now();
        match told {
            Told::Launch(number) => self.launch(member, number, now),
            Told::Ended(number, ending) | Told::Answer(number, ending) => {
                if let Some((.., ended_at)) =
                    self.places[member].tries.get(&number).filter(|_| matches!(ending, Ending::Succeeded(_)))
                {
                    if *ended_at > 0.0 {
                        self.came.answer_wait_ms.put(now - ended_at);
                    }
                }
                self.answer(member, number, Some(ending));
            }
            Told::Enough(..) => {}
            Told::Refuse(number) => self.answer(member, number, None),
        }
    }

    fn launch(&mut self, member: usize, number: u64, now: f64) {
        let Some((ticket, _, began, _)) = self.places[member].tries.get(&number).copied() else { return };
        self.came.launch_wait_ms.put(now - began);
        if let Some(story) = self.stories.get_mut(&ticket) {
            story.launches += 1;
        }
        self.places[member].running.insert(number);
        let takes = LogNormal::new(self.plan.run_ms.ln(), 0.4)
            .map_or(self.plan.run_ms, |spread| spread.sample(&mut self.chance));
        let life = self.places[member].life;
        self.queue.put(now + takes, Thing::RunEnds { member, life, number });
    }

    fn run_ends(&mut self, member: usize, number: u64) {
        let now = self.queue.now();
        self.places[member].running.remove(&number);
        let result = Ending::Succeeded(self.chance.random::<u64>().to_be_bytes().to_vec());
        if let Some(one) = self.places[member].tries.get_mut(&number) {
            one.3 = now;
        }
        if self.plan.with_copies {
            self.tell(member, |copies, now| copies.ended(now, number, result));
        } else {
            let ticket = self.places[member].tries.get(&number).map(|one| one.0);
            if let Some(ticket) = ticket {
                self.places[member].alone.insert(ticket, Some(result.clone()));
            }
            self.answer(member, number, Some(result));
        }
    }

    // ---- callers -----------------------------------------------------------------------------------

    fn new_ticket(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.chance);
        let now = self.queue.now();
        if now < self.ends_ms {
            self.queue.put(now + gap * 1000.0 / self.plan.tickets_a_second, Thing::NewTicket);
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.came.tickets += 1;
        self.stories.insert(ticket, Story::default());
        self.queue.put(now, Thing::Try { ticket, tries_left: TRIES });
        // Some callers try two backends in the same instant.
        if self.chance.random::<f64>() < 0.15 {
            self.queue.put(now, Thing::Try { ticket, tries_left: 2 });
        }
    }

    fn again(&mut self, ticket: u64, tries_left: u32, after_ms: f64) {
        if tries_left > 0 {
            self.queue.put(self.queue.now() + after_ms, Thing::Try { ticket, tries_left: tries_left - 1 });
        }
    }

    fn try_somewhere(&mut self, ticket: u64, tries_left: u32) {
        let live: Vec<usize> = (0..self.places.len()).filter(|m| self.places[*m].copies.is_some()).collect();
        let Some(member) = live.get(self.chance.random_range(0..live.len().max(1))).copied() else { return };
        let Some(story) = self.stories.get_mut(&ticket) else { return };
        self.came.repeats_elsewhere += u64::from(story.began_at != 0 && story.began_at != member + 1);
        story.began_at = member + 1;
        let now = self.queue.now();
        if self.places[member].stopped {
            // Nobody answers there; the caller loses its patience.
            return self.again(ticket, tries_left, PATIENCE_MS);
        }
        let (due, window) = (now + ASKED_FOR_MS, self.plan.window_ms);
        let place = &mut self.places[member];
        place.numbers += 1;
        let number = place.numbers;
        place.tries.insert(number, (ticket, tries_left, now, 0.0));
        let life = place.life;
        self.queue.put(
            now + PATIENCE_MS * (0.7 + 0.6 * self.chance.random::<f64>()),
            Thing::Due { member, life, number },
        );
        if self.plan.with_copies {
            self.tell(member, |copies, now| {
                let given = copies.begin(now, Ticket::of("book", &ticket.to_be_bytes()), due, window);
                debug_assert_eq!(given, number);
            });
            return;
        }
        match self.places[member].alone.get(&ticket).cloned() {
            Some(Some(ending)) => self.answer(member, number, Some(ending)),
            Some(None) => {}
            None => {
                self.places[member].alone.insert(ticket, None);
                self.launch(member, number, now);
            }
        }
    }

    /// The caller's patience is over: what was not launched is given back, and it tries elsewhere.
    fn due(&mut self, member: usize, number: u64) {
        let Some((ticket, left, ..)) = self.places[member].tries.get(&number).copied() else { return };
        if let Some(one) = self.places[member].tries.get_mut(&number) {
            one.1 = 0;
        }
        if self.plan.with_copies {
            self.tell(member, |copies, now| copies.given_up(now, number));
        }
        self.again(ticket, left, 10.0);
    }

    fn answer(&mut self, member: usize, number: u64, ending: Option<Ending>) {
        let Some((ticket, left, ..)) = self.places[member].tries.remove(&number) else { return };
        let Some(story) = self.stories.get_mut(&ticket) else { return };
        match ending {
            None => {
                self.came.refused += 1;
                self.again(ticket, left, 100.0);
            }
            Some(ending) => {
                if story.succeeded.as_ref().is_some_and(|first| *first != ending) {
                    story.other_after = true;
                }
                if matches!(ending, Ending::Succeeded(_)) {
                    story.succeeded.get_or_insert(ending.clone());
                    // Some ask again, though they had it.
                    if self.chance.random::<f64>() < 0.2 && left > 0 {
                        self.queue.put(
                            self.queue.now() + 2000.0 * self.chance.random::<f64>(),
                            Thing::Try { ticket, tries_left: 0 },
                        );
                    }
                }
                story.told.push(ending);
            }
        }
    }

    // ---- faults ------------------------------------------------------------------------------------

    fn fault(&mut self, place: usize, begins: bool) {
        let step = self.plan.schedule.steps[place].clone();
        let count = self.places.len();
        match step.fault {
            Fault::Cut { these, those, one_way } => {
                for (one, other) in these.iter().flat_map(|one| those.iter().map(move |other| (*one, *other)))
                {
                    self.net.cut(one, other, begins);
                    if !one_way {
                        self.net.cut(other, one, begins);
                    }
                }
            }
            Fault::Loss { share } => {
                self.net.loss = (self.net.loss + if begins { share } else { -share }).max(0.0)
            }
            Fault::Slow { member, by_ms } => self.net.slow(member, begins.then_some(by_ms)),
            // Without the time that leaving takes: as hard as a loss.
            Fault::Kill { member, .. } | Fault::Leave { member } => self.down(member, begins),
            // Two at once, next to each other and so in two zones: what three copies are promised to outlive.
            Fault::KillThird { first } => {
                third(first, count).take(2).collect::<Vec<_>>().into_iter().for_each(|m| self.down(m, begins))
            }
            Fault::Stop { member } => {
                if begins {
                    self.places[member].stopped = self.places[member].copies.is_some();
                } else if std::mem::take(&mut self.places[member].stopped) {
                    let waiting = std::mem::take(&mut self.places[member].waiting);
                    self.places[member].tick_at = f64::INFINITY;
                    waiting.into_iter().for_each(|thing| self.happen(thing));
                    self.tell(member, |copies, now| copies.tick(now));
                }
            }
            Fault::Unfit { .. } | Fault::Full { .. } | Fault::Clock { .. } => {}
        }
    }

    fn down(&mut self, member: usize, begins: bool) {
        if begins {
            self.places[member].down += 1;
            if self.places[member].copies.is_some() {
                self.kill(member);
            }
            return;
        }
        self.places[member].down -= 1;
        if self.places[member].down == 0 && self.places[member].copies.is_none() {
            self.start(member);
        }
    }

    fn judge(self) -> Came {
        let mut came = self.came;
        for story in self.stories.values() {
            came.effects_twice += u64::from(story.launches > 1);
            came.succeeded_then_other += u64::from(story.other_after);
            let verdicts: BTreeSet<&Ending> = story.told.iter().collect();
            came.verdicts_that_differ += u64::from(verdicts.len() > 1);
            came.in_doubt += u64::from(story.told.contains(&Ending::InDoubt));
            came.ran_on_lost += u64::from(story.lost_while_running);
            came.succeeded += u64::from(story.succeeded.is_some());
        }
        came.messages = self.net.sent;
        came
    }
}

/// A schedule that loses machines with their disks throughout, two at once among them, with cuts and stops between. No more
/// than two are away at a time.
pub fn schedule(seed: u64, members: usize, zones: usize, losses: usize) -> Schedule {
    let mut chance = Pcg32::seed_from_u64(seed ^ 0x5c_4ed);
    let mut schedule = Schedule { members, zones, steps: Vec::new() };
    let mut at_ms = 3000.0;
    let mut lost = 0;
    while lost < losses {
        let member = chance.random_range(0..members);
        let for_ms = 1500.0 + 1500.0 * chance.random::<f64>();
        let fault = match chance.random_range(0..8) {
            0 => Fault::KillThird { first: member },
            1 => Fault::Cut {
                these: vec![member],
                those: (0..members).filter(|m| *m != member).collect(),
                one_way: chance.random::<f64>() < 0.4,
            },
            2 => Fault::Stop { member },
            3 => Fault::Loss { share: 0.05 + 0.15 * chance.random::<f64>() },
            _ => Fault::Kill { member, folder: crate::schedule::Folder::Wiped },
        };
        lost += match fault {
            Fault::KillThird { .. } => 2,
            Fault::Kill { .. } => 1,
            _ => 0,
        };
        schedule.steps.push(crate::schedule::Step { at_ms, for_ms, fault });
        at_ms += for_ms + 1500.0 + 1500.0 * chance.random::<f64>();
    }
    schedule
}
