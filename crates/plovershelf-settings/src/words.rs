//! The words of the settings, mapped once to the types of [`plovershelf::api`]. A word that is not known
//! counts as if it were missing, so that settings may say more than this program reads.

use plovershelf::api::{BackpressureSignal, Cancellation, Idempotency};

/// A gauge that the backend reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Gauge {
    CoresBusy,
    Runnable,
}

pub(crate) fn gauge(word: Option<&str>) -> Option<Gauge> {
    match word {
        Some("cpu_busy") => Some(Gauge::CoresBusy),
        Some("runnable") => Some(Gauge::Runnable),
        _ => None,
    }
}

pub(crate) fn idempotency(word: Option<&str>) -> Idempotency {
    match word {
        Some("by_key") => Idempotency::Keyed,
        Some("once") => Idempotency::NonIdempotent,
        _ => Idempotency::Idempotent,
    }
}

pub(crate) fn cancellation(word: Option<&str>) -> Cancellation {
    match word {
        Some("abort") => Cancellation::Abort,
        Some("suspend") => Cancellation::Pause,
        _ => Cancellation::Unsupported,
    }
}

pub(crate) fn backpressure(word: Option<&str>) -> BackpressureSignal {
    match word {
        Some("threshold") => BackpressureSignal::MinimumPriority,
        Some("window") => BackpressureSignal::ConcurrencyPerClient,
        Some("share_of") => BackpressureSignal::RateFraction,
        _ => BackpressureSignal::None,
    }
}

/// Whether the outbound calls of all backends go to one dependency.
pub(crate) fn is_shared_dependency(word: Option<&str>) -> bool {
    word == Some("shared")
}
