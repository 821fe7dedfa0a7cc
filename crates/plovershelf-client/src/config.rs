//! Settings of a client with their units, defaults and valid ranges.

use plovershelf::api::BackpressureSignal;

/// Settings of one client. Fields with the suffix `_ms` are in milliseconds. [`ClientConfig::validate`]
/// checks the ranges.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientConfig {
    /// Seed of all random draws. With 0 (the default), [`ClientBuilder`](crate::ClientBuilder) draws a seed;
    /// code that drives a [`Caller`](crate::Caller) itself must set one. Clients of one fleet must have
    /// different seeds, because the spread of their reconnects depends on it.
    pub seed: u64,
    /// Index of this client in its fleet, from 0. Consecutive indices give the most even subsets. With `None`
    /// (the default), the client draws a random position on the ring.
    pub subset_index: Option<u64>,
    /// Whether calls with the same subject go to the same endpoint while its load is within a bound.
    /// Default: false.
    pub subject_affinity: bool,
    /// Maximum number of open calls. Further calls end immediately with
    /// [`NotSentReason::LimitReached`](crate::NotSentReason::LimitReached). Default: 4096.
    pub max_open_calls: usize,
    /// Maximum memory of all open calls, in bytes. Default: 8 MiB.
    pub max_open_bytes: usize,
    /// Maximum number of request classes with their own statistics. Further classes share the statistics of
    /// the last one. Default: 64.
    pub max_request_classes: usize,
    /// Maximum number of attempts in flight on one connection. Default: 32.
    pub max_in_flight_per_connection: usize,
    /// Maximum number of connections to one endpoint. Default: 4.
    pub max_connections_per_endpoint: usize,
    /// Maximum number of connections to all endpoints. Default: 64.
    pub max_connections: usize,
    /// Maximum number of listed endpoints that this client uses. Default: 20.
    pub subset_size: usize,
    /// Maximum length of the endpoint list. The rest of a longer list is ignored; a longer endpoint file is
    /// rejected. Default: 10,000.
    pub max_endpoints: usize,
    /// Maximum number of retries in any second, as a fraction of the first attempts in that second.
    /// Default: 0.07.
    pub retry_budget_fraction: f64,
    /// Interval at which one retry is allowed even if the fraction allows none. Has no effect with a fraction
    /// of 0. Default: 10 s.
    pub min_retry_interval_ms: f64,
    /// Ratio of ended to accepted calls of a class above which further calls are rejected locally.
    /// Default: 2.
    pub throttle_ratio: f64,
    /// Decay time constant of the counts for throttling. Default: 10 s.
    pub throttle_window_ms: f64,
    /// Round trip that is assumed before the first measurement. Default: 1 ms.
    pub initial_round_trip_ms: f64,
    /// Window over which the lowest latency of a class and the lowest round trip are taken. Default: 5 s.
    pub latency_window_ms: f64,
    /// Meaning of the backpressure level that backends send. Default: none, the level is ignored.
    pub backpressure: BackpressureSignal,
    /// Time after which a received backpressure level expires. Default: 1 s.
    pub backpressure_ttl_ms: f64,
    /// Upper bound of a Retry-After; longer ones are reduced to it. Default: 60 s.
    pub max_retry_after_ms: f64,
    /// An attempt without a response that was sent at most this long before `closing` was received counts as
    /// never read. Default: 50 ms.
    pub closing_race_ms: f64,
    /// Time for which an endpoint that is draining or not ready is chosen last. Default: 1 s.
    pub draining_hold_ms: f64,
    /// Fraction of failed attempts from which an endpoint is ejected. Default: 0.5.
    pub ejection_failure_fraction: f64,
    /// Minimum number of failures in the window for an ejection. Default: 5.
    pub ejection_min_failures: f64,
    /// Decay time constant of the counts for ejection. Default: 5 s.
    pub ejection_window_ms: f64,
    /// Upper bound of the first ejection; it doubles with each further ejection. Default: 250 ms.
    pub base_ejection_ms: f64,
    /// Upper bound of any ejection. Default: 10 s.
    pub max_ejection_ms: f64,
    /// Duration of the slow start after an ejection, in which the endpoint's share of the traffic increases
    /// linearly. Default: 3 s.
    pub slow_start_ms: f64,
    /// Fraction of healthy endpoints below which ejections are ignored (panic threshold). Default: 0.5.
    pub panic_threshold: f64,
    /// Time over which the clients of a fleet spread their reconnects after the first loss of an endpoint.
    /// Default: 3 s.
    pub reconnect_spread_ms: f64,
    /// Upper bound of the full-jitter backoff after further losses. Default: 4 s.
    pub max_reconnect_backoff_ms: f64,
    /// Burst size of the token bucket for reconnects. Default: 10.
    pub reconnect_burst: f64,
    /// Refill rate of the token bucket for reconnects, per second. Default: 2.
    pub reconnects_per_second: f64,
    /// Time within which a connection must be established. Default: 1 s.
    pub connect_timeout_ms: f64,
    /// Time without a received message after which a connection with attempts in flight is health-checked.
    /// Default: 250 ms.
    pub probe_after_ms: f64,
    /// Time within which the endpoint must respond to a health check. Default: 500 ms.
    pub probe_timeout_ms: f64,
    /// Time after which an unused connection is closed if its endpoint has other connections or was removed.
    /// Default: 5 s.
    pub idle_timeout_ms: f64,
    /// Time after which an unused connection is closed if it is the only one of its endpoint. Default: 60 s.
    pub last_idle_timeout_ms: f64,
    /// Time for which removed endpoints remain in use while no endpoint of the new list is connected.
    /// Default: 5 s.
    pub make_before_break_ms: f64,
    /// Latency percentile of its class after which an idempotent call is hedged. Default: `None`, which turns
    /// hedging off.
    pub hedge_percentile: Option<f64>,
    /// Interval of the check for idle, unresponsive and not yet established connections. Default: 50 ms.
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

/// A setting is outside its range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// A count is outside its range.
    #[error("{name} = {value}: must be a whole number from {min} to {max}")]
    Count {
        /// Name of the setting.
        name: &'static str,
        /// Value of the setting.
        value: usize,
        /// Smallest valid value.
        min: usize,
        /// Largest valid value.
        max: usize,
    },
    /// A time, rate or fraction is outside its range.
    #[error("{name} = {value}: must be a number from {min} to {max}")]
    Number {
        /// Name of the setting.
        name: &'static str,
        /// Value of the setting.
        value: f64,
        /// Smallest valid value.
        min: f64,
        /// Largest valid value.
        max: f64,
    },
}

const HOUR_MS: f64 = 3_600_000.0;

/// Largest valid `closing_race_ms`. With a larger value a request could run twice, because an older attempt
/// may have been read before the endpoint wrote `closing`.
const MAX_CLOSING_RACE_MS: f64 = 50.0;

impl ClientConfig {
    /// Checks that all settings are within their ranges.
    ///
    /// # Errors
    ///
    /// Returns an error for the first setting that is outside its range.
    pub fn validate(&self) -> Result<(), ConfigError> {
        for (name, value, min, max) in self.counts() {
            if !(min..=max).contains(&value) {
                return Err(ConfigError::Count { name, value, min, max });
            }
        }
        for (name, value, min, max) in self.numbers() {
            if !(min..=max).contains(&value) {
                return Err(ConfigError::Number { name, value, min, max });
            }
        }
        Ok(())
    }

    /// Returns the name, value, minimum and maximum of each count.
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

    /// Returns the name, value, minimum and maximum of each time, rate and fraction.
    fn numbers(&self) -> [(&'static str, f64, f64, f64); 29] {
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
