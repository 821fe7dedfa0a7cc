//! The mechanism: the very state machines that serve, each at an address that stands for its place.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use plovershelf_config_distribution::{
    self as distribution, Change, DistributionConfig, Edit, Event, Message, Node, NodeInfo, QuotaTable, Role,
    Version,
};

use super::shapes::{region_of, zone_of, NOBODY, SOURCES};
use rand::RngExt;
use rand_pcg::Pcg32;

use super::{Hands, Start, Way, ERA};

const FIRST: u32 = 0x0a00_0000;
const PORT: u16 = 7400;
/// Of so many listeners one is followed by its events alone.
const FOLLOWED: usize = 97;

pub fn address(place: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from_bits(FIRST + place as u32), PORT))
}

/// An address that is nobody's becomes a place that nobody has.
fn place_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(of) => of.ip().to_bits().wrapping_sub(FIRST) as usize,
        SocketAddr::V6(_) => usize::MAX,
    }
}

pub struct Tree {
    node: Node,
    /// What events alone make of the content, on a few.
    followed: Option<BTreeMap<String, f64>>,
}

impl Way for Tree {
    type Message = Message;
    type Kept = QuotaTable;
    const LINKS: bool = true;

    fn start(start: Start<'_, QuotaTable>, now: f64) -> Self {
        let place = start.place;
        let source = place < SOURCES;
        let info = NodeInfo {
            name: if source { format!("s{}", place + 1) } else { format!("n{}", place + 1 - SOURCES) },
            zone: format!("z{}", zone_of(place) + 1),
            region: format!("r{}", region_of(place) + 1),
            address: address(place),
            incarnation: start.seed,
        };
        let held = start.kept.unwrap_or_else(|| start.ground.content.clone());
        let followed = (place % FOLLOWED == SOURCES).then(|| listed(&held));
        let node = Node::new(
            distribution::Startup {
                node: info,
                role: if source { Role::Origin } else { Role::Listener },
                origins: (0..SOURCES).filter(|other| *other != place).map(address).collect(),
                config: DistributionConfig::default(),
                table: held,
                seed: start.seed,
            },
            now,
        );
        Tree { node, followed }
    }

    fn next_at(&self) -> f64 {
        self.node.poll_timeout()
    }
    fn tick(&mut self, now: f64) {
        self.node.handle_timeout(now);
    }
    fn hear(&mut self, now: f64, from: usize, message: Message) {
        self.node.handle_message(now, address(from), message);
    }
    fn lost(&mut self, now: f64, place: usize) {
        self.node.handle_connection_lost(now, address(place));
    }

    fn prepare(&mut self, edits: Vec<Edit>, newest: Version, unix_ms: u64) -> Result<Change, String> {
        self.node.prepare_change(edits, Some(newest.number), ERA, unix_ms).map_err(|error| error.to_string())
    }

    fn agreed(&mut self, now: f64, change: &Rc<Change>) {
        self.node.handle_commit(now, (**change).clone());
    }

    fn take(&mut self, send: &mut Vec<(usize, Message)>) {
        let actions = self.node.poll_actions();
        send.extend(actions.messages.into_iter().map(|(to, message)| (place_of(to), message)));
        let Some(followed) = &mut self.followed else { return };
        for event in actions.events {
            match event {
                Event::DeltaApplied { edits, .. } => {
                    for edit in edits {
                        match edit.quota_per_s() {
                            Some(quota) => drop(followed.insert(edit.tenant().into(), quota)),
                            None => drop(followed.remove(edit.tenant())),
                        }
                    }
                }
                Event::SnapshotApplied { .. } => *followed = listed(self.node.table()),
                Event::Warning(_) => {}
            }
        }
    }

    fn mangle(message: &mut Message, chance: &mut Pcg32) {
        let Message::Delta(changes) = message else { return };
        let Some(change) = changes.last_mut() else { return };
        if chance.random_bool(0.5) {
            change.edits.push(Edit::Add { tenant: NOBODY.into(), quota_per_s: -1.0 });
        } else if let Some(Edit::Set { quota_per_s, .. } | Edit::Add { quota_per_s, .. }) =
            change.edits.last_mut()
        {
            *quota_per_s += 1.0;
        }
    }
    fn holds(&self, tenant: &str) -> bool {
        self.node.table().quota_per_s(tenant).is_some()
    }
    fn beside(_message: &Message) -> usize {
        0
    }
    fn version(&self) -> Version {
        self.node.table().version()
    }
    fn digest(&self) -> Option<u128> {
        Some(self.node.table().digest())
    }

    fn differs(&self, from: &BTreeMap<String, f64>) -> bool {
        let content = self.node.table();
        let same = content.len() == from.len()
            && content.iter().zip(from).all(|(held, told)| held.0 == told.0 && held.1 == *told.1);
        !same || self.followed.as_ref().is_some_and(|followed| followed != from)
    }

    fn hands(&self, now: f64) -> Hands {
        let status = self.node.status(now);
        Hands {
            children: status.children,
            parent: status.parent.map(place_of),
            age_ms: status.age_ms,
            under: status.nodes,
            in_force: status.up_to_date,
        }
    }

    fn keep(self) -> Option<QuotaTable> {
        Some(self.node.table().clone())
    }
}

fn listed(content: &QuotaTable) -> BTreeMap<String, f64> {
    content.iter().map(|(tenant, quota)| (tenant.to_string(), quota)).collect()
}
