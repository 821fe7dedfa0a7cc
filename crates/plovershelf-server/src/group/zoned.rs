//! The zones' part of the group's thread: reports to the leader, the plan by its word, answers to callers and operators.

use std::collections::{BTreeMap, VecDeque};

use plovershelf_cluster::wire::{decode, encode_payload as plain};
use plovershelf_cluster::{ClusterNode, NodeId as Id};
use plovershelf_config::group::Zones as Setup;
use plovershelf_failover::follower::Follower;
use plovershelf_failover::load_reports::{Outside, Report, Seen};
use plovershelf_failover::messages::{Ask, Say, Status, Told, OUTSIDE_MOST};
use plovershelf_failover::planner::Planner;
use plovershelf_failover::traffic_plan::{Plan, BANDS};

use super::DriverHeartbeat;

/// Under which the plan is agreed on.
pub const KEY: &str = "zones";
/// A new leader hears from all first; they report at once when they know of it.
const HEAR_MS: f64 = 1000.0;
const HISTORY: usize = 32;
/// What was counted is looked at over so long, in periods.
const PERIODS: usize = 4;

pub struct Zoned {
    place: usize,
    zone: String,
    planner: Planner,
    seen: Seen,
    follower: Follower,
    outside: BTreeMap<u64, Outside>,
    counted: VecDeque<(f64, Counted)>,
    period_at: f64,
    reported_to: Option<Id>,
    leads_since: Option<f64>,
    /// The number that was proposed last, until it is agreed on or given up.
    proposed: Option<(u64, f64)>,
    history: VecDeque<(f64, String)>,
}

/// As the owner counted since its start.
#[derive(Clone, Copy, Default)]
pub struct Counted {
    /// Work asked by bands, in core-milliseconds; answers, and those of them in time.
    pub asked: [f64; BANDS],
    pub answered: f64,
    pub in_time: f64,
}

/// What a period asks for: a report to the leader, or a plan under a number to be agreed on.
#[derive(Default)]
pub struct Due {
    pub say: Option<(Id, Vec<u8>)>,
    pub propose: Option<(u64, Vec<u8>)>,
}

impl Zoned {
    /// Errors: this member's zone is none of the file's.
    pub fn new(setup: Setup, zone: &str, now: f64) -> Result<Self, String> {
        let place = setup.topology.place(zone);
        let place = place.ok_or_else(|| format!("zone = {zone:?} has no section [zone {zone}]"))?;
        let count = setup.topology.len();
        Ok(Zoned {
            place,
            zone: zone.to_string(),
            planner: Planner::new(setup.topology, setup.terms),
            seen: Seen::new(count, setup.seen),
            follower: Follower::new(count),
            outside: BTreeMap::new(),
            counted: VecDeque::new(),
            period_at: now,
            reported_to: None,
            leads_since: None,
            proposed: None,
            history: VecDeque::new(),
        })
    }

    pub fn next_at(&self) -> f64 {
        self.period_at
    }

    fn report(&mut self, now: f64, heartbeat: &DriverHeartbeat) -> Report {
        let counted = heartbeat.counted();
        let (since, before) = self.counted.front().copied().unwrap_or((now, counted));
        self.counted.push_back((now, counted));
        if self.counted.len() > PERIODS {
            self.counted.pop_front();
        }
        let span = (now - since).max(1.0);
        let answered = counted.answered - before.answered;
        Report {
            plan: self.follower.change(now),
            asked: std::array::from_fn(|band| (counted.asked[band] - before.asked[band]).max(0.0) / span),
            could: if heartbeat.is_ready() { heartbeat.cores() } else { 0.0 },
            // A few answers tell nothing yet.
            in_time: if answered >= 10.0 { (counted.in_time - before.in_time) / answered } else { 1.0 },
            ledger_slow: false,
        }
    }

    /// Once a period: this member's report to the leader, and where it leads the next plan. Tells what goes to whom, and what is
    /// to be agreed on.
    pub fn tick(&mut self, now: f64, heartbeat: &DriverHeartbeat, group: &ClusterNode) -> Due {
        let leader = group.leader();
        if now < self.period_at && leader == self.reported_to {
            return Due::default();
        }
        self.reported_to = leader;
        self.period_at = now + self.planner.terms().period_ms;
        let report = self.report(now, heartbeat);
        let outside: Vec<(u64, Outside)> =
            std::mem::take(&mut self.outside).into_iter().take(OUTSIDE_MOST).collect();
        if !group.raft().leads() {
            self.leads_since = None;
            let say = Say { zone: self.zone.clone(), report, outside };
            return Due { say: leader.map(|leader| (leader, plain(&say))), ..Due::default() };
        }
        self.seen.hear(now, group.node().id.0, self.place, report);
        outside.into_iter().for_each(|(caller, outside)| self.seen.hear_outside(now, caller, outside));
        let topology = self.planner.topology();
        let members = group.view().members.iter().filter(|(_, seat)| !seat.draining);
        let of: BTreeMap<u64, usize> =
            members.filter_map(|(id, seat)| Some((id.0, topology.place(&seat.zone)?))).collect();
        self.seen.belong(&of);
        let since = *self.leads_since.get_or_insert(now);
        let waits =
            self.proposed.is_some_and(|(number, at)| number > self.follower.number() && now - at < 2000.0);
        if now - since < HEAR_MS || waits || group.may_act(now).is_none() {
            return Due::default();
        }
        let Some(plan) = self.planner.tick(now, &self.seen) else { return Due::default() };
        let number = group.value(KEY).map_or(0, |value| value.version) + 1;
        self.proposed = Some((number, now));
        Due { propose: Some((number, plain(&plan))), ..Due::default() }
    }

    pub fn hear(&mut self, now: f64, from: Id, bytes: &[u8]) {
        let Ok(Say { zone, report, outside }) = decode::<Say>(bytes) else { return };
        if let Some(place) = self.planner.topology().place(&zone) {
            self.seen.hear(now, from.0, place, report);
        }
        outside
            .into_iter()
            .take(OUTSIDE_MOST)
            .for_each(|(caller, outside)| self.seen.hear_outside(now, caller, outside));
    }

    /// The council's word.
    pub fn agreed(&mut self, now: f64, number: u64, bytes: &[u8]) {
        let Ok(plan) = decode::<Plan>(bytes) else { return };
        let changed = plan.change != self.planner.agreed().change;
        if !self.follower.take(now, number, plan.clone()) {
            return;
        }
        self.planner.agreed_on(now, &plan);
        if changed {
            tracing::info!(event = "zones", change = plan.change, "plan {}: {}", plan.change, plan.why);
            self.history.push_back((now, format!("{}: {}", plan.change, plan.why)));
            if self.history.len() > HISTORY {
                self.history.pop_front();
            }
        }
    }

    fn status(&self, now: f64, group: &ClusterNode) -> Status {
        let leads = group.raft().leads();
        let plan = self.follower.plan(now).cloned();
        Status {
            name: group.node().name.clone(),
            zone: self.zone.clone(),
            zones: self.planner.topology().zones.clone(),
            number: self.follower.number(),
            acts: plan.is_some(),
            plan: plan.unwrap_or_else(|| Plan { valid_ms: 0.0, ..Plan::near(self.planner.topology().len()) }),
            left_ms: (self.follower.ends_at() - now).clamp(0.0, 1e9),
            leader: group.leader().and_then(|id| group.name_of(id)),
            forecast: leads.then(|| self.planner.forecast(now, &self.seen, &[])),
            history: self.history.iter().map(|(at, what)| (now - at, what.clone())).collect(),
        }
    }

    pub fn asked(&mut self, now: f64, ask: Ask, is_local: bool, group: &ClusterNode) -> Told {
        let leads = group.raft().leads();
        let leader = || group.leader().and_then(|id| group.name_of(id)).unwrap_or_else(|| "nobody".into());
        match ask {
            Ask::Status => Told::Status(Box::new(self.status(now, group))),
            Ask::Outside { caller, outside } => {
                if self.outside.len() < 4 * OUTSIDE_MOST {
                    self.outside.insert(caller, outside);
                }
                Told::Status(Box::new(self.status(now, group)))
            }
            _ if !leads => Told::Refused(format!("{} leads, not this member; ask there", leader())),
            Ask::Forecast { zones } => {
                let places: Option<Vec<usize>> =
                    zones.iter().map(|zone| self.planner.topology().place(zone)).collect();
                match places {
                    Some(places) => Told::Forecast(Box::new(self.planner.forecast(now, &self.seen, &places))),
                    None => Told::Refused(format!("{} names no zones", zones.join(", "))),
                }
            }
            _ if !is_local => {
                Told::Refused("such a command is taken on the leader's own machine alone".into())
            }
            Ask::Shift(wish) => match self.planner.shift(now, &self.seen, &wish) {
                Ok(forecast) => Told::Done(format!(
                    "{} is shifted for {:.0} s: {}; {:.1} % of all would be cut",
                    wish.zone,
                    wish.for_ms / 1000.0,
                    forecast.plan.why,
                    forecast.cut * 100.0
                )),
                Err(why) => Told::Refused(why),
            },
            Ask::Return { zone } => match self.planner.unshift(&zone) {
                Ok(()) => Told::Done(format!("{zone} is returned to in steps")),
                Err(why) => Told::Refused(why),
            },
            Ask::Hold { for_ms } => {
                self.planner.hold(now, for_ms);
                Told::Done(format!("the plan stays as it is for {:.0} s", for_ms / 1000.0))
            }
        }
    }
}
