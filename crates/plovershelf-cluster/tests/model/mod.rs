//! A model of a small consensus group for the model checker, which explores all orders of messages, elections, crashes,
//! lost or restored disks and broken connections within a budget of steps.

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

/// A state machine that records the commands in the order in which they were applied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Applied(Vec<u8>);

impl StateMachine for Applied {
    type Command = u8;
    fn apply(&mut self, command: &u8) {
        self.0.push(*command);
    }
}

/// Violation: two nodes led in the same term.
const TWO_LEADERS: &str = "two leaders in one term";
/// Violation: two nodes committed different entries at the same index.
const COMMITTED_ENTRY_CHANGED: &str = "a committed entry changed";
/// Property that holds if the exploration reaches the commit of a command.
pub(crate) const COMMAND_COMMITTED: &str = "a command is committed";

/// The remaining number of steps of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    pub(crate) elections: u8,
    pub(crate) heartbeats: u8,
    pub(crate) crashes: u8,
    pub(crate) commands: u8,
    pub(crate) duplicates: u8,
    pub(crate) connection_failures: u8,
}

/// The effect of a crash on the disk.
#[allow(dead_code, reason = "each test uses some of the variants")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Disk {
    /// The disk is unchanged.
    Intact,
    /// The disk is restored from a copy of the initial state.
    Restored,
    /// The disk is lost, so the node restarts under a new id and is no voter.
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
    /// Hashes all state that determines the member's future behaviour, except the random number generator.
    fn hash_into<H: Hasher>(&self, hasher: &mut H) {
        (&self.disk, self.starts).hash(hasher);
        let Some(node) = &self.node else { return };
        (node.commit_index(), node.match_indices(), node.leader()).hash(hasher);
        match node.role() {
            Role::PreCandidate { granted } | Role::Candidate { granted } => (1, granted).hash(hasher),
            Role::Recovering(recovery) => {
                (2, recovery.nonce, recovery.min_term, &recovery.voter_config, &recovery.reports).hash(hasher)
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
    /// Messages by sender and receiver, in order as on a connection. Consecutive equal messages are stored once.
    in_flight: BTreeMap<(usize, usize), VecDeque<Arc<Message<Applied>>>>,
    budget: Budget,
    leaders: BTreeMap<Term, usize>,
    committed: BTreeMap<u64, Entry<u8>>,
    violation: Option<&'static str>,
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        let hash_of = |world: &World| {
            let mut hasher = DefaultHasher::new();
            world.hash(&mut hasher);
            hasher.finish()
        };
        hash_of(self) == hash_of(other)
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
    /// Delivers the first message of a connection and, if the flag is set, leaves it to be delivered again.
    Deliver(usize, usize, bool),
    /// Breaks a connection and loses all messages on it.
    FailConnection(usize, usize),
    Election(usize),
    Heartbeat(usize),
    Propose(usize),
    Crash(usize, Disk),
}

fn id(member: usize) -> NodeId {
    NodeId(member as u64 + 1)
}

/// Timeouts of zero, because the model does not simulate time and each election is a step of its own.
const CONFIG: RaftConfig = RaftConfig {
    heartbeat_interval_ms: 0.0,
    election_timeout_ms: [0.0, 0.0],
    recovery_retry_ms: 0.0,
    clock_drift_fraction: 0.0,
    pre_vote: false,
};

impl Cluster {
    fn initial_disk(&self) -> PersistentState<Applied> {
        let voters = (0..self.voters).map(id).collect();
        let last = LogPosition { term: Term(1), index: 1 };
        let snapshot = Snapshot { last, voters, voters_index: 1, state: Applied::default() };
        let (epoch, promised_epoch) = (Epoch(1), Epoch::NONE);
        PersistentState { epoch, term: Term(1), vote: None, promised_epoch, snapshot, log: Vec::new() }
    }

    /// Executes the actions of a member and checks the safety properties.
    fn execute_actions(&self, world: &mut World, member: usize, actions: Actions<Applied>) {
        for record in actions.save {
            world.members[member].disk.apply(record);
        }
        for (to, message) in actions.send {
            // Refused votes are dropped to limit the state space. Any message may be lost, and the newer term in a
            // refusal reaches the candidate by other messages too.
            let refusal = matches!(message, Message::Vote { granted: false, .. });
            let queue = world.in_flight.entry((member, to.0 as usize - 1)).or_default();
            if to.0 as usize <= self.voters && !refusal && queue.back().is_none_or(|last| **last != message) {
                queue.push_back(Arc::new(message));
            }
        }
        world.in_flight.retain(|_, queue| !queue.is_empty());
        let Some(node) = &world.members[member].node else { return };
        if node.leads() {
            let first_leader = *world.leaders.entry(node.term()).or_insert(member);
            if first_leader != member {
                world.violation = Some(TWO_LEADERS);
            }
        }
        let base = node.persistent().snapshot.last.index;
        for index in base + 1..=node.commit_index() {
            let Some((_, entries)) = node.committed_after(index - 1) else { continue };
            let entry = entries[0].clone();
            if *world.committed.entry(index).or_insert_with(|| entry.clone()) != entry {
                world.violation = Some(COMMITTED_ENTRY_CHANGED);
            }
        }
    }
}

impl Model for Cluster {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let disk = self.initial_disk();
        let mut world = World {
            members: Vec::new(),
            in_flight: BTreeMap::new(),
            budget: self.budget,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            violation: None,
        };
        for member in 0..self.voters {
            // All nodes start in a bootstrapped group, so none has to recover.
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
            if world.budget.connection_failures > 0 {
                steps.push(Step::FailConnection(*from, *to));
            }
        }
        // All voters are equal in the initial state, so only one of them needs to campaign first.
        let is_initial = world.budget == self.budget;
        let may_campaign = |index: usize| world.budget.elections > 0 && !(is_initial && index > 0);
        for (index, member) in world.members.iter().enumerate() {
            let Some(node) = &member.node else { continue };
            if node.leads() {
                if world.budget.heartbeats > 0 {
                    steps.push(Step::Heartbeat(index));
                }
                if world.budget.commands > 0 {
                    steps.push(Step::Propose(index));
                }
            } else if matches!(node.role(), Role::Follower) && may_campaign(index) {
                steps.push(Step::Election(index));
            }
            if world.budget.crashes > 0 {
                steps.extend(self.disks.iter().map(|disk| Step::Crash(index, *disk)));
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        let member = match &step {
            Step::Deliver(_, to, _) | Step::FailConnection(_, to) => *to,
            Step::Election(member)
            | Step::Heartbeat(member)
            | Step::Propose(member)
            | Step::Crash(member, _) => *member,
        };
        match step {
            Step::Deliver(from, to, duplicate) => {
                let queue = world.in_flight.get_mut(&(from, to))?;
                let message = if duplicate { queue.front().cloned()? } else { queue.pop_front()? };
                world.budget.duplicates -= u8::from(duplicate);
                world.members[to].node.as_mut()?.handle_message(0.0, id(from), Message::clone(&message));
            }
            Step::FailConnection(from, to) => {
                world.budget.connection_failures -= 1;
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
                    own.disk = self.initial_disk();
                }
                let seed = own.starts * 100 + member as u64;
                own.node = (disk != Disk::Lost).then(|| {
                    Raft::new(id(member), CONFIG, Some(own.disk.clone()), Applied::default(), seed, 0.0)
                });
            }
        }
        let actions = world.members[member].node.as_mut().map(Raft::poll_actions);
        if let Some(actions) = actions {
            self.execute_actions(&mut world, member, actions);
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one leader per term", |_, world: &World| {
                world.violation != Some(TWO_LEADERS)
            }),
            Property::always("committed entries never change", |_, world: &World| {
                world.violation != Some(COMMITTED_ENTRY_CHANGED)
            }),
            Property::sometimes(COMMAND_COMMITTED, |_, world: &World| {
                world.committed.values().any(|entry| matches!(entry.payload, Payload::Command(_)))
            }),
        ]
    }
}
