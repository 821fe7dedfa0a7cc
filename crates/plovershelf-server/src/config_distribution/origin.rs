//! An origin's side: proposals on their way to the consensus group, what it committed, and the table stored in a folder.
//!
//! | state of a proposal | event | next |
//! | --- | --- | --- |
//! | proposed | the retry interval is over | proposed, to the group once more; a number is committed once |
//! | proposed | its number is committed with its bytes | answered: committed |
//! | proposed | its number is committed with other bytes | answered: rejected, with what took the number |
//! | proposed | a later number is committed | answered: rejected, as its own number's change is not known here |
//! | proposed | the deadline is over | answered: rejected, with what keeps the group from committing |

use plovershelf_cluster::wire::{decode, encode_payload, FrameError};
use plovershelf_config_distribution::{Change, Edit, QuotaTable, Version};

use super::admin::{AdminResponse, ConsensusReport};
use super::storage::TableFile;

/// A proposal is answered within this, whatever came of it: sooner than the link (`links`) and the command give up waiting.
const PROPOSAL_TIMEOUT_MS: f64 = 4000.0;
/// Its way to the leader may be lost, so it is sent again.
const PROPOSAL_RETRY_MS: f64 = 700.0;
/// Proposals that wait for the consensus group at once; more are refused.
const MAX_PROPOSALS: usize = 16;

/// What the consensus group committed last, as the cluster's thread reports it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConsensusState {
    /// The epoch of the consensus group, which grows when the group is founded anew.
    pub epoch: u64,
    /// The newest number; 0 while nothing was committed.
    pub number: u64,
    /// The encoded change of that number.
    pub entry: Vec<u8>,
    /// The name of its leader, where one is known.
    pub leader: Option<String>,
    /// Whether a majority is heard of.
    pub has_quorum: bool,
}

/// What the group committed is no change, as after an entry of another version of the program.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("the council's word {number} can't be read: {source}")]
pub(super) struct UnreadableEntry {
    number: u64,
    source: FrameError,
}

/// Proposes an encoded change for a number to the consensus group. Nothing comes back but the group's state.
pub(crate) type Propose = Box<dyn Fn(u64, Vec<u8>) + Send>;
/// Answers the one who asked.
pub(super) type Respond = Box<dyn FnOnce(AdminResponse)>;

struct Proposal {
    number: u64,
    entry: Vec<u8>,
    deadline_ms: f64,
    retry_at_ms: f64,
    respond: Respond,
}

/// What is committed, and what is proposed.
pub(super) struct Origin {
    propose: Propose,
    consensus: ConsensusState,
    /// The version of what was committed last.
    newest: Version,
    proposals: Vec<Proposal>,
    file: Option<TableFile>,
}

impl Origin {
    pub(super) fn new(propose: Propose, file: Option<TableFile>) -> Self {
        let (consensus, newest) = (ConsensusState::default(), Version::default());
        Origin { propose, consensus, newest, proposals: Vec::new(), file }
    }

    pub(super) fn epoch(&self) -> u64 {
        self.consensus.epoch
    }

    pub(super) fn report(&self) -> ConsensusReport {
        let ConsensusState { number, leader, has_quorum, .. } = &self.consensus;
        ConsensusReport { number: *number, leader: leader.clone(), has_quorum: *has_quorum }
    }

    /// When [`Origin::handle_timeout`] is to be called next.
    pub(super) fn poll_timeout(&self) -> f64 {
        let next_ms = |proposal: &Proposal| proposal.deadline_ms.min(proposal.retry_at_ms);
        self.proposals.iter().map(next_ms).fold(f64::INFINITY, f64::min)
    }

    /// Proposes `change` for the group's next number. It is answered when that number is committed, or at the deadline.
    pub(super) fn propose(&mut self, now_ms: f64, change: &Change, respond: Respond) {
        let (number, entry) = (self.consensus.number + 1, encode_payload(change));
        if let Some(why) = self.refusal(change, entry.len()) {
            return respond(AdminResponse::Rejected(why));
        }
        let (deadline_ms, retry_at_ms) = (now_ms + PROPOSAL_TIMEOUT_MS, now_ms);
        self.proposals.push(Proposal { number, entry, deadline_ms, retry_at_ms, respond });
        self.handle_timeout(now_ms);
    }

    /// Why a change is not proposed at all.
    fn refusal(&self, change: &Change, length: usize) -> Option<String> {
        if self.proposals.len() >= MAX_PROPOSALS {
            return Some(format!(
                "{MAX_PROPOSALS} changes are being agreed on here already; try again in a moment"
            ));
        }
        if change.previous < self.newest {
            return Some(format!(
                "change {} was agreed on and has not come here yet; try again in a moment",
                self.newest.number
            ));
        }
        let max = plovershelf_cluster::MAX_VALUE_BYTES;
        (length > max).then(|| format!("a change of {length} bytes: {max} at most"))
    }

    /// Sends again what is not committed yet, and answers what is late.
    pub(super) fn handle_timeout(&mut self, now_ms: f64) {
        for proposal in &mut self.proposals {
            if proposal.retry_at_ms <= now_ms && now_ms < proposal.deadline_ms {
                proposal.retry_at_ms = now_ms + PROPOSAL_RETRY_MS;
                (self.propose)(proposal.number, proposal.entry.clone());
            }
        }
        for late in self.proposals.extract_if(.., |proposal| proposal.deadline_ms <= now_ms) {
            let why = not_committed(&self.consensus, late.number);
            (late.respond)(AdminResponse::Rejected(why));
        }
    }

    /// The group's state; what it committed that was not known here yet.
    ///
    /// # Errors
    ///
    /// What it committed can't be read.
    pub(super) fn handle_consensus(
        &mut self,
        state: ConsensusState,
    ) -> Option<Result<Change, UnreadableEntry>> {
        let known = (self.consensus.epoch, self.consensus.number);
        let is_new = (state.epoch, state.number) != known && state.number > 0;
        self.consensus = state;
        if !is_new {
            return None;
        }
        let number = self.consensus.number;
        let committed = decode::<Change>(&self.consensus.entry);
        for proposal in self.proposals.extract_if(.., |proposal| proposal.number <= number) {
            let is_own = proposal.number == number && proposal.entry == self.consensus.entry;
            let response = match &committed {
                Ok(change) if is_own => {
                    AdminResponse::Committed(format!("agreed as number {}", change.version.number))
                }
                Ok(change) if proposal.number == number => AdminResponse::Rejected(superseded(change)),
                _ => AdminResponse::Rejected(unknown_outcome(proposal.number, number)),
            };
            (proposal.respond)(response);
        }
        match committed {
            Ok(change) => {
                self.newest = change.version;
                Some(Ok(change))
            }
            Err(source) => Some(Err(UnreadableEntry { number, source })),
        }
    }

    /// Stores what is in force here.
    pub(super) fn store(&mut self, table: &QuotaTable) {
        if let Some(file) = &mut self.file {
            file.store(table);
        }
    }
}

/// To one whose proposal met its deadline.
fn not_committed(consensus: &ConsensusState, number: u64) -> String {
    let why = match consensus {
        ConsensusState { leader: None, .. } => "no leader is known".to_string(),
        ConsensusState { leader: Some(leader), has_quorum: false, .. } => {
            format!("no majority is heard of; {leader} led last")
        }
        ConsensusState { leader: Some(leader), .. } => format!("{leader} leads and did not decide on it"),
    };
    format!(
        "not agreed in {} s: {why}. It may still come into force as number {number}: ask `config history` before it \
         is proposed anew",
        PROPOSAL_TIMEOUT_MS / 1000.0,
    )
}

/// To one whose number went to another change.
fn superseded(change: &Change) -> String {
    let more = match change.edits.len() {
        0 | 1 => String::new(),
        count => format!(" and {} more", count - 1),
    };
    let first = change.edits.first().map_or("nothing".into(), Edit::to_string);
    format!(
        "another change took number {}: {first}{more}; nothing of this one is in force",
        change.version.number
    )
}

/// To one whose number was committed while only a later one came here.
fn unknown_outcome(proposed: u64, committed: u64) -> String {
    format!(
        "number {proposed} is decided on and {committed} too, and which change it was did not come here: ask `config \
         history`"
    )
}

#[cfg(test)]
mod tests;
