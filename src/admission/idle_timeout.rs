//! The idle timeout of connections.
//!
//! *Decides*: how long a connection may stay that carries no request.
//! *Inputs*: number of clients, arrivals of late, contention for the cores, longest time that clients keep
//! idle connections (ms).
//! *Rule*: `BREAK_EVEN_MS² / expected return` of a client, where the expected return is the clients over the
//! rate of arrivals; while the cores are crowded it grows by [`CROWDED_GROWTH`] a period. It is announced
//! when it moved by [`MIN_CHANGE`].
//! *Why*: each open connection costs speed, each new one costs work. While the cores are crowded, a full
//! connection table turns clients back at no work.
//! *Source*: `docs/design.md`, "What the design leaves open, and what was chosen"
//! (Connections) and "Departures".
//! *Without it*: storms in which reads and new connections crowd out the executions, and with many clients a
//! server that is slow for the connections that it keeps open. It does harm where few clients open many
//! connections each.

use crate::admission::cpu::Contention;
use crate::admission::statistics::HALF_LIFE_MS;
use crate::api::BackendConfig;

/// A connection is worth its place when its client comes back in about this time.
const BREAK_EVEN_MS: f64 = 10000.0;
/// Steps of a period while the cores are crowded and while they are not.
const CROWDED_GROWTH: f64 = 1.4;
const NORMAL_DECAY: f64 = 0.8;
/// Relative change from which on the timeout is announced.
const MIN_CHANGE: f64 = 0.2;
/// Shortest timeout.
const MIN_TIMEOUT_MS: f64 = 100.0;

/// The timeout as it stands and as it was announced last.
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

    /// The timeout to announce, where it moved, by the decaying number of arrivals.
    pub(super) fn update(&mut self, recent_arrivals: f64, contention: Contention) -> Option<f64> {
        let expected_return_ms =
            self.client_count * HALF_LIFE_MS / std::f64::consts::LN_2 / recent_arrivals.max(1.0);
        let worthwhile_ms = (BREAK_EVEN_MS * BREAK_EVEN_MS / expected_return_ms).max(MIN_TIMEOUT_MS);
        let step = match contention {
            Contention::Crowded => CROWDED_GROWTH,
            Contention::Normal => NORMAL_DECAY,
        };
        self.timeout_ms = (self.timeout_ms * step).max(worthwhile_ms).min(self.max_ms);
        let moved = (self.timeout_ms / self.announced_ms - 1.0).abs() > MIN_CHANGE;
        if moved {
            self.announced_ms = self.timeout_ms;
        }
        moved.then_some(self.timeout_ms)
    }
}

#[cfg(test)]
mod tests;
