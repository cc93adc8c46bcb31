//! Invalid files are rejected with the line, the reason and the violated rule, if any.

use pintally::interface::LoadReporting;
use pintally_config::{EngineList, NodeSettings};

const VALID: &str = r#"(pintally
  (node (name "n0") (listen "127.0.0.1:0") (engines "engines.sexp"))
  (limits (connect-ms 250))
  (rules (attempts 6))
  (class "hint" (effect safe) (patience-ms 5000))
  (class "keyed" (effect keyed (group zone) (window-ms 9000)) (patience-ms 5000))
  (kind "r" (role reader))
  (kind "w" (role writer)))
"#;

#[test]
fn valid_file_has_defaults() {
    let settings = NodeSettings::parse("good", VALID).unwrap();
    assert_eq!((settings.core.classes.len(), settings.core.engine_kinds.len()), (2, 2));
    assert_eq!((settings.core.max_attempts, settings.core.cancellation_allowed), (6, true));
    assert_eq!(settings.classes[0].max_tokens, 256);
}

/// `writers-read` is off by default, and requires a kind with the role writer.
#[test]
fn writers_reading_prompts_require_a_writer() {
    let read = |text: &str| NodeSettings::parse("file", text);
    assert!(!read(VALID).unwrap().core.writers_read_prompts);
    let parsed = VALID.replace("(attempts 6)", "(attempts 6) (writers-read yes) (reports off) (probes no)");
    let core = read(&parsed).unwrap().core;
    assert!(
        core.writers_read_prompts && core.load_reporting == LoadReporting::Off && !core.health_checks_allowed
    );
    let example = std::fs::read_to_string("../../examples/node-silent.sexp").unwrap();
    assert_eq!(read(&example).unwrap().core.load_reporting, LoadReporting::Off);
    let error = read(&parsed.replace("(role writer)", "(role mixed)")).unwrap_err();
    assert!(error.message.contains("no `kind` is a writer"), "{error}");
}

/// Each case replaces one part of the valid file; the error has the given line, reason and rule.
#[test]
fn errors_carry_line_reason_and_rule() {
    let cases: &[(&str, &str, usize, &str, Option<&str>)] = &[
        ("(name \"n0\")", "(nam \"n0\")", 2, "unknown key `nam`", None),
        ("(name \"n0\")", "(name \"n 0\")", 2, "letters, digits", None),
        ("127.0.0.1:0", "somewhere", 2, "must be an address", None),
        ("(engines \"engines.sexp\")", "", 2, "requires `(engines", None),
        (
            "(engines \"engines.sexp\")",
            "(engines \"e\" (every-ms 5000))",
            2,
            "`node.engines.every-ms`: must be at most 1000 ms",
            Some("drains"),
        ),
        ("(engines \"engines.sexp\")", "(engines \"e\") (number 3) (of 3)", 2, "counted from 0", None),
        ("(connect-ms 250)", "(connect-ms 250) (connect-ms 250)", 3, "given twice", None),
        ("(connect-ms 250)", "(connect-ms soon)", 3, "must be a number", None),
        ("(connect-ms 250)", "(connect-ms -1)", 3, "must be from", None),
        ("(connect-ms 250)", "(connect-ms 4990)", 3, "must be below `patience-ms`", Some("lost")),
        (
            "(connect-ms 250)",
            "(errand-ms 900)",
            3,
            "must be at most `rules.release-within-ms`",
            Some("pinned"),
        ),
        ("(connect-ms 250)", "(held 64) (connections 32)", 3, "must be at most `limits.connections`", None),
        ("(attempts 6)", "(attempts 0)", 4, "must be from", None),
        ("(attempts 6)", "(attempts 2.5)", 4, "must be a whole number", None),
        ("(attempts 6)", "(tip-multiple 0.5)", 4, "no work at all", Some("cold")),
        (
            "(attempts 6)",
            "(tip-window-ms 20000) (warm-after-ms 10000)",
            4,
            "must be at most `warm-after-ms`",
            Some("cold"),
        ),
        ("(attempts 6)", "(retry-after yes) (retry-after-most-ms 0)", 4, "must not be 0", None),
        ("(attempts 6)", "(writers-read perhaps)", 4, "must be yes or no", None),
        ("(attempts 6)", "(reports sometimes)", 4, "must be inline, on-probe or off", None),
        ("(effect safe)", "(effect maybe)", 5, "must be safe, keyed or unsafe", None),
        ("(effect safe)", "", 5, "requires `(effect", None),
        ("(effect safe)", "(effect unsafe) (second-copies yes)", 5, "second copy", Some("twice")),
        ("(effect safe)", "(effect safe) (aim-ms 9000)", 5, "at most `patience-ms` (5000 ms)", Some("lost")),
        ("\"hint\"", "\"keyed\"", 6, "must not be used twice", None),
        ("(window-ms 9000)", "(window-ms 1000)", 6, "at least `patience-ms` (5000 ms)", Some("twice")),
        ("(group zone)", "(group planet)", 6, "must be all, zone or rack", None),
        ("(kind \"w\" (role writer))", "", 1, "the `role` writer or mixed", None),
        ("(role reader)", "(role writer)", 1, "the `role` reader or mixed", None),
        ("(role reader)", "(role king)", 7, "must be reader, writer or mixed", None),
        ("(role reader)", "(role reader) 7", 7, "must not hold further values", None),
        ("(kind \"w\"", "(colour \"w\"", 1, "the `role` writer or mixed", None),
        ("(kind \"w\" (role writer)))", "(kind \"w\" (role writer))", 0, "not an S-expression", None),
    ];
    for (from, to, line, reason, rule) in cases {
        assert!(VALID.contains(from), "{from}");
        let text = VALID.replacen(from, to, 1);
        let error = NodeSettings::parse("bad", &text).expect_err(&text);
        assert!(error.message.contains(reason), "{to}: {error}");
        if *line > 0 {
            assert_eq!(error.line, *line, "{to}: {error}");
        }
        assert_eq!(error.rule.is_some(), rule.is_some(), "{to}: {error}");
        if let (Some(violated), Some(rule)) = (error.rule, rule) {
            assert!(violated.contains(rule), "{to}: {error}");
        }
        assert!(error.to_string().starts_with("bad:"), "{error}");
    }
}

#[test]
fn nesting_and_size_are_bounded() {
    let deep = "(".repeat(100_000);
    assert!(NodeSettings::parse("deep", &deep).unwrap_err().message.contains("deep"));
    let quotes = "'".repeat(100_000);
    assert!(NodeSettings::parse("quotes", &quotes).is_err());
    let large = " ".repeat(pintally_config::form::MAX_FILE_BYTES + 1);
    assert!(NodeSettings::parse("large", &large).unwrap_err().message.contains("larger"));
}

#[test]
fn endpoint_list_round_trips() {
    let text = r#"(engines (version 4)
      (engine "a \"b\"" (address "127.0.0.1:1") (zone "z") (kind "r") (rack 3) (state draining) (weight 1.5))
      (engine "c" (address "[::1]:2") (kind "w") (started-unix-ms 1700000000000)))"#;
    let list = EngineList::parse("list", text).unwrap();
    let again = EngineList::parse("again", &list.render()).unwrap();
    assert_eq!((again.version, &again.engines), (4, &list.engines));
    assert_eq!(&*list.engines[0].id.0, "a \"b\"");
}

#[test]
fn invalid_lists_are_rejected() {
    for (text, reason) in [
        ("", "one form"),
        ("(engines)", "requires `(version"),
        ("(engines (version 1) (engine \"a\"))", "must be an address"),
        ("(engines (version 1) (engine \"\" (address \"127.0.0.1:1\")))", "1 to 256 bytes"),
        ("(engines (version 1) (engine \"a\" (address \"127.0.0.1:1\") (state asleep)))", "must be serving"),
        ("(engines (version 1) (engine \"a\" (address \"127.0.0.1:1\")) (engine \"a\" (address \"127.0.0.1:1\")))", "must not be listed twice"),
        ("(engines (version 1) (engine \"a\" (address \"127.0.0.1:1\") (colour red)))", "unknown key"),
    ] {
        let error = EngineList::parse("list", text).expect_err(text);
        assert!(error.message.contains(reason), "{text}: {error}");
    }
}
