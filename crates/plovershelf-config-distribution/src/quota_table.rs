//! What is carried: each tenant's quota, changed by numbered differences.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::broken::{self, Broken};

pub const TENANTS_MOST: usize = 100_000;
/// Bytes of a tenant's name.
pub const NAME_MOST: usize = 64;
/// Requests a second.
pub const QUOTA_MOST: f64 = 1e9;
/// Bytes of a change as it is agreed on.
pub const CHANGE_BYTES_MOST: usize = 64 << 10;
/// Bytes of a part of the whole.
pub const PART_BYTES: usize = 32 << 10;
const HISTORY_MOST: usize = 256;
const HISTORY_BYTES_MOST: usize = 256 << 10;
/// Bytes that a change takes at most beside its edits.
const FRAME_BYTES: usize = 96;

/// The council's era first, then the number that goes up by one with each change. Later is greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    pub era: u64,
    pub number: u64,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// A tenant that a new quota is told for, or one that goes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Edit {
    /// For one that is known.
    Set {
        tenant: String,
        quota_per_s: f64,
    },
    /// For one that is new.
    Add {
        tenant: String,
        quota_per_s: f64,
    },
    Remove {
        tenant: String,
    },
}

impl Edit {
    pub fn tenant(&self) -> &str {
        match self {
            Edit::Set { tenant, .. } | Edit::Add { tenant, .. } | Edit::Remove { tenant } => tenant,
        }
    }
    pub fn quota_per_s(&self) -> Option<f64> {
        match self {
            Edit::Set { quota_per_s, .. } | Edit::Add { quota_per_s, .. } => Some(*quota_per_s),
            Edit::Remove { .. } => None,
        }
    }
    /// Encoded, at most: its kind, the name's length, the name and the quota.
    fn bytes(&self) -> usize {
        self.tenant().len() + 11
    }
}

impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Edit::Set { tenant, quota_per_s } => write!(f, "set {} to {quota_per_s}", shown(tenant)),
            Edit::Add { tenant, quota_per_s } => write!(f, "add {} with {quota_per_s}", shown(tenant)),
            Edit::Remove { tenant } => write!(f, "remove {}", shown(tenant)),
        }
    }
}

/// Never more than a line, whatever came.
fn shown(tenant: &str) -> String {
    let cut: String = tenant.chars().take(NAME_MOST + 1).collect();
    format!("{cut:?}")
}

/// A change with its number: follows on `before`, and what it comes to has `digest`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Numbered {
    pub version: Version,
    pub before: Version,
    pub digest: u128,
    pub edits: Vec<Edit>,
    /// When it was proposed, in Unix milliseconds, for people; nothing is decided by it.
    pub proposed_ms: u64,
}

impl Numbered {
    /// Encoded, at most.
    pub fn bytes(&self) -> usize {
        FRAME_BYTES + self.edits.iter().map(Edit::bytes).sum::<usize>()
    }
}

/// Why a change was not taken.
#[derive(Clone, Debug, PartialEq)]
pub enum Unfit {
    /// Does not follow on what is held.
    Gap,
    /// Comes to something else than it says.
    Digest,
    Edit(String),
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unfit::Gap => write!(f, "does not follow on what is in force"),
            Unfit::Digest => write!(f, "comes to another content than its digest says"),
            Unfit::Edit(why) => write!(f, "{why}"),
        }
    }
}

/// All that is in force at a version. It takes 82 bytes a tenant with names of 12 bytes, 88 with names of 23: 2.8 MB for 34,000.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Content {
    version: Version,
    digest: u128,
    quotas: BTreeMap<Box<str>, f64>,
}

impl Content {
    /// What a process begins from before any change: the list of its file.
    ///
    /// Errors: one line that names the tenant and the figure that can't be.
    pub fn initial<N: Into<Box<str>>>(list: impl IntoIterator<Item = (N, f64)>) -> Result<Content, String> {
        let mut content = Content::default();
        for (name, quota) in list {
            let name = name.into();
            check_name(&name)?;
            check_quota(&name, quota)?;
            if content.quotas.len() == TENANTS_MOST {
                return Err(format!("tenant {}: the list is full at {TENANTS_MOST} tenants", shown(&name)));
            }
            let shown = shown(&name);
            if !content.put(name, quota) {
                return Err(format!("tenant {shown}: named twice; name it once"));
            }
        }
        Ok(content)
    }
    pub fn version(&self) -> Version {
        self.version
    }
    pub fn digest(&self) -> u128 {
        self.digest
    }
    pub fn len(&self) -> usize {
        self.quotas.len()
    }
    pub fn is_empty(&self) -> bool {
        self.quotas.is_empty()
    }
    pub fn quota(&self, tenant: &str) -> Option<f64> {
        self.quotas.get(tenant).copied()
    }
    /// By name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, f64)> {
        self.quotas.iter().map(|(name, quota)| (&**name, *quota))
    }
    /// The digest after these edits; nothing is changed.
    ///
    /// Errors: one line that names the edit, its figure and what would be right.
    pub fn check(&self, edits: &[Edit]) -> Result<u128, String> {
        if edits.is_empty() {
            return Err("a change with no edit; name at least one tenant".to_string());
        }
        let bytes = FRAME_BYTES + edits.iter().map(Edit::bytes).sum::<usize>();
        if bytes > CHANGE_BYTES_MOST {
            return Err(format!(
                "{} edits of {bytes} bytes; a change holds {CHANGE_BYTES_MOST} bytes at most, propose it in several",
                edits.len()
            ));
        }
        let mut named = BTreeSet::new();
        let mut digest = self.digest;
        let mut tenants = self.quotas.len();
        for (at, edit) in edits.iter().enumerate() {
            let wrong = |why: String| format!("edit {}, {edit}: {why}", at + 1);
            let tenant = edit.tenant();
            check_name(tenant).map_err(wrong)?;
            if let Some(quota) = edit.quota_per_s() {
                check_quota(tenant, quota).map_err(wrong)?;
            }
            if !named.insert(tenant) {
                return Err(wrong("the tenant is named twice in one change; name it once".to_string()));
            }
            let held = self.quota(tenant);
            match (edit, held) {
                (Edit::Add { .. }, Some(quota)) => {
                    return Err(wrong(format!("the tenant is known, with {quota}; set it instead")));
                }
                (Edit::Add { .. }, None) => tenants += 1,
                (Edit::Set { .. }, None) => {
                    return Err(wrong("no such tenant; add it instead".to_string()));
                }
                (Edit::Remove { .. }, None) => {
                    return Err(wrong("no such tenant; name one that is known".to_string()));
                }
                (Edit::Remove { .. }, Some(_)) => tenants -= 1,
                (Edit::Set { .. }, Some(_)) => {}
            }
            if let Some(quota) = held {
                digest = digest.wrapping_sub(entry_digest(tenant, quota));
            }
            if let Some(quota) = edit.quota_per_s() {
                digest = digest.wrapping_add(entry_digest(tenant, quota));
            }
        }
        if tenants > TENANTS_MOST {
            return Err(format!(
                "{tenants} tenants after this change; {TENANTS_MOST} at most, remove some first"
            ));
        }
        Ok(digest)
    }
    /// Whole or not at all: one that does not fit changes nothing.
    pub fn apply(&mut self, change: &Numbered) -> Result<(), Unfit> {
        let follows = change.before == self.version && change.version > self.version;
        let any = broken::is(Broken::VersionNotCompared);
        if !follows && !any {
            return Err(Unfit::Gap);
        }
        if !any && !broken::is(Broken::EditsNotChecked) {
            let digest = self.check(&change.edits).map_err(Unfit::Edit)?;
            if digest != change.digest && !broken::is(Broken::DigestNotChecked) {
                return Err(Unfit::Digest);
            }
        }
        for edit in &change.edits {
            match edit.quota_per_s() {
                Some(quota) => {
                    self.remove(edit.tenant());
                    self.put(edit.tenant().into(), quota);
                }
                None => self.remove(edit.tenant()),
            }
        }
        self.version = change.version;
        Ok(())
    }
    /// The next entries by name, as many as make a part, and whether they are the last.
    pub fn part(&self, after: Option<&str>) -> (Vec<(String, f64)>, bool) {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut bytes = 0;
        let mut entries = Vec::new();
        for (name, quota) in self.quotas.range::<str, _>((from, Bound::Unbounded)) {
            bytes += name.len() + 10;
            if bytes > PART_BYTES {
                return (entries, false);
            }
            entries.push((name.to_string(), *quota));
        }
        (entries, true)
    }
    fn put(&mut self, name: Box<str>, quota: f64) -> bool {
        let digest = entry_digest(&name, quota);
        let new = self.quotas.insert(name, quota).is_none();
        if new {
            self.digest = self.digest.wrapping_add(digest);
        }
        new
    }
    fn remove(&mut self, name: &str) {
        if let Some(quota) = self.quotas.remove(name) {
            self.digest = self.digest.wrapping_sub(entry_digest(name, quota));
        }
    }
}

fn check_name(name: &str) -> Result<(), String> {
    if name.is_empty() {
        return Err("a tenant with no name; 1 to 64 bytes would be right".to_string());
    }
    if name.len() > NAME_MOST {
        return Err(format!("a tenant's name of {} bytes; {NAME_MOST} at most", name.len()));
    }
    if name.chars().any(char::is_control) {
        return Err(format!("the tenant's name {} holds a control character; leave it out", shown(name)));
    }
    Ok(())
}

fn check_quota(name: &str, quota: f64) -> Result<(), String> {
    if quota.is_finite() && (0.0..=QUOTA_MOST).contains(&quota) {
        return Ok(());
    }
    Err(format!(
        "a quota of {quota} for tenant {}; 0 to {QUOTA_MOST} requests a second would be right",
        shown(name)
    ))
}

/// Summed over all entries, so an edit changes the sum by its own entry alone.
fn entry_digest(name: &str, quota: f64) -> u128 {
    let mut bytes = [0; NAME_MOST + 8];
    let length = name.len().min(NAME_MOST);
    bytes[..8].copy_from_slice(&quota.to_bits().to_le_bytes());
    bytes[8..8 + length].copy_from_slice(&name.as_bytes()[..length]);
    xxh3_128(&bytes[..8 + length])
}

/// The whole of a version as it comes in parts, beside what is in force until its digest fits. At any time it is what the
/// version holds up to the last name that came: a change on the way is applied to that much, so that a sender whose version
/// moves on need not begin anew.
#[derive(Clone, Debug)]
pub struct Building {
    pub version: Version,
    pub digest: u128,
    after: Option<String>,
    content: Content,
}

impl Building {
    pub fn new(version: Version, digest: u128) -> Self {
        Building { version, digest, after: None, content: Content::default() }
    }
    /// The name that the next part follows on.
    pub fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }
    /// Errors: one line that names the entry that can't be.
    pub fn add(&mut self, entries: Vec<(String, f64)>) -> Result<(), String> {
        for (name, quota) in entries {
            check_name(&name)?;
            check_quota(&name, quota)?;
            if self.after().is_some_and(|last| *name <= *last) {
                return Err(format!("tenant {} out of its order", shown(&name)));
            }
            if self.content.len() == TENANTS_MOST {
                return Err(format!("more than {TENANTS_MOST} tenants"));
            }
            self.content.put(name.as_str().into(), quota);
            self.after = Some(name);
        }
        Ok(())
    }
    /// The version that is sent moved on. What does not follow on it is left out; the digest at the end tells.
    pub fn change(&mut self, change: &Numbered) {
        if change.before != self.version || change.version <= self.version {
            return;
        }
        for edit in &change.edits {
            let tenant = edit.tenant();
            if self.after().is_none_or(|last| tenant > last) {
                continue;
            }
            self.content.remove(tenant);
            if let Some(quota) = edit.quota_per_s().filter(|quota| check_quota(tenant, *quota).is_ok()) {
                self.content.put(tenant.into(), quota);
            }
        }
        self.version = change.version;
        self.digest = change.digest;
    }
    /// Errors: the digest is another than was said.
    pub fn finish(self) -> Result<Content, String> {
        if self.content.digest != self.digest && !broken::is(Broken::DigestNotChecked) {
            return Err(format!("the whole of {} has another digest than was said", self.version));
        }
        Ok(Content { version: self.version, ..self.content })
    }
}

/// The last changes, bounded by count and bytes, each following on the one before.
#[derive(Clone, Debug, Default)]
pub struct History {
    changes: VecDeque<Numbered>,
    bytes: usize,
}

impl History {
    pub fn push(&mut self, change: Numbered) {
        if self.changes.back().is_some_and(|last| last.version != change.before) {
            self.clear();
        }
        self.bytes += change.bytes();
        self.changes.push_back(change);
        while self.changes.len() > HISTORY_MOST || self.bytes > HISTORY_BYTES_MOST {
            let Some(oldest) = self.changes.pop_front() else { break };
            self.bytes -= oldest.bytes();
        }
    }
    pub fn clear(&mut self) {
        self.changes.clear();
        self.bytes = 0;
    }
    /// All after this version; none where it does not reach back that far.
    pub fn after(&self, version: Version) -> Option<impl Iterator<Item = &Numbered>> {
        let at = self.changes.partition_point(|change| change.before < version);
        let from = self.changes.get(at).filter(|change| change.before == version)?;
        debug_assert!(from.version > version);
        Some(self.changes.range(at..))
    }
    pub fn at(&self, version: Version) -> Option<&Numbered> {
        let at = self.changes.partition_point(|change| change.version < version);
        self.changes.get(at).filter(|change| change.version == version)
    }
    pub fn iter(&self) -> impl Iterator<Item = &Numbered> {
        self.changes.iter()
    }
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
