//! Wire codecs for every peer of a backend: clients, the agent, the shared dependency and the service
//! registry.
//!
//! The codecs convert between bytes and values and do no I/O. They check every received length against a
//! bound before they use it. The terms of the wire protocols occur only in this crate; `docs/glossary.md`
//! maps them to the terms of the other crates.
//!
//! | module | peer |
//! | --- | --- |
//! | [`front`] | clients, in Thrift's strict binary protocol; [`front::client`] is the client's side |
//! | [`agent`] | the agent that owns the cores |
//! | [`dependency`] | the dependency that backends share |
//! | [`registry`] | the service registry |
//! | [`lines`] | line format that the agent's and the dependency's protocols share |

pub mod agent;
pub mod dependency;
pub mod front;
pub mod lines;
pub mod registry;

/// Id that a client assigns to an attempt: 16 hexadecimal digits, compared byte by byte.
pub type AttemptId = [u8; 16];

/// Parses an attempt id; `None` unless it has 16 hexadecimal digits.
fn attempt_id(text: &[u8]) -> Option<AttemptId> {
    text.try_into().ok().filter(|id: &AttemptId| id.iter().all(u8::is_ascii_hexdigit))
}
