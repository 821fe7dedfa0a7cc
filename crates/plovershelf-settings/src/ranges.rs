//! The numbers that settings may have. What lies outside is a slip of whoever wrote them, and not a deployment.

use crate::document::NumberRange;

/// A year, in milliseconds.
const MAX_DURATION_MS: f64 = 366.0 * 86_400_000.0;
const MAX_CORES: f64 = 4096.0;
/// 1 PiB, in KiB.
const MAX_MEMORY_KB: f64 = (1u64 << 40) as f64;
const MAX_COUNT: f64 = 1e7;
const MAX_FACTOR: f64 = 1e6;
const MAX_VALUE: f64 = 1e12;

/// A span of time that may be none.
pub const DURATION_MS: NumberRange = NumberRange::between(0.0, MAX_DURATION_MS);
/// A span of time in which something has to fit.
pub const POSITIVE_DURATION_MS: NumberRange = NumberRange::above(0.0, MAX_DURATION_MS);
/// Processor cores.
pub const CORES: NumberRange = NumberRange::above(0.0, MAX_CORES);
/// Memory that something has.
pub const MEMORY_KB: NumberRange = NumberRange::above(0.0, MAX_MEMORY_KB);
/// Memory that something takes.
pub(crate) const TAKEN_KB: NumberRange = NumberRange::between(0.0, MAX_MEMORY_KB);
/// How many there are, in the mean.
pub(crate) const COUNT: NumberRange = NumberRange::between(0.0, MAX_COUNT);
/// How many times as much.
pub(crate) const FACTOR: NumberRange = NumberRange::above(0.0, MAX_FACTOR);
/// How many times as much, and no less.
pub(crate) const MULTIPLE: NumberRange = NumberRange::between(1.0, MAX_FACTOR);
/// How many times something is added; may be none.
pub(crate) const STRETCH: NumberRange = NumberRange::between(0.0, MAX_FACTOR);
/// What something is worth.
pub(crate) const VALUE: NumberRange = NumberRange::between(0.0, MAX_VALUE);
/// A part of a whole.
pub(crate) const FRACTION: NumberRange = NumberRange::between(0.0, 1.0);
/// How often something comes a second.
pub(crate) const RATE_PER_S: NumberRange = NumberRange::between(0.0, MAX_VALUE);
