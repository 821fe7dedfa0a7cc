use super::*;
use crate::admission::test_support::{config, request};

/// Guards against retries without a mark, which only the rest of their timeout reveals. An attempt with an
/// uncommon timeout counts as a retry; a timeout that recurs becomes common.
#[test]
fn an_uncommon_timeout_reveals_the_time_since_the_first_attempt() {
    let mut detection = RetryDetection::new(&config());
    let mut prior_wait_ms =
        |class, attempt_timeout_ms| detection.observe(&request(1, class), attempt_timeout_ms);
    (0..20).for_each(|_| assert_eq!(prior_wait_ms(0, 1500.0), 0.0));
    assert_eq!(prior_wait_ms(0, 2600.0), 400.0);
    (0..2).for_each(|_| assert!(prior_wait_ms(0, 2600.0) > 0.0));
    assert_eq!(prior_wait_ms(0, 2600.0), 0.0);
    assert_eq!(prior_wait_ms(1, 2600.0), 0.0);
}

#[test]
fn without_a_deadline_or_a_required_mark_an_attempt_counts_as_the_first() {
    let without_deadline = Request { deadline_ms: None, ..request(1, 0) };
    let marked = Request { marked_retry: true, ..request(1, 0) };
    for (retries_marked, attempt, prior_wait_ms) in
        [(false, without_deadline, 0.0), (true, request(1, 0), 0.0), (true, marked, 400.0)]
    {
        let mut detection = RetryDetection::new(&BackendConfig { retries_marked, ..config() });
        for _ in 0..20 {
            detection.observe(&request(1, 0), 1500.0);
        }
        assert_eq!(detection.observe(&attempt, 2600.0), prior_wait_ms);
    }
}
