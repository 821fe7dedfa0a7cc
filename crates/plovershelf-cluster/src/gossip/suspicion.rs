//! The suspicion timeout after which a suspect member is declared dead (Lifeguard, section IV-B).

use super::config::GossipConfig;

/// Maximum number of confirmations, by members other than the first suspector, that shorten a suspicion.
pub(super) const MAX_CONFIRMATIONS: usize = 3;

/// Returns the time at which a suspicion that began at `since_ms` ends with the member declared dead.
///
/// The timeout grows with the logarithm of the number of members, because updates and refutations take longer to reach
/// all of them, and with `health_multiplier` while local health is poor. It shrinks with the logarithm of the number of
/// confirmations, down to [`GossipConfig::confirmed_suspicion_fraction`] of its full length.
pub(super) fn suspicion_deadline_ms(
    config: &GossipConfig,
    since_ms: f64,
    other_members: usize,
    health_multiplier: f64,
    suspected_by: usize,
) -> f64 {
    let members = other_members as f64 + 1.0;
    let longest = config.suspicion_timeout_ms * members.log10().max(1.0) * health_multiplier;
    let shortest = longest * config.confirmed_suspicion_fraction;
    let confirmations = suspected_by.saturating_sub(1).min(MAX_CONFIRMATIONS) as f64;
    let shortened = (confirmations + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln();
    since_ms + longest - (longest - shortest) * shortened
}
