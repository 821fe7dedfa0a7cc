//! Handoff: a leaving member may stop once its records are replicated on other members.
//!
//! A leaving member has weight 0 in the view, so no key is placed on it, and reconciliation and repair copy its records to
//! other members. It remains an executor until its requests have ended. It sends `RequestLeave` to each other member until
//! that member replies `PermitLeave`: all keys whose primary is that member then have all their replicas. A view change
//! discards the permissions received so far.

use std::collections::BTreeSet;

use plovershelf_cluster::NodeId;

use crate::context::Context;
use crate::effects::Effects;
use crate::message::Message;

/// Interval between two `RequestLeave` messages to the same member, in retransmit intervals.
const REQUEST_INTERVALS: f64 = 2.0;

/// Progress of the local member's handoff.
#[derive(Clone, Debug)]
struct Leaving {
    permitted_by: BTreeSet<NodeId>,
    next_request_ms: f64,
}

/// Handoff state of the local member; empty unless it is leaving.
#[derive(Clone, Debug, Default)]
pub(crate) struct Handoff {
    leaving: Option<Leaving>,
}

impl Handoff {
    /// Starts the handoff of the local member; the first `RequestLeave` messages are sent at the next timeout. Calling it
    /// again makes the next requests due immediately.
    pub(crate) fn start(&mut self, now_ms: f64) {
        let permitted_by = BTreeSet::new();
        self.leaving.get_or_insert(Leaving { permitted_by, next_request_ms: now_ms }).next_request_ms =
            now_ms;
    }

    pub(crate) fn handle_view_change(&mut self, now_ms: f64) {
        if let Some(leaving) = &mut self.leaving {
            leaving.permitted_by.clear();
            leaving.next_request_ms = now_ms;
        }
    }

    pub(crate) fn handle_permit(&mut self, from: NodeId) {
        if let Some(leaving) = &mut self.leaving {
            leaving.permitted_by.insert(from);
        }
    }

    pub(crate) fn handle_timeout(&mut self, ctx: &Context) -> Effects {
        let mut effects = Effects::default();
        let Some(leaving) = self.leaving.as_mut().filter(|leaving| leaving.next_request_ms <= ctx.now_ms)
        else {
            return effects;
        };
        leaving.next_request_ms = ctx.now_ms + REQUEST_INTERVALS * ctx.config.retransmit_interval_ms;
        for to in ctx.membership.others().filter(|id| !leaving.permitted_by.contains(id)) {
            effects.send(to, Message::RequestLeave { view: ctx.view() });
        }
        effects
    }

    pub(crate) fn poll_timeout(&self) -> f64 {
        self.leaving.as_ref().map_or(f64::INFINITY, |leaving| leaving.next_request_ms)
    }

    /// Returns whether the local member is leaving and all other members have permitted it.
    pub(crate) fn is_permitted(&self, ctx: &Context) -> bool {
        self.leaving
            .as_ref()
            .is_some_and(|leaving| ctx.membership.others().all(|id| leaving.permitted_by.contains(&id)))
    }
}

#[cfg(test)]
mod tests;
