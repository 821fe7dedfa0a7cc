//! Decides whether a first attempt of a request class is sent or rejected locally (adaptive throttling).
//!
//! Inputs: calls of the class that ended, and whether endpoints accepted them; both fade over a window in milliseconds.
//!
//! Rule: with `e` calls ended, `a` accepted, a ratio `k` and `t` calls trusted beforehand, a call is rejected with the
//! probability `(e - k (a + t)) / (e + 1)`, or never where that is below 0.
//!
//! Why: once endpoints reject most of a class, each further request only costs them its reading. Local rejections count as ended, so
//! that less demand opens the throttle again. Calls in flight count for nothing: counted as ended they would reject the first
//! calls of a client. Source: "Handling Overload" in Site Reliability Engineering, client-side throttling.

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::config::ClientConfig;

/// Calls taken for accepted beforehand, so that the first few rejections close nothing.
const TRUSTED_CALLS: f64 = 5.0;

/// What the end of a call says about the endpoints' load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Acceptance {
    /// They took it, whatever came of it.
    Accepted,
    /// They rejected it, or advised against it.
    Rejected,
}

#[derive(Debug)]
pub(super) struct Throttle {
    ratio: f64,
    window_ms: f64,
    ended: f64,
    accepted: f64,
    /// When the counts last faded; `NaN` before the first call.
    faded_ms: f64,
}

impl Throttle {
    pub(super) fn new(config: &ClientConfig) -> Self {
        Throttle {
            ratio: config.throttle_ratio,
            window_ms: config.throttle_window_ms,
            ended: 0.0,
            accepted: 0.0,
            faded_ms: f64::NAN,
        }
    }

    /// May a call that is made now be sent?
    pub(super) fn admits(&mut self, now_ms: f64, random: &mut Pcg32) -> bool {
        self.fade(now_ms);
        let rejected_fraction =
            (self.ended - self.ratio * (self.accepted + TRUSTED_CALLS)) / (self.ended + 1.0);
        let admitted = rejected_fraction <= 0.0 || random.random::<f64>() >= rejected_fraction;
        if !admitted {
            self.ended += 1.0;
        }
        admitted
    }

    /// A call that was admitted has ended.
    pub(super) fn record(&mut self, now_ms: f64, acceptance: Acceptance) {
        self.fade(now_ms);
        self.ended += 1.0;
        self.accepted += f64::from(acceptance == Acceptance::Accepted);
    }

    fn fade(&mut self, now_ms: f64) {
        let elapsed_ms = if self.faded_ms.is_nan() { 0.0 } else { (now_ms - self.faded_ms).max(0.0) };
        let left = (-elapsed_ms / self.window_ms).exp();
        self.ended *= left;
        self.accepted *= left;
        self.faded_ms = now_ms;
    }
}

#[cfg(test)]
mod tests;
