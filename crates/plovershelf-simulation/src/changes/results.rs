//! Results of a run.

use crate::statistics::SampleDistribution;

/// Violation of a promise.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    /// Name of the promise.
    pub promise: &'static str,
    /// Time of the violation in milliseconds.
    pub at: f64,
    /// Process that violated the promise.
    pub place: usize,
    /// Description of the violation.
    pub told: String,
}

/// Maximum number of violations described per promise.
const MAX_VIOLATIONS_PER_PROMISE: u64 = 8;

/// Bytes per second, sent and received together, of the processes of one role; `None` without such a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Mean over all processes.
    pub mean: Option<f64>,
    /// Mean of the busiest process.
    pub most: Option<f64>,
    /// Maximum of any process in one second.
    pub second: Option<f64>,
}

/// Network traffic of a run and the shape of the distribution tree.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrafficSummary {
    pub listeners: Rates,
    /// Listeners with children, in the seconds in which they had children.
    pub relays: Rates,
    /// All origins.
    pub sources: Rates,
    /// Maximum number of messages that a process sent and received in one second.
    pub messages_second: u64,
    /// Maximum number of peers to which a process sent messages in one second.
    pub peers_second: u64,
    /// Maximum number of children of an origin.
    pub children_of_source: u64,
    /// Maximum number of children of a listener.
    pub children_of_listener: u64,
    /// Maximum number of hops from a listener to an origin at the end.
    pub depth: u64,
}

/// Results of a run.
#[derive(Default)]
pub struct RunReport {
    pub spent: TrafficSummary,
    /// Number of changes committed after the warm-up.
    pub agreed: u64,
    /// Number of changes that were dropped because no majority of origins was available.
    pub not_agreed: u64,
    /// Time until a change is in force on a reachable listener, in milliseconds: from the commit, or from the time at which
    /// the listener became reachable if that is later.
    pub in_force_ms: SampleDistribution,
    /// Number of listeners on which at least one change took longer than [`IN_FORCE_MS`](super::IN_FORCE_MS).
    pub late: u64,
    /// Number of reachable listeners without the newest change at the end.
    pub missed: u64,
    /// Number of reachable listeners at the end.
    pub reachable: u64,
    /// Number of processes that the origins together count at the end.
    pub counted: u64,
    /// Number of those that have the origin's version in force.
    pub counted_in_force: u64,
    /// Violations, limited per promise.
    pub broken: Vec<Broken>,
    /// Number of violations per promise.
    pub broken_count: std::collections::BTreeMap<&'static str, u64>,
    /// Targets of each fault.
    pub fault_targets: Vec<Vec<usize>>,
    /// Number of simulated events.
    pub events: u64,
    /// Descriptions of the first late changes.
    pub seen: Vec<String>,
}

impl RunReport {
    /// Records a violation.
    pub fn record_violation(
        &mut self,
        promise: &'static str,
        at: f64,
        process: usize,
        describe: impl FnOnce() -> String,
    ) {
        let count = self.broken_count.entry(promise).or_default();
        *count += 1;
        if *count <= MAX_VIOLATIONS_PER_PROMISE {
            self.broken.push(Broken { promise, at, place: process, told: describe() });
        }
    }
    /// Returns the number of violations of a promise.
    pub fn count(&self, promise: &str) -> u64 {
        self.broken_count.get(promise).copied().unwrap_or(0)
    }
    /// Returns a quantile of the time until a change is in force, in milliseconds, or `None` if no change was in force anywhere.
    pub fn in_force_at(&self, fraction: f64) -> Option<f64> {
        self.in_force_ms.at(fraction)
    }
    /// Returns the maximum time until a change is in force, in milliseconds, or `None` if no change was in force anywhere.
    pub fn in_force_worst(&self) -> Option<f64> {
        self.in_force_ms.most()
    }
}

/// Traffic of one process, aggregated per second.
#[derive(Clone, Debug, Default)]
pub(crate) struct Traffic {
    /// Bytes sent and received in the current second.
    pub bytes: u64,
    /// Messages sent and received in the current second.
    pub messages: u64,
    /// Peers to which messages were sent in the current second.
    pub peers: Vec<u32>,
    total: u64,
    seconds: u64,
    /// Bytes and number of seconds in which the process had children.
    relaying: (u64, u64),
    worst: u64,
    worst_relaying: u64,
    messages_second: u64,
    peers_second: u64,
    children: u64,
}

impl Traffic {
    /// Ends a second; `counts` is whether the second is part of the measured period, `running` whether the process is up.
    pub fn end_second(&mut self, counts: bool, running: bool, children: u64) {
        if counts {
            self.total += self.bytes;
            self.seconds += u64::from(running || self.bytes > 0);
            self.worst = self.worst.max(self.bytes);
            if children > 0 {
                self.relaying = (self.relaying.0 + self.bytes, self.relaying.1 + 1);
                self.worst_relaying = self.worst_relaying.max(self.bytes);
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

/// Returns the rates of processes, each given as total bytes, seconds, and the maximum bytes in one second.
fn rates<'a>(processes: impl Iterator<Item = (u64, u64, u64)> + 'a) -> Rates {
    let (mut bytes, mut seconds, mut rates) = (0, 0, Rates::default());
    for (total, duration_s, worst) in processes.filter(|(_, duration_s, _)| *duration_s > 0) {
        (bytes, seconds) = (bytes + total, seconds + duration_s);
        let rate = total as f64 / duration_s as f64;
        rates.most = Some(rates.most.map_or(rate, |most: f64| most.max(rate)));
        rates.second = Some(rates.second.map_or(worst as f64, |second: f64| second.max(worst as f64)));
    }
    rates.mean = (seconds > 0).then(|| bytes as f64 / seconds as f64);
    rates
}

/// Summarizes the traffic of all processes, of which the first `origin_count` are origins.
pub(crate) fn summarize(traffic: &[Traffic], origin_count: usize, depth: u64) -> TrafficSummary {
    let (origins, listeners) = traffic.split_at(origin_count);
    let whole = |process: &Traffic| (process.total, process.seconds, process.worst);
    let relaying = |process: &Traffic| (process.relaying.0, process.relaying.1, process.worst_relaying);
    TrafficSummary {
        listeners: rates(listeners.iter().map(whole)),
        relays: rates(listeners.iter().map(relaying)),
        sources: rates(origins.iter().map(whole)),
        messages_second: traffic.iter().map(|process| process.messages_second).max().unwrap_or(0),
        peers_second: traffic.iter().map(|process| process.peers_second).max().unwrap_or(0),
        children_of_source: origins.iter().map(|process| process.children).max().unwrap_or(0),
        children_of_listener: listeners.iter().map(|process| process.children).max().unwrap_or(0),
        depth,
    }
}
