use super::*;
use crate::admission::test_support::{config, request};

/// Clients retry without a mark, and what is left of their timeout is all that tells. An attempt with
/// another wait than the usual ones is old; a wait that comes often becomes usual.
#[test]
fn an_attempt_that_waits_for_the_rest_of_its_timeout_tells_its_age() {
    let mut detection = RetryDetection::new(&config());
    let mut waited_ms = |class, patience_ms| detection.observe(&request(1, class), patience_ms);
    (0..20).for_each(|_| assert_eq!(waited_ms(0, 1500.0), 0.0));
    assert_eq!(waited_ms(0, 2600.0), 400.0);
    (0..2).for_each(|_| assert!(waited_ms(0, 2600.0) > 0.0));
    assert_eq!(waited_ms(0, 2600.0), 0.0);
    assert_eq!(waited_ms(1, 2600.0), 0.0);
}

#[test]
fn an_attempt_without_a_deadline_or_without_the_mark_where_retries_are_marked_counts_as_the_first() {
    let without_deadline = Request { deadline_ms: None, ..request(1, 0) };
    let marked = Request { marked_retry: true, ..request(1, 0) };
    for (retries_marked, attempt, waited_ms) in
        [(false, without_deadline, 0.0), (true, request(1, 0), 0.0), (true, marked, 400.0)]
    {
        let mut detection = RetryDetection::new(&BackendConfig { retries_marked, ..config() });
        for _ in 0..20 {
            detection.observe(&request(1, 0), 1500.0);
        }
        assert_eq!(detection.observe(&attempt, 2600.0), waited_ms);
    }
}
