//! Simulated time and network: what is under way, in the order of its times; ways that are cut, slow, lossy.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg32;

/// Things that happen, by their time and then in the order they were put in.
pub struct Queue<T> {
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    things: BTreeMap<u64, T>,
    count: u64,
    now: f64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Queue { heap: BinaryHeap::new(), things: BTreeMap::new(), count: 0, now: 0.0 }
    }
}

impl<T> Queue<T> {
    pub fn now(&self) -> f64 {
        self.now
    }

    pub fn put(&mut self, at: f64, thing: T) -> u64 {
        self.count += 1;
        self.heap.push(Reverse((at.max(self.now).to_bits(), self.count)));
        self.things.insert(self.count, thing);
        self.count
    }

    pub fn take_back(&mut self, number: u64) {
        self.things.remove(&number);
    }

    /// The next thing; time moves on to it.
    pub fn take_next(&mut self) -> Option<T> {
        loop {
            let Reverse((at, number)) = self.heap.pop()?;
            if let Some(thing) = self.things.remove(&number) {
                self.now = self.now.max(f64::from_bits(at));
                return Some(thing);
            }
        }
    }
}

/// The ways between places.
pub struct Net {
    chance: Pcg32,
    way: LogNormal<f64>,
    /// By zones: a way between two of them takes so much longer.
    pub between_zones_ms: f64,
    cut: BTreeMap<(usize, usize), u32>,
    slow: BTreeMap<usize, f64>,
    pub loss: f64,
    pub sent: u64,
    pub bytes: u64,
    /// What each place sent.
    pub bytes_of: Vec<u64>,
}

impl Net {
    pub fn new(seed: u64, way_ms: f64) -> Self {
        // A long tail, as real ways have: one in a hundred takes three times the median.
        let way =
            LogNormal::new(way_ms.max(0.001).ln(), 0.5).unwrap_or_else(|_| unreachable!("a spread above 0"));
        Net {
            chance: Pcg32::seed_from_u64(seed),
            way,
            between_zones_ms: 0.0,
            cut: BTreeMap::new(),
            slow: BTreeMap::new(),
            loss: 0.0,
            sent: 0,
            bytes: 0,
            bytes_of: Vec::new(),
        }
    }

    /// Nothing passes from one to the other; as often as it is cut it must be healed.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        let count = self.cut.entry((from, to)).or_default();
        *count = if cut { *count + 1 } else { count.saturating_sub(1) };
        if *count == 0 {
            self.cut.remove(&(from, to));
        }
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.contains_key(&(from, to))
    }

    pub fn slow(&mut self, place: usize, by_ms: Option<f64>) {
        match by_ms {
            Some(by_ms) => drop(self.slow.insert(place, by_ms)),
            None => drop(self.slow.remove(&place)),
        }
    }

    /// When copies of a message arrive, as spans from now: none where it is lost, two where it is doubled.
    pub fn ways(&mut self, from: usize, to: usize, zones: usize, bytes: usize) -> Vec<f64> {
        self.sent += 1;
        self.bytes += bytes as u64;
        if self.bytes_of.len() <= from {
            self.bytes_of.resize(from + 1, 0);
        }
        self.bytes_of[from] += bytes as u64;
        if self.is_cut(from, to) || self.loss > 0.0 && self.chance.random::<f64>() < self.loss {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.loss > 0.0 && self.chance.random::<f64>() < self.loss);
        let far = if from % zones.max(1) == to % zones.max(1) { 0.0 } else { self.between_zones_ms };
        let slow = self.slow.get(&from).copied().unwrap_or(0.0) + self.slow.get(&to).copied().unwrap_or(0.0);
        (0..copies).map(|_| far + slow + self.way.sample(&mut self.chance)).collect()
    }
}
