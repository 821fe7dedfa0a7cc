//! Two failures during an unfinished repair: all clients must receive the same outcome.

mod support;

use plovershelf_cluster::NodeId;
use plovershelf_replication::placement::replica_set;
use plovershelf_replication::{Event, Message, Outcome, ReplicationConfig, Replicator, ViewNumber};
use support::{index_of, key, members, succeeded};

/// A message with its sender and receiver.
type SentMessage = (NodeId, NodeId, Message);

/// Members with the ids 1 to 4 and a network that can delay messages.
struct Network {
    members: Vec<Replicator>,
    /// Members that are down: their messages are dropped.
    failed: Vec<NodeId>,
    delayed: Vec<SentMessage>,
    events: Vec<(NodeId, Event)>,
}

impl Network {
    /// Delivers messages until none are pending, except those that `is_delayed` selects.
    fn deliver(&mut self, now_ms: f64, is_delayed: impl Fn(&SentMessage) -> bool) {
        loop {
            let mut in_flight = Vec::new();
            for (index, member) in self.members.iter_mut().enumerate() {
                let id = NodeId(index as u64 + 1);
                let actions = member.poll_actions();
                if !self.failed.contains(&id) {
                    self.events.extend(actions.events.into_iter().map(|event| (id, event)));
                    in_flight.extend(actions.messages.into_iter().map(|(to, message)| (id, to, message)));
                }
            }
            if in_flight.is_empty() {
                return;
            }
            for sent in in_flight {
                if is_delayed(&sent) {
                    self.delayed.push(sent);
                } else if !self.failed.contains(&sent.1) {
                    self.members[index_of(sent.1)].handle_message(now_ms, sent.0, sent.2);
                }
            }
        }
    }

    fn member(&mut self, id: NodeId) -> &mut Replicator {
        &mut self.members[index_of(id)]
    }
}

/// A replica fails, and in the next view the primary repairs the reservation of a running request. The executor's `Repaired` for
/// the record without an outcome arrives after the primary has the outcome, while the third replica does not have it. The
/// primary must not treat this confirmation as proof that all replicas have the outcome. Otherwise it answers a retry with the
/// result, and if primary and executor then fail, the remaining replica chooses in doubt: two outcomes of one key, although no
/// more than N - 1 machines failed at once.
#[test]
fn confirmation_of_a_repair_without_outcome_does_not_confirm_the_outcome() {
    let (view1, all_ids) = (members(&[1, 2, 3, 4]), [1u64, 2, 3, 4]);
    let placed = replica_set(key(0), &view1, 3);
    let (primary, other, lost) = (placed[0], placed[1], placed[2]);
    let executor =
        all_ids.map(NodeId).into_iter().find(|id| !placed.contains(id)).expect("a fourth member exists");
    let remaining: Vec<u64> = all_ids.into_iter().filter(|n| NodeId(*n) != lost).collect();
    let new = |n: u64| Replicator::new(NodeId(n), ReplicationConfig::default(), 0.0);
    let mut network =
        Network { members: (1..=4).map(new).collect(), failed: vec![], delayed: vec![], events: vec![] };
    network.members.iter_mut().for_each(|member| member.update_view(0.0, ViewNumber(1), view1.clone()));
    network.deliver(0.0, |_| false);
    let request = network.member(executor).reserve(0.0, key(0), 5000.0, 60_000.0);
    network.deliver(0.0, |_| false);
    assert!(network.events.contains(&(executor, Event::Launch(request))));

    network.failed.push(lost);
    let is_delayed = |(from, to, message): &SentMessage| {
        *from == executor
            && (matches!(message, Message::Repaired { .. })
                || *to == other && matches!(message, Message::RecordOutcome { .. }))
    };
    for id in &remaining {
        network.member(NodeId(*id)).update_view(1.0, ViewNumber(2), members(&remaining));
    }
    network.deliver(1.0, is_delayed);
    for id in &remaining {
        network.member(NodeId(*id)).handle_timeout(20.0);
    }
    network.deliver(20.0, is_delayed);
    let retry = network.member(primary).reserve(21.0, key(0), 5000.0, 60_000.0);
    network.deliver(21.0, is_delayed);
    network.member(executor).complete(22.0, request, succeeded());
    network.deliver(22.0, is_delayed);
    let delayed = std::mem::take(&mut network.delayed);
    for (from, to, message) in delayed {
        if matches!(message, Message::Repaired { .. }) {
            network.member(to).handle_message(23.0, from, message);
        }
    }
    network.deliver(23.0, is_delayed);
    let answered = network.events.contains(&(primary, Event::AlreadyCompleted(retry, succeeded())));

    network.failed.extend([primary, executor]);
    network.member(other).update_view(30.0, ViewNumber(3), members(&[other.0]));
    network.deliver(30.0, |_| false);
    let final_outcome = network.member(other).find(key(0)).and_then(|(_, outcome)| outcome.cloned());
    assert!(
        !(answered && final_outcome == Some(Outcome::InDoubt)),
        "a result was answered, then resolved to in doubt"
    );
}
