//! A rate limit of log lines.

use pintally::interface::Micros;

/// Maximum number of lines that are written in one second.
const MAX_LINES_PER_SECOND: u32 = 20;
const MICROS_PER_SECOND: Micros = 1_000_000;

/// Counts the log lines in the current second.
#[derive(Default)]
pub(crate) struct LogLimiter {
    second: Micros,
    lines: u32,
    suppressed: u64,
}

impl LogLimiter {
    /// Whether one more line may be written now; a line that may not is counted as suppressed.
    pub(crate) fn allows(&mut self, now: Micros) -> bool {
        let second = now / MICROS_PER_SECOND;
        if second != self.second {
            self.second = second;
            self.lines = 0;
            let suppressed = std::mem::take(&mut self.suppressed);
            if suppressed > 0 {
                tracing::warn!(suppressed, "log lines suppressed by the limit per second");
            }
        }
        self.lines += 1;
        self.suppressed += u64::from(self.lines > MAX_LINES_PER_SECOND);
        self.lines <= MAX_LINES_PER_SECOND
    }
}
