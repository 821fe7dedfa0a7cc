use super::*;

const EPOCH: Epoch = Epoch(1 << 40);

fn digest(epoch: Epoch, term: u64, leader: u64) -> StateDigest {
    StateDigest { epoch, commit_index: 0, term: Term(term), leader: Some(NodeId(leader)) }
}

/// Guards against a stale leader: after a change of leaders some digests still contain the old one. The leader of the
/// newest term is returned, and leaders of other epochs are ignored.
#[test]
fn the_leader_of_the_newest_term_of_the_epoch_is_returned() {
    let mut table = DigestTable::default();
    table.record(NodeId(1), digest(EPOCH, 4, 7), 10, EPOCH);
    table.record(NodeId(2), digest(EPOCH, 3, 8), 10, EPOCH);
    table.record(NodeId(3), digest(Epoch(2 << 40), 9, 9), 10, EPOCH);
    assert_eq!(table.leader(EPOCH), Some((Term(4), NodeId(7))));
    assert_eq!(table.leader(Epoch(2 << 40)), Some((Term(9), NodeId(9))));
}

/// Guards against unbounded growth while nodes join and leave: the table has at most `max_nodes` entries.
#[test]
fn the_table_is_bounded() {
    let mut table = DigestTable::default();
    (1..100).for_each(|id| table.record(NodeId(id), digest(EPOCH, id, id), 5, EPOCH));
    assert_eq!(table.digests.len(), 5);
    assert_eq!(table.leader(EPOCH), Some((Term(99), NodeId(99))));
}
