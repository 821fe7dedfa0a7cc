//! A queue of keys by the time at which each is due.

use std::collections::BTreeSet;

use crate::placement::IdempotencyKey;

/// Times are in milliseconds. A key may stand in it several times; its owner decides on each whether anything is left to do.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyTimers {
    /// The bits of a float that is not negative order as the float does.
    queue: BTreeSet<(u64, IdempotencyKey)>,
}

impl KeyTimers {
    pub(crate) fn schedule(&mut self, at_ms: f64, key: IdempotencyKey) {
        self.queue.insert((at_ms.max(0.0).to_bits(), key));
    }

    /// When the first key is due; infinite where there is none.
    pub(crate) fn poll_timeout(&self) -> f64 {
        self.queue.first().map_or(f64::INFINITY, |(at, _)| f64::from_bits(*at))
    }

    pub(crate) fn pop(&mut self) -> Option<IdempotencyKey> {
        self.queue.pop_first().map(|(_, key)| key)
    }
}
