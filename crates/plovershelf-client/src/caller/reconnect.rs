//! Decides when to reconnect to a lost endpoint.
//!
//! Inputs: losses of endpoints; whether another endpoint is connected; the reconnect settings, in
//! milliseconds.
//!
//! Rule: after the first loss, the client waits for its own position in a fixed spread. After further losses,
//! it waits for a random time below an exponentially growing bound (full jitter). A client that has lost all
//! endpoints reconnects to one first and to the others after it. A token bucket limits the rate of
//! reconnects.
//!
//! Rationale: when a fleet of backends restarts, all clients lose their connections at the same time.
//! Exponential backoff with jitter alone would begin with a reconnect storm, since the first backoff is short
//! for every client, and reconnecting to every endpoint at once would multiply the storm. Source: Brooker,
//! "Exponential Backoff and Jitter".

use rand::RngExt;

use super::context::Context;
use super::endpoint::{Endpoint, EndpointId, Endpoints};
use super::timers::TimerQueue;
use crate::config::ClientConfig;

/// Step of the client's spread position after each loss of all endpoints, so that successive positions are
/// evenly spread.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_75;
/// Maximum number of doublings of the backoff; `max_reconnect_backoff_ms` limits it further.
const MAX_DOUBLINGS: u32 = 7;
/// After the loss of all endpoints, the client reconnects to the others within this fraction of the spread
/// after the first.
const FOLLOWERS_SPREAD_FRACTION: f64 = 0.25;

/// Whether the client is still connected when it loses an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Connectivity {
    OtherEndpointConnected,
    NoneConnected,
}

#[derive(Debug)]
pub(super) struct ReconnectBackoff {
    /// The client's position in the reconnect spread, from 0 to less than 1.
    spread_position: f64,
    /// After the loss of all endpoints, when to reconnect to the first one, in milliseconds.
    first_reconnect_ms: f64,
    tokens: f64,
    refilled_at_ms: f64,
    timers: TimerQueue<EndpointId>,
}

impl ReconnectBackoff {
    pub(super) fn new(spread_position: f64, config: &ClientConfig) -> Self {
        ReconnectBackoff {
            spread_position,
            first_reconnect_ms: 0.0,
            tokens: config.reconnect_burst,
            refilled_at_ms: 0.0,
            timers: TimerQueue::new(),
        }
    }

    /// Returns when the next reconnect is due, in milliseconds.
    pub(super) fn next_timeout_ms(&self) -> Option<f64> {
        self.timers.next_ms()
    }

    /// Removes and returns an endpoint whose reconnect is due.
    pub(super) fn pop_due(&mut self, now_ms: f64) -> Option<EndpointId> {
        self.timers.pop_expired(now_ms)
    }

    pub(super) fn clear(&mut self) {
        self.timers.clear();
    }

    /// Cancels the reconnect to an endpoint.
    pub(super) fn cancel(&mut self, id: EndpointId, endpoint: &Endpoint) {
        self.timers.cancel(endpoint.reconnect_at_ms, id);
    }

    /// Takes a token for a reconnect. Returns false if there is none; the reconnect is then scheduled for
    /// about the time at which a token becomes available.
    pub(super) fn try_take_token(
        &mut self,
        context: &mut Context,
        id: EndpointId,
        endpoint: &mut Endpoint,
    ) -> bool {
        let config = &context.config;
        let refill = (context.now_ms - self.refilled_at_ms) / 1000.0 * config.reconnects_per_second;
        self.tokens = (self.tokens + refill).min(config.reconnect_burst);
        self.refilled_at_ms = context.now_ms;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return true;
        }
        let wait_ms = 1000.0 / config.reconnects_per_second;
        let jitter: f64 = context.random.random();
        self.schedule(id, endpoint, context.now_ms + wait_ms * (0.5 + 0.5 * jitter));
        false
    }

    /// Schedules the reconnect to an endpoint whose last connection was lost. Its `consecutive_losses` must
    /// already include this loss.
    pub(super) fn schedule_reconnect(
        &mut self,
        context: &mut Context,
        endpoints: &mut Endpoints,
        id: EndpointId,
        connectivity: Connectivity,
    ) {
        let Some(endpoint) = endpoints.get_mut(id) else { return };
        let is_first_loss = endpoint.consecutive_losses <= 1;
        let jittered_ms = jittered_backoff_ms(context, endpoint.consecutive_losses);
        let spread_delay_ms = self.spread_position * context.config.reconnect_spread_ms;
        let wait_ms = if is_first_loss { spread_delay_ms } else { jittered_ms };
        if connectivity == Connectivity::OtherEndpointConnected {
            self.schedule(id, endpoint, context.now_ms + wait_ms);
            return;
        }
        if self.first_reconnect_ms <= context.now_ms {
            if is_first_loss {
                self.spread_position = (self.spread_position + GOLDEN_RATIO_FRACTION) % 1.0;
            }
            self.first_reconnect_ms = context.now_ms + wait_ms;
            self.schedule(id, endpoint, self.first_reconnect_ms);
        } else {
            self.schedule_after_first(context, id, endpoint);
        }
        self.reschedule_others_after_first(context, endpoints, id);
    }

    /// Moves the reconnects to all other lost endpoints that are due before the first reconnect to a time
    /// after it.
    fn reschedule_others_after_first(
        &mut self,
        context: &mut Context,
        endpoints: &mut Endpoints,
        id: EndpointId,
    ) {
        let selected = endpoints.selected().to_vec();
        for other in selected.into_iter().filter(|other| *other != id) {
            let Some(endpoint) = endpoints.get_mut(other) else { continue };
            let is_lost = endpoint.consecutive_losses > 0 && endpoint.connections.is_empty();
            if is_lost && endpoint.reconnect_at_ms <= self.first_reconnect_ms {
                self.schedule_after_first(context, other, endpoint);
            }
        }
    }

    fn schedule_after_first(&mut self, context: &mut Context, id: EndpointId, endpoint: &mut Endpoint) {
        let jitter = 0.1 + 0.9 * context.random.random::<f64>();
        let delay_ms = FOLLOWERS_SPREAD_FRACTION * context.config.reconnect_spread_ms * jitter;
        self.schedule(id, endpoint, self.first_reconnect_ms + delay_ms);
    }

    fn schedule(&mut self, id: EndpointId, endpoint: &mut Endpoint, at_ms: f64) {
        self.timers.cancel(endpoint.reconnect_at_ms, id);
        endpoint.reconnect_at_ms = at_ms;
        self.timers.schedule(at_ms, id);
    }

    #[cfg(test)]
    pub(super) fn pending(&self) -> usize {
        self.timers.len()
    }
}

/// Returns a random time below the exponential backoff bound (full jitter), in milliseconds.
fn jittered_backoff_ms(context: &mut Context, losses: u32) -> f64 {
    let doublings = losses.saturating_sub(1).min(MAX_DOUBLINGS);
    let doubled_ms = context.config.reconnect_spread_ms.max(1.0) * f64::from(1u32 << doublings);
    doubled_ms.min(context.config.max_reconnect_backoff_ms) * context.random.random::<f64>()
}

#[cfg(test)]
mod tests;
