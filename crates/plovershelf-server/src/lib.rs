//! One backend on real sockets.
//!
//! One task, the [`driver`], owns the [`Backend`](plovershelf::admission::Backend) and every open request; all others move
//! bytes and reach it through one bounded queue. Nothing here decides: state machines in other packages do.
//!
//! | module | job |
//! | --- | --- |
//! | `startup`, `limits` | the configuration; sizes, counts and times of serving |
//! | `service` | starts the tasks, handles signals, waits for the end |
//! | `event` | what tasks send to the driver and back |
//! | `driver` | the event loop: event in, decision, commands out |
//! | `deduplication` | keys of requests and their results |
//! | `listener`, `client_io`, `connection_state`, `outbox` | clients' connections |
//! | `agent_link` | the link with the agent that owns the cores |
//! | `dependency` | outbound calls |
//! | `registry` | heartbeats |
//! | `streams`, `links`, `log_limit` | bounded reading and writing; links among processes; lines of the log that others cause |
//! | [`cluster`], [`config_distribution`] | the drivers of cluster, replication and failover, and of configuration distribution |
//! | `broken` | variants that break a promise, for the soak's own check |
//! | `entropy` | random numbers that no other start draws |

mod agent_link;
mod broken;
mod client_io;
pub mod cluster;
pub mod config_distribution;
mod connection_state;
mod deduplication;
mod dependency;
mod driver;
mod entropy;
mod event;
mod limits;
mod links;
mod listener;
mod log_limit;
mod outbox;
mod registry;
mod service;
mod startup;
mod streams;

pub use service::{run, ServiceError};
