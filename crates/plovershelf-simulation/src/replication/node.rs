//! One member: its state machine, and the attempts at its backend.

use std::collections::{BTreeMap, BTreeSet};

use plovershelf_cluster::NodeId;
use plovershelf_replication::{Outcome, ReplicationConfig, Replicator, RequestId};

use super::events::{Process, ProcessEvent};

/// An attempt whose client waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) key: u64,
    pub(super) retries_left: u32,
    pub(super) started_at_ms: f64,
    pub(super) completed_at_ms: Option<f64>,
}

/// What a backend by itself remembers of a key, without replication.
#[derive(Clone, Debug)]
pub(super) enum LocalRecord {
    Running,
    Completed(Outcome),
}

pub(super) struct Node {
    /// Nothing while its machine is lost.
    pub(super) replicator: Option<Replicator>,
    pub(super) id: NodeId,
    incarnation: u64,
    /// Faults that keep it down.
    down: u32,
    pub(super) paused: bool,
    deferred: Vec<(Process, ProcessEvent)>,
    pub(super) timeout_at_ms: f64,
    pub(super) attempts: BTreeMap<RequestId, Attempt>,
    pub(super) running: BTreeSet<RequestId>,
    pub(super) local_records: BTreeMap<u64, LocalRecord>,
    last_request: u64,
}

/// What a process leaves behind when its machine is lost.
pub(super) struct Remains {
    /// Keys of the requests that ran.
    pub(super) running_keys: Vec<u64>,
    pub(super) attempts: Vec<Attempt>,
}

impl Node {
    /// A machine without a process.
    pub(super) fn new(id: NodeId) -> Self {
        Node {
            replicator: None,
            id,
            incarnation: 1,
            down: 0,
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

    /// The machine is lost with all that it stores.
    pub(super) fn kill(&mut self) -> Remains {
        self.replicator = None;
        self.incarnation += 1;
        self.paused = false;
        self.deferred.clear();
        self.local_records.clear();
        let attempts = std::mem::take(&mut self.attempts);
        let running = std::mem::take(&mut self.running);
        let key = |request| attempts.get(&request).map(|attempt: &Attempt| attempt.key);
        let running_keys = running.into_iter().filter_map(key).collect();
        Remains { running_keys, attempts: attempts.into_values().collect() }
    }

    /// A fault takes it down; it stays so until each fault that did has ended.
    pub(super) fn begin_fault(&mut self) {
        self.down += 1;
    }

    /// Whether it is to be started again.
    pub(super) fn end_fault(&mut self) -> bool {
        self.down -= 1;
        self.down == 0 && !self.is_up()
    }

    pub(super) fn defer(&mut self, process: Process, event: ProcessEvent) {
        self.deferred.push((process, event));
    }

    /// Goes on after a pause, if it was paused: what came meanwhile.
    pub(super) fn resume(&mut self) -> Option<Vec<(Process, ProcessEvent)>> {
        if !std::mem::take(&mut self.paused) {
            return None;
        }
        self.timeout_at_ms = f64::INFINITY;
        Some(std::mem::take(&mut self.deferred))
    }

    /// The number that the next request gets, from here and from the state machine alike.
    pub(super) fn next_request(&mut self) -> RequestId {
        self.last_request += 1;
        RequestId(self.last_request)
    }
}
