//! Decides whether the retry budget allows a retry or a hedge.
//!
//! Inputs: the times of first attempts and retries, in milliseconds.
//!
//! Rule: in any second, the number of retries is at most a fraction of the first attempts in that second,
//! rounded up or down at random. One retry is also allowed if there was none for `min_retry_interval_ms`,
//! unless the fraction is 0.
//!
//! Rationale: retries must not amplify an overload. The budget covers a sliding window of one second and does
//! not accumulate tokens: otherwise every client of a fleet would save tokens while there are no failures and
//! use them all in the second in which an overload begins. Random rounding keeps a fleet of clients with low
//! rates at the fraction as a whole: rounding down would allow them no retry, rounding up one each. Source:
//! "Handling Overload" in Site Reliability Engineering; `RetryBudget` in Finagle.

use std::collections::VecDeque;

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::config::ClientConfig;

/// Length of the sliding window that the budget covers.
const WINDOW_MS: f64 = 1000.0;
/// Number of buckets per window in which first attempts are counted, to bound the memory.
const BUCKETS_PER_WINDOW: f64 = 20.0;

/// Number of first attempts in a part of the window.
#[derive(Debug)]
struct Bucket {
    start_ms: f64,
    count: u32,
}

/// Random rounding of the allowance, drawn once per second.
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
    /// Sum over all buckets.
    first_attempt_count: u32,
    /// Times of the retries in the window, in milliseconds.
    retries: VecDeque<f64>,
    /// Time of the last retry in milliseconds; `NaN` until the first attempt.
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

    /// Records a first attempt that is sent now.
    pub(super) fn deposit(&mut self, now_ms: f64, random: &mut Pcg32) {
        self.expire_before_window(now_ms);
        if self.last_retry_ms.is_nan() {
            // Starts the minimum retry interval at a random offset, because a whole fleet may start at the
            // same time.
            self.last_retry_ms = now_ms - self.min_interval_ms * random.random::<f64>();
        }
        match self.first_attempts.back_mut() {
            Some(bucket) if now_ms < bucket.start_ms + WINDOW_MS / BUCKETS_PER_WINDOW => bucket.count += 1,
            _ => self.first_attempts.push_back(Bucket { start_ms: now_ms, count: 1 }),
        }
        self.first_attempt_count += 1;
    }

    /// Returns whether the budget allows a retry now.
    pub(super) fn can_withdraw(&mut self, now_ms: f64, random: &mut Pcg32) -> bool {
        self.expire_before_window(now_ms);
        let second = (now_ms / WINDOW_MS) as u64;
        if self.rounding.second != second {
            self.rounding = Rounding { second, draw: random.random() };
        }
        let allowed = (self.fraction * f64::from(self.first_attempt_count) + self.rounding.draw).floor();
        (self.retries.len() as f64) < allowed || self.interval_has_passed(now_ms)
    }

    /// Records a retry that is sent now. Returns false if the budget does not allow it.
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

    fn expire_before_window(&mut self, now_ms: f64) {
        while self.first_attempts.front().is_some_and(|bucket| bucket.start_ms <= now_ms - WINDOW_MS) {
            self.first_attempt_count -= self.first_attempts.pop_front().map_or(0, |bucket| bucket.count);
        }
        while self.retries.front().is_some_and(|sent_ms| *sent_ms <= now_ms - WINDOW_MS) {
            self.retries.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
