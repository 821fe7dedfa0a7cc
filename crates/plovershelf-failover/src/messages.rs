//! Messages about zones between members, and of callers and operators to members.
//!
//! Variants and fields keep their order on the wire. Where a field is renamed for its serialized form,
//! that form is the key that scripts read of the command's JSON.

use serde::{Deserialize, Serialize};

use crate::caller_reports::CallerReport;
use crate::load_reports::LoadReport;
use crate::planner::{Forecast, ShiftRequest};
use crate::topology::Zone;
use crate::traffic_plan::TrafficPlan;

/// A member to the leader, once a period: its own report, and what callers reported to it since.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The name of the member's zone.
    pub zone: String,
    /// Its load.
    pub load: LoadReport,
    /// Callers and their reports.
    pub callers: Vec<(u64, CallerReport)>,
}

/// Callers whose reports a member passes on in one period; more wait for the next.
pub const MAX_CALLER_REPORTS: usize = 64;

/// What callers and operators ask of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// The status; by callers and operators alike.
    Status,
    /// A caller's report, answered by the status.
    Advice {
        /// The caller's number.
        caller: u64,
        /// What it sees.
        report: CallerReport,
    },
    /// What a shift of these zones would come to; nothing is done.
    Forecast {
        /// Names of the zones.
        zones: Vec<String>,
    },
    /// Shifts a zone's traffic elsewhere. This and the next are for operators on the leader's own machine.
    Shift(ShiftRequest),
    /// Ends a shift before it expires.
    EndShift {
        /// The name of the zone.
        zone: String,
    },
    /// Keeps the plan as it is for a while.
    Hold {
        /// For how long, in milliseconds.
        duration_ms: f64,
    },
}

/// How zones look from one member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The member's name.
    pub name: String,
    /// The name of its zone.
    pub zone: String,
    /// All zones.
    pub zones: Vec<Zone>,
    /// The version of the newest plan that it took over.
    #[serde(rename = "number")]
    pub version: u64,
    /// Whether it acts by that plan; all near otherwise.
    #[serde(rename = "acts")]
    pub is_active: bool,
    /// The plan that it acts by.
    pub plan: TrafficPlan,
    /// For how long the plan is valid without being confirmed, in milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: f64,
    /// The leader's name, where it is known.
    pub leader: Option<String>,
    /// Of the leader alone: what the plan comes to.
    pub forecast: Option<Forecast>,
    /// The last revisions, newest last: how long ago in milliseconds, and what each came to.
    pub history: Vec<(f64, String)>,
}

/// A member's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// To [`Request::Status`] and [`Request::Advice`].
    Status(Box<Status>),
    /// To [`Request::Forecast`].
    Forecast(Box<Forecast>),
    /// What was done.
    Done(String),
    /// Why nothing was done.
    Refused(String),
}
