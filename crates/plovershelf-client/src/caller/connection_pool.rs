//! The client's connections, and the choice of an endpoint's connection for an attempt.

use std::collections::BTreeMap;

use super::action::ConnectionId;
use super::balancer::Capacity;
use super::connection::{Connection, ConnectionState};
use super::endpoint::{Endpoint, EndpointId};
use crate::config::ClientConfig;

#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    connections: BTreeMap<ConnectionId, Connection>,
    last_id: u64,
}

impl ConnectionPool {
    pub(super) fn insert(&mut self, now_ms: f64, endpoint: EndpointId) -> ConnectionId {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.connections.insert(id, Connection::new(endpoint, now_ms));
        id
    }

    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        self.connections.remove(&id)
    }

    pub(super) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    pub(super) fn ids(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().collect()
    }

    pub(super) fn has_state(&self, id: ConnectionId, state: ConnectionState) -> bool {
        self.get(id).is_some_and(|connection| connection.state() == state)
    }

    pub(super) fn any_in_state(&self, state: ConnectionState) -> bool {
        self.connections.values().any(|connection| connection.state() == state)
    }

    /// Returns whether a connection to the endpoint is being established or waits for its health check.
    pub(super) fn is_connecting(&self, endpoint: &Endpoint) -> bool {
        let unready = [ConnectionState::Connecting, ConnectionState::HealthChecking];
        let mut connections = endpoint.connections.iter().filter_map(|id| self.get(*id));
        connections.any(|connection| unready.contains(&connection.state()))
    }

    /// Returns whether the endpoint has an open connection.
    pub(super) fn is_connected(&self, endpoint: &Endpoint) -> bool {
        endpoint.connections.iter().any(|id| self.has_state(*id, ConnectionState::Open))
    }

    /// Returns the endpoint's connection with the fewest attempts in flight, of those that have capacity.
    pub(super) fn least_loaded(&self, endpoint: &Endpoint, config: &ClientConfig) -> Option<ConnectionId> {
        let connections = endpoint.connections.iter().filter_map(|id| Some((*id, self.get(*id)?)));
        let available = connections.filter(|(_, connection)| connection.has_capacity(config));
        available.min_by_key(|(_, connection)| connection.in_flight()).map(|(id, _)| id)
    }

    /// Returns whether the endpoint can take an attempt now, or after a connection is established.
    pub(super) fn capacity(&self, endpoint: &Endpoint, config: &ClientConfig) -> Capacity {
        let mut connections = endpoint.connections.iter().filter_map(|id| self.get(*id));
        if connections.any(|connection| connection.has_capacity(config)) {
            Capacity::Available
        } else if endpoint.connections.len() < config.max_connections_per_endpoint
            || self.is_connecting(endpoint)
        {
            Capacity::AfterConnecting
        } else {
            Capacity::None
        }
    }

    /// Returns the least recently used idle connection.
    pub(super) fn least_recently_used(&self) -> Option<ConnectionId> {
        let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
        idle.min_by(|a, b| a.1.last_used_ms().total_cmp(&b.1.last_used_ms())).map(|(id, _)| *id)
    }

    #[cfg(test)]
    pub(super) fn iter(&self) -> impl Iterator<Item = &Connection> {
        self.connections.values()
    }
}

#[cfg(test)]
mod tests;
