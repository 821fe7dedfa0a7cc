//! Variants that break a promise on purpose, so that tests can show that breaking it is caught. Only with the feature
//! `broken`, which nothing that serves is built with.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Broken {
    /// A run begins when the first has the claim, before all copies stand.
    LaunchBeforeClaimStands = 1,
    /// A result is answered when the first has it.
    AnswerBeforeCopied,
    /// A member that holds nothing confirms what it was never told.
    BlankConfirms,
}

#[cfg(feature = "broken")]
static WHAT: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// From now on in this process.
#[cfg(feature = "broken")]
pub fn set(what: Option<Broken>) {
    WHAT.store(what.map_or(0, |what| what as u8), std::sync::atomic::Ordering::Relaxed);
}

#[cfg(feature = "broken")]
pub fn is(what: Broken) -> bool {
    WHAT.load(std::sync::atomic::Ordering::Relaxed) == what as u8
}

#[cfg(not(feature = "broken"))]
pub fn is(_: Broken) -> bool {
    false
}
