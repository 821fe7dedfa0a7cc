use super::*;

fn node(number: u64) -> NodeInfo {
    NodeInfo {
        id: NodeId(number),
        name: format!("n{number}"),
        zone: "z1".into(),
        region: "r1".into(),
        address: SocketAddr::from(([127, 0, (number >> 8) as u8, number as u8], 7000)),
        created_at_ms: 1,
    }
}

fn alive(number: u64) -> MemberUpdate {
    MemberUpdate { boot_id: number, ..MemberUpdate::initial(node(number)) }
}

fn dead(number: u64) -> MemberUpdate {
    MemberUpdate { state: MemberState::Dead, ..alive(number) }
}

fn member(number: u64) -> Swim {
    Swim::new(node(number), GossipConfig::default(), Vec::new(), number, 0.0)
}

/// Returns a member that knows the given others, each from its own broadcast.
fn member_knowing(number: u64, others: impl Iterator<Item = u64>) -> Swim {
    let mut swim = member(number);
    for other in others {
        swim.handle_message(
            0.0,
            NodeId(other),
            node(other).address,
            Message::Broadcast { updates: vec![alive(other)] },
        );
    }
    swim.poll_messages();
    swim
}

fn updates_of(message: &Message) -> &[MemberUpdate] {
    match message {
        Message::Ping { updates, .. } | Message::Ack { updates, .. } => updates,
        Message::PingRequest { updates, .. } | Message::IndirectAck { updates, .. } => updates,
        Message::Broadcast { updates } | Message::Sync { updates } => updates,
        Message::Digest { .. } => &[],
    }
}

/// Guards against the dissemination of a death being delayed by a queue full of joins: hundreds of members join at once
/// and one of them dies. Each of the next messages must carry the death.
#[test]
fn a_death_is_not_delayed_by_hundreds_of_joins() {
    let mut swim = member_knowing(1, 2..400);
    assert!(swim.pending_updates() >= 390);
    // In the last rounds every other update was transmitted less often than the death.
    for round in 0..8u32 {
        let death = dead(399);
        let from = node(2).address;
        if round == 0 {
            swim.handle_message(1.0, NodeId(2), from, Message::Broadcast { updates: vec![death.clone()] });
            swim.poll_messages();
        }
        swim.handle_message(2.0, NodeId(2), from, Message::Ping { nonce: 1, updates: vec![] });
        let sent = swim.poll_messages();
        let updates = sent.iter().flat_map(|(_, message)| updates_of(message));
        assert!(updates.into_iter().any(|update| *update == death), "round {round}: {sent:?}");
    }
}

/// Guards against a flood of messages when a zone fails and a hundred deaths become known within 100 ms. The first
/// death is broadcast at once and the others together one interval later, so the number of messages does not grow with
/// the deaths.
#[test]
fn a_death_is_broadcast_at_once_and_many_deaths_share_a_broadcast() {
    let mut swim = member_knowing(1, 2..300);
    swim.handle_timeout(1000.0);
    swim.poll_messages();
    let mut total_broadcasts = 0;
    for step in 0..100u64 {
        let now = 1000.0 + step as f64;
        let dead = dead(200 + step);
        swim.handle_message(now, NodeId(2), node(2).address, Message::Broadcast { updates: vec![dead] });
        assert!(
            swim.poll_timeout() <= now + GossipConfig::default().broadcast_interval_ms,
            "no timeout is scheduled for the broadcast"
        );
        swim.handle_timeout(now);
        let sent = swim.poll_messages();
        let broadcasts =
            sent.iter().filter(|(_, message)| matches!(message, Message::Broadcast { .. })).count();
        assert!(
            step > 0 || broadcasts == GossipConfig::default().broadcast_fanout,
            "the first death was not broadcast at once: {sent:?}"
        );
        total_broadcasts += broadcasts;
    }
    assert_eq!(
        total_broadcasts,
        GossipConfig::default().broadcast_fanout,
        "deaths within the broadcast interval must share a later broadcast"
    );
}

/// Delivers messages between two members until none is left, and returns their number.
fn exchange_messages(first: &mut Swim, second: &mut Swim, now: f64) -> usize {
    let mut count = 0;
    loop {
        let (to_second, to_first) = (first.poll_messages(), second.poll_messages());
        let (first_node, second_node) = (first.own.node.clone(), second.own.node.clone());
        if to_second.is_empty() && to_first.is_empty() {
            return count;
        }
        for (_, message) in to_second {
            assert!(
                updates_of(&message).len()
                    <= GossipConfig::default().updates_per_sync
                        + GossipConfig::default().updates_per_message
                        + 2
            );
            count += 1;
            second.handle_message(now, first_node.id, first_node.address, message);
        }
        for (_, message) in to_first {
            count += 1;
            first.handle_message(now, second_node.id, second_node.address, message);
        }
    }
}

/// A member joins a cluster of hundreds. Anti-entropy must transfer all members in a few rounds with a bounded number
/// of messages, cost one message if the tables are equal, and repair an update on a death that dissemination lost.
#[test]
fn anti_entropy_transfers_all_members_and_costs_one_message_if_nothing_differs() {
    let (mut old, mut new) = (member_knowing(1, 2..601), member_knowing(1000, 1..2));
    let mut rounds = 0;
    while new.checksums() != old.checksums() {
        rounds += 1;
        assert!(rounds <= 12, "only {} members after 12 rounds", new.table.len());
        new.send_digest();
        let count = exchange_messages(&mut new, &mut old, f64::from(rounds));
        assert!(count <= 2 * MAX_SYNC_MESSAGES + 2, "too many messages: {count}");
    }
    assert_eq!((new.table.len(), old.table.len()), (600, 600));
    // The new member does not queue the transferred updates, which would occupy its queue for minutes.
    assert!(new.pending_updates() <= 1, "{}", new.pending_updates());
    new.send_digest();
    assert_eq!(exchange_messages(&mut new, &mut old, 20.0), 1, "more than the digest was sent");
    // A death whose update was never disseminated to the new member.
    let dead = dead(77);
    old.handle_message(21.0, NodeId(2), node(2).address, Message::Broadcast { updates: vec![dead] });
    old.poll_messages();
    new.send_digest();
    exchange_messages(&mut new, &mut old, 21.0);
    assert_eq!(new.find(NodeId(77)).map(|update| update.state), Some(MemberState::Dead));
    assert_eq!(new.checksums(), old.checksums());
}

/// A digest of another version or a malformed one has another number of checksums. It is ignored without an answer.
#[test]
fn a_digest_of_another_length_is_ignored() {
    let mut swim = member_knowing(1, 2..50);
    for length in [0, 1, BUCKETS - 1, BUCKETS + 1, 5000] {
        let digest = Message::Digest { checksums: vec![7; length], reply: true };
        swim.handle_message(1.0, NodeId(2), node(2).address, digest);
        assert!(swim.poll_messages().is_empty(), "length {length}");
    }
}

/// Returns the nonce of the ping to a member among the given messages.
fn ping_nonce(messages: &[(Destination, Message)], to: u64) -> Option<u64> {
    messages.iter().find_map(|(destination, message)| match message {
        Message::Ping { nonce, .. } if destination.id == Some(NodeId(to)) => Some(*nonce),
        _ => None,
    })
}

/// Returns a member that has just probed its only other member, the time of the probe and its nonce.
fn member_with_pending_probe() -> (Swim, f64, u64) {
    let mut swim = member_knowing(1, 2..3);
    loop {
        let now_ms = swim.poll_timeout();
        swim.handle_timeout(now_ms);
        if let Some(nonce) = ping_nonce(&swim.poll_messages(), 2) {
            return (swim, now_ms, nonce);
        }
    }
}

fn state_of(swim: &Swim, number: u64) -> Option<MemberState> {
    swim.find(NodeId(number)).map(|update| update.state)
}

/// Guards against a dead member that stays alive because another node answers at its address. Only the target's own
/// acknowledgement completes a probe, so the dead member becomes suspect.
#[test]
fn an_ack_of_another_node_does_not_complete_a_probe() {
    let (mut swim, probed_ms, nonce) = member_with_pending_probe();
    let ack_of_other_node = Message::Ack { nonce, updates: Vec::new() };
    swim.handle_message(probed_ms + 1.0, NodeId(3), node(2).address, ack_of_other_node);
    swim.handle_timeout(probed_ms + swim.config.probe_interval_ms);
    assert_eq!(state_of(&swim, 2), Some(MemberState::Suspect));

    let (mut swim, probed_ms, nonce) = member_with_pending_probe();
    let ack_of_target = Message::Ack { nonce, updates: Vec::new() };
    swim.handle_message(probed_ms + 1.0, NodeId(2), node(2).address, ack_of_target);
    swim.handle_timeout(probed_ms + swim.config.probe_interval_ms);
    assert_eq!(state_of(&swim, 2), Some(MemberState::Alive));
}

/// Guards against a timeout every millisecond for a late probe whose indirect probes were already requested: nothing is
/// due for it until its interval ends.
#[test]
fn a_late_probe_schedules_no_timeout_before_its_interval_ends() {
    let (mut swim, probed_ms, _) = member_with_pending_probe();
    let (late_ms, interval_end_ms) =
        (probed_ms + swim.config.probe_timeout_ms, probed_ms + swim.config.probe_interval_ms);
    let mut timeouts = 0;
    while swim.poll_timeout() < interval_end_ms {
        let now_ms = swim.poll_timeout();
        swim.handle_timeout(now_ms);
        timeouts += usize::from(now_ms > late_ms);
    }
    assert!(timeouts <= 3, "{timeouts} timeouts between the late probe and the end of its interval");
}
