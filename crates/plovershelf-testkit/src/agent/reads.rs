//! Reads of incoming requests, which occupy the backend's cores like executions.

use std::collections::{BTreeMap, VecDeque};

use async_channel::Sender;

/// Queue of reads that wait for a core, and the reads in progress, at most one per core.
#[derive(Default)]
pub(super) struct ReadQueue {
    waiting: VecDeque<(f64, Sender<()>)>,
    in_progress: BTreeMap<u64, Sender<()>>,
    last_number: u64,
}

impl ReadQueue {
    /// Queues a read that costs `cost_ms` of work; `done` is signalled when it completes.
    pub(super) fn push(&mut self, cost_ms: f64, done: Sender<()>) {
        self.waiting.push_back((cost_ms, done));
    }

    /// Starts the next read if fewer than `cores` are in progress; returns its number and its work in milliseconds.
    pub(super) fn start_next(&mut self, cores: usize) -> Option<(u64, f64)> {
        if self.in_progress.len() >= cores {
            return None;
        }
        let (cost_ms, done) = self.waiting.pop_front()?;
        self.last_number += 1;
        self.in_progress.insert(self.last_number, done);
        Some((self.last_number, cost_ms))
    }

    /// Completes a read and signals the task that waits for it.
    pub(super) fn complete(&mut self, number: u64) {
        if let Some(done) = self.in_progress.remove(&number) {
            let _ = done.try_send(());
        }
    }

    /// Returns the number of reads in progress.
    pub(super) fn in_progress(&self) -> usize {
        self.in_progress.len()
    }

    /// Discards all reads when the backend's process is replaced.
    pub(super) fn clear(&mut self) {
        self.waiting.clear();
        self.in_progress.clear();
    }
}
