//! The leader's comparison of the view with the present members, and its computation of the next view.
//!
//! A member belongs to the view while it is present and ready. It is removed only once none of its leases can be valid
//! any more, which the caller determines.

use std::collections::{BTreeMap, BTreeSet};

use super::{View, ViewMember};
use crate::gossip::{MemberState, MemberUpdate, Swim};
use crate::identity::NodeId;

/// Timing parameters for changes of the view.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ViewTiming {
    /// Time for which a difference between the view and the present members must last before the view changes, in
    /// milliseconds.
    pub(crate) settle_ms: f64,
    /// Time after which a present member that is not ready is removed, in milliseconds.
    pub(crate) unready_grace_ms: f64,
    /// Time after its last message during which a member reported dead is expected to refute that, in milliseconds.
    pub(crate) recent_contact_ms: f64,
}

/// The members that join and leave with the next view.
#[derive(Debug, Default)]
pub(crate) struct NextView {
    pub(crate) joined: Vec<(NodeId, ViewMember)>,
    pub(crate) left: Vec<NodeId>,
}

impl NextView {
    pub(crate) fn is_unchanged(&self) -> bool {
        self.joined.is_empty() && self.left.is_empty()
    }
}

/// The leader's record of how long the presence and readiness of nodes have differed from the view.
#[derive(Clone, Debug, Default)]
pub(crate) struct ViewReconciler {
    differs_since_ms: BTreeMap<NodeId, f64>,
    unready_since_ms: BTreeMap<NodeId, f64>,
}

impl ViewReconciler {
    pub(crate) fn clear(&mut self) {
        self.differs_since_ms.clear();
        self.unready_since_ms.clear();
    }

    /// Returns the nodes whose presence differs from the view, and the time since which it does.
    pub(crate) fn differing(&self) -> &BTreeMap<NodeId, f64> {
        &self.differs_since_ms
    }

    /// Computes the next view. `may_remove` returns whether no lease of a member can be valid any more.
    pub(crate) fn next_view(
        &mut self,
        now_ms: f64,
        timing: &ViewTiming,
        view: &View,
        swim: &Swim,
        may_remove: impl Fn(NodeId) -> bool,
    ) -> NextView {
        let present = swim.present().map(|update| update.node.id);
        let candidates: BTreeSet<NodeId> = present.chain(view.members.keys().copied()).collect();
        let (mut next, mut differs_since_ms) = (NextView::default(), BTreeMap::new());
        for id in candidates {
            let belongs = self.should_belong(id, now_ms, timing, view, swim);
            let update = swim.find(id);
            if belongs == view.members.contains_key(&id) {
                let changed = update.filter(|update| has_changed(view, update));
                next.joined.extend(changed.map(|update| (id, ViewMember::of(update))));
                continue;
            }
            let since_ms = self.differs_since_ms.get(&id).copied().unwrap_or(now_ms);
            differs_since_ms.insert(id, since_ms);
            if now_ms - since_ms < timing.settle_ms {
                continue;
            }
            if belongs {
                next.joined.extend(update.map(|update| (id, ViewMember::of(update))));
            } else if may_remove(id) {
                next.left.push(id);
            }
        }
        self.differs_since_ms = differs_since_ms;
        next
    }

    fn should_belong(
        &mut self,
        id: NodeId,
        now_ms: f64,
        timing: &ViewTiming,
        view: &View,
        swim: &Swim,
    ) -> bool {
        let Some(update) = swim.find(id) else { return false };
        let in_view = view.members.contains_key(&id);
        let present = update.state.is_present();
        if present && !update.ready {
            let since_ms = *self.unready_since_ms.entry(id).or_insert(now_ms);
            return now_ms - since_ms < timing.unready_grace_ms && in_view;
        }
        self.unready_since_ms.remove(&id);
        // A member that sent a message recently is expected to refute the report that it is dead.
        let contacted =
            swim.last_contact_ms(id).is_some_and(|at_ms| now_ms - at_ms < timing.recent_contact_ms);
        present || contacted && update.state != MemberState::Left && in_view
    }
}

/// Returns whether a member started to drain or restarted since the view. Such changes take effect without the settle
/// time, because only the member itself announces them and never takes them back.
fn has_changed(view: &View, update: &MemberUpdate) -> bool {
    let member = view.members.get(&update.node.id);
    member.is_some_and(|member| (member.draining, member.boot_id) != (update.draining, update.boot_id))
}

#[cfg(test)]
mod tests;
