//! Deduplication records: which request holds a key, whether it ran, and its result, so that a retry gets the
//! recorded result instead of a second run.
//!
//! These records belong to this process alone. With replication, a key that is unknown here is also reserved with its
//! replicas (`cluster::replication`) before its request is launched.
//!
//! | state of a key | left when |
//! | --- | --- |
//! | unknown | its first request arrives (`insert`): open |
//! | open, not run | a run starts: open, ran; its request ends: unknown, or completed if another backend had a result |
//! | open, ran | its request ends: completed, with or without a result |
//! | completed | its window and a grace have passed: unknown |

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use plovershelf::api::Idempotency;

/// Object of a request that reads none.
pub(crate) const NO_OBJECT: u64 = 0;

/// Key by which duplicates are recognised.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DeduplicationKey {
    /// A class with an idempotency key.
    Idempotency(usize, Box<str>),
    /// A class with the object of a read.
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

/// Returns a hash of a body, which distinguishes a duplicate from another request with the same key.
pub(crate) fn body_hash(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    hasher.finish()
}

/// Parameters of looking a request up by its key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lookup {
    pub(crate) body_hash: u64,
    pub(crate) arrived_ms: f64,
    /// True for keyed requests, which match a completed request of any age, with or without a result. Other requests
    /// match only one with a recent result.
    pub(crate) is_keyed: bool,
    /// Greatest age of a result that counts as recent, in milliseconds.
    pub(crate) max_age_ms: f64,
}

/// Result of a lookup.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum LookupResult {
    NoRecord,
    /// The request is a duplicate of the one with this id.
    DuplicateOf(u32),
    /// Another body was sent with this key. `ran` is true if that request has run.
    OtherBody {
        ran: bool,
    },
}

/// Result of joining a duplicate to the request that it repeats.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Joined<'a> {
    /// The request has not ended, and the duplicate waits for it.
    Waiting,
    Result(&'a [u8]),
    NoResult,
}

enum RecordState {
    /// The request is queued or running. `ran` is true once a run has started.
    Open { ran: bool },
    /// The request has run and ended. The result is missing if the run failed or the result was too large to keep.
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
    owner: u32,
    body_hash: u64,
    expires_ms: f64,
    state: RecordState,
    /// Ids of the duplicates that wait for the owner.
    waiting: Vec<u32>,
}

/// Bounds on the records.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeduplicationLimits {
    pub(crate) max_keys: usize,
    /// Maximum size of the results in all records; further records are stored without their result.
    pub(crate) max_result_bytes: usize,
    /// Time for which a record is kept after its window, for requests that are read late, in milliseconds.
    pub(crate) grace_ms: f64,
}

/// Records of all keys.
pub(crate) struct DeduplicationRecords {
    records: BTreeMap<DeduplicationKey, Record>,
    /// Duplicates that wait for a displaced owner: one whose window has passed and whose key another request has
    /// taken.
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

    /// Returns whether no further key can be recorded.
    pub(crate) fn is_full(&self) -> bool {
        self.records.len() >= self.limits.max_keys
    }

    /// Records a request as the owner of a key.
    pub(crate) fn insert(&mut self, key: DeduplicationKey, owner: u32, body_hash: u64, expires_ms: f64) {
        let state = RecordState::Open { ran: false };
        let record = Record { owner, body_hash, expires_ms, state, waiting: Vec::new() };
        if let Some(displaced) = self.records.insert(key, record) {
            self.result_bytes -= displaced.state.result_bytes();
            // The window has passed but the run has not ended: duplicates that wait for it must still get its end.
            if !displaced.waiting.is_empty() {
                self.waiting_for_displaced.insert(displaced.owner, displaced.waiting);
            }
        }
    }

    /// Looks a request up by its key.
    pub(crate) fn lookup(&self, key: &DeduplicationKey, lookup: Lookup) -> LookupResult {
        let unexpired = |record: &&Record| record.expires_ms > lookup.arrived_ms;
        let Some(record) = self.records.get(key).filter(unexpired) else { return LookupResult::NoRecord };
        let (is_match, ran) = match &record.state {
            RecordState::Open { ran } => (true, *ran),
            RecordState::Completed { result, at_ms } => {
                let is_recent = result.is_some() && lookup.arrived_ms - at_ms <= lookup.max_age_ms;
                (lookup.is_keyed || is_recent, true)
            }
        };
        match (is_match, record.body_hash == lookup.body_hash) {
            (false, _) => LookupResult::NoRecord,
            (true, true) => LookupResult::DuplicateOf(record.owner),
            (true, false) => LookupResult::OtherBody { ran },
        }
    }

    /// Joins a duplicate to the owner of a key: it waits, or gets the recorded result.
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

    /// Records that a run of the owner has started.
    pub(crate) fn handle_run_started(&mut self, key: &DeduplicationKey, owner: u32) {
        let record = self.records.get_mut(key).filter(|record| record.owner == owner);
        if let Some(RecordState::Open { ran }) = record.map(|record| &mut record.state) {
            *ran = true;
        }
    }

    /// Records the end of the owner, with or without a result, and returns the duplicates that waited for it. The
    /// key of an owner that never ran is removed.
    pub(crate) fn handle_end(
        &mut self,
        key: &DeduplicationKey,
        owner: u32,
        result: Option<&[u8]>,
        now_ms: f64,
    ) -> Vec<u32> {
        let result_bytes = result.map_or(0, <[u8]>::len);
        let fits = self.result_bytes + result_bytes <= self.limits.max_result_bytes;
        let Some(record) = self.records.get_mut(key).filter(|record| record.owner == owner) else {
            return self.waiting_for_displaced.remove(&owner).unwrap_or_default();
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

    /// Removes records whose window and grace have passed.
    pub(crate) fn remove_expired(&mut self, now_ms: f64) {
        let expired_before_ms = now_ms - self.limits.grace_ms;
        let is_retained =
            |record: &Record| record.expires_ms > expired_before_ms || !record.waiting.is_empty();
        let expired = self.records.values().filter(|record| !is_retained(record));
        self.result_bytes -= expired.map(|record| record.state.result_bytes()).sum::<usize>();
        self.records.retain(|_, record| is_retained(record));
    }
}

#[cfg(test)]
mod tests;
