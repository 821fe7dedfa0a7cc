//! Bulkheads over groups of request classes: adaptive concurrency limits, lending of idle capacity, and a reserve. No I/O.
//!
//! The caller reports what starts, ends and waits, and asks who may start. The sum over all bulkheads never passes the
//! totals that the caller sets, whatever the bulkheads' own limits are.
//!
//! | module | job |
//! | --- | --- |
//! | `bulkheads` | the bulkheads of one backend, for runs and for calls; replacement of their plan |
//! | `capacity` | divides one kind of capacity among bulkheads: reservations, weights, lending, the reserve |
//! | `concurrency_limit` | one adaptive limit on work in flight: AIMD, gradient or delay target |
//! | `latency_baseline` | what work takes without overload, which the limits compare with |
//! | `error` | what a plan can have against it |

mod bulkheads;
mod capacity;
mod concurrency_limit;
mod error;
mod latency_baseline;

pub use bulkheads::{AdaptiveBulkheads, BulkheadConfig, BulkheadPlan, BulkheadStatus, WorkKind};
pub use capacity::Reserve;
pub use concurrency_limit::{ConcurrencyLimit, LimitAlgorithm, LimitBounds, WorkOutcome, WorkSample};
pub use error::{BulkheadError, CapacityError};
