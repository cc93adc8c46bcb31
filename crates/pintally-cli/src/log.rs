//! Log lines, plain or JSON, on standard error.

use std::io::IsTerminal;

use tracing_subscriber::EnvFilter;

use crate::LogForm;

pub(crate) fn set_up(form: LogForm, level: &str) -> Result<(), String> {
    let filter = EnvFilter::try_new(level).map_err(|e| format!("--log-level: {e}"))?;
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal());
    match form {
        LogForm::Plain => lines.init(),
        LogForm::Json => lines.json().init(),
    }
    Ok(())
}
