//! Sizes, counts and times that bound the server, computed at startup. The limits of links and of the threads for
//! cluster and configuration distribution are defined in their own modules.

use crate::broken::{self, Broken};

/// Descriptors reserved for the listener, the agent, the dependency, the registry, the standard streams and the event
/// queue.
const RESERVED_SOCKETS: usize = 16;
/// Memory assumed per connection, which bounds the number of connections.
const CONNECTION_BYTES: usize = 64 << 10;
/// Memory assumed per deduplication key without its result.
const DEDUPLICATION_KEY_BYTES: usize = 512;
/// Descriptors of the process per connection to the dependency.
const SOCKETS_PER_DEPENDENCY_CONNECTION: usize = 16;
/// Lower bound of the maximum number of connections to the dependency.
const MIN_DEPENDENCY_CONNECTIONS: usize = 2;
/// Upper bound of the maximum number of connections to the dependency.
const MAX_DEPENDENCY_CONNECTIONS: usize = 24;
/// Lower bound of the limit on client connections.
const MIN_CONNECTIONS: usize = 4;

/// Limit on client connections in the test variant that ignores descriptors.
const UNCOUNTED_CONNECTIONS: usize = 1 << 20;

/// Limits of the whole program.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    // ---- clients: sizes and counts
    /// Maximum number of client connections.
    pub(crate) max_connections: usize,
    /// Maximum number of unanswered requests per connection.
    pub(crate) max_requests_per_connection: usize,
    /// Maximum size of a client frame.
    pub(crate) max_frame_bytes: usize,
    /// Maximum size of the body of a request.
    pub(crate) max_request_bytes: usize,
    /// Maximum number of bytes per read.
    pub(crate) read_chunk_bytes: usize,
    /// Memory assumed per open request in addition to its frame.
    pub(crate) request_overhead_bytes: usize,
    /// Maximum memory of all open requests.
    pub(crate) max_open_bytes: usize,
    /// Maximum size of the responses that wait to be written, on all connections.
    pub(crate) max_unwritten_bytes: usize,
    /// Maximum size of the responses that wait to be written, per connection.
    pub(crate) max_unwritten_bytes_per_connection: usize,
    /// Maximum number of deduplication keys.
    pub(crate) max_deduplication_keys: usize,
    /// Maximum size of the results stored with deduplication keys.
    pub(crate) max_result_bytes: usize,
    /// Capacity of the queue to the event loop.
    pub(crate) event_queue: usize,
    /// Capacity of the queues from the event loop.
    pub(crate) command_queue: usize,

    // ---- clients: times
    /// Time within which the first message of a connection, and the rest of each started frame, must arrive.
    pub(crate) message_timeout_ms: u64,
    /// Time after which the connection of a peer that doesn't read is ended.
    pub(crate) write_timeout_ms: u64,
    /// Time for which a connection that this side ends is still read, so that its peer receives the last response.
    pub(crate) linger_ms: u64,
    /// Value of `linger_ms` while more than `eviction_threshold` connections are open. It still covers a request that
    /// the peer sends before it detects the end of the connection.
    pub(crate) linger_ms_under_pressure: u64,
    /// Maximum number of bytes that are read while lingering.
    pub(crate) max_linger_bytes: usize,
    /// Maximum age of a request by its sent time.
    pub(crate) max_request_age_ms: f64,
    /// Upper bound of the timeout that a client states for an attempt.
    pub(crate) max_timeout_ms: f64,
    /// Time for which deduplication keys are kept after their window, for requests that are read late.
    pub(crate) deduplication_grace_ms: f64,

    // ---- clients: accepting and evicting
    /// Capacity of the listen queue, in connections.
    pub(crate) listen_backlog: i32,
    /// Time for which listening is retried while another process uses the address.
    pub(crate) listen_timeout_ms: u64,
    /// Interval at which listening is retried.
    pub(crate) listen_retry_ms: u64,
    /// Number of connections above which a new one evicts another that has sent no message for `min_unused_ms` or has
    /// been idle for `min_idle_ms`.
    pub(crate) eviction_threshold: usize,
    /// Idle time after which a connection may be evicted.
    pub(crate) min_idle_ms: f64,
    /// Time after which a connection that has sent no message may be evicted.
    pub(crate) min_unused_ms: f64,
    /// Value of `min_unused_ms` once the limit of connections or descriptors is reached.
    pub(crate) min_unused_ms_when_full: f64,
    /// Maximum number of connections that are evicted at once.
    pub(crate) max_evictions: usize,
    /// Number of ending connections above which no further ones are evicted.
    pub(crate) max_ending_connections: usize,
    /// Time for which connections in the listen queue wait for a free descriptor when accepting ends; the rest are
    /// reset.
    pub(crate) listen_queue_timeout_ms: u64,
    /// Pause of accepting when descriptors run short.
    pub(crate) accept_pause_ms: u64,
    /// Fault count at which a connection is no longer read. A fault that another client may have caused adds 1 to the
    /// count; any other fault reaches the limit at once.
    pub(crate) max_faults: u32,

    // ---- agent
    /// Maximum size of a line of the agent or the dependency, including its body.
    pub(crate) max_line_bytes: usize,
    /// Maximum size of the body of such a line.
    pub(crate) max_body_bytes: usize,
    /// Timeout for connecting to the agent or the dependency.
    pub(crate) connect_timeout_ms: u64,
    /// First pause between attempts to connect.
    pub(crate) min_reconnect_ms: u64,
    /// Longest pause between attempts to connect.
    pub(crate) max_reconnect_ms: u64,
    /// Time for which a replaced link waits for the answer to its final fence.
    pub(crate) handover_timeout_ms: u64,
    /// Time for which a periodic measurement waits for its gauges.
    pub(crate) gauge_timeout_ms: f64,

    // ---- dependency
    /// Maximum number of connections to the dependency.
    pub(crate) max_dependency_connections: usize,
    /// Number of further connections while retired ones still have calls in flight.
    pub(crate) spare_dependency_connections: usize,
    /// Number of calls after which a connection is retired.
    pub(crate) max_calls_per_connection: usize,
    /// Idle time after which a connection is closed. Shorter than the time after which the dependency may close or drop
    /// an idle connection, so that no call is in transit when it does.
    pub(crate) dependency_idle_ms: u64,
    /// Multiple of the mean latency after which a connection with an unanswered call counts as broken.
    pub(crate) reply_timeout_multiple: f64,
    /// Lower bound of the time after which a connection counts as broken.
    pub(crate) min_reply_timeout_ms: u64,
    /// Upper bound of the time after which a connection counts as broken.
    pub(crate) max_reply_timeout_ms: u64,
    /// Weight of one call in the mean latency.
    pub(crate) latency_weight: f64,
    /// Assumed mean latency before the first call.
    pub(crate) initial_latency_ms: f64,
    /// Time within which a started reply must be complete.
    pub(crate) partial_reply_timeout_ms: u64,
    /// Interval at which a connection is checked for a missing reply.
    pub(crate) reply_check_interval_ms: u64,

    // ---- registry
    /// Interval of heartbeats. The registry drops a backend after 3 s without one; with twelve heartbeats in that
    /// time and a quarter of them lost, losing all twelve is very unlikely.
    pub(crate) heartbeat_ms: u64,

    // ---- drain
    /// Time after which a connection is closed whose client doesn't react to the announcement of closing.
    pub(crate) closing_timeout_ms: f64,
    /// Value of `closing_timeout_ms` once new connections are refused. It exceeds the transit time of
    /// a request that the peer sends before it has read the announcement.
    pub(crate) final_closing_timeout_ms: f64,
    /// Time between the announcement of closing and the refusal of new connections.
    pub(crate) closing_lead_ms: f64,
    /// Shortest time between the refusal of new connections and the forced kill.
    pub(crate) min_refuse_margin_ms: f64,
    /// Time between the exit and the forced kill.
    pub(crate) exit_margin_ms: f64,

    // ---- log
    /// Interval of the log lines about each bulkhead.
    pub(crate) bulkhead_log_interval_ms: f64,
    /// Maximum number of log lines per second about faults of peers.
    pub(crate) max_peer_errors_per_s: u32,
}

impl Limits {
    /// Returns the limits of a program with this much memory, in MiB, and this many descriptors.
    #[expect(clippy::too_many_lines, reason = "a table of values, one per line")]
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
            linger_ms_under_pressure: 60,
            max_linger_bytes: 256 << 10,
            max_request_age_ms: 60_000.0,
            max_timeout_ms: 3_600_000.0,
            deduplication_grace_ms: 10_000.0,
            listen_backlog: 1024,
            listen_timeout_ms: 8000,
            listen_retry_ms: 20,
            eviction_threshold: max_connections * 3 / 4,
            min_idle_ms: 1000.0,
            min_unused_ms: 100.0,
            min_unused_ms_when_full: 20.0,
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
            reply_timeout_multiple: 12.0,
            min_reply_timeout_ms: 40,
            max_reply_timeout_ms: 1500,
            latency_weight: 0.05,
            initial_latency_ms: 100.0,
            partial_reply_timeout_ms: 100,
            reply_check_interval_ms: 50,
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
