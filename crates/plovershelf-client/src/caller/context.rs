//! State that all parts of the state machine share.

use rand::SeedableRng;
use rand_pcg::Pcg32;

use super::action::{Action, CallId, CallOutcome, Counters};
use crate::config::ClientConfig;

/// Settings, current time, random numbers, pending actions and counters. Each part receives it by reference.
#[derive(Debug)]
pub(super) struct Context {
    pub(super) config: ClientConfig,
    pub(super) now_ms: f64,
    pub(super) random: Pcg32,
    pub(super) actions: Vec<Action>,
    pub(super) counters: Counters,
}

impl Context {
    pub(super) fn new(config: ClientConfig) -> Self {
        let random = Pcg32::seed_from_u64(config.seed);
        Context { config, now_ms: 0.0, random, actions: Vec::new(), counters: Counters::default() }
    }

    /// Advances the current time. A time that is earlier than the current one or not finite is ignored.
    pub(super) fn advance_to(&mut self, now_ms: f64) {
        self.now_ms = if now_ms.is_finite() { self.now_ms.max(now_ms) } else { self.now_ms };
    }

    /// Queues the action that returns the outcome of a call, and counts the outcome.
    pub(super) fn complete(&mut self, call: CallId, outcome: CallOutcome) {
        self.counters.count_outcome(&outcome);
        self.actions.push(Action::Complete { call, outcome });
    }
}
