//! Keeps the backends of one process apart, decodes events into calls and encodes what the calls return.

use std::collections::BTreeMap;

use plovershelf::admission::Backend;
use plovershelf::api::{
    CallOutcome, Completion, Effects, Request, RequestState, RunOutcome, Timer, Transition,
};
use plovershelf_settings::Startup;

use crate::frame::{Action, Batch, Event, Reply};

struct Hosted {
    backend: Backend,
    start: Startup,
}

#[derive(Default)]
pub struct Host {
    hosted: BTreeMap<u32, Hosted>,
}

const PERIODIC: u32 = 1;
const DUE: u32 = 2;

fn optional(value: f64) -> Option<f64> {
    (value > 0.0).then_some(value)
}

impl Host {
    pub fn answer(&mut self, batch: &Batch) -> Result<Vec<u8>, String> {
        let mut reply = Reply::new();
        for event in batch.events() {
            self.take(batch.now_ms, event, &mut reply)?;
        }
        Ok(reply.finish())
    }

    fn take(&mut self, now: f64, event: Event<'_>, reply: &mut Reply) -> Result<(), String> {
        let (code, instance) = (event.u16(0), event.u32(2));
        let place = event.place;
        if code == 262 {
            let start = plovershelf_settings::read(event.text(14)?, event.u64(6))
                .map_err(|e| format!("record {place}, instance {instance}: {e}"))?;
            let (backend, outcome) = Backend::start(now, start.config.clone());
            self.hosted.insert(instance, Hosted { backend, start });
            encode(instance, outcome, reply);
            return Ok(());
        }
        let hosted = self.hosted.get_mut(&instance).ok_or_else(|| {
            format!("record {place}: event {code} for instance {instance}, which does not exist")
        })?;
        let backend = &mut hosted.backend;
        let id = event.u32(6);
        let outcome = match code {
            258 => {
                let arrival = arrival(event);
                if arrival.class >= hosted.start.classes.len() {
                    return Err(format!("record {place}: class {} is not in the settings", arrival.class));
                }
                backend.handle_request(now, arrival)
            }
            256 => backend.handle_client_gone(now, id),
            264 => backend.handle_call_requested(now, id),
            257 => {
                let wake = if id == PERIODIC { Timer::Periodic } else { Timer::Deadline };
                backend.handle_timeout(now, wake, hosted.start.gauges(gauges(event)))
            }
            259 => {
                let end = match event.u16(10) {
                    0 => CallOutcome::Completed,
                    8 | 14 => CallOutcome::NotExecuted,
                    4 => CallOutcome::Abandoned,
                    _ => CallOutcome::Unknown,
                };
                backend.handle_call_ended(now, id, end)
            }
            263 => {
                let end = match event.u16(18) {
                    0 => RunOutcome::Completed,
                    1 => RunOutcome::Cancelled,
                    9 => RunOutcome::NotStarted,
                    _ => RunOutcome::Failed,
                };
                backend.handle_run_ended(now, id, end)
            }
            261 => backend.handle_drain_notice(now, now, event.f64(6)),
            260 => {
                self.hosted.remove(&instance);
                return Ok(());
            }
            _ => return Err(format!("record {place}: unknown event code {code}")),
        };
        encode(instance, outcome, reply);
        Ok(())
    }
}

fn arrival(event: Event<'_>) -> Request {
    let options = event.u8(48);
    let hint = event.f64(32);
    Request {
        id: event.u32(6),
        class: usize::from(event.u16(10)),
        tenant: event.u32(12) as usize,
        key: event.u64(16),
        deadline_ms: optional(event.f64(24)),
        work_hint_ms: (options & 1 != 0 && hint > 0.0).then_some(hint),
        memory_kb: event.f32(40),
        marked_retry: options & 2 != 0,
        writes: options & 4 != 0,
        unread_ms: event.f64(51),
        duplicate_of: Some(event.u32(59)).filter(|&o| o != 0),
    }
}

fn gauges(event: Event<'_>) -> impl Iterator<Item = f64> + '_ {
    (0..usize::from(event.u8(10)).min(4)).map(move |place| event.f32(11 + 4 * place))
}

fn encode(instance: u32, outcome: Effects, reply: &mut Reply) {
    for change in outcome.transitions {
        encode_change(instance, change, reply);
    }
    let announcements = outcome.announcements;
    if let Some(level) = announcements.backpressure {
        reply.push(Action::new(266, instance).put(6, (level as f32).to_le_bytes()));
    }
    if let Some(ready) = announcements.ready {
        reply.push(Action::new(265, instance).put(6, [u8::from(ready), 1]));
    }
    if let Some(idle_ms) = announcements.idle_timeout_ms {
        reply.push(Action::new(267, instance).put(6, idle_ms.to_le_bytes()));
    }
    for (wait, wake) in announcements.timers {
        let token = if wake == Timer::Periodic { PERIODIC } else { DUE };
        reply.push(Action::new(268, instance).put(6, wait.to_le_bytes()).put(14, token.to_le_bytes()));
    }
    for note in announcements.notes {
        reply.push_text(Action::new(269, instance), &note);
    }
}

fn encode_change(instance: u32, change: Transition, reply: &mut Reply) {
    let on = |code: u16| Action::new(code, instance).put(6, change.id.to_le_bytes());
    if let Some(ttl) = change.retain_ms {
        reply.push(on(262).put(10, ttl.to_le_bytes()));
    }
    match (change.from, change.to) {
        (Some(RequestState::Queued), RequestState::Running) => reply.push(on(256)),
        (Some(RequestState::AwaitingCall), RequestState::Running) => reply.push(on(261)),
        (_, RequestState::Calling { timeout_ms }) => reply.push(on(260).put(10, timeout_ms.to_le_bytes())),
        (_, RequestState::Joined) => reply.push(on(264)),
        (from, RequestState::Answered { completion, cancel }) => {
            if !matches!(from, Some(RequestState::Answered { .. })) {
                encode_ending(&on, completion, reply);
            }
            if cancel {
                reply.push(on(259));
            }
        }
        (Some(RequestState::Answered { .. }), RequestState::Completed(_)) => {}
        (_, RequestState::Completed(completion)) => encode_ending(&on, completion, reply),
        _ => {}
    }
}

fn encode_ending(on: &impl Fn(u16) -> Action, completion: Completion, reply: &mut Reply) {
    match completion {
        Completion::Rejected { retry_after_ms, retry_elsewhere } => {
            reply.push(on(257).put(10, [u8::from(!retry_elsewhere)]).put(11, retry_after_ms.to_le_bytes()))
        }
        Completion::Failed => reply.push(on(258)),
        Completion::Succeeded | Completion::ExecutionFailed | Completion::ClientGone => {}
    }
}

#[cfg(test)]
mod tests;
