//! Failover on the cluster's thread: load reports to the leader, committed traffic plans, and answers to callers and
//! operators.
//!
//! | input | when |
//! | --- | --- |
//! | `handle_timeout` | a period has passed or the leader changed: a follower reports its load, the leader plans |
//! | `handle_report` | another member has sent a report |
//! | `handle_committed` | the cluster has committed a plan |
//! | `handle_request` | a caller or an operator has sent a request |

use std::collections::{BTreeMap, VecDeque};

use plovershelf_cluster::wire::{decode, encode_payload};
use plovershelf_cluster::{ClusterNode, NodeId};
use plovershelf_config::group::FailoverConfig;
use plovershelf_failover::{
    CallerReport, LoadReport, LoadReports, MemberReport, PlanFollower, Planner, Request, Response,
    ShiftError, ShiftRequest, Status, TrafficPlan, MAX_CALLER_REPORTS, PRIORITY_BANDS,
};
use thiserror::Error;

use super::DriverHeartbeat;

/// Key under which the traffic plan is committed.
pub(super) const PLAN_KEY: &str = "zones";
/// Time for which a new leader waits for reports before it plans. Members report as soon as they learn of a new
/// leader.
const NEW_LEADER_WAIT_MS: f64 = 1000.0;
/// Time after which a proposal that is not committed counts as lost.
const PROPOSAL_TIMEOUT_MS: f64 = 2000.0;
/// Maximum number of plan revisions in the status history.
const MAX_HISTORY: usize = 32;
/// Number of periods over which counts are compared.
const COUNTED_PERIODS: usize = 4;
/// Minimum number of answers from which the fraction of answers in time is computed; with fewer it counts as 1.
const MIN_ANSWERS: f64 = 10.0;
/// Maximum number of caller reports that wait for the next period.
const MAX_WAITING_CALLERS: usize = 4 * MAX_CALLER_REPORTS;
/// Upper bound of the remaining validity in a status, in milliseconds.
const MAX_REMAINING_MS: f64 = 1e9;

/// Error if the operator's file has no section for this member's zone.
#[derive(Debug, Error)]
#[error("zone = {zone:?} has no section [zone {zone}]")]
pub(super) struct UnknownZoneError {
    zone: String,
}

/// Traffic counts since the start of the event loop.
#[derive(Clone, Copy, Default)]
pub struct TrafficCounts {
    /// Requested core time per priority band, in core-milliseconds.
    pub demand_ms: [f64; PRIORITY_BANDS],
    /// Number of answers.
    pub answered: f64,
    /// Number of answers in time.
    pub in_time: f64,
}

/// Actions that are due after a period.
#[derive(Default)]
pub(super) struct DueActions {
    /// Receiver and content of a load report; the receiver is the leader.
    pub(super) report: Option<(NodeId, Vec<u8>)>,
    /// Version and content of a plan to propose.
    pub(super) proposal: Option<(u64, Vec<u8>)>,
}

/// A plan that was proposed and is not committed yet.
#[derive(Clone, Copy)]
struct Proposal {
    version: u64,
    proposed_ms: f64,
}

/// Failover state of this member.
pub(super) struct FailoverDriver {
    own_zone: usize,
    own_zone_name: String,
    planner: Planner,
    reports: LoadReports,
    follower: PlanFollower,
    caller_reports: BTreeMap<u64, CallerReport>,
    counts: VecDeque<(f64, TrafficCounts)>,
    next_period_ms: f64,
    reported_to: Option<NodeId>,
    leads_since_ms: Option<f64>,
    proposal: Option<Proposal>,
    history: VecDeque<(f64, String)>,
}

impl FailoverDriver {
    /// # Errors
    /// Returns an error if the topology lacks this member's zone.
    pub(super) fn new(
        zones: FailoverConfig,
        own_zone_name: &str,
        now_ms: f64,
    ) -> Result<Self, UnknownZoneError> {
        let own_zone = zones.topology.index_of(own_zone_name);
        let own_zone = own_zone.ok_or_else(|| UnknownZoneError { zone: own_zone_name.into() })?;
        let count = zones.topology.len();
        Ok(FailoverDriver {
            own_zone,
            own_zone_name: own_zone_name.to_string(),
            planner: Planner::new(zones.topology, zones.planner),
            reports: LoadReports::new(count, zones.report_limits),
            follower: PlanFollower::new(count),
            caller_reports: BTreeMap::new(),
            counts: VecDeque::new(),
            next_period_ms: now_ms,
            reported_to: None,
            leads_since_ms: None,
            proposal: None,
            history: VecDeque::new(),
        })
    }

    /// Returns the time at which `handle_timeout` is next due.
    pub(super) fn poll_timeout(&self) -> f64 {
        self.next_period_ms
    }

    /// Once per period, and at once after a change of leader, returns a load report to the leader, or the next plan
    /// if this member leads.
    pub(super) fn handle_timeout(
        &mut self,
        now_ms: f64,
        heartbeat: &DriverHeartbeat,
        node: &ClusterNode,
    ) -> DueActions {
        let leader = node.leader();
        if now_ms < self.next_period_ms && leader == self.reported_to {
            return DueActions::default();
        }
        self.reported_to = leader;
        self.next_period_ms = now_ms + self.planner.config().period_ms;
        let load = self.load_report(now_ms, heartbeat);
        let callers: Vec<(u64, CallerReport)> =
            std::mem::take(&mut self.caller_reports).into_iter().take(MAX_CALLER_REPORTS).collect();
        if !node.raft().leads() {
            self.leads_since_ms = None;
            let report = MemberReport { zone: self.own_zone_name.clone(), load, callers };
            let report = leader.map(|leader| (leader, encode_payload(&report)));
            return DueActions { report, proposal: None };
        }
        self.reports.handle_report(now_ms, node.node().id.0, self.own_zone, load);
        self.handle_caller_reports(now_ms, callers);
        self.update_members(node);
        DueActions { report: None, proposal: self.propose(now_ms, node) }
    }

    /// Handles the report of another member. Reports that are malformed or name an unknown zone are ignored.
    pub(super) fn handle_report(&mut self, now_ms: f64, from: NodeId, bytes: &[u8]) {
        let Ok(MemberReport { zone, load, callers }) = decode::<MemberReport>(bytes) else { return };
        if let Some(zone) = self.planner.topology().index_of(&zone) {
            self.reports.handle_report(now_ms, from.0, zone, load);
        }
        self.handle_caller_reports(now_ms, callers);
    }

    /// Handles a committed traffic plan.
    pub(super) fn handle_committed(&mut self, now_ms: f64, version: u64, bytes: &[u8]) {
        let Ok(plan) = decode::<TrafficPlan>(bytes) else { return };
        let is_changed = plan.revision != self.planner.committed().revision;
        if !self.follower.handle_plan(now_ms, version, plan.clone()) {
            return;
        }
        self.planner.handle_committed(now_ms, &plan);
        if is_changed {
            let TrafficPlan { revision, reason, .. } = plan;
            tracing::info!(event = "traffic_plan", revision, "plan {revision}: {reason}");
            self.history.push_back((now_ms, format!("{revision}: {reason}")));
            if self.history.len() > MAX_HISTORY {
                self.history.pop_front();
            }
        }
    }

    /// Answers a caller or an operator. Requests that change the plan are accepted only by the leader and from its
    /// own machine.
    pub(super) fn handle_request(
        &mut self,
        now_ms: f64,
        request: Request,
        is_local: bool,
        node: &ClusterNode,
    ) -> Response {
        match request {
            Request::Status => Response::Status(Box::new(self.status(now_ms, node))),
            Request::Advice { caller, report } => {
                if self.caller_reports.len() < MAX_WAITING_CALLERS {
                    self.caller_reports.insert(caller, report);
                }
                Response::Status(Box::new(self.status(now_ms, node)))
            }
            _ if !node.raft().leads() => {
                let leader = node.leader().and_then(|id| node.name_of(id)).unwrap_or_else(|| "nobody".into());
                Response::Refused(format!("{leader} leads, not this member; ask there"))
            }
            Request::Forecast { zones } => self.forecast(now_ms, &zones),
            _ if !is_local => {
                Response::Refused("such a command is taken on the leader's own machine alone".into())
            }
            Request::Shift(request) => respond(self.shift(now_ms, &request)),
            Request::EndShift { zone } => {
                respond(self.planner.end_shift(&zone).map(|()| format!("{zone} is returned to in steps")))
            }
            Request::Hold { duration_ms } => {
                self.planner.hold(now_ms, duration_ms);
                Response::Done(format!("the plan stays as it is for {:.0} s", duration_ms / 1000.0))
            }
        }
    }

    fn forecast(&self, now_ms: f64, zones: &[String]) -> Response {
        let topology = self.planner.topology();
        let indices: Option<Vec<usize>> = zones.iter().map(|zone| topology.index_of(zone)).collect();
        match indices {
            Some(zones) => Response::Forecast(Box::new(self.planner.forecast(now_ms, &self.reports, &zones))),
            None => Response::Refused(format!("{} names no zones", zones.join(", "))),
        }
    }

    fn shift(&mut self, now_ms: f64, request: &ShiftRequest) -> Result<String, ShiftError> {
        let forecast = self.planner.shift(now_ms, &self.reports, request)?;
        Ok(format!(
            "{} is shifted for {:.0} s: {}; {:.1} % of all would be cut",
            request.zone,
            request.duration_ms / 1000.0,
            forecast.plan.reason,
            forecast.rejected_fraction * 100.0
        ))
    }

    fn status(&self, now_ms: f64, node: &ClusterNode) -> Status {
        let topology = self.planner.topology();
        let plan = self.follower.active_plan(now_ms).cloned();
        let default = || TrafficPlan { valid_ms: 0.0, ..TrafficPlan::all_near(topology.len()) };
        let is_leader = node.raft().leads();
        Status {
            name: node.node().name.clone(),
            zone: self.own_zone_name.clone(),
            zones: topology.zones().to_vec(),
            version: self.follower.version(),
            is_active: plan.is_some(),
            plan: plan.unwrap_or_else(default),
            remaining_ms: (self.follower.expires_ms() - now_ms).clamp(0.0, MAX_REMAINING_MS),
            leader: node.leader().and_then(|id| node.name_of(id)),
            forecast: is_leader.then(|| self.planner.forecast(now_ms, &self.reports, &[])),
            history: self.history.iter().map(|(at_ms, message)| (now_ms - at_ms, message.clone())).collect(),
        }
    }

    fn load_report(&mut self, now_ms: f64, heartbeat: &DriverHeartbeat) -> LoadReport {
        let counts = heartbeat.traffic_counts();
        let (since_ms, before) = self.counts.front().copied().unwrap_or((now_ms, counts));
        self.counts.push_back((now_ms, counts));
        if self.counts.len() > COUNTED_PERIODS {
            self.counts.pop_front();
        }
        let duration_ms = (now_ms - since_ms).max(1.0);
        let demand = |band: usize| (counts.demand_ms[band] - before.demand_ms[band]).max(0.0) / duration_ms;
        let answered = counts.answered - before.answered;
        LoadReport {
            plan_revision: self.follower.revision(now_ms),
            demand: std::array::from_fn(demand),
            capacity: if heartbeat.is_ready() { heartbeat.cores() } else { 0.0 },
            in_time_fraction: if answered >= MIN_ANSWERS {
                (counts.in_time - before.in_time) / answered
            } else {
                1.0
            },
            is_dependency_slow: false,
        }
    }

    fn handle_caller_reports(&mut self, now_ms: f64, callers: Vec<(u64, CallerReport)>) {
        for (caller, report) in callers.into_iter().take(MAX_CALLER_REPORTS) {
            self.reports.handle_caller_report(now_ms, caller, report);
        }
    }

    /// Updates the members on which a plan counts; draining members are excluded.
    fn update_members(&mut self, node: &ClusterNode) {
        let topology = self.planner.topology();
        let members = node.view().members.iter().filter(|(_, member)| !member.draining);
        let zones: BTreeMap<u64, usize> =
            members.filter_map(|(id, member)| Some((id.0, topology.index_of(&member.zone)?))).collect();
        self.reports.update_members(&zones);
    }

    /// Returns the next plan to propose. A new leader first waits for reports, and a pending proposal must be
    /// committed or time out.
    fn propose(&mut self, now_ms: f64, node: &ClusterNode) -> Option<(u64, Vec<u8>)> {
        let leads_since_ms = *self.leads_since_ms.get_or_insert(now_ms);
        let is_pending = self.proposal.is_some_and(|Proposal { version, proposed_ms }| {
            version > self.follower.version() && now_ms - proposed_ms < PROPOSAL_TIMEOUT_MS
        });
        if now_ms - leads_since_ms < NEW_LEADER_WAIT_MS || is_pending || node.may_act(now_ms).is_none() {
            return None;
        }
        let plan = self.planner.poll_plan(now_ms, &self.reports)?;
        let version = node.value(PLAN_KEY).map_or(0, |value| value.version) + 1;
        self.proposal = Some(Proposal { version, proposed_ms: now_ms });
        Some((version, encode_payload(&plan)))
    }
}

fn respond(result: Result<String, ShiftError>) -> Response {
    result.map_or_else(|error| Response::Refused(error.to_string()), Response::Done)
}
