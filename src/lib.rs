//! Admission and scheduling decisions for one server behind balancers that it does not control.
//! The decisions are in [`logic`], the types its callers use in [`interface`].

pub mod interface;
pub mod logic;
