//! Distribution tree: runs the state machines of the server. The address of a process encodes its index.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use plovershelf_config_distribution::{
    self as distribution, Change, DistributionConfig, Edit, Event, Message, Node, NodeInfo, QuotaTable, Role,
    Version,
};

use super::shapes::{region_of, zone_of, ORIGINS, UNKNOWN_TENANT};
use rand::RngExt;
use rand_pcg::Pcg32;

use super::{Start, Status, Strategy, EPOCH};

const FIRST_ADDRESS: u32 = 0x0a00_0000;
const PORT: u16 = 7400;
/// Every 97th process replays its events into a copy of the content, which is compared with the content at the end.
const REPLAY_EVERY: usize = 97;

/// Returns the address of a process.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from_bits(FIRST_ADDRESS + index as u32), PORT))
}

/// Returns the index of the process with an address, or an invalid index for an unknown address.
fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => address.ip().to_bits().wrapping_sub(FIRST_ADDRESS) as usize,
        SocketAddr::V6(_) => usize::MAX,
    }
}

/// Process of the tree strategy.
pub struct Tree {
    node: Node,
    /// Content that results from the node's events alone, on a few processes.
    replayed: Option<BTreeMap<String, f64>>,
}

impl Strategy for Tree {
    type Message = Message;
    type Stored = QuotaTable;
    const CONNECTION_ORIENTED: bool = true;

    fn start(start: Start<'_, QuotaTable>, now: f64) -> Self {
        let index = start.index;
        let is_origin = index < ORIGINS;
        let info = NodeInfo {
            name: if is_origin { format!("s{}", index + 1) } else { format!("n{}", index + 1 - ORIGINS) },
            zone: format!("z{}", zone_of(index) + 1),
            region: format!("r{}", region_of(index) + 1),
            address: address(index),
            incarnation: start.seed,
        };
        let table = start.stored.unwrap_or_else(|| start.fleet.content.clone());
        let replayed = (index % REPLAY_EVERY == ORIGINS).then(|| quotas_of(&table));
        let node = Node::new(
            distribution::Startup {
                node: info,
                role: if is_origin { Role::Origin } else { Role::Listener },
                origins: (0..ORIGINS).filter(|other| *other != index).map(address).collect(),
                config: DistributionConfig::default(),
                table,
                seed: start.seed,
            },
            now,
        );
        Tree { node, replayed }
    }

    fn poll_timeout(&self) -> f64 {
        self.node.poll_timeout()
    }
    fn handle_timeout(&mut self, now: f64) {
        self.node.handle_timeout(now);
    }
    fn handle_message(&mut self, now: f64, from: usize, message: Message) {
        self.node.handle_message(now, address(from), message);
    }
    fn handle_connection_lost(&mut self, now: f64, index: usize) {
        self.node.handle_connection_lost(now, address(index));
    }

    fn prepare_change(&mut self, edits: Vec<Edit>, newest: Version, unix_ms: u64) -> Result<Change, String> {
        self.node
            .prepare_change(edits, Some(newest.number), EPOCH, unix_ms)
            .map_err(|error| error.to_string())
    }

    fn handle_commit(&mut self, now: f64, change: &Rc<Change>) {
        self.node.handle_commit(now, (**change).clone());
    }

    fn poll_messages(&mut self, send: &mut Vec<(usize, Message)>) {
        let actions = self.node.poll_actions();
        send.extend(actions.messages.into_iter().map(|(to, message)| (index_of(to), message)));
        let Some(replayed) = &mut self.replayed else { return };
        for event in actions.events {
            match event {
                Event::DeltaApplied { edits, .. } => {
                    for edit in edits {
                        match edit.quota_per_s() {
                            Some(quota) => drop(replayed.insert(edit.tenant().into(), quota)),
                            None => drop(replayed.remove(edit.tenant())),
                        }
                    }
                }
                Event::SnapshotApplied { .. } => *replayed = quotas_of(self.node.table()),
                Event::Warning(_) => {}
            }
        }
    }

    fn corrupt(message: &mut Message, rng: &mut Pcg32) {
        let Message::Delta(changes) = message else { return };
        let Some(change) = changes.last_mut() else { return };
        if rng.random_bool(0.5) {
            change.edits.push(Edit::Add { tenant: UNKNOWN_TENANT.into(), quota_per_s: -1.0 });
        } else if let Some(Edit::Set { quota_per_s, .. } | Edit::Add { quota_per_s, .. }) =
            change.edits.last_mut()
        {
            *quota_per_s += 1.0;
        }
    }
    fn has_tenant(&self, tenant: &str) -> bool {
        self.node.table().quota_per_s(tenant).is_some()
    }
    fn unencoded_bytes(_message: &Message) -> usize {
        0
    }
    fn version(&self) -> Version {
        self.node.table().version()
    }
    fn digest(&self) -> Option<u128> {
        Some(self.node.table().digest())
    }

    fn differs_from(&self, expected: &BTreeMap<String, f64>) -> bool {
        let table = self.node.table();
        let same = table.len() == expected.len()
            && table
                .iter()
                .zip(expected)
                .all(|(actual, expected)| actual.0 == expected.0 && actual.1 == *expected.1);
        !same || self.replayed.as_ref().is_some_and(|replayed| replayed != expected)
    }

    fn status(&self, now: f64) -> Status {
        let status = self.node.status(now);
        Status {
            children: status.children,
            parent: status.parent.map(index_of),
            age_ms: status.age_ms,
            under: status.nodes,
            in_force: status.up_to_date,
        }
    }

    fn into_stored(self) -> Option<QuotaTable> {
        Some(self.node.table().clone())
    }
}

fn quotas_of(table: &QuotaTable) -> BTreeMap<String, f64> {
    table.iter().map(|(tenant, quota)| (tenant.to_string(), quota)).collect()
}
