//! Several processes that tell each other what they saw of engines: who is held back, the way back, and
//! that a cut between nodes, or one node's own trouble, blackens nobody.

use std::collections::BTreeSet;
use std::process::Command;
use std::time::Duration;

use pintally::interface::Role;
use pintally_config::EngineList;
use pintally_mock_engine::{Fleet, Recorder};
use pintally_scenario::{Client, ClientAttempt, Rig};

use crate::by_hand::{entry, until, Nodes, EXE};

const VERDICTS: &str = "(verdicts (memory-ms 4000) (rest-ms 800) (rest-most-ms 6000) (step-ms 500))";

/// Which nodes of `fleet` hold an engine back.
fn holders(fleet: &Nodes, engine: &str) -> BTreeSet<usize> {
    let holds = |n: &usize| {
        let document = fleet.status_document(*n, "/pintally/verdicts");
        let all = document["engines"].as_array().cloned().unwrap_or_default();
        all.iter().any(|v| v["engine"] == engine && v["held_back"] == true)
    };
    (0..fleet.settings.len()).filter(holds).collect()
}

/// How many do.
fn holding(fleet: &Nodes, engine: &str) -> usize {
    holders(fleet, engine).len()
}

#[test]
fn a_dead_engine_is_held_back_by_all_and_comes_back_in_steps() {
    let recorder = Recorder::default();
    let stand = Fleet::new(recorder.clone());
    let mut list = EngineList { version: 1, engines: Vec::new() };
    let mut engines = Vec::new();
    for (id, role) in [
        ("r0", Role::Reader),
        ("r1", Role::Reader),
        ("r2", Role::Reader),
        ("r3", Role::Reader),
        ("w0", Role::Writer),
        ("w1", Role::Writer),
    ] {
        let engine = stand.add(Rig::spec(id, role), false).unwrap();
        list.engines.push(entry(&engine));
        engines.push(engine);
    }
    let mut fleet = Nodes::with(4, VERDICTS);
    for node in 0..4 {
        fleet.list(node, &list);
        fleet.start(node);
    }
    until("all know all", 15, || fleet.is_whole());
    let client = Client { recorder };
    let mut sent = 0;
    let mut send = |fleet: &Nodes| {
        for node in 0..4 {
            sent += 1;
            client.attempt(&ClientAttempt {
                id: format!("v{sent}"),
                node: format!("n{node}"),
                address: fleet.settings[node].listen,
                class: "hint".into(),
                tenant: None,
                session: sent,
                prefix: None,
                prefix_tokens: 0,
                prompt: "text ".repeat(60),
                max_tokens: 3,
                patience: Duration::from_secs(2),
                streamed: true,
                leaves: None,
            });
        }
    };
    until("requests are served", 20, || fleet.status_document(0, "/pintally/recovery")["stage"] == "Serving");
    (0..5).for_each(|_| send(&fleet));
    engines[3].crash();
    // Each does at some time: soon after all hold it back one of them lets it in again, for its trial, and
    // nodes are asked one after the other.
    let all_hold = |fleet: &Nodes, send: &mut dyn FnMut(&Nodes)| {
        let mut held = BTreeSet::new();
        (0..200).any(|_| {
            send(fleet);
            held.extend(holders(fleet, "r3"));
            held.len() == 4
        })
    };
    assert!(all_hold(&fleet, &mut send));
    assert_eq!(["r0", "r1", "r2"].iter().map(|w| holding(&fleet, w)).sum::<usize>(), 0);
    let at: Vec<String> = fleet.settings.iter().map(|s| s.listen.to_string()).collect();
    until("the engine is shown as held back by everyone", 20, || {
        let out = Command::new(EXE).args(["verdicts", "show"]).args(&at).output().unwrap();
        let text = String::from_utf8_lossy(&out.stdout);
        out.status.success() && text.contains("r3") && text.contains("everyone")
    });
    // People may call it well: it is held back no more, until it fails again.
    let link = fleet.settings[0].membership.as_ref().unwrap().listen.to_string();
    let out = Command::new(EXE).args(["verdicts", "clear", "r3", &link]).output().unwrap();
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    until("it is cleared at all nodes", 10, || holding(&fleet, "r3") == 0);
    assert!(all_hold(&fleet, &mut send), "it is dead all the same");
    engines[3].start(false);
    let mut seen = BTreeSet::new();
    for _ in 0..400 {
        send(&fleet);
        let holds = holding(&fleet, "r3");
        seen.insert(holds);
        if holds == 0 && seen.len() > 1 {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    println!("nodes that held it back on the way: {seen:?}");
    assert!(seen.contains(&0), "{seen:?}");
    assert!(seen.contains(&3), "one node tries it first: {seen:?}");
    stand.shut_down();
}

/// Links between nodes fail, and no engine is sick: all goes on as in calm.
#[test]
fn a_cut_between_nodes_blackens_no_engine() {
    let result =
        crate::play("verdicts-cut", 14, 4, 43, &format!("{VERDICTS} (fault peer-cut (at 4) (for 6))"));
    let end = crate::served_at_the_end(&result, 10.0);
    assert!(end > 0.9, "{end:.2} served at the end");
}
