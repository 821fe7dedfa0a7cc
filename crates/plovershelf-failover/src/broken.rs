//! Rules that are broken on purpose, so that tests can show that breaking them is caught. Only with the feature `broken`, which
//! nothing that serves is built with; set for one thread, so that other tests are not touched.

/// Which rule is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenRule {
    /// What a zone receives may fill it completely.
    NoHeadroom,
    /// A zone that is back gets its traffic back at once.
    NoHysteresis,
    /// An older plan is taken over after a newer one, and none expires.
    PlanWithoutFence,
}

#[cfg(feature = "broken")]
thread_local! {
    static RULE: std::cell::Cell<Option<BrokenRule>> = const { std::cell::Cell::new(None) };
}

/// Breaks a rule from now on in this thread, or none.
#[cfg(feature = "broken")]
pub fn set(rule: Option<BrokenRule>) {
    RULE.set(rule);
}

/// Whether a rule is broken.
#[cfg(feature = "broken")]
pub(crate) fn is(rule: BrokenRule) -> bool {
    RULE.get() == Some(rule)
}

/// Whether a rule is broken: never, in what serves.
#[cfg(not(feature = "broken"))]
#[inline(always)]
pub(crate) fn is(_: BrokenRule) -> bool {
    false
}
