//! Decides whether a retry or a hedge may be sent.
//!
//! Inputs: first attempts and retries, with their times in milliseconds.
//!
//! Rule: in any second, retries are at most a fraction of the first attempts in it, rounded up or down by a draw; and one is
//! allowed where there was none for a long interval, unless the fraction is 0.
//!
//! Why: retries must not add to an overload. The budget looks back on one second instead of saving tokens, because a fleet whose
//! clients each saved one through a calm period would spend them all in the same second, the one in which the trouble begins. The
//! draw keeps a fleet of slow clients to the fraction as a whole: rounding down would leave them no retry, rounding up one each.
//! Source: "Handling Overload" in Site Reliability Engineering; `RetryBudget` in Finagle.

use std::collections::VecDeque;

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::config::ClientConfig;

/// The window over which the fraction holds.
const WINDOW_MS: f64 = 1000.0;
/// First attempts are counted in this many buckets a window, so that the memory for them is bounded.
const BUCKETS_PER_WINDOW: f64 = 20.0;

/// First attempts since a bucket began.
#[derive(Debug)]
struct Bucket {
    began_ms: f64,
    count: u32,
}

/// The draw that rounds the allowance in one second.
#[derive(Debug)]
struct Rounding {
    second: u64,
    draw: f64,
}

#[derive(Debug)]
pub(super) struct RetryBudget {
    fraction: f64,
    min_interval_ms: f64,
    first_attempts: VecDeque<Bucket>,
    first_attempt_count: u32,
    /// When retries were paid for.
    retries: VecDeque<f64>,
    /// `NaN` until the first attempt.
    last_retry_ms: f64,
    rounding: Rounding,
}

impl RetryBudget {
    pub(super) fn new(config: &ClientConfig) -> Self {
        RetryBudget {
            fraction: config.retry_budget_fraction,
            min_interval_ms: config.min_retry_interval_ms,
            first_attempts: VecDeque::new(),
            first_attempt_count: 0,
            retries: VecDeque::new(),
            last_retry_ms: f64::NAN,
            rounding: Rounding { second: u64::MAX, draw: 0.0 },
        }
    }

    /// A first attempt is sent.
    pub(super) fn deposit(&mut self, now_ms: f64, random: &mut Pcg32) {
        self.forget_before_window(now_ms);
        if self.last_retry_ms.is_nan() {
            // A whole fleet may start at once: the first retry of the interval falls somewhere in it.
            self.last_retry_ms = now_ms - self.min_interval_ms * random.random::<f64>();
        }
        match self.first_attempts.back_mut() {
            Some(bucket) if now_ms < bucket.began_ms + WINDOW_MS / BUCKETS_PER_WINDOW => bucket.count += 1,
            _ => self.first_attempts.push_back(Bucket { began_ms: now_ms, count: 1 }),
        }
        self.first_attempt_count += 1;
    }

    /// Would a retry be allowed now?
    pub(super) fn can_withdraw(&mut self, now_ms: f64, random: &mut Pcg32) -> bool {
        self.forget_before_window(now_ms);
        let second = (now_ms / WINDOW_MS) as u64;
        if self.rounding.second != second {
            self.rounding = Rounding { second, draw: random.random() };
        }
        let allowed = (self.fraction * f64::from(self.first_attempt_count) + self.rounding.draw).floor();
        (self.retries.len() as f64) < allowed || self.interval_has_passed(now_ms)
    }

    /// Pays for a retry that is sent now, if it is allowed.
    pub(super) fn try_withdraw(&mut self, now_ms: f64, random: &mut Pcg32) -> bool {
        if !self.can_withdraw(now_ms, random) {
            return false;
        }
        self.last_retry_ms = now_ms;
        self.retries.push_back(now_ms);
        true
    }

    fn interval_has_passed(&self, now_ms: f64) -> bool {
        self.fraction > 0.0 && now_ms - self.last_retry_ms >= self.min_interval_ms
    }

    fn forget_before_window(&mut self, now_ms: f64) {
        while self.first_attempts.front().is_some_and(|bucket| bucket.began_ms <= now_ms - WINDOW_MS) {
            self.first_attempt_count -= self.first_attempts.pop_front().map_or(0, |bucket| bucket.count);
        }
        while self.retries.front().is_some_and(|paid_ms| *paid_ms <= now_ms - WINDOW_MS) {
            self.retries.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
