#![doc = include_str!("../README.md")]

pub mod caller;
pub mod config;
pub mod endpoint_list;
pub mod transport;

pub use caller::{Counts, Ending, Why};
pub use config::Terms;
pub use endpoint_list::{BadList, MemberList};
pub use plovershelf::api::{BackpressureSignal, Idempotency};
pub use transport::{Builder, Client, Invocation, Reply};
