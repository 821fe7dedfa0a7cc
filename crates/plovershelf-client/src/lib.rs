#![doc = include_str!("../README.md")]
//!
//! | module | job |
//! | --- | --- |
//! | `request` | a request as a host program describes it, and its response |
//! | `client`, `builder` | handles that make calls; how a client is built |
//! | `config` | settings, their ranges and defaults |
//! | `endpoint_list` | the list of endpoints as text |
//! | `caller` | the state machine that decides when, where and how often a call is sent |
//! | `transport` | the task that carries out its actions on sockets |

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
