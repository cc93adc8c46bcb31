//! Status documents of nodes as tables: `pintally peers status`, `pintally recovery status`.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Subcommand;
use comfy_table::Table;
use serde_json::Value;

use crate::Failure;

#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Query nodes.
    Status {
        /// Where nodes listen for clients.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
        /// Print one line of JSON for each node.
        #[arg(long)]
        json: bool,
    },
}

/// A status document.
#[derive(Clone, Copy)]
pub(crate) enum StatusDocument {
    Peers,
    Recovery,
}

/// Fetches a status document from a node; `None` if there is no valid response.
pub(crate) fn fetch(node: SocketAddr, path: &str) -> Option<Value> {
    serde_json::from_slice(&pintally_scenario::http_get(node, path)?).ok()
}

pub(crate) fn run(args: &Args, document: StatusDocument) -> Result<ExitCode, Failure> {
    let Command::Status { nodes, json } = &args.command;
    let (path, header): (_, &[&str]) = match document {
        StatusDocument::Peers => {
            ("/pintally/peers", &["node", "peer", "zone", "stands", "boot", "for", "doubt"])
        }
        StatusDocument::Recovery => (
            "/pintally/recovery",
            &["node", "stage", "for", "waits for", "here", "engines", "lets in", "lacks"],
        ),
    };
    let rows: fn(SocketAddr, &Value) -> Vec<Vec<String>> = match document {
        StatusDocument::Peers => peers,
        StatusDocument::Recovery => recovery,
    };
    show(nodes, path, *json, header, rows)
}

/// Queries all nodes and prints their documents; fails if one does not answer.
pub(crate) fn show(
    nodes: &[SocketAddr],
    path: &str,
    json: bool,
    header: &[&str],
    rows: fn(SocketAddr, &Value) -> Vec<Vec<String>>,
) -> Result<ExitCode, Failure> {
    let mut table = Table::new();
    table.set_header(header.to_vec());
    let mut unreachable = false;
    for node in nodes {
        match fetch(*node, path) {
            Some(document) if json => {
                println!("{}", serde_json::json!({ "node": node.to_string(), "told": document }));
            }
            Some(document) => rows(*node, &document).into_iter().for_each(|row| {
                table.add_row(row);
            }),
            None => {
                unreachable = true;
                table.add_row([node.to_string(), "no response, or not enabled in its settings".into()]);
            }
        }
    }
    if !json {
        println!("{table}");
    }
    Ok(if unreachable { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// A value as table text; empty if it is null.
pub(crate) fn text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// A number with two decimal places; empty if the value is not a number.
pub(crate) fn number(value: &Value) -> String {
    value.as_f64().map_or_else(String::new, |n| format!("{:.2}", n + 0.0))
}

/// Formats milliseconds as seconds.
pub(crate) fn seconds(value: &Value) -> String {
    format!("{:.1} s", value.as_f64().unwrap_or(0.0) / 1e3)
}

fn peers(_: SocketAddr, document: &Value) -> Vec<Vec<String>> {
    let own_state =
        if document["stepped_back"] == true { "stepped back: its name is taken" } else { "itself" };
    let mut rows = vec![vec![
        text(&document["name"]),
        String::new(),
        String::new(),
        own_state.to_string(),
        text(&document["boot"]),
        String::new(),
        text(&document["doubt"]),
    ]];
    for peer in document["peers"].as_array().into_iter().flatten() {
        rows.push(vec![
            text(&document["name"]),
            text(&peer["name"]),
            text(&peer["zone"]),
            text(&peer["standing"]),
            text(&peer["boot"]),
            seconds(&peer["for_ms"]),
            String::new(),
        ]);
    }
    rows
}

fn recovery(node: SocketAddr, document: &Value) -> Vec<Vec<String>> {
    let rate = document["rate"].as_f64().map_or("everybody".to_string(), |r| format!("{r:.1}/s"));
    let lacks = document["lacks"].as_array().into_iter().flatten().map(text).collect::<Vec<_>>().join("; ");
    vec![vec![
        node.to_string(),
        text(&document["stage"]),
        seconds(&document["for_ms"]),
        text(&document["waits_for"]),
        format!("{} of {}", document["here"], document["expected"]),
        format!("{} of {}", document["engines"][0], document["engines"][1]),
        rate,
        lacks,
    ]]
}
