//! Idle timeout of connections.
//!
//! *Decides*: how long a connection without requests may stay open.
//! *Inputs*: number of clients, recent arrivals, contention for the cores, longest time that clients keep
//! idle connections (ms).
//! *Rule*: `BREAK_EVEN_MS² / expected return` of a client, where the expected return is the number of clients
//! divided by the rate of arrivals; during contention for the cores the timeout grows by
//! [`CONTENTION_GROWTH`] per period. It is announced when it has changed by more than [`MIN_CHANGE`].
//! *Why*: each open connection slows the server, each new one costs work. During contention, a full
//! connection table turns clients away at no cost.
//! *Source*: `docs/design.md`, "What the design leaves open, and what was chosen"
//! (Connections) and "Departures".
//! *Without it*: storms in which reads and new connections starve the executions, and, with many clients, a
//! server slowed by its open connections. The rule is harmful where few clients open many connections each.

use crate::admission::cpu::Contention;
use crate::admission::statistics::HALF_LIFE_MS;
use crate::api::BackendConfig;

/// Time between requests of a client at which keeping its connection costs as much as reopening it.
const BREAK_EVEN_MS: f64 = 10000.0;
/// Factor of the timeout per period with contention for the cores.
const CONTENTION_GROWTH: f64 = 1.4;
/// Factor of the timeout per period without contention for the cores.
const NORMAL_DECAY: f64 = 0.8;
/// Relative change above which the timeout is announced.
const MIN_CHANGE: f64 = 0.2;
/// Shortest timeout.
const MIN_TIMEOUT_MS: f64 = 100.0;

/// Current timeout, and the one announced last.
pub(super) struct IdleTimeout {
    client_count: f64,
    max_ms: f64,
    timeout_ms: f64,
    announced_ms: f64,
}

impl IdleTimeout {
    pub(super) fn new(config: &BackendConfig) -> Self {
        IdleTimeout {
            client_count: config.client_count,
            max_ms: config.max_idle_ms,
            timeout_ms: config.max_idle_ms,
            announced_ms: config.max_idle_ms,
        }
    }

    /// Returns the timeout to announce, if it has changed enough. `recent_arrivals` is the decayed number of
    /// arrivals.
    pub(super) fn update(&mut self, recent_arrivals: f64, contention: Contention) -> Option<f64> {
        let expected_return_ms =
            self.client_count * HALF_LIFE_MS / std::f64::consts::LN_2 / recent_arrivals.max(1.0);
        let break_even_timeout_ms = (BREAK_EVEN_MS * BREAK_EVEN_MS / expected_return_ms).max(MIN_TIMEOUT_MS);
        let step = match contention {
            Contention::High => CONTENTION_GROWTH,
            Contention::Normal => NORMAL_DECAY,
        };
        self.timeout_ms = (self.timeout_ms * step).max(break_even_timeout_ms).min(self.max_ms);
        let has_changed = (self.timeout_ms / self.announced_ms - 1.0).abs() > MIN_CHANGE;
        if has_changed {
            self.announced_ms = self.timeout_ms;
        }
        has_changed.then_some(self.timeout_ms)
    }
}

#[cfg(test)]
mod tests;
