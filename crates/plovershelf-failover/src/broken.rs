//! Deliberate violations of rules, which tests enable to verify that the checks detect them.
//!
//! Available only with the cargo feature `broken`, which no production binary enables. A violation applies to one thread, so
//! that it does not affect tests running concurrently.

/// A rule to violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenRule {
    /// Redirected traffic may fill a zone completely.
    NoHeadroom,
    /// A recovered zone receives all its traffic immediately.
    NoHysteresis,
    /// A follower accepts an older plan after a newer one, and plans never expire.
    PlanWithoutFence,
}

#[cfg(feature = "broken")]
thread_local! {
    static RULE: std::cell::Cell<Option<BrokenRule>> = const { std::cell::Cell::new(None) };
}

/// Selects the rule that this thread violates from now on, or none.
#[cfg(feature = "broken")]
pub fn set(rule: Option<BrokenRule>) {
    RULE.set(rule);
}

/// Returns whether `rule` is the one selected by [`set`] in this thread.
#[cfg(feature = "broken")]
pub(crate) fn is(rule: BrokenRule) -> bool {
    RULE.get() == Some(rule)
}

/// Returns `false`: no rule can be violated without the feature `broken`.
#[cfg(not(feature = "broken"))]
#[inline(always)]
pub(crate) fn is(_: BrokenRule) -> bool {
    false
}
