//! What members say to each other of zones, and what callers and operators ask of them.

use serde::{Deserialize, Serialize};

use crate::load_reports::{Outside, Report};
use crate::planner::{Forecast, Wish};
use crate::traffic_plan::{Plan, Zone};

/// A member to the leader, once a period: its own, and what callers told it since.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Say {
    pub zone: String,
    pub report: Report,
    pub outside: Vec<(u64, Outside)>,
}

/// Callers a member tells on of; more wait for the next period.
pub const OUTSIDE_MOST: usize = 64;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// By callers and operators alike.
    Status,
    /// A caller tells what it sees, and hears the status.
    Outside {
        caller: u64,
        outside: Outside,
    },
    /// What a shift of these zones would come to; nothing is done.
    Forecast {
        zones: Vec<String>,
    },
    /// By operators, on the leader's own machine.
    Shift(Wish),
    Return {
        zone: String,
    },
    Hold {
        for_ms: f64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub name: String,
    pub zone: String,
    pub zones: Vec<Zone>,
    /// The newest plan that this member took over, and whether it acts by it; near otherwise.
    pub number: u64,
    pub acts: bool,
    pub plan: Plan,
    /// For so long still it holds without being confirmed.
    pub left_ms: f64,
    pub leader: Option<String>,
    /// Of the leader alone: what the plan comes to.
    pub forecast: Option<Forecast>,
    /// The last changes, newest last: how long ago, and what it came to.
    pub history: Vec<(f64, String)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Told {
    Status(Box<Status>),
    Forecast(Box<Forecast>),
    Done(String),
    Refused(String),
}
