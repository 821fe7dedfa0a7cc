//! Two losses after a repair that was still under way: what one client was answered must be what all are answered.

mod support;

use plovershelf_cluster::NodeId;
use plovershelf_replication::placement::replica_set;
use plovershelf_replication::{Event, Message, Outcome, ReplicationConfig, Replicator, ViewNumber};
use support::{key, members, place_of, succeeded};

type Sent = (NodeId, NodeId, Message);

/// Members with the ids 1 to 4 and the messages that are held back.
struct Net {
    all: Vec<Replicator>,
    gone: Vec<NodeId>,
    held_back: Vec<Sent>,
    events: Vec<(NodeId, Event)>,
}

impl Net {
    fn deliver(&mut self, now_ms: f64, hold_back: impl Fn(&Sent) -> bool) {
        loop {
            let mut in_flight = Vec::new();
            for (place, member) in self.all.iter_mut().enumerate() {
                let id = NodeId(place as u64 + 1);
                let actions = member.poll_actions();
                if !self.gone.contains(&id) {
                    self.events.extend(actions.events.into_iter().map(|event| (id, event)));
                    in_flight.extend(actions.messages.into_iter().map(|(to, message)| (id, to, message)));
                }
            }
            if in_flight.is_empty() {
                return;
            }
            for sent in in_flight {
                if hold_back(&sent) {
                    self.held_back.push(sent);
                } else if !self.gone.contains(&sent.1) {
                    self.all[place_of(sent.1)].handle_message(now_ms, sent.0, sent.2);
                }
            }
        }
    }

    fn member(&mut self, id: NodeId) -> &mut Replicator {
        &mut self.all[place_of(id)]
    }
}

/// A replica is lost, and in the next view the primary repairs a reservation that still runs. Its executor's confirmation of that repair
/// (a record without an outcome) arrives after the primary has the outcome, while the third replica has not: the primary must not take
/// it as word that all replicas have the outcome. It does, answers a retry, and when primary and executor are then lost, the replica
/// that is left settles on in doubt: two outcomes of one key, with no more than N - 1 machines lost at once.
#[test]
fn confirmation_of_a_repair_without_outcome_does_not_confirm_the_outcome() {
    let (view1, left) = (members(&[1, 2, 3, 4]), [1u64, 2, 3, 4]);
    let placed = replica_set(key(0), &view1, 3);
    let (primary, other, lost) = (placed[0], placed[1], placed[2]);
    let executor = left.map(NodeId).into_iter().find(|id| !placed.contains(id)).expect("a fourth");
    let left: Vec<u64> = left.into_iter().filter(|n| NodeId(*n) != lost).collect();
    let new = |n: u64| Replicator::new(NodeId(n), ReplicationConfig::default(), 0.0);
    let mut net = Net { all: (1..=4).map(new).collect(), gone: vec![], held_back: vec![], events: vec![] };
    net.all.iter_mut().for_each(|member| member.update_view(0.0, ViewNumber(1), view1.clone()));
    net.deliver(0.0, |_| false);
    let request = net.member(executor).reserve(0.0, key(0), 5000.0, 60_000.0);
    net.deliver(0.0, |_| false);
    assert!(net.events.contains(&(executor, Event::Launch(request))));

    net.gone.push(lost);
    let slow = |(from, to, message): &Sent| {
        *from == executor
            && (matches!(message, Message::Repaired { .. })
                || *to == other && matches!(message, Message::RecordOutcome { .. }))
    };
    for id in &left {
        net.member(NodeId(*id)).update_view(1.0, ViewNumber(2), members(&left));
    }
    net.deliver(1.0, slow);
    for id in &left {
        net.member(NodeId(*id)).handle_timeout(20.0);
    }
    net.deliver(20.0, slow);
    let retry = net.member(primary).reserve(21.0, key(0), 5000.0, 60_000.0);
    net.deliver(21.0, slow);
    net.member(executor).complete(22.0, request, succeeded());
    net.deliver(22.0, slow);
    let held_back = std::mem::take(&mut net.held_back);
    for (from, to, message) in held_back {
        if matches!(message, Message::Repaired { .. }) {
            net.member(to).handle_message(23.0, from, message);
        }
    }
    net.deliver(23.0, slow);
    let answered = net.events.contains(&(primary, Event::AlreadyCompleted(retry, succeeded())));

    net.gone.extend([primary, executor]);
    net.member(other).update_view(30.0, ViewNumber(3), members(&[other.0]));
    net.deliver(30.0, |_| false);
    let settled = net.member(other).find(key(0)).and_then(|(_, outcome)| outcome.cloned());
    assert!(!(answered && settled == Some(Outcome::InDoubt)), "answered a result, then settled on in doubt");
}
