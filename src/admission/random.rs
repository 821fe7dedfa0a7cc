//! Pseudo-random numbers of the backend.

/// Generator PCG-XSH-RR 64/32 (O'Neill, "PCG: A family of simple fast space-efficient statistically good
/// algorithms for random number generation", 2014).
///
/// The seed is the initial state, without the two steps by which `rand_pcg` mixes it in: replacing this type
/// by that crate's would change the sequence, and with it the decisions, for the same seed.
pub(super) struct Pcg32(u64);

const MULTIPLIER: u64 = 6364136223846793005;
const INCREMENT: u64 = 1442695040888963407;
const VALUES: f64 = 4294967296.0;

impl Pcg32 {
    pub(super) fn new(seed: u64) -> Self {
        Pcg32(seed)
    }

    /// Returns the next number, uniform over [0, 1).
    pub(super) fn next_fraction(&mut self) -> f64 {
        let old = self.0;
        self.0 = old.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        f64::from(mixed.rotate_right((old >> 59) as u32)) / VALUES
    }
}

#[cfg(test)]
mod tests;
