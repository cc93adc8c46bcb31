//! What the operators' pages refuse stays off in `run`: a node on the platform opens no socket but its
//! listener, discovery's and engines', writes no file, starts no process and no thread, and is linked
//! dynamically. Whatever the program learns elsewhere must not creep in there.

use std::collections::BTreeSet;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use pintally_mock_engine::Port;

use crate::stand::{Client, Stand, LONG};

/// Unix sockets that wake the loop when a signal comes: a pair for each of the two meanings.
const OWN_UNIX: usize = 4;

/// What a process does that a node on the platform must not.
fn refused(pid: u32, listens: SocketAddr, reaches: &[SocketAddr]) -> Vec<String> {
    let mut found = Vec::new();
    let proc_ = format!("/proc/{pid}");
    let threads = fs::read_dir(format!("{proc_}/task")).map_or(0, std::iter::Iterator::count);
    if threads != 1 {
        found.push(format!("{threads} threads"));
    }
    let children = fs::read_to_string(format!("{proc_}/task/{pid}/children")).unwrap_or_default();
    if !children.trim().is_empty() {
        found.push(format!("processes {children}"));
    }
    if !fs::read_to_string(format!("{proc_}/maps")).is_ok_and(|maps| maps.contains("/libc.so")) {
        found.push("not linked against the C library".into());
    }
    let mut sockets = BTreeSet::new();
    for fd in fs::read_dir(format!("{proc_}/fd")).into_iter().flatten().flatten() {
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
    for (kind, inode, local, remote) in table(&proc_) {
        if !sockets.remove(&inode) {
            continue;
        }
        let its_own = local == Some(listens);
        let reached = remote.is_some_and(|r| reaches.contains(&r));
        if kind != "tcp" || !(its_own || reached) {
            found.push(format!("a {kind} socket from {local:?} to {remote:?}"));
        }
    }
    if sockets.len() > OWN_UNIX {
        found.push(format!("{} sockets that are not of the internet", sockets.len()));
    }
    found
}

/// Sockets of the internet in the process's network: kind, inode, both addresses.
fn table(proc_: &str) -> Vec<(&'static str, String, Option<SocketAddr>, Option<SocketAddr>)> {
    let mut all = Vec::new();
    for kind in ["tcp", "tcp6", "udp", "udp6"] {
        let text = fs::read_to_string(format!("{proc_}/net/{kind}")).unwrap_or_default();
        for line in text.lines().skip(1) {
            let words: Vec<&str> = line.split_whitespace().collect();
            if let [_, local, remote, _, _, _, _, _, _, inode, ..] = words[..] {
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
fn a_node_on_the_platform_does_nothing_that_the_pages_refuse() {
    let stand = Stand::new(&["r0", "w0", "w1"], 256);
    let mut client = Client::new(&stand);
    for n in 0..5 {
        client.ask("safe", &format!("a{n}"));
        assert_eq!(client.answer().0, 200);
    }
    let mut reaches: Vec<SocketAddr> = stand.engines.values().copied().collect();
    reaches.push(stand.config["discovery"].as_str().unwrap().parse().unwrap());
    assert_eq!(refused(stand.pid(), stand.node, &reaches), Vec::<String>::new());
    let beside = stand.file.parent().unwrap();
    let files: Vec<_> = fs::read_dir(beside).unwrap().flatten().map(|f| f.file_name()).collect();
    assert_eq!(files, ["config.json"], "it writes no file beside its configuration");
}

/// The guard can fail: a node with peers and a store does all that is refused.
#[test]
fn the_guard_sees_peers_threads_and_files() {
    let folder = tempfile::tempdir().unwrap();
    let ports = [(); 2].map(|()| Port::hold().unwrap());
    let [listen, mut link] = [0, 1].map(|n: usize| ports[n].address().unwrap());
    link.set_ip([127, 0, 2, 98].into());
    let mut child = serve(folder.path(), listen, link);
    let end = Instant::now() + LONG;
    while pintally_scenario::http_get(listen, "/v2/health/live").is_none() {
        assert!(Instant::now() < end, "the node does not start");
        std::thread::sleep(Duration::from_millis(5));
    }
    let found = refused(child.id(), listen, &[]).join("; ");
    let _ = child.kill();
    let _ = child.wait();
    for sign in ["threads", "a file: ", "a udp socket"] {
        assert!(found.contains(sign), "the guard does not see {sign}: {found}");
    }
}

fn serve(folder: &Path, listen: SocketAddr, link: SocketAddr) -> Child {
    let at = |name: &str| folder.join(name).to_string_lossy().into_owned();
    let text = format!(
        r#"(pintally (node (name "n0") (listen "{listen}") (engines "{}"))
  (peers (fleet "guard") (listen "{link}")) (recovery (store "{}"))
  (class "c" (effect safe)) (kind "m" (role mixed)))"#,
        at("engines.sexp"),
        at("state")
    );
    fs::write(at("engines.sexp"), "(engines (version 1))").unwrap();
    fs::write(at("node.sexp"), text).unwrap();
    Command::new(env!("CARGO_BIN_EXE_pintally"))
        .args(["serve", "--config", &at("node.sexp")])
        .stderr(Stdio::null())
        .spawn()
        .expect("the node starts")
}
