//! Variants that break a promise on purpose, so that tests can show that breaking it is caught. Only with the feature
//! `broken`, which nothing that serves is built with.

/// A variant, and the promise that it breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Broken {
    /// A request is launched when the primary has its reservation, before all replicas have confirmed it.
    LaunchBeforeReserved = 1,
    /// A result is answered when the primary has it, before all replicas have confirmed it.
    AnswerBeforeReplicated,
    /// A replica that stores nothing confirms an outcome of a reservation that it was never sent.
    BlankReplicaConfirms,
}

#[cfg(feature = "broken")]
static ACTIVE: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Selects a variant, or none, for this process from now on.
#[cfg(feature = "broken")]
pub fn set(variant: Option<Broken>) {
    ACTIVE.store(variant.map_or(0, |variant| variant as u8), std::sync::atomic::Ordering::Relaxed);
}

/// Whether this variant is selected.
#[cfg(feature = "broken")]
pub fn is(variant: Broken) -> bool {
    ACTIVE.load(std::sync::atomic::Ordering::Relaxed) == variant as u8
}

/// Whether this variant is selected: never without the feature `broken`.
#[cfg(not(feature = "broken"))]
pub fn is(_: Broken) -> bool {
    false
}
