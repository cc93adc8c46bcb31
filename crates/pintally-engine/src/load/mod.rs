//! Load reports: from the ORCA header of a response, or from the metrics of a health check.

#[cfg(test)]
mod tests;

use pintally::interface::LoadReport;
use serde_json::Value;

/// The header that carries a load report with a response.
pub const LOAD_HEADER: &str = "endpoint-load-metrics";

/// What stands for a value that is no number: no metric is negative.
const INVALID: f64 = -1.0;
/// Names of metrics.
const RUNNING: &str = "num_requests_running";
const WAITING: &str = "num_requests_waiting";
const MEMORY: &str = "kv_cache_usage_perc";
/// Thousands of prompt tokens that wait; not every engine reports them.
const BACKLOG: &str = "prompt_tokens_waiting_thousands";

/// Sets one metric of a load report, if it is valid; `slots` are an engine's slots, 0 if not known.
fn set_metric(load: &mut LoadReport, name: &str, value: f64, slots: u64) {
    if !value.is_finite() || value < 0.0 {
        return;
    }
    match name {
        RUNNING if slots > 0 => load.slots = Some((value / slots as f64).min(1.0)),
        WAITING => load.queue = Some(value),
        MEMORY => load.memory = Some(value.min(1.0)),
        BACKLOG => load.backlog = Some(value),
        _ => {}
    }
}

/// The load in a header's value: `JSON {...}` or `TEXT name=value, ...`; `None` if it has no metric.
pub fn load_from_header(value: &str, slots: u64) -> Option<LoadReport> {
    let mut load = LoadReport::default();
    let (form, rest) = value.trim().split_once(char::is_whitespace)?;
    match form.to_ascii_uppercase().as_str() {
        "JSON" => {
            let json: Value = serde_json::from_str(rest).ok()?;
            let named = json.get("named_metrics").and_then(Value::as_object);
            for (name, value) in named.into_iter().flatten() {
                set_metric(&mut load, name, value.as_f64().unwrap_or(INVALID), slots);
            }
        }
        "TEXT" => {
            for (name, value) in rest.split(',').filter_map(|pair| pair.split_once('=')) {
                let name = name.trim().trim_start_matches("named_metrics.");
                set_metric(&mut load, name, value.trim().parse().unwrap_or(INVALID), slots);
            }
        }
        _ => return None,
    }
    (load != LoadReport::default()).then_some(load)
}

/// The load in a page of metrics as Prometheus reads them; `None` if it has no metric.
pub fn load_from_metrics(page: &str, slots: u64) -> Option<LoadReport> {
    let mut load = LoadReport::default();
    for line in page.lines().filter(|line| !line.starts_with('#')) {
        let Some(line) = line.strip_prefix("vllm:") else { continue };
        let Some((series, value)) = line.rsplit_once(' ') else { continue };
        let name = series.split('{').next().unwrap_or("").trim();
        set_metric(&mut load, name, value.trim().parse().unwrap_or(INVALID), slots);
    }
    (load != LoadReport::default()).then_some(load)
}
