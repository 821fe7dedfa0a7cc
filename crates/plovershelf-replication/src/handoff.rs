//! Handoff: a member that leaves goes once all others can do without it.
//!
//! It has no weight in the view, so no key is placed on it and reconciliation and repair bring its records elsewhere. It
//! stays an executor until its requests have ended, and asks each other member until that one says that the keys whose
//! primary it is have all their replicas. A new view begins the asking anew.

use std::collections::BTreeSet;

use plovershelf_cluster::NodeId;

use crate::context::Context;
use crate::effects::Effects;
use crate::message::Message;

/// Asked again after this many retransmit intervals.
const ASK_INTERVALS: f64 = 2.0;

#[derive(Clone, Debug)]
struct Leaving {
    permitted_by: BTreeSet<NodeId>,
    ask_at_ms: f64,
}

/// The local member's own leaving; nothing while it stays.
#[derive(Clone, Debug, Default)]
pub(crate) struct Handoff {
    leaving: Option<Leaving>,
}

impl Handoff {
    /// The local member leaves, or is told so once more: it asks at the next timeout.
    pub(crate) fn start(&mut self, now_ms: f64) {
        let permitted_by = BTreeSet::new();
        self.leaving.get_or_insert(Leaving { permitted_by, ask_at_ms: now_ms }).ask_at_ms = now_ms;
    }

    pub(crate) fn handle_view_change(&mut self, now_ms: f64) {
        if let Some(leaving) = &mut self.leaving {
            leaving.permitted_by.clear();
            leaving.ask_at_ms = now_ms;
        }
    }

    pub(crate) fn handle_permit(&mut self, from: NodeId) {
        if let Some(leaving) = &mut self.leaving {
            leaving.permitted_by.insert(from);
        }
    }

    pub(crate) fn handle_timeout(&mut self, ctx: &Context) -> Effects {
        let mut effects = Effects::default();
        let Some(leaving) = self.leaving.as_mut().filter(|leaving| leaving.ask_at_ms <= ctx.now_ms) else {
            return effects;
        };
        leaving.ask_at_ms = ctx.now_ms + ASK_INTERVALS * ctx.config.retransmit_interval_ms;
        for to in ctx.membership.others().filter(|id| !leaving.permitted_by.contains(id)) {
            effects.send(to, Message::RequestLeave { view: ctx.view() });
        }
        effects
    }

    pub(crate) fn poll_timeout(&self) -> f64 {
        self.leaving.as_ref().map_or(f64::INFINITY, |leaving| leaving.ask_at_ms)
    }

    /// Whether the local member leaves and all others have let it go.
    pub(crate) fn is_permitted(&self, ctx: &Context) -> bool {
        self.leaving
            .as_ref()
            .is_some_and(|leaving| ctx.membership.others().all(|id| leaving.permitted_by.contains(&id)))
    }
}

#[cfg(test)]
mod tests;
