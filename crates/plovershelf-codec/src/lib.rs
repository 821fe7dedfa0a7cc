//! Bytes to values and back for every peer of a backend: sidecars, agent, ledger and roster. Nothing here
//! reads or writes a socket, and no length is believed before it is held against a bound.

pub mod agent;
pub mod dependency;
pub mod front;
pub mod lines;
pub mod registry;

/// The name that a caller gives to one try of an invocation: 16 hex digits, kept as they came.
pub type AttemptId = [u8; 16];

fn attempt_id(text: &[u8]) -> Option<AttemptId> {
    text.try_into().ok().filter(|id: &AttemptId| id.iter().all(u8::is_ascii_hexdigit))
}
