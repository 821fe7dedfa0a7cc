//! Fault injection: applies a schedule of faults to a fleet of real backends.

use std::cell::RefCell;

use async_io::Timer;
use plovershelf_simulation::schedule::{cut_paths, third, Fault, FaultPhase, Folder, Schedule};

use crate::cluster::Cluster;
use crate::fleet::Fleet;
use crate::path::NetworkPath;
use crate::Clock;

/// Interval between snapshots of the members' storage.
const SNAPSHOT_INTERVAL_MS: f64 = 1000.0;

/// Begin or end of a fault as it was applied; trials use it for the history and to determine which members are healthy.
#[derive(Clone, Debug)]
pub struct AppliedFault {
    /// Time of application, by the trial's clock.
    pub at_ms: f64,
    /// Whether the fault begins or ends.
    pub phase: FaultPhase,
    /// Index of the step in the schedule.
    pub step: usize,
}

impl AppliedFault {
    /// Returns whether the fault begins.
    pub fn begins(&self) -> bool {
        self.phase == FaultPhase::Begins
    }
}

/// Applies a schedule to a fleet; returns when the last fault has ended.
pub async fn play(
    fleet: &RefCell<Fleet>,
    clock: Clock,
    schedule: &Schedule,
    applied: &RefCell<Vec<AppliedFault>>,
) {
    let started_ms = clock.now();
    let mut snapshot_at_ms = started_ms;
    for (at_ms, phase, step) in events(schedule, started_ms) {
        while clock.now() < at_ms {
            if clock.now() >= snapshot_at_ms {
                snapshot_at_ms += SNAPSHOT_INTERVAL_MS;
                if let Some(cluster) = fleet.borrow_mut().cluster.as_mut() {
                    cluster.take_snapshots();
                }
            }
            Timer::at(clock.at(at_ms.min(snapshot_at_ms))).await;
        }
        applied.borrow_mut().push(AppliedFault { at_ms: clock.now(), phase, step });
        let fault = schedule.steps[step].fault.clone();
        fleet.borrow_mut().apply_fault(&fault, phase, schedule.members);
    }
}

/// Returns the begins and ends of all faults in chronological order, as time, phase and index of the step.
fn events(schedule: &Schedule, started_ms: f64) -> Vec<(f64, FaultPhase, usize)> {
    let mut events = Vec::new();
    for (index, step) in schedule.steps.iter().enumerate() {
        events.push((started_ms + step.at_ms, FaultPhase::Begins, index));
        events.push((started_ms + step.at_ms + step.for_ms, FaultPhase::Ends, index));
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    events
}

impl Fleet {
    /// Applies the start or the end of a fault. Without a cluster, faults that affect only a cluster have no effect.
    pub fn apply_fault(&mut self, fault: &Fault, phase: FaultPhase, members: usize) {
        let begins = phase == FaultPhase::Begins;
        match fault {
            Fault::Kill { member, folder } => self.apply_kill(*member, phase, *folder),
            Fault::KillThird { first } => {
                third(*first, members).for_each(|member| self.apply_kill(member, phase, Folder::Kept));
            }
            Fault::Leave { member } => {
                let stop_ms = self.stop_ms;
                let backend = &mut self.backends[*member];
                match phase {
                    FaultPhase::Begins => backend.start_drain(stop_ms),
                    FaultPhase::Ends => backend.restart_after_drain(),
                }
            }
            Fault::Stop { member } => match phase {
                FaultPhase::Begins => self.backends[*member].pause(),
                FaultPhase::Ends => self.backends[*member].resume(),
            },
            Fault::Unready { member } => {
                if let Some(path) = &self.backends[*member].agent_path {
                    path.faults.borrow_mut().refuse_connections = begins;
                }
            }
            _ => {
                if let Some(cluster) = &mut self.cluster {
                    cluster.apply_fault(fault, begins);
                }
            }
        }
    }

    /// Kills a backend at the start of the fault, with its storage kept, removed or set back, and restarts it at the end.
    fn apply_kill(&mut self, index: usize, phase: FaultPhase, storage: Folder) {
        let backend = &mut self.backends[index];
        let member = self.cluster.as_ref().map(|cluster| &cluster.members[index]);
        if phase == FaultPhase::Ends {
            return backend.bring_up(member.map_or(0.0, |member| member.clock_offset_ms));
        }
        backend.take_down();
        let Some(member) = member else { return };
        match storage {
            Folder::Kept => {}
            Folder::Wiped => member.wipe_storage(),
            Folder::Old => member.restore_oldest_snapshot(),
        }
    }
}

impl Cluster {
    /// Applies the start, if `begins`, or the end of a fault of the network, of a storage or of a clock. Other faults have no
    /// effect here.
    fn apply_fault(&mut self, fault: &Fault, begins: bool) {
        match fault {
            Fault::Cut { these, those, one_way } => {
                for (from, to) in cut_paths(these, those, *one_way) {
                    set_partition(self.path(from, to), begins);
                }
            }
            Fault::Loss { share } => {
                for (_, _, path) in self.paths() {
                    let mut faults = path.faults.borrow_mut();
                    faults.loss = (faults.loss + if begins { *share } else { -share }).max(0.0);
                    faults.resets += u64::from(begins);
                }
            }
            Fault::Slow { member, by_ms } => {
                for (from, to, path) in self.paths() {
                    if from == *member || to == *member {
                        path.faults.borrow_mut().delay_ms = if begins { *by_ms } else { 0.0 };
                    }
                }
            }
            Fault::Full { member } => {
                let marker = &self.members[*member].storage_full_marker;
                let _ = if begins { std::fs::write(marker, "") } else { std::fs::remove_file(marker) };
            }
            Fault::Clock { member, by_ms } => {
                self.members[*member].clock_offset_ms = if begins { *by_ms } else { 0.0 };
            }
            Fault::Kill { .. }
            | Fault::KillThird { .. }
            | Fault::Leave { .. }
            | Fault::Stop { .. }
            | Fault::Unready { .. } => {}
        }
    }
}

/// Adds a partition to the path if `begins`, and removes one otherwise.
fn set_partition(path: Option<&NetworkPath>, begins: bool) {
    match path {
        Some(path) if begins => path.partition(),
        Some(path) => path.heal(),
        None => {}
    }
}
