use super::*;

fn report(term: u64, index: u64, active: bool, leads: bool) -> VoterReport {
    VoterReport { term: Term(term), last: LogPosition { term: Term(term), index }, active, leads }
}

/// Returns the recovery of node 1, one of five voters.
fn recovery(min_term: u64) -> Recovery {
    let voters = (1..=5).map(NodeId).collect();
    Recovery::new(VoterConfig { index: 1, voters }, Term(min_term))
}

fn outcome(recovery: &Recovery, lost: &[u64]) -> RecoveryOutcome {
    recovery.outcome(Term(2), &lost.iter().copied().map(NodeId).collect())
}

/// A voter of five may have belonged to any majority of three. The reports of three active voters are needed, so that
/// each such majority has a member among them. A report from a recovering voter or from a non-voter does not count.
#[test]
fn a_voter_waits_for_active_reports_that_intersect_every_majority() {
    let mut recovery = recovery(0);
    assert!(recovery.record(NodeId(2), report(3, 7, true, true)));
    assert!(recovery.record(NodeId(3), report(3, 6, true, false)));
    assert!(recovery.record(NodeId(4), report(3, 9, false, false)));
    assert!(!recovery.record(NodeId(9), report(3, 9, true, false)));
    assert_eq!(outcome(&recovery, &[]), RecoveryOutcome::Waiting);
    recovery.record(NodeId(5), report(2, 5, true, false));
    let min_log = LogPosition { term: Term(3), index: 9 };
    assert_eq!(outcome(&recovery, &[]), RecoveryOutcome::Recovered { term: Term(3), min_log });
}

/// A node is known to be permanently lost. It cannot report, so the recovery does not wait for it.
#[test]
fn a_lost_voter_does_not_have_to_report() {
    let mut recovery = recovery(0);
    recovery.record(NodeId(2), report(3, 7, true, true));
    recovery.record(NodeId(3), report(3, 6, true, false));
    assert!(matches!(outcome(&recovery, &[4]), RecoveryOutcome::Recovered { .. }));
}

/// No leader reports. A leader of the newest term may still count acknowledgements that this voter has lost, so
/// all must report from a later term, after which that leader can commit nothing.
#[test]
fn without_a_leader_reports_must_come_from_a_later_term() {
    let reported_by_all = |min_term: u64, term: u64| {
        let mut recovery = recovery(min_term);
        for id in 2..=4 {
            recovery.record(NodeId(id), report(term, 7, true, false));
        }
        recovery
    };
    assert_eq!(outcome(&reported_by_all(0, 3), &[]), RecoveryOutcome::AskInLaterTerm(Term(4)));
    assert_eq!(outcome(&reported_by_all(4, 3), &[]), RecoveryOutcome::Waiting);
    let recovered = outcome(&reported_by_all(4, 4), &[]);
    assert!(matches!(recovered, RecoveryOutcome::Recovered { term: Term(4), .. }));
}
