//! Changes of the plan walked through completely: plans that are told late, twice, out of order or not at all, followers that start
//! anew, time that goes on. Nobody acts by an older plan after a newer one, nor by one that was followed longer ago than the
//! bound, nor sends anything where the plan it acts by has cut a zone off.

use std::hash::{DefaultHasher, Hash, Hasher};

use plovershelf_failover::broken::{set, BrokenRule};
use plovershelf_failover::{PlanFollower, TrafficPlan, PRIORITY_BANDS};
use stateright::{Checker, Model, Property};

const TICK_MS: f64 = 1000.0;
const VALID_MS: f64 = 2000.0;
/// News that are later than this are lost.
const LATE: u8 = 2;
const TICKS: u8 = 8;
const FOLLOWERS: usize = 2;

struct Plans {
    decisions: u8,
    restarts: u8,
}

#[derive(Clone, Debug)]
struct World {
    tick: u8,
    /// When each number was decided.
    decided: Vec<u8>,
    followers: Vec<PlanFollower>,
    /// The newest number that each process of a follower took over.
    newest: Vec<u64>,
    news: Vec<(u8, usize)>,
    restarts: u8,
}

impl World {
    fn hashed(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.tick, &self.decided, &self.newest, &self.news, self.restarts).hash(&mut hasher);
        format!("{:?}", self.followers).hash(&mut hasher);
        hasher.finish()
    }

    fn acts(&self, who: usize) -> u64 {
        self.followers[who].revision(self.now())
    }

    fn now(&self) -> f64 {
        f64::from(self.tick) * TICK_MS
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.hashed() == other.hashed()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.hashed().hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Decide,
    /// The one at that place arrives; it may come once more.
    Tell(usize, bool),
    Lose(usize),
    Tick,
    Restart(usize),
}

/// Each plan cuts another of two zones off, in turn.
fn plan(number: u8) -> TrafficPlan {
    let off = usize::from(number) % 2;
    let mut plan =
        TrafficPlan { revision: u64::from(number), valid_ms: VALID_MS, ..TrafficPlan::all_near(2) };
    plan.is_excluded[off] = true;
    for band in 0..PRIORITY_BANDS {
        let row = &mut plan.shares[off * PRIORITY_BANDS + band];
        *row = vec![0.0, 0.0, 0.2];
        row[1 - off] = 0.8;
    }
    plan
}

impl Model for Plans {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            tick: 0,
            decided: Vec::new(),
            followers: vec![PlanFollower::new(2); FOLLOWERS],
            newest: vec![0; FOLLOWERS],
            news: Vec::new(),
            restarts: self.restarts,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.decided.len() < usize::from(self.decisions) {
            steps.push(Step::Decide);
        }
        for place in 0..world.news.len() {
            steps.extend([Step::Tell(place, false), Step::Tell(place, true), Step::Lose(place)]);
        }
        if world.tick < TICKS {
            steps.push(Step::Tick);
        }
        if world.restarts > 0 {
            steps.extend((0..FOLLOWERS).map(Step::Restart));
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        match step {
            Step::Decide => {
                world.decided.push(world.tick);
                let number = world.decided.len() as u8;
                world.news.extend((0..FOLLOWERS).map(|to| (number, to)));
            }
            Step::Tell(place, stays) => {
                let (number, to) = world.news[place];
                if !stays {
                    world.news.remove(place);
                }
                let now = world.now();
                if world.followers[to].handle_plan(now, u64::from(number), plan(number)) {
                    world.newest[to] = world.newest[to].max(u64::from(number));
                }
            }
            Step::Lose(place) => drop(world.news.remove(place)),
            Step::Tick => {
                world.tick += 1;
                let (tick, decided) = (world.tick, world.decided.clone());
                world.news.retain(|(number, _)| tick <= decided[usize::from(*number) - 1] + LATE);
            }
            Step::Restart(who) => {
                world.restarts -= 1;
                world.followers[who] = PlanFollower::new(2);
                world.newest[who] = 0;
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("older is refused", |_, world: &World| {
                (0..FOLLOWERS).all(|who| world.acts(who) == 0 || world.acts(who) == world.newest[who])
            }),
            Property::always("two plans are bounded", |_, world: &World| {
                (0..FOLLOWERS).all(|who| {
                    let followed =
                        world.decided.get(world.acts(who) as usize).filter(|_| world.acts(who) > 0);
                    let bound = f64::from(LATE) * TICK_MS + VALID_MS;
                    followed.is_none_or(|at| world.now() - f64::from(*at) * TICK_MS <= bound)
                })
            }),
            Property::always("nothing is sent where it is cut off", |_, world: &World| {
                world.followers.iter().all(|follower| {
                    let off = follower.active_plan(world.now()).map(|plan| plan.is_excluded.clone());
                    let sent =
                        |from: usize, draw: f64| follower.choose_zone(world.now(), from, 0.5, draw, |_| true);
                    let draws = [0.0, 0.3, 0.7, 0.9, 0.999];
                    off.is_none_or(|off| {
                        (0..2).all(|from| draws.iter().all(|d| sent(from, *d).is_none_or(|to| !off[to])))
                    })
                })
            }),
            Property::sometimes("one acts by the newest while another acts by none", |_, world: &World| {
                world.acts(0) == 2 && world.acts(1) == 0
            }),
        ]
    }
}

#[test]
fn changes_of_the_plan_with_news_late_lost_twice_and_followers_that_start_anew() {
    for (decisions, restarts) in [(3, 0), (2, 1)] {
        let checker = Plans { decisions, restarts }.checker().threads(4).spawn_bfs().join();
        checker.assert_properties();
        println!("{decisions} plans, {restarts} restarts: {} states, complete", checker.unique_state_count());
    }
}

/// Without numbers as a fence and without an end each of the first two is broken; on this thread alone, so by one step each.
#[test]
fn without_its_fence_both_are_broken() {
    set(Some(BrokenRule::PlanWithoutFence));
    let model = Plans { decisions: 2, restarts: 0 };
    let steps = [Step::Decide, Step::Decide, Step::Tell(2, false), Step::Tell(0, false)];
    let mut world = model.init_states().remove(0);
    for step in steps {
        world = model.next_state(&world, step).expect("it can happen");
    }
    let broken = |world: &World| -> Vec<&str> {
        let wrong = model.properties().into_iter().filter(|p| !(p.condition)(&model, world));
        wrong.map(|p| p.name).filter(|name| !name.starts_with("one")).collect()
    };
    let older = broken(&world);
    for _ in 0..6 {
        world = model.next_state(&world, Step::Tick).expect("time goes on");
    }
    let late = broken(&world);
    set(None);
    assert_eq!((older, late.contains(&"two plans are bounded")), (vec!["older is refused"], true));
}
