//! Configuration of gossip.

/// Timing parameters and limits of gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipConfig {
    /// Interval between two probes, in milliseconds.
    pub probe_interval_ms: f64,
    /// Time without an acknowledgement after which a probe is late and indirect probes are requested, in milliseconds.
    pub probe_timeout_ms: f64,
    /// Number of members that are requested to send an indirect probe.
    pub indirect_probes: usize,
    /// Duration of an unconfirmed suspicion in a cluster of at most ten members, in milliseconds. Larger clusters
    /// extend it with the logarithm of their size.
    pub suspicion_timeout_ms: f64,
    /// Duration of a suspicion with the maximum number of confirmations, as a fraction of an unconfirmed one.
    pub confirmed_suspicion_fraction: f64,
    /// Maximum score of local health. Timeouts are multiplied by `1 + score / 2`, which is 2.5 for a score of 3.
    pub max_health_score: f64,
    /// Maximum number of queued updates piggybacked on a message.
    pub updates_per_message: usize,
    /// Maximum number of other members in the table.
    pub max_members: usize,
    /// Mean interval between two digests sent to random members, in milliseconds.
    pub sync_interval_ms: f64,
    /// Mean delay of the next digest if the previous exchange found many differences, in milliseconds.
    pub sync_retry_interval_ms: f64,
    /// Maximum number of updates in a message that answers a digest.
    pub updates_per_sync: usize,
    /// Number of members to which a change is broadcast at once.
    pub broadcast_fanout: usize,
    /// Minimum interval between two broadcasts, in milliseconds.
    pub broadcast_interval_ms: f64,
    /// Interval between two attempts to reach a seed or a dead member, in milliseconds.
    pub reconnect_interval_ms: f64,
    /// Time after which a member that is dead or has left is removed from the table, in milliseconds.
    pub removal_delay_ms: f64,
}

impl Default for GossipConfig {
    fn default() -> Self {
        GossipConfig {
            probe_interval_ms: 300.0,
            probe_timeout_ms: 100.0,
            indirect_probes: 3,
            suspicion_timeout_ms: 1000.0,
            confirmed_suspicion_fraction: 0.5,
            max_health_score: 3.0,
            updates_per_message: 6,
            max_members: 2000,
            sync_interval_ms: 5000.0,
            sync_retry_interval_ms: 500.0,
            updates_per_sync: 40,
            broadcast_fanout: 3,
            broadcast_interval_ms: 200.0,
            reconnect_interval_ms: 500.0,
            removal_delay_ms: 600_000.0,
        }
    }
}
