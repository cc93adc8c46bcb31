//! Maps the method and target of a request to an endpoint.

#[cfg(test)]
mod tests;

use percent_encoding::percent_decode_str;

use crate::InferenceEndpoint;

/// The endpoint of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// `GET /v2/health/live`
    Live,
    /// `GET /v2/health/ready`
    Ready,
    /// `GET /v2`
    ServerMetadata,
    /// `GET /pintally/counters`: the node's counters, for operators. Not part of KServe, like all of
    /// `/pintally`.
    Counters,
    /// `GET /pintally/peers`: the members that the node knows.
    Membership,
    /// `GET /pintally/recovery`: the stage of recovery after a start.
    Recovery,
    /// `GET /pintally/limits`: this node's allocations of the fleet's limits.
    Limits,
    /// `GET /pintally/regions`: zones, the failover plan and its leader.
    Failover,
    /// `GET /pintally/verdicts`: health and ejection of engines by outlier detection.
    OutlierDetection,
    /// `GET /pintally/keepers`: the state of the replica, if this node runs one.
    Consensus,
    /// `GET /v2/models/{model}[/versions/{version}]`
    ModelMetadata(String),
    /// `GET /v2/models/{model}[/versions/{version}]/ready`
    ModelReady(String),
    /// `POST .../infer`, `.../generate` and `.../generate_stream`
    Inference(String, InferenceEndpoint),
    /// The endpoint exists but does not support the method.
    MethodNotAllowed,
    /// No such endpoint.
    NotFound,
}

/// Returns the endpoint of a request line. A version in the path is ignored: all versions are the same model.
pub fn route(method: &str, target: &str) -> Route {
    let path = target.split(['?', '#']).next().unwrap_or("");
    let decoded: Option<Vec<String>> = path
        .trim_matches('/')
        .split('/')
        .map(|s| percent_decode_str(s).decode_utf8().ok().map(std::borrow::Cow::into_owned))
        .collect();
    let Some(decoded) = decoded else { return Route::NotFound };
    let mut parts: Vec<&str> = decoded.iter().map(String::as_str).collect();
    if parts.len() >= 5 && parts[..2] == ["v2", "models"] && parts[3] == "versions" {
        parts.drain(3..5);
    }
    let get = |route| if method == "GET" { route } else { Route::MethodNotAllowed };
    match parts[..] {
        ["v2"] => get(Route::ServerMetadata),
        ["pintally", "counters"] => get(Route::Counters),
        ["pintally", "peers"] => get(Route::Membership),
        ["pintally", "recovery"] => get(Route::Recovery),
        ["pintally", "limits"] => get(Route::Limits),
        ["pintally", "regions"] => get(Route::Failover),
        ["pintally", "verdicts"] => get(Route::OutlierDetection),
        ["pintally", "keepers"] => get(Route::Consensus),
        ["v2", "health", "live"] => get(Route::Live),
        ["v2", "health", "ready"] => get(Route::Ready),
        ["v2", "models", model] => get(Route::ModelMetadata(model.into())),
        ["v2", "models", model, "ready"] => get(Route::ModelReady(model.into())),
        ["v2", "models", model, action] => {
            let endpoint = match action {
                "infer" => InferenceEndpoint::Infer,
                "generate" => InferenceEndpoint::Generate,
                "generate_stream" => InferenceEndpoint::GenerateStream,
                _ => return Route::NotFound,
            };
            if method == "POST" {
                Route::Inference(model.into(), endpoint)
            } else {
                Route::MethodNotAllowed
            }
        }
        _ => Route::NotFound,
    }
}
