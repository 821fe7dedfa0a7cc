//! One request at a time for what is missing here: a delta where the other's log reaches back, else a snapshot, chunk by
//! chunk.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | idle | another process is known to be ahead | waiting for a delta or the first chunk |
//! | idle | a change did not fit | waiting for the first chunk |
//! | waiting | a delta that was asked for | idle |
//! | waiting | the first chunk | assembling |
//! | assembling | the next chunk | assembling; the one after it is asked for |
//! | assembling | the first chunk again, too often | idle, for a drawn pause |
//! | assembling | the last chunk | idle: the table is in force if its digest is right, else dropped for a pause |
//! | waiting, assembling | no answer in time | idle; after some in a row the parent is left |

use std::net::SocketAddr;

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::change::Change;
use crate::entry::Entry;
use crate::quota_table::{QuotaTable, MAX_CHUNK_BYTES};
use crate::snapshot::{SnapshotBuilder, SnapshotError};
use crate::version::Version;

/// How often a snapshot may start again before it is left, to be asked for again a little later.
///
/// Against a sender whose version moves on faster than its log is long: the transfer would never end.
const MAX_STARTS: u32 = 8;
/// Requests in a row that nothing came of, after which the parent is left.
const MAX_FAILURES: u32 = 3;

/// A chunk as it came.
pub(crate) struct ReceivedChunk {
    pub(crate) version: Version,
    pub(crate) digest: u128,
    pub(crate) after: Option<String>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) is_last: bool,
}

/// What follows from a chunk.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ChunkOutcome {
    /// It was not asked for, or is not the one that comes next.
    Ignored,
    /// The snapshot started again too often and is left.
    Abandoned,
    /// The next chunk is to be asked for.
    RequestNext { version: Version, after: Option<String> },
    /// All chunks are here and the digest is right.
    Complete(QuotaTable),
    /// An entry is not valid.
    InvalidChunk(SnapshotError),
    /// All chunks are here and the digest is wrong.
    InvalidTable(SnapshotError),
}

/// An answer that is waited for.
#[derive(Clone, Debug)]
struct Pending {
    from: SocketAddr,
    until_ms: f64,
    builder: Option<SnapshotBuilder>,
    starts: u32,
}

/// A request that nothing came of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FailedRequest {
    pub(crate) from: SocketAddr,
    /// It is one of too many in a row.
    pub(crate) gives_up: bool,
}

/// The request that is under way, if any.
#[derive(Clone, Debug)]
pub(crate) struct Fetcher {
    pending: Option<Pending>,
    /// Requests in a row that nothing came of.
    failures: u32,
    /// Nothing is asked for before.
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

    /// Whether a new request may be sent.
    pub(crate) fn is_ready(&self, now_ms: f64) -> bool {
        self.pending.is_none() && now_ms >= self.not_before_ms
    }

    /// When the pending request is given up; while there is none, from when on the next may be sent.
    pub(crate) fn poll_timeout(&self) -> f64 {
        self.pending.as_ref().map_or(self.not_before_ms, |pending| pending.until_ms)
    }

    /// Drops a request that nothing came of in time.
    pub(crate) fn handle_timeout(&mut self, now_ms: f64) -> Option<FailedRequest> {
        let pending = self.pending.take_if(|pending| now_ms >= pending.until_ms)?;
        self.failures += 1;
        Some(FailedRequest { from: pending.from, gives_up: self.failures >= MAX_FAILURES })
    }

    /// A request was sent.
    pub(crate) fn begin(&mut self, now_ms: f64, from: SocketAddr) {
        let until_ms = now_ms + self.timeout_ms;
        self.pending = Some(Pending { from, until_ms, builder: None, starts: 0 });
    }

    /// The parent is another from now on.
    pub(crate) fn reset(&mut self) {
        self.pending = None;
        self.failures = 0;
    }

    pub(crate) fn handle_connection_lost(&mut self, address: SocketAddr) {
        self.pending.take_if(|pending| pending.from == address);
    }

    /// A change came from there: a snapshot that it is sending moves on.
    pub(crate) fn handle_change(&mut self, from: SocketAddr, change: &Change) {
        let pending = self.pending.as_mut().filter(|pending| pending.from == from);
        if let Some(builder) = pending.and_then(|pending| pending.builder.as_mut()) {
            builder.apply_change(change);
        }
    }

    /// The delta that was asked for has come, unless it only moves on a snapshot that is being assembled.
    pub(crate) fn handle_delta_end(&mut self) {
        if self.pending.as_ref().is_none_or(|pending| pending.builder.is_none()) {
            self.reset();
        }
    }

    /// What was fetched is in force.
    pub(crate) fn handle_success(&mut self) {
        self.failures = 0;
    }

    /// A chunk of a snapshot.
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
        if !builder.is_of(chunk.version, chunk.digest) || builder.last_name() != chunk.after.as_deref() {
            return ChunkOutcome::Ignored;
        }
        pending.until_ms = now_ms + self.timeout_ms;
        if let Err(error) = builder.add_entries(chunk.entries) {
            self.drop_snapshot(now_ms);
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
                self.drop_snapshot(now_ms);
                ChunkOutcome::InvalidTable(error)
            }
            None => ChunkOutcome::Ignored,
        }
    }

    fn drop_snapshot(&mut self, now_ms: f64) {
        self.pending = None;
        self.not_before_ms = now_ms + self.timeout_ms;
    }
}

#[cfg(test)]
mod tests;
