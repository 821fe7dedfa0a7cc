//! Sizes, counts and times that bound the program. Filled once at start and handed down.

/// Descriptors kept back for the listener, the agent, the ledger, the roster, the standard streams and the
/// event queue.
const RESERVED_SOCKETS: usize = 16;
/// Memory that one connection may come to hold, for the number of connections that memory allows.
const CONNECTION_BYTES: usize = 64 << 10;

/// What one mark of a repeat may come to hold beside a result.
const MARK_BYTES: usize = 512;

#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections of sidecars at once.
    pub connections: usize,
    /// Invocations open on one connection.
    pub open_each: usize,
    /// A frame of a sidecar and the body in it; what comes with a line of the agent or the ledger, and both.
    pub frame_bytes: usize,
    pub invocation_bytes: usize,
    pub body_bytes: usize,
    pub line_bytes: usize,
    /// Bytes that one read takes.
    pub read_bytes: usize,
    /// What an open invocation takes beside its frame; all that they hold, all that waits to be written, and
    /// the same for one connection.
    pub open_overhead: usize,
    pub open_bytes: usize,
    pub unwritten_bytes: usize,
    pub unwritten_each: usize,
    /// Results that are remembered for repeats.
    pub remembered_bytes: usize,
    /// Marks by which repeats are known.
    pub remembered: usize,
    /// Places in the queue to the owner, and in the ones from it.
    pub events: usize,
    pub orders: usize,
    /// A connection's first message, and the rest of each frame that has begun, come whole within this.
    pub whole_ms: u64,
    /// A connection that this side ends is still read for so long and so much, that its peer hears of it; and for
    /// so long where descriptors run short, which is what a request that crosses the end may take.
    pub linger_ms: u64,
    pub linger_crowded_ms: u64,
    pub linger_bytes: usize,
    /// Connections that wait to be accepted; an address that is held is tried again for so long, with rests.
    pub backlog: i32,
    pub listen_within_ms: u64,
    pub listen_rest_ms: u64,
    /// From this many connections on, those that have said nothing for the one span, and those idle for the
    /// other, make room.
    pub crowd: usize,
    pub idle_least_ms: f64,
    pub silent_ms: f64,
    /// At the cap, silent is who has said nothing for so long; so many make room at once.
    pub speaks_ms: f64,
    pub evictions: usize,
    /// No further one that has spoken makes room while so many are ending.
    pub ending: usize,
    /// Faults that end a connection, where they may be another's.
    pub faults: u32,
    /// Arrivals are no older than this.
    pub oldest_ms: f64,
    /// A peer that takes nothing for so long is given up.
    pub stall_ms: u64,
    /// Between tries to connect, at first and at most.
    pub retry_first_ms: u64,
    pub retry_most_ms: u64,
    pub connect_ms: u64,
    /// Connections to the ledger, and calls that one carries in its life.
    pub ledger_connections: usize,
    /// Further ones while others take no more calls but have some out.
    pub ledger_spare: usize,
    pub calls_a_connection: usize,
    /// The ledger may close or forget what is idle; this side lets go earlier, so that no call crosses that.
    pub ledger_idle_ms: u64,
    /// A connection on which a call has been out for so many times the mean of late has gone bad, within these
    /// bounds, as has one whose answer stays in part for so long; how often that is looked at.
    pub silent_times: f64,
    pub pace_weight: f64,
    pub pace_first_ms: f64,
    pub ledger_silent_ms: [u64; 2],
    pub part_ms: u64,
    pub watch_ms: u64,
    /// Listed as long as one beat arrives every 3 s: with a quarter lost, twelve in a row hardly ever are.
    pub beat_ms: u64,
    /// A link that is left for another waits so long for the proof that its commands were read.
    pub handover_ms: u64,
    /// A wake waits so long for its gauges.
    pub gauges_ms: f64,
    /// Entries of the memory of repeats outlive their span by this, for what is read late.
    pub read_late_ms: f64,
    /// No caller is believed to wait longer for one try.
    pub longest_wait_ms: f64,
    /// A connection that was told to close and does not is ended after this.
    pub closing_ms: f64,
    /// The same once connections are refused: longer than a request may take that crosses the word.
    pub closing_last_ms: f64,
    /// Accepting rests so long when descriptors are short.
    pub accept_rest_ms: u64,
    /// Before it is killed, the program ends this much earlier by itself.
    pub exit_early_ms: f64,
    /// Before connections are refused, those that there are are told to close.
    pub closing_early_ms: f64,
    /// Connections are refused from this long before the kill at the latest.
    pub refuse_early_ms: f64,
    /// Between two words to the log on the pools, where there are any.
    pub pools_told_ms: f64,
    /// Lines a second in the log about what peers do wrong.
    pub complaints_a_second: u32,
}

impl Limits {
    pub fn of(memory_mb: f64, sockets: usize) -> Self {
        let memory = (memory_mb * 1024.0 * 1024.0) as usize;
        let ledger_connections = (sockets / 16).clamp(2, 24);
        let reserved = RESERVED_SOCKETS + ledger_connections;
        let connections = sockets.saturating_sub(reserved).min(memory / CONNECTION_BYTES).max(4);
        Limits {
            connections,
            open_each: 32,
            frame_bytes: 8 << 10,
            invocation_bytes: 2 << 10,
            body_bytes: 8 << 10,
            line_bytes: 10 << 10,
            read_bytes: 4 << 10,
            open_overhead: 1 << 10,
            open_bytes: memory * 2 / 5,
            unwritten_bytes: memory / 5,
            unwritten_each: 256 << 10,
            remembered_bytes: memory / 10,
            remembered: memory / 10 / MARK_BYTES,
            events: 256,
            orders: 4096,
            whole_ms: 2200,
            linger_ms: 300,
            linger_crowded_ms: 60,
            backlog: 1024,
            listen_within_ms: 8000,
            listen_rest_ms: 20,
            linger_bytes: 256 << 10,
            crowd: connections * 3 / 4,
            idle_least_ms: 1000.0,
            silent_ms: 100.0,
            speaks_ms: 20.0,
            evictions: 32,
            ending: 8,
            faults: 16,
            oldest_ms: 60_000.0,
            stall_ms: 10_000,
            retry_first_ms: 2,
            retry_most_ms: 500,
            connect_ms: 1000,
            ledger_connections,
            ledger_spare: 4,
            calls_a_connection: 200,
            ledger_idle_ms: 400,
            silent_times: 12.0,
            pace_weight: 0.05,
            pace_first_ms: 100.0,
            ledger_silent_ms: [40, 1500],
            part_ms: 100,
            watch_ms: 50,
            beat_ms: 250,
            handover_ms: 500,
            gauges_ms: 25.0,
            read_late_ms: 10_000.0,
            longest_wait_ms: 3_600_000.0,
            closing_ms: 10_000.0,
            closing_last_ms: 150.0,
            accept_rest_ms: 2,
            exit_early_ms: 20.0,
            closing_early_ms: 150.0,
            refuse_early_ms: 200.0,
            pools_told_ms: 5000.0,
            complaints_a_second: 10,
        }
    }
}
