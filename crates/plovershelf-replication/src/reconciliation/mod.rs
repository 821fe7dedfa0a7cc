//! Reconciliation: after a change of view each primary learns what all members store and execute of its keys, and determines
//! what became of each before it orders anything new.
//!
//! | state of the local member as a primary | event | next |
//! | --- | --- | --- |
//! | collecting | a new view, at any time | collecting; all others are sent reports |
//! | collecting | all members have reported completely | reconciled: each key resolved ([`resolution`]), repair begins |
//!
//! While it collects it orders only keys whose primary it was in the view right before, and only if it was reconciled there:
//! those reservations it knows all itself.

mod collector;
mod resolution;
mod sender;

pub(crate) use collector::{Collected, ReportCollector, ReportStatus};
pub(crate) use resolution::{resolve, Evidence, Resolution};
pub(crate) use sender::ReportSender;

use crate::membership::Membership;
use crate::placement::IdempotencyKey;

/// Whether the local member knows the reservations of its keys.
#[derive(Clone, Debug)]
pub(crate) struct Reconciliation {
    pub(crate) collector: ReportCollector,
    pub(crate) sender: ReportSender,
    /// It was reconciled in the view right before this one.
    continuous: bool,
}

impl Reconciliation {
    pub(crate) fn new(now_ms: f64) -> Self {
        Reconciliation {
            collector: ReportCollector::default(),
            sender: ReportSender::new(now_ms),
            continuous: false,
        }
    }

    /// Called before the membership is updated; `consecutive` where the new view is the one right after the current one.
    pub(crate) fn handle_view_change(&mut self, consecutive: bool) {
        self.continuous = self.collector.is_reconciled() && consecutive;
        self.collector = ReportCollector::default();
    }

    /// Whether the local member knows all earlier reservations of a key whose primary it is.
    pub(crate) fn may_order(&self, membership: &Membership, key: IdempotencyKey) -> bool {
        self.collector.is_reconciled() || self.continuous && membership.was_primary(key)
    }

    /// Nothing is left to report or to be reported.
    pub(crate) fn is_complete(&self) -> bool {
        self.collector.is_reconciled() && self.sender.is_acknowledged()
    }
}
