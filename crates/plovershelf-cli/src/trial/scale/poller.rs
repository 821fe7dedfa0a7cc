//! Polls the status of each member over a persistent connection, and derives from the responses which members still
//! consider a killed member alive, when each change came into force on each member, and whether all members report the
//! same content for one version number.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use plovershelf_cluster::status::{Answer, Brief, Question, Status};
use plovershelf_cluster::wire::{decode, encode_frame, encode_payload, read_frame, Hello, Wire};
use plovershelf_config_distribution::Edit;
use plovershelf_server::config_distribution::admin::{self, AdminRequest, AdminResponse, StatusReport};
use plovershelf_testkit::{Clock, Executor};
use socket2::{Domain, Protocol, Socket, Type};

use super::processes::{Mode, GROUP};

/// Prefix of an origin's response to a committed change; the change's number follows.
const COMMITTED_PREFIX: &str = "agreed as number ";
/// Time after which a proposed change counts as not committed.
const PROPOSE_TIMEOUT_MS: f64 = 8000.0;

fn admin_question(request: &AdminRequest) -> Question {
    Question::Part { part: admin::KEY.into(), bytes: encode_payload(request) }
}

/// Address that the trial polls from, which separates its traffic from the members'.
pub const POLLER_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 99, 0, 1);
/// Interval between two polls of one member.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);
const POLL_TIMEOUT: Duration = Duration::from_millis(3000);

/// A connection to one member.
struct Connection {
    stream: Async<TcpStream>,
    bytes: Vec<u8>,
}

impl Connection {
    async fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.bind(&SocketAddr::from((POLLER_ADDRESS, 0)).into())?;
        // A non-blocking connect is complete once the socket is writable.
        if let Err(error) = socket.connect(&address.into()) {
            if error.raw_os_error() != Some(EINPROGRESS) && error.kind() != std::io::ErrorKind::WouldBlock {
                return Err(error);
            }
        }
        let stream = Async::new(TcpStream::from(socket))?;
        stream.writable().await?;
        if let Some(error) = stream.get_ref().take_error()? {
            return Err(error);
        }
        stream.get_ref().set_nodelay(true)?;
        (&stream).write_all(&encode_frame(&Hello::of(GROUP))).await?;
        Ok(Connection { stream, bytes: Vec::new() })
    }

    async fn ask(&mut self, question: &Question) -> std::io::Result<Answer> {
        (&self.stream).write_all(&encode_frame(&Wire::Question(question.clone()))).await?;
        let mut chunk = vec![0; 16 << 10];
        loop {
            if let Some((content, used)) =
                read_frame(&self.bytes).map_err(|error| std::io::Error::other(error.to_string()))?
            {
                let wire = decode::<Wire>(content);
                self.bytes.drain(..used);
                return match wire {
                    Ok(Wire::Answer(answer)) => Ok(*answer),
                    _ => Err(std::io::Error::other("unexpected message instead of an answer")),
                };
            }
            match (&self.stream).read(&mut chunk).await? {
                0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                count => self.bytes.extend_from_slice(&chunk[..count]),
            }
        }
    }
}

/// Linux's error number for a non-blocking connect in progress.
const EINPROGRESS: i32 = 115;

/// Status that one member reported.
#[derive(Clone, Debug)]
pub enum MemberStatus {
    Group(Brief),
    ConfigDistribution(Box<StatusReport>),
}

/// A member that the trial killed, and when each other member detected the failure.
#[derive(Clone, Debug)]
pub struct KilledMember {
    pub name: String,
    pub address: SocketAddr,
    pub killed_at_ms: f64,
    /// Detection time in milliseconds by observer: its first response that no longer lists the member, after its last
    /// response that did.
    pub detected_at_ms: BTreeMap<usize, f64>,
    /// Members that were running when the member was killed, and are polled for it.
    pub observers: BTreeSet<usize>,
}

/// A proposed change: a value of the group, or a change of the distributed configuration.
#[derive(Clone, Debug)]
pub struct ProposedChange {
    /// Version number of the value.
    pub number: u64,
    /// Time of the response to the proposer, or of the first response of a member that has the change.
    pub agreed_at_ms: Option<f64>,
    /// Time of the first response with the change, by member.
    pub in_force_at_ms: BTreeMap<usize, f64>,
}

/// Key of the value that the scenario changes.
pub const KEY: &str = "scale";

/// Accumulated observations from all responses.
#[derive(Default)]
pub struct Observations {
    /// Latest status of each member, and the time of its response.
    pub latest: BTreeMap<usize, (f64, MemberStatus)>,
    pub killed: Vec<KilledMember>,
    pub changes: Vec<ProposedChange>,
    /// Distinct checksums by epoch, key and version number.
    checksums: BTreeMap<(u64, String, u64), BTreeSet<u128>>,
    /// Distinct member lists by epoch and view number.
    views: BTreeMap<(u64, u64), BTreeSet<Vec<u64>>>,
    /// Member by the node id that it reported.
    members_by_node_id: BTreeMap<u64, usize>,
    /// Number of polls.
    pub polls: u64,
    /// Polls that failed or timed out.
    pub unanswered: u64,
    /// Proposed changes.
    pub proposed: usize,
    /// Proposed changes that have been neither committed nor abandoned.
    pub pending: usize,
    /// Refused proposals, which are proposed again.
    pub refused: usize,
    /// Largest age of the latest origin message on each listener, in milliseconds.
    pub max_age_ms: BTreeMap<usize, f64>,
    /// Time of that largest age, and the listener's parent and backup parent then.
    pub max_age_context: BTreeMap<usize, (f64, [Option<SocketAddr>; 2])>,
}

impl Observations {
    /// Records the status of a member, which was requested at `polled_at_ms` and received at `answered_at_ms`.
    pub fn record_status(
        &mut self,
        member: usize,
        polled_at_ms: f64,
        answered_at_ms: f64,
        status: MemberStatus,
    ) {
        let (alive_names, epoch, values) = match &status {
            MemberStatus::Group(brief) => {
                let values =
                    brief.values.iter().map(|(key, number, sum)| (key.clone(), *number, u128::from(*sum)));
                self.members_by_node_id.insert(brief.node_id, member);
                (brief.alive_of.clone(), brief.epoch, values.collect::<Vec<_>>())
            }
            // A listener that has a killed member as parent or backup parent has not detected its failure.
            MemberStatus::ConfigDistribution(report) => {
                let parents = [report.node.parent, report.node.backup_parent];
                let undetected = self.killed.iter().filter(|killed| parents.contains(&Some(killed.address)));
                let alive_names = undetected.map(|killed| killed.name.clone()).collect();
                if !report.is_origin {
                    let max_age_ms = self.max_age_ms.entry(member).or_default();
                    let age_ms = report.node.age_ms.unwrap_or(f64::INFINITY);
                    if age_ms > *max_age_ms {
                        *max_age_ms = age_ms;
                        self.max_age_context.insert(member, (answered_at_ms, parents));
                    }
                }
                let version = report.node.version;
                (alive_names, version.epoch, vec![(KEY.to_string(), version.number, report.node.digest)])
            }
        };
        let observed = |killed: &&mut KilledMember| {
            killed.observers.contains(&member) && killed.killed_at_ms <= polled_at_ms
        };
        for killed in self.killed.iter_mut().filter(observed) {
            if alive_names.contains(&killed.name) {
                killed.detected_at_ms.remove(&member);
            } else {
                killed.detected_at_ms.entry(member).or_insert(answered_at_ms);
            }
        }
        let number = values.iter().find(|(key, ..)| key == KEY).map_or(0, |(_, number, _)| *number);
        for change in self.changes.iter_mut().filter(|change| change.number <= number) {
            let agreed_at_ms = change.agreed_at_ms.get_or_insert(answered_at_ms);
            *agreed_at_ms = agreed_at_ms.min(answered_at_ms);
            change.in_force_at_ms.entry(member).or_insert(answered_at_ms);
        }
        // Version 0 is each member's initial value, which was never agreed on.
        for (key, number, checksum) in values.into_iter().filter(|(_, number, _)| *number > 0) {
            self.checksums.entry((epoch, key, number)).or_default().insert(checksum);
        }
        self.latest.insert(member, (answered_at_ms, status));
    }

    /// Returns the total number of listeners that the origins report.
    pub fn listeners_counted_by_origins(&self) -> u64 {
        let listeners = |(_, status): &(f64, MemberStatus)| match status {
            MemberStatus::ConfigDistribution(report) if report.is_origin => report.node.nodes,
            _ => 0,
        };
        self.latest.values().map(listeners).sum()
    }

    /// Returns how many listeners receive configuration from this listener; 0 for an origin.
    pub fn children(&self, member: usize) -> u64 {
        match self.latest.get(&member) {
            Some((_, MemberStatus::ConfigDistribution(report))) if !report.is_origin => report.node.children,
            _ => 0,
        }
    }

    /// Records the members of the current view of a member.
    pub fn record_view(&mut self, status: &Status) {
        let members = status.view_members.clone();
        self.views.entry((status.epoch, status.view)).or_default().insert(members);
    }

    /// Returns how many version numbers of values and views were observed with different contents.
    pub fn conflicting_versions(&self) -> usize {
        let values = self.checksums.values().filter(|checksums| checksums.len() > 1).count();
        values + self.views.values().filter(|members| members.len() > 1).count()
    }

    /// Returns how many members were removed from a view although the trial never touched them.
    pub fn healthy_members_removed(&self, touched: impl Fn(usize) -> bool) -> usize {
        let views: Vec<&Vec<u64>> = self.views.values().filter_map(|members| members.first()).collect();
        let mut removed: BTreeSet<usize> = BTreeSet::new();
        for pair in views.windows(2) {
            let later: BTreeSet<u64> = pair[1].iter().copied().collect();
            let (before, after) = (pair[0].len(), pair[1].len());
            tracing::debug!(event = "views", before, after);
            let missing = pair[0].iter().filter(|node_id| !later.contains(node_id));
            let missing = missing.filter_map(|node_id| self.members_by_node_id.get(node_id));
            removed.extend(missing.filter(|member| !touched(**member)));
        }
        removed.len()
    }

    /// Returns the names of the latest killed members, as many as one question may contain.
    fn names_to_query(&self) -> Vec<String> {
        let first = self.killed.len().saturating_sub(plovershelf_cluster::status::MAX_BRIEF_NAMES);
        self.killed[first..].iter().map(|killed| killed.name.clone()).collect()
    }
}

/// Polls members periodically, each in a task of its own.
#[derive(Clone)]
pub struct Poller {
    executor: Executor,
    pub clock: Clock,
    mode: Mode,
    pub observations: Rc<RefCell<Observations>>,
    /// True while no member is polled.
    paused: Rc<Cell<bool>>,
    /// Members that are no longer polled.
    stopped: Rc<RefCell<BTreeSet<usize>>>,
}

impl Poller {
    pub fn new(executor: &Executor, clock: Clock, mode: Mode) -> Self {
        let (executor, paused) = (executor.clone(), Rc::new(Cell::new(false)));
        Poller { executor, clock, mode, observations: Rc::default(), paused, stopped: Rc::default() }
    }

    pub fn set_paused(&self, paused: bool) {
        self.paused.set(paused);
    }

    /// Stops polling a member.
    pub fn stop_polling(&self, member: usize) {
        self.stopped.borrow_mut().insert(member);
    }

    /// Starts polling a member; with `full_status` each poll also requests its full status, which is long.
    pub fn poll_member(&self, member: usize, address: SocketAddr, full_status: bool) {
        let poller = self.clone();
        let poll = async move {
            // Spreads the members' polls over the interval.
            Timer::after(POLL_INTERVAL * (member as u32 % 16) / 16).await;
            let mut connection = None;
            while !poller.stopped.borrow().contains(&member) {
                if !poller.paused.get() {
                    poller.poll_once(member, address, full_status, &mut connection).await;
                }
                Timer::after(POLL_INTERVAL).await;
            }
        };
        self.executor.spawn(poll).detach();
    }

    async fn poll_once(
        &self,
        member: usize,
        address: SocketAddr,
        full_status: bool,
        connection: &mut Option<Connection>,
    ) {
        let polled_at_ms = self.clock.now();
        let names = self.observations.borrow().names_to_query();
        let (open, mode) = (&mut *connection, self.mode);
        let ask = async move {
            if open.is_none() {
                *open = Some(Connection::connect(address).await?);
            }
            let Some(connection) = open.as_mut() else { return Ok((None, None)) };
            if mode == Mode::ConfigDistribution {
                return Ok((Some(connection.ask(&admin_question(&AdminRequest::Status)).await?), None));
            }
            let brief = connection.ask(&Question::Brief { names }).await?;
            let status = if full_status { Some(connection.ask(&Question::Status).await?) } else { None };
            Ok::<_, std::io::Error>((Some(brief), status))
        };
        let timeout = async {
            Timer::after(POLL_TIMEOUT).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let answer = future::or(ask, timeout).await;
        let mut observations = self.observations.borrow_mut();
        observations.polls += 1;
        match answer {
            _ if self.stopped.borrow().contains(&member) => {}
            Ok((Some(Answer::Brief(brief)), status)) => {
                let member_status = MemberStatus::Group(*brief);
                observations.record_status(member, polled_at_ms, self.clock.now(), member_status);
                if let Some(Answer::Status(status)) = status {
                    observations.record_view(&status);
                }
            }
            Ok((Some(Answer::Part(bytes)), _)) => {
                if let Ok(AdminResponse::Status(report)) = decode(&bytes) {
                    let member_status = MemberStatus::ConfigDistribution(report);
                    observations.record_status(member, polled_at_ms, self.clock.now(), member_status);
                }
            }
            Ok(_) => {}
            Err(_) => {
                observations.unanswered += 1;
                *connection = None;
            }
        }
    }

    /// Has an origin propose a change. A proposal that is refused because another change was committed first is retried.
    pub fn propose(&self, address: SocketAddr, edits: Vec<Edit>) {
        let poller = self.clone();
        let propose = async move {
            let question = admin_question(&AdminRequest::Propose { edits, after: None });
            let deadline_ms = poller.clock.now() + PROPOSE_TIMEOUT_MS;
            let mut connection = None;
            while poller.clock.now() < deadline_ms {
                let answer = async {
                    if connection.is_none() {
                        connection = Some(Connection::connect(address).await?);
                    }
                    match connection.as_mut() {
                        Some(connection) => connection.ask(&question).await,
                        None => Err(std::io::ErrorKind::NotConnected.into()),
                    }
                };
                let timeout = async {
                    Timer::after(POLL_TIMEOUT * 2).await;
                    Err(std::io::ErrorKind::TimedOut.into())
                };
                let response = match future::or(answer, timeout).await {
                    Ok(Answer::Part(bytes)) => decode::<AdminResponse>(&bytes).ok(),
                    _ => None,
                };
                let number = match &response {
                    Some(AdminResponse::Committed(text)) => {
                        text.strip_prefix(COMMITTED_PREFIX).and_then(|number| number.parse().ok())
                    }
                    _ => None,
                };
                if let Some(number) = number {
                    return poller.record_committed(number);
                }
                let refused = poller.count_refusal();
                match response {
                    Some(response) => tracing::debug!(event = "refused", "{response:?}"),
                    None => connection = None,
                }
                Timer::after(Duration::from_millis(15 + refused % 11 * 8)).await;
            }
            tracing::warn!(event = "not_agreed", source = %address, "a change was not committed within {PROPOSE_TIMEOUT_MS} ms");
            poller.observations.borrow_mut().pending -= 1;
        };
        let mut observations = self.observations.borrow_mut();
        (observations.proposed, observations.pending) = (observations.proposed + 1, observations.pending + 1);
        drop(observations);
        self.executor.spawn(propose).detach();
    }

    fn record_committed(&self, number: u64) {
        let mut observations = self.observations.borrow_mut();
        let agreed_at_ms = Some(self.clock.now());
        observations.changes.push(ProposedChange { number, agreed_at_ms, in_force_at_ms: BTreeMap::new() });
        observations.pending -= 1;
    }

    /// Counts a refused proposal and returns the number of refusals so far, which the callers use to spread their retries.
    fn count_refusal(&self) -> u64 {
        let mut observations = self.observations.borrow_mut();
        observations.refused += 1;
        observations.refused as u64
    }

    /// Waits up to `timeout_ms` for `condition` to hold. Returns the time waited in milliseconds, or `None` after the timeout.
    pub async fn wait_until(
        &self,
        timeout_ms: f64,
        condition: impl Fn(&Observations) -> bool,
    ) -> Option<f64> {
        let started_ms = self.clock.now();
        while self.clock.now() - started_ms < timeout_ms {
            if condition(&self.observations.borrow()) {
                return Some(self.clock.now() - started_ms);
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        None
    }
}
