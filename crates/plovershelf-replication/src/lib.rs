//! What a backend holds for others is copied to further backends, so that a machine lost with its disk loses nothing
//! promised: that a ticketed invocation runs or may have run, and how it ended.
//!
//! [`replicator::Copies`] is one member's part: told the time, the group's views, messages, and what its own backend wants; it
//! returns what to send and what the backend may do. [`placement`] says who holds what. No input or output.

pub mod broken;
pub mod placement;
pub mod replicator;
