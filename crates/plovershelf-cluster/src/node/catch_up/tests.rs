use super::*;
use crate::consensus::{LogPosition, RaftConfig, Snapshot, Term};
use crate::identity::NodeId;

const EPOCH: Epoch = Epoch(1 << 40 | 7);

/// Returns a non-voter in [`EPOCH`] with one committed entry.
fn raft() -> Raft<ClusterState> {
    let mut raft = Raft::new(NodeId(1), RaftConfig::default(), None, ClusterState::default(), 1, 0.0);
    let last = LogPosition { term: Term(1), index: 1 };
    let voters = [NodeId(2), NodeId(3)].into();
    raft.adopt_epoch(EPOCH, Snapshot { last, voters, voters_index: 1, state: ClusterState::default() });
    raft
}

fn digest(epoch: Epoch, commit_index: u64) -> StateDigest {
    StateDigest { epoch, commit_index, ..StateDigest::default() }
}

/// Guards against the same state being fetched from many nodes: the digests of many nodes show a higher commit index.
/// The lagging node fetches from one of them, and from the next one only after the interval.
#[test]
fn a_lagging_node_fetches_once_per_interval() {
    let (mut catch_up, raft) = (CatchUp::new(0.0, 200.0), raft());
    assert!(catch_up.should_fetch(0.0, &raft, &digest(EPOCH, 2)));
    assert!(!catch_up.should_fetch(0.0, &raft, &digest(EPOCH, 1)), "fetched without being behind");
    catch_up.record_fetch(0.0);
    assert!(!catch_up.should_fetch(199.0, &raft, &digest(EPOCH, 2)));
    assert!(catch_up.should_fetch(200.0, &raft, &digest(EPOCH, 2)));
}

/// State of another cluster with the same name arrives. It is refused, and reported as new only the first time.
#[test]
fn another_cluster_of_the_same_name_is_refused_and_reported_once() {
    let (mut catch_up, raft) = (CatchUp::new(0.0, 200.0), raft());
    let foreign = Epoch(1 << 40 | 9);
    assert_eq!(catch_up.adoption(foreign, &raft), Adoption::NewForeignCluster);
    assert_eq!(catch_up.adoption(foreign, &raft), Adoption::ForeignCluster);
    assert_eq!(catch_up.adoption(EPOCH, &raft), Adoption::Allowed);
}

/// A node has consented to a later epoch. It must not adopt state of an older one, or a majority of the older epoch
/// could still commit entries.
#[test]
fn state_of_an_older_epoch_is_refused_after_a_promise() {
    let (mut catch_up, mut raft) = (CatchUp::new(0.0, 200.0), raft());
    raft.promise_epoch(Epoch(3 << 40));
    assert_eq!(awaited_epoch(&raft), Some(Epoch(3 << 40)));
    assert_eq!(catch_up.adoption(EPOCH, &raft), Adoption::Promised);
    assert_eq!(catch_up.adoption(Epoch(2 << 40), &raft), Adoption::Promised);
    assert_eq!(catch_up.adoption(Epoch(3 << 40), &raft), Adoption::Allowed);
}
