//! A backend process on loopback, with scripted peers.
#![allow(dead_code)] // Each test program uses only some of these items.

use std::net::{TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use plovershelf_testkit::scripted::{LineLink, ScriptedClient, SETTINGS};

/// A running backend and the listeners of its peers.
pub(crate) struct Backend {
    pub child: Option<Child>,
    pub configuration: PathBuf,
    pub text: String,
    pub address: String,
    pub agent: TcpListener,
    pub dependency: TcpListener,
    pub registry: UdpSocket,
}

pub(crate) fn bind_loopback() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

pub(crate) fn start_process(text: &str) -> (Child, PathBuf) {
    let number =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock").as_nanos();
    let path: PathBuf =
        std::env::temp_dir().join(format!("plovershelf-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_plovershelf-server"));
    command.env("RELAY_CONFIG", &path).stdout(Stdio::null()).stderr(Stdio::piped());
    (command.spawn().expect("the program"), path)
}

impl Backend {
    pub(crate) fn start(limits: &str) -> Self {
        Self::start_modified(limits, |text| text)
    }

    /// Starts a backend with a modified configuration.
    pub(crate) fn start_modified(limits: &str, modify: impl FnOnce(String) -> String) -> Self {
        let (agent, dependency) = (bind_loopback(), bind_loopback());
        let registry = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        registry.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
        let address = plovershelf_testkit::free_address().expect("a free port").to_string();
        let text = format!(
            r#"{{"name": "n1", "listen": "{address}", "agent": "{}", "records": "{}", "registry": "{}",
                "seed": "8c1f30d27a5be964", "stop_ms": 1500, "limits": {limits}, "settings": {SETTINGS}}}"#,
            agent.local_addr().expect("an address"),
            dependency.local_addr().expect("an address"),
            registry.local_addr().expect("an address"),
        );
        let text = modify(text);
        let (child, configuration) = start_process(&text);
        Backend { child: Some(child), configuration, text, address, agent, dependency, registry }
    }

    /// Returns a backend whose agent is up, and the agent's side of the link.
    pub(crate) fn start_with_agent(limits: &str) -> (Self, LineLink) {
        let backend = Self::start(limits);
        let agent = backend.accept_agent();
        (backend, agent)
    }

    pub(crate) fn accept_agent(&self) -> LineLink {
        let mut agent = self.accept_link("subscribe 0", |_| ());
        // The first sample after the link's own fence shows that the backend has started.
        agent.answer_sample();
        agent
    }

    pub(crate) fn with_default_limits() -> (Self, LineLink) {
        Self::start_with_agent(r#"{"cores": 1.0, "memory_mb": 192, "sockets": 1024}"#)
    }

    /// Accepts the backend's next link, sends the missed notices and answers the fence.
    pub(crate) fn accept_link(&self, subscription: &str, send_missed: impl Fn(&mut LineLink)) -> LineLink {
        let mut link = LineLink::accept(&self.agent);
        link.expect(subscription);
        link.send("greeting steady 1000", None);
        send_missed(&mut link);
        link.answer_sample();
        link
    }

    pub(crate) fn client(&self) -> ScriptedClient {
        for _ in 0..2000 {
            if let Ok(stream) = TcpStream::connect(&self.address) {
                return ScriptedClient::over(stream);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("the backend does not listen")
    }

    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.as_ref().expect("the process runs").id().to_string();
        assert!(Command::new("sh")
            .args(["-c", &format!("kill -{name} {id}")])
            .status()
            .expect("sh")
            .success());
    }

    /// Replaces the configuration by one with new peer addresses. Returns the listeners of the old ones.
    pub(crate) fn move_peers(&mut self) -> (TcpListener, TcpListener) {
        let (agent, dependency) = (bind_loopback(), bind_loopback());
        let registry = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        registry.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
        let text_of =
            |address: std::io::Result<std::net::SocketAddr>| address.expect("an address").to_string();
        for (old, new) in [
            (self.agent.local_addr(), agent.local_addr()),
            (self.dependency.local_addr(), dependency.local_addr()),
            (self.registry.local_addr(), registry.local_addr()),
        ] {
            self.text = self.text.replace(&text_of(old), &text_of(new));
        }
        std::fs::write(&self.configuration, &self.text).expect("the file is written");
        self.signal("HUP");
        self.registry = registry;
        (std::mem::replace(&mut self.agent, agent), std::mem::replace(&mut self.dependency, dependency))
    }

    pub(crate) fn wait(mut self) -> Output {
        self.child.take().expect("the process runs").wait_with_output().expect("the process ends")
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
