//! Keywords of the settings and the corresponding values of [`plovershelf::api`].

use plovershelf::api::{BackpressureSignal, Cancellation, Idempotency};

/// A gauge that the backend uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Gauge {
    CoresBusy,
    Runnable,
}

/// Target of outbound calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Dependency {
    /// One dependency shared by all backends.
    Shared,
    /// The backends of the next tier.
    NextTier,
    None,
}

pub(crate) const IDEMPOTENCY: [(&str, Idempotency); 3] = [
    ("repeatable", Idempotency::Idempotent),
    ("by_key", Idempotency::Keyed),
    ("once", Idempotency::NonIdempotent),
];

pub(crate) const CANCELLATION: [(&str, Cancellation); 3] =
    [("silent", Cancellation::Unsupported), ("abort", Cancellation::Abort), ("suspend", Cancellation::Pause)];

pub(crate) const BACKPRESSURE: [(&str, BackpressureSignal); 4] = [
    ("silent", BackpressureSignal::None),
    ("threshold", BackpressureSignal::MinimumPriority),
    ("window", BackpressureSignal::ConcurrencyPerClient),
    ("share_of", BackpressureSignal::RateFraction),
];

pub(crate) const DEPENDENCY: [(&str, Dependency); 3] =
    [("shared", Dependency::Shared), ("tier", Dependency::NextTier), ("silent", Dependency::None)];

/// Returns the gauge of a name, or `None` for a gauge that the backend does not use.
pub(crate) fn gauge(name: &str) -> Option<Gauge> {
    match name {
        "cpu_busy" => Some(Gauge::CoresBusy),
        "runnable" => Some(Gauge::Runnable),
        _ => None,
    }
}
