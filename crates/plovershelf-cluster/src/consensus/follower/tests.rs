use super::super::entry::{Payload, Term};
use super::super::message::Ballot;
use super::super::persistent::PersistentState;
use super::*;

#[derive(Clone, Debug, Default, PartialEq)]
struct Applied(Vec<u8>);

impl StateMachine for Applied {
    type Command = u8;
    fn apply(&mut self, command: &u8) {
        self.0.push(*command);
    }
}

fn entry(term: u64, command: u8) -> Entry<u8> {
    Entry { term: Term(term), payload: Payload::Command(command) }
}

fn position(term: u64, index: u64) -> LogPosition {
    LogPosition { term: Term(term), index }
}

/// Returns a log of three entries of term 1, of which the first is committed.
fn log() -> ReplicatedLog<Applied> {
    let mut log = ReplicatedLog::new(PersistentState::empty(Applied::default()));
    log.set_term(Term(1), None);
    log.merge(0, &[entry(1, 1), entry(1, 2), entry(1, 3)]);
    log.commit_to(1);
    log
}

/// Guards against a gap or a divergence in the log: the preceding entry of a leader's message is missing or has another
/// term. Nothing is appended, and the response names the index from which the leader retries, at least the commit
/// index.
#[test]
fn entries_after_an_unknown_one_are_refused() {
    let mut log = log();
    let refused = |last_index| AppendOutcome { matches: false, last_index };
    assert_eq!(append(&mut log, position(2, 9), &[entry(2, 9)], 9), refused(3));
    assert_eq!(append(&mut log, position(2, 3), &[entry(2, 9)], 9), refused(2));
    assert_eq!(append(&mut log, position(2, 1), &[entry(2, 9)], 9), refused(1));
    assert_eq!((log.last(), log.commit_index()), (position(1, 3), 1));
}

/// The leader's commit index is beyond the entries that it sent. The follower commits only entries known to match.
#[test]
fn no_entry_is_committed_beyond_those_that_match() {
    let mut log = log();
    let outcome = append(&mut log, position(1, 1), &[entry(1, 2)], 3);
    assert_eq!(outcome, AppendOutcome { matches: true, last_index: 2 });
    assert_eq!(log.commit_index(), 2);
}

/// A recovered voter may have acknowledged a longer log than the one on its disk. It must not vote for a leader without
/// that log.
#[test]
fn a_recovered_voter_votes_for_no_log_shorter_than_the_one_it_may_have_acknowledged() {
    let (log, mut state) = (log(), FollowerState::new([100.0, 200.0]));
    let request = |last| VoteRequest { candidate: NodeId(2), term: Term(1), last, ballot: Ballot::Vote };
    assert!(state.grants(&request(position(1, 3)), &log));
    state.raise_min_log(position(1, 5));
    assert!(!state.grants(&request(position(1, 4)), &log) && !state.satisfies_min_log(log.last()));
    assert!(state.grants(&request(position(1, 5)), &log));
    state.clear_min_log();
    assert!(state.grants(&request(position(1, 3)), &log));
}
