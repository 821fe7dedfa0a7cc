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
fn no_step_leads_back_and_each_connection_can_end() {
    let place = |phase| PHASES.iter().position(|p| *p == phase).expect("a phase");
    for phase in PHASES {
        for event in EVENTS {
            assert!(place(phase.after(event)) >= place(phase), "{phase:?} {event:?}");
        }
        assert_eq!(phase.after(PhaseEvent::LastWritten).after(PhaseEvent::Drained), Phase::Closed);
        assert_eq!(phase.after(PhaseEvent::Abort), Phase::Closed);
    }
}

#[test]
fn nothing_is_taken_once_it_could_not_be_answered() {
    for phase in PHASES.into_iter().filter(|phase| !phase.accepts_requests()) {
        assert!(EVENTS.iter().all(|event| !phase.after(*event).accepts_requests()), "{phase:?}");
    }
    assert!(!Phase::Open.after(PhaseEvent::LastWritten).accepts_requests());
    assert!(Phase::Open.after(PhaseEvent::AnnounceClosing).accepts_requests());
}

/// The write side is shut before the descriptor goes, whatever ends it on this side.
#[test]
fn a_connection_that_this_side_ends_is_drained_first() {
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
