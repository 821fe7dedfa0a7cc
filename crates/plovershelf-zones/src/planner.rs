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
use crate::flow::{least_cost, NO_WAY};
use crate::plan::{Plan, Shift, Topology};
use crate::seen::{Seen, Sum};

/// Spans in milliseconds, and shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    pub period_ms: f64,
    pub valid_ms: f64,
    /// A plan that stays is told anew after this.
    pub renew_ms: f64,
    /// Between two steps.
    pub step_ms: f64,
    /// What is near may fill its zone so far, what comes from others so far.
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
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            period_ms: 300.0,
            valid_ms: 4000.0,
            renew_ms: 1000.0,
            step_ms: 400.0,
            near_fill: 1.0,
            fill: 0.85,
            leave_step: 0.5,
            return_step: 0.2,
            fall: 0.8,
            nothing: 0.1,
            well_ms: 8000.0,
            well_most_ms: 48_000.0,
            forget_ms: 60_000.0,
            least_change: 0.04,
            smooth_ms: 600.0,
            way_most_ms: 200.0,
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
    /// What it may be asked to carry.
    may: f64,
    /// The most that it carried of late, which its steps are parts of.
    best: f64,
    asked: f64,
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
}

/// Whole units of the flow in a core.
const UNITS: f64 = 1000.0;
pub const SHIFTS_MOST: usize = 16;

impl Planner {
    pub fn new(topology: Topology, terms: Terms) -> Self {
        let zone = Zone {
            stand: Stand::Well,
            may: 0.0,
            best: 0.0,
            asked: 0.0,
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
            let home = (0..self.zones.len()).all(|zone| stepped.share(zone, zone) >= 1.0 - 1e-9)
                && stepped.differs(&self.agreed) > 1e-6;
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
        for (zone, sum) in self.zones.iter_mut().zip(seen.sums(now)) {
            // A zone that tells nothing is asked what it was asked before, or what its callers take elsewhere.
            if sum.members > sum.silent {
                zone.asked += (sum.asked - zone.asked) * part;
            } else {
                zone.asked = (zone.asked * (1.0 - part * 0.01)).max(sum.asked);
            }
            zone.look(now, sum, &self.terms);
        }
    }

    fn step_of(&self, zone: usize, now: f64) -> (f64, f64) {
        let shifted = self.shifts.iter().any(|(shift, until)| shift.zone == zone && *until > now);
        let zone = &self.zones[zone];
        (if shifted { 0.0 } else { zone.may }, zone.asked)
    }

    fn wanted(&self, now: f64, seen: &Seen) -> Plan {
        let largest: Vec<f64> = seen.sums(now).iter().map(|sum| sum.largest).collect();
        let of: Vec<(f64, f64)> = (0..self.zones.len()).map(|zone| self.step_of(zone, now)).collect();
        shares(&self.topology, &self.terms, &of, &largest)
    }

    /// What a plan with these zones shifted would come to, with nothing done.
    pub fn forecast(&self, now: f64, seen: &Seen, shifted: &[usize]) -> Forecast {
        let largest: Vec<f64> = seen.sums(now).iter().map(|sum| sum.largest).collect();
        let of: Vec<(f64, f64)> = (0..self.zones.len())
            .map(|zone| {
                let (may, asked) = self.step_of(zone, now);
                (if shifted.contains(&zone) { 0.0 } else { may }, asked)
            })
            .collect();
        let plan = shares(&self.topology, &self.terms, &of, &largest);
        let count = self.zones.len();
        let carried = |to: usize| (0..count).map(|from| of[from].1 * plan.share(from, to)).sum::<f64>();
        let zones = (0..count).map(|zone| [of[zone].1, carried(zone), of[zone].0]).collect();
        let all: f64 = of.iter().map(|(_, asked)| asked).sum();
        let cut: f64 = (0..count).map(|from| of[from].1 * plan.cut(from)).sum();
        Forecast { plan, zones, cut: if all > 0.0 { cut / all } else { 0.0 } }
    }

    /// From what is agreed on towards what is wanted, no further than a step; a zone that carries nothing is left at once.
    fn step(&self, wanted: &Plan) -> Plan {
        let count = self.zones.len();
        let mut next = wanted.clone();
        for zone in 0..count {
            let (was, want) = (self.agreed.share(zone, zone), wanted.share(zone, zone));
            let nothing = self.zones[zone].may <= self.terms.nothing * self.zones[zone].asked;
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
                let share = of.share(zone, to);
                next.shares[zone][to] = match to == zone {
                    true => near,
                    false if rest > 1e-9 => share * (1.0 - near) / rest,
                    false => 0.0,
                };
            }
        }
        self.hold_to_room(&mut next, wanted);
        next
    }

    /// Nobody is asked for more than it has room for, in no step on the way either: what is too much is cut at its origin.
    fn hold_to_room(&self, next: &mut Plan, wanted: &Plan) {
        let count = self.zones.len();
        for to in 0..count {
            let asked = |from: usize| self.zones[from].asked;
            let foreign = |plan: &Plan| -> f64 {
                (0..count).filter(|from| *from != to).map(|from| asked(from) * plan.share(from, to)).sum()
            };
            let near = asked(to) * next.share(to, to);
            let room = (self.zones[to].may * self.terms.fill - near).max(foreign(wanted)).max(0.0);
            let room = if next.off[to] { 0.0 } else { room };
            let comes = foreign(next);
            if comes <= room + 1e-9 || broken::is(Broken::NoHeadroom) {
                continue;
            }
            let part = room / comes;
            for from in (0..count).filter(|from| *from != to) {
                let too_much = next.shares[from][to] * (1.0 - part);
                next.shares[from][to] -= too_much;
                next.shares[from][count] += too_much;
            }
        }
    }
}

impl Zone {
    fn look(&mut self, now: f64, sum: Sum, terms: &Terms) {
        let carries = sum.carries;
        if now - self.fell_at > terms.forget_ms {
            self.well_ms = terms.well_ms;
        }
        self.best = if carries >= self.best { carries } else { self.best + (carries - self.best) * 0.002 };
        let first = self.best <= carries && self.may == 0.0 && self.fell_at == f64::NEG_INFINITY;
        if broken::is(Broken::NoHysteresis) || first {
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

/// The shares that are best for what zones may carry and are asked: near first, then by the shortest ways where there is room.
pub fn shares(topology: &Topology, terms: &Terms, of: &[(f64, f64)], largest: &[f64]) -> Plan {
    let count = topology.len();
    let near: Vec<f64> = of.iter().map(|(may, asked)| asked.min(may * terms.near_fill)).collect();
    let units = |cores: f64| (cores * UNITS).round().max(0.0) as u64;
    let supply: Vec<u64> = of.iter().zip(&near).map(|((_, asked), near)| units(asked - near)).collect();
    let room: Vec<u64> = (0..count)
        .map(|zone| {
            let (may, _) = of[zone];
            let spare = if broken::is(Broken::NoHeadroom) {
                may * 1.5 - near[zone]
            } else {
                may * terms.fill - near[zone] - largest.get(zone).copied().unwrap_or(0.0)
            };
            units(spare)
        })
        .collect();
    let cost: Vec<Vec<f64>> = (0..count)
        .map(|from| {
            let way = |to: usize| topology.way_ms(from, to);
            let bearable = |to: usize| from != to && way(to) <= terms.way_most_ms;
            (0..count).map(|to| if bearable(to) { way(to) } else { NO_WAY }).collect()
        })
        .collect();
    let flows = least_cost(&supply, &room, &cost);
    let mut plan = Plan::near(count);
    for from in 0..count {
        let asked = of[from].1;
        plan.off[from] = of[from].0 <= 0.0;
        if asked <= 1e-9 {
            continue;
        }
        let row = &mut plan.shares[from];
        let mut rest = 1.0;
        for to in 0..count {
            let cores = if to == from { near[from] } else { flows[from][to] as f64 / UNITS };
            row[to] = (cores / asked).min(rest);
            rest -= row[to];
        }
        // Less than a unit is rounding, and stays near; so does what only the design's own cut at a zone that works can tell apart.
        let works = of[from].0 > 0.0;
        match works {
            true => row[from] += rest,
            false => row[count] = rest,
        }
    }
    let away: Vec<String> = (0..count)
        .filter(|zone| plan.share(*zone, *zone) < 0.999)
        .map(|zone| format!("{} keeps {:.0} %", topology.zones[zone].name, plan.share(zone, zone) * 100.0))
        .collect();
    plan.why = if away.is_empty() { "all near".into() } else { away.join(", ") };
    plan
}
