//! Rules that are broken on purpose, so that tests can show that breaking them is caught. Only with the feature `broken`,
//! which nothing that serves is built with; set for the whole process, so such tests stand in files of their own.

/// Which rule is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum BrokenRule {
    /// A restarted voter votes and acknowledges without asking what it may have forgotten.
    VoteWithoutRecovery = 1,
    /// A member acts whether its lease has expired or not, and is removed without waiting for that.
    LeaseNotChecked,
    /// A view's number is not checked against the one before.
    DuplicateViewNumber,
}

#[cfg(feature = "broken")]
static RULE: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Breaks a rule from now on in this process, or none.
#[cfg(feature = "broken")]
pub fn set(rule: Option<BrokenRule>) {
    RULE.store(rule.map_or(0, |rule| rule as u8), std::sync::atomic::Ordering::Relaxed);
}

/// Whether a rule is broken.
#[cfg(feature = "broken")]
pub(crate) fn is(rule: BrokenRule) -> bool {
    RULE.load(std::sync::atomic::Ordering::Relaxed) == rule as u8
}

/// Whether a rule is broken: never, in what serves.
#[cfg(not(feature = "broken"))]
pub(crate) fn is(_: BrokenRule) -> bool {
    false
}
