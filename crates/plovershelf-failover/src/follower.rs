//! How each acts by the plan: the newest that it was told of, while that is confirmed; after that, near, and no spill.
//!
//! Static stability: nothing of it needs the part that failed. A plan holds for its own span after it was last confirmed; then each
//! works out alone what is safe.
//!
//! | state | left by |
//! | --- | --- |
//! | near: no plan holds | a sound plan under a newer number |
//! | by plan N | a sound plan under a newer number; nothing confirmed for its span: near |

use crate::broken::{self, Broken};
use crate::traffic_plan::{band, Plan};

#[derive(Clone, Debug, PartialEq)]
pub struct Follower {
    zones: usize,
    plan: Plan,
    /// The newest number that was ever taken over: older ones are refused where they arrive, also after the plan has ended.
    number: u64,
    until: f64,
}

impl Follower {
    pub fn new(zones: usize) -> Self {
        Follower { zones, plan: Plan::near(zones), number: 0, until: f64::NEG_INFINITY }
    }

    /// The council's word under a number. True where it is acted by from now on.
    pub fn take(&mut self, now: f64, number: u64, plan: Plan) -> bool {
        let fenced = number > self.number || broken::is(Broken::PlanWithoutFence);
        if !fenced || !plan.is_sound(self.zones) {
            return false;
        }
        (self.number, self.until, self.plan) = (number, now + plan.valid_ms, plan);
        true
    }

    fn acts(&self, now: f64) -> bool {
        self.number > 0 && (now < self.until || broken::is(Broken::PlanWithoutFence))
    }

    /// The newest number taken over.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Which change of the plan is acted by; 0 for the safe default.
    pub fn change(&self, now: f64) -> u64 {
        self.plan(now).map_or(0, |plan| plan.change)
    }

    pub fn plan(&self, now: f64) -> Option<&Plan> {
        self.acts(now).then_some(&self.plan)
    }

    pub fn ends_at(&self) -> f64 {
        self.until
    }

    /// Where one of an origin's calls of a rank goes, by a draw from 0 to 1: a zone, or nothing where it is not worth sending.
    /// `bears` says whether its due time bears the way to a zone.
    pub fn choose(
        &self,
        now: f64,
        from: usize,
        rank: f64,
        draw: f64,
        bears: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let Some(plan) = self.plan(now) else { return Some(from) };
        let band = band(rank);
        let mut sum = 0.0;
        let fits = |to: usize| to == from || bears(to);
        for to in 0..self.zones {
            sum += plan.share(from, band, to);
            if draw < sum {
                return if fits(to) {
                    Some(to)
                } else {
                    (plan.share(from, band, from) > 0.0).then_some(from)
                };
            }
        }
        None
    }

    /// Where a second try goes, never where the plan sends nothing of this origin: the zone with the next largest share.
    pub fn again(&self, now: f64, from: usize, rank: f64, tried: &[usize]) -> Option<usize> {
        let Some(plan) = self.plan(now) else { return (!tried.contains(&from)).then_some(from) };
        let share = |to: usize| plan.share(from, band(rank), to);
        let open = (0..self.zones).filter(|to| !tried.contains(to) && share(*to) > 0.0);
        open.max_by(|a, b| share(*a).total_cmp(&share(*b)))
    }
}
