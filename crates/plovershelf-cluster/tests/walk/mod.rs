//! A few consensus nodes as a model that a checker walks through: each order of messages, elections, crashes, storage lost or
//! set back, connections that break, within bounds.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use plovershelf_cluster::consensus::{
    Actions, Entry, LogPosition, Message, Payload, PersistentState, Raft, RaftConfig, Role, Snapshot,
    StateMachine, Term,
};
use plovershelf_cluster::{Epoch, NodeId};
use serde::{Deserialize, Serialize};
use stateright::{Model, Property};

/// Commands in the order in which they were applied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Applied(Vec<u8>);

impl StateMachine for Applied {
    type Command = u8;
    fn apply(&mut self, command: &u8) {
        self.0.push(*command);
    }
}

/// How often each may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    pub(crate) elections: u8,
    pub(crate) heartbeats: u8,
    pub(crate) crashes: u8,
    pub(crate) commands: u8,
    pub(crate) duplicates: u8,
    pub(crate) breaks: u8,
}

/// What becomes of the disk in a crash.
#[allow(dead_code, reason = "each test takes some of them")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Disk {
    Kept,
    /// As it was at the beginning: an older copy was restored.
    Restored,
    /// Gone: the node is a new one, which is no voter.
    Lost,
}

pub(crate) struct Cluster {
    pub(crate) voters: usize,
    pub(crate) budget: Budget,
    pub(crate) disks: Vec<Disk>,
}

#[derive(Clone, Debug)]
pub(crate) struct Member {
    node: Option<Raft<Applied>>,
    disk: PersistentState<Applied>,
    starts: u64,
}

impl Member {
    /// All that its future hangs on, but for chance.
    fn hash_into<H: Hasher>(&self, hasher: &mut H) {
        (&self.disk, self.starts).hash(hasher);
        let Some(node) = &self.node else { return };
        (node.commit_index(), node.matched(), node.leader()).hash(hasher);
        match node.role() {
            Role::PreCandidate { granted } | Role::Candidate { granted } => (1, granted).hash(hasher),
            Role::Recovering(recovery) => {
                (2, recovery.nonce, recovery.min_term, &recovery.asked, &recovery.reports).hash(hasher)
            }
            Role::NonVoter => 3.hash(hasher),
            Role::Follower => 4.hash(hasher),
            Role::Leader => 5.hash(hasher),
            Role::StorageFailed => 6.hash(hasher),
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct World {
    members: Vec<Member>,
    /// From whom, to whom: in order, as on a link. What is sent again alike right behind itself is one.
    in_flight: BTreeMap<(usize, usize), VecDeque<Arc<Message<Applied>>>>,
    budget: Budget,
    leaders: BTreeMap<Term, usize>,
    committed: BTreeMap<u64, Entry<u8>>,
    violation: Option<&'static str>,
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        let hashed = |world: &World| {
            let mut hasher = DefaultHasher::new();
            world.hash(&mut hasher);
            hasher.finish()
        };
        hashed(self) == hashed(other)
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.in_flight.hash(hasher);
        (&self.budget, &self.violation, &self.leaders, &self.committed).hash(hasher);
        self.members.iter().for_each(|member| member.hash_into(hasher));
    }
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// The first message of a connection; it may come once more.
    Deliver(usize, usize, bool),
    /// A connection breaks, and all on it is lost.
    Break(usize, usize),
    Election(usize),
    Heartbeat(usize),
    Propose(usize),
    Crash(usize, Disk),
}

fn id(member: usize) -> NodeId {
    NodeId(member as u64 + 1)
}

/// Timeouts of nothing: time does not decide anything here, each election is a step of its own.
const CONFIG: RaftConfig = RaftConfig {
    heartbeat_interval_ms: 0.0,
    election_timeout_ms: [0.0, 0.0],
    recovery_retry_ms: 0.0,
    clock_drift_fraction: 0.0,
    pre_vote: false,
};

impl Cluster {
    fn first(&self) -> PersistentState<Applied> {
        let voters = (0..self.voters).map(id).collect();
        let last = LogPosition { term: Term(1), index: 1 };
        let snapshot = Snapshot { last, voters, voters_index: 1, state: Applied::default() };
        let (epoch, promised_epoch) = (Epoch(1), Epoch::NONE);
        PersistentState { epoch, term: Term(1), vote: None, promised_epoch, snapshot, log: Vec::new() }
    }

    /// Carries out what a member's call asked for, and looks at what it shows.
    fn carry_out(&self, world: &mut World, member: usize, actions: Actions<Applied>) {
        for record in actions.save {
            world.members[member].disk.apply(record);
        }
        for (to, message) in actions.send {
            // A refusal may get lost: so may all, and what it tells comes in other ways too.
            let idle = matches!(message, Message::Vote { granted: false, .. });
            let link = world.in_flight.entry((member, to.0 as usize - 1)).or_default();
            if to.0 as usize <= self.voters && !idle && link.back().is_none_or(|last| **last != message) {
                link.push_back(Arc::new(message));
            }
        }
        world.in_flight.retain(|_, link| !link.is_empty());
        let Some(node) = &world.members[member].node else { return };
        if node.leads() {
            let first = *world.leaders.entry(node.term()).or_insert(member);
            if first != member {
                world.violation = Some("two leaders of one term");
            }
        }
        let base = node.persistent().snapshot.last.index;
        for index in base + 1..=node.commit_index() {
            let Some((_, entries)) = node.committed_after(index - 1) else { continue };
            let entry = entries[0].clone();
            if *world.committed.entry(index).or_insert_with(|| entry.clone()) != entry {
                world.violation = Some("something decided was forgotten");
            }
        }
    }
}

impl Model for Cluster {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let disk = self.first();
        let mut world = World {
            members: Vec::new(),
            in_flight: BTreeMap::new(),
            budget: self.budget,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            violation: None,
        };
        for member in 0..self.voters {
            // All begin as founded, so none has anything to ask.
            let mut node = Raft::new(id(member), CONFIG, None, Applied::default(), member as u64, 0.0);
            node.adopt_epoch(Epoch(1), disk.snapshot.clone());
            let _ = node.poll_actions();
            world.members.push(Member { node: Some(node), disk: disk.clone(), starts: 0 });
        }
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.violation.is_some() {
            return;
        }
        for (from, to) in world.in_flight.keys() {
            steps.push(Step::Deliver(*from, *to, false));
            if world.budget.duplicates > 0 {
                steps.push(Step::Deliver(*from, *to, true));
            }
            if world.budget.breaks > 0 {
                steps.push(Step::Break(*from, *to));
            }
        }
        // The voters are alike at first, so it is the same whichever of them stands first.
        let untouched = world.budget == self.budget;
        let may_stand = |place: usize| world.budget.elections > 0 && !(untouched && place > 0);
        for (place, member) in world.members.iter().enumerate() {
            let Some(node) = &member.node else { continue };
            if node.leads() {
                if world.budget.heartbeats > 0 {
                    steps.push(Step::Heartbeat(place));
                }
                if world.budget.commands > 0 {
                    steps.push(Step::Propose(place));
                }
            } else if matches!(node.role(), Role::Follower) && may_stand(place) {
                steps.push(Step::Election(place));
            }
            if world.budget.crashes > 0 {
                steps.extend(self.disks.iter().map(|disk| Step::Crash(place, *disk)));
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        let member = match &step {
            Step::Deliver(_, to, _) | Step::Break(_, to) => *to,
            Step::Election(member)
            | Step::Heartbeat(member)
            | Step::Propose(member)
            | Step::Crash(member, _) => *member,
        };
        match step {
            Step::Deliver(from, to, stays) => {
                let link = world.in_flight.get_mut(&(from, to))?;
                let message = if stays { link.front().cloned()? } else { link.pop_front()? };
                world.budget.duplicates -= u8::from(stays);
                world.members[to].node.as_mut()?.handle_message(0.0, id(from), Message::clone(&message));
            }
            Step::Break(from, to) => {
                world.budget.breaks -= 1;
                world.in_flight.remove(&(from, to));
                return Some(world);
            }
            Step::Election(member) => {
                world.budget.elections -= 1;
                world.members[member].node.as_mut()?.handle_timeout(0.0);
            }
            Step::Heartbeat(member) => {
                world.budget.heartbeats -= 1;
                world.members[member].node.as_mut()?.handle_timeout(0.0);
            }
            Step::Propose(member) => {
                world.budget.commands -= 1;
                let command = world.budget.commands + 1;
                world.members[member].node.as_mut()?.propose(0.0, Payload::Command(command));
            }
            Step::Crash(member, disk) => {
                world.budget.crashes -= 1;
                let own = &mut world.members[member];
                own.starts += 1;
                if disk == Disk::Restored {
                    own.disk = self.first();
                }
                let seed = own.starts * 100 + member as u64;
                own.node = (disk != Disk::Lost).then(|| {
                    Raft::new(id(member), CONFIG, Some(own.disk.clone()), Applied::default(), seed, 0.0)
                });
            }
        }
        let actions = world.members[member].node.as_mut().map(Raft::poll_actions);
        if let Some(actions) = actions {
            self.carry_out(&mut world, member, actions);
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one leader a term", |_, world: &World| {
                world.violation != Some("two leaders of one term")
            }),
            Property::always("nothing decided is forgotten", |_, world: &World| {
                world.violation != Some("something decided was forgotten")
            }),
            Property::sometimes("something is decided", |_, world: &World| {
                world.committed.values().any(|entry| matches!(entry.payload, Payload::Command(_)))
            }),
        ]
    }
}
