//! Load reports: out of the ORCA header with an answer, or out of the metrics of a probe.

use pintally::interface::LoadReport;
use serde_json::Value;

/// The header that carries a load report with an answer.
pub const LOAD_HEADER: &str = "endpoint-load-metrics";

const RUNNING: &str = "num_requests_running";
const WAITING: &str = "num_requests_waiting";
const MEMORY: &str = "kv_cache_usage_perc";
/// Thousands of prompt tokens that wait; an engine that does not tell it leaves it out.
const BACKLOG: &str = "prompt_tokens_waiting_thousands";

/// Puts one metric into a load; `slots` are an engine's slots, 0 if not known.
fn put(load: &mut LoadReport, name: &str, value: f64, slots: u64) {
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

/// The load in a header's value: `JSON {...}` or `TEXT name=value, ...`; `None` if it tells nothing.
pub fn load_from_header(value: &str, slots: u64) -> Option<LoadReport> {
    let mut load = LoadReport::default();
    let (form, rest) = value.trim().split_once(char::is_whitespace)?;
    match form.to_ascii_uppercase().as_str() {
        "JSON" => {
            let json: Value = serde_json::from_str(rest).ok()?;
            let named = json.get("named_metrics").and_then(Value::as_object);
            for (name, value) in named.into_iter().flatten() {
                put(&mut load, name, value.as_f64().unwrap_or(-1.0), slots);
            }
        }
        "TEXT" => {
            for (name, value) in rest.split(',').filter_map(|p| p.split_once('=')) {
                let name = name.trim().trim_start_matches("named_metrics.");
                put(&mut load, name, value.trim().parse().unwrap_or(-1.0), slots);
            }
        }
        _ => return None,
    }
    (load != LoadReport::default()).then_some(load)
}

/// The load in a page of metrics as Prometheus reads them; `None` if it tells nothing.
pub fn load_from_metrics(page: &str, slots: u64) -> Option<LoadReport> {
    let mut load = LoadReport::default();
    for line in page.lines().filter(|l| !l.starts_with('#')) {
        let Some(line) = line.strip_prefix("vllm:") else { continue };
        let Some((series, value)) = line.rsplit_once(' ') else { continue };
        let name = series.split('{').next().unwrap_or("").trim();
        put(&mut load, name, value.trim().parse().unwrap_or(-1.0), slots);
    }
    (load != LoadReport::default()).then_some(load)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_forms_of_the_header_and_the_page_tell_the_same() {
        let json = r#"JSON {"named_metrics":{"num_requests_running":4,"num_requests_waiting":2,"kv_cache_usage_perc":0.5}}"#;
        let text = "TEXT named_metrics.num_requests_running=4, named_metrics.num_requests_waiting=2, named_metrics.kv_cache_usage_perc=0.5";
        let page = "# TYPE x gauge\nvllm:num_requests_running{model_name=\"m\"} 4.0\nvllm:num_requests_waiting{model_name=\"m\"} 2\nvllm:kv_cache_usage_perc 0.5\n";
        let want = LoadReport { slots: Some(0.5), queue: Some(2.0), memory: Some(0.5), backlog: None };
        assert_eq!(load_from_header(json, 8), Some(want));
        assert_eq!(load_from_header(text, 8), Some(want));
        assert_eq!(load_from_metrics(page, 8), Some(want));
    }

    #[test]
    fn nonsense_tells_nothing() {
        for value in [
            "",
            "JSON",
            "JSON [",
            "TEXT a=b",
            "BIN xyz",
            r#"JSON {"named_metrics":{"kv_cache_usage_perc":-1}}"#,
        ] {
            assert_eq!(load_from_header(value, 8), None, "{value}");
        }
        assert_eq!(load_from_metrics("vllm:kv_cache_usage_perc NaN\nx 1\n", 8), None);
    }
}
