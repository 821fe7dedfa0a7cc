//! The pools of this backend: told what the module's changes make of them, and handed to the module at each of its
//! periodic wakes. Without a file of the operator's there are none, and nothing here is reached.

use std::collections::BTreeMap;

use plovershelf::api::{
    BackendConfig, BulkheadCapacity, Bulkheads as Told, Completion, RequestState, Transition,
};
use plovershelf_bulkhead::{Kind, Plan, Pools};

use super::Owner;

pub(super) struct Pooled {
    pools: Pools,
    offerings: usize,
    /// By pool: runs with those that want a call, and calls.
    counts: Vec<(usize, usize)>,
    /// By pool: dismissed at arrival since the last hand-over; stand at a call.
    turned_away: Vec<usize>,
    /// By pool, runs and calls: the most that it had in hand, or was turned away with, of late. Arrivals run at once or
    /// not at all, so what a pool had of late is left free for it and not lent.
    peak: Vec<[f64; 2]>,
    at_call: Vec<usize>,
    /// What is open: its offering, its state, and since when.
    open: BTreeMap<u32, (usize, RequestState, f64)>,
}

/// A pool is taken to ask for no more than this, however many of it were dismissed.
const ASKED_MOST: usize = 64;
/// The peak fades by this at each hand-over; so many times it is left free.
const PEAK_KEPT: f64 = 0.97;
const PEAK_ROOM: f64 = 1.5;

impl Pooled {
    /// Errors: what the plan has against these facts.
    pub fn new(plan: Plan, config: &BackendConfig) -> Result<Self, String> {
        let offerings = config.classes.len();
        let runs = (config.cores * config.overload_multiple / 2.0).max(1.0) as usize;
        let calls = config.dependency_share.map_or(10_000, |share| share.max(1.0) as usize);
        let pools = Pools::new(plan, offerings, runs, calls)?;
        let count = pools.names().count();
        let (counts, none) = (vec![(0, 0); count], vec![0; count]);
        Ok(Pooled {
            pools,
            offerings,
            counts,
            turned_away: none.clone(),
            peak: vec![[0.0; 2]; count],
            at_call: none,
            open: BTreeMap::new(),
        })
    }

    fn change(&mut self, now: f64, change: &Transition, offering: usize) {
        let pool = self.pools.pool(offering);
        let before = self.open.remove(&change.id);
        if let Some((_, from, since)) = before {
            self.count(pool, from, false);
            let took_ms = now - since;
            // What was given up shows nothing of what it takes.
            match (from, change.to) {
                (RequestState::Running, RequestState::AwaitingCall | RequestState::Completed(_)) => {
                    self.pools.learn(Kind::Run, pool, now, took_ms, true);
                }
                (RequestState::Calling { .. }, RequestState::Running) => {
                    self.pools.learn(Kind::Call, pool, now, took_ms, true)
                }
                (RequestState::Calling { .. }, RequestState::AwaitingCall) => {
                    self.pools.learn(Kind::Call, pool, now, took_ms, false)
                }
                _ => {}
            }
        }
        if let RequestState::Completed(ending) = change.to {
            let refused =
                matches!(ending, Completion::Rejected { .. }) && change.from == Some(RequestState::Queued);
            self.turned_away[pool] += usize::from(refused);
            return;
        }
        let since = before.filter(|(_, from, _)| *from == change.to).map_or(now, |(_, _, since)| since);
        self.open.insert(change.id, (offering, change.to, since));
        self.count(pool, change.to, true);
    }

    fn count(&mut self, pool: usize, state: RequestState, more: bool) {
        let (runs, calls) = &mut self.counts[pool];
        let at_call = &mut self.at_call[pool];
        let step = |count: &mut usize| *count = if more { *count + 1 } else { count.saturating_sub(1) };
        match state {
            RequestState::Running | RequestState::Answered { .. } => step(runs),
            RequestState::AwaitingCall => {
                step(runs);
                step(at_call);
            }
            RequestState::Calling { .. } => step(calls),
            _ => {}
        }
    }

    /// Takes a new plan; what is open is counted anew by its pools.
    ///
    /// Errors: what the plan has against the facts; nothing has changed then.
    fn replan(&mut self, plan: Plan) -> Result<(), String> {
        self.pools.replace(plan)?;
        let count = self.pools.names().count();
        self.peak = vec![[0.0; 2]; count];
        (self.counts, self.turned_away, self.at_call) = (vec![(0, 0); count], vec![0; count], vec![0; count]);
        let open: Vec<(usize, RequestState)> =
            self.open.values().map(|(offering, state, _)| (*offering, *state)).collect();
        open.into_iter().for_each(|(offering, state)| self.count(self.pools.pool(offering), state, true));
        Ok(())
    }

    /// What the module is handed: the room of each pool, by what all have in hand and ask for.
    fn told(&mut self, runs: f64, calls: f64) -> Told {
        let whole = |room: f64| room.clamp(0.0, 10_000.0).floor() as usize;
        self.pools.bound(Kind::Run, whole(runs));
        self.pools.bound(Kind::Call, whole(calls));
        for (pool, (in_hand, out)) in self.counts.iter().enumerate() {
            let asked = std::mem::take(&mut self.turned_away[pool]).min(ASKED_MOST);
            for (peak, now) in
                self.peak[pool].iter_mut().zip([in_hand + asked, out + self.at_call[pool] + asked])
            {
                *peak = (*peak * PEAK_KEPT).max(now as f64);
            }
            let wants = self.peak[pool].map(|peak| (PEAK_ROOM * peak).ceil() as usize);
            self.pools.counted(Kind::Run, pool, *in_hand);
            self.pools.waits(Kind::Run, pool, wants[0].saturating_sub(*in_hand));
            self.pools.counted(Kind::Call, pool, *out);
            self.pools.waits(Kind::Call, pool, wants[1].saturating_sub(*out));
        }
        let (runs, calls) = (self.pools.room(Kind::Run), self.pools.room(Kind::Call));
        let room = |pool: usize| BulkheadCapacity {
            reserved_runs: self.pools.kept_runs(pool) as f64,
            max_runs: runs[pool] as f64,
            // One at least, or a pool whose calls are all lent out would wait for good.
            max_calls: calls[pool].max(1) as f64,
        };
        Told {
            bulkhead_of_class: (0..self.offerings).map(|offering| self.pools.pool(offering)).collect(),
            capacities: (0..self.counts.len()).map(room).collect(),
        }
    }

    fn figures(&mut self) {
        let names: Vec<String> = self.pools.names().map(String::from).collect();
        for (pool, name) in names.iter().enumerate() {
            let (runs, calls) = (self.pools.figures(Kind::Run, pool), self.pools.figures(Kind::Call, pool));
            tracing::info!(
                event = "pool",
                name,
                runs = runs.in_hand,
                runs_limit = runs.limit.round(),
                runs_borrowed = runs.borrowed,
                calls = calls.in_hand,
                calls_limit = calls.limit.round(),
                calls_borrowed = calls.borrowed,
            );
        }
    }
}

impl Owner {
    pub(super) fn pool_change(&mut self, change: &Transition) {
        let (Some(pooled), Some(open)) = (&mut self.pooled, self.open.get(&change.id)) else { return };
        pooled.change(self.now, change, open.offering);
    }

    /// Hands the module what pools may have now, and tells the log of them once a while.
    pub(super) fn hand_pools(&mut self, runs: f64, calls: f64) {
        let Some(pooled) = &mut self.pooled else { return };
        let told = pooled.told(runs, calls);
        if self.now >= self.pools_told_at + self.limits.pools_told_ms {
            self.pools_told_at = self.now;
            pooled.figures();
        }
        self.decide(|backend, now| backend.update_bulkheads(now, Some(told)));
    }

    /// The operator's file was read again: all of it counts, or nothing changes.
    pub(super) fn replan(&mut self, plan: Plan) {
        let Some(pooled) = &mut self.pooled else {
            tracing::warn!("pools were not set at the start, which needs a restart");
            return;
        };
        match pooled.replan(plan) {
            Ok(()) => tracing::info!("the pools are those of the file read again"),
            Err(wrong) => tracing::warn!("the pools stay as they are: {wrong}"),
        }
    }
}
