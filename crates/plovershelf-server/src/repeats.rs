//! What is remembered of invocations so that repeats of them are known: who holds the mark, and its result.

use std::collections::BTreeMap;

use plovershelf::interface::Repeats;

/// By what a repeat is known: the offering with its ticket, or with what a read is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mark {
    Ticket(usize, Box<str>),
    Read(usize, u64),
}

impl Mark {
    pub fn of(offering: usize, repeats: Repeats, ticket: Option<&str>, subject: u64) -> Option<Mark> {
        match repeats {
            Repeats::Ticketed => ticket.map(|ticket| Mark::Ticket(offering, ticket.into())),
            Repeats::Rerunnable => (subject != 0).then_some(Mark::Read(offering, subject)),
            Repeats::Exclusive => None,
        }
    }
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
    until: f64,
    standing: Standing,
    waiting: Vec<u32>,
}

pub struct Remembered {
    entries: BTreeMap<Mark, Entry>,
    bytes: usize,
    most_bytes: usize,
    read_late_ms: f64,
}

impl Remembered {
    pub fn new(most_bytes: usize, read_late_ms: f64) -> Self {
        Remembered { entries: BTreeMap::new(), bytes: 0, most_bytes, read_late_ms }
    }

    pub fn keep(&mut self, mark: Mark, holder: u32, until: f64) {
        let standing = Standing::Open { ran: false };
        let entry = Entry { holder, until, standing, waiting: Vec::new() };
        if let Some(old) = self.entries.insert(mark, entry) {
            self.bytes -= size(&old.standing);
        }
    }

    /// The invocation that one which came at `came` repeats.
    pub fn original(&self, mark: &Mark, came: f64, ran_counts: bool, share_ms: f64) -> Option<u32> {
        let entry = self.entries.get(mark).filter(|entry| entry.until > came)?;
        let repeats = match &entry.standing {
            Standing::Open { .. } => true,
            Standing::Over { result, at } => ran_counts || (result.is_some() && came - at <= share_ms),
        };
        repeats.then_some(entry.holder)
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
        let Some(entry) = self.held(mark, holder) else { return Vec::new() };
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
