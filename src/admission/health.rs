//! Health of the backend.
//!
//! *Decides*: whether clients and health checks are told to stay away.
//! *Inputs*: outcomes of executions, contention for the cores, the fraction of arrivals admitted of late, the
//! phase of the drain.
//! *Rule*: unhealthy when over [`MAX_FAILING_FRACTION`] of executions of late failed or were given up, or
//! when the drain is nearly over. Not ready when unhealthy, or when no more than [`MIN_READY_FRACTION`] of
//! arrivals is admitted; the latter not where service discovery follows health checks.
//! *Why*: a hung, slow or failing server admits all that comes, as its load says nothing. It goes on
//! executing what comes, as only that shows when it is well. What was given up while the cores are crowded is
//! no fault of the server.
//! *Source*: Google SRE book, "Addressing Cascading Failures", on health checks; `docs/design.md`, "What
//! the design leaves open, and what was chosen" (Health checks) and "Departures".
//! *Without it*: a faulty server that fails fast attracts ever more requests. With readiness bound to load
//! where discovery follows it, a fleet that is overloaded as a whole vanishes from the endpoint list.

use crate::admission::cpu::Contention;
use crate::admission::drain::DrainPhase;
use crate::admission::statistics::Smoothed;
use crate::api::RunOutcome;

/// Weight of an execution in the failing fraction.
const FAILING_WEIGHT: f64 = 0.1;
/// Failing fraction above which the backend is unhealthy.
const MAX_FAILING_FRACTION: f64 = 0.6;
/// Admitted fraction up to which the backend is not ready.
const MIN_READY_FRACTION: f64 = 0.5;

/// What changed in the backend's health.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct HealthChange {
    pub(super) ready: Option<bool>,
    pub(super) note: Option<&'static str>,
}

/// Outcomes of late, and what was announced last.
pub(super) struct Health {
    discovery_follows_health: bool,
    failing_fraction: Smoothed,
    is_unhealthy: bool,
    is_ready: bool,
}

impl Health {
    pub(super) fn new(discovery_follows_health: bool) -> Self {
        Health {
            discovery_follows_health,
            failing_fraction: Smoothed::new(0.0),
            is_unhealthy: false,
            is_ready: true,
        }
    }

    /// An execution ended, or was given up.
    pub(super) fn record_execution(&mut self, outcome: RunOutcome, contention: Contention) {
        let is_failure = match outcome {
            RunOutcome::Failed => true,
            RunOutcome::Cancelled => contention == Contention::Normal,
            RunOutcome::Completed | RunOutcome::NotStarted => false,
        };
        self.failing_fraction.update(f64::from(u8::from(is_failure)), FAILING_WEIGHT);
    }

    /// Whether clients are told to stay away.
    pub(super) fn is_unhealthy(&self) -> bool {
        self.is_unhealthy
    }

    /// Judges anew, and says what changed.
    pub(super) fn update(&mut self, drain: DrainPhase, admitted_fraction: f64) -> HealthChange {
        let is_ending = drain == DrainPhase::Ending;
        let is_unhealthy = is_ending || self.failing_fraction.value() > MAX_FAILING_FRACTION;
        let admits_enough = self.discovery_follows_health || admitted_fraction > MIN_READY_FRACTION;
        let is_ready = !is_unhealthy && admits_enough;
        let was_ready = std::mem::replace(&mut self.is_ready, is_ready);
        let was_unhealthy = std::mem::replace(&mut self.is_unhealthy, is_unhealthy);
        let note = match (was_unhealthy, is_unhealthy) {
            (false, true) if is_ending => Some("unhealthy: draining"),
            (false, true) => Some("unhealthy: executions fail or do not end"),
            (true, false) => Some("healthy again"),
            _ => None,
        };
        HealthChange { ready: (is_ready != was_ready).then_some(is_ready), note }
    }
}

#[cfg(test)]
mod tests;
