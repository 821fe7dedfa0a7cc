//! What the checker's bounds leave out: time, bounds in count and bytes, many tickets, and any messages at all.

use plovershelf_cluster::NodeId as Id;
use plovershelf_replication::copies::{Claim, Copies, Ending, Message, Record, Terms, Told};
use plovershelf_replication::placement::{place, Holder, Ticket};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn holders(of: &[u64]) -> Vec<Holder> {
    of.iter()
        .map(|n| Holder { id: Id(*n), zone: format!("z{}", n % 3), machine: format!("m{n}"), weight: 1.0 })
        .collect()
}

/// Members by their numbers from 1, with all messages handed on at once, but for those to members that are away.
struct Members {
    all: Vec<Option<Copies>>,
    now: f64,
    told: Vec<(usize, Told)>,
}

impl Members {
    fn of(count: u64, terms: Terms) -> Self {
        let all = (1..=count).map(|n| Some(Copies::new(Id(n), terms.clone(), 0.0))).collect();
        let mut some = Members { all, now: 0.0, told: Vec::new() };
        some.view(1);
        some
    }

    fn view(&mut self, number: u64) {
        let there: Vec<u64> =
            (1..=self.all.len() as u64).filter(|n| self.all[*n as usize - 1].is_some()).collect();
        let now = self.now;
        self.all.iter_mut().flatten().for_each(|copies| copies.view_is(now, number, holders(&there)));
        self.settle();
    }

    fn settle(&mut self) {
        for _ in 0..10_000 {
            let mut under_way = Vec::new();
            for (place, copies) in self.all.iter_mut().enumerate() {
                let Some(copies) = copies else { continue };
                let (send, out) = copies.take();
                under_way.extend(send.into_iter().map(|(to, message)| (Id(place as u64 + 1), to, message)));
                self.told.extend(out.into_iter().map(|one| (place, one)));
            }
            if under_way.is_empty() {
                return;
            }
            for (from, to, message) in under_way {
                if let Some(copies) = self.all[to.0 as usize - 1].as_mut() {
                    copies.hear(self.now, from, message);
                }
            }
        }
        panic!("messages without end");
    }

    fn pass(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 10.0;
            let now = self.now;
            self.all.iter_mut().flatten().for_each(|copies| copies.tick(now));
            self.settle();
        }
    }

    fn begin(&mut self, member: usize, ticket: Ticket) -> u64 {
        let now = self.now;
        let number = self.all[member].as_mut().expect("it lives").begin(now, ticket, now + 1000.0, 5000.0);
        self.settle();
        number
    }

    fn ended(&mut self, member: usize, number: u64, ending: Ending) {
        let now = self.now;
        self.all[member].as_mut().expect("it lives").ended(now, number, ending);
        self.settle();
    }

    fn told(&mut self) -> Vec<(usize, Told)> {
        std::mem::take(&mut self.told)
    }
}

fn ticket(n: u64) -> Ticket {
    Ticket::of("book", &n.to_be_bytes())
}

fn well() -> Ending {
    Ending::Succeeded(b"made".to_vec())
}

#[test]
fn a_repeat_elsewhere_gets_the_result_until_the_window_ends_and_runs_anew_after_it() {
    let mut some = Members::of(9, Terms::default());
    let number = some.begin(0, ticket(1));
    assert_eq!(some.told(), [(0, Told::Launch(number))]);
    let repeat = some.begin(4, ticket(1));
    assert_eq!(some.told(), []);
    some.ended(0, number, well());
    let mut told = some.told();
    told.sort_by_key(|(place, _)| *place);
    assert_eq!(told, [(0, Told::Answer(number, well())), (4, Told::Ended(repeat, well()))]);
    some.pass(4000.0);
    let late = some.begin(7, ticket(1));
    assert_eq!(some.told(), [(7, Told::Ended(late, well()))]);
    some.pass(2000.0);
    let anew = some.begin(7, ticket(1));
    assert_eq!(some.told(), [(7, Told::Launch(anew))]);
}

#[test]
fn one_that_waits_takes_over_when_the_other_gives_up_before_its_launch() {
    let mut some = Members::of(3, Terms::default());
    let placed = place(ticket(1), &holders(&[1, 2, 3]), 3);
    // The last holder hears nothing, so the claim does not stand.
    let deaf = placed[2].0 as usize - 1;
    let kept = some.all[deaf].take();
    let first = (0..3).find(|m| *m != deaf).expect("two others");
    let other = (0..3).find(|m| *m != deaf && *m != first).expect("another");
    let number = some.begin(first, ticket(1));
    let waits = some.begin(other, ticket(1));
    assert_eq!(some.told(), []);
    some.all[deaf] = kept;
    let now = some.now;
    some.all[first].as_mut().expect("it lives").given_up(now, number);
    some.settle();
    some.pass(300.0);
    let told = some.told();
    assert!(
        told.contains(&(first, Told::Refuse(number))) && told.contains(&(other, Told::Launch(waits))),
        "{told:?}"
    );
}

#[test]
fn in_doubt_is_the_same_everywhere_also_for_the_one_that_comes_back_with_its_result() {
    let mut some = Members::of(9, Terms::default());
    let number = some.begin(0, ticket(5));
    assert_eq!(some.told(), [(0, Told::Launch(number))]);
    // It is out of sight, not dead: the others go on without it.
    let away = some.all[0].take();
    some.view(2);
    some.pass(1000.0);
    let asks = some.begin(3, ticket(5));
    assert_eq!(some.told(), [(3, Told::Ended(asks, Ending::InDoubt))]);
    some.all[0] = away;
    some.ended(0, number, well());
    assert_eq!(some.told(), []);
    some.view(3);
    some.pass(1000.0);
    assert_eq!(some.told(), [(0, Told::Answer(number, Ending::InDoubt))]);
}

#[test]
fn copies_are_made_good_and_the_next_loss_finds_them() {
    let mut some = Members::of(9, Terms::default());
    for n in 0..300 {
        let number = some.begin((n % 9) as usize, ticket(n));
        some.ended((n % 9) as usize, number, well());
    }
    some.told();
    for (lost, view) in [(2usize, 2u64), (5, 3), (8, 4), (0, 5)] {
        some.all[lost] = None;
        some.view(view);
        some.pass(2500.0 / 4.0);
        let low: usize = some.all.iter().flatten().map(Copies::low).sum();
        assert_eq!(low, 0, "after view {view}");
    }
    for n in 0..300 {
        let number = some.begin(1, ticket(n));
        assert_eq!(some.told(), [(1, Told::Ended(number, well()))], "ticket {n}");
    }
}

#[test]
fn too_few_holders_and_a_full_one_promise_nothing() {
    let mut alone = Members::of(1, Terms::default());
    let number = alone.begin(0, ticket(1));
    assert_eq!(alone.told(), [(0, Told::Refuse(number))]);
    let mut full = Members::of(3, Terms { tickets: 2, ..Terms::default() });
    for n in 0..2 {
        let number = full.begin(0, ticket(n));
        full.ended(0, number, well());
    }
    full.told();
    let number = full.begin(0, ticket(2));
    full.pass(1200.0);
    assert_eq!(full.told(), [(0, Told::Refuse(number))]);
    assert!(full.all.iter().flatten().all(|copies| copies.held_count() <= 2));
    // Windows end, and there is room again.
    full.pass(5000.0);
    let number = full.begin(0, ticket(3));
    assert_eq!(full.told(), [(0, Told::Launch(number))]);
    let mut small = Members::of(3, Terms { bytes: 4000, ..Terms::default() });
    for n in 0..40 {
        let number = small.begin(0, ticket(n));
        small.ended(0, number, Ending::Succeeded(vec![0; 1000]));
    }
    assert!(
        small.all.iter().flatten().all(|copies| copies.held_bytes() <= 4000 + 1160),
        "a result may come over by one"
    );
}

#[test]
fn an_older_view_is_not_taken_and_a_claim_that_nobody_ends_is_asked_about() {
    let mut some = Members::of(3, Terms::default());
    some.view(2);
    let claim = Claim { runner: Id(2), number: 1 };
    let stale = Message::Claim { view: 1, ticket: ticket(1), claim, round: 0, keep_ms: 1000 };
    for copies in some.all.iter_mut().flatten() {
        copies.hear(1.0, Id(2), stale.clone());
        assert_eq!(copies.held_count(), 0);
    }
    // A claim of which its runner knows nothing: it is free after a while.
    let record = Record {
        claim,
        order: (2, 1),
        holders: vec![Id(1), Id(2), Id(3)],
        round: 0,
        ending: None,
        ended: (0, 0),
        keep_ms: 100,
    };
    let first = place(ticket(1), &holders(&[1, 2, 3]), 3)[0];
    for copies in some.all.iter_mut().flatten() {
        copies.hear(1.0, first, Message::Keep { view: 2, records: vec![(ticket(1), record.clone())] });
    }
    some.settle();
    assert!(some.all.iter().flatten().any(|copies| copies.held_count() > 0));
    some.pass(3000.0);
    assert!(some.all.iter().flatten().all(|copies| copies.held_count() == 0));
}

/// One of the holders is gone, and the group doubts it: its place is taken by another, also where the claim hangs already; what
/// that one holds counts as any other's.
#[test]
fn a_holder_that_may_be_gone_is_passed_over_before_the_view_changes() {
    let mut some = Members::of(9, Terms::default());
    let all: Vec<u64> = (1..=9).collect();
    let placed = place(ticket(3), &holders(&all), 3);
    let (first, gone) = (placed[0].0 as usize - 1, placed[2]);
    some.all[gone.0 as usize - 1] = None;
    let runner = (0..9).find(|m| !placed.contains(&Id(*m as u64 + 1))).expect("six others");
    let number = some.begin(runner, ticket(3));
    some.pass(200.0);
    assert_eq!(some.told(), [], "it hangs on the one that is gone");
    let doubted = std::collections::BTreeSet::from([gone]);
    let now = some.now;
    some.all.iter_mut().flatten().for_each(|copies| copies.doubts(now, doubted.clone()));
    some.settle();
    assert_eq!(some.told(), [(runner, Told::Launch(number))]);
    let stands = some.all.iter().flatten().filter(|copies| copies.find(ticket(3)).is_some()).count();
    assert_eq!(stands, 3);
    // Runner and first are lost at once, before it ended: of the three copies one is left, and the run is in doubt everywhere.
    some.all[runner] = None;
    some.all[first] = None;
    some.view(2);
    some.pass(500.0);
    let asks = (0..9).find(|m| some.all[*m].is_some()).expect("six live");
    let repeat = some.begin(asks, ticket(3));
    some.pass(300.0);
    assert_eq!(some.told(), [(asks, Told::Ended(repeat, Ending::InDoubt))]);
}

/// Three members, one of them doubted: there is no fourth to hold instead, so nothing is launched on two copies.
#[test]
fn a_doubted_holder_is_not_passed_over_where_nobody_can_hold_instead() {
    let mut some = Members::of(3, Terms::default());
    let placed = place(ticket(3), &holders(&[1, 2, 3]), 3);
    some.all[placed[2].0 as usize - 1] = None;
    let now = some.now;
    for copies in some.all.iter_mut().flatten() {
        copies.doubts(now, std::collections::BTreeSet::from([placed[2]]));
    }
    let runner = placed[0].0 as usize - 1;
    let number = some.begin(runner, ticket(3));
    some.pass(300.0);
    assert_eq!(some.told(), []);
    // It holds no room for long: it is given back, and its caller may come again.
    some.pass(200.0);
    assert_eq!(some.told(), [(runner, Told::Refuse(number))]);
}

/// One that leaves goes on as a runner until its run has ended, then hands on all that it held, and goes; nothing is in doubt.
#[test]
fn one_that_leaves_ends_what_it_runs_and_hands_on_what_it_holds() {
    let mut some = Members::of(9, Terms::default());
    let leaves = 4usize;
    for n in 0..30 {
        let number = some.begin(n as usize % 9, ticket(n));
        some.ended(n as usize % 9, number, well());
    }
    let runs = some.begin(leaves, ticket(100));
    some.told();
    let now = some.now;
    let view: Vec<Holder> = holders(&(1..=9).collect::<Vec<_>>())
        .into_iter()
        .map(|holder| Holder { weight: if holder.id == Id(5) { 0.0 } else { 1.0 }, ..holder })
        .collect();
    some.all.iter_mut().flatten().for_each(|copies| copies.view_is(now, 2, view.clone()));
    some.all[leaves].as_mut().expect("it lives").leave(now);
    some.settle();
    some.pass(1000.0);
    assert!(!some.all[leaves].as_ref().expect("it lives").handed_on(), "its run has not ended");
    some.ended(leaves, runs, well());
    some.pass(1000.0);
    assert_eq!(some.told(), [(leaves, Told::Answer(runs, well()))]);
    assert!(some.all[leaves].as_ref().expect("it lives").handed_on());
    for n in (0..30).chain([100]) {
        let copies = some.all.iter().flatten().enumerate();
        let held = copies.filter(|(m, copies)| *m != leaves && copies.find(ticket(n)).is_some()).count();
        assert!(held >= 3, "ticket {n} stands {held} times");
    }
    some.all[leaves] = None;
    some.view(3);
    some.pass(500.0);
    let repeat = some.begin(0, ticket(100));
    assert_eq!(some.told(), [(0, Told::Ended(repeat, well()))]);
}

fn endings() -> impl Strategy<Value = Ending> {
    prop_oneof![Just(Ending::Failed), Just(Ending::InDoubt), Just(Ending::Succeeded(vec![7]))]
}

fn messages() -> impl Strategy<Value = Message> {
    let views = 0u64..4;
    let tickets = (0u64..3).prop_map(ticket);
    let claims = (0u64..5, 0u64..4).prop_map(|(runner, number)| Claim { runner: Id(runner), number });
    let records = (
        claims.clone(),
        0u64..4,
        0u64..4,
        proptest::collection::vec((0u64..5).prop_map(Id), 0..4),
        proptest::option::of(endings()),
    )
        .prop_map(|(claim, view, place, holders, ending)| Record {
            claim,
            order: (view, place),
            holders,
            round: place as u32 % 2,
            ending,
            ended: (view, 0),
            keep_ms: 50,
        });
    let base = (views, tickets, claims, records, endings(), 0u64..4);
    (base, 0usize..16).prop_map(|((view, ticket, claim, record, ending, count), kind)| match kind {
        0 => Message::Claim { view, ticket, claim, round: count as u32 % 3, keep_ms: 10 },
        1 => Message::Copy { view, ticket, record },
        2 => Message::Stands { view, ticket, claim, round: count as u32 % 3, holders: record.holders },
        3 => Message::Taken { view, ticket, claim, ending: record.ending },
        4 => Message::Free { view, ticket },
        5 => Message::End { view, ticket, claim, ending, keep_ms: 10 },
        6 => Message::Ended { view, ticket, claim, ending },
        7 => Message::GiveBack { view, ticket, claim },
        8 => Message::Tell { view, held: vec![(ticket, record)], runs: vec![(ticket, claim)] },
        9 => Message::Told { view, count },
        10 => Message::Keep { view, records: vec![(ticket, record)] },
        11 => Message::Kept { view, tickets: vec![ticket] },
        12 => Message::HeardAll { view },
        13 => Message::MayGo { view },
        14 => Message::Go { view },
        _ => Message::Still { view, ticket, claim },
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn any_messages_in_any_state_leave_it_bounded_and_tell_each_number_once(
        steps in proptest::collection::vec((0u64..5, messages(), 0u32..60), 1..150),
    ) {
        let mut copies = Copies::new(Id(1), Terms { tickets: 8, ..Terms::default() }, 0.0);
        let (mut now, mut ends) = (0.0, std::collections::BTreeMap::<u64, u32>::new());
        let mut begun = 0;
        for (place, (from, message, wait)) in steps.into_iter().enumerate() {
            now += f64::from(wait);
            match place % 12 {
                0 => copies.view_is(now, place as u64 / 24 + 1, holders(&[1, 2, 3, 4])),
                5 => begun = copies.begin(now, ticket(place as u64 % 3), now + 200.0, 100.0),
                9 => copies.ended(now, begun, Ending::Failed),
                _ => copies.hear(now, Id(from), message),
            }
            if wait > 30 {
                copies.tick(now);
            }
            let (send, out) = copies.take();
            prop_assert!(send.len() < 300, "{} messages", send.len());
            prop_assert!(copies.held_count() <= 8);
            for told in out {
                if let Told::Ended(number, _) | Told::Answer(number, _) | Told::Refuse(number) = told {
                    *ends.entry(number).or_default() += 1;
                }
            }
        }
        prop_assert!(ends.values().all(|times| *times == 1), "{ends:?}");
    }
}
