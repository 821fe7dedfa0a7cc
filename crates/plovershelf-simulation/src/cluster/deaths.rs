//! Tracks how each death propagates: from the kill until a view excludes the member and until every running node has marked
//! it dead.

use plovershelf_cluster::{NodeId, View};

use crate::statistics::SampleDistribution;

struct Death {
    id: NodeId,
    at_ms: f64,
    /// Set once a view excludes the member.
    removed: bool,
    /// Start of the current period in which every running node knows of the death.
    known_since_ms: Option<f64>,
}

/// Deaths of members that have not restarted under the same id.
#[derive(Default)]
pub(super) struct Deaths {
    deaths: Vec<Death>,
}

/// Results for deaths that are no longer tracked.
#[derive(Default)]
pub(super) struct Ended {
    /// Time from each death until every running node knew of it, in milliseconds.
    pub(super) known_ms: Vec<f64>,
    /// Number of deaths that not every running node knew of.
    pub(super) not_known: u64,
}

impl Deaths {
    /// Records that a member died.
    pub(super) fn record(&mut self, id: NodeId, now_ms: f64) {
        self.deaths.push(Death { id, at_ms: now_ms, removed: false, known_since_ms: None });
    }

    /// Handles the first installation of the newest view: records the removal time of each death that it excludes.
    pub(super) fn observe_view(&mut self, now_ms: f64, view: &View, removal_ms: &mut SampleDistribution) {
        for death in self.deaths.iter_mut().filter(|death| !death.removed) {
            if !view.members.contains_key(&death.id) {
                death.removed = true;
                removal_ms.put(now_ms - death.at_ms);
            }
        }
    }

    /// Updates for each death whether every node knows of it. If a node considers the member alive again, the propagation
    /// counts as incomplete until every node knows of the death again.
    pub(super) fn observe(&mut self, now_ms: f64, all_know: impl Fn(NodeId) -> bool) {
        for death in &mut self.deaths {
            let known = all_know(death.id);
            death.known_since_ms = if known { death.known_since_ms.or(Some(now_ms)) } else { None };
        }
    }

    /// Ends the tracking of a member that restarted under the same id.
    pub(super) fn end(&mut self, id: NodeId) -> Ended {
        self.end_where(|death| death.id == id)
    }

    /// Ends the tracking of all members at the end of the run.
    pub(super) fn end_all(&mut self) -> Ended {
        self.end_where(|_| true)
    }

    fn end_where(&mut self, selects: impl Fn(&Death) -> bool) -> Ended {
        let mut ended = Ended::default();
        for death in self.deaths.extract_if(.., |death| selects(death)) {
            match death.known_since_ms {
                Some(known_ms) => ended.known_ms.push(known_ms - death.at_ms),
                None => ended.not_known += 1,
            }
        }
        ended
    }
}
