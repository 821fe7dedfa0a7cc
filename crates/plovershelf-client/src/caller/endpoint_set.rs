//! The endpoints that the client uses: updates their state from responses and chooses among them.

use std::net::SocketAddr;

use plovershelf_codec::front::ServerSignals;
use rand::RngExt;

use super::action::ConnectionId;
use super::balancer::{Balancer, Capacity, Choice, Requirements};
use super::context::Context;
use super::endpoint::{Endpoint, EndpointId, Endpoints};
use super::subset;
use crate::config::ClientConfig;

/// Kind of a response to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseKind {
    Succeeded,
    Rejected,
    Failed,
    /// Every endpoint would reject the request as invalid.
    Invalid,
}

#[derive(Debug)]
pub(super) struct EndpointSet {
    endpoints: Endpoints,
    balancer: Balancer,
    /// The client's position on the ring of endpoints, from 0 to less than 1.
    ring_position: f64,
}

impl EndpointSet {
    pub(super) fn new(context: &mut Context) -> Self {
        let index = context.config.subset_index;
        let ring_position = index.map_or_else(|| context.random.random(), subset::ring_position);
        EndpointSet { endpoints: Endpoints::default(), balancer: Balancer::default(), ring_position }
    }

    pub(super) fn ring_position(&self) -> f64 {
        self.ring_position
    }

    pub(super) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    pub(super) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    #[cfg(test)]
    pub(super) fn table(&self) -> &Endpoints {
        &self.endpoints
    }

    pub(super) fn table_mut(&mut self) -> &mut Endpoints {
        &mut self.endpoints
    }

    /// Returns the endpoints of the subset.
    pub(super) fn selected(&self) -> &[EndpointId] {
        self.endpoints.selected()
    }

    /// Replaces the list of endpoints and selects the client's subset of it.
    pub(super) fn update(&mut self, context: &Context, addresses: &[SocketAddr]) {
        let addresses = &addresses[..addresses.len().min(context.config.max_endpoints)];
        let selected = subset::select(addresses, self.ring_position, context.config.subset_size);
        self.endpoints.replace(context.now_ms, &selected);
    }

    /// Returns the endpoints that left the subset and have no connection.
    pub(super) fn removed_and_disconnected(&self) -> Vec<EndpointId> {
        let is_unused =
            |endpoint: &Endpoint| endpoint.removed_at_ms.is_some() && endpoint.connections.is_empty();
        let unused = self.endpoints.iter().filter(|(_, endpoint)| is_unused(endpoint));
        unused.map(|(id, _)| id).collect()
    }

    pub(super) fn choose(
        &self,
        context: &mut Context,
        requirements: &Requirements<'_>,
        capacity_of: impl Fn(&Endpoint, &ClientConfig) -> Capacity,
    ) -> Choice {
        let Context { now_ms, config, random, .. } = context;
        let config = &*config;
        let capacity_of = |endpoint: &Endpoint| capacity_of(endpoint, config);
        self.balancer.choose(*now_ms, &self.endpoints, requirements, capacity_of, config, random)
    }

    /// Returns when the endpoint's Retry-After ends, in milliseconds; a time in the past if it has none.
    pub(super) fn retry_after_until_ms(&self, id: EndpointId) -> f64 {
        self.get(id).map_or(0.0, |endpoint| endpoint.backpressure.retry_after_until_ms())
    }

    /// Records that an attempt is sent to the endpoint.
    pub(super) fn record_sent(&mut self, context: &Context, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.in_flight += 1;
            endpoint.breaker.record_sent(context.now_ms, &context.config);
        }
    }

    /// Records that an attempt was cancelled.
    pub(super) fn record_cancelled(&mut self, context: &Context, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.record_attempts_ended(1);
            endpoint.breaker.record_no_outcome(context.now_ms);
        }
    }

    /// Records a response to an attempt in flight and its latency in milliseconds.
    pub(super) fn record_response(
        &mut self,
        context: &mut Context,
        id: EndpointId,
        kind: ResponseKind,
        latency_ms: f64,
    ) {
        if kind == ResponseKind::Succeeded {
            self.balancer.record_latency(latency_ms);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let Context { now_ms, config, random, .. } = context;
        if kind == ResponseKind::Succeeded {
            endpoint.latency.record(*now_ms, latency_ms);
        }
        endpoint.record_attempts_ended(1);
        endpoint.consecutive_losses = 0;
        match kind {
            ResponseKind::Succeeded | ResponseKind::Rejected | ResponseKind::Invalid => {
                endpoint.breaker.record_success(*now_ms, config);
            }
            ResponseKind::Failed => endpoint.breaker.record_failure(*now_ms, config, random),
        }
    }

    /// Records that a connection failed with attempts in flight or shortly after the last one.
    pub(super) fn record_connection_failure(&mut self, context: &mut Context, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.breaker.record_failure(context.now_ms, &context.config, &mut context.random);
        }
    }

    /// Records that the endpoint violated the protocol or did not respond to a health check.
    pub(super) fn record_protocol_fault(&mut self, context: &mut Context, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.breaker.record_protocol_fault(context.now_ms, &context.config, &mut context.random);
        }
    }

    pub(super) fn record_signals(&mut self, context: &Context, id: EndpointId, signals: &ServerSignals) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.backpressure.record(context.now_ms, signals, &context.config);
        }
    }

    /// Records that the endpoint is draining or not ready. For `draining_hold_ms` it is chosen last.
    pub(super) fn record_draining(&mut self, context: &Context, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.draining_until_ms = context.now_ms + context.config.draining_hold_ms;
        }
    }

    /// Removes a connection that ended with `in_flight` attempts. Returns whether it was the endpoint's last
    /// connection.
    pub(super) fn remove_connection(
        &mut self,
        context: &Context,
        id: EndpointId,
        connection: ConnectionId,
        in_flight: usize,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return false };
        endpoint.connections.retain(|other| *other != connection);
        endpoint.record_attempts_ended(in_flight);
        if in_flight > 0 {
            endpoint.breaker.record_no_outcome(context.now_ms);
        }
        endpoint.connections.is_empty()
    }

    pub(super) fn remove(&mut self, id: EndpointId) {
        self.endpoints.remove(id);
    }
}

#[cfg(test)]
mod tests;
