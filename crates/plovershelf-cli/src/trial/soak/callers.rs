//! Clients of a soak trial: they pipeline requests on connections until the backend ends them, retry as the protocol
//! page allows, and sometimes send two concurrent requests with the same idempotency key.

use std::cell::Cell;
use std::rc::Rc;

use async_io::Timer;
use plovershelf_testkit::recording_client::{Answer, RecordedCall, RecordingClient, SharedHistory};
use plovershelf_testkit::work::{Idempotency, WorkSpec};
use plovershelf_testkit::{Clock, Executor};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::faults::{BackendEvent, LogEntry, SharedEventLog};
use super::plan::{ClassPlan, Plan, TENANT};

/// Maximum number of retries per request.
const MAX_RETRIES: u32 = 2;
/// Fraction of the deduplication window within which a keyed request is retried.
const RETRY_WINDOW_FRACTION: f64 = 0.7;
/// Maximum time for which a client continues to send on a connection whose close was announced.
const MAX_SEND_AFTER_CLOSING_MS: f64 = 30.0;
/// Fraction of keyed requests that are sent twice concurrently.
const DUPLICATE_FRACTION: f64 = 0.1;

/// Number of connections in a burst.
const BURST_CONNECTIONS: usize = 40;
/// Time between two connections of a burst.
const BURST_INTERVAL_MS: f64 = 1.0;
/// Request numbers of bursts start here, above those of ordinary requests.
const FIRST_BURST_NUMBER: u64 = 1 << 32;
/// A draining backend refuses connections at the end of its grace, but at the latest this long before its kill.
const REFUSE_MARGIN_MS: f64 = 200.0;
/// Interval at which the event log is checked for drain notices.
const EVENT_POLL_MS: f64 = 5.0;

/// Counts that the history alone does not show.
#[derive(Default)]
pub struct CallerCounts {
    /// Number of retries.
    pub retries: Cell<u64>,
    /// Number of requests that were sent a second time concurrently.
    pub duplicates: Cell<u64>,
}

/// Sends requests at the plan's rate until the end of its span.
pub async fn run(
    executor: &Executor,
    clock: Clock,
    plan: &Plan,
    addresses: &[std::net::SocketAddr],
    history: &SharedHistory,
    counts: &Rc<CallerCounts>,
) {
    let mut random = Pcg64::seed_from_u64(plan.seed ^ 0xca11);
    let clients: Vec<Vec<Rc<RecordingClient>>> = (0..plan.clients)
        .map(|number| {
            let send_after_closing_ms = random.random_range(0.0..MAX_SEND_AFTER_CLOSING_MS);
            let client = |(backend, address): (usize, &std::net::SocketAddr)| {
                let number = number as u32 + 1;
                let target = (backend, *address);
                let history = history.clone();
                Rc::new(RecordingClient::new(executor, clock, target, number, send_after_closing_ms, history))
            };
            addresses.iter().enumerate().map(client).collect()
        })
        .collect();
    let started_ms = clock.now();
    let (mut at_ms, mut number) = (started_ms, 0u64);
    loop {
        at_ms += -random.random_range(f64::EPSILON..1.0f64).ln() * 1000.0 / plan.requests_per_s;
        if at_ms > started_ms + plan.span_ms {
            return;
        }
        Timer::at(clock.at(at_ms)).await;
        number += 1;
        let class = plan.class_at(random.random()).clone();
        let (client, backend) =
            (random.random_range(0..clients.len()), random.random_range(0..addresses.len()));
        let call = recorded_call(&class, number, random.random_range(0.0..0.999));
        if class.idempotency == Idempotency::Keyed && random.random_bool(DUPLICATE_FRACTION) {
            let duplicate = clients[(client + 1) % clients.len()][backend].clone();
            counts.duplicates.set(counts.duplicates.get() + 1);
            let call = call.clone();
            executor.spawn(async move { drop(duplicate.attempt(&call).await) }).detach();
        }
        let request =
            Request { clock, class, call, clients: clients[client].clone(), backend, counts: counts.clone() };
        executor.spawn(request.run(Pcg64::seed_from_u64(plan.seed ^ number))).detach();
    }
}

/// Opens new connections, each with an immediate request, around the time at which a draining backend starts to refuse
/// connections: requests on connections in its listen queue at that time must be answered too.
pub async fn connect_around_refusal(
    executor: &Executor,
    clock: Clock,
    plan: &Plan,
    addresses: &[std::net::SocketAddr],
    history: &SharedHistory,
    log: &SharedEventLog,
) {
    let mut processed = 0;
    let mut number = FIRST_BURST_NUMBER;
    loop {
        Timer::at(clock.at(clock.now() + EVENT_POLL_MS)).await;
        let new_entries: Vec<LogEntry> = log.borrow()[processed..].to_vec();
        processed += new_entries.len();
        for notice in new_entries.into_iter().filter(|entry| entry.event == BackendEvent::DrainNoticeSent) {
            let refuses_ms = notice.at_ms + plan.grace_ms.min(plan.stop_ms - REFUSE_MARGIN_MS);
            for index in 0..BURST_CONNECTIONS {
                number += 1;
                let call = recorded_call(&plan.classes[0], number, 0.9);
                let target = (notice.backend, addresses[notice.backend]);
                let client_number = plan.clients as u32 + 1;
                let client =
                    RecordingClient::new(executor, clock, target, client_number, 0.0, history.clone());
                let at_ms = refuses_ms + BURST_INTERVAL_MS * (index as f64 - BURST_CONNECTIONS as f64 / 2.0);
                let request = async move {
                    Timer::at(clock.at(at_ms)).await;
                    drop(client.attempt(&call).await);
                };
                executor.spawn(request).detach();
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
            outbound_calls: class.outbound_calls,
            idempotency: class.idempotency,
        },
        timeout_ms: class.timeout_ms,
    }
}

/// A request with its retries.
struct Request {
    clock: Clock,
    class: ClassPlan,
    call: RecordedCall,
    clients: Vec<Rc<RecordingClient>>,
    backend: usize,
    counts: Rc<CallerCounts>,
}

impl Request {
    async fn run(mut self, mut random: Pcg64) {
        let first_ms = self.clock.now();
        for _ in 0..=MAX_RETRIES {
            let answer = self.clients[self.backend].attempt(&self.call).await;
            let may_retry = match (self.class.idempotency, answer) {
                (_, Some(Answer::Succeeded(_))) => false,
                (_, Some(Answer::Rejected)) | (Idempotency::Idempotent, _) => true,
                // The request may have run: retry only at the backend that recorded the key, within the
                // deduplication window.
                (Idempotency::Keyed, _) => {
                    self.clock.now() < first_ms + RETRY_WINDOW_FRACTION * self.class.dedup_window_ms
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
