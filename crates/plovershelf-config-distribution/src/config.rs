//! Intervals, timeouts and fan-outs.

/// How many a process feeds, and when it sends, waits and gives up. Spans are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct DistributionConfig {
    /// Children of a relay. Default 16.
    pub fan_out: usize,
    /// Children of a relay with those that lost their parent. Default 32.
    pub failover_fan_out: usize,
    /// Relays of an origin. Default 32.
    pub origin_fan_out: usize,
    /// Relays of an origin with those that lost theirs. Default 64.
    pub origin_failover_fan_out: usize,
    /// Between heartbeats to children, and between origins. Default 500 ms.
    pub heartbeat_interval_ms: f64,
    /// Between aggregates to the parent. Default 1 s.
    pub aggregate_interval_ms: f64,
    /// A parent that is silent for this long is lost. Default 1.2 s.
    pub min_parent_timeout_ms: f64,
    /// Each process draws its timeout from the minimum to this, so that not all of a parent's children leave it at once.
    /// Default 1.5 s.
    pub max_parent_timeout_ms: f64,
    /// A child that is silent for this long is gone. Default 2.5 s.
    pub child_timeout_ms: f64,
    /// Changes that come closer together than this go on in one message. Default 30 ms.
    pub delta_coalescing_ms: f64,
    /// Aggregates are never closer together than this. Default 100 ms.
    pub min_aggregate_interval_ms: f64,
    /// How often a leaf asks its backup parent whether that holds a newer version. Default 10 s.
    pub leaf_probe_interval_ms: f64,
    /// How often a relay does. Default 2 s.
    pub relay_probe_interval_ms: f64,
    /// A listener that heard from no origin for this long probes its backup parent at once. Default 2.5 s.
    pub stale_after_ms: f64,
    /// Until an attempt to find or attach to a parent is given up. Default 400 ms.
    pub attach_timeout_ms: f64,
    /// Until a request for a delta or chunk is given up. Default 1 s.
    pub fetch_timeout_ms: f64,
    /// The longest backoff before an origin is asked again. Default 1.5 s.
    pub max_backoff_ms: f64,
    /// The first requests after a start are spread over this. Default 200 ms.
    pub start_jitter_ms: f64,
    /// Between an origin's lists of relays to other origins, and of alternate parents to children. Default 2 s.
    pub relay_list_interval_ms: f64,
    /// How often a parent with too many children, or an origin that is not the nearest, sends one of them elsewhere.
    /// Default 5 s.
    pub rebalance_interval_ms: f64,
    /// A relay that feeds nobody for this long becomes a leaf. Default 2 minutes.
    pub relay_idle_timeout_ms: f64,
    /// A process that was not called for this long was paused itself, and takes nobody for silent. Default 700 ms.
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
