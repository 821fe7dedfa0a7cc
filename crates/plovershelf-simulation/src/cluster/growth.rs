//! Phases of a growth measurement.
//!
//! | phase | ends when |
//! | --- | --- |
//! | `Starting` | every member knows all members and has a view that contains them |
//! | `Settling` | no membership update is pending, or `max_settle_ms` has passed |
//! | `Resting` | `rest_ms` has passed |
//! | `Dying` | `death_ms` has passed since the last death |

use plovershelf_cluster::ClusterNode;

use super::plan::GrowthPlan;
use super::process::Process;
use super::report::GrowthReport;
use crate::net::Net;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Starting,
    Settling {
        until_ms: f64,
    },
    /// `bytes` is the total sent before the phase.
    Resting {
        since_ms: f64,
        bytes: u64,
    },
    /// `bytes` is the total sent before the phase.
    Dying {
        since_ms: f64,
        bytes: u64,
    },
}

/// Action that the measurement asks of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum NextStep {
    /// No action.
    Continue,
    /// Run until the measurement asks for the end: the start succeeded, so its time limit no longer applies.
    RunUntilMeasured,
    /// Schedule the planned deaths.
    BeginDeaths,
    /// End the run: the measurement is complete.
    End,
}

/// Measurement in progress.
pub(super) struct GrowthMeasurement {
    plan: GrowthPlan,
    phase: Phase,
    /// Member that did not know all members at the last check; it is checked first.
    unsettled: usize,
    /// Bytes that each member had sent when the resting phase began.
    sent_before_rest: Vec<u64>,
}

impl GrowthMeasurement {
    pub(super) fn new(plan: GrowthPlan) -> Self {
        GrowthMeasurement { plan, phase: Phase::Starting, unsettled: 0, sent_before_rest: Vec::new() }
    }

    pub(super) fn plan(&self) -> &GrowthPlan {
        &self.plan
    }

    /// Inspects all members, records results of the current phase and enters the next phase when the current one ends.
    pub(super) fn observe(
        &mut self,
        now_ms: f64,
        processes: &[Process],
        net: &Net,
        report: &mut GrowthReport,
    ) -> NextStep {
        match self.phase {
            Phase::Starting => self.observe_start(now_ms, processes, net, report),
            Phase::Settling { until_ms } => self.observe_settling(now_ms, until_ms, processes, net, report),
            Phase::Resting { since_ms, bytes } => {
                self.observe_rest(now_ms, since_ms, bytes, processes, net, report)
            }
            Phase::Dying { since_ms, bytes } => {
                self.observe_deaths(now_ms, since_ms, bytes, processes, net, report)
            }
        }
    }

    fn observe_start(
        &mut self,
        now_ms: f64,
        processes: &[Process],
        net: &Net,
        report: &mut GrowthReport,
    ) -> NextStep {
        if report.all_known_ms.is_none() {
            if self.all_count(processes, |node| node.swim().present().count()) {
                report.all_known_ms = Some(now_ms);
            }
        } else if report.view_complete_ms.is_none()
            && self.all_count(processes, |node| node.view().members.len())
        {
            report.view_complete_ms = Some(now_ms);
            report.start_bytes = Some(net.bytes_sent as f64 / processes.len() as f64);
            self.phase = Phase::Settling { until_ms: now_ms + self.plan.max_settle_ms };
            return NextStep::RunUntilMeasured;
        }
        NextStep::Continue
    }

    fn observe_settling(
        &mut self,
        now_ms: f64,
        until_ms: f64,
        processes: &[Process],
        net: &Net,
        report: &mut GrowthReport,
    ) -> NextStep {
        let nodes = processes.iter().filter_map(|process| process.node.as_ref());
        let pending: usize = nodes.map(|node| node.swim().pending_updates()).sum();
        if pending == 0 || now_ms >= until_ms {
            report.rest_pending_updates = Some(pending as f64 / processes.len() as f64);
            self.sent_before_rest = net.bytes_by_sender.clone();
            self.phase = Phase::Resting { since_ms: now_ms, bytes: net.bytes_sent };
        }
        NextStep::Continue
    }

    fn observe_rest(
        &mut self,
        now_ms: f64,
        since_ms: f64,
        bytes_before: u64,
        processes: &[Process],
        net: &Net,
        report: &mut GrowthReport,
    ) -> NextStep {
        if now_ms < since_ms + self.plan.rest_ms {
            return NextStep::Continue;
        }
        let (seconds, members) = ((now_ms - since_ms) / 1000.0, processes.len() as f64);
        let sent = net.bytes_by_sender.iter().zip(&self.sent_before_rest).map(|(now, then)| now - then);
        report.rest_bytes_busiest = sent.max().map(|most| most as f64 / seconds);
        report.rest_bytes = Some((net.bytes_sent - bytes_before) as f64 / members / seconds);
        self.phase = Phase::Dying { since_ms: now_ms, bytes: net.bytes_sent };
        NextStep::BeginDeaths
    }

    fn observe_deaths(
        &mut self,
        now_ms: f64,
        since_ms: f64,
        bytes_before: u64,
        processes: &[Process],
        net: &Net,
        report: &mut GrowthReport,
    ) -> NextStep {
        let (deaths, death_ms) = (self.plan.deaths.len(), self.plan.death_ms);
        if now_ms < since_ms + death_ms * deaths as f64 {
            return NextStep::Continue;
        }
        // Sum over the deaths of the members that remain after each.
        let remaining: f64 = (1..=deaths).map(|dead| processes.len() as f64 - dead as f64).sum();
        let at_rest = |bytes_per_second: f64| bytes_per_second * remaining * death_ms / 1000.0;
        let beyond_rest =
            report.rest_bytes.map(|rate| (net.bytes_sent - bytes_before) as f64 - at_rest(rate));
        report.death_bytes = beyond_rest.map(|bytes| bytes / remaining);
        NextStep::End
    }

    /// Returns whether every member's count equals the number of members. Checks the member that last fell short first.
    fn all_count(&mut self, processes: &[Process], count: impl Fn(&ClusterNode) -> usize) -> bool {
        let all = processes.len();
        let falls_short = |member: &usize| match &processes[*member].node {
            Some(node) => count(node) != all,
            None => true,
        };
        let found = std::iter::once(self.unsettled).chain(0..all).find(falls_short);
        self.unsettled = found.unwrap_or(0);
        found.is_none()
    }
}
