//! Decides whether an attempt of a call is worth sending: it can end before the deadline, and is paid for.
//!
//! Inputs: the call's class, deadline and attempts so far; latency of its class; the retry budget. Times are milliseconds.
//!
//! Rule: what is left before the deadline must exceed the round trip and reach the fastest recent time of the class; a retry
//! must be allowed by the retry budget. The backend is told what is left without the round trip.
//!
//! Why: an attempt that cannot end in time costs capacity and brings nothing; retries without a budget multiply an overload.

use std::sync::Arc;

use super::call::{Call, NextAttempt};
use super::context::Context;
use super::request_class::{ClassId, RequestClasses};
use super::retry_budget::RetryBudget;
use super::throttle::Acceptance;
use crate::config::ClientConfig;

/// Whether an attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Plan {
    /// The endpoint has this time.
    Send { timeout_ms: f64 },
    /// It could not end before the deadline.
    TooLate,
    /// The retry budget does not allow it.
    OverBudget,
}

#[derive(Debug)]
pub(super) struct AttemptPlanner {
    classes: RequestClasses,
    retry_budget: RetryBudget,
}

impl AttemptPlanner {
    pub(super) fn new(config: &ClientConfig) -> Self {
        AttemptPlanner { classes: RequestClasses::new(config), retry_budget: RetryBudget::new(config) }
    }

    pub(super) fn class_of(&mut self, name: &Arc<str>, config: &ClientConfig) -> ClassId {
        self.classes.id_of(name, config)
    }

    /// May the first attempt of a call of this class be sent?
    pub(super) fn throttle_admits(&mut self, context: &mut Context, class: ClassId) -> bool {
        self.classes.throttle_admits(context, class)
    }

    pub(super) fn plan_next(&mut self, context: &mut Context, call: &Call) -> Plan {
        let time = self.classes.attempt_time(context, call.class, call.deadline_ms);
        let is_allowed = call.next_attempt() != NextAttempt::Retry || self.can_retry(context);
        match (time.is_sufficient, is_allowed) {
            (false, _) => Plan::TooLate,
            (true, false) => Plan::OverBudget,
            (true, true) => Plan::Send { timeout_ms: time.timeout_ms },
        }
    }

    /// The time of a hedge, if one is sent: the call has one attempt in flight, and a retry is allowed.
    pub(super) fn hedge_timeout_ms(&mut self, context: &mut Context, call: &Call) -> Option<f64> {
        let time = self.classes.attempt_time(context, call.class, call.deadline_ms);
        let is_sent = time.is_sufficient && call.attempts().len() == 1 && self.can_retry(context);
        is_sent.then_some(time.timeout_ms)
    }

    pub(super) fn can_retry(&mut self, context: &mut Context) -> bool {
        self.retry_budget.can_withdraw(context.now_ms, &mut context.random)
    }

    /// Accounts for an attempt that is sent. A retry must have been allowed.
    pub(super) fn record_sent(&mut self, context: &mut Context, next: NextAttempt) {
        let Context { now_ms, random, counters, .. } = context;
        match next {
            NextAttempt::First => {
                self.retry_budget.deposit(*now_ms, random);
                counters.first_attempts += 1;
            }
            NextAttempt::ResendUnread => counters.resent_unread += 1,
            NextAttempt::Retry => {
                let is_paid = self.retry_budget.try_withdraw(*now_ms, random);
                debug_assert!(is_paid, "a retry was not paid for");
                counters.retries += 1;
            }
        }
    }

    /// When an attempt that is sent now and is alone in flight is hedged; `None` where it is not.
    pub(super) fn hedge_at_ms(&self, context: &Context, class: ClassId) -> Option<f64> {
        context.config.hedge_percentile?;
        self.classes.hedge_delay_ms(class).map(|delay_ms| context.now_ms + delay_ms)
    }

    pub(super) fn record_success(&mut self, context: &Context, class: ClassId, took_ms: f64) {
        self.classes.record_success(context, class, took_ms);
    }

    pub(super) fn record_rejection(&mut self, context: &Context, took_ms: f64) {
        self.classes.record_rejection(context.now_ms, took_ms);
    }

    /// A call that the throttle admitted has ended.
    pub(super) fn record_end(&mut self, context: &Context, class: ClassId, acceptance: Acceptance) {
        self.classes.record_end(context.now_ms, class, acceptance);
    }

    /// Whether a call that is placed at this time could still end before its deadline.
    pub(super) fn can_wait_until(&mut self, context: &Context, call: &Call, at_ms: f64) -> bool {
        let fastest_ms = self.classes.fastest_ms(context.now_ms, call.class);
        at_ms + fastest_ms.max(context.config.initial_round_trip_ms) < call.deadline_ms
    }
}

#[cfg(test)]
mod tests;
