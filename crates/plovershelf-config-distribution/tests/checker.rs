//! Exhaustive model checking of one origin, one relay and two leaves: every order of messages on ordered connections,
//! changes, lost messages, a relay failure and timer expiry, within the budget of each test.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use plovershelf_config_distribution::{
    DistributionConfig, Edit, Message, Node, NodeInfo, QuotaTable, Role, Startup, Version,
};
use stateright::{Checker, Model, Property};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    changes: u8,
    losses: u8,
    relay_failures: u8,
    ticks: u8,
}

#[derive(Clone, Debug)]
struct SystemState {
    nodes: Vec<Option<Node>>,
    in_transit: BTreeMap<(usize, usize), VecDeque<Message>>,
    now: f64,
    remaining: Budget,
    committed: Vec<QuotaTable>,
    last_versions: Vec<Version>,
    violation: Option<&'static str>,
}

impl SystemState {
    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{:?} {:?} {} {:?}", self.nodes, self.in_transit, self.now, self.violation).hash(&mut hasher);
        (&self.remaining, self.committed.len()).hash(&mut hasher);
        hasher.finish()
    }
    fn after_input(&mut self, index: usize) {
        let Some(node) = &mut self.nodes[index] else { return };
        let actions = node.poll_actions();
        let (version, digest) = (node.table().version(), node.table().digest());
        if version < self.last_versions[index] {
            self.violation = Some("NEVER_BACKWARDS");
        }
        self.last_versions[index] = version;
        if self.committed.get(version.number as usize).is_none_or(|committed| committed.digest() != digest) {
            self.violation = Some("ONE_CONTENT_A_NUMBER");
        }
        for (to, message) in actions.messages {
            let Some(to) = (0..self.nodes.len()).find(|other| address(*other) == to) else { continue };
            if self.nodes[to].is_some() {
                self.in_transit.entry((index, to)).or_default().push_back(message);
            }
        }
    }
    fn deliver(&mut self, from: usize, to: usize, lost: bool) {
        let Some(queue) = self.in_transit.get_mut(&(from, to)) else { return };
        let message = queue.pop_front();
        if queue.is_empty() {
            self.in_transit.remove(&(from, to));
        }
        if let (Some(message), Some(node), false) = (message, &mut self.nodes[to], lost) {
            node.handle_message(self.now, address(from), message);
            self.after_input(to);
        }
    }
    /// Advances the time to the next timeout of any node and handles it.
    fn tick(&mut self) {
        let next = self.nodes.iter().flatten().map(Node::poll_timeout).fold(f64::INFINITY, f64::min);
        self.now = self.now.max(next);
        for index in 0..self.nodes.len() {
            if let Some(node) = self.nodes[index].as_mut().filter(|node| node.poll_timeout() <= self.now) {
                node.handle_timeout(self.now);
                self.after_input(index);
            }
        }
    }
    fn all_in_force(&self) -> bool {
        self.nodes
            .iter()
            .flatten()
            .all(|node| node.table().version().number as usize + 1 == self.committed.len())
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

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Deliver(usize, usize),
    Lose(usize, usize),
    Change,
    /// Stops the relay; its peers get a lost connection if the value is true, and otherwise no signal.
    FailRelay(bool),
    Tick,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, index as u8 + 1], 4000))
}

struct Net(Budget);

impl Model for Net {
    type State = SystemState;
    type Action = Step;

    /// Returns a state in which the relay is attached to the origin and both leaves to the relay.
    fn init_states(&self) -> Vec<SystemState> {
        let initial = QuotaTable::initial([("a", 1.0), ("b", 2.0)]).unwrap();
        let node = |index: usize| {
            let name = format!("process-{index}");
            let (zone, region) = ("zone".to_string(), "region".to_string());
            let node = NodeInfo { name, zone, region, address: address(index), incarnation: 1 };
            let role = if index == 0 { Role::Origin } else { Role::Listener };
            let (origins, config) = (vec![address(0)], DistributionConfig::default());
            let table = initial.clone();
            Some(Node::new(Startup { node, role, origins, config, table, seed: index as u64 }, 0.0))
        };
        let mut state = SystemState {
            nodes: (0..4).map(node).collect(),
            in_transit: BTreeMap::new(),
            now: 0.0,
            remaining: self.0,
            committed: vec![initial.clone()],
            last_versions: vec![Version::default(); 4],
            violation: None,
        };
        while state.nodes.iter().skip(1).flatten().any(|node| node.status(0.0).parent.is_none()) {
            state.tick();
            while let Some((from, to)) = state.in_transit.keys().next().copied() {
                state.deliver(from, to, false);
            }
        }
        assert!(
            state.now < 2000.0 && state.nodes.iter().flatten().filter(|node| node.is_relay()).count() == 1
        );
        vec![state]
    }
    fn actions(&self, state: &SystemState, steps: &mut Vec<Step>) {
        if state.violation.is_some() {
            return;
        }
        for (from, to) in state.in_transit.keys().copied() {
            steps.push(Step::Deliver(from, to));
            if state.remaining.losses > 0 {
                steps.push(Step::Lose(from, to));
            }
        }
        if state.remaining.changes > 0 {
            steps.push(Step::Change);
        }
        if state.remaining.relay_failures > 0 {
            steps.extend([Step::FailRelay(false), Step::FailRelay(true)]);
        }
        if state.remaining.ticks > 0 {
            steps.push(Step::Tick);
        }
    }
    fn next_state(&self, last: &SystemState, step: Step) -> Option<SystemState> {
        let mut state = last.clone();
        match step {
            Step::Deliver(from, to) => state.deliver(from, to, false),
            Step::Lose(from, to) => {
                state.remaining.losses -= 1;
                state.deliver(from, to, true);
            }
            Step::Change => {
                state.remaining.changes -= 1;
                let origin = state.nodes[0].as_mut()?;
                let edit =
                    Edit::Set { tenant: "a".to_string(), quota_per_s: 10.0 * state.committed.len() as f64 };
                // `prepare_change` fails only if a relay has a newer version, which can't happen with committed
                // changes.
                let change = origin.prepare_change(vec![edit], None, 0, 0).ok()?;
                origin.handle_commit(state.now, change);
                state.committed.push(origin.table().clone());
                state.after_input(0);
            }
            Step::FailRelay(notify_peers) => {
                state.remaining.relay_failures -= 1;
                let relay = (1..4).find(|index| state.nodes[*index].as_ref().is_some_and(Node::is_relay))?;
                state.nodes[relay] = None;
                state.in_transit.retain(|(from, to), _| *from != relay && *to != relay);
                for index in (0..4).filter(|_| notify_peers) {
                    if let Some(node) = &mut state.nodes[index] {
                        node.handle_connection_lost(state.now, address(relay));
                        state.after_input(index);
                    }
                }
            }
            Step::Tick => {
                state.remaining.ticks -= 1;
                state.tick();
            }
        }
        Some(state)
    }
    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no guarantee is violated", |_, state: &SystemState| state.violation.is_none()),
            Property::sometimes("the newest version is in force everywhere", |_, state: &SystemState| {
                state.committed.len() > 1 && state.remaining.changes == 0 && state.all_in_force()
            }),
        ]
    }
}

fn explore(name: &str, remaining: Budget) -> usize {
    let max_states = 200_000;
    let checker = Net(remaining).checker().threads(2).target_state_count(max_states).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.state_count() < max_states, "the state space was not explored completely");
    println!("{name}: {} states, complete", checker.unique_state_count());
    checker.unique_state_count()
}

/// Two changes with one lost message, in every order and with every timer expiry, must violate no guarantee.
#[test]
fn two_changes_with_a_lost_message_break_no_guarantee() {
    assert!(
        explore(
            "two changes, one lost message",
            Budget { changes: 2, losses: 1, relay_failures: 0, ticks: 2 }
        ) > 2_000
    );
}

/// A relay failure between two changes, with and without lost connections, must violate no guarantee in any order.
#[test]
fn two_changes_with_a_relay_failure_break_no_guarantee() {
    assert!(
        explore(
            "two changes, one relay failure",
            Budget { changes: 2, losses: 0, relay_failures: 1, ticks: 0 }
        ) > 2_000
    );
}

/// A relay failure during a change, with a lost message, must violate no guarantee.
#[test]
fn change_with_a_relay_failure_and_a_lost_message_breaks_no_guarantee() {
    assert!(
        explore(
            "one change, one relay failure, one lost message",
            Budget { changes: 1, losses: 1, relay_failures: 1, ticks: 0 }
        ) > 2_000
    );
}
