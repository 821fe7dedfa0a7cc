//! A caller's side: where each call goes, what was seen of zones, and what is told to members that it asks for the plan.
//!
//! It opens nothing: whoever uses it asks a member ([`crate::messages::Ask::Outside`] with [`Guide::outside`]), hands the answer to
//! [`Guide::hear`], and asks again after [`ASK_MS`], near members first and any other when these say nothing.

use crate::follower::Follower;
use crate::load_reports::Outside;
use crate::messages::Status;
use crate::traffic_plan::{band, Plan, BANDS};

/// Between two askings, in milliseconds.
pub const ASK_MS: f64 = 300.0;
/// What was seen counts for half after so long.
const HALF_MS: f64 = 1000.0;

#[derive(Clone, Debug)]
pub struct Guide {
    from: usize,
    follower: Follower,
    tried: Vec<[f64; 2]>,
    away: [f64; BANDS],
    /// Since when what went away was counted, and when what was seen last faded.
    away_since: f64,
    faded_at: f64,
}

impl Guide {
    /// Of a caller in the zone of that place.
    pub fn new(from: usize, zones: usize, now: f64) -> Self {
        Guide {
            from,
            follower: Follower::new(zones),
            tried: vec![[0.0; 2]; zones],
            away: [0.0; BANDS],
            away_since: now,
            faded_at: now,
        }
    }

    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// Where a call of a rank goes first, by a draw from 0 to 1: a zone, or nothing where it is not worth sending. `bears` says
    /// whether its due time bears the way to a zone; `work_ms` is what it asks of a core.
    pub fn first(
        &mut self,
        now: f64,
        rank: f64,
        work_ms: f64,
        draw: f64,
        bears: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let to = self.follower.choose(now, self.from, rank, draw, bears);
        if to != Some(self.from) {
            self.away[band(rank)] += work_ms.max(0.0);
        }
        to
    }

    /// Where it goes after tries at these zones; nothing where the plan sends nothing of it any further.
    pub fn again(&self, now: f64, rank: f64, tried: &[usize]) -> Option<usize> {
        self.follower.again(now, self.from, rank, tried)
    }

    /// A try came to its end: whether the zone answered at all, be it with a dismissal.
    pub fn saw(&mut self, now: f64, zone: usize, answered: bool) {
        self.fade(now);
        if let Some(tried) = self.tried.get_mut(zone) {
            *tried = [tried[0] + 1.0, tried[1] + f64::from(u8::from(answered))];
        }
    }

    fn fade(&mut self, now: f64) {
        let part = 0.5f64.powf((now - self.faded_at).max(0.0) / HALF_MS);
        self.tried.iter_mut().flatten().for_each(|count| *count *= part);
        self.faded_at = self.faded_at.max(now);
    }

    /// What is told to the member that is asked next; what went away is counted anew from here.
    pub fn outside(&mut self, now: f64) -> Outside {
        self.fade(now);
        let span = (now - std::mem::replace(&mut self.away_since, now)).max(1.0);
        let away = std::mem::take(&mut self.away).map(|ms| ms / span);
        Outside { origin: self.from, away, tried: self.tried.clone() }
    }

    /// A member's answer. It holds no longer than it does there, so nobody acts by a plan that the member itself has let go.
    pub fn hear(&mut self, now: f64, status: &Status) -> bool {
        status.acts
            && self.follower.take(
                now,
                status.number,
                Plan { valid_ms: status.left_ms, ..status.plan.clone() },
            )
    }
}

#[cfg(test)]
mod tests;
