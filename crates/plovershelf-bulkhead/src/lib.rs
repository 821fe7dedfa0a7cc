//! Bulkheads over groups of request classes: adaptive concurrency limits, lending of idle capacity, and a reserve. No I/O.
//!
//! The caller reports starts, ends and waiting work, and asks whether work may start. The sum over all bulkheads never
//! exceeds the totals that the caller sets, regardless of the limits of single bulkheads.
//!
//! | module | job |
//! | --- | --- |
//! | `bulkheads` | the bulkheads of one backend, for runs and for calls; replacement of their plan |
//! | `capacity` | divides one kind of capacity among bulkheads: reservations, weights, lending, the reserve |
//! | `concurrency_limit` | one adaptive limit on work in flight: AIMD, gradient or delay target |
//! | `latency_baseline` | duration of work without overload, with which the limits compare |
//! | `error` | validation errors of a plan |

mod bulkheads;
mod capacity;
mod concurrency_limit;
mod error;
mod latency_baseline;

pub use bulkheads::{AdaptiveBulkheads, BulkheadConfig, BulkheadPlan, BulkheadStatus, WorkKind};
pub use capacity::Reserve;
pub use concurrency_limit::{ConcurrencyLimit, LimitAlgorithm, LimitBounds, WorkOutcome, WorkSample};
pub use error::{BulkheadError, CapacityError};
