//! Log of the agent's numbered notices: output for the current connection, and notices retained for a connection that
//! resumes.

use std::collections::VecDeque;

/// Number of notices retained for a connection that resumes.
const MAX_RETAINED: usize = 4000;

/// Retained notices and the output that is not written yet.
#[derive(Debug, Default)]
pub(super) struct NoticeLog {
    retained: VecDeque<(u64, Vec<u8>)>,
    last_number: u64,
    subscribed: bool,
    output: Vec<u8>,
}

impl NoticeLog {
    /// Registers a new connection, which receives nothing until it subscribes.
    pub(super) fn connect(&mut self) {
        self.subscribed = false;
        self.output.clear();
    }

    /// Discards the notices of the previous process.
    pub(super) fn reset(&mut self) {
        self.retained.clear();
        self.last_number = 0;
    }

    /// Subscribes the connection: queues a greeting and each retained notice with a number above `last_known`.
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

    /// Queues a line that is not a notice; it is not repeated on a later connection.
    pub(super) fn reply(&mut self, line: &str) {
        self.output.extend_from_slice(line.as_bytes());
    }

    /// Returns whether output waits to be written.
    pub(super) fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// Takes the output that waits to be written.
    pub(super) fn take_output(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.output)
    }
}

#[cfg(test)]
mod tests;
