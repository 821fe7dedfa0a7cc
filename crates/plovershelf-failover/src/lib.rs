//! A locality-weighted traffic plan over zones and regions, and how callers and members follow it. No I/O and no clock:
//! times are given, in milliseconds.
//!
//! Each member sends a [`LoadReport`] once a period; the leader sums them up ([`LoadReports::zone_loads`]), works out where the
//! traffic of each zone should go ([`Planner::poll_plan`]), and has the plan committed under a version; each member and caller
//! takes it over and routes by it ([`PlanFollower`]).
//!
//! | module | job |
//! | --- | --- |
//! | `topology` | zones, regions, latency between zones |
//! | `load_reports` | members' load reports, summed up by zone so that one that is wrong counts little |
//! | `caller_reports` | what callers see of zones, and which paths between zones they find cut |
//! | `zone_capacity` | what a zone may be asked to carry: at once down, up in steps |
//! | `min_cost_flow` | the most that can be carried, at the least cost |
//! | `locality` | the plan that is best for given demand and capacity |
//! | `transition` | one bounded step from the plan in force to the one wanted |
//! | `overrides` | operators' zonal shifts and hold |
//! | `planner` | the next plan to commit; forecasts |
//! | `traffic_plan` | the plan, and its form on the wire |
//! | `follower` | routing by the newest plan, while it is confirmed |
//! | `routing_advice` | a caller's side: routing, and what it reports |
//! | `messages` | messages between members, callers and operators |
//! | [`broken`] | rules that tests break on purpose |

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
