//! The endpoints that a client talks to, what each answer means for its endpoint, and the choice among them.

use std::net::SocketAddr;

use plovershelf_codec::front::ServerSignals;
use rand::RngExt;

use super::action::ConnectionId;
use super::balancer::{Balancer, Capacity, Choice, Requirements};
use super::context::Context;
use super::endpoint::{Endpoint, EndpointId, Endpoints};
use super::subset;
use crate::config::ClientConfig;

/// The kinds of answers to an attempt, as far as its endpoint is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerKind {
    Succeeded,
    Rejected,
    Failed,
    /// No endpoint would take what was sent.
    Invalid,
}

#[derive(Debug)]
pub(super) struct EndpointSet {
    endpoints: Endpoints,
    balancer: Balancer,
    /// The client's place on the ring of endpoints.
    ring_place: f64,
}

impl EndpointSet {
    pub(super) fn new(context: &mut Context) -> Self {
        let index = context.config.subset_index;
        let ring_place = index.map_or_else(|| context.random.random(), subset::ring_place);
        EndpointSet { endpoints: Endpoints::default(), balancer: Balancer::default(), ring_place }
    }

    pub(super) fn ring_place(&self) -> f64 {
        self.ring_place
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

    /// Those that attempts go to.
    pub(super) fn selected(&self) -> &[EndpointId] {
        self.endpoints.selected()
    }

    /// Takes a new list.
    pub(super) fn update(&mut self, context: &Context, addresses: &[SocketAddr]) {
        let addresses = &addresses[..addresses.len().min(context.config.max_endpoints)];
        let selected = subset::select(addresses, self.ring_place, context.config.subset_size);
        self.endpoints.replace(context.now_ms, &selected);
    }

    /// Endpoints that left the list and have no connection.
    pub(super) fn removed_and_unconnected(&self) -> Vec<EndpointId> {
        let is_gone = |endpoint: &Endpoint| endpoint.removed_ms.is_some() && endpoint.connections.is_empty();
        let gone = self.endpoints.iter().filter(|(_, endpoint)| is_gone(endpoint));
        gone.map(|(id, _)| id).collect()
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

    /// The end of the endpoint's Retry-After; in the past where there is none.
    pub(super) fn retry_after_until_ms(&self, id: EndpointId) -> f64 {
        self.get(id).map_or(0.0, |endpoint| endpoint.backpressure.retry_after_until_ms())
    }

    /// An attempt is sent.
    pub(super) fn record_sent(&mut self, context: &Context, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.in_flight += 1;
            endpoint.breaker.record_sent(context.now_ms, &context.config);
        }
    }

    /// An attempt was cancelled.
    pub(super) fn record_cancelled(&mut self, context: &Context, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.attempts_ended(1);
            endpoint.breaker.record_no_outcome(context.now_ms);
        }
    }

    /// An attempt was answered.
    pub(super) fn record_answer(
        &mut self,
        context: &mut Context,
        id: EndpointId,
        kind: AnswerKind,
        took_ms: f64,
    ) {
        if kind == AnswerKind::Succeeded {
            self.balancer.record_latency(took_ms);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let Context { now_ms, config, random, .. } = context;
        if kind == AnswerKind::Succeeded {
            endpoint.latency.record(*now_ms, took_ms);
        }
        endpoint.attempts_ended(1);
        endpoint.losses = 0;
        match kind {
            AnswerKind::Succeeded | AnswerKind::Rejected | AnswerKind::Invalid => {
                endpoint.breaker.record_success(*now_ms, config);
            }
            AnswerKind::Failed => endpoint.breaker.record_failure(*now_ms, config, random),
        }
    }

    /// A connection failed with attempts that had no answer, or just after them.
    pub(super) fn record_connection_failure(&mut self, context: &mut Context, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.breaker.record_failure(context.now_ms, &context.config, &mut context.random);
        }
    }

    /// The endpoint violated the protocol, or did not answer a health check.
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

    /// The endpoint drains or is unready: it is chosen last for some time.
    pub(super) fn record_draining(&mut self, context: &Context, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.draining_until_ms = context.now_ms + context.config.draining_hold_ms;
        }
    }

    /// A connection has ended with so many attempts in flight; whether it was the endpoint's last one.
    pub(super) fn remove_connection(
        &mut self,
        context: &Context,
        id: EndpointId,
        connection: ConnectionId,
        in_flight: usize,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return false };
        endpoint.connections.retain(|other| *other != connection);
        endpoint.attempts_ended(in_flight);
        if in_flight > 0 {
            endpoint.breaker.record_no_outcome(context.now_ms);
        }
        endpoint.connections.is_empty()
    }

    pub(super) fn forget(&mut self, id: EndpointId) {
        self.endpoints.forget(id);
    }
}

#[cfg(test)]
mod tests;
