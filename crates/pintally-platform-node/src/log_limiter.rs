//! A limit of log lines: whatever happens, a node writes only so many in a second.

use pintally::interface::Micros;

/// Lines that may be written in one second.
const MAX_LINES_PER_SECOND: u32 = 20;
const MICROS_PER_SECOND: Micros = 1_000_000;

/// Counts log lines by the second.
#[derive(Default)]
pub(crate) struct LogLimiter {
    second: Micros,
    lines: u32,
    suppressed: u64,
}

impl LogLimiter {
    /// Whether one more line may be written now.
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
