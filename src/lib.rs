//! Admission control, load shedding and scheduling for one server behind load balancers that it does not control.
//!
//! [`admission`] decides; [`api`] has the types that its driver uses. Neither does any I/O.

pub mod admission;
pub mod api;
