//! Scenarios outside the bounds of the model checker: timeouts, limits on records and bytes, many keys, and random messages.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use plovershelf_cluster::NodeId;
use plovershelf_replication::placement::replica_set;
use plovershelf_replication::{
    Event, Member, Message, Outcome, OutcomeOrigin, OutcomeVersion, Record, ReplicationConfig, Replicator,
    RequestId, Reservation, ReservationOrder, Round, ViewNumber,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{index_of, key, members, succeeded, Cluster};

fn default_cluster(count: u64) -> Cluster {
    Cluster::new(count, ReplicationConfig::default())
}

/// A retry arrives at another backend. It must get the first attempt's result while that is retained, and be launched after
/// the retention has expired.
#[test]
fn retry_at_another_backend_gets_the_result_until_its_retention_expires() {
    let mut cluster = default_cluster(9);
    let request = cluster.reserve(0, key(1));
    assert_eq!(cluster.take_events(), [(0, Event::Launch(request))]);
    let retry = cluster.reserve(4, key(1));
    assert_eq!(cluster.take_events(), []);
    cluster.complete(0, request, succeeded());
    let mut events = cluster.take_events();
    events.sort_by_key(|(member, _)| *member);
    let replicated = Event::OutcomeReplicated(request, succeeded());
    assert_eq!(events, [(0, replicated), (4, Event::AlreadyCompleted(retry, succeeded()))]);
    cluster.advance(4000.0);
    let retained = cluster.reserve(7, key(1));
    assert_eq!(cluster.take_events(), [(7, Event::AlreadyCompleted(retained, succeeded()))]);
    cluster.advance(2000.0);
    let expired = cluster.reserve(7, key(1));
    assert_eq!(cluster.take_events(), [(7, Event::Launch(expired))]);
}

/// A replica does not respond, so a reservation is not confirmed, and another attempt waits for it. When the first attempt is
/// cancelled it must be rejected, and the waiting attempt must be launched.
#[test]
fn waiting_attempt_is_launched_when_the_reserving_attempt_is_cancelled() {
    let mut cluster = default_cluster(3);
    let placed = replica_set(key(1), &members(&[1, 2, 3]), 3);
    let unreachable = index_of(placed[2]);
    let unreachable_member = cluster.members[unreachable].take();
    let first = (0..3).find(|member| *member != unreachable).expect("a reachable member");
    let second =
        (0..3).find(|member| *member != unreachable && *member != first).expect("a second reachable member");
    let request = cluster.reserve(first, key(1));
    let waiting = cluster.reserve(second, key(1));
    assert_eq!(cluster.take_events(), []);
    cluster.members[unreachable] = unreachable_member;
    let now_ms = cluster.now_ms;
    cluster.member(first).cancel(now_ms, request);
    cluster.deliver_all();
    cluster.advance(300.0);
    let events = cluster.take_events();
    assert!(
        events.contains(&(first, Event::Rejected(request)))
            && events.contains(&(second, Event::Launch(waiting))),
        "{events:?}"
    );
}

/// An executor is partitioned while it runs a request, and the other members resolve the request to in doubt. When the executor
/// returns with a result, it must answer in doubt like the other members.
#[test]
fn returning_executor_adopts_the_in_doubt_outcome_of_the_other_members() {
    let mut cluster = default_cluster(9);
    let request = cluster.reserve(0, key(5));
    assert_eq!(cluster.take_events(), [(0, Event::Launch(request))]);
    let partitioned = cluster.members[0].take();
    cluster.update_view(2);
    cluster.advance(1000.0);
    let retry = cluster.reserve(3, key(5));
    assert_eq!(cluster.take_events(), [(3, Event::AlreadyCompleted(retry, Outcome::InDoubt))]);
    cluster.members[0] = partitioned;
    cluster.complete(0, request, succeeded());
    assert_eq!(cluster.take_events(), []);
    cluster.update_view(3);
    cluster.advance(1000.0);
    assert_eq!(cluster.take_events(), [(0, Event::OutcomeReplicated(request, Outcome::InDoubt))]);
}

/// Four of nine members fail one after the other. All keys must be fully replicated within 625 ms of each failure, and all 300
/// results must still be available at the end.
#[test]
fn replicas_are_repaired_before_the_next_failure() {
    let mut cluster = default_cluster(9);
    for n in 0..300 {
        let request = cluster.reserve((n % 9) as usize, key(n));
        cluster.complete((n % 9) as usize, request, succeeded());
    }
    cluster.take_events();
    for (failed, view) in [(2usize, 2u64), (5, 3), (8, 4), (0, 5)] {
        cluster.members[failed] = None;
        cluster.update_view(view);
        cluster.advance(2500.0 / 4.0);
        let under_replicated: usize = cluster.running_members().map(Replicator::under_replicated_count).sum();
        assert_eq!(under_replicated, 0, "after view {view}");
    }
    for n in 0..300 {
        let request = cluster.reserve(1, key(n));
        assert_eq!(cluster.take_events(), [(1, Event::AlreadyCompleted(request, succeeded()))], "key {n}");
    }
}

/// With fewer than `min_replicas` members in the view, or with full replicas, requests must be rejected without being launched.
/// They must be accepted again once the retention of stored records has expired.
#[test]
fn requests_are_rejected_with_too_few_or_full_replicas() {
    let mut single_member = default_cluster(1);
    let request = single_member.reserve(0, key(1));
    assert_eq!(single_member.take_events(), [(0, Event::Rejected(request))]);
    let mut full = Cluster::new(3, ReplicationConfig { max_records: 2, ..ReplicationConfig::default() });
    for n in 0..2 {
        let request = full.reserve(0, key(n));
        full.complete(0, request, succeeded());
    }
    full.take_events();
    let request = full.reserve(0, key(2));
    full.advance(1200.0);
    assert_eq!(full.take_events(), [(0, Event::Rejected(request))]);
    assert!(full.running_members().all(|member| member.record_count() <= 2));
    full.advance(5000.0);
    let request = full.reserve(0, key(3));
    assert_eq!(full.take_events(), [(0, Event::Launch(request))]);
}

/// Results of 1000 bytes with a limit of 4000: a replica may exceed the limit by at most one result.
#[test]
fn stored_outcomes_exceed_their_limit_by_at_most_one() {
    let mut cluster =
        Cluster::new(3, ReplicationConfig { max_outcome_bytes: 4000, ..ReplicationConfig::default() });
    for n in 0..40 {
        let request = cluster.reserve(0, key(n));
        cluster.complete(0, request, Outcome::Succeeded(vec![0; 1000]));
    }
    assert!(
        cluster.running_members().all(|member| member.outcome_bytes() <= 4000 + 1160),
        "the limit may be exceeded by at most one result"
    );
}

/// A delayed message of an older view must be dropped. A stored reservation that is unknown to its executor must be released
/// after its retention time, when the executor is probed.
#[test]
fn message_of_an_older_view_is_dropped_and_an_abandoned_reservation_released() {
    let mut cluster = default_cluster(3);
    cluster.update_view(2);
    let reservation = Reservation { executor: NodeId(2), request: RequestId(1) };
    let (view, round) = (ViewNumber(1), Round(0));
    let stale = Message::Reserve { view, key: key(1), reservation, round, retention_ms: 1000 };
    for member in cluster.running_members_mut() {
        member.handle_message(1.0, NodeId(2), stale.clone());
        assert_eq!(member.record_count(), 0);
    }
    let record = Record {
        reservation,
        order: ReservationOrder { view: ViewNumber(2), sequence: 1 },
        replica_set: vec![NodeId(1), NodeId(2), NodeId(3)],
        round: Round(0),
        outcome: None,
        outcome_version: OutcomeVersion::default(),
        retention_ms: 100,
    };
    let primary = replica_set(key(1), &members(&[1, 2, 3]), 3)[0];
    let repair = Message::Repair { view: ViewNumber(2), records: vec![(key(1), record)] };
    for member in cluster.running_members_mut() {
        member.handle_message(1.0, primary, repair.clone());
    }
    cluster.deliver_all();
    assert!(cluster.running_members().any(|member| member.record_count() > 0));
    cluster.advance(3000.0);
    assert!(cluster.running_members().all(|member| member.record_count() == 0));
}

/// A replica fails and is suspected while a reservation waits for it. Another member must replace it before the view changes, and
/// the substitute's record must count like any other: if executor and primary fail before the outcome is recorded, the
/// request is in doubt.
#[test]
fn suspected_replica_is_replaced_before_the_view_changes() {
    let mut cluster = default_cluster(9);
    let ids: Vec<u64> = (1..=9).collect();
    let placed = replica_set(key(3), &members(&ids), 3);
    let (primary, failed) = (index_of(placed[0]), placed[2]);
    cluster.members[index_of(failed)] = None;
    let executor = (0..9)
        .find(|index| !placed.contains(&NodeId(*index as u64 + 1)))
        .expect("a member that is no replica");
    let request = cluster.reserve(executor, key(3));
    cluster.advance(200.0);
    assert_eq!(cluster.take_events(), [], "the reservation waits for the failed replica");
    let now_ms = cluster.now_ms;
    cluster
        .running_members_mut()
        .for_each(|member| member.update_suspected(now_ms, BTreeSet::from([failed])));
    cluster.deliver_all();
    assert_eq!(cluster.take_events(), [(executor, Event::Launch(request))]);
    assert_eq!(cluster.running_members().filter(|member| member.find(key(3)).is_some()).count(), 3);
    cluster.members[executor] = None;
    cluster.members[primary] = None;
    cluster.update_view(2);
    cluster.advance(500.0);
    let other = (0..9).find(|index| cluster.members[*index].is_some()).expect("a running member");
    let retry = cluster.reserve(other, key(3));
    cluster.advance(300.0);
    assert_eq!(cluster.take_events(), [(other, Event::AlreadyCompleted(retry, Outcome::InDoubt))]);
}

/// One of three members is suspected and no fourth can replace it. The request must not be launched with two replicas, and must
/// be rejected after the reservation timeout so that it does not occupy capacity longer.
#[test]
fn suspected_replica_is_not_replaced_without_a_substitute() {
    let mut cluster = default_cluster(3);
    let placed = replica_set(key(3), &members(&[1, 2, 3]), 3);
    cluster.members[index_of(placed[2])] = None;
    let now_ms = cluster.now_ms;
    cluster
        .running_members_mut()
        .for_each(|member| member.update_suspected(now_ms, BTreeSet::from([placed[2]])));
    let executor = index_of(placed[0]);
    let request = cluster.reserve(executor, key(3));
    cluster.advance(300.0);
    assert_eq!(cluster.take_events(), []);
    cluster.advance(200.0);
    assert_eq!(cluster.take_events(), [(executor, Event::Rejected(request))]);
}

/// A leaving member still runs a request. It must not complete its handoff before the request has ended and all its records are
/// stored on other members, and no request may become in doubt.
#[test]
fn leaving_member_completes_its_requests_and_hands_off_its_records() {
    let mut cluster = default_cluster(9);
    let leaving = 4usize;
    for n in 0..30 {
        let request = cluster.reserve(n as usize % 9, key(n));
        cluster.complete(n as usize % 9, request, succeeded());
    }
    let running = cluster.reserve(leaving, key(100));
    cluster.take_events();
    let mut view: Vec<Member> = members(&(1..=9).collect::<Vec<_>>());
    view[leaving].weight = 0.0;
    let now_ms = cluster.now_ms;
    cluster.running_members_mut().for_each(|member| member.update_view(now_ms, ViewNumber(2), view.clone()));
    cluster.member(leaving).start_handoff(now_ms);
    cluster.deliver_all();
    cluster.advance(1000.0);
    assert!(!cluster.member(leaving).is_handoff_complete(), "its request has not ended");
    cluster.complete(leaving, running, succeeded());
    cluster.advance(1000.0);
    assert_eq!(cluster.take_events(), [(leaving, Event::OutcomeReplicated(running, succeeded()))]);
    assert!(cluster.member(leaving).is_handoff_complete());
    for n in (0..30).chain([100]) {
        let others = cluster.running_members().enumerate().filter(|(index, _)| *index != leaving);
        let replicas = others.filter(|(_, member)| member.find(key(n)).is_some()).count();
        assert!(replicas >= 3, "key {n} has {replicas} replicas");
    }
    cluster.members[leaving] = None;
    cluster.update_view(3);
    cluster.advance(500.0);
    let retry = cluster.reserve(0, key(100));
    assert_eq!(cluster.take_events(), [(0, Event::AlreadyCompleted(retry, succeeded()))]);
}

fn outcomes() -> impl Strategy<Value = Outcome> {
    prop_oneof![Just(Outcome::Failed), Just(Outcome::InDoubt), Just(Outcome::Succeeded(vec![7]))]
}

fn messages() -> impl Strategy<Value = Message> {
    let views = 0u64..4;
    let keys = (0u64..3).prop_map(key);
    let reservations = (0u64..5, 0u64..4).prop_map(|(executor, request)| Reservation {
        executor: NodeId(executor),
        request: RequestId(request),
    });
    let records = (
        reservations.clone(),
        0u64..4,
        0u64..4,
        proptest::collection::vec((0u64..5).prop_map(NodeId), 0..4),
        proptest::option::of(outcomes()),
    )
        .prop_map(|(reservation, view, sequence, replica_set, outcome)| Record {
            reservation,
            order: ReservationOrder { view: ViewNumber(view), sequence },
            replica_set,
            round: Round(sequence as u32 % 2),
            outcome,
            outcome_version: OutcomeVersion { view: ViewNumber(view), origin: OutcomeOrigin::Executor },
            retention_ms: 50,
        });
    let base = (views, keys, reservations, records, outcomes(), 0u64..4);
    (base, 0usize..16).prop_map(|((view, key, reservation, record, outcome, count), kind)| {
        let (view, round) = (ViewNumber(view), Round(count as u32 % 3));
        match kind {
            0 => Message::Reserve { view, key, reservation, round, retention_ms: 10 },
            1 => Message::Replicate { view, key, record },
            2 => Message::Reserved { view, key, reservation, round, replica_set: record.replica_set },
            3 => Message::HeldByAnother { view, key, reservation, outcome: record.outcome },
            4 => Message::Released { view, key },
            5 => Message::RecordOutcome { view, key, reservation, outcome, retention_ms: 10 },
            6 => Message::OutcomeRecorded { view, key, reservation, outcome },
            7 => Message::Release { view, key, reservation },
            8 => Message::Report { view, records: vec![(key, record)], active: vec![(key, reservation)] },
            9 => Message::ReportComplete { view, count },
            10 => Message::Repair { view, records: vec![(key, record)] },
            11 => Message::Repaired { view, keys: vec![key] },
            12 => Message::ReportAcknowledged { view },
            13 => Message::RequestLeave { view },
            14 => Message::PermitLeave { view },
            _ => Message::ProbeReservation { view, key, reservation },
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Random messages from any member in any order and state: stored records and sent messages must remain bounded, and each
    /// request must end with exactly one event.
    #[test]
    fn random_messages_keep_the_state_bounded_and_end_each_request_once(
        steps in proptest::collection::vec((0u64..5, messages(), 0u32..60), 1..150),
    ) {
        let config = ReplicationConfig { max_records: 8, ..ReplicationConfig::default() };
        let mut member = Replicator::new(NodeId(1), config, 0.0);
        let (mut now_ms, mut end_counts) = (0.0, BTreeMap::<RequestId, u32>::new());
        let mut reserved = RequestId(0);
        for (step, (from, message, wait_ms)) in steps.into_iter().enumerate() {
            now_ms += f64::from(wait_ms);
            match step % 12 {
                0 => member.update_view(now_ms, ViewNumber(step as u64 / 24 + 1), support::members(&[1, 2, 3, 4])),
                5 => reserved = member.reserve(now_ms, key(step as u64 % 3), now_ms + 200.0, 100.0),
                9 => member.complete(now_ms, reserved, Outcome::Failed),
                _ => member.handle_message(now_ms, NodeId(from), message),
            }
            if wait_ms > 30 {
                member.handle_timeout(now_ms);
            }
            let actions = member.poll_actions();
            prop_assert!(actions.messages.len() < 300, "{} messages", actions.messages.len());
            prop_assert!(member.record_count() <= 8);
            for event in actions.events {
                if let Event::AlreadyCompleted(request, _)
                | Event::OutcomeReplicated(request, _)
                | Event::Rejected(request) = event
                {
                    *end_counts.entry(request).or_default() += 1;
                }
            }
        }
        prop_assert!(end_counts.values().all(|count| *count == 1), "{end_counts:?}");
    }
}
