//! Decides when an endpoint that was lost is connected to again.
//!
//! Inputs: losses of endpoints; whether another endpoint is connected; the reconnect settings, in milliseconds.
//!
//! Rule: after the first loss, at the client's own place in a fixed spread; after further losses at random in a bound that doubles
//! (full jitter). A client that has lost all endpoints connects to one first and to the others behind it. Reconnects are paid
//! for from a token bucket.
//!
//! Why: when a fleet of backends restarts, all clients lose their connections at once. Jitter around a doubling backoff begins with
//! a wave, since the first backoff is short for all; and one reconnect a client and endpoint would make that wave several times as
//! high. Source: Brooker, "Exponential Backoff and Jitter".

use rand::RngExt;

use super::context::Context;
use super::endpoint::{Endpoint, EndpointId, Endpoints};
use super::timers::TimerQueue;
use crate::config::ClientConfig;

/// The place in the spread moves on by the golden ratio with each loss of all endpoints.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_75;
/// Doublings of the backoff, before the bound, at most.
const MAX_DOUBLINGS: u32 = 7;
/// The other endpoints follow the first one within this part of the spread.
const FOLLOWERS_SPREAD_FRACTION: f64 = 0.25;

/// What is left when an endpoint is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Connectivity {
    OtherEndpointConnected,
    NoneConnected,
}

#[derive(Debug)]
pub(super) struct ReconnectBackoff {
    /// The client's own place in the spread, from 0 to under 1.
    place: f64,
    /// After the loss of all endpoints: when the first is connected to again.
    first_reconnect_ms: f64,
    tokens: f64,
    refilled_ms: f64,
    timers: TimerQueue<EndpointId>,
}

impl ReconnectBackoff {
    pub(super) fn new(place: f64, config: &ClientConfig) -> Self {
        ReconnectBackoff {
            place,
            first_reconnect_ms: 0.0,
            tokens: config.reconnect_burst,
            refilled_ms: 0.0,
            timers: TimerQueue::new(),
        }
    }

    pub(super) fn next_timeout_ms(&self) -> Option<f64> {
        self.timers.next_ms()
    }

    /// The endpoint whose reconnect is due.
    pub(super) fn pop_due(&mut self, now_ms: f64) -> Option<EndpointId> {
        self.timers.pop_expired(now_ms)
    }

    pub(super) fn clear(&mut self) {
        self.timers.clear();
    }

    /// An endpoint is forgotten.
    pub(super) fn cancel(&mut self, id: EndpointId, endpoint: &Endpoint) {
        self.timers.cancel(endpoint.reconnect_at_ms, id);
    }

    /// Pays for a reconnect. Without a token the endpoint waits for about the time in which one comes.
    pub(super) fn try_take_token(
        &mut self,
        context: &mut Context,
        id: EndpointId,
        endpoint: &mut Endpoint,
    ) -> bool {
        let config = &context.config;
        let refilled = (context.now_ms - self.refilled_ms) / 1000.0 * config.reconnects_per_second;
        self.tokens = (self.tokens + refilled).min(config.reconnect_burst);
        self.refilled_ms = context.now_ms;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return true;
        }
        let wait_ms = 1000.0 / config.reconnects_per_second;
        let draw: f64 = context.random.random();
        self.schedule(id, endpoint, context.now_ms + wait_ms * (0.5 + 0.5 * draw));
        false
    }

    /// The last connection to an endpoint was lost; its losses are counted already.
    pub(super) fn endpoint_lost(
        &mut self,
        context: &mut Context,
        endpoints: &mut Endpoints,
        id: EndpointId,
        connectivity: Connectivity,
    ) {
        let Some(endpoint) = endpoints.get_mut(id) else { return };
        let is_first_loss = endpoint.losses <= 1;
        let jittered_ms = jittered_backoff_ms(context, endpoint.losses);
        let own_place_ms = self.place * context.config.reconnect_spread_ms;
        let wait_ms = if is_first_loss { own_place_ms } else { jittered_ms };
        if connectivity == Connectivity::OtherEndpointConnected {
            self.schedule(id, endpoint, context.now_ms + wait_ms);
            return;
        }
        if self.first_reconnect_ms <= context.now_ms {
            if is_first_loss {
                self.place = (self.place + GOLDEN_RATIO_FRACTION) % 1.0;
            }
            self.first_reconnect_ms = context.now_ms + wait_ms;
            self.schedule(id, endpoint, self.first_reconnect_ms);
        } else {
            self.schedule_behind_first(context, id, endpoint);
        }
        self.move_others_behind_first(context, endpoints, id);
    }

    /// Lost endpoints that would be connected to before the first come after it.
    fn move_others_behind_first(&mut self, context: &mut Context, endpoints: &mut Endpoints, id: EndpointId) {
        let selected = endpoints.selected().to_vec();
        for other in selected.into_iter().filter(|other| *other != id) {
            let Some(endpoint) = endpoints.get_mut(other) else { continue };
            let is_lost = endpoint.losses > 0 && endpoint.connections.is_empty();
            if is_lost && endpoint.reconnect_at_ms <= self.first_reconnect_ms {
                self.schedule_behind_first(context, other, endpoint);
            }
        }
    }

    fn schedule_behind_first(&mut self, context: &mut Context, id: EndpointId, endpoint: &mut Endpoint) {
        let draw = 0.1 + 0.9 * context.random.random::<f64>();
        let behind_ms = FOLLOWERS_SPREAD_FRACTION * context.config.reconnect_spread_ms * draw;
        self.schedule(id, endpoint, self.first_reconnect_ms + behind_ms);
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

fn jittered_backoff_ms(context: &mut Context, losses: u32) -> f64 {
    let doublings = losses.saturating_sub(1).min(MAX_DOUBLINGS);
    let doubled_ms = context.config.reconnect_spread_ms.max(1.0) * f64::from(1u32 << doublings);
    doubled_ms.min(context.config.max_reconnect_backoff_ms) * context.random.random::<f64>()
}

#[cfg(test)]
mod tests;
