//! What the stand-ins saw, by which a trial judges.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::work::{Effect, Work};

/// One process of one backend: its place and how often it was started.
pub type Life = (usize, u32);

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    pub begun: u32,
    pub ended_well: u32,
}

#[derive(Debug, Default)]
pub struct Account {
    /// Runs of each invocation, by the process that had them.
    runs: BTreeMap<(u64, Life), Seen>,
    effects: BTreeMap<u64, Effect>,
    /// Launches after a backend's grace was over.
    pub launched_late: u64,
    /// Commands that no backend should send.
    pub odd_commands: u64,
    /// The most that ran at once on one backend, by the crowd that it survives.
    pub crowd_most: f64,
    pub work_done_ms: f64,
    /// How long the last run of each took, from its launch to its end by the agent's clock.
    pub took_ms: BTreeMap<u64, f64>,
    pub ledger_fell: u64,
    pub ledger_most: usize,
    pub calls: u64,
}

pub type Shared = Rc<RefCell<Account>>;

impl Account {
    pub fn shared() -> Shared {
        Rc::default()
    }

    pub fn begun(&mut self, work: &Work, life: Life) {
        self.runs.entry((work.number, life)).or_default().begun += 1;
        self.effects.insert(work.number, work.effect);
    }

    pub fn ended_well(&mut self, number: u64, life: Life) {
        self.runs.entry((number, life)).or_default().ended_well += 1;
    }

    /// Invocations that may take effect once and ran more often: ticketed ones within one process, exclusive ones
    /// anywhere.
    pub fn ran_twice(&self) -> Vec<u64> {
        let mut exclusive: BTreeMap<u64, u32> = BTreeMap::new();
        let mut twice = Vec::new();
        for ((number, _), seen) in &self.runs {
            match self.effects.get(number) {
                Some(Effect::Ticketed) if seen.begun > 1 => twice.push(*number),
                Some(Effect::Exclusive) => *exclusive.entry(*number).or_default() += seen.begun,
                _ => {}
            }
        }
        twice.extend(exclusive.into_iter().filter(|(_, begun)| *begun > 1).map(|(number, _)| number));
        twice
    }

    /// Ticketed invocations that were launched more than once, wherever that was.
    pub fn launched_twice(&self) -> Vec<u64> {
        let mut launches: BTreeMap<u64, u32> = BTreeMap::new();
        for ((number, _), seen) in &self.runs {
            if self.effects.get(number) == Some(&Effect::Ticketed) {
                *launches.entry(*number).or_default() += seen.begun;
            }
        }
        launches.into_iter().filter(|(_, begun)| *begun > 1).map(|(number, _)| number).collect()
    }

    /// All launches of ticketed invocations, with the process that had them.
    pub fn ticketed_launches(&self) -> impl Iterator<Item = (u64, Life)> + '_ {
        let ticketed = |number: &u64| self.effects.get(number) == Some(&Effect::Ticketed);
        let runs = self.runs.iter().filter(move |((number, _), _)| ticketed(number));
        runs.flat_map(|(key, seen)| std::iter::repeat_n(*key, seen.begun as usize))
    }

    /// Has any run of it ended well?
    pub fn made(&self, number: u64) -> bool {
        let lives = (number, (0, 0))..=(number, (usize::MAX, u32::MAX));
        self.runs.range(lives).any(|(_, seen)| seen.ended_well > 0)
    }

    pub fn runs(&self) -> u64 {
        self.runs.values().map(|seen| u64::from(seen.begun)).sum()
    }
}

#[cfg(test)]
mod tests;
