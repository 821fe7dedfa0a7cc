//! Times as keys of ordered sets.

/// A time in milliseconds with a total order; times before 0 count as 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimeKey(u64);

impl TimeKey {
    /// The bits of non-negative floating-point numbers sort like the numbers.
    pub(super) fn from_ms(time_ms: f64) -> Self {
        TimeKey(time_ms.max(0.0).to_bits())
    }

    pub(super) fn as_ms(self) -> f64 {
        f64::from_bits(self.0)
    }
}
