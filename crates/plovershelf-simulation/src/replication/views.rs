//! Membership views: a member that is unreachable for [`LEAVE_AFTER_MS`] is removed, one that is reachable for
//! [`JOIN_AFTER_MS`] is added.

use std::collections::{BTreeMap, BTreeSet};

use plovershelf_cluster::NodeId;
use plovershelf_replication::Member;

/// Time for which a member must be reachable before a view adds it, in milliseconds.
const JOIN_AFTER_MS: f64 = 300.0;
/// Time for which a member must be unreachable before a view removes it, in milliseconds.
const LEAVE_AFTER_MS: f64 = 1000.0;

/// Current state of a member as the group observes it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedMember {
    pub(super) id: NodeId,
    pub(super) reachable: bool,
}

/// History of views, and the reachability changes that the next view will contain.
#[derive(Default)]
pub(super) struct ViewService {
    /// Members of each view; view `n` is at index `n - 1`.
    views: Vec<Vec<(usize, NodeId)>>,
    /// Time since which a member's reachability differs from the last view, in milliseconds.
    differs_since: BTreeMap<usize, f64>,
}

impl ViewService {
    pub(super) fn last_number(&self) -> u64 {
        self.views.len() as u64
    }

    pub(super) fn add(&mut self, view: Vec<(usize, NodeId)>) {
        self.views.push(view);
    }

    /// Returns the members of a view, assigned to zones round-robin.
    pub(super) fn members(&self, number: u64, zones: usize) -> Vec<Member> {
        let view = &self.views[number as usize - 1];
        view.iter()
            .map(|(member, id)| Member {
                id: *id,
                zone: format!("z{}", member % zones.max(1)),
                machine: format!("m{member}"),
                weight: 1.0,
            })
            .collect()
    }

    /// Returns the next view if it differs from the last one and contains a majority of all members.
    pub(super) fn next(&mut self, now_ms: f64, all: &[ObservedMember]) -> Option<Vec<(usize, NodeId)>> {
        let last = self.views.last().cloned().unwrap_or_default();
        let mut next = BTreeSet::new();
        for (member, observed) in all.iter().enumerate() {
            let in_last = last.contains(&(member, observed.id));
            if self.belongs(now_ms, member, observed.reachable, in_last) {
                next.insert(member);
            }
        }
        // A process that was replaced is removed at once: its id is no longer that of the member.
        let view: Vec<(usize, NodeId)> = next
            .iter()
            .map(|member| (*member, all[*member].id))
            .filter(|entry| all[entry.0].reachable || last.contains(entry))
            .collect();
        (view != last && view.len() * 2 > all.len()).then_some(view)
    }

    /// Returns whether the next view contains a member. A change of reachability counts after its delay only.
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
