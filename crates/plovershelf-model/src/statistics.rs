//! Figures over many seeds: spreads, and differences that can be told from chance.

use hdrhistogram::Histogram;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Values of one figure, three places kept, from a thousandth on.
pub struct Spread {
    histogram: Histogram<u64>,
    sum: f64,
    most: f64,
}

impl Default for Spread {
    fn default() -> Self {
        let histogram = Histogram::new(3).unwrap_or_else(|_| unreachable!("three places are allowed"));
        Spread { histogram, sum: 0.0, most: 0.0 }
    }
}

impl Spread {
    pub fn put(&mut self, value: f64) {
        // It grows by itself, so nothing is too large for it.
        let _ = self.histogram.record((value.max(0.0) * 1000.0).round() as u64);
        self.sum += value;
        self.most = self.most.max(value);
    }

    pub fn join(&mut self, other: &Spread) {
        let _ = self.histogram.add(&other.histogram);
        (self.sum, self.most) = (self.sum + other.sum, self.most.max(other.most));
    }

    pub fn count(&self) -> u64 {
        self.histogram.len()
    }
    pub fn mean(&self) -> f64 {
        self.sum / (self.count().max(1)) as f64
    }
    pub fn most(&self) -> f64 {
        self.most
    }
    pub fn at(&self, share: f64) -> f64 {
        if self.count() == 0 {
            return 0.0;
        }
        self.histogram.value_at_quantile(share) as f64 / 1000.0
    }
}

/// What a comparison by pairs came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Compared {
    pub mean: f64,
    /// The mean lies so far up and down with 95 in 100 confidence.
    pub bar: f64,
    /// Whether the difference can be told from chance.
    pub told: bool,
}

/// The differences of pairs, each of the same seed. Fewer than three tell nothing.
pub fn compared(differences: &[f64]) -> Compared {
    let count = differences.len() as f64;
    let mean = differences.iter().sum::<f64>() / count.max(1.0);
    if differences.len() < 3 {
        return Compared { mean, bar: f64::INFINITY, told: false };
    }
    let variance = differences.iter().map(|d| (d - mean) * (d - mean)).sum::<f64>() / (count - 1.0);
    let t = StudentsT::new(0.0, 1.0, count - 1.0).map_or(2.0, |t| t.inverse_cdf(0.975));
    let bar = t * (variance / count).sqrt();
    Compared { mean, bar, told: mean.abs() > bar }
}

#[cfg(test)]
mod tests;
