//! `pintally limits show|set`: the quotas of the whole fleet.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Subcommand;
use serde_json::{json, Value};

use super::operator::send_command;
use crate::status::{number, seconds, show, text};
use crate::Failure;

#[derive(clap::Args)]
pub(crate) struct Limits {
    #[command(subcommand)]
    command: LimitsCommand,
}

#[derive(Subcommand)]
enum LimitsCommand {
    /// Show the state of each limit at nodes and the granted leases.
    Show {
        /// Where nodes listen for clients.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
        /// Print one line of JSON for each node.
        #[arg(long)]
        json: bool,
    },
    /// Change a limit for the whole fleet.
    Set {
        /// The limit's name.
        name: String,
        /// The new value of the limit for the whole fleet.
        #[arg(value_name = "MOST")]
        limit: f64,
        /// Where replicas listen for peers; the leader executes the command.
        #[arg(required = true, value_name = "KEEPERS")]
        replicas: Vec<SocketAddr>,
    },
}

pub(crate) fn run(args: &Limits) -> Result<ExitCode, Failure> {
    match &args.command {
        LimitsCommand::Show { nodes, json } => {
            let header =
                ["node", "limit", "kind", "whole", "has", "floor", "wants", "owes or runs", "age", "refused"];
            show(nodes, "/pintally/limits", *json, &header, limit_rows)
        }
        LimitsCommand::Set { name, limit, replicas } => {
            send_command(replicas, &json!({ "Limit": [name, limit] }))
        }
    }
}

fn limit_rows(node: SocketAddr, document: &Value) -> Vec<Vec<String>> {
    let node_name = format!("{} ({node})", text(&document["node"]));
    let mut rows: Vec<Vec<String>> = Vec::new();
    for limit in document["limits"].as_array().into_iter().flatten() {
        let age =
            if limit["age_ms"].is_null() { "never told".to_string() } else { seconds(&limit["age_ms"]) };
        rows.push(vec![
            node_name.clone(),
            text(&limit["name"]),
            format!("{} {}", text(&limit["bound"]), text(&limit["counts"])),
            number(&limit["most"]),
            number(&limit["has"]),
            number(&limit["floor"]),
            number(&limit["wants"]),
            number(&limit["in_use"]),
            if limit["leased"] == true { age } else { format!("{age}, lives on its floor") },
            text(&limit["refused"]),
        ]);
    }
    for pool in document["lends"].as_array().into_iter().flatten() {
        let holders = pool["holders"].as_array().into_iter().flatten();
        let holders: Vec<String> = holders.map(|h| format!("{} {}", text(&h[0]), number(&h[1]))).collect();
        rows.push(vec![
            node_name.clone(),
            format!("lent of {}", number(&pool["most"])),
            number(&pool["lent"]),
            holders.join(", "),
        ]);
    }
    rows
}
