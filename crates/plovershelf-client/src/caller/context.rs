//! What every part of a caller works with: the settings, the time, random draws, and where actions and counts go.

use rand::SeedableRng;
use rand_pcg::Pcg32;

use super::action::{Action, CallId, CallOutcome, Counters};
use crate::config::ClientConfig;

/// Handed by reference to each part that decides something.
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

    /// Moves the time on. A clock that goes back is held still.
    pub(super) fn advance_to(&mut self, now_ms: f64) {
        self.now_ms = if now_ms.is_finite() { self.now_ms.max(now_ms) } else { self.now_ms };
    }

    /// Hands out the outcome of a call and counts it.
    pub(super) fn complete(&mut self, call: CallId, outcome: CallOutcome) {
        self.counters.count_outcome(&outcome);
        self.actions.push(Action::Complete { call, outcome });
    }
}
