use rand::SeedableRng;

use super::*;
use crate::test_support::{address, version};

fn chunk(after: Option<&str>, tenant: &str, quota_per_s: f64, is_last: bool) -> ReceivedChunk {
    let entries = vec![Entry { tenant: tenant.into(), quota_per_s }];
    ReceivedChunk { version: version(3), digest: 7, after: after.map(String::from), entries, is_last }
}

/// The parent answers nothing. Each request must be given up in time, and the parent after three in a row.
#[test]
fn third_request_in_a_row_without_an_answer_gives_the_sender_up() {
    let mut fetcher = Fetcher::new(0.0, 1000.0);
    for attempt in 1..=3 {
        assert!(fetcher.is_ready(0.0));
        fetcher.begin(0.0, address(1));
        assert!(fetcher.is_waiting_for(address(1)) && !fetcher.is_ready(0.0));
        assert_eq!(fetcher.handle_timeout(999.0), None);
        let failed = fetcher.handle_timeout(1000.0);
        assert_eq!(failed, Some(FailedRequest { from: address(1), gives_up: attempt == 3 }));
    }
    fetcher.reset();
    fetcher.begin(0.0, address(1));
    assert!(fetcher.handle_timeout(1000.0).is_some_and(|failed| !failed.gives_up));
}

/// Chunks come from a stranger, out of turn, or twice. They must change nothing of the snapshot under way.
#[test]
fn chunks_out_of_turn_are_ignored() {
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

/// A snapshot is complete with another digest, or holds a quota that can't be. It must be dropped, and not be asked for again
/// at once.
#[test]
fn invalid_snapshots_are_dropped_for_a_pause() {
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

/// The sender's version moves on faster than its log is long, so that each chunk starts the snapshot again. The transfer must
/// be left after some starts.
#[test]
fn snapshot_that_starts_again_too_often_is_abandoned() {
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
