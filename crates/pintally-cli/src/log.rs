//! Log lines, plain or JSON, on standard error.

use std::io::IsTerminal;

use tracing_subscriber::EnvFilter;

use crate::LogFormat;

pub(crate) fn set_up(format: LogFormat, level: &str) -> Result<(), String> {
    let filter = EnvFilter::try_new(level).map_err(|e| format!("--log-level: {e}"))?;
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal());
    match format {
        LogFormat::Plain => subscriber.init(),
        LogFormat::Json => subscriber.json().init(),
    }
    Ok(())
}
