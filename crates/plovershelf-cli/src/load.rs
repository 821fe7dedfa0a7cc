//! Load for trials: what is asked when, by whom, and what came of it. A schedule follows from its seed alone, so that
//! two kinds of callers meet the very same demand.

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

/// One offering of the trials' settings.
#[derive(Clone, Copy, Debug)]
pub struct Offering {
    pub name: &'static str,
    pub effect: Idempotency,
    pub revenue: f64,
    /// Of all that is asked for.
    pub share: f64,
    pub work_ms: f64,
    pub calls: u32,
    pub contract_ms: f64,
    pub hard_limit_ms: f64,
}

pub const TENANTS: [&str; 2] = ["north", "south"];

/// A cheap offering that most ask for, one whose repeats are known by a ticket, one that may run once, and a dear one.
pub const OFFERINGS: [Offering; 4] = [
    Offering {
        name: "quote",
        effect: Idempotency::Idempotent,
        revenue: 1.0,
        share: 0.55,
        work_ms: 18.0,
        calls: 1,
        contract_ms: 700.0,
        hard_limit_ms: 1500.0,
    },
    Offering {
        name: "book",
        effect: Idempotency::Keyed,
        revenue: 4.0,
        share: 0.12,
        work_ms: 22.0,
        calls: 1,
        contract_ms: 700.0,
        hard_limit_ms: 1500.0,
    },
    Offering {
        name: "settle",
        effect: Idempotency::NonIdempotent,
        revenue: 4.0,
        share: 0.08,
        work_ms: 22.0,
        calls: 1,
        contract_ms: 700.0,
        hard_limit_ms: 1500.0,
    },
    Offering {
        name: "plan",
        effect: Idempotency::Idempotent,
        revenue: 10.0,
        share: 0.25,
        work_ms: 25.0,
        calls: 1,
        contract_ms: 700.0,
        hard_limit_ms: 1500.0,
    },
];

/// What reading an invocation costs, as a part of the mean work. Operators have told of 0.02 to 0.28.
pub const READING: f64 = 0.15;

/// Work of the mean invocation.
pub fn mean_work_ms() -> f64 {
    OFFERINGS.iter().map(|offering| offering.share * offering.work_ms).sum()
}

/// The settings that backends of a trial are started with.
pub fn settings(cores: f64, backends: usize, callers: usize, call_share: f64, crowd: f64) -> Value {
    let classes: Vec<Value> = OFFERINGS
        .iter()
        .map(|offering| {
            let effect = match offering.effect {
                Idempotency::Idempotent => "repeatable",
                Idempotency::Keyed => "by_key",
                Idempotency::NonIdempotent => "once",
            };
            json!({"name": offering.name, "aim_ms": offering.contract_ms, "deadline_ms": offering.hard_limit_ms,
                   "effect": effect, "dedup_window_ms": 5000.0, "gain": offering.revenue, "late_worth": 0.0})
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
        "rules": {"tip_multiple": crowd, "drain_grace_ms": 1000.0, "cold_from": 1.0, "warm_within_ms": 0.0},
    })
}

/// One invocation of a schedule.
#[derive(Clone, Debug)]
pub struct Planned {
    pub at_ms: f64,
    pub client: usize,
    pub offering: usize,
    pub tenant: usize,
    pub rank: f64,
    pub work: WorkSpec,
}

/// What so many clients ask for, each by itself at random times. `per_second` tells the demand at a time.
pub fn schedule(seed: u64, clients: usize, span_ms: f64, per_second: impl Fn(f64) -> f64) -> Vec<Planned> {
    schedule_of(seed, clients, span_ms, per_second, &OFFERINGS.map(|offering| offering.share))
}

/// The same with other shares of the offerings, which add up to 1.
pub fn schedule_of(
    seed: u64,
    clients: usize,
    span_ms: f64,
    per_second: impl Fn(f64) -> f64,
    shares: &[f64],
) -> Vec<Planned> {
    let mut chance = Pcg64::seed_from_u64(seed);
    let most = (0..200).map(|n| per_second(span_ms * f64::from(n) / 200.0)).fold(0.001, f64::max);
    // Work differs by itself, with a tail.
    let spread = LogNormal::new(-0.18, 0.6).expect("fit figures");
    let (mut planned, mut at_ms) = (Vec::new(), 0.0);
    loop {
        let gap: f64 = Exp1.sample(&mut chance);
        at_ms += gap * 1000.0 / most;
        if at_ms >= span_ms {
            return planned;
        }
        if chance.random::<f64>() * most > per_second(at_ms) {
            continue;
        }
        let mut draw = chance.random::<f64>();
        let mut offering = OFFERINGS.len() - 1;
        for (place, share) in shares.iter().enumerate() {
            if draw < *share {
                offering = place;
                break;
            }
            draw -= share;
        }
        let told = OFFERINGS[offering];
        let work = WorkSpec {
            number: planned.len() as u64 + 1,
            work_ms: told.work_ms * spread.sample(&mut chance),
            outbound_calls: told.calls,
            idempotency: told.effect,
        };
        planned.push(Planned {
            at_ms,
            client: chance.random_range(0..clients),
            offering,
            tenant: chance.random_range(0..TENANTS.len()),
            rank: (offering as f64 + chance.random::<f64>()) / OFFERINGS.len() as f64,
            work,
        });
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Succeeded,
    /// Bytes that no run of it made.
    Wrong,
    Dismissed,
    Scrapped,
    OutOfTime,
    GivenUp(Option<NotSentReason>),
}

#[derive(Clone, Copy, Debug)]
pub struct Result {
    pub end: End,
    pub took_ms: f64,
    pub ended_at: f64,
}

/// What came of each, by its place in the schedule; more than one would show.
pub type Results = Rc<RefCell<Vec<Vec<Result>>>>;

/// A client of the library that runs on an executor.
///
/// # Errors
/// What is wrong with its configuration, in one line.
pub fn library_client(
    executor: &Executor,
    endpoints: &[SocketAddr],
    number: usize,
    config: ClientConfig,
) -> std::result::Result<Client, String> {
    let builder = ClientBuilder::new().endpoints(endpoints).client_number(number as u32).config(config);
    let (client, drive) = builder.build().map_err(|error| error.to_string())?;
    executor.spawn(drive).detach();
    Ok(client)
}

/// Who asks.
#[derive(Clone)]
pub enum Asker {
    Library(Client),
    Basic(BasicClient),
}

impl Asker {
    async fn ask(&self, planned: &Planned) -> End {
        let offering = OFFERINGS[planned.offering];
        let within = Duration::from_secs_f64(offering.hard_limit_ms / 1000.0);
        let ticket = format!("ticket-{}", planned.work.number);
        let (body, made) = (planned.work.body(), planned.work.result());
        let succeeded = |result: Vec<u8>| if result == made { End::Succeeded } else { End::Wrong };
        match self {
            Asker::Library(client) => {
                let mut one = Request::new(offering.name, body, within);
                one = one.tenant(TENANTS[planned.tenant]).priority(planned.rank);
                one = match offering.effect {
                    Idempotency::Idempotent => one,
                    Idempotency::Keyed => one.idempotency_key(ticket),
                    Idempotency::NonIdempotent => one.non_idempotent(),
                };
                match client.call(one).await {
                    Response::Succeeded(result) => succeeded(result),
                    Response::Rejected { .. } => End::Dismissed,
                    Response::Failed { .. } => End::Scrapped,
                    Response::DeadlineExceeded { .. } => End::OutOfTime,
                    Response::NotSent { reason, .. } => End::GivenUp(Some(reason)),
                    Response::Invalid(_) => End::GivenUp(None),
                }
            }
            Asker::Basic(plain) => {
                let asked = Call {
                    class: offering.name,
                    tenant: TENANTS[planned.tenant],
                    rank: planned.rank,
                    idempotency_key: (offering.effect == Idempotency::Keyed).then_some(&*ticket),
                    idempotent: offering.effect == Idempotency::Idempotent,
                    body: &body,
                    timeout: within,
                };
                match plain.call(&asked).await {
                    Outcome::Succeeded(result) => succeeded(result),
                    Outcome::Rejected => End::Dismissed,
                    Outcome::Failed | Outcome::NoResponse => End::Scrapped,
                }
            }
        }
    }
}

/// Asks for all of a schedule at its times, from now on, and waits until all have ended or `patience_ms` after the last
/// was asked for.
pub async fn play(
    executor: &Executor,
    clock: Clock,
    planned: &Rc<Vec<Planned>>,
    askers: &[Asker],
    results: &Results,
    patience_ms: f64,
) {
    *results.borrow_mut() = vec![Vec::new(); planned.len()];
    let began = clock.now();
    let left = Rc::new(RefCell::new(planned.len()));
    for place in 0..planned.len() {
        let at = began + planned[place].at_ms;
        if at > clock.now() {
            Timer::at(clock.at(at)).await;
        }
        let (asker, planned) = (askers[planned[place].client].clone(), planned.clone());
        let (results, left) = (results.clone(), left.clone());
        let ask = async move {
            let asked_at = clock.now();
            let end = asker.ask(&planned[place]).await;
            let ended_at = clock.now();
            results.borrow_mut()[place].push(Result { end, took_ms: ended_at - asked_at, ended_at });
            *left.borrow_mut() -= 1;
        };
        executor.spawn(ask).detach();
    }
    let until = clock.now() + patience_ms;
    while *left.borrow() > 0 && clock.now() < until {
        Timer::after(Duration::from_millis(10)).await;
    }
}

/// What a played schedule came to.
#[derive(Clone, Debug, Default)]
pub struct Sum {
    pub calls: usize,
    pub without_result: usize,
    pub with_two: usize,
    /// After the hard limit by more than 50 ms.
    pub late: usize,
    pub wrong: usize,
    pub revenue: f64,
    /// What came inside the contract time.
    pub revenue_in_time: f64,
    /// By offering: asked, in time, late, dismissed, given up here, failed, out of time.
    pub by_offering: [[usize; 7]; OFFERINGS.len()],
}

pub fn sum(planned: &[Planned], results: &[Vec<Result>]) -> Sum {
    let mut sum = Sum { calls: planned.len(), ..Sum::default() };
    for (one, ends) in planned.iter().zip(results) {
        let offering = OFFERINGS[one.offering];
        sum.revenue += offering.revenue;
        sum.without_result += usize::from(ends.is_empty());
        sum.with_two += usize::from(ends.len() > 1);
        let counts = &mut sum.by_offering[one.offering];
        counts[0] += 1;
        let Some(result) = ends.first() else { continue };
        sum.late += usize::from(result.took_ms > offering.hard_limit_ms + 50.0);
        let place = match result.end {
            End::Succeeded if result.took_ms <= offering.contract_ms => {
                sum.revenue_in_time += offering.revenue;
                1
            }
            End::Succeeded => 2,
            End::Dismissed => 3,
            End::GivenUp(_) => 4,
            End::Wrong | End::Scrapped => 5,
            End::OutOfTime => 6,
        };
        sum.wrong += usize::from(result.end == End::Wrong);
        counts[place] += 1;
    }
    sum
}

#[cfg(test)]
mod tests;
