//! Encodes the effects of decisions as actions for the simulator. The fields of an action follow its code and the
//! instance number.

use plovershelf::api::{Announcements, Completion, Effects, RequestState, Timer, Transition};

use crate::event::{DEADLINE_TOKEN, PERIODIC_TOKEN};
use crate::frame::{ActionRecord, Reply};

const EXECUTE: u16 = 256;
const REJECT: u16 = 257;
const RESPOND_ERROR: u16 = 258;
const CANCEL: u16 = 259;
const PLACE_CALL: u16 = 260;
const SKIP_CALL: u16 = 261;
const RETAIN: u16 = 262;
const JOIN: u16 = 264;
const SET_HEALTH: u16 = 265;
const ADVERTISE_LEVEL: u16 = 266;
const SET_IDLE_TIMEOUT: u16 = 267;
const SET_TIMER: u16 = 268;
const LOG: u16 = 269;

/// Value of the field which states that health checks are answered only from the value that was set.
const ANSWERED_FROM_SETTING: u8 = 1;

/// Encodes the effects of one instance in their order.
pub(crate) fn encode(instance: u32, effects: Effects, reply: &mut Reply) {
    for transition in effects.transitions {
        encode_transition(instance, transition, reply);
    }
    encode_announcements(instance, effects.announcements, reply);
}

fn encode_announcements(instance: u32, announcements: Announcements, reply: &mut Reply) {
    let action = |code: u16| ActionRecord::new(code, instance);
    if let Some(level) = announcements.backpressure {
        reply.push(action(ADVERTISE_LEVEL).with(6, (level as f32).to_le_bytes()));
    }
    if let Some(ready) = announcements.ready {
        reply.push(action(SET_HEALTH).with(6, [u8::from(ready), ANSWERED_FROM_SETTING]));
    }
    if let Some(timeout_ms) = announcements.idle_timeout_ms {
        reply.push(action(SET_IDLE_TIMEOUT).with(6, timeout_ms.to_le_bytes()));
    }
    for (wait_ms, timer) in announcements.timers {
        let token = match timer {
            Timer::Periodic => PERIODIC_TOKEN,
            Timer::Deadline => DEADLINE_TOKEN,
        };
        reply.push(action(SET_TIMER).with(6, wait_ms.to_le_bytes()).with(14, token.to_le_bytes()));
    }
    for note in announcements.notes {
        reply.push_with_text(action(LOG), 6, &note);
    }
}

fn encode_transition(instance: u32, transition: Transition, reply: &mut Reply) {
    let action = |code: u16| ActionRecord::new(code, instance).with(6, transition.id.to_le_bytes());
    if let Some(retain_ms) = transition.retain_ms {
        reply.push(action(RETAIN).with(10, retain_ms.to_le_bytes()));
    }
    match (transition.from, transition.to) {
        (Some(RequestState::Queued), RequestState::Running) => reply.push(action(EXECUTE)),
        (Some(RequestState::AwaitingCall), RequestState::Running) => reply.push(action(SKIP_CALL)),
        (_, RequestState::Calling { timeout_ms }) => {
            reply.push(action(PLACE_CALL).with(10, timeout_ms.to_le_bytes()));
        }
        (_, RequestState::Joined) => reply.push(action(JOIN)),
        (from, RequestState::Answered { completion, cancel }) => {
            if !matches!(from, Some(RequestState::Answered { .. })) {
                encode_completion(action, completion, reply);
            }
            if cancel {
                reply.push(action(CANCEL));
            }
        }
        (Some(RequestState::Answered { .. }), RequestState::Completed(_)) => {}
        (_, RequestState::Completed(completion)) => encode_completion(action, completion, reply),
        _ => {}
    }
}

/// Encodes the response if there is one to send: the host sends the result of an execution by itself.
fn encode_completion(action: impl Fn(u16) -> ActionRecord, completion: Completion, reply: &mut Reply) {
    match completion {
        Completion::Rejected { retry_after_ms, retry_elsewhere } => {
            let no_retry_elsewhere = [u8::from(!retry_elsewhere)];
            let record = action(REJECT).with(10, no_retry_elsewhere).with(11, retry_after_ms.to_le_bytes());
            reply.push(record);
        }
        Completion::Failed => reply.push(action(RESPOND_ERROR)),
        Completion::Succeeded | Completion::ExecutionFailed | Completion::ClientGone => {}
    }
}
