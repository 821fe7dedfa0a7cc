//! Valid ranges of numbers in settings. A value outside its range is a mistake rather than an unusual deployment.

use crate::document::NumberRange;

/// Maximum duration: a leap year, in milliseconds.
const MAX_DURATION_MS: f64 = 366.0 * 86_400_000.0;
/// Maximum number of cores.
const MAX_CORES: f64 = 4096.0;
/// Maximum memory: 1 PiB, in KiB.
const MAX_MEMORY_KB: f64 = (1u64 << 40) as f64;
const MAX_COUNT: f64 = 1e7;
const MAX_FACTOR: f64 = 1e6;
const MAX_VALUE: f64 = 1e12;

/// A duration, which may be 0.
pub const DURATION_MS: NumberRange = NumberRange::between(0.0, MAX_DURATION_MS);
/// A duration above 0.
pub const POSITIVE_DURATION_MS: NumberRange = NumberRange::above(0.0, MAX_DURATION_MS);
/// Number of processor cores.
pub const CORES: NumberRange = NumberRange::above(0.0, MAX_CORES);
/// Memory capacity.
pub const MEMORY_KB: NumberRange = NumberRange::above(0.0, MAX_MEMORY_KB);
/// Memory usage, which may be 0.
pub(crate) const USED_KB: NumberRange = NumberRange::between(0.0, MAX_MEMORY_KB);
/// Mean number of items.
pub(crate) const COUNT: NumberRange = NumberRange::between(0.0, MAX_COUNT);
/// Positive factor.
pub(crate) const FACTOR: NumberRange = NumberRange::above(0.0, MAX_FACTOR);
/// Factor of at least 1.
pub(crate) const MULTIPLE: NumberRange = NumberRange::between(1.0, MAX_FACTOR);
/// Factor that may be 0.
pub(crate) const FACTOR_OR_ZERO: NumberRange = NumberRange::between(0.0, MAX_FACTOR);
/// Relative value of a request.
pub(crate) const VALUE: NumberRange = NumberRange::between(0.0, MAX_VALUE);
/// Fraction of a whole.
pub(crate) const FRACTION: NumberRange = NumberRange::between(0.0, 1.0);
/// Rate per second.
pub(crate) const RATE_PER_S: NumberRange = NumberRange::between(0.0, MAX_VALUE);
