use super::*;
use rand::SeedableRng;

const ANY: Wants<'static> = Wants { rank: 0.5, subject: 0, avoid: &[], only: None };

fn members(count: u16) -> Members {
    let mut members = Members::default();
    let all: Vec<SocketAddr> = (0..count).map(|n| SocketAddr::from(([127, 0, 0, 1], 9000 + n))).collect();
    members.replace(0.0, &all);
    members
}

/// How often each of them is chosen out of a thousand.
fn shares(members: &Members, wants: &Wants<'_>, terms: &Terms, now: f64) -> Vec<usize> {
    let mut chance = Pcg32::seed_from_u64(5);
    let mut counts = vec![0; members.chosen().len()];
    for _ in 0..1000 {
        if let Choice::Member { id, .. } = members.choose(now, wants, |_| Room::Now, terms, &mut chance) {
            counts[id.0 as usize - 1] += 1;
        }
    }
    counts
}

#[test]
fn the_less_loaded_of_two_is_taken() {
    let mut members = members(4);
    members.get_mut(MemberId(1)).expect("listed").outstanding = 9;
    let counts = shares(&members, &ANY, &Terms::default(), 0.0);
    assert!(counts[0] == 0 && counts[1..].iter().all(|n| *n > 200), "{counts:?}");
}

#[test]
fn a_slow_member_gets_less_until_what_is_known_of_it_is_old() {
    let (mut members, terms) = (members(2), Terms::default());
    members.learn(0.0, MemberId(1), 50.0);
    members.learn(0.0, MemberId(2), 5.0);
    assert_eq!(shares(&members, &ANY, &terms, 1.0)[0], 0);
    members.get_mut(MemberId(2)).expect("listed").outstanding = 1;
    assert_eq!(shares(&members, &ANY, &terms, 60_000.0)[0], 1000);
}

#[test]
fn words_of_a_member_keep_calls_from_itself_alone() {
    let (mut members, terms) = (members(3), Terms::default());
    let away = ServerSignals { retry_after_ms: Some(100.0), ..ServerSignals::default() };
    members.get_mut(MemberId(2)).expect("listed").told(0.0, &away, &terms);
    assert_eq!(shares(&members, &ANY, &terms, 99.0)[1], 0);
    assert!(shares(&members, &ANY, &terms, 101.0)[1] > 200);
    for id in [1, 3] {
        members.get_mut(MemberId(id)).expect("listed").told(0.0, &away, &terms);
    }
    let mut chance = Pcg32::seed_from_u64(1);
    let choice = members.choose(50.0, &ANY, |_| Room::Now, &terms, &mut chance);
    assert_eq!(choice, Choice::After(100.0));
}

#[test]
fn the_advised_value_is_heeded_in_each_of_its_meanings_and_for_its_span() {
    let told = |advice: BackpressureSignal, value: f64, outstanding: usize| {
        let (mut members, terms) = (members(3), Terms { advice, ..Terms::default() });
        let words = ServerSignals { backpressure: Some(value), ..ServerSignals::default() };
        members.get_mut(MemberId(1)).expect("listed").told(0.0, &words, &terms);
        members.iter_mut().for_each(|(_, member)| member.outstanding = outstanding);
        (shares(&members, &ANY, &terms, 10.0)[0], shares(&members, &ANY, &terms, 1001.0)[0])
    };
    let (heeded, after) = told(BackpressureSignal::MinimumPriority, 0.6, 0);
    assert!(heeded == 0 && after > 200, "{heeded}, {after}");
    assert!(told(BackpressureSignal::MinimumPriority, 0.5, 0).0 > 200);
    assert_eq!(told(BackpressureSignal::ConcurrencyPerClient, 2.0, 2).0, 0);
    assert!(told(BackpressureSignal::ConcurrencyPerClient, 2.0, 1).0 > 200);
    let (heeded, after) = told(BackpressureSignal::RateFraction, 0.2, 0);
    assert!(heeded * 2 < after, "{heeded}, {after}");
    assert!(told(BackpressureSignal::None, 0.0, 0).0 > 200);
}

#[test]
fn most_of_a_list_that_fails_is_believed_to_be_the_callers_own_fault() {
    let (mut members, terms) = (members(4), Terms::default());
    let mut chance = Pcg32::seed_from_u64(2);
    for id in [1, 2] {
        members.get_mut(MemberId(id)).expect("listed").breaker.fault(0.0, &terms, &mut chance);
    }
    assert_eq!(shares(&members, &ANY, &terms, 1.0)[..2], [0, 0]);
    members.get_mut(MemberId(3)).expect("listed").breaker.fault(0.0, &terms, &mut chance);
    assert!(shares(&members, &ANY, &terms, 1.0).iter().all(|n| *n > 100));
}

#[test]
fn a_member_of_an_earlier_try_is_taken_last_and_one_that_leaves_too() {
    let (mut members, terms) = (members(3), Terms::default());
    let tried = Wants { avoid: &[MemberId(1)], ..ANY };
    assert_eq!(shares(&members, &tried, &terms, 0.0)[0], 0);
    members.get_mut(MemberId(2)).expect("listed").leaving_until = 500.0;
    assert_eq!(shares(&members, &tried, &terms, 1.0), [0, 0, 1000]);
    members.get_mut(MemberId(3)).expect("listed").away_until = 500.0;
    assert!(shares(&members, &tried, &terms, 1.0)[..2].iter().all(|n| *n > 200));
}

#[test]
fn a_subject_stays_with_its_member_as_long_as_that_has_no_more_than_its_part() {
    let (mut members, terms) = (members(5), Terms { by_subject: true, ..Terms::default() });
    let about = Wants { subject: 77, ..ANY };
    let counts = shares(&members, &about, &terms, 0.0);
    let own = counts.iter().position(|n| *n == 1000).expect("one member has them all");
    members.get_mut(MemberId(own as u32 + 1)).expect("listed").outstanding = 4;
    let moved = shares(&members, &about, &terms, 0.0);
    assert_eq!((moved[own], moved.iter().max().copied()), (0, Some(1000)));
}

#[test]
fn those_that_left_the_list_serve_until_another_is_connected() {
    let (mut members, terms) = (members(2), Terms::default());
    members.iter_mut().for_each(|(id, member)| member.links.push(LinkId(u64::from(id.0))));
    members.replace(0.0, &[SocketAddr::from(([127, 0, 0, 1], 9100))]);
    let mut chance = Pcg32::seed_from_u64(2);
    let room = |member: &Member| if member.links.is_empty() { Room::Soon } else { Room::Now };
    let choice = members.choose(1.0, &ANY, room, &terms, &mut chance);
    assert!(matches!(choice, Choice::Member { id: MemberId(1 | 2), .. }), "{choice:?}");
    members.get_mut(MemberId(3)).expect("listed").links.push(LinkId(9));
    let choice = members.choose(1.0, &ANY, room, &terms, &mut chance);
    assert_eq!(choice, Choice::Member { id: MemberId(3), warm: None });
}
