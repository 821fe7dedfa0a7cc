//! Zones on simulated time: demand, capacity, callers and faults of each, led by the very planner and followers that serve, beside
//! callers that each judge alone, fixed weights, and the best that could be with all known.
//!
//! Work flows in steps of [`STEP_MS`]: what an origin's callers ask goes to zones by the way they are led, each zone carries
//! the highest ranks first up to what it can and refuses the rest, of which a part comes again.

use std::collections::VecDeque;

use plovershelf_failover::{
    locality_weighted_plan, AttemptCounts, CallerReport, LoadReport, LoadReports, PlanFollower, Planner,
    PlannerConfig, ReportLimits, Topology, TrafficPlan, Zone, ZoneState, PRIORITY_BANDS,
};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Normal};
use rand_pcg::Pcg32;

pub const STEP_MS: f64 = 50.0;
/// Worth of a core-second by bands of rank, the lowest first, and its part of the demand.
const RANKS: [(f64, f64); PRIORITY_BANDS] = [(1.0, 0.5), (3.0, 0.3), (10.0, 0.2)];
/// A refused try costs its zone so much of its work, and comes again so often.
const READING: f64 = 0.15;
const AGAIN: f64 = 0.5;
/// A zone that is back carries this part at first, and all after so long.
const COLD: f64 = 0.4;
const WARM_MS: f64 = 8000.0;
/// What was sent where nobody answers is lost to its caller for so long, then it may come again.
const LOST_MS: f64 = 500.0;
/// Callers of one origin that hear of plans by themselves.
const CROWDS: usize = 3;
/// Two plans may stand beside each other for so long: the span of the older, news under way, a step.
pub const BOUND_MS: f64 = 4000.0 + 2000.0;

/// Something that happens to zones for a while.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// It is gone, and comes back cold.
    Lost(usize),
    /// Of what it answers so much is late.
    Grey(usize, f64),
    /// Gone for 4 s, back for 4 s, in turn.
    Flaps(usize),
    /// All zones of a region.
    Region(usize),
    /// Nothing passes between the two.
    Cable(usize, usize),
    /// It is asked so many times more.
    Peak(usize, f64),
    /// One of its members tells ten times what it can.
    Lies(usize),
    /// The ledger that all share is slow: all carry so much.
    Ledger(f64),
    /// Its members are restarted in turn: so much is away at a time.
    Release(usize, f64),
    /// News reach its callers 6 s late.
    LateNews(usize),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at_ms: f64,
    pub for_ms: f64,
    pub trouble: Trouble,
}

/// What is played: zones in regions, what they are asked, what happens.
#[derive(Clone, Debug, PartialEq)]
pub struct Shape {
    pub name: &'static str,
    pub regions: usize,
    pub zones: usize,
    pub members: usize,
    /// Demand as a part of what each zone can, and how far a day's curve takes it up and down.
    pub load: f64,
    pub curve: f64,
    pub span_ms: f64,
    pub steps: Vec<Step>,
}

pub const SHAPES: [&str; 13] = [
    "calm",
    "day",
    "lost",
    "grey",
    "flapping",
    "region",
    "cable",
    "two",
    "weak",
    "liar",
    "ledger",
    "release",
    "late-news",
];

impl Shape {
    /// A shape by its name, for two regions of three zones.
    pub fn of(name: &'static str, members: usize, seed: u64) -> Self {
        let mut chance = Pcg32::seed_from_u64(seed ^ 0x5a_9e5);
        let zone = chance.random_range(0..6);
        let beside = zone / 3 * 3 + (zone + 1) % 3;
        let (at_ms, for_ms) = (15_000.0 + 3000.0 * chance.random::<f64>(), 20_000.0);
        let step = |trouble: Trouble| Step { at_ms, for_ms, trouble };
        let (mut load, mut curve, mut span_ms) = (0.55, 0.0, 70_000.0);
        let steps = match name {
            "day" => {
                (load, curve, span_ms) = (0.6, 0.35, 120_000.0);
                vec![step(Trouble::Lost(zone))]
            }
            "lost" => vec![step(Trouble::Lost(zone))],
            "grey" => vec![step(Trouble::Grey(zone, 0.5))],
            "flapping" => vec![Step { for_ms: 40_000.0, ..step(Trouble::Flaps(zone)) }],
            "region" => vec![step(Trouble::Region(zone / 3))],
            "cable" => vec![step(Trouble::Lost(zone)), step(Trouble::Cable(zone, beside))],
            "two" => vec![
                step(Trouble::Lost(zone)),
                Step { at_ms: at_ms + 2000.0, for_ms, trouble: Trouble::Lost(beside) },
            ],
            "weak" => vec![step(Trouble::Lost(zone)), step(Trouble::Peak(beside, 0.95 / load))],
            "liar" => vec![step(Trouble::Lies(beside)), step(Trouble::Lost(zone))],
            "ledger" => vec![step(Trouble::Ledger(0.5))],
            "release" => vec![step(Trouble::Release(zone, 0.5))],
            "late-news" => vec![step(Trouble::LateNews(zone)), step(Trouble::Lost(zone))],
            _ => Vec::new(),
        };
        Shape { name, regions: 2, zones: 6, members, load, curve, span_ms, steps }
    }
}

/// How callers are led.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Led {
    Plan,
    /// Each by what it sees itself: near while that answers, else the nearest that seems well.
    Alone,
    /// Near always, evenly elsewhere when near is gone.
    Fixed,
    /// All known at once.
    Best,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Came {
    pub worth: f64,
    pub worth_asked: f64,
    /// Of the work of callers whose zone was well, and in steps without any trouble: near, all.
    pub near_calm: [f64; 2],
    pub near_healthy: [f64; 2],
    pub shift_ms_worst: f64,
    pub return_ms_worst: f64,
    /// Zones that received others' work and were asked for more than they can, in seconds.
    pub overrun_s: f64,
    pub needless: u64,
    /// Turns of a zone's near share in the worst minute.
    pub turns_a_minute: u64,
    pub two_plans_past_bound: u64,
    pub changes: u64,
    pub plan_bytes: u64,
}

fn banded(cores: f64) -> [f64; PRIORITY_BANDS] {
    RANKS.map(|(_, part)| part * cores)
}

struct Truth {
    can: Vec<f64>,
    /// What it says that it could; what of its answers is in time.
    says: Vec<f64>,
    in_time: Vec<f64>,
    there: Vec<bool>,
    well: Vec<bool>,
    cut: Vec<(usize, usize)>,
    asked: Vec<f64>,
    ledger_slow: bool,
    liar: Option<usize>,
    late_news: Vec<bool>,
    calm: bool,
}

pub struct World {
    shape: Shape,
    led: Led,
    topology: Topology,
    chance: Pcg32,
    now: f64,
    reports: LoadReports,
    planner: Planner,
    number: u64,
    /// Plans under way to each crowd, with when they arrive; each crowd's follower.
    news: Vec<VecDeque<(f64, u64, TrafficPlan)>>,
    followers: Vec<PlanFollower>,
    since_back: Vec<f64>,
    was_there: Vec<bool>,
    /// Work that comes again: when, from where.
    again: VecDeque<(f64, usize, [f64; PRIORITY_BANDS])>,
    /// Of each origin by target: asked of late, refused or unanswered of late.
    felt: Vec<Vec<[f64; 2]>>,
    /// What each origin asks, with what comes again, in cores over a quarter of a second.
    asked: Vec<[f64; PRIORITY_BANDS]>,
    /// The same, asked and answered at all.
    heard: Vec<Vec<[f64; 2]>>,
    report_at: f64,
    leader_away_until: f64,
    came: Came,
    near_was: Vec<f64>,
    rises: Vec<Option<bool>>,
    turns: Vec<(f64, usize)>,
    shift_since: Vec<Option<f64>>,
    return_since: Vec<Option<f64>>,
    /// When each change was told.
    issued: Vec<f64>,
    last_trouble: f64,
}

impl World {
    pub fn run(shape: Shape, led: Led, seed: u64) -> Came {
        let zone = |n: usize| Zone {
            name: format!("z{}", n + 1),
            region: format!("r{}", n * shape.regions / shape.zones + 1),
        };
        let topology = Topology::new((0..shape.zones).map(zone).collect());
        let count = shape.zones;
        let mut world = World {
            led,
            chance: Pcg32::seed_from_u64(seed),
            now: 0.0,
            reports: LoadReports::new(count, ReportLimits::default()),
            planner: Planner::new(topology.clone(), PlannerConfig::default()),
            number: 0,
            news: vec![VecDeque::new(); count * CROWDS],
            followers: vec![PlanFollower::new(count); count * CROWDS],
            since_back: vec![f64::NEG_INFINITY; count],
            was_there: vec![true; count],
            again: VecDeque::new(),
            felt: vec![vec![[0.0; 2]; count]; count],
            asked: vec![banded(shape.load * shape.members as f64 / count as f64); count],
            heard: vec![vec![[0.0; 2]; count]; count],
            report_at: 0.0,
            leader_away_until: 0.0,
            came: Came::default(),
            near_was: vec![1.0; count],
            rises: vec![None; count],
            turns: Vec::new(),
            shift_since: vec![None; count],
            return_since: vec![None; count],
            issued: vec![0.0],
            last_trouble: f64::NEG_INFINITY,
            topology,
            shape,
        };
        while world.now < world.shape.span_ms {
            world.step();
        }
        world.came
    }

    fn count(&self) -> usize {
        self.shape.zones
    }

    /// Cores of one zone.
    fn cores(&self) -> f64 {
        self.shape.members as f64 / self.shape.zones as f64
    }

    /// What is so now, whatever anybody sees.
    fn truth(&mut self) -> Truth {
        let (count, cores, now) = (self.count(), self.cores(), self.now);
        let phase =
            |zone: usize| (now / self.shape.span_ms + zone as f64 / count as f64) * std::f64::consts::TAU;
        let asked = |zone: usize| cores * self.shape.load * (1.0 + self.shape.curve * phase(zone).sin());
        let mut truth = Truth {
            can: vec![cores; count],
            says: vec![0.0; count],
            in_time: vec![1.0; count],
            there: vec![true; count],
            well: vec![true; count],
            cut: Vec::new(),
            asked: (0..count).map(asked).collect(),
            ledger_slow: false,
            liar: None,
            late_news: vec![false; count],
            calm: true,
        };
        for step in self.shape.steps.iter().filter(|s| (s.at_ms..s.at_ms + s.for_ms).contains(&now)) {
            truth.calm = false;
            match step.trouble {
                Trouble::Lost(zone) => truth.there[zone] = false,
                Trouble::Flaps(zone) => truth.there[zone] = ((now - step.at_ms) / 4000.0) as u64 % 2 == 1,
                Trouble::Region(region) => {
                    let per = count / self.shape.regions;
                    (region * per..(region + 1) * per).for_each(|zone| truth.there[zone] = false);
                }
                Trouble::Grey(zone, late) => (truth.in_time[zone], truth.well[zone]) = (1.0 - late, false),
                Trouble::Cable(one, other) => truth.cut.extend([(one, other), (other, one)]),
                Trouble::Peak(zone, times) => truth.asked[zone] *= times,
                Trouble::Lies(zone) => truth.liar = Some(zone),
                Trouble::Ledger(part) => {
                    truth.ledger_slow = true;
                    truth.can.iter_mut().for_each(|can| *can *= part);
                }
                Trouble::Release(zone, away) => {
                    (truth.can[zone], truth.well[zone]) = (truth.can[zone] * (1.0 - away), false)
                }
                Trouble::LateNews(zone) => truth.late_news[zone] = true,
            }
        }
        for zone in 0..count {
            if truth.there[zone] && !self.was_there[zone] {
                self.since_back[zone] = now;
            }
            self.was_there[zone] = truth.there[zone];
            let warm = (COLD + (1.0 - COLD) * (now - self.since_back[zone]) / WARM_MS).clamp(COLD, 1.0);
            truth.well[zone] &= truth.there[zone] && warm >= 1.0;
            truth.can[zone] *= if truth.there[zone] { warm } else { 0.0 };
            truth.says[zone] = truth.can[zone];
            // What comes late is worth nothing: that much of it is carried for nothing.
            truth.can[zone] *= truth.in_time[zone];
        }
        if truth.calm && truth.well.iter().all(|well| *well) {
            truth.calm = now - self.last_trouble > 15_000.0;
        } else {
            (truth.calm, self.last_trouble) = (false, now);
        }
        truth
    }

    /// Where each origin's work goes now, as shares of it; the last place for what is not sent.
    fn shares(&mut self, truth: &Truth) -> Vec<Vec<f64>> {
        let count = self.count();
        match self.led {
            Led::Plan => (0..count)
                .flat_map(|from| (0..PRIORITY_BANDS).map(move |band| (from, band)))
                .map(|(from, band)| {
                    let mut row = vec![0.0; count + 1];
                    for crowd in 0..CROWDS {
                        let plan = self.followers[from * CROWDS + crowd].active_plan(self.now);
                        let near = TrafficPlan::all_near(count);
                        let of = plan.unwrap_or(&near);
                        (0..=count).for_each(|to| row[to] += of.share(from, band, to) / CROWDS as f64);
                    }
                    row
                })
                .collect(),
            Led::Best => {
                let state = |zone: usize| ZoneState {
                    capacity: truth.can[zone],
                    demand: banded(truth.asked[zone]),
                    largest_member: 0.0,
                };
                let zones: Vec<ZoneState> = (0..count).map(state).collect();
                let config =
                    PlannerConfig { fill_fraction: 1.0, near_fill_fraction: 1.0, ..PlannerConfig::default() };
                let mut topology = self.topology.clone();
                truth.cut.iter().for_each(|(one, other)| topology.set_latency(*one, *other, 1e9));
                locality_weighted_plan(&topology, &config, &zones, &[]).shares
            }
            Led::Alone | Led::Fixed => {
                (0..count).flat_map(|from| std::iter::repeat_n(self.alone(from), PRIORITY_BANDS)).collect()
            }
        }
    }

    /// By what an origin's callers feel themselves.
    fn alone(&self, from: usize) -> Vec<f64> {
        let count = self.count();
        let bad = |to: usize| {
            let [asked, failed] = self.felt[from][to];
            if asked > 1e-6 {
                failed / asked
            } else {
                0.0
            }
        };
        let mut row = vec![0.0; count + 1];
        let mut others: Vec<usize> = (0..count).filter(|to| *to != from).collect();
        others.sort_by(|a, b| {
            self.topology.latency_ms(from, *a).total_cmp(&self.topology.latency_ms(from, *b))
        });
        if self.led == Led::Fixed {
            if bad(from) > 0.9 {
                others.iter().for_each(|to| row[*to] = 0.99 / others.len() as f64);
                row[from] = 0.01;
            } else {
                row[from] = 1.0;
            }
            return row;
        }
        // All flee once a third fails; a little stays as a probe.
        if bad(from) < 0.33 {
            row[from] = 1.0;
            return row;
        }
        let to = others.iter().copied().find(|to| bad(*to) < 0.33).unwrap_or(from);
        row[to] += 0.95;
        row[from] += 0.05;
        row
    }

    fn step(&mut self) {
        let truth = self.truth();
        let (count, now) = (self.count(), self.now);
        if self.led == Led::Plan {
            self.lead(&truth);
        }
        let shares = self.shares(&truth);
        let noise = Normal::new(1.0, 0.05).unwrap_or_else(|_| unreachable!("a spread above 0"));
        // What is asked, by origin and rank: first tries and what comes again.
        let seconds = STEP_MS / 1000.0;
        let mut work: Vec<[f64; PRIORITY_BANDS]> = (0..count)
            .map(|from| {
                let cores = (truth.asked[from] * noise.sample(&mut self.chance)).max(0.0) * seconds;
                RANKS.map(|(_, part)| cores * part)
            })
            .collect();
        for of in &work {
            self.came.worth_asked += of.iter().zip(RANKS).map(|(work, (worth, _))| work * worth).sum::<f64>();
        }
        while self.again.front().is_some_and(|(at, ..)| *at <= now) {
            if let Some((_, from, back)) = self.again.pop_front() {
                work[from].iter_mut().zip(back).for_each(|(work, back)| *work += back);
            }
        }
        for (asked, work) in self.asked.iter_mut().zip(&work) {
            asked.iter_mut().zip(work).for_each(|(asked, work)| *asked += (work / seconds - *asked) * 0.2);
        }
        let mut comes = vec![[0.0; PRIORITY_BANDS]; count];
        let mut foreign = vec![0.0; count];
        let reaches = |from: usize, to: usize| truth.there[to] && !truth.cut.contains(&(from, to));
        let mut sent = vec![vec![0.0; count]; count];
        for from in 0..count {
            let all: f64 = work[from].iter().sum();
            let mut lost = [0.0; PRIORITY_BANDS];
            for band in 0..PRIORITY_BANDS {
                for to in 0..count {
                    let part = work[from][band] * shares[from * PRIORITY_BANDS + band][to];
                    sent[from][to] += part;
                    if reaches(from, to) {
                        comes[to][band] += part;
                        foreign[to] += if from == to { 0.0 } else { part };
                    } else {
                        lost[band] += part * AGAIN;
                    }
                }
            }
            if lost.iter().any(|lost| *lost > 0.0) {
                self.again.push_back((now + LOST_MS, from, lost));
            }
            let near = sent[from][from];
            if truth.calm {
                self.came.near_calm[0] += near;
                self.came.near_calm[1] += all;
            }
            if truth.well[from] && !truth.ledger_slow {
                self.came.near_healthy[0] += near;
                self.came.near_healthy[1] += all;
            }
        }
        // Each zone carries the highest ranks first; reading what it refuses costs it.
        let mut refused = vec![0.0; count];
        for zone in 0..count {
            let asked: f64 = comes[zone].iter().sum();
            let can = truth.can[zone] * seconds;
            let reading = (asked - can).max(0.0) * READING;
            let mut left = (can - reading).max(0.0);
            for (rank, (worth, _)) in RANKS.iter().enumerate().rev() {
                let carried = comes[zone][rank].min(left);
                left -= carried;
                self.came.worth += carried * worth;
            }
            refused[zone] = if asked > 0.0 { (1.0 - (can - reading).max(0.0) / asked).max(0.0) } else { 0.0 };
            if foreign[zone] > 0.02 * can && asked > 1.02 * can && truth.there[zone] {
                self.came.overrun_s += seconds;
            }
        }
        for from in 0..count {
            let mut back = [0.0; PRIORITY_BANDS];
            for to in 0..count {
                let failed = if reaches(from, to) { refused[to] } else { 1.0 };
                let sent = sent[from][to];
                // What was felt fades within a second; whether anybody answered at all is felt apart from what was refused.
                let fade = 1.0 - STEP_MS / 1000.0;
                let felt = &mut self.felt[from][to];
                *felt = [felt[0] * fade + sent, felt[1] * fade + sent * failed];
                let heard = &mut self.heard[from][to];
                *heard =
                    [heard[0] * fade + sent, heard[1] * fade + if reaches(from, to) { sent } else { 0.0 }];
                if reaches(from, to) {
                    // Low ranks are what is refused; a part of them comes again.
                    back[0] += (sent * failed * AGAIN).min(work[from][0]);
                }
            }
            if back[0] > 0.0 {
                self.again.push_back((now + 300.0, from, back));
            }
        }
        self.again.make_contiguous().sort_by(|a, b| a.0.total_cmp(&b.0));
        if self.led == Led::Plan {
            self.judge(&truth, &shares);
        }
        self.now += STEP_MS;
    }

    /// Members report, the leader plans, news go out.
    fn lead(&mut self, truth: &Truth) {
        let (count, now) = (self.count(), self.now);
        // The leader stands in the first zone that is there; a new one takes over after elections.
        if truth.there.iter().any(|there| !there) && self.came_down(truth) {
            self.leader_away_until = now + 1500.0;
        }
        if self.report_at <= now {
            self.report_at = now + 300.0;
            let per = (self.shape.members / count).max(1);
            for zone in 0..count {
                let acted = self.followers[zone * CROWDS].active_plan(now).cloned();
                let change = acted.as_ref().map_or(0, |plan| plan.revision);
                let asked = self.asked[zone];
                let near: [f64; PRIORITY_BANDS] = std::array::from_fn(|band| {
                    acted.as_ref().map_or(1.0, |plan| plan.share(zone, band, zone)) * asked[band]
                });
                let demand_elsewhere = std::array::from_fn(|band| asked[band] - near[band]);
                // Tries are counted; here a core-second is ten of them.
                let counts = |[attempts, answered]: &[f64; 2]| AttemptCounts {
                    attempts: attempts * 10.0,
                    answered: answered * 10.0,
                };
                let attempts = self.heard[zone].iter().map(counts).collect();
                let report = CallerReport { origin: zone, demand_elsewhere, attempts };
                self.reports.handle_caller_report(now, zone as u64, report);
                if !truth.there[zone] {
                    continue;
                }
                for member in 0..per {
                    let wobble = 0.9 + 0.2 * self.chance.random::<f64>();
                    let lies = if truth.liar == Some(zone) && member == 0 { 10.0 } else { 1.0 };
                    let report = LoadReport {
                        plan_revision: change,
                        demand: near.map(|near| near / per as f64 * wobble),
                        capacity: truth.says[zone] / per as f64 * lies,
                        in_time_fraction: truth.in_time[zone],
                        is_dependency_slow: truth.ledger_slow,
                    };
                    self.reports.handle_report(now, (zone * 10_000 + member) as u64, zone, report);
                }
            }
        }
        if now >= self.leader_away_until {
            if let Some(plan) = self.planner.poll_plan(now, &self.reports) {
                self.number += 1;
                if plan.revision != self.planner.committed().revision {
                    self.came.changes += 1;
                    self.issued.resize(plan.revision as usize + 1, now);
                    self.came.needless += u64::from(truth.calm);
                }
                self.came.plan_bytes = serde_json::to_string(&plan).map_or(0, |text| text.len() as u64);
                self.planner.handle_committed(now, &plan);
                for crowd in 0..count * CROWDS {
                    let late = if truth.late_news[crowd / CROWDS] { 6000.0 } else { 0.0 };
                    let way = 20.0 + 400.0 * self.chance.random::<f64>() + late;
                    self.news[crowd].push_back((now + way, self.number, plan.clone()));
                }
            }
        }
        for crowd in 0..count * CROWDS {
            self.news[crowd].make_contiguous().sort_by(|a, b| a.0.total_cmp(&b.0));
            while self.news[crowd].front().is_some_and(|(at, ..)| *at <= now) {
                if let Some((_, number, plan)) = self.news[crowd].pop_front() {
                    self.followers[crowd].handle_plan(now, number, plan);
                }
            }
        }
    }

    /// The zone that the leader was in has just gone: a new one starts from what was agreed.
    fn came_down(&mut self, truth: &Truth) -> bool {
        let first = self.shape.steps.iter().any(|step| (self.now - step.at_ms).abs() < STEP_MS / 2.0);
        let led_from = !truth.there[0];
        if first && led_from {
            let committed = self.planner.committed().clone();
            self.planner = Planner::new(self.topology.clone(), PlannerConfig::default());
            self.planner.handle_committed(self.now, &committed);
        }
        first && led_from
    }

    fn judge(&mut self, truth: &Truth, shares: &[Vec<f64>]) {
        let now = self.now;
        for zone in 0..self.count() {
            let near: f64 = (0..PRIORITY_BANDS)
                .map(|band| RANKS[band].1 * shares[zone * PRIORITY_BANDS + band][zone])
                .sum();
            if (near - self.near_was[zone]).abs() > 0.05 {
                let rises = near > self.near_was[zone];
                if self.rises[zone] != Some(rises) {
                    self.turns.push((now, zone));
                }
                (self.rises[zone], self.near_was[zone]) = (Some(rises), near);
            }
            // A zone that is gone is to be left; one that is well again is to be returned to.
            let to_shift = !truth.there[zone] && near > 0.05;
            let since = self.shift_since[zone];
            self.shift_since[zone] = to_shift.then(|| since.unwrap_or(now));
            if let (Some(since), false) = (since, to_shift) {
                if !truth.there[zone] {
                    self.came.shift_ms_worst = self.came.shift_ms_worst.max(now - since);
                }
            }
            let to_return = truth.well[zone] && near < 0.98 && truth.asked[zone] < 0.9 * truth.can[zone];
            let since = self.return_since[zone];
            self.return_since[zone] = to_return.then(|| since.unwrap_or(now));
            if let (Some(since), false) = (since, to_return) {
                self.came.return_ms_worst = self.came.return_ms_worst.max(now - since);
            }
        }
        let minute = |zone: usize, from: f64| {
            self.turns.iter().filter(|(at, z)| *z == zone && (from..from + 60_000.0).contains(at)).count()
                as u64
        };
        let worst = self.turns.iter().map(|(at, zone)| minute(*zone, *at)).max().unwrap_or(0);
        self.came.turns_a_minute = self.came.turns_a_minute.max(worst);
        // Who acts by a plan that was followed by another longer ago than the bound.
        let late = |step: &Step| {
            matches!(step.trouble, Trouble::LateNews(_)) && now < step.at_ms + step.for_ms + 7000.0
        };
        let late = if self.shape.steps.iter().any(late) { 6000.0 } else { 0.0 };
        let followed_at =
            |change: u64| self.issued.get(change as usize + 1).copied().unwrap_or(f64::INFINITY);
        let acts = self.followers.iter().map(|follower| follower.revision(now)).filter(|change| *change > 0);
        let past = acts.filter(|change| now - followed_at(*change) > BOUND_MS + late).count();
        self.came.two_plans_past_bound += past as u64;
    }
}
