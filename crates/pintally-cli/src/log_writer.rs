//! The log's way to standard error: lines that it does not take at once are dropped and counted, so that a full or
//! closed log never stops or ends the process.

use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};

use rustix::event::{poll, PollFd, PollFlags, Timespec};

/// A pipe that is ready takes this many bytes without waiting (POSIX `PIPE_BUF` on Linux). Longer lines are cut.
const MAX_LINE_BYTES: usize = 4_096;

/// Lines that were dropped since the last one that was written.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Writes whole lines to standard error, without waiting and without errors.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LogWriter;

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !write_line(line) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes a line if standard error takes it now; returns whether it was written.
fn write_line(line: &[u8]) -> bool {
    let stderr = io::stderr();
    if !is_ready(&stderr) {
        return false;
    }
    let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
    if dropped > 0 {
        let _ = writeln!(&stderr, "{dropped} log lines dropped: standard error was full or closed");
        if !is_ready(&stderr) {
            return false;
        }
    }
    if line.len() <= MAX_LINE_BYTES {
        return (&stderr).write_all(line).is_ok();
    }
    let cut = [&line[..MAX_LINE_BYTES - 1], b"\n"].concat();
    (&stderr).write_all(&cut).is_ok()
}

/// Whether a write of a line would not wait, and has somebody who may read it.
fn is_ready(stderr: impl AsFd) -> bool {
    let mut ready = [PollFd::new(&stderr, PollFlags::OUT)];
    poll(&mut ready, Some(&Timespec::default())).is_ok_and(|count| count > 0)
        && ready[0].revents().contains(PollFlags::OUT)
        && !ready[0].revents().intersects(PollFlags::ERR | PollFlags::NVAL)
}
