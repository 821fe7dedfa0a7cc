//! What the checker's bounds leave out: time, limits of records and bytes, many keys, and any messages at all.

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
use support::{key, members, place_of, succeeded, Cluster};

fn default_cluster(count: u64) -> Cluster {
    Cluster::new(count, ReplicationConfig::default())
}

/// A retry comes to another backend. It must get the first attempt's result as long as that is retained, and run anew after.
#[test]
fn retry_elsewhere_gets_the_result_until_its_retention_ends_and_runs_anew_after_it() {
    let mut cluster = default_cluster(9);
    let request = cluster.reserve(0, key(1));
    assert_eq!(cluster.take_events(), [(0, Event::Launch(request))]);
    let retry = cluster.reserve(4, key(1));
    assert_eq!(cluster.take_events(), []);
    cluster.complete(0, request, succeeded());
    let mut events = cluster.take_events();
    events.sort_by_key(|(place, _)| *place);
    let replicated = Event::OutcomeReplicated(request, succeeded());
    assert_eq!(events, [(0, replicated), (4, Event::AlreadyCompleted(retry, succeeded()))]);
    cluster.advance(4000.0);
    let late = cluster.reserve(7, key(1));
    assert_eq!(cluster.take_events(), [(7, Event::AlreadyCompleted(late, succeeded()))]);
    cluster.advance(2000.0);
    let anew = cluster.reserve(7, key(1));
    assert_eq!(cluster.take_events(), [(7, Event::Launch(anew))]);
}

/// A replica does not answer, so a reservation is not confirmed; another attempt waits for it. The first is cancelled: it must be
/// rejected, and the one that waits be launched.
#[test]
fn waiting_attempt_is_launched_when_the_other_is_cancelled_before_its_launch() {
    let mut cluster = default_cluster(3);
    let placed = replica_set(key(1), &members(&[1, 2, 3]), 3);
    let silent = place_of(placed[2]);
    let silenced = cluster.members[silent].take();
    let first = (0..3).find(|place| *place != silent).expect("two others");
    let other = (0..3).find(|place| *place != silent && *place != first).expect("another");
    let request = cluster.reserve(first, key(1));
    let waiting = cluster.reserve(other, key(1));
    assert_eq!(cluster.take_events(), []);
    cluster.members[silent] = silenced;
    let now_ms = cluster.now_ms;
    cluster.member(first).cancel(now_ms, request);
    cluster.deliver_all();
    cluster.advance(300.0);
    let events = cluster.take_events();
    assert!(
        events.contains(&(first, Event::Rejected(request)))
            && events.contains(&(other, Event::Launch(waiting))),
        "{events:?}"
    );
}

/// An executor is cut off while it runs a request, and the others go on without it: the request is in doubt. The executor comes
/// back with a result. It must answer in doubt, as all others did.
#[test]
fn executor_that_returns_with_a_result_answers_in_doubt_like_all_others() {
    let mut cluster = default_cluster(9);
    let request = cluster.reserve(0, key(5));
    assert_eq!(cluster.take_events(), [(0, Event::Launch(request))]);
    let cut_off = cluster.members[0].take();
    cluster.update_view(2);
    cluster.advance(1000.0);
    let retry = cluster.reserve(3, key(5));
    assert_eq!(cluster.take_events(), [(3, Event::AlreadyCompleted(retry, Outcome::InDoubt))]);
    cluster.members[0] = cut_off;
    cluster.complete(0, request, succeeded());
    assert_eq!(cluster.take_events(), []);
    cluster.update_view(3);
    cluster.advance(1000.0);
    assert_eq!(cluster.take_events(), [(0, Event::OutcomeReplicated(request, Outcome::InDoubt))]);
}

/// Four of nine members are lost one after the other. Within 625 ms of each loss no key may lack replicas, and at the end each
/// of 300 results must still be known.
#[test]
fn replicas_are_repaired_before_the_next_loss() {
    let mut cluster = default_cluster(9);
    for n in 0..300 {
        let request = cluster.reserve((n % 9) as usize, key(n));
        cluster.complete((n % 9) as usize, request, succeeded());
    }
    cluster.take_events();
    for (lost, view) in [(2usize, 2u64), (5, 3), (8, 4), (0, 5)] {
        cluster.members[lost] = None;
        cluster.update_view(view);
        cluster.advance(2500.0 / 4.0);
        let lacking: usize = cluster.live().map(Replicator::under_replicated_count).sum();
        assert_eq!(lacking, 0, "after view {view}");
    }
    for n in 0..300 {
        let request = cluster.reserve(1, key(n));
        assert_eq!(cluster.take_events(), [(1, Event::AlreadyCompleted(request, succeeded()))], "key {n}");
    }
}

/// A view with fewer than `min_replicas`, and replicas that are full: requests must be rejected before anything ran, and be taken
/// again once retentions have ended.
#[test]
fn too_few_or_full_replicas_reject_the_request() {
    let mut alone = default_cluster(1);
    let request = alone.reserve(0, key(1));
    assert_eq!(alone.take_events(), [(0, Event::Rejected(request))]);
    let mut full = Cluster::new(3, ReplicationConfig { max_records: 2, ..ReplicationConfig::default() });
    for n in 0..2 {
        let request = full.reserve(0, key(n));
        full.complete(0, request, succeeded());
    }
    full.take_events();
    let request = full.reserve(0, key(2));
    full.advance(1200.0);
    assert_eq!(full.take_events(), [(0, Event::Rejected(request))]);
    assert!(full.live().all(|member| member.record_count() <= 2));
    full.advance(5000.0);
    let request = full.reserve(0, key(3));
    assert_eq!(full.take_events(), [(0, Event::Launch(request))]);
}

/// Results of 1000 bytes against a limit of 4000: a replica must not store more than the limit and the one that exceeds it.
#[test]
fn stored_outcomes_exceed_their_limit_by_one_at_most() {
    let mut cluster =
        Cluster::new(3, ReplicationConfig { max_outcome_bytes: 4000, ..ReplicationConfig::default() });
    for n in 0..40 {
        let request = cluster.reserve(0, key(n));
        cluster.complete(0, request, Outcome::Succeeded(vec![0; 1000]));
    }
    assert!(
        cluster.live().all(|member| member.outcome_bytes() <= 4000 + 1160),
        "a result may come over by one"
    );
}

/// A message of an older view arrives late, and a replica holds a reservation of which its executor knows nothing. The first must
/// be dropped; the second released after its retention, as its executor is probed.
#[test]
fn message_of_an_older_view_is_dropped_and_an_abandoned_reservation_released() {
    let mut cluster = default_cluster(3);
    cluster.update_view(2);
    let reservation = Reservation { executor: NodeId(2), request: RequestId(1) };
    let (view, round) = (ViewNumber(1), Round(0));
    let stale = Message::Reserve { view, key: key(1), reservation, round, retention_ms: 1000 };
    for member in cluster.live_mut() {
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
    for member in cluster.live_mut() {
        member.handle_message(1.0, primary, repair.clone());
    }
    cluster.deliver_all();
    assert!(cluster.live().any(|member| member.record_count() > 0));
    cluster.advance(3000.0);
    assert!(cluster.live().all(|member| member.record_count() == 0));
}

/// A replica is gone and the group suspects it while a reservation waits for it. Another member must take its place before the
/// view changes, and its record count as any other's: with executor and primary lost before the end, the run is in doubt.
#[test]
fn suspected_replica_is_skipped_before_the_view_changes() {
    let mut cluster = default_cluster(9);
    let ids: Vec<u64> = (1..=9).collect();
    let placed = replica_set(key(3), &members(&ids), 3);
    let (primary, gone) = (place_of(placed[0]), placed[2]);
    cluster.members[place_of(gone)] = None;
    let executor = (0..9).find(|place| !placed.contains(&NodeId(*place as u64 + 1))).expect("six others");
    let request = cluster.reserve(executor, key(3));
    cluster.advance(200.0);
    assert_eq!(cluster.take_events(), [], "it waits for the one that is gone");
    let now_ms = cluster.now_ms;
    cluster.live_mut().for_each(|member| member.update_suspected(now_ms, BTreeSet::from([gone])));
    cluster.deliver_all();
    assert_eq!(cluster.take_events(), [(executor, Event::Launch(request))]);
    assert_eq!(cluster.live().filter(|member| member.find(key(3)).is_some()).count(), 3);
    cluster.members[executor] = None;
    cluster.members[primary] = None;
    cluster.update_view(2);
    cluster.advance(500.0);
    let other = (0..9).find(|place| cluster.members[*place].is_some()).expect("six live");
    let retry = cluster.reserve(other, key(3));
    cluster.advance(300.0);
    assert_eq!(cluster.take_events(), [(other, Event::AlreadyCompleted(retry, Outcome::InDoubt))]);
}

/// Three members, one of them suspected: no fourth can take its place. Nothing may be launched on two replicas; the request is
/// rejected after the reservation timeout, so that it holds no capacity for long.
#[test]
fn suspected_replica_is_not_skipped_where_no_other_member_can_replace_it() {
    let mut cluster = default_cluster(3);
    let placed = replica_set(key(3), &members(&[1, 2, 3]), 3);
    cluster.members[place_of(placed[2])] = None;
    let now_ms = cluster.now_ms;
    cluster.live_mut().for_each(|member| member.update_suspected(now_ms, BTreeSet::from([placed[2]])));
    let executor = place_of(placed[0]);
    let request = cluster.reserve(executor, key(3));
    cluster.advance(300.0);
    assert_eq!(cluster.take_events(), []);
    cluster.advance(200.0);
    assert_eq!(cluster.take_events(), [(executor, Event::Rejected(request))]);
}

/// A member that leaves still runs a request. It must stay until that has ended, then go once all its records are stored
/// elsewhere; nothing is in doubt.
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
    cluster.live_mut().for_each(|member| member.update_view(now_ms, ViewNumber(2), view.clone()));
    cluster.member(leaving).start_handoff(now_ms);
    cluster.deliver_all();
    cluster.advance(1000.0);
    assert!(!cluster.member(leaving).is_handoff_complete(), "its run has not ended");
    cluster.complete(leaving, running, succeeded());
    cluster.advance(1000.0);
    assert_eq!(cluster.take_events(), [(leaving, Event::OutcomeReplicated(running, succeeded()))]);
    assert!(cluster.member(leaving).is_handoff_complete());
    for n in (0..30).chain([100]) {
        let others = cluster.live().enumerate().filter(|(place, _)| *place != leaving);
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

    /// Any messages from any member, in any order and state: what is stored and sent must stay bounded, and each request must
    /// end with exactly one event.
    #[test]
    fn any_messages_in_any_state_leave_it_bounded_and_end_each_request_once(
        steps in proptest::collection::vec((0u64..5, messages(), 0u32..60), 1..150),
    ) {
        let config = ReplicationConfig { max_records: 8, ..ReplicationConfig::default() };
        let mut member = Replicator::new(NodeId(1), config, 0.0);
        let (mut now_ms, mut ends) = (0.0, BTreeMap::<RequestId, u32>::new());
        let mut reserved = RequestId(0);
        for (place, (from, message, wait)) in steps.into_iter().enumerate() {
            now_ms += f64::from(wait);
            match place % 12 {
                0 => member.update_view(now_ms, ViewNumber(place as u64 / 24 + 1), support::members(&[1, 2, 3, 4])),
                5 => reserved = member.reserve(now_ms, key(place as u64 % 3), now_ms + 200.0, 100.0),
                9 => member.complete(now_ms, reserved, Outcome::Failed),
                _ => member.handle_message(now_ms, NodeId(from), message),
            }
            if wait > 30 {
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
                    *ends.entry(request).or_default() += 1;
                }
            }
        }
        prop_assert!(ends.values().all(|times| *times == 1), "{ends:?}");
    }
}
