use super::*;

/// Returns records with nine keys, ten bytes of results and a grace of one second.
fn records() -> DeduplicationRecords {
    DeduplicationRecords::new(DeduplicationLimits { max_keys: 9, max_result_bytes: 10, grace_ms: 1000.0 })
}

fn keyed_at(arrived_ms: f64) -> Lookup {
    Lookup { body_hash: 0, arrived_ms, is_keyed: true, max_age_ms: 0.0 }
}

#[test]
fn results_are_bounded_in_size_and_expire_with_their_window() {
    let mut records = records();
    let key = |n: u32| DeduplicationKey::Idempotency(0, n.to_string().into());
    for n in 1..=3 {
        records.insert(key(n), n, 0, 500.0);
        records.handle_run_started(&key(n), n);
        records.handle_end(&key(n), n, Some(b"12345"), 0.0);
    }
    assert_eq!(records.join(&key(2), 9), Joined::Result(b"12345"));
    assert_eq!(records.join(&key(3), 9), Joined::NoResult);
    assert_eq!(records.lookup(&key(3), keyed_at(499.0)), LookupResult::DuplicateOf(3));
    assert_eq!(records.lookup(&key(3), keyed_at(500.0)), LookupResult::NoRecord);
    records.remove_expired(1600.0);
    records.insert(key(4), 4, 0, 5000.0);
    records.handle_end(&key(4), 4, Some(b"1234567890"), 2000.0);
    assert_eq!(records.join(&key(4), 9), Joined::Result(b"1234567890"));
}

/// A run may take longer than the window of its key. The next request with that key then becomes its owner.
#[test]
fn duplicates_get_the_result_of_a_run_that_outlasts_its_window() {
    let mut records = records();
    let key = DeduplicationKey::Idempotency(0, "t".into());
    records.insert(key.clone(), 1, 0, 500.0);
    records.handle_run_started(&key, 1);
    assert_eq!(records.join(&key, 2), Joined::Waiting);
    assert_eq!(records.lookup(&key, keyed_at(500.0)), LookupResult::NoRecord);
    records.insert(key.clone(), 3, 0, 1000.0);
    assert_eq!(records.handle_end(&key, 1, Some(b"x"), 600.0), [2]);
    assert_eq!(records.lookup(&key, keyed_at(700.0)), LookupResult::DuplicateOf(3));
}
