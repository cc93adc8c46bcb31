//! Parsing of load reports from the ORCA header of a response, or from the metrics returned by a health check.

#[cfg(test)]
mod tests;

use pintally::interface::LoadReport;
use serde_json::Value;

/// The response header that contains a load report.
pub const LOAD_HEADER: &str = "endpoint-load-metrics";

/// The value used for a metric that is not a number; negative values are ignored.
const INVALID: f64 = -1.0;
const RUNNING_METRIC: &str = "num_requests_running";
const WAITING_METRIC: &str = "num_requests_waiting";
const MEMORY_METRIC: &str = "kv_cache_usage_perc";
/// Thousands of waiting prompt tokens; not every engine reports them.
const BACKLOG_METRIC: &str = "prompt_tokens_waiting_thousands";

/// Sets one metric of a load report if its value is valid. `slots` is the number of slots of the engine, 0 if
/// unknown.
fn set_metric(load: &mut LoadReport, name: &str, value: f64, slots: u64) {
    if !value.is_finite() || value < 0.0 {
        return;
    }
    match name {
        RUNNING_METRIC if slots > 0 => load.slots = Some((value / slots as f64).min(1.0)),
        WAITING_METRIC => load.queue = Some(value),
        MEMORY_METRIC => load.memory = Some(value.min(1.0)),
        BACKLOG_METRIC => load.backlog = Some(value),
        _ => {}
    }
}

/// The load report in a header value: `JSON {...}` or `TEXT name=value, ...`; `None` if it contains no metric.
pub fn load_from_header(value: &str, slots: u64) -> Option<LoadReport> {
    let mut load = LoadReport::default();
    let (format, rest) = value.trim().split_once(char::is_whitespace)?;
    match format.to_ascii_uppercase().as_str() {
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

/// The load report in metrics in the Prometheus text format; `None` if they contain no known metric.
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
