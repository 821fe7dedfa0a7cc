use super::*;
use plovershelf_testkit::scripted::LineLink;
use std::net::TcpListener;

#[test]
fn a_notice_that_is_told_again_counts_once() {
    assert_eq!([5, 4, 5, 7].map(|number| is_new_notice(number, 4)), [true, false, true, true]);
}

#[test]
fn a_gap_before_a_notice_is_told_from_one_that_follows() {
    let aside = |number| Notice::Skipped { number };
    assert_eq!([1, 5, 6, 7].map(|number| follows_gap(&aside(number), 5)), [false, false, false, true]);
    assert!(!follows_gap(&Notice::Greeting { fresh: true, up_for_ms: 0.0 }, 5));
}

/// The queue to the event loop is full while a run's end waits for a place in it, and the link is left for another: the end has
/// to be told again there, or its caller never hears of it.
#[test]
fn a_notice_that_waits_for_the_queue_when_its_link_ends_is_told_again() {
    let listeners = [0, 1].map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    let [first, second] = [0, 1].map(|place: usize| listeners[place].local_addr().expect("an address"));
    let address = Rc::new(Cell::new(first));
    let (tell_moved, moved) = async_channel::bounded(1);
    let (events, inbox) = async_channel::bounded(1);
    let limits = Rc::new(Limits { handover_timeout_ms: 20, ..Limits::new(64.0, 64) });
    let (tell_full, full) = async_channel::bounded::<()>(1);
    let (tell_left, left) = async_channel::bounded::<()>(1);
    let (tell_done, done) = async_channel::bounded::<()>(1);
    let far = std::thread::spawn(move || {
        let mut link = LineLink::accept(&listeners[0]);
        link.expect("subscribe 0");
        link.send("greeting steady 0", None);
        link.answer_sample();
        let _ = full.recv_blocking();
        link.send("outcome 1 00000000000000aa success 3", Some(b"end"));
        // Its word that all was read never comes through, as the event loop takes nothing.
        while link.next_line().is_some() {}
        tell_left.send_blocking(()).expect("it waits");
        // The connection that was made for the hand-over goes with the link that it was to follow.
        let lines = std::iter::repeat_with(|| LineLink::accept(&listeners[1]).next_line());
        let subscribed = lines.take(9).find_map(|line| line).expect("a line").0;
        tell_done.send_blocking(()).expect("it waits");
        subscribed
    });
    let keep = AgentLinks { address: address.clone(), moved, events: events.clone(), limits }.run();
    let play = async {
        let up = inbox.recv().await.expect("a word");
        assert!(matches!(up, Event::Agent(AgentEvent::Up { .. })));
        events.send(Event::PeerError("the queue is full".into())).await.expect("a place");
        tell_full.send(()).await.expect("it waits");
        address.set(second);
        tell_moved.send(()).await.expect("it waits");
        left.recv().await.expect("the link's end");
        let drain = async { while inbox.recv().await.is_ok() {} };
        future::or(drain, async { done.recv().await.expect("the next link") }).await;
        drop(up);
    };
    async_io::block_on(future::or(keep, play));
    assert_eq!(far.join().expect("the second link"), "subscribe 0");
}

/// A second greeting would have the fence written into whatever command is on its way.
#[test]
fn a_link_that_greets_twice_is_left_for_a_new_one() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = Rc::new(Cell::new(listener.local_addr().expect("an address")));
    let (_moves, moved) = async_channel::bounded(1);
    let (events, inbox) = async_channel::bounded(16);
    let far = std::thread::spawn(move || {
        let mut link = LineLink::accept(&listener);
        link.expect("subscribe 0");
        link.send("greeting steady 0", None);
        link.answer_sample();
        link.send("greeting steady 5", None);
        assert_eq!(link.next_line(), None);
        LineLink::accept(&listener).next_line().expect("a line").0
    });
    let keep = AgentLinks { address, moved, events, limits: Rc::new(Limits::new(64.0, 64)) }.run();
    let drain = async {
        while inbox.recv().await.is_ok() {}
        future::pending::<()>().await
    };
    let joined = async {
        while !far.is_finished() {
            Timer::after(Duration::from_millis(1)).await;
        }
    };
    async_io::block_on(future::or(joined, future::or(keep, drain)));
    assert_eq!(far.join().expect("the second link"), "subscribe 0");
}
