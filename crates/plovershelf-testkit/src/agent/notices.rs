//! Numbered notices of the agent: what is sent on the present connection, and what a new one may have missed.

use std::collections::VecDeque;

/// Notices retained for a connection that resumes.
const MAX_RETAINED: usize = 4000;

/// The agent's notices and the bytes that wait to be written.
#[derive(Debug, Default)]
pub(super) struct NoticeLog {
    retained: VecDeque<(u64, Vec<u8>)>,
    last_number: u64,
    subscribed: bool,
    output: Vec<u8>,
}

impl NoticeLog {
    /// A new connection: it receives nothing before it has subscribed.
    pub(super) fn connect(&mut self) {
        self.subscribed = false;
        self.output.clear();
    }

    /// A new process: the notices of the one before are gone.
    pub(super) fn reset(&mut self) {
        self.retained.clear();
        self.last_number = 0;
    }

    /// The connection subscribes: it gets a greeting and each notice after the last one that it knows.
    pub(super) fn subscribe(&mut self, last_known: u64) {
        let state = if last_known == 0 { "booting" } else { "steady" };
        self.output = format!("greeting {state} 0\r\n").into_bytes();
        self.subscribed = true;
        let missed = self.retained.iter().filter(|(number, _)| *number > last_known);
        missed.for_each(|(_, bytes)| self.output.extend_from_slice(bytes));
    }

    /// Appends a notice; its number replaces the first `#` of the line.
    pub(super) fn append(&mut self, line: &str, body: &[u8]) {
        let number = self.last_number + 1;
        self.last_number = number;
        let mut bytes = line.replacen('#', &number.to_string(), 1).into_bytes();
        bytes.extend_from_slice(format!(" {}\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(b"\r\n");
        if self.subscribed {
            self.output.extend_from_slice(&bytes);
        }
        self.retained.push_back((number, bytes));
        if self.retained.len() > MAX_RETAINED {
            self.retained.pop_front();
        }
    }

    /// Sends a line that is no notice, on the present connection alone.
    pub(super) fn reply(&mut self, line: &str) {
        self.output.extend_from_slice(line.as_bytes());
    }

    /// Does anything wait to be written?
    pub(super) fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// Takes what waits to be written.
    pub(super) fn take_output(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.output)
    }
}

#[cfg(test)]
mod tests;
