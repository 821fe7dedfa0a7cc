use super::*;

const FIRST: EndpointId = EndpointId(1);

fn set(count: u8) -> (EndpointSet, Context) {
    let mut context = Context::new(ClientConfig { seed: 1, ..ClientConfig::default() });
    let mut set = EndpointSet::new(&mut context);
    let addresses: Vec<SocketAddr> = (0..count).map(|n| SocketAddr::from(([127, 0, 0, n], 9000))).collect();
    set.update(&context, &addresses);
    (set, context)
}

/// A lost endpoint responds again. Any response, even a rejection, must reset its consecutive losses and end
/// the attempt.
#[test]
fn any_response_resets_the_consecutive_losses_of_its_endpoint() {
    for kind in [ResponseKind::Succeeded, ResponseKind::Rejected, ResponseKind::Failed, ResponseKind::Invalid]
    {
        let (mut set, mut context) = set(1);
        set.get_mut(FIRST).expect("listed").consecutive_losses = 3;
        set.record_sent(&context, FIRST);
        set.record_response(&mut context, FIRST, kind, 5.0);
        let endpoint = set.get(FIRST).expect("listed");
        assert_eq!((endpoint.consecutive_losses, endpoint.in_flight), (0, 0), "{kind:?}");
    }
}

#[test]
fn removed_endpoint_can_be_dropped_once_its_last_connection_has_ended() {
    let (mut set, context) = set(2);
    let connection = ConnectionId(7);
    set.get_mut(FIRST).expect("listed").connections.push(connection);
    let removed = set.get(FIRST).expect("listed").address;
    let selected = set.selected().iter().filter_map(|id| set.get(*id)).map(|endpoint| endpoint.address);
    let remaining: Vec<SocketAddr> = selected.filter(|address| *address != removed).collect();
    set.update(&context, &remaining);
    assert_eq!(set.removed_and_disconnected(), []);
    assert!(set.remove_connection(&context, FIRST, connection, 0));
    assert_eq!(set.removed_and_disconnected(), [FIRST]);
}
