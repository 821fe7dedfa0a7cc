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

/// A member that has heard of so many, in one message each.
fn knowing(number: u64, others: impl Iterator<Item = u64>) -> Swim {
    let mut one = member(number);
    for other in others {
        one.handle_message(
            0.0,
            NodeId(other),
            node(other).address,
            Message::Broadcast { updates: vec![alive(other)] },
        );
    }
    one.poll_messages();
    one
}

fn updates_of(message: &Message) -> &[MemberUpdate] {
    match message {
        Message::Ping { updates, .. } | Message::Ack { updates, .. } => updates,
        Message::PingRequest { updates, .. } | Message::IndirectAck { updates, .. } => updates,
        Message::Broadcast { updates } | Message::Sync { updates } => updates,
        Message::Digest { .. } => &[],
    }
}

/// Hundreds join at once, and one of them dies. The queue is full of joins; the death must go along with each of the next
/// messages all the same.
#[test]
fn a_death_does_not_wait_for_hundreds_that_join() {
    let mut one = knowing(1, 2..400);
    assert!(one.pending_updates() >= 390);
    // All else was transmitted less often than the death in the end.
    for turn in 0..8u32 {
        let death = dead(399);
        let from = node(2).address;
        if turn == 0 {
            one.handle_message(1.0, NodeId(2), from, Message::Broadcast { updates: vec![death.clone()] });
            one.poll_messages();
        }
        one.handle_message(2.0, NodeId(2), from, Message::Ping { nonce: 1, updates: vec![] });
        let sent = one.poll_messages();
        let told = sent.iter().flat_map(|(_, message)| updates_of(message));
        assert!(told.into_iter().any(|update| *update == death), "turn {turn}: {sent:?}");
    }
}

/// A zone dies: a hundred deaths become known within 100 ms. The first is broadcast at once, the others together an interval
/// later, so that the messages do not grow with the deaths.
#[test]
fn a_death_is_broadcast_to_a_few_at_once_and_a_zone_that_dies_is_no_flood() {
    let mut one = knowing(1, 2..300);
    one.handle_timeout(1000.0);
    one.poll_messages();
    let mut told = 0;
    for step in 0..100u64 {
        let now = 1000.0 + step as f64;
        let dead = dead(200 + step);
        one.handle_message(now, NodeId(2), node(2).address, Message::Broadcast { updates: vec![dead] });
        assert!(
            one.poll_timeout() <= now + GossipConfig::default().broadcast_interval_ms,
            "it is woken for it"
        );
        one.handle_timeout(now);
        let sent = one.poll_messages();
        let tells = sent.iter().filter(|(_, message)| matches!(message, Message::Broadcast { .. })).count();
        assert!(step > 0 || tells == GossipConfig::default().broadcast_fanout, "the first at once: {sent:?}");
        told += tells;
    }
    assert_eq!(
        told,
        GossipConfig::default().broadcast_fanout,
        "the others of these 100 ms later, and together"
    );
}

/// Carries messages between two until none is left; how many there were.
fn converse(one: &mut Swim, other: &mut Swim, now: f64) -> usize {
    let mut count = 0;
    loop {
        let (to_other, to_one) = (one.poll_messages(), other.poll_messages());
        let (own, others) = (one.own.node.clone(), other.own.node.clone());
        if to_other.is_empty() && to_one.is_empty() {
            return count;
        }
        for (_, message) in to_other {
            assert!(
                updates_of(&message).len()
                    <= GossipConfig::default().updates_per_sync
                        + GossipConfig::default().updates_per_message
                        + 2
            );
            count += 1;
            other.handle_message(now, own.id, own.address, message);
        }
        for (_, message) in to_one {
            count += 1;
            one.handle_message(now, others.id, others.address, message);
        }
    }
}

/// One joins a cluster of hundreds. Comparisons of digests must bring it all members in a few rounds of bounded messages, cost
/// one message where nothing differs, and bring a death that gossip lost.
#[test]
fn comparisons_bring_all_to_one_that_joins_and_nothing_where_nothing_differs() {
    let (mut old, mut new) = (knowing(1, 2..601), knowing(1000, 1..2));
    let mut rounds = 0;
    while new.checksums() != old.checksums() {
        rounds += 1;
        assert!(rounds <= 12, "{} known", new.table.len());
        new.send_digest();
        let count = converse(&mut new, &mut old, f64::from(rounds));
        assert!(count <= 2 * MAX_SYNC_MESSAGES + 2, "bounded: {count}");
    }
    assert_eq!((new.table.len(), old.table.len()), (600, 600));
    // What came so is not told on by one that could tell of nothing else for minutes.
    assert!(new.pending_updates() <= 1, "{}", new.pending_updates());
    new.send_digest();
    assert_eq!(converse(&mut new, &mut old, 20.0), 1, "the sums alone");
    // A death that never came here as news.
    let dead = dead(77);
    old.handle_message(21.0, NodeId(2), node(2).address, Message::Broadcast { updates: vec![dead] });
    old.poll_messages();
    new.send_digest();
    converse(&mut new, &mut old, 21.0);
    assert_eq!(new.find(NodeId(77)).map(|update| update.state), Some(MemberState::Dead));
    assert_eq!(new.checksums(), old.checksums());
}

/// A digest of another version, or a malformed one, has another number of checksums. It is ignored, without an answer.
#[test]
fn a_digest_of_another_length_is_ignored() {
    let mut one = knowing(1, 2..50);
    for length in [0, 1, BUCKETS - 1, BUCKETS + 1, 5000] {
        let digest = Message::Digest { checksums: vec![7; length], reply: true };
        one.handle_message(1.0, NodeId(2), node(2).address, digest);
        assert!(one.poll_messages().is_empty(), "{length}");
    }
}

/// The nonce of the one ping to a member among what is to be sent.
fn ping_nonce(messages: &[(Destination, Message)], to: u64) -> Option<u64> {
    messages.iter().find_map(|(destination, message)| match message {
        Message::Ping { nonce, .. } if destination.id == Some(NodeId(to)) => Some(*nonce),
        _ => None,
    })
}

/// A member with one other, which it has just probed; the time and the probe's nonce.
fn probing() -> (Swim, f64, u64) {
    let mut one = knowing(1, 2..3);
    loop {
        let now_ms = one.poll_timeout();
        one.handle_timeout(now_ms);
        if let Some(nonce) = ping_nonce(&one.poll_messages(), 2) {
            return (one, now_ms, nonce);
        }
    }
}

fn state_of(one: &Swim, number: u64) -> Option<MemberState> {
    one.find(NodeId(number)).map(|update| update.state)
}

/// A member is gone and another node answers at its address: the probe must stay unanswered, so that the member that is gone is
/// suspected all the same.
#[test]
fn ack_of_another_node_answers_no_probe() {
    let (mut one, probed_ms, nonce) = probing();
    let stranger = Message::Ack { nonce, updates: Vec::new() };
    one.handle_message(probed_ms + 1.0, NodeId(3), node(2).address, stranger);
    one.handle_timeout(probed_ms + one.config.probe_interval_ms);
    assert_eq!(state_of(&one, 2), Some(MemberState::Suspect));

    let (mut other, probed_ms, nonce) = probing();
    let own = Message::Ack { nonce, updates: Vec::new() };
    other.handle_message(probed_ms + 1.0, NodeId(2), node(2).address, own);
    other.handle_timeout(probed_ms + other.config.probe_interval_ms);
    assert_eq!(state_of(&other, 2), Some(MemberState::Alive));
}

/// A probe is late and others were asked: nothing is left to do for it before its interval is over, so nothing may wake the member for
/// it each millisecond.
#[test]
fn late_probe_wakes_nobody_before_its_interval_is_over() {
    let (mut one, probed_ms, _) = probing();
    let (late_ms, over_ms) =
        (probed_ms + one.config.probe_timeout_ms, probed_ms + one.config.probe_interval_ms);
    let mut wakes = 0;
    while one.poll_timeout() < over_ms {
        let now_ms = one.poll_timeout();
        one.handle_timeout(now_ms);
        wakes += usize::from(now_ms > late_ms);
    }
    assert!(wakes <= 3, "{wakes} wakes between late and over");
}
