//! Endpoints by method and target.

use super::*;

#[test]
fn endpoints_with_and_without_version() {
    assert_eq!(route("GET", "/v2/health/live"), Route::Live);
    assert_eq!(route("GET", "/v2/models/m%20x/versions/1/ready"), Route::ModelReady("m x".into()));
    assert_eq!(
        route("POST", "/v2/models/m/versions/2/generate?x=1"),
        Route::Infer("m".into(), Form::Generate)
    );
    assert_eq!(route("GET", "/v2/models/m/infer"), Route::WrongMethod);
    assert_eq!(route("POST", "/v2/models/m/delete"), Route::Unknown);
    assert_eq!(route("GET", "/v2/models/%ff"), Route::Unknown);
}
