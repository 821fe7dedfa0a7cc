//! A source's side: proposals on their way to the council, the council's word, and the content kept in a folder.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

use async_channel::Sender;
use plovershelf_cluster::frames::{decode, framed, plain, unframed};
use plovershelf_config_distribution::quota_table::{Building, Content, Edit, Numbered, Version};

use super::admin::{Council, Told};
use crate::group;

/// A proposal is answered within this, whatever came of it.
const PATIENCE_MS: f64 = 4000.0;
/// Its way to the leader may be lost, so it is said again; a number is decided once.
const AGAIN_MS: f64 = 700.0;
const PROPOSALS_MOST: usize = 16;

/// What the council has said last, as the group's thread tells it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Word {
    pub era: u64,
    /// 0 while nothing was agreed on.
    pub number: u64,
    pub bytes: Vec<u8>,
    pub leader: Option<String>,
    /// A majority is heard of.
    pub agrees: bool,
}

struct Proposal {
    number: u64,
    bytes: Vec<u8>,
    until: f64,
    again_at: f64,
    answer: Answerer,
}

/// Answers one who asked.
pub(super) type Answerer = Box<dyn FnOnce(Told)>;

pub struct Source {
    council: Sender<group::Incoming>,
    pub word: Word,
    /// The version that the council's word has.
    pub newest: Version,
    proposals: Vec<Proposal>,
    /// Where the content is kept.
    file: Option<PathBuf>,
    file_fails: bool,
}

fn what(change: &Numbered) -> String {
    let more = match change.edits.len() {
        0 | 1 => String::new(),
        count => format!(" and {} more", count - 1),
    };
    change.edits.first().map_or("nothing".into(), Edit::to_string) + &more
}

impl Source {
    pub fn new(council: Sender<group::Incoming>, file: Option<PathBuf>) -> Self {
        let (word, newest) = (Word::default(), Version::default());
        Source { council, word, newest, proposals: Vec::new(), file, file_fails: false }
    }

    pub fn next_at(&self) -> f64 {
        self.proposals.iter().map(|p| p.until.min(p.again_at)).fold(f64::INFINITY, f64::min)
    }

    pub fn council(&self) -> Council {
        let Word { number, leader, agrees, .. } = &self.word;
        Council { number: *number, leader: leader.clone(), agrees: *agrees }
    }

    /// `change` is to get the council's next number; answered when that number is decided on, or too late.
    pub fn propose(&mut self, now: f64, change: &Numbered, answer: Answerer) {
        if self.proposals.len() >= PROPOSALS_MOST {
            return answer(Told::Refused(format!(
                "{PROPOSALS_MOST} changes are being agreed on here already; try again in a moment"
            )));
        }
        if change.before < self.newest {
            return answer(Told::Refused(format!(
                "change {} was agreed on and has not come here yet; try again in a moment",
                self.newest.number
            )));
        }
        let (number, bytes) = (self.word.number + 1, plain(change));
        let most = plovershelf_cluster::decided::WORD_BYTES_MOST;
        if bytes.len() > most {
            let length = bytes.len();
            return answer(Told::Refused(format!("a change of {length} bytes: {most} at most")));
        }
        let (until, again_at) = (now + PATIENCE_MS, now);
        self.proposals.push(Proposal { number, bytes, until, again_at, answer });
        self.tick(now);
    }

    pub fn tick(&mut self, now: f64) {
        for proposal in self.proposals.iter_mut().filter(|p| p.again_at <= now && now < p.until) {
            proposal.again_at = now + AGAIN_MS;
            let (number, bytes) = (proposal.number, proposal.bytes.clone());
            let _ = self.council.try_send(group::Incoming::Propose { number, bytes });
        }
        for late in self.proposals.extract_if(.., |p| p.until <= now) {
            let why = match &self.word {
                Word { leader: None, .. } => "no leader is known".to_string(),
                Word { leader: Some(leader), agrees: false, .. } => {
                    format!("no majority is heard of; {leader} led last")
                }
                Word { leader: Some(leader), .. } => format!("{leader} leads and did not decide on it"),
            };
            (late.answer)(Told::Refused(format!(
                "not agreed in {} s: {why}. It may still come into force as number {}: ask `config history` before it \
                 is proposed anew",
                PATIENCE_MS / 1000.0,
                late.number
            )));
        }
    }

    /// The council's word; what it decided that was not known here yet.
    pub fn hear(&mut self, word: Word) -> Option<Result<Numbered, String>> {
        let new = (word.era, word.number) != (self.word.era, self.word.number) && word.number > 0;
        self.word = word;
        if !new {
            return None;
        }
        let number = self.word.number;
        let decided = decode::<Numbered>(&self.word.bytes);
        for over in self.proposals.extract_if(.., |p| p.number <= number) {
            let told = match &decided {
                Ok(change) if over.number == number && over.bytes == self.word.bytes => {
                    Told::Done(format!("agreed as number {}", change.version.number))
                }
                Ok(change) if over.number == number => Told::Refused(format!(
                    "another change took number {}: {}; nothing of this one is in force",
                    change.version.number,
                    what(change)
                )),
                _ => Told::Refused(format!(
                    "number {} is decided on and {number} too, and which change it was did not come here: ask `config \
                     history`",
                    over.number
                )),
            };
            (over.answer)(told);
        }
        match decided {
            Ok(change) => {
                self.newest = change.version;
                Some(Ok(change))
            }
            Err(spoilt) => Some(Err(format!("the council's word {number} can't be read: {spoilt}"))),
        }
    }

    /// Keeps what is in force here, so that it is there when all sources start at once.
    pub fn keep(&mut self, content: &Content) {
        let Some(file) = &self.file else { return };
        match keep(file, content) {
            Ok(()) => self.file_fails = false,
            Err(error) if !self.file_fails => {
                self.file_fails = true;
                let file = file.display();
                tracing::error!(
                    event = "content_not_kept",
                    "{file}: {error}; what is in force is held in memory alone"
                );
            }
            Err(_) => {}
        }
    }
}

/// Of the file: the longest content with room to spare.
const LONGEST: u64 = 16 << 20;

/// A frame with version and digest, then the entries in parts.
fn keep(file: &Path, content: &Content) -> std::io::Result<()> {
    let beside = file.with_extension("new");
    let mut new = File::create(&beside)?;
    new.write_all(&framed(&plain(&(content.version(), content.digest()))))?;
    let (mut after, mut last) = (None::<String>, false);
    while !last {
        let (entries, ends) = content.part(after.as_deref());
        new.write_all(&framed(&plain(&entries)))?;
        after = entries.last().map(|(name, _)| name.clone()).or(after);
        last = ends;
    }
    new.sync_all()?;
    std::fs::rename(&beside, file)
}

/// What an earlier start kept.
///
/// Errors: the file is there and can't be used, in one line.
pub(super) fn kept(file: &Path) -> Result<Option<Content>, String> {
    let shown = file.display();
    let bytes = match std::fs::metadata(file) {
        Ok(about) if about.len() > LONGEST => return Err(format!("{shown}: longer than {LONGEST} bytes")),
        Ok(_) => std::fs::read(file).map_err(|error| format!("{shown}: {error}"))?,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(format!("{shown}: {error}")),
    };
    read(&bytes)
        .map(Some)
        .map_err(|what| format!("{shown}: {what}; move it away to begin from the others' content"))
}

fn read(mut bytes: &[u8]) -> Result<Content, String> {
    let mut next = || {
        let (content, used) =
            unframed(bytes).map_err(|spoilt| spoilt.to_string())?.ok_or("it ends too early")?;
        bytes = &bytes[used..];
        Ok::<_, String>((content, bytes.is_empty()))
    };
    let (version, digest): (Version, u128) = decode(next()?.0).map_err(|spoilt| spoilt.to_string())?;
    let mut building = Building::new(version, digest);
    loop {
        let (content, last) = next()?;
        building.add(decode(content).map_err(|spoilt| spoilt.to_string())?)?;
        if last {
            return building.finish();
        }
    }
}

#[cfg(test)]
mod tests;
