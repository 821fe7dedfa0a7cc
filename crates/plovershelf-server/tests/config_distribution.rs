//! Configuration distribution over sockets: three origin processes, a real backend as listener, and operators'
//! requests to all of them. Each test waits for a state for at most a minute; no result depends on the time taken.

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

const ORIGIN_FILE: &str = "PLOVERSHELF_TEST_SOURCE";

/// Runs an origin if the environment names its file; the other tests start this test as a child process. Otherwise it
/// does nothing.
#[test]
fn origin_process() {
    let Some(file) = std::env::var_os(ORIGIN_FILE) else { return };
    let file = PathBuf::from(file);
    let text = std::fs::read_to_string(&file).expect("a file");
    let setup = plovershelf_config::group::read("group.ini", &text).expect("a valid file");
    let name = file.file_stem().expect("a name").to_string_lossy().into_owned();
    let heartbeat = Arc::<DriverHeartbeat>::default();
    let _node = cluster::start(setup, name, heartbeat.clone(), None).expect("a node");
    loop {
        heartbeat.record(true);
        std::thread::sleep(Duration::from_millis(200));
    }
}

struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    fn signal(&self, name: &str) {
        let status = Command::new("sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
        assert!(status.expect("sh").success());
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

struct Harness {
    folder: PathBuf,
    files: Vec<PathBuf>,
    addresses: Vec<SocketAddr>,
    origins: Vec<Option<Process>>,
}

impl Harness {
    /// Starts three origins with two initial tenants.
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("plovershelf-changes-{}-{name}", std::process::id()));
        let OriginServers { files, addresses } =
            OriginServers::write(&folder, "trial", "acme = 1000\nzeta = 5\n").expect("files");
        let mut harness =
            Harness { folder, files, addresses, origins: (0..ORIGIN_SERVERS).map(|_| None).collect() };
        (0..ORIGIN_SERVERS).for_each(|index| harness.start(index));
        harness
    }

    fn start(&mut self, index: usize) {
        let program = std::env::current_exe().expect("this program");
        let mut command = Command::new(program);
        command.args(["origin_process", "--exact"]).env(ORIGIN_FILE, &self.files[index]);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        let child = command.spawn().expect("a process");
        self.origins[index] = Some(Process { child, address: self.addresses[index] });
    }

    fn kill(&mut self, index: usize) {
        self.origins[index] = None;
    }

    /// Starts a backend without an agent, with or without a configuration distribution file.
    fn backend(&self, has_distribution: bool) -> Process {
        let free = || free_address().expect("a free port");
        let address = free();
        let name = if has_distribution { "n1" } else { "n2" };
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
        let origins = origin_servers::address_list(&self.addresses);
        let text = format!("[changes]\nname = trial\nlisten = {address}\nzone = a\nsources = {origins}\n");
        std::fs::write(&file, text).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_plovershelf-server"));
        command.env("RELAY_CONFIG", &configuration).stdin(Stdio::null()).stdout(Stdio::null());
        let log = std::fs::File::create(self.log(name)).expect("a file");
        command.stderr(log);
        if has_distribution {
            command.env("PLOVERSHELF_CHANGES", &file);
        }
        Process { child: command.spawn().expect("a backend"), address }
    }

    fn log(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }

    /// Returns the status of all origins and of `more`, or `None` if one of them does not answer.
    fn reports(&self, listeners: &[SocketAddr]) -> Option<Vec<StatusReport>> {
        let origins = self.origins.iter().flatten().map(|origin| origin.address);
        origins.chain(listeners.iter().copied()).map(report).collect()
    }

    /// Waits until all processes have this number and the same table, and the origins can commit the next change.
    fn wait_for_number(&self, number: u64, listeners: &[SocketAddr]) -> Vec<StatusReport> {
        let mut reports = Vec::new();
        wait_until(&format!("number {number} everywhere"), || {
            reports = self.reports(listeners).unwrap_or_default();
            let is_same = |report: &StatusReport| {
                report.node.version.number == number && report.node.digest == reports[0].node.digest
            };
            let has_quorum = |report: &StatusReport| {
                report.consensus.as_ref().is_none_or(|consensus| consensus.has_quorum)
            };
            !reports.is_empty() && reports.iter().all(is_same) && reports.iter().all(has_quorum)
        });
        reports
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.origins.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn wait_until(awaited: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < Duration::from_secs(60), "{awaited}");
        std::thread::sleep(Duration::from_millis(30));
    }
}

/// Returns the first frame received, or `None` if the link is closed.
fn exchange(address: SocketAddr, bytes: &[u8]) -> Option<Wire> {
    let first = |bytes: &[u8]| unframed(bytes).ok()?.and_then(|(content, _)| decode(content).ok());
    origin_servers::exchange(address, bytes, first)
}

fn ask(address: SocketAddr, request: &AdminRequest) -> Option<AdminResponse> {
    let question = Wire::Question(Question::Part { part: KEY.into(), bytes: plain(request) });
    match exchange(address, &[encode(&Hello::of("trial")), encode(&question)].concat())? {
        Wire::Answer(answer) => match *answer {
            Answer::Part(bytes) => decode(&bytes).ok(),
            _ => None,
        },
        _ => None,
    }
}

fn report(address: SocketAddr) -> Option<StatusReport> {
    match ask(address, &AdminRequest::Status)? {
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

fn propose(address: SocketAddr, edits: Vec<Edit>, after: Option<u64>) -> AdminResponse {
    ask(address, &AdminRequest::Propose { edits, after }).expect("an answer")
}

/// Proposes a change until it is in force as the next number; the consensus group may first have to elect a
/// leader.
fn propose_until_committed(address: SocketAddr, edits: &[Edit], after: u64) {
    wait_until(&format!("a change after {after}"), || {
        let response = propose(address, edits.to_vec(), Some(after));
        response == committed(after + 1)
            || report(address).is_some_and(|report| report.node.version.number == after + 1)
    });
}

fn committed(number: u64) -> AdminResponse {
    AdminResponse::Committed(format!("agreed as number {number}"))
}

/// An operator changes quotas while a backend serves, then two operators propose at the same time. The change must
/// reach the backend's admission. Of the two proposals one must be committed and the other rejected with the reason.
/// A backend that drains must not count as missing.
#[test]
fn change_reaches_a_backend_and_one_of_two_concurrent_changes_is_committed() {
    let harness = Harness::new("force");
    let backend = harness.backend(true);
    // The initial table, before any change.
    let first = harness.wait_for_number(0, &[backend.address]);
    assert_eq!(first[3].node.tenants, 2);
    assert_eq!(propose(harness.addresses[0], vec![set("acme", 7.0), add("new", 3.0)], None), committed(1));
    let all = harness.wait_for_number(1, &[backend.address]);
    assert!(all[3].node.tenants == 3 && !all[3].is_origin && all[3].node.parent.is_some());
    wait_until("its origin counts it as up to date", || {
        let all = harness.reports(&[]).unwrap_or_default();
        all.iter().map(|report| (report.node.up_to_date, report.node.nodes)).max() == Some((1, 1))
    });
    // The backend's driver has applied it too; only one of the three tenants is in its settings.
    wait_until("its driver has applied it", || {
        let log = std::fs::read_to_string(harness.log("n1")).unwrap_or_default();
        log.lines().any(|line| line.contains("1 quotas differ here"))
    });
    // Both proposals must follow number 1, so the second one can't be committed.
    let (first_origin, other_origin) = (harness.addresses[1], harness.addresses[2]);
    let second = std::thread::spawn(move || propose(other_origin, vec![set("acme", 9.0)], Some(1)));
    let responses =
        [propose(first_origin, vec![set("acme", 8.0)], Some(1)), second.join().expect("an answer")];
    let committed_indices: Vec<usize> = (0..2).filter(|index| responses[*index] == committed(2)).collect();
    assert_eq!(committed_indices.len(), 1, "{responses:?}");
    let rejected = &responses[1 - committed_indices[0]];
    assert!(
        matches!(rejected, AdminResponse::Rejected(why) if why.contains("another change took number 2") || why.contains("after 1")),
        "{rejected:?}"
    );
    let all = harness.wait_for_number(2, &[backend.address]);
    assert!(all.iter().all(|report| report.node.tenants == 3));
    let Some(AdminResponse::History(changes)) = ask(backend.address, &AdminRequest::History) else {
        panic!("a history")
    };
    let newest = changes.last().expect("a change");
    assert_eq!(newest.edits, [set("acme", [8.0, 9.0][committed_indices[0]])]);
    // A backend that drains does not count as missing.
    backend.signal("TERM");
    wait_until("no listener is attached or missing", || {
        let all = harness.reports(&[]).unwrap_or_default();
        all.len() == ORIGIN_SERVERS
            && all.iter().all(|report| report.node.nodes == 0 && report.node.missing.is_empty())
    });
}

/// Operators propose invalid changes, and peers send corrupt frames, the hello of another cluster and payloads that
/// can't be decoded. Each proposal must be rejected with its reason, and the table must not change anywhere.
#[test]
fn invalid_changes_and_frames_are_rejected() {
    let harness = Harness::new("bad");
    let backend = harness.backend(true);
    let address = harness.addresses[0];
    harness.wait_for_number(0, &[backend.address]);
    assert_eq!(propose(address, vec![set("acme", 7.0)], None), committed(1));
    let before = harness.wait_for_number(1, &[backend.address])[0].node.digest;
    let long = |n: u32| add(&format!("{n:060}"), 1.0);
    let invalid: [(Vec<Edit>, Option<u64>, &str); 7] = [
        (vec![set("nobody", 1.0)], None, "\"nobody\""),
        (vec![add("acme", 1.0)], None, "\"acme\""),
        (vec![set("acme", f64::NAN)], None, "NaN"),
        (vec![set("acme", -1.0)], None, "-1"),
        (vec![set("acme", 2.0)], Some(0), "after 0"),
        ((0..2000).map(long).collect(), None, "65536 bytes at most"),
        (vec![], None, "no edit"),
    ];
    for (edits, after, expected_text) in invalid {
        let response = propose(address, edits, after);
        assert!(
            matches!(&response, AdminResponse::Rejected(why) if why.contains(expected_text)),
            "{expected_text}: {response:?}"
        );
    }
    let response = propose(backend.address, vec![set("acme", 2.0)], None);
    assert!(matches!(&response, AdminResponse::Rejected(why) if why.contains("listener")), "{response:?}");
    // A corrupt frame, a hello of another cluster, and a payload that can't be decoded: the link is closed, or the
    // message is ignored.
    let hello = encode(&Hello::of("trial"));
    let valid =
        encode(&Wire::Question(Question::Part { part: KEY.into(), bytes: plain(&AdminRequest::Status) }));
    let mut corrupt = valid.clone();
    *corrupt.last_mut().expect("bytes") ^= 1;
    assert!(exchange(address, &[hello.clone(), corrupt].concat()).is_none());
    assert!(exchange(address, &[encode(&Hello::of("other")), valid.clone()].concat()).is_none());
    let undecodable = encode(&Wire::ConfigDistribution { address: backend.address, bytes: vec![255; 40] });
    assert!(exchange(address, &[hello, undecodable, valid].concat()).is_some());
    let after = harness.wait_for_number(1, &[backend.address]);
    assert!(after.iter().all(|report| report.node.digest == before));
}

/// A backend is paused during two changes, then loses its parent, then all origins. It must get the newest table,
/// attach to another origin, and finally continue with a growing age until the origins restart from their folders.
#[test]
fn paused_backend_catches_up_and_reports_its_age_without_origins() {
    let mut harness = Harness::new("still");
    let backend = harness.backend(true);
    harness.wait_for_number(0, &[backend.address]);
    backend.signal("STOP");
    assert_eq!(propose(harness.addresses[0], vec![set("acme", 1.0)], None), committed(1));
    assert_eq!(propose(harness.addresses[0], vec![set("acme", 2.0)], None), committed(2));
    backend.signal("CONT");
    let all = harness.wait_for_number(2, &[backend.address]);
    // The parent is lost, and the backend attaches to another origin.
    let parent = all[3].node.parent.or_else(|| report(backend.address)?.node.parent);
    let parent = harness.addresses.iter().position(|address| Some(*address) == parent).expect("an origin");
    harness.kill(parent);
    wait_until("it attaches to another origin", || {
        report(backend.address)
            .and_then(|report| report.node.parent)
            .is_some_and(|address| address != harness.addresses[parent])
    });
    harness.wait_for_number(2, &[backend.address]);
    propose_until_committed(harness.addresses[(parent + 1) % ORIGIN_SERVERS], &[set("zeta", 6.0)], 2);
    let digest = harness.wait_for_number(3, &[backend.address])[0].node.digest;
    // All origins are lost: the backend keeps the last number, and its age grows.
    (0..ORIGIN_SERVERS).for_each(|index| harness.kill(index));
    wait_until("it reports its age", || {
        report(backend.address).is_some_and(|report| {
            let node = report.node;
            node.version.number == 3 && node.digest == digest && node.age_ms.is_some_and(|age| age > 3000.0)
        })
    });
    // All origins restart from their folders and continue from there.
    (0..ORIGIN_SERVERS).for_each(|index| harness.start(index));
    harness.wait_for_number(3, &[backend.address]);
    propose_until_committed(harness.addresses[0], &[set("zeta", 8.0)], 3);
    harness.wait_for_number(4, &[backend.address]);
}

/// Ten listeners on one executor are fed by relays with two children each, and one relay ends with its socket and
/// links. Its children must attach elsewhere and receive the next change, and no version may go backwards.
#[test]
#[expect(clippy::too_many_lines, reason = "one sequence of steps on real processes")]
fn listeners_whose_relay_ends_attach_elsewhere_and_receive_the_next_change() {
    const COUNT: usize = 10;
    let harness = Harness::new("relays");
    harness.wait_for_number(0, &[]);
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    let (sender, versions) = async_channel::unbounded::<VersionInForce>();
    let config = DistributionConfig {
        fan_out: 2,
        failover_fan_out: 4,
        origin_fan_out: 2,
        ..DistributionConfig::default()
    };
    let start = |n: usize| -> (SocketAddr, Task<()>) {
        let listen = free_address().expect("a free port");
        let setup = DistributionSetup {
            cluster: "trial".into(),
            listen,
            zone: format!("z{}", n % 2),
            region: "north".into(),
            origins: harness.addresses.clone(),
            config: config.clone(),
        };
        let task = config_distribution::spawn_listener(
            executor,
            setup,
            format!("n{n}"),
            Subscriber::Versions(sender.clone()),
        );
        (listen, task.expect("a listener"))
    };
    let mut listeners: Vec<(SocketAddr, Task<()>)> = (0..COUNT).map(start).collect();
    // Requests to the processes block, so they run on a thread of their own.
    let off_thread = |work: Box<dyn FnOnce() -> bool + Send>| async move {
        let (sender, result) = async_channel::bounded(1);
        std::thread::spawn(move || sender.send_blocking(work()));
        result.recv().await.unwrap_or(false)
    };
    let addresses: Vec<SocketAddr> = listeners.iter().map(|(address, _)| *address).collect();
    let origins = harness.addresses.clone();
    let all_in_force = move |number: u64, count: u64| {
        let origins = origins.clone();
        move || {
            let all: Option<Vec<StatusReport>> = origins.iter().map(|address| report(*address)).collect();
            let nodes = || all.iter().flatten().map(|report| &report.node);
            nodes().all(|node| node.version.number == number && node.up_to_date == node.nodes)
                && nodes().map(|node| node.up_to_date).sum::<u64>() == count
        }
    };
    let run = async {
        let started = Instant::now();
        let check_time = |awaited: &str| assert!(started.elapsed() < Duration::from_secs(60), "{awaited}");
        let first = harness.addresses[0];
        let change = |quota: f64, after: u64| {
            off_thread(Box::new(move || {
                propose_until_committed(first, &[set("acme", quota)], after);
                true
            }))
        };
        assert!(change(7.0, 0).await);
        while !off_thread(Box::new(all_in_force(1, COUNT as u64))).await {
            check_time("ten listeners have number 1");
            Timer::after(Duration::from_millis(50)).await;
        }
        let (relay_sender, relay) = async_channel::bounded(1);
        let find_relay = move || {
            let is_relay =
                |address: &SocketAddr| report(*address).is_some_and(|report| report.node.children > 0);
            relay_sender.send_blocking(addresses.iter().position(is_relay)).is_ok()
        };
        assert!(off_thread(Box::new(find_relay)).await);
        let relay = relay.recv().await.ok().flatten().expect("a relay");
        let (relay_address, task) = listeners.remove(relay);
        drop(task);
        while off_thread(Box::new(move || TcpStream::connect(relay_address).is_ok())).await {
            check_time("the listener's socket is closed");
            Timer::after(Duration::from_millis(20)).await;
        }
        assert!(change(8.0, 1).await);
        while !off_thread(Box::new(all_in_force(2, COUNT as u64 - 1))).await {
            check_time("nine listeners have number 2");
            Timer::after(Duration::from_millis(50)).await;
        }
    };
    async_io::block_on(executor.run(run));
    let mut newest: std::collections::BTreeMap<String, u64> = Default::default();
    for VersionInForce { name, version, .. } in std::iter::from_fn(|| versions.try_recv().ok()) {
        let before = newest.insert(name.clone(), version.number);
        assert!(before.is_none_or(|before| before < version.number), "{name} went backwards");
    }
    assert_eq!(newest.values().filter(|number| **number == 2).count(), COUNT - 1);
}

/// Without the file there are the main thread and the reactor's; descriptors are counted in `tests/group.rs`.
#[test]
fn distribution_thread_exists_only_with_its_file() {
    let harness = Harness::new("off");
    let (enabled, disabled) = (harness.backend(true), harness.backend(false));
    harness.wait_for_number(0, &[enabled.address]);
    wait_until("both backends serve", || {
        let serves = |name: &str| {
            std::fs::read_to_string(harness.log(name)).is_ok_and(|log| log.contains("listens on"))
        };
        serves("n1") && serves("n2")
    });
    assert_eq!((disabled.threads(), enabled.threads()), (2, 3));
    assert!(report(disabled.address).is_none());
}
