//! Simulated time and network: an event queue ordered by time, and links with latency, cuts, delays and loss.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg32;

/// Event queue, ordered by time and, at the same time, by insertion.
pub struct Queue<T> {
    /// Time (as bits of a non-negative `f64`, which order as the value does) and sequence number of each event.
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    /// Pending events by sequence number; a cancelled one is missing here but remains in the heap until popped.
    events: BTreeMap<u64, T>,
    count: u64,
    now: f64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Queue { heap: BinaryHeap::new(), events: BTreeMap::new(), count: 0, now: 0.0 }
    }
}

impl<T> Queue<T> {
    /// Returns the simulated time in milliseconds: the time of the last popped event.
    pub fn now(&self) -> f64 {
        self.now
    }

    /// Schedules an event, no earlier than now, and returns the number by which it can be cancelled.
    pub fn schedule(&mut self, at: f64, event: T) -> u64 {
        self.count += 1;
        self.heap.push(Reverse((at.max(self.now).to_bits(), self.count)));
        self.events.insert(self.count, event);
        self.count
    }

    /// Cancels a scheduled event; has no effect if the event was popped.
    pub fn cancel(&mut self, number: u64) {
        self.events.remove(&number);
    }

    /// Removes and returns the next event and advances the simulated time to it.
    pub fn pop(&mut self) -> Option<T> {
        loop {
            let Reverse((at, number)) = self.heap.pop()?;
            if let Some(event) = self.events.remove(&number) {
                self.now = self.now.max(f64::from_bits(at));
                return Some(event);
            }
        }
    }
}

/// Simulated network between endpoints, which are numbered from 0.
pub struct Net {
    rng: Pcg32,
    /// Distribution of the one-way latency in milliseconds.
    latency: LogNormal<f64>,
    /// Latency added between endpoints of different zones, in milliseconds.
    pub between_zones_ms: f64,
    /// Number of active cuts by (sender, receiver).
    cuts: BTreeMap<(usize, usize), u32>,
    /// Latency added to all messages from and to an endpoint, in milliseconds.
    delays: BTreeMap<usize, f64>,
    /// Fraction of messages that are lost; the same fraction of the rest is duplicated.
    pub loss: f64,
    /// Number of messages sent.
    pub messages_sent: u64,
    /// Number of bytes sent.
    pub bytes_sent: u64,
    /// Number of bytes sent by each endpoint.
    pub bytes_by_sender: Vec<u64>,
}

impl Net {
    /// Creates a network with this median one-way latency and without faults.
    pub fn new(seed: u64, median_latency_ms: f64) -> Self {
        // Real networks have a long latency tail: with this spread one message in a hundred takes three times the median.
        let latency = LogNormal::new(median_latency_ms.max(0.001).ln(), 0.5)
            .unwrap_or_else(|_| unreachable!("the standard deviation is positive"));
        Net {
            rng: Pcg32::seed_from_u64(seed),
            latency,
            between_zones_ms: 0.0,
            cuts: BTreeMap::new(),
            delays: BTreeMap::new(),
            loss: 0.0,
            messages_sent: 0,
            bytes_sent: 0,
            bytes_by_sender: Vec::new(),
        }
    }

    /// Adds or removes a cut, which drops all messages from one endpoint to another. Cuts are counted: a path passes messages
    /// again when each of its cuts was removed.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        let count = self.cuts.entry((from, to)).or_default();
        *count = if cut { *count + 1 } else { count.saturating_sub(1) };
        if *count == 0 {
            self.cuts.remove(&(from, to));
        }
    }

    /// Returns whether messages from one endpoint to another are dropped by a cut.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains_key(&(from, to))
    }

    /// Sets the latency added to all messages from and to an endpoint, or removes it.
    pub fn set_delay(&mut self, endpoint: usize, delay_ms: Option<f64>) {
        match delay_ms {
            Some(delay_ms) => drop(self.delays.insert(endpoint, delay_ms)),
            None => drop(self.delays.remove(&endpoint)),
        }
    }

    /// Counts a message as sent and returns the latency of each delivered copy in milliseconds: no copy if the message is
    /// lost, two if it is duplicated.
    pub fn send(&mut self, from: usize, to: usize, zones: usize, bytes: usize) -> Vec<f64> {
        self.messages_sent += 1;
        self.bytes_sent += bytes as u64;
        if self.bytes_by_sender.len() <= from {
            self.bytes_by_sender.resize(from + 1, 0);
        }
        self.bytes_by_sender[from] += bytes as u64;
        if self.is_cut(from, to) || self.loss > 0.0 && self.rng.random::<f64>() < self.loss {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.loss > 0.0 && self.rng.random::<f64>() < self.loss);
        let zone_ms = if from % zones.max(1) == to % zones.max(1) { 0.0 } else { self.between_zones_ms };
        let delay = |endpoint: usize| self.delays.get(&endpoint).copied().unwrap_or(0.0);
        let delay_ms = delay(from) + delay(to);
        (0..copies).map(|_| zone_ms + delay_ms + self.latency.sample(&mut self.rng)).collect()
    }
}
