//! What members and callers see of zones, summed up so that one that lies, is wrong or is silent moves little.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::traffic_plan::BANDS;

/// What a member tells of itself once a period. Work is told in cores: core-seconds a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The number of the plan that it acts by; 0 for the safe default.
    pub plan: u64,
    /// What callers of its own zone asked of it, let in or not, by bands of rank.
    pub asked: [f64; BANDS],
    /// What it could carry, as warm as it is; 0 where its agent or ledger is gone.
    pub could: f64,
    /// Of what it answered, the share in time.
    pub in_time: f64,
    /// The ledger, which all share, is what is slow.
    pub ledger_slow: bool,
}

/// What a caller sees from another side of the network: of one zone, tries of late and those that were answered.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outside {
    pub origin: usize,
    /// What it wants of other zones or does not send, by the plan: no member of its own zone sees that.
    pub away: [f64; BANDS],
    /// By zone: tries, answered.
    pub tried: Vec<[f64; 2]>,
}

/// Spans in milliseconds, and how far one member may be from the middle of its like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Nothing from a member for so long: it is silent, and carries nothing.
    pub silent_ms: f64,
    /// A member counts for at most so many times the middle of all.
    pub of_middle: f64,
    /// Tries from outside that say something of a zone; as how many those of one caller count at most.
    pub tries_least: f64,
    pub tries_most: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { silent_ms: 1600.0, of_middle: 2.0, tries_least: 20.0, tries_most: 100.0 }
    }
}

/// A zone, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    pub asked: [f64; BANDS],
    /// What it carries in time: what it could, less what comes late beyond what is late everywhere.
    pub carries: f64,
    /// The largest part of it that goes with one member.
    pub largest: f64,
    pub members: usize,
    pub silent: usize,
}

#[derive(Clone, Debug)]
pub struct Seen {
    zones: usize,
    terms: Terms,
    /// By member: its zone, its last report, and when.
    members: BTreeMap<u64, (usize, Report, f64)>,
    outside: BTreeMap<u64, (Outside, f64)>,
}

/// Members and callers at once; more are left out.
const MEMBERS_MOST: usize = 4096;
/// Nobody has more; sums stay figures that can be reckoned with.
const CORES_MOST: f64 = 1e6;

fn middle(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of.get(of.len() / 2).copied().unwrap_or(0.0)
}

fn sane(value: f64) -> f64 {
    if value.is_finite() {
        value.clamp(0.0, CORES_MOST)
    } else {
        0.0
    }
}

impl Seen {
    pub fn new(zones: usize, terms: Terms) -> Self {
        Seen { zones, terms, members: BTreeMap::new(), outside: BTreeMap::new() }
    }

    pub fn hear(&mut self, now: f64, member: u64, zone: usize, report: Report) {
        let known = self.members.contains_key(&member) || self.members.len() < MEMBERS_MOST;
        if zone < self.zones && known {
            let Report { plan, asked, could, in_time, ledger_slow } = report;
            let in_time = sane(in_time).min(1.0);
            let report = Report { plan, asked: asked.map(sane), could: sane(could), in_time, ledger_slow };
            self.members.insert(member, (zone, report, now));
        }
    }

    pub fn hear_outside(&mut self, now: f64, caller: u64, outside: Outside) {
        let known = self.outside.contains_key(&caller) || self.outside.len() < MEMBERS_MOST;
        let sound = outside.origin < self.zones
            && outside.tried.len() <= self.zones
            && outside.tried.iter().flatten().all(|count| (0.0..1e9).contains(count));
        if known && sound {
            self.outside.insert(caller, (outside, now));
        }
    }

    /// Who belongs now; what others told is forgotten. Members that belong and never told anything are silent.
    pub fn belong(&mut self, members: &BTreeMap<u64, usize>) {
        self.members.retain(|member, _| members.contains_key(member));
        for (member, zone) in members {
            self.members.entry(*member).or_insert((*zone, Report::default(), f64::NEG_INFINITY));
        }
    }

    /// Members that tell of another plan than this one. Those that tell nothing are not waited for: what they act by ends by itself
    /// within its span, which is the bound that is promised.
    pub fn behind(&self, now: f64, plan: u64) -> usize {
        let late = |(_, report, at): &&(usize, Report, f64)| {
            now - at <= self.terms.silent_ms && report.plan != plan && report.plan != 0
        };
        self.members.values().filter(late).count()
    }

    /// Whether the ledger that all share is what most find slow: then no zone is better than another.
    pub fn ledger_slow(&self, now: f64) -> bool {
        let fresh = self.members.values().filter(|(.., at)| now - at <= self.terms.silent_ms);
        let (slow, all) =
            fresh.fold((0, 0), |(slow, all), (_, r, _)| (slow + usize::from(r.ledger_slow), all + 1));
        all > 0 && slow * 2 > all
    }

    /// All zones, by what is fresh.
    pub fn sums(&self, now: f64) -> Vec<Sum> {
        let fresh = |at: f64| now - at <= self.terms.silent_ms;
        let told: Vec<&(usize, Report, f64)> = self.members.values().filter(|(.., at)| fresh(*at)).collect();
        // One that tells of ten times what its like can do counts as twice the middle of all at most.
        let could_most = self.terms.of_middle
            * middle(told.iter().map(|(_, r, _)| r.could).filter(|could| *could > 0.0).collect());
        let mut sums = vec![Sum::default(); self.zones];
        let mut in_time: Vec<Vec<f64>> = vec![Vec::new(); self.zones];
        let mut asked: Vec<Vec<[f64; BANDS]>> = vec![Vec::new(); self.zones];
        for (zone, report, at) in self.members.values() {
            let sum = &mut sums[*zone];
            sum.members += 1;
            if !fresh(*at) {
                sum.silent += 1;
                continue;
            }
            let could = report.could.min(could_most);
            sum.carries += could;
            sum.largest = sum.largest.max(could);
            asked[*zone].push(report.asked);
            if could > 0.0 {
                in_time[*zone].push(report.in_time);
            }
        }
        // What is late in most zones alike is no zone's own: it is held against the middle of all. So a ledger that is slow for
        // everybody moves nothing.
        let late: Vec<f64> =
            in_time.iter().map(|zone| zone.iter().sum::<f64>() / zone.len().max(1) as f64).collect();
        let well =
            middle(late.iter().zip(&in_time).filter(|(_, z)| !z.is_empty()).map(|(l, _)| *l).collect());
        for (zone, sum) in sums.iter_mut().enumerate() {
            let most =
                self.terms.of_middle * middle(asked[zone].iter().map(|asked| asked.iter().sum()).collect());
            // One that tells of far more than its like is asked for counts for twice the middle of them.
            for asked in &asked[zone] {
                let all: f64 = asked.iter().sum();
                let part = if all > most && sum.members - sum.silent > 2 { most / all } else { 1.0 };
                sum.asked.iter_mut().zip(asked).for_each(|(sum, asked)| *sum += asked * part);
            }
            if well > 0.0 && !in_time[zone].is_empty() && !self.ledger_slow(now) {
                sum.carries *= (late[zone] / well).min(1.0);
            }
        }
        self.heed_outside(now, &mut sums);
        sums
    }

    fn fresh_outside(&self, now: f64) -> Vec<&Outside> {
        let fresh = self.outside.values().filter(|(_, at)| now - at <= self.terms.silent_ms);
        fresh.map(|(outside, _)| outside).collect()
    }

    /// Of one origin's tries at a zone the share that was answered, where there were enough to tell. No caller counts for many.
    fn answered(&self, fresh: &[&Outside], from: usize, zone: usize) -> Option<f64> {
        let tried = fresh.iter().filter(|o| o.origin == from).filter_map(|outside| outside.tried.get(zone));
        let [tries, well] = tried.fold([0.0, 0.0], |sum, [tries, well]| {
            let part = if *tries > self.terms.tries_most { self.terms.tries_most / tries } else { 1.0 };
            [sum[0] + tries * part, sum[1] + well.min(*tries) * part]
        });
        (tries >= self.terms.tries_least).then(|| well / tries)
    }

    /// Ways between zones that callers find cut, while the zone at the end answers others.
    pub fn cut_ways(&self, now: f64) -> Vec<(usize, usize)> {
        let fresh = self.fresh_outside(now);
        let pairs = (0..self.zones).flat_map(|from| (0..self.zones).map(move |to| (from, to)));
        let cut = |(from, to): &(usize, usize)| {
            let others = (0..self.zones).filter(|other| other != from);
            let well = others.filter_map(|other| self.answered(&fresh, other, *to)).any(|share| share > 0.7);
            from != to && well && self.answered(&fresh, *from, *to).is_some_and(|share| share < 0.3)
        };
        pairs.filter(cut).collect()
    }

    /// What callers see: a zone whose members say they are well and whom callers don't reach carries what callers get from it.
    fn heed_outside(&self, now: f64, sums: &mut [Sum]) {
        let fresh = self.fresh_outside(now);
        // By the middle of the origins that try it: one whose own way is bad says nothing of the zone.
        let answered = |zone: usize| {
            let of: Vec<f64> = (0..self.zones).filter_map(|from| self.answered(&fresh, from, zone)).collect();
            (!of.is_empty()).then(|| middle(of))
        };
        let shares: Vec<Option<f64>> = (0..sums.len()).map(answered).collect();
        let well = shares.iter().flatten().copied().fold(0.0, f64::max);
        for (zone, sum) in sums.iter_mut().enumerate() {
            if let Some(share) = shares[zone].filter(|_| well > 0.0) {
                sum.carries *= (share / well).min(1.0);
            }
            for outside in fresh.iter().filter(|outside| outside.origin == zone) {
                sum.asked.iter_mut().zip(outside.away).for_each(|(sum, away)| *sum += sane(away));
            }
        }
    }
}
