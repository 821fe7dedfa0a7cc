//! Bytes to values and back for every peer of a backend: sidecars, agent, ledger and roster. Nothing here
//! reads or writes a socket, and no length is believed before it is held against a bound.

pub mod agent;
pub mod front;
pub mod ledger;
pub mod lines;
pub mod roster;

/// The name that a caller gives to one try of an invocation: 16 hex digits, kept as they came.
pub type TryId = [u8; 16];

fn try_id(text: &[u8]) -> Option<TryId> {
    text.try_into().ok().filter(|id: &TryId| id.iter().all(u8::is_ascii_hexdigit))
}
