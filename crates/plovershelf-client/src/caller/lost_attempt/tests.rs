use super::*;
use crate::caller::endpoint::EndpointId;

/// An endpoint sends `closing` and ends the connection. An attempt sent before the closing race may have run;
/// later attempts were never read. After a protocol violation, every attempt may have run.
#[test]
fn attempt_within_the_closing_race_was_never_read_unless_closing_is_ignored() {
    let ends = |race| {
        let mut connection = Connection::new(EndpointId(1), 0.0);
        for (call, sent_ms) in [(1, 49.0), (2, 50.0), (3, 120.0)] {
            connection.send(sent_ms, CallId(call));
        }
        connection.record_closing(100.0);
        let lost = lost_attempts(ConnectionId(1), connection, race);
        lost.iter().map(|lost| (lost.call.0, lost.attempt.sequence, lost.end)).collect::<Vec<_>>()
    };
    use AttemptEnd::{ConnectionLost, Unread};
    let within = ends(ClosingRace::Within { race_ms: 50.0 });
    assert_eq!(within, [(1, 1, ConnectionLost), (2, 2, Unread), (3, 3, Unread)]);
    let ignored = ends(ClosingRace::Ignored);
    assert!(ignored.iter().all(|(_, _, end)| *end == ConnectionLost), "{ignored:?}");
}
