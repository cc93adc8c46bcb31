//! `pintally verdicts show|clear`: outlier detection across the fleet.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Subcommand;
use serde_json::{json, Value};

use super::operator::send_command;
use crate::status::{seconds, show, text};
use crate::Failure;

#[derive(clap::Args)]
pub(crate) struct Outliers {
    #[command(subcommand)]
    command: OutliersCommand,
}

#[derive(Subcommand)]
enum OutliersCommand {
    /// Show reported and ejected engines, the nodes that report them, and the scope of the fault.
    Show {
        /// Where nodes listen for clients.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
        /// Print one line of JSON for each node.
        #[arg(long)]
        json: bool,
    },
    /// Clear an engine: earlier reports of it are ignored.
    Clear {
        /// The engine's name.
        engine: String,
        /// Where a node listens for peers; it notifies the others.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
    },
}

pub(crate) fn run(args: &Outliers) -> Result<ExitCode, Failure> {
    match &args.command {
        OutliersCommand::Show { nodes, json } => {
            let header =
                ["node", "engine", "what", "reaches", "who says so", "who not", "step", "held back", "for"];
            show(nodes, "/pintally/verdicts", *json, &header, engine_rows)
        }
        OutliersCommand::Clear { engine, nodes } => send_command(nodes, &json!({ "Clear": engine })),
    }
}

fn engine_rows(node: SocketAddr, document: &Value) -> Vec<Vec<String>> {
    let names = |v: &Value| v.as_array().into_iter().flatten().map(text).collect::<Vec<_>>().join(", ");
    let mut rows: Vec<Vec<String>> = Vec::new();
    for engine in document["engines"].as_array().into_iter().flatten() {
        let scope = match &engine["reach"] {
            Value::Object(zone) => format!("zone {}", zone.values().map(text).collect::<String>()),
            Value::Null => String::new(),
            other => text(other).to_lowercase(),
        };
        rows.push(vec![
            node.to_string(),
            text(&engine["engine"]),
            text(&engine["fault"]),
            scope,
            names(&engine["accusers"]),
            names(&engine["clear"]),
            text(&engine["step"]),
            if engine["held_back"] == true { "yes" } else { "no" }.into(),
            seconds(&engine["for_ms"]),
        ]);
    }
    let failing_everywhere = names(&document["unsound"]);
    if !failing_everywhere.is_empty() {
        rows.push(vec![node.to_string(), format!("most of what they use fails: {failing_everywhere}")]);
    }
    for cut in document["cut"].as_array().into_iter().flatten() {
        rows.push(vec![node.to_string(), format!("zone {} cannot reach another zone", text(&cut[0]))]);
    }
    if rows.is_empty() {
        rows.push(vec![node.to_string(), "no engine is reported".into()]);
    }
    rows
}
