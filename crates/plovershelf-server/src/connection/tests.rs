use super::*;

const PHASES: [Phase; 5] = [Phase::Open, Phase::ClosingTold, Phase::Deaf, Phase::Draining, Phase::Closed];
const STEPS: [Step; 5] = [Step::TellClosing, Step::Deafen, Step::LastWritten, Step::Drained, Step::Abort];

#[test]
fn no_step_leads_back_and_each_connection_can_end() {
    let place = |phase| PHASES.iter().position(|p| *p == phase).expect("a phase");
    for phase in PHASES {
        for step in STEPS {
            assert!(place(phase.after(step)) >= place(phase), "{phase:?} {step:?}");
        }
        assert_eq!(phase.after(Step::LastWritten).after(Step::Drained), Phase::Closed);
        assert_eq!(phase.after(Step::Abort), Phase::Closed);
    }
}

#[test]
fn nothing_is_taken_once_it_could_not_be_answered() {
    for phase in PHASES.into_iter().filter(|phase| !phase.takes()) {
        assert!(STEPS.iter().all(|step| !phase.after(*step).takes()), "{phase:?}");
    }
    assert!(!Phase::Open.after(Step::LastWritten).takes());
    assert!(Phase::Open.after(Step::TellClosing).takes());
}

/// The write side is shut before the descriptor goes, whatever ends it on this side.
#[test]
fn a_connection_that_this_side_ends_is_drained_first() {
    for phase in PHASES.into_iter().filter(|phase| *phase != Phase::Closed) {
        for step in STEPS.into_iter().filter(|step| *step != Step::Abort) {
            let closes = phase.after(step) == Phase::Closed;
            assert_eq!(closes, (phase, step) == (Phase::Draining, Step::Drained), "{phase:?} {step:?}");
        }
    }
}
