use super::*;

const LAST: LogPosition = LogPosition { term: Term(3), index: 7 };

fn voter(vote: Option<u64>) -> Voter {
    Voter { term: Term(4), vote: vote.map(NodeId), min_last: LAST }
}

fn request(term: u64, last: LogPosition, ballot: Ballot) -> VoteRequest {
    VoteRequest { candidate: NodeId(1), term: Term(term), last, ballot }
}

/// Guards against two leaders in one term, which a voter that votes for two candidates could elect. A voter votes once
/// per term, and again only for the same candidate, whose response may have been lost.
#[test]
fn a_voter_votes_for_at_most_one_candidate_per_term() {
    assert!(voter(None).grants(&request(4, LAST, Ballot::Vote)));
    assert!(voter(Some(1)).grants(&request(4, LAST, Ballot::Vote)));
    assert!(!voter(Some(2)).grants(&request(4, LAST, Ballot::Vote)));
    assert!(!voter(None).grants(&request(3, LAST, Ballot::Vote)));
}

/// Guards against the loss of a committed entry: a candidate that lacks an entry of this voter would replace it if
/// elected. The candidate gets no vote, however long its log is in an earlier term.
#[test]
fn a_candidate_with_a_log_less_up_to_date_gets_no_vote() {
    let shorter = LogPosition { index: 6, ..LAST };
    let longer_in_earlier_term = LogPosition { term: Term(2), index: 70 };
    for last in [shorter, longer_in_earlier_term] {
        assert!(!voter(None).grants(&request(4, last, Ballot::Vote)), "{last:?}");
        assert!(!voter(None).grants(&request(5, last, Ballot::PreVote)), "{last:?}");
    }
}

/// A node that returns from a partition requests a pre-vote for the next term. The vote of the voter in its current
/// term does not matter, and the voter stays in that term.
#[test]
fn a_pre_vote_for_a_later_term_is_independent_of_the_vote_in_the_current_term() {
    assert!(voter(Some(2)).grants(&request(5, LAST, Ballot::PreVote)));
    assert!(!voter(Some(2)).grants(&request(4, LAST, Ballot::PreVote)));
}

/// The leader's lease relies on voters granting no vote for the shortest timeout after the leader's last message. A
/// voter considers its leader lost, and accepts relayed entries, only after twice the longest timeout.
#[test]
fn a_leader_may_hold_its_lease_for_the_shortest_timeout_and_is_lost_after_two_of_the_longest() {
    let mut timer = ElectionTimer::new([100.0, 200.0]);
    assert!(!timer.has_recent_leader_contact(0.0) && timer.has_lost_leader(0.0));
    timer.record_leader_contact(1000.0);
    assert!(timer.has_recent_leader_contact(1099.0) && !timer.has_recent_leader_contact(1100.0));
    assert!(!timer.has_lost_leader(1400.0) && timer.has_lost_leader(1401.0));
}
