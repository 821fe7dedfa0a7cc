//! Figures over many seeds: spreads, and differences that can be told from chance.

use hdrhistogram::Histogram;
use statrs::distribution::{ContinuousCDF, StudentsT};
use statrs::statistics::Statistics;

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
    /// None of these is known of a spread with nothing in it: a figure without data is no figure, and never 0.
    pub fn mean(&self) -> Option<f64> {
        self.filled().map(|spread| spread.sum / spread.count() as f64)
    }
    pub fn most(&self) -> Option<f64> {
        self.filled().map(|spread| spread.most)
    }
    pub fn at(&self, share: f64) -> Option<f64> {
        self.filled().map(|spread| spread.histogram.value_at_quantile(share) as f64 / 1000.0)
    }

    fn filled(&self) -> Option<&Self> {
        (self.count() > 0).then_some(self)
    }
}

/// A straight line through points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    pub slope: f64,
    pub intercept: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Share of the variance that the line explains; 1 where there is none to explain.
    pub r_squared: f64,
    pub points: usize,
}

impl Fit {
    /// Errors: none for fewer than three points (two leave no error to tell), one x alone, or a value that is no number.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        let (x, y): (Vec<f64>, Vec<f64>) = points.iter().copied().unzip();
        let spread = x.as_slice().variance();
        if points.len() < 3 || x.iter().chain(&y).any(|value| !value.is_finite()) || spread <= 0.0 {
            return None;
        }
        let slope = x.as_slice().covariance(y.as_slice()) / spread;
        let intercept = y.as_slice().mean() - slope * x.as_slice().mean();
        let count = points.len() as f64;
        let unexplained = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum::<f64>();
        let whole = y.as_slice().variance() * (count - 1.0);
        let r_squared = if whole > 0.0 { 1.0 - unexplained / whole } else { 1.0 };
        let slope_error = (unexplained / (count - 2.0) / (spread * (count - 1.0))).sqrt();
        Some(Fit { slope, intercept, slope_error, r_squared, points: points.len() })
    }

    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }

    /// The slope lies so far up and down with 95 in 100 confidence.
    pub fn slope_bar(&self) -> f64 {
        let t = StudentsT::new(0.0, 1.0, self.points as f64 - 2.0);
        t.map_or(f64::INFINITY, |t| t.inverse_cdf(0.975)) * self.slope_error
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
