//! How long and how many.

/// Spans in milliseconds, counts.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// How many a relay feeds, and how many with those that lost their relay.
    pub fan_out: usize,
    pub failover_fan_out: usize,
    /// The same of a source, which feeds relays only.
    pub source_fan_out: usize,
    pub source_failover_fan_out: usize,
    /// Between signs of life from a parent, and between sums from a child.
    pub beat_ms: f64,
    pub sum_ms: f64,
    /// A parent is lost after this, drawn between the two for each process.
    pub silent_ms: (f64, f64),
    pub child_silent_ms: f64,
    /// Changes that come closer than this go on together, sums too.
    pub coalesce_ms: f64,
    pub sum_least_ms: f64,
    /// How often a leaf, and a relay, asks its spare whether that has newer.
    pub spare_check_ms: f64,
    pub relay_check_ms: f64,
    /// A source's word that is older than this has the spare asked at once.
    pub stale_ms: f64,
    /// Until an answer to an attachment, and to what is fetched, is given up.
    pub answer_ms: f64,
    pub pull_ms: f64,
    /// The longest pause before a source is asked again, and what the first questions are spread over.
    pub pause_most_ms: f64,
    pub start_spread_ms: f64,
    /// How often sources tell of relays.
    pub near_ms: f64,
    /// How often one that feeds too many, or a source that is not the nearest, sends one of them elsewhere.
    pub rebalance_ms: f64,
    /// A relay that feeds nobody for so long is a leaf again.
    pub leaf_again_ms: f64,
    /// A process that was not called for so long was stopped itself and takes nobody for silent.
    pub stopped_ms: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            fan_out: 16,
            failover_fan_out: 32,
            source_fan_out: 32,
            source_failover_fan_out: 64,
            beat_ms: 500.0,
            sum_ms: 1000.0,
            silent_ms: (1200.0, 1500.0),
            child_silent_ms: 2500.0,
            coalesce_ms: 30.0,
            sum_least_ms: 100.0,
            spare_check_ms: 10_000.0,
            relay_check_ms: 2000.0,
            stale_ms: 2500.0,
            answer_ms: 400.0,
            pull_ms: 1000.0,
            pause_most_ms: 1500.0,
            start_spread_ms: 200.0,
            near_ms: 2000.0,
            rebalance_ms: 5000.0,
            leaf_again_ms: 120_000.0,
            stopped_ms: 700.0,
        }
    }
}
