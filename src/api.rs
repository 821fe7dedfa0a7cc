//! Types that a driver passes to [`crate::admission::Backend`] and receives from it. Nothing here decides anything.
//!
//! Instants are milliseconds, with fractions, on a clock of the driver's choice that never goes back; durations are
//! milliseconds. Identifiers are the driver's own.

/// Whether a request may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// It carries an idempotency key by which a retry is recognised within the deduplication window.
    Keyed,
    /// It must run at most once, and nothing tells a retry from a new request.
    NonIdempotent,
}

/// Configuration of one request class.
#[derive(Clone, Debug)]
pub struct ClassConfig {
    /// Latency objective: a response within this time earns the full value.
    pub latency_objective_ms: f64,
    /// The objective grows by this many times the request's own work.
    pub objective_per_work: f64,
    /// Time after which a client has given up: the deadline of a request that names none, from its arrival on.
    pub timeout_ms: f64,
    /// For how long a key is remembered from the arrival of its request on.
    pub deduplication_window_ms: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Value of one successful response; its order among the classes gives the criticality.
    pub value: f64,
    /// Fraction of the value that a response between the objective and the time-out keeps.
    pub late_value_fraction: f64,
    /// Fraction of the value that a response keeps whose outbound call was skipped; 0 forbids skipping.
    pub skipped_call_value_fraction: f64,
}

/// What can be done to running work that nobody waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// It runs to its end.
    Unsupported,
    /// It stops and its progress is lost.
    Abort,
    /// It stops and keeps its progress and its memory.
    Pause,
}

/// How clients interpret the backpressure level that responses carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackpressureSignal {
    /// They ignore it.
    None,
    /// Requests below this priority, from 0 to 1, are not sent.
    MinimumPriority,
    /// Requests that one client may have outstanding here.
    ConcurrencyPerClient,
    /// Fraction of its usual rate that a client sends.
    RateFraction,
}

/// Everything a backend is given when it starts.
#[derive(Clone, Debug)]
pub struct BackendConfig {
    /// Seed of all random draws.
    pub seed: u64,
    /// Request classes; a class is named by its place here.
    pub classes: Vec<ClassConfig>,
    /// Requests per second that each tenant may send to the whole fleet; a tenant is named by its place here.
    pub tenant_quotas_per_s: Vec<f64>,
    /// Cores that requests run on.
    pub cores: f64,
    /// Memory for requests and deduplication records, in KiB.
    pub memory_kb: f64,
    /// Memory of a running request relative to that of a queued one.
    pub running_memory_factor: f64,
    /// Memory of one deduplication record, in KiB.
    pub deduplication_entry_kb: f64,
    /// Mean number of outbound calls that this backend may add to the shared dependency; none where it is not shared.
    pub dependency_share: Option<f64>,
    /// How long the dependency may go on with a call that was abandoned.
    pub abandoned_call_linger_ms: f64,
    /// What can be done to running work.
    pub cancellation: Cancellation,
    /// How clients interpret the backpressure level.
    pub backpressure: BackpressureSignal,
    /// Service discovery drops backends whose health checks fail.
    pub discovery_follows_health: bool,
    /// Backends in the fleet.
    pub fleet_size: f64,
    /// Clients of the fleet.
    pub client_count: f64,
    /// Clients mark retries as such.
    pub retries_marked: bool,
    /// The cores have just started and are slow at first.
    pub cold_start: bool,
    /// Speed of cold cores as a fraction of warm ones.
    pub cold_speed_fraction: f64,
    /// Time from a cold start to full speed.
    pub warm_up_ms: f64,
    /// Concurrent runs per core at which warm cores collapse.
    pub overload_multiple: f64,
    /// Requests that arrive this long after the drain notice are still served.
    pub drain_grace_ms: f64,
    /// Clients close connections that are idle for this long.
    pub max_idle_ms: f64,
    /// Longest Retry-After that clients follow.
    pub max_retry_after_ms: f64,
    /// How long the response to a read may serve other reads of the same object; 0 for never.
    pub shared_response_ms: f64,
}

/// A request that has just been read.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The driver's identifier, unique among open requests.
    pub id: u32,
    /// Place of its class in the configuration.
    pub class: usize,
    /// Place of its tenant in the configuration.
    pub tenant: usize,
    /// What a read is about, or the hash of an idempotency key; 0 for neither.
    pub key: u64,
    /// When the client stops waiting, if it has said so.
    pub deadline_ms: Option<f64>,
    /// Core time that the client expects the request to need.
    pub work_hint_ms: Option<f64>,
    /// Memory while it is queued, in KiB.
    pub memory_kb: f64,
    /// The client has marked it as a retry.
    pub marked_retry: bool,
    /// It changes state, so its response serves no other request.
    pub writes: bool,
    /// How long it lay unread.
    pub unread_ms: f64,
    /// The open or remembered request that it repeats.
    pub duplicate_of: Option<u32>,
}

/// What one bulkhead may use at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BulkheadCapacity {
    /// Runs that are admitted whatever fraction of arrivals is shed.
    pub reserved_runs: f64,
    /// Most concurrent runs.
    pub max_runs: f64,
    /// Most concurrent outbound calls.
    pub max_calls: f64,
}

/// Bulkheads of a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct Bulkheads {
    /// For each class, the place of its bulkhead in `capacities`.
    pub bulkhead_of_class: Vec<usize>,
    /// What each bulkhead may use.
    pub capacities: Vec<BulkheadCapacity>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It returned a result.
    Completed,
    /// It returned an error.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// It never started.
    NotStarted,
}

/// How an outbound call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The dependency replied.
    Completed,
    /// The dependency proved that it did not execute it.
    NotExecuted,
    /// Given up: it may linger at the dependency and may take effect.
    Abandoned,
    /// It may have taken effect.
    Unknown,
    /// Its connection broke, which proves nothing about the dependency; it may take effect.
    ConnectionLost,
}

/// Load of the cores, as far as it is measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Fraction of the cores that is busy.
    pub cores_busy: Option<f64>,
    /// Tasks that run or wait for a core.
    pub runnable: Option<f64>,
}

/// The final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Completion {
    /// It ran and returned its result.
    Succeeded,
    /// It was not carried out, or may be repeated without harm.
    Rejected {
        /// When the client may retry.
        retry_after_ms: f64,
        /// Whether another backend is worth an immediate retry.
        retry_elsewhere: bool,
    },
    /// The backend answers with an error.
    Failed,
    /// The run returned an error, which is the answer.
    ExecutionFailed,
    /// The client has gone; no answer is due.
    ClientGone,
}

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestState {
    /// Admitted to memory, not running yet.
    Queued,
    /// Waits for the result of the request that it repeats.
    Joined,
    /// On the cores.
    Running,
    /// Wants an outbound call that has not been placed.
    AwaitingCall,
    /// Waits for an outbound call.
    Calling {
        /// Time that the call has.
        timeout_ms: f64,
    },
    /// Its answer is out, but its work still takes memory or a core.
    Answered {
        /// The answer.
        completion: Completion,
        /// The work is to be cancelled.
        cancel: bool,
    },
    /// Nothing of it is left.
    Completed(Completion),
}

/// One change of a request's state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Transition {
    /// The request.
    pub id: u32,
    /// The state before; none for a new request.
    pub from: Option<RequestState>,
    /// The state from now on.
    pub to: RequestState,
    /// Remember the request for this long, so that its duplicates are recognised.
    pub retain_ms: Option<f64>,
}

/// Why a time-out was requested; handed back when it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The periodic measurement.
    Periodic,
    /// The earliest deadline.
    Deadline,
}

/// What the backend tells its clients and its driver.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Announcements {
    /// New backpressure level.
    pub backpressure: Option<f64>,
    /// New result of health checks.
    pub ready: Option<bool>,
    /// New time after which idle connections are closed.
    pub idle_timeout_ms: Option<f64>,
    /// Concurrent runs and outbound calls that all bulkheads may use together; only where there are bulkheads.
    pub total_capacity: Option<(f64, f64)>,
    /// Time-outs to start: the delay in milliseconds, and what is handed back.
    pub timers: Vec<(f64, Timer)>,
    /// Lines for the log.
    pub notes: Vec<String>,
}

/// What an input led to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// State changes, in order.
    pub transitions: Vec<Transition>,
    /// What is to be announced.
    pub announcements: Announcements,
}
