//! Log lines, plain or JSON, on standard error.

use std::io::IsTerminal;
use std::panic::PanicHookInfo;

use tracing_subscriber::EnvFilter;

use crate::log_writer::LogWriter;
use crate::LogFormat;

pub(crate) fn set_up(format: LogFormat, level: &str) -> Result<(), String> {
    let filter = EnvFilter::try_new(level).map_err(|e| format!("--log-level: {e}"))?;
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(LogWriter::default)
        .with_ansi(std::io::stderr().is_terminal());
    match format {
        LogFormat::Plain => subscriber.init(),
        LogFormat::Json => subscriber.json().init(),
    }
    // The default hook would wait for a full standard error.
    std::panic::set_hook(Box::new(log_panic));
    Ok(())
}

/// Logs why and where the program panics, in the form of all other lines.
fn log_panic(panic: &PanicHookInfo<'_>) {
    let location = panic.location().map(ToString::to_string);
    let reason = panic.payload_as_str().unwrap_or("no message");
    tracing::error!(reason, location, thread = std::thread::current().name(), "panic");
}
