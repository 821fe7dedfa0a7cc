//! Lines for people about what others do: bounded, as who sends nonsense may send much of it.

use super::now_ms;

const MAX_LINES_PER_SECOND: u32 = 10;

/// Counts the lines of the present second.
#[derive(Default)]
pub(super) struct NoticeLimiter {
    second: u64,
    lines: u32,
}

impl NoticeLimiter {
    pub(super) fn log(&mut self, what: &str) {
        if self.admit(now_ms()) {
            tracing::warn!(event = "cluster_notice", "{what}");
        }
    }

    fn admit(&mut self, now_ms: f64) -> bool {
        let second = (now_ms / 1000.0) as u64;
        if self.second != second {
            (self.second, self.lines) = (second, 0);
        }
        self.lines += 1;
        self.lines <= MAX_LINES_PER_SECOND
    }
}
