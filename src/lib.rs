//! Admission control, load shedding and scheduling for one server behind load balancers that it does not control.
//!
//! - [`admission`] decides, as a state machine without I/O or clock; one rule a module.
//! - [`api`] has the types that its driver passes in and receives.

pub mod admission;
pub mod api;

pub use admission::Backend;
