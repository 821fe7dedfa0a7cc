//! Results of a run.

use crate::audit::{Audit, Event};
use crate::statistics::SampleDistribution;

/// Results of a growth measurement; `None` stands for a value that the run did not reach.
#[derive(Clone, Debug, Default)]
pub struct GrowthReport {
    /// Time until every member considers all others alive, in milliseconds.
    pub all_known_ms: Option<f64>,
    /// Time until every member has a view that contains all members, in milliseconds.
    pub view_complete_ms: Option<f64>,
    /// Bytes sent per member until every view is complete.
    pub start_bytes: Option<f64>,
    /// Bytes sent per member and second in the resting phase.
    pub rest_bytes: Option<f64>,
    /// Bytes per second sent by the busiest member in the resting phase.
    pub rest_bytes_busiest: Option<f64>,
    /// Pending membership updates per member at the start of the resting phase.
    pub rest_pending_updates: Option<f64>,
    /// Bytes sent per member for each death, beyond the traffic at rest.
    pub death_bytes: Option<f64>,
}

/// Results of a run.
#[derive(Default)]
pub struct Report {
    /// Violations of promises.
    pub audit: Audit,
    /// Observed events, if the plan keeps the history.
    pub history: Vec<Event>,
    /// Number of the newest view.
    pub views: u64,
    /// Removals of members that no recent fault had affected: time in milliseconds and member.
    pub healthy_removed: Vec<(f64, usize)>,
    /// Time from a death until a view excludes the member, in milliseconds.
    pub removal_ms: SampleDistribution,
    /// Time from a death until every running member knows of it, in milliseconds.
    pub known_ms: SampleDistribution,
    /// Number of deaths that not every running member knew of before the member restarted or the run ended.
    pub deaths_not_known: u64,
    /// Results of the growth measurement, if the plan has one.
    pub growth: GrowthReport,
    /// Time from the end of the last fault until a new value is committed, in milliseconds.
    pub committed_after_ms: Option<f64>,
    /// Number of members whose view is not the newest one at the end.
    pub lagging: usize,
    /// Number of running members that are not in their own view at the end.
    pub outside_view: usize,
    /// Bytes of all messages, if the plan counts them.
    pub bytes: u64,
    /// Number of messages sent.
    pub messages: u64,
    /// Number of members times the duration in seconds.
    pub member_seconds: f64,
    /// Outcomes of the recovery commands, in the order in which they were reported.
    pub recovered: Vec<Result<u64, String>>,
    /// State of each running member at the end, one line each.
    pub final_states: Vec<String>,
}
