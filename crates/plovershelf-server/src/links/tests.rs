use super::*;
use std::net::TcpListener;

fn message(bytes: &[u8]) -> Wire {
    Wire::ConfigDistribution { address: SocketAddr::from(([127, 0, 0, 1], 1)), bytes: bytes.to_vec() }
}

async fn heard(inbox: &Receiver<LinkEvent>) -> Option<Wire> {
    let late = async {
        Timer::after(Duration::from_secs(20)).await;
        None
    };
    match future::or(async { inbox.recv().await.ok() }, late).await? {
        LinkEvent::Message { wire, .. } => Some(*wire),
        LinkEvent::PeerError(_) => None,
    }
}

/// Guards against a message that goes out seldom being lost each time, because its link had rested.
#[test]
fn the_first_frame_after_a_rest_arrives_and_a_broken_link_is_told_of() {
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let at = listener.get_ref().local_addr().expect("an address");
    let bounds = LinkLimits { max_outgoing: 4, max_incoming: 4, idle_timeout_ms: 30 };
    let (inbox, came) = async_channel::bounded(8);
    let (lost, broken) = async_channel::bounded(4);
    let accepting = executor.spawn(accept_links(executor, listener, Rc::from("trial"), inbox, bounds));
    let mut links = OutgoingLinks::new(executor, "trial", BTreeMap::new(), bounds, Some(lost));
    let run = async {
        for round in 0..3u8 {
            links.send(at, None, &message(&[round]));
            assert_eq!(heard(&came).await, Some(message(&[round])));
            while !links.links[&at].frames.is_closed() {
                Timer::after(Duration::from_millis(5)).await;
            }
        }
        assert!(broken.is_empty());
        // Nobody listens any more.
        drop((came, accepting));
        while TcpStream::connect(at).is_ok() {
            Timer::after(Duration::from_millis(5)).await;
        }
        links.send(at, None, &message(&[9]));
        assert_eq!(broken.recv().await, Ok(at));
    };
    async_io::block_on(executor.run(run));
}
