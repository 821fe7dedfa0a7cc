//! Backends of this process, by instance number.

use std::collections::BTreeMap;

use plovershelf::api::{Effects, Request};
use plovershelf::Backend;
use plovershelf_settings::Startup;

use crate::action;
use crate::error::RecordError;
use crate::event::{self, Event, ProcessStart};
use crate::frame::{Batch, Record, Reply};

struct Instance {
    backend: Backend,
    startup: Startup,
}

/// All backends hosted by this process.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u32, Instance>,
}

impl Host {
    /// Passes the events of a batch to their backends; returns the encoded reply.
    pub(crate) fn handle_batch(&mut self, batch: &Batch) -> Result<Vec<u8>, RecordError> {
        let mut reply = Reply::default();
        for record in batch.records() {
            let effects = self.handle_record(batch.now_ms, &record)?;
            action::encode(event::instance(&record), effects, &mut reply);
        }
        Ok(reply.into_bytes())
    }

    fn handle_record(&mut self, now_ms: f64, record: &Record<'_>) -> Result<Effects, RecordError> {
        let number = event::instance(record);
        if let Some(start) = event::process_start(record)? {
            return self.start(now_ms, start, record);
        }
        let unknown = || RecordError::UnknownInstance {
            record: record.index,
            code: event::code(record),
            instance: number,
        };
        let instance = self.instances.get_mut(&number).ok_or_else(unknown)?;
        let event = event::decode(record)?;
        if let Event::RequestRead(request) = &event {
            instance.check_class(request, record)?;
        }
        let effects = instance.handle_event(now_ms, event);
        if effects.is_none() {
            self.instances.remove(&number);
        }
        Ok(effects.unwrap_or_default())
    }

    fn start(
        &mut self,
        now_ms: f64,
        start: ProcessStart<'_>,
        record: &Record<'_>,
    ) -> Result<Effects, RecordError> {
        let instance = event::instance(record);
        let startup = plovershelf_settings::read(start.settings, start.seed)
            .map_err(|source| RecordError::Settings { record: record.index, instance, source })?;
        let (backend, effects) = Backend::start(now_ms, startup.config.clone());
        self.instances.insert(instance, Instance { backend, startup });
        Ok(effects)
    }
}

impl Instance {
    fn check_class(&self, request: &Request, record: &Record<'_>) -> Result<(), RecordError> {
        if request.class >= self.startup.classes.len() {
            return Err(RecordError::UnknownClass { record: record.index, class: request.class });
        }
        Ok(())
    }

    /// Returns the backend's effects of an event, or `None` if its process ended.
    fn handle_event(&mut self, now_ms: f64, event: Event) -> Option<Effects> {
        let backend = &mut self.backend;
        Some(match event {
            Event::RequestRead(request) => backend.handle_request(now_ms, request),
            Event::ClientGone { id } => backend.handle_client_gone(now_ms, id),
            Event::CallRequested { id } => backend.handle_call_requested(now_ms, id),
            Event::CallEnded { id, outcome } => backend.handle_call_ended(now_ms, id, outcome),
            Event::RunEnded { id, outcome } => backend.handle_run_ended(now_ms, id, outcome),
            Event::TimerFired { timer, gauges } => {
                backend.handle_timeout(now_ms, timer, self.startup.gauges(gauges.into_iter().flatten()))
            }
            Event::DrainNotice { stop_ms } => backend.handle_drain_notice(now_ms, now_ms, stop_ms),
            Event::ProcessEnded => return None,
        })
    }
}

#[cfg(test)]
mod tests;
