//! What nodes tell at their own endpoints: `pintally peers status`, `pintally recovery status`.

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
    /// Ask nodes.
    Status {
        /// Where nodes listen for clients.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
        /// Print one line of JSON for each node.
        #[arg(long)]
        json: bool,
    },
}

/// What is asked.
#[derive(Clone, Copy)]
pub(crate) enum What {
    Peers,
    Recovery,
}

/// What a node tells at a path, if it does.
pub(crate) fn ask(node: SocketAddr, path: &str) -> Option<Value> {
    serde_json::from_slice(&pintally_scenario::get(node, path)?).ok()
}

pub(crate) fn run(args: &Args, what: What) -> Result<ExitCode, Failure> {
    let Command::Status { nodes, json } = &args.command;
    let (path, heads): (_, &[&str]) = match what {
        What::Peers => ("/pintally/peers", &["node", "peer", "zone", "stands", "boot", "for", "doubt"]),
        What::Recovery => (
            "/pintally/recovery",
            &["node", "stage", "for", "waits for", "here", "engines", "lets in", "lacks"],
        ),
    };
    let rows: fn(SocketAddr, &Value) -> Vec<Vec<String>> = match what {
        What::Peers => peers,
        What::Recovery => recovery,
    };
    show(nodes, path, *json, heads, rows)
}

/// Asks all nodes and prints what they tell; fails if one is silent.
pub(crate) fn show(
    nodes: &[SocketAddr],
    path: &str,
    json: bool,
    heads: &[&str],
    rows: fn(SocketAddr, &Value) -> Vec<Vec<String>>,
) -> Result<ExitCode, Failure> {
    let mut table = Table::new();
    table.set_header(heads.to_vec());
    let mut silent = false;
    for node in nodes {
        match ask(*node, path) {
            Some(told) if json => {
                println!("{}", serde_json::json!({ "node": node.to_string(), "told": told }));
            }
            Some(told) => rows(*node, &told).into_iter().for_each(|row| {
                table.add_row(row);
            }),
            None => {
                silent = true;
                table.add_row([node.to_string(), "no answer, or none of this in its settings".into()]);
            }
        }
    }
    if !json {
        println!("{table}");
    }
    Ok(if silent { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// A value as people read it; nothing where there is none.
pub(crate) fn text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Milliseconds as seconds.
pub(crate) fn seconds(value: &Value) -> String {
    format!("{:.1} s", value.as_f64().unwrap_or(0.0) / 1e3)
}

fn peers(_: SocketAddr, told: &Value) -> Vec<Vec<String>> {
    let own = if told["stepped_back"] == true { "stepped back: its name is taken" } else { "itself" };
    let mut rows = vec![vec![
        text(&told["name"]),
        String::new(),
        String::new(),
        own.to_string(),
        text(&told["boot"]),
        String::new(),
        text(&told["doubt"]),
    ]];
    for peer in told["peers"].as_array().into_iter().flatten() {
        rows.push(vec![
            text(&told["name"]),
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

fn recovery(node: SocketAddr, told: &Value) -> Vec<Vec<String>> {
    let rate = told["rate"].as_f64().map_or("everybody".to_string(), |r| format!("{r:.1}/s"));
    let lacks = told["lacks"].as_array().into_iter().flatten().map(text).collect::<Vec<_>>().join("; ");
    vec![vec![
        node.to_string(),
        text(&told["stage"]),
        seconds(&told["for_ms"]),
        text(&told["waits_for"]),
        format!("{} of {}", told["here"], told["expected"]),
        format!("{} of {}", told["engines"][0], told["engines"][1]),
        rate,
        lacks,
    ]]
}
