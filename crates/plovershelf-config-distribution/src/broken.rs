//! Faults that tests switch on to show that breaking a promise is caught.
//!
//! Only with the feature `broken`, which nothing that serves is built with. A fault is set for the whole process, so such
//! tests stand in files of their own.

/// What is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Broken {
    /// ONE_CONTENT_A_NUMBER: the table that a change leads to is not compared with its digest.
    DigestNotChecked = 1,
    /// NEVER_BACKWARDS: a change is applied at whatever version.
    VersionNotCompared,
    /// AGREED_IS_IN_FORCE: a parent that is silent or lost is waited for.
    SpareNeverUsed,
    /// CUT_OFF_SERVES_ON: the table is dropped with the parent.
    CutOffForgets,
    /// BAD_CHANGES_NOTHING: edits are applied one after the other, without a check of all before.
    EditsNotChecked,
}

#[cfg(feature = "broken")]
static FAULT: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Switches a fault on in this process, or all of them off.
#[cfg(feature = "broken")]
pub fn set(fault: Option<Broken>) {
    FAULT.store(fault.map_or(0, |fault| fault as u8), std::sync::atomic::Ordering::Relaxed);
}

/// Whether the fault is switched on.
#[cfg(feature = "broken")]
pub fn is(fault: Broken) -> bool {
    FAULT.load(std::sync::atomic::Ordering::Relaxed) == fault as u8
}

/// Without the feature no fault can be switched on.
#[cfg(not(feature = "broken"))]
pub fn is(_: Broken) -> bool {
    false
}
