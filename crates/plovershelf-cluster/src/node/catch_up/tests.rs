use super::*;
use crate::consensus::{LogPosition, RaftConfig, Snapshot, Term};
use crate::identity::NodeId;

const EPOCH: Epoch = Epoch(1 << 40 | 7);

/// A node that is no voter, in [`EPOCH`] with an entry committed.
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

/// Many nodes tell that they are further. One is asked, the next only after the interval, so that a node that lags is not
/// sent the same by all.
#[test]
fn a_node_that_lags_asks_once_an_interval() {
    let (mut catch_up, raft) = (CatchUp::new(0.0, 200.0), raft());
    assert!(catch_up.should_fetch(0.0, &raft, &digest(EPOCH, 2)));
    assert!(!catch_up.should_fetch(0.0, &raft, &digest(EPOCH, 1)), "not behind");
    catch_up.record_fetch(0.0);
    assert!(!catch_up.should_fetch(199.0, &raft, &digest(EPOCH, 2)));
    assert!(catch_up.should_fetch(200.0, &raft, &digest(EPOCH, 2)));
}

/// Another cluster of the same name is met. Nothing of it is taken over, and people see it once.
#[test]
fn another_cluster_of_the_name_is_refused_and_noticed_once() {
    let (mut catch_up, raft) = (CatchUp::new(0.0, 200.0), raft());
    let foreign = Epoch(1 << 40 | 9);
    assert_eq!(catch_up.adoption(foreign, &raft), Adoption::NewForeignCluster);
    assert_eq!(catch_up.adoption(foreign, &raft), Adoption::ForeignCluster);
    assert_eq!(catch_up.adoption(EPOCH, &raft), Adoption::Allowed);
}

/// A node has consented to an epoch. What is of an older one must not bring it back, or a majority of the old one could
/// still commit.
#[test]
fn after_a_promise_nothing_older_is_taken_over() {
    let (mut catch_up, mut raft) = (CatchUp::new(0.0, 200.0), raft());
    raft.promise_epoch(Epoch(3 << 40));
    assert_eq!(awaited_epoch(&raft), Some(Epoch(3 << 40)));
    assert_eq!(catch_up.adoption(EPOCH, &raft), Adoption::Promised);
    assert_eq!(catch_up.adoption(Epoch(2 << 40), &raft), Adoption::Promised);
    assert_eq!(catch_up.adoption(Epoch(3 << 40), &raft), Adoption::Allowed);
}
