//! One simulated process: its clock, its disk, and the node that runs in it.

use std::collections::VecDeque;

use plovershelf_cluster::consensus::PersistentState;
use plovershelf_cluster::wire::Envelope;
use plovershelf_cluster::{Actions, ClusterNode, ClusterState, NodeId};
use rand::RngExt;
use rand_pcg::Pcg32;

use super::plan::Plan;

/// Older copies of a disk that are kept, a second apart.
const MAX_DISK_COPIES: usize = 20;
/// Of these, how far back a restored copy may be.
const MAX_RESTORED_COPY: usize = 8;
/// What a paused process is sent waits in its socket up to so many messages.
const MAX_WAITING: usize = 256;
/// The wall clock when a run begins, in Unix milliseconds.
const WALL_START_MS: f64 = 1.7e12;

/// What a disk holds: whose state, when the node was created, and the state.
#[derive(Clone)]
pub(super) struct Disk {
    pub(super) id: NodeId,
    pub(super) created_at_ms: u64,
    pub(super) state: PersistentState<ClusterState>,
}

/// What was observed of it last.
#[derive(Default)]
pub(super) struct Observed {
    pub(super) view: u64,
    /// Epoch and term that it led.
    pub(super) led: (u64, u64),
    /// The view by which it acted.
    pub(super) acts: Option<u64>,
    /// What of its log was compared with others: the epoch and the last index.
    pub(super) log: (u64, u64),
}

pub(super) struct Process {
    pub(super) node: Option<ClusterNode>,
    pub(super) disk: Option<Disk>,
    disk_copies: VecDeque<Option<Disk>>,
    /// Counts starts and ends, so that a timeout of an earlier one is recognized.
    pub(super) run: u64,
    clock_rate: f64,
    pub(super) clock_offset_ms: f64,
    /// How far its wall clock is off.
    pub(super) wall_offset_ms: f64,
    pub(super) paused: bool,
    pub(super) disk_full: bool,
    pub(super) ready: bool,
    waiting: Vec<Envelope>,
    /// When its next timeout is scheduled.
    pub(super) timeout_at_ms: f64,
    /// When a fault last touched it; in the future while one does.
    pub(super) touched_ms: f64,
    /// Faults that hold it down.
    pub(super) down_count: u32,
    pub(super) observed: Observed,
}

impl Process {
    /// Its clock runs apart from the others' by up to half of what clocks may drift.
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
            waiting: Vec::new(),
            timeout_at_ms: f64::INFINITY,
            touched_ms: f64::NEG_INFINITY,
            down_count: 0,
            observed: Observed::default(),
        }
    }

    /// Its own clock.
    pub(super) fn clock_ms(&self, now_ms: f64) -> f64 {
        self.clock_offset_ms + now_ms * self.clock_rate
    }

    /// When its clock shows that.
    pub(super) fn when_clock_shows(&self, clock_ms: f64) -> f64 {
        (clock_ms - self.clock_offset_ms) / self.clock_rate
    }

    /// Its wall clock.
    pub(super) fn wall_ms(&self, now_ms: f64) -> u64 {
        (now_ms + self.wall_offset_ms + WALL_START_MS) as u64
    }

    pub(super) fn copy_disk(&mut self) {
        self.disk_copies.push_back(self.disk.clone());
        if self.disk_copies.len() > MAX_DISK_COPIES {
            self.disk_copies.pop_front();
        }
    }

    /// Puts a copy of some seconds ago in the disk's place. Whether it is still that node's: its id may speak again then, as
    /// it recovers first.
    pub(super) fn restore_disk(&mut self, id: NodeId, rng: &mut Pcg32) -> bool {
        let back = rng.random_range(1..=MAX_RESTORED_COPY);
        let copy = self.disk_copies.len().checked_sub(back).and_then(|at| self.disk_copies.get(at));
        self.disk = copy.cloned().flatten();
        self.disk.as_ref().is_some_and(|disk| disk.id == id)
    }

    /// The process ends; its node is handed back.
    pub(super) fn stop(&mut self, plan: &Plan) -> Option<ClusterNode> {
        let node = self.node.take()?;
        if plan.lean && self.disk.is_some() {
            let (id, created_at_ms) = (node.node().id, node.node().created_at_ms);
            self.disk = Some(Disk { id, created_at_ms, state: node.raft().persistent().clone() });
        }
        self.waiting.clear();
        self.timeout_at_ms = f64::INFINITY;
        self.run += 1;
        self.paused = false;
        Some(node)
    }

    /// A message comes while the process is paused.
    pub(super) fn queue_message(&mut self, envelope: Envelope) {
        if self.waiting.len() < MAX_WAITING {
            self.waiting.push(envelope);
        }
    }

    pub(super) fn take_waiting(&mut self) -> Vec<Envelope> {
        std::mem::take(&mut self.waiting)
    }

    /// Writes what a call asks to save. Where the disk is full the node hears of it, and nothing that depends on it is left to
    /// send.
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

    /// What was not saved while the disk was full is written, all of it.
    pub(super) fn rewrite_disk(&mut self) {
        if let (Some(node), Some(disk)) = (&self.node, &mut self.disk) {
            disk.state = node.raft().persistent().clone();
        }
    }
}
