//! The router answers with no engines known.
use pintally::interface::*;
use pintally::Router;

#[test]
fn builds_and_refuses_at_the_aim_with_no_engine() {
    let settings = Settings {
        zone: "z".into(),
        nodes: 1,
        classes: vec![],
        tenants: vec![],
        kinds: vec![],
        discovery: Discovery::Pushed,
        reports: Reports::Off,
        weights: false,
        may_cancel: true,
        may_probe: false,
        retry_advice: false,
        max_retry_after: 0,
        max_attempts: 3,
        cold_from: 0.3,
        warm_after: 10_000_000,
        tip_multiple: 3.0,
        tip_window: 2_000_000,
        release_within: 500_000,
        ask_within: 10_000_000,
    };
    let mut router = Router::new(settings, 1);
    let mut acts = Vec::new();
    let request = Request {
        id: RequestId("r".into()),
        class: None,
        tenant: None,
        session: 1,
        prefix: None,
        prompt_tokens: 100,
        prefix_tokens: 0,
        max_tokens: 10,
        patience: 1_000_000,
        resumed: false,
    };
    router.handle(0, Event::Arrived(request), &mut acts);
    router.handle(600_000, Event::Elapsed(Timer::Sweep), &mut acts);
    let answers = acts.iter().filter(|a| matches!(a, Action::Refuse(..) | Action::Fail(_))).count();
    assert_eq!(answers, 1);
}
