//! May a call be tried again, and where? The one table that rule "no effect twice" rests on.

use plovershelf::api::Idempotency;

/// How a try came to its end without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOver {
    /// The member said that it never ran.
    Dismissed,
    /// It crossed the member's `closing` and was never read.
    Crossed,
    /// The member answered that it failed.
    Failed,
    /// Its connection ended, which proves nothing.
    Lost,
}

impl TryOver {
    /// It surely never ran.
    pub fn proves_not_run(self) -> bool {
        matches!(self, TryOver::Dismissed | TryOver::Crossed)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Again {
    Anywhere,
    /// Only where it may have run, as that member alone knows its ticket.
    SameMember,
    No,
}

/// | | never ran | may have run |
/// | --- | --- | --- |
/// | rerunnable | anywhere | anywhere |
/// | ticketed | anywhere; the same member once a try may have run there | the same member |
/// | exclusive | anywhere | no |
pub fn again(repeats: Idempotency, over: TryOver, may_have_run_before: bool) -> Again {
    let unsure = may_have_run_before || !over.proves_not_run();
    match (repeats, unsure) {
        (Idempotency::Idempotent, _) | (_, false) => Again::Anywhere,
        (Idempotency::Keyed, true) => Again::SameMember,
        (Idempotency::NonIdempotent, true) => Again::No,
    }
}

#[cfg(test)]
mod tests;
