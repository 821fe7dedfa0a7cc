//! Listener behavior: selecting a parent, reporting to it, probing other processes and, as a relay, shedding children.

use std::net::SocketAddr;

use rand::RngExt;

use super::{Node, Role};
use crate::broken::{self, Broken};
use crate::freshness::{FetchState, ProbeVerdict};
use crate::message::{FanOutLimit, HeldVersion, ListenerKind, Message, MAX_ADDRESSES, MAX_NAMES};
use crate::parent_selection::{Failure, FindRequest, ParentAction};
use crate::quota_table::QuotaTable;

/// The contents of an origin's [`Message::ParentCandidates`].
pub(super) struct Candidates {
    pub(super) relays: Vec<SocketAddr>,
    pub(super) kind: ListenerKind,
    pub(super) limit: FanOutLimit,
    pub(super) ask_origin: Option<SocketAddr>,
}

impl Node {
    /// Performs the due work of a listener: parent timeout or selection, report, probe, shedding of children, and
    /// demotion of an idle relay to a leaf.
    pub(super) fn handle_listener_timeout(&mut self, now_ms: f64) {
        if let Some(parent) = self.parent.timed_out_parent(now_ms) {
            self.on_parent_timeout(now_ms, parent);
        } else {
            let action = self.parent.handle_timeout(now_ms, &mut self.rng);
            self.execute_parent_action(now_ms, action);
        }
        let Some(parent) = self.parent.parent() else { return };
        if self.report.handle_timeout(now_ms, &self.config) {
            self.send_report(parent);
        }
        if let Some(target) = self.freshness.handle_timeout(now_ms, &self.parent, &self.config) {
            self.send(target, Message::Probe);
        }
        self.shed_excess_child(now_ms);
        self.demote_idle_relay(now_ms, parent);
    }

    fn send_report(&mut self, parent: SocketAddr) {
        let mut aggregate = self.aggregate();
        let attached = self.attachments.take_pending(MAX_NAMES);
        aggregate.attached = attached.into_iter().map(|attachment| attachment.name).collect();
        if self.attachments.has_pending() {
            self.report.expedite();
        } else if let Some(child) = self.fan_out.next_child_name() {
            // Repeat the names of known children in rotation, since an earlier report may have been lost with a
            // connection or with a restart of the origin.
            aggregate.attached.push(child);
            aggregate.attached.truncate(MAX_NAMES);
        }
        self.send(parent, Message::Aggregate(aggregate));
    }

    /// Moves children elsewhere, one per interval, while a relay has more than its fan-out. A relay exceeds its
    /// fan-out when it takes over the children of a failed relay.
    fn shed_excess_child(&mut self, now_ms: f64) {
        if self.fan_out.len() <= self.config.fan_out {
            let interval_ms = self.rng.random_range(1.0..2.0) * self.config.rebalance_interval_ms;
            self.timers.rebalance_ms = now_ms + interval_ms;
        } else if now_ms >= self.timers.rebalance_ms {
            self.timers.rebalance_ms = now_ms + self.config.rebalance_interval_ms;
            if let Some(last) = self.fan_out.children().last().map(|child| child.address) {
                self.send(last, Message::Reattach(None));
            }
        }
    }

    fn demote_idle_relay(&mut self, now_ms: f64, parent: SocketAddr) {
        if !self.parent.is_relay() || !self.fan_out.is_empty() {
            self.idle_since_ms = now_ms;
        } else if now_ms - self.idle_since_ms > self.config.relay_idle_timeout_ms {
            self.idle_since_ms = now_ms;
            self.send(parent, Message::Detach);
            self.parent.become_leaf();
            let action = self.parent.request_candidates(now_ms);
            self.reset_parent_state();
            self.execute_parent_action(now_ms, action);
        }
    }

    fn on_parent_timeout(&mut self, now_ms: f64, parent: SocketAddr) {
        if self.apply_parent_loss_faults(now_ms) {
            return;
        }
        self.send(parent, Message::Detach);
        self.attach_to_other_parent(now_ms, parent);
    }

    /// Attaches to another parent after the current one was lost or detached this node.
    pub(super) fn replace_parent(&mut self, now_ms: f64, parent: SocketAddr) {
        if !self.apply_parent_loss_faults(now_ms) {
            self.attach_to_other_parent(now_ms, parent);
        }
    }

    /// Applies injected faults: waits for a lost parent, or drops the table with it. Returns true if the parent must
    /// be retained.
    fn apply_parent_loss_faults(&mut self, now_ms: f64) -> bool {
        if broken::is(Broken::SpareNeverUsed) {
            self.parent.handle_parent_message(now_ms);
            return true;
        }
        if broken::is(Broken::CutOffForgets) {
            self.store.replace(QuotaTable::default());
        }
        false
    }

    fn attach_to_other_parent(&mut self, now_ms: f64, parent: SocketAddr) {
        let action = self.parent.handle_failure(now_ms, parent, Failure::Unreachable, &mut self.rng);
        self.reset_parent_state();
        self.execute_parent_action(now_ms, action);
    }

    /// Drops the pending request and the version information that belong to the former parent.
    fn reset_parent_state(&mut self) {
        self.fetcher.reset();
        self.freshness.handle_detached();
    }

    fn execute_parent_action(&mut self, now_ms: f64, action: Option<ParentAction>) {
        match action {
            Some(ParentAction::Find(FindRequest { origin, redirected })) => {
                let excluded = self.parent.known_parents().failed().to_vec();
                self.send(origin, Message::FindParent { node: self.info.clone(), excluded, redirected });
            }
            Some(ParentAction::Attach { to, limit }) => {
                let (version_info, node) = (self.version_info(now_ms), self.info.clone());
                let kind = self.parent.kind();
                self.send(to, Message::Attach { node, version_info, kind, limit });
            }
            Some(ParentAction::DetachChildren) => {
                self.parent.become_leaf();
                for child in self.fan_out.clear() {
                    self.send(child, Message::Detach);
                }
            }
            None => {}
        }
    }

    /// Handles an unreachable address, which may be the parent or the target of a pending attempt.
    pub(super) fn on_unreachable(&mut self, now_ms: f64, address: SocketAddr) {
        if self.parent.is_parent(address) {
            self.replace_parent(now_ms, address);
        } else {
            let action = self.parent.handle_failure(now_ms, address, Failure::Unreachable, &mut self.rng);
            self.execute_parent_action(now_ms, action);
        }
    }

    /// Handles an origin's answer to [`Message::FindParent`].
    pub(super) fn on_candidates(&mut self, now_ms: f64, from: SocketAddr, candidates: Candidates) {
        let Some(request) = self.parent.find_request(from) else { return };
        let Candidates { relays, kind, limit, ask_origin } = candidates;
        if relays.len() > MAX_ADDRESSES {
            return;
        }
        let ask_origin =
            ask_origin.filter(|origin| !request.redirected && self.parent.known_parents().is_origin(*origin));
        let action = if kind == ListenerKind::Relay {
            self.idle_since_ms = now_ms;
            self.parent.become_relay(now_ms, from, &mut self.rng)
        } else if let Some(origin) = ask_origin {
            Some(self.parent.request_candidates_from(now_ms, origin))
        } else {
            let is_candidate = |relay: &SocketAddr| {
                *relay != self.info.address && !self.parent.known_parents().is_origin(*relay)
            };
            let relays = relays.into_iter().filter(is_candidate).collect();
            self.parent.attach(now_ms, relays, limit, &mut self.rng)
        };
        self.execute_parent_action(now_ms, action);
    }

    pub(super) fn on_attached(&mut self, now_ms: f64, from: SocketAddr, version_info: HeldVersion) {
        if !self.parent.is_attaching_to(from) {
            self.detach_unexpected_parent(from);
            return;
        }
        self.parent.handle_attached(now_ms, from);
        self.reset_parent_state();
        self.report.set_due(now_ms);
        let probe_in_ms = self.rng.random_range(0.5..1.0) * self.config.relay_probe_interval_ms;
        self.freshness.schedule_probe(now_ms + probe_in_ms);
        self.on_version_info(now_ms, from, version_info);
    }

    pub(super) fn on_rejected(&mut self, now_ms: f64, from: SocketAddr) {
        let is_parent = self.parent.is_parent(from);
        let action = match is_parent {
            true => self.parent.reattach(now_ms, from, &mut self.rng),
            false => self.parent.handle_failure(now_ms, from, Failure::Rejected, &mut self.rng),
        };
        if is_parent {
            self.reset_parent_state();
        }
        self.execute_parent_action(now_ms, action);
    }

    /// Updates the list of alternate parents from the parent's message. A relay forwards changed lists to its
    /// children.
    pub(super) fn on_alternates(
        &mut self,
        now_ms: f64,
        from: SocketAddr,
        relays: Vec<SocketAddr>,
        origins: &[SocketAddr],
    ) {
        let is_bounded = relays.len() <= MAX_ADDRESSES && origins.len() <= MAX_ADDRESSES;
        if is_bounded && self.parent.is_parent(from) {
            self.parent.handle_alternates(relays, origins, self.info.address);
            self.send_alternates(now_ms);
        }
    }

    /// Handles an origin's notice that these processes, which were reported as missing, are attached elsewhere.
    pub(super) fn on_relocated(&mut self, from: SocketAddr, names: &[String]) {
        if names.len() <= MAX_NAMES && self.parent.is_parent(from) {
            names.iter().for_each(|name| self.timed_out.remove(name));
            self.report.expedite();
        }
    }

    /// Returns true if this node may follow the parent's `Reattach`: a relay may attach only to an origin, and a leaf
    /// asks an origin for a new parent.
    pub(super) fn accepts_reattach(&self, to: Option<SocketAddr>) -> bool {
        match to {
            Some(origin) => self.parent.is_relay() && self.parent.known_parents().is_origin(origin),
            None => !self.parent.is_relay(),
        }
    }

    /// Handles the parent's instruction to attach elsewhere.
    pub(super) fn on_reattach(&mut self, now_ms: f64, parent: SocketAddr, to: Option<SocketAddr>) {
        if !self.parent.is_parent(parent) {
            return;
        }
        let action = match to {
            Some(origin) => self.parent.move_to(now_ms, origin, &mut self.rng),
            None => self.parent.request_candidates(now_ms),
        };
        self.send(parent, Message::Detach);
        self.reset_parent_state();
        self.execute_parent_action(now_ms, action);
    }

    pub(super) fn on_heartbeat(&mut self, now_ms: f64, from: SocketAddr, version_info: HeldVersion) {
        if self.parent.is_parent(from) || self.origins.contains(from) {
            self.on_version_info(now_ms, from, version_info);
        } else {
            self.detach_unexpected_parent(from);
        }
    }

    /// Records the version information of the parent or of another origin.
    pub(super) fn on_version_info(&mut self, now_ms: f64, from: SocketAddr, version_info: HeldVersion) {
        if self.origins.handle_version_info(now_ms, from, version_info) || !self.parent.is_parent(from) {
            return;
        }
        self.parent.handle_parent_message(now_ms);
        self.freshness.handle_parent_version_info(now_ms, version_info);
    }

    /// Answers a request for the version in force here.
    pub(super) fn on_probe(&mut self, now_ms: f64, from: SocketAddr) {
        if self.may_have_children() {
            let version_info = self.version_info(now_ms);
            self.send(from, Message::ProbeReply(version_info));
        }
    }

    /// Handles the version information sent by the parent, another origin, or a probed process.
    pub(super) fn on_probe_reply(&mut self, now_ms: f64, from: SocketAddr, probed: HeldVersion) {
        if self.parent.is_parent(from) || self.origins.contains(from) {
            return self.on_version_info(now_ms, from, probed);
        }
        let Some(parent) = self.parent.parent().filter(|_| self.freshness.is_probed(from)) else { return };
        let fetch = if self.fetcher.is_idle() { FetchState::Idle } else { FetchState::Pending };
        let own = self.version_info(now_ms);
        let verdict = self.freshness.handle_probe_reply(now_ms, probed, own, fetch, &self.config);
        if verdict == ProbeVerdict::SwitchParent {
            self.parent.prefer(from);
            self.send(parent, Message::Detach);
            self.replace_parent(now_ms, parent);
        }
    }

    /// Detaches from a process that sends this listener data but is not its parent.
    pub(super) fn detach_unexpected_parent(&mut self, from: SocketAddr) {
        let is_expected = self.parent.is_attaching_to(from) || self.parent.is_parent(from);
        if !is_expected && self.role == Role::Listener {
            self.send(from, Message::Detach);
        }
    }
}
