//! State of an origin: proposals to the consensus group, committed changes and the stored table.
//!
//! | state of a proposal | event | next state |
//! | --- | --- | --- |
//! | proposed | the retry interval passes | proposed again to the group, which commits each number only once |
//! | proposed | its number is committed with its content | answered: committed |
//! | proposed | its number is committed with other content | answered: rejected, with the change that has the number |
//! | proposed | a later number is committed | answered: rejected, because the change of its own number is unknown here |
//! | proposed | the deadline passes | answered: rejected, with the reason for which the group can't commit |

use plovershelf_cluster::wire::{decode, encode_payload, FrameError};
use plovershelf_config_distribution::{Change, Edit, QuotaTable, Version};

use super::admin::{AdminResponse, ConsensusReport};
use super::storage::TableFile;

/// Time within which a proposal is answered: less than the timeouts of the link (`links`) and of the command.
const PROPOSAL_TIMEOUT_MS: f64 = 4000.0;
/// Interval at which a proposal is repeated, because the message to the leader may be lost.
const PROPOSAL_RETRY_MS: f64 = 700.0;
/// Maximum number of pending proposals; further ones are rejected.
const MAX_PROPOSALS: usize = 16;

/// State of the consensus group with its newest commit, as the cluster's thread reports it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConsensusState {
    /// Epoch of the consensus group; each recovery of the group increments it.
    pub epoch: u64,
    /// Newest committed number, or 0 before the first commit.
    pub number: u64,
    /// Encoded change of that number.
    pub entry: Vec<u8>,
    /// Name of the leader, if one is known.
    pub leader: Option<String>,
    /// True if the leader is in contact with a majority.
    pub has_quorum: bool,
}

/// Error of decoding a committed change, for instance one that another version of the program encoded.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("committed change {number} can't be decoded: {source}")]
pub(super) struct UndecodableEntry {
    number: u64,
    source: FrameError,
}

/// Proposes an encoded change under a number to the consensus group. The result is visible only in the group's
/// reported state.
pub(crate) type Propose = Box<dyn Fn(u64, Vec<u8>) + Send>;
/// Sends the answer to an operator's command.
pub(super) type Respond = Box<dyn FnOnce(AdminResponse)>;

struct Proposal {
    number: u64,
    entry: Vec<u8>,
    deadline_ms: f64,
    retry_at_ms: f64,
    respond: Respond,
}

/// Committed state and pending proposals of an origin.
pub(super) struct Origin {
    propose: Propose,
    consensus: ConsensusState,
    /// Version of the newest committed change.
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

    /// Returns the time at which [`Origin::handle_timeout`] is next due.
    pub(super) fn poll_timeout(&self) -> f64 {
        let next_ms = |proposal: &Proposal| proposal.deadline_ms.min(proposal.retry_at_ms);
        self.proposals.iter().map(next_ms).fold(f64::INFINITY, f64::min)
    }

    /// Proposes `change` under the group's next number. It is answered when that number is committed or the deadline
    /// passes.
    pub(super) fn propose(&mut self, now_ms: f64, change: &Change, respond: Respond) {
        let (number, entry) = (self.consensus.number + 1, encode_payload(change));
        if let Some(reason) = self.rejection_reason(change, entry.len()) {
            return respond(AdminResponse::Rejected(reason));
        }
        let (deadline_ms, retry_at_ms) = (now_ms + PROPOSAL_TIMEOUT_MS, now_ms);
        self.proposals.push(Proposal { number, entry, deadline_ms, retry_at_ms, respond });
        self.handle_timeout(now_ms);
    }

    /// Returns the reason for which a change is rejected without being proposed.
    fn rejection_reason(&self, change: &Change, length: usize) -> Option<String> {
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

    /// Repeats pending proposals that are due, and rejects those whose deadline has passed.
    pub(super) fn handle_timeout(&mut self, now_ms: f64) {
        for proposal in &mut self.proposals {
            if proposal.retry_at_ms <= now_ms && now_ms < proposal.deadline_ms {
                proposal.retry_at_ms = now_ms + PROPOSAL_RETRY_MS;
                (self.propose)(proposal.number, proposal.entry.clone());
            }
        }
        for expired in self.proposals.extract_if(.., |proposal| proposal.deadline_ms <= now_ms) {
            let reason = not_committed(&self.consensus, expired.number);
            (expired.respond)(AdminResponse::Rejected(reason));
        }
    }

    /// Handles a new state of the group, and answers proposals whose number is committed. Returns the newly committed
    /// change, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if the committed change can't be decoded.
    pub(super) fn handle_consensus(
        &mut self,
        state: ConsensusState,
    ) -> Option<Result<Change, UndecodableEntry>> {
        let previous = (self.consensus.epoch, self.consensus.number);
        let is_new = (state.epoch, state.number) != previous && state.number > 0;
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
            Err(source) => Some(Err(UndecodableEntry { number, source })),
        }
    }

    /// Stores the table in force.
    pub(super) fn store(&mut self, table: &QuotaTable) {
        if let Some(file) = &mut self.file {
            file.store(table);
        }
    }
}

/// Returns the rejection of a proposal whose deadline has passed.
fn not_committed(consensus: &ConsensusState, number: u64) -> String {
    let reason = match consensus {
        ConsensusState { leader: None, .. } => "no leader is known".to_string(),
        ConsensusState { leader: Some(leader), has_quorum: false, .. } => {
            format!("no majority is heard of; {leader} led last")
        }
        ConsensusState { leader: Some(leader), .. } => format!("{leader} leads and did not decide on it"),
    };
    format!(
        "not agreed in {} s: {reason}. It may still come into force as number {number}: ask `config history` before it \
         is proposed anew",
        PROPOSAL_TIMEOUT_MS / 1000.0,
    )
}

/// Returns the rejection of a proposal whose number another change has taken.
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

/// Returns the rejection of a proposal whose number was committed while only a later one was reported here.
fn unknown_outcome(proposed: u64, committed: u64) -> String {
    format!(
        "number {proposed} is decided on and {committed} too, and which change it was did not come here: ask `config \
         history`"
    )
}

#[cfg(test)]
mod tests;
