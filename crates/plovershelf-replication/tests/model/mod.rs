//! Model of a single key on a few members for the model checker. It covers attempts at several backends, all orders of messages
//! between links, crashes that lose all stored state, delayed view changes, failed links and duplicated messages.

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

/// Number of faults of each kind that may still occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct FaultBudget {
    pub(crate) crashes: u8,
    pub(crate) duplicates: u8,
    pub(crate) link_failures: u8,
    /// Attempts that are cancelled by their client.
    pub(crate) cancels: u8,
    /// Suspicions of one member by another, whether or not it has crashed.
    pub(crate) suspicions: u8,
}

/// Parameters of the model.
pub(crate) struct KeyModel {
    pub(crate) members: usize,
    pub(crate) replication_factor: usize,
    /// Indices of the members whose backends receive an attempt.
    pub(crate) attempts: Vec<usize>,
    pub(crate) budget: FaultBudget,
}

/// State of all members and links, with the faults that may still occur.
#[derive(Clone, Debug)]
pub(crate) struct SystemState {
    /// The members by index; `None` after a crash.
    pub(crate) members: Vec<Option<Replicator>>,
    /// Undelivered messages by sender and receiver.
    in_flight: BTreeMap<(usize, usize), VecDeque<Arc<Message>>>,
    budget: FaultBudget,
    /// Attempts that have been started.
    reserved: Vec<bool>,
    /// Crashed members, in the order in which successive views exclude them.
    crashed: Vec<usize>,
    /// Running requests and their members.
    running: Vec<(usize, RequestId)>,
    pub(crate) launches: u8,
    /// Outcomes answered to clients.
    pub(crate) answers: Vec<Outcome>,
}

impl SystemState {
    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (
            &self.in_flight,
            self.budget,
            &self.reserved,
            &self.crashed,
            &self.running,
            self.launches,
            &self.answers,
        )
            .hash(&mut hasher);
        format!("{:?}", self.members).hash(&mut hasher);
        hasher.finish()
    }
}

impl PartialEq for SystemState {
    fn eq(&self, other: &Self) -> bool {
        self.state_hash() == other.state_hash()
    }
}

impl Eq for SystemState {}

impl Hash for SystemState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state_hash().hash(hasher);
    }
}

/// Transition of the model; members and attempts are given by index.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// An attempt starts.
    Reserve(usize),
    /// The first message of a link (sender, receiver) is delivered; if true, it also remains on the link as a duplicate.
    Deliver(usize, usize, bool),
    /// A link fails and loses its undelivered messages.
    FailLink(usize, usize),
    /// A member crashes and loses its state.
    Crash(usize),
    /// A member installs the next view.
    UpdateView(usize),
    /// A running request ends.
    Complete(usize),
    /// A client cancels an attempt.
    Cancel(usize, RequestId),
    /// The first member suspects the second.
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

    /// Returns the view without the given crashed members.
    fn view(&self, crashed: &[usize]) -> Vec<Member> {
        let remaining = (0..self.members).filter(|member| !crashed.contains(member));
        let member =
            |m: usize| Member { id: id(m), zone: format!("z{m}"), machine: format!("m{m}"), weight: 1.0 };
        remaining.map(member).collect()
    }

    /// Applies a member's pending actions to the model state.
    fn apply_actions(&self, state: &mut SystemState, member: usize) {
        let Some(replicator) = state.members[member].as_mut() else { return };
        let actions = replicator.poll_actions();
        for (to, message) in actions.messages {
            let link = state.in_flight.entry((member, to.0 as usize - 1)).or_default();
            if link.back().is_none_or(|last| **last != message) {
                link.push_back(Arc::new(message));
            }
        }
        for event in actions.events {
            match event {
                Event::Launch(request) => {
                    state.launches += 1;
                    state.running.push((member, request));
                }
                Event::AlreadyCompleted(_, outcome) | Event::OutcomeReplicated(_, outcome) => {
                    state.answers.push(outcome);
                }
                Event::Rejected(_) | Event::OutcomeProvisional(..) => {}
            }
        }
        state.in_flight.retain(|(_, to), link| !link.is_empty() && *to < self.members);
    }
}

impl Model for KeyModel {
    type State = SystemState;
    type Action = Step;

    fn init_states(&self) -> Vec<SystemState> {
        let mut state = SystemState {
            members: Vec::new(),
            in_flight: BTreeMap::new(),
            budget: self.budget,
            reserved: vec![false; self.attempts.len()],
            crashed: Vec::new(),
            running: Vec::new(),
            launches: 0,
            answers: Vec::new(),
        };
        for member in 0..self.members {
            let mut replicator = Replicator::new(id(member), self.config(), 0.0);
            replicator.update_view(0.0, ViewNumber(1), self.view(&[]));
            state.members.push(Some(replicator));
        }
        // All members complete the reconciliation of the first view before the exploration starts.
        for member in 0..self.members {
            self.apply_actions(&mut state, member);
        }
        while let Some(((from, to), message)) =
            state.in_flight.iter_mut().find_map(|(link, messages)| Some((*link, messages.pop_front()?)))
        {
            if let Some(replicator) = state.members[to].as_mut() {
                replicator.handle_message(0.0, id(from), Message::clone(&message));
            }
            self.apply_actions(&mut state, to);
        }
        vec![state]
    }

    fn actions(&self, state: &SystemState, steps: &mut Vec<Step>) {
        for (attempt, member) in self.attempts.iter().enumerate() {
            if !state.reserved[attempt] && state.members[*member].is_some() {
                steps.push(Step::Reserve(attempt));
            }
        }
        for ((from, to), link) in &state.in_flight {
            // A message of a view that the receiver has not installed yet remains on the link until it has.
            let view = state.members[*to].as_ref().map_or(ViewNumber(u64::MAX), Replicator::view);
            let is_from_later_view = link.front().is_some_and(|message| message.view() > view);
            if !is_from_later_view {
                steps.push(Step::Deliver(*from, *to, false));
                if state.budget.duplicates > 0 {
                    steps.push(Step::Deliver(*from, *to, true));
                }
            }
            if state.budget.link_failures > 0 {
                steps.push(Step::FailLink(*from, *to));
            }
        }
        for (member, replicator) in state.members.iter().enumerate() {
            let Some(replicator) = replicator else { continue };
            if state.budget.crashes > 0 && state.crashed.len() + 1 < self.members {
                steps.push(Step::Crash(member));
            }
            if (replicator.view().0 as usize) <= state.crashed.len() {
                steps.push(Step::UpdateView(member));
            }
        }
        for index in 0..state.running.len() {
            steps.push(Step::Complete(index));
        }
        if state.budget.suspicions > 0 {
            let pairs = (0..self.members).flat_map(|from| (0..self.members).map(move |to| (from, to)));
            let is_running = |member: &usize| state.members[*member].is_some();
            steps.extend(
                pairs.filter(|(from, to)| from != to && is_running(from)).map(|(a, b)| Step::Suspect(a, b)),
            );
        }
        if state.budget.cancels > 0 {
            for (attempt, member) in self.attempts.iter().enumerate() {
                if state.reserved[attempt] && state.members[*member].is_some() {
                    steps.push(Step::Cancel(*member, RequestId(1)));
                }
            }
        }
    }

    fn next_state(&self, state: &SystemState, step: Step) -> Option<SystemState> {
        let mut state = state.clone();
        let member = match step {
            Step::Reserve(attempt) => {
                state.reserved[attempt] = true;
                let member = self.attempts[attempt];
                state.members[member].as_mut()?.reserve(0.0, KEY, 1e9, 1e6);
                member
            }
            Step::Deliver(from, to, is_duplicated) => {
                let link = state.in_flight.get_mut(&(from, to))?;
                let message = if is_duplicated { link.front().cloned()? } else { link.pop_front()? };
                state.budget.duplicates -= u8::from(is_duplicated);
                if let Some(replicator) = state.members[to].as_mut() {
                    replicator.handle_message(0.0, id(from), Message::clone(&message));
                }
                to
            }
            Step::FailLink(from, to) => {
                state.budget.link_failures -= 1;
                state.in_flight.remove(&(from, to));
                return Some(state);
            }
            Step::Crash(member) => {
                state.budget.crashes -= 1;
                state.members[member] = None;
                state.crashed.push(member);
                state.running.retain(|(at, _)| *at != member);
                state.in_flight.retain(|(_, to), _| *to != member);
                return Some(state);
            }
            Step::UpdateView(member) => {
                let replicator = state.members[member].as_mut()?;
                let next = replicator.view().0 + 1;
                let members = self.view(&state.crashed[..next as usize - 1]);
                replicator.update_view(0.0, ViewNumber(next), members);
                member
            }
            Step::Complete(index) => {
                let (member, request) = state.running.remove(index);
                let outcome = Outcome::Succeeded(vec![member as u8, request.0 as u8]);
                state.members[member].as_mut()?.complete(0.0, request, outcome);
                member
            }
            Step::Suspect(member, suspected) => {
                state.budget.suspicions -= 1;
                state.members[member].as_mut()?.update_suspected(0.0, BTreeSet::from([id(suspected)]));
                member
            }
            Step::Cancel(member, request) => {
                state.budget.cancels -= 1;
                state.members[member].as_mut()?.cancel(0.0, request);
                member
            }
        };
        self.apply_actions(&mut state, member);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one launch", |_, state: &SystemState| {
                record_violation(1, state.launches <= 1)
            }),
            Property::always("same outcome for all attempts", |_, state: &SystemState| {
                record_violation(2, state.answers.windows(2).all(|pair| pair[0] == pair[1]))
            }),
            Property::sometimes("an attempt is answered", |_, state: &SystemState| !state.answers.is_empty()),
        ]
    }
}

/// Properties that were violated in this process, one bit each.
pub(crate) static VIOLATIONS: AtomicU8 = AtomicU8::new(0);

/// Records a property's bit in [`VIOLATIONS`] unless the property holds, and returns `holds`.
fn record_violation(bit: u8, holds: bool) -> bool {
    if !holds {
        VIOLATIONS.fetch_or(bit, Ordering::Relaxed);
    }
    holds
}

/// Returns the indices of the key's replicas, the primary first.
pub(crate) fn replica_indices(members: usize, replication_factor: usize) -> Vec<usize> {
    let model = KeyModel {
        members,
        replication_factor,
        attempts: vec![],
        budget: FaultBudget { crashes: 0, duplicates: 0, link_failures: 0, cancels: 0, suspicions: 0 },
    };
    replica_set(KEY, &model.view(&[]), replication_factor).into_iter().map(|id| id.0 as usize - 1).collect()
}
