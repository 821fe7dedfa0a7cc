use super::*;

fn about(number: u64) -> About {
    About {
        id: Id(number),
        name: format!("n{number}"),
        zone: "z1".into(),
        region: "r1".into(),
        address: SocketAddr::from(([127, 0, (number >> 8) as u8, number as u8], 7000)),
        born: 1,
    }
}

fn alive(number: u64) -> News {
    let about = about(number);
    let by = about.id;
    News { about, stand: 1, fit: true, leaving: false, life: number, condition: Condition::Alive, by }
}

fn member(number: u64) -> Members {
    Members::new(about(number), Terms::default(), Vec::new(), number, 0.0)
}

/// One that has heard of so many, in messages of a few each.
fn knowing(number: u64, others: impl Iterator<Item = u64>) -> Members {
    let mut one = member(number);
    for other in others {
        one.hear(0.0, Id(other), about(other).address, Message::Tell { news: vec![alive(other)] });
    }
    one.take();
    one
}

fn news_of(message: &Message) -> &[News] {
    match message {
        Message::Ping { news, .. } | Message::Pong { news, .. } => news,
        Message::Through { news, .. } | Message::Reached { news, .. } => news,
        Message::Tell { news } | Message::Part { news } => news,
        Message::Sums { .. } => &[],
    }
}

#[test]
fn a_death_does_not_wait_for_hundreds_that_join() {
    let mut one = knowing(1, 2..400);
    assert!(one.rumours() >= 390);
    // All else was told less often than the death in the end.
    for turn in 0..8u32 {
        let dead = News { condition: Condition::Dead, ..alive(399) };
        let from = about(2).address;
        if turn == 0 {
            one.hear(1.0, Id(2), from, Message::Tell { news: vec![dead.clone()] });
            one.take();
        }
        one.hear(2.0, Id(2), from, Message::Ping { nonce: 1, news: vec![] });
        let (sent, _) = one.take();
        let told = sent.iter().flat_map(|(_, message)| news_of(message));
        assert!(told.into_iter().any(|news| *news == dead), "turn {turn}: {sent:?}");
    }
}

#[test]
fn what_changed_is_told_to_a_few_at_once_and_a_zone_that_dies_is_no_flood() {
    let mut one = knowing(1, 2..300);
    one.tick(1000.0);
    one.take();
    let mut told = 0;
    for step in 0..100u64 {
        let now = 1000.0 + step as f64;
        let dead = News { condition: Condition::Dead, ..alive(200 + step) };
        one.hear(now, Id(2), about(2).address, Message::Tell { news: vec![dead] });
        assert!(one.next_at() <= now + Terms::default().tell_ms, "it is woken for it");
        one.tick(now);
        let (sent, _) = one.take();
        let tells = sent.iter().filter(|(_, message)| matches!(message, Message::Tell { .. })).count();
        assert!(step > 0 || tells == Terms::default().tell, "the first at once: {sent:?}");
        told += tells;
    }
    assert_eq!(told, Terms::default().tell, "the others of these 100 ms later, and together");
}

/// Carries messages between two until none is left; how many there were.
fn converse(one: &mut Members, other: &mut Members, now: f64) -> usize {
    let mut count = 0;
    loop {
        let (to_other, to_one) = (one.take().0, other.take().0);
        let (own, others) = (one.me.about.clone(), other.me.about.clone());
        if to_other.is_empty() && to_one.is_empty() {
            return count;
        }
        for (_, message) in to_other {
            assert!(news_of(&message).len() <= Terms::default().exchange + Terms::default().news + 2);
            count += 1;
            other.hear(now, own.id, own.address, message);
        }
        for (_, message) in to_one {
            count += 1;
            one.hear(now, others.id, others.address, message);
        }
    }
}

#[test]
fn comparisons_bring_all_to_one_that_joins_and_nothing_where_nothing_differs() {
    let (mut old, mut new) = (knowing(1, 2..601), knowing(1000, 1..2));
    let mut rounds = 0;
    while new.sums() != old.sums() {
        rounds += 1;
        assert!(rounds <= 12, "{} known", new.table.len());
        new.exchange();
        let count = converse(&mut new, &mut old, f64::from(rounds));
        assert!(count <= 2 * PART_MESSAGES_MOST + 2, "bounded: {count}");
    }
    assert_eq!((new.table.len(), old.table.len()), (600, 600));
    // What came so is not told on by one that could tell of nothing else for minutes.
    assert!(new.rumours() <= 1, "{}", new.rumours());
    new.exchange();
    assert_eq!(converse(&mut new, &mut old, 20.0), 1, "the sums alone");
    // A death that never came here as news.
    let dead = News { condition: Condition::Dead, ..alive(77) };
    old.hear(21.0, Id(2), about(2).address, Message::Tell { news: vec![dead] });
    old.take();
    new.exchange();
    converse(&mut new, &mut old, 21.0);
    assert_eq!(new.find(Id(77)).map(|news| news.condition), Some(Condition::Dead));
    assert_eq!(new.sums(), old.sums());
}

#[test]
fn sums_of_another_length_are_left_unread() {
    let mut one = knowing(1, 2..50);
    for length in [0, 1, PARTS - 1, PARTS + 1, 5000] {
        let sums = Message::Sums { sums: vec![7; length], answer: true };
        one.hear(1.0, Id(2), about(2).address, sums);
        assert!(one.take().0.is_empty(), "{length}");
    }
}
