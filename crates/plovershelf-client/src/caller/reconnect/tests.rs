use super::*;
use std::net::SocketAddr;

fn lost(count: u8) -> (ReconnectBackoff, Endpoints) {
    let mut context = Context::new(ClientConfig { seed: 9, ..ClientConfig::default() });
    let mut endpoints = Endpoints::default();
    let addresses: Vec<SocketAddr> = (0..count).map(|n| SocketAddr::from(([127, 0, 0, n], 9000))).collect();
    endpoints.replace(0.0, &addresses);
    let mut reconnect = ReconnectBackoff::new(0.5, &context.config);
    context.advance_to(100.0);
    for id in (1..=count).map(|n| EndpointId(n.into())) {
        endpoints.get_mut(id).expect("listed").losses = 1;
        reconnect.endpoint_lost(&mut context, &mut endpoints, id, Connectivity::NoneConnected);
    }
    (reconnect, endpoints)
}

/// All endpoints restart at once. Each client has a place of its own in the spread, and its endpoints come just behind that.
#[test]
fn client_that_lost_all_endpoints_reconnects_at_its_own_place_in_the_spread() {
    let (alone, _) = lost(1);
    assert_eq!(alone.next_timeout_ms(), Some(1600.0));
    let (three, endpoints) = lost(3);
    assert_eq!(three.pending(), 3);
    for (_, endpoint) in endpoints.iter() {
        assert!((1600.0..=2350.0).contains(&endpoint.reconnect_at_ms), "{}", endpoint.reconnect_at_ms);
    }
}

#[test]
fn reconnects_beyond_the_burst_wait_for_a_token() {
    let mut context = Context::new(ClientConfig { seed: 9, reconnect_burst: 2.0, ..ClientConfig::default() });
    let mut endpoints = Endpoints::default();
    endpoints.replace(0.0, &[SocketAddr::from(([127, 0, 0, 1], 9000))]);
    let mut reconnect = ReconnectBackoff::new(0.5, &context.config);
    let endpoint = endpoints.get_mut(EndpointId(1)).expect("listed");
    let taken = [0; 3].map(|_| reconnect.try_take_token(&mut context, EndpointId(1), endpoint));
    assert_eq!((taken, reconnect.pending()), ([true, true, false], 1));
    assert!((250.0..=500.0).contains(&endpoint.reconnect_at_ms));
}
