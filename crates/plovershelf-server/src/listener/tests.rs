use super::*;
use crate::client_io::write_frames;
use crate::outbox::QueueFull;
use std::io::{Read, Write};

#[test]
fn writer_ends_when_its_peer_does_not_read() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let stream = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (_peer, _) = listener.accept().expect("the accepted connection");
    let unwritten = UnwrittenBytes::default();
    let state = ConnectionState::new(Some(Async::new(stream).expect("a stream")), Rc::default());
    let limits = Limits {
        max_unwritten_bytes_per_connection: usize::MAX,
        max_unwritten_bytes: usize::MAX,
        ..Limits::new(64.0, 64)
    };
    let (outbox, frames) = Outbox::new(state.clone(), unwritten.clone(), &limits);
    (0..64).for_each(|_| outbox.push(vec![0; 1 << 20]).expect("room in the queue"));
    async_io::block_on(write_frames(&state, frames, &unwritten, 50));
    assert!(outbox.unwritten_bytes() > 0);
    assert_eq!(outbox.push(vec![0]), Err(QueueFull::Connection));
}

/// Returns a listener with one queued connection per item, each of which has already sent the item's bytes.
fn queued_clients(inputs: &[&[u8]]) -> (Async<TcpListener>, Vec<TcpStream>) {
    let listener = bind("127.0.0.1:0".parse().expect("an address"), 1024).expect("a free port");
    let address = listener.get_ref().local_addr().expect("an address");
    let clients = inputs.iter().map(|input| {
        let mut stream = TcpStream::connect(address).expect("room in the listen queue");
        stream.write_all(input).expect("the write succeeds");
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
        stream
    });
    (listener, clients.collect())
}

fn leaked_executor() -> &'static LocalExecutor<'static> {
    Box::leak(Box::default())
}

/// Accepting ends after a client has sent its request and before its connection is accepted: the request must still
/// be handled.
#[test]
fn queued_connections_are_accepted_before_the_listener_closes() {
    let (listener, mut clients) = queued_clients(&[&b"\0\0\0\x03one"[..]; 100]);
    let (listening, stop) = async_channel::bounded(1);
    drop(listening);
    let (events, inbox) = async_channel::bounded(1);
    let limits = Rc::new(Limits::new(64.0, 512));
    let executor = leaked_executor();
    let scenario = async {
        let (mut open, mut frames) = (Vec::new(), 0);
        executor
            .spawn(Acceptor { executor, listener, stop, slots: Rc::new(()), events, limits }.run())
            .detach();
        while frames < 100 {
            match inbox.recv().await.expect("an event") {
                Event::Connected { outbox, .. } => {
                    outbox.push(b"answer".to_vec()).expect("room in the queue");
                    open.push(outbox);
                }
                Event::Frame { .. } => frames += 1,
                Event::ListenerClosed => assert_eq!(open.len(), 100),
                _ => panic!("an unexpected event"),
            }
        }
    };
    async_io::block_on(executor.run(scenario));
    let mut answer = [0; 6];
    for client in &mut clients {
        client.read_exact(&mut answer).expect("an answer");
        assert_eq!(&answer, b"answer");
    }
}

/// The event loop closes a connection while frames of it wait for the queue, further bytes are unread in the socket
/// and the client continues to write. Closing the socket at once would reset the connection and lose the last
/// response.
#[test]
fn close_with_unread_input_delivers_the_last_response_and_drops_later_frames() {
    let frame = b"\0\0\0\x03one";
    let (listener, mut clients) = queued_clients(&[&frame.repeat(3000)]);
    let (_listening, stop) = async_channel::bounded(1);
    let (events, inbox) = async_channel::bounded(1);
    let limits = Rc::new(Limits { linger_ms: 20_000, ..Limits::new(64.0, 512) });
    let (slots, executor) = (Rc::new(()), leaked_executor());
    let client = std::thread::spawn(move || {
        let mut all = Vec::new();
        let ended = clients[0].read_to_end(&mut all).map_err(|error| error.kind());
        // A reset would appear in one of these results.
        let writes = std::iter::repeat_with(|| {
            std::thread::sleep(Duration::from_millis(1));
            clients[0].write_all(b"more").map_err(|error| error.kind())
        });
        (all, ended, writes.take(100).find_map(Result::err))
    });
    let scenario = async {
        executor
            .spawn(Acceptor { executor, listener, stop, slots: slots.clone(), events, limits }.run())
            .detach();
        let Ok(Event::Connected { outbox, .. }) = inbox.recv().await else { panic!("a connection first") };
        assert!(matches!(inbox.recv().await, Ok(Event::Frame { .. })));
        outbox.push(b"the last answer".to_vec()).expect("room in the queue");
        drop(outbox);
        // One frame waits for its place in the queue and another is in the queue; all later ones are discarded.
        let mut later_frames = 0;
        loop {
            match inbox.recv().await.expect("an event") {
                Event::Frame { .. } => later_frames += 1,
                Event::Disconnected { .. } => break,
                _ => panic!("an unexpected event"),
            }
        }
        assert!(later_frames <= 2, "{later_frames}");
        // The descriptor is closed once the peer has closed its side.
        while Rc::strong_count(&slots) > 2 {
            Timer::after(Duration::from_millis(1)).await;
        }
    };
    async_io::block_on(executor.run(scenario));
    assert_eq!(client.join().expect("the client's results"), (b"the last answer".to_vec(), Ok(15), None));
}

/// A whole fleet of clients reconnects at a moment at which nobody accepts: the listen queue must hold all of them.
#[test]
fn listen_queue_holds_a_whole_fleet_of_clients() {
    let (_listener, clients) = queued_clients(&[&b"x"[..]; 300]);
    assert_eq!(clients.len(), 300);
}

/// A client sends frames and closes at once: the end of the connection must be reported after all of its frames.
#[test]
fn end_of_a_connection_is_reported_after_its_frames() {
    let (listener, clients) = queued_clients(&[&b"\0\0\0\x03one".repeat(40)]);
    drop(clients);
    let (_listening, stop) = async_channel::bounded(1);
    let (events, inbox) = async_channel::bounded(1);
    let (slots, executor) = (Rc::new(()), leaked_executor());
    let limits = Rc::new(Limits::new(64.0, 512));
    let scenario = async {
        executor
            .spawn(Acceptor { executor, listener, stop, slots: slots.clone(), events, limits }.run())
            .detach();
        let Ok(Event::Connected { outbox, .. }) = inbox.recv().await else { panic!("a connection first") };
        let mut frames = 0;
        loop {
            match inbox.recv().await.expect("an event") {
                Event::Frame { .. } => frames += 1,
                Event::Disconnected { error, .. } => break assert_eq!((frames, error), (40, None)),
                _ => panic!("an unexpected event"),
            }
        }
        outbox.abort();
    };
    async_io::block_on(executor.run(scenario));
}

/// A connection attempt arrives after the listen queue was emptied and before the listener closes, and would be reset
/// along with its request. It must not be established; connections in the queue must still be accepted, and later
/// attempts must be refused.
#[cfg(target_os = "linux")]
#[test]
fn connection_attempt_while_the_listener_closes_is_not_established() {
    let (listener, clients) = queued_clients(&[&b"one"[..]; 2]);
    let address = listener.get_ref().local_addr().expect("an address");
    stop_handshakes(listener.get_ref());
    let late = TcpStream::connect_timeout(&address, Duration::from_millis(200));
    assert_eq!(late.map(drop).map_err(|error| error.kind()), Err(io::ErrorKind::TimedOut));
    for _ in &clients {
        let (mut accepted, _) = listener.get_ref().accept().expect("a queued connection");
        accepted.set_nonblocking(false).expect("a socket");
        let mut input = [0; 3];
        accepted.read_exact(&mut input).expect("its input");
        assert_eq!(&input, b"one");
    }
    drop(listener);
    let refused = TcpStream::connect_timeout(&address, Duration::from_secs(20));
    assert_eq!(refused.map(drop).map_err(|error| error.kind()), Err(io::ErrorKind::ConnectionRefused));
}

/// Accepting ends while all connection slots are in use, and some are released a moment later: the connections in the
/// listen queue must then be accepted instead of reset.
#[test]
fn listen_queue_waits_for_free_slots_while_accepting_ends() {
    let (listener, _clients) = queued_clients(&[&b"\0\0\0\x03one"[..]; 2]);
    let (listening, stop) = async_channel::bounded(1);
    drop(listening);
    let (events, inbox) = async_channel::bounded(1);
    let limits = Rc::new(Limits { max_connections: 4, ..Limits::new(64.0, 512) });
    let slots = Rc::new(());
    let others: Vec<Rc<()>> = std::iter::repeat_n(slots.clone(), 4).collect();
    let executor = leaked_executor();
    let scenario = async {
        executor.spawn(Acceptor { executor, listener, stop, slots, events, limits }.run()).detach();
        let event = inbox.recv().await.expect("an event");
        assert!(
            matches!(event, Event::ConnectionsExhausted { .. }),
            "the listener closed although its queue was not empty"
        );
        drop(others);
        let mut connected = 0;
        loop {
            match inbox.recv().await.expect("an event") {
                Event::Connected { .. } => connected += 1,
                Event::ListenerClosed => return connected,
                _ => {}
            }
        }
    };
    assert_eq!(async_io::block_on(executor.run(scenario)), 2);
}
