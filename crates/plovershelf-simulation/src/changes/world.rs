//! Event loop of a run: the processes of one strategy, their connections, the faults, and the checks of the promises.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use plovershelf_config_distribution::{Change, Edit, QuotaTable, Version};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::results::{summarize, RunReport, Traffic};
use super::shapes::{
    initial_quota, region_of, tenant, Fault, Scenario, Targets, FINAL_FAULT_FREE_MS, ORIGINS, TENANTS,
    UNKNOWN_TENANT, WARM_UP_MS, ZONES,
};
use super::{
    bytes_of, Fleet, Start, Strategy, AGREED_IS_IN_FORCE, BAD_CHANGES_NOTHING, CUT_OFF_SERVES_ON,
    IN_FORCE_MS, MESSAGE_OVERHEAD_BYTES, NEVER_BACKWARDS, ONE_CONTENT_A_NUMBER,
};
use crate::net::{Net, Queue};

/// Median one-way latency within a zone, in milliseconds.
const LATENCY_MS: f64 = 0.5;
/// Latency added between zones, in milliseconds.
const BETWEEN_ZONES_MS: f64 = 1.0;
/// Latency added between regions, in milliseconds.
const BETWEEN_REGIONS_MS: f64 = 30.0;
/// Latency that [`Fault::Slow`] adds, in milliseconds.
const SLOW_MS: f64 = 500.0;
/// Maximum additional delay of the second copy of a duplicated message, in milliseconds; it may arrive after later messages.
const DUPLICATE_DELAY_MS: f64 = 2000.0;
/// Bandwidth of a process's uplink, 1 Gbit/s, in bytes per millisecond.
const UPLINK_BYTES_PER_MS: f64 = 125_000.0;
/// Time after which peers notice that a process stopped while its machine is up, in milliseconds.
const CONNECTION_REFUSED_MS: f64 = 1.0;
/// Time that the consensus group takes to commit a change, in milliseconds.
const COMMIT_MS: f64 = 30.0;
/// Period over which the listeners start at the beginning of a run, in milliseconds.
const START_SPREAD_MS: f64 = 3000.0;

/// State of a process and its machine.
#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Up,
    /// The process is stopped; its machine is up and refuses connections.
    Stopped,
    /// The machine is lost and does not answer.
    Unreachable,
}

/// Event of the simulation. Faults are identified by their index in the scenario.
enum SimulationEvent<M> {
    Message {
        from: usize,
        to: usize,
        from_incarnation: u32,
        to_incarnation: u32,
        message: M,
    },
    Timeout {
        index: usize,
        incarnation: u32,
    },
    ConnectionLost {
        to: usize,
        incarnation: u32,
        of: usize,
    },
    Start(usize),
    FaultBegins(usize),
    FaultEnds(usize),
    Propose(Vec<Edit>),
    Committed {
        index: usize,
        incarnation: u32,
        change: Rc<Change>,
    },
    /// A second of the traffic measurement ends.
    SecondEnds,
    /// Message loss and corruption end.
    LossEnds,
}

struct Process<S: Strategy> {
    /// `None` while the process is down.
    strategy: Option<S>,
    state: State,
    /// Number of starts; identifies events for an earlier incarnation.
    incarnation: u32,
    /// Number of active faults that pause the process.
    pause_count: u32,
    /// Events that arrived while the process was paused.
    deferred: Vec<SimulationEvent<S::Message>>,
    stored: Option<S::Stored>,
    /// Time and queue number of the scheduled timeout.
    timeout: Option<(f64, u64)>,
    /// Connected peers, each with its incarnation when the connection was established.
    connections: BTreeMap<usize, u32>,
    /// Time at which the uplink has sent all earlier messages, in milliseconds.
    uplink_free_at: f64,
    traffic: Traffic,
    version: Version,
    /// Newest change that the consensus group delivered to an origin.
    committed: Version,
    reachable: bool,
    /// Versions that are not yet in force, each with the time from which the delay counts.
    due: VecDeque<(Version, f64)>,
    /// Set if a change took longer than [`IN_FORCE_MS`].
    late: bool,
    /// Number of active cuts that isolate the process.
    cut_count: u32,
    /// Start of the last such cut, in milliseconds.
    cut_since: f64,
    /// Version of the process at that time.
    cut_version: Version,
}

/// State of a run.
pub(super) struct World<S: Strategy> {
    scenario: Scenario,
    fleet: Fleet,
    queue: Queue<SimulationEvent<S::Message>>,
    net: Net,
    rng: Pcg32,
    processes: Vec<Process<S>>,
    /// Time of the last arrival by (sender, receiver), which keeps messages in order.
    last_arrival: BTreeMap<(usize, usize), f64>,
    /// Newest committed change.
    newest: Option<Rc<Change>>,
    /// Proposals that wait for the consensus group.
    waiting: VecDeque<Vec<Edit>>,
    /// Quotas after all committed changes.
    quotas: BTreeMap<String, f64>,
    /// First digest observed for each version.
    digests: BTreeMap<Version, u128>,
    /// Targets of each fault.
    fault_targets: Vec<Vec<usize>>,
    /// Buffer for the messages of one process, reused to avoid allocations.
    send: Vec<(usize, S::Message)>,
    results: RunReport,
}

impl<S: Strategy> World<S> {
    pub fn new(scenario: Scenario) -> Self {
        let quotas: BTreeMap<String, f64> = (0..TENANTS).map(|n| (tenant(n), initial_quota(n))).collect();
        let snapshot_bytes = bytes_of(&quotas);
        let content = QuotaTable::initial(quotas.iter().map(|(tenant, quota)| (tenant.as_str(), *quota)))
            .unwrap_or_else(|error| unreachable!("the initial quotas are valid: {error}"));
        let fleet = Fleet { listeners: scenario.listeners, content, snapshot_bytes, seed: scenario.seed };
        let mut net = Net::new(scenario.seed, LATENCY_MS);
        net.between_zones_ms = BETWEEN_ZONES_MS;
        net.loss = scenario.loss;
        let process = |_| Process {
            strategy: None,
            state: State::Stopped,
            incarnation: 0,
            pause_count: 0,
            deferred: Vec::new(),
            stored: None,
            timeout: None,
            connections: BTreeMap::new(),
            uplink_free_at: 0.0,
            traffic: Traffic::default(),
            version: Version::default(),
            committed: Version::default(),
            reachable: false,
            due: VecDeque::new(),
            late: false,
            cut_count: 0,
            cut_since: 0.0,
            cut_version: Version::default(),
        };
        World {
            processes: (0..fleet.process_count()).map(process).collect(),
            rng: Pcg32::seed_from_u64(scenario.seed ^ 0x77e5),
            fault_targets: vec![Vec::new(); scenario.steps.len()],
            queue: Queue::default(),
            last_arrival: BTreeMap::new(),
            newest: None,
            waiting: VecDeque::new(),
            digests: BTreeMap::new(),
            send: Vec::new(),
            results: RunReport::default(),
            quotas,
            fleet,
            net,
            scenario,
        }
    }

    /// Runs the scenario and returns the results. `fault_targets` replaces the targets that would be selected for each fault.
    pub fn run(mut self, fault_targets: Option<&[Vec<usize>]>) -> RunReport {
        for index in 0..self.processes.len() {
            let at = if index < ORIGINS { 0.0 } else { self.rng.random_range(0.0..START_SPREAD_MS) };
            self.queue.schedule(at, SimulationEvent::Start(index));
        }
        for (number, step) in self.scenario.steps.iter().enumerate() {
            self.queue.schedule(step.at_ms, SimulationEvent::FaultBegins(number));
            self.queue.schedule(step.at_ms + step.for_ms, SimulationEvent::FaultEnds(number));
        }
        for (at, edits) in std::mem::take(&mut self.scenario.changes) {
            self.queue.schedule(at, SimulationEvent::Propose(edits));
        }
        self.queue.schedule(1000.0, SimulationEvent::SecondEnds);
        self.queue.schedule(self.scenario.span_ms - FINAL_FAULT_FREE_MS, SimulationEvent::LossEnds);
        while let Some(event) = self.queue.pop() {
            if self.queue.now() > self.scenario.span_ms {
                break;
            }
            self.results.events += 1;
            self.handle_event(event, fault_targets);
        }
        self.into_results()
    }

    fn handle_event(&mut self, event: SimulationEvent<S::Message>, fault_targets: Option<&[Vec<usize>]>) {
        let now = self.queue.now();
        match event {
            SimulationEvent::Message { from, to, from_incarnation, to_incarnation, message } => {
                let process = &mut self.processes[to];
                if process.state != State::Up || process.incarnation != to_incarnation {
                    if process.state != State::Unreachable {
                        self.schedule_connection_lost(from, from_incarnation, to);
                    }
                } else if process.pause_count > 0 {
                    process.deferred.push(SimulationEvent::Message {
                        from,
                        to,
                        from_incarnation,
                        to_incarnation,
                        message,
                    });
                } else {
                    process.traffic.bytes +=
                        (bytes_of(&message) + S::unencoded_bytes(&message) + MESSAGE_OVERHEAD_BYTES) as u64;
                    process.traffic.messages += 1;
                    if S::CONNECTION_ORIENTED {
                        process.connections.insert(from, from_incarnation);
                    }
                    if let Some(strategy) = &mut process.strategy {
                        strategy.handle_message(now, from, message);
                    }
                    self.process_output(to);
                }
            }
            SimulationEvent::Timeout { index, incarnation } => {
                let process = &mut self.processes[index];
                if process.incarnation != incarnation || process.state != State::Up {
                    return;
                }
                process.timeout = None;
                if process.pause_count > 0 {
                    return;
                }
                if let Some(strategy) = &mut process.strategy {
                    strategy.handle_timeout(now);
                }
                self.process_output(index);
            }
            SimulationEvent::ConnectionLost { to, incarnation, of } => {
                let process = &mut self.processes[to];
                if process.incarnation != incarnation || process.state != State::Up {
                    return;
                }
                if process.pause_count > 0 {
                    process.deferred.push(SimulationEvent::ConnectionLost { to, incarnation, of });
                    return;
                }
                process.connections.remove(&of);
                if let Some(strategy) = &mut process.strategy {
                    strategy.handle_connection_lost(now, of);
                }
                self.process_output(to);
            }
            SimulationEvent::Start(index) => self.start(index),
            SimulationEvent::FaultBegins(number) => self.begin_fault(number, fault_targets),
            SimulationEvent::FaultEnds(number) => self.end_fault(number),
            SimulationEvent::Propose(edits) => {
                self.waiting.push_back(edits);
                self.propose();
            }
            SimulationEvent::Committed { index, incarnation, change } => {
                let process = &mut self.processes[index];
                if process.incarnation != incarnation
                    || process.state != State::Up
                    || change.version <= process.committed
                {
                    return;
                }
                if process.pause_count > 0 {
                    process.deferred.push(SimulationEvent::Committed { index, incarnation, change });
                    return;
                }
                process.committed = change.version;
                if let Some(strategy) = &mut process.strategy {
                    strategy.handle_commit(now, &change);
                }
                self.process_output(index);
                self.propose();
            }
            SimulationEvent::SecondEnds => self.end_second(),
            SimulationEvent::LossEnds => (self.net.loss, self.scenario.mangled) = (0.0, 0.0),
        }
    }

    /// Notifies an incarnation of process `to` that its connection to process `of` is lost.
    fn schedule_connection_lost(&mut self, to: usize, incarnation: u32, of: usize) {
        if S::CONNECTION_ORIENTED && !self.net.is_cut(of, to) && !self.net.is_cut(to, of) {
            self.queue.schedule(
                self.queue.now() + CONNECTION_REFUSED_MS,
                SimulationEvent::ConnectionLost { to, incarnation, of },
            );
        }
    }

    /// Sends the messages that a process produced, checks its version against the promises and schedules its next timeout.
    fn process_output(&mut self, index: usize) {
        let now = self.queue.now();
        let mut send = std::mem::take(&mut self.send);
        let Some(strategy) = &mut self.processes[index].strategy else { return };
        strategy.poll_messages(&mut send);
        for (to, message) in send.drain(..) {
            self.transmit(index, to, message);
        }
        self.send = send;
        let process = &mut self.processes[index];
        let Some(strategy) = &process.strategy else { return };
        let version = strategy.version();
        if version != process.version {
            let before = std::mem::replace(&mut process.version, version);
            if version < before {
                let describe = || format!("version {before} was followed by {version}");
                self.results.record_violation(NEVER_BACKWARDS, now, index, describe);
            }
            if let Some(digest) = strategy.digest() {
                let first = *self.digests.entry(version).or_insert(digest);
                if first != digest {
                    let describe =
                        || format!("version {version} has digest {first:x} elsewhere and {digest:x} here");
                    self.results.record_violation(ONE_CONTENT_A_NUMBER, now, index, describe);
                }
            }
            if self.scenario.mangled > 0.0 && strategy.has_tenant(UNKNOWN_TENANT) {
                let describe = || format!("version {version} contains an invalid edit");
                self.results.record_violation(BAD_CHANGES_NOTHING, now, index, describe);
            }
            while let Some((_, since)) = process.due.pop_front_if(|(due, _)| *due <= version) {
                if now >= WARM_UP_MS {
                    let after_ms = now - since;
                    self.results.in_force_ms.put(after_ms);
                    if after_ms > IN_FORCE_MS && !process.late {
                        process.late = true;
                        if self.results.seen.len() < 8 {
                            self.results.seen.push(format!(
                                "process {index}: version {version} in force after {after_ms:.0} ms, due since {since:.0}"
                            ));
                        }
                    }
                }
            }
        }
        self.schedule_timeout(index);
    }

    /// Schedules the next timeout of a process, unless an earlier one is scheduled.
    fn schedule_timeout(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let Some(strategy) = &process.strategy else { return };
        let at = strategy.poll_timeout();
        match process.timeout {
            Some((scheduled, _)) if scheduled <= at => {}
            scheduled => {
                if let Some((_, number)) = scheduled {
                    self.queue.cancel(number);
                }
                let number = self
                    .queue
                    .schedule(at, SimulationEvent::Timeout { index, incarnation: process.incarnation });
                process.timeout = Some((at, number));
            }
        }
    }

    /// Sends a message: counts its traffic, checks the connection and schedules its delivery.
    fn transmit(&mut self, from: usize, to: usize, message: S::Message) {
        if to >= self.processes.len() || to == from {
            return;
        }
        let now = self.queue.now();
        let bytes = bytes_of(&message) + S::unencoded_bytes(&message) + MESSAGE_OVERHEAD_BYTES;
        let (to_incarnation, to_state) = (self.processes[to].incarnation, self.processes[to].state);
        let process = &mut self.processes[from];
        process.traffic.bytes += bytes as u64;
        process.traffic.messages += 1;
        process.traffic.peers.push(to as u32);
        let leaves = process.uplink_free_at.max(now) + bytes as f64 / UPLINK_BYTES_PER_MS;
        process.uplink_free_at = leaves;
        let from_incarnation = process.incarnation;
        if S::CONNECTION_ORIENTED {
            // A connection to an earlier incarnation of the peer breaks at the first message that is sent on it.
            let connected_incarnation = *process.connections.entry(to).or_insert(to_incarnation);
            if connected_incarnation != to_incarnation && to_state == State::Up {
                process.connections.remove(&to);
                self.schedule_connection_lost(from, from_incarnation, to);
                return;
            }
        }
        let mut message = message;
        if self.scenario.mangled > 0.0 && now >= WARM_UP_MS && self.rng.random_bool(self.scenario.mangled) {
            S::corrupt(&mut message, &mut self.rng);
        }
        let region_ms = if region_of(from) == region_of(to) { 0.0 } else { BETWEEN_REGIONS_MS };
        for (copy, latency_ms) in self.net.send(from, to, ZONES, bytes).into_iter().enumerate() {
            let mut at = leaves + latency_ms + region_ms;
            if copy > 0 {
                at += self.rng.random_range(0.0..DUPLICATE_DELAY_MS);
            } else if S::CONNECTION_ORIENTED {
                let last = self.last_arrival.entry((from, to)).or_default();
                at = at.max(*last);
                *last = at;
            }
            let message = message.clone();
            self.queue.schedule(
                at,
                SimulationEvent::Message { from, to, from_incarnation, to_incarnation, message },
            );
        }
    }

    fn start(&mut self, index: usize) {
        let now = self.queue.now();
        let seed = self.rng.random();
        let process = &mut self.processes[index];
        if process.state == State::Up {
            return;
        }
        process.incarnation += 1;
        process.state = State::Up;
        process.connections.clear();
        process.deferred.clear();
        process.timeout = None;
        process.committed = Version::default();
        let stored = process.stored.take();
        let strategy = S::start(Start { index, fleet: &self.fleet, seed, stored }, now);
        process.version = strategy.version();
        process.strategy = Some(strategy);
        self.process_output(index);
        self.update_reachability();
    }

    /// Returns the targets of a fault that begins now.
    fn select_targets(&mut self, number: usize) -> Vec<usize> {
        match self.scenario.steps[number].targets.clone() {
            Targets::Processes(indexes) => indexes,
            Targets::Relays(share) => {
                let now = self.queue.now();
                let has_children = |index: &usize| {
                    let strategy = self.processes[*index].strategy.as_ref();
                    strategy.is_some_and(|strategy| strategy.status(now).children > 0)
                };
                let mut relays: Vec<usize> = (ORIGINS..self.processes.len()).filter(has_children).collect();
                let count = ((relays.len() as f64 * share).round() as usize).max(1);
                let mut drawn = Vec::new();
                while drawn.len() < count && !relays.is_empty() {
                    drawn.push(relays.swap_remove(self.rng.random_range(0..relays.len())));
                }
                drawn.sort_unstable();
                drawn
            }
        }
    }

    /// Returns all processes except these, which must be sorted.
    fn others(&self, indexes: &[usize]) -> Vec<usize> {
        (0..self.processes.len()).filter(|index| indexes.binary_search(index).is_err()).collect()
    }

    fn begin_fault(&mut self, number: usize, fault_targets: Option<&[Vec<usize>]>) {
        let now = self.queue.now();
        let indexes = match fault_targets.and_then(|fault_targets| fault_targets.get(number)) {
            Some(indexes) => indexes.clone(),
            None => self.select_targets(number),
        };
        match self.scenario.steps[number].fault {
            Fault::Killed => indexes.iter().for_each(|index| self.stop(*index, State::Stopped)),
            Fault::MachineLost => indexes.iter().for_each(|index| self.stop(*index, State::Unreachable)),
            Fault::Paused => indexes.iter().for_each(|index| self.processes[*index].pause_count += 1),
            Fault::CutOff => {
                self.cut(&indexes, &self.others(&indexes), true, true);
                for index in &indexes {
                    let process = &mut self.processes[*index];
                    process.cut_count += 1;
                    (process.cut_since, process.cut_version) = (now, process.version);
                }
            }
            Fault::OriginsUnheard => self.cut(&(0..ORIGINS).collect::<Vec<_>>(), &indexes, true, false),
            Fault::Slow => indexes.iter().for_each(|index| self.net.set_delay(*index, Some(SLOW_MS))),
        }
        self.fault_targets[number] = indexes;
        self.update_reachability();
    }

    /// Adds or removes a cut from every sender to every receiver, with `both` also in the opposite direction.
    fn cut(&mut self, senders: &[usize], receivers: &[usize], cut: bool, both: bool) {
        for sender in senders {
            for receiver in receivers {
                self.net.cut(*sender, *receiver, cut);
                if both {
                    self.net.cut(*receiver, *sender, cut);
                }
            }
        }
    }

    fn end_fault(&mut self, number: usize) {
        let indexes = self.fault_targets[number].clone();
        match self.scenario.steps[number].fault {
            Fault::Killed | Fault::MachineLost => indexes.iter().for_each(|index| self.start(*index)),
            Fault::Paused => {
                for index in &indexes {
                    let process = &mut self.processes[*index];
                    process.pause_count -= 1;
                    if process.pause_count == 0 {
                        let incarnation = process.incarnation;
                        let deferred = std::mem::take(&mut process.deferred);
                        let now = self.queue.now();
                        for event in deferred {
                            self.queue.schedule(now, event);
                        }
                        self.queue.schedule(now, SimulationEvent::Timeout { index: *index, incarnation });
                    }
                }
            }
            Fault::CutOff => {
                indexes.iter().for_each(|index| self.check_isolated(*index));
                self.cut(&indexes, &self.others(&indexes), false, true);
                indexes.iter().for_each(|index| self.processes[*index].cut_count -= 1);
            }
            Fault::OriginsUnheard => self.cut(&(0..ORIGINS).collect::<Vec<_>>(), &indexes, false, false),
            Fault::Slow => indexes.iter().for_each(|index| self.net.set_delay(*index, None)),
        }
        self.update_reachability();
    }

    /// Checks a listener at the end of a cut: its version has not decreased and, if no origin was on its side of the cut, the
    /// age that it reports is at least the duration of the cut.
    fn check_isolated(&mut self, index: usize) {
        let now = self.queue.now();
        let without_origin = self.scenario.name == "back";
        let process = &self.processes[index];
        let Some(strategy) = process.strategy.as_ref().filter(|_| index >= ORIGINS) else { return };
        if strategy.version() < process.cut_version {
            let describe =
                || format!("version {} before the cut, {} after it", process.cut_version, strategy.version());
            self.results.record_violation(CUT_OFF_SERVES_ON, now, index, describe);
        }
        if let (true, Some(age_ms)) = (without_origin, strategy.status(now).age_ms) {
            let cut_ms = now - process.cut_since;
            if age_ms < cut_ms - 1.0 {
                let describe = || format!("reports an age of {age_ms:.0} ms after a cut of {cut_ms:.0} ms");
                self.results.record_violation(CUT_OFF_SERVES_ON, now, index, describe);
            }
        }
    }

    /// Stops a process and notifies its peers if its machine stays up.
    fn stop(&mut self, index: usize, state: State) {
        let now = self.queue.now();
        let process = &mut self.processes[index];
        if process.state != State::Up {
            return;
        }
        process.state = state;
        process.reachable = false;
        process.due.clear();
        if let Some((_, number)) = process.timeout.take() {
            self.queue.cancel(number);
        }
        // An origin restarts with the state stored by the consensus group, a listener with the initial content.
        let strategy = process.strategy.take();
        process.stored = if index < ORIGINS { strategy.and_then(S::into_stored) } else { None };
        let connections = std::mem::take(&mut process.connections);
        if state == State::Stopped {
            for peer in connections.into_keys() {
                let incarnation = self.processes[peer].incarnation;
                if self.processes[peer].connections.contains_key(&index) && !self.net.is_cut(index, peer) {
                    self.queue.schedule(
                        now + CONNECTION_REFUSED_MS,
                        SimulationEvent::ConnectionLost { to: peer, incarnation, of: index },
                    );
                }
            }
        }
    }

    /// Returns whether a process is up and not paused.
    fn is_running(&self, index: usize) -> bool {
        self.processes[index].state == State::Up && self.processes[index].pause_count == 0
    }

    /// Returns whether no cut separates two processes in either direction.
    fn is_connected(&self, first: usize, second: usize) -> bool {
        !self.net.is_cut(first, second) && !self.net.is_cut(second, first)
    }

    /// Returns the origins that can commit changes: the largest majority that is connected to one of its members.
    fn consensus_group(&self) -> Vec<usize> {
        let connected_to = |leader: usize| -> Vec<usize> {
            (0..ORIGINS)
                .filter(|origin| {
                    self.is_running(*origin) && (*origin == leader || self.is_connected(leader, *origin))
                })
                .collect()
        };
        let groups = (0..ORIGINS).filter(|leader| self.is_running(*leader)).map(connected_to);
        groups.filter(|group| group.len() * 2 > ORIGINS).max_by_key(Vec::len).unwrap_or_default()
    }

    /// Updates which listeners are reachable: running and connected to an origin of the consensus group, or to any running
    /// origin if there is no majority.
    fn update_reachability(&mut self) {
        let now = self.queue.now();
        let mut up_to_date = self.consensus_group();
        if up_to_date.is_empty() {
            up_to_date = (0..ORIGINS).filter(|origin| self.is_running(*origin)).collect();
        }
        let newest = self.newest.as_ref().map(|newest| newest.version).unwrap_or_default();
        for index in ORIGINS..self.processes.len() {
            let reachable =
                self.is_running(index) && up_to_date.iter().any(|origin| self.is_connected(*origin, index));
            let process = &mut self.processes[index];
            if reachable && !process.reachable && process.version < newest {
                process.due.push_back((newest, now));
            }
            if !reachable {
                process.due.clear();
            }
            process.reachable = reachable;
        }
    }

    /// Commits the next waiting proposal once the leader has applied the previous one. Drops all proposals if there is no
    /// majority of origins.
    fn propose(&mut self) {
        let now = self.queue.now();
        let group = self.consensus_group();
        let Some(leader) = group.first().copied() else {
            self.results.not_agreed += self.waiting.len() as u64;
            self.waiting.clear();
            return;
        };
        let newest = self.newest.as_ref().map(|newest| newest.version).unwrap_or_default();
        let Some(strategy) = &mut self.processes[leader].strategy else { return };
        if strategy.version() != newest {
            return;
        }
        let Some(edits) = self.waiting.pop_front() else { return };
        let digest = strategy.digest();
        // Check with each proposal that an invalid change is rejected and changes nothing.
        let invalid = vec![Edit::Set { tenant: UNKNOWN_TENANT.into(), quota_per_s: 1.0 }];
        let rejected = digest.is_none() || strategy.prepare_change(invalid, newest, 0).is_err();
        let prepared = strategy.prepare_change(edits, newest, now as u64);
        if !rejected || strategy.digest() != digest || strategy.version() != newest {
            let describe = || "a quota of an unknown tenant was accepted".to_string();
            self.results.record_violation(BAD_CHANGES_NOTHING, now, leader, describe);
        }
        let change = match prepared {
            Ok(change) => Rc::new(change),
            Err(error) => {
                let describe = || format!("a valid change was rejected: {error}");
                self.results.record_violation(BAD_CHANGES_NOTHING, now, leader, describe);
                return;
            }
        };
        self.results.agreed += u64::from(now >= WARM_UP_MS);
        for edit in &change.edits {
            match edit.quota_per_s() {
                Some(quota) => drop(self.quotas.insert(edit.tenant().into(), quota)),
                None => drop(self.quotas.remove(edit.tenant())),
            }
        }
        self.newest = Some(change.clone());
        for index in ORIGINS..self.processes.len() {
            let process = &mut self.processes[index];
            if process.reachable {
                process.due.push_back((change.version, now));
            }
        }
        for origin in group {
            let after_ms = COMMIT_MS * if origin == leader { 1.0 } else { 1.0 + self.rng.random::<f64>() };
            let incarnation = self.processes[origin].incarnation;
            self.queue.schedule(
                now + after_ms,
                SimulationEvent::Committed { index: origin, incarnation, change: change.clone() },
            );
        }
    }

    /// Ends a second of the traffic measurement and delivers the newest change to origins that lag behind.
    fn end_second(&mut self) {
        let now = self.queue.now();
        self.queue.schedule(now + 1000.0, SimulationEvent::SecondEnds);
        let counts = now > WARM_UP_MS && now <= self.scenario.span_ms - FINAL_FAULT_FREE_MS / 2.0;
        for process in &mut self.processes {
            let children = process.strategy.as_ref().map_or(0, |strategy| strategy.status(now).children);
            process.traffic.end_second(counts, process.state == State::Up, children);
        }
        self.propose();
        // The consensus group replicates the newest change to members that missed it.
        let Some(newest) = self.newest.clone() else { return };
        for index in self.consensus_group() {
            let process = &self.processes[index];
            if process.committed < newest.version {
                let incarnation = process.incarnation;
                let at = now + self.rng.random_range(50.0..300.0);
                self.queue
                    .schedule(at, SimulationEvent::Committed { index, incarnation, change: newest.clone() });
            }
        }
    }

    fn into_results(mut self) -> RunReport {
        let now = self.scenario.span_ms;
        let newest = self.newest.as_ref().map(|newest| newest.version).unwrap_or_default();
        let mut depth = 0;
        for index in 0..self.processes.len() {
            let process = &self.processes[index];
            let Some(strategy) = &process.strategy else { continue };
            let status = strategy.status(now);
            if index < ORIGINS {
                self.results.counted += status.under;
                self.results.counted_in_force += status.in_force;
            } else {
                let (mut at, mut hops) = (index, 0);
                while let Some(parent) =
                    self.processes[at].strategy.as_ref().and_then(|strategy| strategy.status(now).parent)
                {
                    (at, hops) = (parent, hops + 1);
                    if hops > 9 {
                        break;
                    }
                }
                depth = depth.max(hops);
            }
            if strategy.version() == newest && strategy.differs_from(&self.quotas) {
                let describe = || format!("version {newest} differs from the committed content");
                self.results.record_violation(ONE_CONTENT_A_NUMBER, now, index, describe);
            }
            if index < ORIGINS || !process.reachable {
                continue;
            }
            self.results.reachable += 1;
            self.results.late += u64::from(process.late);
            if process.version < newest || !process.due.is_empty() {
                self.results.missed += 1;
                let describe =
                    || format!("has version {}, not {newest}; parent {:?}", process.version, status.parent);
                self.results.record_violation(AGREED_IS_IN_FORCE, now, index, describe);
            }
        }
        let traffic: Vec<Traffic> = self.processes.into_iter().map(|process| process.traffic).collect();
        self.results.spent = summarize(&traffic, ORIGINS, depth);
        self.results.fault_targets = self.fault_targets;
        self.results
    }
}
