//! Types that a driver passes to [`crate::admission::Backend`] and receives from it, without any decision logic.
//!
//! Instants are milliseconds, with fractions, on a monotonic clock chosen by the driver; durations are
//! milliseconds. Identifiers are assigned by the driver.

/// Whether a request may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// The request has an idempotency key that identifies its retries within the deduplication window.
    Keyed,
    /// The request must run at most once, and its retries cannot be distinguished from new requests.
    NonIdempotent,
}

/// Configuration of one request class.
#[derive(Clone, Debug)]
pub struct ClassConfig {
    /// Latency objective: a response within this time has the full value.
    pub latency_objective_ms: f64,
    /// Extension of the objective as a multiple of the request's work.
    pub objective_per_work: f64,
    /// Timeout from the arrival on, used as the deadline of a request whose client names none.
    pub timeout_ms: f64,
    /// Time for which a key is retained, from the arrival of its request on.
    pub deduplication_window_ms: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Value of one successful response. The order of the values among the classes gives the criticality.
    pub value: f64,
    /// Fraction of the value that remains for a response between the objective and the timeout.
    pub late_value_fraction: f64,
    /// Fraction of the value that remains for a response whose outbound call was skipped; 0 forbids skipping.
    pub skipped_call_value_fraction: f64,
}

/// Cancellation of executions whose result is no longer needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// The execution runs to its end.
    Unsupported,
    /// The execution stops and loses its progress.
    Abort,
    /// The execution stops and retains its progress and its memory.
    Pause,
}

/// Interpretation by the clients of the backpressure level in responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackpressureSignal {
    /// Clients ignore the backpressure level.
    None,
    /// The level is a minimum priority, from 0 to 1: clients send no requests below it.
    MinimumPriority,
    /// The level is the maximum number of outstanding requests of one client at this backend.
    ConcurrencyPerClient,
    /// The level is the fraction of its usual rate at which a client sends.
    RateFraction,
}

/// Configuration of a backend at its start.
#[derive(Clone, Debug)]
pub struct BackendConfig {
    /// Seed of all random draws.
    pub seed: u64,
    /// Request classes, identified by their index.
    pub classes: Vec<ClassConfig>,
    /// Requests per second that each tenant may send to the whole fleet; tenants are identified by their index.
    pub tenant_quotas_per_s: Vec<f64>,
    /// Number of cores for executions.
    pub cores: f64,
    /// Memory for requests and deduplication entries, in KiB.
    pub memory_kb: f64,
    /// Ratio of the memory of a running request to that of a queued one.
    pub running_memory_factor: f64,
    /// Memory of one deduplication entry, in KiB.
    pub deduplication_entry_kb: f64,
    /// Mean number of outbound calls that this backend may have at the shared dependency; none if it is not shared.
    pub dependency_share: Option<f64>,
    /// Time for which the dependency may continue to process an abandoned call.
    pub abandoned_call_linger_ms: f64,
    /// How executions can be cancelled.
    pub cancellation: Cancellation,
    /// How clients interpret the backpressure level.
    pub backpressure: BackpressureSignal,
    /// Whether service discovery removes backends whose health checks fail.
    pub discovery_follows_health: bool,
    /// Number of backends in the fleet.
    pub fleet_size: f64,
    /// Number of clients of the fleet.
    pub client_count: f64,
    /// Whether clients mark their retries.
    pub retries_marked: bool,
    /// Whether the cores have just started and are slow at first.
    pub cold_start: bool,
    /// Speed of cold cores as a fraction of the speed of warm ones.
    pub cold_speed_fraction: f64,
    /// Time from a cold start to full speed.
    pub warm_up_ms: f64,
    /// Concurrent executions per core at which warm cores collapse.
    pub overload_multiple: f64,
    /// Time after the drain notice within which arriving requests are still served.
    pub drain_grace_ms: f64,
    /// Time after which clients close idle connections.
    pub max_idle_ms: f64,
    /// Longest Retry-After that clients follow.
    pub max_retry_after_ms: f64,
    /// Time for which the response to a read may serve other reads of the same object; 0 disables sharing.
    pub shared_response_ms: f64,
}

/// A request that has just been read.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Identifier assigned by the driver, unique among open requests.
    pub id: u32,
    /// Index of the request's class in the configuration.
    pub class: usize,
    /// Index of the request's tenant in the configuration.
    pub tenant: usize,
    /// Hash of the object of a read or of the idempotency key; 0 for neither.
    pub key: u64,
    /// Time at which the client stops waiting, if it named one.
    pub deadline_ms: Option<f64>,
    /// Core time that the client expects the request to take.
    pub work_hint_ms: Option<f64>,
    /// Memory of the request while it is queued, in KiB.
    pub memory_kb: f64,
    /// Whether the client marked the request as a retry.
    pub marked_retry: bool,
    /// Whether the request changes state, so that its response serves no other request.
    pub writes: bool,
    /// Time between the arrival and the reading of the request.
    pub unread_ms: f64,
    /// Open or retained request that this request duplicates.
    pub duplicate_of: Option<u32>,
}

/// Current capacity of one bulkhead.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BulkheadCapacity {
    /// Number of executions that are admitted regardless of the shed fraction.
    pub reserved_runs: f64,
    /// Maximum number of concurrent executions.
    pub max_runs: f64,
    /// Maximum number of concurrent outbound calls.
    pub max_calls: f64,
}

/// Bulkheads of a backend and the request classes assigned to them.
#[derive(Clone, Debug, PartialEq)]
pub struct Bulkheads {
    /// Index in `capacities` of the bulkhead of each class.
    pub bulkhead_of_class: Vec<usize>,
    /// Capacity of each bulkhead.
    pub capacities: Vec<BulkheadCapacity>,
}

/// Outcome of an execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The execution returned a result.
    Completed,
    /// The execution returned an error.
    Failed,
    /// The execution was cancelled.
    Cancelled,
    /// The execution never started.
    NotStarted,
}

/// Outcome of an outbound call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The dependency replied.
    Completed,
    /// The dependency proved that it did not execute the call.
    NotExecuted,
    /// The caller abandoned the call, which may linger at the dependency and may take effect.
    Abandoned,
    /// The call may have taken effect.
    Unknown,
    /// The connection broke, which is no evidence of a fault of the dependency; the call may take effect.
    ConnectionLost,
}

/// Measurements of the load of the cores; absent if not measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Busy fraction of the cores.
    pub cores_busy: Option<f64>,
    /// Number of tasks that run or wait for a core.
    pub runnable: Option<f64>,
}

/// Final response to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Completion {
    /// The request ran and returned its result.
    Succeeded,
    /// The request was not executed, or may be repeated without harm.
    Rejected {
        /// Time after which the client may retry.
        retry_after_ms: f64,
        /// Whether the client should retry on another backend at once.
        retry_elsewhere: bool,
    },
    /// The backend responds with an error.
    Failed,
    /// The execution returned an error, which is the response.
    ExecutionFailed,
    /// The client disconnected; no response is sent.
    ClientGone,
}

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestState {
    /// Accepted into memory, not running yet.
    Queued,
    /// Waiting for the result of the request that it duplicates.
    Joined,
    /// Running on the cores.
    Running,
    /// Waiting for an outbound call to be placed.
    AwaitingCall,
    /// Waiting for the response to an outbound call.
    Calling {
        /// Timeout of the call.
        timeout_ms: f64,
    },
    /// The response was sent, but the execution still occupies memory or a core.
    Answered {
        /// Response that was sent.
        completion: Completion,
        /// Whether the execution is to be cancelled.
        cancel: bool,
    },
    /// The request occupies no resources any more.
    Completed(Completion),
}

/// A state change of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Transition {
    /// Identifier of the request.
    pub id: u32,
    /// Previous state; none for a new request.
    pub from: Option<RequestState>,
    /// New state.
    pub to: RequestState,
    /// If present, the driver retains the request for this time to detect its duplicates.
    pub retain_ms: Option<f64>,
}

/// Reason of a requested timer; passed back when the timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// Periodic measurement.
    Periodic,
    /// Earliest deadline.
    Deadline,
}

/// Announcements of the backend to its clients and its driver. Absent fields are unchanged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Announcements {
    /// New backpressure level.
    pub backpressure: Option<f64>,
    /// New result of health checks.
    pub ready: Option<bool>,
    /// New time after which idle connections are closed.
    pub idle_timeout_ms: Option<f64>,
    /// Total concurrent executions and outbound calls of all bulkheads; only present if there are bulkheads.
    pub total_capacity: Option<(f64, f64)>,
    /// Timers to set: the delay in milliseconds, and the reason to pass back.
    pub timers: Vec<(f64, Timer)>,
    /// Messages for the log.
    pub notes: Vec<String>,
}

/// Effects of an input.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// State changes, in order.
    pub transitions: Vec<Transition>,
    /// Announcements to make.
    pub announcements: Announcements,
}
