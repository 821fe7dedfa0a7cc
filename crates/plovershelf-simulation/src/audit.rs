//! Histories and the audit that checks them against the promises of the system. A history is the list of events observed from
//! outside, with their times, written as one JSON object per line. Simulated runs and runs of real processes write the same
//! format.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};

/// Observation in a history. A `memory` is a node id: it identifies the persistent state of a node, so a node that restarts
/// without its data directory gets another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum Observation {
    /// A fault began or ended.
    Fault { text: String },
    /// The node's data directory was wiped or restored from an older copy: the node must not appear in later events.
    Lost { memory: u64 },
    /// The node claims to lead a term of an epoch.
    Leads { memory: u64, era: u64, term: u64 },
    /// The node reports this view as committed. The view was committed no later than the event's time.
    View { memory: u64, era: u64, number: u64, members: Vec<u64> },
    /// The node acts by a view. It did so no earlier than the event's time.
    Acts { memory: u64, era: u64, view: u64 },
    /// An agent launched the request with this idempotency key in a backend's process.
    Launched { ticket: u64, process: String },
    /// A caller received the outcome of an idempotency key: the hash of the result, or `None` for a failure.
    Answered { ticket: u64, result: Option<u64> },
    /// The node holds an entry with this hash as committed at an index of the log.
    Decided { memory: u64, era: u64, index: u64, hash: u64 },
}

/// Observation with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the observation in milliseconds.
    pub at: f64,
    /// The observation.
    #[serde(flatten)]
    pub seen: Observation,
}

/// Violation of a promise, with the event that shows it and the events that led to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    /// Name of the promise.
    pub promise: &'static str,
    /// Time of the event that shows the violation, in milliseconds.
    pub at: f64,
    /// Index of that event in the history.
    pub event: usize,
    /// Indexes of the earlier events that contradict it and of the last three fault events.
    pub led_by: Vec<usize>,
    /// Description of the violation.
    pub told: String,
}

/// Promise: two views with the same number in one epoch have the same members.
pub const ONE_VIEW_PER_NUMBER: &str = "one-view-a-number";
/// Promise: view numbers have no gaps.
pub const NO_GAP: &str = "views-without-gap";
/// Promise: a term of an epoch has one leader at most.
pub const ONE_LEADER_PER_TERM: &str = "one-leader-a-term";
/// Promise: a committed log entry never changes.
pub const NOTHING_FORGOTTEN: &str = "nothing-agreed-forgotten";
/// Promise: no node acts by a view after a later view without that node was committed.
pub const NO_ACTION_PAST_LEASE: &str = "nobody-acts-past-its-lease";
/// Promise: a node whose data directory was lost never appears again under the same id.
pub const LOST_STORAGE_IS_NEW_NODE: &str = "blank-is-someone-new";
/// Promise: an idempotency key is launched once at most.
pub const NO_EFFECT_TWICE: &str = "no-effect-twice";
/// Promise: after a caller received a result, every later answer for the key is that result.
pub const ONE_VERDICT: &str = "one-verdict";

/// Maximum number of violations recorded per promise.
const MAX_VIOLATIONS_PER_PROMISE: usize = 8;

/// Checks events, which are passed in the order of their times, and records violations.
#[derive(Default)]
pub struct Audit {
    /// Number of events recorded so far; the index of the next event.
    events: usize,
    /// Members, first event and first time of each view, by (epoch, number).
    views: BTreeMap<(u64, u64), (Vec<u64>, usize, f64)>,
    /// Leader and first event of each term, by (epoch, term).
    leaders: BTreeMap<(u64, u64), (u64, usize)>,
    /// Hash and first event of each committed entry, by (epoch, index).
    decided: BTreeMap<(u64, u64), (u64, usize)>,
    /// Views of all epochs by number, each with its first event and first time.
    numbers: BTreeMap<u64, (Vec<u64>, usize, f64)>,
    /// Nodes whose data directory was lost, with the event.
    lost: BTreeMap<u64, usize>,
    /// Process and event of the first launch, by idempotency key.
    launched: BTreeMap<u64, (String, usize)>,
    /// Hash and event of the first result, by idempotency key.
    succeeded: BTreeMap<u64, (u64, usize)>,
    /// Events that began or ended a fault.
    faults: Vec<usize>,
    /// Violations in the order in which they were found, limited per promise.
    pub broken: Vec<Broken>,
}

impl Audit {
    /// Checks the next event and records the violations that it shows.
    pub fn record(&mut self, event: &Event) {
        let position = self.events;
        self.events += 1;
        match &event.seen {
            Observation::Fault { .. } => self.faults.push(position),
            Observation::Lost { memory } => {
                self.lost.insert(*memory, position);
            }
            Observation::Launched { ticket, process } => {
                let (first, at) = self.launched.entry(*ticket).or_insert((process.clone(), position)).clone();
                if at != position {
                    let description =
                        format!("idempotency key {ticket} was launched in {first} and in {process}");
                    self.record_violation(NO_EFFECT_TWICE, event.at, position, vec![at], description);
                }
            }
            // A failure may be answered before the outcome is known, so a result may follow it. After a result only the same
            // result may follow.
            Observation::Answered { ticket, result } => {
                let before = self.succeeded.get(ticket).copied();
                match (before, result) {
                    (None, Some(result)) => drop(self.succeeded.insert(*ticket, (*result, position))),
                    (Some((first, at)), result) if *result != Some(first) => {
                        let description = format!(
                            "idempotency key {ticket} was answered differently after its result was received"
                        );
                        self.record_violation(ONE_VERDICT, event.at, position, vec![at], description);
                    }
                    _ => {}
                }
            }
            Observation::Leads { memory, era, term } => {
                self.check_not_lost(*memory, event.at, position);
                let (first, at) = *self.leaders.entry((*era, *term)).or_insert((*memory, position));
                if first != *memory {
                    let description = format!("{first:x} and {memory:x} both lead term {term}");
                    self.record_violation(ONE_LEADER_PER_TERM, event.at, position, vec![at], description);
                }
            }
            Observation::View { memory, era, number, members } => {
                self.check_not_lost(*memory, event.at, position);
                self.check_view(*era, *number, members, event.at, position);
            }
            Observation::Acts { memory, era, view } => {
                self.check_not_lost(*memory, event.at, position);
                self.check_lease(*memory, *era, *view, event.at, position);
            }
            Observation::Decided { memory, era, index, hash } => {
                self.check_not_lost(*memory, event.at, position);
                let (first, at) = *self.decided.entry((*era, *index)).or_insert((*hash, position));
                if first != *hash {
                    let description = format!("log index {index} holds a different entry at {memory:x}");
                    self.record_violation(NOTHING_FORGOTTEN, event.at, position, vec![at], description);
                }
            }
        }
    }

    fn check_view(&mut self, era: u64, number: u64, members: &[u64], at: f64, position: usize) {
        if let Some((before, first, _)) = self.views.get(&(era, number)) {
            if before != members {
                let (first, description) = (*first, format!("view {number} has two memberships"));
                self.record_violation(ONE_VIEW_PER_NUMBER, at, position, vec![first], description);
            }
            return;
        }
        self.views.insert((era, number), (members.to_vec(), position, at));
        self.numbers.entry(number).or_insert((members.to_vec(), position, at));
    }

    /// Records a violation if a later view without the node was committed before it acted by this view.
    fn check_lease(&mut self, memory: u64, era: u64, view: u64, at: f64, position: usize) {
        let after = (Bound::Excluded((era, view)), Bound::Unbounded);
        let later = self
            .views
            .range(after)
            .find(|(_, (members, _, since))| *since < at && !members.contains(&memory));
        if let Some(((_, number), (_, first, since))) = later {
            let description = format!(
                "{memory:x} acts by view {view} although view {number}, which excludes it, was committed at {since:.0}"
            );
            let first = *first;
            self.record_violation(NO_ACTION_PAST_LEASE, at, position, vec![first], description);
        }
    }

    /// Records a violation if the node's data directory was lost before this event.
    fn check_not_lost(&mut self, memory: u64, at: f64, position: usize) {
        if let Some(lost) = self.lost.get(&memory).copied() {
            self.record_violation(
                LOST_STORAGE_IS_NEW_NODE,
                at,
                position,
                vec![lost],
                format!("{memory:x} is active although its data directory was lost"),
            );
        }
    }

    fn record_violation(
        &mut self,
        promise: &'static str,
        at: f64,
        event: usize,
        mut causes: Vec<usize>,
        description: String,
    ) {
        if self.count(promise) < MAX_VIOLATIONS_PER_PROMISE {
            causes.extend(self.faults.iter().rev().take(3));
            self.broken.push(Broken { promise, at, event, led_by: causes, told: description });
        }
    }

    /// Ends the history and records a violation if view numbers are missing between the first and the last one observed.
    pub fn finish(&mut self, at: f64) {
        let (Some(first), Some(last)) = (self.numbers.keys().next(), self.numbers.keys().next_back()) else {
            return;
        };
        let missing = (*first..=*last).filter(|number| !self.numbers.contains_key(number)).count();
        if missing > 0 {
            let description =
                format!("{missing} view numbers between {first} and {last} were never observed");
            self.record_violation(NO_GAP, at, self.events, Vec::new(), description);
        }
    }

    /// Returns the number of distinct views.
    pub fn views(&self) -> usize {
        self.views.len()
    }

    /// Returns the number of recorded violations of a promise.
    pub fn count(&self, promise: &str) -> usize {
        self.broken.iter().filter(|broken| broken.promise == promise).count()
    }
}

/// Parses a history.
///
/// Returns an error that names the first line that is not an event.
pub fn read(text: &str) -> Result<Vec<Event>, String> {
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    lines
        .map(|(number, line)| {
            serde_json::from_str(line).map_err(|error| format!("line {}: {error}", number + 1))
        })
        .collect()
}

/// Returns a history as text, one JSON object per line.
pub fn written(events: &[Event]) -> String {
    events.iter().filter_map(|event| serde_json::to_string(event).ok()).map(|line| line + "\n").collect()
}

/// Checks a whole history.
pub fn judge(events: &[Event]) -> Audit {
    let mut audit = Audit::default();
    events.iter().for_each(|event| audit.record(event));
    audit.finish(events.last().map_or(0.0, |event| event.at));
    audit
}

#[cfg(test)]
mod tests;
