//! Deliberately faulty variants with which the soak test verifies that it detects each fault. They exist only with
//! the feature `broken`, which is never enabled in production builds; `PLOVERSHELF_TEST_BROKEN` selects the variant.

#[cfg(feature = "broken")]
use std::sync::atomic::{AtomicBool, Ordering};
#[cfg(feature = "broken")]
use std::sync::OnceLock;

/// A faulty variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
    /// Responses within [`LAST_ANSWERS_MS`] of the exit are dropped.
    LastAnswersDropped,
    /// Deduplication keys are ignored after SIGHUP.
    KeysIgnoredAfterReload,
    /// Connections in the listen queue are dropped when accepting ends.
    ListenQueueDropped,
    /// The drain notice is handled only after [`NOTICE_DELAY`].
    NoticeHandledLate,
    /// The number of connections is not limited by the number of descriptors.
    DescriptorsNotCounted,
}

/// Time before the exit in which [`Broken::LastAnswersDropped`] drops responses, in milliseconds.
pub(crate) const LAST_ANSWERS_MS: f64 = 150.0;
/// Delay of [`Broken::NoticeHandledLate`].
pub(crate) const NOTICE_DELAY: std::time::Duration = std::time::Duration::from_millis(600);

#[cfg(feature = "broken")]
const NAMES: [(&str, Broken); 5] = [
    ("last_answers_dropped", Broken::LastAnswersDropped),
    ("keys_forgotten_at_reload", Broken::KeysIgnoredAfterReload),
    ("listen_queue_dropped", Broken::ListenQueueDropped),
    ("notice_heard_late", Broken::NoticeHandledLate),
    ("descriptors_not_counted", Broken::DescriptorsNotCounted),
];

#[cfg(feature = "broken")]
static RELOADED: AtomicBool = AtomicBool::new(false);

/// Returns whether this variant is selected.
#[cfg(feature = "broken")]
pub(crate) fn is(variant: Broken) -> bool {
    static SELECTED: OnceLock<Option<Broken>> = OnceLock::new();
    let selected = SELECTED.get_or_init(|| {
        let name = std::env::var("PLOVERSHELF_TEST_BROKEN").ok()?;
        let variant = NAMES.iter().find(|(variant_name, _)| *variant_name == name);
        Some(variant.unwrap_or_else(|| panic!("PLOVERSHELF_TEST_BROKEN: no variant {name:?}")).1)
    });
    *selected == Some(variant)
}

/// Returns false: variants exist only with the feature `broken`.
#[cfg(not(feature = "broken"))]
pub(crate) fn is(_: Broken) -> bool {
    false
}

/// Records that SIGHUP was received.
pub(crate) fn record_reload() {
    #[cfg(feature = "broken")]
    RELOADED.store(true, Ordering::Relaxed);
}

/// Returns whether deduplication keys are ignored.
pub(crate) fn ignores_keys() -> bool {
    #[cfg(feature = "broken")]
    let reloaded = RELOADED.load(Ordering::Relaxed);
    #[cfg(not(feature = "broken"))]
    let reloaded = false;
    reloaded && is(Broken::KeysIgnoredAfterReload)
}
