//! What a client knows of each endpoint, and the table of endpoints.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::action::ConnectionId;
use super::backpressure::Backpressure;
use super::circuit_breaker::CircuitBreaker;
use super::latency::MovingAverage;

/// An endpoint, within one caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EndpointId(pub(super) u32);

/// What is known of an endpoint's latency fades over this time, so that one that was slow once is tried again.
const LATENCY_FADING_MS: f64 = 5000.0;

/// The latency of one endpoint.
#[derive(Debug, Default)]
pub(super) struct EndpointLatency {
    average: MovingAverage,
    recorded_ms: f64,
}

impl EndpointLatency {
    pub(super) fn record(&mut self, now_ms: f64, took_ms: f64) {
        self.average.record(took_ms);
        self.recorded_ms = now_ms;
    }

    /// Its own latency, the more like `usual_ms` the longer ago it was measured.
    pub(super) fn estimate_ms(&self, now_ms: f64, usual_ms: f64) -> f64 {
        let weight = (-(now_ms - self.recorded_ms).max(0.0) / LATENCY_FADING_MS).exp();
        let own_ms = self.average.value().unwrap_or(usual_ms);
        usual_ms + weight * (own_ms - usual_ms)
    }
}

#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) address: SocketAddr,
    /// When it left the subset; `None` while it is in it.
    pub(super) removed_ms: Option<f64>,
    /// Attempts in flight, over all connections.
    pub(super) in_flight: usize,
    pub(super) connections: Vec<ConnectionId>,
    pub(super) breaker: CircuitBreaker,
    pub(super) latency: EndpointLatency,
    pub(super) backpressure: Backpressure,
    /// It drains, or reported itself unready: it is chosen last until then.
    pub(super) draining_until_ms: f64,
    /// Times it was lost since its last answer.
    pub(super) losses: u32,
    /// After a loss: when it is connected to again.
    pub(super) reconnect_at_ms: f64,
}

impl Endpoint {
    fn new(address: SocketAddr) -> Self {
        Endpoint {
            address,
            removed_ms: None,
            in_flight: 0,
            connections: Vec::new(),
            breaker: CircuitBreaker::new(),
            latency: EndpointLatency::default(),
            backpressure: Backpressure::default(),
            draining_until_ms: 0.0,
            losses: 0,
            reconnect_at_ms: 0.0,
        }
    }

    /// An attempt there has ended in whatever way.
    pub(super) fn attempts_ended(&mut self, count: usize) {
        self.in_flight = self.in_flight.saturating_sub(count);
    }
}

/// The endpoints of the subset, and those that have left it and are still in use.
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

    /// Those of the subset, in its order.
    pub(super) fn selected(&self) -> &[EndpointId] {
        &self.selected
    }

    /// Takes a new subset. Endpoints that stay keep all that is known of them; those that left stay until they are forgotten.
    pub(super) fn replace(&mut self, now_ms: f64, addresses: &[SocketAddr]) {
        self.selected.clear();
        for address in addresses {
            let id = self.id_of(address);
            self.selected.push(id);
        }
        for (id, endpoint) in &mut self.table {
            let stays = self.selected.contains(id);
            endpoint.removed_ms = if stays { None } else { endpoint.removed_ms.or(Some(now_ms)) };
        }
    }

    fn id_of(&mut self, address: &SocketAddr) -> EndpointId {
        let known = self.table.iter().find(|(_, endpoint)| endpoint.address == *address);
        if let Some((id, _)) = known {
            return *id;
        }
        self.last_id += 1;
        self.table.insert(EndpointId(self.last_id), Endpoint::new(*address));
        EndpointId(self.last_id)
    }

    pub(super) fn forget(&mut self, id: EndpointId) {
        self.table.remove(&id);
    }
}
