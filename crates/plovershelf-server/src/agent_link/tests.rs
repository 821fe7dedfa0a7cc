use super::*;
use plovershelf_testkit::scripted::LineLink;
use std::net::TcpListener;

#[test]
fn repeated_notice_is_ignored() {
    assert_eq!([5, 4, 5, 7].map(|number| is_new_notice(number, 4)), [true, false, true, true]);
}

#[test]
fn gap_before_a_notice_is_detected() {
    let skipped = |number| Notice::Skipped { number };
    assert_eq!([1, 5, 6, 7].map(|number| follows_gap(&skipped(number), 5)), [false, false, false, true]);
    assert!(!follows_gap(&Notice::Greeting { fresh: true, uptime_ms: 0.0 }, 5));
}

/// The queue to the event loop is full while the end of a run waits for it, and the link is handed over. The next
/// link must request that notice again, or the client never gets its answer.
#[test]
fn notice_waiting_for_the_queue_is_requested_again_on_the_next_link() {
    let listeners = [0, 1].map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    let [first, second] = [0, 1].map(|index: usize| listeners[index].local_addr().expect("an address"));
    let address = Rc::new(Cell::new(first));
    let (report_address_change, address_changed) = async_channel::bounded(1);
    let (events, inbox) = async_channel::bounded(1);
    let limits = Rc::new(Limits { handover_timeout_ms: 20, ..Limits::new(64.0, 64) });
    let (report_full, full) = async_channel::bounded::<()>(1);
    let (report_closed, closed) = async_channel::bounded::<()>(1);
    let (report_done, done) = async_channel::bounded::<()>(1);
    let agent = std::thread::spawn(move || {
        let mut link = LineLink::accept(&listeners[0]);
        link.expect("subscribe 0");
        link.send("greeting steady 0", None);
        link.answer_sample();
        let _ = full.recv_blocking();
        link.send("outcome 1 00000000000000aa success 3", Some(b"end"));
        // The answer to the final fence is never read, because the event loop's queue stays full.
        while link.next_line().is_some() {}
        report_closed.send_blocking(()).expect("the receiver is open");
        // The connection that was made for the handover is dropped with the failed link.
        let first_lines = std::iter::repeat_with(|| LineLink::accept(&listeners[1]).next_line());
        let subscribed = first_lines.take(9).find_map(|line| line).expect("a line").0;
        report_done.send_blocking(()).expect("the receiver is open");
        subscribed
    });
    let link_task =
        AgentLinks { address: address.clone(), address_changed, events: events.clone(), limits }.run();
    let scenario = async {
        let up = inbox.recv().await.expect("an event");
        assert!(matches!(up, Event::Agent(AgentEvent::Up { .. })));
        events.send(Event::PeerError("the queue is full".into())).await.expect("room in the queue");
        report_full.send(()).await.expect("the receiver is open");
        address.set(second);
        report_address_change.send(()).await.expect("the receiver is open");
        closed.recv().await.expect("the link's end");
        let drain = async { while inbox.recv().await.is_ok() {} };
        future::or(drain, async { done.recv().await.expect("the next link") }).await;
        drop(up);
    };
    async_io::block_on(future::or(link_task, scenario));
    assert_eq!(agent.join().expect("the second link"), "subscribe 0");
}

/// A second greeting would make the task write the fence into the middle of another command.
#[test]
fn second_greeting_closes_the_link() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = Rc::new(Cell::new(listener.local_addr().expect("an address")));
    let (_address_changes, address_changed) = async_channel::bounded(1);
    let (events, inbox) = async_channel::bounded(16);
    let agent = std::thread::spawn(move || {
        let mut link = LineLink::accept(&listener);
        link.expect("subscribe 0");
        link.send("greeting steady 0", None);
        link.answer_sample();
        link.send("greeting steady 5", None);
        assert_eq!(link.next_line(), None);
        LineLink::accept(&listener).next_line().expect("a line").0
    });
    let link_task =
        AgentLinks { address, address_changed, events, limits: Rc::new(Limits::new(64.0, 64)) }.run();
    let drain = async {
        while inbox.recv().await.is_ok() {}
        future::pending::<()>().await
    };
    let joined = async {
        while !agent.is_finished() {
            Timer::after(Duration::from_millis(1)).await;
        }
    };
    async_io::block_on(future::or(joined, future::or(link_task, drain)));
    assert_eq!(agent.join().expect("the second link"), "subscribe 0");
}
