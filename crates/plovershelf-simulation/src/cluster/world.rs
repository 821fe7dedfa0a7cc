//! Groups on simulated time: the code that serves, many members, a schedule of faults, and an audit that looks on.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use plovershelf_cluster::consensus::{PersistentState, Role};
use plovershelf_cluster::gossip::{MemberState, NodeInfo};
use plovershelf_cluster::wire::{frame_size, Envelope};
use plovershelf_cluster::{ClusterNode, ClusterState, Event as NodeEvent, NodeConfig, NodeId, Startup};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::audit::{Audit, Event, Seen};
use crate::net::{Net, Queue};
use crate::schedule::{third, Fault, Folder, Schedule, Step, CALM_MS};
use crate::statistics::Spread;

/// What a run is like.
#[derive(Clone, Debug)]
pub struct Plan {
    pub schedule: Schedule,
    pub seed: u64,
    pub config: NodeConfig,
    /// Without folders each start is a new memory.
    pub folders: bool,
    /// Founders of the group, the first voters.
    pub founders: usize,
    pub way_ms: f64,
    pub between_zones_ms: f64,
    /// Bytes are counted by their frames; costs time.
    pub count_bytes: bool,
    /// It ends so long after the last fault, or at this time where there are no faults.
    pub span_ms: f64,
    pub keep_history: bool,
    /// Recoveries that operators ask for: when, of which member, naming whom lost.
    pub recoveries: Vec<(f64, usize, Vec<String>)>,
    /// Someone proposes something five times a second.
    pub proposes: bool,
    /// For many members: a folder is read from its process when that dies instead of being written along, and a log is held
    /// against others only where it grew. The audit of smaller groups does neither.
    pub lean: bool,
    pub growth: Option<Growth>,
}

/// Measured apart from each other: until all know all, with nothing happening after that, and after each of a few deaths.
#[derive(Clone, Debug)]
pub struct Growth {
    /// Until all know all at most; after that the run is given up.
    pub settle_most_ms: f64,
    /// News of the start may still be under way for so long before calm is measured.
    pub quiet_most_ms: f64,
    pub calm_ms: f64,
    /// Who dies, one after the other, and does not come back; so long each.
    pub deaths: Vec<usize>,
    pub death_ms: f64,
}

impl Plan {
    pub fn of(schedule: Schedule, seed: u64) -> Self {
        Plan {
            span_ms: schedule.ends_ms() + 8000.0,
            schedule,
            seed,
            config: NodeConfig::default(),
            folders: true,
            founders: 3,
            way_ms: 0.5,
            between_zones_ms: 0.5,
            count_bytes: false,
            keep_history: false,
            recoveries: Vec::new(),
            proposes: true,
            lean: false,
            growth: None,
        }
    }

    /// No faults but a few deaths of single members, each with its own span.
    pub fn growing(members: usize, zones: usize, seed: u64, deaths: usize) -> Self {
        let mut plan = Plan::of(Schedule { members, zones, steps: Vec::new() }, seed);
        let free = members - plan.founders;
        let victim = |place: usize| plan.founders + (seed as usize * 7 + place * 13) % free;
        let growth = Growth {
            settle_most_ms: 60_000.0,
            quiet_most_ms: 20_000.0,
            calm_ms: 5000.0,
            deaths: (0..deaths).map(victim).collect(),
            death_ms: 10_000.0,
        };
        plan.span_ms = growth.settle_most_ms;
        (plan.growth, plan.lean, plan.proposes, plan.count_bytes) = (Some(growth), true, false, true);
        plan
    }
}

/// What was seen of a group that grows; nothing stands where it was not seen.
#[derive(Clone, Debug, Default)]
pub struct Grown {
    /// Until all know all others for alive, and hold a view with all of them.
    pub all_know_all_ms: Option<f64>,
    pub view_whole_ms: Option<f64>,
    /// Bytes a member until both.
    pub start_bytes: Option<f64>,
    /// A member a second, with nothing happening; of the one that sends most; news still under way then, a member.
    pub calm_bytes: Option<f64>,
    pub calm_bytes_busiest: Option<f64>,
    pub calm_rumours: Option<f64>,
    /// Beyond calm, a member, from a death on for its span.
    pub death_bytes: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Starting,
    Quieting { until: f64 },
    Calm { since: f64, bytes: u64 },
    Dying { since: f64, bytes: u64 },
}

/// What came of a run.
#[derive(Default)]
pub struct Came {
    pub audit: Audit,
    pub history: Vec<Event>,
    pub views: u64,
    /// Members put out that no fault had touched of late.
    pub healthy_put_out: Vec<(f64, usize)>,
    /// From a death until a view without it, and until all that live know of it.
    pub put_out_ms: Spread,
    pub known_ms: Spread,
    /// Deaths that did not come to be known by all, before the one that died was back or the run was over.
    pub deaths_not_known: u64,
    pub grown: Grown,
    /// From the end of the last fault until something new is agreed on.
    pub agreed_after_ms: Option<f64>,
    /// Members whose word of who belongs is not the last one at the end.
    pub lagging: usize,
    /// Live members that are in no view at the end.
    pub left_out: usize,
    pub bytes: u64,
    pub messages: u64,
    pub member_seconds: f64,
    /// What came of recoveries that were asked for, in their order.
    pub recovered: Vec<Result<u64, String>>,
    /// How each member stands at the end, a line each.
    pub end: Vec<String>,
}

enum Thing {
    Message { to: usize, from: SocketAddr, envelope: Box<Envelope> },
    Tick { member: usize, life: u64 },
    Begin(usize),
    End(usize),
    Look,
    Snapshot,
    Propose,
    Wake { member: usize },
    Recover(usize),
}

/// What a folder holds: whose memory, since when, and what it keeps.
type Held = Option<(NodeId, u64, PersistentState<ClusterState>)>;

struct Place {
    group: Option<ClusterNode>,
    /// What the folder holds, and what it held a second ago and before.
    folder: Held,
    old: VecDeque<Held>,
    life: u64,
    rate: f64,
    offset: f64,
    wall: f64,
    stopped: bool,
    full: bool,
    fit: bool,
    waiting: Vec<(SocketAddr, Envelope)>,
    tick_at: f64,
    touched: f64,
    /// Faults that hold it down.
    down: u32,
    view: u64,
    led: (u64, u64),
    acts: Option<u64>,
    /// What of its log was held against others: the era and the last place.
    log_seen: (u64, u64),
}

/// A death, and how far it is known.
struct Dying {
    id: NodeId,
    at: f64,
    put_out: bool,
    /// Since when all know of it, without a gap.
    known: Option<f64>,
}

pub struct World {
    plan: Plan,
    queue: Queue<Thing>,
    net: Net,
    places: Vec<Place>,
    chance: Pcg32,
    came: Came,
    dying: Vec<Dying>,
    phase: Phase,
    /// One that did not know all when it was last looked at.
    unsettled: usize,
    bytes_of: Vec<u64>,
    over_at: f64,
    probe: u64,
    agreed: Option<f64>,
}

fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (member >> 8) as u8, member as u8], 7400))
}

impl World {
    pub fn run(plan: Plan) -> Came {
        let members = plan.schedule.members;
        let mut chance = Pcg32::seed_from_u64(plan.seed);
        let mut net = Net::new(chance.random(), plan.way_ms);
        net.between_zones_ms = plan.between_zones_ms;
        let drift = plan.config.raft.clock_drift_fraction;
        let places = (0..members)
            .map(|_| Place {
                group: None,
                folder: None,
                old: VecDeque::new(),
                life: 0,
                rate: 1.0 + drift * 0.5 * (2.0 * chance.random::<f64>() - 1.0),
                offset: 1e6 * chance.random::<f64>(),
                wall: 0.0,
                stopped: false,
                full: false,
                fit: true,
                waiting: Vec::new(),
                tick_at: f64::INFINITY,
                touched: f64::NEG_INFINITY,
                down: 0,
                view: 0,
                led: (0, 0),
                acts: None,
                log_seen: (0, 0),
            })
            .collect();
        let over_at = plan.schedule.steps.iter().map(|s| s.at_ms + s.for_ms).fold(0.0, f64::max);
        let mut world = World {
            plan,
            queue: Queue::default(),
            net,
            places,
            chance,
            came: Came::default(),
            dying: Vec::new(),
            phase: Phase::Starting,
            unsettled: 0,
            bytes_of: Vec::new(),
            over_at,
            probe: 0,
            agreed: None,
        };
        world.play();
        world.dying_over(|_| true);
        let World { mut came, net, queue, places, .. } = world;
        came.audit.finish(queue.now());
        (came.messages, came.bytes) = (net.sent, net.bytes);
        came.member_seconds = queue.now() / 1000.0 * members as f64;
        let newest =
            places.iter().filter_map(|p| p.group.as_ref()).map(|g| g.view().number).max().unwrap_or(0);
        for place in &places {
            let Some(group) = &place.group else { continue };
            came.lagging += usize::from(group.view().number < newest);
            came.left_out += usize::from(!group.view().members.contains_key(&group.node().id));
            let raft = group.raft();
            came.end.push(format!(
                "{} {:x} era {} term {} {:?} voters {:?} last {:?} decided {} view {} of {} alive {} leader {:x?} sure {:.0} in view {} {:?}",
                group.node().name, group.node().id.0, raft.epoch().0, raft.term().0, raft.role(), raft.voters(),
                raft.persistent().last(), raft.commit_index(), group.view().number, group.view().members.len(),
                group.swim().present().count(), group.leader(), raft.leader_lease_until_ms() - place.offset, group.view().members.contains_key(&group.node().id), group.differing()
            ));
        }
        came.views = newest;
        came
    }

    fn play(&mut self) {
        for member in 0..self.places.len() {
            self.start(member);
        }
        for (place, step) in self.plan.schedule.steps.clone().into_iter().enumerate() {
            self.queue.put(step.at_ms, Thing::Begin(place));
            self.queue.put(step.at_ms + step.for_ms, Thing::End(place));
        }
        for (place, (at, ..)) in self.plan.recoveries.clone().into_iter().enumerate() {
            self.queue.put(at, Thing::Recover(place));
        }
        self.queue.put(20.0, Thing::Look);
        self.queue.put(1000.0, Thing::Snapshot);
        if self.plan.proposes {
            self.queue.put(200.0, Thing::Propose);
        }
        while let Some(thing) = self.queue.take_next() {
            if self.queue.now() > self.plan.span_ms {
                break;
            }
            match thing {
                Thing::Message { to, from, envelope } => {
                    let place = &mut self.places[to];
                    if place.stopped {
                        // What a stopped process is sent lies there until it wakes, as far as there is room.
                        if place.waiting.len() < 256 {
                            place.waiting.push((from, *envelope));
                        }
                    } else {
                        self.tell(to, |group, now| group.handle_message(now, *envelope));
                    }
                }
                Thing::Tick { member, life } => {
                    if self.places[member].life == life && !self.places[member].stopped {
                        self.places[member].tick_at = f64::INFINITY;
                        self.tell(member, |group, now| group.handle_timeout(now));
                    }
                }
                Thing::Begin(place) => self.fault(place, true),
                Thing::End(place) => self.fault(place, false),
                Thing::Look => {
                    self.look();
                    self.grow();
                    self.queue.put(self.queue.now() + 20.0, Thing::Look);
                }
                Thing::Snapshot => {
                    let now = self.queue.now();
                    for place in self.places.iter_mut().filter(|_| !self.plan.lean) {
                        place.old.push_back(place.folder.clone());
                        if place.old.len() > 20 {
                            place.old.pop_front();
                        }
                    }
                    self.queue.put(now + 1000.0, Thing::Snapshot);
                }
                Thing::Propose => self.propose(),
                Thing::Wake { member } => self.wake(member),
                Thing::Recover(place) => {
                    let (_, member, lost) = self.plan.recoveries[place].clone();
                    let mut refused = None;
                    self.tell(member, |group, now| {
                        refused = group.recover(now, &lost).err().map(|why| why.to_string())
                    });
                    self.came.recovered.extend(refused.map(Err));
                }
            }
        }
    }

    // ---- one member --------------------------------------------------------------------------------

    fn clock(&self, member: usize) -> f64 {
        let place = &self.places[member];
        place.offset + self.queue.now() * place.rate
    }

    fn start(&mut self, member: usize) {
        let now = self.queue.now();
        let place = &mut self.places[member];
        place.life += 1;
        let wall = now + place.wall + 1.7e12;
        let (id, born, kept) = match place.folder.clone().filter(|_| self.plan.folders) {
            Some((id, born, kept)) => (id, born, Some(kept)),
            None => (NodeId(self.chance.random::<u64>() | 1), wall as u64, None),
        };
        if self.plan.folders && kept.is_none() {
            place.folder = Some((id, born, PersistentState::empty(ClusterState::default())));
        }
        let zones = self.plan.schedule.zones.max(1);
        let node = NodeInfo {
            id,
            name: format!("n{}", member + 1),
            zone: format!("z{}", member % zones + 1),
            region: "r1".into(),
            address: address(member),
            created_at_ms: born,
        };
        let startup = Startup {
            node,
            config: self.plan.config.clone(),
            seeds: (0..self.plan.founders).map(address).collect(),
            initial_voters: (0..self.plan.founders).map(|n| format!("n{}", n + 1)).collect(),
            persistent: kept,
            seed: self.chance.random(),
        };
        (place.view, place.led, place.acts, place.log_seen) = (0, (0, 0), None, (0, 0));
        let fit = place.fit;
        // One that is back with its memory is dead no longer.
        self.dying_over(|dying| dying.id == id);
        let local = self.clock(member);
        let mut group = ClusterNode::new(startup, local);
        group.set_ready(local, fit);
        self.places[member].group = Some(group);
        self.tell(member, |group, now| group.handle_timeout(now));
    }

    fn kill(&mut self, member: usize, folder: Folder) {
        let now = self.queue.now();
        let place = &mut self.places[member];
        let Some(group) = place.group.take() else { return };
        let id = group.node().id;
        if self.plan.lean && place.folder.is_some() {
            place.folder = Some((id, group.node().created_at_ms, group.raft().persistent().clone()));
        }
        place.waiting.clear();
        place.tick_at = f64::INFINITY;
        place.life += 1;
        place.stopped = false;
        self.dying.push(Dying { id, at: now, put_out: false, known: None });
        let lost = match folder {
            Folder::Kept => !self.plan.folders,
            Folder::Wiped => {
                place.folder = None;
                true
            }
            Folder::Old => {
                // How it was some seconds ago; a memory that is set back may speak again, as it is made to ask first.
                let back = self.chance.random_range(1..=8usize);
                let old = place.old.len().checked_sub(back).and_then(|at| place.old.get(at));
                place.folder = old.cloned().flatten();
                place.folder.as_ref().is_none_or(|(old, ..)| *old != id)
            }
        };
        if lost {
            self.see(Seen::Lost { memory: id.0 });
        }
    }

    /// One call of a member, and all that follows from it.
    fn tell(&mut self, member: usize, ask: impl FnOnce(&mut ClusterNode, f64)) {
        let local = self.clock(member);
        let Some(group) = self.places[member].group.as_mut() else { return };
        ask(group, local);
        let mut actions = group.poll_actions();
        let place = &mut self.places[member];
        if !actions.save.is_empty() && self.plan.folders {
            if place.full {
                let Some(group) = place.group.as_mut() else { return };
                group.handle_storage_failed(local);
                actions.send.retain(|(_, envelope)| !envelope.message.depends_on_storage());
                actions.save.clear();
            } else if self.plan.lean {
                actions.save.clear();
            } else if let Some((_, _, kept)) = &mut place.folder {
                actions.save.drain(..).for_each(|record| kept.apply(record));
            }
        }
        for (destination, envelope) in actions.send {
            self.post(member, destination.address, envelope);
        }
        for event in actions.events {
            match event {
                NodeEvent::View(_) => self.see_view(member),
                NodeEvent::RecoveryEnded(outcome) => {
                    self.came.recovered.push(outcome.map_err(|why| why.to_string()))
                }
                _ => {}
            }
        }
        self.observe(member);
        self.schedule_tick(member);
    }

    fn schedule_tick(&mut self, member: usize) {
        let place = &self.places[member];
        let Some(group) = &place.group else { return };
        let at = (group.poll_timeout() - place.offset) / place.rate;
        if at < place.tick_at - 0.001 {
            let life = place.life;
            self.places[member].tick_at = at;
            self.queue.put(at, Thing::Tick { member, life });
        }
    }

    fn post(&mut self, from: usize, at: SocketAddr, envelope: Envelope) {
        let SocketAddr::V4(v4) = at else { return };
        let [_, _, high, low] = v4.ip().octets();
        let to = usize::from(high) << 8 | usize::from(low);
        if to >= self.places.len() {
            return;
        }
        let bytes = if self.plan.count_bytes { frame_size(&envelope) } else { 0 };
        let zones = self.plan.schedule.zones;
        let mut ways = self.net.ways(from, to, zones, bytes);
        let (now, from, last) = (self.queue.now(), address(from), ways.pop());
        for way in ways {
            let thing = Thing::Message { to, from, envelope: Box::new(envelope.clone()) };
            self.queue.put(now + way, thing);
        }
        if let Some(way) = last {
            self.queue.put(now + way, Thing::Message { to, from, envelope: Box::new(envelope) });
        }
    }

    fn wake(&mut self, member: usize) {
        // Before it hears or does anything, it might go on with what it was about to do.
        self.observe(member);
        let waiting = std::mem::take(&mut self.places[member].waiting);
        self.places[member].tick_at = f64::INFINITY;
        self.tell(member, |group, now| group.handle_timeout(now));
        for (_, envelope) in waiting {
            self.tell(member, |group, now| group.handle_message(now, envelope));
        }
    }

    // ---- faults ------------------------------------------------------------------------------------

    fn fault(&mut self, place: usize, begins: bool) {
        let step = self.plan.schedule.steps[place].clone();
        let (now, count) = (self.queue.now(), self.places.len());
        for member in step.fault.touches(count) {
            self.places[member].touched = if begins { f64::INFINITY } else { now };
        }
        if self.plan.keep_history {
            let text = format!("{} {step}", if begins { "begins" } else { "ends" });
            self.see(Seen::Fault { text });
        }
        match step.fault {
            Fault::Cut { these, those, one_way } => {
                for one in &these {
                    for other in &those {
                        self.net.cut(*one, *other, begins);
                        if !one_way {
                            self.net.cut(*other, *one, begins);
                        }
                    }
                }
            }
            Fault::Loss { share } => {
                self.net.loss = (self.net.loss + if begins { share } else { -share }).max(0.0)
            }
            Fault::Slow { member, by_ms } => self.net.slow(member, begins.then_some(by_ms)),
            Fault::Kill { member, folder } => self.down(member, begins, folder),
            // Without the notice: as hard as a loss that keeps its folder.
            Fault::Leave { member } => self.down(member, begins, Folder::Kept),
            Fault::KillThird { first } => third(first, count)
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|m| self.down(m, begins, Folder::Kept)),
            Fault::Stop { member } => {
                self.places[member].stopped = begins && self.places[member].group.is_some();
                if !begins {
                    self.queue.put(now, Thing::Wake { member });
                }
            }
            Fault::Unfit { member } => {
                self.places[member].fit = !begins;
                self.tell(member, |group, now| group.set_ready(now, !begins));
            }
            Fault::Full { member } => {
                self.places[member].full = begins;
                if !begins {
                    // What was not kept meanwhile is written first, all of it.
                    let place = &mut self.places[member];
                    if let (Some(group), Some((_, _, kept))) = (&place.group, &mut place.folder) {
                        *kept = group.raft().persistent().clone();
                    }
                    self.tell(member, |group, now| group.handle_storage_restored(now));
                }
            }
            Fault::Clock { member, by_ms } => self.places[member].wall = if begins { by_ms } else { 0.0 },
        }
    }

    /// Members that several faults hold down come back when the last of them is over.
    fn down(&mut self, member: usize, begins: bool, folder: Folder) {
        if begins {
            self.places[member].down += 1;
            if self.places[member].group.is_some() {
                self.kill(member, folder);
            } else if folder == Folder::Wiped {
                if let Some((id, ..)) = self.places[member].folder.take() {
                    self.see(Seen::Lost { memory: id.0 });
                }
            }
            return;
        }
        self.places[member].down -= 1;
        if self.places[member].down == 0 && self.places[member].group.is_none() {
            self.start(member);
        }
    }

    // ---- looking on --------------------------------------------------------------------------------

    fn see(&mut self, seen: Seen) {
        let event = Event { at: self.queue.now(), seen };
        self.came.audit.take(&event);
        if self.plan.keep_history {
            self.came.history.push(event);
        }
    }

    fn see_view(&mut self, member: usize) {
        let Some(group) = &self.places[member].group else { return };
        let (memory, era) = (group.node().id.0, group.raft().epoch().0);
        let number = group.view().number;
        let members = group.view().members.keys().map(|id| id.0).collect();
        let newest = self.places.iter().all(|place| place.view < number);
        self.places[member].view = number;
        self.see(Seen::View { memory, era, number, members });
        if !newest {
            return;
        }
        // The first that holds it: who was put out by it, and was anything wrong with them?
        let now = self.queue.now();
        for (place, other) in self.places.iter().enumerate() {
            let Some(id) = other.group.as_ref().map(|group| group.node().id) else { continue };
            let was = group_steps_left(self.places[member].group.as_ref(), id);
            if was && now - other.touched > HEALTHY_AFTER_MS && self.calm_since(now) {
                self.came.healthy_put_out.push((now, place));
            }
        }
        let Some(group) = &self.places[member].group else { return };
        for dying in self.dying.iter_mut().filter(|dying| !dying.put_out) {
            if !group.view().members.contains_key(&dying.id) {
                dying.put_out = true;
                self.came.put_out_ms.put(now - dying.at);
            }
        }
    }

    /// No fault of the network as a whole is under way.
    fn calm_since(&self, now: f64) -> bool {
        !self.plan.schedule.steps.iter().any(|step| {
            let wide = matches!(step.fault, Fault::Loss { .. } | Fault::Cut { .. } | Fault::KillThird { .. });
            wide && step.at_ms <= now && now < step.at_ms + step.for_ms + HEALTHY_AFTER_MS
        })
    }

    /// What a member could do at this moment.
    fn observe(&mut self, member: usize) {
        let local = self.clock(member);
        let place = &self.places[member];
        if place.stopped {
            return;
        }
        let Some(group) = &place.group else { return };
        let (memory, era, term) = (group.node().id.0, group.raft().epoch().0, group.raft().term().0);
        let acts = group.may_act(local);
        let leads = *group.raft().role() == Role::Leader;
        let (led, acted) = (place.led, place.acts);
        if leads && led != (era, term) {
            self.places[member].led = (era, term);
            self.see(Seen::Leads { memory, era, term });
        }
        if acts != acted {
            self.places[member].acts = acts;
        }
        if let Some(view) = acts {
            let event = Event { at: self.queue.now(), seen: Seen::Acts { memory, era, view } };
            self.came.audit.take(&event);
            if self.plan.keep_history && acts != acted {
                self.came.history.push(event);
            }
        }
    }

    /// Every member as it stands; deaths that all have heard of; false ones.
    fn look(&mut self) {
        for member in 0..self.places.len() {
            self.observe(member);
            self.see_log(member);
        }
        let now = self.queue.now();
        let live: Vec<&ClusterNode> =
            self.places.iter().filter(|p| !p.stopped).filter_map(|p| p.group.as_ref()).collect();
        for dying in &mut self.dying {
            let known = live.iter().all(|group| {
                let update = group.swim().find(dying.id);
                update.is_none_or(|update| update.state >= MemberState::Dead)
            });
            // One that learns of it as alive once more begins it anew.
            dying.known = if known { dying.known.or(Some(now)) } else { None };
        }
    }

    /// The one that died is back, or the run is over: what came of its death.
    fn dying_over(&mut self, over: impl Fn(&Dying) -> bool) {
        for dying in self.dying.extract_if(.., |dying| over(dying)) {
            match dying.known {
                Some(known) => self.came.known_ms.put(known - dying.at),
                None => self.came.deaths_not_known += 1,
            }
        }
    }

    /// Takes a group that grows from one phase to the next, and measures each.
    fn grow(&mut self) {
        let Some(growth) = self.plan.growth.clone() else { return };
        let (now, members, bytes) = (self.queue.now(), self.places.len() as f64, self.net.bytes);
        match self.phase {
            Phase::Starting => {
                let seen = &self.came.grown;
                let (know, whole) = (seen.all_know_all_ms.is_some(), seen.view_whole_ms.is_some());
                if !know && self.settled(|group| group.swim().present().count()) {
                    self.came.grown.all_know_all_ms = Some(now);
                } else if know && !whole && self.settled(|group| group.view().members.len()) {
                    self.came.grown.view_whole_ms = Some(now);
                    self.came.grown.start_bytes = Some(bytes as f64 / members);
                    self.phase = Phase::Quieting { until: now + growth.quiet_most_ms };
                    self.plan.span_ms = f64::INFINITY;
                }
            }
            Phase::Quieting { until } => {
                let groups = self.places.iter().filter_map(|place| place.group.as_ref());
                let rumours: usize = groups.map(|group| group.swim().pending_updates()).sum();
                if rumours == 0 || now >= until {
                    self.came.grown.calm_rumours = Some(rumours as f64 / members);
                    self.bytes_of = self.net.bytes_of.clone();
                    self.phase = Phase::Calm { since: now, bytes };
                }
            }
            Phase::Calm { since, bytes: before } if now >= since + growth.calm_ms => {
                let seconds = (now - since) / 1000.0;
                let sent = self.net.bytes_of.iter().zip(&self.bytes_of).map(|(now, then)| now - then);
                self.came.grown.calm_bytes_busiest = sent.max().map(|most| most as f64 / seconds);
                self.came.grown.calm_bytes = Some((bytes - before) as f64 / members / seconds);
                for (place, member) in growth.deaths.iter().enumerate() {
                    let at_ms = now + place as f64 * growth.death_ms;
                    let fault = Fault::Kill { member: *member, folder: Folder::Kept };
                    self.queue.put(at_ms, Thing::Begin(self.plan.schedule.steps.len()));
                    self.plan.schedule.steps.push(Step { at_ms, for_ms: f64::INFINITY, fault });
                }
                self.phase = Phase::Dying { since: now, bytes };
            }
            Phase::Dying { since, bytes: before } => {
                let whole = growth.death_ms * growth.deaths.len() as f64;
                if now >= since + whole {
                    // Of those that are left; each death leaves one fewer.
                    let left: f64 = (1..=growth.deaths.len()).map(|dead| members - dead as f64).sum();
                    let calm = |a_second: f64| a_second * left * growth.death_ms / 1000.0;
                    let beyond = self.came.grown.calm_bytes.map(|rate| (bytes - before) as f64 - calm(rate));
                    self.came.grown.death_bytes = beyond.map(|bytes| bytes / left);
                    self.plan.span_ms = now;
                }
            }
            Phase::Calm { .. } => {}
        }
    }

    /// Whether each counts as many as there are, the last one that did not asked first.
    fn settled(&mut self, count: impl Fn(&ClusterNode) -> usize) -> bool {
        let all = self.places.len();
        let falls_short = |member: &usize| match &self.places[*member].group {
            Some(group) => count(group) != all,
            None => true,
        };
        let found = std::iter::once(self.unsettled).chain(0..all).find(falls_short);
        self.unsettled = found.unwrap_or(0);
        found.is_none()
    }

    /// The newest entries that it holds for decided, each held against what others hold there.
    fn see_log(&mut self, member: usize) {
        let Some(group) = &self.places[member].group else { return };
        let (memory, era, raft) = (group.node().id.0, group.raft().epoch().0, group.raft());
        if self.plan.lean && self.places[member].log_seen == (era, raft.commit_index()) {
            return;
        }
        let log_seen = (era, raft.commit_index());
        let from = raft.commit_index().saturating_sub(4).max(raft.persistent().snapshot.last.index);
        let Some((before, entries)) = raft.committed_after(from) else { return };
        let seen: Vec<Seen> = entries
            .iter()
            .enumerate()
            .map(|(place, entry)| {
                let mut hasher = DefaultHasher::new();
                entry.hash(&mut hasher);
                Seen::Decided { memory, era, index: before.index + 1 + place as u64, hash: hasher.finish() }
            })
            .collect();
        self.places[member].log_seen = log_seen;
        let at = self.queue.now();
        for seen in seen {
            self.came.audit.take(&Event { at, seen });
        }
    }

    /// Someone proposes something five times a second; the first that is agreed after the last fault is what counts.
    fn propose(&mut self) {
        let now = self.queue.now();
        let healthy: Vec<usize> = (0..self.places.len())
            .filter(|m| self.places[*m].group.is_some() && !self.places[*m].stopped)
            .collect();
        if let Some(member) = healthy.get(self.chance.random_range(0..healthy.len().max(1))).copied() {
            let held = self.places[member]
                .group
                .as_ref()
                .and_then(|g| g.value("probe"))
                .map_or(0, |value| value.version);
            if now > self.over_at && held > self.probe && self.agreed.is_none() && self.probe > 0 {
                self.agreed = Some(now);
                self.came.agreed_after_ms = Some(now - self.over_at);
            }
            if now <= self.over_at {
                self.probe = self
                    .places
                    .iter()
                    .filter_map(|p| p.group.as_ref()?.value("probe"))
                    .map(|value| value.version)
                    .max()
                    .unwrap_or(0);
            }
            self.tell(member, |group, now| {
                group.propose(now, "probe", held + 1, vec![1, 2, 3]);
            });
        }
        self.queue.put(now + 200.0, Thing::Propose);
    }
}

/// One that no fault has touched for so long counts as healthy.
const HEALTHY_AFTER_MS: f64 = CALM_MS;

fn group_steps_left(group: Option<&ClusterNode>, id: NodeId) -> bool {
    let steps = group.map(|group| &group.raft().state().view_changes);
    steps.and_then(|steps| steps.back()).is_some_and(|step| step.left.iter().any(|(left, _)| *left == id))
}
