//! `pintally keepers status|change`: the replicas of the key-value store.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Subcommand;
use serde_json::{json, Value};

use super::operator::send_command;
use crate::status::{show, text};
use crate::Failure;

#[derive(clap::Args)]
pub(crate) struct Replicas {
    #[command(subcommand)]
    command: ReplicasCommand,
}

#[derive(Subcommand)]
enum ReplicasCommand {
    /// Show the state of each replica: leader, voters, replicas that catch up and why.
    Status {
        /// Where nodes listen for clients.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
        /// Print one line of JSON for each node.
        #[arg(long)]
        json: bool,
    },
    /// Set the replicas of the store, with one added or one removed.
    Change {
        /// Names of nodes, separated by commas.
        #[arg(long, value_delimiter = ',', required = true)]
        to: Vec<String>,
        /// Where replicas listen for peers; the leader executes the command.
        #[arg(required = true, value_name = "KEEPERS")]
        replicas: Vec<SocketAddr>,
    },
}

pub(crate) fn run(args: &Replicas) -> Result<ExitCode, Failure> {
    match &args.command {
        ReplicasCommand::Status { nodes, json } => {
            let header =
                ["node", "keeper", "stands", "term", "leader", "agreed", "keepers", "lead lasts", "why"];
            show(nodes, "/pintally/keepers", *json, &header, replica_rows)
        }
        ReplicasCommand::Change { to, replicas } => send_command(replicas, &json!({ "Keepers": to })),
    }
}

fn replica_rows(node: SocketAddr, document: &Value) -> Vec<Vec<String>> {
    let replicas: Vec<String> = document["keepers"].as_array().into_iter().flatten().map(text).collect();
    let joining = document["joining"].as_str().map_or(String::new(), |j| format!(" ({j} catches up)"));
    vec![vec![
        node.to_string(),
        text(&document["name"]),
        text(&document["standing"]),
        text(&document["term"]),
        text(&document["leader"]),
        format!("{} of {}", document["commit"], document["last"]),
        replicas.join(", ") + &joining,
        document["lead_ms"].as_u64().map_or(String::new(), |ms| format!("{ms} ms")),
        text(&document["why"]),
    ]]
}
