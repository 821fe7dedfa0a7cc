//! A backend's process on loopback, among stand-ins that a test plays line by line.
#![allow(dead_code)] // Each test program uses its part of this.

use std::net::{TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use plovershelf_testkit::scripted::{LineLink, ScriptedClient, SETTINGS};

/// A running backend with the listeners of those it talks to.
pub(crate) struct Backend {
    pub child: Option<Child>,
    pub configuration: PathBuf,
    pub text: String,
    pub address: String,
    pub agent: TcpListener,
    pub ledger: TcpListener,
    pub roster: UdpSocket,
}

pub(crate) fn local() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

pub(crate) fn started_with(text: &str) -> (Child, PathBuf) {
    let number =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock").as_nanos();
    let path: PathBuf =
        std::env::temp_dir().join(format!("plovershelf-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("a file of its own");
    let mut command = Command::new(env!("CARGO_BIN_EXE_plovershelf-server"));
    command.env("RELAY_CONFIG", &path).stdout(Stdio::null()).stderr(Stdio::piped());
    (command.spawn().expect("the program"), path)
}

impl Backend {
    pub(crate) fn start(limits: &str) -> Self {
        Self::start_as(limits, |text| text)
    }

    /// The same with another configuration, made from the usual one.
    pub(crate) fn start_as(limits: &str, change: impl FnOnce(String) -> String) -> Self {
        let (agent, ledger) = (local(), local());
        let roster = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        roster.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
        let address = plovershelf_testkit::free_address().expect("a free port").to_string();
        let text = format!(
            r#"{{"name": "n1", "listen": "{address}", "agent": "{}", "records": "{}", "registry": "{}",
                "seed": "8c1f30d27a5be964", "stop_ms": 1500, "limits": {limits}, "settings": {SETTINGS}}}"#,
            agent.local_addr().expect("an address"),
            ledger.local_addr().expect("an address"),
            roster.local_addr().expect("an address"),
        );
        let text = change(text);
        let (child, configuration) = started_with(&text);
        Backend { child: Some(child), configuration, text, address, agent, ledger, roster }
    }

    /// A backend whose agent is up, and the agent's side of the link.
    pub(crate) fn up(limits: &str) -> (Self, LineLink) {
        let backend = Self::start(limits);
        let agent = backend.agent_up();
        (backend, agent)
    }

    pub(crate) fn agent_up(&self) -> LineLink {
        let mut agent = self.link("subscribe 0", |_| ());
        // The first sample after that of the link itself comes from a backend that has started.
        agent.answer_sample();
        agent
    }

    pub(crate) fn usual() -> (Self, LineLink) {
        Self::up(r#"{"cores": 1.0, "memory_mb": 192, "sockets": 1024}"#)
    }

    /// Takes the backend's next link, tells it what it missed, and lets it through.
    pub(crate) fn link(&self, subscribes: &str, missed: impl Fn(&mut LineLink)) -> LineLink {
        let mut link = LineLink::accept(&self.agent);
        link.expect(subscribes);
        link.send("greeting steady 1000", None);
        missed(&mut link);
        link.answer_sample();
        link
    }

    pub(crate) fn sidecar(&self) -> ScriptedClient {
        for _ in 0..2000 {
            if let Ok(stream) = TcpStream::connect(&self.address) {
                return ScriptedClient::over(stream);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("nothing listens")
    }

    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.as_ref().expect("it runs").id().to_string();
        assert!(Command::new("sh")
            .args(["-c", &format!("kill -{name} {id}")])
            .status()
            .expect("sh")
            .success());
    }

    /// Replaces the configuration by one that names new peers; the old ones are handed back.
    pub(crate) fn peers_move(&mut self) -> (TcpListener, TcpListener) {
        let (agent, ledger) = (local(), local());
        let roster = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        roster.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
        let at = |address: std::io::Result<std::net::SocketAddr>| address.expect("an address").to_string();
        for (old, new) in [
            (self.agent.local_addr(), agent.local_addr()),
            (self.ledger.local_addr(), ledger.local_addr()),
            (self.roster.local_addr(), roster.local_addr()),
        ] {
            self.text = self.text.replace(&at(old), &at(new));
        }
        std::fs::write(&self.configuration, &self.text).expect("a file of its own");
        self.signal("HUP");
        self.roster = roster;
        (std::mem::replace(&mut self.agent, agent), std::mem::replace(&mut self.ledger, ledger))
    }

    pub(crate) fn end(mut self) -> Output {
        self.child.take().expect("it runs").wait_with_output().expect("its end")
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
