//! What people ask of a process that changes are carried to, and what it answers.

use plovershelf_config_distribution::node::Status;
use plovershelf_config_distribution::quota_table::{Edit, Numbered};
use serde::{Deserialize, Serialize};

/// The part of the product that a question is for, and the key under which the council agrees on changes.
pub const KEY: &str = "config";

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    Status,
    History,
    /// A change of quotas; `after` is the number that it is to follow on, where that matters.
    Propose {
        edits: Vec<Edit>,
        after: Option<u64>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Told {
    Status(Box<Report>),
    History(Vec<Numbered>),
    Done(String),
    Refused(String),
}

/// One process's word on what is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub node: Status,
    pub source: bool,
    /// Of a source: the newest that the council agreed on as far as it heard, who leads it, and whether it can agree now.
    pub council: Option<Council>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Council {
    pub number: u64,
    pub leader: Option<String>,
    /// A majority is heard of.
    pub agrees: bool,
}
