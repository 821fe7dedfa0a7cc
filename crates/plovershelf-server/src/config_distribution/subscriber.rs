//! Where what is in force is told to: the owner of a backend, or a trial that counts.

use std::collections::BTreeMap;

use async_channel::{Sender, TrySendError};
use plovershelf_config_distribution::quota_table::{Content, Edit, Version};

/// Quotas that are in force from now on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    pub version: Version,
    /// All that there are; tenants beyond these have those that they started with.
    pub whole: bool,
    /// By tenant; none where it has gone.
    pub quotas: BTreeMap<Box<str>, Option<f64>>,
}

/// A version that came into force in a process, for those who count.
#[derive(Clone, Debug, PartialEq)]
pub struct InForce {
    pub name: String,
    pub version: Version,
    /// By the clock of [`now_ms`](crate::links::now_ms), which all processes of a machine share.
    pub at_ms: f64,
}

/// Who is told.
pub enum Sink {
    /// The owner of a backend. What it has not taken yet is joined with what comes, so it is bounded by the content.
    Quotas(Sender<Told>),
    Versions(Sender<InForce>),
    Nobody,
}

impl Told {
    fn join(&mut self, later: Told) {
        if later.whole {
            *self = later;
        } else {
            self.version = later.version;
            self.quotas.extend(later.quotas);
        }
    }
}

/// What is still to be told, and to whom.
pub(super) struct Telling {
    name: String,
    sink: Sink,
    untold: Option<Told>,
}

impl Telling {
    pub fn new(name: String, sink: Sink) -> Self {
        Telling { name, sink, untold: None }
    }

    /// `edits` led to this content; none where it came whole.
    pub fn tell(&mut self, now: f64, content: &Content, version: Version, edits: Option<&[Edit]>) {
        match &self.sink {
            Sink::Nobody => {}
            Sink::Versions(to) => {
                let _ = to.try_send(InForce { name: self.name.clone(), version, at_ms: now });
            }
            Sink::Quotas(_) => {
                let quotas = match edits {
                    Some(edits) => edits.iter().map(|e| (e.tenant().into(), e.quota_per_s())).collect(),
                    None => content.iter().map(|(name, quota)| (name.into(), Some(quota))).collect(),
                };
                let told = Told { version, whole: edits.is_none(), quotas };
                match self.untold.as_mut() {
                    Some(untold) => untold.join(told),
                    None => self.untold = Some(told),
                }
                self.hand_on();
            }
        }
    }

    /// Whether something waits because nobody took it.
    pub fn waits(&self) -> bool {
        self.untold.is_some()
    }

    pub fn hand_on(&mut self) {
        let Sink::Quotas(to) = &self.sink else { return };
        if let Some(told) = self.untold.take() {
            match to.try_send(told) {
                Err(TrySendError::Full(told)) => self.untold = Some(told),
                Ok(()) | Err(TrySendError::Closed(_)) => {}
            }
        }
    }
}

#[cfg(test)]
mod tests;
