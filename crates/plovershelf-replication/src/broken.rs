//! Deliberate violations of the protocol's guarantees, which tests enable to verify that the checks detect them.
//!
//! Available only with the cargo feature `broken`, which no production binary enables.

/// A guarantee to violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum BrokenRule {
    /// The executor launches a request once the primary has confirmed its reservation, before all replicas have.
    LaunchBeforeReserved = 1,
    /// The executor answers with an outcome once the primary has confirmed it, before all replicas have.
    AnswerBeforeReplicated,
    /// A replica without a record of a key confirms an outcome of a reservation that it never received.
    EmptyReplicaConfirms,
}

#[cfg(feature = "broken")]
static ACTIVE: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Selects the rule that this process violates from now on, or none.
#[cfg(feature = "broken")]
pub fn set(rule: Option<BrokenRule>) {
    ACTIVE.store(rule.map_or(0, |rule| rule as u8), std::sync::atomic::Ordering::Relaxed);
}

/// Returns whether `rule` is the one selected by [`set`].
#[cfg(feature = "broken")]
pub fn is(rule: BrokenRule) -> bool {
    ACTIVE.load(std::sync::atomic::Ordering::Relaxed) == rule as u8
}

/// Returns `false`: no rule can be violated without the feature `broken`.
#[cfg(not(feature = "broken"))]
pub fn is(_: BrokenRule) -> bool {
    false
}
