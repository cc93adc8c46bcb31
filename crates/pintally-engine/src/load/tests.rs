//! Load reports in each of their formats.

use super::*;

#[test]
fn header_formats_and_metrics_agree() {
    let json = r#"JSON {"named_metrics":{"num_requests_running":4,"num_requests_waiting":2,"kv_cache_usage_perc":0.5}}"#;
    let text = "TEXT named_metrics.num_requests_running=4, named_metrics.num_requests_waiting=2, named_metrics.kv_cache_usage_perc=0.5";
    let page = "# TYPE x gauge\nvllm:num_requests_running{model_name=\"m\"} 4.0\nvllm:num_requests_waiting{model_name=\"m\"} 2\nvllm:kv_cache_usage_perc 0.5\n";
    let want = LoadReport { slots: Some(0.5), queue: Some(2.0), memory: Some(0.5), backlog: None };
    assert_eq!(load_from_header(json, 8), Some(want));
    assert_eq!(load_from_header(text, 8), Some(want));
    assert_eq!(load_from_metrics(page, 8), Some(want));
}

#[test]
fn invalid_metrics_are_ignored() {
    for value in
        ["", "JSON", "JSON [", "TEXT a=b", "BIN xyz", r#"JSON {"named_metrics":{"kv_cache_usage_perc":-1}}"#]
    {
        assert_eq!(load_from_header(value, 8), None, "{value}");
    }
    assert_eq!(load_from_metrics("vllm:kv_cache_usage_perc NaN\nx 1\n", 8), None);
}
