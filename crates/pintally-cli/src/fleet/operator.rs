//! Sends operator commands to the fleet over the links between nodes.

use std::net::SocketAddr;
use std::process::ExitCode;

use pintally_transport::send_command as send_to_replica;
use serde_json::{json, Value};

use crate::Failure;

/// The message type of operator commands on the links between nodes.
const OPERATOR_COMMAND: u8 = 128;

/// Sends a command to each replica in turn until one executes it; replica commands succeed only at the leader.
pub(super) fn send_command(replicas: &[SocketAddr], command: &Value) -> Result<ExitCode, Failure> {
    let mut refusals = String::new();
    for replica in replicas {
        let reply = request(*replica, command);
        let reason = reply["why"].as_str().unwrap_or("").to_string();
        if reply["done"] == true {
            println!("{replica}: {reason}");
            return Ok(ExitCode::SUCCESS);
        }
        refusals += &format!("\n  {replica}: {reason}");
    }
    Err(Failure::failed(format!("no node executed the command:{refusals}")))
}

/// Sends a command to one replica; a transport or parse error becomes the reason of the reply.
fn request(replica: SocketAddr, command: &Value) -> Value {
    let error_reply = |e: &dyn std::fmt::Display| json!({ "why": e.to_string() });
    match send_to_replica(replica, OPERATOR_COMMAND, command.to_string().as_bytes()) {
        Ok(bytes) => serde_json::from_slice(&bytes).unwrap_or_else(|e| error_reply(&e)),
        Err(e) => error_reply(&e),
    }
}
