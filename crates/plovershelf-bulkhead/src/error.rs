//! What a plan of bulkheads can have against it. The texts use the words of the operator's file.

use thiserror::Error;

use crate::bulkheads::WorkKind;

/// Why a plan of bulkheads was refused.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum BulkheadError {
    /// A bulkhead names a request class that the backend does not have.
    #[error("[pool {bulkhead}] names offering {class} of {classes}")]
    UnknownClass {
        /// The bulkhead's name.
        bulkhead: String,
        /// The index that it names.
        class: usize,
        /// How many classes there are.
        classes: usize,
    },
    /// Two bulkheads name the same request class.
    #[error("[pool {bulkhead}] names an offering of [pool {owner}]")]
    ClassInTwoBulkheads {
        /// The bulkhead that names it second.
        bulkhead: String,
        /// The bulkhead that names it first.
        owner: String,
    },
    /// The capacities of one kind of work do not fit together.
    #[error("{source}, counted in {kind}")]
    Capacity {
        /// The kind of work.
        kind: WorkKind,
        /// What does not fit.
        source: CapacityError,
    },
}

/// Why capacity can't be divided among bulkheads.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CapacityError {
    /// There is no bulkhead.
    #[error("no pool is named; one at least is needed")]
    NoBulkhead,
    /// A weight that is not a finite number above 0.
    #[error("[pool {bulkhead}] weight = {weight}: a number above 0")]
    BadWeight {
        /// The bulkhead's name.
        bulkhead: String,
        /// Its weight.
        weight: f64,
    },
    /// A reservation above the bulkhead's own maximum.
    #[error("[pool {bulkhead}] least {reserved} is above most {max}: at most {max}")]
    ReservedAboveMax {
        /// The bulkhead's name.
        bulkhead: String,
        /// What is reserved for it.
        reserved: usize,
        /// Its maximum.
        max: usize,
    },
    /// A reserve for no bulkhead, or of a fraction that is out of range.
    #[error("reserve = {fraction}: a share from 0 to 0.5 for a pool that is named")]
    BadReserve {
        /// The fraction of the total.
        fraction: f64,
    },
    /// Reservations that add up to more than there is.
    #[error("the least of all pools add up to {reserved}, and there is room for {total}")]
    ReservedAboveTotal {
        /// The sum of all reservations.
        reserved: usize,
        /// The total capacity.
        total: usize,
    },
}
