//! Statistics over many seeds: distributions, linear fits, and the significance of paired differences.

use hdrhistogram::Histogram;
use statrs::distribution::{ContinuousCDF, StudentsT};
use statrs::statistics::Statistics;

/// Distribution of the values of one metric, with a resolution of 0.001 and three significant digits for quantiles. The mean
/// and the maximum are exact.
pub struct SampleDistribution {
    histogram: Histogram<u64>,
    sum: f64,
    max: f64,
}

impl Default for SampleDistribution {
    fn default() -> Self {
        let histogram =
            Histogram::new(3).unwrap_or_else(|_| unreachable!("three significant digits are valid"));
        SampleDistribution { histogram, sum: 0.0, max: 0.0 }
    }
}

impl SampleDistribution {
    /// Records a value; the quantiles count a negative value as 0.
    pub fn put(&mut self, value: f64) {
        // The histogram resizes automatically, so no value is out of range.
        let _ = self.histogram.record((value.max(0.0) * 1000.0).round() as u64);
        self.sum += value;
        self.max = self.max.max(value);
    }

    /// Adds all values of another distribution.
    pub fn join(&mut self, other: &SampleDistribution) {
        let _ = self.histogram.add(&other.histogram);
        (self.sum, self.max) = (self.sum + other.sum, self.max.max(other.max));
    }

    /// Returns the number of values.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }
    /// Returns the mean, or `None` without values: a metric without data must not be reported as 0.
    pub fn mean(&self) -> Option<f64> {
        self.non_empty().map(|spread| spread.sum / spread.count() as f64)
    }
    /// Returns the maximum, or `None` without values.
    pub fn most(&self) -> Option<f64> {
        self.non_empty().map(|spread| spread.max)
    }
    /// Returns the quantile for a fraction from 0 to 1, or `None` without values.
    pub fn at(&self, fraction: f64) -> Option<f64> {
        self.non_empty().map(|spread| spread.histogram.value_at_quantile(fraction) as f64 / 1000.0)
    }

    fn non_empty(&self) -> Option<&Self> {
        (self.count() > 0).then_some(self)
    }
}

/// Linear least-squares fit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    pub slope: f64,
    pub intercept: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Fraction of the variance that the line explains; 1 if all y values are equal.
    pub r_squared: f64,
    /// Number of points.
    pub points: usize,
}

impl Fit {
    /// Fits a line. Returns `None` for fewer than three points (two points leave no residual to estimate the error from), if
    /// all x values are equal, or if a value is not finite.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        let (x, y): (Vec<f64>, Vec<f64>) = points.iter().copied().unzip();
        let x_variance = x.as_slice().variance();
        if points.len() < 3 || x.iter().chain(&y).any(|value| !value.is_finite()) || x_variance <= 0.0 {
            return None;
        }
        let slope = x.as_slice().covariance(y.as_slice()) / x_variance;
        let intercept = y.as_slice().mean() - slope * x.as_slice().mean();
        let count = points.len() as f64;
        let residual_sum = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum::<f64>();
        let total_sum = y.as_slice().variance() * (count - 1.0);
        let r_squared = if total_sum > 0.0 { 1.0 - residual_sum / total_sum } else { 1.0 };
        let slope_error = (residual_sum / (count - 2.0) / (x_variance * (count - 1.0))).sqrt();
        Some(Fit { slope, intercept, slope_error, r_squared, points: points.len() })
    }

    /// Returns the value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }

    /// Returns half the width of the 95 % confidence interval of the slope.
    pub fn slope_bar(&self) -> f64 {
        let t = StudentsT::new(0.0, 1.0, self.points as f64 - 2.0);
        t.map_or(f64::INFINITY, |t| t.inverse_cdf(0.975)) * self.slope_error
    }
}

/// Result of a paired comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PairedComparison {
    /// Mean difference.
    pub mean: f64,
    /// Half the width of the 95 % confidence interval of the mean.
    pub bar: f64,
    /// Whether the difference is significant: the confidence interval excludes 0.
    pub told: bool,
}

/// Compares paired samples by their differences; the two samples of a pair have the same seed. Fewer than three pairs are never
/// significant.
pub fn compared(differences: &[f64]) -> PairedComparison {
    let count = differences.len() as f64;
    let mean = differences.iter().sum::<f64>() / count.max(1.0);
    if differences.len() < 3 {
        return PairedComparison { mean, bar: f64::INFINITY, told: false };
    }
    let variance = differences.iter().map(|d| (d - mean) * (d - mean)).sum::<f64>() / (count - 1.0);
    let t = StudentsT::new(0.0, 1.0, count - 1.0).map_or(2.0, |t| t.inverse_cdf(0.975));
    let bar = t * (variance / count).sqrt();
    PairedComparison { mean, bar, told: mean.abs() > bar }
}

#[cfg(test)]
mod tests;
