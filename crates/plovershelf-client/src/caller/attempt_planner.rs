//! Decides whether to send an attempt: it must be able to end before the deadline, and the retry budget must
//! allow it.
//!
//! Inputs: the call's class, deadline and attempts so far; latency of its class; the retry budget. Times are
//! in milliseconds.
//!
//! Rule: the time left until the deadline must exceed the round trip and be at least the lowest recent
//! latency of the class. A retry also needs the retry budget. The timeout sent to the backend is the time
//! left minus the round trip.
//!
//! Rationale: an attempt that cannot end in time wastes capacity, and retries without a budget amplify an
//! overload.

use std::sync::Arc;

use super::call::{Call, NextAttempt};
use super::context::Context;
use super::request_class::{ClassId, RequestClasses};
use super::retry_budget::RetryBudget;
use super::throttle::Acceptance;
use crate::config::ClientConfig;

/// Decision on an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Plan {
    /// Send the attempt with this timeout.
    Send { timeout_ms: f64 },
    /// The attempt could not end before the deadline.
    TooLate,
    /// The retry budget does not allow the attempt.
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

    /// Returns whether the throttle admits the first attempt of a call of this class.
    pub(super) fn throttle_admits(&mut self, context: &mut Context, class: ClassId) -> bool {
        self.classes.throttle_admits(context, class)
    }

    /// Decides on the next attempt of a call.
    pub(super) fn plan_next(&mut self, context: &mut Context, call: &Call) -> Plan {
        let time = self.classes.attempt_time(context, call.class, call.deadline_ms);
        let is_allowed = call.next_attempt() != NextAttempt::Retry || self.can_retry(context);
        match (time.is_sufficient, is_allowed) {
            (false, _) => Plan::TooLate,
            (true, false) => Plan::OverBudget,
            (true, true) => Plan::Send { timeout_ms: time.timeout_ms },
        }
    }

    /// Returns the timeout of a hedge in milliseconds. Returns `None` unless the call has exactly one attempt
    /// in flight, the hedge can end in time and the retry budget allows it.
    pub(super) fn hedge_timeout_ms(&mut self, context: &mut Context, call: &Call) -> Option<f64> {
        let time = self.classes.attempt_time(context, call.class, call.deadline_ms);
        let is_sent = time.is_sufficient && call.attempts().len() == 1 && self.can_retry(context);
        is_sent.then_some(time.timeout_ms)
    }

    /// Returns whether the retry budget allows a retry now.
    pub(super) fn can_retry(&mut self, context: &mut Context) -> bool {
        self.retry_budget.can_withdraw(context.now_ms, &mut context.random)
    }

    /// Records an attempt in the retry budget and the counters. The budget must allow it if it is a retry.
    pub(super) fn record_sent(&mut self, context: &mut Context, next: NextAttempt) {
        let Context { now_ms, random, counters, .. } = context;
        match next {
            NextAttempt::First => {
                self.retry_budget.deposit(*now_ms, random);
                counters.first_attempts += 1;
            }
            NextAttempt::ResendUnread => counters.resent_unread += 1,
            NextAttempt::Retry => {
                let is_allowed = self.retry_budget.try_withdraw(*now_ms, random);
                debug_assert!(is_allowed, "sent a retry that the retry budget does not allow");
                counters.retries += 1;
            }
        }
    }

    /// Returns when to hedge an attempt that is sent now, in milliseconds; `None` if hedging is off or the
    /// latency of the class is unknown.
    pub(super) fn hedge_at_ms(&self, context: &Context, class: ClassId) -> Option<f64> {
        context.config.hedge_percentile?;
        self.classes.hedge_delay_ms(class).map(|delay_ms| context.now_ms + delay_ms)
    }

    pub(super) fn record_success(&mut self, context: &Context, class: ClassId, latency_ms: f64) {
        self.classes.record_success(context, class, latency_ms);
    }

    pub(super) fn record_rejection(&mut self, context: &Context, latency_ms: f64) {
        self.classes.record_rejection(context.now_ms, latency_ms);
    }

    /// Records for the throttle that an admitted call has ended.
    pub(super) fn record_end(&mut self, context: &Context, class: ClassId, acceptance: Acceptance) {
        self.classes.record_end(context.now_ms, class, acceptance);
    }

    /// Returns whether an attempt that is sent at `at_ms` could still end before the call's deadline.
    pub(super) fn can_wait_until(&mut self, context: &Context, call: &Call, at_ms: f64) -> bool {
        let min_latency_ms = self.classes.min_latency_ms(context.now_ms, call.class);
        at_ms + min_latency_ms.max(context.config.initial_round_trip_ms) < call.deadline_ms
    }
}

#[cfg(test)]
mod tests;
