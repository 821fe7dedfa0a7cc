use super::*;
use std::net::SocketAddr;

/// Returns the state after the loss of all of `count` endpoints at 100 ms.
fn all_lost(count: u8) -> (ReconnectBackoff, Endpoints) {
    let mut context = Context::new(ClientConfig { seed: 9, ..ClientConfig::default() });
    let mut endpoints = Endpoints::default();
    let addresses: Vec<SocketAddr> = (0..count).map(|n| SocketAddr::from(([127, 0, 0, n], 9000))).collect();
    endpoints.replace(0.0, &addresses);
    let mut reconnect = ReconnectBackoff::new(0.5, &context.config);
    context.advance_to(100.0);
    for id in (1..=count).map(|n| EndpointId(n.into())) {
        endpoints.get_mut(id).expect("listed").consecutive_losses = 1;
        reconnect.schedule_reconnect(&mut context, &mut endpoints, id, Connectivity::NoneConnected);
    }
    (reconnect, endpoints)
}

/// All endpoints restart at the same time. A client must reconnect to the first one at its own position in
/// the spread, and to the others shortly after it.
#[test]
fn client_that_lost_all_endpoints_reconnects_at_its_position_in_the_spread() {
    let (one_lost, _) = all_lost(1);
    assert_eq!(one_lost.next_timeout_ms(), Some(1600.0));
    let (three_lost, endpoints) = all_lost(3);
    assert_eq!(three_lost.pending(), 3);
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
