//! Fault injection: tests disable one guarantee to verify that their checks detect the violation.
//!
//! Faults exist only with the feature `broken`, which production builds must not enable. A fault applies to the whole
//! process, so tests that set faults are in test binaries of their own.

/// A protection that is disabled, with the guarantee that the fault violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Broken {
    /// ONE_CONTENT_A_NUMBER: the resulting table of a change or snapshot is not compared with the digest.
    DigestNotChecked = 1,
    /// NEVER_BACKWARDS: a change is applied to any version of the table.
    VersionNotCompared,
    /// AGREED_IS_IN_FORCE: a listener waits for a lost parent and never attaches to its backup parent.
    SpareNeverUsed,
    /// CUT_OFF_SERVES_ON: a listener drops its table when it loses its parent.
    CutOffForgets,
    /// BAD_CHANGES_NOTHING: the edits of a change are applied without validation.
    EditsNotChecked,
}

#[cfg(feature = "broken")]
static FAULT: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Enables a fault in this process, or disables all faults.
#[cfg(feature = "broken")]
pub fn set(fault: Option<Broken>) {
    FAULT.store(fault.map_or(0, |fault| fault as u8), std::sync::atomic::Ordering::Relaxed);
}

/// Returns true if the fault is enabled.
#[cfg(feature = "broken")]
pub fn is(fault: Broken) -> bool {
    FAULT.load(std::sync::atomic::Ordering::Relaxed) == fault as u8
}

/// Returns false, since no fault can be enabled without the feature.
#[cfg(not(feature = "broken"))]
pub fn is(_: Broken) -> bool {
    false
}
