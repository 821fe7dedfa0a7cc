//! Variants that break a promise on purpose, so that tests can show that breaking it is caught. Only with the feature
//! `broken`, which nothing that serves is built with; set for the whole process, so such tests stand in files of their own.

/// What is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Broken {
    /// One that is back votes and confirms without asking what it may have forgotten.
    VoteWithoutFence = 1,
    /// A member acts whether its lease is over or not, and is put out without waiting for it.
    LeaseNotChecked,
    /// A view's number is not held against the one before.
    ViewNumberedTwice,
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
