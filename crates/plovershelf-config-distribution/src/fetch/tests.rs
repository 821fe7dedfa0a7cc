use rand::SeedableRng;

use super::*;
use crate::test_support::{address, version};

fn chunk(after: Option<&str>, tenant: &str, quota_per_s: f64, is_last: bool) -> ReceivedChunk {
    let entries = vec![Entry { tenant: tenant.into(), quota_per_s }];
    ReceivedChunk { version: version(3), digest: 7, after: after.map(String::from), entries, is_last }
}

/// A parent answers no request. Each request must time out, and the third timeout in a row must report the limit.
#[test]
fn third_consecutive_timeout_reaches_the_failure_limit() {
    let mut fetcher = Fetcher::new(0.0, 1000.0);
    for attempt in 1..=3 {
        assert!(fetcher.is_ready(0.0));
        fetcher.begin(0.0, address(1));
        assert!(fetcher.is_waiting_for(address(1)) && !fetcher.is_ready(0.0));
        assert_eq!(fetcher.handle_timeout(999.0), None);
        let failed = fetcher.handle_timeout(1000.0);
        assert_eq!(failed, Some(FailedRequest { from: address(1), limit_reached: attempt == 3 }));
    }
    fetcher.reset();
    fetcher.begin(0.0, address(1));
    assert!(fetcher.handle_timeout(1000.0).is_some_and(|failed| !failed.limit_reached));
}

/// Chunks arrive from an unknown process, out of order, or twice. They must not change the snapshot under assembly.
#[test]
fn unexpected_chunks_are_ignored() {
    let rng = &mut Pcg32::seed_from_u64(1);
    let mut fetcher = Fetcher::new(0.0, 1000.0);
    let first = || chunk(None, "b", 1.0, false);
    assert_eq!(fetcher.handle_chunk(0.0, address(1), first(), rng), ChunkOutcome::Ignored);
    fetcher.begin(0.0, address(1));
    assert_eq!(fetcher.handle_chunk(0.0, address(2), first(), rng), ChunkOutcome::Ignored);
    let next = ChunkOutcome::RequestNext { version: version(3), after: Some("b".into()) };
    assert_eq!(fetcher.handle_chunk(0.0, address(1), first(), rng), next);
    let skipping = chunk(Some("c"), "d", 1.0, true);
    assert_eq!(fetcher.handle_chunk(0.0, address(1), skipping, rng), ChunkOutcome::Ignored);
    assert!(fetcher.is_waiting_for(address(1)));
}

/// A snapshot has a digest that does not match or an invalid quota. It must be dropped, and the next request must be
/// delayed.
#[test]
fn invalid_snapshots_are_dropped_and_the_next_request_is_delayed() {
    let rng = &mut Pcg32::seed_from_u64(1);
    for (quota_per_s, is_last) in [(1.0, true), (-1.0, false)] {
        let mut fetcher = Fetcher::new(0.0, 1000.0);
        fetcher.begin(0.0, address(1));
        let outcome = fetcher.handle_chunk(5.0, address(1), chunk(None, "b", quota_per_s, is_last), rng);
        match is_last {
            true => assert!(matches!(outcome, ChunkOutcome::InvalidTable(_)), "{outcome:?}"),
            false => assert!(matches!(outcome, ChunkOutcome::InvalidChunk(_)), "{outcome:?}"),
        }
        assert!(fetcher.is_idle() && !fetcher.is_ready(1004.0) && fetcher.is_ready(1005.0));
    }
}

/// Guards against an endless transfer: the sender's version advances faster than its change log can cover, so each
/// chunk starts the snapshot again. The transfer must be abandoned after the maximum number of starts.
#[test]
fn snapshot_that_restarts_too_often_is_abandoned() {
    let rng = &mut Pcg32::seed_from_u64(1);
    let mut fetcher = Fetcher::new(0.0, 1000.0);
    fetcher.begin(0.0, address(1));
    for _ in 0..MAX_STARTS {
        let outcome = fetcher.handle_chunk(5.0, address(1), chunk(None, "b", 1.0, false), rng);
        assert!(matches!(outcome, ChunkOutcome::RequestNext { .. }), "{outcome:?}");
    }
    let outcome = fetcher.handle_chunk(5.0, address(1), chunk(None, "b", 1.0, false), rng);
    assert_eq!(outcome, ChunkOutcome::Abandoned);
    assert!(fetcher.is_idle() && !fetcher.is_ready(400.0) && fetcher.is_ready(1005.0));
}
