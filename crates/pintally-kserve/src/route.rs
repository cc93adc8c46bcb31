//! Which endpoint a method and a target name.

use percent_encoding::percent_decode_str;

use crate::Form;

/// An endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// `GET /v2/health/live`
    Live,
    /// `GET /v2/health/ready`
    Ready,
    /// `GET /v2`
    Server,
    /// `GET /pintally/counters`: this project's own, for people on call.
    Counters,
    /// `GET /pintally/peers`: whom the node knows.
    Peers,
    /// `GET /pintally/recovery`: where it stands on its way to full service.
    Recovery,
    /// `GET /pintally/limits`: how the fleet's limits stand here.
    Limits,
    /// `GET /pintally/regions`: zones, the plan, and who plans.
    Regions,
    /// `GET /pintally/verdicts`: what the fleet believes of engines.
    Verdicts,
    /// `GET /pintally/keepers`: who leads the keepers, if this node is one.
    Keepers,
    /// `GET /v2/models/{model}[/versions/{version}]`
    Model(String),
    /// `GET /v2/models/{model}[/versions/{version}]/ready`
    ModelReady(String),
    /// `POST .../infer`, `.../generate` and `.../generate_stream`
    Work(String, Form),
    /// The endpoint is there, but not with this method.
    WrongMethod,
    /// No such endpoint.
    Unknown,
}

/// The endpoint of a request line.
pub fn route(method: &str, target: &str) -> Route {
    let path = target.split(['?', '#']).next().unwrap_or("");
    let decoded: Option<Vec<String>> = path
        .trim_matches('/')
        .split('/')
        .map(|s| percent_decode_str(s).decode_utf8().ok().map(|s| s.into_owned()))
        .collect();
    let Some(decoded) = decoded else { return Route::Unknown };
    let mut parts: Vec<&str> = decoded.iter().map(String::as_str).collect();
    if parts.len() >= 5 && parts[..2] == ["v2", "models"] && parts[3] == "versions" {
        parts.drain(3..5);
    }
    let get = |route| if method == "GET" { route } else { Route::WrongMethod };
    match parts[..] {
        ["v2"] => get(Route::Server),
        ["pintally", "counters"] => get(Route::Counters),
        ["pintally", "peers"] => get(Route::Peers),
        ["pintally", "recovery"] => get(Route::Recovery),
        ["pintally", "limits"] => get(Route::Limits),
        ["pintally", "regions"] => get(Route::Regions),
        ["pintally", "verdicts"] => get(Route::Verdicts),
        ["pintally", "keepers"] => get(Route::Keepers),
        ["v2", "health", "live"] => get(Route::Live),
        ["v2", "health", "ready"] => get(Route::Ready),
        ["v2", "models", model] => get(Route::Model(model.into())),
        ["v2", "models", model, "ready"] => get(Route::ModelReady(model.into())),
        ["v2", "models", model, verb] => {
            let form = match verb {
                "infer" => Form::Infer,
                "generate" => Form::Generate,
                "generate_stream" => Form::Stream,
                _ => return Route::Unknown,
            };
            if method == "POST" {
                Route::Work(model.into(), form)
            } else {
                Route::WrongMethod
            }
        }
        _ => Route::Unknown,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn endpoints_with_and_without_version() {
        assert_eq!(route("GET", "/v2/health/live"), Route::Live);
        assert_eq!(route("GET", "/v2/models/m%20x/versions/1/ready"), Route::ModelReady("m x".into()));
        assert_eq!(
            route("POST", "/v2/models/m/versions/2/generate?x=1"),
            Route::Work("m".into(), Form::Generate)
        );
        assert_eq!(route("GET", "/v2/models/m/infer"), Route::WrongMethod);
        assert_eq!(route("POST", "/v2/models/m/delete"), Route::Unknown);
        assert_eq!(route("GET", "/v2/models/%ff"), Route::Unknown);
    }
}
