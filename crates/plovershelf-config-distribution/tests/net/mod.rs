//! A small network in simulated time, with origins whose consensus group commits changes, listeners in zones, and
//! connections with delays, losses, partitions and resets. After each input to a node, the guarantees are checked
//! against the committed changes.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;

use plovershelf_config_distribution::{
    Change, DistributionConfig, Edit, Event, Message, Node, NodeInfo, QuotaTable, Role, Startup, Version,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

pub(crate) struct Net {
    pub now: f64,
    pub rng: Pcg32,
    pub slots: Vec<Slot>,
    pub origins: usize,
    /// The committed table of each version.
    pub committed_tables: BTreeMap<Version, QuotaTable>,
    pub committed_changes: Vec<Change>,
    pub initial: QuotaTable,
    pub config: DistributionConfig,
    pub delay_ms: (f64, f64),
    pub loss: f64,
    /// Fraction of messages that are delivered a second time, later.
    pub duplicate_rate: f64,
    /// Applied to each message in transit.
    pub corrupt: Option<fn(&mut Message, &mut Pcg32)>,
    /// Pairs of groups that can't reach each other.
    pub partitions: Vec<(usize, usize)>,
    pub warnings: Vec<String>,
    /// Violations of the guarantees.
    pub violations: Vec<String>,
    /// Bytes and messages sent by each slot since counting started.
    pub bytes: Vec<u64>,
    pub messages: Vec<u64>,
    pub count_bytes: bool,
    /// The times at which each version first and last took effect on a node.
    pub in_force: BTreeMap<Version, (f64, f64)>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    queued_events: HashMap<u64, QueuedEvent>,
    next_event: u64,
    last_arrival_ms: HashMap<(usize, usize), f64>,
    incarnations: u64,
}

pub(crate) struct Slot {
    pub address: SocketAddr,
    pub role: Role,
    pub zone: String,
    pub region: String,
    pub group: usize,
    pub node: Option<Node>,
    /// The node gets no input before this time, like a paused process; its input is delayed.
    pub paused_until: f64,
    /// The version at which the table was last compared with the committed one.
    checked_version: Option<Version>,
    event_quotas: BTreeMap<String, f64>,
    version: Version,
    next_timeout_ms: f64,
}

enum QueuedEvent {
    Timer(usize),
    Message(usize, usize, Box<Message>),
    ConnectionLost(usize, SocketAddr),
    Committed(usize, Box<Change>),
}

impl Net {
    /// Creates a network with two regions and origins in both.
    pub(crate) fn new(
        seed: u64,
        origins: usize,
        listeners: usize,
        zones: usize,
        config: DistributionConfig,
    ) -> Net {
        let list = (0..30).map(|index| (format!("tenant-{index}"), 10.0 + f64::from(index)));
        Net::with(QuotaTable::initial(list).unwrap(), seed, origins, listeners, zones, config)
    }
    pub(crate) fn with(
        initial: QuotaTable,
        seed: u64,
        origins: usize,
        listeners: usize,
        zones: usize,
        config: DistributionConfig,
    ) -> Net {
        let mut net = Net {
            now: 0.0,
            rng: Pcg32::seed_from_u64(seed),
            slots: Vec::new(),
            origins,
            committed_tables: BTreeMap::from([(Version::default(), initial.clone())]),
            committed_changes: Vec::new(),
            initial,
            config,
            delay_ms: (0.2, 5.0),
            loss: 0.0,
            duplicate_rate: 0.0,
            corrupt: None,
            partitions: Vec::new(),
            warnings: Vec::new(),
            violations: Vec::new(),
            bytes: vec![0; origins + listeners],
            messages: vec![0; origins + listeners],
            count_bytes: false,
            in_force: BTreeMap::new(),
            queue: BinaryHeap::new(),
            queued_events: HashMap::new(),
            next_event: 0,
            last_arrival_ms: HashMap::new(),
            incarnations: 0,
        };
        for index in 0..origins + listeners {
            let origin = index < origins;
            let zone = if origin { index % zones } else { (index - origins) % zones };
            let region = zone * 2 / zones.max(2);
            net.slots.push(Slot {
                address: SocketAddr::from(([127, 0, (index / 250) as u8, (index % 250) as u8 + 1], 4000)),
                role: if origin { Role::Origin } else { Role::Listener },
                zone: format!("zone-{zone}"),
                region: format!("region-{region}"),
                group: region,
                node: None,
                paused_until: 0.0,
                checked_version: None,
                event_quotas: BTreeMap::new(),
                version: Version::default(),
                next_timeout_ms: f64::INFINITY,
            });
        }
        for index in 0..origins + listeners {
            net.start(index, None);
        }
        net
    }
    pub(crate) fn start(&mut self, index: usize, table: Option<QuotaTable>) {
        self.incarnations += 1;
        let table = table.unwrap_or_else(|| self.initial.clone());
        let origins = self.slots[..self.origins].iter().map(|slot| slot.address).collect();
        let slot = &mut self.slots[index];
        slot.version = table.version();
        slot.next_timeout_ms = f64::INFINITY;
        slot.checked_version = None;
        slot.event_quotas = table.iter().map(|(name, quota)| (name.to_string(), quota)).collect();
        let node = NodeInfo {
            name: format!("process-{index}"),
            zone: slot.zone.clone(),
            region: slot.region.clone(),
            address: slot.address,
            incarnation: self.incarnations,
        };
        let seed = self.rng.random();
        let (role, config) = (slot.role, self.config.clone());
        let startup = Startup { node, role, origins, config, table, seed };
        slot.node = Some(Node::new(startup, self.now));
        slot.paused_until = 0.0;
        self.after_input(index);
    }
    /// Stops a node without notice and returns its table. If `notify_peers` is set, peers that can reach it get a lost
    /// connection; otherwise they get no signal, as after a machine failure.
    pub(crate) fn kill(&mut self, index: usize, notify_peers: bool) -> Option<QuotaTable> {
        let node = self.slots[index].node.take()?;
        if notify_peers {
            let address = self.slots[index].address;
            for other in 0..self.slots.len() {
                if other != index && self.slots[other].node.is_some() && self.can_reach(index, other) {
                    let delay_ms = self.delay();
                    self.push(self.now + delay_ms, QueuedEvent::ConnectionLost(other, address));
                }
            }
        }
        Some(node.table().clone())
    }
    pub(crate) fn node(&self, index: usize) -> &Node {
        self.slots[index].node.as_ref().unwrap()
    }
    pub(crate) fn can_reach(&self, a: usize, b: usize) -> bool {
        let (a, b) = (self.slots[a].group, self.slots[b].group);
        !self.partitions.iter().any(|pair| *pair == (a, b) || *pair == (b, a))
    }
    fn delay(&mut self) -> f64 {
        self.rng.random_range(self.delay_ms.0..=self.delay_ms.1)
    }
    fn push(&mut self, due_ms: f64, event: QueuedEvent) {
        self.next_event += 1;
        self.queued_events.insert(self.next_event, event);
        self.queue.push(Reverse(((due_ms * 1000.0).ceil() as u64, self.next_event)));
    }
    /// Proposes a change at an origin and commits it if that origin can reach a majority of the origins.
    pub(crate) fn propose(&mut self, index: usize, edits: Vec<Edit>) -> Result<Version, String> {
        let node = self.slots[index].node.as_ref().ok_or("origin is down")?;
        let change =
            node.prepare_change(edits, None, 1, self.now as u64).map_err(|error| error.to_string())?;
        let is_reachable = |other: &usize| self.slots[*other].node.is_some() && self.can_reach(index, *other);
        let reachable_origins: Vec<usize> = (0..self.origins).filter(is_reachable).collect();
        if 2 * reachable_origins.len() <= self.origins {
            return Err("no majority".to_string());
        }
        let newest = self.committed_changes.last().map(|change| change.version).unwrap_or_default();
        if change.previous != newest {
            return Err("a concurrent change was committed first".to_string());
        }
        let mut table = self.committed_tables[&change.previous].clone();
        table.apply(&change).unwrap();
        self.committed_tables.insert(change.version, table);
        self.committed_changes.push(change.clone());
        for other in reachable_origins {
            let delay_ms = self.delay() * 3.0;
            self.push(self.now + delay_ms, QueuedEvent::Committed(other, Box::new(change.clone())));
        }
        Ok(change.version)
    }
    pub(crate) fn random_edits(&mut self) -> Vec<Edit> {
        let mut edits: BTreeMap<String, Edit> = BTreeMap::new();
        for _ in 0..self.rng.random_range(1..4) {
            let tenant = format!("tenant-{}", self.rng.random_range(0..60));
            let quota_per_s = f64::from(self.rng.random_range(0..100_000u32));
            let newest = self.committed_tables.values().next_back().unwrap();
            let edit = match newest.quota_per_s(&tenant) {
                None => Edit::Add { tenant: tenant.clone(), quota_per_s },
                Some(_) if self.rng.random_bool(0.2) => Edit::Remove { tenant: tenant.clone() },
                Some(_) => Edit::Set { tenant: tenant.clone(), quota_per_s },
            };
            edits.insert(tenant, edit);
        }
        edits.into_values().collect()
    }
    pub(crate) fn newest(&self) -> Version {
        *self.committed_tables.keys().next_back().unwrap()
    }
    /// Processes all events up to this time.
    pub(crate) fn run(&mut self, until: f64) {
        while let Some(Reverse((due_us, key))) = self.queue.peek().copied() {
            let due_ms = due_us as f64 / 1000.0;
            if due_ms > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(due_ms);
            let Some(event) = self.queued_events.remove(&key) else { continue };
            self.process_event(event);
        }
        self.now = until;
    }
    fn process_event(&mut self, event: QueuedEvent) {
        let now = self.now;
        let to = match &event {
            QueuedEvent::Timer(to)
            | QueuedEvent::Message(to, ..)
            | QueuedEvent::ConnectionLost(to, _)
            | QueuedEvent::Committed(to, _) => *to,
        };
        let slot = &mut self.slots[to];
        if now < slot.paused_until {
            let until = slot.paused_until;
            self.push(until, event);
            return;
        }
        let Some(node) = &mut slot.node else { return };
        match event {
            QueuedEvent::Timer(_) => {
                if slot.next_timeout_ms > now + 0.001 {
                    return;
                }
                slot.next_timeout_ms = f64::INFINITY;
                node.handle_timeout(now);
            }
            QueuedEvent::Message(_, from, message) => {
                if !self.can_reach(from, to) {
                    return;
                }
                let address = self.slots[from].address;
                self.slots[to].node.as_mut().unwrap().handle_message(now, address, *message);
            }
            QueuedEvent::ConnectionLost(_, address) => node.handle_connection_lost(now, address),
            QueuedEvent::Committed(_, change) => node.handle_commit(now, *change),
        }
        self.after_input(to);
    }
    /// Executes a node's actions after an input, and checks its table.
    fn after_input(&mut self, index: usize) {
        let node = self.slots[index].node.as_mut().unwrap();
        let actions = node.poll_actions();
        let next = node.poll_timeout().max(self.now + 1.0);
        self.check_events(index, actions.events);
        self.check_table(index);
        if next < self.slots[index].next_timeout_ms {
            self.slots[index].next_timeout_ms = next;
            self.push(next, QueuedEvent::Timer(index));
        }
        self.send_all(index, actions.messages);
    }

    /// Checks the events of a node against its previous version and table.
    fn check_events(&mut self, index: usize, events: Vec<Event>) {
        let slot = &mut self.slots[index];
        let node = slot.node.as_ref().unwrap();
        for event in events {
            match event {
                Event::DeltaApplied { version, edits } => {
                    if version <= slot.version {
                        self.violations
                            .push(format!("NEVER_BACKWARDS: {index} from {} to {version}", slot.version));
                    }
                    for edit in edits {
                        let is_known = slot.event_quotas.contains_key(edit.tenant());
                        let is_valid_quota =
                            edit.quota_per_s().is_none_or(|quota| quota.is_finite() && quota >= 0.0);
                        if !is_valid_quota || is_known == matches!(edit, Edit::Add { .. }) {
                            self.violations.push(format!("BAD_CHANGES_NOTHING: {index} applied {edit}"));
                        }
                        match edit.quota_per_s() {
                            Some(quota) => slot.event_quotas.insert(edit.tenant().to_string(), quota),
                            None => slot.event_quotas.remove(edit.tenant()),
                        };
                    }
                    slot.version = version;
                    let times = self.in_force.entry(version).or_insert((self.now, self.now));
                    times.1 = self.now;
                }
                Event::SnapshotApplied { version } => {
                    if version < slot.version {
                        self.violations
                            .push(format!("NEVER_BACKWARDS: {index} from {} to {version}", slot.version));
                    }
                    slot.version = version;
                    slot.event_quotas =
                        node.table().iter().map(|(name, quota)| (name.to_string(), quota)).collect();
                }
                Event::Warning(warning) => self.warnings.push(format!("{index}: {warning}")),
            }
        }
    }

    /// Checks a node's table against the committed one and against the edits in its events.
    fn check_table(&mut self, index: usize) {
        let slot = &mut self.slots[index];
        let node = slot.node.as_ref().unwrap();
        let version = node.table().version();
        if version != slot.version {
            self.violations.push(format!("CUT_OFF_SERVES_ON: {index} has {version} without an event"));
        }
        match self.committed_tables.get(&version) {
            None => self
                .violations
                .push(format!("ONE_CONTENT_A_NUMBER: {index} has {version}, which was never committed")),
            Some(committed) if committed.digest() != node.table().digest() => {
                self.violations
                    .push(format!("ONE_CONTENT_A_NUMBER: {index} has a different table under {version}"));
            }
            Some(committed) if slot.checked_version != Some(version) => {
                slot.checked_version = Some(version);
                let matches_events = committed.len() == slot.event_quotas.len()
                    && committed.iter().zip(&slot.event_quotas).all(|(a, b)| a == (&**b.0, *b.1));
                if !matches_events {
                    self.violations.push(format!(
                        "BAD_CHANGES_NOTHING: {index}, {version}: its events lead to a different table"
                    ));
                }
            }
            Some(_) => {}
        }
    }

    /// Sends a node's messages with the configured loss, duplication, corruption and delay.
    fn send_all(&mut self, index: usize, messages: Vec<(SocketAddr, Message)>) {
        for (to, mut message) in messages {
            if self.count_bytes {
                self.bytes[index] += postcard::to_stdvec(&message).unwrap().len() as u64;
                self.messages[index] += 1;
            }
            let Some(to) = self.slots.iter().position(|slot| slot.address == to) else { continue };
            if !self.can_reach(index, to) || (self.loss > 0.0 && self.rng.random_bool(self.loss)) {
                continue;
            }
            if self.slots[to].node.is_none() {
                // The receiver has stopped, so the sender may get a lost connection.
                if self.rng.random_bool(0.5) {
                    let delay_ms = self.delay();
                    self.push(
                        self.now + delay_ms,
                        QueuedEvent::ConnectionLost(index, self.slots[to].address),
                    );
                }
                continue;
            }
            if let Some(corrupt) = self.corrupt {
                corrupt(&mut message, &mut self.rng);
            }
            if self.duplicate_rate > 0.0 && self.rng.random_bool(self.duplicate_rate) {
                let duplicate_arrives = self.now + self.rng.random_range(10.0..2000.0);
                self.push(duplicate_arrives, QueuedEvent::Message(to, index, Box::new(message.clone())));
            }
            let arrives = self.now + self.delay();
            let last = self.last_arrival_ms.get(&(index, to)).copied().unwrap_or(0.0);
            let arrives = arrives.max(last + 0.001);
            self.last_arrival_ms.insert((index, to), arrives);
            self.push(arrives, QueuedEvent::Message(to, index, Box::new(message)));
        }
    }
    /// Returns the running nodes that do not have the newest version in force.
    pub(crate) fn behind(&self) -> Vec<usize> {
        let newest = self.newest();
        let is_behind = |slot: &Slot| slot.node.as_ref().is_some_and(|node| node.table().version() != newest);
        (0..self.slots.len()).filter(|index| is_behind(&self.slots[*index])).collect()
    }
    pub(crate) fn check(&self) {
        assert!(
            self.violations.is_empty(),
            "{} violations, first: {:?}",
            self.violations.len(),
            self.violations.first()
        );
    }
    /// Returns a line of status per node for assertion messages.
    pub(crate) fn describe(&self) -> String {
        let mut lines = String::new();
        for slot in &self.slots {
            let Some(node) = &slot.node else { continue };
            let status = node.status(self.now);
            lines += &format!(
                "{} {} {} parent {:?} backup {:?} children {} nodes {} up to date {} age {:?} relay {}\n",
                status.name,
                slot.zone,
                status.version,
                status.parent,
                status.backup_parent,
                status.children,
                status.nodes,
                status.up_to_date,
                status.age_ms,
                node.is_relay()
            );
        }
        lines
    }
}
