//! How far each death is known: from when it happens until a view is without the member and all that live know of it.

use plovershelf_cluster::{NodeId, View};

use crate::statistics::Spread;

struct Death {
    id: NodeId,
    at_ms: f64,
    removed: bool,
    /// Since when all know of it, without a gap.
    known_since_ms: Option<f64>,
}

/// Deaths whose members are not back.
#[derive(Default)]
pub(super) struct Deaths {
    deaths: Vec<Death>,
}

/// What became of deaths that are over.
#[derive(Default)]
pub(super) struct Ended {
    /// From each until all knew of it.
    pub(super) known_ms: Vec<f64>,
    pub(super) not_known: u64,
}

impl Deaths {
    pub(super) fn record(&mut self, id: NodeId, now_ms: f64) {
        self.deaths.push(Death { id, at_ms: now_ms, removed: false, known_since_ms: None });
    }

    /// The newest view came to be held for the first time.
    pub(super) fn observe_view(&mut self, now_ms: f64, view: &View, removal_ms: &mut Spread) {
        for death in self.deaths.iter_mut().filter(|death| !death.removed) {
            if !view.members.contains_key(&death.id) {
                death.removed = true;
                removal_ms.put(now_ms - death.at_ms);
            }
        }
    }

    /// Looks whether all know of each. A member that learns of one as alive once more begins it anew.
    pub(super) fn observe(&mut self, now_ms: f64, all_know: impl Fn(NodeId) -> bool) {
        for death in &mut self.deaths {
            let known = all_know(death.id);
            death.known_since_ms = if known { death.known_since_ms.or(Some(now_ms)) } else { None };
        }
    }

    /// The member is back under its id.
    pub(super) fn end(&mut self, id: NodeId) -> Ended {
        self.end_where(|death| death.id == id)
    }

    /// The run is over.
    pub(super) fn end_all(&mut self) -> Ended {
        self.end_where(|_| true)
    }

    fn end_where(&mut self, over: impl Fn(&Death) -> bool) -> Ended {
        let mut ended = Ended::default();
        for death in self.deaths.extract_if(.., |death| over(death)) {
            match death.known_since_ms {
                Some(known_ms) => ended.known_ms.push(known_ms - death.at_ms),
                None => ended.not_known += 1,
            }
        }
        ended
    }
}
