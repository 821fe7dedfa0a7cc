use super::*;

const EPOCH: Epoch = Epoch(1 << 40);

fn digest(epoch: Epoch, term: u64, leader: u64) -> StateDigest {
    StateDigest { epoch, commit_index: 0, term: Term(term), leader: Some(NodeId(leader)) }
}

/// A leader is replaced. Some nodes still tell of the old one; the leader of the newest term counts, and none of another
/// epoch.
#[test]
fn the_leader_of_the_newest_term_of_the_epoch_counts() {
    let mut table = DigestTable::default();
    table.record(NodeId(1), digest(EPOCH, 4, 7), 10, EPOCH);
    table.record(NodeId(2), digest(EPOCH, 3, 8), 10, EPOCH);
    table.record(NodeId(3), digest(Epoch(2 << 40), 9, 9), 10, EPOCH);
    assert_eq!(table.leader(EPOCH), Some((Term(4), NodeId(7))));
    assert_eq!(table.leader(Epoch(2 << 40)), Some((Term(9), NodeId(9))));
}

/// Nodes come and go without end. The table keeps at most as many as it may.
#[test]
fn the_table_is_bounded() {
    let mut table = DigestTable::default();
    (1..100).for_each(|id| table.record(NodeId(id), digest(EPOCH, id, id), 5, EPOCH));
    assert_eq!(table.digests.len(), 5);
    assert_eq!(table.leader(EPOCH), Some((Term(99), NodeId(99))));
}
