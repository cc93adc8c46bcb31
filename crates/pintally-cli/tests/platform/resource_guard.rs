//! Checks that `pintally platform` uses only the resources that the operators' pages allow: no sockets except its
//! listener and connections to discovery and engines, no files written, no processes or threads started, and dynamic
//! linking. Features of other subcommands must not add such use to the platform node.

use std::collections::BTreeSet;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use pintally_mock_engine::Port;

use crate::harness::{Client, Harness, LONG};

/// Unix sockets that wake the event loop for a signal: a pair for each of the two kinds of signal.
const SIGNAL_SOCKETS: usize = 4;

/// Uses of resources by a process that a platform node must not have.
fn violations(pid: u32, listen_address: SocketAddr, allowed_remotes: &[SocketAddr]) -> Vec<String> {
    let mut found = Vec::new();
    let proc_dir = format!("/proc/{pid}");
    let threads = fs::read_dir(format!("{proc_dir}/task")).map_or(0, std::iter::Iterator::count);
    if threads != 1 {
        found.push(format!("{threads} threads"));
    }
    let children = fs::read_to_string(format!("{proc_dir}/task/{pid}/children")).unwrap_or_default();
    if !children.trim().is_empty() {
        found.push(format!("processes {children}"));
    }
    if !fs::read_to_string(format!("{proc_dir}/maps")).is_ok_and(|maps| maps.contains("/libc.so")) {
        found.push("not linked against the C library".into());
    }
    let mut sockets = BTreeSet::new();
    for fd in fs::read_dir(format!("{proc_dir}/fd")).into_iter().flatten().flatten() {
        let target = fs::read_link(fd.path()).unwrap_or_default().to_string_lossy().into_owned();
        let number = fd.file_name().to_string_lossy().into_owned();
        match target.strip_prefix("socket:[").and_then(|t| t.strip_suffix(']')) {
            Some(inode) => drop(sockets.insert(inode.to_string())),
            None if number.parse::<u32>().is_ok_and(|n| n <= 2) => {}
            None if target == "/dev/null" => {}
            None if target.starts_with("anon_inode:") || target.starts_with("pipe:") => {}
            None => found.push(format!("a file: {target}")),
        }
    }
    for (kind, inode, local, remote) in internet_sockets(&proc_dir) {
        if !sockets.remove(&inode) {
            continue;
        }
        let is_listener_side = local == Some(listen_address);
        let is_allowed_remote = remote.is_some_and(|r| allowed_remotes.contains(&r));
        if kind != "tcp" || !(is_listener_side || is_allowed_remote) {
            found.push(format!("a {kind} socket from {local:?} to {remote:?}"));
        }
    }
    if sockets.len() > SIGNAL_SOCKETS {
        found.push(format!("{} sockets that are neither TCP nor UDP", sockets.len()));
    }
    found
}

/// TCP and UDP sockets in the process's network namespace: kind, inode, local and remote address.
fn internet_sockets(proc_dir: &str) -> Vec<(&'static str, String, Option<SocketAddr>, Option<SocketAddr>)> {
    let mut all = Vec::new();
    for kind in ["tcp", "tcp6", "udp", "udp6"] {
        let text = fs::read_to_string(format!("{proc_dir}/net/{kind}")).unwrap_or_default();
        for line in text.lines().skip(1) {
            let columns: Vec<&str> = line.split_whitespace().collect();
            if let [_, local, remote, _, _, _, _, _, _, inode, ..] = columns[..] {
                all.push((kind, inode.to_string(), address(local), address(remote)));
            }
        }
    }
    all
}

fn address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    Some((Ipv4Addr::from(ip.to_le_bytes()), u16::from_str_radix(port, 16).ok()?).into())
}

#[test]
fn platform_node_uses_only_allowed_resources() {
    let harness = Harness::new(&["r0", "w0", "w1"], 256);
    let mut client = Client::new(&harness);
    for n in 0..5 {
        client.send_request("safe", &format!("a{n}"));
        assert_eq!(client.receive_response().0, 200);
    }
    let mut allowed_remotes: Vec<SocketAddr> = harness.engines.values().copied().collect();
    allowed_remotes.push(harness.config["discovery"].as_str().unwrap().parse().unwrap());
    assert_eq!(violations(harness.pid(), harness.node_address, &allowed_remotes), Vec::<String>::new());
    let config_dir = harness.config_file.parent().unwrap();
    let files: Vec<_> = fs::read_dir(config_dir).unwrap().flatten().map(|f| f.file_name()).collect();
    assert_eq!(files, ["config.json"], "the node writes no file next to its configuration");
}

/// Checks that the guard can fail: a `serve` node with peers and a store uses threads, files and UDP sockets.
#[test]
fn guard_detects_peers_threads_and_files() {
    let folder = tempfile::tempdir().unwrap();
    let ports = [(); 2].map(|()| Port::hold().unwrap());
    let [listen, mut peer_address] = [0, 1].map(|n: usize| ports[n].address().unwrap());
    peer_address.set_ip([127, 0, 2, 98].into());
    let mut child = start_fleet_node(folder.path(), listen, peer_address);
    let end = Instant::now() + LONG;
    while pintally_scenario::http_get(listen, "/v2/health/live").is_none() {
        assert!(Instant::now() < end, "the node does not start");
        std::thread::sleep(Duration::from_millis(5));
    }
    let found = violations(child.id(), listen, &[]).join("; ");
    let _ = child.kill();
    let _ = child.wait();
    for violation in ["threads", "a file: ", "a udp socket"] {
        assert!(found.contains(violation), "the guard does not detect {violation}: {found}");
    }
}

fn start_fleet_node(folder: &Path, listen: SocketAddr, peer_address: SocketAddr) -> Child {
    let path_of = |name: &str| folder.join(name).to_string_lossy().into_owned();
    let text = format!(
        r#"(pintally (node (name "n0") (listen "{listen}") (engines "{}"))
  (peers (fleet "guard") (listen "{peer_address}")) (recovery (store "{}"))
  (class "c" (effect safe)) (kind "m" (role mixed)))"#,
        path_of("engines.sexp"),
        path_of("state")
    );
    fs::write(path_of("engines.sexp"), "(engines (version 1))").unwrap();
    fs::write(path_of("node.sexp"), text).unwrap();
    Command::new(env!("CARGO_BIN_EXE_pintally"))
        .args(["serve", "--config", &path_of("node.sexp")])
        .stderr(Stdio::null())
        .spawn()
        .expect("the node starts")
}
