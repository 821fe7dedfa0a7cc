use super::*;

#[test]
fn timers_expire_in_the_order_of_their_times_unless_cancelled() {
    let mut timers = TimerQueue::new();
    for (at_ms, timer) in [(30.0, 'c'), (10.0, 'a'), (20.0, 'b'), (10.0, 'd')] {
        timers.schedule(at_ms, timer);
    }
    timers.cancel(20.0, 'b');
    assert_eq!((timers.pop_expired(9.9), timers.next_ms()), (None, Some(10.0)));
    let expired: Vec<char> = std::iter::from_fn(|| timers.pop_expired(30.0)).collect();
    assert_eq!((expired, timers.len()), (vec!['a', 'd', 'c'], 0));
}
