//! A peer that a test plays line by line.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use super::READ_TIMEOUT;

/// Time between two looks for a connection.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);
/// Looks for a connection before the test fails.
const MAX_ACCEPTS: usize = 10_000;

/// The peer's end of a backend's connection that carries lines: the agent's or the dependency's.
pub struct LineLink {
    reader: BufReader<TcpStream>,
}

impl LineLink {
    /// Waits until a backend connects.
    pub fn accept(listener: &TcpListener) -> Self {
        listener.set_nonblocking(true).expect("it takes that");
        let attempts = std::iter::repeat_with(|| {
            std::thread::sleep(ACCEPT_INTERVAL);
            listener.accept()
        });
        let (stream, _) = attempts.take(MAX_ACCEPTS).find_map(Result::ok).expect("a backend that connects");
        stream.set_nonblocking(false).expect("it takes that");
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
        LineLink { reader: BufReader::new(stream) }
    }

    /// The next line with the body that belongs to it; requests for a sample are answered on the way.
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

    /// Does anything come within this time?
    pub fn has_more(&mut self, timeout: Duration) -> bool {
        let usual = self.reader.get_ref().read_timeout().expect("a timeout");
        self.reader.get_ref().set_read_timeout(Some(timeout)).expect("a timeout");
        let came = self.reader.fill_buf().is_ok();
        self.reader.get_ref().set_read_timeout(usual).expect("a timeout");
        came
    }

    /// Answers the next line, which asks for a sample.
    pub fn answer_sample(&mut self) {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("a line");
        let tag = line.trim_end().strip_prefix("sample ").expect("a sample");
        self.send(&format!("sampled {tag} 0.5 1"), None);
    }

    /// The next line, which has to begin like this, with its body.
    pub fn expect(&mut self, prefix: &str) -> (String, Vec<u8>) {
        let (line, body) = self.next_line().expect("a line");
        assert!(line.starts_with(prefix), "{line:?} instead of {prefix:?}");
        (line, body)
    }

    /// Sends a line, and a body with its length where there is one.
    pub fn send(&mut self, line: &str, body: Option<&[u8]>) {
        let mut bytes = line.as_bytes().to_vec();
        if let Some(body) = body {
            bytes.extend(format!(" {}\r\n", body.len()).as_bytes());
            bytes.extend(body);
        }
        bytes.extend(b"\r\n");
        self.reader.get_mut().write_all(&bytes).expect("a link that takes lines");
    }
}
