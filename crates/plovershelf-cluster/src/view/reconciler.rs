//! The leader compares the view with who is there and finds the next view.
//!
//! A member belongs while it is present and ready. One that leaves is removed only when no lease that it may hold is valid
//! any more, which the caller knows.

use std::collections::{BTreeMap, BTreeSet};

use super::{View, ViewMember};
use crate::gossip::{MemberState, MemberUpdate, Swim};
use crate::identity::NodeId;

/// Times by which the next view is found.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ViewTiming {
    /// A difference between the view and who is there must last so long.
    pub(crate) settle_ms: f64,
    /// A present member that is not ready for so long is removed.
    pub(crate) unready_grace_ms: f64,
    /// Something came from a member within so long: it is about to refute that it is dead.
    pub(crate) recent_contact_ms: f64,
}

/// Who joins and leaves with the next view.
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

/// Of the leader: since when what is there differs from the view.
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

    /// Members that differ from the view, and since when.
    pub(crate) fn differing(&self) -> &BTreeMap<NodeId, f64> {
        &self.differs_since_ms
    }

    /// The next view. `may_remove` says of a member whether no lease of it can be valid any more.
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
        // Something came from it just now, whatever others say: it refutes them in a moment.
        let heard = swim.heard_at_ms(id).is_some_and(|at_ms| now_ms - at_ms < timing.recent_contact_ms);
        present || heard && update.state != MemberState::Left && in_view
    }
}

/// That a member is about to go, or was started anew, it says itself and never takes back: that need not settle.
fn has_changed(view: &View, update: &MemberUpdate) -> bool {
    let member = view.members.get(&update.node.id);
    member.is_some_and(|member| (member.draining, member.boot_id) != (update.draining, update.boot_id))
}

#[cfg(test)]
mod tests;
