//! Limits and timeouts of replication.

/// Settings of one member; all members of a group have the same ones.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicationConfig {
    /// Replicas of each record, where there are enough members.
    pub replication_factor: usize,
    /// With fewer replicas than this in the view, reservations are rejected; with as many, an outcome may be answered at the
    /// request's deadline.
    pub min_replicas: usize,
    /// A reservation that is not confirmed within this is released and its request rejected, so that a request whose replica
    /// is gone does not hold capacity. A request that waits for another attempt's outcome is not subject to it. Milliseconds.
    pub reservation_timeout_ms: f64,
    /// What is not confirmed is sent again after this. Milliseconds.
    pub retransmit_interval_ms: f64,
    /// Most records stored at once; further reservations are not confirmed.
    pub max_records: usize,
    /// Most bytes that the stored outcomes take together; further records are not confirmed.
    pub max_outcome_bytes: usize,
    /// Most records in one message while records are reported or repaired.
    pub batch_size: usize,
    /// Most such messages a second.
    pub max_batches_per_second: f64,
    /// A reservation is kept this long after its request's deadline before its executor is probed. Milliseconds.
    pub reservation_grace_ms: f64,
    /// An outcome in doubt is kept at least this long, for retries that are still to come. Milliseconds.
    pub in_doubt_retention_ms: f64,
}

impl Default for ReplicationConfig {
    fn default() -> Self {
        ReplicationConfig {
            replication_factor: 3,
            min_replicas: 2,
            reservation_timeout_ms: 400.0,
            retransmit_interval_ms: 100.0,
            max_records: 100_000,
            max_outcome_bytes: 64 << 20,
            batch_size: 64,
            max_batches_per_second: 200.0,
            reservation_grace_ms: 1000.0,
            in_doubt_retention_ms: 60_000.0,
        }
    }
}

impl ReplicationConfig {
    /// Replicas in the view without which a request is rejected at once.
    pub(crate) fn required_replicas(&self) -> usize {
        self.min_replicas.max(1)
    }

    /// Milliseconds between two batches.
    pub(crate) fn batch_interval_ms(&self) -> f64 {
        1000.0 / self.max_batches_per_second.max(1.0)
    }
}
