//! Works out the plan where its member leads, and moves towards it in steps.
//!
//! What a zone may be asked to carry follows what it carries: down as it falls, up in small steps and only after it was well for a
//! while, longer each time it falls again. Near first; what does not fit goes where there is room beyond what the receiving
//! zone needs for itself and for the loss of one more member; what fits nowhere is cut at its origin.
//!
//! | state of a zone | left by |
//! | --- | --- |
//! | `Well`: it may carry what it carries | falls below `fall` of what it may: `Poor` |
//! | `Poor`: it may carry what it carries now | well for its span: `Mending` |
//! | `Mending`: it may carry a step more each time | all of it: `Well`; falls: `Poor`, and the span doubles |
//!
//! A change is told only when the last one has reached all, or those that it has not reached act by none any more.

use serde::{Deserialize, Serialize};

use crate::broken::{self, Broken};
use crate::load_reports::{Seen, Sum};
use crate::min_cost_flow::{least_cost, NO_WAY};
use crate::traffic_plan::{Plan, Shift, Topology, BANDS};

/// Spans in milliseconds, and shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    pub period_ms: f64,
    pub valid_ms: f64,
    /// A plan that stays is told anew after this.
    pub renew_ms: f64,
    /// Between two steps.
    pub step_ms: f64,
    /// A zone that receives others' work is filled so far by its own, and so far by what comes.
    pub near_fill: f64,
    pub fill: f64,
    /// Of its traffic a zone is left by this much a step, and returned to by this much.
    pub leave_step: f64,
    pub return_step: f64,
    /// A zone that carries less than this part of what it may has fallen; less than that of what it is asked, carries nothing.
    pub fall: f64,
    pub nothing: f64,
    /// How long a zone is well before it mends, the first time, and at most.
    pub well_ms: f64,
    pub well_most_ms: f64,
    /// A fall is forgotten after so long.
    pub forget_ms: f64,
    /// Smaller differences of shares are no change.
    pub least_change: f64,
    /// Demand is smoothed over this.
    pub smooth_ms: f64,
    pub way_most_ms: f64,
    /// A way that callers found cut is left for so long.
    pub cut_way_ms: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            period_ms: 300.0,
            valid_ms: 4000.0,
            renew_ms: 1000.0,
            step_ms: 400.0,
            near_fill: 0.95,
            fill: 0.85,
            leave_step: 0.5,
            return_step: 0.2,
            fall: 0.8,
            nothing: 0.1,
            well_ms: 8000.0,
            well_most_ms: 48_000.0,
            forget_ms: 60_000.0,
            least_change: 0.04,
            smooth_ms: 1500.0,
            way_most_ms: 200.0,
            cut_way_ms: 15_000.0,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stand {
    Well,
    Poor { well_since: Option<f64> },
    Mending { next_at: f64 },
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Zone {
    stand: Stand,
    looked: bool,
    /// What it may be asked to carry.
    may: f64,
    /// The most that it carried of late, which its steps are parts of.
    best: f64,
    asked: [f64; BANDS],
    well_ms: f64,
    fell_at: f64,
}

/// What an operator wants of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wish {
    pub zone: String,
    pub for_ms: f64,
    pub why: String,
    pub by: String,
    /// Also where the others can't carry it.
    pub forced: bool,
}

/// What a plan would come to: for each zone what it would carry against what it may.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forecast {
    pub plan: Plan,
    /// By zone: asked, carried (its own and others'), carries.
    pub zones: Vec<[f64; 3]>,
    /// Of all that is asked, what nobody would carry.
    pub cut: f64,
}

#[derive(Clone, Debug)]
pub struct Planner {
    topology: Topology,
    terms: Terms,
    zones: Vec<Zone>,
    /// The last that was agreed on, and when its shares last changed.
    agreed: Plan,
    changed_at: f64,
    told_at: f64,
    step_at: f64,
    ticked_at: Option<f64>,
    shifts: Vec<(Shift, f64)>,
    hold_until: f64,
    /// Ways that callers find cut, and until when they count as such.
    cut_ways: Vec<((usize, usize), f64)>,
}

/// Whole units of the flow in a core.
const UNITS: f64 = 1000.0;
const LAYERS: u64 = 4;
pub const SHIFTS_MOST: usize = 16;

impl Planner {
    pub fn new(topology: Topology, terms: Terms) -> Self {
        let zone = Zone {
            stand: Stand::Well,
            looked: false,
            may: 0.0,
            best: 0.0,
            asked: [0.0; BANDS],
            well_ms: terms.well_ms,
            fell_at: f64::NEG_INFINITY,
        };
        let count = topology.len();
        Planner {
            topology,
            terms,
            zones: vec![zone; count],
            agreed: Plan::near(count),
            changed_at: f64::NEG_INFINITY,
            told_at: f64::NEG_INFINITY,
            step_at: f64::NEG_INFINITY,
            ticked_at: None,
            shifts: Vec::new(),
            hold_until: f64::NEG_INFINITY,
            cut_ways: Vec::new(),
        }
    }

    pub fn topology(&self) -> &Topology {
        &self.topology
    }
    pub fn terms(&self) -> &Terms {
        &self.terms
    }
    pub fn agreed(&self) -> &Plan {
        &self.agreed
    }

    /// A plan was agreed on, be it this member's or a leader's before it: what follows starts from there.
    pub fn agreed_on(&mut self, now: f64, plan: &Plan) {
        if plan.change != self.agreed.change {
            self.changed_at = now;
        }
        self.shifts = plan.shifts.iter().map(|shift| (shift.clone(), now + shift.left_ms)).collect();
        self.hold_until = if plan.hold_left_ms > 0.0 { now + plan.hold_left_ms } else { f64::NEG_INFINITY };
        self.agreed = plan.clone();
    }

    // ---- an operator's word --------------------------------------------------------------------------

    /// This zone's traffic goes elsewhere for a while.
    ///
    /// Errors: the others can't carry it, with the figures, unless it is forced; or there is no such zone.
    pub fn shift(&mut self, now: f64, seen: &Seen, wish: &Wish) -> Result<Forecast, String> {
        let zone = wish.zone.as_str();
        let Some(place) = self.topology.place(zone) else {
            let names: Vec<&str> = self.topology.zones.iter().map(|zone| zone.name.as_str()).collect();
            return Err(format!("{zone:?} is no zone; {} are", names.join(", ")));
        };
        if let Some((other, until)) =
            self.shifts.iter().find(|(shift, until)| shift.zone == place && *until > now)
        {
            let (by, left) = (&other.by, (until - now) / 1000.0);
            return Err(format!("{zone} is shifted by {by} already, for {left:.0} s more: {}", other.why));
        }
        if self.shifts.len() >= SHIFTS_MOST {
            return Err(format!("there are {SHIFTS_MOST} shifts already"));
        }
        let before = self.forecast(now, seen, &[]);
        let after = self.forecast(now, seen, &[place]);
        if !wish.forced && after.cut > before.cut + 0.01 {
            let full: Vec<String> = self
                .topology
                .zones
                .iter()
                .zip(&after.zones)
                .map(|(zone, [_, carried, carries])| {
                    format!("{} {carried:.1} of {carries:.1} cores", zone.name)
                })
                .collect();
            return Err(format!(
                "the others can't carry {zone}: {:.1} % of all traffic would be cut, {:.1} % is now ({}); force it to do so all the same",
                after.cut * 100.0,
                before.cut * 100.0,
                full.join(", ")
            ));
        }
        let shift = Shift { zone: place, left_ms: wish.for_ms, why: wish.why.clone(), by: wish.by.clone() };
        self.shifts.push((shift, now + wish.for_ms));
        (self.told_at, self.step_at) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
        Ok(after)
    }

    /// Ends a shift before its time.
    ///
    /// Errors: there is none.
    pub fn unshift(&mut self, zone: &str) -> Result<(), String> {
        let place = self.topology.place(zone);
        let before = self.shifts.len();
        self.shifts.retain(|(shift, _)| Some(shift.zone) != place);
        (self.told_at, self.step_at) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
        if self.shifts.len() < before {
            Ok(())
        } else {
            Err(format!("{zone:?} is not shifted"))
        }
    }

    /// The plan stays as it is for a while, whatever is seen.
    pub fn hold(&mut self, now: f64, for_ms: f64) {
        self.hold_until = now + for_ms;
        self.told_at = f64::NEG_INFINITY;
    }

    // ---- the plan ------------------------------------------------------------------------------------

    /// The next plan to be agreed on, where there is one: a change, or the old one confirmed.
    pub fn tick(&mut self, now: f64, seen: &Seen) -> Option<Plan> {
        self.look(now, seen);
        self.shifts.retain(|(_, until)| *until > now);
        let mut next = self.agreed.clone();
        let held = self.hold_until > now;
        // Whoever has not the last change yet acts by it no longer when its span is over; until then there is no further one.
        let reached = seen.behind(now, self.agreed.change) == 0
            || now - self.changed_at > self.terms.valid_ms + self.terms.renew_ms
            || broken::is(Broken::PlanWithoutFence);
        if !held && reached && now >= self.step_at {
            let wanted = self.wanted(now, seen);
            let stepped = self.step(&wanted);
            let shifted = self.shifts.iter().map(|(shift, _)| shift.zone).collect::<Vec<_>>();
            let same_shifts = shifted == self.agreed.shifts.iter().map(|s| s.zone).collect::<Vec<_>>();
            let worth =
                stepped.differs(&self.agreed) >= self.terms.least_change || stepped.off != self.agreed.off;
            // The last bit of a way back is walked too: else a little would stay away for ever.
            let home =
                stepped.differs(&Plan::near(self.zones.len())) < 1e-9 && stepped.differs(&self.agreed) > 1e-6;
            if worth || home || !same_shifts {
                (next.shares, next.off, next.why) = (stepped.shares, stepped.off, stepped.why);
                next.change = self.agreed.change + 1;
                self.step_at = now + self.terms.step_ms;
            }
        }
        let left = |(shift, until): &(Shift, f64)| Shift { left_ms: until - now, ..shift.clone() };
        next.shifts = self.shifts.iter().map(left).collect();
        next.hold_left_ms = (self.hold_until - now).max(0.0);
        next.valid_ms = self.terms.valid_ms;
        let due = now - self.told_at >= self.terms.renew_ms;
        if next.change == self.agreed.change && !due {
            return None;
        }
        self.told_at = now;
        Some(next)
    }

    /// What each zone is asked and may carry, from what is seen.
    fn look(&mut self, now: f64, seen: &Seen) {
        let since = self.ticked_at.map_or(f64::INFINITY, |at| now - at);
        self.ticked_at = Some(now);
        let part = 1.0 - (-since / self.terms.smooth_ms).exp();
        for ((zone, sum), off) in self.zones.iter_mut().zip(seen.sums(now)).zip(&self.agreed.off) {
            // A zone that tells nothing is asked what it was asked before, or what its callers take elsewhere.
            for (asked, told) in zone.asked.iter_mut().zip(sum.asked) {
                if sum.members > sum.silent {
                    *asked += (told - *asked) * part;
                } else {
                    *asked = (*asked * (1.0 - part * 0.01)).max(told);
                }
            }
            zone.look(now, sum, *off, &self.terms);
        }
        // While a way counts as cut nothing is sent by it, so nothing more is seen of it: it is tried again after a while.
        self.cut_ways.retain(|(_, until)| *until > now);
        for way in seen.cut_ways(now) {
            self.cut_ways.retain(|(other, _)| *other != way);
            self.cut_ways.push((way, now + self.terms.cut_way_ms));
        }
    }

    fn step_of(&self, zone: usize, now: f64) -> (f64, [f64; BANDS]) {
        let shifted = self.shifts.iter().any(|(shift, until)| shift.zone == zone && *until > now);
        let zone = &self.zones[zone];
        (if shifted { 0.0 } else { zone.may }, zone.asked)
    }

    fn wanted(&self, now: f64, seen: &Seen) -> Plan {
        let largest: Vec<f64> = seen.sums(now).iter().map(|sum| sum.largest).collect();
        let of: Vec<(f64, [f64; BANDS])> =
            (0..self.zones.len()).map(|zone| self.step_of(zone, now)).collect();
        shares(&self.topology, &self.terms, &of, &largest, &self.ways_cut())
    }

    fn ways_cut(&self) -> Vec<(usize, usize)> {
        self.cut_ways.iter().map(|(way, _)| *way).collect()
    }

    /// What a plan with these zones shifted would come to, with nothing done.
    pub fn forecast(&self, now: f64, seen: &Seen, shifted: &[usize]) -> Forecast {
        let largest: Vec<f64> = seen.sums(now).iter().map(|sum| sum.largest).collect();
        let of: Vec<(f64, [f64; BANDS])> = (0..self.zones.len())
            .map(|zone| {
                let (may, asked) = self.step_of(zone, now);
                (if shifted.contains(&zone) { 0.0 } else { may }, asked)
            })
            .collect();
        let plan = shares(&self.topology, &self.terms, &of, &largest, &self.ways_cut());
        let count = self.zones.len();
        let whole = |zone: usize| of[zone].1.iter().sum::<f64>();
        let carried =
            |to: usize| (0..count).map(|from| whole(from) * plan.part(from, to, &of[from].1)).sum::<f64>();
        let zones = (0..count).map(|zone| [whole(zone), carried(zone), of[zone].0]).collect();
        let all: f64 = (0..count).map(whole).sum();
        let too_much = |zone: usize| (carried(zone) - of[zone].0).max(0.0);
        let cut: f64 =
            (0..count).map(|from| whole(from) * plan.part(from, count, &of[from].1) + too_much(from)).sum();
        Forecast { plan, zones, cut: if all > 0.0 { cut / all } else { 0.0 } }
    }

    /// From what is agreed on towards what is wanted, no further than a step; a zone that carries nothing is left at once.
    fn step(&self, wanted: &Plan) -> Plan {
        let count = self.zones.len();
        let mut next = wanted.clone();
        for (row, zone) in (0..count * BANDS).map(|row| (row, row / BANDS)) {
            let (was, want) = (self.agreed.shares[row][zone], wanted.shares[row][zone]);
            let nothing =
                self.zones[zone].may <= self.terms.nothing * self.zones[zone].asked.iter().sum::<f64>();
            let near = if want < was {
                if nothing {
                    want
                } else {
                    want.max(was - self.terms.leave_step)
                }
            } else if broken::is(Broken::NoHysteresis) {
                want
            } else {
                want.min(was + self.terms.return_step)
            };
            // What is not near goes where it is wanted; on the way back, where it went before.
            let (of, rest) = if want < 1.0 - 1e-9 { (wanted, 1.0 - want) } else { (&self.agreed, 1.0 - was) };
            for to in 0..=count {
                let share = of.shares[row][to];
                next.shares[row][to] = match to == zone {
                    true => near,
                    false if rest > 1e-9 => share * (1.0 - near) / rest,
                    false => 0.0,
                };
            }
        }
        self.hold_to_room(&mut next, wanted);
        next
    }

    /// Nobody is asked for more than it has room for, in no step on the way either: what is too much is cut at its origin, the
    /// lowest ranks first.
    fn hold_to_room(&self, next: &mut Plan, wanted: &Plan) {
        let count = self.zones.len();
        for to in 0..count {
            let asked = |row: usize| self.zones[row / BANDS].asked[row % BANDS];
            let rows = || (0..count * BANDS).filter(|row| row / BANDS != to);
            let foreign = |plan: &Plan| rows().map(|row| asked(row) * plan.shares[row][to]).sum::<f64>();
            let near: f64 = (0..BANDS).map(|band| asked(to * BANDS + band) * next.share(to, band, to)).sum();
            let room = (self.zones[to].may * self.terms.fill - near).max(foreign(wanted)).max(0.0);
            let room = if next.off[to] { 0.0 } else { room };
            let mut over = foreign(next) - room;
            if over <= 1e-9 || broken::is(Broken::NoHeadroom) {
                continue;
            }
            for band in 0..BANDS {
                let of_band = || rows().filter(|row| row % BANDS == band);
                let comes: f64 = of_band().map(|row| asked(row) * next.shares[row][to]).sum();
                let part = if comes > 1e-12 {
                    (over / comes).clamp(0.0, 1.0)
                } else {
                    f64::from(u8::from(room <= 0.0))
                };
                for row in of_band() {
                    let too_much = next.shares[row][to] * part;
                    next.shares[row][to] -= too_much;
                    next.shares[row][count] += too_much;
                }
                over -= comes * part;
            }
        }
    }
}

impl Zone {
    fn look(&mut self, now: f64, sum: Sum, off: bool, terms: &Terms) {
        let carries = sum.carries;
        if now - self.fell_at > terms.forget_ms {
            self.well_ms = terms.well_ms;
        }
        self.best = if carries >= self.best { carries } else { self.best + (carries - self.best) * 0.002 };
        // The first look: what was agreed to be off mends as after a fall, all else is as it is.
        if !std::mem::replace(&mut self.looked, true) {
            let poor = off || carries <= 0.0;
            self.stand = if poor { Stand::Poor { well_since: None } } else { Stand::Well };
            self.may = if poor { 0.0 } else { carries };
            return;
        }
        if broken::is(Broken::NoHysteresis) {
            self.may = carries;
            return;
        }
        let fell = carries < terms.fall * self.may;
        match self.stand {
            _ if fell => {
                // Each fall soon after another makes the wait for the next return longer.
                if self.stand != (Stand::Poor { well_since: None }) {
                    if now - self.fell_at <= terms.forget_ms {
                        self.well_ms = (self.well_ms * 2.0).min(terms.well_most_ms);
                    }
                    self.fell_at = now;
                }
                (self.may, self.stand) = (carries, Stand::Poor { well_since: None });
            }
            Stand::Well => self.may += (carries - self.may) * 0.3,
            Stand::Poor { well_since } => {
                // Well is to carry more than it may, by enough to be worth a return.
                let better = carries > self.may + 0.1 * self.best;
                if !better {
                    self.may = self.may.min(carries);
                    self.stand = if self.may >= 0.95 * self.best {
                        Stand::Well
                    } else {
                        Stand::Poor { well_since: None }
                    };
                    return;
                }
                let since = well_since.unwrap_or(now);
                self.stand = if now - since >= self.well_ms {
                    Stand::Mending { next_at: now }
                } else {
                    Stand::Poor { well_since: Some(since) }
                };
            }
            Stand::Mending { next_at } if next_at <= now => {
                self.may = carries.min(self.may + terms.return_step * self.best.max(carries));
                self.stand = if self.may >= carries - 1e-9 {
                    Stand::Well
                } else {
                    Stand::Mending { next_at: now + terms.step_ms }
                };
            }
            Stand::Mending { .. } => {}
        }
    }
}

/// The shares that are best for what zones may carry and are asked: the highest ranks first, near first, then by the shortest ways
/// where there is room beside what the receiving zone needs for the loss of one more member.
pub fn shares(
    topology: &Topology,
    terms: &Terms,
    of: &[(f64, [f64; BANDS])],
    largest: &[f64],
    cut_ways: &[(usize, usize)],
) -> Plan {
    let count = topology.len();
    let units = |cores: f64| (cores * UNITS).round().max(0.0) as u64;
    let supply: Vec<u64> = of.iter().flat_map(|(_, asked)| asked.map(units)).collect();
    // Of each zone a part that anybody's work may fill, and a part for its own alone.
    let safe = |zone: usize| {
        let may = of[zone].0;
        let spare = if broken::is(Broken::NoHeadroom) {
            may * 1.5
        } else {
            may * terms.fill - largest.get(zone).copied().unwrap_or(0.0)
        };
        units(spare.max(0.0))
    };
    let own = |zone: usize| units(of[zone].0 * terms.near_fill).saturating_sub(safe(zone));
    // In layers that cost a little more each, so that equals share what comes.
    let layer = |place: usize| {
        let (zone, layer) = (place % count, place as u64 / count as u64);
        safe(zone) * (layer + 1) / LAYERS - safe(zone) * layer / LAYERS
    };
    let shared = count * LAYERS as usize;
    let room: Vec<u64> = (0..shared).map(layer).chain((0..count).map(own)).collect();
    let cost = |from: usize, to: usize| {
        let (zone, layer) = (to % count, (to / count) as f64);
        let way = topology.way_ms(from, zone);
        match (from == zone, to < shared) {
            (true, true) => 0.001 * (1.0 + layer),
            (true, false) => 0.0,
            (false, true) if way <= terms.way_most_ms && !cut_ways.contains(&(from, zone)) => {
                1.0 + way + 0.2 * layer
            }
            _ => NO_WAY,
        }
    };
    let cost: Vec<Vec<f64>> =
        (0..count * BANDS).map(|row| (0..room.len()).map(|to| cost(row / BANDS, to)).collect()).collect();
    let stages: Vec<Vec<usize>> =
        (0..BANDS).rev().map(|band| (0..count).map(|zone| zone * BANDS + band).collect()).collect();
    let flows = least_cost(&supply, &stages, &room, &cost);
    let carried = |row: usize, to: usize| flows[row].iter().skip(to).step_by(count).sum::<u64>();
    let comes_in = |to: usize| (0..count * BANDS).any(|row| row / BANDS != to && carried(row, to) > 0);
    let mut plan = Plan::near(count);
    for (row, from) in (0..count * BANDS).map(|row| (row, row / BANDS)) {
        plan.off[from] = of[from].0 <= 0.0;
        if supply[row] == 0 {
            if plan.off[from] {
                (plan.shares[row][from], plan.shares[row][count]) = (0.0, 1.0);
            }
            continue;
        }
        let told = &mut plan.shares[row];
        (0..count).for_each(|to| told[to] = carried(row, to) as f64 / supply[row] as f64);
        let rest = (1.0 - told.iter().take(count).sum::<f64>()).max(0.0);
        // What fits nowhere is cut at its origin: by the zone itself, in the design's own way, where it has to itself what it carries;
        // by its callers where the zone carries nothing, or others' higher ranks beside.
        let itself = of[from].0 > 0.0 && !comes_in(from);
        told[if itself { from } else { count }] += rest;
    }
    let keeps = |zone: usize| plan.part(zone, zone, &of[zone].1);
    let away: Vec<String> = (0..count)
        .filter(|zone| keeps(*zone) < 0.999)
        .map(|zone| format!("{} keeps {:.0} %", topology.zones[zone].name, keeps(zone) * 100.0))
        .collect();
    plan.why = if away.is_empty() { "all near".into() } else { away.join(", ") };
    plan
}
