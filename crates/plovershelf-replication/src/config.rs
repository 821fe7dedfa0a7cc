//! Limits and timeouts of the replication protocol.

/// Replication settings, identical on all members of a cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicationConfig {
    /// Number of replicas per record if the view has enough members.
    pub replication_factor: usize,
    /// Minimum number of replicas. Reservations are rejected if the view offers fewer for the key. An outcome that at least
    /// this many replicas have confirmed may be answered at the request's deadline.
    pub min_replicas: usize,
    /// Time in milliseconds after which an unconfirmed reservation is released and its request rejected, so that a request
    /// does not occupy capacity while one of its replicas is unreachable. Requests that wait for another attempt's outcome
    /// are exempt.
    pub reservation_timeout_ms: f64,
    /// Interval in milliseconds after which an unconfirmed message is retransmitted.
    pub retransmit_interval_ms: f64,
    /// Maximum number of stored records. A full replica does not confirm reservations of further keys.
    pub max_records: usize,
    /// Maximum total size of the stored outcomes in bytes, checked when a record of a new key is stored. A full replica does
    /// not confirm records of further keys.
    pub max_outcome_bytes: usize,
    /// Maximum number of records per message in reports and repairs.
    pub batch_size: usize,
    /// Maximum rate of report and repair messages, per second.
    pub max_batches_per_second: f64,
    /// Time in milliseconds between a request's deadline and the first probe of its executor by a replica.
    pub reservation_grace_ms: f64,
    /// Minimum retention in milliseconds of an in-doubt outcome, so that later retries receive it.
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
    /// Returns the number of replicas below which a request is rejected immediately; at least 1.
    pub(crate) fn required_replicas(&self) -> usize {
        self.min_replicas.max(1)
    }

    /// Returns the minimum interval between two batches, in milliseconds.
    pub(crate) fn batch_interval_ms(&self) -> f64 {
        1000.0 / self.max_batches_per_second.max(1.0)
    }
}
