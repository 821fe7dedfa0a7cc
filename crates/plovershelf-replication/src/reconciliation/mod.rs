//! Reconciliation: after a view change, each primary collects what all members store and execute for its keys and resolves
//! the state of each key before it accepts new reservations.
//!
//! | state of the local member as a primary | event | next |
//! | --- | --- | --- |
//! | any | view change | collecting; reports are sent to all other members |
//! | collecting | all members' reports are complete | reconciled; each key is resolved ([`resolution`]) and repair starts |
//!
//! While collecting, a primary orders reservations only of keys whose primary it also was in the immediately preceding view,
//! and only if it had reached the reconciled state in that view: it then knows all reservations of these keys.

mod collector;
mod resolution;
mod sender;

pub(crate) use collector::{CollectedReports, ReportCollector, ReportStatus};
pub(crate) use resolution::{resolve, KeyState, Resolution};
pub(crate) use sender::ReportSender;

use crate::membership::Membership;
use crate::placement::IdempotencyKey;

/// Reconciliation state of the local member.
#[derive(Clone, Debug)]
pub(crate) struct Reconciliation {
    pub(crate) collector: ReportCollector,
    pub(crate) sender: ReportSender,
    /// Whether the local member had received the complete reports of all members in the immediately preceding view.
    /// False if the local member did not install that view.
    was_reconciled: bool,
}

impl Reconciliation {
    pub(crate) fn new(now_ms: f64) -> Self {
        Reconciliation {
            collector: ReportCollector::default(),
            sender: ReportSender::new(now_ms),
            was_reconciled: false,
        }
    }

    /// Starts collecting for a new view. Must be called before the membership is updated; `consecutive` means that the new
    /// view is the immediate successor of the current one.
    pub(crate) fn handle_view_change(&mut self, consecutive: bool) {
        self.was_reconciled = self.collector.is_reconciled() && consecutive;
        self.collector = ReportCollector::default();
    }

    /// Returns whether the local member knows all earlier reservations of a key whose primary it is, and so may order more.
    pub(crate) fn may_order(&self, membership: &Membership, key: IdempotencyKey) -> bool {
        self.collector.is_reconciled() || self.was_reconciled && membership.was_primary(key)
    }

    /// Returns whether all reports have been received and all own reports acknowledged.
    pub(crate) fn is_complete(&self) -> bool {
        self.collector.is_reconciled() && self.sender.is_acknowledged()
    }
}
