//! The types that callers of [`crate::logic`] hand in and get back. Nothing here decides anything.
//! Times are milliseconds with fractions on the caller's clock; ids are the caller's own.

/// May an invocation run more than once?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    Rerunnable,
    /// Carries a mark by which a repeat is known within a window.
    Ticketed,
    Exclusive,
}

/// What the backend knows of one offering at its start.
#[derive(Clone, Debug)]
pub struct OfferingTerms {
    pub contract_ms: f64,
    /// The contract time grows by this many times the invocation's own work.
    pub contract_stretch: f64,
    pub hard_limit_ms: f64,
    pub ticket_window_ms: f64,
    pub repeats: Repeats,
    pub revenue: f64,
    /// Share of the revenue left between the contract time and the hard limit.
    pub late_share: f64,
    /// Share of the revenue kept when a call was left out; 0 forbids leaving it out.
    pub skip_share: f64,
}

/// What running work can be told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Halting {
    Never,
    /// Stopped work is lost and goes back to the hold.
    Abort,
    /// Stopped work keeps its progress and its memory.
    Pause,
}

/// What callers take the advised value for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdviceMeaning {
    Nothing,
    LowestRank,
    OutstandingPerCaller,
    ShareOfUsual,
}

/// All that is handed to a backend when it starts.
#[derive(Clone, Debug)]
pub struct StartFacts {
    pub seed: u64,
    pub offerings: Vec<OfferingTerms>,
    /// Invocations a second inside each tenant's share, over the whole fleet.
    pub tenant_quotas: Vec<f64>,
    pub cores: f64,
    pub memory_kb: f64,
    /// Memory of a running invocation relative to that of a held one.
    pub run_factor: f64,
    pub entry_kb: f64,
    /// Mean number of calls in hand that this backend may add to the shared dependency.
    pub call_share: Option<f64>,
    pub call_linger_ms: f64,
    pub halting: Halting,
    pub advice: AdviceMeaning,
    /// The list that callers go by drops servers whose health checks fail.
    pub list_follows_health: bool,
    pub servers: f64,
    pub callers: f64,
    /// Later tries are marked as such.
    pub repeats_marked: bool,
    pub just_started: bool,
    pub cold_speed: f64,
    pub warm_within_ms: f64,
    pub tip_multiple: f64,
    pub grace_ms: f64,
    /// Callers close connections that sit idle for this long.
    pub idle_most_ms: f64,
    pub cool_down_most_ms: f64,
    /// How long the answer to a read may serve others; 0 for never.
    pub share_answers_ms: f64,
}

/// An invocation that has just been read.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub id: u32,
    pub offering: usize,
    pub tenant: usize,
    pub key: u64,
    pub gives_up_at: Option<f64>,
    pub work_hint_ms: Option<f64>,
    pub footprint_kb: f64,
    pub marked_repeat: bool,
    pub writes: bool,
    pub unread_ms: f64,
    pub original: Option<u32>,
}

/// What one pool of offerings may have at present, in runs and calls; whoever keeps the pools works it out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolRoom {
    /// Let in whatever the cut, up to this many runs.
    pub kept: f64,
    /// Runs at most, calls in hand at most.
    pub runs: f64,
    pub calls: f64,
}

/// The pools of a backend: that of each offering, and what each may have.
#[derive(Clone, Debug, PartialEq)]
pub struct Pools {
    pub of: Vec<usize>,
    pub rooms: Vec<PoolRoom>,
}

/// How a run came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    Ok,
    Error,
    Stopped,
    NeverBegan,
}

/// How a call came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    Ok,
    ProvenNotRun,
    /// Given up: it may linger below and may have had its effect.
    GivenUp,
    PerhapsRun,
    /// Its connection went bad, which says nothing of what lies below; it may have had its effect.
    Lost,
}

/// The backend's own gauges, where it has them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    pub cores_busy: Option<f64>,
    pub wanting_core: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    Succeeded,
    Dismissed {
        cool_down_ms: f64,
        elsewhere_helps: bool,
    },
    /// The backend answers with an error.
    Scrapped,
    /// The run ended in error, which is the answer.
    RunFailed,
    CallerGone,
}

/// Where an invocation stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Held,
    /// Waits for the result of the invocation that it repeats.
    Joined,
    Running,
    /// Wants a call and has not been given it.
    AtCall,
    Calling {
        within_ms: f64,
    },
    /// Nothing is owed any more, but its work still takes memory or a core.
    Spent {
        ending: Ending,
        stop: bool,
    },
    Ended(Ending),
}

/// One change of state. The first one of an invocation has no `from`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    pub id: u32,
    pub from: Option<State>,
    pub to: State,
    /// Remember the invocation for so long, so that repeats of it are known.
    pub remember_ms: Option<f64>,
}

/// Why a wake was asked for; handed back when it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    Periodic,
    Due,
}

/// What the backend says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OwnWords {
    pub advice: Option<f64>,
    pub fit: Option<bool>,
    /// How long a connection that is not used may stay.
    pub idle_ms: Option<f64>,
    /// Runs and calls that all pools together may have; told where there are pools.
    pub room: Option<(f64, f64)>,
    pub wakes: Vec<(f64, Wake)>,
    pub notes: Vec<String>,
}

/// The result of every call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    pub changes: Vec<Change>,
    pub words: OwnWords,
}
