//! Event loop of a run: processes, network, faults and observations.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use plovershelf_cluster::consensus::{PersistentState, Role};
use plovershelf_cluster::gossip::{MemberState, NodeInfo};
use plovershelf_cluster::wire::{frame_size, Envelope};
use plovershelf_cluster::{Actions, ClusterNode, ClusterState, Event as NodeEvent, NodeId, Startup};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::deaths::{Deaths, Ended};
use super::growth::{GrowthMeasurement, NextStep};
use super::plan::Plan;
use super::process::{Disk, Observed, Process};
use super::report::Report;
use crate::audit::{Event, Observation};
use crate::net::{Net, Queue};
use crate::schedule::{cut_paths, third, Fault, FaultPhase, Folder, Step, FAULT_FREE_MS};

/// Interval between two observations of all members, in milliseconds.
const OBSERVE_INTERVAL_MS: f64 = 20.0;
/// Interval between two copies of all disks, in milliseconds.
const DISK_COPY_INTERVAL_MS: f64 = 1000.0;
/// Interval between two proposals, in milliseconds.
const PROPOSE_INTERVAL_MS: f64 = 200.0;
/// A timeout is rescheduled only if it is earlier than the scheduled one by more than this, in milliseconds.
const TIMEOUT_TOLERANCE_MS: f64 = 0.001;
/// Number of the newest committed entries that each observation compares.
const COMPARED_ENTRIES: u64 = 4;
/// A member counts as healthy once no fault has affected it for this time, in milliseconds.
const HEALTHY_AFTER_MS: f64 = FAULT_FREE_MS;
/// Key of the proposed values.
const PROBE_KEY: &str = "probe";

/// Event of the simulation. Faults and recoveries are identified by their index in the plan.
enum SimulationEvent {
    Message { to: usize, envelope: Box<Envelope> },
    Timeout { member: usize, run: u64 },
    FaultBegins(usize),
    FaultEnds(usize),
    Observe,
    CopyDisks,
    Propose,
    Resume { member: usize },
    Recover(usize),
}

/// Tracks whether the cluster commits a proposed value after the last fault.
#[derive(Default)]
struct CommitProbe {
    /// Newest committed version when the last fault ended.
    before: u64,
    committed: bool,
}

/// Cluster on simulated time.
pub struct World {
    plan: Plan,
    queue: Queue<SimulationEvent>,
    net: Net,
    processes: Vec<Process>,
    rng: Pcg32,
    report: Report,
    deaths: Deaths,
    growth: Option<GrowthMeasurement>,
    faults_over_ms: f64,
    probe: CommitProbe,
}

fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (member >> 8) as u8, member as u8], 7400))
}

fn member_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = address else { return None };
    let [_, _, high, low] = v4.ip().octets();
    Some(usize::from(high) << 8 | usize::from(low))
}

impl World {
    /// Runs a plan and returns the results.
    pub fn run(plan: Plan) -> Report {
        let mut rng = Pcg32::seed_from_u64(plan.seed);
        let mut net = Net::new(rng.random(), plan.latency_ms);
        net.between_zones_ms = plan.between_zones_ms;
        let drift = plan.config.raft.clock_drift_fraction;
        let processes = (0..plan.schedule.members).map(|_| Process::new(drift, &mut rng)).collect();
        let ends = plan.schedule.steps.iter().map(|step| step.at_ms + step.for_ms);
        let mut world = World {
            faults_over_ms: ends.fold(0.0, f64::max),
            growth: plan.growth.clone().map(GrowthMeasurement::new),
            plan,
            queue: Queue::default(),
            net,
            processes,
            rng,
            report: Report::default(),
            deaths: Deaths::default(),
            probe: CommitProbe::default(),
        };
        world.schedule_initial_events();
        world.process_events();
        world.finish()
    }

    fn schedule_initial_events(&mut self) {
        (0..self.processes.len()).for_each(|member| self.start(member));
        for (index, step) in self.plan.schedule.steps.clone().into_iter().enumerate() {
            self.queue.schedule(step.at_ms, SimulationEvent::FaultBegins(index));
            self.queue.schedule(step.at_ms + step.for_ms, SimulationEvent::FaultEnds(index));
        }
        for (index, command) in self.plan.recoveries.iter().enumerate() {
            self.queue.schedule(command.at_ms, SimulationEvent::Recover(index));
        }
        self.queue.schedule(OBSERVE_INTERVAL_MS, SimulationEvent::Observe);
        self.queue.schedule(DISK_COPY_INTERVAL_MS, SimulationEvent::CopyDisks);
        if self.plan.proposes {
            self.queue.schedule(PROPOSE_INTERVAL_MS, SimulationEvent::Propose);
        }
    }

    fn process_events(&mut self) {
        while let Some(event) = self.queue.pop() {
            if self.queue.now() > self.plan.duration_ms {
                break;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        let now_ms = self.queue.now();
        match event {
            SimulationEvent::Message { to, envelope } if self.processes[to].paused => {
                self.processes[to].buffer_message(*envelope)
            }
            SimulationEvent::Message { to, envelope } => {
                self.call(to, |node, clock_ms| node.handle_message(clock_ms, *envelope))
            }
            SimulationEvent::Timeout { member, run } => {
                let process = &mut self.processes[member];
                if process.run == run && !process.paused {
                    process.timeout_at_ms = f64::INFINITY;
                    self.call(member, |node, clock_ms| node.handle_timeout(clock_ms));
                }
            }
            SimulationEvent::FaultBegins(index) => self.apply_fault(index, FaultPhase::Begins),
            SimulationEvent::FaultEnds(index) => self.apply_fault(index, FaultPhase::Ends),
            SimulationEvent::Observe => {
                self.observe_all();
                self.observe_growth();
                self.queue.schedule(now_ms + OBSERVE_INTERVAL_MS, SimulationEvent::Observe);
            }
            SimulationEvent::CopyDisks => {
                let copied = self.processes.iter_mut().filter(|_| !self.plan.lean);
                copied.for_each(Process::copy_disk);
                self.queue.schedule(now_ms + DISK_COPY_INTERVAL_MS, SimulationEvent::CopyDisks);
            }
            SimulationEvent::Propose => {
                self.propose();
                self.queue.schedule(now_ms + PROPOSE_INTERVAL_MS, SimulationEvent::Propose);
            }
            SimulationEvent::Resume { member } => self.resume(member),
            SimulationEvent::Recover(index) => self.recover(index),
        }
    }

    fn finish(mut self) -> Report {
        let ended = self.deaths.end_all();
        self.report_ended(ended);
        let now_ms = self.queue.now();
        let mut report = self.report;
        report.audit.finish(now_ms);
        (report.messages, report.bytes) = (self.net.messages_sent, self.net.bytes_sent);
        report.member_seconds = now_ms / 1000.0 * self.plan.schedule.members as f64;
        let nodes = || self.processes.iter().filter_map(|process| Some((process, process.node.as_ref()?)));
        report.views = nodes().map(|(_, node)| node.view().number).max().unwrap_or(0);
        for (process, node) in nodes() {
            report.lagging += usize::from(node.view().number < report.views);
            report.outside_view += usize::from(!node.view().members.contains_key(&node.node().id));
            report.final_states.push(describe(process, node));
        }
        report
    }

    // ---- one member --------------------------------------------------------------------------------

    fn clock_ms(&self, member: usize) -> f64 {
        self.processes[member].clock_ms(self.queue.now())
    }

    fn start(&mut self, member: usize) {
        let startup = self.startup(member);
        let id = startup.node.id;
        // A member that restarts under the same id is no longer dead.
        let ended = self.deaths.end(id);
        self.report_ended(ended);
        let clock_ms = self.clock_ms(member);
        let mut node = ClusterNode::new(startup, clock_ms);
        let process = &mut self.processes[member];
        process.observed = Observed::default();
        node.set_ready(clock_ms, process.ready);
        process.node = Some(node);
        self.call(member, |node, clock_ms| node.handle_timeout(clock_ms));
    }

    fn startup(&mut self, member: usize) -> Startup {
        let process = &mut self.processes[member];
        process.run += 1;
        let wall_ms = process.wall_ms(self.queue.now());
        let restored = process.disk.clone().filter(|_| self.plan.storage);
        let (id, created_at_ms) = match &restored {
            Some(disk) => (disk.id, disk.created_at_ms),
            None => (NodeId(self.rng.random::<u64>() | 1), wall_ms),
        };
        if self.plan.storage && restored.is_none() {
            let state = PersistentState::empty(ClusterState::default());
            process.disk = Some(Disk { id, created_at_ms, state });
        }
        let zones = self.plan.schedule.zones.max(1);
        let node = NodeInfo {
            id,
            name: format!("n{}", member + 1),
            zone: format!("z{}", member % zones + 1),
            region: "r1".into(),
            address: address(member),
            created_at_ms,
        };
        Startup {
            node,
            config: self.plan.config.clone(),
            seeds: (0..self.plan.initial_voters).map(address).collect(),
            initial_voters: (0..self.plan.initial_voters).map(|n| format!("n{}", n + 1)).collect(),
            persistent: restored.map(|disk| disk.state),
            seed: self.rng.random(),
        }
    }

    fn kill(&mut self, member: usize, folder: Folder) {
        let process = &mut self.processes[member];
        let Some(node) = process.stop(&self.plan) else { return };
        let id = node.node().id;
        self.deaths.record(id, self.queue.now());
        let lost = match folder {
            Folder::Kept => !self.plan.storage,
            Folder::Wiped => {
                process.disk = None;
                true
            }
            Folder::Old => !process.restore_disk(id, &mut self.rng),
        };
        if lost {
            self.record(Observation::Lost { memory: id.0 });
        }
    }

    /// Calls a node if it is running and executes the resulting actions.
    fn call(&mut self, member: usize, call: impl FnOnce(&mut ClusterNode, f64)) {
        let clock_ms = self.clock_ms(member);
        let process = &mut self.processes[member];
        let Some(node) = process.node.as_mut() else { return };
        call(node, clock_ms);
        let mut actions = node.poll_actions();
        process.save(clock_ms, &self.plan, &mut actions);
        let Actions { send, events, .. } = actions;
        for (destination, envelope) in send {
            self.send(member, destination.address, envelope);
        }
        for event in events {
            match event {
                NodeEvent::View(_) => self.record_view(member),
                NodeEvent::RecoveryEnded(outcome) => {
                    self.report.recovered.push(outcome.map_err(|error| error.to_string()))
                }
                _ => {}
            }
        }
        self.observe(member);
        self.schedule_timeout(member);
    }

    fn schedule_timeout(&mut self, member: usize) {
        let process = &mut self.processes[member];
        let Some(node) = &process.node else { return };
        let at_ms = process.simulated_ms(node.poll_timeout());
        if at_ms < process.timeout_at_ms - TIMEOUT_TOLERANCE_MS {
            process.timeout_at_ms = at_ms;
            let run = process.run;
            self.queue.schedule(at_ms, SimulationEvent::Timeout { member, run });
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, envelope: Envelope) {
        let Some(to) = member_at(to).filter(|to| *to < self.processes.len()) else { return };
        let bytes = if self.plan.count_bytes { frame_size(&envelope) } else { 0 };
        let mut latencies = self.net.send(from, to, self.plan.schedule.zones, bytes);
        let (now_ms, last) = (self.queue.now(), latencies.pop());
        for latency_ms in latencies {
            let envelope = Box::new(envelope.clone());
            self.queue.schedule(now_ms + latency_ms, SimulationEvent::Message { to, envelope });
        }
        if let Some(latency_ms) = last {
            let envelope = Box::new(envelope);
            self.queue.schedule(now_ms + latency_ms, SimulationEvent::Message { to, envelope });
        }
    }

    fn resume(&mut self, member: usize) {
        // The process may complete work that it began before the pause, before it handles a timeout or a message. The
        // observation checks that it is not allowed to act by an expired lease at this point.
        self.observe(member);
        let buffered = self.processes[member].take_buffered();
        self.processes[member].timeout_at_ms = f64::INFINITY;
        self.call(member, |node, clock_ms| node.handle_timeout(clock_ms));
        for envelope in buffered {
            self.call(member, |node, clock_ms| node.handle_message(clock_ms, envelope));
        }
    }

    fn recover(&mut self, index: usize) {
        let command = self.plan.recoveries[index].clone();
        let mut refused = None;
        self.call(command.member, |node, clock_ms| refused = node.recover(clock_ms, &command.lost).err());
        self.report.recovered.extend(refused.map(|error| Err(error.to_string())));
    }

    /// Proposes a value at a random running member and records the first commit after the last fault.
    fn propose(&mut self) {
        let now_ms = self.queue.now();
        let running: Vec<usize> = (0..self.processes.len())
            .filter(|member| self.processes[*member].node.is_some() && !self.processes[*member].paused)
            .collect();
        let chosen = self.rng.random_range(0..running.len().max(1));
        let Some(member) = running.get(chosen).copied() else { return };
        let version_of = |process: &Process| Some(process.node.as_ref()?.value(PROBE_KEY)?.version);
        let version = version_of(&self.processes[member]).unwrap_or(0);
        let probe = &mut self.probe;
        if now_ms <= self.faults_over_ms {
            probe.before = self.processes.iter().filter_map(version_of).max().unwrap_or(0);
        } else if version > probe.before && !probe.committed && probe.before > 0 {
            probe.committed = true;
            self.report.committed_after_ms = Some(now_ms - self.faults_over_ms);
        }
        self.call(member, |node, clock_ms| {
            node.propose(clock_ms, PROBE_KEY, version + 1, vec![1, 2, 3]);
        });
    }

    // ---- faults ------------------------------------------------------------------------------------

    fn apply_fault(&mut self, index: usize, phase: FaultPhase) {
        let begins = phase == FaultPhase::Begins;
        let step = self.plan.schedule.steps[index].clone();
        let (now_ms, count) = (self.queue.now(), self.processes.len());
        for member in step.fault.touches(count) {
            self.processes[member].last_fault_ms = if begins { f64::INFINITY } else { now_ms };
        }
        if self.plan.keep_history {
            let text = format!("{} {step}", if begins { "begins" } else { "ends" });
            self.record(Observation::Fault { text });
        }
        match step.fault {
            Fault::Cut { these, those, one_way } => {
                let paths = cut_paths(&these, &those, one_way);
                paths.for_each(|(from, to)| self.net.cut(from, to, begins));
            }
            Fault::Loss { share } => {
                self.net.loss = (self.net.loss + if begins { share } else { -share }).max(0.0)
            }
            Fault::Slow { member, by_ms } => self.net.set_delay(member, begins.then_some(by_ms)),
            Fault::Kill { member, folder } => self.set_down(member, phase, folder),
            // The model has no graceful shutdown; a kill that keeps the disk is at least as severe.
            Fault::Leave { member } => self.set_down(member, phase, Folder::Kept),
            Fault::KillThird { first } => {
                let members: Vec<usize> = third(first, count).collect();
                members.into_iter().for_each(|member| self.set_down(member, phase, Folder::Kept));
            }
            Fault::Stop { member } => {
                self.processes[member].paused = begins && self.processes[member].node.is_some();
                if !begins {
                    self.queue.schedule(now_ms, SimulationEvent::Resume { member });
                }
            }
            Fault::Unready { member } => {
                self.processes[member].ready = !begins;
                self.call(member, |node, clock_ms| node.set_ready(clock_ms, !begins));
            }
            Fault::Full { member } => {
                self.processes[member].disk_full = begins;
                if !begins {
                    self.processes[member].rewrite_disk();
                    self.call(member, |node, clock_ms| node.handle_storage_restored(clock_ms));
                }
            }
            Fault::Clock { member, by_ms } => {
                self.processes[member].wall_offset_ms = if begins { by_ms } else { 0.0 }
            }
        }
    }

    /// Kills a member or restarts it. A member with several such faults restarts when the last of them ends.
    fn set_down(&mut self, member: usize, phase: FaultPhase, folder: Folder) {
        let process = &mut self.processes[member];
        if phase == FaultPhase::Begins {
            process.down_count += 1;
            if process.node.is_some() {
                self.kill(member, folder);
            } else if folder == Folder::Wiped {
                if let Some(disk) = process.disk.take() {
                    self.record(Observation::Lost { memory: disk.id.0 });
                }
            }
            return;
        }
        process.down_count -= 1;
        if process.down_count == 0 && process.node.is_none() {
            self.start(member);
        }
    }

    // ---- observations ------------------------------------------------------------------------------

    fn record(&mut self, seen: Observation) {
        let event = Event { at: self.queue.now(), seen };
        self.report.audit.record(&event);
        if self.plan.keep_history {
            self.report.history.push(event);
        }
    }

    fn record_view(&mut self, member: usize) {
        let Some(node) = &self.processes[member].node else { return };
        let (memory, era, number) = (node.node().id.0, node.raft().epoch().0, node.view().number);
        let members = node.view().members.keys().map(|id| id.0).collect();
        let newest = self.processes.iter().all(|process| process.observed.view < number);
        self.processes[member].observed.view = number;
        self.record(Observation::View { memory, era, number, members });
        if newest {
            self.record_removals(member);
        }
    }

    /// Records the removals by a view when its first member installs it, and reports removed members that were healthy.
    fn record_removals(&mut self, member: usize) {
        let now_ms = self.queue.now();
        let Some(node) = &self.processes[member].node else { return };
        let no_global_fault = self.has_no_global_fault(now_ms);
        for (index, other) in self.processes.iter().enumerate() {
            let Some(id) = other.node.as_ref().map(|node| node.node().id) else { continue };
            if removed_last(node, id) && now_ms - other.last_fault_ms > HEALTHY_AFTER_MS && no_global_fault {
                self.report.healthy_removed.push((now_ms, index));
            }
        }
        self.deaths.observe_view(now_ms, node.view(), &mut self.report.removal_ms);
    }

    /// Returns whether no fault that affects the whole cluster is active or ended within [`HEALTHY_AFTER_MS`].
    fn has_no_global_fault(&self, now_ms: f64) -> bool {
        !self.plan.schedule.steps.iter().any(|step| {
            let is_global =
                matches!(step.fault, Fault::Loss { .. } | Fault::Cut { .. } | Fault::KillThird { .. });
            is_global && step.at_ms <= now_ms && now_ms < step.at_ms + step.for_ms + HEALTHY_AFTER_MS
        })
    }

    /// Records whether a member leads and acts at this moment.
    fn observe(&mut self, member: usize) {
        let clock_ms = self.clock_ms(member);
        let process = &self.processes[member];
        let Some(node) = process.node.as_ref().filter(|_| !process.paused) else { return };
        let (memory, era) = (node.node().id.0, node.raft().epoch().0);
        let term = node.raft().term().0;
        let acts = node.may_act(clock_ms);
        let leads = *node.raft().role() == Role::Leader;
        let (led_before, acted_before) = (process.observed.led, process.observed.acts);
        if leads && led_before != (era, term) {
            self.processes[member].observed.led = (era, term);
            self.record(Observation::Leads { memory, era, term });
        }
        self.processes[member].observed.acts = acts;
        if let Some(view) = acts {
            let event = Event { at: self.queue.now(), seen: Observation::Acts { memory, era, view } };
            self.report.audit.record(&event);
            if self.plan.keep_history && acts != acted_before {
                self.report.history.push(event);
            }
        }
    }

    /// Observes every member and the propagation of each death.
    fn observe_all(&mut self) {
        for member in 0..self.processes.len() {
            self.observe(member);
            self.observe_log(member);
        }
        let running = self.processes.iter().filter(|process| !process.paused);
        let nodes: Vec<&ClusterNode> = running.filter_map(|process| process.node.as_ref()).collect();
        self.deaths.observe(self.queue.now(), |id| {
            nodes
                .iter()
                .all(|node| node.swim().find(id).is_none_or(|update| update.state >= MemberState::Dead))
        });
    }

    /// Compares a member's newest committed entries with those that the other members hold at the same indexes.
    fn observe_log(&mut self, member: usize) {
        let process = &mut self.processes[member];
        let Some(node) = &process.node else { return };
        let (memory, era, raft) = (node.node().id.0, node.raft().epoch().0, node.raft());
        let log = (era, raft.commit_index());
        if self.plan.lean && process.observed.log == log {
            return;
        }
        let oldest = raft.persistent().snapshot.last.index;
        let from = raft.commit_index().saturating_sub(COMPARED_ENTRIES).max(oldest);
        let Some((previous, entries)) = raft.committed_after(from) else { return };
        process.observed.log = log;
        for (index, entry) in (previous.index + 1..).zip(&entries) {
            let mut hasher = DefaultHasher::new();
            entry.hash(&mut hasher);
            let seen = Observation::Decided { memory, era, index, hash: hasher.finish() };
            self.report.audit.record(&Event { at: self.queue.now(), seen });
        }
    }

    fn report_ended(&mut self, ended: Ended) {
        ended.known_ms.into_iter().for_each(|known_ms| self.report.known_ms.put(known_ms));
        self.report.deaths_not_known += ended.not_known;
    }

    fn observe_growth(&mut self) {
        let Some(growth) = self.growth.as_mut() else { return };
        let now_ms = self.queue.now();
        match growth.observe(now_ms, &self.processes, &self.net, &mut self.report.growth) {
            NextStep::Continue => {}
            NextStep::RunUntilMeasured => self.plan.duration_ms = f64::INFINITY,
            NextStep::End => self.plan.duration_ms = now_ms,
            NextStep::BeginDeaths => {
                let plan = growth.plan();
                for (index, member) in plan.deaths.iter().enumerate() {
                    let at_ms = now_ms + index as f64 * plan.death_ms;
                    let fault = Fault::Kill { member: *member, folder: Folder::Kept };
                    self.queue.schedule(at_ms, SimulationEvent::FaultBegins(self.plan.schedule.steps.len()));
                    self.plan.schedule.steps.push(Step { at_ms, for_ms: f64::INFINITY, fault });
                }
            }
        }
    }
}

/// Returns whether the last view change that a node knows removed a member.
fn removed_last(node: &ClusterNode, id: NodeId) -> bool {
    let last = node.raft().state().view_changes.back();
    last.is_some_and(|change| change.left.iter().any(|(left, _)| *left == id))
}

/// Returns a one-line description of a node's state for diagnosis.
fn describe(process: &Process, node: &ClusterNode) -> String {
    let (info, raft, view) = (node.node(), node.raft(), node.view());
    format!(
        "{} {:x} epoch {} term {} {:?} voters {:?} last {:?} committed {} view {} of {} alive {} leader {:x?} lease until {:.0} in view {} differing {:?}",
        info.name,
        info.id.0,
        raft.epoch().0,
        raft.term().0,
        raft.role(),
        raft.voters(),
        raft.persistent().last(),
        raft.commit_index(),
        view.number,
        view.members.len(),
        node.swim().present().count(),
        node.leader(),
        raft.leader_lease_until_ms() - process.clock_offset_ms,
        view.members.contains_key(&info.id),
        node.differing()
    )
}
