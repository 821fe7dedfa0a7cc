//! A bound on lines of the log that others cause, in each second.
//!
//! Against a peer that sends what can't be read over and over: the log would grow as fast as it sends.

/// Lines a second, where no setting says another number.
pub(crate) const MAX_LINES_PER_S: u32 = 10;

/// Counts the lines of the present second.
pub(crate) struct LogLimit {
    max_per_s: u32,
    second: u64,
    lines: u32,
}

/// What becomes of a line.
pub(crate) struct LineAdmission {
    pub(crate) is_admitted: bool,
    /// Lines that were held back in the last second that had any, told with the first line after it.
    pub(crate) suppressed: u32,
}

impl LogLimit {
    pub(crate) fn new(max_per_s: u32) -> Self {
        LogLimit { max_per_s, second: 0, lines: 0 }
    }

    /// Counts a line.
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
