//! Event loop of a run: members, network, clients and faults.

use std::collections::BTreeMap;

use plovershelf_cluster::NodeId;
use plovershelf_replication::{
    Event as ReplicationEvent, IdempotencyKey, Message, Outcome, Replicator, RequestId, ViewNumber,
};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_pcg::Pcg32;

use super::events::{Event, Process, ProcessEvent};
use super::node::{Attempt, LocalRecord, Node};
use super::plan::{Mode, Plan};
use super::report::{AttemptTarget, KeyHistory, Report};
use super::views::{ObservedMember, ViewService};
use crate::net::{Net, Queue};
use crate::schedule::{cut_paths, third, Fault, FaultPhase};

/// Time within which a request must be launched, in milliseconds.
const DEADLINE_MS: f64 = 3000.0;
/// Median time after which a client abandons an attempt and retries elsewhere, in milliseconds.
const CLIENT_TIMEOUT_MS: f64 = 600.0;
/// Maximum number of retries of a request.
const RETRIES: u32 = 5;
/// Interval at which the group checks its members, in milliseconds.
const VIEW_INTERVAL_MS: f64 = 50.0;
/// Duration of the run after the end of the schedule, in milliseconds.
const SETTLE_MS: f64 = 10_000.0;

/// State of one run.
pub struct World {
    plan: Plan,
    queue: Queue<Event>,
    net: Net,
    rng: Pcg32,
    nodes: Vec<Node>,
    views: ViewService,
    histories: BTreeMap<u64, KeyHistory>,
    under_replicated_since_ms: Option<f64>,
    report: Report,
    last_key: u64,
    ends_ms: f64,
}

impl World {
    /// Runs a plan and returns the results.
    pub fn run(plan: Plan) -> Report {
        let mut rng = Pcg32::seed_from_u64(plan.seed ^ 0xc0_91e5);
        let mut net = Net::new(rng.random(), plan.one_way_ms);
        net.between_zones_ms = plan.between_zones_ms;
        let nodes = (0..plan.schedule.members).map(|_| Node::new(random_id(&mut rng))).collect();
        let ends_ms = plan.schedule.ends_ms();
        let mut world = World {
            plan,
            queue: Queue::default(),
            net,
            rng,
            nodes,
            views: ViewService::default(),
            histories: BTreeMap::new(),
            under_replicated_since_ms: None,
            report: Report::default(),
            last_key: 0,
            ends_ms,
        };
        world.process_events();
        let mut report = world.report.with_key_counts(&world.histories);
        report.messages = world.net.messages_sent;
        report
    }

    fn process_events(&mut self) {
        for member in 0..self.nodes.len() {
            self.start(member);
        }
        let all = self.nodes.iter().enumerate().map(|(member, node)| (member, node.id)).collect();
        self.install_view(all);
        for (index, step) in self.plan.schedule.steps.iter().enumerate() {
            self.queue.schedule(step.at_ms, Event::FaultBegins(index));
            self.queue.schedule(step.at_ms + step.for_ms, Event::FaultEnds(index));
        }
        self.queue.schedule(300.0, Event::NewKey);
        self.queue.schedule(VIEW_INTERVAL_MS, Event::UpdateView);
        while let Some(event) = self.queue.pop() {
            if self.queue.now() > self.ends_ms + SETTLE_MS {
                break;
            }
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Process(process, event) => self.handle_process_event(process, event),
            Event::FaultBegins(index) => self.apply_fault(index, FaultPhase::Begins),
            Event::FaultEnds(index) => self.apply_fault(index, FaultPhase::Ends),
            Event::UpdateView => self.update_view(),
            Event::NewKey => self.new_key(),
            Event::Attempt { key, retries_left } => self.attempt(key, retries_left),
        }
    }

    fn handle_process_event(&mut self, process: Process, event: ProcessEvent) {
        let member = process.member;
        let node = &mut self.nodes[member];
        if node.paused {
            return node.defer(process, event);
        }
        if !node.is_current(process) {
            return;
        }
        match event {
            ProcessEvent::Message { from, message } => {
                let from = self.nodes[from].id;
                self.drive(member, |replicator, now_ms| replicator.handle_message(now_ms, from, *message));
            }
            ProcessEvent::Timeout => {
                node.timeout_at_ms = f64::INFINITY;
                self.drive(member, |replicator, now_ms| replicator.handle_timeout(now_ms));
            }
            ProcessEvent::View { number } => {
                let members = self.views.members(number, self.plan.schedule.zones);
                let view = ViewNumber(number);
                self.drive(member, |replicator, now_ms| replicator.update_view(now_ms, view, members));
            }
            ProcessEvent::ExecutionEnds(request) => self.handle_execution_end(member, request),
            ProcessEvent::ClientTimeout(request) => self.handle_client_timeout(member, request),
        }
    }

    // ---- views -----------------------------------------------------------------------------------------

    fn install_view(&mut self, view: Vec<(usize, NodeId)>) {
        self.views.add(view);
        for member in 0..self.nodes.len() {
            self.send_view(member);
        }
    }

    /// Schedules the delivery of the last view to a member: within 5 ms, and within 300 ms for one delivery in ten. A member
    /// that is down or paused when it arrives handles it when it resumes, or is sent the view again.
    fn send_view(&mut self, member: usize) {
        let within_ms = if self.rng.random::<f64>() < 0.1 { 300.0 } else { 5.0 };
        let at_ms = self.queue.now() + within_ms * self.rng.random::<f64>();
        let event = ProcessEvent::View { number: self.views.last_number() };
        self.queue.schedule(at_ms, Event::Process(self.nodes[member].process(member), event));
    }

    fn update_view(&mut self) {
        let now_ms = self.queue.now();
        self.queue.schedule(now_ms + VIEW_INTERVAL_MS, Event::UpdateView);
        let observed: Vec<ObservedMember> = (0..self.nodes.len())
            .map(|member| ObservedMember { id: self.nodes[member].id, reachable: self.is_reachable(member) })
            .collect();
        if let Some(view) = self.views.next(now_ms, &observed) {
            self.install_view(view);
        }
        // Send the last view again to members that missed it.
        let last = self.views.last_number();
        for member in (0..observed.len()).filter(|member| observed[*member].reachable) {
            let behind = |replicator: &Replicator| replicator.view().0 < last;
            if self.nodes[member].replicator.as_ref().is_some_and(behind) && self.rng.random::<f64>() < 0.5 {
                self.send_view(member);
            }
        }
        self.observe_replicas(now_ms);
    }

    /// Returns whether a member is up, not paused, and connected in both directions to more than half of all members.
    fn is_reachable(&self, member: usize) -> bool {
        let count = self.nodes.len();
        let connected = |other: &usize| !self.net.is_cut(member, *other) && !self.net.is_cut(*other, member);
        let node = &self.nodes[member];
        node.is_up() && !node.paused && (0..count).filter(connected).count() * 2 > count
    }

    /// Records the number of records and the periods in which a key is under-replicated.
    fn observe_replicas(&mut self, now_ms: f64) {
        let running = || self.nodes.iter().filter_map(|node| node.replicator.as_ref());
        let under_replicated: usize = running().map(Replicator::under_replicated_count).sum();
        let records = running().map(Replicator::record_count).max().unwrap_or(0);
        self.report.max_records = self.report.max_records.max(records);
        match (under_replicated > 0, self.under_replicated_since_ms) {
            (true, None) => self.under_replicated_since_ms = Some(now_ms),
            (false, Some(since_ms)) => {
                self.report.max_under_replicated_ms =
                    self.report.max_under_replicated_ms.max(now_ms - since_ms);
                self.under_replicated_since_ms = None;
            }
            _ => {}
        }
    }

    // ---- one member ------------------------------------------------------------------------------------

    fn start(&mut self, member: usize) {
        let id = random_id(&mut self.rng);
        self.nodes[member].start(id, self.plan.config.clone(), self.queue.now());
        self.drive(member, |_, _| ());
    }

    /// Removes a machine with its disk. Its clients notice the broken connection and retry at other backends.
    fn kill(&mut self, member: usize) {
        self.report.machines_lost += 1;
        let lost = self.nodes[member].kill();
        for key in lost.running_keys {
            if let Some(history) = self.histories.get_mut(&key) {
                history.record_loss_while_running();
            }
        }
        let down = self.nodes.iter().filter(|node| !node.is_up()).count() as u64;
        self.report.max_lost_at_once = self.report.max_lost_at_once.max(down);
        for attempt in lost.attempts {
            self.retry(attempt.key, attempt.retries_left, 5.0);
        }
    }

    /// Passes an input to a member's state machine and executes the resulting actions.
    fn drive(&mut self, member: usize, input: impl FnOnce(&mut Replicator, f64)) {
        let now_ms = self.queue.now();
        let Some(replicator) = self.nodes[member].replicator.as_mut() else { return };
        input(replicator, now_ms);
        let actions = replicator.poll_actions();
        let timeout_at_ms = replicator.poll_timeout();
        for (to, message) in actions.messages {
            self.send(member, to, message);
        }
        for event in actions.events {
            self.handle_replication_event(member, event);
        }
        let node = &mut self.nodes[member];
        if timeout_at_ms < node.timeout_at_ms - 0.5 {
            node.timeout_at_ms = timeout_at_ms;
            let process = node.process(member);
            self.queue.schedule(timeout_at_ms, Event::Process(process, ProcessEvent::Timeout));
        }
    }

    fn send(&mut self, from: usize, to: NodeId, message: Message) {
        let Some(to) = self.nodes.iter().position(|node| node.id == to && node.is_up()) else { return };
        let process = self.nodes[to].process(to);
        for delay_ms in self.net.send(from, to, self.plan.schedule.zones, 0) {
            let event = ProcessEvent::Message { from, message: Box::new(message.clone()) };
            self.queue.schedule(self.queue.now() + delay_ms, Event::Process(process, event));
        }
    }

    fn handle_replication_event(&mut self, member: usize, event: ReplicationEvent) {
        match event {
            ReplicationEvent::Launch(request) => self.launch(member, request),
            ReplicationEvent::AlreadyCompleted(request, outcome)
            | ReplicationEvent::OutcomeReplicated(request, outcome) => {
                let succeeded = matches!(outcome, Outcome::Succeeded(_));
                let attempt = self.nodes[member].attempts.get(&request).filter(|_| succeeded);
                if let Some(completed_at_ms) = attempt.and_then(|attempt| attempt.completed_at_ms) {
                    self.report.answer_wait_ms.put(self.queue.now() - completed_at_ms);
                }
                self.answer(member, request, outcome);
            }
            ReplicationEvent::OutcomeProvisional(..) => {}
            ReplicationEvent::Rejected(request) => self.reject(member, request),
        }
    }

    fn launch(&mut self, member: usize, request: RequestId) {
        let now_ms = self.queue.now();
        let node = &mut self.nodes[member];
        let Some(attempt) = node.attempts.get(&request).copied() else { return };
        node.running.insert(request);
        let process = node.process(member);
        self.report.launch_wait_ms.put(now_ms - attempt.started_at_ms);
        if let Some(history) = self.histories.get_mut(&attempt.key) {
            history.record_launch();
        }
        let run_ms = LogNormal::new(self.plan.run_ms.ln(), 0.4)
            .map_or(self.plan.run_ms, |distribution| distribution.sample(&mut self.rng));
        self.queue.schedule(now_ms + run_ms, Event::Process(process, ProcessEvent::ExecutionEnds(request)));
    }

    fn handle_execution_end(&mut self, member: usize, request: RequestId) {
        let now_ms = self.queue.now();
        let outcome = Outcome::Succeeded(self.rng.random::<u64>().to_be_bytes().to_vec());
        let node = &mut self.nodes[member];
        node.running.remove(&request);
        if let Some(attempt) = node.attempts.get_mut(&request) {
            attempt.completed_at_ms = Some(now_ms);
        }
        match self.plan.mode {
            Mode::Replicated => {
                self.drive(member, |replicator, now_ms| replicator.complete(now_ms, request, outcome));
            }
            Mode::Alone => {
                if let Some(attempt) = node.attempts.get(&request) {
                    node.local_records.insert(attempt.key, LocalRecord::Completed(outcome.clone()));
                }
                self.answer(member, request, outcome);
            }
        }
    }

    // ---- clients ---------------------------------------------------------------------------------------

    fn new_key(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.rng);
        let now_ms = self.queue.now();
        if now_ms < self.ends_ms {
            self.queue.schedule(now_ms + gap * 1000.0 / self.plan.keys_per_second, Event::NewKey);
        }
        self.last_key += 1;
        let key = self.last_key;
        self.report.keys += 1;
        self.histories.insert(key, KeyHistory::default());
        self.queue.schedule(now_ms, Event::Attempt { key, retries_left: RETRIES });
        // Some clients send the request to two backends at the same time.
        if self.rng.random::<f64>() < 0.15 {
            self.queue.schedule(now_ms, Event::Attempt { key, retries_left: 2 });
        }
    }

    fn retry(&mut self, key: u64, retries_left: u32, after_ms: f64) {
        if retries_left > 0 {
            let event = Event::Attempt { key, retries_left: retries_left - 1 };
            self.queue.schedule(self.queue.now() + after_ms, event);
        }
    }

    /// Sends an attempt to a random backend whose machine is up.
    fn attempt(&mut self, key: u64, retries_left: u32) {
        let running: Vec<usize> =
            (0..self.nodes.len()).filter(|member| self.nodes[*member].is_up()).collect();
        let Some(member) = running.get(self.rng.random_range(0..running.len().max(1))).copied() else {
            return;
        };
        let Some(history) = self.histories.get_mut(&key) else { return };
        self.report.retries_elsewhere +=
            u64::from(history.record_attempt(member) == AttemptTarget::Different);
        if self.nodes[member].paused {
            // A paused backend does not answer, so the client times out.
            return self.retry(key, retries_left, CLIENT_TIMEOUT_MS);
        }
        let now_ms = self.queue.now();
        let node = &mut self.nodes[member];
        let request = node.next_request();
        let attempt = Attempt { key, retries_left, started_at_ms: now_ms, completed_at_ms: None };
        node.attempts.insert(request, attempt);
        let process = node.process(member);
        let timeout_ms = CLIENT_TIMEOUT_MS * (0.7 + 0.6 * self.rng.random::<f64>());
        self.queue
            .schedule(now_ms + timeout_ms, Event::Process(process, ProcessEvent::ClientTimeout(request)));
        match self.plan.mode {
            Mode::Replicated => self.reserve(member, request, key),
            Mode::Alone => self.attempt_without_replication(member, request, key),
        }
    }

    fn reserve(&mut self, member: usize, request: RequestId, key: u64) {
        let key = IdempotencyKey::new("book", &key.to_be_bytes());
        let retention_ms = self.plan.retention_ms;
        self.drive(member, |replicator, now_ms| {
            let assigned = replicator.reserve(now_ms, key, now_ms + DEADLINE_MS, retention_ms);
            debug_assert_eq!(assigned, request);
        });
    }

    fn attempt_without_replication(&mut self, member: usize, request: RequestId, key: u64) {
        match self.nodes[member].local_records.get(&key).cloned() {
            Some(LocalRecord::Completed(outcome)) => self.answer(member, request, outcome),
            Some(LocalRecord::Running) => {}
            None => {
                self.nodes[member].local_records.insert(key, LocalRecord::Running);
                self.launch(member, request);
            }
        }
    }

    /// Handles the timeout of a client: cancels the request if it was not launched, and retries at another backend.
    fn handle_client_timeout(&mut self, member: usize, request: RequestId) {
        let Some(attempt) = self.nodes[member].attempts.get_mut(&request) else { return };
        let (key, retries_left) = (attempt.key, std::mem::take(&mut attempt.retries_left));
        if self.plan.mode == Mode::Replicated {
            self.drive(member, |replicator, now_ms| replicator.cancel(now_ms, request));
        }
        self.retry(key, retries_left, 10.0);
    }

    fn reject(&mut self, member: usize, request: RequestId) {
        let Some(attempt) = self.nodes[member].attempts.remove(&request) else { return };
        self.report.rejected += 1;
        self.retry(attempt.key, attempt.retries_left, 100.0);
    }

    fn answer(&mut self, member: usize, request: RequestId, outcome: Outcome) {
        let Some(Attempt { key, retries_left, .. }) = self.nodes[member].attempts.remove(&request) else {
            return;
        };
        let Some(history) = self.histories.get_mut(&key) else { return };
        // One in five clients repeats a request that succeeded, which checks that the repeated answer is the same.
        if matches!(outcome, Outcome::Succeeded(_)) && self.rng.random::<f64>() < 0.2 && retries_left > 0 {
            let at_ms = self.queue.now() + 2000.0 * self.rng.random::<f64>();
            self.queue.schedule(at_ms, Event::Attempt { key, retries_left: 0 });
        }
        history.record_answer(outcome);
    }

    // ---- faults ----------------------------------------------------------------------------------------

    fn apply_fault(&mut self, index: usize, phase: FaultPhase) {
        let begins = phase == FaultPhase::Begins;
        match self.plan.schedule.steps[index].fault.clone() {
            Fault::Cut { these, those, one_way } => {
                let paths = cut_paths(&these, &those, one_way);
                paths.for_each(|(from, to)| self.net.cut(from, to, begins));
            }
            Fault::Loss { share } => {
                self.net.loss = (self.net.loss + if begins { share } else { -share }).max(0.0);
            }
            Fault::Slow { member, by_ms } => self.net.set_delay(member, begins.then_some(by_ms)),
            // The model has no graceful shutdown; a loss is at least as severe.
            Fault::Kill { member, .. } | Fault::Leave { member } => self.lose(member, phase),
            // Lose two adjacent members, which are in different zones: three replicas are guaranteed to survive that.
            Fault::KillThird { first } => {
                let lost: Vec<usize> = third(first, self.nodes.len()).take(2).collect();
                lost.into_iter().for_each(|member| self.lose(member, phase));
            }
            Fault::Stop { member } => self.pause(member, phase),
            Fault::Unready { .. } | Fault::Full { .. } | Fault::Clock { .. } => {}
        }
    }

    fn pause(&mut self, member: usize, phase: FaultPhase) {
        match phase {
            FaultPhase::Begins => self.nodes[member].paused = self.nodes[member].is_up(),
            FaultPhase::Ends => {
                let Some(deferred) = self.nodes[member].resume() else { return };
                for (process, event) in deferred {
                    self.handle_process_event(process, event);
                }
                self.drive(member, |replicator, now_ms| replicator.handle_timeout(now_ms));
            }
        }
    }

    fn lose(&mut self, member: usize, phase: FaultPhase) {
        match phase {
            FaultPhase::Begins => {
                self.nodes[member].begin_fault();
                if self.nodes[member].is_up() {
                    self.kill(member);
                }
            }
            FaultPhase::Ends => {
                if self.nodes[member].end_fault() {
                    self.start(member);
                }
            }
        }
    }
}

/// Returns a random node id other than 0, which is not a valid id.
fn random_id(rng: &mut Pcg32) -> NodeId {
    NodeId(rng.random::<u64>() | 1)
}
