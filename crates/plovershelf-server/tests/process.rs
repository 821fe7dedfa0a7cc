//! A backend process on loopback, with scripted agent, dependency, registry and clients.

mod common;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::Command;
use std::time::Duration;

use common::{bind_loopback, start_process, Backend};
use plovershelf_testkit::scripted::{alive, cancel, dispatch, LineLink, Response, ScriptedClient};

#[test]
fn request_passes_run_call_and_response_unchanged() {
    let (backend, mut agent) = Backend::with_default_limits();
    let mut client = backend.client();
    let body: Vec<u8> = (0..=255).cycle().take(2048).collect();
    client.send(&dispatch(2, 5, "single", &[], &body));
    let (line, launched) = agent.expect("launch");
    assert_eq!((&line[..], &launched), ("launch 0000000000000005 single 2048", &body));
    agent.send("request 2 0000000000000005", Some(b"a\r\ncall"));
    let mut dependency = LineLink::accept(&backend.dependency);
    let (line, call) = dependency.expect("OP 0000000000000005");
    assert!(line.ends_with(" 7") && call == b"a\r\ncall");
    dependency.send("0000000000000005 DONE", Some(b"\r\n\0reply"));
    assert_eq!(agent.expect("deliver 0000000000000005").1, b"\r\n\0reply");
    agent.send("outcome 3 0000000000000005 success 12", Some(&body));
    assert_eq!(client.read_response(), Some(Response::Succeeded(2, body)));
    client.send(&alive(3));
    assert_eq!(client.read_response(), Some(Response::Ready(3, true)));
    let mut heartbeat = [0; 64];
    let length = backend.registry.recv(&mut heartbeat).expect("a heartbeat");
    assert_eq!(&heartbeat[..length], b"BEAT n1 ready");
}

#[test]
fn broken_link_resumes_after_the_last_notice_and_repeats_no_run() {
    let (backend, mut agent) = Backend::with_default_limits();
    let mut client = backend.client();
    client.send(&dispatch(2, 2, "plain", &[], b""));
    client.send(&dispatch(3, 3, "plain", &[], b""));
    client.send(&dispatch(4, 4, "single", &[], b""));
    (0..3).for_each(|_| drop(agent.expect("launch")));
    agent.send("request 2 0000000000000003", Some(b"ask"));
    let mut dependency = LineLink::accept(&backend.dependency);
    dependency.expect("OP 0000000000000003");
    drop(agent);
    let mut agent = backend.accept_link("subscribe 2", |link| {
        link.send("request 2 0000000000000003", Some(b"ask"));
        link.send("outcome 3 0000000000000002 success 9", Some(b"two"));
        link.send("aside 4 nothing of note", None);
    });
    dependency.send("0000000000000003 DONE", Some(b"told"));
    // Neither the ended run nor the non-idempotent one is launched again.
    agent.expect("deliver 0000000000000003");
    assert_eq!(client.read_response(), Some(Response::Succeeded(2, b"two".to_vec())));
    agent.send("outcome 5 0000000000000004 success 9", Some(b"four"));
    assert_eq!(client.read_response(), Some(Response::Succeeded(4, b"four".to_vec())));
    agent.send("not a notice", None);
    let mut agent = backend.accept_link("subscribe 5", |_| ());
    agent.send("outcome 6 0000000000000003 success 9", Some(b"three"));
    assert_eq!(client.read_response(), Some(Response::Succeeded(3, b"three".to_vec())));
}

#[test]
fn no_command_is_sent_before_the_agent_is_up() {
    let backend = Backend::start(r#"{"cores": 1.0, "memory_mb": 192, "sockets": 1024}"#);
    let mut link = LineLink::accept(&backend.agent);
    link.expect("subscribe 0");
    let mut client = backend.client();
    client.send(&alive(1));
    assert_eq!(client.read_response(), Some(Response::Ready(1, true)));
    client.send(&dispatch(2, 2, "plain", &[], b""));
    assert_eq!(client.read_response(), Some(Response::Exception(2)));
    assert!(!link.has_more(Duration::from_millis(200)));
    link.send("greeting booting 0", None);
    link.answer_sample();
    link.answer_sample();
    client.send(&dispatch(3, 3, "plain", &[], b""));
    link.expect("launch");
    link.send("refusal launch 0000000000000003", None);
    assert_eq!(client.read_response(), Some(Response::Failed(3)));
}

#[test]
fn calls_continue_after_dependency_failures() {
    // All three requests are open from the start: their deadlines must not expire, however slowly the steps run.
    let extend_deadlines = |text: String| {
        let text = text.replace("\"deadline_ms\": 30000.0", "\"deadline_ms\": 3600000.0");
        text.replace("\"aim_ms\": 20000.0", "\"aim_ms\": 3600000.0")
    };
    let mut backend =
        Backend::start_modified(r#"{"cores": 1.0, "memory_mb": 192, "sockets": 1024}"#, extend_deadlines);
    let mut agent = backend.accept_agent();
    let mut client = backend.client();
    let long_deadline = [("d", "3600000")];
    client.send(&dispatch(2, 2, "single", &long_deadline, b""));
    client.send(&dispatch(3, 3, "plain", &long_deadline, b""));
    client.send(&dispatch(4, 4, "single", &long_deadline, b""));
    (0..3).for_each(|_| drop(agent.expect("launch")));
    // A refused connection and a rejected call prove that nothing ran.
    let address = backend.dependency.local_addr().expect("an address");
    backend.dependency = bind_loopback();
    agent.send("request 2 0000000000000002", Some(b"ask"));
    std::thread::sleep(Duration::from_millis(100));
    backend.dependency = TcpListener::bind(address).expect("the same port");
    let mut dependency = LineLink::accept(&backend.dependency);
    dependency.expect("OP 0000000000000002");
    dependency.send("0000000000000002 WAIT", None);
    // The next call of a run never uses a connection on which a duplicate of its last reply might arrive.
    let mut dependency = LineLink::accept(&backend.dependency);
    dependency.expect("OP 0000000000000002");
    dependency.send("0000000000000002 DONE", Some(b"told"));
    agent.expect("deliver 0000000000000002");
    // A connection that breaks or that carries a malformed line proves nothing, so only idempotent calls are
    // repeated.
    agent.send("request 3 0000000000000003", Some(b"ask"));
    dependency.expect("OP 0000000000000003");
    drop(dependency);
    let mut dependency = LineLink::accept(&backend.dependency);
    dependency.expect("OP 0000000000000003");
    dependency.send("what is this", None);
    let mut dependency = LineLink::accept(&backend.dependency);
    dependency.expect("OP 0000000000000003");
    dependency.send("0000000000000003 DONE", Some(b"told"));
    agent.expect("deliver 0000000000000003");
    agent.send("request 4 0000000000000004", Some(b"ask"));
    dependency.expect("OP 0000000000000004");
    drop(dependency);
    assert_eq!(client.read_response(), Some(Response::Failed(4)));
}

#[test]
fn malformed_input_affects_only_its_own_connection() {
    let (backend, mut agent) = Backend::with_default_limits();
    let mut client = backend.client();
    let frames: [&[u8]; 6] = [
        b"\xff\xff\xff\xff",
        b"\x7f\xff\xff\xff",
        b"\0\0\0\x04\0\0\0\0",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\0\0\0\x0c\x80\x01\0\x01\x7f\xff\xff\xff\0\0\0\0",
        b"\0\0",
    ];
    for bytes in frames {
        let mut faulty = ScriptedClient::connect(&backend.address);
        faulty.0.write_all(bytes).expect("the write succeeds");
        faulty.0.shutdown(std::net::Shutdown::Write).expect("the shutdown succeeds");
        while faulty.read_response().is_some() {}
    }
    client.send(&cancel(77));
    client.send(&dispatch(2, 2, "plain", &[], b""));
    agent.expect("launch");
    agent.send("outcome 2 0000000000000002 success 1", Some(b"x"));
    assert_eq!(client.read_response(), Some(Response::Succeeded(2, b"x".to_vec())));
}

#[test]
fn unused_slow_and_flooding_clients_get_the_announcement_of_closing() {
    let (backend, mut agent) = Backend::with_default_limits();
    let mut client = backend.client();
    client.send(&alive(1));
    assert_eq!(client.read_response(), Some(Response::Ready(1, true)));
    // No bytes at all, half a frame, and more than a frame may have.
    let mut unused = ScriptedClient::connect(&backend.address);
    let mut half = ScriptedClient::connect(&backend.address);
    half.0.write_all(&[0, 0, 0, 90, 0x80, 1]).expect("the write succeeds");
    let mut huge = ScriptedClient::connect(&backend.address);
    let mut writes = huge.0.try_clone().expect("the same connection");
    let writing = std::thread::spawn(move || {
        let _ = writes.write_all(&(60u32 << 20).to_be_bytes());
        while writes.write_all(&[0; 4096]).is_ok() {}
    });
    assert_eq!(huge.read_response(), Some(Response::Closing));
    writing.join().expect("the writer ends");
    for late in [&mut unused, &mut half] {
        assert_eq!(late.read_response(), Some(Response::Closing));
        assert_eq!(late.0.read(&mut [0]).expect("the end of the stream"), 0);
    }
    client.send(&dispatch(2, 2, "plain", &[], b""));
    agent.expect("launch");
}

#[test]
fn drain_answers_all_requests_and_exits_successfully() {
    let (backend, mut agent) = Backend::with_default_limits();
    let mut client = backend.client();
    client.send(&dispatch(2, 2, "plain", &[], b""));
    client.send(&dispatch(3, 3, "plain", &[], b""));
    (0..2).for_each(|_| drop(agent.expect("launch")));
    backend.signal("TERM");
    assert_eq!(client.read_response(), Some(Response::Closing));
    agent.send("outcome 2 0000000000000002 success 1", Some(b"x"));
    assert_eq!(client.read_response(), Some(Response::Succeeded(2, b"x".to_vec())));
    // The other run never ends; its client still gets an answer.
    assert_eq!(client.read_response(), Some(Response::Rejected(3)));
    let mut heartbeat = [0; 64];
    while !heartbeat.starts_with(b"BEAT n1 draining") {
        backend.registry.recv(&mut heartbeat).expect("a heartbeat");
    }
    drop(client);
    assert_eq!(backend.wait().status.code(), Some(0));
}

#[test]
fn reload_moves_all_peers_and_loses_nothing() {
    let (mut backend, mut agent) = Backend::with_default_limits();
    let mut client = backend.client();
    client.send(&dispatch(2, 2, "single", &[], b""));
    client.send(&dispatch(3, 3, "single", &[], b""));
    (0..2).for_each(|_| drop(agent.expect("launch")));
    agent.send("request 2 0000000000000002", Some(b"ask"));
    let mut dependency = LineLink::accept(&backend.dependency);
    dependency.expect("OP 0000000000000002");
    // An unreadable document changes nothing, however often it is reloaded.
    std::fs::write(&backend.configuration, "{").expect("the file is written");
    (0..3).for_each(|_| backend.signal("HUP"));
    let _old_peers = backend.move_peers();
    // The old link gets a final fence, and the new one subscribes from where the old one ended.
    let mut next = LineLink::accept(&backend.agent);
    assert_eq!(agent.next_line(), None);
    next.expect("subscribe 2");
    next.send("greeting steady 1000", None);
    next.answer_sample();
    // A call in flight is answered on its old connection; the next call goes to the new address.
    dependency.send("0000000000000002 DONE", Some(b"told"));
    assert_eq!(next.expect("deliver 0000000000000002").1, b"told");
    next.send("request 3 0000000000000003", Some(b"ask"));
    let mut moved = LineLink::accept(&backend.dependency);
    moved.expect("OP 0000000000000003");
    next.send("outcome 4 0000000000000002 success 9", Some(b"two"));
    assert_eq!(client.read_response(), Some(Response::Succeeded(2, b"two".to_vec())));
    let mut heartbeat = [0; 64];
    let length = backend.registry.recv(&mut heartbeat).expect("a heartbeat");
    assert_eq!(&heartbeat[..length], b"BEAT n1 ready");
    backend.signal("TERM");
    backend.signal("HUP");
    drop(client);
    assert_eq!(backend.wait().status.code(), Some(0));
}

#[test]
fn startup_without_valid_configuration_prints_one_line() {
    for (text, named) in [("{", "parse"), ("{}", "name"), (r#"{"name": "n1", "seed": "x"}"#, "seed")] {
        let output = start_process(text).0.wait_with_output().expect("the process ends");
        let output_text = String::from_utf8(output.stderr).expect("text");
        assert_eq!((output.status.code(), output_text.lines().count()), (Some(2), 1), "{output_text}");
        assert!(output_text.contains(named), "{output_text}");
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_plovershelf-server"));
    let output = command.env_remove("RELAY_CONFIG").output().expect("the program");
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn idle_connections_are_evicted_when_descriptors_run_short() {
    let (backend, _agent) = Backend::start_with_agent(r#"{"cores": 1.0, "memory_mb": 64, "sockets": 48}"#);
    backend.client();
    let mut open_clients = Vec::new();
    for seqid in 1..=150 {
        let mut client = ScriptedClient::connect(&backend.address);
        client.send(&alive(seqid));
        assert_eq!(client.read_response(), Some(Response::Ready(seqid, true)));
        open_clients.push(client);
    }
    assert_eq!(open_clients[0].read_response(), Some(Response::Closing));
    assert_eq!(open_clients[0].read_response(), None);
    let id = backend.child.as_ref().expect("the process runs").id();
    let open = std::fs::read_dir(format!("/proc/{id}/fd")).expect("its descriptors").count();
    assert!(open <= 48, "{open}");
}

#[test]
fn clients_that_do_not_read_stay_within_the_memory_limit() {
    let (backend, _agent) = Backend::start_with_agent(r#"{"cores": 1.0, "memory_mb": 24, "sockets": 512}"#);
    backend.client();
    let body = vec![7; 2048];
    let mut open_clients = Vec::new();
    for number in 0..200u64 {
        let mut client = ScriptedClient::connect(&backend.address);
        for seqid in 1..=32 {
            client.send(&dispatch(seqid, 1000 * (number + 1) + seqid as u64, "better", &[], &body));
        }
        open_clients.push(client);
    }
    let mut last = ScriptedClient::connect(&backend.address);
    last.send(&alive(1));
    // Readiness is up to the backend under this load; the test requires only that health checks are answered.
    assert!(matches!(last.read_response(), Some(Response::Ready(1, _))));
    let id = backend.child.as_ref().expect("the process runs").id();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("its status");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its peak");
    let peak_kb: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    assert!(peak_kb < 24 << 10, "{peak_kb} kB");
}

#[test]
fn startup_with_invalid_pools_names_the_error() {
    let template = Backend::start(r#"{"cores": 1.0, "memory_mb": 64, "sockets": 64}"#);
    let file = template.configuration.with_extension("ini");
    let configuration = template.configuration.with_extension("own.json");
    let address = plovershelf_testkit::free_address().expect("a free port").to_string();
    std::fs::write(&configuration, template.text.replace(&template.address, &address))
        .expect("the file is written");
    for (text, named) in [
        ("[pool a]\nofferings = plian\n", "did you mean \"plain\"?"),
        ("[pool a]\nofferings = plain\nleast_runs = 9000\n", "the least of all pools add up to 9000"),
    ] {
        std::fs::write(&file, text).expect("the file is written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_plovershelf-server"));
        command.env("RELAY_CONFIG", &configuration).env("PLOVERSHELF_POOLS", &file);
        let output = command.output().expect("the program");
        let output_text = String::from_utf8(output.stderr).expect("text");
        let last = output_text.lines().last().unwrap_or_default();
        assert_eq!(output.status.code(), Some(2), "{output_text}");
        assert!(last.contains(named), "{output_text}");
    }
    [file, configuration].into_iter().for_each(|file| std::fs::remove_file(file).expect("the file exists"));
}

/// In a deployment without a shared dependency the address is not configured.
#[test]
fn backend_without_a_dependency_starts_without_its_address() {
    let without_dependency = |text: String| {
        let from = text.find("\"records\"").expect("the key");
        let to = text.find("\"registry\"").expect("the next key");
        [&text[..from], &text[to..]].concat().replace("\"below\": \"shared\"", "\"below\": \"silent\"")
    };
    let backend =
        Backend::start_modified(r#"{"cores": 1.0, "memory_mb": 64, "sockets": 64}"#, without_dependency);
    let mut agent = backend.accept_agent();
    let mut client = backend.client();
    client.send(&dispatch(2, 2, "plain", &[], b""));
    agent.expect("launch");
    agent.send("outcome 2 0000000000000002 success 1", Some(b"x"));
    assert_eq!(client.read_response(), Some(Response::Succeeded(2, b"x".to_vec())));
    // Reloading the same file changes nothing, and a call without a dependency never runs.
    backend.signal("HUP");
    client.send(&dispatch(3, 3, "single", &[], b""));
    agent.expect("launch");
    agent.send("request 3 0000000000000003", Some(b"ask"));
    agent.send("outcome 4 0000000000000003 success 1", Some(b"y"));
    assert_eq!(client.read_response(), Some(Response::Succeeded(3, b"y".to_vec())));
}
