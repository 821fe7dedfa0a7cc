use super::*;
use crate::caller::action::CallId;
use crate::caller::endpoint::Endpoints;

/// Returns an endpoint with `count` established connections.
fn connected(count: usize) -> (ConnectionPool, Endpoints) {
    let (mut pool, mut endpoints) = (ConnectionPool::default(), Endpoints::default());
    endpoints.replace(0.0, &[std::net::SocketAddr::from(([127, 0, 0, 1], 9000))]);
    for _ in 0..count {
        let id = pool.insert(0.0, EndpointId(1));
        pool.get_mut(id).expect("inserted").set_established(0.0);
        endpoints.get_mut(EndpointId(1)).expect("listed").connections.push(id);
    }
    (pool, endpoints)
}

#[test]
fn attempt_goes_to_the_connection_with_the_fewest_in_flight() {
    let (mut pool, endpoints) = connected(2);
    let (config, endpoint) = (ClientConfig::default(), endpoints.get(EndpointId(1)).expect("listed"));
    pool.get_mut(ConnectionId(1)).expect("inserted").send(1.0, CallId(1));
    assert_eq!(pool.least_loaded(endpoint, &config), Some(ConnectionId(2)));
    assert_eq!(pool.least_recently_used(), Some(ConnectionId(2)));
}

#[test]
fn endpoint_with_full_connections_has_capacity_after_connecting_up_to_the_limit() {
    let (mut pool, endpoints) = connected(2);
    let endpoint = endpoints.get(EndpointId(1)).expect("listed");
    let config = |max_connections_per_endpoint| ClientConfig {
        max_connections_per_endpoint,
        max_in_flight_per_connection: 1,
        ..ClientConfig::default()
    };
    assert_eq!(pool.capacity(endpoint, &config(2)), Capacity::Available);
    for id in pool.ids() {
        pool.get_mut(id).expect("inserted").send(1.0, CallId(id.0));
    }
    assert_eq!(pool.capacity(endpoint, &config(3)), Capacity::AfterConnecting);
    assert_eq!(pool.capacity(endpoint, &config(2)), Capacity::None);
}
