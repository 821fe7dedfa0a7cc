//! A timer queue of idempotency keys.

use std::collections::BTreeSet;

use crate::placement::IdempotencyKey;

/// Keys ordered by due time, in milliseconds. A key may be scheduled several times; when it is due, the owner checks whether
/// there is still work to do.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyTimers {
    /// Due times as IEEE 754 bits, which sort like the values as long as these are not negative.
    queue: BTreeSet<(u64, IdempotencyKey)>,
}

impl KeyTimers {
    pub(crate) fn schedule(&mut self, at_ms: f64, key: IdempotencyKey) {
        self.queue.insert((at_ms.max(0.0).to_bits(), key));
    }

    /// Returns the time at which the first key is due, or infinity if none is scheduled.
    pub(crate) fn poll_timeout(&self) -> f64 {
        self.queue.first().map_or(f64::INFINITY, |(at, _)| f64::from_bits(*at))
    }

    pub(crate) fn pop(&mut self) -> Option<IdempotencyKey> {
        self.queue.pop_first().map(|(_, key)| key)
    }
}
