//! How long ago an origin was heard from, and whether another process is fresher than the parent.
//!
//! A parent that is stuck but not silent would hold its children back. So a listener asks its backup parent from time to
//! time what it holds, and others in turn once no origin was heard from for long.

use std::net::SocketAddr;

use crate::config::DistributionConfig;
use crate::message::HeldVersion;
use crate::parent_selection::ParentSelector;
use crate::version::Version;

/// The next probe comes no later than this while no origin was heard from for long, or another process is ahead.
const URGENT_PROBE_MS: f64 = 1000.0;

/// What follows from the answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeVerdict {
    KeepParent,
    /// The one that answered is fresher, or ahead for the second time with nothing under way here.
    SwitchParent,
}

/// Whether a delta or snapshot is on its way here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FetchState {
    Idle,
    UnderWay,
}

/// A listener's view of how far its parent can be trusted to be up to date.
#[derive(Clone, Debug)]
pub(crate) struct Freshness {
    /// What the parent was last heard to hold.
    parent_held: Option<HeldVersion>,
    /// When an origin sent the latest heartbeat that came here, directly or through relays.
    origin_contact_ms: Option<f64>,
    probed: Option<SocketAddr>,
    /// Probes in a row that were sent because no origin was heard from.
    stale_probes: usize,
    /// What the last one that was probed held and this process did not.
    ahead_elsewhere: Option<Version>,
    probe_at_ms: f64,
}

impl Freshness {
    pub(crate) fn new(probe_at_ms: f64) -> Self {
        Freshness {
            parent_held: None,
            origin_contact_ms: None,
            probed: None,
            stale_probes: 0,
            ahead_elsewhere: None,
            probe_at_ms,
        }
    }

    pub(crate) fn parent_held(&self) -> Option<&HeldVersion> {
        self.parent_held.as_ref()
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

    /// A heartbeat or the like of the parent.
    pub(crate) fn handle_parent_held(&mut self, now_ms: f64, held: HeldVersion) {
        if held.age_ms < u32::MAX {
            let at_ms = now_ms - f64::from(held.age_ms);
            self.origin_contact_ms = Some(self.origin_contact_ms.map_or(at_ms, |latest| latest.max(at_ms)));
        }
        self.parent_held = Some(held);
    }

    /// The parent sent a change with this version, which has no age.
    pub(crate) fn handle_parent_change(&mut self, version: Version, short_digest: u64) {
        self.parent_held = Some(HeldVersion { version, short_digest, age_ms: u32::MAX });
    }

    /// The parent is lost or left: what it held no longer counts, and answers of those probed are about it.
    pub(crate) fn handle_detached(&mut self) {
        self.parent_held = None;
        self.probed = None;
        self.ahead_elsewhere = None;
    }

    pub(crate) fn schedule_probe(&mut self, at_ms: f64) {
        self.probe_at_ms = at_ms;
    }

    /// Whom to probe now, if it is time.
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

    /// Whether this one was probed last, so that its answer is expected.
    pub(crate) fn is_probed(&self, from: SocketAddr) -> bool {
        self.probed == Some(from)
    }

    /// The answer of the one that was probed.
    pub(crate) fn handle_probe_reply(
        &mut self,
        now_ms: f64,
        theirs: HeldVersion,
        own: HeldVersion,
        fetch: FetchState,
        config: &DistributionConfig,
    ) -> ProbeVerdict {
        let (own_age_ms, their_age_ms) = (f64::from(own.age_ms), f64::from(theirs.age_ms));
        let is_fresher =
            own_age_ms > config.stale_after_ms && their_age_ms + config.heartbeat_interval_ms < own_age_ms;
        let still_behind =
            self.ahead_elsewhere.is_some_and(|ahead| ahead > own.version) && fetch == FetchState::Idle;
        if is_fresher || still_behind {
            return ProbeVerdict::SwitchParent;
        }
        self.ahead_elsewhere = Some(theirs.version).filter(|version| *version > own.version);
        if self.ahead_elsewhere.is_some() {
            self.probe_at_ms = self.probe_at_ms.min(now_ms + URGENT_PROBE_MS);
        }
        ProbeVerdict::KeepParent
    }
}

#[cfg(test)]
mod tests;
