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
    pub truth: BTreeMap<Version, QuotaTable>,
    pub decided: Vec<Change>,
    pub initial: QuotaTable,
    pub config: DistributionConfig,
    pub delay_ms: (f64, f64),
    pub loss: f64,
    /// Fraction of messages that are delivered a second time, later.
    pub doubled: f64,
    /// Applied to each message in transit.
    pub mangle: Option<fn(&mut Message, &mut Pcg32)>,
    /// Pairs of groups that can't reach each other.
    pub cut: Vec<(usize, usize)>,
    pub notes: Vec<String>,
    /// Violations of the guarantees.
    pub violations: Vec<String>,
    /// Bytes and messages sent by each slot since counting started.
    pub bytes: Vec<u64>,
    pub messages: Vec<u64>,
    pub count_bytes: bool,
    /// The times at which each version first and last took effect on a node.
    pub in_force: BTreeMap<Version, (f64, f64)>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    what: HashMap<u64, What>,
    next: u64,
    last_at: HashMap<(usize, usize), f64>,
    lives: u64,
}

pub(crate) struct Slot {
    pub address: SocketAddr,
    pub role: Role,
    pub zone: String,
    pub region: String,
    pub group: usize,
    pub node: Option<Node>,
    /// The node gets no input before this time, like a paused process; its input is delayed.
    pub stopped_until: f64,
    /// The version at which the table was last compared with the committed one.
    checked: Option<Version>,
    shadow_list: BTreeMap<String, f64>,
    version: Version,
    timer: f64,
}

enum What {
    Timer(usize),
    Message(usize, usize, Box<Message>),
    Lost(usize, SocketAddr),
    Agreed(usize, Box<Change>),
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
        let list = (0..30).map(|at| (format!("tenant-{at}"), 10.0 + f64::from(at)));
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
            truth: BTreeMap::from([(Version::default(), initial.clone())]),
            decided: Vec::new(),
            initial,
            config,
            delay_ms: (0.2, 5.0),
            loss: 0.0,
            doubled: 0.0,
            mangle: None,
            cut: Vec::new(),
            notes: Vec::new(),
            violations: Vec::new(),
            bytes: vec![0; origins + listeners],
            messages: vec![0; origins + listeners],
            count_bytes: false,
            in_force: BTreeMap::new(),
            queue: BinaryHeap::new(),
            what: HashMap::new(),
            next: 0,
            last_at: HashMap::new(),
            lives: 0,
        };
        for at in 0..origins + listeners {
            let origin = at < origins;
            let zone = if origin { at % zones } else { (at - origins) % zones };
            let region = zone * 2 / zones.max(2);
            net.slots.push(Slot {
                address: SocketAddr::from(([127, 0, (at / 250) as u8, (at % 250) as u8 + 1], 4000)),
                role: if origin { Role::Origin } else { Role::Listener },
                zone: format!("zone-{zone}"),
                region: format!("region-{region}"),
                group: region,
                node: None,
                stopped_until: 0.0,
                checked: None,
                shadow_list: BTreeMap::new(),
                version: Version::default(),
                timer: f64::INFINITY,
            });
        }
        for at in 0..origins + listeners {
            net.start(at, None);
        }
        net
    }
    pub(crate) fn start(&mut self, at: usize, held: Option<QuotaTable>) {
        self.lives += 1;
        let held = held.unwrap_or_else(|| self.initial.clone());
        let origins = self.slots[..self.origins].iter().map(|slot| slot.address).collect();
        let slot = &mut self.slots[at];
        slot.version = held.version();
        slot.timer = f64::INFINITY;
        slot.checked = None;
        slot.shadow_list = held.iter().map(|(name, quota)| (name.to_string(), quota)).collect();
        let node = NodeInfo {
            name: format!("process-{at}"),
            zone: slot.zone.clone(),
            region: slot.region.clone(),
            address: slot.address,
            incarnation: self.lives,
        };
        let seed = self.rng.random();
        let (role, config) = (slot.role, self.config.clone());
        let startup = Startup { node, role, origins, config, table: held, seed };
        slot.node = Some(Node::new(startup, self.now));
        slot.stopped_until = 0.0;
        self.called(at);
    }
    /// Stops a node without notice and returns its table. If `told`, peers that can reach it get a lost connection;
    /// otherwise they get no signal, as after a machine failure.
    pub(crate) fn kill(&mut self, at: usize, told: bool) -> Option<QuotaTable> {
        let node = self.slots[at].node.take()?;
        if told {
            let address = self.slots[at].address;
            for other in 0..self.slots.len() {
                if other != at && self.slots[other].node.is_some() && self.reach(at, other) {
                    let in_ms = self.delay();
                    self.push(self.now + in_ms, What::Lost(other, address));
                }
            }
        }
        Some(node.table().clone())
    }
    pub(crate) fn node(&self, at: usize) -> &Node {
        self.slots[at].node.as_ref().unwrap()
    }
    pub(crate) fn reach(&self, a: usize, b: usize) -> bool {
        let (a, b) = (self.slots[a].group, self.slots[b].group);
        !self.cut.iter().any(|cut| *cut == (a, b) || *cut == (b, a))
    }
    fn delay(&mut self) -> f64 {
        self.rng.random_range(self.delay_ms.0..=self.delay_ms.1)
    }
    fn push(&mut self, at: f64, what: What) {
        self.next += 1;
        self.what.insert(self.next, what);
        self.queue.push(Reverse(((at * 1000.0).ceil() as u64, self.next)));
    }
    /// Proposes a change at an origin and commits it if that origin can reach a majority of the running origins.
    pub(crate) fn propose(&mut self, at: usize, edits: Vec<Edit>) -> Result<Version, String> {
        let node = self.slots[at].node.as_ref().ok_or("down")?;
        let change =
            node.prepare_change(edits, None, 1, self.now as u64).map_err(|error| error.to_string())?;
        let up = |other: &usize| self.slots[*other].node.is_some() && self.reach(at, *other);
        let majority: Vec<usize> = (0..self.origins).filter(up).collect();
        if 2 * majority.len() <= self.origins {
            return Err("no majority".to_string());
        }
        let newest = self.decided.last().map(|change| change.version).unwrap_or_default();
        if change.previous != newest {
            return Err("another was first".to_string());
        }
        let mut table = self.truth[&change.previous].clone();
        table.apply(&change).unwrap();
        self.truth.insert(change.version, table);
        self.decided.push(change.clone());
        for other in majority {
            let in_ms = self.delay() * 3.0;
            self.push(self.now + in_ms, What::Agreed(other, Box::new(change.clone())));
        }
        Ok(change.version)
    }
    pub(crate) fn random_edits(&mut self) -> Vec<Edit> {
        let mut edits: BTreeMap<String, Edit> = BTreeMap::new();
        for _ in 0..self.rng.random_range(1..4) {
            let tenant = format!("tenant-{}", self.rng.random_range(0..60));
            let quota_per_s = f64::from(self.rng.random_range(0..100_000u32));
            let newest = self.truth.values().next_back().unwrap();
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
        *self.truth.keys().next_back().unwrap()
    }
    /// Processes all events up to this time.
    pub(crate) fn run(&mut self, until: f64) {
        while let Some(Reverse((at, key))) = self.queue.peek().copied() {
            let at = at as f64 / 1000.0;
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            let Some(what) = self.what.remove(&key) else { continue };
            self.happen(what);
        }
        self.now = until;
    }
    fn happen(&mut self, what: What) {
        let now = self.now;
        let to = match &what {
            What::Timer(to) | What::Message(to, ..) | What::Lost(to, _) | What::Agreed(to, _) => *to,
        };
        let slot = &mut self.slots[to];
        if now < slot.stopped_until {
            let until = slot.stopped_until;
            self.push(until, what);
            return;
        }
        let Some(node) = &mut slot.node else { return };
        match what {
            What::Timer(_) => {
                if slot.timer > now + 0.001 {
                    return;
                }
                slot.timer = f64::INFINITY;
                node.handle_timeout(now);
            }
            What::Message(_, from, message) => {
                if !self.reach(from, to) {
                    return;
                }
                let address = self.slots[from].address;
                self.slots[to].node.as_mut().unwrap().handle_message(now, address, *message);
            }
            What::Lost(_, address) => node.handle_connection_lost(now, address),
            What::Agreed(_, change) => node.handle_commit(now, *change),
        }
        self.called(to);
    }
    /// Executes a node's actions after an input, and checks its table.
    fn called(&mut self, at: usize) {
        let node = self.slots[at].node.as_mut().unwrap();
        let actions = node.poll_actions();
        let next = node.poll_timeout().max(self.now + 1.0);
        self.check_events(at, actions.events);
        self.check_table(at);
        if next < self.slots[at].timer {
            self.slots[at].timer = next;
            self.push(next, What::Timer(at));
        }
        self.send_all(at, actions.messages);
    }

    /// Checks the events of a node against its previous version and table.
    fn check_events(&mut self, at: usize, events: Vec<Event>) {
        let slot = &mut self.slots[at];
        let node = slot.node.as_ref().unwrap();
        for event in events {
            match event {
                Event::DeltaApplied { version, edits } => {
                    if version <= slot.version {
                        self.violations
                            .push(format!("NEVER_BACKWARDS: {at} from {} to {version}", slot.version));
                    }
                    for edit in edits {
                        let known = slot.shadow_list.contains_key(edit.tenant());
                        let figure = edit.quota_per_s().is_none_or(|quota| quota.is_finite() && quota >= 0.0);
                        if !figure || known == matches!(edit, Edit::Add { .. }) {
                            self.violations.push(format!("BAD_CHANGES_NOTHING: {at} has {edit} in force"));
                        }
                        match edit.quota_per_s() {
                            Some(quota) => slot.shadow_list.insert(edit.tenant().to_string(), quota),
                            None => slot.shadow_list.remove(edit.tenant()),
                        };
                    }
                    slot.version = version;
                    let seen = self.in_force.entry(version).or_insert((self.now, self.now));
                    seen.1 = self.now;
                }
                Event::SnapshotApplied { version } => {
                    if version < slot.version {
                        self.violations
                            .push(format!("NEVER_BACKWARDS: {at} from {} to {version}", slot.version));
                    }
                    slot.version = version;
                    slot.shadow_list =
                        node.table().iter().map(|(name, quota)| (name.to_string(), quota)).collect();
                }
                Event::Warning(warning) => self.notes.push(format!("{at}: {warning}")),
            }
        }
    }

    /// Checks a node's table against the committed one and against the edits in its events.
    fn check_table(&mut self, at: usize) {
        let slot = &mut self.slots[at];
        let node = slot.node.as_ref().unwrap();
        let version = node.table().version();
        if version != slot.version {
            self.violations.push(format!("CUT_OFF_SERVES_ON: {at} has {version} without a word of it"));
        }
        match self.truth.get(&version) {
            None => self.violations.push(format!("ONE_CONTENT_A_NUMBER: {at} has {version}, never agreed")),
            Some(truth) if truth.digest() != node.table().digest() => {
                self.violations.push(format!("ONE_CONTENT_A_NUMBER: {at} has another content of {version}"));
            }
            Some(truth) if slot.checked != Some(version) => {
                slot.checked = Some(version);
                let same = truth.len() == slot.shadow_list.len()
                    && truth.iter().zip(&slot.shadow_list).all(|(a, b)| a == (&**b.0, *b.1));
                if !same {
                    self.violations
                        .push(format!("BAD_CHANGES_NOTHING: {at}, {version}: its events tell another"));
                }
            }
            Some(_) => {}
        }
    }

    /// Sends a node's messages with the configured loss, duplication, corruption and delay.
    fn send_all(&mut self, at: usize, messages: Vec<(SocketAddr, Message)>) {
        for (to, mut message) in messages {
            if self.count_bytes {
                self.bytes[at] += postcard::to_stdvec(&message).unwrap().len() as u64;
                self.messages[at] += 1;
            }
            let Some(to) = self.slots.iter().position(|slot| slot.address == to) else { continue };
            if !self.reach(at, to) || (self.loss > 0.0 && self.rng.random_bool(self.loss)) {
                continue;
            }
            if self.slots[to].node.is_none() {
                // The receiver has stopped, so the sender may get a lost connection.
                if self.rng.random_bool(0.5) {
                    let in_ms = self.delay();
                    self.push(self.now + in_ms, What::Lost(at, self.slots[to].address));
                }
                continue;
            }
            if let Some(mangle) = self.mangle {
                mangle(&mut message, &mut self.rng);
            }
            if self.doubled > 0.0 && self.rng.random_bool(self.doubled) {
                let late = self.now + self.rng.random_range(10.0..2000.0);
                self.push(late, What::Message(to, at, Box::new(message.clone())));
            }
            let arrives = self.now + self.delay();
            let last = self.last_at.get(&(at, to)).copied().unwrap_or(0.0);
            let arrives = arrives.max(last + 0.001);
            self.last_at.insert((at, to), arrives);
            self.push(arrives, What::Message(to, at, Box::new(message)));
        }
    }
    /// Returns the running nodes that do not have the newest version in force.
    pub(crate) fn behind(&self) -> Vec<usize> {
        let newest = self.newest();
        let late = |slot: &Slot| slot.node.as_ref().is_some_and(|node| node.table().version() != newest);
        (0..self.slots.len()).filter(|at| late(&self.slots[*at])).collect()
    }
    pub(crate) fn check(&self) {
        assert!(
            self.violations.is_empty(),
            "{} broken, first: {:?}",
            self.violations.len(),
            self.violations.first()
        );
    }
    /// Returns a line of status per node for assertion messages.
    pub(crate) fn show(&self) -> String {
        let mut lines = String::new();
        for slot in &self.slots {
            let Some(node) = &slot.node else { continue };
            let status = node.status(self.now);
            lines += &format!(
                "{} {} {} parent {:?} spare {:?} children {} under {} in force {} age {:?} relay {}\n",
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
