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
    /// How each limit stands at nodes, and which leases are granted.
    Show {
        /// Where nodes listen for clients.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
        /// Print one line of JSON for each node.
        #[arg(long)]
        json: bool,
    },
    /// Make a limit another one, for the whole fleet.
    Set {
        /// The limit's name.
        name: String,
        /// How much for the whole fleet.
        #[arg(value_name = "MOST")]
        limit: f64,
        /// Where replicas listen for peers; the leader carries it out.
        #[arg(required = true, value_name = "KEEPERS")]
        replicas: Vec<SocketAddr>,
    },
}

pub(crate) fn run(args: &Limits) -> Result<ExitCode, Failure> {
    match &args.command {
        LimitsCommand::Show { nodes, json } => {
            let heads =
                ["node", "limit", "kind", "whole", "has", "floor", "wants", "owes or runs", "age", "refused"];
            show(nodes, "/pintally/limits", *json, &heads, limit_rows)
        }
        LimitsCommand::Set { name, limit, replicas } => {
            send_command(replicas, &json!({ "Limit": [name, limit] }))
        }
    }
}

fn limit_rows(node: SocketAddr, document: &Value) -> Vec<Vec<String>> {
    let name = format!("{} ({node})", text(&document["node"]));
    let mut rows: Vec<Vec<String>> = Vec::new();
    for l in document["limits"].as_array().into_iter().flatten() {
        let age = if l["age_ms"].is_null() { "never told".to_string() } else { seconds(&l["age_ms"]) };
        rows.push(vec![
            name.clone(),
            text(&l["name"]),
            format!("{} {}", text(&l["bound"]), text(&l["counts"])),
            number(&l["most"]),
            number(&l["has"]),
            number(&l["floor"]),
            number(&l["wants"]),
            number(&l["in_use"]),
            if l["leased"] == true { age } else { format!("{age}, lives on its floor") },
            text(&l["refused"]),
        ]);
    }
    for pool in document["lends"].as_array().into_iter().flatten() {
        let holders = pool["holders"].as_array().into_iter().flatten();
        let holders: Vec<String> = holders.map(|h| format!("{} {}", text(&h[0]), number(&h[1]))).collect();
        rows.push(vec![
            name.clone(),
            format!("lent of {}", number(&pool["most"])),
            number(&pool["lent"]),
            holders.join(", "),
        ]);
    }
    rows
}
