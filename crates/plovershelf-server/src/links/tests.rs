use super::*;
use std::net::TcpListener;

fn message(bytes: &[u8]) -> Wire {
    Wire::ConfigDistribution { address: SocketAddr::from(([127, 0, 0, 1], 1)), bytes: bytes.to_vec() }
}

async fn receive(inbox: &Receiver<LinkEvent>) -> Option<Wire> {
    let timeout = async {
        Timer::after(Duration::from_secs(20)).await;
        None
    };
    match future::or(async { inbox.recv().await.ok() }, timeout).await? {
        LinkEvent::Message { wire, .. } => Some(*wire),
        LinkEvent::PeerError(_) => None,
    }
}

/// Guards against losing a message that is sent rarely, because its link had been closed as idle.
#[test]
fn first_frame_after_idling_arrives_and_broken_links_are_reported() {
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let address = listener.get_ref().local_addr().expect("an address");
    let limits = LinkLimits { max_outgoing: 4, max_incoming: 4, idle_timeout_ms: 30 };
    let (event_sender, events) = async_channel::bounded(8);
    let (broken_sender, broken) = async_channel::bounded(4);
    let accepting = executor.spawn(accept_links(executor, listener, Rc::from("trial"), event_sender, limits));
    let mut links = OutgoingLinks::new(executor, "trial", BTreeMap::new(), limits, Some(broken_sender));
    let run = async {
        for round in 0..3u8 {
            links.send(address, None, &message(&[round]));
            assert_eq!(receive(&events).await, Some(message(&[round])));
            while !links.links[&address].frames.is_closed() {
                Timer::after(Duration::from_millis(5)).await;
            }
        }
        assert!(broken.is_empty());
        // From here on nobody listens.
        drop((events, accepting));
        while TcpStream::connect(address).is_ok() {
            Timer::after(Duration::from_millis(5)).await;
        }
        links.send(address, None, &message(&[9]));
        assert_eq!(broken.recv().await, Ok(address));
    };
    async_io::block_on(executor.run(run));
}
