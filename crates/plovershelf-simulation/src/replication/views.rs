//! Views as a group gives them: one that is away for a second is left out, one that is back is taken in.

use std::collections::{BTreeMap, BTreeSet};

use plovershelf_cluster::NodeId;
use plovershelf_replication::Member;

/// How long a member must be back, or away, before a view says so. Milliseconds.
const JOIN_AFTER_MS: f64 = 300.0;
const LEAVE_AFTER_MS: f64 = 1000.0;

/// A member as the group sees it now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Seen {
    pub(super) id: NodeId,
    pub(super) reachable: bool,
}

#[derive(Default)]
pub(super) struct ViewService {
    /// By number from 1: who belongs.
    views: Vec<Vec<(usize, NodeId)>>,
    /// Since when a member differs from the last view.
    differs_since: BTreeMap<usize, f64>,
}

impl ViewService {
    pub(super) fn last_number(&self) -> u64 {
        self.views.len() as u64
    }

    pub(super) fn add(&mut self, view: Vec<(usize, NodeId)>) {
        self.views.push(view);
    }

    /// A view as its members learn it, with members spread over zones in turn.
    pub(super) fn members(&self, number: u64, zones: usize) -> Vec<Member> {
        let view = &self.views[number as usize - 1];
        view.iter()
            .map(|(place, id)| Member {
                id: *id,
                zone: format!("z{}", place % zones.max(1)),
                machine: format!("m{place}"),
                weight: 1.0,
            })
            .collect()
    }

    /// The next view, where one is due and a majority of all members is in it.
    pub(super) fn next(&mut self, now_ms: f64, all: &[Seen]) -> Option<Vec<(usize, NodeId)>> {
        let last = self.views.last().cloned().unwrap_or_default();
        let mut next = BTreeSet::new();
        for (member, seen) in all.iter().enumerate() {
            let in_last = last.contains(&(member, seen.id));
            if self.belongs(now_ms, member, seen.reachable, in_last) {
                next.insert(member);
            }
        }
        // A process that is gone for good leaves as soon as another has its place.
        let view: Vec<(usize, NodeId)> = next
            .iter()
            .map(|member| (*member, all[*member].id))
            .filter(|one| all[one.0].reachable || last.contains(one))
            .collect();
        (view != last && view.len() * 2 > all.len()).then_some(view)
    }

    fn belongs(&mut self, now_ms: f64, member: usize, reachable: bool, in_last: bool) -> bool {
        if reachable == in_last {
            self.differs_since.remove(&member);
            return reachable;
        }
        let since = *self.differs_since.entry(member).or_insert(now_ms);
        let long_enough = now_ms - since > if reachable { JOIN_AFTER_MS } else { LEAVE_AFTER_MS };
        if long_enough {
            self.differs_since.remove(&member);
        }
        reachable == long_enough
    }
}
