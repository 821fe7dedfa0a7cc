//! Histories and what is held against them. A history has what was seen from outside, with times; it is written as one JSON
//! object a line, and the model and the rig leave the same form.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};

/// Something that was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum Seen {
    /// A fault began or was over.
    Fault { text: String },
    /// This memory's folder is lost, or was set back: it must never speak again.
    Lost { memory: u64 },
    /// A memory that says it leads a term.
    Leads { memory: u64, era: u64, term: u64 },
    /// A memory that holds this view for agreed. By the time told it was.
    View { memory: u64, era: u64, number: u64, members: Vec<u64> },
    /// A memory that acts by a view, not before the time told.
    Acts { memory: u64, era: u64, view: u64 },
    /// An agent launched a ticket's work in a backend's process.
    Launched { ticket: u64, process: String },
    /// A caller read how a ticket ended: `result` is a hash of what it got, or nothing where it was told that it failed.
    Answered { ticket: u64, result: Option<u64> },
    /// What stands decided at a place of the log.
    Decided { memory: u64, era: u64, index: u64, hash: u64 },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    pub at: f64,
    #[serde(flatten)]
    pub seen: Seen,
}

/// A promise that was broken, by the event that shows it and those that led to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub promise: &'static str,
    pub at: f64,
    pub event: usize,
    pub led_by: Vec<usize>,
    pub told: String,
}

pub const ONE_VIEW_A_NUMBER: &str = "one-view-a-number";
pub const NO_GAP: &str = "views-without-gap";
pub const ONE_LEADER_A_TERM: &str = "one-leader-a-term";
pub const NOTHING_FORGOTTEN: &str = "nothing-agreed-forgotten";
pub const NOT_PAST_LEASE: &str = "nobody-acts-past-its-lease";
pub const BLANK_IS_NEW: &str = "blank-is-someone-new";
pub const NO_EFFECT_TWICE: &str = "no-effect-twice";
pub const ONE_VERDICT: &str = "one-verdict";

/// Of each promise at most so many are told.
const TOLD_MOST: usize = 8;

/// Takes events in the order of their times, and tells of broken promises as they show.
#[derive(Default)]
pub struct Audit {
    events: usize,
    views: BTreeMap<(u64, u64), (Vec<u64>, usize, f64)>,
    leaders: BTreeMap<(u64, u64), (u64, usize)>,
    decided: BTreeMap<(u64, u64), (u64, usize)>,
    /// In force since, newest last: the views of all eras by number, with the time they were first seen.
    numbers: BTreeMap<u64, (Vec<u64>, usize, f64)>,
    lost: BTreeMap<u64, usize>,
    launched: BTreeMap<u64, (String, usize)>,
    succeeded: BTreeMap<u64, (u64, usize)>,
    faults: Vec<usize>,
    pub broken: Vec<Broken>,
}

impl Audit {
    /// Tells the promises that this event shows to be broken.
    pub fn take(&mut self, event: &Event) {
        let place = self.events;
        self.events += 1;
        match &event.seen {
            Seen::Fault { .. } => self.faults.push(place),
            Seen::Lost { memory } => {
                self.lost.insert(*memory, place);
            }
            Seen::Launched { ticket, process } => {
                let (first, at) = self.launched.entry(*ticket).or_insert((process.clone(), place)).clone();
                if at != place {
                    let told = format!("ticket {ticket} was launched in {first} and in {process}");
                    self.breaks(NO_EFFECT_TWICE, event.at, place, vec![at], told);
                }
            }
            // A caller that was told of failure may have been told so before the end was known; after a result, nothing else.
            Seen::Answered { ticket, result } => {
                let before = self.succeeded.get(ticket).copied();
                match (before, result) {
                    (None, Some(result)) => drop(self.succeeded.insert(*ticket, (*result, place))),
                    (Some((first, at)), result) if *result != Some(first) => {
                        let told =
                            format!("ticket {ticket} was answered otherwise after its result was read");
                        self.breaks(ONE_VERDICT, event.at, place, vec![at], told);
                    }
                    _ => {}
                }
            }
            Seen::Leads { memory, era, term } => {
                self.speaks(*memory, event.at, place);
                let (first, at) = *self.leaders.entry((*era, *term)).or_insert((*memory, place));
                if first != *memory {
                    let told = format!("{first:x} and {memory:x} both lead term {term}");
                    self.breaks(ONE_LEADER_A_TERM, event.at, place, vec![at], told);
                }
            }
            Seen::View { memory, era, number, members } => {
                self.speaks(*memory, event.at, place);
                self.view(*era, *number, members, event.at, place);
            }
            Seen::Acts { memory, era, view } => {
                self.speaks(*memory, event.at, place);
                self.acts(*memory, *era, *view, event.at, place);
            }
            Seen::Decided { memory, era, index, hash } => {
                self.speaks(*memory, event.at, place);
                let (first, at) = *self.decided.entry((*era, *index)).or_insert((*hash, place));
                if first != *hash {
                    let told = format!("place {index} of the log holds something else at {memory:x}");
                    self.breaks(NOTHING_FORGOTTEN, event.at, place, vec![at], told);
                }
            }
        }
    }

    fn view(&mut self, era: u64, number: u64, members: &[u64], at: f64, place: usize) {
        if let Some((before, first, _)) = self.views.get(&(era, number)) {
            if before != members {
                let (first, told) = (*first, format!("view {number} has two memberships"));
                self.breaks(ONE_VIEW_A_NUMBER, at, place, vec![first], told);
            }
            return;
        }
        self.views.insert((era, number), (members.to_vec(), place, at));
        self.numbers.entry(number).or_insert((members.to_vec(), place, at));
    }

    /// Acting by a view is wrong once a later one without the member was agreed.
    fn acts(&mut self, memory: u64, era: u64, view: u64, at: f64, place: usize) {
        let after = (Bound::Excluded((era, view)), Bound::Unbounded);
        let later = self
            .views
            .range(after)
            .find(|(_, (members, _, since))| *since < at && !members.contains(&memory));
        if let Some(((_, number), (_, first, since))) = later {
            let told = format!(
                "{memory:x} acts by view {view} after view {number} without it was agreed at {since:.0}"
            );
            let first = *first;
            self.breaks(NOT_PAST_LEASE, at, place, vec![first], told);
        }
    }

    fn speaks(&mut self, memory: u64, at: f64, place: usize) {
        if let Some(lost) = self.lost.get(&memory).copied() {
            self.breaks(
                BLANK_IS_NEW,
                at,
                place,
                vec![lost],
                format!("{memory:x} speaks though its folder was lost"),
            );
        }
    }

    fn breaks(&mut self, promise: &'static str, at: f64, event: usize, mut led_by: Vec<usize>, told: String) {
        if self.broken.iter().filter(|broken| broken.promise == promise).count() < TOLD_MOST {
            led_by.extend(self.faults.iter().rev().take(3));
            self.broken.push(Broken { promise, at, event, led_by, told });
        }
    }

    /// At the end: numbers without a gap, counted over all that was seen from the first on.
    pub fn finish(&mut self, at: f64) {
        let (Some(first), Some(last)) = (self.numbers.keys().next(), self.numbers.keys().next_back()) else {
            return;
        };
        let numbers = (*first..=*last).filter(|number| !self.numbers.contains_key(number)).count();
        if numbers > 0 {
            let told = format!("{numbers} numbers between {first} and {last} were never seen");
            self.breaks(NO_GAP, at, self.events, Vec::new(), told);
        }
    }

    pub fn views(&self) -> usize {
        self.views.len()
    }

    pub fn count(&self, promise: &str) -> usize {
        self.broken.iter().filter(|broken| broken.promise == promise).count()
    }
}

/// Judges a written history.
///
/// Errors: the line that is no event.
pub fn read(text: &str) -> Result<Vec<Event>, String> {
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    lines
        .map(|(number, line)| {
            serde_json::from_str(line).map_err(|error| format!("line {}: {error}", number + 1))
        })
        .collect()
}

pub fn written(events: &[Event]) -> String {
    events.iter().filter_map(|event| serde_json::to_string(event).ok()).map(|line| line + "\n").collect()
}

pub fn judge(events: &[Event]) -> Audit {
    let mut audit = Audit::default();
    events.iter().for_each(|event| audit.take(event));
    audit.finish(events.last().map_or(0.0, |event| event.at));
    audit
}

#[cfg(test)]
mod tests;
