use super::*;
use crate::client_io::write_frames;
use crate::outbox::QueueFull;
use std::io::{Read, Write};

#[test]
fn a_peer_that_takes_nothing_ends_its_writer() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let near = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (_far, _) = listener.accept().expect("its other end");
    let unwritten = UnwrittenBytes::default();
    let state = ConnectionState::new(Some(Async::new(near).expect("a stream")), Rc::default());
    let limits = Limits {
        max_unwritten_bytes_per_connection: usize::MAX,
        max_unwritten_bytes: usize::MAX,
        ..Limits::new(64.0, 64)
    };
    let (outbox, frames) = Outbox::new(state.clone(), unwritten.clone(), &limits);
    (0..64).for_each(|_| outbox.push(vec![0; 1 << 20]).expect("room"));
    async_io::block_on(write_frames(&state, frames, &unwritten, 50));
    assert!(outbox.unwritten_bytes() > 0);
    assert_eq!(outbox.push(vec![0]), Err(QueueFull::Connection));
}

/// A listener with these callers in its queue, each of which has sent what stands behind it.
fn queued(callers: &[&[u8]]) -> (Async<TcpListener>, Vec<TcpStream>) {
    let listener = bind("127.0.0.1:0".parse().expect("an address"), 1024).expect("a free port");
    let at = listener.get_ref().local_addr().expect("an address");
    let calls = callers.iter().map(|said| {
        let mut stream = TcpStream::connect(at).expect("a place in the queue");
        stream.write_all(said).expect("it is taken");
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
        stream
    });
    (listener, calls.collect())
}

fn leaked() -> &'static LocalExecutor<'static> {
    Box::leak(Box::default())
}

/// The end of accepting falls between a request's coming and its being accepted.
#[test]
fn what_stands_in_the_listen_queue_is_taken_before_the_listener_goes() {
    let (listener, mut callers) = queued(&[&b"\0\0\0\x03one"[..]; 100]);
    let (listening, stop) = async_channel::bounded(1);
    drop(listening);
    let (events, inbox) = async_channel::bounded(1);
    let limits = Rc::new(Limits::new(64.0, 512));
    let executor = leaked();
    let play = async {
        let (mut open, mut frames) = (Vec::new(), 0);
        executor
            .spawn(Acceptor { executor, listener, stop, slots: Rc::new(()), events, limits }.run())
            .detach();
        while frames < 100 {
            match inbox.recv().await.expect("a word") {
                Event::Connected { outbox, .. } => {
                    outbox.push(b"answer".to_vec()).expect("room");
                    open.push(outbox);
                }
                Event::Frame { .. } => frames += 1,
                Event::ListenerClosed => assert_eq!(open.len(), 100),
                _ => panic!("nothing else is said"),
            }
        }
    };
    async_io::block_on(executor.run(play));
    let mut answer = [0; 6];
    for caller in &mut callers {
        caller.read_exact(&mut answer).expect("an answer");
        assert_eq!(&answer, b"answer");
    }
}

/// The event loop ends a connection while more of its frames wait for the queue, more lies unread in the socket, and its peer
/// writes on: a close would reset it.
#[test]
fn an_end_over_unread_bytes_lets_the_last_answer_through_and_hands_nothing_more_on() {
    let frame = b"\0\0\0\x03one";
    let (listener, mut callers) = queued(&[&frame.repeat(3000)]);
    let (_listening, stop) = async_channel::bounded(1);
    let (events, inbox) = async_channel::bounded(1);
    let limits = Rc::new(Limits { linger_ms: 20_000, ..Limits::new(64.0, 512) });
    let (slots, executor) = (Rc::new(()), leaked());
    let far = std::thread::spawn(move || {
        let mut all = Vec::new();
        let ended = callers[0].read_to_end(&mut all).map_err(|error| error.kind());
        // A reset would show in one of these.
        let writes = std::iter::repeat_with(|| {
            std::thread::sleep(Duration::from_millis(1));
            callers[0].write_all(b"more").map_err(|error| error.kind())
        });
        (all, ended, writes.take(100).find_map(Result::err))
    });
    let play = async {
        executor
            .spawn(Acceptor { executor, listener, stop, slots: slots.clone(), events, limits }.run())
            .detach();
        let Ok(Event::Connected { outbox, .. }) = inbox.recv().await else { panic!("a connection first") };
        assert!(matches!(inbox.recv().await, Ok(Event::Frame { .. })));
        outbox.push(b"the last answer".to_vec()).expect("room");
        drop(outbox);
        // One more waits for its place in the queue and one stands in it; what follows is thrown away.
        let mut more = 0;
        loop {
            match inbox.recv().await.expect("a word") {
                Event::Frame { .. } => more += 1,
                Event::Disconnected { .. } => break,
                _ => panic!("nothing else is said"),
            }
        }
        assert!(more <= 2, "{more}");
        // The descriptor goes with the peer's own end.
        while Rc::strong_count(&slots) > 2 {
            Timer::after(Duration::from_millis(1)).await;
        }
    };
    async_io::block_on(executor.run(play));
    assert_eq!(far.join().expect("its words"), (b"the last answer".to_vec(), Ok(15), None));
}

/// As many callers as a fleet has come back in the instant in which nobody accepts.
#[test]
fn the_listen_queue_holds_a_fleet_of_callers() {
    let (_listener, callers) = queued(&[&b"x"[..]; 300]);
    assert_eq!(callers.len(), 300);
}

/// A caller sends and is gone at once: the word of its end comes behind all that it sent.
#[test]
fn the_end_of_a_connection_overtakes_none_of_its_frames() {
    let (listener, callers) = queued(&[&b"\0\0\0\x03one".repeat(40)]);
    drop(callers);
    let (_listening, stop) = async_channel::bounded(1);
    let (events, inbox) = async_channel::bounded(1);
    let (slots, executor) = (Rc::new(()), leaked());
    let limits = Rc::new(Limits::new(64.0, 512));
    let play = async {
        executor
            .spawn(Acceptor { executor, listener, stop, slots: slots.clone(), events, limits }.run())
            .detach();
        let Ok(Event::Connected { outbox, .. }) = inbox.recv().await else { panic!("a connection first") };
        let mut frames = 0;
        loop {
            match inbox.recv().await.expect("a word") {
                Event::Frame { .. } => frames += 1,
                Event::Disconnected { error, .. } => break assert_eq!((frames, error), (40, None)),
                _ => panic!("nothing else is said"),
            }
        }
        outbox.abort();
    };
    async_io::block_on(executor.run(play));
}

/// A connection comes after the listen queue was emptied and before the listener closes, and would be reset with its request: it must
/// not come into being, what stands in the queue must still be taken, and after the close it must be refused.
#[cfg(target_os = "linux")]
#[test]
fn connection_between_the_last_of_the_queue_and_the_close_does_not_come_into_being() {
    let (listener, callers) = queued(&[&b"one"[..]; 2]);
    let at = listener.get_ref().local_addr().expect("an address");
    stop_handshakes(listener.get_ref());
    let late = TcpStream::connect_timeout(&at, Duration::from_millis(200));
    assert_eq!(late.map(drop).map_err(|error| error.kind()), Err(io::ErrorKind::TimedOut));
    for _ in &callers {
        let (mut taken, _) = listener.get_ref().accept().expect("one of the queue");
        taken.set_nonblocking(false).expect("a socket");
        let mut said = [0; 3];
        taken.read_exact(&mut said).expect("what it sent");
        assert_eq!(&said, b"one");
    }
    drop(listener);
    let refused = TcpStream::connect_timeout(&at, Duration::from_secs(20));
    assert_eq!(refused.map(drop).map_err(|error| error.kind()), Err(io::ErrorKind::ConnectionRefused));
}

/// Accepting ends while all connections are taken, and others end a moment later: what stands in the listen queue must be taken then,
/// and not be reset with its request.
#[test]
fn listen_queue_waits_for_descriptors_as_accepting_ends() {
    let (listener, _callers) = queued(&[&b"\0\0\0\x03one"[..]; 2]);
    let (listening, stop) = async_channel::bounded(1);
    drop(listening);
    let (events, inbox) = async_channel::bounded(1);
    let limits = Rc::new(Limits { max_connections: 4, ..Limits::new(64.0, 512) });
    let slots = Rc::new(());
    let others: Vec<Rc<()>> = std::iter::repeat_n(slots.clone(), 4).collect();
    let executor = leaked();
    let play = async {
        executor.spawn(Acceptor { executor, listener, stop, slots, events, limits }.run()).detach();
        let crowded = inbox.recv().await.expect("a word");
        assert!(matches!(crowded, Event::Crowded { .. }), "the listener closed over its queue");
        drop(others);
        let mut connected = 0;
        loop {
            match inbox.recv().await.expect("a word") {
                Event::Connected { .. } => connected += 1,
                Event::ListenerClosed => return connected,
                _ => {}
            }
        }
    };
    assert_eq!(async_io::block_on(executor.run(play)), 2);
}
