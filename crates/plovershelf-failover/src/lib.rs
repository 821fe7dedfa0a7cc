//! Locality-weighted traffic planning over zones and regions, and routing by the plan. The crate performs no I/O and reads no
//! clock: callers pass the time in milliseconds.
//!
//! Each member periodically sends a [`LoadReport`]. The leader aggregates the reports ([`LoadReports::zone_loads`]), computes
//! the target zones of each zone's traffic ([`Planner::poll_plan`]), and has the plan committed under a version. Members and
//! callers install the committed plan and route by it ([`PlanFollower`]).
//!
//! Traffic is called *near* while it stays in the zone it originates from.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `topology` | zones, regions, and latency between zones |
//! | `load_reports` | aggregation of members' load reports by zone, robust against single wrong reports |
//! | `caller_reports` | success rates seen by callers, and detection of failed paths between zones |
//! | `zone_capacity` | usable capacity of a zone, which drops immediately and recovers in steps |
//! | `min_cost_flow` | solver of the transportation problem |
//! | `locality` | the optimal plan for a given demand and capacity |
//! | `transition` | one bounded step from the current plan to the target plan |
//! | `overrides` | operators' zonal shifts and holds |
//! | `planner` | the next plan to commit, and forecasts |
//! | `traffic_plan` | the plan and its wire format |
//! | `follower` | routing by the newest plan while it is valid |
//! | `routing_advice` | routing and reports on the caller's side |
//! | `messages` | messages between members, callers and operators |
//! | [`broken`] | deliberate violations of rules, for tests |

pub mod broken;
mod caller_reports;
mod follower;
mod load_reports;
mod locality;
mod messages;
pub mod min_cost_flow;
mod overrides;
mod planner;
mod routing_advice;
mod topology;
mod traffic_plan;
mod transition;
mod zone_capacity;

pub use caller_reports::{AttemptCounts, CallerReport};
pub use follower::PlanFollower;
pub use load_reports::{LoadReport, LoadReports, ReportLimits, ZoneLoad};
pub use locality::{locality_weighted_plan, ZoneState};
pub use messages::{MemberReport, Request, Response, Status, MAX_CALLER_REPORTS};
pub use overrides::{ShiftError, MAX_SHIFTS};
pub use planner::{Forecast, Planner, PlannerConfig, ShiftRequest, ZoneForecast};
pub use routing_advice::{RoutingAdvisor, ADVICE_INTERVAL_MS};
pub use topology::{Topology, Zone, DEFAULT_BETWEEN_REGIONS_MS, DEFAULT_IN_REGION_MS, MAX_ZONES};
pub use traffic_plan::{priority_band, PlanDecodeError, TrafficPlan, ZonalShift, PRIORITY_BANDS};
