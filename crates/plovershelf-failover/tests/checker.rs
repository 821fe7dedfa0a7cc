//! Model checking of plan changes with delayed, duplicated, reordered and lost plans, and with followers that restart.
//!
//! Properties: no follower routes by an older plan after a newer one; a plan that was superseded remains in use only for a
//! bounded time; no follower sends traffic to a zone that its plan excludes.

use std::hash::{DefaultHasher, Hash, Hasher};

use plovershelf_failover::broken::{set, BrokenRule};
use plovershelf_failover::{PlanFollower, TrafficPlan, PRIORITY_BANDS};
use stateright::{Checker, Model, Property};

const TICK_MS: f64 = 1000.0;
const VALID_MS: f64 = 2000.0;
/// Maximum delay of a plan's delivery in ticks; later deliveries count as lost.
const MAX_DELAY_TICKS: u8 = 2;
const TICKS: u8 = 8;
const FOLLOWERS: usize = 2;

/// Model of the distribution of plans.
struct PlanModel {
    /// Number of plans to commit.
    commits: u8,
    /// Maximum number of follower restarts.
    restarts: u8,
}

/// State of the followers and of undelivered plans.
#[derive(Clone, Debug)]
struct SystemState {
    tick: u8,
    /// Tick at which each plan was committed, by version.
    committed_at: Vec<u8>,
    followers: Vec<PlanFollower>,
    /// Newest version that each follower has installed since its last restart.
    newest: Vec<u64>,
    /// Undelivered plans: version and follower.
    in_flight: Vec<(u8, usize)>,
    /// Restarts that may still occur.
    restarts: u8,
}

impl SystemState {
    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.tick, &self.committed_at, &self.newest, &self.in_flight, self.restarts).hash(&mut hasher);
        format!("{:?}", self.followers).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the revision that a follower routes by; 0 if it has no active plan.
    fn active_revision(&self, follower: usize) -> u64 {
        self.followers[follower].revision(self.now())
    }

    fn now(&self) -> f64 {
        f64::from(self.tick) * TICK_MS
    }
}

impl PartialEq for SystemState {
    fn eq(&self, other: &Self) -> bool {
        self.state_hash() == other.state_hash()
    }
}

impl Eq for SystemState {}

impl Hash for SystemState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state_hash().hash(hasher);
    }
}

/// Transition of the model.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// The leader commits the next plan.
    Commit,
    /// The undelivered plan at the given index arrives; if true, a duplicate remains undelivered.
    Deliver(usize, bool),
    /// The undelivered plan at the given index is lost.
    Lose(usize),
    /// Time advances by one tick.
    Tick,
    /// A follower restarts and loses its state.
    Restart(usize),
}

/// Returns the plan of a version. Successive plans exclude the two zones alternately.
fn plan(version: u8) -> TrafficPlan {
    let excluded = usize::from(version) % 2;
    let mut plan =
        TrafficPlan { revision: u64::from(version), valid_ms: VALID_MS, ..TrafficPlan::all_near(2) };
    plan.is_excluded[excluded] = true;
    for band in 0..PRIORITY_BANDS {
        let row = &mut plan.shares[excluded * PRIORITY_BANDS + band];
        *row = vec![0.0, 0.0, 0.2];
        row[1 - excluded] = 0.8;
    }
    plan
}

impl Model for PlanModel {
    type State = SystemState;
    type Action = Step;

    fn init_states(&self) -> Vec<SystemState> {
        vec![SystemState {
            tick: 0,
            committed_at: Vec::new(),
            followers: vec![PlanFollower::new(2); FOLLOWERS],
            newest: vec![0; FOLLOWERS],
            in_flight: Vec::new(),
            restarts: self.restarts,
        }]
    }

    fn actions(&self, state: &SystemState, steps: &mut Vec<Step>) {
        if state.committed_at.len() < usize::from(self.commits) {
            steps.push(Step::Commit);
        }
        for index in 0..state.in_flight.len() {
            steps.extend([Step::Deliver(index, false), Step::Deliver(index, true), Step::Lose(index)]);
        }
        if state.tick < TICKS {
            steps.push(Step::Tick);
        }
        if state.restarts > 0 {
            steps.extend((0..FOLLOWERS).map(Step::Restart));
        }
    }

    fn next_state(&self, state: &SystemState, step: Step) -> Option<SystemState> {
        let mut state = state.clone();
        match step {
            Step::Commit => {
                state.committed_at.push(state.tick);
                let version = state.committed_at.len() as u8;
                state.in_flight.extend((0..FOLLOWERS).map(|to| (version, to)));
            }
            Step::Deliver(index, is_duplicated) => {
                let (version, to) = state.in_flight[index];
                if !is_duplicated {
                    state.in_flight.remove(index);
                }
                let now = state.now();
                if state.followers[to].handle_plan(now, u64::from(version), plan(version)) {
                    state.newest[to] = state.newest[to].max(u64::from(version));
                }
            }
            Step::Lose(index) => drop(state.in_flight.remove(index)),
            Step::Tick => {
                state.tick += 1;
                let (tick, committed_at) = (state.tick, state.committed_at.clone());
                state
                    .in_flight
                    .retain(|(version, _)| tick <= committed_at[usize::from(*version) - 1] + MAX_DELAY_TICKS);
            }
            Step::Restart(follower) => {
                state.restarts -= 1;
                state.followers[follower] = PlanFollower::new(2);
                state.newest[follower] = 0;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("older plans are rejected", |_, state: &SystemState| {
                (0..FOLLOWERS).all(|follower| {
                    let revision = state.active_revision(follower);
                    revision == 0 || revision == state.newest[follower]
                })
            }),
            Property::always("superseded plans expire", |_, state: &SystemState| {
                (0..FOLLOWERS).all(|follower| {
                    let revision = state.active_revision(follower);
                    // Versions start at 1, so the active revision is the index of the next plan's commit.
                    let superseded_at = state.committed_at.get(revision as usize).filter(|_| revision > 0);
                    let bound = f64::from(MAX_DELAY_TICKS) * TICK_MS + VALID_MS;
                    superseded_at.is_none_or(|at| state.now() - f64::from(*at) * TICK_MS <= bound)
                })
            }),
            Property::always("no traffic is sent to excluded zones", |_, state: &SystemState| {
                state.followers.iter().all(|follower| {
                    let excluded = follower.active_plan(state.now()).map(|plan| plan.is_excluded.clone());
                    let target =
                        |from: usize, draw: f64| follower.choose_zone(state.now(), from, 0.5, draw, |_| true);
                    let draws = [0.0, 0.3, 0.7, 0.9, 0.999];
                    excluded.is_none_or(|excluded| {
                        (0..2).all(|from| {
                            draws.iter().all(|draw| target(from, *draw).is_none_or(|to| !excluded[to]))
                        })
                    })
                })
            }),
            Property::sometimes(
                "one follower uses the newest plan while the other has none",
                |_, state: &SystemState| state.active_revision(0) == 2 && state.active_revision(1) == 0,
            ),
        ]
    }
}

#[test]
fn plan_changes_with_delayed_lost_and_duplicated_plans_and_restarting_followers() {
    for (commits, restarts) in [(3, 0), (2, 1)] {
        let checker = PlanModel { commits, restarts }.checker().threads(4).spawn_bfs().join();
        checker.assert_properties();
        println!("{commits} plans, {restarts} restarts: {} states, complete", checker.unique_state_count());
    }
}

/// If plans are neither rejected by version nor expire, the first two properties must fail. The violation applies only to this
/// thread, so the steps are taken directly instead of by the multithreaded checker.
#[test]
fn without_version_check_and_expiry_both_properties_fail() {
    set(Some(BrokenRule::PlanWithoutFence));
    let model = PlanModel { commits: 2, restarts: 0 };
    let steps = [Step::Commit, Step::Commit, Step::Deliver(2, false), Step::Deliver(0, false)];
    let mut state = model.init_states().remove(0);
    for step in steps {
        state = model.next_state(&state, step).expect("step is possible");
    }
    let violated = |state: &SystemState| -> Vec<&str> {
        let properties = model.properties().into_iter().filter(|p| !(p.condition)(&model, state));
        properties.map(|p| p.name).filter(|name| !name.starts_with("one")).collect()
    };
    let after_older_plan = violated(&state);
    for _ in 0..6 {
        state = model.next_state(&state, Step::Tick).expect("tick is possible");
    }
    let after_expiry = violated(&state);
    set(None);
    assert_eq!(
        (after_older_plan, after_expiry.contains(&"superseded plans expire")),
        (vec!["older plans are rejected"], true)
    );
}
