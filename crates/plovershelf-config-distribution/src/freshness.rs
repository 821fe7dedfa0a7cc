//! Time since the last origin contact, and detection of processes that are more up to date than the parent.
//!
//! A parent that still sends heartbeats but receives no changes would keep its children behind. Therefore a listener
//! periodically probes its backup parent, and after a long time without origin contact it probes several other
//! processes in rotation.

use std::net::SocketAddr;

use crate::config::DistributionConfig;
use crate::message::HeldVersion;
use crate::parent_selection::ParentSelector;
use crate::version::Version;

/// Upper bound, in milliseconds, of the time to the next probe while the origin contact is stale or another process
/// has a newer version.
const URGENT_PROBE_MS: f64 = 1000.0;

/// Conclusion from the answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeVerdict {
    KeepParent,
    /// The probed process has a more recent origin contact, or it was ahead in two probes in a row while no fetch was
    /// pending.
    SwitchParent,
}

/// Whether a request for a delta or snapshot is pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FetchState {
    Idle,
    Pending,
}

/// A listener's information about how up to date its parent is.
#[derive(Clone, Debug)]
pub(crate) struct Freshness {
    /// The version information that the parent sent last.
    parent_version_info: Option<HeldVersion>,
    /// The send time of the latest heartbeat of an origin that arrived here, directly or through relays, in
    /// milliseconds.
    origin_contact_ms: Option<f64>,
    probed: Option<SocketAddr>,
    /// Number of consecutive probes that were sent because the origin contact was stale.
    stale_probes: usize,
    /// The version of the last probed process, if it was newer than the version in force here.
    newer_version_seen: Option<Version>,
    probe_at_ms: f64,
}

impl Freshness {
    pub(crate) fn new(probe_at_ms: f64) -> Self {
        Freshness {
            parent_version_info: None,
            origin_contact_ms: None,
            probed: None,
            stale_probes: 0,
            newer_version_seen: None,
            probe_at_ms,
        }
    }

    pub(crate) fn parent_version_info(&self) -> Option<&HeldVersion> {
        self.parent_version_info.as_ref()
    }

    pub(crate) fn origin_contact_age_ms(&self, now_ms: f64) -> Option<f64> {
        self.origin_contact_ms.map(|at_ms| (now_ms - at_ms).max(0.0))
    }

    pub(crate) fn is_stale(&self, now_ms: f64, config: &DistributionConfig) -> bool {
        self.origin_contact_ms.is_none_or(|at_ms| now_ms - at_ms > config.stale_after_ms)
    }

    pub(crate) fn poll_timeout(&self) -> f64 {
        self.probe_at_ms
    }

    /// Records the version information in a message from the parent.
    pub(crate) fn handle_parent_version_info(&mut self, now_ms: f64, version_info: HeldVersion) {
        if version_info.age_ms < u32::MAX {
            let at_ms = now_ms - f64::from(version_info.age_ms);
            self.origin_contact_ms = Some(self.origin_contact_ms.map_or(at_ms, |latest| latest.max(at_ms)));
        }
        self.parent_version_info = Some(version_info);
    }

    /// Records the version of a change that the parent sent. A change does not include the age of an origin contact.
    pub(crate) fn handle_parent_change(&mut self, version: Version, short_digest: u64) {
        self.parent_version_info = Some(HeldVersion { version, short_digest, age_ms: u32::MAX });
    }

    /// Drops the information about a former parent, and the probes that were compared with it.
    pub(crate) fn handle_detached(&mut self) {
        self.parent_version_info = None;
        self.probed = None;
        self.newer_version_seen = None;
    }

    pub(crate) fn schedule_probe(&mut self, at_ms: f64) {
        self.probe_at_ms = at_ms;
    }

    /// Returns the process to probe if a probe is due.
    pub(crate) fn handle_timeout(
        &mut self,
        now_ms: f64,
        parent: &ParentSelector,
        config: &DistributionConfig,
    ) -> Option<SocketAddr> {
        let stale = self.is_stale(now_ms, config);
        let mut probed = None;
        if now_ms >= self.probe_at_ms {
            let interval_ms = match parent.is_relay() {
                true => config.relay_probe_interval_ms,
                false => config.leaf_probe_interval_ms,
            };
            self.probe_at_ms = now_ms + interval_ms;
            self.probed = match stale {
                true => parent.probe_target(self.stale_probes),
                false => parent.backup_parent(),
            };
            self.stale_probes = if stale { self.stale_probes + 1 } else { 0 };
            probed = self.probed;
        }
        if stale {
            self.probe_at_ms = self.probe_at_ms.min(now_ms + URGENT_PROBE_MS);
        }
        probed
    }

    /// Returns true if this process was the last one probed, so that its answer is expected.
    pub(crate) fn is_probed(&self, from: SocketAddr) -> bool {
        self.probed == Some(from)
    }

    /// Handles the answer of the probed process.
    pub(crate) fn handle_probe_reply(
        &mut self,
        now_ms: f64,
        probed: HeldVersion,
        own: HeldVersion,
        fetch: FetchState,
        config: &DistributionConfig,
    ) -> ProbeVerdict {
        let (own_age_ms, probed_age_ms) = (f64::from(own.age_ms), f64::from(probed.age_ms));
        let is_fresher =
            own_age_ms > config.stale_after_ms && probed_age_ms + config.heartbeat_interval_ms < own_age_ms;
        let still_behind =
            self.newer_version_seen.is_some_and(|ahead| ahead > own.version) && fetch == FetchState::Idle;
        if is_fresher || still_behind {
            return ProbeVerdict::SwitchParent;
        }
        self.newer_version_seen = Some(probed.version).filter(|version| *version > own.version);
        if self.newer_version_seen.is_some() {
            self.probe_at_ms = self.probe_at_ms.min(now_ms + URGENT_PROBE_MS);
        }
        ProbeVerdict::KeepParent
    }
}

#[cfg(test)]
mod tests;
