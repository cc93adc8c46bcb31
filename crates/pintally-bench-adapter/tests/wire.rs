//! End-to-end tests of the adapter's binary with small hand-written batches.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::{json, Value};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pintally-bench-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("a standard input").write_all(input.as_bytes()).expect("the adapter reads");
    child.wait_with_output().expect("the adapter ends")
}

/// The lines of the output, each of which must be JSON.
fn lines(output: &Output) -> Vec<Value> {
    let text = String::from_utf8(output.stdout.clone()).expect("UTF-8 output");
    text.lines().map(|line| serde_json::from_str(line).expect("a JSON line")).collect()
}

fn conf() -> Value {
    json!({
        "accounts": [{"name": "t", "quota_rps": 5.0, "share": 1.0}], "azs": ["a"], "balancers": 2,
        "discovery": "pushed", "family": "twostage", "a_new_key": {"x": 1},
        "family_info": {"aim_us_per_1000_prompt_tokens": [40000.0], "duty_by_kind": ["read", "write"],
                        "let_go_by": 0.5, "memory_tokens": [200000, 100000], "token_aim": [0.06]},
        "feedback": {"fields": ["x0", "q"], "source": "inline"}, "me": 1, "machine_types": ["prefill", "decode"],
        "permissions": {"attempts_cap": 6, "may_cancel": true, "max_retry_after": 1.0, "retry_after": true},
        "profiles": [{"deadline": 5.0, "effect": "repeatable", "gain": 1.0, "name": "hint", "objective": 1.0}],
        "rules": {"cold_from": 0.3, "overload_for": 2.0, "tip_multiple": 2.5, "warm_after": 14.0},
        "weight_kind": "nominal", "zone": "a"
    })
}

fn begin(node: u64, conf: &Value) -> String {
    let host = |name: &str, hw: &str| {
        json!({"engine": name, "campus": "a", "hw": hw, "unit_group": 0, "stage_state": "SERVING",
               "power_hint": 1, "born": null})
    };
    let hosts = [host("10.0.0.1:1", "prefill"), host("10.0.0.2:2", "decode"), host("10.0.0.3:3", "decode")];
    let begin = json!({"t": "begin", "node": node, "salt": 5, "conf": conf});
    let update = json!({"t": "update", "node": node, "form": "restored", "generation": 1, "hosts": hosts});
    format!("{begin}\n{update}\n")
}

fn batch(clock: f64, round: u64, events: &str) -> String {
    format!("{{\"t\":\"batch\",\"clock\":{clock},\"round\":{round}}}\n{events}{{\"t\":\"over_to_you\"}}\n")
}

fn demand(node: u64, txn: &str) -> String {
    let demand = json!({"t": "demand", "node": node, "txn": txn, "band": "hint", "user_group": "t",
        "dialogue": 4, "ttl": 2.5, "hint": null, "prefix": 9, "prompt_tokens": 1800, "prefix_len": 1200,
        "max_tokens": 256, "is_retry": false, "reconnect": false});
    format!("{demand}\n")
}

fn ended(node: u64, txn: &str, attempt: u64, code: u64) -> String {
    let ended = json!({"t": "ended", "node": node, "txn": txn, "try": attempt, "engine": "10.0.0.1:1",
        "state_code": code, "rtt": 0.05, "no_more": code == 0, "detail": null, "feedback": [0.4, 1.25]});
    format!("{ended}\n")
}

/// Input in which each of the given instances serves one request.
fn one_request_each(nodes: &[u64]) -> String {
    let for_each_node = |line: &dyn Fn(u64) -> String| nodes.iter().map(|n| line(*n)).collect::<String>();
    [
        batch(10.0, 1, &for_each_node(&|n| begin(n, &conf()))),
        batch(10.5, 2, &for_each_node(&|n| demand(n, "q"))),
        batch(10.55, 3, &for_each_node(&|n| ended(n, "q", 0, 100))),
        batch(10.56, 4, &for_each_node(&|n| format!("{}\n", json!({"t": "head_received", "node": n, "txn": "q", "try": 1, "engine": "10.0.0.2:2", "rtt": 0.01})))),
        batch(12.0, 5, &for_each_node(&|n| ended(n, "q", 1, 0))),
    ]
    .concat()
}

#[test]
fn request_is_read_then_written() {
    let output = run(&one_request_each(&[3]));
    assert!(output.status.success());
    let lines = lines(&output);
    let issued: Vec<&Value> = lines.iter().filter(|l| l["t"] == "issue").collect();
    assert_eq!(issued.len(), 2);
    assert_eq!(issued[0]["engine"], "10.0.0.1:1");
    assert_ne!(issued[1]["engine"], "10.0.0.1:1");
    assert!(issued.iter().all(|l| l["txn"] == "q" && l["node"] == 3 && l["timeout"].as_f64() > Some(0.0)));
    let rounds: Vec<&Value> = lines.iter().filter(|l| l["t"] == "ok").map(|l| &l["round"]).collect();
    assert_eq!(rounds, [1, 2, 3, 4, 5]);
    assert!(output.stderr.is_empty());
}

#[test]
fn instances_are_independent() {
    let actions = |output: &Output, node: u64| -> Vec<Value> {
        lines(output).into_iter().filter(|l| l["node"] == node).collect()
    };
    let together = run(&one_request_each(&[0, 1, 2]));
    for node in 0..3 {
        let alone = run(&one_request_each(&[node]));
        assert!(!actions(&alone, node).is_empty());
        assert_eq!(actions(&together, node), actions(&alone, node));
    }
    assert_eq!(run(&one_request_each(&[0, 1, 2])).stdout, together.stdout);
}

#[test]
fn end_of_input_between_batches_is_success() {
    assert!(run("").status.success());
    let output = run(&batch(8.4, 1, ""));
    assert!(output.status.success());
    assert_eq!(lines(&output), [json!({"t": "ok", "round": 1})]);
}

#[test]
fn malformed_input_ends_with_one_line_on_stderr() {
    let open_batch = "{\"t\":\"batch\",\"clock\":1.0,\"round\":1}\n";
    let cases = [
        (format!("{open_batch}{{\"t\":\"elapsed\"\n"), "line 2"),
        (open_batch.to_string(), "ended inside a batch"),
        (format!("{open_batch}{open_batch}"), "inside a batch"),
        ("{\"t\":\"over_to_you\"}\n".to_string(), "batch"),
        ("not json\n".to_string(), "line 1"),
        (format!("{open_batch}{{\"t\":\"demand\",\"node\":1}}\n"), "missing field"),
        (format!("{open_batch}[1, 2]\n"), "line 2"),
    ];
    for (input, expected) in cases {
        let output = run(&input);
        assert_eq!(output.status.code(), Some(1), "{input}");
        let message = String::from_utf8(output.stderr).unwrap();
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(message.contains(expected), "{message}");
    }
}

#[test]
fn missing_settings_key_is_reported_by_name() {
    for (group, key) in [
        ("", "profiles"),
        ("", "me"),
        ("", "balancers"),
        ("rules", "cold_from"),
        ("family_info", "duty_by_kind"),
    ] {
        let mut conf = conf();
        let object = if group.is_empty() { &mut conf } else { &mut conf[group] };
        object.as_object_mut().unwrap().remove(key);
        let output = run(&batch(1.0, 1, &begin(7, &conf)));
        assert!(output.status.success());
        let lines = lines(&output);
        assert_eq!(lines[0]["t"], "broken");
        assert_eq!(lines[0]["node"], 7);
        assert!(lines[0]["reason_text"].as_str().unwrap().contains(key));
    }
}

#[test]
fn node_number_out_of_range_is_reported() {
    for (me, balancers) in [(2, 2), (0, 0), (7, 3)] {
        let mut conf = conf();
        conf["me"] = json!(me);
        conf["balancers"] = json!(balancers);
        let lines = lines(&run(&batch(1.0, 1, &begin(7, &conf))));
        assert_eq!(lines[0]["t"], "broken");
        let reason = lines[0]["reason_text"].as_str().unwrap();
        assert!(reason.contains("`me`") && reason.contains("`balancers`"), "{reason}");
    }
}

#[test]
fn restarted_instance_has_no_state() {
    let stop = format!("{}\n{}", json!({"t": "teardown", "node": 3}), begin(3, &conf()));
    let input = [
        batch(10.0, 1, &begin(3, &conf())),
        batch(10.5, 2, &demand(3, "q")),
        batch(10.6, 3, &stop),
        batch(10.7, 4, &format!("{}\n", json!({"t": "withdrawn", "node": 3, "txn": "q"}))),
    ]
    .concat();
    let output = run(&input);
    assert!(output.status.success());
    let lines = lines(&output);
    let third = lines.iter().position(|l| l["t"] == "ok" && l["round"] == 3).unwrap();
    assert_eq!(lines[third + 1..], [json!({"t": "ok", "round": 4})]);
}
