//! A launch before the claim stands, an answer before the result is copied, and a blank member that confirms are each caught
//! by the walk that finds nothing in the whole code.

mod walk;

use std::sync::atomic::Ordering;

use plovershelf_cluster::NodeId as Id;
use plovershelf_replication::broken::{set, Broken};
use plovershelf_replication::copies::{Claim, Copies, Ending, Message, Terms};
use plovershelf_replication::placement::Holder;
use stateright::{Checker, Model};
use walk::{holders, Left, Tickets, BROKEN, TICKET};

fn caught(broken: Broken, tries: [usize; 2], crashes: u8) {
    let holders = holders(3, 3);
    let tries = tries.iter().map(|place| holders[*place]).collect();
    let left = Left { crashes, doubles: 0, breaks: 0, gives_up: 0, doubts: 0 };
    set(Some(broken));
    let checker = Tickets { members: 3, copies: 3, tries, left }.checker().threads(4).spawn_bfs().join();
    set(None);
    set(None);
    let found = BROKEN.swap(0, Ordering::Relaxed);
    assert_ne!(found, 0, "{broken:?}: {} states", checker.unique_state_count());
    println!("{broken:?}: {found:b} after {} states", checker.unique_state_count());
}

/// What a holder that was never told of a claim says to its ending.
fn blank_says() -> usize {
    let holder = |n: u64| Holder { id: Id(n), zone: format!("z{n}"), machine: format!("m{n}"), weight: 1.0 };
    let mut blank = Copies::new(Id(2), Terms { copies: 3, ..Terms::default() }, 0.0);
    blank.view_is(0.0, 1, (1..=3).map(holder).collect());
    let _ = blank.take();
    let claim = Claim { runner: Id(1), number: 1 };
    let end = Message::End { view: 1, ticket: TICKET, claim, ending: Ending::Failed, keep_ms: 1000 };
    blank.hear(1.0, Id(1), end);
    let (send, _) = blank.take();
    send.iter().filter(|(_, message)| matches!(message, Message::Ended { .. })).count()
}

#[test]
fn each_variant_is_caught() {
    caught(Broken::LaunchBeforeClaimStands, [1, 2], 1);
    caught(Broken::AnswerBeforeCopied, [1, 2], 2);
    assert_eq!(blank_says(), 0);
    set(Some(Broken::BlankConfirms));
    let said = blank_says();
    set(None);
    assert_eq!(said, 1, "the variant is one");
}
