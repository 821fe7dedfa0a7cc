//! Fault injection: rules that a test disables to show that the checks detect their violation.
//!
//! Rules can be broken only with the feature `broken`, which no production binary enables. The setting applies to the
//! whole process, so each test that uses it is in a test file of its own.

/// A rule that can be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum BrokenRule {
    /// A restarted voter votes and acknowledges entries without recovering from the other voters.
    VoteWithoutRecovery = 1,
    /// A member acts without a valid lease, and the leader removes members without waiting for their leases to expire.
    LeaseNotChecked,
    /// The number of a new view is not checked to follow that of the previous one.
    DuplicateViewNumber,
}

#[cfg(feature = "broken")]
static RULE: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Sets the rule that is broken in this process from now on, or none.
#[cfg(feature = "broken")]
pub fn set(rule: Option<BrokenRule>) {
    RULE.store(rule.map_or(0, |rule| rule as u8), std::sync::atomic::Ordering::Relaxed);
}

/// Returns whether a rule is broken.
#[cfg(feature = "broken")]
pub(crate) fn is(rule: BrokenRule) -> bool {
    RULE.load(std::sync::atomic::Ordering::Relaxed) == rule as u8
}

/// Returns whether a rule is broken, which is always false without the feature `broken`.
#[cfg(not(feature = "broken"))]
pub(crate) fn is(_: BrokenRule) -> bool {
    false
}
