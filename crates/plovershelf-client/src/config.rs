//! Settings of a client: limits, times and rates, each with its unit, its default and the range in which it is accepted.

use plovershelf::api::BackpressureSignal;

/// Settings of one client. Times are milliseconds. [`ClientConfig::validate`] checks the ranges.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientConfig {
    /// Seed of all random draws; 0 (the default) has [`ClientBuilder`](crate::ClientBuilder) draw one, and who drives a
    /// [`Caller`](crate::Caller) sets it. Clients of one fleet must differ in it, since the spread of their reconnects depends on it.
    pub seed: u64,
    /// Index of this client in its fleet, from 0. Consecutive indices give the most even subsets; with `None` (the default) the
    /// place on the ring is drawn.
    pub subset_index: Option<u64>,
    /// Whether calls about the same subject go to the same endpoint while that has no more than its share. Default: false.
    pub subject_affinity: bool,
    /// Calls open at once; one more ends at once as [`NotSentReason::LimitReached`](crate::NotSentReason::LimitReached). Default: 4096.
    pub max_open_calls: usize,
    /// Bytes that open calls may hold together. Default: 8 MiB.
    pub max_open_bytes: usize,
    /// Request classes with statistics of their own; classes beyond this share those of the last. Default: 64.
    pub max_request_classes: usize,
    /// Attempts in flight on one connection. Default: 32.
    pub max_in_flight_per_connection: usize,
    /// Connections to one endpoint. Default: 4.
    pub max_connections_per_endpoint: usize,
    /// Connections in all. Default: 64.
    pub max_connections: usize,
    /// Endpoints that this client talks to, of however many are listed. Default: 20.
    pub subset_size: usize,
    /// Endpoints taken from a list that is handed in, of which the rest is ignored; an endpoint file with more is refused. Default: 10,000.
    pub max_endpoints: usize,
    /// Retries in any second, as a fraction of the first attempts in it. Default: 0.07.
    pub retry_budget_fraction: f64,
    /// One retry is allowed at this interval even if the fraction allows none; a fraction of 0 allows none at all. Default: 10 s.
    pub min_retry_interval_ms: f64,
    /// Calls of a class are rejected locally once endpoints accept less than one in this many. Default: 2.
    pub throttle_ratio: f64,
    /// Window over which acceptance is counted for throttling. Default: 10 s.
    pub throttle_window_ms: f64,
    /// Round trip that is assumed until one was measured. Default: 1 ms.
    pub initial_round_trip_ms: f64,
    /// Window over which the fastest time of a class and the fastest round trip are remembered. Default: 5 s.
    pub latency_window_ms: f64,
    /// What backends mean by the value that they advise. Default: nothing.
    pub backpressure: BackpressureSignal,
    /// How long an advised value holds. Default: 1 s.
    pub backpressure_ttl_ms: f64,
    /// A longer Retry-After is cut to this. Default: 60 s.
    pub max_retry_after_ms: f64,
    /// A request written less than this before `closing` was received, and never answered, was never read. Default: 50 ms.
    pub closing_race_ms: f64,
    /// How long an endpoint that drains or reports itself unready is chosen last. Default: 1 s.
    pub draining_hold_ms: f64,
    /// An endpoint is ejected when at least this fraction of its attempts fails. Default: 0.5.
    pub ejection_failure_fraction: f64,
    /// Failures in the window below which an endpoint is not ejected. Default: 5.
    pub ejection_min_failures: f64,
    /// Window over which attempts count for ejection. Default: 5 s.
    pub ejection_window_ms: f64,
    /// Length of the first ejection; each further one doubles it. Default: 250 ms.
    pub base_ejection_ms: f64,
    /// Longest ejection. Default: 10 s.
    pub max_ejection_ms: f64,
    /// Slow start after an ejection: time in which the endpoint's traffic rises to its usual share. Default: 3 s.
    pub slow_start_ms: f64,
    /// Panic threshold: with a smaller fraction of endpoints healthy, ejections are ignored. Default: 0.5.
    pub panic_threshold: f64,
    /// After the first loss of an endpoint, clients reconnect at places spread evenly over this time. Default: 3 s.
    pub reconnect_spread_ms: f64,
    /// Upper bound of the backoff with full jitter after further losses. Default: 4 s.
    pub max_reconnect_backoff_ms: f64,
    /// Reconnects that can be made at once after a calm period. Default: 10.
    pub reconnect_burst: f64,
    /// Reconnects a second after that. Default: 2.
    pub reconnects_per_second: f64,
    /// Time in which a connection must be established. Default: 1 s.
    pub connect_timeout_ms: f64,
    /// A connection with attempts in flight that has been silent for this long is health-checked. Default: 250 ms.
    pub probe_after_ms: f64,
    /// Time in which a health check must be answered. Default: 500 ms.
    pub probe_timeout_ms: f64,
    /// An unused connection is closed after this. Default: 5 s.
    pub idle_timeout_ms: f64,
    /// The same for the only connection to an endpoint. Default: 60 s.
    pub last_idle_timeout_ms: f64,
    /// How long endpoints that left the list still serve while no other is connected. Default: 5 s.
    pub make_before_break_ms: f64,
    /// An idempotent call is hedged once it takes longer than this percentile of its class. Default: no hedging.
    pub hedge_percentile: Option<f64>,
    /// Interval between two checks for idle, silent and slow connections. Default: 50 ms.
    pub sweep_interval_ms: f64,
}

impl Default for ClientConfig {
    fn default() -> Self {
        ClientConfig {
            seed: 0,
            subset_index: None,
            subject_affinity: false,
            max_open_calls: 4096,
            max_open_bytes: 8 << 20,
            max_request_classes: 64,
            max_in_flight_per_connection: 32,
            max_connections_per_endpoint: 4,
            max_connections: 64,
            subset_size: 20,
            max_endpoints: 10_000,
            retry_budget_fraction: 0.07,
            min_retry_interval_ms: 10_000.0,
            throttle_ratio: 2.0,
            throttle_window_ms: 10_000.0,
            initial_round_trip_ms: 1.0,
            latency_window_ms: 5000.0,
            backpressure: BackpressureSignal::None,
            backpressure_ttl_ms: 1000.0,
            max_retry_after_ms: 60_000.0,
            closing_race_ms: 50.0,
            draining_hold_ms: 1000.0,
            ejection_failure_fraction: 0.5,
            ejection_min_failures: 5.0,
            ejection_window_ms: 5000.0,
            base_ejection_ms: 250.0,
            max_ejection_ms: 10_000.0,
            slow_start_ms: 3000.0,
            panic_threshold: 0.5,
            reconnect_spread_ms: 3000.0,
            max_reconnect_backoff_ms: 4000.0,
            reconnect_burst: 10.0,
            reconnects_per_second: 2.0,
            connect_timeout_ms: 1000.0,
            probe_after_ms: 250.0,
            probe_timeout_ms: 500.0,
            idle_timeout_ms: 5000.0,
            last_idle_timeout_ms: 60_000.0,
            make_before_break_ms: 5000.0,
            hedge_percentile: None,
            sweep_interval_ms: 50.0,
        }
    }
}

/// A setting outside its range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// A count.
    #[error("{name} = {value}: a whole number from {min} to {max}")]
    Count {
        /// The setting.
        name: &'static str,
        /// Its value.
        value: usize,
        /// The least that is accepted.
        min: usize,
        /// The most that is accepted.
        max: usize,
    },
    /// A time, rate or fraction.
    #[error("{name} = {value}: a number from {min} to {max}")]
    Measure {
        /// The setting.
        name: &'static str,
        /// Its value.
        value: f64,
        /// The least that is accepted.
        min: f64,
        /// The most that is accepted.
        max: f64,
    },
}

const HOUR_MS: f64 = 3_600_000.0;

/// Above this, work could run twice: an older request may have been read before `closing` was written.
const MAX_CLOSING_RACE_MS: f64 = 50.0;

impl ClientConfig {
    /// Checks all ranges.
    ///
    /// # Errors
    ///
    /// The first setting that is outside its range.
    pub fn validate(&self) -> Result<(), ConfigError> {
        for (name, value, min, max) in self.counts() {
            if !(min..=max).contains(&value) {
                return Err(ConfigError::Count { name, value, min, max });
            }
        }
        for (name, value, min, max) in self.measures() {
            if !(min..=max).contains(&value) {
                return Err(ConfigError::Measure { name, value, min, max });
            }
        }
        Ok(())
    }

    fn counts(&self) -> [(&'static str, usize, usize, usize); 8] {
        [
            ("max_open_calls", self.max_open_calls, 1, 1_000_000),
            ("max_open_bytes", self.max_open_bytes, 2048, 1 << 30),
            ("max_request_classes", self.max_request_classes, 1, 4096),
            ("max_in_flight_per_connection", self.max_in_flight_per_connection, 1, 32),
            ("max_connections_per_endpoint", self.max_connections_per_endpoint, 1, 64),
            ("max_connections", self.max_connections, 1, 4096),
            ("subset_size", self.subset_size, 1, 1000),
            ("max_endpoints", self.max_endpoints, 1, 100_000),
        ]
    }

    fn measures(&self) -> [(&'static str, f64, f64, f64); 29] {
        [
            ("retry_budget_fraction", self.retry_budget_fraction, 0.0, 1.0),
            ("min_retry_interval_ms", self.min_retry_interval_ms, 100.0, HOUR_MS),
            ("throttle_ratio", self.throttle_ratio, 1.0, 1000.0),
            ("throttle_window_ms", self.throttle_window_ms, 100.0, HOUR_MS),
            ("initial_round_trip_ms", self.initial_round_trip_ms, 0.0, 10_000.0),
            ("latency_window_ms", self.latency_window_ms, 100.0, HOUR_MS),
            ("backpressure_ttl_ms", self.backpressure_ttl_ms, 0.0, HOUR_MS),
            ("max_retry_after_ms", self.max_retry_after_ms, 0.0, HOUR_MS),
            ("closing_race_ms", self.closing_race_ms, 0.0, MAX_CLOSING_RACE_MS),
            ("draining_hold_ms", self.draining_hold_ms, 0.0, HOUR_MS),
            ("ejection_failure_fraction", self.ejection_failure_fraction, 0.05, 1.0),
            ("ejection_min_failures", self.ejection_min_failures, 1.0, 10_000.0),
            ("ejection_window_ms", self.ejection_window_ms, 100.0, HOUR_MS),
            ("base_ejection_ms", self.base_ejection_ms, 1.0, HOUR_MS),
            ("max_ejection_ms", self.max_ejection_ms, self.base_ejection_ms, HOUR_MS),
            ("slow_start_ms", self.slow_start_ms, 0.0, HOUR_MS),
            ("panic_threshold", self.panic_threshold, 0.0, 1.0),
            ("reconnect_spread_ms", self.reconnect_spread_ms, 0.0, HOUR_MS),
            ("max_reconnect_backoff_ms", self.max_reconnect_backoff_ms, 1.0, HOUR_MS),
            ("reconnect_burst", self.reconnect_burst, 1.0, 10_000.0),
            ("reconnects_per_second", self.reconnects_per_second, 0.01, 10_000.0),
            ("connect_timeout_ms", self.connect_timeout_ms, 1.0, HOUR_MS),
            ("probe_after_ms", self.probe_after_ms, 1.0, HOUR_MS),
            ("probe_timeout_ms", self.probe_timeout_ms, 1.0, HOUR_MS),
            ("idle_timeout_ms", self.idle_timeout_ms, 1.0, HOUR_MS),
            ("last_idle_timeout_ms", self.last_idle_timeout_ms, self.idle_timeout_ms, HOUR_MS),
            ("make_before_break_ms", self.make_before_break_ms, 0.0, HOUR_MS),
            ("hedge_percentile", self.hedge_percentile.unwrap_or(95.0), 50.0, 99.9),
            ("sweep_interval_ms", self.sweep_interval_ms, 1.0, 10_000.0),
        ]
    }
}

#[cfg(test)]
mod tests;
