use super::*;
use async_io::Timer;
use futures_lite::future;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A connection on which one call has been read, and the id of that.
fn called(listener: &std::net::TcpListener) -> (BufReader<TcpStream>, String) {
    let mut reader = BufReader::new(listener.accept().expect("a connection").0);
    let mut lines = String::new();
    for _ in 0..2 {
        reader.read_line(&mut lines).expect("a line");
    }
    (reader, lines[3..19].into())
}

/// Answers the call, then waits for the connection's end.
fn answer((mut reader, id): (BufReader<TcpStream>, String), answer: &str) {
    let answer = answer.replace("ID", &id);
    reader.get_mut().write_all(answer.as_bytes()).expect("it is taken");
    let mut lines = String::new();
    while reader.read_line(&mut lines).is_ok_and(|count| count > 0) {}
}

/// Places calls of these ids at once, and hands back how they ended.
fn ends_of(ids: &[AttemptId], listener: &std::net::TcpListener) -> BTreeMap<AttemptId, CallOutcome> {
    let address = listener.local_addr().expect("an address");
    let (events, inbox) = async_channel::bounded(64);
    let (calls, orders) = async_channel::bounded(64);
    let limits = Rc::new(Limits { dependency_idle_ms: 50, ..Limits::new(64.0, 512) });
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::default());
    let keep = DependencyCalls {
        executor,
        address: Rc::new(Cell::new(Some(address))),
        commands: orders,
        events,
        limits,
    }
    .run();
    let talk = async {
        for id in ids {
            let order = CallCommand::Place { id: *id, number: 1, timeout_ms: 1000.0, body: b"ask".to_vec() };
            calls.send(order).await.expect("it is taken");
        }
        let mut ends = BTreeMap::new();
        while ends.len() < ids.len() {
            if let Ok(Event::CallEnded { id, result }) = inbox.recv().await {
                ends.insert(id, result.outcome);
            }
        }
        Timer::after(Duration::from_millis(200)).await;
        calls.close();
        ends
    };
    async_io::block_on(executor.run(future::zip(keep, talk))).1
}

#[test]
fn a_spoilt_answer_costs_its_own_call_only() {
    let spoilt = [
        "\0\x7f\r\n".to_string(),
        "x".repeat(5000),
        "ID DONE 3000000000\r\nand on and on".into(),
        "ID DONE -1\r\n".into(),
        "ID DONE 9\r\nshort".into(),
        String::new(),
    ];
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let ids: Vec<AttemptId> = (0..8).map(|n| format!("{n:016}").into_bytes().try_into().unwrap()).collect();
    let far = listener.try_clone().expect("the same");
    let far = std::thread::spawn(move || {
        let lines: Vec<_> = (0..8).map(|_| called(&far)).collect();
        std::thread::scope(|scope| {
            for (place, line) in lines.into_iter().enumerate() {
                let well = "00000000000000ff PAST\r\nID DONE 1\r\nx\r\nID WAIT\r\n".to_string();
                let said = spoilt.get(place).cloned().unwrap_or(well);
                scope.spawn(move || answer(line, &said));
            }
        });
    });
    let ends = ends_of(&ids, &listener);
    let well = ends.iter().filter(|(_, end)| **end == CallOutcome::Completed).count();
    assert_eq!((well, ends.values().filter(|end| **end == CallOutcome::ConnectionLost).count()), (2, 6));
    far.join().expect("all were let go");
}

#[test]
fn a_connection_is_let_go_when_idle_and_opened_for_the_next_call() {
    let id = *b"9b1f03aa5c7e2d41";
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let far = listener.try_clone().expect("the same");
    let far = std::thread::spawn(move || {
        answer(called(&far), "ID PAST\r\n");
        answer(called(&far), "ID EMPTY\r\n");
    });
    let ends = [0, 1].map(|_| ends_of(&[id], &listener)[&id]);
    assert_eq!(ends, [CallOutcome::Abandoned, CallOutcome::NotExecuted]);
    far.join().expect("both connections were let go");
}

/// What never left this side has surely not run, though its connection went bad: it may be placed anew, whatever it is.
#[test]
fn a_call_that_stands_behind_one_being_written_is_proven_not_to_have_run() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (events, inbox) = async_channel::bounded(64);
    let (calls, orders) = async_channel::bounded(64);
    let (tell_begun, begun) = async_channel::bounded::<()>(1);
    let (tell_behind, behind) = async_channel::bounded::<()>(1);
    let far = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.read_exact(&mut [0]).expect("a call that begins");
        tell_begun.send_blocking(()).expect("it waits");
        behind.recv_blocking().expect("a word");
        stream.write_all(b"what is this\r\n").expect("it is taken");
        while stream.read(&mut [0; 4096]).is_ok_and(|count| count > 0) {}
    });
    let limits = Rc::new(Limits { max_dependency_connections: 1, ..Limits::new(64.0, 512) });
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::default());
    let keep = DependencyCalls {
        executor,
        address: Rc::new(Cell::new(Some(address))),
        commands: orders,
        events,
        limits,
    }
    .run();
    let ids = [*b"9b1f03aa5c7e2d41", *b"9b1f03aa5c7e2d42"];
    let talk = async {
        // More than the sockets between them hold, so that it is still being written when the other comes.
        let order =
            |id, length| CallCommand::Place { id, number: 1, timeout_ms: 1000.0, body: vec![7; length] };
        calls.send(order(ids[0], 32 << 20)).await.expect("it is taken");
        begun.recv().await.expect("a word");
        calls.send(order(ids[1], 3)).await.expect("it is taken");
        while !calls.is_empty() {
            future::yield_now().await;
        }
        // The order was taken, and is on its line by the next turn.
        future::yield_now().await;
        tell_behind.send(()).await.expect("it waits");
        let mut ends = BTreeMap::new();
        while ends.len() < 2 {
            if let Ok(Event::CallEnded { id, result }) = inbox.recv().await {
                ends.insert(id, result.outcome);
            }
        }
        calls.close();
        ends
    };
    let ends = async_io::block_on(executor.run(future::zip(keep, talk))).1;
    assert_eq!(ids.map(|id| ends[&id]), [CallOutcome::ConnectionLost, CallOutcome::NotExecuted]);
    far.join().expect("it was let go");
}

/// With nowhere to place a call, none is held to have run.
#[test]
fn a_call_with_no_ledger_never_ran() {
    let (events, inbox) = async_channel::bounded(4);
    let (calls, orders) = async_channel::bounded(4);
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::default());
    let limits = Rc::new(Limits::new(64.0, 512));
    let keep = DependencyCalls { executor, address: Rc::default(), commands: orders, events, limits }.run();
    let talk = async {
        let id = *b"9b1f03aa5c7e2d41";
        calls.send(CallCommand::Abandon { id }).await.expect("it is taken");
        calls
            .send(CallCommand::Place { id, number: 3, timeout_ms: 5.0, body: Vec::new() })
            .await
            .expect("it is taken");
        let Ok(Event::CallEnded { result, .. }) = inbox.recv().await else { panic!("an end") };
        calls.close();
        (result.number, result.outcome)
    };
    let (_, end) = async_io::block_on(executor.run(future::zip(keep, talk)));
    assert_eq!(end, (3, CallOutcome::NotExecuted));
}

/// Lines that take no more calls stay until their last is over: they are bounded, and what finds no place never ran.
#[test]
fn a_call_that_finds_no_line_is_handed_back_as_never_run() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (events, inbox) = async_channel::bounded(4);
    let (calls, orders) = async_channel::bounded(4);
    let limits = Limits {
        max_dependency_connections: 1,
        spare_dependency_connections: 1,
        max_calls_per_connection: 1,
        ..Limits::new(64.0, 512)
    };
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::default());
    let keep = DependencyCalls {
        executor,
        address: Rc::new(Cell::new(Some(address))),
        commands: orders,
        events,
        limits: Rc::new(limits),
    }
    .run();
    let talk = async {
        for number in 1..=3 {
            let id = format!("{number:016}").into_bytes().try_into().expect("16 digits");
            calls
                .send(CallCommand::Place { id, number, timeout_ms: 1000.0, body: Vec::new() })
                .await
                .expect("it is taken");
        }
        let Ok(Event::CallEnded { result, .. }) = inbox.recv().await else { panic!("an end") };
        calls.close();
        (result.number, result.outcome)
    };
    // The first two are out, on a line each, and nobody answers.
    assert_eq!(
        async_io::block_on(executor.run(future::or(
            async {
                keep.await;
                future::pending().await
            },
            talk
        ))),
        (3, CallOutcome::NotExecuted)
    );
}
