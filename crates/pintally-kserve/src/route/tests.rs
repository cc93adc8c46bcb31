//! Mapping of methods and targets to endpoints.

use super::*;

#[test]
fn endpoints_with_and_without_version() {
    assert_eq!(route("GET", "/v2/health/live"), Route::Live);
    assert_eq!(route("GET", "/v2/models/m%20x/versions/1/ready"), Route::ModelReady("m x".into()));
    assert_eq!(
        route("POST", "/v2/models/m/versions/2/generate?x=1"),
        Route::Inference("m".into(), InferenceEndpoint::Generate)
    );
    assert_eq!(route("GET", "/v2/models/m/infer"), Route::MethodNotAllowed);
    assert_eq!(route("POST", "/v2/models/m/delete"), Route::NotFound);
    assert_eq!(route("GET", "/v2/models/%ff"), Route::NotFound);
}
