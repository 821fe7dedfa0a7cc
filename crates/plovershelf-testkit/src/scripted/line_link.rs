//! Scripted peer of a line protocol that a test drives line by line.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use super::READ_TIMEOUT;

/// Interval between attempts to accept a connection.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);
/// Number of attempts to accept a connection before the test fails.
const MAX_ACCEPTS: usize = 10_000;

/// Peer's end of a backend's connection with a line protocol: the agent's or the dependency's end.
pub struct LineLink {
    reader: BufReader<TcpStream>,
}

impl LineLink {
    /// Waits until a backend connects.
    pub fn accept(listener: &TcpListener) -> Self {
        listener.set_nonblocking(true).expect("set the listener nonblocking");
        let attempts = std::iter::repeat_with(|| {
            std::thread::sleep(ACCEPT_INTERVAL);
            listener.accept()
        });
        let (stream, _) =
            attempts.take(MAX_ACCEPTS).find_map(Result::ok).expect("a connection from the backend");
        stream.set_nonblocking(false).expect("set the stream blocking");
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("set the read timeout");
        LineLink { reader: BufReader::new(stream) }
    }

    /// Reads the next line and its body, and answers any requests for a sample that precede it; returns `None` at the end
    /// of the connection or after the read timeout.
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
                    self.send(&format!("sampled {} 0.5 1", words[1]), None);
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

    /// Returns whether the backend sends data or ends the connection within the timeout.
    pub fn has_more(&mut self, timeout: Duration) -> bool {
        let previous_timeout = self.reader.get_ref().read_timeout().expect("get the read timeout");
        self.reader.get_ref().set_read_timeout(Some(timeout)).expect("set the read timeout");
        let has_more = self.reader.fill_buf().is_ok();
        self.reader.get_ref().set_read_timeout(previous_timeout).expect("restore the read timeout");
        has_more
    }

    /// Reads the next line, which must request a sample, and answers it.
    pub fn answer_sample(&mut self) {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("read a line from the backend");
        let tag = line.trim_end().strip_prefix("sample ").expect("a request for a sample");
        self.send(&format!("sampled {tag} 0.5 1"), None);
    }

    /// Returns the next line and its body; panics unless the line begins with `prefix`.
    pub fn expect(&mut self, prefix: &str) -> (String, Vec<u8>) {
        let (line, body) = self.next_line().expect("a line from the backend");
        assert!(line.starts_with(prefix), "expected a line that begins with {prefix:?}, got {line:?}");
        (line, body)
    }

    /// Sends a line; a body, if given, follows it, with its length appended to the line.
    pub fn send(&mut self, line: &str, body: Option<&[u8]>) {
        let mut bytes = line.as_bytes().to_vec();
        if let Some(body) = body {
            bytes.extend(format!(" {}\r\n", body.len()).as_bytes());
            bytes.extend(body);
        }
        bytes.extend(b"\r\n");
        self.reader.get_mut().write_all(&bytes).expect("write a line to the backend");
    }
}
