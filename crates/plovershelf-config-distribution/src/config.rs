//! Intervals, timeouts and fan-outs of the distribution tree.

/// Tuning parameters of a node. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct DistributionConfig {
    /// Maximum number of a relay's children in regular operation. Default 16.
    pub fan_out: usize,
    /// Maximum number of a relay's children, including those that lost their parent. Default 32.
    pub failover_fan_out: usize,
    /// Maximum number of an origin's relays in regular operation. Default 32.
    pub origin_fan_out: usize,
    /// Maximum number of an origin's relays, including those that lost their origin. Default 64.
    pub origin_failover_fan_out: usize,
    /// Interval between heartbeats to children, and between origins. Default 500 ms.
    pub heartbeat_interval_ms: f64,
    /// Interval between aggregates to the parent. Default 1 s.
    pub aggregate_interval_ms: f64,
    /// Lower bound of the time without a message after which a listener drops its parent. Default 1.2 s.
    pub min_parent_timeout_ms: f64,
    /// Upper bound of that time. Each process draws its timeout between the two bounds, so that a parent's children do
    /// not all leave it at once. Default 1.5 s.
    pub max_parent_timeout_ms: f64,
    /// Time without a report after which a parent drops a child. Default 2.5 s.
    pub child_timeout_ms: f64,
    /// Minimum time between two deltas to children; changes that arrive in between are sent in one message. Default 30
    /// ms.
    pub delta_coalescing_ms: f64,
    /// Minimum time between two aggregates. Default 100 ms.
    pub min_aggregate_interval_ms: f64,
    /// Interval at which a leaf probes its backup parent for a newer version. Default 10 s.
    pub leaf_probe_interval_ms: f64,
    /// Interval at which a relay probes its backup parent for a newer version. Default 2 s.
    pub relay_probe_interval_ms: f64,
    /// Time without origin contact after which a listener probes other processes every second. Default 2.5 s.
    pub stale_after_ms: f64,
    /// Timeout of a request for a parent or for attachment. Default 400 ms.
    pub attach_timeout_ms: f64,
    /// Timeout of a request for a delta or chunk. Default 1 s.
    pub fetch_timeout_ms: f64,
    /// Upper bound of the backoff before an origin is asked again. Default 1.5 s.
    pub max_backoff_ms: f64,
    /// Period over which the first requests after a start are spread. Default 200 ms.
    pub start_jitter_ms: f64,
    /// Interval at which an origin sends its list of relays to other origins and alternate parents to children.
    /// Default 2 s.
    pub relay_list_interval_ms: f64,
    /// Interval at which a relay with too many children, or an origin with a relay that fits another origin better,
    /// moves one child elsewhere. Default 5 s.
    pub rebalance_interval_ms: f64,
    /// Time without children after which a relay becomes a leaf. Default 2 minutes.
    pub relay_idle_timeout_ms: f64,
    /// Gap between two inputs above which a node assumes that its own process was paused, and extends the timeouts of
    /// its peers. Default 700 ms.
    pub pause_detection_ms: f64,
}

impl Default for DistributionConfig {
    fn default() -> Self {
        DistributionConfig {
            fan_out: 16,
            failover_fan_out: 32,
            origin_fan_out: 32,
            origin_failover_fan_out: 64,
            heartbeat_interval_ms: 500.0,
            aggregate_interval_ms: 1000.0,
            min_parent_timeout_ms: 1200.0,
            max_parent_timeout_ms: 1500.0,
            child_timeout_ms: 2500.0,
            delta_coalescing_ms: 30.0,
            min_aggregate_interval_ms: 100.0,
            leaf_probe_interval_ms: 10_000.0,
            relay_probe_interval_ms: 2000.0,
            stale_after_ms: 2500.0,
            attach_timeout_ms: 400.0,
            fetch_timeout_ms: 1000.0,
            max_backoff_ms: 1500.0,
            start_jitter_ms: 200.0,
            relay_list_interval_ms: 2000.0,
            rebalance_interval_ms: 5000.0,
            relay_idle_timeout_ms: 120_000.0,
            pause_detection_ms: 700.0,
        }
    }
}
