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

/// Decisions as they were taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Taken(Vec<u8>);

impl StateMachine for Taken {
    type Command = u8;
    fn apply(&mut self, command: &u8) {
        self.0.push(*command);
    }
}

/// What may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Left {
    pub elections: u8,
    pub beats: u8,
    pub crashes: u8,
    pub decisions: u8,
    pub doubles: u8,
    pub breaks: u8,
}

/// What becomes of the folder in a crash.
#[allow(dead_code, reason = "each test takes some of them")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Folder {
    Kept,
    /// As it was at the beginning.
    SetBack,
    /// Gone: the member is someone new, which no longer belongs.
    Lost,
}

pub struct Group {
    pub voters: usize,
    pub left: Left,
    pub folders: Vec<Folder>,
}

#[derive(Clone, Debug)]
pub struct Member {
    node: Option<Raft<Taken>>,
    folder: PersistentState<Taken>,
    starts: u64,
}

impl Member {
    /// All that its future hangs on, but for chance.
    fn hash_into<H: Hasher>(&self, hasher: &mut H) {
        (&self.folder, self.starts).hash(hasher);
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
pub struct World {
    members: Vec<Member>,
    /// From whom, to whom: in order, as on a link. What is sent again alike right behind itself is one.
    under_way: BTreeMap<(usize, usize), VecDeque<Arc<Message<Taken>>>>,
    left: Left,
    leaders: BTreeMap<Term, usize>,
    decided: BTreeMap<u64, Entry<u8>>,
    wrong: Option<&'static str>,
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
        self.under_way.hash(hasher);
        (&self.left, &self.wrong, &self.leaders, &self.decided).hash(hasher);
        self.members.iter().for_each(|member| member.hash_into(hasher));
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The first of a link; it may come once more.
    Deliver(usize, usize, bool),
    /// A link breaks, and all on it is lost.
    Break(usize, usize),
    Election(usize),
    Beat(usize),
    Decide(usize),
    Crash(usize, Folder),
}

fn id(member: usize) -> NodeId {
    NodeId(member as u64 + 1)
}

/// Spans of nothing: time does not decide anything here, each election is a step of its own.
const CONFIG: RaftConfig = RaftConfig {
    heartbeat_interval_ms: 0.0,
    election_timeout_ms: [0.0, 0.0],
    recovery_retry_ms: 0.0,
    clock_drift_fraction: 0.0,
    pre_vote: false,
};

impl Group {
    fn first(&self) -> PersistentState<Taken> {
        let voters = (0..self.voters).map(id).collect();
        let last = LogPosition { term: Term(1), index: 1 };
        let snapshot = Snapshot { last, voters, voters_index: 1, state: Taken::default() };
        let (epoch, promised_epoch) = (Epoch(1), Epoch::NONE);
        PersistentState { epoch, term: Term(1), vote: None, promised_epoch, snapshot, log: Vec::new() }
    }

    /// Carries out what a member's call asked for, and looks at what it shows.
    fn carry_out(&self, world: &mut World, member: usize, actions: Actions<Taken>) {
        for record in actions.save {
            world.members[member].folder.apply(record);
        }
        for (to, message) in actions.send {
            // A refusal may get lost: so may all, and what it tells comes in other ways too.
            let idle = matches!(message, Message::Vote { granted: false, .. });
            let link = world.under_way.entry((member, to.0 as usize - 1)).or_default();
            if to.0 as usize <= self.voters && !idle && link.back().is_none_or(|last| **last != message) {
                link.push_back(Arc::new(message));
            }
        }
        world.under_way.retain(|_, link| !link.is_empty());
        let Some(node) = &world.members[member].node else { return };
        if node.leads() {
            let first = *world.leaders.entry(node.term()).or_insert(member);
            if first != member {
                world.wrong = Some("two leaders of one term");
            }
        }
        let base = node.persistent().snapshot.last.index;
        for index in base + 1..=node.commit_index() {
            let Some((_, entries)) = node.committed_after(index - 1) else { continue };
            let entry = entries[0].clone();
            if *world.decided.entry(index).or_insert_with(|| entry.clone()) != entry {
                world.wrong = Some("something decided was forgotten");
            }
        }
    }
}

impl Model for Group {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let folder = self.first();
        let mut world = World {
            members: Vec::new(),
            under_way: BTreeMap::new(),
            left: self.left,
            leaders: BTreeMap::new(),
            decided: BTreeMap::new(),
            wrong: None,
        };
        for member in 0..self.voters {
            // All begin as founded, so none has anything to ask.
            let mut node = Raft::new(id(member), CONFIG, None, Taken::default(), member as u64, 0.0);
            node.adopt_epoch(Epoch(1), folder.snapshot.clone());
            let _ = node.poll_actions();
            world.members.push(Member { node: Some(node), folder: folder.clone(), starts: 0 });
        }
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.wrong.is_some() {
            return;
        }
        for (from, to) in world.under_way.keys() {
            steps.push(Step::Deliver(*from, *to, false));
            if world.left.doubles > 0 {
                steps.push(Step::Deliver(*from, *to, true));
            }
            if world.left.breaks > 0 {
                steps.push(Step::Break(*from, *to));
            }
        }
        // The voters are alike at first, so it is the same whichever of them stands first.
        let untouched = world.left == self.left;
        let may_stand = |place: usize| world.left.elections > 0 && !(untouched && place > 0);
        for (place, member) in world.members.iter().enumerate() {
            let Some(node) = &member.node else { continue };
            if node.leads() {
                if world.left.beats > 0 {
                    steps.push(Step::Beat(place));
                }
                if world.left.decisions > 0 {
                    steps.push(Step::Decide(place));
                }
            } else if matches!(node.role(), Role::Follower) && may_stand(place) {
                steps.push(Step::Election(place));
            }
            if world.left.crashes > 0 {
                steps.extend(self.folders.iter().map(|folder| Step::Crash(place, *folder)));
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        let member = match &step {
            Step::Deliver(_, to, _) | Step::Break(_, to) => *to,
            Step::Election(member) | Step::Beat(member) | Step::Decide(member) | Step::Crash(member, _) => {
                *member
            }
        };
        match step {
            Step::Deliver(from, to, stays) => {
                let link = world.under_way.get_mut(&(from, to))?;
                let message = if stays { link.front().cloned()? } else { link.pop_front()? };
                world.left.doubles -= u8::from(stays);
                world.members[to].node.as_mut()?.handle_message(0.0, id(from), Message::clone(&message));
            }
            Step::Break(from, to) => {
                world.left.breaks -= 1;
                world.under_way.remove(&(from, to));
                return Some(world);
            }
            Step::Election(member) => {
                world.left.elections -= 1;
                world.members[member].node.as_mut()?.handle_timeout(0.0);
            }
            Step::Beat(member) => {
                world.left.beats -= 1;
                world.members[member].node.as_mut()?.handle_timeout(0.0);
            }
            Step::Decide(member) => {
                world.left.decisions -= 1;
                let command = world.left.decisions + 1;
                world.members[member].node.as_mut()?.propose(0.0, Payload::Command(command));
            }
            Step::Crash(member, folder) => {
                world.left.crashes -= 1;
                let own = &mut world.members[member];
                own.starts += 1;
                if folder == Folder::SetBack {
                    own.folder = self.first();
                }
                let seed = own.starts * 100 + member as u64;
                own.node = (folder != Folder::Lost).then(|| {
                    Raft::new(id(member), CONFIG, Some(own.folder.clone()), Taken::default(), seed, 0.0)
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
                world.wrong != Some("two leaders of one term")
            }),
            Property::always("nothing decided is forgotten", |_, world: &World| {
                world.wrong != Some("something decided was forgotten")
            }),
            Property::sometimes("something is decided", |_, world: &World| {
                world.decided.values().any(|entry| matches!(entry.payload, Payload::Command(_)))
            }),
        ]
    }
}
