//! What the council's decisions come to: who belongs, and a few words that others of the product agree on.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::council::{Id, State};

/// Views that are remembered as steps; words and their bytes.
const STEPS_KEPT: usize = 64;
pub const WORDS_MOST: usize = 256;
pub const WORD_BYTES_MOST: usize = 64 << 10;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Seat {
    pub name: String,
    pub zone: String,
    pub region: String,
    pub address: SocketAddr,
    /// It belongs still and is about to go: nothing new is given to it.
    pub leaving: bool,
    /// Of which start of its process; see [`News::life`](crate::members::News::life).
    pub life: u64,
}

/// Who belongs. Numbers go up by one, without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    pub number: u64,
    pub members: BTreeMap<Id, Seat>,
}

/// How one view came out of the one before.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Step {
    pub number: u64,
    pub joined: Vec<(Id, String)>,
    pub left: Vec<(Id, String)>,
}

/// Something agreed under a key. `number` goes up by one with each change, so what acts by an older one is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Word {
    pub number: u64,
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Decision {
    /// Whoever is named among the joined and was there has a new seat.
    View {
        number: u64,
        joined: Vec<(Id, Seat)>,
        left: Vec<Id>,
    },
    Word {
        key: String,
        number: u64,
        bytes: Vec<u8>,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Decided {
    pub view: View,
    pub steps: VecDeque<Step>,
    pub words: BTreeMap<String, Word>,
}

impl State for Decided {
    type Decision = Decision;

    /// What does not follow on what there is changes nothing, and does so everywhere alike.
    fn apply(&mut self, decision: &Decision) {
        match decision {
            Decision::View { number, joined, left } => {
                let next = *number == self.view.number + 1;
                if next || crate::broken::is(crate::broken::Broken::ViewNumberedTwice) {
                    self.step(*number, joined, left);
                }
            }
            Decision::Word { key, number, bytes } => {
                let before = self.words.get(key).map_or(0, |word| word.number);
                let room = self.words.contains_key(key) || self.words.len() < WORDS_MOST;
                if *number == before + 1 && room && bytes.len() <= WORD_BYTES_MOST {
                    self.words.insert(key.clone(), Word { number: *number, bytes: bytes.clone() });
                }
            }
        }
    }
}

impl Decided {
    fn step(&mut self, number: u64, joined: &[(Id, Seat)], left: &[Id]) {
        let names = |(id, seat): &(Id, Seat)| (*id, seat.name.clone());
        let gone: Vec<(Id, String)> =
            left.iter().filter_map(|id| Some((*id, self.view.members.remove(id)?.name))).collect();
        let new = joined.iter().filter(|(id, _)| !self.view.members.contains_key(id)).map(names).collect();
        self.view.members.extend(joined.iter().cloned());
        self.view.number = number;
        self.steps.push_back(Step { number, joined: new, left: gone });
        if self.steps.len() > STEPS_KEPT {
            self.steps.pop_front();
        }
    }
}
