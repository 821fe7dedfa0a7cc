//! Validation errors of a plan of bulkheads. The texts use the terms of the operator's file.

use thiserror::Error;

use crate::bulkheads::WorkKind;

/// Error of a rejected plan of bulkheads.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum BulkheadError {
    /// A bulkhead names a request class that the backend does not have.
    #[error("[pool {bulkhead}] names offering {class} of {classes}")]
    UnknownClass {
        /// Name of the bulkhead.
        bulkhead: String,
        /// Index of the unknown class.
        class: usize,
        /// Number of classes of the backend.
        classes: usize,
    },
    /// Two bulkheads name the same request class.
    #[error("[pool {bulkhead}] names an offering of [pool {owner}]")]
    ClassInTwoBulkheads {
        /// Bulkhead that names the class second.
        bulkhead: String,
        /// Bulkhead that names the class first.
        owner: String,
    },
    /// The capacities of one kind of work are inconsistent.
    #[error("{source}, counted in {kind}")]
    Capacity {
        /// Kind of work.
        kind: WorkKind,
        /// Inconsistency found.
        source: CapacityError,
    },
}

/// Error of the division of capacity among bulkheads.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CapacityError {
    /// The plan has no bulkhead.
    #[error("no pool is named; one at least is needed")]
    NoBulkhead,
    /// A weight is not a finite number above 0.
    #[error("[pool {bulkhead}] weight = {weight}: a number above 0")]
    BadWeight {
        /// Name of the bulkhead.
        bulkhead: String,
        /// Rejected weight.
        weight: f64,
    },
    /// A reservation is above the bulkhead's own maximum.
    #[error("[pool {bulkhead}] least {reserved} is above most {max}: at most {max}")]
    ReservedAboveMax {
        /// Name of the bulkhead.
        bulkhead: String,
        /// Reserved capacity.
        reserved: usize,
        /// Maximum of the bulkhead.
        max: usize,
    },
    /// The reserve is for an unknown bulkhead, or its fraction is out of range.
    #[error("reserve = {fraction}: a share from 0 to 0.5 for a pool that is named")]
    BadReserve {
        /// Rejected fraction of the total.
        fraction: f64,
    },
    /// The reservations add up to more than the total.
    #[error("the least of all pools add up to {reserved}, and there is room for {total}")]
    ReservedAboveTotal {
        /// Sum of all reservations.
        reserved: usize,
        /// Total capacity.
        total: usize,
    },
}
