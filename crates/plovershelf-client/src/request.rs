//! Requests of a host program and their responses.

use std::sync::Arc;
use std::time::Duration;

use plovershelf::api::Idempotency;

use plovershelf_codec::front::{MAX_IDEMPOTENCY_KEY_BYTES, MEMORY_LIMIT_KB};

use crate::caller::{CallOutcome, NotSentReason};

/// Maximum length of a body that backends accept, in bytes.
pub const MAX_BODY_BYTES: usize = 2 << 10;
/// Maximum length of the name of a class or tenant, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Highest priority; higher values are lowered to it.
const MAX_PRIORITY: f64 = 0.9999;
/// Priority of a request without a valid one.
const DEFAULT_PRIORITY: f64 = 0.5;
/// Memory that a backend reserves for a request by default, in KB.
const DEFAULT_FOOTPRINT_KB: f64 = 10.0;

/// A request with its deadline, idempotency and scheduling properties.
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
    /// Creates an idempotent request of a class. The call ends after `timeout` at the latest.
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

    /// Sets the name of the tenant, as in the settings of the backends. Default: empty.
    pub fn tenant(mut self, tenant: impl Into<Arc<str>>) -> Self {
        self.tenant = tenant.into();
        self
    }

    /// Sets an idempotency key of at most 128 bytes, by which a backend recognizes retries of the request.
    pub fn idempotency_key(mut self, key: impl Into<Arc<str>>) -> Self {
        (self.idempotency, self.idempotency_key) = (Idempotency::Keyed, Some(key.into()));
        self
    }

    /// Marks the request as non-idempotent: it is retried only if no attempt can have run.
    pub fn non_idempotent(mut self) -> Self {
        (self.idempotency, self.idempotency_key) = (Idempotency::NonIdempotent, None);
        self
    }

    /// Sets the priority, from 0 to less than 1. Backends shed the lowest priority first. Default: 0.5.
    pub fn priority(mut self, priority: f64) -> Self {
        self.priority =
            if priority.is_finite() { priority.clamp(0.0, MAX_PRIORITY) } else { DEFAULT_PRIORITY };
        self
    }

    /// Sets the key of the data that the request reads, for subject affinity and shared responses.
    pub fn subject(mut self, subject: u64) -> Self {
        self.subject = Some(subject);
        self
    }

    /// Sets the memory that a backend reserves for the request, more than 0 and less than 2,000 KB. Default:
    /// 10 KB.
    pub fn footprint_kb(mut self, footprint_kb: f64) -> Self {
        self.footprint_kb = footprint_kb;
        self
    }

    /// Sets the expected work of the request, in milliseconds of one core. Other than positive finite values
    /// clear it.
    pub fn work_hint_ms(mut self, work_ms: f64) -> Self {
        self.work_hint_ms = Some(work_ms).filter(|work_ms| work_ms.is_finite() && *work_ms > 0.0);
        self
    }

    /// Returns why every backend would reject the request as invalid, or `None` if it is valid.
    pub(crate) fn validation_error(&self) -> Option<&'static str> {
        let checks = [
            (self.body.len() > MAX_BODY_BYTES, "the body is longer than 2 KiB"),
            (
                self.class.is_empty() || self.class.len() > MAX_NAME_BYTES,
                "the name of the request class is empty or longer than 128 bytes",
            ),
            (self.tenant.len() > MAX_NAME_BYTES, "the tenant's name is longer than 128 bytes"),
            (
                self.idempotency_key.as_ref().is_some_and(|key| key.len() > MAX_IDEMPOTENCY_KEY_BYTES),
                "the idempotency key is longer than 128 bytes",
            ),
            (
                !(self.footprint_kb > 0.0 && self.footprint_kb < MEMORY_LIMIT_KB),
                "the footprint is not between 0 and 2000 KB",
            ),
        ];
        checks.iter().find(|(is_invalid, _)| *is_invalid).map(|(_, error)| *error)
    }
}

/// Response to a request. Each request has exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The result of the request.
    Succeeded(Vec<u8>),
    /// A backend rejected the request without running it.
    Rejected {
        /// Retry-After of the rejection, if it had one.
        retry_after: Option<Duration>,
        /// Whether another backend may accept the request.
        retry_elsewhere: bool,
    },
    /// The request failed.
    Failed {
        /// Whether the request may have taken effect.
        may_have_run: bool,
    },
    /// The deadline passed before a result was received.
    DeadlineExceeded {
        /// Whether the request may have taken effect.
        may_have_run: bool,
    },
    /// The request was not sent to any backend.
    NotSent {
        /// Reason why the request was not sent.
        reason: NotSentReason,
        /// Time after which a new request may succeed, if known.
        retry_after: Option<Duration>,
    },
    /// Every backend would reject the request as invalid; the text gives the reason.
    Invalid(&'static str),
}

impl Response {
    /// Converts the outcome of a call; `result` is used if it succeeded.
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
