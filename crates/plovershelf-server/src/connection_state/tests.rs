use super::*;

const PHASES: [Phase; 5] =
    [Phase::Open, Phase::ClosingAnnounced, Phase::Discarding, Phase::Draining, Phase::Closed];
const EVENTS: [PhaseEvent; 5] = [
    PhaseEvent::AnnounceClosing,
    PhaseEvent::Discard,
    PhaseEvent::LastWritten,
    PhaseEvent::Drained,
    PhaseEvent::Abort,
];

#[test]
fn phases_never_move_backwards_and_can_always_end() {
    let index = |phase| PHASES.iter().position(|other| *other == phase).expect("a phase");
    for phase in PHASES {
        for event in EVENTS {
            assert!(index(phase.after(event)) >= index(phase), "{phase:?} {event:?}");
        }
        assert_eq!(phase.after(PhaseEvent::LastWritten).after(PhaseEvent::Drained), Phase::Closed);
        assert_eq!(phase.after(PhaseEvent::Abort), Phase::Closed);
    }
}

#[test]
fn discarding_phases_never_accept_requests_again() {
    for phase in PHASES.into_iter().filter(|phase| !phase.accepts_requests()) {
        assert!(EVENTS.iter().all(|event| !phase.after(*event).accepts_requests()), "{phase:?}");
    }
    assert!(!Phase::Open.after(PhaseEvent::LastWritten).accepts_requests());
    assert!(Phase::Open.after(PhaseEvent::AnnounceClosing).accepts_requests());
}

/// Whatever ends a connection on this side must shut down its write side before its descriptor is closed.
#[test]
fn connection_closed_by_this_side_is_drained_first() {
    for phase in PHASES.into_iter().filter(|phase| *phase != Phase::Closed) {
        for event in EVENTS.into_iter().filter(|event| *event != PhaseEvent::Abort) {
            let closes = phase.after(event) == Phase::Closed;
            assert_eq!(
                closes,
                (phase, event) == (Phase::Draining, PhaseEvent::Drained),
                "{phase:?} {event:?}"
            );
        }
    }
}
