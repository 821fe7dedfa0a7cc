#![doc = include_str!("../README.md")]

pub mod caller;
pub mod link;
pub mod list;

pub use caller::terms::Terms;
pub use caller::{Counts, Ending, Why};
pub use link::{Builder, Client, Invocation, Reply};
pub use list::{BadList, MemberList};
pub use plovershelf::api::{BackpressureSignal, Idempotency};
