//! Requests for missing data, one at a time. The answer is a delta if the sender's change log reaches back far enough,
//! and otherwise a snapshot in chunks.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | idle | another process is known to be ahead | waiting for a delta or the first chunk |
//! | idle | a change could not be applied | waiting for the first chunk |
//! | waiting | the requested delta arrives | idle |
//! | waiting | the first chunk arrives | assembling |
//! | assembling | the next chunk arrives | assembling; the chunk after it is requested |
//! | assembling | the first chunk arrives again, too often | idle; no request for a random delay |
//! | assembling | the last chunk arrives | idle; the table takes effect if its digest matches, otherwise it is dropped and no request is sent for one timeout |
//! | waiting, assembling | timeout | idle; after several timeouts in a row the parent is replaced |

use std::net::SocketAddr;

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::change::Change;
use crate::entry::Entry;
use crate::quota_table::{QuotaTable, MAX_CHUNK_BYTES};
use crate::snapshot::{SnapshotBuilder, SnapshotError};
use crate::version::Version;

/// Maximum number of times that a sender may start a snapshot before the transfer is abandoned and requested again
/// after a delay.
///
/// Without the limit, a transfer would never end if the sender's version advances faster than its change log can
/// cover.
const MAX_STARTS: u32 = 8;
/// Number of consecutive failed requests after which the parent is replaced.
const MAX_FAILURES: u32 = 3;

/// The contents of a received [`Message::SnapshotChunk`](crate::message::Message::SnapshotChunk).
pub(crate) struct ReceivedChunk {
    pub(crate) version: Version,
    pub(crate) digest: u128,
    pub(crate) after: Option<String>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) is_last: bool,
}

/// The result of processing a chunk.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ChunkOutcome {
    /// The chunk was not requested or is not the next one.
    Ignored,
    /// The sender started the snapshot too often, so the transfer was abandoned.
    Abandoned,
    /// The next chunk must be requested.
    RequestNext { version: Version, after: Option<String> },
    /// The snapshot is complete and its digest matches.
    Complete(QuotaTable),
    /// The chunk contains an invalid entry.
    InvalidChunk(SnapshotError),
    /// The snapshot is complete but its digest does not match.
    InvalidTable(SnapshotError),
}

/// A request that has not been answered completely.
#[derive(Clone, Debug)]
struct Pending {
    from: SocketAddr,
    until_ms: f64,
    builder: Option<SnapshotBuilder>,
    starts: u32,
}

/// A request that timed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FailedRequest {
    pub(crate) from: SocketAddr,
    /// True if the limit of consecutive failures is reached.
    pub(crate) limit_reached: bool,
}

/// The pending request, if any, and the number of consecutive failures.
#[derive(Clone, Debug)]
pub(crate) struct Fetcher {
    pending: Option<Pending>,
    /// Number of consecutive requests that timed out.
    failures: u32,
    /// The earliest time of the next request, in milliseconds.
    not_before_ms: f64,
    timeout_ms: f64,
}

impl Fetcher {
    pub(crate) fn new(now_ms: f64, timeout_ms: f64) -> Self {
        Fetcher { pending: None, failures: 0, not_before_ms: now_ms, timeout_ms }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_none()
    }

    pub(crate) fn is_waiting_for(&self, from: SocketAddr) -> bool {
        self.pending.as_ref().is_some_and(|pending| pending.from == from)
    }

    /// Returns true if a new request may be sent.
    pub(crate) fn is_ready(&self, now_ms: f64) -> bool {
        self.pending.is_none() && now_ms >= self.not_before_ms
    }

    /// Returns the time at which the pending request times out, or the earliest time of the next request if none is
    /// pending.
    pub(crate) fn poll_timeout(&self) -> f64 {
        self.pending.as_ref().map_or(self.not_before_ms, |pending| pending.until_ms)
    }

    /// Drops the pending request and returns it if it has timed out.
    pub(crate) fn handle_timeout(&mut self, now_ms: f64) -> Option<FailedRequest> {
        let pending = self.pending.take_if(|pending| now_ms >= pending.until_ms)?;
        self.failures += 1;
        Some(FailedRequest { from: pending.from, limit_reached: self.failures >= MAX_FAILURES })
    }

    /// Records that a request was sent.
    pub(crate) fn begin(&mut self, now_ms: f64, from: SocketAddr) {
        let until_ms = now_ms + self.timeout_ms;
        self.pending = Some(Pending { from, until_ms, builder: None, starts: 0 });
    }

    /// Drops the pending request and the failure count, since the parent changed or the request succeeded.
    pub(crate) fn reset(&mut self) {
        self.pending = None;
        self.failures = 0;
    }

    pub(crate) fn handle_connection_lost(&mut self, address: SocketAddr) {
        self.pending.take_if(|pending| pending.from == address);
    }

    /// Applies a change to the snapshot under assembly if both come from the same sender.
    pub(crate) fn handle_change(&mut self, from: SocketAddr, change: &Change) {
        let pending = self.pending.as_mut().filter(|pending| pending.from == from);
        if let Some(builder) = pending.and_then(|pending| pending.builder.as_mut()) {
            builder.apply_change(change);
        }
    }

    /// Completes a pending request for a delta. A request for a snapshot stays pending, since the delta only updates
    /// the snapshot under assembly.
    pub(crate) fn handle_delta_complete(&mut self) {
        if self.pending.as_ref().is_none_or(|pending| pending.builder.is_none()) {
            self.reset();
        }
    }

    /// Resets the failure count after fetched data took effect.
    pub(crate) fn handle_success(&mut self) {
        self.failures = 0;
    }

    /// Adds a chunk to the snapshot under assembly.
    pub(crate) fn handle_chunk(
        &mut self,
        now_ms: f64,
        from: SocketAddr,
        chunk: ReceivedChunk,
        rng: &mut Pcg32,
    ) -> ChunkOutcome {
        let Some(pending) = self.pending.as_mut().filter(|pending| pending.from == from) else {
            return ChunkOutcome::Ignored;
        };
        let bytes: usize = chunk.entries.iter().map(Entry::max_encoded_bytes).sum();
        if bytes > MAX_CHUNK_BYTES || (chunk.entries.is_empty() && !chunk.is_last) {
            return ChunkOutcome::Ignored;
        }
        if chunk.after.is_none() {
            pending.starts += 1;
            if pending.starts > MAX_STARTS {
                self.pending = None;
                self.not_before_ms = now_ms + rng.random_range(0.5..1.0) * self.timeout_ms;
                return ChunkOutcome::Abandoned;
            }
            pending.builder = Some(SnapshotBuilder::new(chunk.version, chunk.digest));
        }
        let Some(builder) = pending.builder.as_mut() else { return ChunkOutcome::Ignored };
        if !builder.matches_source(chunk.version, chunk.digest)
            || builder.last_name() != chunk.after.as_deref()
        {
            return ChunkOutcome::Ignored;
        }
        pending.until_ms = now_ms + self.timeout_ms;
        if let Err(error) = builder.add_entries(chunk.entries) {
            self.reject_snapshot(now_ms);
            return ChunkOutcome::InvalidChunk(error);
        }
        if !chunk.is_last {
            let after = builder.last_name().map(str::to_string);
            return ChunkOutcome::RequestNext { version: chunk.version, after };
        }
        self.finish(now_ms)
    }

    fn finish(&mut self, now_ms: f64) -> ChunkOutcome {
        match self.pending.take().and_then(|pending| pending.builder).map(SnapshotBuilder::finish) {
            Some(Ok(table)) => ChunkOutcome::Complete(table),
            Some(Err(error)) => {
                self.reject_snapshot(now_ms);
                ChunkOutcome::InvalidTable(error)
            }
            None => ChunkOutcome::Ignored,
        }
    }

    fn reject_snapshot(&mut self, now_ms: f64) {
        self.pending = None;
        self.not_before_ms = now_ms + self.timeout_ms;
    }
}

#[cfg(test)]
mod tests;
