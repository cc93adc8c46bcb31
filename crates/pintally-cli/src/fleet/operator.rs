//! Commands of operators to the fleet, sent over the link between nodes.

use std::net::SocketAddr;
use std::process::ExitCode;

use pintally_transport::send_command as send_to_replica;
use serde_json::{json, Value};

use crate::Failure;

/// The number of operators' commands on the link between nodes.
const OPERATOR_COMMAND: u8 = 128;

/// Sends a command to one replica after the other until one carries it out: only the leader does.
pub(super) fn send_command(replicas: &[SocketAddr], command: &Value) -> Result<ExitCode, Failure> {
    let mut refusals = String::new();
    for replica in replicas {
        let answer = answer(*replica, command);
        let reason = answer["why"].as_str().unwrap_or("").to_string();
        if answer["done"] == true {
            println!("{replica}: {reason}");
            return Ok(ExitCode::SUCCESS);
        }
        refusals += &format!("\n  {replica}: {reason}");
    }
    Err(Failure::failed(format!("nobody took it:{refusals}")))
}

/// What one replica answers; a transport or parse error takes the place of its reason.
fn answer(replica: SocketAddr, command: &Value) -> Value {
    let failed = |e: &dyn std::fmt::Display| json!({ "why": e.to_string() });
    match send_to_replica(replica, OPERATOR_COMMAND, command.to_string().as_bytes()) {
        Ok(bytes) => serde_json::from_slice(&bytes).unwrap_or_else(|e| failed(&e)),
        Err(e) => failed(&e),
    }
}
