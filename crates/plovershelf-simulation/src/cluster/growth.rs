//! Phases in which a cluster that grows is measured.
//!
//! | phase | ends when |
//! | --- | --- |
//! | `Starting` | all know all, and all have a view with all |
//! | `Settling` | no update is under way, or its time is over |
//! | `Resting` | its time is over |
//! | `Dying` | the time of the last death is over |

use plovershelf_cluster::ClusterNode;

use super::plan::GrowthPlan;
use super::process::Process;
use super::report::GrowthReport;
use crate::net::Net;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Starting,
    Settling { until_ms: f64 },
    Resting { since_ms: f64, bytes: u64 },
    Dying { since_ms: f64, bytes: u64 },
}

/// What the run is to do next for a measurement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum NextStep {
    GoOn,
    /// The start is over: from now on the phases say when the run ends.
    RunUntilMeasured,
    /// The deaths begin.
    BeginDeaths,
    /// All is measured.
    End,
}

/// A measurement under way.
pub(super) struct GrowthMeasurement {
    plan: GrowthPlan,
    phase: Phase,
    /// A member that did not know all when it was last looked at.
    unsettled: usize,
    /// What each member had sent when rest began.
    sent_before_rest: Vec<u64>,
}

impl GrowthMeasurement {
    pub(super) fn new(plan: GrowthPlan) -> Self {
        GrowthMeasurement { plan, phase: Phase::Starting, unsettled: 0, sent_before_rest: Vec::new() }
    }

    pub(super) fn plan(&self) -> &GrowthPlan {
        &self.plan
    }

    /// Looks at all members, and takes the measurement to its next phase where one is over.
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
        NextStep::GoOn
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
        NextStep::GoOn
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
            return NextStep::GoOn;
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
            return NextStep::GoOn;
        }
        // Of those that are left; each death leaves one fewer.
        let left: f64 = (1..=deaths).map(|dead| processes.len() as f64 - dead as f64).sum();
        let at_rest = |a_second: f64| a_second * left * death_ms / 1000.0;
        let beyond = report.rest_bytes.map(|rate| (net.bytes_sent - bytes_before) as f64 - at_rest(rate));
        report.death_bytes = beyond.map(|bytes| bytes / left);
        NextStep::End
    }

    /// Whether each counts as many as there are, the last one that did not asked first.
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
