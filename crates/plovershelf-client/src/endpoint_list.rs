//! The list of members as text: an address a line, in the form `127.0.0.1:9090`; what stands behind `#` is a remark.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

/// Members in the order in which they were named, each once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberList {
    pub members: Vec<SocketAddr>,
    /// Lines that named a member again.
    pub doubled: usize,
}

/// Why a text is no list of members. Whoever has one keeps the list of before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BadList {
    /// Its line, counted from 1, and what stands there.
    Line(usize, String),
    Empty,
    TooLong(usize),
}

impl fmt::Display for BadList {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BadList::Line(number, found) => {
                write!(out, "line {number}: {found:?} is no address; one looks like 127.0.0.1:9090")
            }
            BadList::Empty => {
                write!(out, "it names no member; an address a line is wanted, like 127.0.0.1:9090")
            }
            BadList::TooLong(most) => write!(out, "it names more than {most} members"),
        }
    }
}

impl std::error::Error for BadList {}

impl MemberList {
    /// Takes a text apart. At most `most` members are taken; a longer list is an error, as half a list is worse than
    /// the one of before.
    pub fn parse(text: &str, most: usize) -> Result<Self, BadList> {
        let mut list = MemberList::default();
        let mut known = BTreeSet::new();
        for (place, line) in text.lines().enumerate() {
            let told = line.split('#').next().unwrap_or("").trim();
            if told.is_empty() {
                continue;
            }
            let shown = || told.chars().take(60).collect();
            let address: SocketAddr = told.parse().map_err(|_| BadList::Line(place + 1, shown()))?;
            if address.port() == 0 {
                return Err(BadList::Line(place + 1, shown()));
            }
            if !known.insert(address) {
                list.doubled += 1;
                continue;
            }
            if list.members.len() == most {
                return Err(BadList::TooLong(most));
            }
            list.members.push(address);
        }
        if list.members.is_empty() {
            Err(BadList::Empty)
        } else {
            Ok(list)
        }
    }

    /// A list out of addresses that are at hand.
    pub fn of(addresses: &[SocketAddr]) -> Self {
        let mut list = MemberList::default();
        let mut known = BTreeSet::new();
        for address in addresses {
            if known.insert(*address) {
                list.members.push(*address);
            } else {
                list.doubled += 1;
            }
        }
        list
    }
}

#[cfg(test)]
mod tests;
