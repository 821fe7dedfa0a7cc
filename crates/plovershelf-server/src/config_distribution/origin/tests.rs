use super::*;

fn change(previous: u64, quota_per_s: f64) -> Change {
    let version = |number| Version { epoch: if number > 0 { 7 } else { 0 }, number };
    let edits = vec![Edit::Set { tenant: "acme".into(), quota_per_s }];
    Change {
        version: version(previous + 1),
        previous: version(previous),
        digest: 1,
        edits,
        proposed_unix_ms: 0,
    }
}

fn committed(number: u64, change: &Change) -> ConsensusState {
    ConsensusState {
        epoch: 7,
        number,
        entry: encode_payload(change),
        leader: Some("c1".into()),
        has_quorum: true,
    }
}

/// Returns an origin and the numbers that it proposes to the group.
fn origin() -> (Origin, async_channel::Receiver<u64>) {
    let (sender, proposed) = async_channel::bounded(16);
    (
        Origin::new(
            Box::new(move |number, _| {
                let _ = sender.try_send(number);
            }),
            None,
        ),
        proposed,
    )
}

/// Returns a response callback and the receiver of its response.
fn responder() -> (Respond, async_channel::Receiver<AdminResponse>) {
    let (sender, response) = async_channel::bounded(1);
    (Box::new(move |answer| drop(sender.try_send(answer))), response)
}

fn rejected(response: &async_channel::Receiver<AdminResponse>, text: &str) -> bool {
    matches!(response.try_recv(), Ok(AdminResponse::Rejected(reason)) if reason.contains(text))
}

/// Two operators propose at the same time, and the group commits one of the two changes under the number that both
/// expected. One must be answered as committed, the other as rejected with the change that took its number.
#[test]
fn of_two_changes_for_one_number_one_is_committed_and_the_other_rejected() {
    let (mut origin, proposed) = origin();
    let (first, second) = (change(0, 5.0), change(0, 6.0));
    let (respond, response) = responder();
    origin.propose(0.0, &first, respond);
    let (respond, other_response) = responder();
    origin.propose(0.0, &second, respond);
    assert_eq!(proposed.len(), 2);
    assert_eq!(origin.handle_consensus(committed(1, &first)), Some(Ok(first.clone())));
    assert_eq!(response.try_recv(), Ok(AdminResponse::Committed("agreed as number 1".into())));
    assert!(rejected(&other_response, "another change took number 1: set \"acme\" to 5"));
    // The same number reported again, as after a change of leader, is not a new commit.
    assert_eq!(origin.handle_consensus(ConsensusState { leader: None, ..committed(1, &first) }), None);
    // A change that does not follow the group's newest one is not proposed at all.
    let (respond, response) = responder();
    origin.propose(0.0, &second, respond);
    assert!(rejected(&response, "change 1 was agreed on and has not come here yet") && proposed.len() == 2);
}

/// The group has no leader or no majority, or commits without this origin learning of it. The answer must state the
/// reason, and that the change may still be committed.
#[test]
fn proposal_not_committed_in_time_is_rejected_with_the_reason() {
    let (mut origin, proposed) = origin();
    let (respond, response) = responder();
    origin.propose(0.0, &change(0, 5.0), respond);
    origin.handle_timeout(1000.0);
    assert_eq!((proposed.len(), origin.poll_timeout() <= 2000.0), (2, true));
    origin.handle_timeout(4000.0);
    assert!(rejected(&response, "no leader is known. It may still come into force as number 1"));
    assert_eq!((proposed.len(), origin.poll_timeout()), (2, f64::INFINITY));
    let late = committed(1, &change(0, 5.0));
    origin.handle_consensus(ConsensusState { has_quorum: false, ..late.clone() });
    let (respond, response) = responder();
    origin.propose(5000.0, &change(1, 6.0), respond);
    origin.handle_timeout(9000.0);
    assert!(rejected(&response, "no majority is heard of; c1 led last"));
    // Two numbers later, the origin can't know which change the first one was.
    origin.handle_consensus(late);
    let (respond, response) = responder();
    origin.propose(10_000.0, &change(1, 6.0), respond);
    origin.handle_consensus(committed(3, &change(2, 7.0)));
    assert!(rejected(&response, "ask `config history`"));
    let unreadable = ConsensusState { entry: vec![1], ..committed(4, &change(3, 1.0)) };
    assert!(origin.handle_consensus(unreadable).is_some_and(|result| result.is_err()));
}
