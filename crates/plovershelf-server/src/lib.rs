//! A backend on real sockets.
//!
//! A single task, the [`driver`], owns the [`Backend`](plovershelf::admission::Backend) and every open request. All
//! other tasks do I/O and communicate with it through one bounded queue. Decisions are made by state machines in
//! other packages.
//!
//! | module | job |
//! | --- | --- |
//! | `startup`, `limits` | the configuration; sizes, counts and timeouts of the server |
//! | `service` | starts the tasks, handles signals, waits for the end |
//! | `event` | messages between the tasks and the driver |
//! | `driver` | the event loop: passes events to the backend and sends commands |
//! | `deduplication` | idempotency keys and recorded results |
//! | `listener`, `client_io`, `connection_state`, `outbox` | client connections |
//! | `agent_link` | the link with the agent that runs the requests |
//! | `dependency` | outbound calls |
//! | `registry` | heartbeats to the service registry |
//! | `streams`, `links`, `log_limit` | bounded reads and writes; links between processes; rate limit for log lines that peers can cause |
//! | [`cluster`], [`config_distribution`] | drivers of the cluster, replication and failover, and of configuration distribution |
//! | `broken` | deliberately faulty variants with which the soak test checks itself |
//! | `entropy` | random numbers |

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
