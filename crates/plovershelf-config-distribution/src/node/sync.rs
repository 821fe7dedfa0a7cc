//! Deltas and snapshots: serving the requests of other processes, and fetching and applying missing data.

use std::net::SocketAddr;

use super::{Event, Node, Role, Warning};
use crate::broken::{self, Broken};
use crate::change::Change;
use crate::entry::MAX_NAME_BYTES;
use crate::fetch::{ChunkOutcome, ReceivedChunk};
use crate::message::{HeldVersion, Message};
use crate::quota_table::{ApplyError, Chunk, QuotaTable};
use crate::version::Version;

impl Node {
    /// Returns true if this process may request deltas and snapshots: a child, another origin, or the parent. The
    /// parent is included because an origin that starts from an empty state fetches from its relays.
    fn may_request_data(&self, from: SocketAddr) -> bool {
        self.fan_out.contains(from) || self.origins.contains(from) || self.parent.is_parent(from)
    }

    pub(super) fn on_sync_request(&mut self, now_ms: f64, from: SocketAddr, requester: HeldVersion) {
        if !self.may_request_data(from) {
            return;
        }
        let own = self.version_info(now_ms);
        let is_same = (requester.version, requester.short_digest) == (own.version, own.short_digest);
        if requester.version > own.version || is_same {
            self.send(from, Message::ProbeReply(own));
        } else if !self.send_delta(from, requester.version) {
            self.send_chunk(from, None);
        }
    }

    /// Sends the next chunk of the snapshot, preceded by the changes since the last chunk. Sends the first chunk of
    /// the current snapshot if the change log does not reach back far enough.
    pub(super) fn on_chunk_request(&mut self, from: SocketAddr, version: Version, after: Option<String>) {
        if !self.may_request_data(from) || after.as_ref().is_some_and(|after| after.len() > MAX_NAME_BYTES) {
            return;
        }
        let is_current = version == self.store.version();
        let continues = after.is_some() && (is_current || self.send_delta(from, version));
        self.send_chunk(from, after.filter(|_| continues));
    }

    /// Sends all changes after a version. Returns false if the change log does not reach back to that version.
    fn send_delta(&mut self, to: SocketAddr, after: Version) -> bool {
        let Some(batches) = self.store.delta_batches(after) else { return false };
        for changes in batches {
            self.send(to, Message::Delta(changes));
        }
        true
    }

    fn send_chunk(&mut self, to: SocketAddr, after: Option<String>) {
        let Chunk { entries, is_last } = self.table().chunk(after.as_deref());
        let (version, digest) = (self.store.version(), self.table().digest());
        self.send(to, Message::SnapshotChunk { version, digest, after, entries, is_last });
    }

    /// Returns the address of a process that has data which is missing here.
    pub(super) fn fetch_target(&self) -> Option<SocketAddr> {
        match self.role {
            Role::Origin => self.origin_fetch_target(),
            Role::Listener => self.parent.parent().filter(|_| {
                self.freshness.parent_version_info().is_some_and(|version_info| self.is_behind(version_info))
            }),
        }
    }

    /// Returns true if the parent has a later version, or if both are at the initial version with different tables.
    fn is_behind(&self, version_info: &HeldVersion) -> bool {
        let own = self.store.version();
        let initial_tables_differ =
            own == Version::default() && version_info.short_digest != self.store.short_digest();
        version_info.version > own || (version_info.version == own && initial_tables_differ)
    }

    /// Returns another origin that is ahead. If there is none and this origin is at the initial version, returns the
    /// relay with the newest version.
    ///
    /// The second case covers a restart of all origins without stored state. After it, an origin never fetches from a
    /// relay, since only origins know which changes are committed.
    fn origin_fetch_target(&self) -> Option<SocketAddr> {
        let own = self.store.version();
        if let Some(origin) = self.origins.ahead_of(own) {
            return Some(origin);
        }
        let is_at_initial_version = own == Version::default();
        let children = self.fan_out.children().iter();
        let ahead = children.filter(|child| is_at_initial_version && child.aggregate.version > own);
        ahead.max_by_key(|child| child.aggregate.version).map(|child| child.address)
    }

    /// Requests missing data if no request is pending. Handles the timeout of the pending request first.
    pub(super) fn fetch_missing(&mut self, now_ms: f64) {
        if let Some(failed) = self.fetcher.handle_timeout(now_ms) {
            self.origins.clear_version_info(failed.from);
            if failed.limit_reached && self.parent.is_parent(failed.from) {
                self.send(failed.from, Message::Detach);
                self.replace_parent(now_ms, failed.from);
            }
        }
        if !self.fetcher.is_ready(now_ms) {
            return;
        }
        if let Some(from) = self.fetch_target() {
            let version_info = self.version_info(now_ms);
            self.send(from, Message::SyncRequest(version_info));
            self.fetcher.begin(now_ms, from);
        }
    }

    pub(super) fn on_delta(&mut self, now_ms: f64, from: SocketAddr, changes: Vec<Change>) {
        let is_parent = self.parent.is_parent(from);
        if self.role == Role::Listener && !is_parent {
            self.detach_unexpected_parent(from);
            return;
        }
        let was_requested = self.fetcher.is_waiting_for(from);
        if !is_parent && !was_requested && !self.origins.contains(from) {
            return;
        }
        self.parent.handle_message_from(now_ms, from);
        for change in changes {
            if let Err(warning) = self.handle_change(now_ms, from, change) {
                self.warn(warning);
                self.request_snapshot(now_ms, from);
                return;
            }
        }
        if was_requested {
            self.fetcher.handle_delta_complete();
        }
    }

    /// Applies a received change. Ignores a known change and one that leaves a gap; the gap triggers a separate
    /// request.
    fn handle_change(&mut self, now_ms: f64, from: SocketAddr, change: Change) -> Result<(), Warning> {
        self.fetcher.handle_change(from, &change);
        let version = change.version;
        if version <= self.store.version() && !broken::is(Broken::VersionNotCompared) {
            self.check_known_change(&change);
            return Ok(());
        }
        if self.parent.is_parent(from) {
            self.freshness.handle_parent_change(version, change.digest as u64);
        }
        match self.apply(now_ms, change) {
            Ok(()) | Err(ApplyError::Gap) => Ok(()),
            Err(error) => Err(Warning::ChangeNotApplied { version, from, error }),
        }
    }

    /// Warns if a change for a version in force, or an earlier one, has another digest than the known change.
    pub(super) fn check_known_change(&mut self, change: &Change) {
        if self.store.conflicts_with(change) {
            self.warn(Warning::ConflictingChange(change.version));
        }
    }

    pub(super) fn apply(&mut self, now_ms: f64, change: Change) -> Result<(), ApplyError> {
        let version = change.version;
        let edits = self.store.apply(change)?;
        self.actions.events.push(Event::DeltaApplied { version, edits });
        self.on_table_changed(now_ms);
        Ok(())
    }

    fn on_table_changed(&mut self, now_ms: f64) {
        self.fan_out.schedule_flush(now_ms);
        self.report.expedite();
    }

    fn request_snapshot(&mut self, now_ms: f64, from: SocketAddr) {
        self.send(from, Message::ChunkRequest { version: self.store.version(), after: None });
        self.fetcher.begin(now_ms, from);
    }

    pub(super) fn on_chunk(&mut self, now_ms: f64, from: SocketAddr, chunk: ReceivedChunk) {
        let version = chunk.version;
        match self.fetcher.handle_chunk(now_ms, from, chunk, &mut self.rng) {
            ChunkOutcome::Ignored | ChunkOutcome::Abandoned => return,
            ChunkOutcome::RequestNext { version, after } => {
                self.send(from, Message::ChunkRequest { version, after });
            }
            ChunkOutcome::Complete(table) => self.install_snapshot(now_ms, table),
            ChunkOutcome::InvalidChunk(error) => {
                self.warn(Warning::InvalidChunk { version, from, error });
            }
            ChunkOutcome::InvalidTable(error) => self.warn(Warning::InvalidSnapshot { from, error }),
        }
        self.parent.handle_message_from(now_ms, from);
    }

    /// Installs a complete snapshot if it is later than the table in force, or if both are at the initial version and
    /// the table of the origins replaces this one.
    fn install_snapshot(&mut self, now_ms: f64, table: QuotaTable) {
        let own = self.store.version();
        let replaces_initial_table = own == Version::default() && table.version() == own;
        if table.version() <= own && !replaces_initial_table {
            return;
        }
        self.fetcher.handle_success();
        let version = table.version();
        self.store.replace(table);
        self.actions.events.push(Event::SnapshotApplied { version });
        self.on_table_changed(now_ms);
    }
}
