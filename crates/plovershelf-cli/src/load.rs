//! Load generation for trials: schedules of calls, the callers that make them, and their results. A schedule depends on
//! its seed alone, so that different kinds of callers face the same demand.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use plovershelf_client::{Client, ClientBuilder, ClientConfig, NotSentReason, Request, Response};
use plovershelf_testkit::basic_client::{BasicClient, Call, Outcome};
use plovershelf_testkit::work::{Idempotency, WorkSpec};
use plovershelf_testkit::{Clock, Executor};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_pcg::Pcg64;
use serde_json::{json, Value};

/// A request class of the trials' settings.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    pub name: &'static str,
    pub idempotency: Idempotency,
    /// Value of a response within the latency target.
    pub revenue: f64,
    /// Fraction of all calls.
    pub share: f64,
    /// Mean processor time of a call.
    pub work_ms: f64,
    /// Calls to the dependency per request.
    pub outbound_calls: u32,
    /// Latency target; a later response earns no revenue.
    pub target_ms: f64,
    /// Time after which the caller no longer needs a response.
    pub deadline_ms: f64,
}

pub const TENANTS: [&str; 2] = ["north", "south"];

/// The request classes: a cheap one with the majority of the calls, one with idempotency keys, one that must not be
/// repeated, and a valuable one.
pub const CLASSES: [RequestClass; 4] = [
    RequestClass {
        name: "quote",
        idempotency: Idempotency::Idempotent,
        revenue: 1.0,
        share: 0.55,
        work_ms: 18.0,
        outbound_calls: 1,
        target_ms: 700.0,
        deadline_ms: 1500.0,
    },
    RequestClass {
        name: "book",
        idempotency: Idempotency::Keyed,
        revenue: 4.0,
        share: 0.12,
        work_ms: 22.0,
        outbound_calls: 1,
        target_ms: 700.0,
        deadline_ms: 1500.0,
    },
    RequestClass {
        name: "settle",
        idempotency: Idempotency::NonIdempotent,
        revenue: 4.0,
        share: 0.08,
        work_ms: 22.0,
        outbound_calls: 1,
        target_ms: 700.0,
        deadline_ms: 1500.0,
    },
    RequestClass {
        name: "plan",
        idempotency: Idempotency::Idempotent,
        revenue: 10.0,
        share: 0.25,
        work_ms: 25.0,
        outbound_calls: 1,
        target_ms: 700.0,
        deadline_ms: 1500.0,
    },
];

/// Cost of reading a request, as a fraction of the mean work. Operators report 0.02 to 0.28.
pub const READ_COST_FRACTION: f64 = 0.15;

/// Returns the mean processor time of a call.
pub fn mean_work_ms() -> f64 {
    CLASSES.iter().map(|class| class.share * class.work_ms).sum()
}

/// Returns the settings that the backends of a trial are started with. `call_share` is the number of calls that one backend
/// may have in flight to the dependency; `overload_factor` is the overload that a backend survives.
pub fn settings(cores: f64, backends: usize, callers: usize, call_share: f64, overload_factor: f64) -> Value {
    let classes: Vec<Value> = CLASSES
        .iter()
        .map(|class| {
            let effect = match class.idempotency {
                Idempotency::Idempotent => "repeatable",
                Idempotency::Keyed => "by_key",
                Idempotency::NonIdempotent => "once",
            };
            json!({"name": class.name, "aim_ms": class.target_ms, "deadline_ms": class.deadline_ms,
                   "effect": effect, "dedup_window_ms": 5000.0, "gain": class.revenue, "late_worth": 0.0})
        })
        .collect();
    let tenants: Vec<Value> =
        TENANTS.iter().map(|name| json!({"name": name, "quota_per_s": 1.0e6, "share": 0.5})).collect();
    json!({
        "classes": classes, "tenants": tenants, "group_size": backends,
        "clients": {"marks_retry": true},
        "family_info": {"cores": cores, "memory_kb": 400_000.0, "run_factor": 2.0, "entry_kb": 1.0,
            "below": "shared", "dep_share": call_share, "linger_ms": 200.0, "halt": "abort",
            "signal": "threshold", "senders": callers, "keepalive_max_ms": 30_000.0, "cancel_seen": true,
            "passes_deadline": true, "meters": ["cpu_busy", "runnable", "mem_used", "sockets"]},
        "policy_limits": {"retry_after": true, "max_retry_after_ms": 1000.0},
        "rules": {"tip_multiple": overload_factor, "drain_grace_ms": 1000.0, "cold_from": 1.0, "warm_within_ms": 0.0},
    })
}

/// One call of a schedule.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    pub at_ms: f64,
    pub client: usize,
    pub class: usize,
    pub tenant: usize,
    pub priority: f64,
    pub work: WorkSpec,
}

/// Draws the calls of `clients` independent clients at random times over `span_ms`. `per_second` returns the demand at a
/// time in milliseconds.
pub fn schedule(
    seed: u64,
    clients: usize,
    span_ms: f64,
    per_second: impl Fn(f64) -> f64,
) -> Vec<PlannedCall> {
    schedule_with_shares(seed, clients, span_ms, per_second, &CLASSES.map(|class| class.share))
}

/// Draws a schedule like `schedule`, with other shares of the classes, which add up to 1.
pub fn schedule_with_shares(
    seed: u64,
    clients: usize,
    span_ms: f64,
    per_second: impl Fn(f64) -> f64,
    shares: &[f64],
) -> Vec<PlannedCall> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let max_per_second = (0..200).map(|n| per_second(span_ms * f64::from(n) / 200.0)).fold(0.001, f64::max);
    // Processor time varies from call to call, with a long tail; the mean factor is 1.
    let spread = LogNormal::new(-0.18, 0.6).expect("the standard deviation is finite");
    let (mut planned, mut at_ms) = (Vec::new(), 0.0);
    loop {
        let gap: f64 = Exp1.sample(&mut rng);
        at_ms += gap * 1000.0 / max_per_second;
        if at_ms >= span_ms {
            return planned;
        }
        if rng.random::<f64>() * max_per_second > per_second(at_ms) {
            continue;
        }
        let mut draw = rng.random::<f64>();
        let mut class_index = CLASSES.len() - 1;
        for (index, share) in shares.iter().enumerate() {
            if draw < *share {
                class_index = index;
                break;
            }
            draw -= share;
        }
        let class = CLASSES[class_index];
        let work = WorkSpec {
            number: planned.len() as u64 + 1,
            work_ms: class.work_ms * spread.sample(&mut rng),
            outbound_calls: class.outbound_calls,
            idempotency: class.idempotency,
        };
        planned.push(PlannedCall {
            at_ms,
            client: rng.random_range(0..clients),
            class: class_index,
            tenant: rng.random_range(0..TENANTS.len()),
            priority: (class_index as f64 + rng.random::<f64>()) / CLASSES.len() as f64,
            work,
        });
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    Succeeded,
    /// The response contains bytes that no execution of the request produces.
    WrongResult,
    Rejected,
    Failed,
    DeadlineExceeded,
    /// The client did not send the request; no reason is given for an invalid request.
    NotSent(Option<NotSentReason>),
}

#[derive(Clone, Copy, Debug)]
pub struct CallResult {
    pub outcome: CallOutcome,
    pub took_ms: f64,
    pub ended_at: f64,
}

/// Results of each call, by its index in the schedule. A call with more than one result is a fault that the summary
/// counts.
pub type Results = Rc<RefCell<Vec<Vec<CallResult>>>>;

/// Starts a client of the library on an executor.
///
/// # Errors
/// Returns why the configuration is invalid, in one line.
pub fn library_client(
    executor: &Executor,
    endpoints: &[SocketAddr],
    number: usize,
    config: ClientConfig,
) -> Result<Client, String> {
    let builder = ClientBuilder::new().endpoints(endpoints).client_number(number as u32).config(config);
    let (client, drive) = builder.build().map_err(|error| error.to_string())?;
    executor.spawn(drive).detach();
    Ok(client)
}

/// A caller of the backends: the client library, or a basic client without its protections.
#[derive(Clone)]
pub enum Caller {
    Library(Client),
    Basic(BasicClient),
}

impl Caller {
    async fn call(&self, planned: &PlannedCall) -> CallOutcome {
        let class = CLASSES[planned.class];
        let timeout = Duration::from_secs_f64(class.deadline_ms / 1000.0);
        let idempotency_key = format!("ticket-{}", planned.work.number);
        let (body, expected) = (planned.work.body(), planned.work.result());
        let succeeded = |result: Vec<u8>| {
            if result == expected {
                CallOutcome::Succeeded
            } else {
                CallOutcome::WrongResult
            }
        };
        match self {
            Caller::Library(client) => {
                let mut request = Request::new(class.name, body, timeout);
                request = request.tenant(TENANTS[planned.tenant]).priority(planned.priority);
                request = match class.idempotency {
                    Idempotency::Idempotent => request,
                    Idempotency::Keyed => request.idempotency_key(idempotency_key),
                    Idempotency::NonIdempotent => request.non_idempotent(),
                };
                match client.call(request).await {
                    Response::Succeeded(result) => succeeded(result),
                    Response::Rejected { .. } => CallOutcome::Rejected,
                    Response::Failed { .. } => CallOutcome::Failed,
                    Response::DeadlineExceeded { .. } => CallOutcome::DeadlineExceeded,
                    Response::NotSent { reason, .. } => CallOutcome::NotSent(Some(reason)),
                    Response::Invalid(_) => CallOutcome::NotSent(None),
                }
            }
            Caller::Basic(client) => {
                let call = Call {
                    class: class.name,
                    tenant: TENANTS[planned.tenant],
                    rank: planned.priority,
                    idempotency_key: (class.idempotency == Idempotency::Keyed).then_some(&*idempotency_key),
                    idempotent: class.idempotency == Idempotency::Idempotent,
                    body: &body,
                    timeout,
                };
                match client.call(&call).await {
                    Outcome::Succeeded(result) => succeeded(result),
                    Outcome::Rejected => CallOutcome::Rejected,
                    Outcome::Failed | Outcome::NoResponse => CallOutcome::Failed,
                }
            }
        }
    }
}

/// Makes all calls of a schedule at their times, counted from now, and waits until all have ended or until `timeout_ms`
/// after the last call was made.
pub async fn play(
    executor: &Executor,
    clock: Clock,
    planned: &Rc<Vec<PlannedCall>>,
    callers: &[Caller],
    results: &Results,
    timeout_ms: f64,
) {
    *results.borrow_mut() = vec![Vec::new(); planned.len()];
    let started_ms = clock.now();
    let remaining = Rc::new(RefCell::new(planned.len()));
    for index in 0..planned.len() {
        let at_ms = started_ms + planned[index].at_ms;
        if at_ms > clock.now() {
            Timer::at(clock.at(at_ms)).await;
        }
        let (caller, planned) = (callers[planned[index].client].clone(), planned.clone());
        let (results, remaining) = (results.clone(), remaining.clone());
        let call = async move {
            let called_at = clock.now();
            let outcome = caller.call(&planned[index]).await;
            let ended_at = clock.now();
            results.borrow_mut()[index].push(CallResult { outcome, took_ms: ended_at - called_at, ended_at });
            *remaining.borrow_mut() -= 1;
        };
        executor.spawn(call).detach();
    }
    let deadline = clock.now() + timeout_ms;
    while *remaining.borrow() > 0 && clock.now() < deadline {
        Timer::after(Duration::from_millis(10)).await;
    }
}

/// Totals over all calls of a schedule.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    pub calls: usize,
    /// Calls that had not ended when the run was over.
    pub without_result: usize,
    /// Calls with more than one result.
    pub duplicate_results: usize,
    /// Calls that ended more than 50 ms after their deadline.
    pub late: usize,
    /// Calls with a wrong result.
    pub wrong_result: usize,
    /// Revenue of all calls if each succeeded in time.
    pub revenue: f64,
    /// Revenue of the calls that succeeded within the latency target.
    pub revenue_in_time: f64,
    /// Counts by class: calls, succeeded within the target, succeeded later, rejected, not sent, failed, deadline exceeded.
    pub by_class: [[usize; 7]; CLASSES.len()],
}

/// Sums up the results of a schedule.
pub fn summarize(planned: &[PlannedCall], results: &[Vec<CallResult>]) -> Summary {
    let mut summary = Summary { calls: planned.len(), ..Summary::default() };
    for (call, results) in planned.iter().zip(results) {
        let class = CLASSES[call.class];
        summary.revenue += class.revenue;
        summary.without_result += usize::from(results.is_empty());
        summary.duplicate_results += usize::from(results.len() > 1);
        let counts = &mut summary.by_class[call.class];
        counts[0] += 1;
        let Some(result) = results.first() else { continue };
        summary.late += usize::from(result.took_ms > class.deadline_ms + 50.0);
        let column = match result.outcome {
            CallOutcome::Succeeded if result.took_ms <= class.target_ms => {
                summary.revenue_in_time += class.revenue;
                1
            }
            CallOutcome::Succeeded => 2,
            CallOutcome::Rejected => 3,
            CallOutcome::NotSent(_) => 4,
            CallOutcome::WrongResult | CallOutcome::Failed => 5,
            CallOutcome::DeadlineExceeded => 6,
        };
        summary.wrong_result += usize::from(result.outcome == CallOutcome::WrongResult);
        counts[column] += 1;
    }
    summary
}

#[cfg(test)]
mod tests;
