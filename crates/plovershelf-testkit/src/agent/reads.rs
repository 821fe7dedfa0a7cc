//! Reads of incoming requests, which take the backend's cores as executions do.

use std::collections::{BTreeMap, VecDeque};

use async_channel::Sender;

/// Reads that wait for a core, and those in progress; each core reads one at a time.
#[derive(Default)]
pub(super) struct ReadQueue {
    waiting: VecDeque<(f64, Sender<()>)>,
    in_progress: BTreeMap<u64, Sender<()>>,
    last_number: u64,
}

impl ReadQueue {
    /// Queues a read of so much work; the sender is told when it is done.
    pub(super) fn push(&mut self, cost_ms: f64, done: Sender<()>) {
        self.waiting.push_back((cost_ms, done));
    }

    /// Starts the next read if a core is free for it; returns its number and its work.
    pub(super) fn start_next(&mut self, cores: usize) -> Option<(u64, f64)> {
        if self.in_progress.len() >= cores {
            return None;
        }
        let (cost_ms, done) = self.waiting.pop_front()?;
        self.last_number += 1;
        self.in_progress.insert(self.last_number, done);
        Some((self.last_number, cost_ms))
    }

    /// The read is done: tells whoever waits for it.
    pub(super) fn complete(&mut self, number: u64) {
        if let Some(done) = self.in_progress.remove(&number) {
            let _ = done.try_send(());
        }
    }

    /// Reads in progress.
    pub(super) fn in_progress(&self) -> usize {
        self.in_progress.len()
    }

    /// Forgets all reads, as the process that had them is gone.
    pub(super) fn clear(&mut self) {
        self.waiting.clear();
        self.in_progress.clear();
    }
}
