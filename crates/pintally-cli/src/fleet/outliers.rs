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
    /// Which engines are reported or ejected, by whom, and how far the fault reaches.
    Show {
        /// Where nodes listen for clients.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
        /// Print one line of JSON for each node.
        #[arg(long)]
        json: bool,
    },
    /// Clear an engine: earlier reports of it do not count any more.
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
            let heads =
                ["node", "engine", "what", "reaches", "who says so", "who not", "step", "held back", "for"];
            show(nodes, "/pintally/verdicts", *json, &heads, engine_rows)
        }
        OutliersCommand::Clear { engine, nodes } => send_command(nodes, &json!({ "Clear": engine })),
    }
}

fn engine_rows(node: SocketAddr, document: &Value) -> Vec<Vec<String>> {
    let names = |v: &Value| v.as_array().into_iter().flatten().map(text).collect::<Vec<_>>().join(", ");
    let mut rows: Vec<Vec<String>> = Vec::new();
    for v in document["engines"].as_array().into_iter().flatten() {
        let reach = match &v["reach"] {
            Value::Object(zone) => format!("zone {}", zone.values().map(text).collect::<String>()),
            Value::Null => String::new(),
            other => text(other).to_lowercase(),
        };
        rows.push(vec![
            node.to_string(),
            text(&v["engine"]),
            text(&v["fault"]),
            reach,
            names(&v["accusers"]),
            names(&v["clear"]),
            text(&v["step"]),
            if v["held_back"] == true { "yes" } else { "no" }.into(),
            seconds(&v["for_ms"]),
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
        rows.push(vec![node.to_string(), "nobody accuses an engine".into()]);
    }
    rows
}
