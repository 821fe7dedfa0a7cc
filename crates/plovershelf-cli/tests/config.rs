//! Runs `plovershelf config` against three control processes and a listener, and checks its output and exit statuses.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use plovershelf_server::config_distribution::{self, DistributionSetup, Subscriber};
use plovershelf_testkit::free_address;
use plovershelf_testkit::origin_servers::OriginServers;

/// Three control processes, which are origins of configuration; dropping it kills them.
struct ControlProcesses {
    folder: PathBuf,
    addresses: Vec<SocketAddr>,
    children: Vec<Child>,
}

impl ControlProcesses {
    fn start() -> Self {
        let folder = std::env::temp_dir().join(format!("plovershelf-config-{}", std::process::id()));
        let OriginServers { files, addresses } =
            OriginServers::write(&folder, "fleet", "acme = 1000\n").expect("write the configuration files");
        let start = |file: &PathBuf| {
            let name = file.file_stem().and_then(|name| name.to_str()).expect("a UTF-8 file name");
            let mut command = command(&["control", "--name", name, "--file", path(file)]);
            command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("start a control process")
        };
        let children = files.iter().map(start).collect();
        ControlProcesses { folder, addresses, children }
    }

    /// Runs `plovershelf config` with these arguments against the first origin.
    fn config(&self, arguments: &[&str]) -> Output {
        let address = self.addresses[0].to_string();
        let mut command = command(&["config"]);
        command.args(arguments).args(["--at", &address]).output().expect("run plovershelf config")
    }

    fn write_change(&self, text: &str) -> PathBuf {
        let file = self.folder.join("change.ini");
        std::fs::write(&file, text).expect("write the change");
        file
    }

    fn propose(&self, text: &str, options: &[&str]) -> (i32, String) {
        let file = self.write_change(text);
        code_and_output(&self.config(&[&["propose", "--file", path(&file)], options].concat()))
    }

    /// Repeats a command until its exit status and output match; fails after 60 s.
    fn wait_for(&self, arguments: &[&str], matches: impl Fn(i32, &str) -> bool) {
        let started = Instant::now();
        loop {
            let (code, printed) = code_and_output(&self.config(arguments));
            if matches(code, &printed) {
                return;
            }
            assert!(started.elapsed() < Duration::from_secs(60), "{arguments:?}: {code}, {printed}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for ControlProcesses {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_plovershelf"));
    command.args(arguments).stdin(Stdio::null());
    command
}

fn path(file: &Path) -> &str {
    file.to_str().expect("a UTF-8 path")
}

fn code_and_output(output: &Output) -> (i32, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().expect("an exit status"), text(&output.stdout) + &text(&output.stderr))
}

#[test]
fn config_proposes_changes_reports_where_they_are_in_force_and_sets_the_exit_status() {
    let mut control = ControlProcesses::start();
    control.wait_for(&["status", "--json"], |_, printed| printed.contains("\"agrees\":true"));
    // No listener is known yet, which is not a success.
    let (code, printed) = code_and_output(&control.config(&["status"]));
    assert!(code == 1 && printed.contains("NO LISTENER IS HEARD OF"), "{code}: {printed}");
    let setup = DistributionSetup {
        cluster: "fleet".into(),
        listen: free_address().expect("a free port"),
        zone: "a".into(),
        region: "north".into(),
        origins: control.addresses.clone(),
        config: Default::default(),
    };
    let listener = setup.listen.to_string();
    config_distribution::start_listener(setup, "n1".into(), Subscriber::Discard).expect("start a listener");
    let proposed = control.propose("[set]\nacme = 7\n[add]\nnew = 2\n", &["--after", "0"]);
    assert_eq!(proposed, (0, "agreed as number 1\n".into()));
    let all: Vec<String> = control.addresses.iter().skip(1).map(SocketAddr::to_string).collect();
    let everywhere = ["status", "--at", &all[0], "--at", &all[1], "--at", &listener];
    control.wait_for(&everywhere, |code, printed| {
        code == 0 && printed.contains("change 1 is in force on 1 of 1 that are heard of")
    });
    let (code, printed) = code_and_output(&control.config(&["history"]));
    assert!(code == 0 && printed.contains("set \"acme\" to 7, add \"new\" with 2"), "{code}: {printed}");
    for (text, options, code, expected) in [
        ("[set]\nnobody = 1\n", &[][..], 1, "\"nobody\""),
        ("[set]\nacme = 1\n", &["--after", "0"][..], 1, "after 0"),
        ("[set]\nacme = much\n", &[][..], 2, "[set] acme = \"much\""),
        ("[set]\nacme = 1\n", &["--name", "other"][..], 2, "another group's name"),
    ] {
        let (exit_code, printed) = control.propose(text, options);
        assert!(
            exit_code == code && printed.contains(expected) && printed.lines().count() == 1,
            "{exit_code}: {printed}"
        );
    }
    // SIGTERM ends an origin with exit status 0; afterwards `status` reports that it can't be queried.
    let last = control.children.pop().expect("three control processes");
    let killed = Command::new("sh").args(["-c", &format!("kill -TERM {}", last.id())]).status();
    assert!(killed.expect("run sh").success());
    let status = { last }.wait().expect("wait for the process");
    assert_eq!(status.code(), Some(0));
    let (code, printed) = code_and_output(&control.config(&everywhere));
    assert!(code == 1 && printed.contains("NOT ASKED"), "{code}: {printed}");
}
