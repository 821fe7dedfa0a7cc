//! Backend processes as one cluster: bootstrap, loss of a member with its folder, a paused member, failover; and no
//! extra resources without a cluster.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use plovershelf_cluster::status::{Answer, Question, Status};
use plovershelf_cluster::wire::{
    decode, encode_frame as encode, encode_payload as plain, read_frame as unframed, Hello, Wire,
};
use plovershelf_failover::{Request, Response, ShiftRequest, Status as ZonesStatus, TrafficPlan};
use plovershelf_simulation::schedule::{Fault, FaultPhase, Folder};
use plovershelf_testkit::basic_client::{BasicClient, Call, Outcome};
use plovershelf_testkit::fleet::{Fleet, FleetConfig};
use plovershelf_testkit::scripted::SETTINGS;
use plovershelf_testkit::work::{Idempotency, WorkSpec};
use plovershelf_testkit::{cluster, cores, dependency, Clock, Executor};

fn fleet_config(has_cluster: bool) -> FleetConfig {
    FleetConfig {
        program: PathBuf::from(env!("CARGO_BIN_EXE_plovershelf-server")),
        backends: 3,
        cores: cores::CoresConfig {
            cores: 2.0,
            overload_factor: 8.0,
            initial_speed: 1.0,
            slow_start_ms: 1.0,
        },
        dependency: dependency::DependencyConfig {
            call_ms: 1.0,
            slots: 10,
            max_in_flight: 50,
            outage_ms: 100.0,
        },
        settings: serde_json::from_str(SETTINGS).expect("settings"),
        memory_mb: 64.0,
        sockets: 256,
        stop_ms: 1000.0,
        logs: None,
        pools: None,
        cluster: has_cluster.then(|| cluster::ClusterConfig {
            zones: 3,
            initial_voters: 3,
            folders: true,
            more: String::new(),
        }),
        peer_paths: false,
    }
}

fn ask(address: SocketAddr, question: Question) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(9))).ok()?;
    stream.write_all(&[encode(&Hello::of("trial")), encode(&Wire::Question(question))].concat()).ok()?;
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        if let Ok(Some((content, _))) = unframed(&bytes) {
            let Ok(Wire::Answer(answer)) = decode(content) else { return None };
            return Some(*answer);
        }
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
    }
}

fn status(address: SocketAddr) -> Option<Status> {
    match ask(address, Question::Status)? {
        Answer::Status(status) => Some(*status),
        _ => None,
    }
}

/// Waits until `holds` is true of the statuses of all named members. The limit of one minute is generous on any
/// machine.
async fn wait_until(
    awaited: &str,
    fleet: &Fleet,
    members: &[usize],
    holds: impl Fn(&[Status]) -> bool,
) -> Vec<Status> {
    let started = Instant::now();
    let cluster = fleet.cluster.as_ref().expect("a cluster");
    loop {
        let addresses: Vec<SocketAddr> = members.iter().map(|m| cluster.members[*m].address).collect();
        let statuses = off_thread(move || addresses.into_iter().map(status).collect::<Option<Vec<Status>>>());
        if let Some(all) = statuses.await {
            if holds(&all) {
                return all;
            }
            assert!(started.elapsed() < Duration::from_secs(60), "{awaited}: {all:#?}");
        }
        assert!(started.elapsed() < Duration::from_secs(60), "{awaited}");
        Timer::after(Duration::from_millis(50)).await;
    }
}

/// Returns whether all members report the same view with `count` members, and all may act by it.
fn agreed(count: usize) -> impl Fn(&[Status]) -> bool {
    move |all| {
        let view = all[0].view;
        all.iter().all(|s| s.may_act == Some(view) && s.view == view && s.view_members.len() == count)
    }
}

/// A cluster bootstraps, loses a member with its storage, and has one member paused and one not ready. Each is
/// removed from the view and readmitted, the one without its storage as a new node.
#[test]
fn cluster_removes_and_readmits_lost_paused_and_unready_members() {
    let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
    let clock = Clock::start();
    let mut fleet = Fleet::start(&executor, clock, &fleet_config(true)).expect("three backends");
    let run = async {
        let first = wait_until("bootstrapped", &fleet, &[0, 1, 2], agreed(3)).await;
        let node_id = first[1].node_id;
        assert_eq!(first.iter().filter(|s| s.leads).count(), 1);
        fleet.apply_fault(&Fault::Kill { member: 1, folder: Folder::Wiped }, FaultPhase::Begins, 3);
        let removed = wait_until("removed", &fleet, &[0, 2], agreed(2)).await;
        assert!(!removed[0].view_members.contains(&node_id));
        fleet.apply_fault(&Fault::Kill { member: 1, folder: Folder::Wiped }, FaultPhase::Ends, 3);
        // Until the old node is no longer a voter there are four voters, one of them lost: another loss would cost
        // the majority.
        let voters = |all: &[Status]| {
            let voters: Vec<bool> = all[0].members.iter().filter(|m| m.voter).map(|m| m.in_view).collect();
            voters == [true; 3]
        };
        let readmitted =
            wait_until("readmitted", &fleet, &[0, 1, 2], |all| agreed(3)(all) && voters(all)).await;
        assert_ne!(readmitted[1].node_id, node_id);
        assert!(readmitted[0].view > removed[0].view);
        // A paused member may not act after it resumes until it has renewed its lease; then all agree again.
        fleet.apply_fault(&Fault::Stop { member: 2 }, FaultPhase::Begins, 3);
        wait_until("paused member removed", &fleet, &[0, 1], agreed(2)).await;
        fleet.apply_fault(&Fault::Stop { member: 2 }, FaultPhase::Ends, 3);
        wait_until("paused member readmitted", &fleet, &[0, 1, 2], agreed(3)).await;
        // A member whose event loop makes no progress is removed, although it still answers.
        fleet.apply_fault(&Fault::Unready { member: 0 }, FaultPhase::Begins, 3);
        wait_until("unready member removed", &fleet, &[1, 2], agreed(2)).await;
        fleet.apply_fault(&Fault::Unready { member: 0 }, FaultPhase::Ends, 3);
        wait_until("unready member readmitted", &fleet, &[0, 1, 2], agreed(3)).await;
    };
    async_io::block_on(executor.run(run));
}

/// Two of three voters are permanently lost: nothing is committed and no member may act. A recovery command with the
/// right names starts a new epoch; one that is sent too early, or with an unknown name, is refused.
#[test]
fn recovery_command_replaces_a_lost_majority() {
    let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
    let clock = Clock::start();
    let mut fleet = Fleet::start(&executor, clock, &fleet_config(true)).expect("three backends");
    let run = async {
        wait_until("bootstrapped", &fleet, &[0, 1, 2], agreed(3)).await;
        let address = fleet.cluster.as_ref().expect("a cluster").members[2].address;
        let recover = move |lost: &[&str]| {
            let lost = lost.iter().map(|name| name.to_string()).collect();
            off_thread(move || ask(address, Question::Recover { lost }))
        };
        let early = recover(&["n1"]).await;
        assert!(matches!(early, Some(Answer::Refused(why)) if why.contains("can decide by themselves")));
        for member in [0, 1] {
            fleet.apply_fault(&Fault::Kill { member, folder: Folder::Wiped }, FaultPhase::Begins, 3);
        }
        wait_until("no majority", &fleet, &[2], |all| {
            all[0].no_leader_ms.is_some() && all[0].may_act.is_none()
        })
        .await;
        let unknown = recover(&["n7"]).await;
        assert!(matches!(unknown, Some(Answer::Refused(why)) if why.contains("\"n7\" is not in view")));
        let done = recover(&["n1", "n2"]).await;
        assert!(matches!(&done, Some(Answer::Done(text)) if text.contains("council 2")), "{done:?}");
        wait_until("a single member", &fleet, &[2], agreed(1)).await;
        for member in [0, 1] {
            fleet.apply_fault(&Fault::Kill { member, folder: Folder::Wiped }, FaultPhase::Ends, 3);
        }
        let all = wait_until("all members back", &fleet, &[0, 1, 2], agreed(3)).await;
        assert!(all.iter().all(|s| s.epoch_number == 2));
    };
    async_io::block_on(executor.run(run));
}

/// Returns a call with the idempotency key that all attempts of this test share.
fn keyed_call(body: &[u8]) -> Call<'_> {
    Call {
        class: "marked",
        tenant: "acme",
        rank: 0.5,
        idempotency_key: Some("00000000000000a1"),
        idempotent: false,
        body,
        timeout: Duration::from_secs(20),
    }
}

/// A duplicate that reaches another backend gets the recorded result, even after the backend that ran it is lost with
/// its disk.
#[test]
fn keyed_request_runs_once_across_backends() {
    let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
    let clock = Clock::start();
    let mut config = fleet_config(true);
    config.cluster = config
        .cluster
        .map(|group| cluster::ClusterConfig { more: "\n[copies]\ncopies = 3\nleast = 2\n".into(), ..group });
    let mut fleet = Fleet::start(&executor, clock, &config).expect("three backends");
    let run = async {
        wait_until("bootstrapped", &fleet, &[0, 1, 2], agreed(3)).await;
        assert!(fleet.wait_until_up(clock, 20_000.0).await);
        let addresses = fleet.addresses();
        let client = BasicClient::new(&executor, &addresses, 1);
        let work = WorkSpec { number: 1, work_ms: 5.0, outbound_calls: 0, idempotency: Idempotency::Keyed };
        let body = work.body();
        let call = keyed_call(&body);
        let succeeded = Outcome::Succeeded(work.result());
        assert_eq!(client.attempt(addresses[0], &call).await, succeeded);
        assert_eq!(client.attempt(addresses[1], &call).await, succeeded);
        assert_eq!(fleet.effects.borrow().executions(), 1);
        fleet.apply_fault(&Fault::Kill { member: 0, folder: Folder::Wiped }, FaultPhase::Begins, 3);
        wait_until("removed", &fleet, &[1, 2], agreed(2)).await;
        assert_eq!(client.attempt(addresses[2], &call).await, succeeded);
        assert_eq!(client.attempt(addresses[1], &call).await, succeeded);
        let effects = fleet.effects.borrow();
        assert!(effects.executions() == 1 && effects.repeated_keyed_launches().is_empty());
    };
    async_io::block_on(executor.run(run));
}

/// Two replicas that stored an outcome are killed and restarted at once with their folders. Their names and node ids
/// stay in the view, but the records of their processes are gone. They must no longer count as replicas, and the
/// outcome must be replicated to them again from the remaining one.
#[test]
fn restarted_replica_does_not_count_until_replicated_again() {
    let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
    let clock = Clock::start();
    let mut config = fleet_config(true);
    config.cluster = config
        .cluster
        .map(|group| cluster::ClusterConfig { more: "\n[copies]\ncopies = 3\nleast = 2\n".into(), ..group });
    let mut fleet = Fleet::start(&executor, clock, &config).expect("three backends");
    let run = async {
        wait_until("bootstrapped", &fleet, &[0, 1, 2], agreed(3)).await;
        assert!(fleet.wait_until_up(clock, 20_000.0).await);
        let addresses = fleet.addresses();
        let work = WorkSpec { number: 1, work_ms: 5.0, outbound_calls: 0, idempotency: Idempotency::Keyed };
        let body = work.body();
        let call = keyed_call(&body);
        let succeeded = Outcome::Succeeded(work.result());
        let client = BasicClient::new(&executor, &addresses, 1);
        assert_eq!(client.attempt(addresses[0], &call).await, succeeded);
        for member in [0, 1] {
            let before = wait_until("a common view", &fleet, &[0, 1, 2], agreed(3)).await[0].view;
            fleet.apply_fault(&Fault::Kill { member, folder: Folder::Kept }, FaultPhase::Begins, 3);
            fleet.apply_fault(&Fault::Kill { member, folder: Folder::Kept }, FaultPhase::Ends, 3);
            // The restart changes the view, although the member was never removed.
            wait_until("readmitted", &fleet, &[0, 1, 2], |all| agreed(3)(all) && all[0].view > before).await;
        }
        let client = BasicClient::new(&executor, &addresses, 2);
        let started = Instant::now();
        let mut outcome = client.attempt(addresses[2], &call).await;
        // The replica may not know the newest view yet; it then rejects the call with a retry-after.
        while outcome != succeeded && started.elapsed() < Duration::from_secs(20) {
            assert!(matches!(outcome, Outcome::Rejected), "{outcome:?}");
            Timer::after(Duration::from_millis(200)).await;
            outcome = client.attempt(addresses[2], &call).await;
        }
        assert_eq!(outcome, succeeded);
        assert_eq!(fleet.effects.borrow().executions(), 1);
    };
    async_io::block_on(executor.run(run));
}

fn ask_zones(address: SocketAddr, request: &Request) -> Option<Response> {
    let question = Question::Part { part: "zones".into(), bytes: plain(request) };
    match ask(address, question)? {
        Answer::Part(bytes) => decode(&bytes).ok(),
        _ => None,
    }
}

/// Waits until `holds` is true of the traffic plans that all named members follow.
async fn wait_until_planned(
    awaited: &str,
    fleet: &Fleet,
    members: &[usize],
    holds: impl Fn(&ZonesStatus) -> bool,
) {
    let started = Instant::now();
    loop {
        let addresses: Vec<SocketAddr> =
            members.iter().map(|m| fleet.cluster.as_ref().expect("a cluster").members[*m].address).collect();
        let all = off_thread(move || {
            addresses
                .into_iter()
                .map(|address| ask_zones(address, &Request::Status))
                .collect::<Option<Vec<Response>>>()
        })
        .await;
        let statuses = all.iter().flatten().map(|response| match response {
            Response::Status(status) => status.is_active && holds(status),
            _ => false,
        });
        if all.is_some() && statuses.into_iter().all(|holds| holds) {
            return;
        }
        assert!(started.elapsed() < Duration::from_secs(60), "{awaited}: {all:#?}");
        Timer::after(Duration::from_millis(50)).await;
    }
}

/// Runs blocking work on another thread, because the simulated peers run on this one.
async fn off_thread<T: Send + 'static>(work: impl FnOnce() -> Option<T> + Send + 'static) -> Option<T> {
    let (sender, result) = async_channel::bounded(1);
    std::thread::spawn(move || sender.send_blocking(work()));
    result.recv().await.ok().flatten()
}

/// All members follow one traffic plan: a lost zone is excluded and returned to when it is back. A manual shift is
/// accepted by the leader only and from one operator at a time, and it ends on request.
#[test]
#[expect(clippy::too_many_lines, reason = "one sequence of steps on real processes")]
fn all_members_follow_one_traffic_plan() {
    let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
    let clock = Clock::start();
    let mut config = fleet_config(true);
    let more =
        "\n[zone z1]\nregion = r1\n[zone z2]\nregion = r1\n[zone z3]\nregion = r1\n[zones]\nwell_ms = 500\n";
    config.cluster = config.cluster.map(|group| cluster::ClusterConfig { more: more.into(), ..group });
    let mut fleet = Fleet::start(&executor, clock, &config).expect("three backends");
    let run = async {
        wait_until("bootstrapped", &fleet, &[0, 1, 2], agreed(3)).await;
        assert!(fleet.wait_until_up(clock, 20_000.0).await);
        let is_local_only = |status: &ZonesStatus| {
            !status.plan.is_excluded.contains(&true)
                && status.plan.max_difference(&TrafficPlan::all_near(3)) < 1e-6
        };
        wait_until_planned("local traffic only", &fleet, &[0, 1, 2], is_local_only).await;
        fleet.apply_fault(&Fault::Kill { member: 1, folder: Folder::Wiped }, FaultPhase::Begins, 3);
        wait_until_planned("z2 excluded", &fleet, &[0, 2], |status| {
            status.plan.is_excluded == [false, true, false]
        })
        .await;
        fleet.apply_fault(&Fault::Kill { member: 1, folder: Folder::Wiped }, FaultPhase::Ends, 3);
        wait_until_planned("z2 included again", &fleet, &[0, 1, 2], is_local_only).await;
        let shift_request = |operator: &str| {
            Request::Shift(ShiftRequest {
                zone: "z3".into(),
                duration_ms: 60_000.0,
                reason: "work".into(),
                operator: operator.into(),
                is_forced: false,
            })
        };
        // Followers name the leader in their refusal; the leader accepts the shift.
        let addresses: Vec<SocketAddr> =
            fleet.cluster.as_ref().expect("a cluster").members.iter().map(|m| m.address).collect();
        let mut accepted_by = None;
        let started = Instant::now();
        while accepted_by.is_none() && started.elapsed() < Duration::from_secs(60) {
            for address in addresses.clone() {
                let shift = shift_request("ann");
                match off_thread(move || ask_zones(address, &shift)).await {
                    Some(Response::Done(_)) => accepted_by = Some(address),
                    Some(Response::Refused(why)) => assert!(why.contains("leads"), "{why}"),
                    other => assert!(other.is_none(), "{other:?}"),
                }
                if accepted_by.is_some() {
                    break;
                }
            }
        }
        let leader = accepted_by.expect("a leader");
        wait_until_planned("z3 shifted", &fleet, &[0, 1, 2], |status| {
            status.plan.is_excluded == [false, false, true] && status.plan.shifts.len() == 1
        })
        .await;
        let second_shift = shift_request("bob");
        let second = off_thread(move || ask_zones(leader, &second_shift)).await;
        assert!(
            matches!(&second, Some(Response::Refused(why)) if why.contains("by ann already")),
            "{second:?}"
        );
        let end = off_thread(move || ask_zones(leader, &Request::EndShift { zone: "z3".into() })).await;
        assert!(matches!(end, Some(Response::Done(_))), "{end:?}");
        wait_until_planned("z3 included again", &fleet, &[0, 1, 2], |status| {
            is_local_only(status) && status.plan.shifts.is_empty()
        })
        .await;
    };
    async_io::block_on(executor.run(run));
}

/// Counts the threads of the first backend, or its descriptors except files and pipes, which a process may inherit.
fn count_entries(fleet: &Fleet, directory: &str) -> usize {
    let id = fleet.backends[0].process_id().expect("the process runs");
    let entries = std::fs::read_dir(format!("/proc/{id}/{directory}")).expect("a process");
    let is_counted = |entry: std::fs::DirEntry| {
        std::fs::read_link(entry.path()).map_or(directory == "task", |to| {
            let to = to.to_string_lossy().into_owned();
            to.starts_with("socket:") || to.starts_with("anon_inode:")
        })
    };
    entries.flatten().filter_map(|entry| is_counted(entry).then_some(())).count()
}

/// Without a cluster there is no additional listener, thread or descriptor; with one there is one more thread.
#[test]
fn no_thread_or_descriptor_without_a_cluster() {
    let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
    let clock = Clock::start();
    let fleet = Fleet::start(&executor, clock, &fleet_config(false)).expect("three backends");
    let with_cluster = Fleet::start(&executor, clock, &fleet_config(true)).expect("three backends");
    let run = async {
        assert!(
            fleet.wait_until_up(clock, 20_000.0).await && with_cluster.wait_until_up(clock, 20_000.0).await
        );
        wait_until("bootstrapped", &with_cluster, &[0, 1, 2], agreed(3)).await;
        // The health check connections of `up` close first.
        let started = Instant::now();
        while count_entries(&fleet, "fd") > OFF_DESCRIPTORS && started.elapsed() < Duration::from_secs(60) {
            Timer::after(Duration::from_millis(50)).await;
        }
    };
    async_io::block_on(executor.run(run));
    assert_eq!((count_entries(&fleet, "task"), count_entries(&fleet, "fd")), (OFF_THREADS, OFF_DESCRIPTORS));
    assert_eq!(count_entries(&with_cluster, "task"), OFF_THREADS + 1);
    assert!(count_entries(&with_cluster, "fd") > OFF_DESCRIPTORS);
}

/// Number of threads without a cluster: the main thread and the reactor's.
const OFF_THREADS: usize = 2;
/// Number of descriptors without a cluster: three of the reactor and eight sockets (signals, listener, agent,
/// registry).
const OFF_DESCRIPTORS: usize = 11;
