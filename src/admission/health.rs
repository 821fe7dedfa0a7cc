//! Health of the backend.
//!
//! *Decides*: whether clients and health checks should avoid this server.
//! *Inputs*: outcomes of executions, contention for the cores, the recently admitted fraction of arrivals, the
//! phase of the drain.
//! *Rule*: the backend is unhealthy when more than [`MAX_FAILING_FRACTION`] of recent executions failed or were
//! cancelled, or when the drain is about to end. It is not ready when it is unhealthy, or when at most
//! [`MIN_READY_FRACTION`] of arrivals are admitted; the latter does not apply if service discovery follows
//! health checks.
//! *Why*: a hung, slow or failing server admits all arrivals, because its load does not show the fault. It
//! continues to execute arrivals, as only that shows its recovery. Executions cancelled during contention for
//! the cores are no fault of the server.
//! *Source*: Google SRE book, "Addressing Cascading Failures", on health checks; `docs/design.md`, "What
//! the design leaves open, and what was chosen" (Health checks) and "Departures".
//! *Without it*: a faulty server that fails fast attracts ever more requests. If readiness depended on load
//! where discovery follows health checks, a fleet that is overloaded as a whole would vanish from the endpoint
//! list.

use crate::admission::cpu::Contention;
use crate::admission::drain::DrainPhase;
use crate::admission::statistics::Smoothed;
use crate::api::RunOutcome;

/// Weight of an execution in the smoothed failing fraction.
const FAILING_WEIGHT: f64 = 0.1;
/// Failing fraction above which the backend is unhealthy.
const MAX_FAILING_FRACTION: f64 = 0.6;
/// Admitted fraction at or below which the backend is not ready.
const MIN_READY_FRACTION: f64 = 0.5;

/// Changes of readiness and of health since the last update.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct HealthChange {
    pub(super) ready: Option<bool>,
    pub(super) note: Option<&'static str>,
}

/// Recent outcomes, and the state announced last.
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

    /// Records an execution that ended or was cancelled.
    pub(super) fn record_execution(&mut self, outcome: RunOutcome, contention: Contention) {
        let is_failure = match outcome {
            RunOutcome::Failed => true,
            RunOutcome::Cancelled => contention == Contention::Normal,
            RunOutcome::Completed | RunOutcome::NotStarted => false,
        };
        self.failing_fraction.update(f64::from(u8::from(is_failure)), FAILING_WEIGHT);
    }

    /// Returns whether clients should avoid this server.
    pub(super) fn is_unhealthy(&self) -> bool {
        self.is_unhealthy
    }

    /// Re-evaluates health and readiness, and returns the changes.
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
