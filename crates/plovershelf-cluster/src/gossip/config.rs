//! Settings of gossip.

/// Times and limits of gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipConfig {
    /// Between two probes.
    pub probe_interval_ms: f64,
    /// After this an acknowledgement is late, and others are asked to probe.
    pub probe_timeout_ms: f64,
    /// How many are asked.
    pub indirect_probes: usize,
    /// How long a suspicion lasts that nobody shares, among ten members.
    pub suspicion_timeout_ms: f64,
    /// The fraction of it that a suspicion lasts which as many share as count.
    pub confirmed_suspicion_fraction: f64,
    /// The highest score of local health; timeouts get `1 + score / 2` times longer, so 2.5 times with 3.
    pub max_health_score: f64,
    /// Updates carried along with one message.
    pub updates_per_message: usize,
    /// Members that are known at once.
    pub max_members: usize,
    /// Between two comparisons of digests with one other member.
    pub sync_interval_ms: f64,
    /// The same where much differed.
    pub sync_retry_interval_ms: f64,
    /// Updates in one message that answers a digest.
    pub updates_per_sync: usize,
    /// How many are sent at once what changed.
    pub broadcast_fanout: usize,
    /// Between two such broadcasts.
    pub broadcast_interval_ms: f64,
    /// Between two tries to reach a seed, or a member that is held for dead.
    pub reconnect_interval_ms: f64,
    /// After this a member that is dead or left is forgotten.
    pub forget_after_ms: f64,
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
            forget_after_ms: 600_000.0,
        }
    }
}
