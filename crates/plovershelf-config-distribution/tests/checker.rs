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
struct Left {
    changes: u8,
    losses: u8,
    ends: u8,
    ticks: u8,
}

#[derive(Clone, Debug)]
struct World {
    nodes: Vec<Option<Node>>,
    under_way: BTreeMap<(usize, usize), VecDeque<Message>>,
    now: f64,
    left: Left,
    agreed: Vec<QuotaTable>,
    held: Vec<Version>,
    wrong: Option<&'static str>,
}

impl World {
    fn hashed(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{:?} {:?} {} {:?}", self.nodes, self.under_way, self.now, self.wrong).hash(&mut hasher);
        (&self.left, self.agreed.len()).hash(&mut hasher);
        hasher.finish()
    }
    fn called(&mut self, at: usize) {
        let Some(node) = &mut self.nodes[at] else { return };
        let actions = node.poll_actions();
        let (version, digest) = (node.table().version(), node.table().digest());
        if version < self.held[at] {
            self.wrong = Some("NEVER_BACKWARDS");
        }
        self.held[at] = version;
        if self.agreed.get(version.number as usize).is_none_or(|agreed| agreed.digest() != digest) {
            self.wrong = Some("ONE_CONTENT_A_NUMBER");
        }
        for (to, message) in actions.messages {
            let Some(to) = (0..self.nodes.len()).find(|other| address(*other) == to) else { continue };
            if self.nodes[to].is_some() {
                self.under_way.entry((at, to)).or_default().push_back(message);
            }
        }
    }
    fn deliver(&mut self, from: usize, to: usize, lost: bool) {
        let Some(link) = self.under_way.get_mut(&(from, to)) else { return };
        let message = link.pop_front();
        if link.is_empty() {
            self.under_way.remove(&(from, to));
        }
        if let (Some(message), Some(node), false) = (message, &mut self.nodes[to], lost) {
            node.handle_message(self.now, address(from), message);
            self.called(to);
        }
    }
    /// Advances the time to the next timeout of any node and handles it.
    fn tick(&mut self) {
        let next = self.nodes.iter().flatten().map(Node::poll_timeout).fold(f64::INFINITY, f64::min);
        self.now = self.now.max(next);
        for at in 0..self.nodes.len() {
            if let Some(node) = self.nodes[at].as_mut().filter(|node| node.poll_timeout() <= self.now) {
                node.handle_timeout(self.now);
                self.called(at);
            }
        }
    }
    fn all_in_force(&self) -> bool {
        self.nodes
            .iter()
            .flatten()
            .all(|node| node.table().version().number as usize + 1 == self.agreed.len())
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
enum Step {
    Deliver(usize, usize),
    Lose(usize, usize),
    Change,
    /// Stops the relay; its peers get a lost connection if the value is true, and otherwise no signal.
    End(bool),
    Tick,
}

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, at as u8 + 1], 4000))
}

struct Net(Left);

impl Model for Net {
    type State = World;
    type Action = Step;

    /// Returns a state in which the relay is attached to the origin and both leaves to the relay.
    fn init_states(&self) -> Vec<World> {
        let held = QuotaTable::initial([("a", 1.0), ("b", 2.0)]).unwrap();
        let node = |at: usize| {
            let name = format!("process-{at}");
            let (zone, region) = ("zone".to_string(), "region".to_string());
            let node = NodeInfo { name, zone, region, address: address(at), incarnation: 1 };
            let role = if at == 0 { Role::Origin } else { Role::Listener };
            let (origins, config) = (vec![address(0)], DistributionConfig::default());
            let table = held.clone();
            Some(Node::new(Startup { node, role, origins, config, table, seed: at as u64 }, 0.0))
        };
        let mut world = World {
            nodes: (0..4).map(node).collect(),
            under_way: BTreeMap::new(),
            now: 0.0,
            left: self.0,
            agreed: vec![held.clone()],
            held: vec![Version::default(); 4],
            wrong: None,
        };
        while world.nodes.iter().skip(1).flatten().any(|node| node.status(0.0).parent.is_none()) {
            world.tick();
            while let Some((from, to)) = world.under_way.keys().next().copied() {
                world.deliver(from, to, false);
            }
        }
        assert!(
            world.now < 2000.0 && world.nodes.iter().flatten().filter(|node| node.is_relay()).count() == 1
        );
        vec![world]
    }
    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.wrong.is_some() {
            return;
        }
        for (from, to) in world.under_way.keys().copied() {
            steps.push(Step::Deliver(from, to));
            if world.left.losses > 0 {
                steps.push(Step::Lose(from, to));
            }
        }
        if world.left.changes > 0 {
            steps.push(Step::Change);
        }
        if world.left.ends > 0 {
            steps.extend([Step::End(false), Step::End(true)]);
        }
        if world.left.ticks > 0 {
            steps.push(Step::Tick);
        }
    }
    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Deliver(from, to) => world.deliver(from, to, false),
            Step::Lose(from, to) => {
                world.left.losses -= 1;
                world.deliver(from, to, true);
            }
            Step::Change => {
                world.left.changes -= 1;
                let origin = world.nodes[0].as_mut()?;
                let edit =
                    Edit::Set { tenant: "a".to_string(), quota_per_s: 10.0 * world.agreed.len() as f64 };
                // `prepare_change` fails only if a relay has a newer version, which can't happen with committed
                // changes.
                let change = origin.prepare_change(vec![edit], None, 0, 0).ok()?;
                origin.handle_commit(world.now, change);
                world.agreed.push(origin.table().clone());
                world.called(0);
            }
            Step::End(told) => {
                world.left.ends -= 1;
                let relay = (1..4).find(|at| world.nodes[*at].as_ref().is_some_and(Node::is_relay))?;
                world.nodes[relay] = None;
                world.under_way.retain(|(from, to), _| *from != relay && *to != relay);
                for at in (0..4).filter(|_| told) {
                    if let Some(node) = &mut world.nodes[at] {
                        node.handle_connection_lost(world.now, address(relay));
                        world.called(at);
                    }
                }
            }
            Step::Tick => {
                world.left.ticks -= 1;
                world.tick();
            }
        }
        Some(world)
    }
    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no promise is broken", |_, world: &World| world.wrong.is_none()),
            Property::sometimes("all is in force", |_, world: &World| {
                world.agreed.len() > 1 && world.left.changes == 0 && world.all_in_force()
            }),
        ]
    }
}

fn complete(what: &str, left: Left) -> usize {
    let most = 200_000;
    let checker = Net(left).checker().threads(2).target_state_count(most).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.state_count() < most, "not complete");
    println!("{what}: {} states, complete", checker.unique_state_count());
    checker.unique_state_count()
}

/// Two changes with one lost message, in every order and with every timer expiry, must violate no guarantee.
#[test]
fn two_changes_with_a_lost_message_break_no_guarantee() {
    assert!(complete("two changes, a loss", Left { changes: 2, losses: 1, ends: 0, ticks: 2 }) > 2_000);
}

/// A relay failure between two changes, with and without lost connections, must violate no guarantee in any order.
#[test]
fn two_changes_with_a_relay_failure_break_no_guarantee() {
    assert!(complete("two changes, an end", Left { changes: 2, losses: 0, ends: 1, ticks: 0 }) > 2_000);
}

/// A relay failure during a change, with a lost message, must violate no guarantee.
#[test]
fn change_with_a_relay_failure_and_a_lost_message_breaks_no_guarantee() {
    assert!(complete("a change, an end, a loss", Left { changes: 1, losses: 1, ends: 1, ticks: 0 }) > 2_000);
}
