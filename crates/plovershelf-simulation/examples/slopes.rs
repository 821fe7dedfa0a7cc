//! What each kind of state and message grows with, counted on the state machines that serve: the rows of `docs/CAPACITY.md`
//! that need no processes. Prints a line a row: the points, the slope with its error, and what it makes at the size asked for
//! (`-- [MEMBERS]`, 920 by default).

use std::net::SocketAddr;
use std::time::Instant;

use plovershelf_client::{Caller, ClientConfig, EndpointList};
use plovershelf_cluster::consensus::{LogPosition, Snapshot, Term};
use plovershelf_cluster::gossip::{
    GossipConfig, MemberState, MemberUpdate, Message as Probe, NodeInfo, Swim,
};
use plovershelf_cluster::wire::{encode_frame, encode_payload, Envelope, NodeMessage, StateDigest, Wire};
use plovershelf_cluster::{ClusterState, Epoch, NodeConfig, NodeId, View, ViewMember};
use plovershelf_failover::{LoadReport, MemberReport, PlannerConfig};
use plovershelf_replication::{
    Member, Message as ReplicationMessage, ReplicationConfig, Replicator, ViewNumber,
};
use plovershelf_simulation::statistics::Fit;

const SIZES: [usize; 5] = [30, 100, 300, 600, 920];

fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (place >> 8) as u8, place as u8], 7400))
}

fn node(place: usize) -> NodeInfo {
    let (zone, region) = (format!("zone-{}", place % 4), format!("region-{}", place % 2));
    let name = format!("backend-{place:04}");
    // Ids as they are drawn: all 64 bits.
    let id = NodeId((place as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    NodeInfo { id, name, zone, region, address: address(place), created_at_ms: 1_796_000_000_000 }
}

fn update(place: usize) -> MemberUpdate {
    let node = node(place);
    let id = node.id;
    MemberUpdate {
        node,
        incarnation: 3,
        ready: true,
        draining: false,
        boot_id: id.0 ^ 0x55,
        state: MemberState::Alive,
        reported_by: id,
    }
}

fn told(kind: &str, unit: &str, points: &[(f64, f64)], at: f64) {
    let shown: Vec<String> = points.iter().map(|(x, y)| format!("{x}: {y:.1}")).collect();
    match Fit::of(points) {
        Some(fit) => println!(
            "{kind} | {unit} | {} | slope {:.4} +- {:.4} each, r2 {:.4} | at {at}: {:.0}",
            shown.join(", "),
            fit.slope,
            fit.slope_bar(),
            fit.r_squared,
            fit.at(at)
        ),
        None => println!("{kind} | {unit} | {} | no fit", shown.join(", ")),
    }
}

/// Resident memory of this process in bytes, by the system's own account.
fn resident() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    Some(text.split(' ').nth(1)?.parse::<f64>().ok()? * 4096.0)
}

/// Bytes each of many like things takes, as the growth of resident memory over all of them.
fn bytes_each<T>(count: usize, make: impl Fn(usize) -> T) -> Option<f64> {
    let before = resident()?;
    let kept: Vec<T> = (0..count).map(make).collect();
    let grown = resident()? - before;
    // Kept on purpose: memory that is given back would be counted for the next.
    std::mem::forget(kept);
    Some(grown / count as f64)
}

/// A change of view among so many that hold nothing: messages and bytes of all until they rest.
fn view_change(members: usize) -> (f64, f64) {
    let view: Vec<Member> = (0..members)
        .map(|place| {
            let node = node(place);
            Member { id: node.id, zone: node.zone, machine: node.name, weight: 1.0 }
        })
        .collect();
    let all: Vec<NodeId> = view.iter().map(|member| member.id).collect();
    let mut group: Vec<Replicator> =
        all.iter().map(|id| Replicator::new(*id, ReplicationConfig::default(), 0.0)).collect();
    let place_of: std::collections::BTreeMap<NodeId, usize> =
        all.iter().enumerate().map(|(place, id)| (*id, place)).collect();
    for replicator in &mut group {
        replicator.update_view(1.0, ViewNumber(1), view.clone());
    }
    let (mut messages, mut bytes, mut now) = (0.0, 0.0, 1.0);
    for _ in 0..8 {
        now += 1.0;
        let mut in_flight: Vec<(usize, NodeId, ReplicationMessage)> = Vec::new();
        for (place, replicator) in group.iter_mut().enumerate() {
            for (to, message) in replicator.poll_actions().messages {
                messages += 1.0;
                let wire = Wire::Subsystem { from: all[place], to, bytes: encode_payload(&message) };
                bytes += encode_frame(&wire).len() as f64;
                in_flight.push((place_of[&to], all[place], message));
            }
        }
        if in_flight.is_empty() {
            break;
        }
        for (to, from, message) in in_flight {
            group[to].handle_message(now, from, message);
        }
    }
    (messages, bytes)
}

fn envelope(message: NodeMessage) -> f64 {
    let (from, to) = (node(1).id, node(2).id);
    encode_frame(&Wire::Envelope(Envelope { from, address: address(1), to: Some(to), message })).len() as f64
}

fn main() {
    let at = std::env::args().nth(1).and_then(|size| size.parse().ok()).unwrap_or(920.0);
    let over = |of: &dyn Fn(usize) -> f64| -> Vec<(f64, f64)> {
        SIZES.iter().map(|size| (*size as f64, of(*size))).collect()
    };

    println!("kind | unit | points | slope | at the size");
    // Resident memory first, before anything was given back that could be taken again unseen.
    let view = |size: usize| -> View {
        let member = |place: usize| {
            let node = node(place);
            let member = ViewMember {
                name: node.name,
                zone: node.zone,
                region: node.region,
                address: node.address,
                draining: false,
                boot_id: node.id.0,
            };
            (node.id, member)
        };
        View { number: 1600, members: (0..size).map(member).collect() }
    };
    let mut rows = Vec::new();
    for size in SIZES {
        let each = bytes_each(100, |own| {
            let mut swim =
                Swim::new(node(own + 2000), GossipConfig::default(), Vec::new(), own as u64 + 1, 0.0);
            let all: Vec<MemberUpdate> = (0..size).map(update).collect();
            for part in all.chunks(GossipConfig::default().updates_per_sync) {
                swim.handle_message(1.0, node(0).id, address(0), Probe::Sync { updates: part.to_vec() });
            }
            (swim, view(size))
        });
        rows.extend(each.map(|each| (size as f64, each)));
    }
    told("a member's table and view", "bytes resident", &rows, at);

    let mut rows = Vec::new();
    for size in SIZES {
        let all: Vec<SocketAddr> = (0..size).map(address).collect();
        let each = bytes_each(1000, |place| {
            let terms = ClientConfig {
                seed: place as u64 + 1,
                subset_index: Some(place as u64),
                ..ClientConfig::default()
            };
            let mut caller = Caller::new(terms).unwrap_or_else(|wrong| panic!("default settings: {wrong}"));
            caller.update_endpoints(0.0, &EndpointList::from_addresses(&all));
            caller
        });
        rows.extend(each.map(|each| (size as f64, each)));
    }
    told("a caller of the library, list heard", "bytes resident", &rows, at);
    let changes: Vec<(f64, f64, f64)> = SIZES
        .iter()
        .map(|size| {
            let (messages, bytes) = view_change(*size);
            (*size as f64, messages / *size as f64, bytes / *size as f64)
        })
        .collect();
    let (messages, bytes): (Vec<_>, Vec<_>) = changes.iter().map(|c| ((c.0, c.1), (c.0, c.2))).unzip();
    told("copies: a change of view, holding nothing", "messages a member sends", &messages, at);
    told("copies: a change of view, holding nothing", "bytes a member sends", &bytes, at);

    let config = NodeConfig::default();
    let epoch = Epoch(1 << 40);
    let lease = envelope(NodeMessage::LeaseRequest { sent_at_us: 1 << 40 })
        + envelope(NodeMessage::LeaseGrant { sent_at_us: 1 << 40, epoch, view: 1600, duration_ms: 800.0 });
    let a_second = 1000.0 / config.lease_renew_interval_ms;
    println!("leases | bytes an asking and its grant | {lease} | {a_second} a second a member");
    told("leases at the leader", "bytes a second", &over(&|size| (size - 1) as f64 * lease * a_second), at);
    told("leases at the leader", "messages in a second", &over(&|size| (size - 1) as f64 * a_second), at);

    let report = MemberReport { zone: "zone-1".into(), load: LoadReport::default(), callers: Vec::new() };
    let report =
        encode_frame(&Wire::Subsystem { from: node(1).id, to: node(2).id, bytes: encode_payload(&report) })
            .len() as f64;
    let a_second = 1000.0 / PlannerConfig::default().period_ms;
    println!("zones: a report to the leader | bytes | {report} | {a_second:.2} a second a member");
    told(
        "zones: reports at the leader",
        "bytes a second",
        &over(&|size| size as f64 * report * a_second),
        at,
    );

    let beat = plovershelf_codec::registry::heartbeat("backend-0920", false).len() as f64;
    println!("service registry: a heartbeat | bytes | {beat} | 4 a second a backend");
    told("service registry: heartbeats in", "bytes a second", &over(&|size| size as f64 * beat * 4.0), at);

    let leader = Some(node(0).id);
    let digest = StateDigest { epoch, commit_index: 5000, term: Term(7), leader };
    let probe = |pieces: usize| {
        let updates = (0..pieces).map(update).collect();
        envelope(NodeMessage::Gossip { message: Probe::Ping { nonce: u64::MAX / 3, updates }, digest })
    };
    println!("probes: a ping with no news, with six | bytes | {}, {}", probe(0), probe(6));
    let sums = Probe::Digest { checksums: vec![u32::MAX / 3; 64], reply: true };
    let part = Probe::Sync { updates: (0..GossipConfig::default().updates_per_sync).map(update).collect() };
    let [sums, part] = [sums, part].map(|message| envelope(NodeMessage::Gossip { message, digest }));
    println!("membership: a comparison, a part of forty | bytes | {sums}, {part}");

    let whole = |size: usize| {
        let state = ClusterState { view: view(size), ..ClusterState::default() };
        let voters = (0..3).map(|place| node(place).id).collect();
        let last = LogPosition { term: Term(7), index: 5000 };
        let snapshot = Snapshot { last, voters, voters_index: 1, state };
        envelope(NodeMessage::CommittedSnapshot { epoch, snapshot })
    };
    told("the view, told whole", "bytes", &over(&whole), at);

    let all: Vec<SocketAddr> = (0..920).map(address).collect();
    let rows = [30, 100, 300, 600, 920].map(|size: usize| {
        let list = EndpointList::from_addresses(&all[..size]);
        let mut callers: Vec<Caller> = (1..=50)
            .map(|seed| Caller::new(ClientConfig { seed, ..ClientConfig::default() }))
            .collect::<Result<_, _>>()
            .unwrap_or_else(|wrong| panic!("default settings: {wrong}"));
        let began = Instant::now();
        callers.iter_mut().for_each(|caller| caller.update_endpoints(0.0, &list));
        (size as f64, began.elapsed().as_secs_f64() * 1e6 / 50.0)
    });
    told("a caller of the library takes a list", "us", &rows, at);
    let subset = ClientConfig::default().subset_size as f64;
    println!(
        "callers' connections at a backend | connections | {subset} members a caller of the library, evenly | {:.0} with 13,000 callers and {at:.0} backends",
        13_000.0 * subset / at
    );
}
