//! What is remembered of invocations so that repeats of them are known: who holds the mark, and its result.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use plovershelf::api::Idempotency;

/// By what a repeat is known: the offering with its ticket, or with what a read is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mark {
    Ticket(usize, Box<str>),
    Read(usize, u64),
}

impl Mark {
    pub fn of(offering: usize, repeats: Idempotency, ticket: Option<&str>, subject: u64) -> Option<Mark> {
        match repeats {
            Idempotency::Keyed => ticket.map(|ticket| Mark::Ticket(offering, ticket.into())),
            Idempotency::Idempotent => (subject != 0).then_some(Mark::Read(offering, subject)),
            Idempotency::NonIdempotent => None,
        }
    }
}

/// What a body says, to tell a repeat from another invocation under the same mark.
pub fn content(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    hasher.finish()
}

/// What is known under the mark of one that came.
#[derive(Debug, PartialEq, Eq)]
pub enum Known {
    Nothing,
    /// It repeats this one.
    Original(u32),
    /// Something else was asked for under this mark, and has run or may have, or not yet.
    Another {
        ran: bool,
    },
}

/// What a repeat finds of the invocation that it repeats.
#[derive(Debug, PartialEq, Eq)]
pub enum Repeated<'a> {
    /// It is still under way.
    Waits,
    Has(&'a [u8]),
    HasNone,
}

enum Standing {
    /// Held or under way; it has run, or may have.
    Open { ran: bool },
    /// It ran to its end at this time; a result may be missing.
    Over { result: Option<Box<[u8]>>, at: f64 },
}

struct Entry {
    holder: u32,
    content: u64,
    until: f64,
    standing: Standing,
    waiting: Vec<u32>,
}

pub struct Remembered {
    entries: BTreeMap<Mark, Entry>,
    /// What waits for holders whose mark another has taken over after their window.
    elsewhere: BTreeMap<u32, Vec<u32>>,
    bytes: usize,
    most: usize,
    most_bytes: usize,
    read_late_ms: f64,
}

impl Remembered {
    /// At most so many marks and so many bytes of results.
    pub fn new(most: usize, most_bytes: usize, read_late_ms: f64) -> Self {
        let (entries, elsewhere) = (BTreeMap::new(), BTreeMap::new());
        Remembered { entries, elsewhere, bytes: 0, most, most_bytes, read_late_ms }
    }

    /// No further mark can be kept.
    pub fn full(&self) -> bool {
        self.entries.len() >= self.most
    }

    pub fn keep(&mut self, mark: Mark, holder: u32, content: u64, until: f64) {
        let standing = Standing::Open { ran: false };
        let entry = Entry { holder, content, until, standing, waiting: Vec::new() };
        if let Some(old) = self.entries.insert(mark, entry) {
            self.bytes -= size(&old.standing);
            // The window is over while the run is not: what waits for it is still told of its end.
            if !old.waiting.is_empty() {
                self.elsewhere.insert(old.holder, old.waiting);
            }
        }
    }

    /// What one that came at `came` with this content finds under its mark.
    pub fn known(&self, mark: &Mark, content: u64, came: f64, ran_counts: bool, share_ms: f64) -> Known {
        let Some(entry) = self.entries.get(mark).filter(|entry| entry.until > came) else {
            return Known::Nothing;
        };
        let (counts, ran) = match &entry.standing {
            Standing::Open { ran } => (true, *ran),
            Standing::Over { result, at } => {
                (ran_counts || (result.is_some() && came - at <= share_ms), true)
            }
        };
        match (counts, entry.content == content) {
            (false, _) => Known::Nothing,
            (true, true) => Known::Original(entry.holder),
            (true, false) => Known::Another { ran },
        }
    }

    pub fn join(&mut self, mark: &Mark, repeat: u32) -> Repeated<'_> {
        match self.entries.get_mut(mark) {
            None => Repeated::HasNone,
            Some(entry) => match &entry.standing {
                Standing::Open { .. } => {
                    entry.waiting.push(repeat);
                    Repeated::Waits
                }
                Standing::Over { result, .. } => result.as_deref().map_or(Repeated::HasNone, Repeated::Has),
            },
        }
    }

    /// A run of it begins.
    pub fn ran(&mut self, mark: &Mark, holder: u32) {
        if let Some(Standing::Open { ran }) = self.held(mark, holder).map(|entry| &mut entry.standing) {
            *ran = true;
        }
    }

    /// It came to its end, with a result or without; what waits for it is handed back. One that never ran is
    /// not remembered any longer.
    pub fn ended(&mut self, mark: &Mark, holder: u32, result: Option<&[u8]>, at: f64) -> Vec<u32> {
        let room = self.bytes + result.map_or(0, <[u8]>::len) <= self.most_bytes;
        let Some(entry) = self.entries.get_mut(mark).filter(|entry| entry.holder == holder) else {
            return self.elsewhere.remove(&holder).unwrap_or_default();
        };
        let Standing::Open { ran } = entry.standing else { return Vec::new() };
        let waiting = std::mem::take(&mut entry.waiting);
        if ran || result.is_some() {
            entry.standing = Standing::Over { result: result.filter(|_| room).map(Box::from), at };
            self.bytes += result.filter(|_| room).map_or(0, <[u8]>::len);
        } else {
            self.entries.remove(mark);
        }
        waiting
    }

    pub fn sweep(&mut self, now: f64) {
        let before = now - self.read_late_ms;
        let stays = |entry: &Entry| entry.until > before || !entry.waiting.is_empty();
        let gone = self.entries.iter().filter(|(_, entry)| !stays(entry));
        self.bytes -= gone.map(|(_, entry)| size(&entry.standing)).sum::<usize>();
        self.entries.retain(|_, entry| stays(entry));
    }

    fn held(&mut self, mark: &Mark, holder: u32) -> Option<&mut Entry> {
        self.entries.get_mut(mark).filter(|entry| entry.holder == holder)
    }
}

fn size(standing: &Standing) -> usize {
    match standing {
        Standing::Over { result: Some(result), .. } => result.len(),
        _ => 0,
    }
}
