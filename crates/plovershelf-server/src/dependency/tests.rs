use super::*;
use async_io::Timer;
use futures_lite::future;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Accepts a connection and reads one call. Returns the connection and the call's id.
fn accept_call(listener: &std::net::TcpListener) -> (BufReader<TcpStream>, String) {
    let mut reader = BufReader::new(listener.accept().expect("a connection").0);
    let mut lines = String::new();
    for _ in 0..2 {
        reader.read_line(&mut lines).expect("a line");
    }
    (reader, lines[3..19].into())
}

/// Answers the call, then waits for the end of the connection.
fn answer((mut reader, id): (BufReader<TcpStream>, String), reply: &str) {
    let reply = reply.replace("ID", &id);
    reader.get_mut().write_all(reply.as_bytes()).expect("the peer or queue accepts it");
    let mut lines = String::new();
    while reader.read_line(&mut lines).is_ok_and(|count| count > 0) {}
}

/// Places calls with these ids at once. Returns their outcomes.
fn place_calls(ids: &[AttemptId], listener: &std::net::TcpListener) -> BTreeMap<AttemptId, CallOutcome> {
    let address = listener.local_addr().expect("an address");
    let (events, inbox) = async_channel::bounded(64);
    let (calls, commands) = async_channel::bounded(64);
    let limits = Rc::new(Limits { dependency_idle_ms: 50, ..Limits::new(64.0, 512) });
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::default());
    let pool =
        DependencyCalls { executor, address: Rc::new(Cell::new(Some(address))), commands, events, limits }
            .run();
    let scenario = async {
        for id in ids {
            let command =
                CallCommand::Place { id: *id, number: 1, timeout_ms: 1000.0, body: b"ask".to_vec() };
            calls.send(command).await.expect("the peer or queue accepts it");
        }
        let mut outcomes = BTreeMap::new();
        while outcomes.len() < ids.len() {
            if let Ok(Event::CallEnded { id, result }) = inbox.recv().await {
                outcomes.insert(id, result.outcome);
            }
        }
        Timer::after(Duration::from_millis(200)).await;
        calls.close();
        outcomes
    };
    async_io::block_on(executor.run(future::zip(pool, scenario))).1
}

#[test]
fn malformed_reply_fails_only_its_own_call() {
    let malformed = [
        "\0\x7f\r\n".to_string(),
        "x".repeat(5000),
        "ID DONE 3000000000\r\nand on and on".into(),
        "ID DONE -1\r\n".into(),
        "ID DONE 9\r\nshort".into(),
        String::new(),
    ];
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let ids: Vec<AttemptId> = (0..8).map(|n| format!("{n:016}").into_bytes().try_into().unwrap()).collect();
    let dependency_listener = listener.try_clone().expect("a clone");
    let dependency = std::thread::spawn(move || {
        let connections: Vec<_> = (0..8).map(|_| accept_call(&dependency_listener)).collect();
        std::thread::scope(|scope| {
            for (index, connection) in connections.into_iter().enumerate() {
                let valid = "00000000000000ff PAST\r\nID DONE 1\r\nx\r\nID WAIT\r\n".to_string();
                let reply = malformed.get(index).cloned().unwrap_or(valid);
                scope.spawn(move || answer(connection, &reply));
            }
        });
    });
    let outcomes = place_calls(&ids, &listener);
    let completed = outcomes.values().filter(|outcome| **outcome == CallOutcome::Completed).count();
    let lost = outcomes.values().filter(|outcome| **outcome == CallOutcome::ConnectionLost).count();
    assert_eq!((completed, lost), (2, 6));
    dependency.join().expect("all connections were closed");
}

#[test]
fn idle_connection_is_closed_and_reopened_for_the_next_call() {
    let id = *b"9b1f03aa5c7e2d41";
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let dependency_listener = listener.try_clone().expect("a clone");
    let dependency = std::thread::spawn(move || {
        answer(accept_call(&dependency_listener), "ID PAST\r\n");
        answer(accept_call(&dependency_listener), "ID EMPTY\r\n");
    });
    let outcomes = [0, 1].map(|_| place_calls(&[id], &listener)[&id]);
    assert_eq!(outcomes, [CallOutcome::Abandoned, CallOutcome::NotExecuted]);
    dependency.join().expect("both connections were closed");
}

/// A call that was never written has certainly not run, even though its connection broke: it may be placed again,
/// whatever its class.
#[test]
fn call_queued_behind_a_partial_write_ends_as_not_executed() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (events, inbox) = async_channel::bounded(64);
    let (calls, commands) = async_channel::bounded(64);
    let (report_started, started) = async_channel::bounded::<()>(1);
    let (report_queued, queued) = async_channel::bounded::<()>(1);
    let dependency = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.read_exact(&mut [0]).expect("the start of a call");
        report_started.send_blocking(()).expect("the receiver is open");
        queued.recv_blocking().expect("a signal");
        stream.write_all(b"what is this\r\n").expect("the peer or queue accepts it");
        while stream.read(&mut [0; 4096]).is_ok_and(|count| count > 0) {}
    });
    let limits = Rc::new(Limits { max_dependency_connections: 1, ..Limits::new(64.0, 512) });
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::default());
    let pool =
        DependencyCalls { executor, address: Rc::new(Cell::new(Some(address))), commands, events, limits }
            .run();
    let ids = [*b"9b1f03aa5c7e2d41", *b"9b1f03aa5c7e2d42"];
    let scenario = async {
        // Larger than the socket buffers of both sides, so that it is still being written when the other call is
        // queued.
        let command =
            |id, length| CallCommand::Place { id, number: 1, timeout_ms: 1000.0, body: vec![7; length] };
        calls.send(command(ids[0], 32 << 20)).await.expect("the peer or queue accepts it");
        started.recv().await.expect("a signal");
        calls.send(command(ids[1], 3)).await.expect("the peer or queue accepts it");
        while !calls.is_empty() {
            future::yield_now().await;
        }
        // The command was taken, and its line is queued by the next turn.
        future::yield_now().await;
        report_queued.send(()).await.expect("the receiver is open");
        let mut outcomes = BTreeMap::new();
        while outcomes.len() < 2 {
            if let Ok(Event::CallEnded { id, result }) = inbox.recv().await {
                outcomes.insert(id, result.outcome);
            }
        }
        calls.close();
        outcomes
    };
    let outcomes = async_io::block_on(executor.run(future::zip(pool, scenario))).1;
    assert_eq!(ids.map(|id| outcomes[&id]), [CallOutcome::ConnectionLost, CallOutcome::NotExecuted]);
    dependency.join().expect("the connection was closed");
}

/// Without the address of a dependency a call must end as not executed.
#[test]
fn call_without_a_dependency_ends_as_not_executed() {
    let (events, inbox) = async_channel::bounded(4);
    let (calls, commands) = async_channel::bounded(4);
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::default());
    let limits = Rc::new(Limits::new(64.0, 512));
    let pool = DependencyCalls { executor, address: Rc::default(), commands, events, limits }.run();
    let scenario = async {
        let id = *b"9b1f03aa5c7e2d41";
        calls.send(CallCommand::Abandon { id }).await.expect("the peer or queue accepts it");
        calls
            .send(CallCommand::Place { id, number: 3, timeout_ms: 5.0, body: Vec::new() })
            .await
            .expect("the peer or queue accepts it");
        let Ok(Event::CallEnded { result, .. }) = inbox.recv().await else { panic!("no call ended") };
        calls.close();
        (result.number, result.outcome)
    };
    let (_, result) = async_io::block_on(executor.run(future::zip(pool, scenario)));
    assert_eq!(result, (3, CallOutcome::NotExecuted));
}

/// Retired connections stay open until their last call ends. Their number is bounded, and a call that finds no usable
/// connection must end as not executed.
#[test]
fn call_without_a_usable_connection_ends_as_not_executed() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (events, inbox) = async_channel::bounded(4);
    let (calls, commands) = async_channel::bounded(4);
    let limits = Limits {
        max_dependency_connections: 1,
        spare_dependency_connections: 1,
        max_calls_per_connection: 1,
        ..Limits::new(64.0, 512)
    };
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::default());
    let pool = DependencyCalls {
        executor,
        address: Rc::new(Cell::new(Some(address))),
        commands,
        events,
        limits: Rc::new(limits),
    }
    .run();
    let scenario = async {
        for number in 1..=3 {
            let id = format!("{number:016}").into_bytes().try_into().expect("16 digits");
            calls
                .send(CallCommand::Place { id, number, timeout_ms: 1000.0, body: Vec::new() })
                .await
                .expect("the peer or queue accepts it");
        }
        let Ok(Event::CallEnded { result, .. }) = inbox.recv().await else { panic!("no call ended") };
        calls.close();
        (result.number, result.outcome)
    };
    // The first two calls are in flight on a connection each, and neither is answered.
    assert_eq!(
        async_io::block_on(executor.run(future::or(
            async {
                pool.await;
                future::pending().await
            },
            scenario
        ))),
        (3, CallOutcome::NotExecuted)
    );
}
