//! Wire codecs for every peer of a backend: clients, the agent, the shared dependency and the service registry.
//!
//! Bytes go in and values come out, and the other way round; nothing here does any I/O, and no length is believed before
//! it is held against a bound. The words of the wire stand here and nowhere else; `docs/glossary.md` maps them.
//!
//! | module | peer |
//! | --- | --- |
//! | [`front`] | clients, in Thrift's strict binary protocol; [`front::client`] is their side |
//! | [`agent`] | the agent that owns the cores |
//! | [`dependency`] | the dependency that backends share |
//! | [`registry`] | the service registry |
//! | [`lines`] | what the two text protocols have in common |

pub mod agent;
pub mod dependency;
pub mod front;
pub mod lines;
pub mod registry;

/// A client's name for one attempt of a request: 16 hexadecimal digits, kept as they came.
pub type AttemptId = [u8; 16];

fn attempt_id(text: &[u8]) -> Option<AttemptId> {
    text.try_into().ok().filter(|id: &AttemptId| id.iter().all(u8::is_ascii_hexdigit))
}
