//! Keeps calls from a member that fails, and lets them come back slowly.

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::config::Terms;

/// | state | left by | to |
/// | --- | --- | --- |
/// | `Closed` | failures of late over the share, or a fault | `Open` |
/// | `Open` | its rest is over and a call is let through | `Probing` |
/// | `Probing` | that call ends well | `Returning` |
/// | `Probing` | that call fails | `Open`, for longer |
/// | `Probing` | it ends unheard, given up by its caller | `Open`, as long as before |
/// | `Returning` | its span is over | `Closed` |
/// | `Returning` | failures over the share, or a fault | `Open`, for longer |
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BreakerState {
    Closed,
    Open { until: f64 },
    Probing,
    Returning { since: f64 },
}

#[derive(Debug)]
pub struct Breaker {
    state: BreakerState,
    /// Of late, each fading over the span.
    well: f64,
    failed: f64,
    at: f64,
    /// Times it has opened since it last came back wholly.
    opened: u32,
}

impl Default for Breaker {
    fn default() -> Self {
        Breaker { state: BreakerState::Closed, well: 0.0, failed: 0.0, at: 0.0, opened: 0 }
    }
}

impl Breaker {
    #[cfg(test)]
    pub fn state(&self) -> BreakerState {
        self.state
    }

    fn change(&mut self, to: BreakerState) {
        self.state = to;
        if matches!(to, BreakerState::Open { .. } | BreakerState::Returning { .. }) {
            (self.well, self.failed) = (0.0, 0.0);
        }
    }

    pub fn is_closed(&self) -> bool {
        self.state == BreakerState::Closed
    }

    /// It does not keep all calls away, as far as time alone tells.
    pub fn looks_well(&self, now: f64) -> bool {
        match self.state {
            BreakerState::Closed | BreakerState::Returning { .. } => true,
            BreakerState::Open { until } => until <= now,
            BreakerState::Probing => false,
        }
    }

    /// When it lets a call through at the earliest; `None` while one is on its way to tell.
    pub fn opens_at(&self, now: f64) -> Option<f64> {
        match self.state {
            BreakerState::Closed | BreakerState::Returning { .. } => Some(now),
            BreakerState::Open { until } => Some(until.max(now)),
            BreakerState::Probing => None,
        }
    }

    /// May a call go there now? Nothing changes by the question.
    pub fn admits(&self, now: f64, terms: &Terms, chance: &mut Pcg32) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Open { until } => until <= now,
            BreakerState::Probing => false,
            BreakerState::Returning { since } => {
                let part = 0.1 + 0.9 * (now - since) / terms.breaker_return_ms.max(1.0);
                part >= 1.0 || chance.random::<f64>() < part
            }
        }
    }

    /// A call goes there.
    pub fn sent(&mut self, now: f64, terms: &Terms) {
        match self.state {
            BreakerState::Open { until } if until <= now => self.change(BreakerState::Probing),
            BreakerState::Returning { since } if now - since >= terms.breaker_return_ms => {
                self.opened = 0;
                self.change(BreakerState::Closed);
            }
            _ => {}
        }
    }

    fn fade(&mut self, now: f64, terms: &Terms) {
        let left = (-(now - self.at).max(0.0) / terms.breaker_span_ms).exp();
        (self.well, self.failed, self.at) = (self.well * left, self.failed * left, now);
    }

    /// It has answered as a member does that is well; a dismissal counts.
    pub fn well(&mut self, now: f64, terms: &Terms) {
        self.fade(now, terms);
        self.well += 1.0;
        if self.state == BreakerState::Probing {
            self.change(BreakerState::Returning { since: now });
        }
    }

    /// A call failed there.
    pub fn failed(&mut self, now: f64, terms: &Terms, chance: &mut Pcg32) {
        self.fade(now, terms);
        self.failed += 1.0;
        let many = self.failed >= terms.breaker_least
            && self.failed >= terms.breaker_share * (self.failed + self.well);
        match self.state {
            BreakerState::Probing => self.open(now, terms, chance),
            BreakerState::Closed | BreakerState::Returning { .. } if many => self.open(now, terms, chance),
            _ => {}
        }
    }

    /// It does what no member does: garbage, silence.
    pub fn fault(&mut self, now: f64, terms: &Terms, chance: &mut Pcg32) {
        if !matches!(self.state, BreakerState::Open { until } if until > now) {
            self.open(now, terms, chance);
        }
    }

    /// The call that was to tell will not: the next one may.
    pub fn unheard(&mut self, now: f64) {
        if self.state == BreakerState::Probing {
            self.change(BreakerState::Open { until: now });
        }
    }

    /// Each rest is twice the last, and falls at random into its second half, so that callers do not come back
    /// together.
    fn open(&mut self, now: f64, terms: &Terms, chance: &mut Pcg32) {
        let rest = terms.breaker_rest_ms * f64::from(1u32 << self.opened.min(16));
        let rest = rest.min(terms.breaker_rest_most_ms) * (0.5 + 0.5 * chance.random::<f64>());
        self.opened = self.opened.saturating_add(1);
        self.change(BreakerState::Open { until: now + rest });
    }
}

#[cfg(test)]
mod tests;
