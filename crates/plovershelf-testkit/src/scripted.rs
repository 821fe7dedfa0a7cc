//! Peers that a test plays line by line: sidecars, the agent's link and the ledger's, each on a socket of its own and with
//! frames put together byte by byte, so that what a backend says is held against the protocol and not against our codec.
//! They panic where a test would: on what should not come, and on nothing within twenty seconds.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, SystemTime};

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a clock").as_millis() as u64
}

/// Four offerings, one of each effect and one that is cheap to tell apart, and two gauges.
pub const SETTINGS: &str = r#"{
    "classes": [
        {"name": "plain", "aim_ms": 20000.0, "deadline_ms": 30000.0, "effect": "repeatable", "gain": 1.0},
        {"name": "better", "aim_ms": 20000.0, "deadline_ms": 30000.0, "effect": "repeatable", "gain": 5.0},
        {"name": "marked", "aim_ms": 20000.0, "deadline_ms": 30000.0, "effect": "by_key", "gain": 5.0,
         "dedup_window_ms": 60000.0},
        {"name": "single", "aim_ms": 20000.0, "deadline_ms": 30000.0, "effect": "once", "gain": 5.0}],
    "tenants": [{"name": "acme", "quota_per_s": 1000.0}],
    "family_info": {"cores": 4, "memory_kb": 1000000.0, "run_factor": 2.0, "entry_kb": 1.0, "below": "shared",
        "dep_share": 20.0, "halt": "abort", "signal": "threshold", "senders": 2, "keepalive_max_ms": 30000.0,
        "passes_deadline": true, "meters": ["cpu_busy", "runnable"]},
    "policy_limits": {"retry_after": true, "max_retry_after_ms": 1000.0},
    "rules": {"tip_multiple": 8.0, "drain_grace_ms": 300.0}}"#;

fn text(out: &mut Vec<u8>, value: &[u8]) {
    out.extend((value.len() as u32).to_be_bytes());
    out.extend(value);
}

fn frame(kind: u8, method: &str, seqid: i32, arguments: &[u8]) -> Vec<u8> {
    let mut out = vec![0x80, 0x01, 0, kind];
    text(&mut out, method.as_bytes());
    out.extend(seqid.to_be_bytes());
    out.extend(arguments);
    out.push(0);
    out
}

/// A frame without its length; `more` replaces or adds fields, and an empty value leaves one out.
pub fn dispatch(seqid: i32, id: u64, offering: &str, more: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let (id, came) = (format!("{id:016x}"), unix_ms().to_string());
    let mut fields = vec![("c", offering), ("i", &id), ("s", &came), ("f", "0"), ("t", "acme")];
    fields.extend([("d", "20000"), ("m", "10"), ("p", "0.5")]);
    fields.retain(|(name, _)| !more.iter().any(|(other, _)| other == name));
    fields.extend(more.iter().filter(|(_, value)| !value.is_empty()));
    let mut out = vec![13, 0, 1, 11, 11];
    out.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        text(&mut out, name.as_bytes());
        text(&mut out, value.as_bytes());
    }
    out.extend([11, 0, 2]);
    text(&mut out, body);
    frame(1, "dispatch", seqid, &out)
}

pub fn alive(seqid: i32) -> Vec<u8> {
    frame(1, "alive", seqid, &[2, 0, 1, 1])
}

pub fn cancel(seqid: i32) -> Vec<u8> {
    frame(4, "cancelRequest", 99, &[&[8, 0, 1][..], &seqid.to_be_bytes()].concat())
}

/// What a backend sent, as far as tests look into it.
#[derive(Debug, PartialEq)]
pub enum Heard {
    Succeeded(i32, Vec<u8>),
    Fit(i32, bool),
    Dismissed(i32),
    Scrapped(i32),
    Complaint(i32),
    Closing,
}

/// Reads a frame without its length, by the places that this program's answers are known to have.
pub fn heard(frame: &[u8]) -> Heard {
    let name_length = u32::from_be_bytes(frame[4..8].try_into().unwrap()) as usize;
    let (name, rest) = frame[8..].split_at(name_length);
    let seqid = i32::from_be_bytes(rest[..4].try_into().unwrap());
    match (frame[3], name, &rest[4..]) {
        (4, b"closing", _) => Heard::Closing,
        (3, ..) => Heard::Complaint(seqid),
        (2, b"dispatch", [12, 0, 0, 11, 0, 1, body @ ..]) => {
            let length = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
            Heard::Succeeded(seqid, body[4..4 + length].to_vec())
        }
        (2, b"alive", result) => Heard::Fit(seqid, result[result.len() - 3] == 1),
        (2, b"dispatch", [12, 0, 1, ..]) => Heard::Dismissed(seqid),
        (2, b"dispatch", [12, 0, 2, ..]) => Heard::Scrapped(seqid),
        other => panic!("not an answer: {other:?}"),
    }
}

/// A sidecar's connection.
pub struct Sidecar(pub TcpStream);

impl Sidecar {
    pub fn to(address: &str) -> Self {
        Self::over(TcpStream::connect(address).expect("a backend that listens"))
    }
    pub fn over(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
        Sidecar(stream)
    }
    pub fn send(&mut self, frame: &[u8]) {
        let whole = [&(frame.len() as u32).to_be_bytes()[..], frame].concat();
        self.0.write_all(&whole).expect("a connection that takes frames");
    }
    /// The next frame, or `None` at the end of the connection.
    pub fn hear(&mut self) -> Option<Heard> {
        let mut length = [0; 4];
        self.0.read_exact(&mut length).ok()?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        self.0.read_exact(&mut frame).ok()?;
        Some(heard(&frame))
    }
}

/// One side of a link of lines: the agent's or the ledger's.
pub struct Lines {
    reader: BufReader<TcpStream>,
}

impl Lines {
    pub fn accept(listener: &TcpListener) -> Self {
        listener.set_nonblocking(true).expect("it takes that");
        let tries = std::iter::repeat_with(|| {
            std::thread::sleep(Duration::from_millis(2));
            listener.accept()
        });
        let (stream, _) = tries.take(10_000).find_map(Result::ok).expect("a backend that connects");
        stream.set_nonblocking(false).expect("it takes that");
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
        Lines { reader: BufReader::new(stream) }
    }
    /// The next line with the body that belongs to it; samples are answered on the way.
    pub fn next_line(&mut self) -> Option<(String, Vec<u8>)> {
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end().to_string();
            let words: Vec<&str> = line.split(' ').collect();
            let length = match words[0] {
                "sample" => {
                    self.say(&format!("sampled {} 0.5 1", words[1]), None);
                    continue;
                }
                "launch" | "deliver" | "OP" => words.last()?.parse().ok()?,
                _ => return Some((line, Vec::new())),
            };
            let mut body = vec![0; length + 2];
            self.reader.read_exact(&mut body).ok()?;
            body.truncate(length);
            return Some((line, body));
        }
    }
    /// Does anything come within the span?
    pub fn has_more(&mut self, span: Duration) -> bool {
        let usual = self.reader.get_ref().read_timeout().expect("a timeout");
        self.reader.get_ref().set_read_timeout(Some(span)).expect("a timeout");
        let came = self.reader.fill_buf().is_ok();
        self.reader.get_ref().set_read_timeout(usual).expect("a timeout");
        came
    }
    /// Answers the next line, which asks for a sample.
    pub fn sampled(&mut self) {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("a line");
        let tag = line.trim_end().strip_prefix("sample ").expect("a sample");
        self.say(&format!("sampled {tag} 0.5 1"), None);
    }
    pub fn expect(&mut self, beginning: &str) -> (String, Vec<u8>) {
        let (line, body) = self.next_line().expect("a line");
        assert!(line.starts_with(beginning), "{line:?} instead of {beginning:?}");
        (line, body)
    }
    pub fn say(&mut self, line: &str, body: Option<&[u8]>) {
        let mut bytes = line.as_bytes().to_vec();
        if let Some(body) = body {
            bytes.extend(format!(" {}\r\n", body.len()).as_bytes());
            bytes.extend(body);
        }
        bytes.extend(b"\r\n");
        self.reader.get_mut().write_all(&bytes).expect("a link that takes lines");
    }
}
