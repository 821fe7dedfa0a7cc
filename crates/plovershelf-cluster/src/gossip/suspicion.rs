//! How long a suspicion lasts before its member is held for dead (Lifeguard, section IV-B).

use super::config::GossipConfig;

/// Members that share a suspicion beyond the first, up to which it gets shorter.
pub(super) const MAX_CONFIRMATIONS: usize = 3;

/// When a suspicion that began at `since_ms` ends in death.
///
/// Its span grows with the logarithm of the members, as updates take longer to reach all and a refutation longer to come
/// back, and with `health_multiplier` while local health is poor. It shrinks from there to
/// [`GossipConfig::confirmed_suspicion_fraction`] of it, with the logarithm of the members that share the suspicion.
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
