//! Resource usage of processes as the operating system counts it: processor time and resident memory from `/proc`, bytes
//! sent and received from the kernel's counters of each TCP connection. Programs are not asked about themselves. A value
//! that can't be read is `None`, never zero.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use netlink_packet_core::{NetlinkHeader, NetlinkMessage, NetlinkPayload, NLM_F_DUMP, NLM_F_REQUEST};
use netlink_packet_sock_diag::constants::{AF_INET, IPPROTO_TCP};
use netlink_packet_sock_diag::inet::nlas::Nla;
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, SocketId, StateFlags};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_sys::protocols::NETLINK_SOCK_DIAG;

/// Processor time and memory of a process at one point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessUsage {
    /// User and system time since the process started, in milliseconds.
    pub processor_ms: f64,
    pub resident_kb: f64,
}

/// Parses user plus system time in milliseconds from a line of `/proc/PID/stat`. The command name may contain spaces and
/// brackets, so fields are counted from the last closing bracket.
pub fn parse_processor_ms(stat: &str, ticks_per_second: f64) -> Option<f64> {
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut ticks = fields.split(' ').skip(11).map(str::parse::<f64>);
    let (user, system) = (ticks.next()?.ok()?, ticks.next()?.ok()?);
    (ticks_per_second > 0.0).then(|| (user + system) * 1000.0 / ticks_per_second)
}

/// Parses the value in kB of a key in `/proc/PID/status` or `/proc/meminfo`.
pub fn parse_kb(text: &str, key: &str) -> Option<f64> {
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.strip_prefix(':'))?;
    line.trim().strip_suffix(" kB")?.parse().ok()
}

/// Reads the usage of a process; `None` if it has ended or can't be read.
pub fn process(id: u32) -> Option<ProcessUsage> {
    let folder = Path::new("/proc").join(id.to_string());
    let read = |file: &str| std::fs::read_to_string(folder.join(file)).ok();
    let ticks = rustix::param::clock_ticks_per_second() as f64;
    Some(ProcessUsage {
        processor_ms: parse_processor_ms(&read("stat")?, ticks)?,
        resident_kb: parse_kb(&read("status")?, "VmRSS")?,
    })
}

/// Parses `/proc/stat`: busy ticks and all ticks of all cores since boot, of every process on the machine.
pub fn parse_cpu_ticks(stat: &str) -> Option<(f64, f64)> {
    let line = stat.lines().next()?.strip_prefix("cpu ")?;
    let ticks: Vec<f64> = line.split_whitespace().map_while(|field| field.parse().ok()).take(8).collect();
    let all: f64 = ticks.iter().sum();
    (ticks.len() >= 4).then(|| (all - ticks[3] - ticks.get(4).unwrap_or(&0.0), all))
}

/// Reads the machine's busy ticks and all its ticks since boot.
pub fn cpu_ticks() -> Option<(f64, f64)> {
    parse_cpu_ticks(&std::fs::read_to_string("/proc/stat").ok()?)
}

/// Returns the fraction of the machine's processor time that was in use since `before`, which `cpu_ticks` returned.
pub fn busy_fraction_since(before: Option<(f64, f64)>) -> Option<f64> {
    let ((busy, all), (busy_before, all_before)) = (cpu_ticks()?, before?);
    (all > all_before).then(|| (busy - busy_before) / (all - all_before))
}

/// Returns the machine's total memory in kB.
pub fn memory_kb() -> Option<f64> {
    parse_kb(&std::fs::read_to_string("/proc/meminfo").ok()?, "MemTotal")
}

/// Returns the inodes of the sockets that a process has open.
fn socket_inodes(id: u32) -> BTreeSet<u32> {
    let Ok(entries) = std::fs::read_dir(Path::new("/proc").join(id.to_string()).join("fd")) else {
        return BTreeSet::new();
    };
    let inode = |entry: std::io::Result<std::fs::DirEntry>| -> Option<u32> {
        let target = std::fs::read_link(entry.ok()?.path()).ok()?;
        target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok()
    };
    entries.filter_map(inode).collect()
}

/// Counters of one TCP connection: bytes that the peer acknowledged and bytes received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Socket {
    pub local: SocketAddr,
    pub remote: SocketAddr,
    pub inode: u32,
    pub cookie: u64,
    pub sent: u64,
    pub received: u64,
}

/// Parses one netlink datagram of the kernel's socket list into `into`. Returns false after the end of the list.
/// Connections without counters are skipped.
///
/// Errors: the kernel refused the request, or the datagram is malformed.
pub fn parse_sockets(bytes: &[u8], into: &mut Vec<Socket>) -> Result<bool, String> {
    let mut at = 0;
    while at < bytes.len() {
        let message = <NetlinkMessage<SockDiagMessage>>::deserialize(&bytes[at..])
            .map_err(|error| format!("malformed socket list from the kernel: {error}"))?;
        match message.payload {
            NetlinkPayload::Done(_) => return Ok(false),
            NetlinkPayload::Error(error) => {
                return Err(format!("the kernel refused to list sockets: {error}"))
            }
            NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(response)) => {
                let id = &response.header.socket_id;
                let counters = response.nlas.iter().find_map(|nla| match nla {
                    Nla::TcpInfo(info) => Some((info.bytes_acked, info.bytes_received)),
                    _ => None,
                });
                into.extend(counters.map(|(sent, received)| Socket {
                    local: SocketAddr::new(id.source_address, id.source_port),
                    remote: SocketAddr::new(id.destination_address, id.destination_port),
                    inode: response.header.inode,
                    cookie: u64::from_ne_bytes(id.cookie),
                    sent,
                    received,
                }));
            }
            _ => {}
        }
        match message.header.length as usize {
            0 => break,
            length => at += length.next_multiple_of(4),
        }
    }
    Ok(true)
}

/// Lists open connections with the given local port (`accepted`) or the given remote port.
fn sockets(port: u16, accepted: bool) -> Result<Vec<Socket>, String> {
    let failed = |error: std::io::Error| format!("listing sockets over netlink: {error}");
    let mut socket = netlink_sys::Socket::new(NETLINK_SOCK_DIAG).map_err(failed)?;
    socket.bind_auto().map_err(failed)?;
    socket.connect(&netlink_sys::SocketAddr::new(0, 0)).map_err(failed)?;
    let mut socket_id = SocketId::new_v4();
    if accepted {
        socket_id.source_port = port;
    } else {
        socket_id.destination_port = port;
    }
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST | NLM_F_DUMP;
    let states = StateFlags::ESTABLISHED
        | StateFlags::FIN_WAIT1
        | StateFlags::FIN_WAIT2
        | StateFlags::CLOSE_WAIT
        | StateFlags::LAST_ACK
        | StateFlags::CLOSING;
    let extensions = ExtensionFlags::INFO;
    let request = InetRequest { family: AF_INET, protocol: IPPROTO_TCP, extensions, states, socket_id };
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    socket.send(&bytes, 0).map_err(failed)?;
    let (mut found, mut datagram) = (Vec::new(), vec![0; 256 << 10]);
    loop {
        let count = socket.recv(&mut &mut datagram[..], 0).map_err(failed)?;
        if count == 0 || !parse_sockets(&datagram[..count], &mut found)? {
            return Ok(found);
        }
    }
}

/// Bytes in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bytes {
    pub sent: u64,
    pub received: u64,
}

impl Bytes {
    pub fn total(self) -> f64 {
        (self.sent + self.received) as f64
    }
}

/// Counts the bytes on connections among members between the first and the last sample. Bytes that a connection carries
/// between its last sample and its end are not counted, so samples have to be close together.
pub struct TrafficCounter {
    ports: &'static [u16],
    /// Address that the trial polls members from; its connections are not counted.
    poller_address: IpAddr,
    /// Address of the member by process id, for processes with a single member. Outgoing connections are attributed to
    /// these members by socket inode.
    single_member_processes: BTreeMap<u32, IpAddr>,
    /// Counters at the previous sample by the connection's kernel cookie.
    previous: BTreeMap<u64, Bytes>,
    /// Bytes on accepted connections by the accepting member's address.
    pub accepted: BTreeMap<IpAddr, Bytes>,
    /// Bytes on outgoing connections by the connecting member's address.
    pub outgoing: BTreeMap<IpAddr, Bytes>,
    /// Bytes on all connections, counted on the accepting side.
    pub all: Bytes,
    /// Number of accepted connections at the latest sample.
    pub links: usize,
    /// Number of samples taken.
    pub samples: u32,
    /// Time from the first sample to the last, in milliseconds.
    pub span_ms: f64,
}

impl TrafficCounter {
    pub fn new(
        ports: &'static [u16],
        poller_address: IpAddr,
        single_member_processes: BTreeMap<u32, IpAddr>,
    ) -> Self {
        TrafficCounter {
            ports,
            poller_address,
            single_member_processes,
            previous: BTreeMap::new(),
            accepted: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            all: Bytes::default(),
            links: 0,
            samples: 0,
            span_ms: 0.0,
        }
    }

    /// Samples the counters of all connections.
    ///
    /// Errors: the kernel did not list its sockets.
    pub fn sample(&mut self) -> Result<(), String> {
        let owners: BTreeMap<u32, IpAddr> = self
            .single_member_processes
            .iter()
            .flat_map(|(id, address)| socket_inodes(*id).into_iter().map(|inode| (inode, *address)))
            .collect();
        let (mut accepted, mut outgoing) = (Vec::new(), Vec::new());
        for port in self.ports {
            accepted.extend(sockets(*port, true)?);
            outgoing.extend(sockets(*port, false)?);
        }
        self.record_sample(&accepted, &outgoing, &owners);
        Ok(())
    }

    /// Adds the growth of each connection's counters since the previous sample; the first sample only sets the baseline.
    /// `owners` maps socket inodes to the addresses of members.
    pub fn record_sample(
        &mut self,
        accepted: &[Socket],
        outgoing: &[Socket],
        owners: &BTreeMap<u32, IpAddr>,
    ) {
        let mut current = BTreeMap::new();
        let first = self.samples == 0;
        let mut growth = |socket: &Socket, previous: &BTreeMap<u64, Bytes>| -> Bytes {
            let counters = Bytes { sent: socket.sent, received: socket.received };
            current.insert(socket.cookie, counters);
            let baseline = match previous.get(&socket.cookie) {
                Some(baseline) => *baseline,
                None if first => counters,
                None => Bytes::default(),
            };
            Bytes {
                sent: counters.sent.saturating_sub(baseline.sent),
                received: counters.received.saturating_sub(baseline.received),
            }
        };
        let add = |sum: &mut Bytes, more: Bytes| {
            sum.sent += more.sent;
            sum.received += more.received;
        };
        self.links = 0;
        for socket in accepted.iter().filter(|socket| socket.remote.ip() != self.poller_address) {
            let more = growth(socket, &self.previous);
            add(self.accepted.entry(socket.local.ip()).or_default(), more);
            add(&mut self.all, more);
            self.links += 1;
        }
        for socket in outgoing.iter().filter(|socket| socket.local.ip() != self.poller_address) {
            let Some(owner) = owners.get(&socket.inode) else { continue };
            let more = growth(socket, &self.previous);
            add(self.outgoing.entry(*owner).or_default(), more);
        }
        self.previous = current;
        self.samples += 1;
    }

    /// Returns the bytes sent and received on all connections of a member that has a process to itself; `None` before the
    /// second sample and for members without connections.
    pub fn member_total(&self, address: IpAddr) -> Option<f64> {
        let bytes = |sums: &BTreeMap<IpAddr, Bytes>| sums.get(&address).copied();
        let (accepted, outgoing) = (bytes(&self.accepted), bytes(&self.outgoing));
        (self.samples > 1 && (accepted.is_some() || outgoing.is_some()))
            .then(|| accepted.unwrap_or_default().total() + outgoing.unwrap_or_default().total())
    }
}

#[cfg(test)]
mod tests;
