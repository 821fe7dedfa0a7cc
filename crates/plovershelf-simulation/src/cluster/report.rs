//! What came of a run.

use crate::audit::{Audit, Event};
use crate::statistics::Spread;

/// What was seen of a cluster that grows; nothing stands where it was not seen.
#[derive(Clone, Debug, Default)]
pub struct GrowthReport {
    /// Until all take all others to be alive.
    pub all_known_ms: Option<f64>,
    /// Until all have a view with all of them.
    pub view_complete_ms: Option<f64>,
    /// Bytes a member until both.
    pub start_bytes: Option<f64>,
    /// Bytes a member a second, with nothing happening.
    pub rest_bytes: Option<f64>,
    /// The same of the member that sends most.
    pub rest_bytes_busiest: Option<f64>,
    /// Updates still under way then, a member.
    pub rest_pending_updates: Option<f64>,
    /// Beyond rest, bytes a member from a death on for as long as it is measured.
    pub death_bytes: Option<f64>,
}

/// What came of a run.
#[derive(Default)]
pub struct Report {
    /// Promises that were broken.
    pub audit: Audit,
    /// What was seen, where the plan keeps it.
    pub history: Vec<Event>,
    /// The newest view's number.
    pub views: u64,
    /// Members removed that no fault had touched of late: when, and which.
    pub healthy_removed: Vec<(f64, usize)>,
    /// From a death until a view without it.
    pub removal_ms: Spread,
    /// From a death until all that live know of it.
    pub known_ms: Spread,
    /// Deaths that did not come to be known by all, before the one that died was back or the run was over.
    pub deaths_not_known: u64,
    /// Where the run measured growth.
    pub growth: GrowthReport,
    /// From the end of the last fault until something new is committed.
    pub committed_after_ms: Option<f64>,
    /// Members whose view is not the newest one at the end.
    pub lagging: usize,
    /// Live members that are in no view at the end.
    pub outside_view: usize,
    /// Bytes of all messages, where the plan counts them.
    pub bytes: u64,
    /// Messages sent.
    pub messages: u64,
    /// Members times seconds.
    pub member_seconds: f64,
    /// What came of recoveries that were asked for, in their order.
    pub recovered: Vec<Result<u64, String>>,
    /// How each member stands at the end, a line each.
    pub final_states: Vec<String>,
}
