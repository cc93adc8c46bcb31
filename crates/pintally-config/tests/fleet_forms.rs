//! The forms of settings for the whole fleet: settings that are written can be read again unchanged, and
//! inconsistent settings are reported with their position.

use pintally_config::{outlier_detection_form, NodeSettings};

fn example() -> String {
    std::fs::read_to_string("../../examples/regions.sexp").unwrap()
}

fn error(text: &str) -> String {
    NodeSettings::parse("x.sexp", text).expect_err("inconsistent settings are rejected").to_string()
}

#[test]
fn forms_round_trip() {
    let text = example();
    let first = NodeSettings::parse("x.sexp", &text).unwrap();
    let forms = [
        first.membership.as_ref().unwrap().to_string(),
        first.recovery.as_ref().unwrap().to_string(),
        first.consensus.as_ref().unwrap().to_string(),
        first.quotas.as_ref().unwrap().to_string(),
        outlier_detection_form(first.outlier_detection.as_ref().unwrap()),
        first.failover.as_ref().unwrap().to_string(),
    ];
    let begin = text.find("(peers").unwrap();
    let end = text.find("(rules").unwrap();
    let again = format!("{}{}\n  {}", &text[..begin], forms.join("\n  "), &text[end..]);
    let second = NodeSettings::parse("x.sexp", &again).unwrap();
    assert_eq!(first.consensus, second.consensus);
    assert_eq!(first.quotas, second.quotas);
    assert_eq!(first.outlier_detection, second.outlier_detection);
    assert_eq!(first.failover, second.failover);
    assert_eq!(second.quotas.unwrap().allocation.node_count, 6, "the node count is that of the fleet");
}

#[test]
fn errors_have_positions() {
    let text = example();
    for (from, to, expected) in [
        ("(names \"n0\" \"n1\" \"n2\")", "(names \"n0\" \"n0\")", "`names` must name each replica once"),
        ("(keepers (names \"n0\" \"n1\" \"n2\"))", "", "`shared-limits`: requires `(keepers ...)`"),
        (
            "(names \"n0\" \"n1\" \"n2\")",
            "(names \"n0\") (beat-ms 500)",
            "`election-ms` must be at least three times `beat-ms`",
        ),
        (
            "(counts requests)",
            "(counts apples)",
            "`limit.counts`: must be requests, tokens, streams or retries",
        ),
        ("(counts requests) (most 200)", "(counts requests)", "`limit`: requires `(most ...)`"),
        ("(tenant \"labs\") (counts requests)", "(tenant \"nobody\") (counts requests)", "no `tenant`"),
        ("\"labs-streams\"", "\"labs-requests\"", "names must have different ids"),
        ("(bound soft)", "(bound hardly)", "`limit.bound`: must be hard or soft"),
        (
            "(shared-limits",
            "(shared-limits (lease-ms 500)",
            "`lease-ms` must be at least four times `every-ms`",
        ),
        (
            "(verdicts)",
            "(verdicts (rest-ms 9000) (rest-most-ms 100))",
            "`rest-ms` must be above 0 and at most `rest-most-ms`",
        ),
        ("(zone \"south-1\" \"south\")", "", "no `zone` is named `south-1`"),
        (
            "(zone \"north-2\" \"north\")",
            "(zone \"north-2\" \"north\") (zone \"north-1\" \"south\")",
            "in two regions",
        ),
        ("(zone \"north-1\") (number", "(zone \"moon\") (number", "is in no region"),
        ("(class-stays \"graded-submit\")", "(class-stays \"none\")", "no `class` is named"),
        ("(per-engine-per-s 6)", "(per-engine-per-s 6) (lasts-ms 600)", "renewed three times"),
        ("(per-engine-per-s 6)", "(per-engine-per-s 6) (step-ms 1000)", "before engines are warm"),
        ("(price \"north-1\"", "(price \"moon\"", "`regions.price`: no `zone` is named `moon`"),
    ] {
        assert!(text.contains(from), "{from}");
        let message = error(&text.replacen(from, to, 1));
        assert!(message.contains(expected), "{from} -> {to}: {message}");
        assert!(message.starts_with("x.sexp:"), "{message}");
    }
}
