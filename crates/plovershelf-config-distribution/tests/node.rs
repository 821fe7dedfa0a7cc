//! Tests of single nodes and small networks: replies, bounds against misbehaving peers, message sizes, and the
//! exchange between origins.

mod net;

use std::net::SocketAddr;

use net::Net;
use plovershelf_config_distribution::{
    Aggregate, Attachment, Change, DistributionConfig, Edit, Entry, Event, FanOutLimit, HeldVersion,
    ListenerKind, Message, Node, NodeInfo, QuotaTable, RelayInfo, Role, Startup, Version,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 4000))
}
fn info(last: u8) -> NodeInfo {
    let (zone, region) = ("zone-1".to_string(), "region-1".to_string());
    NodeInfo { name: format!("process-{last}"), zone, region, address: address(last), incarnation: 1 }
}
fn kind(is_relay: bool) -> ListenerKind {
    if is_relay {
        ListenerKind::Relay
    } else {
        ListenerKind::Leaf
    }
}
fn limit(is_failover: bool) -> FanOutLimit {
    if is_failover {
        FanOutLimit::Failover
    } else {
        FanOutLimit::Normal
    }
}
fn candidates(relays: Vec<SocketAddr>, kind: ListenerKind) -> Message {
    Message::ParentCandidates { relays, kind, limit: FanOutLimit::Normal, ask_origin: None }
}
fn table() -> QuotaTable {
    QuotaTable::initial((0..30).map(|index| (format!("tenant-{index}"), 10.0))).unwrap()
}
fn start(last: u8, role: Role) -> Node {
    let origins = vec![address(1), address(2), address(3)];
    let config = DistributionConfig::default();
    Node::new(Startup { node: info(last), role, origins, config, table: table(), seed: last.into() }, 0.0)
}
fn set(tenant: &str, quota_per_s: f64) -> Edit {
    Edit::Set { tenant: tenant.to_string(), quota_per_s }
}
fn version(number: u64) -> Version {
    Version { epoch: 1, number }
}
fn version_info(table: &QuotaTable) -> HeldVersion {
    HeldVersion { version: table.version(), short_digest: table.digest() as u64, age_ms: 0 }
}
fn attach_relay(last: u8) -> Message {
    let (kind, limit) = (ListenerKind::Relay, FanOutLimit::Normal);
    Message::Attach { node: info(last), version_info: version_info(&table()), kind, limit }
}
/// Returns a listener whose parent is the relay at address 20.
fn attached() -> Node {
    let mut node = start(10, Role::Listener);
    node.handle_timeout(300.0);
    let origin = node.poll_actions().messages[0].0;
    node.handle_message(301.0, origin, candidates(vec![address(20)], ListenerKind::Leaf));
    assert!(
        matches!(&node.poll_actions().messages[..], [(to, Message::Attach { .. })] if *to == address(20))
    );
    node.handle_message(302.0, address(20), Message::Attached(version_info(&table())));
    node.poll_actions();
    assert_eq!(node.status(302.0).parent, Some(address(20)));
    node
}

/// An operator's proposal requires an old version number, names an unknown tenant, or goes to a listener. Each error
/// must state the reason, and nothing may be committed.
#[test]
fn proposal_for_an_old_version_or_an_unknown_tenant_or_to_a_listener_is_rejected() {
    let mut origin = start(1, Role::Origin);
    let change = origin.prepare_change(vec![set("tenant-1", 5.0)], Some(0), 1, 7).unwrap();
    assert_eq!(
        (change.version, change.previous, change.proposed_unix_ms),
        (version(1), Version::default(), 7)
    );
    origin.handle_commit(0.0, change);
    let error = origin.prepare_change(vec![set("tenant-1", 6.0)], Some(0), 1, 8).unwrap_err().to_string();
    assert!(error.contains("after 0") && error.contains("newest number is 1"), "{error}");
    let error = origin.prepare_change(vec![set("nobody", 6.0)], None, 1, 8).unwrap_err().to_string();
    assert!(error.contains("nobody"), "{error}");
    let listener = start(10, Role::Listener);
    let error = listener.prepare_change(vec![set("tenant-1", 6.0)], None, 1, 8).unwrap_err().to_string();
    assert!(error.contains("no source"), "{error}");
}

/// Guards against a wrong table taking effect everywhere. Two origins started from different tables, so their digests
/// differ under the same version. The origin must reject proposals until the tables agree.
#[test]
fn origin_rejects_proposals_while_another_origin_has_a_different_table() {
    let mut origin = start(1, Role::Origin);
    let other = QuotaTable::initial([("tenant-1".to_string(), 7.0)]).unwrap();
    origin.handle_message(1.0, address(2), Message::Heartbeat(version_info(&other)));
    let error = origin.prepare_change(vec![set("tenant-1", 5.0)], None, 1, 7).unwrap_err().to_string();
    assert!(error.contains("127.0.0.2:4000") && error.contains("another content"), "{error}");
    origin.handle_message(2.0, address(2), Message::Heartbeat(version_info(&table())));
    assert!(origin.prepare_change(vec![set("tenant-1", 5.0)], None, 1, 7).is_ok());
}

/// The consensus group delivers a commit twice, or another change with the same version. The table must not change,
/// and the conflicting digest must be reported.
#[test]
fn commit_of_a_version_in_force_changes_nothing_and_another_digest_is_reported() {
    let mut origin = start(1, Role::Origin);
    let one = origin.prepare_change(vec![set("tenant-1", 5.0)], None, 1, 0).unwrap();
    let other = origin.prepare_change(vec![set("tenant-1", 6.0)], None, 1, 0).unwrap();
    origin.handle_commit(0.0, one.clone());
    origin.poll_actions();
    origin.handle_commit(1.0, one);
    assert!(origin.poll_actions().events.is_empty());
    origin.handle_commit(2.0, other);
    let events = origin.poll_actions().events;
    assert!(
        matches!(&events[..], [Event::Warning(warning)] if warning.to_string().contains("1.1")),
        "{events:?}"
    );
    assert_eq!(origin.table().quota_per_s("tenant-1"), Some(5.0));
}

/// An origin misses two commits and receives the third, which can't be applied. It must fetch the missing changes.
#[test]
fn origin_that_missed_commits_fetches_them_from_the_others() {
    let (mut first, mut second) = (start(1, Role::Origin), start(2, Role::Origin));
    for index in 0..3 {
        let change = first.prepare_change(vec![set("tenant-1", f64::from(index))], None, 1, 0).unwrap();
        first.handle_commit(0.0, change.clone());
        if index == 2 {
            second.handle_commit(0.0, change);
        }
    }
    assert_eq!(second.table().version(), Version::default());
    for _ in 0..6 {
        let (from_first, from_second) = (first.poll_actions().messages, second.poll_actions().messages);
        for (_, message) in from_first.into_iter().filter(|(to, _)| *to == address(2)) {
            second.handle_message(1.0, address(1), message);
        }
        for (_, message) in from_second.into_iter().filter(|(to, _)| *to == address(1)) {
            first.handle_message(1.0, address(2), message);
        }
    }
    assert_eq!(second.table(), first.table());
}

/// All origins restart without stored state while relays still have the committed changes. The origins must fetch the
/// changes from the relays.
#[test]
fn origins_that_all_restart_empty_fetch_the_newest_from_a_relay() {
    let mut net = Net::new(3, 3, 20, 2, DistributionConfig::default());
    net.run(2000.0);
    for _ in 0..5 {
        let edits = net.random_edits();
        net.propose(0, edits).unwrap();
        net.run(net.now + 200.0);
    }
    for origin in 0..3 {
        net.kill(origin, true);
    }
    net.run(net.now + 1000.0);
    for origin in 0..3 {
        net.start(origin, None);
    }
    net.run(net.now + 4000.0);
    net.check();
    assert_eq!((net.behind(), net.newest()), (vec![], version(5)));
}

/// A listener restarts with its initial table after more changes than the change log can contain, while fifty changes
/// per second continue. The snapshot must complete within a second, without a warning.
#[test]
fn snapshot_of_34_000_tenants_completes_while_changes_go_on() {
    let list = |quota: f64| {
        QuotaTable::initial((0..34_000).map(|index| (format!("tenant-{index:05}"), quota))).unwrap()
    };
    let mut net = Net::with(list(1.0), 4, 3, 8, 2, DistributionConfig::default());
    net.run(1000.0);
    // Make more changes than the change log can contain before the listener restarts with only its initial table.
    for index in 0..10 {
        let edits = (0..1500).map(|tenant| set(&format!("tenant-{tenant:05}"), f64::from(index))).collect();
        net.propose(0, edits).unwrap();
        net.run(net.now + 100.0);
    }
    net.kill(10, true);
    net.start(10, None);
    let restarted_ms = net.now;
    let mut catch_up_ms = f64::NAN;
    for index in 0..40 {
        let edits = net.random_edits();
        net.propose(0, edits).unwrap();
        net.run(net.now + 20.0);
        let number = net.node(10).table().version().number;
        if number + 3 >= 10 + index && catch_up_ms.is_nan() {
            catch_up_ms = net.now - restarted_ms;
        }
    }
    net.run(net.now + 200.0);
    net.check();
    assert_eq!(net.behind(), Vec::<usize>::new());
    println!("caught up after {catch_up_ms} ms during 50 changes per second");
    assert!(catch_up_ms < 1000.0);
    assert!(net.warnings.is_empty(), "{:?}", net.warnings);
}

/// A listener's initial table differs from the one of the origins under the same version. The origins' table must
/// replace it.
#[test]
fn listener_with_another_initial_table_installs_that_of_the_origins() {
    let mut net = Net::new(4, 3, 12, 2, DistributionConfig::default());
    net.kill(8, true);
    let other = QuotaTable::initial([("tenant-1", 5.0)]).unwrap();
    net.start(8, Some(other));
    net.run(4000.0);
    assert_eq!(net.node(8).table(), &net.initial);
}

/// A process that is neither parent nor child sends changes, snapshots, heartbeats and lists. The node must ignore
/// them, or answer with `Detach`.
#[test]
fn listener_ignores_unknown_processes() {
    let mut node = attached();
    let before = node.status(303.0);
    let mut other = table();
    let edits = vec![set("tenant-1", 99.0)];
    let digest = other.validate(&edits).unwrap();
    let change =
        Change { version: version(1), previous: Version::default(), digest, edits, proposed_unix_ms: 0 };
    other.apply(&change).unwrap();
    let chunk = other.chunk(None);
    let (entries, is_last) = (chunk.entries, chunk.is_last);
    let chunk = Message::SnapshotChunk { version: version(1), digest, after: None, entries, is_last };
    let alternates = Message::AlternateParents { relays: vec![address(66)], origins: vec![] };
    for message in [
        Message::Delta(vec![change]),
        chunk,
        Message::Heartbeat(version_info(&other)),
        alternates,
        Message::Detach,
    ] {
        node.handle_message(303.0, address(99), message);
    }
    assert!(node
        .poll_actions()
        .messages
        .iter()
        .all(|(to, message)| *to == address(99) && *message == Message::Detach));
    node.handle_message(303.0, address(99), Message::SyncRequest(version_info(&table())));
    node.handle_message(303.0, address(99), Message::Probe);
    assert!(node.poll_actions().messages.is_empty());
    assert_eq!(node.status(303.0), before);
}

/// Guards against cycles of parents. A leaf must reject children, a relay must reject relays, and a relay must attach
/// only to origins.
#[test]
fn leaf_rejects_children_and_relay_rejects_relays() {
    let mut leaf = attached();
    let attach = |kind| Message::Attach {
        node: info(30),
        version_info: version_info(&table()),
        kind,
        limit: FanOutLimit::Failover,
    };
    leaf.handle_message(303.0, address(30), attach(ListenerKind::Leaf));
    assert_eq!(leaf.poll_actions().messages, vec![(address(30), Message::Rejected)]);
    let mut relay = start(11, Role::Listener);
    relay.handle_timeout(300.0);
    let origin = relay.poll_actions().messages[0].0;
    relay.handle_message(301.0, origin, candidates(vec![], ListenerKind::Relay));
    let sent = relay.poll_actions().messages;
    assert!(
        matches!(&sent[..], [(to, Message::Attach { kind: ListenerKind::Relay, .. })] if *to == origin),
        "{sent:?}"
    );
    relay.handle_message(302.0, origin, Message::Attached(version_info(&table())));
    relay.poll_actions();
    relay.handle_message(303.0, address(30), attach(ListenerKind::Relay));
    assert_eq!(relay.poll_actions().messages[0], (address(30), Message::Rejected));
    for child in 0..60 {
        relay.handle_message(304.0, address(100 + child), attach(ListenerKind::Leaf));
    }
    assert_eq!(relay.status(304.0).children, 32);
    // Addresses from a message that are not configured origins must never become parents of a relay.
    let unknown_origins = vec![address(100), address(101)];
    relay.handle_message(
        305.0,
        origin,
        Message::AlternateParents { relays: vec![address(100)], origins: unknown_origins },
    );
    relay.poll_actions();
    for step in 0..40 {
        relay.handle_timeout(305.0 + 200.0 * f64::from(step));
        for (to, message) in relay.poll_actions().messages {
            let is_parent_request = matches!(message, Message::Attach { .. } | Message::FindParent { .. });
            assert!(
                !is_parent_request || [address(1), address(2), address(3)].contains(&to),
                "{to} {message:?}"
            );
        }
    }
}

/// A listener has no contact for an hour. It must keep its table and report the age.
#[test]
fn listener_without_a_parent_keeps_its_table_and_reports_its_age() {
    let mut node = attached();
    for step in 1..3000 {
        node.handle_timeout(302.0 + f64::from(step) * 1200.0);
        node.poll_actions();
    }
    let now = 302.0 + 3000.0 * 1200.0;
    let status = node.status(now);
    assert_eq!((node.table(), status.parent), (&table(), None));
    assert!(status.age_ms.is_some_and(|age| age > 3_590_000.0), "{status:?}");
}

/// Half of the relays fail, and the others exceed their fan-out with the orphaned children. They must return to their
/// fan-out, and no process may be behind.
#[test]
fn relays_return_to_their_fan_out_after_taking_over_children() {
    let mut net = Net::new(8, 3, 150, 2, DistributionConfig::default());
    net.run(3000.0);
    let relays: Vec<usize> = (3..153).filter(|index| net.node(*index).is_relay()).collect();
    for relay in relays.iter().step_by(2) {
        net.kill(*relay, true);
    }
    net.run(net.now + 4000.0);
    let max_children = |net: &Net| {
        let child_counts =
            net.slots.iter().filter_map(|slot| slot.node.as_ref()).map(|node| node.status(0.0).children);
        child_counts.max().unwrap()
    };
    assert!((17..=32).contains(&max_children(&net)), "{}", max_children(&net));
    net.run(net.now + 120_000.0);
    assert!(max_children(&net) <= 16, "{}", net.describe());
    assert!(net.behind().is_empty() && net.violations.is_empty());
}

/// An origin stops, its relays attach to the others, and it restarts. It must get back the relays in its region, about
/// as many as the other origin there has.
#[test]
fn restarted_origin_gets_the_relays_of_its_region_and_its_share_back() {
    let mut net = Net::new(9, 3, 300, 4, DistributionConfig::default());
    net.run(3000.0);
    let child_counts =
        |net: &Net| (0..3).map(|index| net.node(index).status(0.0).children).collect::<Vec<_>>();
    for origin in [2, 0] {
        net.kill(origin, false);
        net.run(net.now + 4000.0);
        net.start(origin, None);
        net.run(net.now + 240_000.0);
        for index in 3..303 {
            let parent = net.node(index).status(net.now).parent.unwrap();
            let parent = net.slots.iter().find(|slot| slot.address == parent).unwrap();
            assert_eq!(parent.region, net.slots[index].region, "{index}\n{}", net.describe());
        }
        let child_counts = child_counts(&net);
        assert!(child_counts[0].abs_diff(child_counts[1]) <= 5 && child_counts[2] > 0, "{child_counts:?}");
    }
    assert!(net.behind().is_empty() && net.violations.is_empty());
}

/// Many processes stop without notice and restart at other parents. The former parents must not report them as
/// missing; only the process that stays down may be reported.
#[test]
fn process_that_attached_elsewhere_is_not_missing() {
    let mut net = Net::new(6, 3, 60, 4, DistributionConfig::default());
    net.run(3000.0);
    for index in 3..45 {
        net.kill(index, index % 2 == 0);
    }
    net.run(net.now + 3000.0);
    let missing =
        |net: &Net| (0..3).flat_map(|index| net.node(index).status(net.now).missing).collect::<Vec<_>>();
    assert!(!missing(&net).is_empty());
    for index in 4..45 {
        net.start(index, None);
    }
    net.run(net.now + 20_000.0);
    assert_eq!(missing(&net), vec!["process-3".to_string()]);
}

/// The first child detaches before it stops, the second times out. Only the second must be reported as missing, and no
/// longer after ten minutes.
#[test]
fn timed_out_child_is_reported_as_missing_and_a_detached_one_is_not() {
    let mut origin = start(1, Role::Origin);
    for child in [30, 31] {
        let attach = attach_relay(child);
        origin.handle_message(0.0, address(child), attach);
    }
    assert_eq!(origin.status(1.0).nodes, 2);
    origin.handle_message(2.0, address(30), Message::Detach);
    for step in 0..40 {
        origin.handle_timeout(100.0 * f64::from(step));
    }
    let status = origin.status(4000.0);
    assert_eq!((status.nodes, status.missing), (0, vec!["process-31".to_string()]));
    for step in 0..1300 {
        origin.handle_timeout(4000.0 + 500.0 * f64::from(step));
    }
    assert!(origin.status(654_000.0).missing.is_empty());
}

/// A process is paused for a minute. It must keep its children, since their messages are still waiting in its receive
/// queue.
#[test]
fn paused_process_keeps_its_children() {
    let mut origin = start(1, Role::Origin);
    origin.handle_timeout(0.0);
    let attach = attach_relay(30);
    origin.handle_message(0.0, address(30), attach);
    origin.handle_timeout(60_000.0);
    assert_eq!(origin.status(60_000.0).children, 1);
}

#[test]
fn heartbeats_and_aggregates_are_small_and_an_idle_fleet_sends_little() {
    let version = Version { epoch: 1_000, number: 1_000_000 };
    let newest = HeldVersion { version, short_digest: u64::MAX, age_ms: u32::MAX };
    let aggregate = Aggregate {
        version,
        nodes: 920,
        up_to_date: 920,
        oldest: version,
        children: 32,
        ..Aggregate::default()
    };
    let bytes = |message: &Message| postcard::to_stdvec(message).unwrap().len();
    let (heartbeat_bytes, aggregate_bytes) =
        (bytes(&Message::Heartbeat(newest)), bytes(&Message::Aggregate(aggregate)));
    println!("heartbeat {heartbeat_bytes} bytes, aggregate {aggregate_bytes} bytes");
    assert!(heartbeat_bytes < 64 && aggregate_bytes < 128);
    let mut net = Net::new(5, 3, 200, 4, DistributionConfig::default());
    net.run(10_000.0);
    net.count_bytes = true;
    net.run(40_000.0);
    let bytes_per_listener_s = net.bytes.iter().sum::<u64>() as f64 / 30.0 / 200.0;
    let max_per_s = |counts: &[u64]| counts.iter().copied().max().unwrap() as f64 / 30.0;
    let relays = net.slots.iter().filter(|slot| slot.node.as_ref().unwrap().is_relay()).count();
    println!(
        "idle, 200 listeners, {relays} relays: {bytes_per_listener_s:.1} bytes per listener and second, at most {:.0} bytes and {:.0} messages per second by one process",
        max_per_s(&net.bytes),
        max_per_s(&net.messages)
    );
    assert!(bytes_per_listener_s > 10.0 && bytes_per_listener_s < 400.0 && max_per_s(&net.bytes) < 4096.0);
}

#[expect(clippy::too_many_lines, reason = "one arm for each kind of message")]
fn random_message(rng: &mut Pcg32) -> Message {
    let random_version =
        |rng: &mut Pcg32| Version { epoch: rng.random_range(0..3), number: rng.random_range(0..6) };
    let random_address = |rng: &mut Pcg32| address(rng.random_range(0..40));
    let random_version_info = |rng: &mut Pcg32| HeldVersion {
        version: random_version(rng),
        short_digest: rng.random_range(0..3),
        age_ms: if rng.random_bool(0.2) { u32::MAX } else { rng.random_range(0..5000) },
    };
    let random_edits = |rng: &mut Pcg32| {
        let random_edit = |rng: &mut Pcg32| {
            let tenant = format!("tenant-{}", rng.random_range(0..40));
            match rng.random_range(0..3) {
                0 => Edit::Set { tenant, quota_per_s: rng.random_range(-1.0..10.0) },
                1 => Edit::Add { tenant, quota_per_s: f64::from_bits(rng.random()) },
                _ => Edit::Remove { tenant },
            }
        };
        (0..rng.random_range(0..3)).map(|_| random_edit(rng)).collect::<Vec<_>>()
    };
    let random_change = |rng: &mut Pcg32| Change {
        version: random_version(rng),
        previous: random_version(rng),
        digest: rng.random_range(0..3),
        edits: random_edits(rng),
        proposed_unix_ms: 0,
    };
    let random_addresses =
        |rng: &mut Pcg32| (0..rng.random_range(0..20)).map(|_| random_address(rng)).collect::<Vec<_>>();
    let random_name = |rng: &mut Pcg32| "x".repeat(rng.random_range(0..70));
    let random_entry =
        |rng: &mut Pcg32| Entry { tenant: random_name(rng), quota_per_s: rng.random_range(-1.0..9.0) };
    let random_attachment =
        |rng: &mut Pcg32| Attachment { name: random_name(rng), parent: random_address(rng) };
    match rng.random_range(0..21) {
        0 => Message::FindParent { node: info(1), excluded: random_addresses(rng), redirected: rng.random() },
        1 | 2 => Message::ParentCandidates {
            relays: random_addresses(rng),
            kind: kind(rng.random_bool(0.3)),
            limit: limit(rng.random()),
            ask_origin: rng.random_bool(0.2).then(|| random_address(rng)),
        },
        3 => {
            let node = NodeInfo { name: random_name(rng), ..info(rng.random_range(0..40)) };
            let version_info = random_version_info(rng);
            Message::Attach { node, version_info, kind: kind(rng.random()), limit: limit(rng.random()) }
        }
        4 | 5 => Message::Attached(random_version_info(rng)),
        6 => Message::Rejected,
        7 => Message::Detach,
        8 => Message::Heartbeat(random_version_info(rng)),
        9 => Message::AlternateParents { relays: random_addresses(rng), origins: random_addresses(rng) },
        10 => Message::Delta((0..rng.random_range(0..4)).map(|_| random_change(rng)).collect()),
        11 => Message::SyncRequest(random_version_info(rng)),
        12 => Message::ChunkRequest {
            version: random_version(rng),
            after: rng.random_bool(0.5).then(|| random_name(rng)),
        },
        // A digest of 0 is excluded, because it is the digest of an empty list and would therefore match.
        13 => Message::SnapshotChunk {
            version: random_version(rng),
            digest: rng.random_range(1..4),
            after: rng.random_bool(0.3).then(|| random_name(rng)),
            entries: (0..rng.random_range(0..4)).map(|_| random_entry(rng)).collect(),
            is_last: rng.random(),
        },
        14 => {
            let missing = (0..rng.random_range(0..10)).map(|_| random_name(rng)).collect();
            let attached = (0..rng.random_range(0..10)).map(|_| random_name(rng)).collect();
            let (nodes, up_to_date, children) = (rng.random(), rng.random(), rng.random());
            Message::Aggregate(Aggregate {
                version: random_version(rng),
                nodes,
                up_to_date,
                oldest: random_version(rng),
                children,
                missing,
                attached,
            })
        }
        15 => Message::Probe,
        19 => Message::Reattach(rng.random_bool(0.5).then(|| random_address(rng))),
        16 => Message::ProbeReply(random_version_info(rng)),
        17 => Message::Relocated((0..rng.random_range(0..10)).map(|_| random_name(rng)).collect()),
        18 => Message::Attachments((0..rng.random_range(0..100)).map(|_| random_attachment(rng)).collect()),
        _ => {
            let random_relay = |rng: &mut Pcg32| {
                let (zone, region) = (random_name(rng), "region-1".to_string());
                RelayInfo { address: random_address(rng), zone, region, children: rng.random() }
            };
            let relays = (0..rng.random_range(0..70)).map(|_| random_relay(rng)).collect();
            Message::OriginRelays { origin: info(2), relays }
        }
    }
}

/// A peer sends arbitrary messages in any state and order. None of the random digests matches, so nothing may take
/// effect.
#[test]
fn arbitrary_messages_in_any_state_cause_no_panic_rollback_or_invalid_table() {
    let mut states = std::collections::BTreeSet::new();
    for seed in 0..100 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let role = if seed % 3 == 0 { Role::Origin } else { Role::Listener };
        let mut node = start(if seed % 3 == 0 { 1 } else { 10 }, role);
        let mut now = 0.0;
        for _ in 0..1000 {
            now += rng.random_range(0.0..200.0);
            let message = random_message(&mut rng);
            // Prefer the parent or a process that the node has contacted as the sender.
            let parent = node.status(now).parent.filter(|_| rng.random_bool(0.3));
            let contacted =
                node.poll_actions().messages.pop().map(|(to, _)| to).filter(|_| rng.random_bool(0.5));
            let from = parent.or(contacted).unwrap_or_else(|| address(rng.random_range(0..40)));
            match rng.random_range(0..10) {
                0 => node.handle_connection_lost(now, from),
                1..=3 => node.handle_timeout(now),
                _ => node.handle_message(now, from, message),
            }
            let status = node.status(now);
            states.insert((status.parent.is_some(), node.is_relay(), status.children > 0));
            assert_eq!(node.table(), &table(), "seed {seed}");
            assert!(status.children <= 64 && status.missing.len() <= 8);
            assert!(node.poll_timeout() < now + 10_000.0);
        }
    }
    assert!(states.len() >= 5, "{states:?}");
}
