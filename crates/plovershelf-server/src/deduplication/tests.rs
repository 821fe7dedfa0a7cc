use super::*;

/// Nine keys, ten bytes of results, a second of grace.
fn records() -> DeduplicationRecords {
    DeduplicationRecords::new(DeduplicationLimits { max_keys: 9, max_result_bytes: 10, grace_ms: 1000.0 })
}

fn keyed_at(arrived_ms: f64) -> Lookup {
    Lookup { body_hash: 0, arrived_ms, is_keyed: true, max_age_ms: 0.0 }
}

#[test]
fn results_stay_within_their_bytes_and_their_window() {
    let mut records = records();
    let mark = |n: u32| DeduplicationKey::Idempotency(0, n.to_string().into());
    for n in 1..=3 {
        records.insert(mark(n), n, 0, 500.0);
        records.handle_run_started(&mark(n), n);
        records.handle_end(&mark(n), n, Some(b"12345"), 0.0);
    }
    assert_eq!(records.join(&mark(2), 9), Joined::Result(b"12345"));
    assert_eq!(records.join(&mark(3), 9), Joined::NoResult);
    assert_eq!(records.lookup(&mark(3), keyed_at(499.0)), Known::DuplicateOf(3));
    assert_eq!(records.lookup(&mark(3), keyed_at(500.0)), Known::Nothing);
    records.remove_expired(1600.0);
    records.insert(mark(4), 4, 0, 5000.0);
    records.handle_end(&mark(4), 4, Some(b"1234567890"), 2000.0);
    assert_eq!(records.join(&mark(4), 9), Joined::Result(b"1234567890"));
}

/// A run may outlast the window of its key; the next of that key begins anew and takes the mark.
#[test]
fn duplicates_of_a_run_that_outlasts_its_window_learn_of_its_end() {
    let mut records = records();
    let mark = DeduplicationKey::Idempotency(0, "t".into());
    records.insert(mark.clone(), 1, 0, 500.0);
    records.handle_run_started(&mark, 1);
    assert_eq!(records.join(&mark, 2), Joined::Waiting);
    assert_eq!(records.lookup(&mark, keyed_at(500.0)), Known::Nothing);
    records.insert(mark.clone(), 3, 0, 1000.0);
    assert_eq!(records.handle_end(&mark, 1, Some(b"x"), 600.0), [2]);
    assert_eq!(records.lookup(&mark, keyed_at(700.0)), Known::DuplicateOf(3));
}
