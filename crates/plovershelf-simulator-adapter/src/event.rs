//! Decodes the simulator's events. The fields of an event follow its code and the instance number.

use plovershelf::api::{CallOutcome, Request, RunOutcome, Timer};

use crate::error::RecordError;
use crate::frame::Record;

const CLIENT_GONE: u16 = 256;
const TIMER_FIRED: u16 = 257;
const REQUEST_READ: u16 = 258;
const CALL_ENDED: u16 = 259;
const PROCESS_ENDED: u16 = 260;
const DRAIN_NOTICE: u16 = 261;
const PROCESS_STARTED: u16 = 262;
const RUN_ENDED: u16 = 263;
const CALL_REQUESTED: u16 = 264;

/// Outcome codes of executions and calls.
const OUTCOME_OK: u16 = 0;
const OUTCOME_CANCELLED: u16 = 1;
const OUTCOME_TIMEOUT: u16 = 4;
const OUTCOME_REJECTED: u16 = 8;
const OUTCOME_NOT_STARTED: u16 = 9;
const OUTCOME_UNREACHABLE: u16 = 14;

/// Bits of a request's options.
const OPTION_HAS_WORK_HINT: u8 = 1;
const OPTION_MARKED_RETRY: u8 = 2;
const OPTION_WRITES: u8 = 4;

/// Maximum number of gauges in a timer event.
const MAX_GAUGES: usize = 4;
/// Token of the periodic timer: it is passed when the timer is set and returned when it fires.
pub(crate) const PERIODIC_TOKEN: u32 = 1;
/// Token of the deadline timer.
pub(crate) const DEADLINE_TOKEN: u32 = 2;

/// Start of a process, with its settings and the seed of its random numbers.
pub(crate) struct ProcessStart<'a> {
    pub(crate) seed: u64,
    pub(crate) settings: &'a str,
}

/// An event of a process or of one of its requests.
pub(crate) enum Event {
    RequestRead(Request),
    ClientGone { id: u32 },
    CallRequested { id: u32 },
    CallEnded { id: u32, outcome: CallOutcome },
    RunEnded { id: u32, outcome: RunOutcome },
    TimerFired { timer: Timer, gauges: [Option<f64>; MAX_GAUGES] },
    DrainNotice { stop_ms: f64 },
    ProcessEnded,
}

pub(crate) fn code(record: &Record<'_>) -> u16 {
    record.u16(0)
}

pub(crate) fn instance(record: &Record<'_>) -> u32 {
    record.u32(2)
}

/// Decodes the start of a process; `None` if the record is another event.
pub(crate) fn process_start<'a>(record: &Record<'a>) -> Result<Option<ProcessStart<'a>>, RecordError> {
    if code(record) != PROCESS_STARTED {
        return Ok(None);
    }
    Ok(Some(ProcessStart { seed: record.u64(6), settings: record.text(14)? }))
}

pub(crate) fn decode(record: &Record<'_>) -> Result<Event, RecordError> {
    let id = record.u32(6);
    Ok(match code(record) {
        REQUEST_READ => Event::RequestRead(request(record)),
        CLIENT_GONE => Event::ClientGone { id },
        CALL_REQUESTED => Event::CallRequested { id },
        CALL_ENDED => Event::CallEnded { id, outcome: call_outcome(record.u16(10)) },
        RUN_ENDED => Event::RunEnded { id, outcome: run_outcome(record.u16(18)) },
        TIMER_FIRED => Event::TimerFired { timer: timer(record.u32(6)), gauges: gauges(record) },
        DRAIN_NOTICE => Event::DrainNotice { stop_ms: record.f64(6) },
        PROCESS_ENDED => Event::ProcessEnded,
        code => return Err(RecordError::UnknownEvent { record: record.index, code }),
    })
}

fn request(record: &Record<'_>) -> Request {
    let options = record.u8(48);
    let has = |option: u8| options & option != 0;
    let work_hint_ms = present(record.f64(32));
    Request {
        id: record.u32(6),
        class: usize::from(record.u16(10)),
        tenant: record.u32(12) as usize,
        key: record.u64(16),
        deadline_ms: present(record.f64(24)),
        work_hint_ms: work_hint_ms.filter(|_| has(OPTION_HAS_WORK_HINT)),
        memory_kb: record.f32(40),
        marked_retry: has(OPTION_MARKED_RETRY),
        writes: has(OPTION_WRITES),
        unread_ms: record.f64(51),
        duplicate_of: Some(record.u32(59)).filter(|id| *id != 0),
    }
}

/// Decodes an optional value, which the wire format encodes as 0 if absent.
fn present(value: f64) -> Option<f64> {
    (value > 0.0).then_some(value)
}

fn call_outcome(outcome: u16) -> CallOutcome {
    match outcome {
        OUTCOME_OK => CallOutcome::Completed,
        OUTCOME_REJECTED | OUTCOME_UNREACHABLE => CallOutcome::NotExecuted,
        OUTCOME_TIMEOUT => CallOutcome::Abandoned,
        _ => CallOutcome::Unknown,
    }
}

fn run_outcome(outcome: u16) -> RunOutcome {
    match outcome {
        OUTCOME_OK => RunOutcome::Completed,
        OUTCOME_CANCELLED => RunOutcome::Cancelled,
        OUTCOME_NOT_STARTED => RunOutcome::NotStarted,
        _ => RunOutcome::Failed,
    }
}

fn timer(token: u32) -> Timer {
    if token == PERIODIC_TOKEN {
        Timer::Periodic
    } else {
        Timer::Deadline
    }
}

fn gauges(record: &Record<'_>) -> [Option<f64>; MAX_GAUGES] {
    let count = usize::from(record.u8(10));
    std::array::from_fn(|index| (index < count).then(|| record.f32(11 + 4 * index)))
}
