//! Messages about zones between members, and from callers and operators to members.
//!
//! The wire format depends on the order of variants and fields, which must not change. A serialized name that differs from the
//! field's name is the JSON key that operators' scripts read.

use serde::{Deserialize, Serialize};

use crate::caller_reports::CallerReport;
use crate::load_reports::LoadReport;
use crate::planner::{Forecast, ShiftRequest};
use crate::topology::Zone;
use crate::traffic_plan::TrafficPlan;

/// Periodic message from a member to the leader: its own load and the reports it received from callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The name of the member's zone.
    pub zone: String,
    /// The member's load.
    pub load: LoadReport,
    /// Reports of callers, by caller id.
    pub callers: Vec<(u64, CallerReport)>,
}

/// Maximum number of callers whose reports a member forwards per period. The others are forwarded in later periods.
pub const MAX_CALLER_REPORTS: usize = 64;

/// Request from a caller or operator to a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Queries the status; sent by callers and operators.
    Status,
    /// Sends a caller's report; answered with the status.
    Advice {
        /// The caller's id.
        caller: u64,
        /// The caller's report.
        report: CallerReport,
    },
    /// Queries the effect that a shift of these zones would have, without applying it.
    Forecast {
        /// Names of the zones.
        zones: Vec<String>,
    },
    /// Shifts a zone's traffic to other zones. Accepted, like the following requests, only from operators on the leader's
    /// machine.
    Shift(ShiftRequest),
    /// Ends a shift before it expires.
    EndShift {
        /// The name of the zone.
        zone: String,
    },
    /// Suspends changes of the plan.
    Hold {
        /// Duration of the hold in milliseconds.
        duration_ms: f64,
    },
}

/// Status of the traffic plan at a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The member's name.
    pub name: String,
    /// The name of the member's zone.
    pub zone: String,
    /// All zones in index order.
    pub zones: Vec<Zone>,
    /// Version of the newest plan that the member installed.
    #[serde(rename = "number")]
    pub version: u64,
    /// Whether the member routes by that plan. Otherwise the plan has expired and all traffic stays near.
    #[serde(rename = "acts")]
    pub is_active: bool,
    /// The plan that the member routes by.
    pub plan: TrafficPlan,
    /// Time in milliseconds until the plan expires unless it is renewed.
    #[serde(rename = "left_ms")]
    pub remaining_ms: f64,
    /// The leader's name, if known.
    pub leader: Option<String>,
    /// Forecast of the plan's effect; sent only by the leader.
    pub forecast: Option<Forecast>,
    /// Latest revisions of the plan, newest last: age in milliseconds and reason.
    pub history: Vec<(f64, String)>,
}

/// Response of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// Response to [`Request::Status`] and [`Request::Advice`].
    Status(Box<Status>),
    /// Response to [`Request::Forecast`].
    Forecast(Box<Forecast>),
    /// The request was carried out; describes the result.
    Done(String),
    /// The request was rejected; gives the reason.
    Refused(String),
}
