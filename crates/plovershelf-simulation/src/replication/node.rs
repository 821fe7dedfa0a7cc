//! Member of the simulated group: its state machine and the attempts at its backend.

use std::collections::{BTreeMap, BTreeSet};

use plovershelf_cluster::NodeId;
use plovershelf_replication::{Outcome, ReplicationConfig, Replicator, RequestId};

use super::events::{Process, ProcessEvent};

/// Attempt that has not been answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) key: u64,
    pub(super) retries_left: u32,
    pub(super) started_at_ms: f64,
    /// End of the execution.
    pub(super) completed_at_ms: Option<f64>,
}

/// Record of a key at a backend without replication.
#[derive(Clone, Debug)]
pub(super) enum LocalRecord {
    Running,
    Completed(Outcome),
}

/// Member of the group with its machine and its backend.
pub(super) struct Node {
    /// `None` while the machine is lost.
    pub(super) replicator: Option<Replicator>,
    pub(super) id: NodeId,
    incarnation: u64,
    /// Number of active faults that keep the member down.
    down_count: u32,
    pub(super) paused: bool,
    /// Events that arrived while the process was paused.
    deferred: Vec<(Process, ProcessEvent)>,
    /// Time of the scheduled timeout, in milliseconds.
    pub(super) timeout_at_ms: f64,
    /// Unanswered attempts at this backend.
    pub(super) attempts: BTreeMap<RequestId, Attempt>,
    /// Requests that are being executed.
    pub(super) running: BTreeSet<RequestId>,
    /// Records by key; used without replication only.
    pub(super) local_records: BTreeMap<u64, LocalRecord>,
    last_request: u64,
}

/// Requests and attempts of a process whose machine was lost.
pub(super) struct LostWork {
    /// Keys of the requests that were being executed.
    pub(super) running_keys: Vec<u64>,
    /// Unanswered attempts.
    pub(super) attempts: Vec<Attempt>,
}

impl Node {
    /// Creates a machine without a running process.
    pub(super) fn new(id: NodeId) -> Self {
        Node {
            replicator: None,
            id,
            incarnation: 1,
            down_count: 0,
            paused: false,
            deferred: Vec::new(),
            timeout_at_ms: f64::INFINITY,
            attempts: BTreeMap::new(),
            running: BTreeSet::new(),
            local_records: BTreeMap::new(),
            last_request: 0,
        }
    }

    pub(super) fn is_up(&self) -> bool {
        self.replicator.is_some()
    }

    pub(super) fn process(&self, member: usize) -> Process {
        Process { member, incarnation: self.incarnation }
    }

    pub(super) fn is_current(&self, process: Process) -> bool {
        self.incarnation == process.incarnation
    }

    pub(super) fn start(&mut self, id: NodeId, config: ReplicationConfig, now_ms: f64) {
        self.incarnation += 1;
        self.id = id;
        self.replicator = Some(Replicator::new(id, config, now_ms));
        self.last_request = 0;
        self.timeout_at_ms = f64::INFINITY;
    }

    /// Removes the process with all its state and returns the work that is lost with it.
    pub(super) fn kill(&mut self) -> LostWork {
        self.replicator = None;
        self.incarnation += 1;
        self.paused = false;
        self.deferred.clear();
        self.local_records.clear();
        let attempts = std::mem::take(&mut self.attempts);
        let running = std::mem::take(&mut self.running);
        let key = |request| attempts.get(&request).map(|attempt: &Attempt| attempt.key);
        let running_keys = running.into_iter().filter_map(key).collect();
        LostWork { running_keys, attempts: attempts.into_values().collect() }
    }

    /// Counts a fault that keeps the member down until [`Node::end_fault`].
    pub(super) fn begin_fault(&mut self) {
        self.down_count += 1;
    }

    /// Ends a fault and returns whether the member must be restarted, which is when no other fault keeps it down.
    pub(super) fn end_fault(&mut self) -> bool {
        self.down_count -= 1;
        self.down_count == 0 && !self.is_up()
    }

    /// Stores an event for a paused process.
    pub(super) fn defer(&mut self, process: Process, event: ProcessEvent) {
        self.deferred.push((process, event));
    }

    /// Resumes a paused process and returns the deferred events, or `None` if the process was not paused.
    pub(super) fn resume(&mut self) -> Option<Vec<(Process, ProcessEvent)>> {
        if !std::mem::take(&mut self.paused) {
            return None;
        }
        self.timeout_at_ms = f64::INFINITY;
        Some(std::mem::take(&mut self.deferred))
    }

    /// Returns the id of the next request; the state machine assigns the same id.
    pub(super) fn next_request(&mut self) -> RequestId {
        self.last_request += 1;
        RequestId(self.last_request)
    }
}
