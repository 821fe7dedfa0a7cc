//! One ticket over a few members as a model that a checker walks through: tries at several backends, each order of messages,
//! members that crash with all they hold, views that come late, links that break, messages that come twice.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;

use plovershelf_cluster::NodeId as Id;
use plovershelf_replication::copies::{Copies, Ending, Message, Terms, Told};
use plovershelf_replication::placement::{place, Holder, Ticket};
use stateright::{Model, Property};

/// What may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Left {
    pub crashes: u8,
    pub doubles: u8,
    pub breaks: u8,
    /// Callers that give up before anything is launched.
    pub gives_up: u8,
    /// Members that come to doubt another, whether it is gone or not.
    pub doubts: u8,
}

pub struct Tickets {
    pub members: usize,
    pub copies: usize,
    /// Backends that a try comes to.
    pub tries: Vec<usize>,
    pub left: Left,
}

#[derive(Clone, Debug)]
pub struct World {
    pub members: Vec<Option<Copies>>,
    under_way: BTreeMap<(usize, usize), VecDeque<Arc<Message>>>,
    left: Left,
    begun: Vec<bool>,
    /// Who has crashed, in the order of the views that leave them out.
    gone: Vec<usize>,
    /// Runs that are on, at whom by what number; launches in all.
    running: Vec<(usize, u64)>,
    pub launches: u8,
    /// What callers were told.
    pub told: Vec<Ending>,
}

impl World {
    fn hashed(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.under_way, self.left, &self.begun, &self.gone, &self.running, self.launches, &self.told)
            .hash(&mut hasher);
        format!("{:?}", self.members).hash(&mut hasher);
        hasher.finish()
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.hashed() == other.hashed()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.hashed().hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Begin(usize),
    /// The first of a link; it may come once more.
    Deliver(usize, usize, bool),
    Break(usize, usize),
    Crash(usize),
    /// A member hears of the next view.
    View(usize),
    RunEnds(usize),
    GivesUp(usize, u64),
    /// One doubts another.
    Doubt(usize, usize),
}

fn id(member: usize) -> Id {
    Id(member as u64 + 1)
}

pub const TICKET: Ticket = Ticket(0x5eed_0000_0000_0000_0000_0000_0000_0007);

impl Tickets {
    fn terms(&self) -> Terms {
        Terms { copies: self.copies, least: 1, batches_a_second: f64::INFINITY, ..Terms::default() }
    }

    fn view(&self, gone: &[usize]) -> Vec<Holder> {
        let there = (0..self.members).filter(|member| !gone.contains(member));
        let holder =
            |m: usize| Holder { id: id(m), zone: format!("z{m}"), machine: format!("m{m}"), weight: 1.0 };
        there.map(holder).collect()
    }

    fn carry_out(&self, world: &mut World, member: usize) {
        let Some(copies) = world.members[member].as_mut() else { return };
        let (send, out) = copies.take();
        for (to, message) in send {
            let link = world.under_way.entry((member, to.0 as usize - 1)).or_default();
            if link.back().is_none_or(|last| **last != message) {
                link.push_back(Arc::new(message));
            }
        }
        for told in out {
            match told {
                Told::Launch(number) => {
                    world.launches += 1;
                    world.running.push((member, number));
                }
                Told::Ended(_, ending) | Told::Answer(_, ending) => world.told.push(ending),
                Told::Refuse(_) | Told::Enough(..) => {}
            }
        }
        world.under_way.retain(|(_, to), link| !link.is_empty() && *to < self.members);
    }
}

impl Model for Tickets {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            members: Vec::new(),
            under_way: BTreeMap::new(),
            left: self.left,
            begun: vec![false; self.tries.len()],
            gone: Vec::new(),
            running: Vec::new(),
            launches: 0,
            told: Vec::new(),
        };
        for member in 0..self.members {
            let mut copies = Copies::new(id(member), self.terms(), 0.0);
            copies.view_is(0.0, 1, self.view(&[]));
            world.members.push(Some(copies));
        }
        // The first view is told all round before anything else happens.
        for member in 0..self.members {
            self.carry_out(&mut world, member);
        }
        while let Some((key, message)) =
            world.under_way.iter_mut().find_map(|(key, link)| Some((*key, link.pop_front()?)))
        {
            if let Some(copies) = world.members[key.1].as_mut() {
                copies.hear(0.0, id(key.0), Message::clone(&message));
            }
            self.carry_out(&mut world, key.1);
        }
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for (place, member) in self.tries.iter().enumerate() {
            if !world.begun[place] && world.members[*member].is_some() {
                steps.push(Step::Begin(place));
            }
        }
        for ((from, to), link) in &world.under_way {
            // What is said under a view that the other does not know yet lies there until it does.
            let view = world.members[*to].as_ref().map_or(u64::MAX, Copies::view);
            let ahead = link.front().is_some_and(|message| message.view() > view);
            if !ahead {
                steps.push(Step::Deliver(*from, *to, false));
                if world.left.doubles > 0 {
                    steps.push(Step::Deliver(*from, *to, true));
                }
            }
            if world.left.breaks > 0 {
                steps.push(Step::Break(*from, *to));
            }
        }
        for (member, copies) in world.members.iter().enumerate() {
            let Some(copies) = copies else { continue };
            if world.left.crashes > 0 && world.gone.len() + 1 < self.members {
                steps.push(Step::Crash(member));
            }
            if (copies.view() as usize) <= world.gone.len() {
                steps.push(Step::View(member));
            }
        }
        for place in 0..world.running.len() {
            steps.push(Step::RunEnds(place));
        }
        if world.left.doubts > 0 {
            let pairs = (0..self.members).flat_map(|one| (0..self.members).map(move |other| (one, other)));
            let live = |one: &usize| world.members[*one].is_some();
            steps.extend(
                pairs.filter(|(one, other)| one != other && live(one)).map(|(a, b)| Step::Doubt(a, b)),
            );
        }
        if world.left.gives_up > 0 {
            for (place, member) in self.tries.iter().enumerate() {
                if world.begun[place] && world.members[*member].is_some() {
                    steps.push(Step::GivesUp(*member, 1));
                }
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        let member = match step {
            Step::Begin(place) => {
                world.begun[place] = true;
                let member = self.tries[place];
                world.members[member].as_mut()?.begin(0.0, TICKET, 1e9, 1e6);
                member
            }
            Step::Deliver(from, to, stays) => {
                let link = world.under_way.get_mut(&(from, to))?;
                let message = if stays { link.front().cloned()? } else { link.pop_front()? };
                world.left.doubles -= u8::from(stays);
                if let Some(copies) = world.members[to].as_mut() {
                    copies.hear(0.0, id(from), Message::clone(&message));
                }
                to
            }
            Step::Break(from, to) => {
                world.left.breaks -= 1;
                world.under_way.remove(&(from, to));
                return Some(world);
            }
            Step::Crash(member) => {
                world.left.crashes -= 1;
                world.members[member] = None;
                world.gone.push(member);
                world.running.retain(|(at, _)| *at != member);
                world.under_way.retain(|(_, to), _| *to != member);
                return Some(world);
            }
            Step::View(member) => {
                let copies = world.members[member].as_mut()?;
                let next = copies.view() + 1;
                let members = self.view(&world.gone[..next as usize - 1]);
                copies.view_is(0.0, next, members);
                member
            }
            Step::RunEnds(place) => {
                let (member, number) = world.running.remove(place);
                let ending = Ending::Succeeded(vec![member as u8, number as u8]);
                world.members[member].as_mut()?.ended(0.0, number, ending);
                member
            }
            Step::Doubt(member, of) => {
                world.left.doubts -= 1;
                world.members[member].as_mut()?.doubts(0.0, BTreeSet::from([id(of)]));
                member
            }
            Step::GivesUp(member, number) => {
                world.left.gives_up -= 1;
                world.members[member].as_mut()?.given_up(0.0, number);
                member
            }
        };
        self.carry_out(&mut world, member);
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no effect twice", |_, world: &World| seen(1, world.launches <= 1)),
            Property::always("one verdict for all", |_, world: &World| {
                seen(2, world.told.windows(2).all(|pair| pair[0] == pair[1]))
            }),
            Property::sometimes("it is answered", |_, world: &World| !world.told.is_empty()),
        ]
    }
}

/// Which properties were seen broken in this process: a bit each.
pub static BROKEN: AtomicU8 = AtomicU8::new(0);

fn seen(bit: u8, holds: bool) -> bool {
    if !holds {
        BROKEN.fetch_or(bit, Ordering::Relaxed);
    }
    holds
}

/// The holders of the ticket, the first at the front, as places.
pub fn holders(members: usize, copies: usize) -> Vec<usize> {
    let all = Tickets {
        members,
        copies,
        tries: vec![],
        left: Left { crashes: 0, doubles: 0, breaks: 0, gives_up: 0, doubts: 0 },
    };
    place(TICKET, &all.view(&[]), copies).into_iter().map(|id| id.0 as usize - 1).collect()
}
