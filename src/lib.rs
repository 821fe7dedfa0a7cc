//! Admission control, load shedding and scheduling for one server behind load balancers that it does not control.
//!
//! - [`admission`] takes the decisions, as a state machine without I/O or clock, with one rule per module.
//! - [`api`] has the types that a driver passes in and receives.

pub mod admission;
pub mod api;

pub use admission::Backend;
