//! A request as a host program describes it, and the response that it gets.

use std::sync::Arc;
use std::time::Duration;

use plovershelf::api::Idempotency;

use plovershelf_codec::front::{MAX_IDEMPOTENCY_KEY_BYTES, MEMORY_LIMIT_KB};

use crate::caller::{CallOutcome, NotSentReason};

/// The longest body that backends take.
pub const MAX_BODY_BYTES: usize = 2 << 10;
const MAX_NAME_BYTES: usize = 128;
const MAX_PRIORITY: f64 = 0.9999;
const DEFAULT_PRIORITY: f64 = 0.5;
const DEFAULT_FOOTPRINT_KB: f64 = 10.0;

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    pub(crate) class: Arc<str>,
    pub(crate) tenant: Arc<str>,
    pub(crate) body: Arc<[u8]>,
    pub(crate) timeout: Duration,
    pub(crate) idempotency: Idempotency,
    pub(crate) idempotency_key: Option<Arc<str>>,
    pub(crate) priority: f64,
    pub(crate) subject: Option<u64>,
    pub(crate) footprint_kb: f64,
    pub(crate) work_hint_ms: Option<f64>,
}

impl Request {
    /// An idempotent request of a class, whose client waits for so long.
    pub fn new(class: impl Into<Arc<str>>, body: impl Into<Arc<[u8]>>, timeout: Duration) -> Self {
        Request {
            class: class.into(),
            tenant: "".into(),
            body: body.into(),
            timeout,
            idempotency: Idempotency::Idempotent,
            idempotency_key: None,
            priority: DEFAULT_PRIORITY,
            subject: None,
            footprint_kb: DEFAULT_FOOTPRINT_KB,
            work_hint_ms: None,
        }
    }

    /// The tenant, as the backends' settings name it.
    pub fn tenant(mut self, tenant: impl Into<Arc<str>>) -> Self {
        self.tenant = tenant.into();
        self
    }

    /// The request may be retried with this key, by which a backend knows it again; 128 bytes at most.
    pub fn idempotency_key(mut self, key: impl Into<Arc<str>>) -> Self {
        (self.idempotency, self.idempotency_key) = (Idempotency::Keyed, Some(key.into()));
        self
    }

    /// The request may run once at most: it is retried only on proof that it did not run.
    pub fn non_idempotent(mut self) -> Self {
        (self.idempotency, self.idempotency_key) = (Idempotency::NonIdempotent, None);
        self
    }

    /// From 0 to under 1; the lowest is shed first. Default: 0.5.
    pub fn priority(mut self, priority: f64) -> Self {
        self.priority =
            if priority.is_finite() { priority.clamp(0.0, MAX_PRIORITY) } else { DEFAULT_PRIORITY };
        self
    }

    /// What the request reads, for subject affinity and shared responses.
    pub fn subject(mut self, subject: u64) -> Self {
        self.subject = Some(subject);
        self
    }

    /// Memory that a backend books for it, above 0 and under 2,000 KB. Default: 10 KB.
    pub fn footprint_kb(mut self, footprint_kb: f64) -> Self {
        self.footprint_kb = footprint_kb;
        self
    }

    /// How much work it is expected to be, in milliseconds of one core.
    pub fn work_hint_ms(mut self, work_ms: f64) -> Self {
        self.work_hint_ms = Some(work_ms).filter(|work_ms| work_ms.is_finite() && *work_ms > 0.0);
        self
    }

    /// Why no backend would take it, if that is so.
    pub(crate) fn fault(&self) -> Option<&'static str> {
        let checks = [
            (self.body.len() > MAX_BODY_BYTES, "the body is longer than 2 KiB"),
            (
                self.class.is_empty() || self.class.len() > MAX_NAME_BYTES,
                "the offering's name has no fit length",
            ),
            (self.tenant.len() > MAX_NAME_BYTES, "the tenant's name is longer than 128 bytes"),
            (
                self.idempotency_key.as_ref().is_some_and(|key| key.len() > MAX_IDEMPOTENCY_KEY_BYTES),
                "the ticket is longer than 128 bytes",
            ),
            (
                !(self.footprint_kb > 0.0 && self.footprint_kb < MEMORY_LIMIT_KB),
                "the footprint is not between 0 and 2000 KB",
            ),
        ];
        checks.iter().find(|(is_wrong, _)| *is_wrong).map(|(_, fault)| *fault)
    }
}

/// The response to a request; each request gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The bytes that the run made.
    Succeeded(Vec<u8>),
    /// A backend rejected the request without running it.
    Rejected {
        /// The Retry-After that the backend gave.
        retry_after: Option<Duration>,
        /// Whether another backend may accept it.
        retry_elsewhere: bool,
    },
    /// It failed.
    Failed {
        /// Whether it may have had its effect.
        may_have_run: bool,
    },
    /// Its deadline passed.
    DeadlineExceeded {
        /// Whether it may have had its effect.
        may_have_run: bool,
    },
    /// It was never sent.
    NotSent {
        /// Why.
        reason: NotSentReason,
        /// When another request may fare better, as far as that is known.
        retry_after: Option<Duration>,
    },
    /// No backend would take it as it is; the text says why.
    Invalid(&'static str),
}

impl Response {
    /// The response to a call with this outcome, and with this result if it succeeded.
    pub(crate) fn new(outcome: CallOutcome, result: &[u8]) -> Self {
        let duration = |ms: Option<f64>| ms.map(|ms| Duration::from_secs_f64(ms.max(0.0) / 1000.0));
        match outcome {
            CallOutcome::Succeeded => Response::Succeeded(result.to_vec()),
            CallOutcome::Rejected { retry_after_ms, retry_elsewhere } => {
                Response::Rejected { retry_after: duration(retry_after_ms), retry_elsewhere }
            }
            CallOutcome::Failed { may_have_run } => Response::Failed { may_have_run },
            CallOutcome::DeadlineExceeded { may_have_run } => Response::DeadlineExceeded { may_have_run },
            CallOutcome::NotSent { reason, retry_after_ms } => {
                Response::NotSent { reason, retry_after: duration(retry_after_ms) }
            }
        }
    }
}
