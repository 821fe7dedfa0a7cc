use super::*;

const LAST: LogPosition = LogPosition { term: Term(3), index: 7 };

fn voter(vote: Option<u64>) -> Voter {
    Voter { term: Term(4), vote: vote.map(NodeId), min_last: LAST }
}

fn request(term: u64, last: LogPosition, ballot: Ballot) -> VoteRequest {
    VoteRequest { candidate: NodeId(1), term: Term(term), last, ballot }
}

/// Two candidates of one term: a voter that gave both its vote could elect two leaders. It votes once a term, and for the
/// same candidate again where the answer was lost.
#[test]
fn a_voter_votes_once_a_term() {
    assert!(voter(None).grants(&request(4, LAST, Ballot::Vote)));
    assert!(voter(Some(1)).grants(&request(4, LAST, Ballot::Vote)));
    assert!(!voter(Some(2)).grants(&request(4, LAST, Ballot::Vote)));
    assert!(!voter(None).grants(&request(3, LAST, Ballot::Vote)));
}

/// A candidate lacks an entry that this voter has, and which may be committed: elected, it would replace the entry. So it
/// gets no vote, however long its log is in an earlier term.
#[test]
fn a_candidate_with_a_log_less_up_to_date_gets_no_vote() {
    let shorter = LogPosition { index: 6, ..LAST };
    let longer_in_earlier_term = LogPosition { term: Term(2), index: 70 };
    for last in [shorter, longer_in_earlier_term] {
        assert!(!voter(None).grants(&request(4, last, Ballot::Vote)), "{last:?}");
        assert!(!voter(None).grants(&request(5, last, Ballot::PreVote)), "{last:?}");
    }
}

/// A node that was partitioned asks whether it would be elected in the next term. The answer is for that term, though the
/// voter stays in its own and has voted there.
#[test]
fn a_pre_vote_is_granted_for_a_later_term_whatever_the_vote_in_this_one() {
    assert!(voter(Some(2)).grants(&request(5, LAST, Ballot::PreVote)));
    assert!(!voter(Some(2)).grants(&request(4, LAST, Ballot::PreVote)));
}

/// The leader's lease rests on voters that keep to it for the shortest timeout after they heard it; what is committed is
/// taken from others only after much longer.
#[test]
fn a_leader_is_kept_for_the_shortest_timeout_and_given_up_after_two_of_the_longest() {
    let mut timer = ElectionTimer::new([100.0, 200.0]);
    assert!(!timer.must_keep_leader(0.0) && timer.has_lost_leader(0.0));
    timer.record_leader_contact(1000.0);
    assert!(timer.must_keep_leader(1099.0) && !timer.must_keep_leader(1100.0));
    assert!(!timer.has_lost_leader(1400.0) && timer.has_lost_leader(1401.0));
}
