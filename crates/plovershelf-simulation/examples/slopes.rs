//! Measures how the size of state and messages grows with the number of members, on the server's state machines: the rows of
//! `docs/CAPACITY.md` that need no processes. Prints one line per row with the points, the slope with its error, and the value
//! that the fit gives for a number of members (`-- [MEMBERS]`, 920 by default).

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

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (index >> 8) as u8, index as u8], 7400))
}

fn node(index: usize) -> NodeInfo {
    let (zone, region) = (format!("zone-{}", index % 4), format!("region-{}", index % 2));
    let name = format!("backend-{index:04}");
    // Use all 64 bits, as random ids do: the encoded length depends on the value.
    let id = NodeId((index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    NodeInfo { id, name, zone, region, address: address(index), created_at_ms: 1_796_000_000_000 }
}

fn update(index: usize) -> MemberUpdate {
    let node = node(index);
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

/// Prints a row with its points, their linear fit and the value of the fit at `at` members.
fn print_row(kind: &str, unit: &str, points: &[(f64, f64)], at: f64) {
    let formatted: Vec<String> = points.iter().map(|(x, y)| format!("{x}: {y:.1}")).collect();
    match Fit::of(points) {
        Some(fit) => println!(
            "{kind} | {unit} | {} | slope {:.4} +- {:.4} each, r2 {:.4} | at {at}: {:.0}",
            formatted.join(", "),
            fit.slope,
            fit.slope_bar(),
            fit.r_squared,
            fit.at(at)
        ),
        None => println!("{kind} | {unit} | {} | no fit", formatted.join(", ")),
    }
}

/// Returns the resident memory of this process in bytes, as reported by the kernel.
fn resident_bytes() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    Some(text.split(' ').nth(1)?.parse::<f64>().ok()? * 4096.0)
}

/// Returns the resident memory per item in bytes, measured as the growth over `count` items.
fn bytes_each<T>(count: usize, make: impl Fn(usize) -> T) -> Option<f64> {
    let before = resident_bytes()?;
    let items: Vec<T> = (0..count).map(make).collect();
    let growth = resident_bytes()? - before;
    // Leak the items: the next measurement would reuse freed memory without any growth.
    std::mem::forget(items);
    Some(growth / count as f64)
}

/// Returns the messages and bytes that all members exchange after a view change, until none is in flight. The members have no
/// records to replicate.
fn view_change(members: usize) -> (f64, f64) {
    let view: Vec<Member> = (0..members)
        .map(|index| {
            let node = node(index);
            Member { id: node.id, zone: node.zone, machine: node.name, weight: 1.0 }
        })
        .collect();
    let all: Vec<NodeId> = view.iter().map(|member| member.id).collect();
    let mut group: Vec<Replicator> =
        all.iter().map(|id| Replicator::new(*id, ReplicationConfig::default(), 0.0)).collect();
    let index_of: std::collections::BTreeMap<NodeId, usize> =
        all.iter().enumerate().map(|(index, id)| (*id, index)).collect();
    for replicator in &mut group {
        replicator.update_view(1.0, ViewNumber(1), view.clone());
    }
    let (mut messages, mut bytes, mut now) = (0.0, 0.0, 1.0);
    for _ in 0..8 {
        now += 1.0;
        let mut in_flight: Vec<(usize, NodeId, ReplicationMessage)> = Vec::new();
        for (index, replicator) in group.iter_mut().enumerate() {
            for (to, message) in replicator.poll_actions().messages {
                messages += 1.0;
                let wire = Wire::Subsystem { from: all[index], to, bytes: encode_payload(&message) };
                bytes += encode_frame(&wire).len() as f64;
                in_flight.push((index_of[&to], all[index], message));
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
    let over_sizes = |value: &dyn Fn(usize) -> f64| -> Vec<(f64, f64)> {
        SIZES.iter().map(|size| (*size as f64, value(*size))).collect()
    };

    println!("kind | unit | points | slope | at the size");
    // Measure resident memory first, before other measurements free memory that would be reused without any growth.
    let view = |size: usize| -> View {
        let member = |index: usize| {
            let node = node(index);
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
        let each = bytes_each(100, |index| {
            let mut swim =
                Swim::new(node(index + 2000), GossipConfig::default(), Vec::new(), index as u64 + 1, 0.0);
            let updates: Vec<MemberUpdate> = (0..size).map(update).collect();
            for chunk in updates.chunks(GossipConfig::default().updates_per_sync) {
                swim.handle_message(1.0, node(0).id, address(0), Probe::Sync { updates: chunk.to_vec() });
            }
            (swim, view(size))
        });
        rows.extend(each.map(|each| (size as f64, each)));
    }
    print_row("a member's table and view", "bytes resident", &rows, at);

    let mut rows = Vec::new();
    for size in SIZES {
        let all: Vec<SocketAddr> = (0..size).map(address).collect();
        let each = bytes_each(1000, |index| {
            let config = ClientConfig {
                seed: index as u64 + 1,
                subset_index: Some(index as u64),
                ..ClientConfig::default()
            };
            let mut caller = Caller::new(config).unwrap_or_else(|error| panic!("default settings: {error}"));
            caller.update_endpoints(0.0, &EndpointList::from_addresses(&all));
            caller
        });
        rows.extend(each.map(|each| (size as f64, each)));
    }
    print_row("a caller of the library, list heard", "bytes resident", &rows, at);
    let traffic: Vec<(f64, f64, f64)> = SIZES
        .iter()
        .map(|size| {
            let (messages, bytes) = view_change(*size);
            (*size as f64, messages / *size as f64, bytes / *size as f64)
        })
        .collect();
    let (messages, bytes): (Vec<_>, Vec<_>) =
        traffic.iter().map(|row| ((row.0, row.1), (row.0, row.2))).unzip();
    print_row("copies: a change of view, holding nothing", "messages a member sends", &messages, at);
    print_row("copies: a change of view, holding nothing", "bytes a member sends", &bytes, at);

    let config = NodeConfig::default();
    let epoch = Epoch(1 << 40);
    let lease = envelope(NodeMessage::LeaseRequest { sent_at_us: 1 << 40 })
        + envelope(NodeMessage::LeaseGrant { sent_at_us: 1 << 40, epoch, view: 1600, duration_ms: 800.0 });
    let per_second = 1000.0 / config.lease_renew_interval_ms;
    println!("leases | bytes an asking and its grant | {lease} | {per_second} a second a member");
    print_row(
        "leases at the leader",
        "bytes a second",
        &over_sizes(&|size| (size - 1) as f64 * lease * per_second),
        at,
    );
    print_row(
        "leases at the leader",
        "messages in a second",
        &over_sizes(&|size| (size - 1) as f64 * per_second),
        at,
    );

    let report = MemberReport { zone: "zone-1".into(), load: LoadReport::default(), callers: Vec::new() };
    let report =
        encode_frame(&Wire::Subsystem { from: node(1).id, to: node(2).id, bytes: encode_payload(&report) })
            .len() as f64;
    let per_second = 1000.0 / PlannerConfig::default().period_ms;
    println!("zones: a report to the leader | bytes | {report} | {per_second:.2} a second a member");
    print_row(
        "zones: reports at the leader",
        "bytes a second",
        &over_sizes(&|size| size as f64 * report * per_second),
        at,
    );

    let heartbeat_bytes = plovershelf_codec::registry::heartbeat("backend-0920", false).len() as f64;
    println!("service registry: a heartbeat | bytes | {heartbeat_bytes} | 4 a second a backend");
    print_row(
        "service registry: heartbeats in",
        "bytes a second",
        &over_sizes(&|size| size as f64 * heartbeat_bytes * 4.0),
        at,
    );

    let leader = Some(node(0).id);
    let digest = StateDigest { epoch, commit_index: 5000, term: Term(7), leader };
    let probe = |update_count: usize| {
        let updates = (0..update_count).map(update).collect();
        envelope(NodeMessage::Gossip { message: Probe::Ping { nonce: u64::MAX / 3, updates }, digest })
    };
    println!("probes: a ping with no news, with six | bytes | {}, {}", probe(0), probe(6));
    let checksums = Probe::Digest { checksums: vec![u32::MAX / 3; 64], reply: true };
    let sync = Probe::Sync { updates: (0..GossipConfig::default().updates_per_sync).map(update).collect() };
    let [checksums, sync] =
        [checksums, sync].map(|message| envelope(NodeMessage::Gossip { message, digest }));
    println!("membership: a comparison, a part of forty | bytes | {checksums}, {sync}");

    let snapshot_bytes = |size: usize| {
        let state = ClusterState { view: view(size), ..ClusterState::default() };
        let voters = (0..3).map(|index| node(index).id).collect();
        let last = LogPosition { term: Term(7), index: 5000 };
        let snapshot = Snapshot { last, voters, voters_index: 1, state };
        envelope(NodeMessage::CommittedSnapshot { epoch, snapshot })
    };
    print_row("the view, told whole", "bytes", &over_sizes(&snapshot_bytes), at);

    let all: Vec<SocketAddr> = (0..920).map(address).collect();
    let rows = [30, 100, 300, 600, 920].map(|size: usize| {
        let list = EndpointList::from_addresses(&all[..size]);
        let mut callers: Vec<Caller> = (1..=50)
            .map(|seed| Caller::new(ClientConfig { seed, ..ClientConfig::default() }))
            .collect::<Result<_, _>>()
            .unwrap_or_else(|error| panic!("default settings: {error}"));
        let started = Instant::now();
        callers.iter_mut().for_each(|caller| caller.update_endpoints(0.0, &list));
        (size as f64, started.elapsed().as_secs_f64() * 1e6 / 50.0)
    });
    print_row("a caller of the library takes a list", "us", &rows, at);
    let subset = ClientConfig::default().subset_size as f64;
    println!(
        "callers' connections at a backend | connections | {subset} members a caller of the library, evenly | {:.0} with 13,000 callers and {at:.0} backends",
        13_000.0 * subset / at
    );
}
