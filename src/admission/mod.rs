//! Every decision of a backend: what it takes, runs, holds, stops and turns away, and what it tells callers.
//! Callers make a [`Backend`] with [`Backend::start`] and then call one function for each thing that happens;
//! each returns an [`Outcome`]: the changes of state that it made and the backend's own words.
//! The types of that interface are in `interface.rs`; the reasons for what is done here in `docs/design.md`.

use crate::api::*;
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Even steps between the soft and the hard quota; also the cycle of the counter.
const STEPS: u32 = 20;
/// The hard quota of a warm backend, in runs a core, lets a mean run end within this part of its contract
/// time; never over HARD_OF_SURVIVABLE of the crowd that it survives. HARD_FIRST serves before any run ended.
const PACE: f64 = 0.6;
const HARD_FIRST: f64 = 2.5;
/// So many times the wait unread of late comes off the contract time that paces the hard quota.
const UNREAD_TAKEN: f64 = 4.0;
const UNREAD_WEIGHT: f64 = 0.1;
const UNREAD_FADES: f64 = 0.97;
const HARD_OF_SURVIVABLE: f64 = 0.5;
/// How far between one a core and the hard quota the soft quota lies.
const SOFT_PART: f64 = 0.25;
/// Even steps by which the hard quota rises from cold to warm.
const WARM_STEPS: f64 = 8.0;
/// The busy-core gate: below this reading the soft band refuses nothing.
const GATE_BUSY: f64 = 0.85;
/// Half-life of the tallies of ranks, tenants and outcomes.
const TALLY_HALF_MS: f64 = 2000.0;
const PERIOD_MS: f64 = 100.0;
/// Waits nearer than this are one and the same; votes that a usual wait collects at most; how many are known.
const SAME_WAIT_MS: f64 = 25.0;
const USUAL_VOTES: i32 = 40;
const USUAL_WAITS: usize = 4;
/// Memory that runs and waiting repeats may fill; the rest is for what is read.
const MEMORY_RUN: f64 = 0.80;
/// All is answered so long before the process is stopped: a part of the time from the notice on, between these.
/// Guards against a notice that reaches a crowded process late, as who gave it counts from when it was given.
const STOP_MARGIN_PART: f64 = 0.05;
const STOP_MARGIN_MS: [f64; 2] = [40.0, 150.0];
/// Cool-down told at the hard quota; in the soft band the part of it that is being cut.
const COOL_MS: f64 = 300.0;
/// A dismissed one is sent on when the cut of late would keep more than this part of its like.
const KEPT_ELSEWHERE: f64 = 0.8;
/// An idle connection is worth its place when its caller comes back in about this time.
const IDLE_EVEN_MS: f64 = 10000.0;
/// With more tasks a core beside the runs the cores are behind; steps of the idle span a period.
const BESIDE_MOST: f64 = 2.0;
const IDLE_UP: f64 = 1.4;
const IDLE_DOWN: f64 = 0.8;

/// Ended runs and calls that the measures of their times look back on, as the part kept at each new one.
const RUNS_KEPT: f64 = 0.95;
/// Callers are told to stay away when this share of runs of late ended in error or in no good time.
const FAILING_WEIGHT: f64 = 0.1;
const FAILING_SHARE: f64 = 0.6;
/// Health checks fail while no more than this part of arrivals is let in; not where the list follows them, or
/// a fleet that is overloaded as a whole would vanish from it.
const FIT_LET_IN: f64 = 0.5;
/// Part of the told share of the dependency that calls in hand may take.
const CALLS_OF_SHARE: f64 = 0.9;
/// Calls in hand shrink, to a least part of the share, when one fails or their mean is long, and grow back.
const CALL_SLOW: f64 = 3.0;
const CALL_SHRINK_SLOW: f64 = 0.95;
const CALL_SHRINK_FAILED: f64 = 0.7;
const CALLS_LEAST: f64 = 0.25;
/// After a failed call none is placed for this long, doubling while they go on failing.
const CALL_PAUSE_MS: f64 = 20.0;
const CALL_PAUSE_MOST_MS: f64 = 640.0;
/// Invocations a core that may stand at calls, and the part of them from where arrivals are cut for it.
const AT_CALL_HARD: f64 = 1.5;
const CALLERS_BACK: f64 = 0.9;
const AT_CALL_SOFT: f64 = 0.33;
/// The same while the cores are idle: then a few at calls are chance, not a slow dependency.
const AT_CALL_SOFT_IDLE: f64 = 0.66;
/// Weight of a period's reading in smoothed gauges; the least share that is advised.
const SMOOTH: f64 = 0.15;
const SHARE_LEAST: f64 = 0.1;
/// Advice is told anew when it moves by this much; a window under one, by this part of it.
const ADVICE_STEP: f64 = 0.02;
/// How far the advised rank reaches into a bucket, for the part cut of it: not all callers heed.
const ADVICE_PART: f64 = 1.5;

struct Pcg(u64);

impl Pcg {
    fn next(&mut self) -> f64 {
        let old = self.0;
        self.0 = old.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        f64::from(mixed.rotate_right((old >> 59) as u32)) / 4294967296.0
    }
}

/// A row of the table of offerings: its terms, its place among the ranks, and what its runs have shown.
struct Class {
    terms: ClassConfig,
    /// Its bucket of ranks: offerings of equal revenue share one, the lowest revenue comes first.
    bucket: usize,
    /// Where the ranks of its bucket begin and end.
    ranks_from: f64,
    ranks_to: f64,
    /// Decaying sums over ended runs: their number, core time, hinted work.
    runs: f64,
    core_ms: f64,
    hinted_ms: f64,
    tally: f64,
    /// The waits that are usual with its tries, and the votes for each.
    usual_waits: Vec<(f64, i32)>,
}

/// How many invocations of a tenant were admitted of late: a sum that decays, as it stood at a time. It is
/// brought up to date when it is asked for. Guards against work at each arrival that grows with the tenants.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Admitted {
    sum: f64,
    at: f64,
}

impl Admitted {
    fn faded(self, now: f64) -> f64 {
        self.sum * fade(now - self.at)
    }

    fn add(&mut self, now: f64) {
        *self = Admitted { sum: self.faded(now) + 1.0, at: now };
    }
}

struct Invocation {
    state: RequestState,
    class: usize,
    memory_kb: f64,
    hint_ms: Option<f64>,
    /// When it is given up, and the same as it stands in the order of due times.
    give_up_at: f64,
    due: f64,
    /// It ran, or may have.
    ran: bool,
    call_began: f64,
    /// Core time had so far, and the backend's core clock when that was last brought up to date.
    core_ms: f64,
    core_clock: f64,
}

/// What the backend has in hand.
#[derive(Default)]
struct InHand {
    invocations: BTreeMap<u32, Invocation>,
    /// All due times but the periodic one: (bits of the time, id).
    due: BTreeSet<(u64, u32)>,
    /// What is held and what wants a call, each in its order: the last goes first. See `stands`.
    held: BTreeSet<(usize, u64, u32)>,
    wanting: BTreeSet<(usize, u64, u32)>,
    /// Spent work that was told to stop.
    stopping: BTreeSet<u32>,
    /// Runs and calls out of each pool.
    pooled: Vec<(usize, usize)>,
    on_core: usize,
    at_call: usize,
    calls_out: usize,
    /// When calls that were given up have left the dependency.
    lingering: Vec<f64>,
    memory_kb: f64,
    remembered: BTreeSet<(u64, u32)>,
    /// Advances by the core time that each run on a core gets.
    core_clock: f64,
}

pub struct Backend {
    config: BackendConfig,
    classes: Vec<Class>,
    hand: InHand,
    woken_for: f64,
    now: f64,
    began: f64,
    leaving: Option<(f64, f64)>,
    /// Calls that this backend may add, in hand allowed now, their mean time, its least, pause on failures.
    dependency_share: f64,
    calls_most: f64,
    call_took_ms: f64,
    call_quick_ms: f64,
    call_pause_ms: f64,
    calls_after: f64,
    busy: f64,
    /// Smoothed: part of the runs that want a core, what wants one beside the runs, part of arrivals let in.
    awake: f64,
    beside: f64,
    ease: f64,
    /// Smoothed share of runs that end in error or are given up.
    failing: f64,
    /// Callers and checks have been told to stay away.
    away_told: bool,
    fit_told: bool,
    /// How long arrivals of late lay unread.
    unread_ms: f64,
    /// The order of cuts: buckets of tenants over quota and of marked repeats (perhaps past their contract
    /// time), then those of all others, lowest first; for each a decaying tally and the cycling counter.
    buckets: usize,
    tallies: Vec<f64>,
    counters: Vec<u32>,
    tenants: Vec<Admitted>,
    tally_time: f64,
    advised: f64,
    /// How long idle connections are to stay, and the last span told.
    idle_ms: f64,
    idle_told: f64,
    /// What pools may have, where there are any.
    pools: Option<Bulkheads>,
    chance: Pcg,
    out: Effects,
}

/// What is left of a tally after so long.
fn fade(passed_ms: f64) -> f64 {
    0.5f64.powf(passed_ms / TALLY_HALF_MS)
}

fn bits(time: f64) -> u64 {
    time.max(0.0).to_bits()
}

impl Backend {
    pub fn start(now: f64, config: BackendConfig) -> (Self, Effects) {
        let mut values: Vec<f64> = config.classes.iter().map(|o| o.value).collect();
        values.sort_by(f64::total_cmp);
        values.dedup();
        let all = config.classes.len() as f64;
        let classes = config.classes.iter().map(|o| Class {
            terms: o.clone(),
            bucket: values.iter().position(|v| *v == o.value).unwrap_or(0),
            ranks_from: config.classes.iter().filter(|p| p.value < o.value).count() as f64 / all,
            ranks_to: config.classes.iter().filter(|p| p.value <= o.value).count() as f64 / all,
            runs: 0.0,
            core_ms: 0.0,
            hinted_ms: 0.0,
            tally: 0.0,
            usual_waits: Vec::new(),
        });
        let dependency_share = config.dependency_share.map_or(f64::MAX, |share| CALLS_OF_SHARE * share);
        let mut backend = Backend {
            classes: classes.collect(),
            hand: InHand::default(),
            woken_for: f64::MAX,
            now,
            began: now,
            leaving: None,
            dependency_share,
            calls_most: dependency_share.max(1.0),
            call_took_ms: CALL_PAUSE_MOST_MS,
            call_quick_ms: f64::MAX,
            call_pause_ms: CALL_PAUSE_MS,
            calls_after: now,
            busy: 1.0,
            awake: 1.0,
            beside: 0.0,
            ease: 1.0,
            failing: 0.0,
            away_told: false,
            fit_told: true,
            unread_ms: 0.0,
            buckets: values.len(),
            tallies: vec![0.0; 2 * values.len()],
            counters: vec![0; 2 * values.len()],
            tenants: vec![Admitted { sum: 0.0, at: now }; config.tenant_quotas_per_s.len()],
            tally_time: now,
            advised: -1.0,
            idle_ms: config.max_idle_ms,
            idle_told: config.max_idle_ms,
            pools: None,
            chance: Pcg(config.seed),
            out: Effects::default(),
            config,
        };
        backend.out.announcements.ready = Some(true);
        let spread = backend.chance.next();
        backend.out.announcements.timers.push((PERIOD_MS * (0.5 + spread), Timer::Periodic));
        let outcome = backend.result();
        (backend, outcome)
    }

    /// The ordinary path of an invocation, from its reading to its run or its dismissal.
    pub fn handle_request(&mut self, now: f64, arrival: Request) -> Effects {
        self.pass_to(now);
        let id = arrival.id;
        let left = self.take_in(&arrival);
        // A repeat of what is held, runs or ran is never run beside it: it shares that one's answer.
        if arrival.duplicate_of.is_some() {
            let total_capacity = self.memory_share() < MEMORY_RUN;
            self.change(
                id,
                if total_capacity {
                    RequestState::Joined
                } else {
                    RequestState::Completed(Completion::Failed)
                },
            );
            return self.result();
        }
        // Expired work is shed before anything else: it can't be answered in its contract time. With nothing
        // else running, one that only seems too late is tried: what was foreseen may be outdated.
        let foreseen = self.foreseen_ms(arrival.class, arrival.work_hint_ms);
        if left <= 0.0 || (left < foreseen && self.hand.on_core > 0) {
            self.dismiss(id, self.unread_ms, None);
            return self.result();
        }
        // After the notice and its grace nothing is run.
        if self.leaving.is_some_and(|(grace_end, _)| now - arrival.unread_ms > grace_end) {
            self.dismiss(id, self.config.max_retry_after_ms, None);
            return self.result();
        }
        let lowest = self.tenant_over_quota(arrival.tenant) || arrival.marked_retry;
        let bucket = self.classes[arrival.class].bucket;
        let place = if lowest { bucket } else { self.buckets + bucket };
        self.tallies[place] += 1.0;
        let part = self.pool_part(arrival.class, self.part_let_in());
        let retry_after_ms = COOL_MS * (1.0 - part) + self.unread_ms;
        // At the hard quota every arrival is refused.
        if part <= 0.0 || !self.memory_allows(id) {
            self.dismiss(id, retry_after_ms, Some(place));
            return self.result();
        }
        // In the soft band, and only with busy cores: tenants over quota and repeats, then the lowest ranks.
        if part < 1.0 {
            let kept = self.kept_of(place, part);
            self.counters[place] = (self.counters[place] + 1) % STEPS;
            if f64::from(self.counters[place]) >= kept * f64::from(STEPS) {
                self.dismiss(id, retry_after_ms, Some(place));
                return self.result();
            }
        }
        self.tenants.get_mut(arrival.tenant).into_iter().for_each(|admitted| admitted.add(now));
        self.remember(id, &arrival);
        self.run_held();
        self.result()
    }

    pub fn handle_client_gone(&mut self, now: f64, id: u32) -> Effects {
        self.pass_to(now);
        if self.state(id).is_some() {
            self.finish(id, Completion::ClientGone);
            self.run_held();
        }
        self.result()
    }

    pub fn handle_call_requested(&mut self, now: f64, id: u32) -> Effects {
        self.pass_to(now);
        if self.state(id) == Some(RequestState::Running) {
            self.change(id, RequestState::AwaitingCall);
            self.place_calls();
            self.run_held();
        }
        self.result()
    }

    pub fn handle_call_ended(&mut self, now: f64, id: u32, end: CallOutcome) -> Effects {
        self.pass_to(now);
        if let Some(RequestState::Calling { .. }) = self.state(id) {
            self.learn_call(now - self.hand.invocations[&id].call_began, end);
            let terms = &self.row(id).terms;
            let (rerunnable, skips) =
                (terms.idempotency == Idempotency::Idempotent, terms.skipped_call_value_fraction > 0.0);
            if end != CallOutcome::Completed {
                self.change(id, RequestState::AwaitingCall);
            }
            if end == CallOutcome::Completed || skips {
                self.change(id, RequestState::Running);
            } else if !rerunnable && end != CallOutcome::NotExecuted {
                self.give_up(id);
            }
            self.place_calls();
        }
        self.result()
    }

    pub fn handle_run_ended(&mut self, now: f64, id: u32, end: RunOutcome) -> Effects {
        self.pass_to(now);
        if let Some(state) = self.state(id) {
            let completion = match (state, end) {
                (RequestState::Answered { completion, .. }, _) => completion,
                (_, RunOutcome::Completed) => Completion::Succeeded,
                (_, RunOutcome::Failed) => Completion::ExecutionFailed,
                (_, RunOutcome::Cancelled | RunOutcome::NotStarted) => Completion::ClientGone,
            };
            self.learn_end(id, end);
            self.change(id, RequestState::Completed(completion));
            self.place_calls();
            self.run_held();
        }
        self.result()
    }

    /// The notice may be read later than it was told; its terms run from then on.
    pub fn handle_drain_notice(&mut self, now: f64, told_at: f64, stopped_at: f64) -> Effects {
        self.pass_to(now);
        let margin_ms = STOP_MARGIN_PART * (stopped_at - told_at);
        let margin_ms = margin_ms.clamp(STOP_MARGIN_MS[0], STOP_MARGIN_MS[1]);
        self.leaving = Some((told_at + self.config.drain_grace_ms, stopped_at - margin_ms));
        self.ids_of(|i| !matches!(i.state, RequestState::Answered { .. }))
            .into_iter()
            .for_each(|id| self.set_due(id));
        self.advise();
        self.result()
    }

    pub fn handle_timeout(&mut self, now: f64, wake: Timer, gauges: Gauges) -> Effects {
        self.pass_to(now);
        self.busy = gauges.cores_busy.unwrap_or(self.busy);
        if wake == Timer::Periodic {
            self.out.announcements.timers.push((PERIOD_MS, Timer::Periodic));
            self.hand.lingering.retain(|until| *until > now);
            self.hand.remembered.retain(|(until, _)| *until > bits(now));
            self.stop_spent();
            if let (Some(wanting), runs) = (gauges.runnable, self.hand.on_core as f64) {
                let awake = if runs > 0.0 { (wanting / runs).min(1.0) } else { self.awake };
                self.awake += SMOOTH * (awake - self.awake);
                self.beside += SMOOTH * ((wanting - runs).max(0.0) - self.beside);
            }
            self.unread_ms *= UNREAD_FADES;
            self.ease += SMOOTH * (self.part_let_in() - self.ease);
            self.call_quick_ms *= 1.005;
            self.advise();
            let total_capacity =
                || (self.load_quotas().1 * self.config.cores, self.calls_most.min(self.at_call_most()));
            self.out.announcements.total_capacity = self.pools.as_ref().map(|_| total_capacity());
        } else if now + 0.01 >= self.woken_for {
            // Superseded wakes come too: only the one that was waited for clears the way for the next.
            self.woken_for = f64::MAX;
        }
        self.place_calls();
        self.run_held();
        self.result()
    }

    /// What pools may have from now on; without any the design's one quota holds for all.
    pub fn update_bulkheads(&mut self, now: f64, pools: Option<Bulkheads>) -> Effects {
        self.pass_to(now);
        let of = |pools: &Option<Bulkheads>| {
            pools.as_ref().map(|pools| (pools.bulkhead_of_class.clone(), pools.capacities.len()))
        };
        let moved = of(&pools) != of(&self.pools);
        self.pools = pools;
        if moved {
            self.hand.pooled = vec![(0, 0); self.pools.as_ref().map_or(0, |pools| pools.capacities.len())];
            let all: Vec<(usize, RequestState)> =
                self.hand.invocations.values().map(|i| (i.class, i.state)).collect();
            all.into_iter().for_each(|(class, state)| self.count_pooled(class, state, true));
        }
        self.place_calls();
        self.result()
    }

    /// New quotas of tenants, told while the backend serves: a tenant's place in the start facts, and its
    /// invocations a second over the whole fleet inside its share. Arrivals are judged by them from now on,
    /// against the tallies as they stand. With one that can't be, none of them changes and a note names it.
    pub fn update_tenant_quotas(&mut self, now: f64, changed: &[(usize, f64)]) -> Effects {
        self.pass_to(now);
        let known = self.config.tenant_quotas_per_s.len();
        let can_be = |&&(place, quota): &&(usize, f64)| place < known && quota.is_finite() && quota >= 0.0;
        if let Some((place, quota)) = changed.iter().find(|one| !can_be(one)) {
            let what = format!("no quota changes: {quota} a second for tenant {place} of {known} can't be");
            self.out.announcements.notes.push(what);
        } else {
            changed.iter().for_each(|&(place, quota)| self.config.tenant_quotas_per_s[place] = quota);
        }
        self.result()
    }

    // ---- quotas -------------------------------------------------------------------------------------

    /// Runs a core that are on the cores or wait for disk; those at a call have a bound of their own.
    fn load(&self) -> f64 {
        self.hand.on_core as f64 / self.config.cores
    }

    /// How warm the cores are for certain: it rises by even steps from the told cold speed.
    fn warmth(&self) -> f64 {
        let config = &self.config;
        let age = (self.now - self.began) / config.warm_up_ms.max(1.0);
        let step = if config.cold_start { (age * WARM_STEPS).floor() / WARM_STEPS } else { 1.0 };
        config.cold_speed_fraction + (1.0 - config.cold_speed_fraction) * step.min(1.0)
    }

    fn survivable(&self) -> f64 {
        1.0 + (self.config.overload_multiple - 1.0) * self.warmth()
    }

    /// The soft and the hard quota, in runs a core; the hard one's ceiling rises from cold to warm.
    fn load_quotas(&self) -> (f64, f64) {
        let wanted = self.paced_crowd().unwrap_or(HARD_FIRST * self.warmth());
        let hard = wanted.min(HARD_OF_SURVIVABLE * self.survivable()).max(1.0 + 1.0 / self.config.cores);
        (1.0 + SOFT_PART * (hard - 1.0), hard)
    }

    /// All that stands at calls may come back to the cores at once, beside as many runs as the quota lets in.
    fn at_call_most(&self) -> f64 {
        let total_capacity = CALLERS_BACK * self.survivable() - self.load_quotas().1;
        (self.config.cores * total_capacity.min(AT_CALL_HARD)).max(1.0)
    }

    /// The crowd in which a mean run still ends in good time, by what runs here have taken. Reading shares
    /// the cores with runs: where arrivals lie unread, the crowd shrinks until reading keeps up. Guards
    /// against retry storms, bursts and slow cores alike; harms where arrivals lie unread though the cores
    /// are free.
    fn paced_crowd(&self) -> Option<f64> {
        let known = || self.classes.iter().filter(|o| o.runs >= 3.0);
        let weight: f64 = known().map(|o| o.tally).sum();
        let left = |o: &Class| (o.terms.latency_objective_ms - UNREAD_TAKEN * self.unread_ms).max(0.0);
        let crowd: f64 = known().map(|o| o.tally * PACE * left(o) * o.runs / o.core_ms.max(1.0)).sum();
        (weight > 0.0).then(|| crowd / weight)
    }

    /// The part of arrivals let in: by even steps from all at the soft quota to none at the hard one. The
    /// busy-core gate opens the soft band; those at calls are bounded the same way, and later while the gate is open.
    fn part_let_in(&self) -> f64 {
        let steps = f64::from(STEPS);
        let stepped = |soft: f64, hard: f64, load: f64| {
            ((hard - load) / ((hard - soft) / steps)).floor().clamp(0.0, steps) / steps
        };
        let (soft, hard) = self.load_quotas();
        let mut part = stepped(soft, hard, self.load());
        let idle = self.busy < GATE_BUSY;
        part = if part > 0.0 && idle { 1.0 } else { part };
        let at_call_hard = self.at_call_most();
        let soft_part = if idle { AT_CALL_SOFT_IDLE } else { AT_CALL_SOFT };
        part.min(stepped(soft_part * at_call_hard, at_call_hard, self.hand.at_call as f64))
    }

    /// The part of a pool's arrivals that is let in. A pool below what is kept for it is not cut while the crowd
    /// holds, one that has all its room is cut wholly; between them the design's cut stands. Guards against a
    /// flood of one offering that takes all room from the others; harms where pools are drawn too narrow.
    fn pool_part(&self, class: usize, part: f64) -> f64 {
        let Some((pool, total_capacity)) = self.pool_room(class) else { return part };
        let (runs, calls) = self.hand.pooled[pool];
        let (runs, calls) = (runs as f64, calls as f64);
        let holds = self.load() < self.load_quotas().1 && (self.hand.at_call as f64) < self.at_call_most();
        match runs {
            runs if runs >= total_capacity.max_runs || calls >= total_capacity.max_calls => 0.0,
            runs if runs < total_capacity.reserved_runs && holds => 1.0,
            _ => part,
        }
    }

    fn pool_room(&self, class: usize) -> Option<(usize, &BulkheadCapacity)> {
        let pools = self.pools.as_ref()?;
        let pool = *pools.bulkhead_of_class.get(class)?;
        pools.capacities.get(pool).map(|total_capacity| (pool, total_capacity))
    }

    fn count_pooled(&mut self, class: usize, state: RequestState, more: bool) {
        let Some(pool) = self.pool_room(class).map(|(pool, _)| pool) else { return };
        let (runs, calls) = &mut self.hand.pooled[pool];
        // Those that want a call and have none count as runs: a pool whose calls are full fills up by itself.
        let one = match state {
            RequestState::Running | RequestState::Answered { .. } | RequestState::AwaitingCall => runs,
            RequestState::Calling { .. } => calls,
            _ => return,
        };
        *one = if more { *one + 1 } else { *one - 1 };
    }

    /// What stays of a place in the order when this part of all arrivals is let in, the highest places first.
    fn kept_of(&self, place: usize, part: f64) -> f64 {
        let all: f64 = self.tallies.iter().sum();
        let above: f64 = self.tallies[place + 1..].iter().sum();
        ((part * all - above) / self.tallies[place].max(f64::EPSILON)).clamp(0.0, 1.0)
    }

    fn tenant_over_quota(&self, tenant: usize) -> bool {
        let per_s =
            |admitted: &Admitted| admitted.faded(self.now) * 1000.0 * std::f64::consts::LN_2 / TALLY_HALF_MS;
        let quota = self.config.tenant_quotas_per_s.get(tenant).map(|quota| quota / self.config.fleet_size);
        self.tenants.get(tenant).zip(quota).is_some_and(|(admitted, quota)| per_s(admitted) > quota)
    }

    fn memory_share(&self) -> f64 {
        (self.hand.memory_kb + self.hand.remembered.len() as f64 * self.config.deduplication_entry_kb)
            / self.config.memory_kb
    }

    fn memory_allows(&self, id: u32) -> bool {
        let entry = if self.remembers(id) { self.config.deduplication_entry_kb } else { 0.0 };
        let more = self.hand.invocations[&id].memory_kb * (self.config.running_memory_factor - 1.0) + entry;
        self.memory_share() + more / self.config.memory_kb <= MEMORY_RUN
    }

    /// What a run begun now would take, by what runs of its kind have taken here and by the present crowd.
    fn foreseen_ms(&self, class: usize, hint: Option<f64>) -> f64 {
        let row = &self.classes[class];
        if row.runs < 1.0 {
            return 0.0;
        }
        let core_ms = match hint {
            Some(hint) if row.hinted_ms > 0.0 => hint * row.core_ms / row.hinted_ms,
            _ => row.core_ms / row.runs,
        };
        core_ms * ((self.hand.on_core as f64 + 1.0) / self.config.cores).max(1.0)
    }

    /// What a run took, or had taken when it was given up, which is the least that it would have.
    fn learn_end(&mut self, id: u32, end: RunOutcome) {
        let invocation = &self.hand.invocations[&id];
        if !matches!(invocation.state, RequestState::Running) || end == RunOutcome::NotStarted {
            return;
        }
        let core_ms = invocation.core_ms + self.hand.core_clock - invocation.core_clock;
        let ill = end == RunOutcome::Failed || (end == RunOutcome::Cancelled && !self.behind());
        self.failing += FAILING_WEIGHT * (f64::from(u8::from(ill)) - self.failing);
        let row = &mut self.classes[invocation.class];
        if end != RunOutcome::Failed {
            row.runs = row.runs * RUNS_KEPT + 1.0;
            row.core_ms = row.core_ms * RUNS_KEPT + core_ms;
            row.hinted_ms = row.hinted_ms * RUNS_KEPT + invocation.hint_ms.unwrap_or(0.0);
        }
    }

    fn pass_to(&mut self, now: f64) {
        let passed = (now - self.now).max(0.0);
        self.now = now;
        let each = self.config.cores / self.hand.on_core.max(1) as f64;
        self.hand.core_clock += passed * each.min(self.awake);
        while let Some(&(_, id)) = self.hand.due.first().filter(|(time, _)| *time <= bits(now)) {
            self.hand.due.pop_first();
            self.give_up(id);
        }
    }

    /// Takes an arrival into the hold; returns how much of its contract time is left.
    fn take_in(&mut self, arrival: &Request) -> f64 {
        let fade = fade(self.now - self.tally_time);
        self.tally_time = self.now;
        self.classes.iter_mut().for_each(|o| o.tally *= fade);
        self.tallies.iter_mut().for_each(|t| *t *= fade);
        self.unread_ms += UNREAD_WEIGHT * (arrival.unread_ms - self.unread_ms);
        self.classes[arrival.class].tally += 1.0;
        let row = &self.classes[arrival.class];
        let arrived = self.now - arrival.unread_ms;
        let answer_by = arrival.deadline_ms.unwrap_or((arrived + row.terms.timeout_ms).max(self.now));
        let patience = answer_by - arrived;
        let told = arrival.deadline_ms.is_some() && (!self.config.retries_marked || arrival.marked_retry);
        let waited = self.waited_before(arrival.class, patience);
        let waited = if told { waited } else { 0.0 };
        let row = &self.classes[arrival.class];
        let stretch = row.terms.objective_per_work * arrival.work_hint_ms.unwrap_or(0.0);
        let latency_objective_ms = (row.terms.latency_objective_ms + stretch).min(row.terms.timeout_ms);
        let contract_end = arrived + latency_objective_ms - waited;
        let gives_up =
            if row.terms.late_value_fraction > 0.0 { answer_by } else { contract_end.min(answer_by) };
        let rerunnable = row.terms.idempotency == Idempotency::Idempotent;
        let invocation = Invocation {
            state: RequestState::Queued,
            class: arrival.class,
            memory_kb: arrival.memory_kb,
            hint_ms: arrival.work_hint_ms,
            give_up_at: if rerunnable { gives_up.max(self.now) } else { answer_by },
            due: 0.0,
            ran: false,
            call_began: 0.0,
            core_ms: 0.0,
            core_clock: 0.0,
        };
        self.hand.memory_kb += invocation.memory_kb;
        self.hand.invocations.insert(arrival.id, invocation);
        self.out.transitions.push(Transition {
            id: arrival.id,
            from: None,
            to: RequestState::Queued,
            retain_ms: None,
        });
        self.set_due(arrival.id);
        gives_up - self.now
    }

    /// Further tries are not always marked, but their wait gives many away: first tries of an offering come
    /// with one of a few usual waits, and a try that waits for another span is bounded by what is left of the
    /// client's hard limit, which tells its age. Guards against work for clients whose contract time is over
    /// (retry storms, callers restarting); harms where callers' first waits vary by themselves.
    fn waited_before(&mut self, class: usize, patience: f64) -> f64 {
        let Class { terms, usual_waits, .. } = &mut self.classes[class];
        let known = |(_, votes): &(f64, i32)| *votes >= USUAL_VOTES / 4;
        if let Some(usual) = usual_waits.iter_mut().find(|(w, _)| (patience - w).abs() < SAME_WAIT_MS) {
            usual.1 = (usual.1 + 1).min(USUAL_VOTES);
            if usual.1 >= USUAL_VOTES / 10 {
                return 0.0;
            }
        } else if usual_waits.len() < USUAL_WAITS {
            usual_waits.push((patience, 1));
        } else if let Some(weakest) = usual_waits.iter_mut().min_by_key(|(_, votes)| *votes) {
            weakest.1 -= 1;
            *weakest = if weakest.1 < 1 { (patience, 1) } else { *weakest };
        }
        if usual_waits.iter().any(known) {
            (terms.timeout_ms - patience).max(0.0)
        } else {
            0.0
        }
    }

    /// Readings and new connections crowd the cores.
    fn behind(&self) -> bool {
        self.beside > BESIDE_MOST * self.config.cores
    }

    fn state(&self, id: u32) -> Option<RequestState> {
        self.hand.invocations.get(&id).map(|i| i.state)
    }

    fn ids_of(&self, which: impl Fn(&Invocation) -> bool) -> Vec<u32> {
        self.hand.invocations.iter().filter(|(_, i)| which(i)).map(|(id, _)| *id).collect()
    }

    fn row(&self, id: u32) -> &Class {
        &self.classes[self.hand.invocations[&id].class]
    }

    fn set_due(&mut self, id: u32) {
        self.stands(id, false);
        let Some(invocation) = self.hand.invocations.get_mut(&id) else { return };
        self.hand.due.remove(&(bits(invocation.due), id));
        let cancel = self.leaving.map_or(f64::MAX, |(_, cancel)| cancel);
        invocation.due = invocation.give_up_at.min(cancel).max(self.now);
        self.hand.due.insert((bits(invocation.due), id));
        self.stands(id, true);
    }

    /// Puts what waits into its order, or takes it out: the most revenue first, then the earliest due. Guards
    /// against looking through all that is open at each event.
    fn stands(&mut self, id: u32, waits: bool) {
        let Some(invocation) = self.hand.invocations.get(&id) else { return };
        let place = (self.classes[invocation.class].bucket, u64::MAX - bits(invocation.due), id);
        let order = match invocation.state {
            RequestState::Queued => &mut self.hand.held,
            RequestState::AwaitingCall => &mut self.hand.wanting,
            _ => return,
        };
        let _ = if waits { order.insert(place) } else { order.remove(&place) };
    }

    fn remembers(&self, id: u32) -> bool {
        self.row(id).terms.idempotency == Idempotency::Keyed
    }

    /// A ticketed invocation is remembered through its window before anything of it runs; so is a read whose
    /// answer may serve others.
    fn remember(&mut self, id: u32, arrival: &Request) {
        let read =
            self.row(id).terms.idempotency == Idempotency::Idempotent && arrival.key != 0 && !arrival.writes;
        let shares = read && self.config.shared_response_ms > 0.0;
        let ms = if self.remembers(id) {
            self.row(id).terms.deduplication_window_ms
        } else if shares && self.memory_share() < 0.5 * MEMORY_RUN {
            self.row(id).terms.latency_objective_ms + self.config.shared_response_ms
        } else {
            return;
        };
        self.hand.remembered.insert((bits(self.now + ms), id));
        self.out.transitions.push(Transition {
            id,
            from: Some(RequestState::Queued),
            to: RequestState::Queued,
            retain_ms: Some(ms),
        });
    }

    // ---- runs and calls -----------------------------------------------------------------------------

    fn run_held(&mut self) {
        loop {
            let (_, hard) = self.load_quotas();
            if self.load() >= hard || self.hand.at_call as f64 >= self.at_call_most() {
                return;
            }
            let Some(&(_, _, id)) = self.hand.held.last() else { return };
            if !self.memory_allows(id) {
                return;
            }
            self.change(id, RequestState::Running);
        }
    }

    fn place_calls(&mut self) {
        loop {
            let in_hand = (self.hand.calls_out + self.hand.lingering.len()) as f64;
            if in_hand + 1.0 > self.calls_most || self.now < self.calls_after {
                return;
            }
            let has_room = |id: &u32| {
                let total_capacity = self.pool_room(self.hand.invocations[id].class);
                total_capacity.is_none_or(|(pool, total_capacity)| {
                    self.hand.pooled[pool].1 as f64 + 1.0 <= total_capacity.max_calls
                })
            };
            let Some(&(_, _, id)) = self.hand.wanting.iter().rev().find(|(_, _, id)| has_room(id)) else {
                return;
            };
            let timeout_ms = (self.hand.invocations[&id].due - self.now).max(1.0);
            self.change(id, RequestState::Calling { timeout_ms });
        }
    }

    /// Keeps calls in hand near what lies below takes without crowding, by whether they fail and by their
    /// mean time, as single ones differ much. Guards against a dependency that slows, turns away or is gone:
    /// without the pause its instant refusals are repeated without end. Harms where a slowdown is brief.
    fn learn_call(&mut self, took_ms: f64, end: CallOutcome) {
        let (paused, least) = (self.now < self.calls_after, (CALLS_LEAST * self.dependency_share).max(1.0));
        // A call whose connection went bad was given up with it, and may stay below as long.
        self.rest_after(took_ms, matches!(end, CallOutcome::Abandoned | CallOutcome::ConnectionLost));
        if end != CallOutcome::Completed {
            self.calls_most = (self.calls_most * CALL_SHRINK_FAILED).max(least);
            if !(paused || end == CallOutcome::ConnectionLost) {
                self.calls_after = self.calls_after.max(self.now + self.call_pause_ms);
                self.call_pause_ms = (2.0 * self.call_pause_ms).min(CALL_PAUSE_MOST_MS);
            }
            return;
        }
        self.call_pause_ms = CALL_PAUSE_MS;
        self.call_took_ms += (1.0 - RUNS_KEPT) * (took_ms - self.call_took_ms);
        self.call_quick_ms = self.call_quick_ms.min(self.call_took_ms);
        let slow = self.call_took_ms > CALL_SLOW * self.call_quick_ms;
        let next =
            if slow { self.calls_most * CALL_SHRINK_SLOW } else { self.calls_most + 1.0 / self.calls_most };
        self.calls_most = next.min(self.dependency_share).max(least);
    }

    /// A share under one call is kept by resting after each, also for as long as those given up may linger.
    fn rest_after(&mut self, in_hand_ms: f64, lingers: bool) {
        let linger_ms = if lingers { self.config.abandoned_call_linger_ms } else { 0.0 };
        if lingers {
            self.hand.lingering.push(self.now + linger_ms);
        }
        let rest_ms = (in_hand_ms + linger_ms) * (1.0 / self.dependency_share - 1.0).max(0.0);
        self.calls_after = self.calls_after.max(self.now + rest_ms);
    }

    /// Nothing more is hoped for: the answer goes out at once.
    fn give_up(&mut self, id: u32) {
        let Some(invocation) = self.hand.invocations.get(&id) else { return };
        let may_have_run = invocation.ran || invocation.state == RequestState::Joined;
        if may_have_run && self.row(id).terms.idempotency != Idempotency::Idempotent {
            self.finish(id, Completion::Failed);
            return;
        }
        self.learn_end(id, RunOutcome::Cancelled);
        self.dismiss(id, self.config.max_retry_after_ms, None);
    }

    /// Trying elsewhere at once feeds storms: each try costs a reading and often a new connection, and
    /// servers alike cut alike. So only a server that leaves or is sick sends on all, others what their cut
    /// of late would mostly keep; harms where this server alone is short and others have room.
    fn dismiss(&mut self, id: u32, retry_after_ms: f64, place: Option<usize>) {
        let most_ms = self.config.max_retry_after_ms;
        let retry_after_ms = if self.away_told { most_ms } else { retry_after_ms.min(most_ms) };
        let kept = |place| self.kept_of(place, self.ease) > KEPT_ELSEWHERE;
        let retry_elsewhere = self.away_told || place.is_some_and(kept);
        self.finish(id, Completion::Rejected { retry_after_ms, retry_elsewhere });
    }

    /// Gives the final answer; work of it that still runs is stopped where it may be.
    fn finish(&mut self, id: u32, completion: Completion) {
        let stops = self.row(id).terms.idempotency == Idempotency::Idempotent
            && self.config.cancellation != Cancellation::Unsupported;
        match self.hand.invocations[&id].state {
            RequestState::Answered { .. } | RequestState::Completed(_) => {}
            RequestState::Queued | RequestState::Joined => {
                self.change(id, RequestState::Completed(completion))
            }
            from => self.change(
                id,
                RequestState::Answered { completion, cancel: stops && from == RequestState::Running },
            ),
        }
    }

    /// Work that was told to stop while the cores stood still is told again.
    fn stop_spent(&mut self) {
        let spent = self.hand.stopping.clone();
        spent.into_iter().for_each(|id| self.change(id, self.hand.invocations[&id].state));
    }

    fn advise(&mut self) {
        // What arrives inside the grace is served, so callers stay until it is nearly over.
        let leaves = self.leaving.is_some_and(|(grace_end, _)| self.now + COOL_MS >= grace_end);
        let gone = leaves || self.failing > FAILING_SHARE;
        let ready = !gone && (self.config.discovery_follows_health || self.ease > FIT_LET_IN);
        self.out.announcements.ready =
            (ready != std::mem::replace(&mut self.fit_told, ready)).then_some(ready);
        if gone != self.away_told {
            self.away_told = gone;
            let why = if leaves { "leaving" } else { "runs fail or do not end" };
            self.out.announcements.notes.push(if gone {
                format!("stay away: {why}")
            } else {
                "well again".into()
            });
        }
        self.keep_idle();
        let level = match self.config.backpressure {
            BackpressureSignal::None => return,
            BackpressureSignal::MinimumPriority if gone => 1.0,
            _ if gone => 0.0,
            BackpressureSignal::MinimumPriority => {
                let cut = |o: &Class| 1.0 - self.kept_of(self.buckets + o.bucket, self.ease);
                let into = |o: &Class| (ADVICE_PART * cut(o)).min(1.0) * (o.ranks_to - o.ranks_from);
                let cut_rows = self.classes.iter().filter(|o| cut(o) > 0.0);
                cut_rows.map(|o| o.ranks_from + into(o)).fold(0.0, f64::max)
            }
            // A part of the quota for each caller. One each may add up to more with many of them, which a cold
            // one does not bear: there a fraction counts by chance.
            BackpressureSignal::ConcurrencyPerClient => {
                let each = self.config.cores * self.load_quotas().1 / self.config.client_count;
                each.max(if self.warmth() < 1.0 { 0.0 } else { 1.0 })
            }
            // A cold one takes no more of the usual than it has of its speed.
            BackpressureSignal::RateFraction => self.ease.min(self.warmth()).max(SHARE_LEAST),
        };
        // Under one, a part of a try each, the step shrinks with it: many callers have little each.
        let window = self.config.backpressure == BackpressureSignal::ConcurrencyPerClient;
        let scale = if window { self.advised.clamp(ADVICE_STEP, 1.0) } else { 1.0 };
        if (level - self.advised).abs() > ADVICE_STEP * scale {
            self.advised = level;
            self.out.announcements.backpressure = Some(level);
        }
    }

    /// An idle connection stays as long as its caller may be expected back, so with many callers not long, as
    /// each open one costs speed. Where the cores are behind it stays longer: a full table turns callers
    /// back unseen, at no work. Guards against storms in which readings and new connections crowd out the
    /// runs; harms where few callers open many connections each.
    fn keep_idle(&mut self) {
        let arrivals: f64 = self.classes.iter().map(|o| o.tally).sum();
        let back_ms = self.config.client_count * TALLY_HALF_MS / std::f64::consts::LN_2 / arrivals.max(1.0);
        let least = (IDLE_EVEN_MS * IDLE_EVEN_MS / back_ms).max(PERIOD_MS);
        let step = if self.behind() { IDLE_UP } else { IDLE_DOWN };
        self.idle_ms = (self.idle_ms * step).max(least).min(self.config.max_idle_ms);
        if (self.idle_ms / self.idle_told - 1.0).abs() > 0.2 {
            self.idle_told = self.idle_ms;
            self.out.announcements.idle_timeout_ms = Some(self.idle_ms);
        }
    }

    // ---- the one place where states change ----------------------------------------------------------

    fn change(&mut self, id: u32, to: RequestState) {
        self.stands(id, false);
        let Some(invocation) = self.hand.invocations.get_mut(&id) else { return };
        let (from, class) = (invocation.state, invocation.class);
        let runs = |s: RequestState| matches!(s, RequestState::Running | RequestState::Answered { .. });
        let calls = |s: RequestState| matches!(s, RequestState::AwaitingCall | RequestState::Calling { .. });
        if runs(from) {
            invocation.core_ms += self.hand.core_clock - invocation.core_clock;
        }
        invocation.core_clock = self.hand.core_clock;
        self.hand.on_core = self.hand.on_core + usize::from(runs(to)) - usize::from(runs(from));
        self.hand.at_call = self.hand.at_call + usize::from(calls(to)) - usize::from(calls(from));
        let out = |s: RequestState| usize::from(matches!(s, RequestState::Calling { .. }));
        self.hand.calls_out = self.hand.calls_out + out(to) - out(from);
        let abandoned = out(from) > out(to) && matches!(to, RequestState::Answered { .. });
        let abandoned = abandoned.then_some(invocation.call_began);
        let weight = |s: RequestState| match s {
            RequestState::Completed(_) => 0.0,
            s if runs(s) || calls(s) => self.config.running_memory_factor,
            _ => 1.0,
        };
        self.hand.memory_kb += (weight(to) - weight(from)) * invocation.memory_kb;
        invocation.state = to;
        invocation.ran |= to == RequestState::Running;
        invocation.call_began = if out(to) > 0 { self.now } else { invocation.call_began };
        self.out.transitions.push(Transition { id, from: Some(from), to, retain_ms: None });
        if matches!(to, RequestState::Completed(_) | RequestState::Answered { .. }) {
            self.hand.due.remove(&(bits(invocation.due), id));
        }
        self.count_pooled(class, from, false);
        self.count_pooled(class, to, true);
        if matches!(to, RequestState::Answered { cancel: true, .. }) {
            self.hand.stopping.insert(id);
        } else {
            self.hand.stopping.remove(&id);
        }
        if matches!(to, RequestState::Completed(_)) {
            self.hand.invocations.remove(&id);
        }
        self.stands(id, true);
        abandoned.into_iter().for_each(|began| self.rest_after(self.now - began, true));
    }

    fn result(&mut self) -> Effects {
        if let Some(&(time, _)) = self.hand.due.first() {
            let at = f64::from_bits(time);
            if at < self.woken_for {
                self.woken_for = at;
                self.out.announcements.timers.push(((at - self.now).max(0.001), Timer::Deadline));
            }
        }
        std::mem::take(&mut self.out)
    }
}
