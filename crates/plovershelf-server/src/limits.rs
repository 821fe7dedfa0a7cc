//! Sizes, counts and times that bound serving, filled at start and handed down. Those of links and of the threads of cluster and
//! configuration distribution stand in their own files.

use crate::broken::{self, Broken};

/// Descriptors kept back for the listener, the agent, the dependency, the registry, the standard streams and the event
/// queue.
const RESERVED_SOCKETS: usize = 16;
/// Memory that one connection may come to hold, which bounds the number of connections.
const CONNECTION_BYTES: usize = 64 << 10;
/// Memory that one deduplication key may come to hold beside a result.
const DEDUPLICATION_KEY_BYTES: usize = 512;
/// Descriptors for each connection to the dependency, and how many connections there may be.
const SOCKETS_PER_DEPENDENCY_CONNECTION: usize = 16;
const MIN_DEPENDENCY_CONNECTIONS: usize = 2;
const MAX_DEPENDENCY_CONNECTIONS: usize = 24;
/// Fewer clients' connections are never allowed.
const MIN_CONNECTIONS: usize = 4;

/// Connections where descriptors are not counted, in a variant for tests.
const UNCOUNTED_CONNECTIONS: usize = 1 << 20;

/// Bounds of the whole program.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    // ---- clients: sizes and counts
    /// Clients' connections at once.
    pub(crate) max_connections: usize,
    /// Unanswered requests of one connection.
    pub(crate) max_requests_per_connection: usize,
    /// A client's frame, and the body in it.
    pub(crate) max_frame_bytes: usize,
    pub(crate) max_request_bytes: usize,
    /// What one read takes at most.
    pub(crate) read_chunk_bytes: usize,
    /// Memory of an open request beside its frame; all that open requests may hold.
    pub(crate) request_overhead_bytes: usize,
    pub(crate) max_open_bytes: usize,
    /// Responses that wait to be written, of all connections and of one.
    pub(crate) max_unwritten_bytes: usize,
    pub(crate) max_unwritten_bytes_per_connection: usize,
    /// Deduplication keys, and the results kept for them.
    pub(crate) max_deduplication_keys: usize,
    pub(crate) max_result_bytes: usize,
    /// Places in the queue to the event loop, and in those from it.
    pub(crate) event_queue: usize,
    pub(crate) command_queue: usize,

    // ---- clients: times
    /// A connection's first message, and the rest of each frame that has begun, come within this.
    pub(crate) message_timeout_ms: u64,
    /// A peer that reads nothing for this long is given up.
    pub(crate) write_timeout_ms: u64,
    /// A connection that this side ends is still read for this long and this much, so that its peer receives the end; and
    /// for the shorter time where descriptors run short, which is what a request that crosses the end may take.
    pub(crate) linger_ms: u64,
    pub(crate) linger_ms_when_crowded: u64,
    pub(crate) max_linger_bytes: usize,
    /// A request is not older than this.
    pub(crate) max_request_age_ms: f64,
    /// No client is believed to wait longer for one attempt.
    pub(crate) max_timeout_ms: f64,
    /// Deduplication keys outlive their window by this, for requests that are read late.
    pub(crate) deduplication_grace_ms: f64,

    // ---- clients: accepting and evicting
    /// Connections that wait to be accepted.
    pub(crate) listen_backlog: i32,
    /// An address that another process holds is retried for this long, this often.
    pub(crate) listen_timeout_ms: u64,
    pub(crate) listen_retry_ms: u64,
    /// From this many connections on, those that have sent nothing for `min_silent_ms` or are idle for `min_idle_ms` make
    /// room for new ones.
    pub(crate) crowded_connections: usize,
    pub(crate) min_idle_ms: f64,
    pub(crate) min_silent_ms: f64,
    /// The same for silent ones once no more connections are possible, and how many make room at once.
    pub(crate) min_silent_ms_when_full: f64,
    pub(crate) max_evictions: usize,
    /// No connection that has sent something makes room while this many are ending.
    pub(crate) max_ending_connections: usize,
    /// What stands in the listen queue as accepting ends waits this long for others' descriptors; the rest is reset.
    pub(crate) listen_queue_timeout_ms: u64,
    /// Accepting pauses for this long when descriptors are short.
    pub(crate) accept_pause_ms: u64,
    /// Faults that end a connection where they may be another client's.
    pub(crate) max_faults: u32,

    // ---- agent
    /// A line of the agent or the dependency with its body, and the body alone.
    pub(crate) max_line_bytes: usize,
    pub(crate) max_body_bytes: usize,
    /// Time to connect to the agent or the dependency; pauses between attempts, at first and at most.
    pub(crate) connect_timeout_ms: u64,
    pub(crate) min_reconnect_ms: u64,
    pub(crate) max_reconnect_ms: u64,
    /// A link that is replaced by another waits this long for the proof that its commands were read.
    pub(crate) handover_timeout_ms: u64,
    /// A periodic measurement waits this long for its gauges.
    pub(crate) gauge_timeout_ms: f64,

    // ---- dependency
    /// Connections, and further ones while others accept no more calls but have some in flight.
    pub(crate) max_dependency_connections: usize,
    pub(crate) spare_dependency_connections: usize,
    /// Calls that one connection carries in its life.
    pub(crate) max_calls_per_connection: usize,
    /// The dependency may close or forget an idle connection; this side closes it earlier, so that no call crosses that.
    pub(crate) dependency_idle_ms: u64,
    /// A connection with a call in flight for this multiple of the mean latency is considered dead, within these bounds.
    pub(crate) silence_multiple: f64,
    pub(crate) min_silence_ms: u64,
    pub(crate) max_silence_ms: u64,
    /// Weight of one call in the mean latency, and the mean before the first call.
    pub(crate) latency_weight: f64,
    pub(crate) initial_latency_ms: f64,
    /// A reply that has begun is complete within this.
    pub(crate) reply_timeout_ms: u64,
    /// How often a connection is checked for silence.
    pub(crate) silence_check_ms: u64,

    // ---- registry
    /// Between two heartbeats. The registry drops a backend after 3 s without one: of twelve in a row, a quarter lost, all
    /// are hardly ever lost.
    pub(crate) heartbeat_ms: u64,

    // ---- drain
    /// A connection that was told to close and does not is closed after this; and once connections are refused, which is
    /// longer than a request may take that crosses the announcement.
    pub(crate) closing_timeout_ms: f64,
    pub(crate) final_closing_timeout_ms: f64,
    /// Connections are told to close this long before new ones are refused.
    pub(crate) closing_lead_ms: f64,
    /// New connections are refused from this long before the kill at the latest.
    pub(crate) min_refuse_margin_ms: f64,
    /// The program exits this long before it is killed.
    pub(crate) exit_margin_ms: f64,

    // ---- log
    /// Between two lines about each bulkhead.
    pub(crate) bulkhead_log_interval_ms: f64,
    /// Lines about what peers do wrong.
    pub(crate) max_peer_errors_per_s: u32,
}

impl Limits {
    /// Limits of a program with this much memory, in MiB, and this many descriptors.
    #[expect(clippy::too_many_lines, reason = "a table of values, one a line")]
    pub(crate) fn new(memory_mb: f64, sockets: usize) -> Self {
        let memory_bytes = (memory_mb * 1024.0 * 1024.0) as usize;
        let max_dependency_connections = (sockets / SOCKETS_PER_DEPENDENCY_CONNECTION)
            .clamp(MIN_DEPENDENCY_CONNECTIONS, MAX_DEPENDENCY_CONNECTIONS);
        let reserved = RESERVED_SOCKETS + max_dependency_connections;
        let max_connections =
            sockets.saturating_sub(reserved).min(memory_bytes / CONNECTION_BYTES).max(MIN_CONNECTIONS);
        let max_connections =
            if broken::is(Broken::DescriptorsNotCounted) { UNCOUNTED_CONNECTIONS } else { max_connections };
        Limits {
            max_connections,
            max_requests_per_connection: 32,
            max_frame_bytes: 8 << 10,
            max_request_bytes: 2 << 10,
            read_chunk_bytes: 4 << 10,
            request_overhead_bytes: 1 << 10,
            max_open_bytes: memory_bytes * 2 / 5,
            max_unwritten_bytes: memory_bytes / 5,
            max_unwritten_bytes_per_connection: 256 << 10,
            max_deduplication_keys: memory_bytes / 10 / DEDUPLICATION_KEY_BYTES,
            max_result_bytes: memory_bytes / 10,
            event_queue: 256,
            command_queue: 4096,
            message_timeout_ms: 2200,
            write_timeout_ms: 10_000,
            linger_ms: 300,
            linger_ms_when_crowded: 60,
            max_linger_bytes: 256 << 10,
            max_request_age_ms: 60_000.0,
            max_timeout_ms: 3_600_000.0,
            deduplication_grace_ms: 10_000.0,
            listen_backlog: 1024,
            listen_timeout_ms: 8000,
            listen_retry_ms: 20,
            crowded_connections: max_connections * 3 / 4,
            min_idle_ms: 1000.0,
            min_silent_ms: 100.0,
            min_silent_ms_when_full: 20.0,
            max_evictions: 32,
            max_ending_connections: 8,
            listen_queue_timeout_ms: 160,
            accept_pause_ms: 2,
            max_faults: 16,
            max_line_bytes: 10 << 10,
            max_body_bytes: 8 << 10,
            connect_timeout_ms: 1000,
            min_reconnect_ms: 2,
            max_reconnect_ms: 500,
            handover_timeout_ms: 500,
            gauge_timeout_ms: 25.0,
            max_dependency_connections,
            spare_dependency_connections: 4,
            max_calls_per_connection: 200,
            dependency_idle_ms: 400,
            silence_multiple: 12.0,
            min_silence_ms: 40,
            max_silence_ms: 1500,
            latency_weight: 0.05,
            initial_latency_ms: 100.0,
            reply_timeout_ms: 100,
            silence_check_ms: 50,
            heartbeat_ms: 250,
            closing_timeout_ms: 10_000.0,
            final_closing_timeout_ms: 150.0,
            closing_lead_ms: 150.0,
            min_refuse_margin_ms: 200.0,
            exit_margin_ms: 20.0,
            bulkhead_log_interval_ms: 5000.0,
            max_peer_errors_per_s: 10,
        }
    }
}
