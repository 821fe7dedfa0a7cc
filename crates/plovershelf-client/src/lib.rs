#![doc = include_str!("../README.md")]
//!
//! | module | contents |
//! | --- | --- |
//! | `request` | requests of a host program and their responses |
//! | `client`, `builder` | handles that make calls; builder of a client |
//! | `config` | settings with their ranges and defaults |
//! | `endpoint_list` | text format of the endpoint list |
//! | `caller` | state machine that decides when, where and how often to send a call |
//! | `transport` | task that executes the state machine's actions on sockets |

mod builder;
mod caller;
mod client;
mod config;
mod endpoint_list;
mod request;
mod transport;

pub use builder::{ClientBuilder, StartError};
pub use caller::{
    Action, AttemptKind, CallId, CallOutcome, CallSpec, Caller, CloseReason, ConnectionId, Counters,
    NotSentReason,
};
pub use client::{Client, PendingCall};
pub use config::{ClientConfig, ConfigError};
pub use endpoint_list::{EndpointList, EndpointListError};
pub use plovershelf::api::{BackpressureSignal, Idempotency};
pub use request::{Request, Response, MAX_BODY_BYTES};
pub use transport::EndpointFileError;
