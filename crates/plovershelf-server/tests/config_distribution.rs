//! Configuration distribution on real sockets: three origins as processes, a real backend that listens, and questions to all from
//! outside. No verdict depends on the time it took: each waits for a state, a minute at most.

use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use plovershelf_cluster::status::{Answer, Question};
use plovershelf_cluster::wire::{
    decode, encode_frame as encode, encode_payload as plain, read_frame as unframed, Hello, Wire,
};
use plovershelf_config_distribution::{DistributionConfig, Edit};
use plovershelf_server::cluster::{self, DriverHeartbeat};
use plovershelf_server::config_distribution::admin::{AdminRequest, AdminResponse, StatusReport, KEY};
use plovershelf_server::config_distribution::{self, DistributionSetup, Subscriber, VersionInForce};
use plovershelf_testkit::free_address;
use plovershelf_testkit::origin_servers::{self, OriginServers, ORIGIN_SERVERS};
use plovershelf_testkit::scripted::SETTINGS;

const SOURCE_FILE: &str = "PLOVERSHELF_TEST_SOURCE";

/// Not a test where it is started as one: the process of a source, which the others start and end.
#[test]
fn source_process() {
    let Some(file) = std::env::var_os(SOURCE_FILE) else { return };
    let file = PathBuf::from(file);
    let text = std::fs::read_to_string(&file).expect("a file");
    let setup = plovershelf_config::group::read("group.ini", &text).expect("a good file");
    let name = file.file_stem().expect("a name").to_string_lossy().into_owned();
    let pulse = Arc::<DriverHeartbeat>::default();
    let _member = cluster::start(setup, name, pulse.clone(), None).expect("a member");
    loop {
        pulse.record(true);
        std::thread::sleep(Duration::from_millis(200));
    }
}

struct Process {
    child: Child,
    at: SocketAddr,
}

impl Process {
    fn signal(&self, name: &str) {
        let told = Command::new("sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
        assert!(told.expect("sh").success());
    }

    fn threads(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("a process").count()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Stage {
    folder: PathBuf,
    files: Vec<PathBuf>,
    at: Vec<SocketAddr>,
    sources: Vec<Option<Process>>,
}

impl Stage {
    /// Three sources that begin from two tenants.
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("plovershelf-changes-{}-{name}", std::process::id()));
        let OriginServers { files, addresses: at } =
            OriginServers::write(&folder, "trial", "acme = 1000\nzeta = 5\n").expect("files");
        let mut stage = Stage { folder, files, at, sources: (0..ORIGIN_SERVERS).map(|_| None).collect() };
        (0..ORIGIN_SERVERS).for_each(|place| stage.start(place));
        stage
    }

    fn start(&mut self, place: usize) {
        let own = std::env::current_exe().expect("this program");
        let mut command = Command::new(own);
        command.args(["source_process", "--exact"]).env(SOURCE_FILE, &self.files[place]);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        let child = command.spawn().expect("a process");
        self.sources[place] = Some(Process { child, at: self.at[place] });
    }

    fn kill(&mut self, place: usize) {
        self.sources[place] = None;
    }

    /// A real backend, whose agent is not there; with a file of changes, or without.
    fn backend(&self, changes: bool) -> Process {
        let free = || free_address().expect("a free port");
        let at = free();
        let name = if changes { "n1" } else { "n2" };
        let configuration = self.folder.join(format!("{name}.json"));
        let text = format!(
            r#"{{"name": "{name}", "listen": "{}", "agent": "{}", "records": "{}", "registry": "{}",
                "seed": "8c1f30d27a5be964", "stop_ms": 1500,
                "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 1024}}, "settings": {SETTINGS}}}"#,
            free(),
            free(),
            free(),
            free()
        );
        std::fs::write(&configuration, text).expect("a file");
        let file = self.folder.join(format!("{name}-changes.ini"));
        let sources = origin_servers::address_list(&self.at);
        let text = format!("[changes]\nname = trial\nlisten = {at}\nzone = a\nsources = {sources}\n");
        std::fs::write(&file, text).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_plovershelf-server"));
        command.env("RELAY_CONFIG", &configuration).stdin(Stdio::null()).stdout(Stdio::null());
        let log = std::fs::File::create(self.log(name)).expect("a file");
        command.stderr(log);
        if changes {
            command.env("PLOVERSHELF_CHANGES", &file);
        }
        Process { child: command.spawn().expect("a backend"), at }
    }

    fn log(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }

    /// What the sources and these say; none where one of them does not answer.
    fn reports(&self, more: &[SocketAddr]) -> Option<Vec<StatusReport>> {
        let sources = self.sources.iter().flatten().map(|source| source.at);
        sources.chain(more.iter().copied()).map(report).collect()
    }

    /// Waits until all have this number and one content, and a source can have the next one agreed on.
    fn all_have(&self, number: u64, more: &[SocketAddr]) -> Vec<StatusReport> {
        let mut seen = Vec::new();
        until(&format!("number {number} everywhere"), || {
            seen = self.reports(more).unwrap_or_default();
            let same = |one: &StatusReport| {
                one.node.version.number == number && one.node.digest == seen[0].node.digest
            };
            let agrees =
                |one: &StatusReport| one.consensus.as_ref().is_none_or(|consensus| consensus.has_quorum);
            !seen.is_empty() && seen.iter().all(same) && seen.iter().all(agrees)
        });
        seen
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.sources.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < Duration::from_secs(60), "{what}");
        std::thread::sleep(Duration::from_millis(30));
    }
}

/// The first frame that comes back, or none where the link is closed.
fn say(at: SocketAddr, bytes: &[u8]) -> Option<Wire> {
    let first = |bytes: &[u8]| unframed(bytes).ok()?.and_then(|(content, _)| decode(content).ok());
    origin_servers::exchange(at, bytes, first)
}

fn ask(at: SocketAddr, what: &AdminRequest) -> Option<AdminResponse> {
    let question = Wire::Question(Question::Part { part: KEY.into(), bytes: plain(what) });
    match say(at, &[encode(&Hello::of("trial")), encode(&question)].concat())? {
        Wire::Answer(answer) => match *answer {
            Answer::Part(bytes) => decode(&bytes).ok(),
            _ => None,
        },
        _ => None,
    }
}

fn report(at: SocketAddr) -> Option<StatusReport> {
    match ask(at, &AdminRequest::Status)? {
        AdminResponse::Status(report) => Some(*report),
        _ => None,
    }
}

fn set(tenant: &str, quota_per_s: f64) -> Edit {
    Edit::Set { tenant: tenant.into(), quota_per_s }
}

fn add(tenant: &str, quota_per_s: f64) -> Edit {
    Edit::Add { tenant: tenant.into(), quota_per_s }
}

fn propose(at: SocketAddr, edits: Vec<Edit>, after: Option<u64>) -> AdminResponse {
    ask(at, &AdminRequest::Propose { edits, after }).expect("an answer")
}

/// The same where the council may have to find a leader first: proposed until it is in force as the number after that.
fn agreed(at: SocketAddr, edits: &[Edit], after: u64) {
    until(&format!("a change after {after}"), || {
        let told = propose(at, edits.to_vec(), Some(after));
        told == done(after + 1) || report(at).is_some_and(|one| one.node.version.number == after + 1)
    });
}

fn done(number: u64) -> AdminResponse {
    AdminResponse::Committed(format!("agreed as number {number}"))
}

/// An operator changes quotas while a backend serves, then two operators propose at once. The change must reach the backend's
/// admission; of the two one must be committed and the other told why not; a backend that drains must not count as missing.
#[test]
fn change_is_in_force_in_a_real_backend_and_one_of_two_at_once_is_committed() {
    let stage = Stage::new("force");
    let backend = stage.backend(true);
    // What all begin from, before any change.
    let first = stage.all_have(0, &[backend.at]);
    assert_eq!(first[3].node.tenants, 2);
    assert_eq!(propose(stage.at[0], vec![set("acme", 7.0), add("new", 3.0)], None), done(1));
    let all = stage.all_have(1, &[backend.at]);
    assert!(all[3].node.tenants == 3 && !all[3].is_origin && all[3].node.parent.is_some());
    until("its source counts it", || {
        let all = stage.reports(&[]).unwrap_or_default();
        all.iter().map(|one| (one.node.up_to_date, one.node.nodes)).max() == Some((1, 1))
    });
    // The owner in the backend has heard of it too; only one of the three tenants is its settings'.
    until("its owner has it", || {
        let log = std::fs::read_to_string(stage.log("n1")).unwrap_or_default();
        log.lines().any(|line| line.contains("1 quotas differ here"))
    });
    // Both are to follow on number 1, so whichever comes second can't also be taken.
    let (one, other) = (stage.at[1], stage.at[2]);
    let second = std::thread::spawn(move || propose(other, vec![set("acme", 9.0)], Some(1)));
    let told = [propose(one, vec![set("acme", 8.0)], Some(1)), second.join().expect("an answer")];
    let won: Vec<usize> = (0..2).filter(|place| told[*place] == done(2)).collect();
    assert_eq!(won.len(), 1, "{told:?}");
    let lost = &told[1 - won[0]];
    assert!(
        matches!(lost, AdminResponse::Rejected(why) if why.contains("another change took number 2") || why.contains("after 1")),
        "{lost:?}"
    );
    let all = stage.all_have(2, &[backend.at]);
    assert!(all.iter().all(|one| one.node.tenants == 3));
    let Some(AdminResponse::History(changes)) = ask(backend.at, &AdminRequest::History) else {
        panic!("a history")
    };
    let newest = changes.last().expect("a change");
    assert_eq!(newest.edits, [set("acme", [8.0, 9.0][won[0]])]);
    // One that is told to leave is not missing.
    backend.signal("TERM");
    until("nobody is heard of, and nobody missing", || {
        let all = stage.reports(&[]).unwrap_or_default();
        all.len() == ORIGIN_SERVERS
            && all.iter().all(|one| one.node.nodes == 0 && one.node.missing.is_empty())
    });
}

/// Operators propose what can't be, and peers send corrupt frames, another cluster's greeting and payloads that are no message.
/// Each proposal must be rejected with its reason, and the table stay as it is everywhere.
#[test]
fn invalid_changes_and_frames_change_nothing_and_are_named() {
    let stage = Stage::new("bad");
    let backend = stage.backend(true);
    let at = stage.at[0];
    stage.all_have(0, &[backend.at]);
    assert_eq!(propose(at, vec![set("acme", 7.0)], None), done(1));
    let before = stage.all_have(1, &[backend.at])[0].node.digest;
    let long = |n: u32| add(&format!("{n:060}"), 1.0);
    let bad: [(Vec<Edit>, Option<u64>, &str); 7] = [
        (vec![set("nobody", 1.0)], None, "\"nobody\""),
        (vec![add("acme", 1.0)], None, "\"acme\""),
        (vec![set("acme", f64::NAN)], None, "NaN"),
        (vec![set("acme", -1.0)], None, "-1"),
        (vec![set("acme", 2.0)], Some(0), "after 0"),
        ((0..2000).map(long).collect(), None, "65536 bytes at most"),
        (vec![], None, "no edit"),
    ];
    for (edits, after, what) in bad {
        let told = propose(at, edits, after);
        assert!(matches!(&told, AdminResponse::Rejected(why) if why.contains(what)), "{what}: {told:?}");
    }
    let told = propose(backend.at, vec![set("acme", 2.0)], None);
    assert!(matches!(&told, AdminResponse::Rejected(why) if why.contains("listener")), "{told:?}");
    // A torn frame, a stranger, and a message that is none: the link ends, or nothing comes of it.
    let hello = encode(&Hello::of("trial"));
    let good =
        encode(&Wire::Question(Question::Part { part: KEY.into(), bytes: plain(&AdminRequest::Status) }));
    let mut torn = good.clone();
    *torn.last_mut().expect("bytes") ^= 1;
    assert!(say(at, &[hello.clone(), torn].concat()).is_none());
    assert!(say(at, &[encode(&Hello::of("other")), good.clone()].concat()).is_none());
    let none = encode(&Wire::ConfigDistribution { address: backend.at, bytes: vec![255; 40] });
    assert!(say(at, &[hello, none, good].concat()).is_some());
    let after = stage.all_have(1, &[backend.at]);
    assert!(after.iter().all(|one| one.node.digest == before));
}

/// A backend stands still during two changes, then loses its parent, then all origins. It must have the newest in force again,
/// attach to another origin, and at last serve on with an age that grows, until the origins are back from their folders.
#[test]
fn paused_backend_catches_up_and_one_without_origins_serves_on_and_reports_its_age() {
    let mut stage = Stage::new("still");
    let backend = stage.backend(true);
    stage.all_have(0, &[backend.at]);
    backend.signal("STOP");
    assert_eq!(propose(stage.at[0], vec![set("acme", 1.0)], None), done(1));
    assert_eq!(propose(stage.at[0], vec![set("acme", 2.0)], None), done(2));
    backend.signal("CONT");
    let all = stage.all_have(2, &[backend.at]);
    // Whom it hears from is lost: it goes to another.
    let parent = all[3].node.parent.or_else(|| report(backend.at)?.node.parent);
    let parent = stage.at.iter().position(|at| Some(*at) == parent).expect("a source");
    stage.kill(parent);
    until("it hears from another", || {
        report(backend.at).and_then(|one| one.node.parent).is_some_and(|at| at != stage.at[parent])
    });
    stage.all_have(2, &[backend.at]);
    agreed(stage.at[(parent + 1) % ORIGIN_SERVERS], &[set("zeta", 6.0)], 2);
    let digest = stage.all_have(3, &[backend.at])[0].node.digest;
    // All are lost: it goes by the last number, and its age grows.
    (0..ORIGIN_SERVERS).for_each(|place| stage.kill(place));
    until("it says how old it is", || {
        report(backend.at).is_some_and(|one| {
            let node = one.node;
            node.version.number == 3 && node.digest == digest && node.age_ms.is_some_and(|age| age > 3000.0)
        })
    });
    // All begin anew, from their folders, and go on where they were.
    (0..ORIGIN_SERVERS).for_each(|place| stage.start(place));
    stage.all_have(3, &[backend.at]);
    agreed(stage.at[0], &[set("zeta", 8.0)], 3);
    stage.all_have(4, &[backend.at]);
}

/// Ten listeners on one executor are fed by relays with two children each, and a relay ends with its socket and connections. Its
/// children must attach elsewhere and receive the next change; no version may go back.
#[test]
#[expect(clippy::too_many_lines, reason = "one story in order on real processes")]
fn listeners_whose_relay_ends_attach_elsewhere_and_receive_the_next_change() {
    const COUNT: usize = 10;
    let stage = Stage::new("relays");
    stage.all_have(0, &[]);
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    let (to, heard) = async_channel::unbounded::<VersionInForce>();
    let config = DistributionConfig {
        fan_out: 2,
        failover_fan_out: 4,
        origin_fan_out: 2,
        ..DistributionConfig::default()
    };
    let begin = |n: usize| -> (SocketAddr, Task<()>) {
        let listen = free_address().expect("a free port");
        let setup = DistributionSetup {
            cluster: "trial".into(),
            listen,
            zone: format!("z{}", n % 2),
            region: "north".into(),
            origins: stage.at.clone(),
            config: config.clone(),
        };
        let task = config_distribution::spawn_listener(
            executor,
            setup,
            format!("n{n}"),
            Subscriber::Versions(to.clone()),
        );
        (listen, task.expect("a listener"))
    };
    let mut listeners: Vec<(SocketAddr, Task<()>)> = (0..COUNT).map(begin).collect();
    // What is asked from outside blocks, so it has a thread of its own.
    let off = |work: Box<dyn FnOnce() -> bool + Send>| async move {
        let (told, asked) = async_channel::bounded(1);
        std::thread::spawn(move || told.send_blocking(work()));
        asked.recv().await.unwrap_or(false)
    };
    let at: Vec<SocketAddr> = listeners.iter().map(|(at, _)| *at).collect();
    let sources = stage.at.clone();
    let all_in_force = move |number: u64, count: u64| {
        let sources = sources.clone();
        move || {
            let all: Option<Vec<StatusReport>> = sources.iter().map(|at| report(*at)).collect();
            let nodes = || all.iter().flatten().map(|one| &one.node);
            nodes().all(|node| node.version.number == number && node.up_to_date == node.nodes)
                && nodes().map(|node| node.up_to_date).sum::<u64>() == count
        }
    };
    let run = async {
        let began = Instant::now();
        let patience = |what: &str| assert!(began.elapsed() < Duration::from_secs(60), "{what}");
        let first = stage.at[0];
        let change = |quota: f64, after: u64| {
            off(Box::new(move || {
                agreed(first, &[set("acme", quota)], after);
                true
            }))
        };
        assert!(change(7.0, 0).await);
        while !off(Box::new(all_in_force(1, COUNT as u64))).await {
            patience("ten have the first");
            Timer::after(Duration::from_millis(50)).await;
        }
        let (told, relay) = async_channel::bounded(1);
        let feeds = move || {
            let feeds = |at: &SocketAddr| report(*at).is_some_and(|one| one.node.children > 0);
            told.send_blocking(at.iter().position(feeds)).is_ok()
        };
        assert!(off(Box::new(feeds)).await);
        let relay = relay.recv().await.ok().flatten().expect("one that feeds others");
        let (gone, task) = listeners.remove(relay);
        drop(task);
        while off(Box::new(move || TcpStream::connect(gone).is_ok())).await {
            patience("its listener is gone");
            Timer::after(Duration::from_millis(20)).await;
        }
        assert!(change(8.0, 1).await);
        while !off(Box::new(all_in_force(2, COUNT as u64 - 1))).await {
            patience("nine have the second");
            Timer::after(Duration::from_millis(50)).await;
        }
    };
    async_io::block_on(executor.run(run));
    let mut seen: std::collections::BTreeMap<String, u64> = Default::default();
    for VersionInForce { name, version, .. } in std::iter::from_fn(|| heard.try_recv().ok()) {
        let before = seen.insert(name.clone(), version.number);
        assert!(before.is_none_or(|before| before < version.number), "{name} went back");
    }
    assert_eq!(seen.values().filter(|number| **number == 2).count(), COUNT - 1);
}

/// The main thread and the reactor's, as before there were changes; descriptors are counted in `tests/group.rs`.
#[test]
fn without_its_file_there_is_no_thread_for_changes_and_with_it_one_more() {
    let stage = Stage::new("off");
    let (with, without) = (stage.backend(true), stage.backend(false));
    stage.all_have(0, &[with.at]);
    until("both serve", || {
        let serves =
            |name: &str| std::fs::read_to_string(stage.log(name)).is_ok_and(|log| log.contains("listens on"));
        serves("n1") && serves("n2")
    });
    assert_eq!((without.threads(), with.threads()), (2, 3));
    assert!(report(without.at).is_none());
}
