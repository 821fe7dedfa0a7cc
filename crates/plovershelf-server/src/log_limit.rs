//! Rate limit for log lines that peers can cause.
//!
//! Without it, a peer that keeps sending malformed data would make the log grow as fast as it sends.

/// Default number of lines per second.
pub(crate) const MAX_LINES_PER_S: u32 = 10;

/// Counts the lines of the current second.
pub(crate) struct LogLimit {
    max_per_s: u32,
    second: u64,
    lines: u32,
}

/// Whether a line is logged.
pub(crate) struct LineAdmission {
    pub(crate) is_admitted: bool,
    /// Number of lines suppressed in the last second that had any; reported with the first line after that second.
    pub(crate) suppressed: u32,
}

impl LogLimit {
    pub(crate) fn new(max_per_s: u32) -> Self {
        LogLimit { max_per_s, second: 0, lines: 0 }
    }

    /// Counts a line and returns whether it is logged.
    pub(crate) fn admit(&mut self, now_ms: f64) -> LineAdmission {
        let second = (now_ms / 1000.0) as u64;
        let mut suppressed = 0;
        if self.second != second {
            suppressed = self.lines.saturating_sub(self.max_per_s);
            (self.second, self.lines) = (second, 0);
        }
        self.lines += 1;
        LineAdmission { is_admitted: self.lines <= self.max_per_s, suppressed }
    }
}
