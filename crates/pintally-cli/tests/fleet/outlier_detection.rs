//! Several node processes that share reports of engine failures: ejection, recovery, and that neither a cut between
//! nodes nor the faults of one node eject a healthy engine.

use std::collections::BTreeSet;
use std::process::Command;
use std::time::Duration;

use pintally::interface::Role;
use pintally_config::EngineList;
use pintally_mock_engine::{Fleet, Recorder};
use pintally_scenario::{Client, ClientAttempt, Rig};

use crate::node_processes::{engine_entry, wait_until, NodeProcesses, EXE};

const VERDICTS: &str = "(verdicts (memory-ms 4000) (rest-ms 800) (rest-most-ms 6000) (step-ms 500))";

/// The nodes that currently eject an engine.
fn ejecting_nodes(fleet: &NodeProcesses, engine: &str) -> BTreeSet<usize> {
    let holds = |n: &usize| {
        let document = fleet.status_document(*n, "/pintally/verdicts");
        let all = document["engines"].as_array().cloned().unwrap_or_default();
        all.iter().any(|v| v["engine"] == engine && v["held_back"] == true)
    };
    (0..fleet.settings.len()).filter(holds).collect()
}

/// The number of nodes that currently eject an engine.
fn ejecting_node_count(fleet: &NodeProcesses, engine: &str) -> usize {
    ejecting_nodes(fleet, engine).len()
}

#[test]
fn dead_engine_is_ejected_by_all_and_readmitted_in_steps() {
    let recorder = Recorder::default();
    let mock_fleet = Fleet::new(recorder.clone());
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
        let engine = mock_fleet.add(Rig::spec(id, role), false).unwrap();
        list.engines.push(engine_entry(&engine));
        engines.push(engine);
    }
    let mut fleet = NodeProcesses::with(4, VERDICTS);
    for node in 0..4 {
        fleet.write_engine_list(node, &list);
        fleet.start(node);
    }
    wait_until("all nodes see each other alive", 15, || fleet.all_alive());
    let client = Client { recorder };
    let mut sent = 0;
    let mut send = |fleet: &NodeProcesses| {
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
                leaves_after: None,
            });
        }
    };
    wait_until("requests are served", 20, || {
        fleet.status_document(0, "/pintally/recovery")["stage"] == "Serving"
    });
    (0..5).for_each(|_| send(&fleet));
    engines[3].crash();
    // Each node ejects the engine at some time, but not necessarily all at once: soon after the ejection one of them
    // readmits it for a trial, and the nodes are queried one after the other.
    let all_nodes_eject = |fleet: &NodeProcesses, send: &mut dyn FnMut(&NodeProcesses)| {
        let mut ejecting = BTreeSet::new();
        (0..200).any(|_| {
            send(fleet);
            ejecting.extend(ejecting_nodes(fleet, "r3"));
            ejecting.len() == 4
        })
    };
    assert!(all_nodes_eject(&fleet, &mut send));
    assert_eq!(["r0", "r1", "r2"].iter().map(|w| ejecting_node_count(&fleet, w)).sum::<usize>(), 0);
    let client_addresses: Vec<String> = fleet.settings.iter().map(|s| s.listen.to_string()).collect();
    wait_until("the engine is shown as ejected by all nodes", 20, || {
        let out = Command::new(EXE).args(["verdicts", "show"]).args(&client_addresses).output().unwrap();
        let text = String::from_utf8_lossy(&out.stdout);
        out.status.success() && text.contains("r3") && text.contains("everyone")
    });
    // An operator clears the engine: it is readmitted until it fails again.
    let peer_address = fleet.settings[0].membership.as_ref().unwrap().listen.to_string();
    let out = Command::new(EXE).args(["verdicts", "clear", "r3", &peer_address]).output().unwrap();
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    wait_until("the engine is cleared at all nodes", 10, || ejecting_node_count(&fleet, "r3") == 0);
    assert!(all_nodes_eject(&fleet, &mut send), "the engine is still dead and is ejected again");
    engines[3].start(false);
    let mut observed_counts = BTreeSet::new();
    for _ in 0..400 {
        send(&fleet);
        let count = ejecting_node_count(&fleet, "r3");
        observed_counts.insert(count);
        if count == 0 && observed_counts.len() > 1 {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    println!("counts of ejecting nodes during the recovery: {observed_counts:?}");
    assert!(observed_counts.contains(&0), "{observed_counts:?}");
    assert!(observed_counts.contains(&3), "one node readmits it first: {observed_counts:?}");
    mock_fleet.shut_down();
}

/// Links between nodes fail but no engine does: requests are served as without faults.
#[test]
fn peer_cut_ejects_no_engine() {
    let result =
        crate::run_day("verdicts-cut", 14, 4, 43, &format!("{VERDICTS} (fault peer-cut (at 4) (for 6))"));
    let end = crate::served_share_after(&result, 10.0);
    assert!(end > 0.9, "{end:.2} served at the end");
}
