//! The text format of an endpoint list: one address per line, such as `127.0.0.1:9090`; `#` starts a comment.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of characters of an invalid line that an error shows.
const MAX_SHOWN_CHARS: usize = 60;

/// Addresses of endpoints in their listed order, without duplicates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointList {
    /// Addresses of the endpoints.
    pub addresses: Vec<SocketAddr>,
    /// Number of duplicate addresses that were dropped.
    pub duplicates: usize,
}

/// Reason why a text is not a valid endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointListError {
    /// A line is not an address with a port.
    #[error("line {line}: {found:?} is not an address with a port, such as 127.0.0.1:9090")]
    InvalidLine {
        /// Line number, from 1.
        line: usize,
        /// Beginning of the line without its comment.
        found: String,
    },
    /// The list contains no address.
    #[error("the list contains no endpoint; expected one address per line, such as 127.0.0.1:9090")]
    Empty,
    /// The list contains too many addresses.
    #[error("the list contains more than {max} endpoints")]
    TooLong {
        /// Maximum number of addresses.
        max: usize,
    },
}

impl EndpointList {
    /// Parses a text with at most `max` different addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if a line is not an address, if there is no address, or if there are more than `max`.
    /// A longer list is not truncated, because the previous list is better than a part of the new one.
    pub fn parse(text: &str, max: usize) -> Result<Self, EndpointListError> {
        let mut list = EndpointList::default();
        let mut seen = BTreeSet::new();
        for (index, line) in text.lines().enumerate() {
            let entry = line.split('#').next().unwrap_or("").trim();
            if entry.is_empty() {
                continue;
            }
            let address = parse_address(entry).ok_or_else(|| EndpointListError::InvalidLine {
                line: index + 1,
                found: entry.chars().take(MAX_SHOWN_CHARS).collect(),
            })?;
            if !seen.insert(address) {
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

    /// Creates a list from addresses and drops duplicates.
    pub fn from_addresses(addresses: &[SocketAddr]) -> Self {
        let mut list = EndpointList::default();
        let mut seen = BTreeSet::new();
        for address in addresses {
            if seen.insert(*address) {
                list.addresses.push(*address);
            } else {
                list.duplicates += 1;
            }
        }
        list
    }
}

/// Parses an address; a port of 0 is not valid.
fn parse_address(entry: &str) -> Option<SocketAddr> {
    entry.parse().ok().filter(|address: &SocketAddr| address.port() != 0)
}

#[cfg(test)]
mod tests;
