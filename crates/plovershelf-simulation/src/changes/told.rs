//! What a run came to.

use crate::statistics::Spread;

/// A promise that was broken, where and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub promise: &'static str,
    pub at: f64,
    pub place: usize,
    pub told: String,
}

/// Of each promise so many are told.
const TOLD_MOST: usize = 8;

/// Bytes a second, of what is sent and received together. None where nobody was of the kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    pub mean: Option<f64>,
    /// The process that had most over the whole time.
    pub most: Option<f64>,
    /// The worst second of any.
    pub second: Option<f64>,
}

/// What processes spent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spent {
    pub listeners: Rates,
    /// Those listeners that hand on, in the seconds in which they did.
    pub relays: Rates,
    pub sources: Rates,
    /// Messages sent and received by any process in its worst second.
    pub messages_second: u64,
    /// Other processes that one has sent to within a second, at most.
    pub peers_second: u64,
    pub children_of_source: u64,
    pub children_of_listener: u64,
    pub depth: u64,
}

#[derive(Default)]
pub struct Came {
    pub spent: Spent,
    pub agreed: u64,
    /// Changes that found no majority of sources.
    pub not_agreed: u64,
    /// From agreed until in force, of each change on each listener that was reachable; from when it became so, if later.
    pub in_force_ms: Spread,
    /// Listeners that did not have one in force in time, once or more.
    pub late: u64,
    /// Listeners that never had the newest, though reachable.
    pub missed: u64,
    /// Reachable at the end.
    pub reachable: u64,
    /// What the sources count together at the end.
    pub counted: u64,
    pub counted_in_force: u64,
    pub broken: Vec<Broken>,
    pub broken_count: std::collections::BTreeMap<&'static str, u64>,
    /// Whom each step struck.
    pub struck: Vec<Vec<usize>>,
    pub events: u64,
    /// Listeners that were late or missed, a line each, a few of them.
    pub seen: Vec<String>,
}

impl Came {
    pub fn broken(&mut self, promise: &'static str, at: f64, place: usize, told: impl FnOnce() -> String) {
        let count = self.broken_count.entry(promise).or_default();
        *count += 1;
        if *count <= TOLD_MOST as u64 {
            self.broken.push(Broken { promise, at, place, told: told() });
        }
    }
    pub fn count(&self, promise: &str) -> u64 {
        self.broken_count.get(promise).copied().unwrap_or(0)
    }
    /// Milliseconds; none where no change was in force anywhere.
    pub fn in_force_at(&self, share: f64) -> Option<f64> {
        self.in_force_ms.at(share)
    }
    pub fn in_force_worst(&self) -> Option<f64> {
        self.in_force_ms.most()
    }
}

/// What one process spent, second by second.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    pub bytes: u64,
    pub messages: u64,
    pub peers: Vec<u32>,
    total: u64,
    seconds: u64,
    handing: (u64, u64),
    worst: u64,
    worst_handing: u64,
    messages_second: u64,
    peers_second: u64,
    children: u64,
}

impl Account {
    /// A second is over; `counts` tells whether it belongs to what is told.
    pub fn second(&mut self, counts: bool, alive: bool, children: u64) {
        if counts {
            self.total += self.bytes;
            self.seconds += u64::from(alive || self.bytes > 0);
            self.worst = self.worst.max(self.bytes);
            if children > 0 {
                self.handing = (self.handing.0 + self.bytes, self.handing.1 + 1);
                self.worst_handing = self.worst_handing.max(self.bytes);
            }
            self.messages_second = self.messages_second.max(self.messages);
            self.peers.sort_unstable();
            self.peers.dedup();
            self.peers_second = self.peers_second.max(self.peers.len() as u64);
            self.children = self.children.max(children);
        }
        (self.bytes, self.messages) = (0, 0);
        self.peers.clear();
    }
}

fn rates<'a>(of: impl Iterator<Item = (u64, u64, u64)> + 'a) -> Rates {
    let (mut bytes, mut seconds, mut rates) = (0, 0, Rates::default());
    for (total, over, worst) in of.filter(|(_, over, _)| *over > 0) {
        (bytes, seconds) = (bytes + total, seconds + over);
        let rate = total as f64 / over as f64;
        rates.most = Some(rates.most.map_or(rate, |most: f64| most.max(rate)));
        rates.second = Some(rates.second.map_or(worst as f64, |second: f64| second.max(worst as f64)));
    }
    rates.mean = (seconds > 0).then(|| bytes as f64 / seconds as f64);
    rates
}

pub(crate) fn spent(accounts: &[Account], sources: usize, depth: u64) -> Spent {
    let (of_sources, listeners) = accounts.split_at(sources);
    let whole = |a: &Account| (a.total, a.seconds, a.worst);
    Spent {
        listeners: rates(listeners.iter().map(whole)),
        relays: rates(listeners.iter().map(|a| (a.handing.0, a.handing.1, a.worst_handing))),
        sources: rates(of_sources.iter().map(whole)),
        messages_second: accounts.iter().map(|a| a.messages_second).max().unwrap_or(0),
        peers_second: accounts.iter().map(|a| a.peers_second).max().unwrap_or(0),
        children_of_source: of_sources.iter().map(|a| a.children).max().unwrap_or(0),
        children_of_listener: listeners.iter().map(|a| a.children).max().unwrap_or(0),
        depth,
    }
}
