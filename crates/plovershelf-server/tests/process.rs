//! The program itself on loopback, among stand-ins for its agent, its ledger, the roster and sidecars.

mod common;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::Command;
use std::time::Duration;

use common::{local, started_with, Backend};
use plovershelf_testkit::scripted::{alive, cancel, dispatch, LineLink, Response, ScriptedClient};

#[test]
fn an_invocation_goes_through_run_call_and_answer_with_its_bytes_unchanged() {
    let (backend, mut agent) = Backend::usual();
    let mut sidecar = backend.sidecar();
    let body: Vec<u8> = (0..=255).cycle().take(2048).collect();
    sidecar.send(&dispatch(2, 5, "single", &[], &body));
    let (line, launched) = agent.expect("launch");
    assert_eq!((&line[..], &launched), ("launch 0000000000000005 single 2048", &body));
    agent.send("request 2 0000000000000005", Some(b"a\r\ncall"));
    let mut ledger = LineLink::accept(&backend.ledger);
    let (line, call) = ledger.expect("OP 0000000000000005");
    assert!(line.ends_with(" 7") && call == b"a\r\ncall");
    ledger.send("0000000000000005 DONE", Some(b"\r\n\0reply"));
    assert_eq!(agent.expect("deliver 0000000000000005").1, b"\r\n\0reply");
    agent.send("outcome 3 0000000000000005 success 12", Some(&body));
    assert_eq!(sidecar.read_response(), Some(Response::Succeeded(2, body)));
    sidecar.send(&alive(3));
    assert_eq!(sidecar.read_response(), Some(Response::Ready(3, true)));
    let mut beat = [0; 64];
    let length = backend.roster.recv(&mut beat).expect("a beat");
    assert_eq!(&beat[..length], b"BEAT n1 ready");
}

#[test]
fn a_broken_link_is_taken_up_after_the_last_notice_and_runs_nothing_twice() {
    let (backend, mut agent) = Backend::usual();
    let mut sidecar = backend.sidecar();
    sidecar.send(&dispatch(2, 2, "plain", &[], b""));
    sidecar.send(&dispatch(3, 3, "plain", &[], b""));
    sidecar.send(&dispatch(4, 4, "single", &[], b""));
    (0..3).for_each(|_| drop(agent.expect("launch")));
    agent.send("request 2 0000000000000003", Some(b"ask"));
    let mut ledger = LineLink::accept(&backend.ledger);
    ledger.expect("OP 0000000000000003");
    drop(agent);
    let mut agent = backend.link("subscribe 2", |link| {
        link.send("request 2 0000000000000003", Some(b"ask"));
        link.send("outcome 3 0000000000000002 success 9", Some(b"two"));
        link.send("aside 4 nothing of note", None);
    });
    ledger.send("0000000000000003 DONE", Some(b"told"));
    // Neither the ended run nor the one that may run once only is launched anew.
    agent.expect("deliver 0000000000000003");
    assert_eq!(sidecar.read_response(), Some(Response::Succeeded(2, b"two".to_vec())));
    agent.send("outcome 5 0000000000000004 success 9", Some(b"four"));
    assert_eq!(sidecar.read_response(), Some(Response::Succeeded(4, b"four".to_vec())));
    agent.send("not a notice", None);
    let mut agent = backend.link("subscribe 5", |_| ());
    agent.send("outcome 6 0000000000000003 success 9", Some(b"three"));
    assert_eq!(sidecar.read_response(), Some(Response::Succeeded(3, b"three".to_vec())));
}

#[test]
fn an_agent_that_comes_up_late_is_asked_nothing_before() {
    let backend = Backend::start(r#"{"cores": 1.0, "memory_mb": 192, "sockets": 1024}"#);
    let mut link = LineLink::accept(&backend.agent);
    link.expect("subscribe 0");
    let mut sidecar = backend.sidecar();
    sidecar.send(&alive(1));
    assert_eq!(sidecar.read_response(), Some(Response::Ready(1, true)));
    sidecar.send(&dispatch(2, 2, "plain", &[], b""));
    assert_eq!(sidecar.read_response(), Some(Response::Exception(2)));
    assert!(!link.has_more(Duration::from_millis(200)));
    link.send("greeting booting 0", None);
    link.answer_sample();
    link.answer_sample();
    sidecar.send(&dispatch(3, 3, "plain", &[], b""));
    link.expect("launch");
    link.send("refusal launch 0000000000000003", None);
    assert_eq!(sidecar.read_response(), Some(Response::Failed(3)));
}

#[test]
fn calls_go_on_after_the_ledger_was_down_broke_off_or_spoke_nonsense() {
    // All three are open from the beginning on: none of them may run out, however slowly the steps are played.
    let an_hour = |text: String| {
        let text = text.replace("\"deadline_ms\": 30000.0", "\"deadline_ms\": 3600000.0");
        text.replace("\"aim_ms\": 20000.0", "\"aim_ms\": 3600000.0")
    };
    let mut backend = Backend::start_as(r#"{"cores": 1.0, "memory_mb": 192, "sockets": 1024}"#, an_hour);
    let mut agent = backend.agent_up();
    let mut sidecar = backend.sidecar();
    let patient = [("d", "3600000")];
    sidecar.send(&dispatch(2, 2, "single", &patient, b""));
    sidecar.send(&dispatch(3, 3, "plain", &patient, b""));
    sidecar.send(&dispatch(4, 4, "single", &patient, b""));
    (0..3).for_each(|_| drop(agent.expect("launch")));
    // A refused connection and a call that was turned away prove that nothing ran.
    let address = backend.ledger.local_addr().expect("an address");
    backend.ledger = local();
    agent.send("request 2 0000000000000002", Some(b"ask"));
    std::thread::sleep(Duration::from_millis(100));
    backend.ledger = TcpListener::bind(address).expect("the same port");
    let mut ledger = LineLink::accept(&backend.ledger);
    ledger.expect("OP 0000000000000002");
    ledger.send("0000000000000002 WAIT", None);
    // A run's next call never goes where a second copy of its last answer might come.
    let mut ledger = LineLink::accept(&backend.ledger);
    ledger.expect("OP 0000000000000002");
    ledger.send("0000000000000002 DONE", Some(b"told"));
    agent.expect("deliver 0000000000000002");
    // A connection that breaks and one that speaks nonsense prove nothing, so only what may run again does.
    agent.send("request 3 0000000000000003", Some(b"ask"));
    ledger.expect("OP 0000000000000003");
    drop(ledger);
    let mut ledger = LineLink::accept(&backend.ledger);
    ledger.expect("OP 0000000000000003");
    ledger.send("what is this", None);
    let mut ledger = LineLink::accept(&backend.ledger);
    ledger.expect("OP 0000000000000003");
    ledger.send("0000000000000003 DONE", Some(b"told"));
    agent.expect("deliver 0000000000000003");
    agent.send("request 4 0000000000000004", Some(b"ask"));
    ledger.expect("OP 0000000000000004");
    drop(ledger);
    assert_eq!(sidecar.read_response(), Some(Response::Failed(4)));
}

#[test]
fn nonsense_on_one_connection_leaves_its_neighbours_alone() {
    let (backend, mut agent) = Backend::usual();
    let mut sidecar = backend.sidecar();
    let frames: [&[u8]; 6] = [
        b"\xff\xff\xff\xff",
        b"\x7f\xff\xff\xff",
        b"\0\0\0\x04\0\0\0\0",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\0\0\0\x0c\x80\x01\0\x01\x7f\xff\xff\xff\0\0\0\0",
        b"\0\0",
    ];
    for bytes in frames {
        let mut other = ScriptedClient::connect(&backend.address);
        other.0.write_all(bytes).expect("a connection that takes bytes");
        other.0.shutdown(std::net::Shutdown::Write).expect("an end");
        while other.read_response().is_some() {}
    }
    sidecar.send(&cancel(77));
    sidecar.send(&dispatch(2, 2, "plain", &[], b""));
    agent.expect("launch");
    agent.send("outcome 2 0000000000000002 success 1", Some(b"x"));
    assert_eq!(sidecar.read_response(), Some(Response::Succeeded(2, b"x".to_vec())));
}

#[test]
fn a_client_that_is_silent_slow_or_goes_on_writing_hears_that_it_is_over() {
    let (backend, mut agent) = Backend::usual();
    let mut sidecar = backend.sidecar();
    sidecar.send(&alive(1));
    assert_eq!(sidecar.read_response(), Some(Response::Ready(1, true)));
    // None at all, half a frame, and more than a frame may have.
    let mut silent = ScriptedClient::connect(&backend.address);
    let mut half = ScriptedClient::connect(&backend.address);
    half.0.write_all(&[0, 0, 0, 90, 0x80, 1]).expect("a connection that takes bytes");
    let mut huge = ScriptedClient::connect(&backend.address);
    let mut writes = huge.0.try_clone().expect("the same connection");
    let writing = std::thread::spawn(move || {
        let _ = writes.write_all(&(60u32 << 20).to_be_bytes());
        while writes.write_all(&[0; 4096]).is_ok() {}
    });
    assert_eq!(huge.read_response(), Some(Response::Closing));
    writing.join().expect("it is cut off");
    for late in [&mut silent, &mut half] {
        assert_eq!(late.read_response(), Some(Response::Closing));
        assert_eq!(late.0.read(&mut [0]).expect("an end, not silence"), 0);
    }
    sidecar.send(&dispatch(2, 2, "plain", &[], b""));
    agent.expect("launch");
}

#[test]
fn the_notice_to_leave_ends_in_a_clean_exit_with_all_answered() {
    let (backend, mut agent) = Backend::usual();
    let mut sidecar = backend.sidecar();
    sidecar.send(&dispatch(2, 2, "plain", &[], b""));
    sidecar.send(&dispatch(3, 3, "plain", &[], b""));
    (0..2).for_each(|_| drop(agent.expect("launch")));
    backend.signal("TERM");
    assert_eq!(sidecar.read_response(), Some(Response::Closing));
    agent.send("outcome 2 0000000000000002 success 1", Some(b"x"));
    assert_eq!(sidecar.read_response(), Some(Response::Succeeded(2, b"x".to_vec())));
    // The other run never ends; its caller is answered all the same.
    assert_eq!(sidecar.read_response(), Some(Response::Rejected(3)));
    let mut beat = [0; 64];
    while !beat.starts_with(b"BEAT n1 draining") {
        backend.roster.recv(&mut beat).expect("a beat");
    }
    drop(sidecar);
    assert_eq!(backend.end().status.code(), Some(0));
}

#[test]
fn a_new_configuration_moves_all_peers_and_loses_nothing() {
    let (mut backend, mut agent) = Backend::usual();
    let mut sidecar = backend.sidecar();
    sidecar.send(&dispatch(2, 2, "single", &[], b""));
    sidecar.send(&dispatch(3, 3, "single", &[], b""));
    (0..2).for_each(|_| drop(agent.expect("launch")));
    agent.send("request 2 0000000000000002", Some(b"ask"));
    let mut ledger = LineLink::accept(&backend.ledger);
    ledger.expect("OP 0000000000000002");
    // What can't be read changes nothing, as often as it comes.
    std::fs::write(&backend.configuration, "{").expect("a file of its own");
    (0..3).for_each(|_| backend.signal("HUP"));
    let _old = backend.peers_move();
    // The old link is asked whether it has read all, and the new one begins where it ended.
    let mut next = LineLink::accept(&backend.agent);
    assert_eq!(agent.next_line(), None);
    next.expect("subscribe 2");
    next.send("greeting steady 1000", None);
    next.answer_sample();
    // A call that is out is answered where it was placed; the next goes to the new address.
    ledger.send("0000000000000002 DONE", Some(b"told"));
    assert_eq!(next.expect("deliver 0000000000000002").1, b"told");
    next.send("request 3 0000000000000003", Some(b"ask"));
    let mut moved = LineLink::accept(&backend.ledger);
    moved.expect("OP 0000000000000003");
    next.send("outcome 4 0000000000000002 success 9", Some(b"two"));
    assert_eq!(sidecar.read_response(), Some(Response::Succeeded(2, b"two".to_vec())));
    let mut beat = [0; 64];
    let length = backend.roster.recv(&mut beat).expect("a beat");
    assert_eq!(&beat[..length], b"BEAT n1 ready");
    backend.signal("TERM");
    backend.signal("HUP");
    drop(sidecar);
    assert_eq!(backend.end().status.code(), Some(0));
}

#[test]
fn a_start_that_is_told_nothing_or_nonsense_ends_with_one_line() {
    for (text, named) in [("{", "parse"), ("{}", "name"), (r#"{"name": "n1", "seed": "x"}"#, "seed")] {
        let output = started_with(text).0.wait_with_output().expect("its end");
        let said = String::from_utf8(output.stderr).expect("text");
        assert_eq!((output.status.code(), said.lines().count()), (Some(2), 1), "{said}");
        assert!(said.contains(named), "{said}");
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_plovershelf-server"));
    let output = command.env_remove("RELAY_CONFIG").output().expect("the program");
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn more_connections_than_descriptors_make_idle_ones_go_and_are_all_served() {
    let (backend, _agent) = Backend::up(r#"{"cores": 1.0, "memory_mb": 64, "sockets": 48}"#);
    backend.sidecar();
    let mut kept = Vec::new();
    for seqid in 1..=150 {
        let mut sidecar = ScriptedClient::connect(&backend.address);
        sidecar.send(&alive(seqid));
        assert_eq!(sidecar.read_response(), Some(Response::Ready(seqid, true)));
        kept.push(sidecar);
    }
    assert_eq!(kept[0].read_response(), Some(Response::Closing));
    assert_eq!(kept[0].read_response(), None);
    let id = backend.child.as_ref().expect("it runs").id();
    let open = std::fs::read_dir(format!("/proc/{id}/fd")).expect("its descriptors").count();
    assert!(open <= 48, "{open}");
}

#[test]
fn full_connections_whose_peers_read_nothing_stay_inside_the_memory() {
    let (backend, _agent) = Backend::up(r#"{"cores": 1.0, "memory_mb": 24, "sockets": 512}"#);
    backend.sidecar();
    let body = vec![7; 2048];
    let mut kept = Vec::new();
    for number in 0..200u64 {
        let mut sidecar = ScriptedClient::connect(&backend.address);
        for seqid in 1..=32 {
            sidecar.send(&dispatch(seqid, 1000 * (number + 1) + seqid as u64, "better", &[], &body));
        }
        kept.push(sidecar);
    }
    let mut last = ScriptedClient::connect(&backend.address);
    last.send(&alive(1));
    // Fit or not is the module's to say under such a crowd; what counts is that it still answers.
    assert!(matches!(last.read_response(), Some(Response::Ready(1, _))));
    let id = backend.child.as_ref().expect("it runs").id();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("its status");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its peak");
    let peak_kb: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    assert!(peak_kb < 24 << 10, "{peak_kb} kB");
}

#[test]
fn pools_that_cannot_be_end_the_start_with_one_line_that_names_them() {
    let told = Backend::start(r#"{"cores": 1.0, "memory_mb": 64, "sockets": 64}"#);
    let file = told.configuration.with_extension("ini");
    let own = told.configuration.with_extension("own.json");
    let address = plovershelf_testkit::free_address().expect("a free port").to_string();
    std::fs::write(&own, told.text.replace(&told.address, &address)).expect("a file of its own");
    for (text, named) in [
        ("[pool a]\nofferings = plian\n", "did you mean \"plain\"?"),
        ("[pool a]\nofferings = plain\nleast_runs = 9000\n", "the least of all pools add up to 9000"),
    ] {
        std::fs::write(&file, text).expect("a file of its own");
        let mut command = Command::new(env!("CARGO_BIN_EXE_plovershelf-server"));
        command.env("RELAY_CONFIG", &own).env("PLOVERSHELF_POOLS", &file);
        let output = command.output().expect("the program");
        let said = String::from_utf8(output.stderr).expect("text");
        let last = said.lines().last().unwrap_or_default();
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert!(last.contains(named), "{said}");
    }
    [file, own].into_iter().for_each(|file| std::fs::remove_file(file).expect("it is there"));
}

/// Another customer's deployment: no dependency that backends share, so no address of one.
#[test]
fn a_backend_with_nothing_below_starts_without_its_address_and_serves() {
    let without = |text: String| {
        let from = text.find("\"records\"").expect("the key");
        let to = text.find("\"registry\"").expect("the next key");
        [&text[..from], &text[to..]].concat().replace("\"below\": \"shared\"", "\"below\": \"silent\"")
    };
    let backend = Backend::start_as(r#"{"cores": 1.0, "memory_mb": 64, "sockets": 64}"#, without);
    let mut agent = backend.agent_up();
    let mut sidecar = backend.sidecar();
    sidecar.send(&dispatch(2, 2, "plain", &[], b""));
    agent.expect("launch");
    agent.send("outcome 2 0000000000000002 success 1", Some(b"x"));
    assert_eq!(sidecar.read_response(), Some(Response::Succeeded(2, b"x".to_vec())));
    // The same file read again changes nothing, and a call that no page allows never runs.
    backend.signal("HUP");
    sidecar.send(&dispatch(3, 3, "single", &[], b""));
    agent.expect("launch");
    agent.send("request 3 0000000000000003", Some(b"ask"));
    agent.send("outcome 4 0000000000000003 success 1", Some(b"y"));
    assert_eq!(sidecar.read_response(), Some(Response::Succeeded(3, b"y".to_vec())));
}
