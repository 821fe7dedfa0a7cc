//! What processes cost, by the system's own accounts: processor time and resident memory out of `/proc`, bytes on sockets
//! out of the kernel's counters for each TCP connection. Nothing here asks a program about itself, and what can't be had is
//! none, never zero.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use netlink_packet_core::{NetlinkHeader, NetlinkMessage, NetlinkPayload, NLM_F_DUMP, NLM_F_REQUEST};
use netlink_packet_sock_diag::constants::{AF_INET, IPPROTO_TCP};
use netlink_packet_sock_diag::inet::nlas::Nla;
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, SocketId, StateFlags};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_sys::protocols::NETLINK_SOCK_DIAG;

/// One process at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Process {
    pub processor_ms: f64,
    pub resident_kb: f64,
}

/// User and system time in a line of `/proc/PID/stat`, in milliseconds. The command's name may hold anything, so the fields
/// are counted from behind its last bracket.
pub fn processor_ms(stat: &str, ticks_a_second: f64) -> Option<f64> {
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut ticks = fields.split(' ').skip(11).map(str::parse::<f64>);
    let (user, system) = (ticks.next()?.ok()?, ticks.next()?.ok()?);
    (ticks_a_second > 0.0).then(|| (user + system) * 1000.0 / ticks_a_second)
}

/// A line of `/proc/PID/status` or `/proc/meminfo` that tells kB.
pub fn told_kb(text: &str, key: &str) -> Option<f64> {
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.strip_prefix(':'))?;
    line.trim().strip_suffix(" kB")?.parse().ok()
}

pub fn process(id: u32) -> Option<Process> {
    let folder = Path::new("/proc").join(id.to_string());
    let read = |file: &str| std::fs::read_to_string(folder.join(file)).ok();
    let ticks = rustix::param::clock_ticks_per_second() as f64;
    Some(Process {
        processor_ms: processor_ms(&read("stat")?, ticks)?,
        resident_kb: told_kb(&read("status")?, "VmRSS")?,
    })
}

/// Ticks of all cores so far, those at work and all of them: of the whole machine, whoever had them.
pub fn ticks(stat: &str) -> Option<(f64, f64)> {
    let line = stat.lines().next()?.strip_prefix("cpu ")?;
    let ticks: Vec<f64> = line.split_whitespace().map_while(|word| word.parse().ok()).take(8).collect();
    let all: f64 = ticks.iter().sum();
    (ticks.len() >= 4).then(|| (all - ticks[3] - ticks.get(4).unwrap_or(&0.0), all))
}

pub fn busy() -> Option<(f64, f64)> {
    ticks(&std::fs::read_to_string("/proc/stat").ok()?)
}

/// Of all that the machine's cores could do since then, the part that they did.
pub fn busy_since(before: Option<(f64, f64)>) -> Option<f64> {
    let ((busy, all), (was_busy, was_all)) = (self::busy()?, before?);
    (all > was_all).then(|| (busy - was_busy) / (all - was_all))
}

/// All memory of the machine, in kB.
pub fn memory_kb() -> Option<f64> {
    told_kb(&std::fs::read_to_string("/proc/meminfo").ok()?, "MemTotal")
}

/// The inodes of a process's sockets.
fn sockets_of(id: u32) -> BTreeSet<u32> {
    let Ok(entries) = std::fs::read_dir(Path::new("/proc").join(id.to_string()).join("fd")) else {
        return BTreeSet::new();
    };
    let inode = |entry: std::io::Result<std::fs::DirEntry>| -> Option<u32> {
        let to = std::fs::read_link(entry.ok()?.path()).ok()?;
        to.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok()
    };
    entries.filter_map(inode).collect()
}

/// One connection as the kernel counts it: bytes that the other side has confirmed, bytes that came.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Socket {
    pub local: SocketAddr,
    pub remote: SocketAddr,
    pub inode: u32,
    pub cookie: u64,
    pub sent: u64,
    pub received: u64,
}

/// What one answer of the kernel holds; false once the last of it has come. A connection without counters is left out.
///
/// Errors: the kernel refused, or said what can't be read.
pub fn read_sockets(bytes: &[u8], into: &mut Vec<Socket>) -> Result<bool, String> {
    let mut at = 0;
    while at < bytes.len() {
        let message = <NetlinkMessage<SockDiagMessage>>::deserialize(&bytes[at..])
            .map_err(|error| format!("the kernel's answer about sockets: {error}"))?;
        match message.payload {
            NetlinkPayload::Done(_) => return Ok(false),
            NetlinkPayload::Error(error) => {
                return Err(format!("the kernel tells nothing of sockets: {error}"))
            }
            NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(told)) => {
                let id = &told.header.socket_id;
                let counted = told.nlas.iter().find_map(|nla| match nla {
                    Nla::TcpInfo(info) => Some((info.bytes_acked, info.bytes_received)),
                    _ => None,
                });
                into.extend(counted.map(|(sent, received)| Socket {
                    local: SocketAddr::new(id.source_address, id.source_port),
                    remote: SocketAddr::new(id.destination_address, id.destination_port),
                    inode: told.header.inode,
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

/// All open connections from (`accepted`) or to a port.
fn sockets(port: u16, accepted: bool) -> Result<Vec<Socket>, String> {
    let wrong = |error: std::io::Error| format!("asking the kernel about sockets: {error}");
    let mut socket = netlink_sys::Socket::new(NETLINK_SOCK_DIAG).map_err(wrong)?;
    socket.bind_auto().map_err(wrong)?;
    socket.connect(&netlink_sys::SocketAddr::new(0, 0)).map_err(wrong)?;
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
    let ask = InetRequest { family: AF_INET, protocol: IPPROTO_TCP, extensions, states, socket_id };
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(ask).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    socket.send(&bytes, 0).map_err(wrong)?;
    let (mut found, mut answer) = (Vec::new(), vec![0; 256 << 10]);
    loop {
        let count = socket.recv(&mut &mut answer[..], 0).map_err(wrong)?;
        if count == 0 || !read_sockets(&answer[..count], &mut found)? {
            return Ok(found);
        }
    }
}

/// Bytes each way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bytes {
    pub sent: u64,
    pub received: u64,
}

impl Bytes {
    pub fn both(self) -> f64 {
        (self.sent + self.received) as f64
    }
}

/// Counts what connections among members carried from its first look to its last. What one carried after the last look at
/// it is not counted, so looks are to be close together.
pub struct Tally {
    ports: &'static [u16],
    /// Connections from here are the trial's own questions.
    own: IpAddr,
    /// Processes with one member each, whose connections out are told apart by their inodes.
    alone: BTreeMap<u32, IpAddr>,
    before: BTreeMap<u64, Bytes>,
    /// By the address of a member: what came and went on links that it accepted, and on those that it made.
    pub accepted: BTreeMap<IpAddr, Bytes>,
    pub made: BTreeMap<IpAddr, Bytes>,
    /// Of all links, counted on the side that accepted them.
    pub all: Bytes,
    pub links: usize,
    pub looks: u32,
    /// From the first look to the last.
    pub span_ms: f64,
}

impl Tally {
    pub fn new(ports: &'static [u16], own: IpAddr, alone: BTreeMap<u32, IpAddr>) -> Self {
        Tally {
            ports,
            own,
            alone,
            before: BTreeMap::new(),
            accepted: BTreeMap::new(),
            made: BTreeMap::new(),
            all: Bytes::default(),
            links: 0,
            looks: 0,
            span_ms: 0.0,
        }
    }

    /// One look at all connections.
    ///
    /// Errors: the kernel does not tell.
    pub fn look(&mut self) -> Result<(), String> {
        let owners: BTreeMap<u32, IpAddr> = self
            .alone
            .iter()
            .flat_map(|(id, address)| sockets_of(*id).into_iter().map(|inode| (inode, *address)))
            .collect();
        let (mut accepted, mut made) = (Vec::new(), Vec::new());
        for port in self.ports {
            accepted.extend(sockets(*port, true)?);
            made.extend(sockets(*port, false)?);
        }
        self.take(&accepted, &made, &owners);
        Ok(())
    }

    /// What one look came to; the first only says where the counters stand.
    pub fn take(&mut self, accepted: &[Socket], made: &[Socket], owners: &BTreeMap<u32, IpAddr>) {
        let mut now = BTreeMap::new();
        let first = self.looks == 0;
        let mut grown = |socket: &Socket, before: &BTreeMap<u64, Bytes>| -> Bytes {
            let counted = Bytes { sent: socket.sent, received: socket.received };
            now.insert(socket.cookie, counted);
            let was = match before.get(&socket.cookie) {
                Some(was) => *was,
                None if first => counted,
                None => Bytes::default(),
            };
            Bytes {
                sent: counted.sent.saturating_sub(was.sent),
                received: counted.received.saturating_sub(was.received),
            }
        };
        let put = |sum: &mut Bytes, more: Bytes| {
            sum.sent += more.sent;
            sum.received += more.received;
        };
        self.links = 0;
        for socket in accepted.iter().filter(|socket| socket.remote.ip() != self.own) {
            let more = grown(socket, &self.before);
            put(self.accepted.entry(socket.local.ip()).or_default(), more);
            put(&mut self.all, more);
            self.links += 1;
        }
        for socket in made.iter().filter(|socket| socket.local.ip() != self.own) {
            let Some(owner) = owners.get(&socket.inode) else { continue };
            let more = grown(socket, &self.before);
            put(self.made.entry(*owner).or_default(), more);
        }
        self.before = now;
        self.looks += 1;
    }

    /// Of one that is alone in its process, both ways on all its links.
    pub fn of(&self, address: IpAddr) -> Option<f64> {
        let of = |sums: &BTreeMap<IpAddr, Bytes>| sums.get(&address).copied();
        let (accepted, made) = (of(&self.accepted), of(&self.made));
        (self.looks > 1 && (accepted.is_some() || made.is_some()))
            .then(|| accepted.unwrap_or_default().both() + made.unwrap_or_default().both())
    }
}

#[cfg(test)]
mod tests;
