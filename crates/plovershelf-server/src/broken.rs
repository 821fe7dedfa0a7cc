//! Variants that break a promise on purpose, so that the soak can show that breaking it is found. Only with the feature
//! `broken`, which nothing that serves is built with; `PLOVERSHELF_TEST_BROKEN` names the variant.

#[cfg(feature = "broken")]
use std::sync::atomic::{AtomicBool, Ordering};
#[cfg(feature = "broken")]
use std::sync::OnceLock;

/// A variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
    /// What is sent within [`LAST_ANSWERS_MS`] of the exit is dropped.
    LastAnswersDropped,
    /// Once SIGHUP has come, keys are not known any more.
    KeysForgottenAtReload,
    /// Connections in the listen queue are dropped when accepting ends.
    ListenQueueDropped,
    /// The drain notice is heard only after [`NOTICE_DELAY`].
    NoticeHeardLate,
    /// Connections are accepted without regard to descriptors.
    DescriptorsNotCounted,
}

/// Span before the exit of [`Broken::LastAnswersDropped`], in milliseconds.
pub(crate) const LAST_ANSWERS_MS: f64 = 150.0;
/// Delay of [`Broken::NoticeHeardLate`].
pub(crate) const NOTICE_DELAY: std::time::Duration = std::time::Duration::from_millis(600);

#[cfg(feature = "broken")]
const NAMES: [(&str, Broken); 5] = [
    ("last_answers_dropped", Broken::LastAnswersDropped),
    ("keys_forgotten_at_reload", Broken::KeysForgottenAtReload),
    ("listen_queue_dropped", Broken::ListenQueueDropped),
    ("notice_heard_late", Broken::NoticeHeardLate),
    ("descriptors_not_counted", Broken::DescriptorsNotCounted),
];

#[cfg(feature = "broken")]
static RELOADED: AtomicBool = AtomicBool::new(false);

/// Whether this variant is selected.
#[cfg(feature = "broken")]
pub(crate) fn is(variant: Broken) -> bool {
    static SELECTED: OnceLock<Option<Broken>> = OnceLock::new();
    let selected = SELECTED.get_or_init(|| {
        let name = std::env::var("PLOVERSHELF_TEST_BROKEN").ok()?;
        let known = NAMES.iter().find(|(known, _)| *known == name);
        Some(known.unwrap_or_else(|| panic!("PLOVERSHELF_TEST_BROKEN: no variant {name:?}")).1)
    });
    *selected == Some(variant)
}

/// Whether this variant is selected: never without the feature `broken`.
#[cfg(not(feature = "broken"))]
pub(crate) fn is(_: Broken) -> bool {
    false
}

/// SIGHUP has come.
pub(crate) fn record_reload() {
    #[cfg(feature = "broken")]
    RELOADED.store(true, Ordering::Relaxed);
}

/// Whether keys are forgotten.
pub(crate) fn forgets_keys() -> bool {
    #[cfg(feature = "broken")]
    let reloaded = RELOADED.load(Ordering::Relaxed);
    #[cfg(not(feature = "broken"))]
    let reloaded = false;
    reloaded && is(Broken::KeysForgottenAtReload)
}
