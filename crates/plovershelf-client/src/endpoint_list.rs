//! The list of endpoints as text: an address a line, like `127.0.0.1:9090`; what stands behind `#` is a comment.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// How much of a wrong line an error shows, in characters.
const MAX_SHOWN: usize = 60;

/// Endpoints in the order in which they were named, each once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointList {
    /// The addresses.
    pub addresses: Vec<SocketAddr>,
    /// How often an address was named again.
    pub duplicates: usize,
}

/// Why a text is no list of endpoints. The list of before stays in use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointListError {
    /// A line is no address.
    #[error("line {line}: {found:?} is no address; one looks like 127.0.0.1:9090")]
    InvalidLine {
        /// Its number, from 1.
        line: usize,
        /// What stands there.
        found: String,
    },
    /// No address is named.
    #[error("it names no member; an address a line is wanted, like 127.0.0.1:9090")]
    Empty,
    /// More addresses are named than are taken.
    #[error("it names more than {max} members")]
    TooLong {
        /// The most that are taken.
        max: usize,
    },
}

impl EndpointList {
    /// Parses a text with at most `max` addresses.
    ///
    /// # Errors
    ///
    /// A text that names no endpoint, or a line that is none. A list that is too long is an error, as half a list is worse than
    /// the one of before.
    pub fn parse(text: &str, max: usize) -> Result<Self, EndpointListError> {
        let mut list = EndpointList::default();
        let mut known = BTreeSet::new();
        for (index, line) in text.lines().enumerate() {
            let entry = line.split('#').next().unwrap_or("").trim();
            if entry.is_empty() {
                continue;
            }
            let address = parse_address(entry).ok_or_else(|| EndpointListError::InvalidLine {
                line: index + 1,
                found: entry.chars().take(MAX_SHOWN).collect(),
            })?;
            if !known.insert(address) {
                list.duplicates += 1;
                continue;
            }
            if list.addresses.len() == max {
                return Err(EndpointListError::TooLong { max });
            }
            list.addresses.push(address);
        }
        if list.addresses.is_empty() {
            Err(EndpointListError::Empty)
        } else {
            Ok(list)
        }
    }

    /// A list of addresses that are at hand.
    pub fn from_addresses(addresses: &[SocketAddr]) -> Self {
        let mut list = EndpointList::default();
        let mut known = BTreeSet::new();
        for address in addresses {
            if known.insert(*address) {
                list.addresses.push(*address);
            } else {
                list.duplicates += 1;
            }
        }
        list
    }
}

fn parse_address(entry: &str) -> Option<SocketAddr> {
    entry.parse().ok().filter(|address: &SocketAddr| address.port() != 0)
}

#[cfg(test)]
mod tests;
