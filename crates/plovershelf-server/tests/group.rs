//! Real processes as one group: founded, one lost with its folder, one stopped, a way cut; and without a group nothing more
//! than before.

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

fn plan(group: bool) -> FleetConfig {
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
        cluster: group.then(|| cluster::ClusterConfig {
            zones: 3,
            founders: 3,
            folders: true,
            more: String::new(),
        }),
        peer_paths: false,
    }
}

fn ask(at: SocketAddr, question: Question) -> Option<Answer> {
    let mut stream = TcpStream::connect(at).ok()?;
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

fn status(at: SocketAddr) -> Option<Status> {
    match ask(at, Question::Status)? {
        Answer::Status(status) => Some(*status),
        _ => None,
    }
}

/// Waits until that holds of what all the named members answer; a minute is more than any machine needs.
async fn until(
    what: &str,
    fleet: &Fleet,
    members: &[usize],
    holds: impl Fn(&[Status]) -> bool,
) -> Vec<Status> {
    let began = Instant::now();
    let cluster = fleet.cluster.as_ref().expect("a group");
    loop {
        let addresses: Vec<SocketAddr> = members.iter().map(|m| cluster.members[*m].address).collect();
        let asked = off_thread(move || addresses.into_iter().map(status).collect::<Option<Vec<Status>>>());
        if let Some(all) = asked.await {
            if holds(&all) {
                return all;
            }
            assert!(began.elapsed() < Duration::from_secs(60), "{what}: {all:#?}");
        }
        assert!(began.elapsed() < Duration::from_secs(60), "{what}");
        Timer::after(Duration::from_millis(50)).await;
    }
}

/// All answer with one view of so many members, and all may act by it.
fn agreed(count: usize) -> impl Fn(&[Status]) -> bool {
    move |all| {
        let view = all[0].view;
        all.iter().all(|s| s.may_act == Some(view) && s.view == view && s.view_members.len() == count)
    }
}

/// A real cluster bootstraps, loses a member with its storage, has one paused and one that is not ready. Each is removed from
/// the view and joins again, the one without its storage as a new node.
#[test]
fn a_cluster_bootstraps_and_removes_and_readmits_a_lost_a_paused_and_an_unready_member() {
    let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
    let clock = Clock::start();
    let mut fleet = Fleet::start(&executor, clock, &plan(true)).expect("three backends");
    let run = async {
        let first = until("founded", &fleet, &[0, 1, 2], agreed(3)).await;
        let node_id = first[1].node_id;
        assert_eq!(first.iter().filter(|s| s.leads).count(), 1);
        fleet.apply_fault(&Fault::Kill { member: 1, folder: Folder::Wiped }, FaultPhase::Begins, 3);
        let out = until("out", &fleet, &[0, 2], agreed(2)).await;
        assert!(!out[0].view_members.contains(&node_id));
        fleet.apply_fault(&Fault::Kill { member: 1, folder: Folder::Wiped }, FaultPhase::Ends, 3);
        // Until its old memory is no voter any more, there are four of whom one is lost: the next loss would be one too many.
        let voters = |all: &[Status]| {
            let voters: Vec<bool> = all[0].members.iter().filter(|m| m.voter).map(|m| m.in_view).collect();
            voters == [true; 3]
        };
        let back = until("back", &fleet, &[0, 1, 2], |all| agreed(3)(all) && voters(all)).await;
        assert_ne!(back[1].node_id, node_id);
        assert!(back[0].view > out[0].view);
        // A member that stood still may not act when it wakes, until it has asked again; all agree again.
        fleet.apply_fault(&Fault::Stop { member: 2 }, FaultPhase::Begins, 3);
        until("stopped one out", &fleet, &[0, 1], agreed(2)).await;
        fleet.apply_fault(&Fault::Stop { member: 2 }, FaultPhase::Ends, 3);
        until("stopped one back", &fleet, &[0, 1, 2], agreed(3)).await;
        // One that does no work is put out, though it answers.
        fleet.apply_fault(&Fault::Unfit { member: 0 }, FaultPhase::Begins, 3);
        until("unfit one out", &fleet, &[1, 2], agreed(2)).await;
        fleet.apply_fault(&Fault::Unfit { member: 0 }, FaultPhase::Ends, 3);
        until("unfit one back", &fleet, &[0, 1, 2], agreed(3)).await;
    };
    async_io::block_on(executor.run(run));
}

/// Two of three voters are lost for good: nothing is committed and nobody may act. One command with the right names begins a new
/// epoch; one that comes too early, or with an unknown name, is refused.
#[test]
fn a_lost_majority_is_replaced_by_one_command_and_by_no_other() {
    let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
    let clock = Clock::start();
    let mut fleet = Fleet::start(&executor, clock, &plan(true)).expect("three backends");
    let run = async {
        until("founded", &fleet, &[0, 1, 2], agreed(3)).await;
        let at = fleet.cluster.as_ref().expect("a group").members[2].address;
        let recover = move |lost: &[&str]| {
            let lost = lost.iter().map(|name| name.to_string()).collect();
            off_thread(move || ask(at, Question::Recover { lost }))
        };
        let early = recover(&["n1"]).await;
        assert!(matches!(early, Some(Answer::Refused(why)) if why.contains("can decide by themselves")));
        for member in [0, 1] {
            fleet.apply_fault(&Fault::Kill { member, folder: Folder::Wiped }, FaultPhase::Begins, 3);
        }
        until("undecided", &fleet, &[2], |all| all[0].no_leader_ms.is_some() && all[0].may_act.is_none())
            .await;
        let unknown = recover(&["n7"]).await;
        assert!(matches!(unknown, Some(Answer::Refused(why)) if why.contains("\"n7\" is not in view")));
        let done = recover(&["n1", "n2"]).await;
        assert!(matches!(&done, Some(Answer::Done(what)) if what.contains("council 2")), "{done:?}");
        until("alone", &fleet, &[2], agreed(1)).await;
        for member in [0, 1] {
            fleet.apply_fault(&Fault::Kill { member, folder: Folder::Wiped }, FaultPhase::Ends, 3);
        }
        let all = until("whole", &fleet, &[0, 1, 2], agreed(3)).await;
        assert!(all.iter().all(|s| s.epoch_number == 2));
    };
    async_io::block_on(executor.run(run));
}

/// One ticket's try.
fn ticketed(body: &[u8]) -> Call<'_> {
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

/// A repeat that reaches another backend gets the result, also when the one that ran it is lost with its disk.
#[test]
fn a_ticket_runs_once_at_whichever_backend_its_tries_arrive() {
    let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
    let clock = Clock::start();
    let mut plan = plan(true);
    plan.cluster = plan
        .cluster
        .map(|group| cluster::ClusterConfig { more: "\n[copies]\ncopies = 3\nleast = 2\n".into(), ..group });
    let mut fleet = Fleet::start(&executor, clock, &plan).expect("three backends");
    let run = async {
        until("founded", &fleet, &[0, 1, 2], agreed(3)).await;
        assert!(fleet.up(clock, 20_000.0).await);
        let addresses = fleet.addresses();
        let caller = BasicClient::new(&executor, &addresses, 1);
        let work = WorkSpec { number: 1, work_ms: 5.0, outbound_calls: 0, idempotency: Idempotency::Keyed };
        let body = work.body();
        let asked = ticketed(&body);
        let well = Outcome::Succeeded(work.result());
        assert_eq!(caller.attempt(addresses[0], &asked).await, well);
        assert_eq!(caller.attempt(addresses[1], &asked).await, well);
        assert_eq!(fleet.effects.borrow().executions(), 1);
        fleet.apply_fault(&Fault::Kill { member: 0, folder: Folder::Wiped }, FaultPhase::Begins, 3);
        until("out", &fleet, &[1, 2], agreed(2)).await;
        assert_eq!(caller.attempt(addresses[2], &asked).await, well);
        assert_eq!(caller.attempt(addresses[1], &asked).await, well);
        let effects = fleet.effects.borrow();
        assert!(effects.executions() == 1 && effects.repeated_keyed_launches().is_empty());
    };
    async_io::block_on(executor.run(run));
}

/// Two that had a ticket's end are killed and started anew at once, with their folders: their names and memories are back and
/// belong to the view all the while, but what their processes held is gone. They count as holders no more, and the
/// result is copied to them anew from the one that is left.
#[test]
fn one_that_is_back_at_once_with_its_folder_holds_nothing_until_it_is_copied_anew() {
    let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
    let clock = Clock::start();
    let mut plan = plan(true);
    plan.cluster = plan
        .cluster
        .map(|group| cluster::ClusterConfig { more: "\n[copies]\ncopies = 3\nleast = 2\n".into(), ..group });
    let mut fleet = Fleet::start(&executor, clock, &plan).expect("three backends");
    let run = async {
        until("founded", &fleet, &[0, 1, 2], agreed(3)).await;
        assert!(fleet.up(clock, 20_000.0).await);
        let addresses = fleet.addresses();
        let work = WorkSpec { number: 1, work_ms: 5.0, outbound_calls: 0, idempotency: Idempotency::Keyed };
        let body = work.body();
        let asked = ticketed(&body);
        let well = Outcome::Succeeded(work.result());
        let caller = BasicClient::new(&executor, &addresses, 1);
        assert_eq!(caller.attempt(addresses[0], &asked).await, well);
        for member in [0, 1] {
            let before = until("one view", &fleet, &[0, 1, 2], agreed(3)).await[0].view;
            fleet.apply_fault(&Fault::Kill { member, folder: Folder::Kept }, FaultPhase::Begins, 3);
            fleet.apply_fault(&Fault::Kill { member, folder: Folder::Kept }, FaultPhase::Ends, 3);
            // Its new start is a change of view, though it was never put out.
            until("back", &fleet, &[0, 1, 2], |all| agreed(3)(all) && all[0].view > before).await;
        }
        let caller = BasicClient::new(&executor, &addresses, 2);
        let began = Instant::now();
        let mut ended = caller.attempt(addresses[2], &asked).await;
        // Views may still be on their way to it; then it is told to come back.
        while ended != well && began.elapsed() < Duration::from_secs(20) {
            assert!(matches!(ended, Outcome::Rejected), "{ended:?}");
            Timer::after(Duration::from_millis(200)).await;
            ended = caller.attempt(addresses[2], &asked).await;
        }
        assert_eq!(ended, well);
        assert_eq!(fleet.effects.borrow().executions(), 1);
    };
    async_io::block_on(executor.run(run));
}

fn zones(at: SocketAddr, request: &Request) -> Option<Response> {
    let question = Question::Part { part: "zones".into(), bytes: plain(request) };
    match ask(at, question)? {
        Answer::Part(bytes) => decode(&bytes).ok(),
        _ => None,
    }
}

/// Waits until that holds of the plans that all the named members act by.
async fn until_planned(what: &str, fleet: &Fleet, members: &[usize], holds: impl Fn(&ZonesStatus) -> bool) {
    let began = Instant::now();
    loop {
        let at: Vec<SocketAddr> =
            members.iter().map(|m| fleet.cluster.as_ref().expect("a group").members[*m].address).collect();
        let all = off_thread(move || {
            at.into_iter().map(|at| zones(at, &Request::Status)).collect::<Option<Vec<Response>>>()
        })
        .await;
        let statuses = all.iter().flatten().map(|told| match told {
            Response::Status(status) => status.is_active && holds(status),
            _ => false,
        });
        if all.is_some() && statuses.into_iter().all(|holds| holds) {
            return;
        }
        assert!(began.elapsed() < Duration::from_secs(60), "{what}: {all:#?}");
        Timer::after(Duration::from_millis(50)).await;
    }
}

/// The stand-ins need this thread, so another does the asking.
async fn off_thread<T: Send + 'static>(work: impl FnOnce() -> Option<T> + Send + 'static) -> Option<T> {
    let (told, asked) = async_channel::bounded(1);
    std::thread::spawn(move || told.send_blocking(work()));
    asked.recv().await.ok().flatten()
}

/// One plan for all: a zone that is lost is off in it, and on again when it is back; a shift by hand is taken by the leader alone, by
/// one operator at a time, and ended by a word.
#[test]
#[expect(clippy::too_many_lines, reason = "one story in order on real processes")]
fn zones_are_left_and_returned_to_by_one_agreed_plan() {
    let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
    let clock = Clock::start();
    let mut plan = plan(true);
    let more =
        "\n[zone z1]\nregion = r1\n[zone z2]\nregion = r1\n[zone z3]\nregion = r1\n[zones]\nwell_ms = 500\n";
    plan.cluster = plan.cluster.map(|group| cluster::ClusterConfig { more: more.into(), ..group });
    let mut fleet = Fleet::start(&executor, clock, &plan).expect("three backends");
    let run = async {
        until("founded", &fleet, &[0, 1, 2], agreed(3)).await;
        assert!(fleet.up(clock, 20_000.0).await);
        let near = |status: &ZonesStatus| {
            !status.plan.is_excluded.contains(&true)
                && status.plan.max_difference(&TrafficPlan::all_near(3)) < 1e-6
        };
        until_planned("all near", &fleet, &[0, 1, 2], near).await;
        fleet.apply_fault(&Fault::Kill { member: 1, folder: Folder::Wiped }, FaultPhase::Begins, 3);
        until_planned("z2 is off", &fleet, &[0, 2], |status| status.plan.is_excluded == [false, true, false])
            .await;
        fleet.apply_fault(&Fault::Kill { member: 1, folder: Folder::Wiped }, FaultPhase::Ends, 3);
        until_planned("z2 is back", &fleet, &[0, 1, 2], near).await;
        let wish = |by: &str| {
            Request::Shift(ShiftRequest {
                zone: "z3".into(),
                duration_ms: 60_000.0,
                reason: "work".into(),
                operator: by.into(),
                is_forced: false,
            })
        };
        // Whoever does not lead says who does; the one that leads takes it.
        let at: Vec<SocketAddr> =
            fleet.cluster.as_ref().expect("a group").members.iter().map(|m| m.address).collect();
        let mut taken = None;
        let began = Instant::now();
        while taken.is_none() && began.elapsed() < Duration::from_secs(60) {
            for at in at.clone() {
                let shift = wish("ann");
                match off_thread(move || zones(at, &shift)).await {
                    Some(Response::Done(_)) => taken = Some(at),
                    Some(Response::Refused(why)) => assert!(why.contains("leads"), "{why}"),
                    other => assert!(other.is_none(), "{other:?}"),
                }
                if taken.is_some() {
                    break;
                }
            }
        }
        let leader = taken.expect("one leads");
        until_planned("z3 is shifted", &fleet, &[0, 1, 2], |status| {
            status.plan.is_excluded == [false, false, true] && status.plan.shifts.len() == 1
        })
        .await;
        let second = wish("bob");
        let second = off_thread(move || zones(leader, &second)).await;
        assert!(
            matches!(&second, Some(Response::Refused(why)) if why.contains("by ann already")),
            "{second:?}"
        );
        let back = off_thread(move || zones(leader, &Request::EndShift { zone: "z3".into() })).await;
        assert!(matches!(back, Some(Response::Done(_))), "{back:?}");
        until_planned("z3 is returned to", &fleet, &[0, 1, 2], |status| {
            near(status) && status.plan.shifts.is_empty()
        })
        .await;
    };
    async_io::block_on(executor.run(run));
}

/// Threads, or descriptors but for files and pipes, which a process may be given by the one that starts it.
fn counted(fleet: &Fleet, what: &str) -> usize {
    let id = fleet.backends[0].process_id().expect("it runs");
    let entries = std::fs::read_dir(format!("/proc/{id}/{what}")).expect("a process");
    let own = |entry: std::fs::DirEntry| {
        std::fs::read_link(entry.path()).map_or(what == "task", |to| {
            let to = to.to_string_lossy().into_owned();
            to.starts_with("socket:") || to.starts_with("anon_inode:")
        })
    };
    entries.flatten().filter_map(|entry| own(entry).then_some(())).count()
}

/// Off: no listener, thread or descriptor more. With a group: one thread more.
#[test]
fn without_a_group_there_is_no_thread_and_no_descriptor_for_it() {
    let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
    let clock = Clock::start();
    let fleet = Fleet::start(&executor, clock, &plan(false)).expect("three backends");
    let with = Fleet::start(&executor, clock, &plan(true)).expect("three backends");
    let run = async {
        assert!(fleet.up(clock, 20_000.0).await && with.up(clock, 20_000.0).await);
        until("founded", &with, &[0, 1, 2], agreed(3)).await;
        // Those that looked whether it listens leave first.
        let began = Instant::now();
        while counted(&fleet, "fd") > OFF_DESCRIPTORS && began.elapsed() < Duration::from_secs(60) {
            Timer::after(Duration::from_millis(50)).await;
        }
    };
    async_io::block_on(executor.run(run));
    assert_eq!((counted(&fleet, "task"), counted(&fleet, "fd")), (OFF_THREADS, OFF_DESCRIPTORS));
    assert_eq!(counted(&with, "task"), OFF_THREADS + 1);
    assert!(counted(&with, "fd") > OFF_DESCRIPTORS);
}

/// As the program had before there were groups: the main thread and the reactor's; three of the reactor, eight sockets
/// (signals, listener, agent, roster).
const OFF_THREADS: usize = 2;
const OFF_DESCRIPTORS: usize = 11;
