//! The client's state of each endpoint, and the table of endpoints.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::action::ConnectionId;
use super::backpressure::Backpressure;
use super::circuit_breaker::CircuitBreaker;
use super::latency::MovingAverage;

/// Identifies an endpoint within one [`Caller`](super::Caller).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EndpointId(pub(super) u32);

/// Time constant with which an endpoint's measured latency decays to the mean of all endpoints. Without the
/// decay, an endpoint that was slow once would never be tried again.
const LATENCY_DECAY_MS: f64 = 5000.0;

/// Latency of one endpoint.
#[derive(Debug, Default)]
pub(super) struct EndpointLatency {
    average: MovingAverage,
    recorded_at_ms: f64,
}

impl EndpointLatency {
    pub(super) fn record(&mut self, now_ms: f64, latency_ms: f64) {
        self.average.record(latency_ms);
        self.recorded_at_ms = now_ms;
    }

    /// Returns the endpoint's latency in milliseconds. The older the last measurement, the closer it is to
    /// `mean_ms`.
    pub(super) fn estimate_ms(&self, now_ms: f64, mean_ms: f64) -> f64 {
        let weight = (-(now_ms - self.recorded_at_ms).max(0.0) / LATENCY_DECAY_MS).exp();
        let measured_ms = self.average.value().unwrap_or(mean_ms);
        mean_ms + weight * (measured_ms - mean_ms)
    }
}

#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) address: SocketAddr,
    /// When the endpoint left the subset; `None` while the subset contains it.
    pub(super) removed_at_ms: Option<f64>,
    /// Attempts in flight on all connections.
    pub(super) in_flight: usize,
    pub(super) connections: Vec<ConnectionId>,
    pub(super) breaker: CircuitBreaker,
    pub(super) latency: EndpointLatency,
    pub(super) backpressure: Backpressure,
    /// End of the time for which the endpoint counts as draining and is chosen last.
    pub(super) draining_until_ms: f64,
    /// Losses of the endpoint since its last response.
    pub(super) consecutive_losses: u32,
    /// After a loss, when to reconnect to the endpoint.
    pub(super) reconnect_at_ms: f64,
}

impl Endpoint {
    fn new(address: SocketAddr) -> Self {
        Endpoint {
            address,
            removed_at_ms: None,
            in_flight: 0,
            connections: Vec::new(),
            breaker: CircuitBreaker::new(),
            latency: EndpointLatency::default(),
            backpressure: Backpressure::default(),
            draining_until_ms: 0.0,
            consecutive_losses: 0,
            reconnect_at_ms: 0.0,
        }
    }

    /// Records that `count` attempts are no longer in flight.
    pub(super) fn record_attempts_ended(&mut self, count: usize) {
        self.in_flight = self.in_flight.saturating_sub(count);
    }
}

/// The endpoints of the subset, and removed endpoints that are still in use.
#[derive(Debug, Default)]
pub(super) struct Endpoints {
    table: BTreeMap<EndpointId, Endpoint>,
    selected: Vec<EndpointId>,
    last_id: u32,
}

impl Endpoints {
    pub(super) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.table.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.table.get_mut(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        self.table.iter().map(|(id, endpoint)| (*id, endpoint))
    }

    #[cfg(test)]
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (EndpointId, &mut Endpoint)> {
        self.table.iter_mut().map(|(id, endpoint)| (*id, endpoint))
    }

    /// Returns the endpoints of the subset, in its order.
    pub(super) fn selected(&self) -> &[EndpointId] {
        &self.selected
    }

    /// Replaces the subset. Endpoints in both subsets keep their state; endpoints that left are marked as
    /// removed and stay in the table until [`Endpoints::remove`].
    pub(super) fn replace(&mut self, now_ms: f64, addresses: &[SocketAddr]) {
        self.selected.clear();
        for address in addresses {
            let id = self.find_or_insert(address);
            self.selected.push(id);
        }
        for (id, endpoint) in &mut self.table {
            let stays = self.selected.contains(id);
            endpoint.removed_at_ms = if stays { None } else { endpoint.removed_at_ms.or(Some(now_ms)) };
        }
    }

    fn find_or_insert(&mut self, address: &SocketAddr) -> EndpointId {
        let known = self.table.iter().find(|(_, endpoint)| endpoint.address == *address);
        if let Some((id, _)) = known {
            return *id;
        }
        self.last_id += 1;
        self.table.insert(EndpointId(self.last_id), Endpoint::new(*address));
        EndpointId(self.last_id)
    }

    pub(super) fn remove(&mut self, id: EndpointId) {
        self.table.remove(&id);
    }
}
