//! Variants that break a promise on purpose, so that tests can show that breaking it is caught. Only with the feature
//! `broken`, which nothing that serves is built with; set for the whole process, so such tests stand in files of their own.

/// What is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Broken {
    /// ONE_CONTENT_A_NUMBER: what a change comes to is not held against its digest.
    DigestNotChecked = 1,
    /// NEVER_BACKWARDS: a change is taken at whatever version.
    VersionNotCompared,
    /// AGREED_IS_IN_FORCE: a parent that is silent or lost is waited for.
    SpareNeverUsed,
    /// CUT_OFF_SERVES_ON: the content is dropped with the parent.
    CutOffForgets,
    /// BAD_CHANGES_NOTHING: edits are applied one after the other, without a check of all before.
    EditsNotChecked,
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
