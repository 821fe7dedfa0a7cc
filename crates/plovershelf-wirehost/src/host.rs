//! Keeps the backends of one process apart, decodes events into calls and encodes what the calls return.

use std::collections::BTreeMap;

use plovershelf::interface::{Arrival, CallEnd, Change, Ending, Outcome, RunEnd, State, Wake};
use plovershelf::logic::Backend;
use plovershelf_facts::Start;

use crate::frame::{Action, Batch, Event, Reply};

struct Hosted {
    backend: Backend,
    start: Start,
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
            let start = plovershelf_facts::read(event.text(14)?, event.u64(6))
                .map_err(|e| format!("record {place}, instance {instance}: {e}"))?;
            let (backend, outcome) = Backend::start(now, start.facts.clone());
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
                if arrival.offering >= hosted.start.offerings.len() {
                    return Err(format!("record {place}: class {} is not in the settings", arrival.offering));
                }
                backend.arrived(now, arrival)
            }
            256 => backend.caller_gone(now, id),
            264 => backend.wants_call(now, id),
            257 => {
                let wake = if id == PERIODIC { Wake::Periodic } else { Wake::Due };
                backend.woke(now, wake, hosted.start.gauges(gauges(event)))
            }
            259 => {
                let end = match event.u16(10) {
                    0 => CallEnd::Ok,
                    8 | 14 => CallEnd::ProvenNotRun,
                    4 => CallEnd::GivenUp,
                    _ => CallEnd::PerhapsRun,
                };
                backend.call_ended(now, id, end)
            }
            263 => {
                let end = match event.u16(18) {
                    0 => RunEnd::Ok,
                    1 => RunEnd::Stopped,
                    9 => RunEnd::NeverBegan,
                    _ => RunEnd::Error,
                };
                backend.run_ended(now, id, end)
            }
            261 => backend.told_to_leave(now, now, event.f64(6)),
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

fn arrival(event: Event<'_>) -> Arrival {
    let options = event.u8(48);
    let hint = event.f64(32);
    Arrival {
        id: event.u32(6),
        offering: usize::from(event.u16(10)),
        tenant: event.u32(12) as usize,
        key: event.u64(16),
        gives_up_at: optional(event.f64(24)),
        work_hint_ms: (options & 1 != 0 && hint > 0.0).then_some(hint),
        footprint_kb: event.f32(40),
        marked_repeat: options & 2 != 0,
        writes: options & 4 != 0,
        unread_ms: event.f64(51),
        original: Some(event.u32(59)).filter(|&o| o != 0),
    }
}

fn gauges(event: Event<'_>) -> impl Iterator<Item = f64> + '_ {
    (0..usize::from(event.u8(10)).min(4)).map(move |place| event.f32(11 + 4 * place))
}

fn encode(instance: u32, outcome: Outcome, reply: &mut Reply) {
    for change in outcome.changes {
        encode_change(instance, change, reply);
    }
    let words = outcome.words;
    if let Some(level) = words.advice {
        reply.push(Action::new(266, instance).put(6, (level as f32).to_le_bytes()));
    }
    if let Some(fit) = words.fit {
        reply.push(Action::new(265, instance).put(6, [u8::from(fit), 1]));
    }
    if let Some(idle_ms) = words.idle_ms {
        reply.push(Action::new(267, instance).put(6, idle_ms.to_le_bytes()));
    }
    for (wait, wake) in words.wakes {
        let token = if wake == Wake::Periodic { PERIODIC } else { DUE };
        reply.push(Action::new(268, instance).put(6, wait.to_le_bytes()).put(14, token.to_le_bytes()));
    }
    for note in words.notes {
        reply.push_text(Action::new(269, instance), &note);
    }
}

fn encode_change(instance: u32, change: Change, reply: &mut Reply) {
    let on = |code: u16| Action::new(code, instance).put(6, change.id.to_le_bytes());
    if let Some(ttl) = change.remember_ms {
        reply.push(on(262).put(10, ttl.to_le_bytes()));
    }
    match (change.from, change.to) {
        (Some(State::Held), State::Running) => reply.push(on(256)),
        (Some(State::AtCall), State::Running) => reply.push(on(261)),
        (_, State::Calling { within_ms }) => reply.push(on(260).put(10, within_ms.to_le_bytes())),
        (_, State::Joined) => reply.push(on(264)),
        (from, State::Spent { ending, stop }) => {
            if !matches!(from, Some(State::Spent { .. })) {
                encode_ending(&on, ending, reply);
            }
            if stop {
                reply.push(on(259));
            }
        }
        (Some(State::Spent { .. }), State::Ended(_)) => {}
        (_, State::Ended(ending)) => encode_ending(&on, ending, reply),
        _ => {}
    }
}

fn encode_ending(on: &impl Fn(u16) -> Action, ending: Ending, reply: &mut Reply) {
    match ending {
        Ending::Dismissed { cool_down_ms, elsewhere_helps } => {
            reply.push(on(257).put(10, [u8::from(!elsewhere_helps)]).put(11, cool_down_ms.to_le_bytes()))
        }
        Ending::Scrapped => reply.push(on(258)),
        Ending::Succeeded | Ending::RunFailed | Ending::CallerGone => {}
    }
}

#[cfg(test)]
mod tests;
