//! One key over a few members as a model that a checker walks through: attempts at several backends, each order of messages,
//! members that crash with all they store, views that come late, links that break, messages that are delivered twice.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;

use plovershelf_cluster::NodeId;
use plovershelf_replication::placement::replica_set;
use plovershelf_replication::{
    Event, IdempotencyKey, Member, Message, Outcome, ReplicationConfig, Replicator, RequestId, ViewNumber,
};
use stateright::{Model, Property};

/// Faults that may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    pub(crate) crashes: u8,
    pub(crate) duplicates: u8,
    pub(crate) breaks: u8,
    /// Clients that give up before anything is launched.
    pub(crate) cancels: u8,
    /// Members that come to suspect another, whether it is gone or not.
    pub(crate) suspicions: u8,
}

pub(crate) struct KeyModel {
    pub(crate) members: usize,
    pub(crate) replication_factor: usize,
    /// Backends that an attempt comes to.
    pub(crate) attempts: Vec<usize>,
    pub(crate) budget: Budget,
}

#[derive(Clone, Debug)]
pub(crate) struct World {
    pub(crate) members: Vec<Option<Replicator>>,
    in_flight: BTreeMap<(usize, usize), VecDeque<Arc<Message>>>,
    budget: Budget,
    reserved: Vec<bool>,
    /// Who has crashed, in the order of the views that leave them out.
    gone: Vec<usize>,
    /// Requests that run, by member.
    running: Vec<(usize, RequestId)>,
    pub(crate) launches: u8,
    /// What clients were answered.
    pub(crate) answers: Vec<Outcome>,
}

impl World {
    fn hashed(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (
            &self.in_flight,
            self.budget,
            &self.reserved,
            &self.gone,
            &self.running,
            self.launches,
            &self.answers,
        )
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
pub(crate) enum Step {
    Reserve(usize),
    /// The first message of a link; it may come once more.
    Deliver(usize, usize, bool),
    Break(usize, usize),
    Crash(usize),
    /// A member learns of the next view.
    UpdateView(usize),
    Complete(usize),
    Cancel(usize, RequestId),
    /// One member suspects another.
    Suspect(usize, usize),
}

fn id(member: usize) -> NodeId {
    NodeId(member as u64 + 1)
}

pub(crate) const KEY: IdempotencyKey = IdempotencyKey(0x5eed_0000_0000_0000_0000_0000_0000_0007);

impl KeyModel {
    fn config(&self) -> ReplicationConfig {
        ReplicationConfig {
            replication_factor: self.replication_factor,
            min_replicas: 1,
            max_batches_per_second: f64::INFINITY,
            ..ReplicationConfig::default()
        }
    }

    fn view(&self, gone: &[usize]) -> Vec<Member> {
        let there = (0..self.members).filter(|member| !gone.contains(member));
        let member =
            |m: usize| Member { id: id(m), zone: format!("z{m}"), machine: format!("m{m}"), weight: 1.0 };
        there.map(member).collect()
    }

    fn carry_out(&self, world: &mut World, member: usize) {
        let Some(replicator) = world.members[member].as_mut() else { return };
        let actions = replicator.poll_actions();
        for (to, message) in actions.messages {
            let link = world.in_flight.entry((member, to.0 as usize - 1)).or_default();
            if link.back().is_none_or(|last| **last != message) {
                link.push_back(Arc::new(message));
            }
        }
        for event in actions.events {
            match event {
                Event::Launch(request) => {
                    world.launches += 1;
                    world.running.push((member, request));
                }
                Event::AlreadyCompleted(_, outcome) | Event::OutcomeReplicated(_, outcome) => {
                    world.answers.push(outcome);
                }
                Event::Rejected(_) | Event::OutcomeProvisional(..) => {}
            }
        }
        world.in_flight.retain(|(_, to), link| !link.is_empty() && *to < self.members);
    }
}

impl Model for KeyModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            members: Vec::new(),
            in_flight: BTreeMap::new(),
            budget: self.budget,
            reserved: vec![false; self.attempts.len()],
            gone: Vec::new(),
            running: Vec::new(),
            launches: 0,
            answers: Vec::new(),
        };
        for member in 0..self.members {
            let mut replicator = Replicator::new(id(member), self.config(), 0.0);
            replicator.update_view(0.0, ViewNumber(1), self.view(&[]));
            world.members.push(Some(replicator));
        }
        // All members reconcile the first view before anything else happens.
        for member in 0..self.members {
            self.carry_out(&mut world, member);
        }
        while let Some(((from, to), message)) =
            world.in_flight.iter_mut().find_map(|(link, messages)| Some((*link, messages.pop_front()?)))
        {
            if let Some(replicator) = world.members[to].as_mut() {
                replicator.handle_message(0.0, id(from), Message::clone(&message));
            }
            self.carry_out(&mut world, to);
        }
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for (place, member) in self.attempts.iter().enumerate() {
            if !world.reserved[place] && world.members[*member].is_some() {
                steps.push(Step::Reserve(place));
            }
        }
        for ((from, to), link) in &world.in_flight {
            // A message of a view that the receiver does not know yet stays there until it does.
            let view = world.members[*to].as_ref().map_or(ViewNumber(u64::MAX), Replicator::view);
            let ahead = link.front().is_some_and(|message| message.view() > view);
            if !ahead {
                steps.push(Step::Deliver(*from, *to, false));
                if world.budget.duplicates > 0 {
                    steps.push(Step::Deliver(*from, *to, true));
                }
            }
            if world.budget.breaks > 0 {
                steps.push(Step::Break(*from, *to));
            }
        }
        for (member, replicator) in world.members.iter().enumerate() {
            let Some(replicator) = replicator else { continue };
            if world.budget.crashes > 0 && world.gone.len() + 1 < self.members {
                steps.push(Step::Crash(member));
            }
            if (replicator.view().0 as usize) <= world.gone.len() {
                steps.push(Step::UpdateView(member));
            }
        }
        for place in 0..world.running.len() {
            steps.push(Step::Complete(place));
        }
        if world.budget.suspicions > 0 {
            let pairs = (0..self.members).flat_map(|one| (0..self.members).map(move |other| (one, other)));
            let live = |one: &usize| world.members[*one].is_some();
            steps.extend(
                pairs.filter(|(one, other)| one != other && live(one)).map(|(a, b)| Step::Suspect(a, b)),
            );
        }
        if world.budget.cancels > 0 {
            for (place, member) in self.attempts.iter().enumerate() {
                if world.reserved[place] && world.members[*member].is_some() {
                    steps.push(Step::Cancel(*member, RequestId(1)));
                }
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        let member = match step {
            Step::Reserve(place) => {
                world.reserved[place] = true;
                let member = self.attempts[place];
                world.members[member].as_mut()?.reserve(0.0, KEY, 1e9, 1e6);
                member
            }
            Step::Deliver(from, to, stays) => {
                let link = world.in_flight.get_mut(&(from, to))?;
                let message = if stays { link.front().cloned()? } else { link.pop_front()? };
                world.budget.duplicates -= u8::from(stays);
                if let Some(replicator) = world.members[to].as_mut() {
                    replicator.handle_message(0.0, id(from), Message::clone(&message));
                }
                to
            }
            Step::Break(from, to) => {
                world.budget.breaks -= 1;
                world.in_flight.remove(&(from, to));
                return Some(world);
            }
            Step::Crash(member) => {
                world.budget.crashes -= 1;
                world.members[member] = None;
                world.gone.push(member);
                world.running.retain(|(at, _)| *at != member);
                world.in_flight.retain(|(_, to), _| *to != member);
                return Some(world);
            }
            Step::UpdateView(member) => {
                let replicator = world.members[member].as_mut()?;
                let next = replicator.view().0 + 1;
                let members = self.view(&world.gone[..next as usize - 1]);
                replicator.update_view(0.0, ViewNumber(next), members);
                member
            }
            Step::Complete(place) => {
                let (member, request) = world.running.remove(place);
                let outcome = Outcome::Succeeded(vec![member as u8, request.0 as u8]);
                world.members[member].as_mut()?.complete(0.0, request, outcome);
                member
            }
            Step::Suspect(member, of) => {
                world.budget.suspicions -= 1;
                world.members[member].as_mut()?.update_suspected(0.0, BTreeSet::from([id(of)]));
                member
            }
            Step::Cancel(member, request) => {
                world.budget.cancels -= 1;
                world.members[member].as_mut()?.cancel(0.0, request);
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
                seen(2, world.answers.windows(2).all(|pair| pair[0] == pair[1]))
            }),
            Property::sometimes("it is answered", |_, world: &World| !world.answers.is_empty()),
        ]
    }
}

/// Which properties were seen broken in this process: a bit each.
pub(crate) static BROKEN: AtomicU8 = AtomicU8::new(0);

fn seen(bit: u8, holds: bool) -> bool {
    if !holds {
        BROKEN.fetch_or(bit, Ordering::Relaxed);
    }
    holds
}

/// The replicas of the key, the primary in front, as places.
pub(crate) fn replica_places(members: usize, replication_factor: usize) -> Vec<usize> {
    let all = KeyModel {
        members,
        replication_factor,
        attempts: vec![],
        budget: Budget { crashes: 0, duplicates: 0, breaks: 0, cancels: 0, suspicions: 0 },
    };
    replica_set(KEY, &all.view(&[]), replication_factor).into_iter().map(|id| id.0 as usize - 1).collect()
}
