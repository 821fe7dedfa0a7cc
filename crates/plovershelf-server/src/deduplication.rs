//! Deduplication records: which request holds a key, whether it ran, and its result, so that a retry gets the first one's
//! answer instead of a second run.
//!
//! These are the records of this process alone. Where replication is on, a key that is unknown here is reserved with its replicas
//! (`cluster::replication`) before its request is launched.
//!
//! | state of a key | left by |
//! | --- | --- |
//! | unknown | `insert` by its first request: open |
//! | open, not run | a run begins: open, ran; its request ends: unknown, or completed where another backend had a result |
//! | open, ran | its request ends: completed, with a result or without |
//! | completed | the window and a grace are over: unknown |

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use plovershelf::api::Idempotency;

/// What a request has for the object that it reads where it reads none.
pub(crate) const NO_OBJECT: u64 = 0;

/// By what a duplicate is recognised.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DeduplicationKey {
    /// The class with an idempotency key.
    Idempotency(usize, Box<str>),
    /// The class with the object of a read.
    Read(usize, u64),
}

impl DeduplicationKey {
    pub(crate) fn new(
        class: usize,
        idempotency: Idempotency,
        idempotency_key: Option<&str>,
        object: u64,
    ) -> Option<DeduplicationKey> {
        match idempotency {
            Idempotency::Keyed => idempotency_key.map(|key| DeduplicationKey::Idempotency(class, key.into())),
            Idempotency::Idempotent => (object != NO_OBJECT).then_some(DeduplicationKey::Read(class, object)),
            Idempotency::NonIdempotent => None,
        }
    }
}

/// A hash of a body, to tell a duplicate from another request under the same key.
pub(crate) fn body_hash(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    hasher.finish()
}

/// A request that looks for its key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lookup {
    pub(crate) body_hash: u64,
    pub(crate) arrived_ms: f64,
    /// A completed request counts however long ago, and without a result; else only one whose result is recent.
    pub(crate) is_keyed: bool,
    /// How recent a result has to be.
    pub(crate) max_age_ms: f64,
}

/// What is known under a key.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Known {
    Nothing,
    /// The request that this one repeats.
    DuplicateOf(u32),
    /// Another body was sent under this key, and has run, or not yet.
    OtherBody {
        ran: bool,
    },
}

/// What a duplicate finds of the request that it repeats.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Joined<'a> {
    /// It has not ended; the duplicate waits.
    Waiting,
    Result(&'a [u8]),
    NoResult,
}

enum RecordState {
    /// Queued or running; it has run, or may have.
    Open { ran: bool },
    /// It ran and ended; the result may be missing.
    Completed { result: Option<Box<[u8]>>, at_ms: f64 },
}

impl RecordState {
    fn result_bytes(&self) -> usize {
        match self {
            RecordState::Completed { result: Some(result), .. } => result.len(),
            _ => 0,
        }
    }
}

struct Record {
    holder: u32,
    body_hash: u64,
    expires_ms: f64,
    state: RecordState,
    /// Duplicates that wait for the holder.
    waiting: Vec<u32>,
}

/// Bounds of the records.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeduplicationLimits {
    pub(crate) max_keys: usize,
    /// Results of all records together; beyond it, records are kept without theirs.
    pub(crate) max_result_bytes: usize,
    /// Records outlive their window by this, for requests that are read late.
    pub(crate) grace_ms: f64,
}

/// The records of all keys.
pub(crate) struct DeduplicationRecords {
    records: BTreeMap<DeduplicationKey, Record>,
    /// Duplicates that wait for a holder whose key another request has taken over after its window.
    waiting_for_displaced: BTreeMap<u32, Vec<u32>>,
    result_bytes: usize,
    limits: DeduplicationLimits,
}

impl DeduplicationRecords {
    pub(crate) fn new(limits: DeduplicationLimits) -> Self {
        DeduplicationRecords {
            records: BTreeMap::new(),
            waiting_for_displaced: BTreeMap::new(),
            result_bytes: 0,
            limits,
        }
    }

    /// No further key can be remembered.
    pub(crate) fn is_full(&self) -> bool {
        self.records.len() >= self.limits.max_keys
    }

    /// A request holds the key from now on.
    pub(crate) fn insert(&mut self, key: DeduplicationKey, holder: u32, body_hash: u64, expires_ms: f64) {
        let state = RecordState::Open { ran: false };
        let record = Record { holder, body_hash, expires_ms, state, waiting: Vec::new() };
        if let Some(displaced) = self.records.insert(key, record) {
            self.result_bytes -= displaced.state.result_bytes();
            // The window is over while the run is not: those that wait for it still learn of its end.
            if !displaced.waiting.is_empty() {
                self.waiting_for_displaced.insert(displaced.holder, displaced.waiting);
            }
        }
    }

    /// What a request finds under its key.
    pub(crate) fn lookup(&self, key: &DeduplicationKey, lookup: Lookup) -> Known {
        let unexpired = |record: &&Record| record.expires_ms > lookup.arrived_ms;
        let Some(record) = self.records.get(key).filter(unexpired) else { return Known::Nothing };
        let (counts, ran) = match &record.state {
            RecordState::Open { ran } => (true, *ran),
            RecordState::Completed { result, at_ms } => {
                let is_recent = result.is_some() && lookup.arrived_ms - at_ms <= lookup.max_age_ms;
                (lookup.is_keyed || is_recent, true)
            }
        };
        match (counts, record.body_hash == lookup.body_hash) {
            (false, _) => Known::Nothing,
            (true, true) => Known::DuplicateOf(record.holder),
            (true, false) => Known::OtherBody { ran },
        }
    }

    /// A duplicate waits for the holder of the key, or gets its result.
    pub(crate) fn join(&mut self, key: &DeduplicationKey, duplicate: u32) -> Joined<'_> {
        let Some(record) = self.records.get_mut(key) else { return Joined::NoResult };
        match &record.state {
            RecordState::Open { .. } => {
                record.waiting.push(duplicate);
                Joined::Waiting
            }
            RecordState::Completed { result, .. } => {
                result.as_deref().map_or(Joined::NoResult, Joined::Result)
            }
        }
    }

    /// A run of the holder begins.
    pub(crate) fn handle_run_started(&mut self, key: &DeduplicationKey, holder: u32) {
        let record = self.records.get_mut(key).filter(|record| record.holder == holder);
        if let Some(RecordState::Open { ran }) = record.map(|record| &mut record.state) {
            *ran = true;
        }
    }

    /// The holder ended, with a result or without; the duplicates that wait for it are returned. A key whose holder never
    /// ran is forgotten.
    pub(crate) fn handle_end(
        &mut self,
        key: &DeduplicationKey,
        holder: u32,
        result: Option<&[u8]>,
        now_ms: f64,
    ) -> Vec<u32> {
        let result_bytes = result.map_or(0, <[u8]>::len);
        let fits = self.result_bytes + result_bytes <= self.limits.max_result_bytes;
        let Some(record) = self.records.get_mut(key).filter(|record| record.holder == holder) else {
            return self.waiting_for_displaced.remove(&holder).unwrap_or_default();
        };
        let RecordState::Open { ran } = record.state else { return Vec::new() };
        let waiting = std::mem::take(&mut record.waiting);
        if ran || result.is_some() {
            let result = result.filter(|_| fits).map(Box::from);
            record.state = RecordState::Completed { result, at_ms: now_ms };
            self.result_bytes += record.state.result_bytes();
        } else {
            self.records.remove(key);
        }
        waiting
    }

    /// Forgets what is over.
    pub(crate) fn remove_expired(&mut self, now_ms: f64) {
        let expired_before_ms = now_ms - self.limits.grace_ms;
        let is_kept = |record: &Record| record.expires_ms > expired_before_ms || !record.waiting.is_empty();
        let expired = self.records.values().filter(|record| !is_kept(record));
        self.result_bytes -= expired.map(|record| record.state.result_bytes()).sum::<usize>();
        self.records.retain(|_, record| is_kept(record));
    }
}

#[cfg(test)]
mod tests;
