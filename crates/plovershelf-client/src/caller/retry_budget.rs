//! What limits a caller's tries: the budget that repeats are paid from, and the throttle that keeps first tries of an
//! offering here while members take few of them.

use std::collections::VecDeque;

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::config::Terms;

/// The span over which the share of repeats holds.
const WINDOW_MS: f64 = 1000.0;
/// First tries are counted in so many parts of the window, so that the memory of them is bounded.
const PARTS: f64 = 20.0;

/// Pays for repeats. In any window of a second they are at most a share of the first tries in it, rounded up or down
/// by chance so that a fleet of slow callers keeps to the share as a whole. One is paid in any case where there was none
/// for a long span.
///
/// A bucket of saved tokens would not do: forty callers that saved one each while all was well would spend them
/// in the same second, the one in which it stops being well.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    floor_ms: f64,
    /// First tries by parts of the window: when the part began, and how many.
    firsts: VecDeque<(f64, u32)>,
    firsts_in_all: u32,
    /// When repeats were paid from the share.
    repeats: VecDeque<f64>,
    last_paid: f64,
    /// The rounding of this second, and which second that is.
    rounding: (u64, f64),
}

impl RetryBudget {
    pub fn new(terms: &Terms) -> Self {
        RetryBudget {
            share: terms.repeat_share,
            floor_ms: terms.repeat_floor_ms,
            firsts: VecDeque::new(),
            firsts_in_all: 0,
            repeats: VecDeque::new(),
            // The first of the floor comes somewhere in its span: a whole fleet may begin at once.
            last_paid: f64::NAN,
            rounding: (u64::MAX, 0.0),
        }
    }

    fn forget(&mut self, now: f64) {
        while self.firsts.front().is_some_and(|(began, _)| *began <= now - WINDOW_MS) {
            self.firsts_in_all -= self.firsts.pop_front().map_or(0, |(_, count)| count);
        }
        while self.repeats.front().is_some_and(|paid| *paid <= now - WINDOW_MS) {
            self.repeats.pop_front();
        }
    }

    /// A first try is sent.
    pub fn first(&mut self, now: f64, chance: &mut Pcg32) {
        self.forget(now);
        if self.last_paid.is_nan() {
            self.last_paid = now - self.floor_ms * chance.random::<f64>();
        }
        match self.firsts.back_mut() {
            Some((began, count)) if now < *began + WINDOW_MS / PARTS => *count += 1,
            _ => self.firsts.push_back((now, 1)),
        }
        self.firsts_in_all += 1;
    }

    /// Would a repeat be paid now?
    pub fn may(&mut self, now: f64, chance: &mut Pcg32) -> bool {
        self.forget(now);
        let second = (now / WINDOW_MS) as u64;
        if self.rounding.0 != second {
            self.rounding = (second, chance.random());
        }
        let allowed = (self.share * f64::from(self.firsts_in_all) + self.rounding.1).floor();
        (self.repeats.len() as f64) < allowed || self.floor_is_due(now)
    }

    fn floor_is_due(&self, now: f64) -> bool {
        self.share > 0.0 && now - self.last_paid >= self.floor_ms
    }

    /// Pays for one repeat that is sent now, where that may be.
    pub fn pay(&mut self, now: f64, chance: &mut Pcg32) -> bool {
        if !self.may(now, chance) {
            return false;
        }
        self.last_paid = now;
        self.repeats.push_back(now);
        true
    }
}

/// Turns first tries of one offering away here, by chance, once members accept less than one in so many: then most
/// would only cost a reading there. What is turned away counts as ended, so that demand that falls opens it again. Calls
/// under way count for nothing yet.
#[derive(Debug)]
pub struct Throttle {
    times: f64,
    span_ms: f64,
    ended: f64,
    accepted: f64,
    at: f64,
}

/// So many are taken for accepted beforehand, so that the first few dismissals close nothing.
const TRUSTED: f64 = 5.0;

impl Throttle {
    pub fn new(terms: &Terms) -> Self {
        Throttle {
            times: terms.throttle_times,
            span_ms: terms.throttle_span_ms,
            ended: 0.0,
            accepted: 0.0,
            at: f64::NAN,
        }
    }

    fn fade(&mut self, now: f64) {
        let gone = if self.at.is_nan() { 0.0 } else { (now - self.at).max(0.0) };
        let left = (-gone / self.span_ms).exp();
        self.ended *= left;
        self.accepted *= left;
        self.at = now;
    }

    /// A call is asked for: may it go out?
    pub fn admits(&mut self, now: f64, chance: &mut Pcg32) -> bool {
        self.fade(now);
        let kept = (self.ended - self.times * (self.accepted + TRUSTED)) / (self.ended + 1.0);
        let goes = kept <= 0.0 || chance.random::<f64>() >= kept;
        if !goes {
            self.ended += 1.0;
        }
        goes
    }

    /// A call that went out has ended; `accepted` unless members turned it away.
    pub fn ended(&mut self, now: f64, accepted: bool) {
        self.fade(now);
        self.ended += 1.0;
        self.accepted += f64::from(accepted);
    }
}

#[cfg(test)]
mod tests;
