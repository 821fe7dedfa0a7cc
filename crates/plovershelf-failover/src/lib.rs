//! Zones and regions: what each can carry, a plan decided in common of what stays near and what goes where, and how each follows
//! it, also when nothing new is heard. No input or output, no clock: times are told, in milliseconds.
//!
//! The ordinary path: each member tells a [`load_reports::Report`] once a period; the group's leader sums them up
//! ([`load_reports::Seen::sums`]), works out where the traffic of each zone should go ([`planner::Planner::tick`]), and has the plan
//! agreed under a number; each member and caller takes it over and acts by it ([`follower::Follower`]).

pub mod broken;
pub mod follower;
pub mod load_reports;
pub mod messages;
pub mod min_cost_flow;
pub mod planner;
pub mod routing_advice;
pub mod traffic_plan;
