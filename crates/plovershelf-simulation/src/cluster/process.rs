//! Simulated process with its clock, its disk and its node.

use std::collections::VecDeque;

use plovershelf_cluster::consensus::PersistentState;
use plovershelf_cluster::wire::Envelope;
use plovershelf_cluster::{Actions, ClusterNode, ClusterState, NodeId};
use rand::RngExt;
use rand_pcg::Pcg32;

use super::plan::Plan;

/// Maximum number of older copies of a disk, taken once a second.
const MAX_DISK_COPIES: usize = 20;
/// Maximum age of a restored copy, counted in copies.
const MAX_RESTORED_COPY: usize = 8;
/// Maximum number of messages in the socket buffer of a paused process; further messages are dropped.
const MAX_BUFFERED_MESSAGES: usize = 256;
/// Wall clock at the start of a run, in Unix milliseconds.
const WALL_START_MS: f64 = 1.7e12;

/// Contents of a disk.
#[derive(Clone)]
pub(super) struct Disk {
    pub(super) id: NodeId,
    pub(super) created_at_ms: u64,
    pub(super) state: PersistentState<ClusterState>,
}

/// Last recorded observations of a process; a change against them is recorded as an event.
#[derive(Default)]
pub(super) struct Observed {
    /// Number of its view.
    pub(super) view: u64,
    /// Epoch and term that it last led.
    pub(super) led: (u64, u64),
    /// View that it was allowed to act by.
    pub(super) acts: Option<u64>,
    /// Epoch and commit index up to which its log was compared with the others.
    pub(super) log: (u64, u64),
}

/// Simulated process of a member, which may be down.
pub(super) struct Process {
    /// `None` while the process is down.
    pub(super) node: Option<ClusterNode>,
    pub(super) disk: Option<Disk>,
    disk_copies: VecDeque<Option<Disk>>,
    /// Counter of starts and stops, which identifies timeouts of an earlier incarnation.
    pub(super) run: u64,
    /// Speed of the monotonic clock relative to simulated time.
    clock_rate: f64,
    /// Monotonic clock at simulated time 0, in milliseconds.
    pub(super) clock_offset_ms: f64,
    /// Error of the wall clock in milliseconds.
    pub(super) wall_offset_ms: f64,
    pub(super) paused: bool,
    pub(super) disk_full: bool,
    pub(super) ready: bool,
    /// Messages received while paused.
    buffered: Vec<Envelope>,
    /// Simulated time of the scheduled timeout, in milliseconds.
    pub(super) timeout_at_ms: f64,
    /// End of the last fault that affected the process, in milliseconds; infinite while one does.
    pub(super) last_fault_ms: f64,
    /// Number of active faults that keep the process down.
    pub(super) down_count: u32,
    pub(super) observed: Observed,
}

impl Process {
    /// Creates a process that is down. Its clock rate deviates from simulated time by up to half of the permitted drift, so
    /// that two clocks diverge by the permitted drift at most.
    pub(super) fn new(clock_drift_fraction: f64, rng: &mut Pcg32) -> Self {
        Process {
            node: None,
            disk: None,
            disk_copies: VecDeque::new(),
            run: 0,
            clock_rate: 1.0 + clock_drift_fraction * 0.5 * (2.0 * rng.random::<f64>() - 1.0),
            clock_offset_ms: 1e6 * rng.random::<f64>(),
            wall_offset_ms: 0.0,
            paused: false,
            disk_full: false,
            ready: true,
            buffered: Vec::new(),
            timeout_at_ms: f64::INFINITY,
            last_fault_ms: f64::NEG_INFINITY,
            down_count: 0,
            observed: Observed::default(),
        }
    }

    /// Converts simulated time to the process's monotonic clock.
    pub(super) fn clock_ms(&self, now_ms: f64) -> f64 {
        self.clock_offset_ms + now_ms * self.clock_rate
    }

    /// Converts the process's monotonic clock to simulated time.
    pub(super) fn simulated_ms(&self, clock_ms: f64) -> f64 {
        (clock_ms - self.clock_offset_ms) / self.clock_rate
    }

    /// Returns the process's wall clock in Unix milliseconds.
    pub(super) fn wall_ms(&self, now_ms: f64) -> u64 {
        (now_ms + self.wall_offset_ms + WALL_START_MS) as u64
    }

    /// Adds a copy of the disk and drops the oldest one beyond [`MAX_DISK_COPIES`].
    pub(super) fn copy_disk(&mut self) {
        self.disk_copies.push_back(self.disk.clone());
        if self.disk_copies.len() > MAX_DISK_COPIES {
            self.disk_copies.pop_front();
        }
    }

    /// Replaces the disk by a copy from some seconds ago and returns whether the copy belongs to the same node. In that case
    /// the id may appear again, because a node with an older state recovers from the others before it takes part.
    pub(super) fn restore_disk(&mut self, id: NodeId, rng: &mut Pcg32) -> bool {
        let back = rng.random_range(1..=MAX_RESTORED_COPY);
        let copy = self.disk_copies.len().checked_sub(back).and_then(|at| self.disk_copies.get(at));
        self.disk = copy.cloned().flatten();
        self.disk.as_ref().is_some_and(|disk| disk.id == id)
    }

    /// Stops the process and returns its node, or `None` if the process was down.
    pub(super) fn stop(&mut self, plan: &Plan) -> Option<ClusterNode> {
        let node = self.node.take()?;
        if plan.lean && self.disk.is_some() {
            let (id, created_at_ms) = (node.node().id, node.node().created_at_ms);
            self.disk = Some(Disk { id, created_at_ms, state: node.raft().persistent().clone() });
        }
        self.buffered.clear();
        self.timeout_at_ms = f64::INFINITY;
        self.run += 1;
        self.paused = false;
        Some(node)
    }

    /// Buffers a message that arrives while the process is paused.
    pub(super) fn buffer_message(&mut self, envelope: Envelope) {
        if self.buffered.len() < MAX_BUFFERED_MESSAGES {
            self.buffered.push(envelope);
        }
    }

    pub(super) fn take_buffered(&mut self) -> Vec<Envelope> {
        std::mem::take(&mut self.buffered)
    }

    /// Writes the records of `actions` to the disk. If the disk is full, notifies the node of the failure and removes all
    /// messages that depend on the records.
    pub(super) fn save(&mut self, clock_ms: f64, plan: &Plan, actions: &mut Actions) {
        if actions.save.is_empty() || !plan.storage {
            return;
        }
        if self.disk_full {
            let Some(node) = self.node.as_mut() else { return };
            node.handle_storage_failed(clock_ms);
            actions.send.retain(|(_, envelope)| !envelope.message.depends_on_storage());
            actions.save.clear();
        } else if plan.lean {
            actions.save.clear();
        } else if let Some(disk) = &mut self.disk {
            actions.save.drain(..).for_each(|record| disk.state.apply(record));
        }
    }

    /// Writes the node's whole state to the disk, which includes the records that a full disk rejected.
    pub(super) fn rewrite_disk(&mut self) {
        if let (Some(node), Some(disk)) = (&self.node, &mut self.disk) {
            disk.state = node.raft().persistent().clone();
        }
    }
}
