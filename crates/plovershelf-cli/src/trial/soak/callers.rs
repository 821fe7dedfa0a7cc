//! Callers of a soak: they pipeline on connections that they use until the backend ends them, retry as the page allows, and ask for
//! one key twice at once now and then.

use std::cell::Cell;
use std::rc::Rc;

use async_io::Timer;
use plovershelf_testkit::recording_client::{Answer, RecordedCall, RecordingClient, SharedHistory};
use plovershelf_testkit::work::{Idempotency, WorkSpec};
use plovershelf_testkit::{Clock, Executor};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::faults::{Deed, Logged, SharedLog};
use super::plan::{ClassPlan, Plan, TENANT};

/// Retries of one request, at most.
const MAX_RETRIES: u32 = 2;
/// The part of a window in which a retry of its key is sent.
const WINDOW_FRACTION: f64 = 0.7;
/// Longest that a caller goes on sending on a connection that it was told closes.
const MAX_CROSS_CLOSE_MS: f64 = 30.0;
/// How often one key is asked for twice at once.
const TWIN_FRACTION: f64 = 0.1;

/// Connections of a rush, the time between two of them, and numbers of their requests.
const RUSH_CONNECTIONS: usize = 40;
const RUSH_STEP_MS: f64 = 1.0;
const FIRST_RUSH_NUMBER: u64 = 1 << 32;
/// A backend refuses connections at the end of its grace, or this long before its kill.
const REFUSE_MARGIN_MS: f64 = 200.0;
const RUSH_POLL_MS: f64 = 5.0;

/// What callers did that the history alone does not show.
#[derive(Default)]
pub struct Counts {
    pub retries: Cell<u64>,
    pub twins: Cell<u64>,
}

/// Asks as the plan says until its span is over.
pub async fn run(
    executor: &Executor,
    clock: Clock,
    plan: &Plan,
    addresses: &[std::net::SocketAddr],
    history: &SharedHistory,
    counts: &Rc<Counts>,
) {
    let mut random = Pcg64::seed_from_u64(plan.seed ^ 0xca11);
    let clients: Vec<Vec<Rc<RecordingClient>>> = (0..plan.clients)
        .map(|number| {
            let cross_ms = random.random_range(0.0..MAX_CROSS_CLOSE_MS);
            let client = |(backend, address): (usize, &std::net::SocketAddr)| {
                let number = number as u32 + 1;
                let at = (backend, *address);
                Rc::new(RecordingClient::new(executor, clock, at, number, cross_ms, history.clone()))
            };
            addresses.iter().enumerate().map(client).collect()
        })
        .collect();
    let began_ms = clock.now();
    let (mut at_ms, mut number) = (began_ms, 0u64);
    loop {
        at_ms += -random.random_range(f64::EPSILON..1.0f64).ln() * 1000.0 / plan.requests_per_s;
        if at_ms > began_ms + plan.span_ms {
            return;
        }
        Timer::at(clock.at(at_ms)).await;
        number += 1;
        let class = plan.class_at(random.random()).clone();
        let (client, backend) =
            (random.random_range(0..clients.len()), random.random_range(0..addresses.len()));
        let call = recorded_call(&class, number, random.random_range(0.0..0.999));
        if class.idempotency == Idempotency::Keyed && random.random_bool(TWIN_FRACTION) {
            let twin = clients[(client + 1) % clients.len()][backend].clone();
            counts.twins.set(counts.twins.get() + 1);
            let call = call.clone();
            executor.spawn(async move { drop(twin.attempt(&call).await) }).detach();
        }
        let request =
            Request { clock, class, call, clients: clients[client].clone(), backend, counts: counts.clone() };
        executor.spawn(request.run(Pcg64::seed_from_u64(plan.seed ^ number))).detach();
    }
}

/// Connects anew, with a request at once, in the moments around that in which a backend that was told to leave refuses
/// connections: what stands in its listen queue then must be answered too.
pub async fn rush(
    executor: &Executor,
    clock: Clock,
    plan: &Plan,
    addresses: &[std::net::SocketAddr],
    history: &SharedHistory,
    log: &SharedLog,
) {
    let mut seen = 0;
    let mut number = FIRST_RUSH_NUMBER;
    loop {
        Timer::at(clock.at(clock.now() + RUSH_POLL_MS)).await;
        let new: Vec<Logged> = log.borrow()[seen..].to_vec();
        seen += new.len();
        for notice in new.into_iter().filter(|line| line.deed == Deed::Noticed) {
            let refuses_ms = notice.at_ms + plan.grace_ms.min(plan.stop_ms - REFUSE_MARGIN_MS);
            for place in 0..RUSH_CONNECTIONS {
                number += 1;
                let call = recorded_call(&plan.classes[0], number, 0.9);
                let at = (notice.backend, addresses[notice.backend]);
                let client =
                    RecordingClient::new(executor, clock, at, plan.clients as u32 + 1, 0.0, history.clone());
                let at_ms = refuses_ms + RUSH_STEP_MS * (place as f64 - RUSH_CONNECTIONS as f64 / 2.0);
                let ask = async move {
                    Timer::at(clock.at(at_ms)).await;
                    drop(client.attempt(&call).await);
                };
                executor.spawn(ask).detach();
            }
        }
    }
}

fn recorded_call(class: &ClassPlan, number: u64, rank: f64) -> RecordedCall {
    RecordedCall {
        class: class.name.to_string(),
        tenant: TENANT.to_string(),
        key: (class.idempotency == Idempotency::Keyed).then(|| format!("key-{number}")),
        rank,
        work: WorkSpec {
            number,
            work_ms: class.work_ms,
            outbound_calls: class.calls,
            idempotency: class.idempotency,
        },
        timeout_ms: class.timeout_ms,
    }
}

/// One request with its retries.
struct Request {
    clock: Clock,
    class: ClassPlan,
    call: RecordedCall,
    clients: Vec<Rc<RecordingClient>>,
    backend: usize,
    counts: Rc<Counts>,
}

impl Request {
    async fn run(mut self, mut random: Pcg64) {
        let first_ms = self.clock.now();
        for _ in 0..=MAX_RETRIES {
            let answer = self.clients[self.backend].attempt(&self.call).await;
            let may_retry = match (self.class.idempotency, answer) {
                (_, Some(Answer::Succeeded(_))) => false,
                (_, Some(Answer::Rejected)) | (Idempotency::Idempotent, _) => true,
                // It may have run: only the backend that knows its key may be asked, within its window.
                (Idempotency::Keyed, _) => {
                    self.clock.now() < first_ms + WINDOW_FRACTION * self.class.window_ms
                }
                (Idempotency::NonIdempotent, _) => false,
            };
            if !may_retry {
                return;
            }
            self.counts.retries.set(self.counts.retries.get() + 1);
            Timer::after(std::time::Duration::from_millis(random.random_range(1..60))).await;
            if self.class.idempotency == Idempotency::Idempotent {
                self.backend = random.random_range(0..self.clients.len());
            }
        }
    }
}
