//! The command itself: three control processes, a listener, and what `plovershelf config` prints and ends with.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use plovershelf_server::config_distribution::{self, DistributionSetup, Subscriber};
use plovershelf_testkit::free_address;
use plovershelf_testkit::origin_servers::OriginServers;

struct Controls {
    folder: PathBuf,
    at: Vec<SocketAddr>,
    children: Vec<Child>,
}

impl Controls {
    fn start() -> Self {
        let folder = std::env::temp_dir().join(format!("plovershelf-config-{}", std::process::id()));
        let OriginServers { files, addresses: at } =
            OriginServers::write(&folder, "fleet", "acme = 1000\n").expect("files");
        let start = |file: &PathBuf| {
            let name = file.file_stem().and_then(|name| name.to_str()).expect("a name");
            let mut command = command(&["control", "--name", name, "--file", path(file)]);
            command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("a process")
        };
        let children = files.iter().map(start).collect();
        Controls { folder, at, children }
    }

    /// `plovershelf config` with these words, asked of the first source.
    fn config(&self, words: &[&str]) -> Output {
        let at = self.at[0].to_string();
        command(&["config"]).args(words).args(["--at", &at]).output().expect("it runs")
    }

    fn file(&self, text: &str) -> PathBuf {
        let file = self.folder.join("change.ini");
        std::fs::write(&file, text).expect("a file");
        file
    }

    fn propose(&self, text: &str, more: &[&str]) -> (i32, String) {
        let file = self.file(text);
        told(&self.config(&[&["propose", "--file", path(&file)], more].concat()))
    }

    fn until(&self, words: &[&str], holds: impl Fn(i32, &str) -> bool) {
        let began = Instant::now();
        loop {
            let (code, said) = told(&self.config(words));
            if holds(code, &said) {
                return;
            }
            assert!(began.elapsed() < Duration::from_secs(60), "{words:?}: {code}, {said}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Controls {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn command(words: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_plovershelf"));
    command.args(words).stdin(Stdio::null());
    command
}

fn path(file: &Path) -> &str {
    file.to_str().expect("a path")
}

fn told(output: &Output) -> (i32, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().expect("no signal"), text(&output.stdout) + &text(&output.stderr))
}

#[test]
fn the_command_proposes_and_tells_where_a_change_is_in_force_and_ends_with_what_came_of_it() {
    let mut controls = Controls::start();
    controls.until(&["status", "--json"], |_, said| said.contains("\"agrees\":true"));
    // Nobody is heard of yet, which is no success.
    let (code, said) = told(&controls.config(&["status"]));
    assert!(code == 1 && said.contains("NO LISTENER IS HEARD OF"), "{code}: {said}");
    let setup = DistributionSetup {
        cluster: "fleet".into(),
        listen: free_address().expect("a free port"),
        zone: "a".into(),
        region: "north".into(),
        origins: controls.at.clone(),
        config: Default::default(),
    };
    let listener = setup.listen.to_string();
    config_distribution::start_listener(setup, "n1".into(), Subscriber::Nobody).expect("a listener");
    let proposed = controls.propose("[set]\nacme = 7\n[add]\nnew = 2\n", &["--after", "0"]);
    assert_eq!(proposed, (0, "agreed as number 1\n".into()));
    let all: Vec<String> = controls.at.iter().skip(1).map(SocketAddr::to_string).collect();
    let everywhere = ["status", "--at", &all[0], "--at", &all[1], "--at", &listener];
    controls.until(&everywhere, |code, said| {
        code == 0 && said.contains("change 1 is in force on 1 of 1 that are heard of")
    });
    let (code, said) = told(&controls.config(&["history"]));
    assert!(code == 0 && said.contains("set \"acme\" to 7, add \"new\" with 2"), "{code}: {said}");
    for (text, more, code, what) in [
        ("[set]\nnobody = 1\n", &[][..], 1, "\"nobody\""),
        ("[set]\nacme = 1\n", &["--after", "0"][..], 1, "after 0"),
        ("[set]\nacme = much\n", &[][..], 2, "[set] acme = \"much\""),
        ("[set]\nacme = 1\n", &["--name", "other"][..], 2, "another group's name"),
    ] {
        let (ended, said) = controls.propose(text, more);
        assert!(ended == code && said.contains(what) && said.lines().count() == 1, "{ended}: {said}");
    }
    // One source less: it can't be asked, which status says; the notice to leave ends a process well.
    let last = controls.children.pop().expect("three");
    let ends = Command::new("sh").args(["-c", &format!("kill -TERM {}", last.id())]).status();
    assert!(ends.expect("sh").success());
    let ended = { last }.wait().expect("its end");
    assert_eq!(ended.code(), Some(0));
    let (code, said) = told(&controls.config(&everywhere));
    assert!(code == 1 && said.contains("NOT ASKED"), "{code}: {said}");
}
