//! Log lines within bounds: whatever happens, a node writes only so many a second.

use pintally::interface::Micros;

/// WatchDecoder that may be written in one second.
const MAX_LINES_PER_WINDOW: u32 = 20;

/// Counts lines by the second.
#[derive(Default)]
pub(crate) struct Quota {
    second: Micros,
    lines: u32,
    kept_back: u64,
}

impl Quota {
    /// Whether one more line may be written now.
    pub(crate) fn allows(&mut self, now: Micros) -> bool {
        let second = now / 1_000_000;
        if second != self.second {
            self.second = second;
            self.lines = 0;
            let kept_back = std::mem::take(&mut self.kept_back);
            if kept_back > 0 {
                tracing::warn!(kept_back, "lines were kept back");
            }
        }
        self.lines += 1;
        self.kept_back += u64::from(self.lines > MAX_LINES_PER_WINDOW);
        self.lines <= MAX_LINES_PER_WINDOW
    }
}
