//! Pools of offerings: how many runs and calls each may have, as limits that adapt to what those take, with unused room
//! lent to others and a reserve that the cheapest always have. Pure: it is told what begins, ends and waits, and says
//! who may begin. The sum over pools never passes the bounds that it is told, whatever its own limits say.

pub mod bulkheads;
pub mod capacity;
pub mod concurrency_limit;

pub use bulkheads::{Kind, Plan, Pools, Terms};
pub use capacity::{PoolTerms, Reserve, Rooms};
pub use concurrency_limit::{Bounds, Limit, Way};
