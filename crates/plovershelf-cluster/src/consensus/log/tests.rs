use super::*;

#[derive(Clone, Debug, Default, PartialEq)]
struct Applied(Vec<u8>);

impl StateMachine for Applied {
    type Command = u8;
    fn apply(&mut self, command: &u8) {
        self.0.push(*command);
    }
}

fn command(term: u64, command: u8) -> Entry<u8> {
    Entry { term: Term(term), payload: Payload::Command(command) }
}

fn log() -> ReplicatedLog<Applied> {
    let mut log = ReplicatedLog::new(PersistentState::empty(Applied::default()));
    log.set_term(Term(1), None);
    log.merge(0, &[command(1, 1), command(1, 2), command(1, 3)]);
    log.commit_to(2);
    log
}

/// A delayed message of the same leader arrives after a longer one was acknowledged. The entries after it may be
/// committed already, so it must not truncate the log.
#[test]
fn a_delayed_message_does_not_truncate_the_log() {
    let mut log = log();
    log.merge(0, &[command(1, 1)]);
    assert_eq!(log.last(), LogPosition { term: Term(1), index: 3 });
}

/// A new leader's log differs after the commit index: the first differing entry and all after it are replaced.
#[test]
fn entries_of_another_term_replace_the_rest_of_the_log() {
    let mut log = log();
    log.merge(2, &[command(2, 9)]);
    assert_eq!(log.last(), LogPosition { term: Term(2), index: 3 });
    log.commit_to(3);
    assert_eq!(log.state(), &Applied(vec![1, 2, 9]));
}

/// A faulty message contains other entries at committed indices. Committed entries stay.
#[test]
fn committed_entries_are_never_replaced() {
    let mut log = log();
    log.merge(0, &[command(2, 8), command(2, 9)]);
    assert_eq!(log.last(), LogPosition { term: Term(1), index: 3 });
    assert_eq!(log.state(), &Applied(vec![1, 2]));
}

/// Replaying the records gives the same state as in memory, also across a compaction.
#[test]
fn replayed_records_give_the_state_in_memory() {
    let mut log = log();
    let mut disk = PersistentState::empty(Applied::default());
    for index in 0..300u64 {
        log.append(Payload::Command(index as u8));
        log.commit_to(3 + index);
    }
    log.poll_actions().save.into_iter().for_each(|record| disk.apply(record));
    assert_eq!(&disk, log.persistent());
    assert!(disk.snapshot.last.index > 100, "the log was not compacted");
}
