//! Decides whether to send a first attempt of a request class or to reject it locally (adaptive throttling).
//!
//! Inputs: the numbers of ended and of accepted calls of the class. Both decay exponentially over a window in
//! milliseconds.
//!
//! Rule: with `e` ended calls, `a` accepted calls, the ratio `k` and `p` accepted calls assumed in advance, a
//! call is rejected with the probability `(e - k (a + p)) / (e + 1)`, or never if that is negative.
//!
//! Rationale: while endpoints reject most calls of a class, each further request only adds the cost of
//! reading it. Local rejections count as ended, so that the throttle opens again when the demand falls. Calls
//! in flight are not counted: if they counted as ended, the throttle would reject the first calls of a
//! client. Source: "Handling Overload" in Site Reliability Engineering, client-side throttling.

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::config::ClientConfig;

/// Number of accepted calls assumed in advance, so that the first few rejections do not throttle a class.
const ASSUMED_ACCEPTED_CALLS: f64 = 5.0;

/// Whether endpoints accepted a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Acceptance {
    /// No endpoint rejected the call because of load, whatever its outcome.
    Accepted,
    /// The call was rejected or excluded by backpressure.
    Rejected,
}

#[derive(Debug)]
pub(super) struct Throttle {
    ratio: f64,
    window_ms: f64,
    /// Exponentially decaying number of ended calls.
    ended: f64,
    /// Exponentially decaying number of accepted calls.
    accepted: f64,
    /// When the decay was last applied, in milliseconds; `NaN` before the first call.
    decayed_at_ms: f64,
}

impl Throttle {
    pub(super) fn new(config: &ClientConfig) -> Self {
        Throttle {
            ratio: config.throttle_ratio,
            window_ms: config.throttle_window_ms,
            ended: 0.0,
            accepted: 0.0,
            decayed_at_ms: f64::NAN,
        }
    }

    /// Returns whether a call that starts now may be sent. Counts a rejected call as ended.
    pub(super) fn admits(&mut self, now_ms: f64, random: &mut Pcg32) -> bool {
        self.decay(now_ms);
        let rejection_probability =
            (self.ended - self.ratio * (self.accepted + ASSUMED_ACCEPTED_CALLS)) / (self.ended + 1.0);
        let admitted = rejection_probability <= 0.0 || random.random::<f64>() >= rejection_probability;
        if !admitted {
            self.ended += 1.0;
        }
        admitted
    }

    /// Records the end of an admitted call.
    pub(super) fn record(&mut self, now_ms: f64, acceptance: Acceptance) {
        self.decay(now_ms);
        self.ended += 1.0;
        self.accepted += f64::from(acceptance == Acceptance::Accepted);
    }

    /// Applies the exponential decay since the last update to both counts.
    fn decay(&mut self, now_ms: f64) {
        let elapsed_ms =
            if self.decayed_at_ms.is_nan() { 0.0 } else { (now_ms - self.decayed_at_ms).max(0.0) };
        let factor = (-elapsed_ms / self.window_ms).exp();
        self.ended *= factor;
        self.accepted *= factor;
        self.decayed_at_ms = now_ms;
    }
}

#[cfg(test)]
mod tests;
