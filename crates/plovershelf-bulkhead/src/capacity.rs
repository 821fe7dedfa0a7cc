//! Room for one kind of work (runs on the cores, or calls below) shared among pools: who may begin one more.

/// A pool as an operator names it.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolTerms {
    pub name: String,
    /// What it always has where it asks, and the most that it may have.
    pub least: usize,
    pub most: usize,
    /// Its part of what is left beyond the least, against the others'.
    pub weight: f64,
}

/// Room that one pool, that of the cheapest, always finds: the others may not take the last of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reserve {
    pub pool: usize,
    /// Of all the room, from 0 to a half.
    pub share: f64,
}

#[derive(Clone, Debug)]
struct Pool {
    terms: PoolTerms,
    /// The present limit, as it adapts.
    limit: usize,
    in_hand: usize,
    waiting: usize,
}

/// The room of all pools. Its sum is bounded by what it is told last; what is in hand beyond that, as the bound sank, only
/// keeps others from beginning.
#[derive(Clone, Debug)]
pub struct Rooms {
    pools: Vec<Pool>,
    reserve: Option<Reserve>,
    total: usize,
}

impl Rooms {
    /// Errors name the pool and what would be right: no pools, a weight that is none, a least above the most, leasts that
    /// add up to more than there is.
    pub fn new(terms: Vec<PoolTerms>, reserve: Option<Reserve>, total: usize) -> Result<Self, String> {
        if terms.is_empty() {
            return Err("no pool is named; one at least is needed".into());
        }
        for pool in &terms {
            if !(pool.weight.is_finite() && pool.weight > 0.0) {
                return Err(format!("[pool {}] weight = {}: a number above 0", pool.name, pool.weight));
            }
            if pool.least > pool.most {
                return Err(format!(
                    "[pool {}] least {} is above most {}: at most {}",
                    pool.name, pool.least, pool.most, pool.most
                ));
            }
        }
        if let Some(reserve) = reserve {
            if reserve.pool >= terms.len() || !(0.0..=0.5).contains(&reserve.share) {
                return Err(format!(
                    "reserve = {}: a share from 0 to 0.5 for a pool that is named",
                    reserve.share
                ));
            }
        }
        let sum: usize = terms.iter().map(|pool| pool.least).sum();
        if sum > total {
            return Err(format!("the least of all pools add up to {sum}, and there is room for {total}"));
        }
        let pools = terms.into_iter().map(|terms| Pool { limit: terms.most, terms, in_hand: 0, waiting: 0 });
        Ok(Rooms { pools: pools.collect(), reserve, total })
    }

    /// The bound on the sum, as it is now; in a cold state it may lie below what pools are promised.
    pub fn bound(&mut self, total: usize) {
        self.total = total;
    }

    /// What an adaptive limit says for a pool, within its terms.
    pub fn limit(&mut self, pool: usize, limit: f64) {
        let terms = &self.pools[pool].terms;
        let limit = if limit.is_finite() { limit.max(0.0).floor() as usize } else { terms.most };
        self.pools[pool].limit = limit.clamp(terms.least, terms.most);
    }

    /// So much of a pool waits to begin.
    pub fn waits(&mut self, pool: usize, waiting: usize) {
        self.pools[pool].waiting = waiting;
    }

    pub fn in_hand(&self, pool: usize) -> usize {
        self.pools[pool].in_hand
    }

    fn all_in_hand(&self) -> usize {
        self.pools.iter().map(|pool| pool.in_hand).sum()
    }

    /// Room that all but its owner leave alone, as far as the owner has not taken it.
    fn kept(&self, from: usize) -> usize {
        let Some(reserve) = self.reserve.filter(|reserve| reserve.pool != from) else { return 0 };
        let room = ((reserve.share * self.total as f64).ceil() as usize).min(self.total);
        room.saturating_sub(self.pools[reserve.pool].in_hand)
    }

    /// What each pool may have now, by what it has in hand and waits for: first its least, then by weights, each up to
    /// its limit, and what nobody in need is entitled to goes to those who wait. The sum is the bound at most.
    pub fn shares(&self) -> Vec<usize> {
        let mut shares = vec![0usize; self.pools.len()];
        let wants = |pool: &Pool| pool.in_hand + pool.waiting;
        // In a cold state not even the least fits: one at a time to each, so that none is left out for its place.
        let mut left = self.total;
        let own = |pool: &Pool| {
            let reserved = self.reserve.filter(|r| std::ptr::eq(&self.pools[r.pool], pool));
            let reserved = reserved.map_or(0, |r| (r.share * self.total as f64).ceil() as usize);
            wants(pool).min(pool.terms.least.max(reserved))
        };
        loop {
            let mut given = false;
            for (share, pool) in shares.iter_mut().zip(&self.pools) {
                if left > 0 && *share < own(pool) {
                    (*share, left, given) = (*share + 1, left - 1, true);
                }
            }
            if !given {
                break;
            }
        }
        // Beyond it one at a time to whoever is furthest below its weight; first within limits, then beyond them.
        for lent in [false, true] {
            while left > 0 {
                let most = |pool: &Pool| if lent { pool.terms.most } else { pool.limit };
                let open = |place: &usize| {
                    shares[*place] < wants(&self.pools[*place]).min(most(&self.pools[*place]))
                };
                let need = |place: &usize| (shares[*place] as f64 + 1.0) / self.pools[*place].terms.weight;
                let next = (0..shares.len()).filter(open).min_by(|a, b| need(a).total_cmp(&need(b)));
                let Some(place) = next else { break };
                (shares[place], left) = (shares[place] + 1, left - 1);
            }
            if lent {
                break;
            }
        }
        shares
    }

    /// May a pool begin one more? Where it may not, what it has lent, or others are owed, comes first.
    pub fn may_begin(&self, pool: usize) -> bool {
        let own = &self.pools[pool];
        if self.all_in_hand() + self.kept(pool) >= self.total || own.in_hand >= own.terms.most {
            return false;
        }
        // Asked for one more than it may have said that waits.
        let mut asked = self.clone();
        asked.pools[pool].waiting = own.waiting.max(1);
        own.in_hand < asked.shares()[pool]
    }

    /// Work of a pool begins; tells whether it may.
    pub fn begin(&mut self, pool: usize) -> bool {
        let may = self.may_begin(pool);
        if may {
            self.pools[pool].in_hand += 1;
            self.pools[pool].waiting = self.pools[pool].waiting.saturating_sub(1);
        }
        may
    }

    pub fn end(&mut self, pool: usize) {
        self.pools[pool].in_hand = self.pools[pool].in_hand.saturating_sub(1);
    }

    /// So much is in hand, whatever was let begin.
    pub fn counted(&mut self, pool: usize, in_hand: usize) {
        self.pools[pool].in_hand = in_hand;
    }

    /// What a pool could have, asked it for so much.
    pub fn room(&self, pool: usize, asked: usize) -> usize {
        let mut all = self.clone();
        all.pools[pool].waiting = asked;
        // The reserve is left to its owner.
        all.shares()[pool].min(self.total.saturating_sub(self.kept(pool)))
    }

    /// Work that began under another plan goes on here.
    pub fn take_over(&mut self, pool: usize, in_hand: usize) {
        self.pools[pool].in_hand += in_hand;
    }

    /// What a pool has beyond its own part: lent to it until the owners ask.
    pub fn borrowed(&self, pool: usize) -> usize {
        self.pools[pool].in_hand.saturating_sub(self.pools[pool].limit)
    }
}

#[cfg(test)]
mod tests;
