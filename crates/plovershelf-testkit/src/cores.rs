//! Cores that running work shares evenly: slow when just started, and beyond a crowd less gets done the more there is.

use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub cores: f64,
    /// Running work, a core, beyond which less gets done.
    pub crowd: f64,
    /// Speed at the start, and how long until it is whole.
    pub cold_speed: f64,
    pub warm_ms: f64,
}

#[derive(Debug)]
pub struct Cores<K> {
    shape: Shape,
    started: f64,
    now: f64,
    /// Multiplies speed, for slow spells.
    pub pace: f64,
    left: BTreeMap<K, f64>,
    busy_ms: f64,
}

impl<K: Copy + Ord> Cores<K> {
    pub fn new(shape: Shape, now: f64) -> Self {
        Cores { shape, started: now, now, pace: 1.0, left: BTreeMap::new(), busy_ms: 0.0 }
    }

    fn speed(&self, now: f64) -> f64 {
        let Shape { cold_speed, warm_ms, .. } = self.shape;
        let warm = ((now - self.started) / warm_ms.max(1.0)).clamp(0.0, 1.0);
        cold_speed + (1.0 - cold_speed) * warm
    }

    /// How much running work they survive now, by what settings say of it.
    pub fn survives(&self, now: f64) -> f64 {
        self.shape.cores * (1.0 + (self.shape.crowd - 1.0) * self.speed(now))
    }

    /// How fast each piece of work goes on, in milliseconds of work a millisecond.
    fn rate(&self, now: f64) -> f64 {
        let count = self.left.len() as f64;
        if count == 0.0 {
            return 0.0;
        }
        let Shape { cores, crowd, .. } = self.shape;
        let speed = self.speed(now);
        let share = (cores / count).min(1.0);
        self.pace * speed * share * (crowd * cores / count).min(1.0)
    }

    /// Lets time pass; hands back what has ended.
    pub fn advance(&mut self, now: f64) -> Vec<K> {
        let mut ended = Vec::new();
        while self.now < now {
            // In steps in which neither the crowd nor the warmth changes much.
            let rate = self.rate(self.now);
            let least = self.left.values().copied().fold(f64::INFINITY, f64::min);
            let step = if rate > 0.0 { (least / rate).clamp(0.001, 50.0) } else { 50.0 };
            let step = step.min(now - self.now);
            self.busy_ms += (self.left.len() as f64 / self.shape.cores).min(1.0) * step;
            self.left.values_mut().for_each(|left| *left -= rate * step);
            self.now += step;
            ended.extend(self.left.iter().filter(|(_, left)| **left <= 1e-6).map(|(key, _)| *key));
            self.left.retain(|_, left| *left > 1e-6);
        }
        ended
    }

    pub fn begin(&mut self, key: K, work_ms: f64) {
        self.left.insert(key, work_ms.max(0.001));
    }

    pub fn stop(&mut self, key: &K) -> bool {
        self.left.remove(key).is_some()
    }

    /// When the next is likely to end, if nothing changes.
    pub fn next_end(&self) -> Option<f64> {
        let least = self.left.values().copied().fold(f64::INFINITY, f64::min);
        let rate = self.rate(self.now);
        (rate > 0.0).then(|| self.now + (least / rate).min(50.0))
    }

    pub fn running(&self) -> usize {
        self.left.len()
    }

    /// How long the cores were busy so far, all of them as one.
    pub fn busy_ms(&self) -> f64 {
        self.busy_ms
    }
}

#[cfg(test)]
mod tests;
