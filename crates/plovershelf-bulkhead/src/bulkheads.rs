//! The pools of one backend: which offering is in which, a limit each on runs and on calls that adapts to what those
//! take, and the rooms that keep the sums within what the backend and its ledger survive.
//!
//! | told | when |
//! | --- | --- |
//! | `bound` | the crowd that may run, or the share of calls, has changed: cold, warming, shrunk |
//! | `waits` | how much of a pool waits for a core, or for its call |
//! | `begin`, `end` | a run or a call begins, if it may; ends, after so long, well or not |
//! | `replace` | the operator's file was read again |

use crate::capacity::{PoolTerms, Reserve, Rooms};
use crate::concurrency_limit::{Bounds, Limit, Way};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Run,
    Call,
}

/// One pool in both kinds of room.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    pub name: String,
    /// Places of its offerings in the backend's table. One pool, the first, takes those that no pool names.
    pub offerings: Vec<usize>,
    pub least_runs: usize,
    pub most_runs: usize,
    pub least_calls: usize,
    pub most_calls: usize,
    pub weight: f64,
}

/// What all pools of a backend are.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub pools: Vec<Terms>,
    pub reserve: Option<Reserve>,
}

/// What is to be seen of one pool, of one kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    pub in_hand: usize,
    pub limit: f64,
    pub borrowed: usize,
    /// Times that one more was not let begin since this was last asked.
    pub held_back: u64,
    pub base_ms: Option<f64>,
}

#[derive(Clone, Debug)]
struct Side {
    rooms: Rooms,
    limits: Vec<Limit>,
    total: usize,
    held_back: Vec<u64>,
}

impl Side {
    fn new(plan: &Plan, kind: Kind, total: usize) -> Result<Self, String> {
        let terms = |pool: &Terms| {
            let (least, most) = match kind {
                Kind::Run => (pool.least_runs, pool.most_runs),
                Kind::Call => (pool.least_calls, pool.most_calls),
            };
            PoolTerms { name: pool.name.clone(), least, most, weight: pool.weight }
        };
        let terms: Vec<PoolTerms> = plan.pools.iter().map(terms).collect();
        let limit = |pool: &PoolTerms| {
            let bounds = Bounds { least: pool.least.max(1) as f64, most: pool.most.max(1) as f64 };
            // A cold one begins at its part, not at its most: what it takes is not known.
            let sum: f64 = terms.iter().map(|other| other.weight).sum();
            Limit::new(Way::Additive, bounds, total as f64 * pool.weight / sum)
        };
        let limits = terms.iter().map(limit).collect();
        let held_back = vec![0; terms.len()];
        let rooms = Rooms::new(terms.clone(), plan.reserve, total).map_err(|wrong| {
            format!("{wrong}, counted in {}", if kind == Kind::Run { "runs" } else { "calls" })
        })?;
        Ok(Side { rooms, limits, total, held_back })
    }
}

#[derive(Clone, Debug)]
pub struct Pools {
    plan: Plan,
    /// The pool of each offering.
    of: Vec<usize>,
    runs: Side,
    calls: Side,
}

impl Pools {
    /// Pools for so many offerings, with room for so many runs and calls when warm.
    ///
    /// Errors: an offering in two pools, or that does not exist; what [`Rooms::new`] says of either kind.
    pub fn new(plan: Plan, offerings: usize, runs: usize, calls: usize) -> Result<Self, String> {
        let mut of = vec![None; offerings];
        for (place, pool) in plan.pools.iter().enumerate() {
            for offering in &pool.offerings {
                match of.get_mut(*offering) {
                    None => {
                        return Err(format!("[pool {}] names offering {offering} of {offerings}", pool.name))
                    }
                    Some(Some(other)) => {
                        let other: &Terms = &plan.pools[*other];
                        return Err(format!(
                            "[pool {}] names an offering of [pool {}]",
                            pool.name, other.name
                        ));
                    }
                    Some(slot) => *slot = Some(place),
                }
            }
        }
        let of = of.into_iter().map(|pool: Option<usize>| pool.unwrap_or(0)).collect();
        let (runs, calls) = (Side::new(&plan, Kind::Run, runs)?, Side::new(&plan, Kind::Call, calls)?);
        Ok(Pools { plan, of, runs, calls })
    }

    /// The pool of an offering.
    pub fn pool(&self, offering: usize) -> usize {
        self.of.get(offering).copied().unwrap_or(0)
    }

    fn side(&mut self, kind: Kind) -> &mut Side {
        match kind {
            Kind::Run => &mut self.runs,
            Kind::Call => &mut self.calls,
        }
    }

    /// So much may be in hand of all pools from now on.
    pub fn bound(&mut self, kind: Kind, total: usize) {
        let side = self.side(kind);
        side.total = total;
        side.rooms.bound(total);
    }

    pub fn waits(&mut self, kind: Kind, pool: usize, waiting: usize) {
        self.side(kind).rooms.waits(pool, waiting);
    }

    /// One more of a pool would begin; it does where this says so.
    pub fn begin(&mut self, kind: Kind, pool: usize) -> bool {
        let side = self.side(kind);
        let may = side.rooms.begin(pool);
        side.held_back[pool] += u64::from(!may);
        may
    }

    /// One has ended after so long; `well` is false where it was turned away or failed below. `None` for one that ended
    /// without having shown what it takes: given up, cancelled.
    pub fn end(&mut self, kind: Kind, pool: usize, now: f64, took_ms: Option<f64>, well: bool) {
        let side = self.side(kind);
        let in_hand = side.rooms.in_hand(pool);
        side.rooms.end(pool);
        if let Some(took_ms) = took_ms {
            side.limits[pool].ended(now, took_ms, in_hand, well);
        }
        let limit = side.limits[pool].value();
        side.rooms.limit(pool, limit);
    }

    /// So much of a pool is in hand, for hosts that decide by themselves who begins, by the room that they were told.
    pub fn counted(&mut self, kind: Kind, pool: usize, in_hand: usize) {
        self.side(kind).rooms.counted(pool, in_hand);
    }

    /// What one took, for the same hosts.
    pub fn learn(&mut self, kind: Kind, pool: usize, now: f64, took_ms: f64, well: bool) {
        let side = self.side(kind);
        let in_hand = side.rooms.in_hand(pool);
        side.limits[pool].ended(now, took_ms, in_hand, well);
        let limit = side.limits[pool].value();
        side.rooms.limit(pool, limit);
    }

    /// What each pool could have now, asked it for all there is, while the others have and want what they do.
    pub fn room(&self, kind: Kind) -> Vec<usize> {
        let (rooms, total) = match kind {
            Kind::Run => (&self.runs.rooms, self.runs.total),
            Kind::Call => (&self.calls.rooms, self.calls.total),
        };
        (0..self.plan.pools.len()).map(|pool| rooms.room(pool, total)).collect()
    }

    /// Runs that a pool always has where it asks.
    pub fn kept_runs(&self, pool: usize) -> usize {
        let reserve = self.plan.reserve.filter(|reserve| reserve.pool == pool);
        let reserved = reserve.map_or(0, |reserve| (reserve.share * self.runs.total as f64).ceil() as usize);
        self.plan.pools[pool].least_runs.max(reserved).min(self.runs.total)
    }

    /// Names of the pools, in their order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.plan.pools.iter().map(|pool| pool.name.as_str())
    }

    /// What each pool may have now.
    pub fn shares(&self, kind: Kind) -> Vec<usize> {
        match kind {
            Kind::Run => self.runs.rooms.shares(),
            Kind::Call => self.calls.rooms.shares(),
        }
    }

    pub fn figures(&mut self, kind: Kind, pool: usize) -> Figures {
        let side = self.side(kind);
        Figures {
            in_hand: side.rooms.in_hand(pool),
            limit: side.limits[pool].value(),
            borrowed: side.rooms.borrowed(pool),
            held_back: std::mem::take(&mut side.held_back[pool]),
            base_ms: side.limits[pool].base_ms(),
        }
    }

    /// Takes a new plan, all or nothing. What is in hand goes on in the pool of its offering's new place by name; pools that
    /// have gone leave what they had to the first. What was learnt of a pool that keeps its name is kept.
    ///
    /// Errors: as of [`Pools::new`]; nothing has changed then.
    pub fn replace(&mut self, plan: Plan) -> Result<(), String> {
        let (runs, calls) = (self.runs.total, self.calls.total);
        let mut next = Pools::new(plan, self.of.len(), runs, calls)?;
        for (place, pool) in self.plan.pools.iter().enumerate() {
            let to = next.plan.pools.iter().position(|other| other.name == pool.name);
            for kind in [Kind::Run, Kind::Call] {
                let (old, new) = match kind {
                    Kind::Run => (&self.runs, &mut next.runs),
                    Kind::Call => (&self.calls, &mut next.calls),
                };
                new.rooms.take_over(to.unwrap_or(0), old.rooms.in_hand(place));
                if let Some(to) = to {
                    let bounds = new.limits[to].bounds();
                    new.limits[to] = old.limits[place].clone();
                    new.limits[to].rebound(bounds);
                    let limit = new.limits[to].value();
                    new.rooms.limit(to, limit);
                }
            }
        }
        *self = next;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
